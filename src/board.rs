//! The notice board: its events, in order, by long polls over HTTP/1.1. Pure; bytes in, notices out.

use crate::api::{MachineKind, Millis, Phase, Zone};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;

/// How long the board may hold a poll back. Short, as a broken poll is noticed only once this is over.
pub const LINGER_MS: Millis = 2000.0;
/// Beyond that, a poll that hasn't been answered is broken.
pub const POLL_SLACK_MS: Millis = 700.0;
/// First and last wait after a failed poll. The first failure is followed up at once.
const BACKOFF_MS: [Millis; 2] = [20.0, 500.0];
/// Bytes of one answer, at most.
const MAX_ANSWER: usize = 8 << 20;
/// Times that the same gap is asked for again before all is asked for anew.
const GAP_TRIES: u32 = 3;

/// A machine as the board lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its name, which stays when its address changes.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub zone: Zone,
    /// What it is.
    pub kind: MachineKind,
    /// Its cell.
    pub cell: u64,
    /// Its registered size.
    pub weight: f64,
    /// Its state.
    pub phase: Phase,
    /// The Unix time of a late start.
    pub since_unix_ms: Option<Millis>,
}

/// What one event says.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// Changes of the list of machines, or the whole list.
    Pool {
        /// The whole list: what is absent is gone.
        whole: bool,
        /// The machines.
        machines: Vec<Listed>,
    },
    /// A purge.
    Purge {
        /// The object; `None`: the group.
        object: Option<String>,
        /// The group.
        group: u64,
        /// The Unix time of the purge.
        made_unix_ms: Millis,
    },
}

/// A numbered event.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// Its number.
    pub rev: u64,
    /// What it says; `None`: nothing that is known here.
    pub word: Option<Word>,
}

/// Reads `{"rev":LAST,"notices":[...]}`.
pub fn notices(value: &OwnedValue) -> Result<(u64, Vec<Notice>), String> {
    let rev = value.get_u64("rev").ok_or("rev is missing")?;
    let list = value.get_array("notices").ok_or("notices are missing")?;
    Ok((rev, list.iter().map(notice).collect::<Result<_, _>>()?))
}

fn notice(value: &OwnedValue) -> Result<Notice, String> {
    let rev = value.get_u64("rev").ok_or("a notice has no rev")?;
    let word = if let Some(pool) = value.get("pool") {
        let machines = pool.get_array("endpoints").ok_or("a pool has no endpoints")?;
        let machines = machines.iter().map(listed).collect::<Result<_, _>>()?;
        Some(Word::Pool { whole: pool.get_bool("snapshot").unwrap_or(false), machines })
    } else if let Some(flush) = value.get("flush") {
        let made_unix_ms = flush.get("ms").and_then(|ms| ms.cast_f64()).ok_or("a flush has no ms")?;
        let object = flush.get_str("asset").map(str::to_owned);
        let group = flush.get("collection").and_then(|group| group.cast_f64()).map(|group| group as u64);
        if object.is_none() && group.is_none() {
            return Err("a flush names nothing".to_owned());
        }
        Some(Word::Purge { object, group: group.unwrap_or(0), made_unix_ms })
    } else {
        None
    };
    Ok(Notice { rev, word })
}

fn listed(value: &OwnedValue) -> Result<Listed, String> {
    let name = value.get_str("name").ok_or("an endpoint has no name")?;
    let phase = match value.get_str("status") {
        Some("active") => Phase::Serving,
        Some("leaving") => Phase::Draining,
        Some("left") => Phase::Deleted,
        other => return Err(format!("{name} has the status {other:?}")),
    };
    let address = value.get_str("address").and_then(|text| text.parse().ok());
    Ok(Listed {
        name: name.to_owned(),
        address: match (address, phase) {
            (Some(address), _) => address,
            (None, Phase::Deleted) => SocketAddr::from(([127, 0, 0, 1], 0)),
            (None, _) => return Err(format!("{name} has no address")),
        },
        zone: value.get_str("zone").unwrap_or_default().into(),
        kind: value.get_str("type").unwrap_or_default().into(),
        cell: value.get("group").and_then(|cell| cell.cast_f64()).unwrap_or(0.0) as u64,
        weight: value.get("weight").and_then(|weight| weight.cast_f64()).unwrap_or(1.0),
        phase,
        since_unix_ms: value.get("since_ms").and_then(|ms| ms.cast_f64()).filter(|ms| *ms > 0.0),
    })
}

/// How the body of an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    Close,
}

