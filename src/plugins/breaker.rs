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
    Restart,
    /// It stays out.
    Disabled,
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
            Some(f64::INFINITY) => State::Disabled,
            Some(until) if now < until => State::Paused,
            Some(_) => State::Restart,
        }
    }

    /// It was started afresh.
    pub fn restarted(&mut self) {
        (self.until, self.faults, self.good) = (None, 0, 0);
    }

    /// A call went well.
    pub fn record_success(&mut self) {
        self.faults = 0;
        self.good += 1;
        if self.good >= FORGIVEN {
            (self.pauses, self.good) = (0, 0);
        }
    }

    /// A call failed; the pause that follows, infinite where it stays out, `None` where it goes on.
    pub fn record_failure(&mut self, now: Millis) -> Option<Millis> {
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
mod tests;
