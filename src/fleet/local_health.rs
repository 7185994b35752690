//! Local health: detects by this router's own timers that the process stalled or runs late (Lifeguard:
//! Dadgar, Phillips and Currey, "Lifeguard: SWIM-ing with Situational Awareness", 2017, section IV: local
//! health).

use crate::api::Millis;

/// Weight of the latest tick in the smoothed lateness.
const LATENESS_WEIGHT: f64 = 0.2;

/// Tracks the time between ticks.
#[derive(Clone, Debug)]
pub struct LocalHealth {
    tick_ms: Millis,
    /// A gap of at least this length is a stall.
    stall_ms: Millis,
    last_tick_at: Millis,
    lateness_ms: Millis,
    suspects_from: Millis,
}

impl LocalHealth {
    /// Creates a tracker that expects a tick every `tick_ms` from `now` on.
    pub fn new(tick_ms: Millis, stall_ms: Millis, now: Millis) -> Self {
        Self { tick_ms, stall_ms, last_tick_at: now, lateness_ms: 0.0, suspects_from: now }
    }

    /// Records a tick. If the process stalled before it, returns the length of the stall in ms; for a while
    /// no router is suspected then, because datagrams that arrived meanwhile may not have been read yet.
    pub fn tick(&mut self, now: Millis) -> Option<Millis> {
        let gap = (now - self.last_tick_at).max(0.0);
        self.last_tick_at = now;
        let lateness = (gap - self.tick_ms).clamp(0.0, self.stall_ms);
        self.lateness_ms +=
            if lateness > self.lateness_ms { 1.0 } else { LATENESS_WEIGHT } * (lateness - self.lateness_ms);
        if gap >= self.stall_ms {
            self.suspects_from = now + self.stall_ms;
            return Some(gap);
        }
        None
    }

    /// Extra time in ms to wait before suspecting others: a process that runs late may read datagrams late by
    /// as much.
    pub fn lateness_ms(&self) -> Millis {
        self.lateness_ms
    }

    /// Whether other routers may be suspected at `now`.
    pub fn may_suspect(&self, now: Millis) -> bool {
        now >= self.suspects_from
    }
}

/// Returns for how many ms a suspect is left before it is voted failed, when `confirmations` others suspect
/// it as well: the most at first, the least from three confirmations on (same paper, section IV: dynamic
/// suspicion).
pub fn suspicion_timeout_ms(bounds_ms: [Millis; 2], confirmations: usize) -> Millis {
    const ENOUGH_CONFIRMATIONS: f64 = 3.0;
    let [least_ms, most_ms] = bounds_ms;
    let part = (confirmations as f64 + 1.0).ln() / (ENOUGH_CONFIRMATIONS + 1.0).ln();
    (most_ms - (most_ms - least_ms) * part).max(least_ms)
}

#[cfg(test)]
mod tests;
