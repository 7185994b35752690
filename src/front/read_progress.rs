//! What is known of how far a client has read the answers that were written to its socket.
//!
//! A written answer may be in three places: the kernel here still holds it unsent, the client's kernel holds
//! it unread, or the client has read it. The first can be asked ([`ReadProgress::checked_kernel`]); the
//! second is bounded by the client's receive window, which it empties at least as fast as it was seen to
//! open it.

use crate::api::Millis;

/// Read rate of usual slow clients, in bytes per millisecond (1 MB/s according to the platform's
/// specification). A client may read slower, and is then waited for as long as it is seen to read.
const SLOW_CLIENT_BYTES_PER_MS: f64 = 1000.0;
/// Shortest time for which a client is given to read a full receive window, about 100 KB for a client that
/// reads slowly.
const MIN_WINDOW_READ_MS: Millis = 300.0;
/// The time to read a window, as a multiple of the longest pause between two openings of the window: a client
/// announces room once it has read a part of its window.
const WINDOW_READ_PER_PAUSE: f64 = 2.0;
/// A client that has taken nothing for this long, although the kernel holds bytes for it, does not read.
const STALLED_MS: Millis = 2500.0;
/// The same while the kernel's buffer is nearly full, when it can't be seen whether bytes leave it.
const STALLED_BUFFER_FULL_MS: Millis = 6000.0;
/// Interval between checks of the kernel's buffer.
const CHECK_INTERVAL_MS: Millis = 50.0;

/// How many bytes the kernel holds that it has not sent to the client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unsent {
    /// None.
    #[default]
    Nothing,
    /// Some, and fewer than this many.
    Below(u32),
    /// So many that their number can't be told.
    BufferFull,
}

/// How far a client has read.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadProgress {
    /// When a client of [`SLOW_CLIENT_BYTES_PER_MS`] has read everything that was written.
    slow_client_read_by: Millis,
    /// What the kernel held when it was last checked.
    unsent: Unsent,
    /// When the kernel was last seen to hold unsent bytes.
    unsent_at: Option<Millis>,
    /// When the kernel was last seen to hold fewer bytes than before, or to begin to hold some.
    progressed_at: Millis,
    /// The longest time between two such moments while the kernel held bytes.
    longest_pause_ms: Millis,
    /// When the kernel's buffer was last checked.
    checked_at: Option<Millis>,
}

impl ReadProgress {
    /// Records that the kernel has accepted bytes.
    pub fn wrote(&mut self, now: Millis, bytes: usize) {
        let read_time_ms = bytes as f64 / SLOW_CLIENT_BYTES_PER_MS;
        self.slow_client_read_by = self.slow_client_read_by.max(now) + read_time_ms;
    }

    /// Records how many bytes the kernel holds that it has not sent.
    pub fn checked_kernel(&mut self, now: Millis, unsent: Unsent) {
        if self.unsent == Unsent::Nothing {
            self.progressed_at = now;
        } else if unsent < self.unsent {
            self.longest_pause_ms = self.longest_pause_ms.max(now - self.progressed_at);
            self.progressed_at = now;
        }
        if unsent != Unsent::Nothing {
            self.unsent_at = Some(now);
        }
        (self.unsent, self.checked_at) = (unsent, Some(now));
    }

    /// Returns what the kernel held when it was last checked.
    pub fn unsent(&self) -> Unsent {
        self.unsent
    }

    /// Returns when to check the kernel's buffer next.
    pub fn next_check(&self) -> Millis {
        self.checked_at.map_or(0.0, |at| at + CHECK_INTERVAL_MS)
    }

    /// Whether the client has read everything, unless it is slower than usual slow clients and its receive
    /// window is larger than a usual one.
    pub fn has_read(&self, now: Millis) -> bool {
        self.unsent == Unsent::Nothing && now >= self.slow_client_read_by && now >= self.window_read_by()
    }

    /// Whether the wait for the client may end at a deadline: the kernel has sent everything for as long as
    /// the client needs for a window, or the client does not read.
    pub fn may_stop_waiting(&self, now: Millis) -> bool {
        match self.unsent {
            Unsent::Nothing => now >= self.window_read_by(),
            Unsent::Below(_) | Unsent::BufferFull => self.has_stalled(now),
        }
    }

    /// Whether the kernel holds bytes for the client, and the client still takes some now and then.
    pub fn is_reading(&self, now: Millis) -> bool {
        self.unsent != Unsent::Nothing && !self.has_stalled(now)
    }

    fn has_stalled(&self, now: Millis) -> bool {
        match self.unsent {
            Unsent::Nothing => false,
            Unsent::Below(_) => now - self.progressed_at >= STALLED_MS,
            Unsent::BufferFull => now - self.progressed_at >= STALLED_BUFFER_FULL_MS,
        }
    }

    /// Returns when the client has read its receive window, which is full as long as the kernel here holds
    /// unsent bytes.
    fn window_read_by(&self) -> Millis {
        let pause_ms = WINDOW_READ_PER_PAUSE * self.longest_pause_ms;
        let window_read_ms = pause_ms.clamp(MIN_WINDOW_READ_MS, STALLED_MS);
        self.unsent_at.map_or(0.0, |at| at + window_read_ms)
    }
}
