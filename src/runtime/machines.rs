//! Sockets to machines: dialing, reading and writing. [`back`] assigns attempts to connections, and
//! [`crate::addresses`] chooses the endpoints.

use super::socket::{classify_dial_error, dial, IoStatus, PolledSocket};
use super::{Runtime, Source};
use crate::addresses::{DialKey, Endpoint, EndpointFailure};
use crate::api::{CacheId, LoadReport, Outcome};
use crate::back::{self, ConnectionKey, DialAction, DialError, EndpointPause, Remainder, SendError};
use crate::reasons::{EndpointClose, Reason as _, Violation};
use crate::reducer::{AttemptEnd, AttemptKey, Input, OutgoingRequest, Progress};
use crate::resp::{ProtocolError, SMALL_PART_BYTES};
use crate::{log_line, trace_event};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// What follows after something was received from a machine.
enum ReadStep {
    /// More may be read at once.
    Continue,
    /// Reading ends for now.
    Stop,
    /// The connection must be closed.
    Close(EndpointClose),
}

/// Once it has read more bytes than this, a connection yields to other sockets.
const MAX_READ_BYTES: usize = 128 * 1024;

impl Runtime {
    /// Reports a probe that could not be sent, or whose connection was lost.
    pub(super) fn probe_failed(&mut self, machine: crate::api::CacheId) {
        let (outcome, report) = (Outcome::ConnectFailed, LoadReport::default());
        self.inbox.push(Input::Probed { machine, outcome, report });
    }

    /// Queues an attempt for sending.
    pub(super) fn send_attempt(&mut self, attempt: AttemptKey, machine: &CacheId, request: &OutgoingRequest) {
        match self.connections.send(self.now(), attempt, machine, request) {
            Ok((key, _)) => self.schedule_write(key),
            Err(SendError::NoRoom) => self.inbox.push(Input::Ended { attempt, end: AttemptEnd::NoRoom }),
            Err(SendError::NoAddress) => {
                log_line!({ machine = %machine, attempt } "no usable address for {machine}");
                self.inbox.push(Input::Ended { attempt, end: AttemptEnd::Lost(Progress::NotConnected) });
            }
        }
    }

    /// Continues or closes the connection of an attempt that was stopped. What is left of an attempt that must
    /// not be completed is discarded with its connection, also by the kernel.
    pub(super) fn attempt_stopped(&mut self, key: ConnectionKey, remainder: Remainder) {
        let is_unsent = |socket: &PolledSocket| socket.has_unsent_bytes();
        let must_close = match remainder {
            Remainder::Nothing | Remainder::Stopped => false,
            Remainder::Late => self.connection_sockets.get(&key).is_some_and(is_unsent),
            Remainder::Partial => true,
        };
        match must_close {
            true => self.close_connection(key, EndpointClose::AttemptGivenUp),
            false => drop(self.runnable.insert(Source::Link(key))),
        }
    }

    /// Schedules a write on a connection. It happens after all events of the current wake-up are handled, as
    /// one of them may cancel what is queued: the client or the machine may have gone.
    pub(super) fn schedule_write(&mut self, key: ConnectionKey) {
        self.runnable.insert(Source::Link(key));
    }

    /// Starts and closes dials as the connection races require, until nothing is due.
    pub(super) fn run_dials(&mut self) {
        loop {
            let actions = self.connections.poll_dials(self.now());
            if actions.is_empty() {
                return;
            }
            self.apply_dial_actions(actions);
        }
    }

    fn apply_dial_actions(&mut self, actions: Vec<DialAction>) {
        for action in actions {
            match action {
                DialAction::Start(key, dial_key, endpoint) => self.start_dial(key, dial_key, &endpoint),
                DialAction::Close(dial_key) => self.close_dial(dial_key),
                DialAction::Paused(pause) => log_endpoint_pause(&pause),
            }
        }
    }

    fn start_dial(&mut self, key: ConnectionKey, dial_key: DialKey, endpoint: &Endpoint) {
        self.reducer.counters.dials += 1;
        match dial(endpoint) {
            Ok(stream) => {
                let socket = self.register_socket(Rc::new(stream), Source::Dial(dial_key), false);
                self.dials.insert(dial_key, (key, endpoint.clone(), socket));
            }
            Err(e) => self.dial_failed(key, dial_key, endpoint, &e),
        }
    }

    /// Closes the socket of a dial.
    pub(super) fn close_dial(&mut self, dial_key: DialKey) {
        if let Some((.., socket)) = self.dials.remove(&dial_key) {
            self.close_socket(&socket);
        }
    }

