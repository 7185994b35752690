//! How many datagrams a router may send: twelve a second at any size of the fleet.

use crate::api::Millis;

/// Datagrams in a second, at most, and at once: together no more than 12 a second over half a minute.
pub const PER_S: f64 = 11.5;
/// See [`PER_S`].
pub const AT_ONCE: f64 = 12.0;

/// What may still be sent.
#[derive(Clone, Debug)]
pub(super) struct Allowance {
    left: f64,
    at: Millis,
}

impl Allowance {
    pub fn new(now: Millis) -> Self {
        Self { left: AT_ONCE, at: now }
    }

    /// Time has passed.
    pub fn refill(&mut self, now: Millis) {
        self.left = (self.left + (now - self.at).max(0.0) * PER_S / 1e3).min(AT_ONCE);
        self.at = now;
    }

    /// So many may leave now.
    pub fn left(&self) -> usize {
        self.left.max(0.0) as usize
    }

    /// One leaves.
    pub fn take(&mut self) {
        self.left -= 1.0;
    }

    /// One that ends says so to that many, once.
    pub fn raise(&mut self, to: usize) {
        self.left = to as f64;
    }
}
