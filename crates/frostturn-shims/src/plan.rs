//! The faults that the environment configures.

use std::sync::OnceLock;

/// Environment variable with the configuration.
const VARIABLE: &str = "FROSTTURN_SHIMS";

/// A system call, or a kind of system call, that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Socket,
    Connect,
    SetSockOpt,
    /// epoll_ctl(2), additions only.
    EpollAdd,
    Accept,
    Read,
    Write,
    /// An established connection breaks under a read or write.
    Sever,
}

/// A step of the wall clock: its size, and the time of `CLOCK_BOOTTIME` from which it applies.
#[derive(Clone, Copy, Debug)]
pub struct ClockStep {
    /// Size in milliseconds; negative: back.
    pub by_ms: i64,
    /// `CLOCK_BOOTTIME` in milliseconds.
    pub from_boot_ms: i64,
}

/// The faults of this process.
#[derive(Debug, Default)]
pub struct Plan {
    /// Seed of the random faults.
    pub seed: u64,
    syscall_share: f64,
    syscalls: Vec<Call>,
    /// Share of calls on regular files that fail.
    pub disk_share: f64,
    /// Steps of the wall clock.
    pub clock_steps: Vec<ClockStep>,
}

impl Plan {
    /// Returns the plan of this process.
    pub fn get() -> &'static Self {
        static PLAN: OnceLock<Plan> = OnceLock::new();
        PLAN.get_or_init(|| std::env::var(VARIABLE).map(|text| Self::read(&text)).unwrap_or_default())
    }

    /// Settings that can't be parsed are ignored, since the laboratory writes them.
    fn read(text: &str) -> Self {
        let mut plan = Self::default();
        for (name, value) in text.split_whitespace().filter_map(|setting| setting.split_once('=')) {
            match name {
                "seed" => plan.seed = value.parse().unwrap_or(0),
                "disk" => plan.disk_share = value.parse().unwrap_or(0.0),
                "syscalls" => {
                    let (share, names) = value.split_once(':').unwrap_or((value, "all"));
                    plan.syscall_share = share.parse().unwrap_or(0.0);
                    plan.syscalls = names.split(',').flat_map(calls).collect();
                }
                "clock" => plan.clock_steps = value.split(',').filter_map(clock_step).collect(),
                _ => {}
            }
        }
        plan
    }

    /// Returns the share of these calls that fails.
    pub fn share_of(&self, call: Call) -> f64 {
        if self.syscalls.contains(&call) {
            self.syscall_share
        } else {
            0.0
        }
    }
}

fn calls(name: &str) -> Vec<Call> {
    match name {
        "socket" => vec![Call::Socket],
        "connect" => vec![Call::Connect],
        "setsockopt" => vec![Call::SetSockOpt],
        "epoll_ctl" => vec![Call::EpollAdd],
        "accept" => vec![Call::Accept],
        "read" => vec![Call::Read],
        "write" => vec![Call::Write],
        "sever" => vec![Call::Sever],
        "all" => vec![
            Call::Socket,
            Call::Connect,
            Call::SetSockOpt,
            Call::EpollAdd,
            Call::Accept,
            Call::Read,
            Call::Write,
        ],
        _ => Vec::new(),
    }
}

fn clock_step(text: &str) -> Option<ClockStep> {
    let (by_ms, from_boot_ms) = text.split_once('@')?;
    Some(ClockStep { by_ms: by_ms.parse().ok()?, from_boot_ms: from_boot_ms.parse().ok()? })
}
