//! A client connection's state: which requests are open on it, and what is still to be written.

use crate::api::Millis;
use crate::fastcgi::{self, kind, status, Decoder, ProtocolError, Record};
use crate::reasons::ClientClose;
use crate::reducer::{IncomingRequest, Reply};
use std::collections::{BTreeMap, VecDeque};

/// Requests open on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Bytes of a request's parameters, and of its body: one write brings up to 48,000.
const MAX_PARAMS_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of requests that were turned away before their end, which are read and thrown away.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// The largest part's number, group, size and time that a request may name.
const MAX_PIECE: u64 = 1 << 20;
const MAX_GROUP: u64 = 255;
const MAX_SIZE_KB: f64 = 1e8;
const MAX_TIMEOUT_MS: f64 = 1e6;
/// With more than that unwritten, further requests are turned away at once: who doesn't read is served no more. It is
/// heard all the same, as it may abort or leave.
const REJECT_UNWRITTEN_BYTES: usize = 1 << 20;
/// With more than that, nothing more is read of a client that goes on asking.
const STOP_READING_UNWRITTEN_BYTES: usize = 2 * REJECT_UNWRITTEN_BYTES;

/// A connection's first request has begun by then, and each is whole so long after its beginning.
const REQUEST_READ_TIMEOUT_MS: Millis = 2000.0;
/// Clients close idle connections after 4 s. One that is idle for longer has lost its client, or is kept for
/// good; it would hold its descriptor for ever.
const IDLE_TIMEOUT_MS: Millis = 4500.0;
/// A client that has taken nothing of what it is owed for so long, and for longer than any class's clients wait, is gone.
const WRITE_STALL_TIMEOUT_MS: Millis = 6000.0;
/// How fast the slowest clients read, in bytes a millisecond (the operators' page of days: 1 MB a second).
const SLOWEST_CLIENT_BYTES_PER_MS: f64 = 1000.0;
/// How long a client may still read what the system has taken for it: one that keeps up, and one for which the system's
/// buffers, which take megabytes, were full for longer than [`SHORT_BLOCK_MS`].
const MAX_READ_LAG_MS: Millis = 300.0;
const MAX_READ_LAG_AFTER_BLOCK_MS: Millis = 4000.0;
const SHORT_BLOCK_MS: Millis = 100.0;
/// So young a connection isn't shed: its first bytes may be there, unread.
const MIN_SHED_AGE_MS: Millis = 50.0;

/// What a connection brings.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// A request is whole, so long after its beginning; or it is turned away, whole or not.
    Request(u64, Result<IncomingRequest, &'static str>, Millis),
    /// Somebody asks whether this router is ready.
    HealthCheck(u64),
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
    Complete,
    /// It is turned away; the rest is thrown away.
    Rejected,
}

#[derive(Debug)]
struct OpenRequest {
    serial: u64,
    keep_connection: bool,
    started_at: Millis,
    params: Vec<u8>,
    body: Vec<u8>,
    stage: Stage,
}

impl OpenRequest {
    fn is_incomplete(&self) -> bool {
        matches!(self.stage, Stage::Params | Stage::Body)
    }

    /// It comes no further: what it held is let go of.
    fn end_input(&mut self, stage: Stage) -> (Vec<u8>, Vec<u8>) {
        self.stage = stage;
        (std::mem::take(&mut self.params), std::mem::take(&mut self.body))
    }
}

/// How a connection stands with the clock.
#[derive(Clone, Debug, PartialEq)]
pub enum TimeoutStatus {
    /// All is well.
    Ok,
    /// Requests that should have been whole by now, and are turned away.
    Requests(Vec<ClientEvent>),
    /// Its client is silent, deaf or gone.
    Connection(ClientClose),
}

/// One client connection.
#[derive(Debug, Default)]
pub struct Conn {
    decoder: Decoder,
    open: BTreeMap<u16, OpenRequest>,
    next_serial: u64,
    /// Whole records to be written, with the request that each is of (0: none).
    output_queue: VecDeque<(u16, Vec<u8>)>,
    front_written: usize,
    unwritten_bytes: usize,
    retracted_bytes: usize,
    buffered_bytes: usize,
    discarded_bytes: usize,
    opened_at: Millis,
    /// When the latest of its requests began to come.
    latest_request_at: Option<Millis>,
    last_activity_at: Millis,
    /// When its client last took something of what it is owed, or was owed nothing.
    last_write_at: Millis,
    /// By then a slow client has read what was written, too.
    client_read_by: Millis,
    /// Since when the system takes no more for its client.
    blocked_since: Option<Millis>,
    write_timeout_ms: Millis,
    /// Some request has come whole, or was turned away.
    had_request: bool,
    /// It is closed, for this reason, once all that is open on it is answered and the answers have left.
    close_when_done: Option<ClientClose>,
    /// Nothing more is read from it.
    reading_stopped: bool,
}

