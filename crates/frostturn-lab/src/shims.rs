//! Fault injection into daemons: a preloaded library (`crates/frostturn-shims`) makes their system calls
//! fail and their wall clock step. The stand-ins and the checkers run without it.

use rustix::time::{clock_gettime, ClockId};
use std::io;
use std::path::Path;
use std::str::FromStr;

/// The library, as compiled by the build script.
const LIBRARY: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/libfrostturn_shims.so"));
/// Environment variable from which the library reads the faults.
pub const VARIABLE: &str = "FROSTTURN_SHIMS";

/// A step of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockStep {
    /// Size of the step in milliseconds; negative: back.
    pub by_ms: i64,
    /// Time of the step in seconds after the start of the run.
    pub after_s: f64,
}

impl FromStr for ClockStep {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let read = || {
            let (by_ms, after_s) = text.split_once('@')?;
            Some(Self { by_ms: by_ms.parse().ok()?, after_s: after_s.parse().ok()? })
        };
        read().ok_or_else(|| {
            format!("invalid clock step {text}: expected MS@SECONDS, for example -3600000@12.5")
        })
    }
}

/// Faults that are injected into the daemons of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shims {
    /// Share of system calls that fail, and which ones: `0.02` or `0.02:socket,connect`.
    pub syscalls: Option<String>,
    /// Share of writes, syncs, renames and creations of files that fail.
    pub disk: Option<f64>,
    /// Steps of the wall clock.
    pub clock_steps: Vec<ClockStep>,
}

impl Shims {
    /// Returns whether no fault is configured.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Writes the library into `dir` and returns the daemons' environment variables. Times of clock steps
    /// count from this call.
    pub fn environment(&self, dir: &Path) -> io::Result<Vec<(String, String)>> {
        if self.is_empty() {
            return Ok(Vec::new());
        }
        let library = dir.join("libfrostturn_shims.so");
        std::fs::write(&library, LIBRARY)?;
        let mut settings = Vec::new();
        settings.extend(self.syscalls.as_ref().map(|calls| format!("syscalls={calls}")));
        settings.extend(self.disk.map(|share| format!("disk={share}")));
        if !self.clock_steps.is_empty() {
            let start = boot_ms();
            let step = |step: &ClockStep| format!("{}@{}", step.by_ms, start + (step.after_s * 1e3) as i64);
            let steps: Vec<String> = self.clock_steps.iter().map(step).collect();
            settings.push(format!("clock={}", steps.join(",")));
        }
        Ok(vec![
            ("LD_PRELOAD".to_owned(), library.display().to_string()),
            (VARIABLE.to_owned(), settings.join(" ")),
        ])
    }
}

fn boot_ms() -> i64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec * 1000 + time.tv_nsec / 1_000_000
}
