//! Whether this router has a quorum: whether a majority acknowledges its heartbeats.
//!
//! Each acknowledgement names a heartbeat, which is this router's own clock, and counts for
//! [`lease_ms`](super::Settings::lease_ms) from when that heartbeat was *sent*, however late the
//! acknowledgement arrives. A router that has refused the term does not count for it, whatever it
//! acknowledges. Nothing else decides about a term, so that the quorum is a function of time: a router that
//! wakes from a stall finds its acknowledgements expired before it acts.

use super::wire::QuorumStatus;
use crate::api::Millis;

/// Milliseconds in one unit of a heartbeat.
pub const HEARTBEAT_UNIT_MS: Millis = 10.0;

/// The latest acknowledgement by another router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ack {
    /// The acknowledged heartbeat: this router's own clock, in units of [`HEARTBEAT_UNIT_MS`].
    pub heartbeat: u32,
    /// Terms up to this one are not acknowledged by it any more.
    pub refused_term: u32,
    /// It receives this router's own datagrams.
    pub direct: bool,
}

/// The quorum lease of this router. Bounded by the number of other routers.
#[derive(Clone, Debug)]
pub struct QuorumLease {
    acks: Vec<Option<Ack>>,
    majority: usize,
    lease_ms: Millis,
    /// The current or last term, and the one that datagrams advertise: the same, or the next.
    term: u32,
    advertised_term: u32,
    has_quorum: bool,
    had_quorum: bool,
}

impl QuorumLease {
    /// Creates a lease without acknowledgements. A router without peers is its own majority.
    pub fn new(others: usize, majority: usize, lease_ms: Millis) -> Self {
        let acks = vec![None; others];
        Self { acks, majority, lease_ms, term: 0, advertised_term: 1, has_quorum: false, had_quorum: false }
    }

    /// Returns the term that datagrams advertise.
    pub fn advertised_term(&self) -> u32 {
        self.advertised_term
    }

    /// Returns the current or last term; 0 before the first.
    pub fn term(&self) -> u32 {
        self.term
    }

    /// Returns the latest acknowledgement by another router.
    pub fn ack(&self, router: usize) -> Option<Ack> {
        self.acks[router]
    }

    /// Records an acknowledgement. Later ones replace earlier ones, and outdated ones change nothing. `now`
    /// is this router's clock in ms; an acknowledgement of a heartbeat that has not been sent yet is ignored.
    pub fn record(&mut self, router: usize, ack: Ack, now: Millis) {
        if f64::from(ack.heartbeat) * HEARTBEAT_UNIT_MS > now {
            return;
        }
        // A term that was never advertised can't be refused.
        let ack = Ack { refused_term: ack.refused_term.min(self.advertised_term), ..ack };
        let known = &mut self.acks[router];
        match known {
            Some(known) if (ack.heartbeat, ack.refused_term) < (known.heartbeat, known.refused_term) => {}
            _ => *known = Some(ack),
        }
    }

    /// Discards the acknowledgement by a router that has restarted: its new start doesn't know what the one
    /// before refused.
    pub fn forget(&mut self, router: usize) {
        self.acks[router] = None;
    }

    /// Counts the routers that acknowledge a term at `now`, this one included.
    fn ack_count(&self, term: u32, now: Millis) -> usize {
        let counts = |ack: &&Ack| {
            ack.refused_term < term && now - f64::from(ack.heartbeat) * HEARTBEAT_UNIT_MS < self.lease_ms
        };
        1 + self.acks.iter().flatten().filter(counts).count()
    }

    /// Whether a majority acknowledges this router's term at `now`.
    pub fn has_quorum(&self, now: Millis) -> bool {
        self.has_quorum && self.ack_count(self.term, now) >= self.majority
    }

    /// Returns this router's quorum status at `now`.
    pub fn status(&self, now: Millis) -> QuorumStatus {
        match (self.has_quorum(now), self.had_quorum) {
            (true, _) => QuorumStatus::Majority,
            (false, true) => QuorumStatus::CutOff,
            (false, false) => QuorumStatus::Joining,
        }
    }

    /// Counts the routers that acknowledge this one at `now`, itself included.
    pub fn heard_by(&self, now: Millis) -> usize {
        self.ack_count(self.advertised_term, now)
    }

    /// Returns when the quorum ends if no more acknowledgements arrive.
    pub fn quorum_until(&self) -> Millis {
        let mut until: Vec<Millis> = self
            .acks
            .iter()
            .flatten()
            .filter(|a| a.refused_term < self.term)
            .map(|ack| f64::from(ack.heartbeat) * HEARTBEAT_UNIT_MS + self.lease_ms)
            .collect();
        until.sort_by(|a, b| b.total_cmp(a));
        match self.majority.checked_sub(2) {
            None => f64::INFINITY,
            Some(last) => until.get(last).copied().unwrap_or(0.0),
        }
    }

    /// Applies the passage of time; returns true if the quorum was gained or lost. A term that has ended
    /// never comes back: the next one begins when a majority acknowledges it.
    pub fn update(&mut self, now: Millis) -> bool {
        let had_quorum_before = self.has_quorum;
        if self.has_quorum && !self.has_quorum(now) {
            self.has_quorum = false;
        }
        let refused_term = self.acks.iter().flatten().map(|ack| ack.refused_term).max().unwrap_or(0);
        let least = if self.has_quorum { self.term } else { self.term.saturating_add(1) };
        // A router that refuses this term acknowledges the next one, so that is advertised while a majority
        // still acknowledges this one.
        self.advertised_term = self.advertised_term.max(least).max(refused_term.saturating_add(1));
        if self.advertised_term > self.term && self.ack_count(self.advertised_term, now) >= self.majority {
            (self.term, self.has_quorum, self.had_quorum) = (self.advertised_term, true, true);
        }
        self.has_quorum != had_quorum_before
    }
}

#[cfg(test)]
mod tests;
