//! A client connection's state: which requests are open on it, and what is still to be written.

use crate::api::Millis;
use crate::fastcgi::{self, kind, status, Decoder, Fault, Record};
use crate::reducer::{Ask, Reply};
use std::collections::{BTreeMap, VecDeque};

/// Requests open on one connection.
const MAX_OPEN: usize = 32;
/// Bytes of a request's parameters, and of its body.
const MAX_PARAMS: usize = 64 * 1024;
const MAX_BODY: usize = 256 * 1024;
/// With more than that unwritten, nothing more is read: a client that doesn't read isn't heard.
const MAX_UNWRITTEN: usize = 1 << 20;

/// Clients close idle connections after 4 s. One on which nothing has moved for so long, and which awaits no
/// answer or takes none, has lost its client; it would hold its descriptor for ever.
const STALE_MS: Millis = 15_000.0;

/// What a connection brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// A request begins.
    Begun(u64),
    /// A request is whole.
    Asked(u64, Result<Ask, &'static str>),
    /// Somebody asks whether this router is ready.
    Health(u64),
    /// The client has stopped waiting for it.
    Aborted(u64),
}

#[derive(Debug)]
struct Open {
    serial: u64,
    keep: bool,
    params: Vec<u8>,
    params_over: bool,
    body: Vec<u8>,
    asked: bool,
    too_big: bool,
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
    moved: Millis,
    closing: bool,
}

