//! A token bucket that limits a router to twelve datagrams a second, at any size of the fleet.

use crate::api::Millis;

/// Datagrams a second, and the most at once: together at most 12 a second over half a minute.
pub const DATAGRAMS_PER_S: f64 = 11.5;
/// See [`DATAGRAMS_PER_S`].
pub const BURST_DATAGRAMS: f64 = 12.0;

/// The datagrams that may still be sent.
#[derive(Clone, Debug)]
pub(super) struct RateLimiter {
    available: f64,
    refilled_at: Millis,
}

impl RateLimiter {
    pub fn new(now: Millis) -> Self {
        Self { available: BURST_DATAGRAMS, refilled_at: now }
    }

    /// Adds what has accrued since the last refill.
    pub fn refill(&mut self, now: Millis) {
        self.available =
            (self.available + (now - self.refilled_at).max(0.0) * DATAGRAMS_PER_S / 1e3).min(BURST_DATAGRAMS);
        self.refilled_at = now;
    }

    /// Returns how many datagrams may be sent now.
    pub fn available(&self) -> usize {
        self.available.max(0.0) as usize
    }

    /// Takes one datagram off the budget.
    pub fn take(&mut self) {
        self.available -= 1.0;
    }

    /// Allows exactly so many datagrams now: a router that ends announces that once, whatever the limit.
    pub fn set_available(&mut self, datagrams: usize) {
        self.available = datagrams as f64;
    }
}
