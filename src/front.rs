//! State of one client connection: the requests that are open on it and the answers that are still to be
//! written. Performs no I/O.

mod read_progress;

use crate::api::Millis;
use crate::bytes::MAX_IDLE_CAPACITY_BYTES;
use crate::fastcgi::{self, kind, status, Decoder, ProtocolError, Record};
use crate::reasons::{ClientClose, Refusal};
use crate::reducer::{IncomingRequest, Reply};
pub use read_progress::{ReadProgress, Unsent};
use std::collections::{BTreeMap, VecDeque};

/// Most requests that may be open on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Size limits of a request's parameters and of its body, in bytes. Clients send bodies of up to 48,000
/// bytes.
const MAX_PARAMS_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of rejected, answered or unknown requests that a connection reads and discards before it is closed.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// Size limit of a record that is no part of a request's parameters or body, in bytes.
const MAX_CONTROL_RECORD_BYTES: usize = 4 * 1024;
/// Memory that an incomplete request takes besides its parameters and body, in bytes.
const BYTES_PER_INCOMPLETE_REQUEST: usize = 256;
/// Parameters and bodies grow in steps of this many bytes.
const GROWTH_STEP_BYTES: usize = 512;
/// What a connection may take, at most, beyond the bytes that it receives at once: for each request its state, and
/// a step of its parameters and of its body; and what the decoder's buffer may keep beyond what it holds.
pub const MAX_RECEIVE_OVERHEAD_BYTES: usize =
    MAX_OPEN_REQUESTS * (BYTES_PER_INCOMPLETE_REQUEST + 2 * GROWTH_STEP_BYTES) + MAX_IDLE_CAPACITY_BYTES;
/// Complete requests are held back for this long, at most, while more input of their client waits to be read: it
/// may take them back, or its end may show that the client has left.
const MAX_HOLD_MS: Millis = 100.0;
/// After so much input at once that the client's kernel may have had to wait for room here, more is given this
/// long to arrive before everything counts as read.
const SETTLE_MS: Millis = 5.0;
/// Share of its client's time for which a complete request waits, at most, for memory for its body. It is then
/// refused, early enough for its client to try elsewhere.
const MEMORY_WAIT_SHARE: f64 = 0.45;
/// Longest wait of a request for memory.
const MAX_MEMORY_WAIT_MS: Millis = 2000.0;
/// An incomplete request of which nothing has arrived for this long has stalled.
const STALLED_AFTER_MS: Millis = 100.0;
/// Largest piece number, group, size and timeout that a request may specify.
const MAX_PIECE: u64 = 1 << 20;
const MAX_GROUP: u64 = 255;
const MAX_SIZE_KB: f64 = 1e8;
const MAX_TIMEOUT_MS: f64 = 1e6;
/// With this many bytes unwritten, new requests are rejected at once: a client that does not read gets no
/// further answers. The connection is still read, because the client may abort requests or leave.
const REJECT_UNWRITTEN_BYTES: usize = 1 << 20;
/// With this many bytes unwritten, the connection is not read while the memory for answers is half full: the rest
/// is left for answers to clients that read.
const OUTPUT_BACKLOG_BYTES: usize = 16 * 1024;
/// With more than this many bytes of rejections and answers to queries in the queue, the connection is not read.
const REJECTION_BACKLOG_BYTES: usize = 2 * MAX_JOINED_RECORDS_BYTES;
/// Memory that a record in the output queue takes besides its bytes.
const BYTES_PER_OUTPUT_RECORD: usize = 64;
/// Records without a request, such as rejections, are queued together up to this size, as each queued buffer
/// takes more memory than such a record.
const MAX_JOINED_RECORDS_BYTES: usize = 4 * 1024;
/// With this many bytes unwritten, the connection is not read any more. It bounds the rejections queued for a
/// client that keeps on sending requests.
const STOP_READING_UNWRITTEN_BYTES: usize = 2 * REJECT_UNWRITTEN_BYTES;

