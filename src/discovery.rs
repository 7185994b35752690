//! The discovery watch: the notice board's events, in order, by long polls over HTTP/1.1. Pure; bytes in, notices out.
//!
//! What the board says counts as told 7 s later whether it has come or not, and a drain or a purge binds from then. So a
//! silence has a deadline short enough for two in a row ([`LONG_POLL_MS`], [`POLL_SLACK_MS`]), and whatever an answer
//! brings, the watch goes on: what can't be read is taken in the sense that allows least, and nothing else waits for it.

use crate::api::{MachineKind, Millis, Phase, Zone};
use crate::clock::UnixTime;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use twox_hash::XxHash64;

/// How long the board may hold a poll back. Short, as a broken poll is noticed only once this is over.
pub const LONG_POLL_MS: Millis = 2000.0;
/// Beyond that, a poll that hasn't been answered is broken.
pub const POLL_SLACK_MS: Millis = 700.0;
/// First and last wait after a failed poll, less up to a half that each router draws. The first failure is followed up
/// at once.
const BACKOFF_MS: [Millis; 2] = [20.0, 500.0];
/// Routers that are told of another board at the same moment ask it within this.
const ADDRESS_CHANGE_SPREAD_MS: Millis = 100.0;
/// Doubts about one answer that are told.
const MAX_REPORTED_PROBLEMS: usize = 4;
/// Bytes of one answer, at most.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Times that the same gap is asked for again before all is asked for anew.
const MAX_GAP_RETRIES: u32 = 3;

/// A machine as the board lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
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
    /// When it started late.
    pub since_unix_ms: Option<UnixTime>,
}

/// What one event says.
#[derive(Clone, Debug, PartialEq)]
pub enum Announcement {
    /// Changes of the list of machines, or the whole list.
    Pool {
        /// The whole list: what is absent is gone.
        snapshot: bool,
        /// The machines.
        machines: Vec<ListedMachine>,
    },
    /// A purge.
    Purge {
        /// The object; `None`: the group.
        object: Option<String>,
        /// The group.
        group: u64,
        /// When it was made.
        made_unix_ms: UnixTime,
    },
}

/// A numbered event.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryEvent {
    /// Its number.
    pub rev: u64,
    /// What it says; `None`: nothing that is known here.
    pub announcement: Option<Announcement>,
}

/// Reads `{"rev":LAST,"notices":[...]}`, all of it or nothing.
pub fn parse_events(value: &OwnedValue) -> Result<(u64, Vec<DiscoveryEvent>), String> {
    let mut problems = Vec::new();
    let read = parse_events_leniently(value, &mut problems)?;
    match problems.into_iter().next() {
        None => Ok(read),
        Some(problem) => Err(problem),
    }
}

/// The same, but what can't be read of one notice is taken in the sense that allows least, and told as a problem.
fn parse_events_leniently(
    value: &OwnedValue,
    problems: &mut Vec<String>,
) -> Result<(u64, Vec<DiscoveryEvent>), String> {
    let rev = value.get_u64("rev").ok_or("rev is missing")?;
    let list = value.get_array("notices").ok_or("notices are missing")?;
    Ok((rev, list.iter().map(|one| parse_event(one, problems)).collect::<Result<_, _>>()?))
}

fn parse_event(value: &OwnedValue, problems: &mut Vec<String>) -> Result<DiscoveryEvent, String> {
    let rev = value.get_u64("rev").ok_or("an event has no rev")?;
    let announcement = if let Some(pool) = value.get("pool") {
        let endpoints = pool.get_array("endpoints").map(Vec::as_slice);
        if endpoints.is_none() {
            problems.push("a pool has no endpoints".to_owned());
        }
        endpoints.map(|endpoints| Announcement::Pool {
            snapshot: pool.get_bool("snapshot").unwrap_or(false),
            machines: endpoints.iter().filter_map(|one| parse_machine(one, problems)).collect(),
        })
    } else if let Some(flush) = value.get("flush") {
        let made = flush.get("ms").and_then(|ms| ms.cast_f64());
        if made.is_none() {
            problems.push("a flush has no ms".to_owned());
        }
        let object = flush.get_str("asset").map(str::to_owned);
        let group = flush.get("collection").and_then(|group| group.cast_f64()).map(|group| group as u64);
        if object.is_none() && group.is_none() {
            problems.push("a flush names nothing".to_owned());
            None
        } else {
            // Without its time it is one of now: later than any that it may mean.
            let made_unix_ms = UnixTime(made.unwrap_or(f64::INFINITY));
            Some(Announcement::Purge { object, group: group.unwrap_or(0), made_unix_ms })
        }
    } else {
        None
    };
    Ok(DiscoveryEvent { rev, announcement })
}

