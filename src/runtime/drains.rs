//! Client connections during a drain or shutdown: closed when idle or, if they never become idle, answered
//! and closed in time. [`Service::admission`] decides what is done when; this module is the only one that
//! carries it out.
//!
//! Also logs state changes of the service, and violated guarantees.

use super::clients::{client_input, AcceptOutcome};
use super::handover::Handover;
use super::socket::PolledSocket;
use super::{Runtime, Source};
use crate::api::Millis;
use crate::front::Conn;
use crate::reasons::{ClientClose, Refusal, Violation};
use crate::reducer::Input;
use crate::service::{Admission, Service, RECENT_MS};
use crate::{log_line, trace_event};
use std::fmt;
use std::net::Shutdown;
use std::time::{Duration, Instant};

/// Time for accepting what is queued before later requests are refused. Clients that go on connecting would be
/// accepted without end.
const MAX_LAST_ACCEPT_TIME: Duration = Duration::from_millis(100);
/// Time for reading from all clients before later requests are refused.
const MAX_LAST_READ_TIME: Duration = Duration::from_millis(100);
/// Reads per connection, at most, that discard received data before a remaining connection is closed at
/// process exit, and the time for all of them.
const MAX_FINAL_READS: usize = 16;
const MAX_FINAL_READ_TIME: Duration = Duration::from_millis(50);
/// Time after the start of a drain for which a client is waited for that reads and goes on sending requests,
/// as it can do without end.
const MAX_READ_WAIT_MS: Millis = 30_000.0;
/// Interval between two log lines about the progress of a drain.
const DRAIN_LOG_INTERVAL_MS: Millis = 1000.0;

/// Asks the kernel how much it holds unsent, if all answers are written and that is due.
pub(super) fn check_kernel(now: Millis, socket: &PolledSocket, conn: &mut Conn) {
    if conn.next_read_check().is_some_and(|at| at <= now) {
        conn.checked_kernel(now, socket.unsent(conn.read_progress().unsent()));
    }
}

impl Runtime {
    /// Closes the connections that the current admission state no longer keeps.
    pub(super) fn drain_clients(&mut self) {
        let (now, from) = (self.now(), self.drain_turns.next());
        self.drain_turns.begin(self.start.elapsed());
        if self.reducer.service().admission(now) == Admission::Open {
            return;
        }
        let is_due = |conn: &Conn| {
            conn.next_read_check().is_some_and(|at| at <= now)
                || conn.can_close_cleanly(now)
                || self.reducer.service().closes_busy(now, conn.latest_request_at())
        };
        let due = self.clients.iter().filter(|(_, (_, conn))| is_due(conn));
        let mut due: Vec<u64> = due.map(|(key, _)| *key).collect();
        let first = due.partition_point(|key| *key < from);
        due.rotate_left(first);
        for key in due {
            if self.drain_turns.may_serve(self.start.elapsed(), key) {
                self.drain_client(key);
                self.process_inputs();
            }
        }
    }

    /// Closes a connection, idle or not, after reading and answering what has been received on it.
    fn drain_client(&mut self, key: u64) {
        if let Some(reason) = self.read_client_now(key) {
            return self.flush_and_close_client(key, reason);
        }
        let now = self.now();
        let may_have_sent = self.awaits_input_room(key);
        let Some((socket, conn)) = self.clients.get_mut(&key) else { return };
        check_kernel(now, socket, conn);
        if !self.reducer.service().closes_busy(now, conn.latest_request_at()) {
            return match conn.can_close_cleanly(now) && !may_have_sent {
                true => self.close_client(key, ClientClose::Draining),
                // Something has just been received, or is still to be read.
                false if conn.all_answers_sent() => {}
                false => drop(self.runnable.insert(Source::Front(key))),
            };
        }
        let before = conn.buffered_bytes();
        let truncated = conn.refuse_incomplete(Refusal::Draining);
        self.incoming_bytes = self.incoming_bytes + conn.buffered_bytes() - before;
        self.inbox.extend(truncated.into_iter().map(|event| client_input(key, event)));
        self.inbox.push(Input::ConnectionClosing { conn: key });
        self.process_inputs();
        if let Some(reason) = self.write_client(key) {
            return self.flush_and_close_client(key, reason);
        }
        // A slow reader gets the time to read its answers; its further requests are refused.
        let now = self.now();
        let Some((socket, conn)) = self.clients.get_mut(&key) else { return };
        check_kernel(now, socket, conn);
        let evacuated_at = self.reducer.service().evacuating_since();
        let waited_too_long = evacuated_at.is_some_and(|at| now - at > MAX_READ_WAIT_MS);
        if may_have_sent {
            return; // It is read first: what it has sent may be a request.
        }
        if conn.can_close_at_deadline(now) || (waited_too_long && conn.all_answers_sent()) {
            self.close_client(key, ClientClose::Draining);
        }
    }