    /// Handles a failed dial. [`Runtime::run_dials`] continues the race with other endpoints; if none is
    /// left, a connection timer closes the connection.
    fn dial_failed(&mut self, key: ConnectionKey, dial_key: DialKey, endpoint: &Endpoint, error: &io::Error) {
        self.close_dial(dial_key);
        self.reducer.counters.dials_failed += 1;
        let machine = self.connections.machine(key).map(CacheId::to_string).unwrap_or_default();
        let end = classify_dial_error(endpoint, error);
        let why = match end {
            DialError::Failed(failure) => failure.to_string(),
            DialError::Unreachable | DialError::NoRoom => error.to_string(),
        };
        log_line!({ machine, address = %endpoint, outcome = why } "no connection to {endpoint}: {why}");
        if let Some(pause) = self.connections.dial_failed(self.now(), key, dial_key, end) {
            log_endpoint_pause(&pause);
        }
    }

    /// Handles a dial whose socket is reported ready: it may be connected, have failed, or still be pending.
    pub(super) fn serve_dial(&mut self, dial_key: DialKey) {
        let Some((key, endpoint, socket)) = self.dials.get(&dial_key) else { return };
        let (key, endpoint) = (*key, endpoint.clone());
        if !socket.writable {
            return;
        }
        match socket.stream.take_error() {
            Ok(None) => match socket.stream.peer_addr() {
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => return self.defer_for_shortage(Source::Dial(dial_key)),
            },
            Ok(Some(e)) => {
                self.dial_failed(key, dial_key, &endpoint, &e);
                return self.run_dials();
            }
            // A failure to read the socket's error says nothing about the connection.
            Err(_) => return self.defer_for_shortage(Source::Dial(dial_key)),
        }
        let now = self.now();
        let Some(actions) = self.connections.dial_connected(now, key, dial_key) else {
            return self.close_dial(dial_key);
        };
        if let Some((.., dialed)) = self.dials.remove(&dial_key) {
            self.close_socket(&dialed);
            let socket = self.register_socket(dialed.stream, Source::Link(key), true);
            self.connection_sockets.insert(key, socket);
            self.runnable.insert(Source::Link(key));
        }
        self.apply_dial_actions(actions);
        self.run_dials();
    }

    /// Runs connection timers: continues races, pauses endpoints that do not respond, and closes expired
    /// connections.
    pub(super) fn run_connection_timers(&mut self) {
        let now = self.now();
        let (paused, moved) = self.connections.check_unresponsive(now);
        paused.iter().for_each(log_endpoint_pause);
        moved.into_iter().for_each(|key| self.schedule_write(key));
        self.run_dials();
        for (key, why) in self.connections.expired(now) {
            self.close_connection(key, why);
        }
    }

    /// Reads from and writes to a machine, and closes the connection if it has failed.
    pub(super) fn serve_connection(&mut self, key: ConnectionKey) {
        if !self.connection_sockets.contains_key(&key) {
            return;
        }
        // Reading first detects a close by the peer before anything is written to the connection.
        if let Some(why) = self.read_connection(key).or_else(|| self.write_connection(key)) {
            self.close_connection(key, why);
        }
    }

    /// Reads from a machine. Returns the reason to close the connection, if there is one.
    pub(super) fn read_connection(&mut self, key: ConnectionKey) -> Option<EndpointClose> {
        let mut read = 0;
        loop {
            let now = self.now();
            let socket = self.connection_sockets.get_mut(&key)?;
            // The peer may have closed an idle connection without the event loop having reported it yet.
            let may_have_closed = read == 0 && self.connections.nothing_in_flight(key);
            if !socket.readable && !may_have_closed {
                return None;
            }
            if read > MAX_READ_BYTES {
                self.runnable.insert(Source::Link(key));
                return None;
            }
            let limit = self.connections.read_limit(key)?.min(self.buffer.len());
            let bytes = match socket.read(&mut self.buffer[..limit]) {
                Ok(bytes) => bytes,
                Err(IoStatus::Closed) => return Some(EndpointClose::PeerClosed),
                Err(IoStatus::Broken) => return Some(EndpointClose::Broken),
                Err(IoStatus::Blocked) => return None,
                Err(IoStatus::Shortage) => {
                    self.defer_for_shortage(Source::Link(key));
                    return None;
                }
            };
            read += bytes;
            let (events, error) = self.connections.receive(now, key, &self.buffer[..bytes]);
            match self.received_from_machine(key, events, error) {
                ReadStep::Continue => {}
                ReadStep::Stop => return None,
                ReadStep::Close(why) => return Some(why),
            }
        }
    }

    /// Reads the bodies of answers for which there is memory by now.
    pub(super) fn read_admitted_bodies(&mut self) {
        self.answer_memory.set_process_room(self.allocation_room());
        for key in self.answer_memory.take_admitted(self.now()) {
            let (events, error) = self.connections.grant_body(self.now(), key);
            self.runnable.insert(Source::Link(key));
            if let ReadStep::Close(why) = self.received_from_machine(key, events, error) {
                self.close_connection(key, why);
            }
            self.process_inputs();
        }
    }

