//! A client connection's state: which requests are open on it, and what is still to be written.

use crate::api::Millis;
use crate::fastcgi::{self, kind, status, Decoder, Fault, Record};
use crate::reasons::ClientClose;
use crate::reducer::{IncomingRequest, Reply};
use std::collections::{BTreeMap, VecDeque};

/// Requests open on one connection.
const MAX_OPEN: usize = 32;
/// Bytes of a request's parameters, and of its body: one write brings up to 48,000.
const MAX_PARAMS: usize = 16 * 1024;
const MAX_BODY: usize = 64 * 1024;
/// Bytes of requests that were turned away before their end, which are read and thrown away.
const MAX_THROWN: usize = 64 << 20;
/// The largest part's number, group, size and time that a request may name.
const MAX_PIECE: u64 = 1 << 20;
const MAX_GROUP: u64 = 255;
const MAX_SIZE_KB: f64 = 1e8;
const MAX_TIMEOUT_MS: f64 = 1e6;
/// With more than that unwritten, further requests are turned away at once: who doesn't read is served no more. It is
/// heard all the same, as it may abort or leave.
const MAX_UNWRITTEN: usize = 1 << 20;
/// With more than that, nothing more is read of a client that goes on asking.
const MAX_UNHEARD: usize = 2 * MAX_UNWRITTEN;

/// A connection's first request has begun by then, and each is whole so long after its beginning.
const WHOLE_MS: Millis = 2000.0;
/// Clients close idle connections after 4 s. One that is idle for longer has lost its client, or is kept for
/// good; it would hold its descriptor for ever.
const IDLE_MS: Millis = 4500.0;
/// A client that has taken nothing of what it is owed for so long, and for longer than any class's clients wait, is gone.
const DEAF_MS: Millis = 6000.0;
/// How fast the slowest clients read, in bytes a millisecond (the operators' page of days: 1 MB a second).
const SLOWEST_READS: f64 = 1000.0;
/// How long a client may still read what the system has taken for it: one that keeps up, and one for which the system's
/// buffers, which take megabytes, were full for longer than [`KEEPS_UP_MS`].
const READ_LAG_MS: Millis = 300.0;
const FULL_READ_LAG_MS: Millis = 4000.0;
const KEEPS_UP_MS: Millis = 100.0;
/// So young a connection isn't shed: its first bytes may be there, unread.
const YOUNG_MS: Millis = 50.0;

/// What a connection brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// A request is whole, so long after its beginning; or it is turned away, whole or not.
    Asked(u64, Result<IncomingRequest, &'static str>, Millis),
    /// Somebody asks whether this router is ready.
    Health(u64),
    /// The client has stopped waiting for it.
    Aborted(u64),
    /// A request that is half there is turned away, as its connection is about to be closed.
    CutShort(u64),
}

/// What has come of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Params,
    Body,
    /// All of it: its answer is awaited.
    Whole,
    /// It is turned away; the rest is thrown away.
    TurnedAway,
}

#[derive(Debug)]
struct Open {
    serial: u64,
    keep: bool,
    begun: Millis,
    params: Vec<u8>,
    body: Vec<u8>,
    stage: Stage,
}

impl Open {
    fn coming(&self) -> bool {
        matches!(self.stage, Stage::Params | Stage::Body)
    }

    /// It comes no further: what it held is let go of.
    fn leave(&mut self, stage: Stage) -> (Vec<u8>, Vec<u8>) {
        self.stage = stage;
        (std::mem::take(&mut self.params), std::mem::take(&mut self.body))
    }
}

/// How a connection stands with the clock.
#[derive(Clone, Debug, PartialEq)]
pub enum Standing {
    /// All is well.
    Good,
    /// Requests that should have been whole by now, and are turned away.
    Late(Vec<Heard>),
    /// Its client is silent, deaf or gone.
    Over(ClientClose),
}

