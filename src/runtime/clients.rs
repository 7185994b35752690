//! Client sockets: accepting, reading, writing, shedding and closing. [`front`] implements the protocol.

use super::drains::check_kernel;
use super::socket::{IoStatus, PolledSocket};
use super::{Runtime, Source};
use crate::api::Millis;
use crate::errno::{self, ErrorClass};
use crate::front::{self, Conn, TimeoutStatus, UnreadInput};
use crate::reasons::{ClientClose, Reason as _, Violation};
use crate::reducer::{Input, RequestKey};
use crate::{log_line, trace_event};
use rustix::io::Errno;
use socket2::Socket;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes read from one client before other sockets are served: a client that sends at full speed delays others
/// by the time that one such portion takes.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Bytes read at once. Rejections of what they hold may take up to twice as many, and are looked at after each
/// portion.
pub(super) const PORTION_BYTES: usize = 16 * 1024;
/// The same while the memory for answers runs short.
const SMALL_PORTION_BYTES: usize = 2 * 1024;
/// Share of the limit on requests held back beyond which clients wait. The rest is left for one portion of each.
const HOLD_SHARE: f64 = 0.25;
/// Connections accepted before other sockets are served.
const MAX_ACCEPTS: usize = 64;
/// Time for accepting before other sockets are served: each connection may cost a search for one to close.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(10);
/// Connections that may fail before they are accepted, in one round of accepting.
const MAX_ACCEPT_FAULTS: usize = 8;
/// Pause before accepting again when no descriptor is available for another connection.
const ACCEPT_PAUSE_MS: Millis = 20.0;

/// Converts an event of a client connection to an input of the reducer.
pub(super) fn client_input(conn: u64, event: front::ClientEvent) -> Input {
    let key = |serial| RequestKey { conn, serial };
    match event {
        front::ClientEvent::Request(serial, request, age_ms) => {
            Input::RequestReceived { key: key(serial), request, age_ms }
        }
        front::ClientEvent::HealthCheck(serial) => Input::Health { key: key(serial) },
        front::ClientEvent::Aborted(serial) => Input::Aborted { key: key(serial) },
        front::ClientEvent::RequestTruncated(serial, reason) => {
            Input::RequestTruncated { key: key(serial), reason }
        }
    }
}

/// Whether the client of an idle connection still reads what was written to it.
fn is_still_read(now: Millis, socket: &PolledSocket, conn: &mut Conn) -> bool {
    check_kernel(now, socket, conn);
    conn.read_progress().is_reading(now)
}

/// The result of one round of accepting connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptOutcome {
    /// The accept queue is empty.
    QueueEmpty,
    /// More connections may be queued; other sockets are served first.
    MorePending,
    /// No more connections can be accepted now; accepting resumes after a short pause.
    Paused,
}

/// The result of reading once from a client.
enum ReceiveOutcome {
    /// This many bytes were received and decoded.
    Received(usize),
    /// Nothing can be read now.
    Nothing,
    /// There is no memory for what may wait to be read.
    NoMemory,
    /// The connection must be closed for this reason.
    Ended(ClientClose),
}

impl Runtime {
    /// Accepts connections. A listener that is to close is closed only when its queue is empty: the kernel
    /// has completed the connections in the queue, no other process can accept them, and closing the listener
    /// would reset them.
    pub(super) fn accept(&mut self) -> AcceptOutcome {
        let accepted = self.accept_pending();
        match accepted {
            AcceptOutcome::QueueEmpty if self.closing_listener => self.close_listener(),
            AcceptOutcome::QueueEmpty => {}
            AcceptOutcome::MorePending => drop(self.runnable.insert(Source::Listener)),
            AcceptOutcome::Paused => self.resume_accept_at = Some(self.now() + ACCEPT_PAUSE_MS),
        }
        accepted
    }