    /// Passes on what a machine has sent. A large answer is handled at once, so that its client is sent it
    /// before more is read; a body that must wait for memory stops the reading.
    fn received_from_machine(
        &mut self,
        key: ConnectionKey,
        events: Vec<back::EndpointEvent>,
        error: Option<ProtocolError>,
    ) -> ReadStep {
        if !events.is_empty() {
            self.answer_memory.release(key);
        }
        if self.queue_endpoint_events(key, events) {
            self.process_inputs();
        }
        if let Some(error) = error {
            if error == back::WRONG_NAME {
                return ReadStep::Close(EndpointClose::WrongName);
            }
            self.reducer.counters.endpoint_faults += 1;
            log_line!("malformed answer on connection {key}: {}", error.0);
            return ReadStep::Close(EndpointClose::Unreadable);
        }
        if let Some(bytes) = self.connections.awaited_body(key) {
            return self.begin_body(key, bytes);
        }
        ReadStep::Continue
    }

    /// Reads a body if there is memory for it, and pauses its connection otherwise.
    fn begin_body(&mut self, key: ConnectionKey, bytes: usize) -> ReadStep {
        let now = self.now();
        self.answer_memory.set_process_room(self.allocation_room());
        if !self.answer_memory.admit(now, key, bytes) {
            self.reducer.counters.answers_delayed += 1;
            self.connections.pause(key);
            return ReadStep::Stop;
        }
        let (events, error) = self.connections.grant_body(now, key);
        self.received_from_machine(key, events, error)
    }

    /// Queues events of a connection for the reducer. Returns whether a large answer is among them.
    fn queue_endpoint_events(&mut self, key: ConnectionKey, events: Vec<back::EndpointEvent>) -> bool {
        let is_large = |event: &back::EndpointEvent| matches!(event, back::EndpointEvent::Answer(_, answer) if answer.body.len() > SMALL_PART_BYTES);
        let has_large_answer = events.iter().any(is_large);
        for event in events {
            let counters = &mut self.reducer.counters;
            self.inbox.push(match event {
                back::EndpointEvent::Answer(attempt, answer) => {
                    Input::Ended { attempt, end: AttemptEnd::Answer(answer) }
                }
                back::EndpointEvent::Probe(machine, outcome, report) => {
                    Input::Probed { machine, outcome, report }
                }
                back::EndpointEvent::Greeted => continue,
                back::EndpointEvent::Late => {
                    counters.answers_late += 1;
                    continue;
                }
                back::EndpointEvent::Unknown => {
                    counters.answers_unknown += 1;
                    log_line!("answer with an unknown request id on connection {key}");
                    continue;
                }
            });
        }
        has_large_answer
    }

    /// Writes queued frames to a machine. Returns the reason to close the connection, if there is one.
    pub(super) fn write_connection(&mut self, key: ConnectionKey) -> Option<EndpointClose> {
        loop {
            if !self.connection_sockets.get(&key)?.writable {
                return None;
            }
            if let Some(attempt) = self.connections.next_unstarted(key) {
                if !self.admit_attempt(key, attempt) {
                    continue;
                }
            }
            if let Some(attempt) = self.connections.partly_written(key) {
                if let Err(reason) = self.reducer.permit_rest(self.now(), attempt) {
                    trace_event!(self.now(), "attempt_cut_short", attempt, reason = reason.key());
                    return Some(EndpointClose::AttemptGivenUp);
                }
            }
            let now = self.now();
            let socket = self.connection_sockets.get_mut(&key)?;
            let bytes = self.connections.output(key)?;
            match socket.write(bytes) {
                Ok(bytes) => {
                    if let Some((attempt, progress)) = self.connections.wrote(now, key, bytes) {
                        self.inbox.push(Input::Progressed { attempt, progress });
                    }
                }
                Err(IoStatus::Closed | IoStatus::Broken) => return Some(EndpointClose::Broken),
                Err(IoStatus::Blocked) => return None,
                Err(IoStatus::Shortage) => {
                    self.defer_for_shortage(Source::Link(key));
                    return None;
                }
            }
        }
    }

    /// Asks the reducer for permission immediately before the first byte of an attempt is written. Without
    /// permission, the attempt is withheld and reported as ended.
    fn admit_attempt(&mut self, key: ConnectionKey, attempt: AttemptKey) -> bool {
        match self.reducer.permit(self.now(), attempt) {
            Ok(permit) => {
                self.connections.set_time_limit(key, permit.limit_ms);
                true
            }
            Err(reason) => {
                trace_event!(self.now(), "attempt_withheld", attempt, reason = reason.key());
                if reason.is_violation() {
                    self.report_violation(
                        Violation::ForbiddenSend,
                        format_args!("attempt {attempt}: {reason}"),
                    );
                }
                self.connections.withhold(self.now(), key);
                self.inbox.push(Input::Ended { attempt, end: AttemptEnd::Withheld(reason) });
                false
            }
        }
    }

