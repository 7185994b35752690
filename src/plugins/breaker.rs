//! The circuit breaker of a plug-in: consecutive faults pause it, with growing pauses, and after too many
//! pauses it is disabled.

use crate::api::Millis;

/// Consecutive faults that pause the plug-in.
const FAULTS_BEFORE_PAUSE: u32 = 3;
/// The first and the longest pause.
const PAUSE_MS: [Millis; 2] = [1000.0, 60_000.0];
/// Pauses after which the plug-in is disabled until an operator reloads it.
const MAX_PAUSES: u32 = 8;
/// Successful calls after which the pauses start from the first one again.
const SUCCESSES_BEFORE_RESET: u32 = 10_000;

/// What a plug-in may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It is called.
    Closed,
    /// It is not called for a while.
    Paused,
    /// Its pause is over: it is restarted and called.
    Restart,
    /// It is no longer called.
    Disabled,
}

/// The breaker of one plug-in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Breaker {
    faults: u32,
    pauses: u32,
    successes: u32,
    paused_until: Option<Millis>,
}

impl Breaker {
    /// Returns the state.
    pub fn state(&self, now: Millis) -> State {
        match self.paused_until {
            None => State::Closed,
            Some(f64::INFINITY) => State::Disabled,
            Some(until) if now < until => State::Paused,
            Some(_) => State::Restart,
        }
    }

    /// Closes the breaker after a restart.
    pub fn restarted(&mut self) {
        (self.paused_until, self.faults, self.successes) = (None, 0, 0);
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        self.faults = 0;
        self.successes += 1;
        if self.successes >= SUCCESSES_BEFORE_RESET {
            (self.pauses, self.successes) = (0, 0);
        }
    }

    /// Records a failed call. Returns the pause that starts, infinite if the plug-in is now disabled; `None`
    /// if it may still be called.
    pub fn record_failure(&mut self, now: Millis) -> Option<Millis> {
        self.faults += 1;
        self.successes = 0;
        if self.faults < FAULTS_BEFORE_PAUSE && self.paused_until.is_none() {
            return None;
        }
        self.faults = 0;
        let pause = if self.pauses >= MAX_PAUSES {
            f64::INFINITY
        } else {
            (PAUSE_MS[0] * f64::from(1 << self.pauses)).min(PAUSE_MS[1])
        };
        self.pauses += 1;
        self.paused_until = Some(now + pause);
        Some(pause)
    }
}

#[cfg(test)]
mod tests;