    fn accept_pending(&mut self) -> AcceptOutcome {
        let (mut faults, started) = (0, Instant::now());
        for _ in 0..MAX_ACCEPTS {
            if started.elapsed() > MAX_ACCEPT_TIME {
                return AcceptOutcome::MorePending;
            }
            let Some((listener, _)) = &self.listener else { return AcceptOutcome::QueueEmpty };
            let listener = listener.clone();
            if self.allocation_room() == 0 {
                return AcceptOutcome::Paused;
            }
            if self.clients.len() >= self.reducer.max_client_connections() && !self.shed_client() {
                return AcceptOutcome::Paused;
            }
            match listener.accept() {
                Ok((stream, peer)) => {
                    self.last_client += 1;
                    let client = self.last_client;
                    // Without these options the connection is slower or may block briefly, which is no reason
                    // to reset it.
                    let set = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));

                    if let Err(e) = set {
                        log_line!("cannot set an option of a client connection: {e}");
                    }
                    let socket =
                        self.register_socket(Rc::new(Socket::from(stream)), Source::Front(client), true);
                    let conn = Conn::new(self.now()).with_client_timeout(self.reducer.longest_deadline_ms());
                    self.clients.insert(client, (socket, conn));
                    trace_event!(self.now(), "client_accepted", client, peer = %peer);
                    self.runnable.insert(Source::Front(client));
                    self.limit_lingering();
                }
                Err(e) => match errno::classify(&e) {
                    ErrorClass::WouldBlock => return AcceptOutcome::QueueEmpty,
                    ErrorClass::Interrupted => {}
                    // The connection failed before it was accepted (accept(2)); the next one may be usable.
                    ErrorClass::Peer | ErrorClass::Unreachable => faults += 1,
                    ErrorClass::Shortage => {
                        log_line!("cannot accept a connection: {e}");
                        if Errno::from_io_error(&e) == Some(Errno::MFILE) {
                            self.shed_client(); // Frees one of this process's own descriptors.
                        }
                        return AcceptOutcome::Paused;
                    }
                },
            }
            if faults >= MAX_ACCEPT_FAULTS {
                return AcceptOutcome::Paused;
            }
        }
        AcceptOutcome::MorePending
    }

    fn close_listener(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
            trace_event!(self.now(), "listener_closed",);
        }
    }

    /// Closes one client connection to free its descriptor: first those that never sent a request, then those
    /// idle longest. Reads from a candidate first, since it is in use if it has just sent something. The
    /// connection does not linger, as that would keep the descriptor; so none is shed whose client still reads
    /// its answers, which a reset would cost it. Returns false if no connection can be shed.
    pub(super) fn shed_client(&mut self) -> bool {
        let now = self.now();
        let spare = self.clients.iter().filter_map(|(key, (_, conn))| Some((conn.shed_priority(now)?, *key)));
        let mut spare: Vec<_> = spare.collect();
        spare.sort_unstable();
        for (_, key) in spare {
            let in_use = |(socket, conn): &mut (PolledSocket, Conn)| {
                check_kernel(now, socket, conn);
                conn.shed_priority(now).is_none() || !conn.can_close(now) || socket.has_unsent_bytes()
            };
            let ended = self.read_client_now(key).is_some();
            self.process_inputs();
            if !ended && (self.awaits_input_room(key) || self.clients.get_mut(&key).is_none_or(in_use)) {
                continue;
            }
            self.reducer.counters.clients_shed += 1;
            self.flush_and_close_client(key, ClientClose::Shed);
            return true;
        }
        false
    }

    /// Closes connections that are idle, send no request or take no data, and rejects requests that are not
    /// complete in time.
    pub(super) fn sweep(&mut self, now: Millis) {
        let (mut expired, mut idle) = (Vec::new(), Vec::new());
        for (key, (socket, conn)) in &mut self.clients {
            let before = conn.buffered_bytes();
            match conn.check_timeouts(now) {
                TimeoutStatus::Ok => {}
                TimeoutStatus::Connection(ClientClose::Idle) if is_still_read(now, socket, conn) => {}
                TimeoutStatus::Connection(reason) if conn.can_close_cleanly(now) => idle.push((*key, reason)),
                TimeoutStatus::Connection(reason) => expired.push((*key, reason)),
                TimeoutStatus::Requests(late) => {
                    self.inbox.extend(late.into_iter().map(|event| client_input(*key, event)));
                }
            }
            self.incoming_bytes = self.incoming_bytes + conn.buffered_bytes() - before;
        }
        self.reducer.counters.clients_stale += (expired.len() + idle.len()) as u64;
        expired.into_iter().for_each(|(key, reason)| self.flush_and_close_client(key, reason));
        for (key, reason) in idle {
            self.close_idle_client(key, reason);
            self.process_inputs();
        }
    }

    /// Closes an idle connection, unless its client has just sent something.
    pub(super) fn close_idle_client(&mut self, key: u64, reason: ClientClose) {
        match self.read_client_now(key) {
            Some(reason) => self.flush_and_close_client(key, reason),
            None if self.awaits_input_room(key) => {}
            None if self.clients.get(&key).is_some_and(|(_, conn)| conn.can_close_cleanly(self.now())) => {
                self.close_client(key, reason);
            }
            None => drop(self.runnable.insert(Source::Front(key))),
        }
    }

    /// Reads from and writes to a client, and closes its connection if it is finished.
    pub(super) fn serve_client(&mut self, key: u64) {
        if let Some(reason) = self.read_client(key).or_else(|| self.write_client(key)) {
            return self.flush_and_close_client(key, reason);
        }
        let finished = self.clients.get(&key).and_then(|(_, conn)| conn.close_reason());
        if let Some(reason) = finished {
            self.close_client(key, reason);
        }
    }

    /// Reads what a client has sent, even if the event loop has not reported the socket as readable yet.
    pub(super) fn read_client_now(&mut self, key: u64) -> Option<ClientClose> {
        self.clients.get_mut(&key)?.0.readable = true;
        self.read_client(key)
    }

    /// Reads what a client has sent. Returns the reason to close the connection, if there is one.
    pub(super) fn read_client(&mut self, key: u64) -> Option<ClientClose> {
        let mut read = 0;
        let unread = loop {
            match self.receive_from_client(key) {
                ReceiveOutcome::Received(bytes) => read += bytes,
                ReceiveOutcome::Nothing => break UnreadInput::None,
                ReceiveOutcome::NoMemory => break UnreadInput::Waits,
                ReceiveOutcome::Ended(reason) => return Some(reason),
            }
            self.limit_held_requests(key);
            if self.clients.get(&key).is_some_and(|(_, conn)| conn.has_rejections()) {
                // What the client takes of them needs no memory.
                if let Some(reason) = self.write_client(key) {
                    return Some(reason);
                }
            }
            if read >= MAX_READ_BYTES {
                self.runnable.insert(Source::Front(key));
                if let Some((_, conn)) = self.clients.get_mut(&key) {
                    conn.read_full_portion();
                }
                break UnreadInput::Waits;
            }
        };
        self.queue_requests(key, unread);
        None
    }

    /// Passes on the complete requests of a client that need not be held back any more.
    fn queue_requests(&mut self, key: u64, unread: UnreadInput) {
        // What would be refused anyway, or has no time, need not wait.
        let is_refused = self.reducer.service().refusal(self.now()).is_some();
        match is_refused || self.reducer.is_terminating() {
            true => self.queue_requests_within(key, unread, usize::MAX),
            false => {
                let room = self.reducer.body_memory_left().saturating_sub(self.inbox.request_bytes());
                self.queue_requests_within(key, unread, room);
            }
        }
    }

    /// Makes room for the requests that are held back. Beyond a share of the limit, the client that was read last
    /// waits for memory with what it has sent; at the limit its requests are passed on, to be refused. What others
    /// wait with already is not affected.
    fn limit_held_requests(&mut self, key: u64) {
        if self.held_bytes > self.max_incoming_bytes {
            self.release_requests(key);
        } else if self.held_bytes as f64 > self.max_incoming_bytes as f64 * HOLD_SHARE {
            self.queue_requests(key, UnreadInput::Ignored);
        }
    }

    /// Passes on all complete requests of a client, whether there is memory for their bodies or not.
    pub(super) fn release_requests(&mut self, key: u64) {
        self.queue_requests_within(key, UnreadInput::Ignored, usize::MAX);
    }

    fn queue_requests_within(&mut self, key: u64, unread: UnreadInput, room: usize) {
        let now = self.now();
        let Some((_, conn)) = self.clients.get_mut(&key) else { return };
        let before = conn.held_bytes();
        let requests = conn.take_requests(now, unread, room);
        self.held_bytes = self.held_bytes + conn.held_bytes() - before;
        match conn.settle_deadline() {
            Some(at) => drop(self.settling.insert(key, at)),
            None => drop(self.settling.remove(&key)),
        }
        if conn.memory_wait_deadline().is_some() && !self.awaiting_memory.contains(&key) {
            self.reducer.counters.requests_delayed += 1;
            self.awaiting_memory.push_back(key);
        }
        for request in requests {
            let request = self.claim_request(request);
            self.inbox.push(client_input(key, request));
        }
    }

    /// Passes on requests that have waited for memory, in the order of their clients, as far as there is room now,
    /// and those that have waited for as long as they may.
    pub(super) fn resume_after_memory_wait(&mut self) {
        let now = self.now();
        let is_due = |key: &u64| self.memory_wait_deadline(*key).is_some_and(|at| at <= now);
        let due: Vec<u64> = self.awaiting_memory.iter().copied().filter(is_due).collect();
        for key in due {
            self.queue_requests(key, UnreadInput::Ignored);
            self.process_inputs();
        }
        while let Some(key) = self.awaiting_memory.front().copied() {
            let has_closed = self.clients.get(&key).is_some_and(|(socket, _)| socket.peer_has_closed());
            if has_closed {
                self.flush_and_close_client(key, ClientClose::PeerClosed);
            }
            self.queue_requests(key, UnreadInput::Ignored);
            self.process_inputs();
            if self.memory_wait_deadline(key).is_some() {
                return;
            }
            self.awaiting_memory.pop_front();
            self.runnable.insert(Source::Front(key));
        }
    }

    /// Schedules the clients from which nothing more has arrived for long enough.
    pub(super) fn serve_settled_clients(&mut self, now: Millis) {
        let settled: Vec<u64> =
            self.settling.iter().filter(|(_, at)| **at <= now).map(|(key, _)| *key).collect();
        for key in settled {
            self.settling.remove(&key);
            self.runnable.insert(Source::Front(key));
        }
    }

    /// Returns when the first request stops waiting for memory.
    pub(super) fn next_memory_wait_deadline(&self) -> Option<Millis> {
        self.awaiting_memory.iter().filter_map(|key| self.memory_wait_deadline(*key)).reduce(f64::min)
    }

    /// Returns when the first request of a client stops waiting for memory.
    fn memory_wait_deadline(&self, key: u64) -> Option<Millis> {
        self.clients.get(&key).and_then(|(_, conn)| conn.memory_wait_deadline())
    }

    /// Reads from a client once.
    fn receive_from_client(&mut self, key: u64) -> ReceiveOutcome {
        let now = self.now();
        let Some((socket, conn)) = self.clients.get(&key) else { return ReceiveOutcome::Nothing };
        let memory_lacks = match self.answer_memory.is_half_full() {
            true => conn.has_output_backlog() || conn.has_rejections(),
            false => conn.has_rejection_backlog(),
        };
        if !socket.readable || !conn.may_read() || memory_lacks {
            return ReceiveOutcome::Nothing;
        }
        if !self.make_input_room() {
            self.await_input_room(key);
            return ReceiveOutcome::NoMemory;
        }
        let Some((socket, conn)) = self.clients.get_mut(&key).filter(|(_, conn)| conn.may_read()) else {
            return ReceiveOutcome::Nothing;
        };
        if self.incoming_bytes >= self.max_incoming_bytes {
            self.reducer.counters.read_over_limit += 1;
        }
        let portion = if self.answer_memory.is_half_full() { SMALL_PORTION_BYTES } else { PORTION_BYTES };
        let bytes = match socket.read(&mut self.buffer[..portion]) {
            Ok(bytes) => bytes,
            Err(IoStatus::Closed) => return ReceiveOutcome::Ended(ClientClose::PeerClosed),
            Err(IoStatus::Broken) => return ReceiveOutcome::Ended(ClientClose::PeerReset),
            Err(IoStatus::Blocked) => return ReceiveOutcome::Nothing,
            Err(IoStatus::Shortage) => {
                self.defer_for_shortage(Source::Front(key));
                return ReceiveOutcome::Nothing;
            }
        };
        let (before, output_before) = (conn.buffered_bytes(), conn.output_memory());
        let held_before = conn.held_bytes();
        let (events, fault) = conn.receive(now, &self.buffer[..bytes]);
        self.incoming_bytes = self.incoming_bytes + conn.buffered_bytes() - before;
        self.held_bytes = self.held_bytes + conn.held_bytes() - held_before;
        self.answer_memory.unsent_changed(output_before, conn.output_memory());
        let retracted = conn.take_retracted_bytes();
        if retracted > 0 {
            self.inbox.push(Input::Flushed { conn: key, bytes: retracted });
        }
        self.inbox.extend(events.into_iter().map(|event| client_input(key, event)));
        if let Some(fault) = fault {
            self.reducer.counters.client_faults += 1;
            log_line!("malformed record from a client: {fault:?}");
            self.stop_reading_client(key, ClientClose::Unreadable);
            return ReceiveOutcome::Nothing;
        }
        ReceiveOutcome::Received(bytes)
    }

    /// Stops reading from a client. Its complete requests are answered, and then its connection is closed.
    pub(super) fn stop_reading_client(&mut self, key: u64, reason: ClientClose) {
        self.release_requests(key);
        let Some((_, conn)) = self.clients.get_mut(&key) else { return };
        self.incoming_bytes -= conn.buffered_bytes();
        conn.stop_reading(reason);
        self.inbox.push(Input::ConnectionUnreadable { conn: key });
        self.runnable.insert(Source::Front(key));
    }

    /// Writes pending answers to a client. Returns the reason to close the connection, if there is one.
    pub(super) fn write_client(&mut self, key: u64) -> Option<ClientClose> {
        let (mut written, now) = (0, self.now());
        let (socket, conn) = self.clients.get_mut(&key)?;
        let output_before = conn.output_memory();
        let mut shortage = false;
        let reason = loop {
            let Some(bytes) = conn.output().filter(|_| socket.writable) else { break None };
            match socket.write(bytes) {
                Ok(bytes) => {
                    conn.wrote(now, bytes);
                    written += bytes;
                }
                Err(IoStatus::Closed | IoStatus::Broken) => break Some(ClientClose::PeerReset),
                Err(IoStatus::Blocked) => break None,
                Err(IoStatus::Shortage) => {
                    shortage = true;
                    break None;
                }
            }
        };
        let retry = shortage;
        self.answer_memory.unsent_changed(output_before, conn.output_memory());
        // Reading may have stopped because of what was unwritten.
        if written > 0 && socket.readable {
            self.runnable.insert(Source::Front(key));
        }
        if retry {
            self.defer_for_shortage(Source::Front(key));
        }
        if written > 0 {
            self.inbox.push(Input::Flushed { conn: key, bytes: written });
        }
        reason
    }

    /// Closes a client's connection after writing as much of the pending answers as the socket accepts at
    /// once.
    pub(super) fn flush_and_close_client(&mut self, key: u64, reason: ClientClose) {
        let lingers = match reason {
            ClientClose::PeerClosed | ClientClose::PeerReset | ClientClose::Panic => false,
            ClientClose::Shed => false, // Lingering would keep the descriptor that is needed.
            ClientClose::Unreadable
            | ClientClose::RequestTimeout
            | ClientClose::MemoryFull
            | ClientClose::Idle
            | ClientClose::WriteTimeout
            | ClientClose::Draining
            | ClientClose::NoKeepConn
            | ClientClose::ProcessExit => true,
        };
        if lingers && self.write_client(key).is_none() {
            return self.close_client(key, reason);
        }
        if let Some(socket) = self.remove_client(key, reason) {
            self.close_socket(&socket);
        }
    }

    /// Closes a client's connection with a lingering close.
    pub(super) fn close_client(&mut self, key: u64, reason: ClientClose) {
        if let Some(socket) = self.remove_client(key, reason) {
            if socket.has_unsent_bytes() {
                self.reducer.counters.closed_unsent += 1;
            }
            self.linger(Source::Front(key), socket);
        }
    }

    /// Removes a client and reports its close to the reducer. Returns its socket, which the caller closes.
    pub(super) fn remove_client(&mut self, key: u64, reason: ClientClose) -> Option<PolledSocket> {
        let (socket, conn) = self.clients.remove(&key)?;
        self.reducer.counters.reasons.client_closes.add(reason);
        let (open, owed, unwritten) = (conn.open_requests(), conn.owed_answers(), conn.unwritten_bytes());
        trace_event!(self.now(), "client_closed", client = key, reason = reason.key(), open, owed, unwritten);
        // A client that stopped reading can't be answered either.
        let by_client =
            matches!(reason, ClientClose::PeerClosed | ClientClose::PeerReset | ClientClose::WriteTimeout);
        if owed > 0 && !by_client {
            let why = format_args!("client {key} was closed ({reason}) with {owed} requests unanswered");
            self.report_violation(Violation::ClosedUnanswered, why);
        }
        self.incoming_bytes -= conn.buffered_bytes();
        self.held_bytes -= conn.held_bytes();
        self.settling.remove(&key);
        self.answer_memory.unsent_changed(conn.output_memory(), 0);
        self.inbox.push(Input::ConnectionClosed { conn: key });
        Some(socket)
    }
}
