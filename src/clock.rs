//! The clocks, as types that don't mix.
//!
//! | type | clock | used for |
//! | --- | --- | --- |
//! | [`Millis`] | monotonic, of this process | deadlines, waits, windows, ages: all that is decided |
//! | [`BootTime`] | `CLOCK_BOOTTIME`, the same for all processes of a machine, counting sleep | what processes of one router tell each other |
//! | [`UnixTime`] | the wall clock, which may step | times that another machine names |
//!
//! Only spans are compared. A Unix time is turned into an instant as it is heard ([`WallClock`]), with both clocks read
//! then. This is the one file that reads the wall clock: `.ci/layers` refuses it elsewhere.

use crate::api::Millis;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

/// A difference between the two clocks that is taken for a step of the wall clock; less is drift, which is followed.
const STEP_MS: Millis = 50.0;
/// Steps that are remembered. An event that was made before all of them is taken as of now.
const MOST_STEPS: usize = 8;
/// Where Linux names the current boot (proc(5)).
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// Milliseconds since 1970 on somebody's wall clock.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct UnixTime(pub Millis);

/// Milliseconds since this machine's boot.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct BootTime(pub Millis);

impl UnixTime {
    /// The wall clock's time; the epoch, if it says an earlier one.
    pub fn now() -> Self {
        Self(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1e3))
    }
}

impl BootTime {
    /// The time since the boot.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        Self(time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6)
    }

    /// How long after an earlier time; negative, if that is a later one.
    pub fn since(self, earlier: Self) -> Millis {
        self.0 - earlier.0
    }
}

/// The boot's id; empty, if the system doesn't say.
pub fn boot_id() -> String {
    std::fs::read_to_string(BOOT_ID).map(|id| id.trim().to_owned()).unwrap_or_default()
}

/// A span of this process's life with one offset between the two clocks.
#[derive(Clone, Copy, Debug)]
struct Epoch {
    /// The latest time at which the offset before it was seen to hold, and the first at which this one was.
    after: Millis,
    seen: Millis,
    /// Unix time less monotonic time.
    offset: Millis,
}

/// Turns Unix times into instants of the monotonic clock, however the wall clock steps. Pure: both clocks' readings come
/// in as arguments. Holds the last few steps.
#[derive(Clone, Debug)]
pub struct WallClock {
    epochs: VecDeque<Epoch>,
    /// When both clocks were last read.
    looked: Millis,
}

impl WallClock {
    /// Both clocks are read for the first time.
    pub fn new(now: Millis, unix: UnixTime) -> Self {
        let first = Epoch { after: f64::NEG_INFINITY, seen: now, offset: unix.0 - now };
        Self { epochs: VecDeque::from([first]), looked: now }
    }

    /// Both clocks are read again. To be done often: a step is known to lie between two readings.
    pub fn observe(&mut self, now: Millis, unix: UnixTime) {
        let offset = unix.0 - now;
        match self.epochs.back_mut() {
            Some(epoch) if (offset - epoch.offset).abs() <= STEP_MS => epoch.offset = offset,
            _ => {
                self.epochs.push_back(Epoch { after: self.looked, seen: now, offset });
                if self.epochs.len() > MOST_STEPS {
                    self.epochs.pop_front();
                }
            }
        }
        self.looked = now;
    }

    /// The instant that somebody named by a Unix time, at the latest that it may have been, and not after `now`.
    pub fn to_monotonic(&self, now: Millis, named: UnixTime) -> Millis {
        let mut until = now;
        for epoch in self.epochs.iter().rev() {
            let at = named.0 - epoch.offset;
            if at >= epoch.after && at <= until {
                return at;
            }
            until = epoch.seen;
        }
        now // Of a time that the wall clock skipped, or of the future.
    }
}

#[cfg(test)]
mod tests;
