//! Machines' sockets: dialled, read and written. What is on which connection is [`back`]'s, and which way it goes
//! [`crate::addresses`]'.

use super::socket::{dial, dial_end, Io};
use super::{Runtime, Source};
use crate::addresses::{DialKey, Endpoint, EndpointFailure};
use crate::api::{CacheId, LoadReport, Outcome};
use crate::back::{self, ConnectionKey, DialAction, DialError, EndpointPause, SendError};
use crate::reasons::{EndpointClose, Reason as _, Violation};
use crate::reducer::{AttemptEnd, AttemptKey, Input, OutgoingRequest, Progress};
use crate::{log_line, trace_event};
use std::io;
use std::rc::Rc;

/// Bytes read from one machine before others have their turn.
const READ_AT_ONCE: usize = 512 * 1024;

impl Runtime {
    pub(super) fn probe_failed(&mut self, member: crate::api::CacheId) {
        let (outcome, report) = (Outcome::ConnectFailed, LoadReport::default());
        self.inbox.push(Input::Probed { machine: member, outcome, report });
    }

    /// Queues an attempt.
    pub(super) fn send(&mut self, attempt: AttemptKey, member: &CacheId, call: &OutgoingRequest) {
        match self.links.send(self.now(), attempt, member, call) {
            Ok((key, _)) => self.queued(key),
            Err(SendError::NoRoom) => self.inbox.push(Input::Ended { attempt, end: AttemptEnd::NoRoom }),
            Err(SendError::NoAddress) => {
                log_line!({ machine = %member, attempt } "no address of {member} is its own now");
                self.inbox.push(Input::Ended { attempt, end: AttemptEnd::Lost(Progress::NotConnected) });
            }
        }
    }

    /// Something is queued for a machine. It leaves, and is dialled for, once all that the wake has brought is heard:
    /// its client may have left, or its machine.
    pub(super) fn queued(&mut self, key: ConnectionKey) {
        self.dirty.insert(Source::Link(key));
    }

    /// Dials and closes dials as the races ask for it, until none is due.
    pub(super) fn dial_due(&mut self) {
        loop {
            let todo = self.links.poll_dials(self.now());
            if todo.is_empty() {
                return;
            }
            self.dialling(todo);
        }
    }

    fn dialling(&mut self, todo: Vec<DialAction>) {
        for one in todo {
            match one {
                DialAction::Start(key, number, endpoint) => self.start_dial(key, number, &endpoint),
                DialAction::Close(number) => self.close_dial(number),
                DialAction::Paused(left) => say_left(&left),
            }
        }
    }

    fn start_dial(&mut self, key: ConnectionKey, number: DialKey, endpoint: &Endpoint) {
        self.reducer.counters.dials += 1;
        match dial(endpoint) {
            Ok(stream) => {
                let sock = self.watch(Rc::new(stream), Source::Dial(number), false);
                self.dials.insert(number, (key, endpoint.clone(), sock));
            }
            Err(e) => self.dial_over(key, number, endpoint, &e),
        }
    }

    pub(super) fn close_dial(&mut self, number: DialKey) {
        if let Some((.., sock)) = self.dials.remove(&number) {
            self.drop_sock(&sock);
        }
    }

    /// A dial has failed: the race goes on, or the connection never comes up.
    fn dial_over(&mut self, key: ConnectionKey, number: DialKey, endpoint: &Endpoint, error: &io::Error) {
        self.close_dial(number);
        self.reducer.counters.dials_failed += 1;
        let machine = self.links.machine(key).map(CacheId::to_string).unwrap_or_default();
        let end = dial_end(endpoint, error);
        let why = match end {
            DialError::Failed(failure) => failure.to_string(),
            DialError::Unreachable | DialError::NoRoom => error.to_string(),
        };
        log_line!({ machine, address = %endpoint, outcome = why } "no connection to {endpoint}: {why}");
        if let Some(left) = self.links.dial_failed(self.now(), key, number, end) {
            say_left(&left);
        }
    }