/// Time in which the first request of a connection must begin, and in which each request must be complete.
const REQUEST_READ_TIMEOUT_MS: Millis = 2000.0;
/// Clients close idle connections after 4 s. A connection that stays idle for longer has lost its client or
/// is kept open for good, and would hold a file descriptor forever.
const IDLE_TIMEOUT_MS: Millis = 4500.0;
/// A client that accepts no bytes for this long, and for longer than the longest client timeout, counts as
/// gone.
const WRITE_STALL_TIMEOUT_MS: Millis = 6000.0;
/// Younger connections are not shed: their first bytes may have arrived without having been read.
const MIN_SHED_AGE_MS: Millis = 50.0;

/// What a connection has received.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// A request is complete, or was rejected, complete or not. With its serial number, the parsed request,
    /// and its age in milliseconds since its first record.
    Request(u64, Result<IncomingRequest, &'static str>, Millis),
    /// A health check asks whether this router is ready.
    HealthCheck(u64),
    /// The client has aborted the request.
    Aborted(u64),
    /// An incomplete request is refused, because its connection is about to be closed or its memory is
    /// needed.
    RequestTruncated(u64, Refusal),
}

/// The order in which incomplete requests are refused when their memory is full, first to go first: stalled
/// ones by the time since which nothing has arrived, then the others by their age. So neither the largest nor
/// the newest request makes room for what does not progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShedOrder {
    is_progressing: bool,
    since_us: u64,
}

/// How much of a request has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Params,
    Body,
    /// The request is complete and awaits its answer.
    Complete,
    /// The request was rejected; the rest of it is discarded.
    Rejected,
}

#[derive(Debug)]
struct OpenRequest {
    serial: u64,
    keep_connection: bool,
    started_at: Millis,
    /// When a part of the request last arrived.
    received_at: Millis,
    params: Vec<u8>,
    body: Vec<u8>,
    stage: Stage,
}

impl OpenRequest {
    fn is_incomplete(&self) -> bool {
        matches!(self.stage, Stage::Params | Stage::Body)
    }

    /// Returns the memory that the request takes while it is incomplete, in bytes.
    fn buffered_bytes(&self) -> usize {
        match self.is_incomplete() {
            true => BYTES_PER_INCOMPLETE_REQUEST + self.params.capacity() + self.body.capacity(),
            false => 0,
        }
    }

    fn shed_order(&self, now: Millis, has_unread_input: bool) -> ShedOrder {
        let is_progressing = has_unread_input || now - self.received_at < STALLED_AFTER_MS;
        let since = if is_progressing { self.started_at } else { self.received_at };
        ShedOrder { is_progressing, since_us: (since * 1000.0) as u64 }
    }

    /// Enters a stage that takes no more input. Returns the parameters and the body received so far.
    fn end_input(&mut self, stage: Stage) -> (Vec<u8>, Vec<u8>) {
        self.stage = stage;
        (std::mem::take(&mut self.params), std::mem::take(&mut self.body))
    }
}

/// A complete request that is held back.
#[derive(Debug)]
struct HeldRequest {
    serial: u64,
    request: IncomingRequest,
    /// Its age when it became complete.
    age_ms: Millis,
    /// When it became complete.
    since: Millis,
}

impl HeldRequest {
    /// Returns until when the request may wait for memory.
    fn wait_until(&self) -> Millis {
        let share_left_ms = MEMORY_WAIT_SHARE * self.request.timeout_ms - self.age_ms;
        self.since + share_left_ms.clamp(0.0, MAX_MEMORY_WAIT_MS)
    }

    fn into_event(self, now: Millis) -> ClientEvent {
        ClientEvent::Request(self.serial, Ok(self.request), self.age_ms + now - self.since)
    }
}

