//! This router's own standing, by the rolls that it is in.
//!
//! A roll that a majority has signed shows that a majority has heard words of this router from the roll's epoch or later. Those
//! words were sent when this router had entered that epoch, by its own clock: from then on the roll counts for
//! [`lease_ms`](crate::fleet::Settings::lease_ms), however late it comes. So the standing is a function of the time, and one
//! that wakes from a standstill finds it over before it acts.

use crate::api::Millis;
use crate::fleet::wire::QuorumStatus;
use std::collections::VecDeque;

/// Epochs whose beginnings are remembered: more than a roll is kept.
const REMEMBERED: usize = 2 * super::ballots::KEPT as usize;

/// One router's own standing.
#[derive(Clone, Debug)]
pub struct Own {
    lease_ms: Millis,
    /// When each epoch was entered, the latest last: bounded by [`REMEMBERED`].
    entered: VecDeque<(u32, Millis)>,
    /// The term of the standing, 0 before the first, and the one that is told: the same, or the next.
    term: u32,
    wanted: u32,
    /// When that one was first told.
    begun: Millis,
    /// From when the standing counts, where there is one.
    ground: Option<Millis>,
    ever: bool,
}

impl Own {
    /// A start that nobody has heard of.
    pub fn new(lease_ms: Millis, now: Millis) -> Self {
        let entered = VecDeque::new();
        Self { lease_ms, entered, term: 0, wanted: 1, begun: now, ground: None, ever: false }
    }

    /// An epoch has been entered.
    pub fn entered(&mut self, epoch: u32, now: Millis) {
        self.entered.push_back((epoch, now));
        if self.entered.len() > REMEMBERED {
            self.entered.pop_front();
        }
    }

    /// When this router entered that epoch or a later one; none: it has not, or that is forgotten, as the last is long ago.
    pub fn entered_at(&self, epoch: u32) -> Option<Millis> {
        let at = self.entered.partition_point(|(entered, _)| *entered < epoch);
        self.entered.get(at).map(|(_, at)| *at)
    }

    /// The term of the standing.
    pub fn term(&self) -> u32 {
        self.term
    }

    /// The term that is told.
    pub fn wanted(&self) -> u32 {
        self.wanted
    }

    /// When the term that is told was first told.
    pub fn begun(&self) -> Millis {
        self.begun
    }

    /// The next term is asked for: this one can't go on for long.
    pub fn ask_for(&mut self, term: u32, now: Millis) {
        if term > self.wanted {
            (self.wanted, self.begun) = (term, now);
        }
    }

    /// A majority has signed a roll with this router in it, of words from this epoch or later: that counts for the term that is
    /// told. An earlier one only runs out: some of those who sign may have given that up.
    pub fn signed(&mut self, epoch: u32, now: Millis) {
        // The first words from that epoch or later were told then, or after. Where the beginnings before it are forgotten
        // that moment isn't known.
        let known =
            self.entered.len() < REMEMBERED || self.entered.front().is_some_and(|(first, _)| *first <= epoch);
        let Some((_, at)) = self.entered.iter().find(|(entered, _)| *entered >= epoch) else { return };
        if !known || now - at >= self.lease_ms {
            return;
        }
        if self.wanted > self.term {
            (self.term, self.ground, self.ever) = (self.wanted, Some(*at), true);
        } else if self.ground.is_some_and(|ground| ground < *at) {
            self.ground = Some(*at);
        }
    }

    /// Whether this router has its standing at `now`.
    pub fn holds(&self, now: Millis) -> bool {
        self.ground.is_some_and(|ground| now - ground < self.lease_ms)
    }

    /// When it ends if no roll comes any more.
    pub fn holds_until(&self) -> Millis {
        self.ground.map_or(0.0, |ground| ground + self.lease_ms)
    }

    /// Takes the time into account: a term that has ended never comes back.
    pub fn settle(&mut self, now: Millis) {
        if self.ground.is_some() && !self.holds(now) {
            self.ground = None;
            self.ask_for(self.term + 1, now);
        }
    }

    /// Another start speaks for this router: what was signed for the one before doesn't count.
    pub fn renamed(&mut self, now: Millis) {
        self.ground = None;
        self.ask_for(self.wanted + 1, now);
    }

    /// What it can say of itself.
    pub fn says(&self, now: Millis) -> QuorumStatus {
        match (self.holds(now), self.ever) {
            (true, _) => QuorumStatus::Majority,
            (false, true) => QuorumStatus::CutOff,
            (false, false) => QuorumStatus::Joining,
        }
    }
}

#[cfg(test)]
mod tests;