    /// A dial that is ready: it is up, or has failed.
    pub(super) fn serve_dial(&mut self, number: DialKey) {
        let Some((key, endpoint, sock)) = self.dials.get(&number) else { return };
        let (key, endpoint) = (*key, endpoint.clone());
        if !sock.writable {
            return;
        }
        match sock.stream.take_error() {
            Ok(None) => match sock.stream.peer_addr() {
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => return self.starve(Source::Dial(number)),
            },
            Ok(Some(e)) => {
                self.dial_over(key, number, &endpoint, &e);
                return self.dial_due();
            }
            Err(_) => return self.starve(Source::Dial(number)), // That it can't be asked says nothing of it.
        }
        let now = self.now();
        let Some(todo) = self.links.dial_connected(now, key, number) else { return self.close_dial(number) };
        if let Some((.., dialled)) = self.dials.remove(&number) {
            self.drop_sock(&dialled);
            let sock = self.watch(dialled.stream, Source::Link(key), true);
            self.link_socks.insert(key, sock);
            self.dirty.insert(Source::Link(key));
        }
        self.dialling(todo);
        self.dial_due();
    }

    /// What time has brought: races that go on, paths that fell mute, connections that are over.
    pub(super) fn links_due(&mut self) {
        let now = self.now();
        let (left, moved) = self.links.check_unresponsive(now);
        left.iter().for_each(say_left);
        moved.into_iter().for_each(|key| self.queued(key));
        self.dial_due();
        for (key, why) in self.links.expired(now) {
            self.link_down(key, why);
        }
    }

    pub(super) fn serve_link(&mut self, key: ConnectionKey) {
        if !self.link_socks.contains_key(&key) {
            return;
        }
        // Reading goes first: a close by the other side is seen before anything is written into it.
        if let Some(why) = self.read_link(key).or_else(|| self.write_link(key)) {
            self.link_down(key, why);
        }
    }

    pub(super) fn read_link(&mut self, key: ConnectionKey) -> Option<EndpointClose> {
        let mut read = 0;
        loop {
            let now = self.now();
            let sock = self.link_socks.get_mut(&key)?;
            // One that rests may have been closed with no word from the loop yet.
            let may_have_closed = read == 0 && self.links.nothing_in_flight(key);
            if !sock.readable && !may_have_closed {
                return None;
            }
            if read > READ_AT_ONCE {
                self.dirty.insert(Source::Link(key));
                return None;
            }
            let bytes = match sock.read(&mut self.buffer) {
                Ok(bytes) => bytes,
                Err(Io::Closed) => return Some(EndpointClose::PeerClosed),
                Err(Io::Broken) => return Some(EndpointClose::Broken),
                Err(Io::Blocked) => return None,
                Err(Io::Starved) => {
                    self.starve(Source::Link(key));
                    return None;
                }
            };
            read += bytes;
            let (heard, fault) = self.links.receive(now, key, &self.buffer[..bytes]);
            for heard in heard {
                let counters = &mut self.reducer.counters;
                self.inbox.push(match heard {
                    back::EndpointEvent::Answer(attempt, answer) => {
                        Input::Ended { attempt, end: AttemptEnd::Answer(answer) }
                    }
                    back::EndpointEvent::Probe(member, outcome, report) => {
                        Input::Probed { machine: member, outcome, report }
                    }
                    back::EndpointEvent::Greeted => continue,
                    back::EndpointEvent::Late => {
                        counters.answers_late += 1;
                        continue;
                    }
                    back::EndpointEvent::Unknown => {
                        counters.answers_unknown += 1;
                        log_line!("an answer with an unknown id");
                        continue;
                    }
                });
            }
            if let Some(fault) = fault {
                if fault == back::WRONG_NAME {
                    return Some(EndpointClose::WrongName);
                }
                self.reducer.counters.endpoint_faults += 1;
                log_line!("a machine's answer can't be read: {}", fault.0);
                return Some(EndpointClose::Unreadable);
            }
        }
    }