    /// Closes a connection to a machine, and reports the end of those attempts and probes that do
    /// not move to another connection.
    pub(super) fn close_connection(&mut self, key: ConnectionKey, why: EndpointClose) {
        let now = self.now();
        self.answer_memory.release(key);
        if let Some(socket) = self.connection_sockets.remove(&key) {
            // An attempt that was given up is not in flight any more, but the kernel may still hold it.
            if why == EndpointClose::AttemptGivenUp || !self.connections.nothing_in_flight(key) {
                discard_unsent(&socket);
            }
            match why {
                // The connection carries no request, but the machine may send something until it notices the
                // close; closing the socket at once would reset the connection.
                EndpointClose::Idle => self.linger(Source::Link(key), socket),
                EndpointClose::PeerClosed
                | EndpointClose::Broken
                | EndpointClose::Unreadable
                | EndpointClose::Stalled
                | EndpointClose::ConnectTimeout
                | EndpointClose::NoGreeting
                | EndpointClose::NotNeeded
                | EndpointClose::NoRoom
                | EndpointClose::WrongName
                | EndpointClose::Restarted
                | EndpointClose::AttemptGivenUp
                | EndpointClose::Panic => self.close_socket(&socket),
            }
        }
        self.reducer.counters.reasons.endpoint_closes.add(why);
        let machine = self.connections.machine(key).map(CacheId::to_string).unwrap_or_default();
        let endpoint = self.connections.endpoint(key).cloned();
        for (_, endpoint) in
            self.connections.dials(key).into_iter().filter(|_| why == EndpointClose::ConnectTimeout)
        {
            self.reducer.counters.dials_failed += 1;
            log_line!({ machine, address = %endpoint, outcome = %why } "no connection to {endpoint}: {why}");
        }
        let failure = match why {
            EndpointClose::PeerClosed | EndpointClose::Broken | EndpointClose::Stalled => {
                Some(EndpointFailure::Broken)
            }
            EndpointClose::NoGreeting => Some(EndpointFailure::Unresponsive),
            EndpointClose::WrongName => Some(EndpointFailure::WrongName),
            EndpointClose::Unreadable
            | EndpointClose::Idle
            | EndpointClose::ConnectTimeout
            | EndpointClose::NotNeeded
            | EndpointClose::NoRoom
            | EndpointClose::Restarted
            | EndpointClose::AttemptGivenUp
            | EndpointClose::Panic => None,
        };
        // That a machine closes a connection with no request in flight is not a failure of the endpoint.
        let normal_close = self.connections.nothing_in_flight(key) && why == EndpointClose::PeerClosed;
        let ended = self.connections.connection_closed(now, key, failure.filter(|_| !normal_close));
        let (reason, lost) = (why.key(), ended.lost.len());
        // The event's fields `link` and `endpoint` hold the connection's key and the machine's id.
        trace_event!(now, "endpoint_closed", link = key, endpoint = machine, reason, lost);
        ended.dials.iter().for_each(|dial_key| self.close_dial(*dial_key));
        ended.paused.iter().for_each(log_endpoint_pause);
        if let Some(endpoint) = endpoint.filter(|_| !ended.lost.is_empty()) {
            let attempts = ended.lost.len();
            log_line!({ machine, address = %endpoint, attempts, outcome = %why }
                "connection to {endpoint} lost with {attempts} attempts outstanding: {why}");
        }
        for (attempt, progress) in ended.lost {
            let end =
                if why == EndpointClose::NoRoom { AttemptEnd::NoRoom } else { AttemptEnd::Lost(progress) };
            self.inbox.push(Input::Ended { attempt, end });
        }
        ended.probes.into_iter().for_each(|machine| self.probe_failed(machine));
        ended.moved.into_iter().for_each(|to| self.schedule_write(to));
    }
}

/// Makes the close of a socket discard what its kernel buffer holds, so that no attempt on it is delivered after
/// it has ended. The peer sees a reset.
fn discard_unsent(socket: &PolledSocket) {
    if let Err(e) = socket.stream.set_linger(Some(Duration::ZERO)) {
        log_line!("cannot discard what a connection has not sent: {e}");
    }
}

fn log_endpoint_pause(pause: &EndpointPause) {
    let EndpointPause { machine, endpoint, why, pause_ms } = pause;
    log_line!({ machine = %machine, address = %endpoint, outcome = %why }
        "not using {endpoint} for {machine} for {pause_ms:.0} ms: {why}");
}
