//! Faults under the daemon: a preloaded library (`crates/frostturn-shims`) has its system calls fail and its wall clock
//! step. The stand-ins and the checkers run without it.

use rustix::time::{clock_gettime, ClockId};
use std::io;
use std::path::Path;
use std::str::FromStr;

/// The library, as the build script has compiled it.
const LIBRARY: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/libfrostturn_shims.so"));
/// Where the library finds what is to happen.
pub const VARIABLE: &str = "FROSTTURN_SHIMS";

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockStep {
    /// By how much, in milliseconds; back, if negative.
    pub by_ms: i64,
    /// How long after the start of the run.
    pub after_s: f64,
}

impl FromStr for ClockStep {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let read = || {
            let (by_ms, after_s) = text.split_once('@')?;
            Some(Self { by_ms: by_ms.parse().ok()?, after_s: after_s.parse().ok()? })
        };
        read().ok_or_else(|| format!("{text} is not MS@SECONDS, as -3600000@12.5"))
    }
}

/// What is to fail under the daemons of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shims {
    /// A share of system calls, and which: `0.02` or `0.02:socket,connect`.
    pub syscalls: Option<String>,
    /// A share of writes, syncs, renames and creations of files.
    pub disk: Option<f64>,
    /// Steps of the wall clock.
    pub clock_steps: Vec<ClockStep>,
}

impl Shims {
    /// Whether nothing is to happen.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// The daemons' variables for it: the library is put into `dir`. The run begins now.
    pub fn environment(&self, dir: &Path) -> io::Result<Vec<(String, String)>> {
        if self.is_empty() {
            return Ok(Vec::new());
        }
        let library = dir.join("libfrostturn_shims.so");
        std::fs::write(&library, LIBRARY)?;
        let mut words = Vec::new();
        words.extend(self.syscalls.as_ref().map(|calls| format!("syscalls={calls}")));
        words.extend(self.disk.map(|share| format!("disk={share}")));
        if !self.clock_steps.is_empty() {
            let start = boot_ms();
            let step = |step: &ClockStep| format!("{}@{}", step.by_ms, start + (step.after_s * 1e3) as i64);
            let steps: Vec<String> = self.clock_steps.iter().map(step).collect();
            words.push(format!("clock={}", steps.join(",")));
        }
        Ok(vec![
            ("LD_PRELOAD".to_owned(), library.display().to_string()),
            (VARIABLE.to_owned(), words.join(" ")),
        ])
    }
}

fn boot_ms() -> i64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec * 1000 + time.tv_nsec / 1_000_000
}
