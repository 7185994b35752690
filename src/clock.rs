//! The clocks, as types that can't be mixed up.
//!
//! | type | clock | used for |
//! | --- | --- | --- |
//! | [`Millis`] | monotonic, of this process | deadlines, waits, windows and ages: every decision |
//! | [`BootTime`] | `CLOCK_BOOTTIME` of the machine, with sleep | state shared by the processes of a router |
//! | [`UnixTime`] | the wall clock, which may step | times that another machine reports |
//!
//! Only spans are compared. A Unix time is converted to a monotonic one when it is received ([`WallClock`]),
//! with both clocks read at that moment. The wall clock is read in this file alone: `.ci/layers` rejects it
//! elsewhere.

use crate::api::Millis;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

/// Difference between the two clocks from which on it counts as a step of the wall clock. A smaller
/// difference is drift, which is followed.
const STEP_MS: Millis = 50.0;
/// Number of clock offsets that are remembered. An event from before all of them counts as happening now.
const MAX_OFFSET_PERIODS: usize = 8;
/// The file in which Linux names the current boot (proc(5)).
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// Milliseconds since 1970 on some machine's wall clock.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct UnixTime(pub Millis);

/// Milliseconds since the boot of this machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct BootTime(pub Millis);

impl UnixTime {
    /// Returns the wall clock's time, or the epoch if the clock is set to an earlier time.
    pub fn now() -> Self {
        Self(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1e3))
    }
}

impl BootTime {
    /// Returns the time since the boot.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        Self(time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6)
    }

    /// Returns the time since `earlier`, negative if `earlier` is later.
    pub fn since(self, earlier: Self) -> Millis {
        self.0 - earlier.0
    }
}

/// Returns the id of the boot, or an empty text if the system has none.
pub fn boot_id() -> String {
    std::fs::read_to_string(BOOT_ID_PATH).map(|id| id.trim().to_owned()).unwrap_or_default()
}

/// A period of this process with one offset between the two clocks.
#[derive(Clone, Copy, Debug)]
struct OffsetPeriod {
    /// The last time at which the previous offset was observed.
    previous_seen: Millis,
    /// The first time at which this offset was observed.
    first_seen: Millis,
    /// Unix time minus monotonic time.
    offset_ms: Millis,
}

/// Converts Unix times to monotonic times, even if the wall clock steps. Pure: the readings of both clocks
/// are arguments. Remembers the last few steps.
#[derive(Clone, Debug)]
pub struct WallClock {
    periods: VecDeque<OffsetPeriod>,
    /// When both clocks were last read.
    last_observed: Millis,
}

impl WallClock {
    /// Starts with the first reading of both clocks.
    pub fn new(now: Millis, unix: UnixTime) -> Self {
        let first =
            OffsetPeriod { previous_seen: f64::NEG_INFINITY, first_seen: now, offset_ms: unix.0 - now };
        Self { periods: VecDeque::from([first]), last_observed: now }
    }

    /// Takes a further reading of both clocks. Frequent readings locate a step more closely, as it lies
    /// between two of them.
    pub fn observe(&mut self, now: Millis, unix: UnixTime) {
        let offset_ms = unix.0 - now;
        match self.periods.back_mut() {
            Some(period) if (offset_ms - period.offset_ms).abs() <= STEP_MS => period.offset_ms = offset_ms,
            _ => {
                self.periods.push_back(OffsetPeriod {
                    previous_seen: self.last_observed,
                    first_seen: now,
                    offset_ms,
                });
                if self.periods.len() > MAX_OFFSET_PERIODS {
                    self.periods.pop_front();
                }
            }
        }
        self.last_observed = now;
    }

    /// Returns the monotonic time of a reported Unix time: the latest one that it may mean, and not after
    /// `now`.
    pub fn to_monotonic(&self, now: Millis, reported: UnixTime) -> Millis {
        let mut until = now;
        for period in self.periods.iter().rev() {
            let at = reported.0 - period.offset_ms;
            if at >= period.previous_seen && at <= until {
                return at;
            }
            until = period.first_seen;
        }
        now // The wall clock skipped the reported time, or the time lies in the future.
    }
}

#[cfg(test)]
mod tests;
