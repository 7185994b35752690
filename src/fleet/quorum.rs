//! Whether this router is heard by a majority, by its own clock and by what others have answered.
//!
//! Each answer names the beat that it answers, which is this router's own clock: an answer counts for
//! [`lease_ms`](super::Settings::lease_ms) from when that beat was *sent*, however late the answer comes. One that has refused the
//! term does not count for it, whatever it answers. That is all that a term's standing rests on, so that it is a
//! function of the time: a router that wakes from a standstill finds its answers too old before it acts.

use super::wire::QuorumStatus;
use crate::api::Millis;

/// Milliseconds of one unit of beats.
pub const BEAT_MS: Millis = 10.0;

/// The latest answer of one other router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Answer {
    /// What it answers: this router's own clock, in beats.
    pub beat: u32,
    /// Terms up to this one are not answered by it any more.
    pub refused: u32,
    /// It hears this router's own datagrams.
    pub direct: bool,
}

/// One router's own standing. Bounded by the other routers of the file.
#[derive(Clone, Debug)]
pub struct Ledger {
    answers: Vec<Option<Answer>>,
    majority: usize,
    lease_ms: Millis,
    /// The term that it is or was in, and the one that its datagrams carry: the same, or the next.
    term: u32,
    wanted: u32,
    holds: bool,
    ever: bool,
}

impl Ledger {
    /// Nobody has answered yet. One with no other routers beside it is its own majority.
    pub fn new(others: usize, majority: usize, lease_ms: Millis) -> Self {
        let answers = vec![None; others];
        Self { answers, majority, lease_ms, term: 0, wanted: 1, holds: false, ever: false }
    }

    /// The term that datagrams carry.
    pub fn wanted(&self) -> u32 {
        self.wanted
    }

    /// The term of the standing; 0 before the first.
    pub fn term(&self) -> u32 {
        self.term
    }

    /// The latest answer of another router.
    pub fn answer(&self, of: usize) -> Option<Answer> {
        self.answers[of]
    }

    /// An answer: later ones replace earlier ones, late ones change nothing. `now` is this router's clock, in ms; an answer to
    /// a beat that was not sent yet is none.
    pub fn note(&mut self, of: usize, answer: Answer, now: Millis) {
        if f64::from(answer.beat) * BEAT_MS > now {
            return;
        }
        // Nobody refuses what was never asked for.
        let answer = Answer { refused: answer.refused.min(self.wanted), ..answer };
        let known = &mut self.answers[of];
        match known {
            Some(known) if (answer.beat, answer.refused) < (known.beat, known.refused) => {}
            _ => *known = Some(answer),
        }
    }

    /// Another start of that router has forgotten what the one before it refused, so what that one answered doesn't count.
    pub fn forget(&mut self, of: usize) {
        self.answers[of] = None;
    }

    /// How many stand behind a term, this router among them.
    fn behind(&self, term: u32, now: Millis) -> usize {
        let counts = |answer: &&Answer| {
            answer.refused < term && now - f64::from(answer.beat) * BEAT_MS < self.lease_ms
        };
        1 + self.answers.iter().flatten().filter(counts).count()
    }

    /// Whether a majority stands behind this router's term at `now`.
    pub fn holds(&self, now: Millis) -> bool {
        self.holds && self.behind(self.term, now) >= self.majority
    }

    /// What it can say of itself.
    pub fn says(&self, now: Millis) -> QuorumStatus {
        match (self.holds(now), self.ever) {
            (true, _) => QuorumStatus::Majority,
            (false, true) => QuorumStatus::CutOff,
            (false, false) => QuorumStatus::Joining,
        }
    }

    /// How many answer it at `now`, itself among them.
    pub fn heard_by(&self, now: Millis) -> usize {
        self.behind(self.wanted, now)
    }

    /// When the standing ends if nobody answers any more.
    pub fn holds_until(&self) -> Millis {
        let mut until: Vec<Millis> = self
            .answers
            .iter()
            .flatten()
            .filter(|a| a.refused < self.term)
            .map(|answer| f64::from(answer.beat) * BEAT_MS + self.lease_ms)
            .collect();
        until.sort_by(|a, b| b.total_cmp(a));
        match self.majority.checked_sub(2) {
            None => f64::INFINITY,
            Some(last) => until.get(last).copied().unwrap_or(0.0),
        }
    }

    /// Takes the time into account; true if the standing has changed. A term that has ended never comes back: what was held in
    /// it is let go, and the next one begins when a majority answers that.
    pub fn settle(&mut self, now: Millis) -> bool {
        let held = self.holds;
        if self.holds && !self.holds(now) {
            self.holds = false;
        }
        let refused = self.answers.iter().flatten().map(|answer| answer.refused).max().unwrap_or(0);
        let least = if self.holds { self.term } else { self.term.saturating_add(1) };
        // One that refuses this term answers the next: asked for while the majority still stands behind this one.
        self.wanted = self.wanted.max(least).max(refused.saturating_add(1));
        if self.wanted > self.term && self.behind(self.wanted, now) >= self.majority {
            (self.term, self.holds, self.ever) = (self.wanted, true, true);
        }
        self.holds != held
    }
}

#[cfg(test)]
mod tests;
