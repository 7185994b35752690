//! Client of the discovery service: follows its numbered events in order by HTTP/1.1 long polls. It performs
//! no I/O; the caller passes in received bytes and gets events back.
//!
//! An announcement counts as received 7 s after it was made, whether it has arrived or not, and a drain or a
//! purge binds from then on. The poll deadline ([`LONG_POLL_MS`] + [`POLL_SLACK_MS`]) is therefore short
//! enough that two unanswered polls in a row fit into that time. Unreadable parts of a response never stop
//! the client: each is read in the most restrictive sense, and the rest of the response is applied.

use crate::api::{MachineKind, Millis, Phase, Zone};
use crate::clock::UnixTime;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use twox_hash::XxHash64;

/// Longest time that the service may hold a poll before it answers, in milliseconds. Short, because a broken
/// poll is noticed only after it.
pub const LONG_POLL_MS: Millis = 2000.0;
/// Time beyond [`LONG_POLL_MS`] after which an unanswered poll counts as failed, in milliseconds.
pub const POLL_SLACK_MS: Millis = 700.0;
/// First and longest wait after a failed poll, in milliseconds, each reduced by a random share of up to one
/// half. The first retry follows at once.
const BACKOFF_MS: [Millis; 2] = [20.0, 500.0];
/// Routers that are given another discovery address at the same moment spread their first polls over this
/// time, in milliseconds.
const ADDRESS_CHANGE_SPREAD_MS: Millis = 100.0;
/// Problems reported per response.
const MAX_REPORTED_PROBLEMS: usize = 4;
/// Upper bound on the size of one response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// How often the same gap is requested again before the client starts over from revision 0.
const MAX_GAP_RETRIES: u32 = 3;

/// A machine as announced by the discovery service.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// The machine's name; it stays the same when the address changes.
    pub name: String,
    /// The listening address.
    pub address: SocketAddr,
    /// The zone that the machine is in.
    pub zone: Zone,
    /// The kind of machine.
    pub kind: MachineKind,
    /// The machine's cell.
    pub cell: u64,
    /// The registered capacity.
    pub weight: f64,
    /// The announced state.
    pub phase: Phase,
    /// When the machine last started, if it started recently.
    pub since_unix_ms: Option<UnixTime>,
}

/// The content of an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Announcement {
    /// Changes to the list of machines, or the whole list.
    Pool {
        /// This is the whole list: machines that are absent from it are gone.
        snapshot: bool,
        /// The listed machines.
        machines: Vec<ListedMachine>,
    },
    /// A purge of cached copies.
    Purge {
        /// The object to purge; `None` purges the whole group.
        object: Option<String>,
        /// The purge group.
        group: u64,
        /// When the purge was made.
        made_unix_ms: UnixTime,
    },
}

/// A numbered event.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryEvent {
    /// The event's revision.
    pub rev: u64,
    /// The content; `None` if this version does not know the type of event.
    pub announcement: Option<Announcement>,
}

/// Parses `{"rev":LAST,"notices":[...]}`. Any problem is an error.
pub fn parse_events(value: &OwnedValue) -> Result<(u64, Vec<DiscoveryEvent>), String> {
    let mut problems = Vec::new();
    let read = parse_events_leniently(value, &mut problems)?;
    match problems.into_iter().next() {
        None => Ok(read),
        Some(problem) => Err(problem),
    }
}

/// Like [`parse_events`], but reads an unreadable part of an event in the most restrictive sense and adds a
/// message to `problems`.
fn parse_events_leniently(
    value: &OwnedValue,
    problems: &mut Vec<String>,
) -> Result<(u64, Vec<DiscoveryEvent>), String> {
    let rev = value.get_u64("rev").ok_or("rev is missing")?;
    let events = value.get_array("notices").ok_or("notices are missing")?;
    Ok((rev, events.iter().map(|one| parse_event(one, problems)).collect::<Result<_, _>>()?))
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
            problems.push("a flush names neither asset nor collection".to_owned());
            None
        } else {
            // A purge without a time counts as made now: no earlier time covers all copies that it may mean.
            let made_unix_ms = UnixTime(made.unwrap_or(f64::INFINITY));
            Some(Announcement::Purge { object, group: group.unwrap_or(0), made_unix_ms })
        }
    } else {
        None
    };
    Ok(DiscoveryEvent { rev, announcement })
}