/// An endpoint; `None`: nobody can say of which. One of which only the name can be read gets nothing more: it leaves.
fn parse_machine(value: &OwnedValue, problems: &mut Vec<String>) -> Option<ListedMachine> {
    let Some(name) = value.get_str("name") else {
        problems.push("an endpoint has no name".to_owned());
        return None;
    };
    let mut phase = match value.get_str("status") {
        Some("active") => Phase::Serving,
        Some("leaving") => Phase::Draining,
        Some("left") => Phase::Deleted,
        other => {
            problems.push(format!("{name} has the status {other:?}"));
            Phase::Draining
        }
    };
    let address = value.get_str("address").and_then(|text| text.parse().ok());
    if address.is_none() && phase != Phase::Deleted {
        problems.push(format!("{name} has no address"));
        phase = Phase::Draining;
    }
    Some(ListedMachine {
        name: name.to_owned(),
        address: address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
        zone: value.get_str("zone").unwrap_or_default().into(),
        kind: value.get_str("type").unwrap_or_default().into(),
        cell: value.get("group").and_then(|cell| cell.cast_f64()).unwrap_or(0.0) as u64,
        weight: value.get("weight").and_then(|weight| weight.cast_f64()).unwrap_or(1.0),
        phase,
        since_unix_ms: value
            .get("since_ms")
            .and_then(|ms| ms.cast_f64())
            .filter(|ms| *ms > 0.0)
            .map(UnixTime),
    })
}

/// How the body of an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    Close,
}

/// Reads one HTTP answer; `eof` says that nothing more will come. The body, once it is whole, and how many bytes the
/// answer had.
fn parse_response(bytes: &[u8], eof: bool) -> Result<Option<(Vec<u8>, usize)>, String> {
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
        Framing::Length(length) => Ok(rest.get(..length).map(|body| (body.to_vec(), start + length))),
        Framing::Close => Ok(eof.then(|| (rest.to_vec(), bytes.len()))),
        Framing::Chunked => Ok(parse_chunked_body(rest)?.map(|(body, after)| (body, bytes.len() - after))),
    }
}

/// The body, once it is whole, and how many bytes are left behind it.
fn parse_chunked_body(mut rest: &[u8]) -> Result<Option<(Vec<u8>, usize)>, String> {
    let mut body = Vec::new();
    loop {
        let parsed = httparse::parse_chunk_size(rest).map_err(|_| "an unreadable chunk".to_owned())?;
        let httparse::Status::Complete((start, size)) = parsed else { return Ok(None) };
        if size > MAX_RESPONSE_BYTES as u64 {
            return Err("a chunk is too long".to_owned());
        }
        let Some((chunk, after)) = rest[start..].split_at_checked(size as usize) else { return Ok(None) };
        if size == 0 {
            // Its empty line belongs to it: left over, it would stand before the next answer.
            let left = rest[start..].strip_prefix(b"\r\n");
            return Ok(left.map(|left| (body, left.len())));
        }
        body.extend_from_slice(chunk);
        match after.strip_prefix(b"\r\n") {
            Some(after) => rest = after,
            None if after.len() < 2 => return Ok(None),
            None => return Err("a chunk has no end".to_owned()),
        }
    }
}

/// What an answer has brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollResponse {
    /// The new events, in order.
    pub events: Vec<DiscoveryEvent>,
    /// What of them can't be read, some of it.
    pub problems: Vec<String>,
    /// More has come than was asked for: nobody knows what the next bytes on this connection would answer.
    pub unexpected_data: bool,
}

/// Follows the board: what to ask, what an answer holds that is new, when to ask again.
#[derive(Debug)]
pub struct DiscoveryClient {
    last_rev: u64,
    seed: u64,
    buffer: Vec<u8>,
    failures: u32,
    gap_failures: u32,
    polled_at: Option<Millis>,
    /// When the next poll is due.
    pub next_poll_at: Millis,
}

impl DiscoveryClient {
    /// Follows from the last event that is known; `seed` has routers come apart.
    pub fn new(last_rev: u64, seed: u64) -> Self {
        Self {
            last_rev,
            seed,
            buffer: Vec::new(),
            failures: 0,
            gap_failures: 0,
            polled_at: None,
            next_poll_at: 0.0,
        }
    }