/// One client connection.
#[derive(Debug, Default)]
pub struct Conn {
    decoder: Decoder,
    open: BTreeMap<u16, Open>,
    next_serial: u64,
    /// Whole records to be written, with the request that each is of (0: none).
    out: VecDeque<(u16, Vec<u8>)>,
    written: usize,
    unwritten: usize,
    taken_back: usize,
    holding: usize,
    thrown: usize,
    opened: Millis,
    /// When the latest of its requests began to come.
    latest: Option<Millis>,
    moved: Millis,
    /// When its client last took something of what it is owed, or was owed nothing.
    taken: Millis,
    /// By then a slow client has read what was written, too.
    read_by: Millis,
    /// Since when the system takes no more for its client.
    blocked_since: Option<Millis>,
    deaf_ms: Millis,
    /// Some request has come whole, or was turned away.
    asked: bool,
    /// It is closed, for this reason, once all that is open on it is answered and the answers have left.
    closing: Option<ClientClose>,
    /// Nothing more is read from it.
    deaf: bool,
}

impl Conn {
    /// A connection that was accepted now.
    pub fn new(now: Millis) -> Self {
        Self { opened: now, moved: now, taken: now, deaf_ms: DEAF_MS, ..Self::default() }
    }

    /// Its clients may wait so long for an answer.
    pub fn patient(self, longest_ms: Millis) -> Self {
        Self { deaf_ms: self.deaf_ms.max(longest_ms), ..self }
    }