/// Parses a machine; `None` if it has no name. A machine of which only the name can be read is treated as
/// draining, so that it receives nothing more.
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
            problems.push(format!("{name} has an unknown status: {other:?}"));
            Phase::Draining
        }
    };
    let address = value.get_str("address").and_then(|text| text.parse().ok());
    if address.is_none() && phase != Phase::Deleted {
        problems.push(format!("{name} has no valid address"));
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

/// How the end of a response body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    Close,
}

/// Parses one HTTP response; `eof` says that no more bytes will come. Returns the body and the length of the
/// response in bytes, or `None` while it is incomplete.
fn parse_response(bytes: &[u8], eof: bool) -> Result<Option<(Vec<u8>, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes).map_err(|e| format!("invalid HTTP response: {e}"))? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial => return Ok(None),
    };
    if head.code != Some(200) {
        return Err(format!("HTTP status {:?}", head.code));
    }
    let mut framing = Framing::Close;
    for header in head.headers.iter() {
        let value = std::str::from_utf8(header.value).unwrap_or_default().trim();
        if header.name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            framing = Framing::Chunked;
        } else if header.name.eq_ignore_ascii_case("content-length") && framing != Framing::Chunked {
            framing = Framing::Length(value.parse().map_err(|_| "invalid content-length".to_owned())?);
        }
    }
    let rest = &bytes[start..];
    match framing {
        Framing::Length(length) => Ok(rest.get(..length).map(|body| (body.to_vec(), start + length))),
        Framing::Close => Ok(eof.then(|| (rest.to_vec(), bytes.len()))),
        Framing::Chunked => Ok(parse_chunked_body(rest)?.map(|(body, after)| (body, bytes.len() - after))),
    }
}

/// Decodes a chunked body. Returns it and the number of bytes after it, or `None` while it is incomplete.
fn parse_chunked_body(mut rest: &[u8]) -> Result<Option<(Vec<u8>, usize)>, String> {
    let mut body = Vec::new();
    loop {
        let parsed = httparse::parse_chunk_size(rest).map_err(|_| "invalid chunk size".to_owned())?;
        let httparse::Status::Complete((start, size)) = parsed else { return Ok(None) };
        if size > MAX_RESPONSE_BYTES as u64 {
            return Err("chunk too large".to_owned());
        }
        let Some((chunk, after)) = rest[start..].split_at_checked(size as usize) else { return Ok(None) };
        if size == 0 {
            // The empty line after the last chunk belongs to this response; otherwise it would precede the
            // next one.
            let after_end = rest[start..].strip_prefix(b"\r\n");
            return Ok(after_end.map(|after| (body, after.len())));
        }
        body.extend_from_slice(chunk);
        match after.strip_prefix(b"\r\n") {
            Some(after) => rest = after,
            None if after.len() < 2 => return Ok(None),
            None => return Err("chunk without final CRLF".to_owned()),
        }
    }
}

/// The content of a complete response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollResponse {
    /// The new events, in order.
    pub events: Vec<DiscoveryEvent>,
    /// Messages about unreadable parts, at most [`MAX_REPORTED_PROBLEMS`].
    pub problems: Vec<String>,
    /// More bytes came than the poll asked for, so the connection can't be used again: the next response
    /// could not be told from them.
    pub unexpected_data: bool,
}

/// State of the long poll: which request to send next, which events of a response are new, and when to poll
/// again.
#[derive(Debug)]
pub struct DiscoveryClient {
    last_rev: u64,
    seed: u64,
    buffer: Vec<u8>,
    failures: u32,
    gap_failures: u32,
    polled_at: Option<Millis>,
    /// Time of the next poll or, while a poll is outstanding, the poll's deadline.
    pub next_poll_at: Millis,
}

impl DiscoveryClient {
    /// Creates a client that continues after revision `last_rev`; `seed` makes routers poll at different
    /// times.
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

