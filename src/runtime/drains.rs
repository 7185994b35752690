//! What the log says of the service's states, of how an evacuation goes on, and of rules that were broken.
//!
//! It only observes: what an evacuation does to a connection is decided elsewhere.

use super::Runtime;
use crate::api::Millis;
use crate::reasons::Violation;
use crate::service::{Service, RECENT_MS};
use crate::{say, trace_event};
use std::fmt;

/// Time between two lines about one evacuation.
const TELL_MS: Millis = 1000.0;

impl Runtime {
    /// Tells of a change of state, with what is open then.
    pub(super) fn tell_service(&mut self, before: Service) {
        let after = self.reducer.service();
        if after == before {
            return;
        }
        let (from, to) = (before.key(), after.key());
        let (clients, requests) = (self.fronts.len(), self.reducer.open());
        trace_event!(self.now(), "service_changed", from, to, clients, requests);
        say!(always; "service: {from} -> {to}; clients={clients} requests={requests}");
        self.drain_told_at = after.evacuated().map(|since| since + TELL_MS);
    }

    /// Tells each second how many clients an evacuated router still has, until there are none.
    pub(super) fn tell_drain(&mut self, now: Millis) {
        let Some(since) = self.reducer.service().evacuated() else { return };
        if self.drain_told_at.is_none_or(|at| now < at && !self.fronts.is_empty()) {
            return;
        }
        let (clients, requests, ms) = (self.fronts.len(), self.reducer.open(), now - since);
        say!("evacuating for {ms:.0} ms: clients={clients} requests={requests}");
        self.drain_told_at = (clients > 0).then_some(now + TELL_MS);
    }

    /// Counts the clients that an evacuated router should have let go of by now.
    pub(super) fn audit_drain(&mut self) {
        let now = self.now();
        let recent = |conn: &crate::front::Conn| conn.open_after(now - RECENT_MS);
        let held = self.fronts.iter().filter(|(_, (_, conn))| conn.open() == 0 || recent(conn) > 0);
        let held: Vec<(u64, usize, usize)> =
            held.map(|(key, (_, conn))| (*key, recent(conn), conn.unwritten())).collect();
        for (client, recent, unwritten) in held {
            let why = format_args!("client {client} has {recent} recent requests, {unwritten} bytes unread");
            self.violated(Violation::HeldPastDrain, why);
        }
    }

    /// Counts and tells of a rule that was broken.
    pub(super) fn violated(&mut self, rule: Violation, why: fmt::Arguments<'_>) {
        self.reducer.counters.reasons.violations.add(rule);
        say!("violation: {rule}: {why}");
    }
}