impl Conn {
    /// A connection that was accepted now.
    pub fn new(now: Millis) -> Self {
        Self {
            opened_at: now,
            last_activity_at: now,
            last_write_at: now,
            write_timeout_ms: WRITE_STALL_TIMEOUT_MS,
            ..Self::default()
        }
    }

    /// Its clients may wait so long for an answer.
    pub fn with_client_timeout(self, longest_ms: Millis) -> Self {
        Self { write_timeout_ms: self.write_timeout_ms.max(longest_ms), ..self }
    }

    /// Takes bytes in. What they bring holds also where a fault follows it; after a fault the connection is to be closed.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> (Vec<ClientEvent>, Option<ProtocolError>) {
        self.last_activity_at = now;
        if self.unwritten_bytes == 0 {
            self.last_write_at = now;
        }
        self.decoder.feed(bytes);
        let mut events = Vec::new();
        let fault = self.read_records(now, &mut events).err();
        (events, fault)
    }

    fn read_records(&mut self, now: Millis, events: &mut Vec<ClientEvent>) -> Result<(), ProtocolError> {
        while let Some(record) = self.decoder.next_record()? {
            let Some(one) = self.handle_record(now, record)? else { continue };
            // Asked for and taken back in one breath: nobody else needs to know of it.
            let same = |other: &ClientEvent| matches!((other, &one), (ClientEvent::Request(a, ..), ClientEvent::Aborted(b)) if a == b);
            match events.iter().position(same) {
                Some(at) => drop(events.remove(at)),
                None => events.push(one),
            }
        }
        Ok(())
    }

    fn handle_record(&mut self, now: Millis, record: Record) -> Result<Option<ClientEvent>, ProtocolError> {
        let Record { kind: what, request, content } = record;
        if request == 0 {
            self.handle_management(what, &content)?;
            return Ok(None);
        }
        if what == kind::BEGIN {
            return self.begin_request(now, request, &content);
        }
        if what == kind::ABORT && !self.open.contains_key(&request) {
            self.retract_answer(request);
        }
        let Some(open) =
            self.open.get_mut(&request).filter(|open| open.stage != Stage::Rejected || what == kind::ABORT)
        else {
            // Records of a request that is answered, turned away or unknown are late, and passed over; but
            // not for ever.
            self.discarded_bytes += content.len();
            let endless = self.discarded_bytes > MAX_DISCARDED_BYTES;
            return if endless { Err(ProtocolError::Malformed("a body without end")) } else { Ok(None) };
        };
        match (what, open.stage) {
            (kind::ABORT, _) => {
                let serial = open.serial;
                self.buffered_bytes -= open.params.len() + open.body.len();
                self.open.remove(&request);
                Ok(Some(ClientEvent::Aborted(serial))) // Also one turned away: no answer after this.
            }
            (kind::PARAMS, Stage::Params) if content.is_empty() => {
                open.stage = Stage::Body;
                Ok(None)
            }
            (kind::PARAMS, Stage::Params) if open.params.len() + content.len() > MAX_PARAMS_BYTES => {
                Err(ProtocolError::Malformed("too many parameters"))
            }
            (kind::PARAMS, Stage::Params) => {
                open.params.extend_from_slice(&content);
                self.buffered_bytes += content.len();
                Ok(None)
            }
            (kind::PARAMS, _) => Err(ProtocolError::Malformed("parameters after their end")),
            (kind::STDIN, Stage::Body) if open.body.len() + content.len() > MAX_BODY_BYTES => {
                // Answered now: its end may be far away, or never come.
                let serial = open.serial;
                let (params, body) = open.end_input(Stage::Rejected);
                self.buffered_bytes -= params.len() + body.len();
                self.had_request = true;
                Ok(Some(ClientEvent::Request(serial, Err("the body is too big"), 0.0)))
            }
            (kind::STDIN, Stage::Body) if !content.is_empty() => {
                open.body.extend_from_slice(&content);
                self.buffered_bytes += content.len();
                Ok(None)
            }
            (kind::STDIN, Stage::Body) => {
                let (serial, age_ms) = (open.serial, now - open.started_at);
                let (params, body) = open.end_input(Stage::Complete);
                self.buffered_bytes -= params.len() + body.len();
                self.had_request = true;
                let pairs = match fastcgi::pairs(&params) {
                    Ok(pairs) => pairs,
                    Err(fault) => {
                        self.open.remove(&request); // Nobody will answer it.
                        return Err(fault);
                    }
                };
                if param(&pairs, "SCRIPT_NAME") == Ok(Some("/alive")) {
                    return Ok(Some(ClientEvent::HealthCheck(serial)));
                }
                Ok(Some(ClientEvent::Request(serial, parse_request(&pairs, body), age_ms)))
            }
            (kind::STDIN, _) => Err(ProtocolError::Malformed("a body out of place")),
            _ => Ok(None),
        }
    }

    fn begin_request(
        &mut self,
        now: Millis,
        request: u16,
        content: &[u8],
    ) -> Result<Option<ClientEvent>, ProtocolError> {
        let [role_high, role_low, flags, ..] = *content else {
            return Err(ProtocolError::Malformed("a beginning cut short"));
        };
        if self.open.contains_key(&request) {
            return Err(ProtocolError::Malformed("a request begins twice"));
        }
        if u16::from_be_bytes([role_high, role_low]) != 1 {
            self.queue_record(0, fastcgi::end(request, status::UNKNOWN_ROLE));
            return Ok(None);
        }
        self.latest_request_at = Some(now);
        if self.open.len() >= MAX_OPEN_REQUESTS || self.unwritten_bytes >= REJECT_UNWRITTEN_BYTES {
            self.queue_record(0, fastcgi::end(request, status::OVERLOADED));
            return Ok(None);
        }
        self.next_serial += 1;
        let open = OpenRequest {
            serial: self.next_serial,
            keep_connection: flags & 1 != 0,
            started_at: now,
            params: Vec::new(),
            body: Vec::new(),
            stage: Stage::Params,
        };
        self.open.insert(request, open);
        Ok(None)
    }

    fn handle_management(&mut self, what: u8, content: &[u8]) -> Result<(), ProtocolError> {
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
        self.queue_record(0, out);
        Ok(())
    }

    fn queue_record(&mut self, request: u16, record: Vec<u8>) {
        self.unwritten_bytes += record.len();
        self.output_queue.push_back((request, record));
    }

    /// Queues a final answer; false if none is owed any more.
    pub fn answer(&mut self, serial: u64, reply: &Reply) -> bool {
        let Some(request) = self.open.iter().find(|(_, open)| open.serial == serial).map(|(id, _)| *id)
        else {
            return false;
        };
        if self.open.remove(&request).is_some_and(|open| !open.keep_connection) {
            self.close_when_done.get_or_insert(ClientClose::NoKeepConn);
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
            self.queue_record(request, record);
        }
        true
    }

    /// Takes back what is queued of an answer, but for a record that has begun to leave: its client has
    /// stopped waiting, and the request's number may be used again.
    fn retract_answer(&mut self, request: u16) {
        let begun = usize::from(self.front_written > 0).min(self.output_queue.len());
        let mut kept = self.output_queue.split_off(begun);
        let before: usize = kept.iter().map(|(_, record)| record.len()).sum();
        kept.retain(|(of, _)| *of != request);
        let bytes = before - kept.iter().map(|(_, record)| record.len()).sum::<usize>();
        self.output_queue.append(&mut kept);
        self.unwritten_bytes -= bytes;
        self.retracted_bytes += bytes;
    }

    /// Nothing more is read from it: what is half there is dropped, what has come whole is still owed its answer, and then
    /// it is closed.
    pub fn stop_reading(&mut self, reason: ClientClose) {
        self.close_when_done = Some(reason);
        self.reading_stopped = true;
        self.decoder = Decoder::default();
        self.open.retain(|_, open| !open.is_incomplete());
        self.buffered_bytes = 0;
    }

    /// When the latest of its requests began to come, answered or not; `None`: nothing is owed on it.
    pub fn latest_request_at(&self) -> Option<Millis> {
        self.latest_request_at.filter(|_| !self.all_answers_sent())
    }

    /// Turns away the requests that are half there: each is owed an answer, whatever still comes of it.
    pub fn reject_incomplete(&mut self) -> Vec<ClientEvent> {
        let mut cut = Vec::new();
        for open in self.open.values_mut().filter(|open| open.is_incomplete()) {
            let (params, body) = open.end_input(Stage::Rejected);
            self.buffered_bytes -= params.len() + body.len();
            cut.push(ClientEvent::CutShort(open.serial));
        }
        cut
    }

    /// Whether nothing is owed on it any more: nothing is open or unwritten, though a record may be half there.
    pub fn all_answers_sent(&self) -> bool {
        self.open.is_empty() && self.unwritten_bytes == 0
    }

    /// When its client has read what was written, if it is slow. It sees a close only behind that, and sends until then.
    pub fn client_read_by(&self) -> Millis {
        self.client_read_by
    }

    /// Whether it could be closed now though half a record may be there: nothing is owed, and its client sees the close at
    /// once.
    pub fn can_close(&self, now: Millis) -> bool {
        self.all_answers_sent() && now >= self.client_read_by
    }

    /// Whether it could be closed now with nothing lost that has been read: nothing is open, half read or unwritten.
    pub fn can_close_cleanly(&self, now: Millis) -> bool {
        self.can_close(now) && self.decoder.pending() == 0
    }

    /// How it stands with the clock. A client is owed word or a close soon, and descriptors are few.
    pub fn check_timeouts(&mut self, now: Millis) -> TimeoutStatus {
        let quiet = self.open.is_empty() && self.unwritten_bytes == 0;
        let silent = quiet && !self.had_request && now - self.opened_at > REQUEST_READ_TIMEOUT_MS;
        let idle = quiet && now - self.last_activity_at > IDLE_TIMEOUT_MS;
        let deaf = self.unwritten_bytes > 0 && now - self.last_write_at > self.write_timeout_ms;
        let reasons = [
            (idle, ClientClose::Idle),
            (deaf, ClientClose::WriteTimeout),
            (silent, ClientClose::RequestTimeout),
        ];
        if let Some((_, reason)) = reasons.into_iter().find(|(holds, _)| *holds) {
            return TimeoutStatus::Connection(reason);
        }
        let mut late = Vec::new();
        for open in self
            .open
            .values_mut()
            .filter(|open| open.is_incomplete() && now - open.started_at > REQUEST_READ_TIMEOUT_MS)
        {
            let (params, body) = open.end_input(Stage::Rejected);
            self.buffered_bytes -= params.len() + body.len();
            late.push(ClientEvent::Request(open.serial, Err("it never came whole"), 0.0));
        }
        if late.is_empty() {
            return TimeoutStatus::Ok;
        }
        self.had_request = true;
        TimeoutStatus::Requests(late)
    }

    /// Its place among those to be shed when descriptors are short, first to last: those that have never asked
    /// anything, then the longest idle ones. `None`: it is in use, or too young to tell.
    pub fn shed_priority(&self, now: Millis) -> Option<(bool, u64)> {
        let since = if self.had_request { self.last_activity_at } else { self.opened_at };
        let awaits = self.open.values().any(|open| !open.is_incomplete());
        let used = awaits || self.unwritten_bytes > 0 || (self.had_request && !self.open.is_empty());
        (!used && now - since > MIN_SHED_AGE_MS).then_some((self.had_request, since as u64))
    }

    /// Bytes of requests that are still coming in.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes + self.decoder.pending()
    }

    /// Bytes that were taken back since the last call.
    pub fn take_retracted_bytes(&mut self) -> usize {
        std::mem::take(&mut self.retracted_bytes)
    }

    /// The next bytes to write.
    pub fn output(&self) -> Option<&[u8]> {
        self.output_queue.front().map(|(_, record)| &record[self.front_written..])
    }

    /// So many of them have been written.
    pub fn wrote(&mut self, now: Millis, bytes: usize) {
        (self.last_activity_at, self.last_write_at) = (now, now);
        let was_full = self.blocked_since.take().is_some_and(|since| now - since > SHORT_BLOCK_MS);
        let most = if was_full { MAX_READ_LAG_AFTER_BLOCK_MS } else { MAX_READ_LAG_MS };
        let lag = if was_full { most } else { bytes as f64 / SLOWEST_CLIENT_BYTES_PER_MS };
        let read_by = (self.client_read_by.max(now) + lag).min(now + most);
        self.client_read_by = self.client_read_by.max(read_by);
        self.front_written += bytes;
        self.unwritten_bytes -= bytes;
        if self.output_queue.front().is_some_and(|(_, record)| self.front_written >= record.len()) {
            self.output_queue.pop_front();
            self.front_written = 0;
        }
    }

    /// The system takes no more for its client just now.
    pub fn write_blocked(&mut self, now: Millis) {
        self.blocked_since.get_or_insert(now);
    }

    /// Requests that are open on it, half read ones among them.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Requests that are open on it and began to come after `since`.
    pub fn open_requests_after(&self, since: Millis) -> usize {
        self.open.values().filter(|open| open.started_at > since).count()
    }

    /// Requests that have come whole on it and are owed an answer.
    pub fn owed_answers(&self) -> usize {
        self.open.values().filter(|open| open.stage == Stage::Complete).count()
    }

    /// Bytes that are still to be written.
    pub fn unwritten_bytes(&self) -> usize {
        self.unwritten_bytes
    }

    /// Whether it may be read from.
    pub fn may_read(&self) -> bool {
        !self.reading_stopped && self.unwritten_bytes < STOP_READING_UNWRITTEN_BYTES
    }

    /// Why it is to be closed now: all that is owed on it has left, and nothing more is wanted.
    pub fn close_reason(&self) -> Option<ClientClose> {
        self.close_when_done.filter(|_| self.output_queue.is_empty() && self.open.is_empty())
    }
}