impl Conn {
    /// Takes bytes in. After a fault the connection is to be closed.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Vec<Heard>, Fault> {
        self.decoder.feed(bytes);
        let mut heard = Vec::new();
        while let Some(record) = self.decoder.next_record()? {
            heard.extend(self.record(record)?);
        }
        Ok(heard)
    }

    fn record(&mut self, record: Record) -> Result<Option<Heard>, Fault> {
        let Record { kind: what, request, content } = record;
        if request == 0 {
            self.manage(what, &content)?;
            return Ok(None);
        }
        if what == kind::BEGIN {
            return self.begin(request, &content);
        }
        if what == kind::ABORT && !self.open.contains_key(&request) {
            self.unqueue(request);
        }
        // Records of a request that is answered or unknown are late, and passed over.
        let Some(open) = self.open.get_mut(&request) else { return Ok(None) };
        match what {
            kind::ABORT => {
                let (serial, held) = (open.serial, open.params.len() + open.body.len());
                self.holding -= if open.asked { 0 } else { held };
                self.open.remove(&request);
                Ok(Some(Heard::Aborted(serial)))
            }
            kind::PARAMS if open.params_over => Err(Fault::Malformed("parameters after their end")),
            kind::PARAMS if content.is_empty() => {
                open.params_over = true;
                Ok(None)
            }
            kind::PARAMS => {
                if open.params.len() + content.len() > MAX_PARAMS {
                    return Err(Fault::Malformed("too many parameters"));
                }
                open.params.extend_from_slice(&content);
                self.holding += content.len();
                Ok(None)
            }
            kind::STDIN if !open.params_over || open.asked => Err(Fault::Malformed("a body out of place")),
            kind::STDIN if !content.is_empty() => {
                open.too_big |= open.body.len() + content.len() > MAX_BODY;
                if !open.too_big {
                    open.body.extend_from_slice(&content);
                    self.holding += content.len();
                }
                Ok(None)
            }
            kind::STDIN => {
                open.asked = true;
                self.holding -= open.params.len() + open.body.len();
                let pairs = fastcgi::pairs(&open.params)?;
                let serial = open.serial;
                if find(&pairs, "SCRIPT_NAME") == Some("/alive") {
                    return Ok(Some(Heard::Health(serial)));
                }
                let body = std::mem::take(&mut open.body);
                let asked = if open.too_big { Err("the body is too big") } else { ask(&pairs, body) };
                open.params = Vec::new();
                Ok(Some(Heard::Asked(serial, asked)))
            }
            _ => Ok(None),
        }
    }

    fn begin(&mut self, request: u16, content: &[u8]) -> Result<Option<Heard>, Fault> {
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
        if self.open.len() >= MAX_OPEN {
            self.push(0, fastcgi::end(request, status::OVERLOADED));
            return Ok(None);
        }
        self.next_serial += 1;
        let serial = self.next_serial;
        let open = Open {
            serial,
            keep: flags & 1 != 0,
            params: Vec::new(),
            params_over: false,
            body: Vec::new(),
            asked: false,
            too_big: false,
        };
        self.open.insert(request, open);
        Ok(Some(Heard::Begun(serial)))
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
        self.closing |= self.open.remove(&request).is_some_and(|open| !open.keep);
        let (head, body): (String, &[u8]) = match reply {
            Reply::Served(body) => {
                let length = body.len();
                (format!("Status: 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: {length}\r\n\r\n"), body)
            }
            Reply::Unchanged => ("Status: 200 OK\r\nX-Valid: 1\r\nContent-Length: 0\r\n\r\n".to_owned(), b""),
            Reply::Refused { hold_off_ms } => {
                let wait = hold_off_ms.map(|ms| format!("Retry-After-Ms: {}\r\n", ms.ceil().max(0.0) as u64));
                let wait = wait.unwrap_or_default();
                (format!("Status: 503 Service Unavailable\r\n{wait}Content-Length: 0\r\n\r\n"), b"")
            }
            Reply::Failed(why) => {
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

    /// Bytes have come or gone.
    pub fn touch(&mut self, now: Millis) {
        self.moved = now;
    }

    /// Whether its client is taken to be gone.
    pub fn stale(&self, now: Millis) -> bool {
        let awaits = self.open.values().any(|open| open.asked);
        now - self.moved > STALE_MS && (!awaits || self.unwritten > 0)
    }

    /// Bytes of requests that are still coming in.
    pub fn holding(&self) -> usize {
        self.holding
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
    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
        self.unwritten -= bytes;
        if self.out.front().is_some_and(|(_, record)| self.written >= record.len()) {
            self.out.pop_front();
            self.written = 0;
        }
    }

    /// Bytes that are still to be written.
    pub fn unwritten(&self) -> usize {
        self.unwritten
    }

    /// Whether it may be read from.
    pub fn listens(&self) -> bool {
        self.unwritten < MAX_UNWRITTEN
    }

    /// Whether it has done what its client wanted of it, and is to be closed.
    pub fn over(&self) -> bool {
        self.closing && self.out.is_empty() && self.open.is_empty()
    }
}

fn find<'a>(pairs: &[(&'a [u8], &'a [u8])], name: &str) -> Option<&'a str> {
    let (_, value) = pairs.iter().find(|(given, _)| *given == name.as_bytes())?;
    std::str::from_utf8(value).ok().filter(|value| !value.is_empty())
}

/// Whether a value can stand in a list of fields on the way to a machine.
fn plain(text: &str) -> bool {
    text.len() <= 128 && text.bytes().all(|byte| byte.is_ascii_graphic() && !b",=".contains(&byte))
}

/// Reads the fields of a request.
fn ask(pairs: &[(&[u8], &[u8])], body: Vec<u8>) -> Result<Ask, &'static str> {
    let text = |name: &str| find(pairs, name);
    let class = text("SCRIPT_NAME").and_then(|path| path.strip_prefix("/ops/")).ok_or("no such path")?;
    let id = text("HTTP_X_REQUEST_ID").filter(|id| plain(id)).ok_or("X-Request-Id is missing or bad")?;
    let timeout = text("HTTP_X_TIMEOUT_MS").and_then(|ms| ms.parse::<f64>().ok());
    let timeout_ms = timeout.filter(|ms| *ms > 0.0 && *ms < 1e9).ok_or("X-Timeout-Ms is missing or bad")?;
    let object = text("HTTP_X_OBJECT").map(str::to_owned);
    if object.as_deref().is_some_and(|object| !plain(object)) {
        return Err("X-Object is bad");
    }
    let piece = text("HTTP_X_CHUNK").map(str::parse::<u64>).transpose().map_err(|_| "X-Chunk is bad")?;
    let group = text("HTTP_X_TAG").map(str::parse::<u64>).transpose().map_err(|_| "X-Tag is bad")?;
    let size =
        text("HTTP_X_MEMORY_KB").map(str::parse::<f64>).transpose().map_err(|_| "X-Memory-Kb is bad")?;
    let holds = text("HTTP_X_KNOWN").map(|tag| tag.trim_start_matches("W/").trim_matches('"'));
    Ok(Ask {
        id: id.to_owned(),
        class: class.to_owned(),
        timeout_ms,
        repeat: text("HTTP_X_RETRY") == Some("1"),
        object,
        piece,
        group: group.unwrap_or(0),
        size_kb: size.filter(|kb| kb.is_finite() && *kb > 0.0),
        holds: holds.filter(|tag| plain(tag) && !tag.is_empty()).map(str::to_owned),
        body,
    })
}
