//! Clients' connections while the router is emptied or ends: closed at rest, or, where they never come to rest, answered and
//! closed in time. What is done when is [`Service::admission`]'s to say; this is the one place that carries it out.
//!
//! Beside it, what the log says of the service's states and of rules that were broken.

use super::clients::{heard_input, Accepted};
use super::handover::Handover;
use super::{Runtime, Source};
use crate::api::Millis;
use crate::front::Conn;
use crate::reasons::{ClientClose, Violation};
use crate::reducer::Input;
use crate::service::{Admission, Service, RECENT_MS};
use crate::{say, trace_event};
use std::fmt;
use std::net::Shutdown;

/// At the end: how often what has come on a connection that is still owed something is read away.
const LAST_READS: usize = 16;
/// Time between two lines about one evacuation.
const TELL_MS: Millis = 1000.0;

impl Runtime {
    /// Closes the connections whose time has come.
    pub(super) fn drain_clients(&mut self) {
        let now = self.now();
        if self.reducer.service().admission(now) == Admission::Open {
            return;
        }
        let ends = |conn: &Conn| conn.at_rest(now) || self.reducer.service().closes_busy(now, conn.latest());
        let ending = self.fronts.iter().filter(|(_, (_, conn))| ends(conn));
        let ending: Vec<u64> = ending.map(|(key, _)| *key).collect();
        ending.into_iter().for_each(|key| self.drain_client(key));
        self.work();
    }

    /// Closes a connection, at rest or not, once what has come on it is read and answered.
    fn drain_client(&mut self, key: u64) {
        if let Some(over) = self.read_unheard(key) {
            return self.end_front(key, over);
        }
        let now = self.now();
        let Some((_, conn)) = self.fronts.get_mut(&key) else { return };
        if !self.reducer.service().closes_busy(now, conn.latest()) {
            return match conn.at_rest(now) {
                true => self.close_front(key, ClientClose::Draining),
                // Something has just come, or has yet to be read.
                false if conn.settled() => {}
                false => drop(self.dirty.insert(Source::Front(key))),
            };
        }
        let before = conn.holding();
        let cut_short = conn.cut_short();
        self.coming = self.coming + conn.holding() - before;
        self.inbox.extend(cut_short.into_iter().map(|heard| heard_input(key, heard)));
        self.inbox.push(Input::ConnectionClosing { conn: key });
        self.work();
        if let Some(over) = self.write_front(key) {
            return self.end_front(key, over);
        }
        // A client that reads slowly is waited for; what it asks meanwhile is refused.
        let now = self.now();
        if self.fronts.get(&key).is_some_and(|(_, conn)| conn.closable(now)) {
            self.close_front(key, ClientClose::Draining);
        }
    }

    /// When a connection that is to be closed may be, as its client has read what was written.
    pub(super) fn drain_due(&self) -> Option<Millis> {
        let now = self.now();
        if self.reducer.service().admission(now) == Admission::Open {
            return None;
        }
        let settled = self.fronts.values().filter(|(_, conn)| conn.settled());
        settled.map(|(_, conn)| conn.read_by()).filter(|at| *at > now).reduce(f64::min)
    }

    /// No more connections are taken: those that the system has let in are accepted, and what has come by now is read.
    pub(super) fn stop_listening(&mut self) {
        self.stops_listening = true;
        while self.accept() == Accepted::Some {} // There may be more than one turn takes.

        // It is nobody else's either: it is taken before the first request that comes too late.
        let fronts: Vec<u64> = self.fronts.keys().copied().collect();
        for key in fronts {
            if let Some(over) = self.read_unheard(key) {
                self.end_front(key, over);
            }
            self.dirty.insert(Source::Front(key));
        }
        self.inbox.push(Input::ListenerClosed);
    }

    /// Whether the process may end: nobody is connected and nothing is owed, or its time is up.
    pub(super) fn over(&self) -> bool {
        let closed = || {
            let all = self.fronts.is_empty() && self.lingering.is_empty() && self.listener.is_none();
            // What it has said yes to is to be known to whoever follows.
            all && self.reducer.open_requests() == 0 && !self.handover.as_ref().is_some_and(Handover::owes)
        };
        self.exit_by.is_some_and(|by| self.now() >= by || closed())
    }

    /// Its time is up with clients that still read: what has come is read away, so that the close resets nothing.
    pub(super) fn close_rest(&mut self) {
        let rest: Vec<u64> = self.fronts.keys().copied().collect();
        for key in rest {
            let Some(mut sock) = self.forget_front(key, ClientClose::ProcessExit) else { continue };
            let _ = sock.stream.shutdown(Shutdown::Write); // It may have gone.
            for _ in 0..LAST_READS {
                if sock.read(&mut self.buffer).is_err() {
                    break;
                }
            }
        }
    }

    /// Tells of a change of state, with what is open then.
    pub(super) fn tell_service(&mut self, before: Service) {
        let after = self.reducer.service();
        if after == before {
            return;
        }
        let (from, to) = (before.key(), after.key());
        let (clients, requests) = (self.fronts.len(), self.reducer.open_requests());
        trace_event!(self.now(), "service_changed", from, to, clients, requests);
        say!(always; "service: {from} -> {to}; clients={clients} requests={requests}");
        self.drain_told_at = after.evacuating_since().map(|since| since + TELL_MS);
    }

    /// Tells each second how many clients an evacuated router still has, until there are none.
    pub(super) fn tell_drain(&mut self, now: Millis) {
        let Some(since) = self.reducer.service().evacuating_since() else { return };
        if self.drain_told_at.is_none_or(|at| now < at && !self.fronts.is_empty()) {
            return;
        }
        let (clients, requests, ms) = (self.fronts.len(), self.reducer.open_requests(), now - since);
        say!("evacuating for {ms:.0} ms: clients={clients} requests={requests}");
        self.drain_told_at = (clients > 0).then_some(now + TELL_MS);
    }

    /// Counts the clients that an evacuated router should have let go of by now.
    pub(super) fn audit_drain(&mut self) {
        let now = self.now();
        let recent = |conn: &Conn| conn.open_after(now - RECENT_MS);
        // The time that a client takes to read doesn't count.
        let held = self.fronts.iter().filter(|(_, (_, conn))| conn.closable(now) || recent(conn) > 0);
        let held: Vec<(u64, usize, usize)> =
            held.map(|(key, (_, conn))| (*key, recent(conn), conn.unwritten())).collect();
        for (client, recent, unwritten) in held {
            let why = format_args!("client {client} has {recent} recent requests, {unwritten} bytes unread");
            self.violated(Violation::ConnectedPastDrain, why);
        }
    }

    /// Counts and tells of a rule that was broken.
    pub(super) fn violated(&mut self, rule: Violation, why: fmt::Arguments<'_>) {
        self.reducer.counters.reasons.violations.add(rule);
        say!("violation: {rule}: {why}");
    }
}
