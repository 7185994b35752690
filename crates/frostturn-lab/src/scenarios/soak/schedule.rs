//! What befalls whom, and when: drawn from a seed, so that a run can be told in words before it is played.

use crate::check::Millis;
use crate::machines::Failure;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Routers of a run, and boxes.
pub const ROUTERS: usize = 6;
pub const BOXES: usize = 6;
/// When the clients stop sending.
pub const LOAD_MS: Millis = 12_000.0;
/// Deadlines of the classes are multiplied by one of these: short ones bring the kill soon.
const DEADLINE_SCALES: [f64; 3] = [1.0, 0.3, 0.12];
/// How endpoints misbehave.
const FAILURES: [Failure; 5] = [
    Failure::StallsAfterRead,
    Failure::StallsHalfway,
    Failure::ResetRead,
    Failure::ResetUnread,
    Failure::NeverAnswers,
];

/// Something that is done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Operators have a router emptied, and have it take clients again.
    Evacuate(usize),
    Rejoin(usize),
    /// A router is told to end; the kill comes at the earliest time that the protocol page gives.
    Terminate(usize),
    /// Another process starts at the same address.
    StartBeside(usize),
    /// SIGHUP.
    Reload(usize),
    /// Clients that connect, say nothing and stay.
    Crowd(usize),
    /// An endpoint's way fails so; it works again.
    Fail(usize, Failure),
    Heal(usize),
    /// The discovery says that an endpoint leaves.
    Leave(usize),
}

/// A whole run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// What is done, in order of time.
    pub steps: Vec<(Millis, Act)>,
    /// What the settings' deadlines are multiplied by.
    pub deadline_scale: f64,
    /// How long each box's answers wait.
    pub answer_delays_ms: Vec<u64>,
}

impl Schedule {
    /// The schedule of a seed.
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

/// What befalls one router: it is emptied, or ended, or both, with other signals and a crowd close by.
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
    // Signals come in series: told to end twice, or read again while it ends.
    let told = steps.iter().find(|(_, act)| *act == Act::Terminate(router)).map(|(at, _)| *at);
    if let Some(told) = told.filter(|_| rng.random()) {
        steps.push((told + rng.random_range(1.0..900.0), Act::Terminate(router)));
        steps.push((told + rng.random_range(1.0..900.0), Act::Reload(router)));
    }
    if rng.random_range(0..3) == 0 {
        steps.push((from + rng.random_range(-500.0..3000.0), Act::Crowd(router)));
    }
}

#[cfg(test)]
mod tests;
