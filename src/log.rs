//! Lines for the operators: `eprintln` behind one macro that is limited in rate.

use std::sync::Mutex;
use std::time::Instant;

/// Lines a second that may be written for long.
const LINES_PER_S: f64 = 10.0;
/// Lines that may come together.
const BURST: f64 = 40.0;

/// A bucket of lines that may still be written, and how many were held back since the last one.
#[derive(Debug)]
pub struct Limiter {
    left: f64,
    at_s: f64,
    held_back: u64,
}

impl Limiter {
    /// A full bucket.
    pub const fn new() -> Self {
        Self { left: BURST, at_s: 0.0, held_back: 0 }
    }

    /// Whether a line may be written at `now_s`; if so, how many were held back before it.
    pub fn permit(&mut self, now_s: f64) -> Option<u64> {
        self.left = (self.left + LINES_PER_S * (now_s - self.at_s).max(0.0)).min(BURST);
        self.at_s = self.at_s.max(now_s);
        if self.left < 1.0 {
            self.held_back += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.held_back))
    }
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}

static LIMITER: Mutex<(Limiter, Option<Instant>)> = Mutex::new((Limiter::new(), None));

/// The process's own limiter, on the process's clock; used by [`say!`](crate::say).
pub fn permit() -> Option<u64> {
    let mut shared = LIMITER.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let start = *shared.1.get_or_insert_with(Instant::now);
    shared.0.permit(start.elapsed().as_secs_f64())
}

/// Writes one line to standard error, if the rate allows it; `always;` first writes it in any case, for lines
/// that come once or were asked for.
#[macro_export]
macro_rules! say {
    (always; $($part:tt)*) => { eprintln!("frostturn: {}", format_args!($($part)*)) };
    ($($part:tt)*) => {
        match $crate::log::permit() {
            Some(0) => eprintln!("frostturn: {}", format_args!($($part)*)),
            Some(held) => eprintln!("frostturn: {} ({held} lines held back)", format_args!($($part)*)),
            None => {}
        }
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_held_back_and_counted() {
        let mut limiter = Limiter::new();
        let written = (0..1000).filter(|_| limiter.permit(1.0).is_some()).count();
        assert_eq!(written, BURST as usize);
        assert_eq!(limiter.permit(2.0), Some(1000 - BURST as u64), "the next line says how many");
    }
}