    /// Returns when a fully answered connection must be looked at next: its client may have read what was
    /// written.
    pub(super) fn next_drain_check(&self) -> Option<Millis> {
        let now = self.now();
        if self.reducer.service().admission(now) == Admission::Open {
            return None;
        }
        self.clients.values().filter_map(|(_, conn)| conn.next_read_check()).reduce(f64::min)
    }

    /// Stops accepting connections. Accepts those in the listen queue, and reads what has been received by
    /// now.
    pub(super) fn stop_listening(&mut self) {
        self.closing_listener = true;
        let started = Instant::now();
        while self.accept() == AcceptOutcome::MorePending && started.elapsed() < MAX_LAST_ACCEPT_TIME {}

        // Received data can't be served by another process either, so it is read before later requests are
        // refused.
        let clients: Vec<u64> = self.clients.keys().copied().collect();
        let started = Instant::now();
        for key in clients {
            let has_time = started.elapsed() < MAX_LAST_READ_TIME;
            if let Some(reason) = has_time.then(|| self.read_client_now(key)).flatten() {
                self.flush_and_close_client(key, reason);
            }
            self.release_requests(key);
            self.runnable.insert(Source::Front(key));
            self.process_inputs();
        }
        self.inbox.push(Input::ListenerClosed);
    }

    /// Returns whether the process may exit: no client is connected and nothing is pending, or the exit
    /// deadline has passed.
    pub(super) fn is_finished(&self) -> bool {
        let closed = || {
            let all = self.clients.is_empty() && self.lingering.is_empty() && self.listener.is_none();
            // Changes confirmed to operators must be saved for the successor.
            all && self.reducer.open_requests() == 0
                && !self.handover.as_ref().is_some_and(Handover::has_unsaved_changes)
        };
        self.exit_by.is_some_and(|by| self.now() >= by || closed())
    }

    /// Closes the connections that remain at the exit deadline. Discards received data first, so that the
    /// close resets no connection.
    pub(super) fn close_remaining_clients(&mut self) {
        let remaining: Vec<u64> = self.clients.keys().copied().collect();
        let started = Instant::now();
        for key in remaining {
            let Some(mut socket) = self.remove_client(key, ClientClose::ProcessExit) else { continue };
            let _ = socket.stream.shutdown(Shutdown::Write); // The peer may have disconnected.
            for _ in 0..MAX_FINAL_READS {
                if started.elapsed() > MAX_FINAL_READ_TIME || socket.read(&mut self.buffer).is_err() {
                    break;
                }
            }
        }
    }

    /// Logs a change of the service state, with the numbers of open clients and requests.
    pub(super) fn log_service_change(&mut self, before: Service) {
        let after = self.reducer.service();
        if after == before {
            return;
        }
        let (from, to) = (before.key(), after.key());
        let (clients, requests) = (self.clients.len(), self.reducer.open_requests());
        trace_event!(self.now(), "service_changed", from, to, clients, requests);
        log_line!(always; "service: {from} -> {to}; clients={clients} requests={requests}");
        self.next_drain_log_at = after.evacuating_since().map(|since| since + DRAIN_LOG_INTERVAL_MS);
    }

    /// Logs once per second how many clients an evacuated router still has, until there are none.
    pub(super) fn log_drain_progress(&mut self, now: Millis) {
        let Some(since) = self.reducer.service().evacuating_since() else { return };
        if self.next_drain_log_at.is_none_or(|at| now < at && !self.clients.is_empty()) {
            return;
        }
        let (clients, requests, ms) = (self.clients.len(), self.reducer.open_requests(), now - since);
        log_line!("evacuating for {ms:.0} ms: clients={clients} requests={requests}");
        self.next_drain_log_at = (clients > 0).then_some(now + DRAIN_LOG_INTERVAL_MS);
    }

    /// Reports a violation for each client connection that should be closed by the end of a drain.
    pub(super) fn audit_drain(&mut self) {
        let now = self.now();
        let recent = |conn: &Conn| conn.open_requests_after(now - RECENT_MS);
        // Connections that stay open only until the client has read its answers don't count.
        let remaining = self.clients.iter().filter(|(_, (_, conn))| conn.can_close(now) || recent(conn) > 0);
        let remaining: Vec<(u64, usize, usize)> =
            remaining.map(|(key, (_, conn))| (*key, recent(conn), conn.unwritten_bytes())).collect();
        for (client, recent, unwritten) in remaining {
            let why = format_args!("client {client} has {recent} recent requests, {unwritten} bytes unread");
            self.report_violation(Violation::ConnectedPastDrain, why);
        }
    }

    /// Counts and logs a violated guarantee.
    pub(super) fn report_violation(&mut self, rule: Violation, why: fmt::Arguments<'_>) {
        self.reducer.counters.reasons.violations.add(rule);
        log_line!("violation: {rule}: {why}");
    }
}