/// The one value of a parameter; `None` where it is absent or empty.
fn param<'a>(pairs: &[(&'a [u8], &'a [u8])], name: &'static str) -> Result<Option<&'a str>, &'static str> {
    let mut given = pairs.iter().filter(|(given, _)| *given == name.as_bytes());
    let first = given.next().map_or(&b""[..], |(_, value)| *value);
    if given.next().is_some() {
        return Err("a parameter comes twice"); // Who reads the other one sees another request.
    }
    let text = std::str::from_utf8(first).map_err(|_| "a parameter is no text")?;
    Ok(Some(text).filter(|text| !text.is_empty()))
}

/// Whether a value can stand in a list of fields on the way to a machine.
fn is_field_value(text: &str) -> bool {
    text.len() <= 128 && text.bytes().all(|byte| byte.is_ascii_graphic() && !b",=".contains(&byte))
}

/// Whether it is an id as the protocol has them.
fn is_hex_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Reads a figure within its bounds; not a number is in none.
fn number_within(text: &str, most: f64, why: &'static str) -> Result<f64, &'static str> {
    text.parse::<f64>().ok().filter(|figure| (0.0..=most).contains(figure)).ok_or(why)
}

fn integer_within(text: &str, most: u64, why: &'static str) -> Result<u64, &'static str> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|number| digits && *number <= most).ok_or(why)
}

