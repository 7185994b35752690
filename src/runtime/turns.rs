//! Turns of clients: in each cycle of the event loop they are served for a limited time, and those that are left come
//! first in the next cycle.

use std::time::Duration;

/// Time for which clients are served in a cycle. Timers, signals and machines wait for it.
const MAX_TIME: Duration = Duration::from_millis(10);

/// Whose turn it is. Clients are served in the order of their keys, from [`Turns::next`] on.
#[derive(Debug, Default)]
pub(super) struct Turns {
    began_at: Duration,
    /// The first client that was left in this cycle.
    left: Option<u64>,
}

impl Turns {
    /// Returns the client that comes first in the next cycle; 0 if none was left.
    pub(super) fn next(&self) -> u64 {
        self.left.unwrap_or(0)
    }

    /// Whether a client was left in this cycle.
    pub(super) fn is_any_left(&self) -> bool {
        self.left.is_some()
    }

    /// Begins a cycle.
    pub(super) fn begin(&mut self, now: Duration) {
        (self.began_at, self.left) = (now, None);
    }

    /// Returns whether a client may be served in this cycle.
    pub(super) fn may_serve(&mut self, now: Duration, client: u64) -> bool {
        if self.left.is_none() && now - self.began_at < MAX_TIME {
            return true;
        }
        self.left.get_or_insert(client);
        false
    }
}