    /// Takes bytes in. What they bring holds also where a fault follows it; after a fault the connection is to be closed.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> (Vec<Heard>, Option<Fault>) {
        self.moved = now;
        if self.unwritten == 0 {
            self.taken = now;
        }
        self.decoder.feed(bytes);
        let mut heard = Vec::new();
        let fault = self.read_records(now, &mut heard).err();
        (heard, fault)
    }

    fn read_records(&mut self, now: Millis, heard: &mut Vec<Heard>) -> Result<(), Fault> {
        while let Some(record) = self.decoder.next_record()? {
            let Some(one) = self.record(now, record)? else { continue };
            // Asked for and taken back in one breath: nobody else needs to know of it.
            let same =
                |other: &Heard| matches!((other, &one), (Heard::Asked(a, ..), Heard::Aborted(b)) if a == b);
            match heard.iter().position(same) {
                Some(at) => drop(heard.remove(at)),
                None => heard.push(one),
            }
        }
        Ok(())
    }

    fn record(&mut self, now: Millis, record: Record) -> Result<Option<Heard>, Fault> {
        let Record { kind: what, request, content } = record;
        if request == 0 {
            self.manage(what, &content)?;
            return Ok(None);
        }
        if what == kind::BEGIN {
            return self.begin(now, request, &content);
        }
        if what == kind::ABORT && !self.open.contains_key(&request) {
            self.unqueue(request);
        }
        let Some(open) =
            self.open.get_mut(&request).filter(|open| open.stage != Stage::TurnedAway || what == kind::ABORT)
        else {
            // Records of a request that is answered, turned away or unknown are late, and passed over; but
            // not for ever.
            self.thrown += content.len();
            let endless = self.thrown > MAX_THROWN;
            return if endless { Err(Fault::Malformed("a body without end")) } else { Ok(None) };
        };
        match (what, open.stage) {
            (kind::ABORT, _) => {
                let serial = open.serial;
                self.holding -= open.params.len() + open.body.len();
                self.open.remove(&request);
                Ok(Some(Heard::Aborted(serial))) // Also one turned away: no answer after this.
            }
            (kind::PARAMS, Stage::Params) if content.is_empty() => {
                open.stage = Stage::Body;
                Ok(None)
            }
            (kind::PARAMS, Stage::Params) if open.params.len() + content.len() > MAX_PARAMS => {
                Err(Fault::Malformed("too many parameters"))
            }
            (kind::PARAMS, Stage::Params) => {
                open.params.extend_from_slice(&content);
                self.holding += content.len();
                Ok(None)
            }
            (kind::PARAMS, _) => Err(Fault::Malformed("parameters after their end")),
            (kind::STDIN, Stage::Body) if open.body.len() + content.len() > MAX_BODY => {
                // Answered now: its end may be far away, or never come.
                let serial = open.serial;
                let (params, body) = open.leave(Stage::TurnedAway);
                self.holding -= params.len() + body.len();
                self.asked = true;
                Ok(Some(Heard::Asked(serial, Err("the body is too big"), 0.0)))
            }
            (kind::STDIN, Stage::Body) if !content.is_empty() => {
                open.body.extend_from_slice(&content);
                self.holding += content.len();
                Ok(None)
            }
            (kind::STDIN, Stage::Body) => {
                let (serial, age_ms) = (open.serial, now - open.begun);
                let (params, body) = open.leave(Stage::Whole);
                self.holding -= params.len() + body.len();
                self.asked = true;
                let pairs = match fastcgi::pairs(&params) {
                    Ok(pairs) => pairs,
                    Err(fault) => {
                        self.open.remove(&request); // Nobody will answer it.
                        return Err(fault);
                    }
                };
                if find(&pairs, "SCRIPT_NAME") == Ok(Some("/alive")) {
                    return Ok(Some(Heard::Health(serial)));
                }
                Ok(Some(Heard::Asked(serial, ask(&pairs, body), age_ms)))
            }
            (kind::STDIN, _) => Err(Fault::Malformed("a body out of place")),
            _ => Ok(None),
        }
    }

    fn begin(&mut self, now: Millis, request: u16, content: &[u8]) -> Result<Option<Heard>, Fault> {
        let [role_high, role_low, flags, ..] = *content else {
            return Err(Fault::Malformed("a beginning cut short"));
        };
        if self.open.contains_key(&request) {
            return Err(Fault::Malformed("a request begins twice"));
        }
        if u16::from_be_bytes([role_high, role_low]) != 1 {
            self.push(0, fastcgi::end(request, status::UNKNOWN_ROLE));
            return Ok(None);
        }
        self.latest = Some(now);
        if self.open.len() >= MAX_OPEN || self.unwritten >= MAX_UNWRITTEN {
            self.push(0, fastcgi::end(request, status::OVERLOADED));
            return Ok(None);
        }
        self.next_serial += 1;
        let open = Open {
            serial: self.next_serial,
            keep: flags & 1 != 0,
            begun: now,
            params: Vec::new(),
            body: Vec::new(),
            stage: Stage::Params,
        };
        self.open.insert(request, open);
        Ok(None)
    }

    fn manage(&mut self, what: u8, content: &[u8]) -> Result<(), Fault> {
        let mut out = Vec::new();
        if what == kind::GET_VALUES {
            let mut values = Vec::new();
            for (name, _) in fastcgi::pairs(content)? {
                let value: &[u8] = match name {
                    b"FCGI_MAX_REQS" => b"4096",
                    b"FCGI_MAX_CONNS" => b"256",
                    b"FCGI_MPXS_CONNS" => b"1",
                    _ => continue,
                };
                fastcgi::pair(&mut values, name, value);
            }
            fastcgi::record(&mut out, kind::GET_VALUES_RESULT, 0, &values);
        } else {
            fastcgi::record(&mut out, kind::UNKNOWN, 0, &[what, 0, 0, 0, 0, 0, 0, 0]);
        }
        self.push(0, out);
        Ok(())
    }

    fn push(&mut self, request: u16, record: Vec<u8>) {
        self.unwritten += record.len();
        self.out.push_back((request, record));
    }

    /// Queues a final answer; false if none is owed any more.
    pub fn answer(&mut self, serial: u64, reply: &Reply) -> bool {
        let Some(request) = self.open.iter().find(|(_, open)| open.serial == serial).map(|(id, _)| *id)
        else {
            return false;
        };
        if self.open.remove(&request).is_some_and(|open| !open.keep) {
            self.closing.get_or_insert(ClientClose::NoKeepConn);
        }
        let (head, body): (String, &[u8]) = match reply {
            Reply::Served(body) => {
                let length = body.len();
                (format!("Status: 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: {length}\r\n\r\n"), body)
            }
            Reply::Unchanged => ("Status: 200 OK\r\nX-Valid: 1\r\nContent-Length: 0\r\n\r\n".to_owned(), b""),
            Reply::Refused { retry_after_ms, .. } => {
                let wait =
                    retry_after_ms.map(|ms| format!("Retry-After-Ms: {}\r\n", ms.ceil().max(0.0) as u64));
                let wait = wait.unwrap_or_default();
                (format!("Status: 503 Service Unavailable\r\n{wait}Content-Length: 0\r\n\r\n"), b"")
            }
            Reply::Failed(failure) => {
                let why = failure.message();
                (format!("Status: 502 Bad Gateway\r\nX-Reason: {why}\r\nContent-Length: 0\r\n\r\n"), b"")
            }
            Reply::Health(true) => ("Status: 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned(), b""),
            Reply::Health(false) => {
                ("Status: 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned(), b"")
            }
        };
        for record in fastcgi::answer(request, &head, body) {
            self.push(request, record);
        }
        true
    }

    /// Takes back what is queued of an answer, but for a record that has begun to leave: its client has
    /// stopped waiting, and the request's number may be used again.
    fn unqueue(&mut self, request: u16) {
        let begun = usize::from(self.written > 0).min(self.out.len());
        let mut kept = self.out.split_off(begun);
        let before: usize = kept.iter().map(|(_, record)| record.len()).sum();
        kept.retain(|(of, _)| *of != request);
        let bytes = before - kept.iter().map(|(_, record)| record.len()).sum::<usize>();
        self.out.append(&mut kept);
        self.unwritten -= bytes;
        self.taken_back += bytes;
    }

    /// Nothing more is read from it: what is half there is dropped, what has come whole is still owed its answer, and then
    /// it is closed.
    pub fn finish(&mut self, reason: ClientClose) {
        self.closing = Some(reason);
        self.deaf = true;
        self.decoder = Decoder::default();
        self.open.retain(|_, open| !open.coming());
        self.holding = 0;
    }

    /// When the latest of its requests began to come, answered or not; `None`: nothing is owed on it.
    pub fn latest(&self) -> Option<Millis> {
        self.latest.filter(|_| !self.settled())
    }

    /// Turns away the requests that are half there: each is owed an answer, whatever still comes of it.
    pub fn cut_short(&mut self) -> Vec<Heard> {
        let mut cut = Vec::new();
        for open in self.open.values_mut().filter(|open| open.coming()) {
            let (params, body) = open.leave(Stage::TurnedAway);
            self.holding -= params.len() + body.len();
            cut.push(Heard::CutShort(open.serial));
        }
        cut
    }

    /// Whether nothing is owed on it any more: nothing is open or unwritten, though a record may be half there.
    pub fn settled(&self) -> bool {
        self.open.is_empty() && self.unwritten == 0
    }

    /// When its client has read what was written, if it is slow. It sees a close only behind that, and sends until then.
    pub fn read_by(&self) -> Millis {
        self.read_by
    }

    /// Whether it could be closed now though half a record may be there: nothing is owed, and its client sees the close at
    /// once.
    pub fn closable(&self, now: Millis) -> bool {
        self.settled() && now >= self.read_by
    }

    /// Whether it could be closed now with nothing lost that has been read: nothing is open, half read or unwritten.
    pub fn at_rest(&self, now: Millis) -> bool {
        self.closable(now) && self.decoder.pending() == 0
    }

    /// How it stands with the clock. A client is owed word or a close soon, and descriptors are few.
    pub fn standing(&mut self, now: Millis) -> Standing {
        let quiet = self.open.is_empty() && self.unwritten == 0;
        let silent = quiet && !self.asked && now - self.opened > WHOLE_MS;
        let idle = quiet && now - self.moved > IDLE_MS;
        let deaf = self.unwritten > 0 && now - self.taken > self.deaf_ms;
        let reasons = [
            (idle, ClientClose::Idle),
            (deaf, ClientClose::WriteTimeout),
            (silent, ClientClose::RequestTimeout),
        ];
        if let Some((_, reason)) = reasons.into_iter().find(|(holds, _)| *holds) {
            return Standing::Over(reason);
        }
        let mut late = Vec::new();
        for open in self.open.values_mut().filter(|open| open.coming() && now - open.begun > WHOLE_MS) {
            let (params, body) = open.leave(Stage::TurnedAway);
            self.holding -= params.len() + body.len();
            late.push(Heard::Asked(open.serial, Err("it never came whole"), 0.0));
        }
        if late.is_empty() {
            return Standing::Good;
        }
        self.asked = true;
        Standing::Late(late)
    }

    /// Its place among those to be shed when descriptors are short, first to last: those that have never asked
    /// anything, then the longest idle ones. `None`: it is in use, or too young to tell.
    pub fn spare(&self, now: Millis) -> Option<(bool, u64)> {
        let since = if self.asked { self.moved } else { self.opened };
        let awaits = self.open.values().any(|open| !open.coming());
        let used = awaits || self.unwritten > 0 || (self.asked && !self.open.is_empty());
        (!used && now - since > YOUNG_MS).then_some((self.asked, since as u64))
    }

    /// Bytes of requests that are still coming in.
    pub fn holding(&self) -> usize {
        self.holding + self.decoder.pending()
    }

    /// Bytes that were taken back since the last call.
    pub fn taken_back(&mut self) -> usize {
        std::mem::take(&mut self.taken_back)
    }

    /// The next bytes to write.
    pub fn output(&self) -> Option<&[u8]> {
        self.out.front().map(|(_, record)| &record[self.written..])
    }

    /// So many of them have been written.
    pub fn wrote(&mut self, now: Millis, bytes: usize) {
        (self.moved, self.taken) = (now, now);
        let was_full = self.blocked_since.take().is_some_and(|since| now - since > KEEPS_UP_MS);
        let most = if was_full { FULL_READ_LAG_MS } else { READ_LAG_MS };
        let lag = if was_full { most } else { bytes as f64 / SLOWEST_READS };
        let read_by = (self.read_by.max(now) + lag).min(now + most);
        self.read_by = self.read_by.max(read_by);
        self.written += bytes;
        self.unwritten -= bytes;
        if self.out.front().is_some_and(|(_, record)| self.written >= record.len()) {
            self.out.pop_front();
            self.written = 0;
        }
    }

    /// The system takes no more for its client just now.
    pub fn blocked(&mut self, now: Millis) {
        self.blocked_since.get_or_insert(now);
    }

    /// Requests that are open on it, half read ones among them.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Requests that are open on it and began to come after `since`.
    pub fn open_after(&self, since: Millis) -> usize {
        self.open.values().filter(|open| open.begun > since).count()
    }

    /// Requests that have come whole on it and are owed an answer.
    pub fn owed(&self) -> usize {
        self.open.values().filter(|open| open.stage == Stage::Whole).count()
    }

    /// Bytes that are still to be written.
    pub fn unwritten(&self) -> usize {
        self.unwritten
    }

    /// Whether it may be read from.
    pub fn listens(&self) -> bool {
        !self.deaf && self.unwritten < MAX_UNHEARD
    }

    /// Why it is to be closed now: all that is owed on it has left, and nothing more is wanted.
    pub fn over(&self) -> Option<ClientClose> {
        self.closing.filter(|_| self.out.is_empty() && self.open.is_empty())
    }
}

/// The one value of a parameter; `None` where it is absent or empty.
fn find<'a>(pairs: &[(&'a [u8], &'a [u8])], name: &'static str) -> Result<Option<&'a str>, &'static str> {
    let mut given = pairs.iter().filter(|(given, _)| *given == name.as_bytes());
    let first = given.next().map_or(&b""[..], |(_, value)| *value);
    if given.next().is_some() {
        return Err("a parameter comes twice"); // Who reads the other one sees another request.
    }
    let text = std::str::from_utf8(first).map_err(|_| "a parameter is no text")?;
    Ok(Some(text).filter(|text| !text.is_empty()))
}

