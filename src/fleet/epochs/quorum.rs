//! Whether this router has a quorum, by the liveness ballots that list it.
//!
//! A liveness ballot signed by a majority shows that a majority has heard of this router in the ballot's
//! epoch or later. What they heard was sent after this router had entered that epoch, by its own clock: the
//! ballot counts for [`lease_ms`](crate::fleet::Settings::lease_ms) from then, however late it arrives. So
//! the quorum is a function of time, and a router that wakes from a stall finds it expired before it acts.

use crate::api::Millis;
use crate::fleet::wire::QuorumStatus;
use std::collections::VecDeque;

/// Epochs whose beginnings are remembered: more than those for which a ballot is kept.
const REMEMBERED_EPOCHS: usize = 2 * super::ballots::KEPT_EPOCHS as usize;

/// This router's quorum.
#[derive(Clone, Debug)]
pub struct EpochQuorum {
    lease_ms: Millis,
    /// When each epoch was entered, the latest last: bounded by [`REMEMBERED_EPOCHS`].
    entered_epochs: VecDeque<(u32, Millis)>,
    /// The current or last term, 0 before the first, and the one that is advertised: the same, or the next.
    term: u32,
    advertised_term: u32,
    /// When the advertised term was first advertised.
    advertised_since: Millis,
    /// The time from which the lease runs, if there is a quorum.
    lease_from: Option<Millis>,
    had_quorum: bool,
}

impl EpochQuorum {
    /// Creates the quorum of a start that no router has heard of.
    pub fn new(lease_ms: Millis, now: Millis) -> Self {
        let entered_epochs = VecDeque::new();
        Self {
            lease_ms,
            entered_epochs,
            term: 0,
            advertised_term: 1,
            advertised_since: now,
            lease_from: None,
            had_quorum: false,
        }
    }

    /// Records that an epoch is entered.
    pub fn record_epoch(&mut self, epoch: u32, now: Millis) {
        self.entered_epochs.push_back((epoch, now));
        if self.entered_epochs.len() > REMEMBERED_EPOCHS {
            self.entered_epochs.pop_front();
        }
    }

    /// Returns when this router entered an epoch or a later one; none if it has not. If the beginning is too
    /// long ago to be remembered, that of the first remembered epoch is returned.
    pub fn entered_at(&self, epoch: u32) -> Option<Millis> {
        let at = self.entered_epochs.partition_point(|(entered, _)| *entered < epoch);
        self.entered_epochs.get(at).map(|(_, at)| *at)
    }

    /// Returns the current or last term.
    pub fn term(&self) -> u32 {
        self.term
    }

    /// Returns the advertised term.
    pub fn advertised_term(&self) -> u32 {
        self.advertised_term
    }

    /// Returns when the advertised term was first advertised.
    pub fn advertised_since(&self) -> Millis {
        self.advertised_since
    }

    /// Advertises a later term, when the current one can't last.
    pub fn advertise_term(&mut self, term: u32, now: Millis) {
        if term > self.advertised_term {
            (self.advertised_term, self.advertised_since) = (term, now);
        }
    }

    /// Records that a majority has signed a liveness ballot with this router of `epoch` or later. It counts
    /// for the advertised term. An earlier term only runs out: some of the signers may have voted it failed.
    pub fn confirm(&mut self, epoch: u32, now: Millis) {
        // The first datagrams from that epoch or later were sent at this time or after it. If earlier
        // beginnings are forgotten, the time is not known.
        let known = self.entered_epochs.len() < REMEMBERED_EPOCHS
            || self.entered_epochs.front().is_some_and(|(first, _)| *first <= epoch);
        let Some((_, at)) = self.entered_epochs.iter().find(|(entered, _)| *entered >= epoch) else { return };
        if !known || now - at >= self.lease_ms {
            return;
        }
        if self.advertised_term > self.term {
            (self.term, self.lease_from, self.had_quorum) = (self.advertised_term, Some(*at), true);
        } else if self.lease_from.is_some_and(|lease_from| lease_from < *at) {
            self.lease_from = Some(*at);
        }
    }

    /// Whether this router has a quorum at `now`.
    pub fn has_quorum(&self, now: Millis) -> bool {
        self.lease_from.is_some_and(|lease_from| now - lease_from < self.lease_ms)
    }

    /// Returns when the quorum ends if no more ballots are signed.
    pub fn quorum_until(&self) -> Millis {
        self.lease_from.map_or(0.0, |lease_from| lease_from + self.lease_ms)
    }

    /// Applies the passage of time: a term that has ended never comes back.
    pub fn update(&mut self, now: Millis) {
        if self.lease_from.is_some() && !self.has_quorum(now) {
            self.lease_from = None;
            self.advertise_term(self.term + 1, now);
        }
    }

    /// The start number was raised: signatures for the earlier one don't count.
    pub fn start_raised(&mut self, now: Millis) {
        self.lease_from = None;
        self.advertise_term(self.advertised_term + 1, now);
    }

    /// Returns this router's quorum status at `now`.
    pub fn status(&self, now: Millis) -> QuorumStatus {
        match (self.has_quorum(now), self.had_quorum) {
            (true, _) => QuorumStatus::Majority,
            (false, true) => QuorumStatus::CutOff,
            (false, false) => QuorumStatus::Joining,
        }
    }
}

#[cfg(test)]
mod tests;