    /// Returns the request for the events after the last one. It must be sent on a new connection, or on one
    /// whose last response was read completely.
    pub fn poll(&mut self, now: Millis, host: SocketAddr) -> Vec<u8> {
        self.buffer.clear();
        self.polled_at = Some(now);
        self.next_poll_at = now + LONG_POLL_MS + POLL_SLACK_MS;
        let (last, linger) = (self.last_rev, LONG_POLL_MS);
        format!("GET /board/poll?watch={last}&linger={linger} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
            .into_bytes()
    }

    /// Whether a poll is awaiting its response.
    pub fn poll_outstanding(&self) -> bool {
        self.polled_at.is_some()
    }

    /// Adds received bytes. Returns the new events once the response is complete.
    pub fn feed(&mut self, now: Millis, bytes: &[u8], eof: bool) -> Result<Option<PollResponse>, String> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_RESPONSE_BYTES {
            return Err("response too large".to_owned());
        }
        let Some((mut body, used)) = parse_response(&self.buffer, eof)? else { return Ok(None) };
        let unexpected_data = self.buffer.len() > used;
        self.buffer.clear();
        self.polled_at = None;
        let value = simd_json::to_owned_value(&mut body).map_err(|e| format!("not JSON: {e}"))?;
        let mut problems = Vec::new();
        let (rev, events) = parse_events_leniently(&value, &mut problems)?;
        problems.truncate(MAX_REPORTED_PROBLEMS);
        let events = self.accept_in_order(rev, events)?;
        (self.failures, self.gap_failures, self.next_poll_at) = (0, 0, now);
        Ok(Some(PollResponse { events, problems, unexpected_data }))
    }

    /// Returns the events that continue the known sequence without a gap. A snapshot may bridge a gap.
    fn accept_in_order(
        &mut self,
        rev: u64,
        mut events: Vec<DiscoveryEvent>,
    ) -> Result<Vec<DiscoveryEvent>, String> {
        events.sort_by_key(|event| event.rev);
        events.dedup_by_key(|event| event.rev);
        if events.last().map_or(rev, |event| rev.max(event.rev)) < self.last_rev {
            // The service's numbering has started over, or this is an outdated response: request everything
            // again, to be safe.
            self.last_rev = 0;
            return Ok(Vec::new());
        }
        events.retain(|event| event.rev > self.last_rev);
        let (from_start, mut expected) = (self.last_rev == 0, self.last_rev);
        for event in &events {
            expected += 1;
            let is_snapshot = matches!(event.announcement, Some(Announcement::Pool { snapshot: true, .. }));
            if event.rev != expected && !is_snapshot {
                self.gap_failures += 1;
                let last = self.last_rev;
                if self.gap_failures > MAX_GAP_RETRIES {
                    self.last_rev = 0; // Start over with a snapshot.
                }
                return Err(format!("gap in the events: {} after {last}", event.rev));
            }
            expected = event.rev;
        }
        self.last_rev = expected;
        Ok(if from_start { merge_into_snapshot(events) } else { events })
    }

    /// Takes over another discovery address. Forgets an outstanding poll and polls the new address soon, for
    /// the events after the last complete response.
    pub fn address_changed(&mut self, now: Millis) {
        self.failures = 0;
        self.next_poll_at = now + ADDRESS_CHANGE_SPREAD_MS * self.jitter_fraction();
        self.buffer.clear();
        self.polled_at = None;
    }

    /// Records a failed poll. The list of machines stays as it is, and polling resumes after the last event,
    /// the first time at once.
    pub fn poll_failed(&mut self, now: Millis) {
        let [first, max] = BACKOFF_MS;
        let wait = if self.failures == 0 { 0.0 } else { first * 2.0_f64.powi(self.failures.min(10) as i32) };
        self.next_poll_at = now + wait.min(max) * (1.0 - 0.5 * self.jitter_fraction());
        self.failures += 1;
        self.buffer.clear();
        self.polled_at = None;
    }

    /// A deterministic random fraction from 0 to 1, different for each router and each number of failures.
    fn jitter_fraction(&self) -> f64 {
        let round = u64::from(self.failures).to_le_bytes();
        XxHash64::oneshot(self.seed, &round) as f64 / u64::MAX as f64
    }
}

/// Merges changes that come together with a snapshot into the snapshot. Acting on the states in between would
/// be wrong, for example by closing connections to a machine that is back by now.
fn merge_into_snapshot(events: Vec<DiscoveryEvent>) -> Vec<DiscoveryEvent> {
    let mut merged: Vec<DiscoveryEvent> = Vec::with_capacity(events.len());
    let mut snapshot_at = None;
    for event in events {
        match (event.announcement, snapshot_at) {
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
                snapshot_at = if matches!(announcement, Some(Announcement::Pool { snapshot: true, .. })) {
                    Some(merged.len())
                } else {
                    snapshot_at
                };
                merged.push(DiscoveryEvent { rev: event.rev, announcement });
            }
        }
    }
    merged
}
