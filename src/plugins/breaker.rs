//! A plug-in's breaker: faults in a row pause it, pauses grow, and after too many it stays out.

use crate::api::Millis;

/// Faults in a row from which it pauses.
const FAULTS: u32 = 3;
/// First and longest pause.
const PAUSE_MS: [Millis; 2] = [1000.0, 60_000.0];
/// Pauses after which it stays out until an operator acts.
const MAX_PAUSES: u32 = 8;
/// Good calls after which its pauses begin anew.
const FORGIVEN: u32 = 10_000;

/// What may be done with a plug-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It is called.
    Closed,
    /// It is not called for a while.
    Paused,
    /// Its pause is over: it is started afresh and called.
    Afresh,
    /// It stays out.
    Out,
}

/// The breaker of one plug-in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Breaker {
    faults: u32,
    pauses: u32,
    good: u32,
    until: Option<Millis>,
}

impl Breaker {
    /// How it stands.
    pub fn state(&self, now: Millis) -> State {
        match self.until {
            None => State::Closed,
            Some(f64::INFINITY) => State::Out,
            Some(until) if now < until => State::Paused,
            Some(_) => State::Afresh,
        }
    }

    /// It was started afresh.
    pub fn begun(&mut self) {
        (self.until, self.faults, self.good) = (None, 0, 0);
    }

    /// A call went well.
    pub fn good(&mut self) {
        self.faults = 0;
        self.good += 1;
        if self.good >= FORGIVEN {
            (self.pauses, self.good) = (0, 0);
        }
    }

    /// A call failed; the pause that follows, infinite where it stays out, `None` where it goes on.
    pub fn failed(&mut self, now: Millis) -> Option<Millis> {
        self.faults += 1;
        self.good = 0;
        if self.faults < FAULTS && self.until.is_none() {
            return None;
        }
        self.faults = 0;
        let pause = if self.pauses >= MAX_PAUSES {
            f64::INFINITY
        } else {
            (PAUSE_MS[0] * f64::from(1 << self.pauses)).min(PAUSE_MS[1])
        };
        self.pauses += 1;
        self.until = Some(now + pause);
        Some(pause)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pauses_grow_and_end_in_staying_out() {
        let (mut breaker, mut now, mut pauses) = (Breaker::default(), 0.0, Vec::new());
        while breaker.state(now) != State::Out {
            match breaker.state(now) {
                State::Afresh => breaker.begun(),
                State::Paused => {
                    now += 100.0;
                    continue;
                }
                _ => {}
            }
            pauses.extend(breaker.failed(now));
        }
        let grown = [1e3, 2e3, 4e3, 8e3, 16e3, 32e3, 60e3, 60e3, f64::INFINITY];
        assert_eq!(pauses, grown);
    }

    #[test]
    fn a_fault_now_and_then_does_not_pause_it() {
        let mut breaker = Breaker::default();
        for _ in 0..1000 {
            assert_eq!(breaker.failed(0.0), None);
            breaker.good();
        }
        assert_eq!(breaker.state(0.0), State::Closed);
    }
}