/// What is known of input that was not read yet, when requests that are held back are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadInput {
    /// More waits to be read.
    Waits,
    /// Everything that has arrived was read.
    None,
    /// It doesn't matter: the requests are not held back for it any longer.
    Ignored,
}

/// Result of checking a connection's timeouts.
#[derive(Clone, Debug, PartialEq)]
pub enum TimeoutStatus {
    /// No timeout has expired.
    Ok,
    /// These requests are incomplete after their time; they are rejected.
    Requests(Vec<ClientEvent>),
    /// The connection must be closed: its client sends no request, reads nothing, or is gone.
    Connection(ClientClose),
}

/// A client connection.
#[derive(Debug, Default)]
pub struct Conn {
    decoder: Decoder,
    open: BTreeMap<u16, OpenRequest>,
    next_serial: u64,
    /// Records to be written, each with its request id (0 for none).
    output_queue: VecDeque<(u16, Vec<u8>)>,
    front_written: usize,
    unwritten_bytes: usize,
    output_memory_bytes: usize,
    /// Of it, what records without a request take.
    rejection_memory_bytes: usize,
    retracted_bytes: usize,
    discarded_bytes: usize,
    opened_at: Millis,
    /// When the latest request began.
    latest_request_at: Option<Millis>,
    last_activity_at: Millis,
    /// When the client last accepted bytes, or last sent something while no bytes were unwritten.
    last_write_at: Millis,
    read_progress: ReadProgress,
    write_timeout_ms: Millis,
    /// Whether any request was received completely or rejected.
    had_request: bool,
    /// The connection is closed for this reason as soon as all open requests are answered and the answers
    /// written.
    close_when_done: Option<ClientClose>,
    /// Nothing more is read from this connection.
    reading_stopped: bool,
    /// Complete requests that are held back, see [`Conn::take_requests`].
    held: Vec<HeldRequest>,
    /// Requests are held back because there is no memory for their bodies.
    awaits_memory: bool,
    /// So much was read at once that more may be on its way although nothing waits to be read.
    more_may_follow: bool,
}