/// Whether a value can stand in a list of fields on the way to a machine.
fn plain(text: &str) -> bool {
    text.len() <= 128 && text.bytes().all(|byte| byte.is_ascii_graphic() && !b",=".contains(&byte))
}

/// Whether it is an id as the protocol has them.
fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Reads a figure within its bounds; not a number is in none.
fn figure(text: &str, most: f64, why: &'static str) -> Result<f64, &'static str> {
    text.parse::<f64>().ok().filter(|figure| (0.0..=most).contains(figure)).ok_or(why)
}

fn whole(text: &str, most: u64, why: &'static str) -> Result<u64, &'static str> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|number| digits && *number <= most).ok_or(why)
}

/// Reads the fields of a request. What is out of form goes no further: a machine would answer it with an error,
/// or end the connection with all that is on it.
fn ask(pairs: &[(&[u8], &[u8])], body: Vec<u8>) -> Result<IncomingRequest, &'static str> {
    let text = |name: &'static str| find(pairs, name);
    let class = text("SCRIPT_NAME")?.and_then(|path| path.strip_prefix("/ops/")).ok_or("no such path")?;
    let id = text("HTTP_X_REQUEST_ID")?.filter(|id| is_id(id)).ok_or("X-Request-Id is missing or bad")?;
    let timeout = text("HTTP_X_TIMEOUT_MS")?.ok_or("X-Timeout-Ms is missing")?;
    let object = text("HTTP_X_OBJECT")?;
    if object.is_some_and(|object| !is_id(object)) {
        return Err("X-Object is bad");
    }
    let length =
        text("CONTENT_LENGTH")?.map(|text| whole(text, u64::MAX, "CONTENT_LENGTH is bad")).transpose()?;
    if length.is_some_and(|length| length != body.len() as u64) {
        return Err("the body's length is another");
    }
    let piece = text("HTTP_X_CHUNK")?.map(|text| whole(text, MAX_PIECE, "X-Chunk is bad")).transpose()?;
    let group = text("HTTP_X_TAG")?.map(|text| whole(text, MAX_GROUP, "X-Tag is bad")).transpose()?;
    let size =
        text("HTTP_X_MEMORY_KB")?.map(|text| figure(text, MAX_SIZE_KB, "X-Memory-Kb is bad")).transpose()?;
    let holds = text("HTTP_X_KNOWN")?.map(|tag| tag.trim_start_matches("W/").trim_matches('"'));
    if holds.is_some_and(|tag| tag.is_empty() || !plain(tag)) {
        return Err("X-Known is bad");
    }
    let idempotency_key = text("HTTP_IDEMPOTENCY_KEY")?;
    if idempotency_key.is_some_and(|key| !plain(key)) {
        return Err("Idempotency-Key is bad");
    }
    Ok(IncomingRequest {
        id: id.to_owned(),
        class: class.to_owned(),
        timeout_ms: figure(timeout, MAX_TIMEOUT_MS, "X-Timeout-Ms is bad")?,
        repeat: match text("HTTP_X_RETRY")? {
            None => false,
            Some("1") => true,
            Some(_) => return Err("X-Retry is bad"),
        },
        object: object.map(str::to_owned),
        piece,
        group: group.unwrap_or(0),
        size_kb: size.filter(|kb| *kb > 0.0),
        client_tag: holds.map(str::to_owned),
        idempotency_key: idempotency_key.map(Into::into),
        body,
    })
}
