//! Schedules of a soak, drawn from a seed, so that a run can be described before it starts.

use crate::check::Millis;
use crate::machines::Failure;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of routers and of boxes.
pub const ROUTERS: usize = 6;
pub const BOXES: usize = 6;
/// Time at which the clients stop sending.
pub const LOAD_MS: Millis = 12_000.0;
/// Factors on the classes' deadlines: short deadlines make the kill come soon.
const DEADLINE_SCALES: [f64; 3] = [1.0, 0.3, 0.12];
/// Failures of endpoints.
const FAILURES: [Failure; 5] = [
    Failure::StallsAfterRead,
    Failure::StallsHalfway,
    Failure::ResetRead,
    Failure::ResetUnread,
    Failure::NeverAnswers,
];

/// An action.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Operators evacuate a router, and let it rejoin.
    Evacuate(usize),
    Rejoin(usize),
    /// Sends SIGTERM; SIGKILL follows at the earliest time that the protocol specification allows.
    Terminate(usize),
    /// Starts another process at the same address.
    StartBeside(usize),
    /// Sends SIGHUP.
    Reload(usize),
    /// Opens a crowd of connections that send nothing and stay open.
    Crowd(usize),
    /// All endpoints of a box fail in this manner, and work again.
    Fail(usize, Failure),
    Heal(usize),
    /// The discovery service announces that a box is leaving.
    Leave(usize),
}

/// The schedule of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Actions in order of time.
    pub steps: Vec<(Millis, Act)>,
    /// Factor on the deadlines of the settings.
    pub deadline_scale: f64,
    /// Delay of each box's answers, in milliseconds.
    pub answer_delays_ms: Vec<u64>,
}

impl Schedule {
    /// Draws the schedule of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x50a4_d3a1);
        let deadline_scale = DEADLINE_SCALES[rng.random_range(0..DEADLINE_SCALES.len())];
        let longest_wait = if deadline_scale < 1.0 { 80 } else { 400 };
        let answer_delays_ms = (0..BOXES).map(|_| rng.random_range(20..longest_wait)).collect();
        let mut steps = Vec::new();
        for router in 0..ROUTERS {
            draw_router(&mut rng, router, &mut steps);
        }
        for failing in 0..2 {
            let from = rng.random_range(500.0..6000.0);
            steps.push((from, Act::Fail(failing, FAILURES[rng.random_range(0..FAILURES.len())])));
            steps.push((from + rng.random_range(1000.0..4000.0), Act::Heal(failing)));
        }
        steps.push((rng.random_range(1000.0..8000.0), Act::Leave(2)));
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        Self { steps, deadline_scale, answer_delays_ms }
    }
}

/// Draws the actions on one router: evacuation, termination or both, with other signals and a crowd close
/// by.
fn draw_router(rng: &mut StdRng, router: usize, steps: &mut Vec<(Millis, Act)>) {
    let from = rng.random_range(1000.0..3000.0);
    match rng.random_range(0..4) {
        0 => {
            steps.push((from, Act::Evacuate(router)));
            steps.push((from + 6000.0, Act::Rejoin(router)));
        }
        1 => {
            steps.push((from, Act::Evacuate(router)));
            steps.push((from + rng.random_range(0.0..5000.0), Act::Terminate(router)));
        }
        2 => {
            if rng.random() {
                steps.push((from - 900.0, Act::StartBeside(router)));
            }
            steps.push((from, Act::Terminate(router)));
        }
        _ => {
            let back = from + rng.random_range(300.0..3900.0);
            steps.push((from, Act::Evacuate(router)));
            steps.push((back, Act::Rejoin(router)));
            steps.push((back + rng.random_range(100.0..1500.0), Act::Evacuate(router)));
        }
    }
    if rng.random() {
        steps.push((from + rng.random_range(-300.0..1500.0), Act::Reload(router)));
    }
    // Signals come in series: a second SIGTERM, and a SIGHUP during the shutdown.
    let terminated_at = steps.iter().find(|(_, act)| *act == Act::Terminate(router)).map(|(at, _)| *at);
    if let Some(terminated_at) = terminated_at.filter(|_| rng.random()) {
        steps.push((terminated_at + rng.random_range(1.0..900.0), Act::Terminate(router)));
        steps.push((terminated_at + rng.random_range(1.0..900.0), Act::Reload(router)));
    }
    if rng.random_range(0..3) == 0 {
        steps.push((from + rng.random_range(-500.0..3000.0), Act::Crowd(router)));
    }
}

#[cfg(test)]
mod tests;