impl Conn {
    /// Creates the state of a connection accepted at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            opened_at: now,
            last_activity_at: now,
            last_write_at: now,
            write_timeout_ms: WRITE_STALL_TIMEOUT_MS,
            ..Self::default()
        }
    }

    /// Extends the write timeout to the longest time that clients wait for an answer.
    pub fn with_client_timeout(self, longest_ms: Millis) -> Self {
        Self { write_timeout_ms: self.write_timeout_ms.max(longest_ms), ..self }
    }

    /// Processes received bytes. The returned events are valid even if an error follows them; after an error
    /// the connection must be closed. Complete requests are not among them, but held back until
    /// [`Conn::take_requests`].
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> (Vec<ClientEvent>, Option<ProtocolError>) {
        self.last_activity_at = now;
        if self.unwritten_bytes == 0 {
            self.last_write_at = now;
        }
        self.decoder.feed(bytes);
        let mut events = Vec::new();
        let error = self.read_records(now, &mut events).err();
        self.decoder.compact();
        let too_long = self.decoder.pending() > MAX_CONTROL_RECORD_BYTES;
        let error = error.or(too_long.then_some(ProtocolError::Malformed("record too long")));
        (events, error)
    }

    fn read_records(&mut self, now: Millis, events: &mut Vec<ClientEvent>) -> Result<(), ProtocolError> {
        while let Some(record) = self.decoder.next_record()? {
            match self.handle_record(now, record)? {
                Some(ClientEvent::Aborted(serial)) if self.take_back(serial) => {}
                Some(ClientEvent::Request(serial, Ok(request), age_ms)) => {
                    self.held.push(HeldRequest { serial, request, age_ms, since: now });
                }
                Some(event) => events.push(event),
                None => {}
            }
        }
        Ok(())
    }

    /// Removes a request that is held back and needs no handling any more. Returns whether there was one.
    fn take_back(&mut self, serial: u64) -> bool {
        let at = self.held.iter().position(|held| held.serial == serial);
        at.map(|at| self.held.remove(at)).is_some()
    }

    /// Returns the complete requests that may be handled now, if everything that was received has been read or the
    /// first of them has been held back for long enough. Those whose body exceeds what is
    /// left of `room`, in bytes, go on waiting for memory for a limited time; nothing is read meanwhile.
    pub fn take_requests(&mut self, now: Millis, unread: UnreadInput, mut room: usize) -> Vec<ClientEvent> {
        let all_read = match unread {
            UnreadInput::Waits => false,
            UnreadInput::None => self.settle_deadline().is_none_or(|at| at <= now),
            UnreadInput::Ignored => true,
        };
        self.more_may_follow &= !all_read;
        let ready = |held: &HeldRequest| all_read || now - held.since >= MAX_HOLD_MS;
        if !self.held.first().is_some_and(ready) {
            return Vec::new();
        }
        let (mut taken, mut waiting) = (Vec::new(), Vec::new());
        for held in self.held.drain(..) {
            let bytes = held.request.body.len();
            if bytes > room && now < held.wait_until() {
                waiting.push(held);
                continue;
            }
            room = room.saturating_sub(bytes);
            taken.push(held.into_event(now));
        }
        self.awaits_memory = !waiting.is_empty();
        self.held = waiting;
        taken
    }

    /// Records that as much was read as is read at once.
    pub fn read_full_portion(&mut self) {
        self.more_may_follow = true;
    }

    /// Returns when everything counts as read if nothing more arrives; `None` if it does already.
    pub fn settle_deadline(&self) -> Option<Millis> {
        (self.more_may_follow && !self.held.is_empty()).then_some(self.last_activity_at + SETTLE_MS)
    }

    /// Returns the memory of requests that are held back, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held.iter().map(|held| held.request.memory_bytes()).sum()
    }

    /// Returns when requests stop waiting for memory; `None` if none waits.
    pub fn memory_wait_deadline(&self) -> Option<Millis> {
        let waiting = self.held.iter().filter(|_| self.awaits_memory);
        waiting.map(HeldRequest::wait_until).reduce(f64::min)
    }

    fn handle_record(&mut self, now: Millis, record: Record) -> Result<Option<ClientEvent>, ProtocolError> {
        let Record { kind: record_type, request, content } = record;
        if request == 0 {
            self.handle_management(record_type, &content)?;
            return Ok(None);
        }
        if record_type == kind::BEGIN {
            return self.begin_request(now, request, &content);
        }
        if record_type == kind::ABORT && !self.open.contains_key(&request) {
            self.retract_answer(request);
        }
        let Some(open) = self
            .open
            .get_mut(&request)
            .filter(|open| open.stage != Stage::Rejected || record_type == kind::ABORT)
        else {
            // Records of an answered, rejected or unknown request come late and are discarded, up to a limit.
            self.discarded_bytes += content.len();
            let too_much = self.discarded_bytes > MAX_DISCARDED_BYTES;
            return if too_much {
                Err(ProtocolError::Malformed("too much input after a rejection"))
            } else {
                Ok(None)
            };
        };
        open.received_at = now;
        match (record_type, open.stage) {
            (kind::ABORT, _) => {
                let serial = open.serial;
                // Nothing was reported of an incomplete request, of which there may be any number.
                let reported = !open.is_incomplete();
                // Also for a rejected request: no answer may follow an abort.
                self.open.remove(&request);
                Ok(reported.then_some(ClientEvent::Aborted(serial)))
            }
            (kind::PARAMS, Stage::Params) if content.is_empty() => {
                open.stage = Stage::Body;
                Ok(None)
            }
            (kind::PARAMS, Stage::Params) if open.params.len() + content.len() > MAX_PARAMS_BYTES => {
                Err(ProtocolError::Malformed("parameters too long"))
            }
            (kind::PARAMS, Stage::Params) => {
                append(&mut open.params, &content);
                Ok(None)
            }
            (kind::PARAMS, _) => Err(ProtocolError::Malformed("parameters after their end")),
            (kind::STDIN, Stage::Body) if open.body.len() + content.len() > MAX_BODY_BYTES => {
                // Reject the request now: its end may be far away or never come.
                let serial = open.serial;
                open.end_input(Stage::Rejected);
                self.had_request = true;
                Ok(Some(ClientEvent::Request(serial, Err("the body is too big"), 0.0)))
            }
            (kind::STDIN, Stage::Body) if !content.is_empty() => {
                append(&mut open.body, &content);
                Ok(None)
            }
            (kind::STDIN, Stage::Body) => {
                let (serial, age_ms) = (open.serial, now - open.started_at);
                let (params, body) = open.end_input(Stage::Complete);
                self.had_request = true;
                let pairs = match fastcgi::pairs(&params) {
                    Ok(pairs) => pairs,
                    Err(error) => {
                        self.open.remove(&request); // No one will answer it.
                        return Err(error);
                    }
                };
                if param(&pairs, "SCRIPT_NAME") == Ok(Some("/alive")) {
                    return Ok(Some(ClientEvent::HealthCheck(serial)));
                }
                Ok(Some(ClientEvent::Request(serial, parse_request(&pairs, body), age_ms)))
            }
            (kind::STDIN, _) => Err(ProtocolError::Malformed("unexpected body record")),
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
            return Err(ProtocolError::Malformed("truncated begin record"));
        };
        if self.open.contains_key(&request) {
            return Err(ProtocolError::Malformed("request id already in use"));
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
            received_at: now,
            params: Vec::new(),
            body: Vec::new(),
            stage: Stage::Params,
        };
        self.open.insert(request, open);
        Ok(None)
    }

    fn handle_management(&mut self, record_type: u8, content: &[u8]) -> Result<(), ProtocolError> {
        let mut out = Vec::new();
        if record_type == kind::GET_VALUES {
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
            fastcgi::record(&mut out, kind::UNKNOWN, 0, &[record_type, 0, 0, 0, 0, 0, 0, 0]);
        }
        self.queue_record(0, out);
        Ok(())
    }

    fn queue_record(&mut self, request: u16, record: Vec<u8>) {
        self.unwritten_bytes += record.len();
        if request == 0 {
            return self.queue_rejection(&record);
        }
        self.output_memory_bytes += record_memory(&record);
        self.output_queue.push_back((request, record));
    }

    /// Queues a record without a request, together with others.
    fn queue_rejection(&mut self, record: &[u8]) {
        if let Some((0, last)) = self.output_queue.back_mut() {
            if last.len() + record.len() <= last.capacity() {
                return last.extend_from_slice(record);
            }
        }
        let mut joined = Vec::with_capacity(record.len().max(MAX_JOINED_RECORDS_BYTES));
        joined.extend_from_slice(record);
        self.output_memory_bytes += record_memory(&joined);
        self.rejection_memory_bytes += record_memory(&joined);
        self.output_queue.push_back((0, joined));
    }

    /// Queues the final answer to a request; returns false if no answer is owed any more.
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

    /// Removes the queued records of an answer, except a record that is partly written. The client has
    /// aborted the request and may reuse its id.
    fn retract_answer(&mut self, request: u16) {
        let started = usize::from(self.front_written > 0).min(self.output_queue.len());
        let mut kept = self.output_queue.split_off(started);
        let before: usize = kept.iter().map(|(_, record)| record.len()).sum();
        kept.retain(|(of, _)| *of != request);
        let bytes = before - kept.iter().map(|(_, record)| record.len()).sum::<usize>();
        self.output_queue.append(&mut kept);
        self.output_memory_bytes = self.output_queue.iter().map(|(_, record)| record_memory(record)).sum();
        self.unwritten_bytes -= bytes;
        self.retracted_bytes += bytes;
    }

    /// Stops reading and drops incomplete requests. Complete requests are still answered; then the connection
    /// is closed.
    pub fn stop_reading(&mut self, reason: ClientClose) {
        self.close_when_done = Some(reason);
        self.reading_stopped = true;
        self.decoder = Decoder::default();
        self.open.retain(|_, open| !open.is_incomplete());
    }

    /// Returns when the latest request began, answered or not; `None` if nothing is open or unwritten.
    pub fn latest_request_at(&self) -> Option<Millis> {
        self.latest_request_at.filter(|_| !self.all_answers_sent())
    }

    /// Refuses all incomplete requests. Each of them is owed an answer; the rest of their input is discarded.
    pub fn refuse_incomplete(&mut self, reason: Refusal) -> Vec<ClientEvent> {
        let incomplete = self.open.values_mut().filter(|open| open.is_incomplete());
        let refuse = |open: &mut OpenRequest| {
            open.end_input(Stage::Rejected);
            ClientEvent::RequestTruncated(open.serial, reason)
        };
        incomplete.map(refuse).collect()
    }

    /// Whether any request is incomplete.
    pub fn has_incomplete_requests(&self) -> bool {
        self.open.values().any(OpenRequest::is_incomplete)
    }

    /// Returns the incomplete requests, with the order in which they are refused when memory is full.
    /// `has_unread_input`: more of them waits to be read, so that none has stalled.
    pub fn shed_candidates(
        &self,
        now: Millis,
        has_unread_input: bool,
    ) -> impl Iterator<Item = (ShedOrder, u16)> + '_ {
        let incomplete = self.open.iter().filter(|(_, open)| open.is_incomplete());
        incomplete.map(move |(request, open)| (open.shed_order(now, has_unread_input), *request))
    }

    /// Refuses an incomplete request. It is owed an answer; the rest of its input is discarded.
    pub fn refuse(&mut self, request: u16, reason: Refusal) -> Option<ClientEvent> {
        let open = self.open.get_mut(&request).filter(|open| open.is_incomplete())?;
        open.end_input(Stage::Rejected);
        self.had_request = true;
        Some(ClientEvent::RequestTruncated(open.serial, reason))
    }

    /// Returns the memory of input that was not decoded, in bytes.
    pub fn undecoded_bytes(&self) -> usize {
        self.decoder.capacity()
    }

    /// Whether no request is open and no answer unwritten. A partial record may be buffered.
    pub fn all_answers_sent(&self) -> bool {
        self.open.is_empty() && self.unwritten_bytes == 0
    }

    /// Returns what is known of how far the client has read.
    pub fn read_progress(&self) -> &ReadProgress {
        &self.read_progress
    }

    /// Records how many bytes the kernel holds that it has not sent to the client.
    pub fn checked_kernel(&mut self, now: Millis, unsent: Unsent) {
        self.read_progress.checked_kernel(now, unsent);
    }

    /// Returns when to ask next whether the kernel holds unsent bytes; `None` while answers are owed.
    pub fn next_read_check(&self) -> Option<Millis> {
        self.all_answers_sent().then(|| self.read_progress.next_check())
    }

    /// Whether the connection may be closed although a partial record may be buffered: no answer is owed, and
    /// the client sees the close at once.
    pub fn can_close(&self, now: Millis) -> bool {
        self.all_answers_sent() && self.read_progress.has_read(now)
    }

    /// Whether the connection may be closed at the end of a drain: no answer is owed, and the client has read
    /// its answers, as far as this side can tell, or reads nothing.
    pub fn can_close_at_deadline(&self, now: Millis) -> bool {
        self.all_answers_sent() && self.read_progress.may_stop_waiting(now)
    }

    /// Whether the connection may be closed without loss: no request is open, no answer unwritten and no
    /// partial record buffered.
    pub fn can_close_cleanly(&self, now: Millis) -> bool {
        self.can_close(now) && !self.decoder.has_partial_record()
    }

    /// Checks the timeouts of the connection and of its incomplete requests. Clients need a prompt answer or
    /// close, and file descriptors are scarce.
    pub fn check_timeouts(&mut self, now: Millis) -> TimeoutStatus {
        let quiet = self.open.is_empty() && self.unwritten_bytes == 0;
        let silent = quiet && !self.had_request && now - self.opened_at > REQUEST_READ_TIMEOUT_MS;
        let idle = quiet && now - self.last_activity_at > IDLE_TIMEOUT_MS;
        let stalled = self.unwritten_bytes > 0 && now - self.last_write_at > self.write_timeout_ms;
        let reasons = [
            (idle, ClientClose::Idle),
            (stalled, ClientClose::WriteTimeout),
            (silent, ClientClose::RequestTimeout),
        ];
        if let Some((_, reason)) = reasons.into_iter().find(|(client_tag, _)| *client_tag) {
            return TimeoutStatus::Connection(reason);
        }
        let mut expired = Vec::new();
        for open in self
            .open
            .values_mut()
            .filter(|open| open.is_incomplete() && now - open.started_at > REQUEST_READ_TIMEOUT_MS)
        {
            open.end_input(Stage::Rejected);
            expired.push(ClientEvent::Request(open.serial, Err("it never came whole"), 0.0));
        }
        if expired.is_empty() {
            return TimeoutStatus::Ok;
        }
        self.had_request = true;
        TimeoutStatus::Requests(expired)
    }

    /// Returns the order in which connections are shed when file descriptors run short, lowest first:
    /// connections that never had a request, then those that are idle for longest. `None` if the connection
    /// is in use, or too young to tell.
    pub fn shed_priority(&self, now: Millis) -> Option<(bool, u64)> {
        let since = if self.had_request { self.last_activity_at } else { self.opened_at };
        let awaits_answer = self.open.values().any(|open| !open.is_incomplete());
        let in_use = awaits_answer || self.unwritten_bytes > 0 || (self.had_request && !self.open.is_empty());
        (!in_use && now - since > MIN_SHED_AGE_MS).then_some((self.had_request, since as u64))
    }

    /// Returns the memory that incomplete requests take, as it was allocated, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.decoder.capacity() + self.open.values().map(OpenRequest::buffered_bytes).sum::<usize>()
    }

    /// Returns the number of bytes removed from the queue by aborts since the last call.
    pub fn take_retracted_bytes(&mut self) -> usize {
        std::mem::take(&mut self.retracted_bytes)
    }

    /// Returns the next bytes to write.
    pub fn output(&self) -> Option<&[u8]> {
        self.output_queue.front().map(|(_, record)| &record[self.front_written..])
    }

    /// Records that `bytes` of the output were written.
    pub fn wrote(&mut self, now: Millis, bytes: usize) {
        (self.last_activity_at, self.last_write_at) = (now, now);
        self.read_progress.wrote(now, bytes);
        self.front_written += bytes;
        self.unwritten_bytes -= bytes;
        if self.output_queue.front().is_some_and(|(_, record)| self.front_written >= record.len()) {
            self.front_written = 0;
            let Some((request, record)) = self.output_queue.pop_front() else { return };
            self.output_memory_bytes -= record_memory(&record);
            if request == 0 {
                self.rejection_memory_bytes -= record_memory(&record);
            }
        }
    }

    /// Returns the number of open requests, including incomplete ones.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of open requests that began after `since`.
    pub fn open_requests_after(&self, since: Millis) -> usize {
        self.open.values().filter(|open| open.started_at > since).count()
    }

    /// Returns the number of complete requests that are not answered yet.
    pub fn owed_answers(&self) -> usize {
        self.open.values().filter(|open| open.stage == Stage::Complete).count()
    }

    /// Returns the number of bytes that are queued and not yet written.
    pub fn unwritten_bytes(&self) -> usize {
        self.unwritten_bytes
    }

    /// Returns the memory of the output queue, in bytes. A record takes it until its last byte is written.
    pub fn output_memory(&self) -> usize {
        self.output_memory_bytes
    }

    /// Whether rejections and answers to queries are queued, because the client has taken nothing for a while.
    pub fn has_rejections(&self) -> bool {
        self.rejection_memory_bytes > 0
    }

    /// Whether so many rejections are queued that the connection is not read.
    pub fn has_rejection_backlog(&self) -> bool {
        self.rejection_memory_bytes > REJECTION_BACKLOG_BYTES
    }

    /// Whether the connection may be read.
    pub fn may_read(&self) -> bool {
        !self.reading_stopped && !self.awaits_memory && self.unwritten_bytes < STOP_READING_UNWRITTEN_BYTES
    }

    /// Whether so much is unwritten that the connection is not read while the memory for answers runs short.
    pub fn has_output_backlog(&self) -> bool {
        self.unwritten_bytes >= OUTPUT_BACKLOG_BYTES
    }

    /// Returns why the connection is to be closed, once nothing is open or queued on it.
    pub fn close_reason(&self) -> Option<ClientClose> {
        self.close_when_done.filter(|_| self.output_queue.is_empty() && self.open.is_empty())
    }
}