/// Reads one HTTP answer; `eof` says that nothing more will come. The body, once it is whole.
fn answer(bytes: &[u8], eof: bool) -> Result<Option<Vec<u8>>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes).map_err(|e| format!("unreadable answer: {e}"))? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial => return Ok(None),
    };
    if head.code != Some(200) {
        return Err(format!("answered with status {:?}", head.code));
    }
    let mut framing = Framing::Close;
    for header in head.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or_default().trim();
        if header.name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            framing = Framing::Chunked;
        } else if header.name.eq_ignore_ascii_case("content-length") && framing != Framing::Chunked {
            framing = Framing::Length(value.parse().map_err(|_| "an unreadable length".to_owned())?);
        }
    }
    let rest = &bytes[start..];
    match framing {
        Framing::Length(length) => Ok(rest.get(..length).map(<[u8]>::to_vec)),
        Framing::Close => Ok(eof.then(|| rest.to_vec())),
        Framing::Chunked => chunks(rest),
    }
}

fn chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, String> {
    let mut body = Vec::new();
    loop {
        let parsed = httparse::parse_chunk_size(rest).map_err(|_| "an unreadable chunk".to_owned())?;
        let httparse::Status::Complete((start, size)) = parsed else { return Ok(None) };
        if size > MAX_ANSWER as u64 {
            return Err("a chunk is too long".to_owned());
        }
        let Some((chunk, after)) = rest[start..].split_at_checked(size as usize) else { return Ok(None) };
        if size == 0 {
            // Its empty line belongs to it: left over, it would stand before the next answer.
            return Ok(rest[start..].starts_with(b"\r\n").then_some(body));
        }
        body.extend_from_slice(chunk);
        match after.strip_prefix(b"\r\n") {
            Some(after) => rest = after,
            None if after.len() < 2 => return Ok(None),
            None => return Err("a chunk has no end".to_owned()),
        }
    }
}

/// Follows the board: what to ask, what an answer holds that is new, when to ask again.
#[derive(Debug)]
pub struct Follower {
    last: u64,
    bytes: Vec<u8>,
    failures: u32,
    gaps: u32,
    polled: Option<Millis>,
    /// When the next poll is due.
    pub due: Millis,
}

impl Follower {
    /// Follows from the last event that is known.
    pub fn new(last: u64) -> Self {
        Self { last, bytes: Vec::new(), failures: 0, gaps: 0, polled: None, due: 0.0 }
    }

    /// The request for what has come after the last event, to be written whole on a connection of its own
    /// or one whose last answer was read whole.
    pub fn poll(&mut self, now: Millis, host: SocketAddr) -> Vec<u8> {
        self.bytes.clear();
        self.polled = Some(now);
        self.due = now + LINGER_MS + POLL_SLACK_MS;
        let (last, linger) = (self.last, LINGER_MS);
        format!("GET /board/poll?watch={last}&linger={linger} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
            .into_bytes()
    }

    /// Whether a poll is out.
    pub fn waiting(&self) -> bool {
        self.polled.is_some()
    }

    /// Takes bytes in; the new events, once the answer is whole.
    pub fn feed(&mut self, now: Millis, bytes: &[u8], eof: bool) -> Result<Option<Vec<Notice>>, String> {
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() > MAX_ANSWER {
            return Err("an answer is too long".to_owned());
        }
        let Some(mut body) = answer(&self.bytes, eof)? else { return Ok(None) };
        self.bytes.clear();
        self.polled = None;
        let value = simd_json::to_owned_value(&mut body).map_err(|e| format!("not JSON: {e}"))?;
        let (_, list) = notices(&value)?;
        let news = self.in_order(list)?;
        (self.failures, self.gaps, self.due) = (0, 0, now);
        Ok(Some(news))
    }

    /// Events that follow the last one without a gap. One with the whole list may close a gap.
    fn in_order(&mut self, mut list: Vec<Notice>) -> Result<Vec<Notice>, String> {
        list.sort_by_key(|notice| notice.rev);
        list.retain(|notice| notice.rev > self.last);
        let mut expected = self.last;
        for notice in &list {
            expected += 1;
            let whole = matches!(notice.word, Some(Word::Pool { whole: true, .. }));
            if notice.rev != expected && !whole {
                self.gaps += 1;
                let last = self.last;
                if self.gaps > GAP_TRIES {
                    self.last = 0; // All anew, with the whole list.
                }
                return Err(format!("event {} came after {last}", notice.rev));
            }
            expected = notice.rev;
        }
        self.last = expected;
        Ok(list)
    }

    /// The board is at another address: a poll that is out is forgotten, and the new one is asked at once for
    /// what follows the last whole event.
    pub fn moved(&mut self, now: Millis) {
        self.failures = 0;
        self.due = now;
        self.bytes.clear();
        self.polled = None;
    }

    /// The poll has failed: the list stands, and it is resumed from the last event, the first time at once.
    pub fn failed(&mut self, now: Millis) {
        let [first, most] = BACKOFF_MS;
        let wait = if self.failures == 0 { 0.0 } else { first * 2.0_f64.powi(self.failures.min(10) as i32) };
        self.due = now + wait.min(most);
        self.failures += 1;
        self.bytes.clear();
        self.polled = None;
    }
}
