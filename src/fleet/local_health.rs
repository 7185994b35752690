//! What this router's own timers tell of itself: that it stood still, or runs late (Lifeguard: Dadgar, Phillips and
//! Currey, "Lifeguard: SWIM-ing with Situational Awareness", 2017, section IV: local health).

use crate::api::Millis;

/// Part that one turn has in the usual lateness.
const PART: f64 = 0.2;

/// Looks at the time between turns.
#[derive(Clone, Debug)]
pub struct Patience {
    turn_ms: Millis,
    /// From this on a gap is a standstill.
    still_ms: Millis,
    last: Millis,
    late_ms: Millis,
    judges_from: Millis,
}

impl Patience {
    /// Turns come every `turn_ms` from `now` on.
    pub fn new(turn_ms: Millis, still_ms: Millis, now: Millis) -> Self {
        Self { turn_ms, still_ms, last: now, late_ms: 0.0, judges_from: now }
    }

    /// A turn; the length of the standstill before it, if it was one. What others said meanwhile may still wait to
    /// be read: nobody is judged for a while.
    pub fn tick(&mut self, now: Millis) -> Option<Millis> {
        let gap = (now - self.last).max(0.0);
        self.last = now;
        let late = (gap - self.turn_ms).clamp(0.0, self.still_ms);
        self.late_ms += if late > self.late_ms { 1.0 } else { PART } * (late - self.late_ms);
        if gap >= self.still_ms {
            self.judges_from = now + self.still_ms;
            return Some(gap);
        }
        None
    }

    /// By how much longer it waits before it suspects: as late as it is itself, it may have read what others said.
    pub fn late_ms(&self) -> Millis {
        self.late_ms
    }

    /// Whether it may judge others now.
    pub fn judges(&self, now: Millis) -> bool {
        now >= self.judges_from
    }
}

/// How long a suspect has, where `others` suspect it as well: the most at first, the least when three others do (the same
/// paper, section IV: dynamic suspicion).
pub fn suspicion(bounds: [Millis; 2], others: usize) -> Millis {
    const ENOUGH: f64 = 3.0;
    let [least, most] = bounds;
    let part = (others as f64 + 1.0).ln() / (ENOUGH + 1.0).ln();
    (most - (most - least) * part).max(least)
}

#[cfg(test)]
mod tests;
