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
    pub fn turn(&mut self, now: Millis) -> Option<Millis> {
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
mod tests {
    use super::*;

    #[test]
    fn a_standstill_is_told_and_one_that_runs_late_waits_as_much_longer() {
        let mut patience = Patience::new(100.0, 500.0, 0.0);
        assert_eq!((patience.turn(100.0), patience.late_ms()), (None, 0.0));
        assert_eq!(patience.turn(3100.0), Some(3000.0));
        assert!(!patience.judges(3500.0) && patience.judges(3600.0));
        for turn in 1..60 {
            assert_eq!(patience.turn(3100.0 + 400.0 * f64::from(turn)), None);
        }
        assert!((patience.late_ms() - 300.0).abs() < 1.0);
        for turn in 1..100 {
            patience.turn(26_700.0 + 100.0 * f64::from(turn));
        }
        assert!(patience.late_ms() < 1.0);
    }

    #[test]
    fn a_suspect_has_less_time_the_more_suspect_it_and_never_less_than_the_least() {
        let times: Vec<f64> = (0..6).map(|others| suspicion([4000.0, 8000.0], others)).collect();
        assert_eq!(times[0], 8000.0);
        assert!(times.windows(2).all(|pair| pair[1] <= pair[0]));
        assert_eq!(times[3..], [4000.0; 3]);
    }
}