/// Reads the fields of a request. What is out of form goes no further: a machine would answer it with an error,
/// or end the connection with all that is on it.
fn parse_request(pairs: &[(&[u8], &[u8])], body: Vec<u8>) -> Result<IncomingRequest, &'static str> {
    let text = |name: &'static str| param(pairs, name);
    let class = text("SCRIPT_NAME")?.and_then(|path| path.strip_prefix("/ops/")).ok_or("no such path")?;
    let id = text("HTTP_X_REQUEST_ID")?.filter(|id| is_hex_id(id)).ok_or("X-Request-Id is missing or bad")?;
    let timeout = text("HTTP_X_TIMEOUT_MS")?.ok_or("X-Timeout-Ms is missing")?;
    let object = text("HTTP_X_OBJECT")?;
    if object.is_some_and(|object| !is_hex_id(object)) {
        return Err("X-Object is bad");
    }
    let length = text("CONTENT_LENGTH")?
        .map(|text| integer_within(text, u64::MAX, "CONTENT_LENGTH is bad"))
        .transpose()?;
    if length.is_some_and(|length| length != body.len() as u64) {
        return Err("the body's length is another");
    }
    let piece =
        text("HTTP_X_CHUNK")?.map(|text| integer_within(text, MAX_PIECE, "X-Chunk is bad")).transpose()?;
    let group =
        text("HTTP_X_TAG")?.map(|text| integer_within(text, MAX_GROUP, "X-Tag is bad")).transpose()?;
    let size = text("HTTP_X_MEMORY_KB")?
        .map(|text| number_within(text, MAX_SIZE_KB, "X-Memory-Kb is bad"))
        .transpose()?;
    let holds = text("HTTP_X_KNOWN")?.map(|tag| tag.trim_start_matches("W/").trim_matches('"'));
    if holds.is_some_and(|tag| tag.is_empty() || !is_field_value(tag)) {
        return Err("X-Known is bad");
    }
    let idempotency_key = text("HTTP_IDEMPOTENCY_KEY")?;
    if idempotency_key.is_some_and(|key| !is_field_value(key)) {
        return Err("Idempotency-Key is bad");
    }
    Ok(IncomingRequest {
        id: id.to_owned(),
        class: class.to_owned(),
        timeout_ms: number_within(timeout, MAX_TIMEOUT_MS, "X-Timeout-Ms is bad")?,
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
