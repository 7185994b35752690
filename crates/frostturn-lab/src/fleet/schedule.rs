//! Fault schedules: drawn from a seed, printed and read as JSON lines, and executed with real processes or
//! in simulated time.

use crate::relay::Link;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Milliseconds.
pub type Millis = f64;

/// A set of links that carry nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Cut {
    /// From the first router to the second.
    OneWay(usize, usize),
    /// All links from this router.
    Mute(usize),
    /// All links to this router.
    Deaf(usize),
    /// Between these routers and all others.
    Apart(Vec<usize>),
    /// Between all routers that are not neighbours by number.
    Chain,
}

impl Cut {
    /// Returns whether this link is cut.
    pub fn cuts(&self, from: usize, to: usize) -> bool {
        match self {
            Self::OneWay(a, b) => (from, to) == (*a, *b),
            Self::Mute(one) => from == *one,
            Self::Deaf(one) => to == *one,
            Self::Apart(these) => these.contains(&from) != these.contains(&to),
            Self::Chain => from.abs_diff(to) > 1,
        }
    }
}

/// One fault action.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FaultAction {
    /// Kills these routers.
    Kill(Vec<usize>),
    /// Starts new processes of these routers.
    Start(Vec<usize>),
    /// Suspends these routers.
    Stop(Vec<usize>),
    /// Resumes these routers.
    Resume(Vec<usize>),
    /// Sets all links from now on: which are cut, and the behaviour of the others.
    Links(Vec<Cut>, Link),
    /// Delays a router's timers by this time from now on, by suspending it repeatedly for that long; 0: no
    /// delay.
    Late(usize, Millis),
    /// Sends this many junk datagrams a second to a router from now on.
    Junk(usize, u32),
}

/// A fault action and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Time since the beginning of the schedule.
    pub at_ms: Millis,
    /// The action.
    pub what: FaultAction,
}

/// A schedule in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule(pub Vec<Step>);

/// Time without faults at the beginning, so that all routers know each other; after each fault, so that its
/// effect shows; and at the end.
const SETTLE_MS: Millis = 4000.0;
const FAULT_PAUSE_MS: Millis = 3600.0;
pub const FINAL_QUIET_MS: Millis = 5500.0;
/// Duration of a death that must be detected.
const DEATH_DURATION_MS: Millis = 11_500.0;

impl Schedule {
    /// Draws a schedule of this duration for this number of routers.
    pub fn draw(seed: u64, routers: usize, span_ms: Millis) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0xf1ee_7000);
        let mut steps = Vec::new();
        let mut add = |at_ms: Millis, what: FaultAction| steps.push(Step { at_ms: at_ms.round(), what });
        let end = span_ms - FINAL_QUIET_MS;
        // Long deaths, concurrent with all other faults: one router or up to a third.
        let most = (routers / 3).max(1);
        let count = if rng.random() { 1 } else { most };
        let dead = some(&mut rng, routers, count);
        let at = SETTLE_MS + rng.random_range(0.0..3000.0);
        add(at, FaultAction::Kill(dead.clone()));
        add((at + DEATH_DURATION_MS).min(end), FaultAction::Start(dead.clone()));
        let (back, mut at) = ((at + DEATH_DURATION_MS).min(end), SETTLE_MS + rng.random_range(0.0..1500.0));
        while at + 1500.0 < end {
            let for_ms = rng.random_range(2500.0..6000.0f64).min(end - at);
            let living: Vec<usize> =
                (0..routers).filter(|one| !dead.contains(one) || at > back + FAULT_PAUSE_MS).collect();
            let mut living = living;
            living.shuffle(&mut rng);
            let one = living[0];
            let third = living[..(living.len() / 4).max(1)].to_vec();
            let calm = Link::default();
            let rough = Link { lose: 0.3, double: 0.1, delay_ms: 400.0, cut: false };
            let mut heals = at + for_ms;
            // While some routers are dead, other faults must leave a majority: without one nobody could
            // detect the deaths.
            let beside = at < back;
            let which = if beside {
                [0, 1, 2, 3, 4, 5, 6, 12][rng.random_range(0..8)]
            } else {
                rng.random_range(0..13)
            };
            match which {
                0 => {
                    let still = [500.0, 3000.0, 10_000.0][rng.random_range(0..3)];
                    heals = (at + still).min(end);
                    let these = if beside || rng.random() { vec![one] } else { third };
                    add(at, FaultAction::Stop(these.clone()));
                    add(heals, FaultAction::Resume(these));
                }
                1 => {
                    add(at, FaultAction::Late(one, 300.0));
                    add(heals, FaultAction::Late(one, 0.0));
                }
                2 | 3 => add(at, FaultAction::Links(Vec::new(), rough)),
                4 => add(at, FaultAction::Links(vec![Cut::OneWay(one, living[1 % living.len()])], calm)),
                5 => add(at, FaultAction::Links(vec![Cut::Mute(one)], calm)),
                6 => add(at, FaultAction::Links(vec![Cut::Deaf(one)], calm)),
                7 => add(at, FaultAction::Links(vec![Cut::Chain], calm)),
                8 => add(at, FaultAction::Links(vec![Cut::Apart((0..routers / 2).collect())], calm)),
                9 => add(at, FaultAction::Links(vec![Cut::Apart(third)], rough)),
                10 => {
                    let mut flips = at;
                    while flips + 2000.0 < (at + 8000.0).min(end) {
                        add(flips, FaultAction::Links(vec![Cut::Apart(vec![one])], calm));
                        add(flips + 2000.0, FaultAction::Links(Vec::new(), calm));
                        flips += 4000.0;
                        heals = flips - 2000.0;
                    }
                    heals = heals.min(end);
                }
                11 => {
                    // The router restarts at once.
                    add(at, FaultAction::Kill(vec![one]));
                    heals = at + 200.0;
                    add(heals, FaultAction::Start(vec![one]));
                }
                _ => {
                    add(at, FaultAction::Junk(one, 50_000));
                    add(heals, FaultAction::Junk(one, 0));
                }
            }
            add(heals, FaultAction::Links(Vec::new(), calm));
            at = heals + FAULT_PAUSE_MS + rng.random_range(0.0..800.0);
        }
        steps.retain(|step| step.at_ms <= end);
        steps.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        Self(steps)
    }

    /// Prints the schedule, one line per step.
    pub fn print(&self) -> String {
        let line = |step: &Step| serde_json::to_string(step).unwrap_or_default() + "\n";
        self.0.iter().map(line).collect()
    }

    /// Reads a printed schedule.
    pub fn read(text: &str) -> Result<Self, String> {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).enumerate();
        let step = |(at, line): (usize, &str)| {
            serde_json::from_str(line).map_err(|e| format!("line {}: {e}", at + 1))
        };
        lines.map(step).collect::<Result<Vec<Step>, String>>().map(Self)
    }

    /// Returns the time of the last step.
    pub fn last_step_ms(&self) -> Millis {
        self.0.last().map_or(0.0, |step| step.at_ms)
    }
}

fn some(rng: &mut StdRng, of: usize, count: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    all.shuffle(rng);
    all.truncate(count);
    all.sort_unstable();
    all
}

#[cfg(test)]
mod tests;