    pub(super) fn write_link(&mut self, key: ConnectionKey) -> Option<EndpointClose> {
        loop {
            if !self.link_socks.get(&key)?.writable {
                return None;
            }
            if let Some(attempt) = self.links.next_unstarted(key) {
                if !self.may_begin(key, attempt) {
                    continue;
                }
            }
            let now = self.now();
            let sock = self.link_socks.get_mut(&key)?;
            let bytes = self.links.output(key)?;
            match sock.write(bytes) {
                Ok(bytes) => {
                    if let Some((attempt, progress)) = self.links.wrote(now, key, bytes) {
                        self.inbox.push(Input::Progressed { attempt, progress });
                    }
                }
                Err(Io::Closed | Io::Broken) => return Some(EndpointClose::Broken),
                Err(Io::Blocked) => return None,
                Err(Io::Starved) => {
                    self.starve(Source::Link(key));
                    return None;
                }
            }
        }
    }

    /// Asks, as an attempt's first byte would leave, whether it may. What may not is taken back, and its end reported.
    fn may_begin(&mut self, key: ConnectionKey, attempt: AttemptKey) -> bool {
        match self.reducer.permit(self.now(), attempt) {
            Ok(permit) => {
                self.links.set_time_limit(key, permit.limit_ms);
                true
            }
            Err(reason) => {
                trace_event!(self.now(), "attempt_withheld", attempt, reason = reason.key());
                if reason.is_violation() {
                    self.violated(Violation::ForbiddenSend, format_args!("attempt {attempt}: {reason}"));
                }
                self.links.withhold(self.now(), key);
                self.inbox.push(Input::Ended { attempt, end: AttemptEnd::Withheld(reason) });
                false
            }
        }
    }

    pub(super) fn link_down(&mut self, key: ConnectionKey, why: EndpointClose) {
        let now = self.now();
        if let Some(sock) = self.link_socks.remove(&key) {
            match why {
                // Its peer is well, and may have begun to say something: it isn't reset under that.
                EndpointClose::Idle => self.linger(Source::Link(key), sock),
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
                | EndpointClose::Panic => self.drop_sock(&sock),
            }
        }
        self.reducer.counters.reasons.endpoint_closes.add(why);
        let machine = self.links.machine(key).map(CacheId::to_string).unwrap_or_default();
        let endpoint = self.links.endpoint(key).cloned();
        for (_, endpoint) in
            self.links.dials(key).into_iter().filter(|_| why == EndpointClose::ConnectTimeout)
        {
            self.reducer.counters.dials_failed += 1;
            log_line!({ machine, address = %endpoint, outcome = %why } "no connection to {endpoint}: {why}");
        }
        let blame = match why {
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
            | EndpointClose::Panic => None,
        };
        // A close at rest is how idle connections end.
        let rested = self.links.nothing_in_flight(key) && why == EndpointClose::PeerClosed;
        let ended = self.links.connection_closed(now, key, blame.filter(|_| !rested));
        let (reason, lost) = (why.key(), ended.lost.len());
        trace_event!(now, "endpoint_closed", link = key, endpoint = machine, reason, lost);
        ended.dials.iter().for_each(|number| self.close_dial(*number));
        ended.paused.iter().for_each(say_left);
        if let Some(endpoint) = endpoint.filter(|_| !ended.lost.is_empty()) {
            let attempts = ended.lost.len();
            log_line!({ machine, address = %endpoint, attempts, outcome = %why }
                "connection to {endpoint} lost with {attempts} attempts: {why}");
        }
        for (attempt, progress) in ended.lost {
            let end =
                if why == EndpointClose::NoRoom { AttemptEnd::NoRoom } else { AttemptEnd::Lost(progress) };
            self.inbox.push(Input::Ended { attempt, end });
        }
        ended.probes.into_iter().for_each(|member| self.probe_failed(member));
        ended.moved.into_iter().for_each(|to| self.queued(to));
    }
}

fn say_left(left: &EndpointPause) {
    let EndpointPause { machine: member, endpoint, why, pause_ms } = left;
    log_line!({ machine = %member, address = %endpoint, outcome = %why }
        "{member} is not reached over {endpoint} for {pause_ms:.0} ms: {why}");
}