    /// The request for what has come after the last event, to be written whole on a connection of its own
    /// or one whose last answer was read whole.
    pub fn poll(&mut self, now: Millis, host: SocketAddr) -> Vec<u8> {
        self.buffer.clear();
        self.polled_at = Some(now);
        self.next_poll_at = now + LONG_POLL_MS + POLL_SLACK_MS;
        let (last, linger) = (self.last_rev, LONG_POLL_MS);
        format!("GET /board/poll?watch={last}&linger={linger} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
            .into_bytes()
    }

    /// Whether a poll is out.
    pub fn poll_outstanding(&self) -> bool {
        self.polled_at.is_some()
    }

    /// Takes bytes in; the new events, once the answer is whole.
    pub fn feed(&mut self, now: Millis, bytes: &[u8], eof: bool) -> Result<Option<PollResponse>, String> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_RESPONSE_BYTES {
            return Err("an answer is too long".to_owned());
        }
        let Some((mut body, used)) = parse_response(&self.buffer, eof)? else { return Ok(None) };
        let unexpected_data = self.buffer.len() > used;
        self.buffer.clear();
        self.polled_at = None;
        let value = simd_json::to_owned_value(&mut body).map_err(|e| format!("not JSON: {e}"))?;
        let mut problems = Vec::new();
        let (rev, list) = parse_events_leniently(&value, &mut problems)?;
        problems.truncate(MAX_REPORTED_PROBLEMS);
        let events = self.accept_in_order(rev, list)?;
        (self.failures, self.gap_failures, self.next_poll_at) = (0, 0, now);
        Ok(Some(PollResponse { events, problems, unexpected_data }))
    }

    /// Events that follow the last one without a gap. One with the whole list may close a gap.
    fn accept_in_order(
        &mut self,
        rev: u64,
        mut list: Vec<DiscoveryEvent>,
    ) -> Result<Vec<DiscoveryEvent>, String> {
        list.sort_by_key(|event| event.rev);
        list.dedup_by_key(|event| event.rev);
        if list.last().map_or(rev, |event| rev.max(event.rev)) < self.last_rev {
            // Its numbers begin anew, or this is an old answer: in problem all is heard once more.
            self.last_rev = 0;
            return Ok(Vec::new());
        }
        list.retain(|event| event.rev > self.last_rev);
        let (anew, mut expected) = (self.last_rev == 0, self.last_rev);
        for event in &list {
            expected += 1;
            let whole = matches!(event.announcement, Some(Announcement::Pool { snapshot: true, .. }));
            if event.rev != expected && !whole {
                self.gap_failures += 1;
                let last = self.last_rev;
                if self.gap_failures > MAX_GAP_RETRIES {
                    self.last_rev = 0; // All anew, with the whole list.
                }
                return Err(format!("event {} came after {last}", event.rev));
            }
            expected = event.rev;
        }
        self.last_rev = expected;
        Ok(if anew { merge_into_snapshot(list) } else { list })
    }

    /// The board is at another address: a poll that is out is forgotten, and the new one is asked soon for what
    /// follows the last whole event.
    pub fn address_changed(&mut self, now: Millis) {
        self.failures = 0;
        self.next_poll_at = now + ADDRESS_CHANGE_SPREAD_MS * self.jitter_fraction();
        self.buffer.clear();
        self.polled_at = None;
    }

    /// The poll has failed: the list stands, and it is resumed from the last event, the first time at once.
    pub fn poll_failed(&mut self, now: Millis) {
        let [first, most] = BACKOFF_MS;
        let wait = if self.failures == 0 { 0.0 } else { first * 2.0_f64.powi(self.failures.min(10) as i32) };
        self.next_poll_at = now + wait.min(most) * (1.0 - 0.5 * self.jitter_fraction());
        self.failures += 1;
        self.buffer.clear();
        self.polled_at = None;
    }

    /// Of this router's own, and another one each time.
    fn jitter_fraction(&self) -> f64 {
        let turn = u64::from(self.failures).to_le_bytes();
        XxHash64::oneshot(self.seed, &turn) as f64 / u64::MAX as f64
    }
}

/// Changes that come with the whole list before them are one list: what was so in between is over, and nobody is to act
/// on it, say by closing the connections to an endpoint that is back by now.
fn merge_into_snapshot(list: Vec<DiscoveryEvent>) -> Vec<DiscoveryEvent> {
    let mut merged: Vec<DiscoveryEvent> = Vec::with_capacity(list.len());
    let mut into = None;
    for event in list {
        match (event.announcement, into) {
            (Some(Announcement::Pool { snapshot: false, machines }), Some(at)) => {
                let Some(DiscoveryEvent {
                    announcement: Some(Announcement::Pool { machines: all, .. }), ..
                }) = merged.get_mut(at)
                else {
                    continue;
                };
                for machine in machines {
                    all.retain(|other: &ListedMachine| other.name != machine.name);
                    all.push(machine);
                }
            }
            (announcement, _) => {
                into = if matches!(announcement, Some(Announcement::Pool { snapshot: true, .. })) {
                    Some(merged.len())
                } else {
                    into
                };
                merged.push(DiscoveryEvent { rev: event.rev, announcement });
            }
        }
    }
    merged
}