/// Returns the memory of a record in the output queue, in bytes.
fn record_memory(record: &Vec<u8>) -> usize {
    record.capacity() + BYTES_PER_OUTPUT_RECORD
}

/// Appends to a buffer, which grows by little more than what it is to hold.
fn append(buffer: &mut Vec<u8>, content: &[u8]) {
    let needed = buffer.len() + content.len();
    if needed > buffer.capacity() {
        buffer.reserve_exact(needed.next_multiple_of(GROWTH_STEP_BYTES) - buffer.len());
    }
    buffer.extend_from_slice(content);
}

/// Returns the value of a parameter; `None` if it is absent or empty. A parameter that occurs twice is an
/// error.
fn param<'a>(pairs: &[(&'a [u8], &'a [u8])], name: &'static str) -> Result<Option<&'a str>, &'static str> {
    let mut given = pairs.iter().filter(|(given, _)| *given == name.as_bytes());
    let first = given.next().map_or(&b""[..], |(_, value)| *value);
    if given.next().is_some() {
        // A reader that takes the other value would see another request.
        return Err("a parameter comes twice");
    }
    let text = std::str::from_utf8(first).map_err(|_| "a parameter is no text")?;
    Ok(Some(text).filter(|text| !text.is_empty()))
}

/// Whether a value may stand in the comma-separated field list of a request to a machine.
fn is_field_value(text: &str) -> bool {
    text.len() <= 128 && text.bytes().all(|byte| byte.is_ascii_graphic() && !b",=".contains(&byte))
}

/// Whether the text is an id as the protocol specifies it: 16 hexadecimal digits.
fn is_hex_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Parses a number between 0 and `max`; rejects NaN.
fn number_within(text: &str, max: f64, why: &'static str) -> Result<f64, &'static str> {
    text.parse::<f64>().ok().filter(|number| (0.0..=max).contains(number)).ok_or(why)
}

fn integer_within(text: &str, max: u64, why: &'static str) -> Result<u64, &'static str> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|number| digits && *number <= max).ok_or(why)
}

/// Parses the parameters of a request. Malformed requests are not forwarded: a machine would answer with an
/// error, or close the connection with all attempts on it.
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
    let client_tag = text("HTTP_X_KNOWN")?.map(|tag| tag.trim_start_matches("W/").trim_matches('"'));
    if client_tag.is_some_and(|tag| tag.is_empty() || !is_field_value(tag)) {
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
        client_tag: client_tag.map(str::to_owned),
        idempotency_key: idempotency_key.map(Into::into),
        body,
    })
}
