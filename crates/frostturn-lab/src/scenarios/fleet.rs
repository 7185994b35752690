//! A fleet of twelve routers under load, with random fault schedules. For comparison the same routers run
//! without a fleet, under the same load, deaths and suspensions.

use super::Options;
use crate::check::Verdict;
use crate::clients::{self, Load};
use crate::daemon::Daemon;
use crate::fleet::audit::{self, boot_ms};
use crate::fleet::check::{evaluate, Figures, GroundTruth, LoggedEvent};
use crate::fleet::schedule::{FaultAction, Millis, Schedule};
use crate::relay::Link;
use crate::report::{Bound, Report};
use crate::rig::Rig;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const ROUTERS: usize = 12;
const BOXES: usize = 8;
const SECONDS: f64 = 38.0;
/// Requests per second at each router.
const REQUESTS_PER_S: f64 = 50.0;
/// A router with delayed timers is suspended for the schedule's time, and runs for this long in between.
const RUNS_MS: Millis = 100.0;
/// Interval at which the schedule is checked for its next step.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Routers and their load.
struct Side {
    rig: Rig,
    loads: Vec<thread::JoinHandle<Load>>,
}

impl Side {
    fn start(options: &Options, fleet: bool) -> Result<Self, String> {
        let mut rig = Rig::new(BOXES, ROUTERS, "", options.daemon.clone(), options.seed, &options.setup())?;
        rig.start_all(fleet)?;
        Ok(Self { rig, loads: Vec::new() })
    }

    fn load(&mut self, options: &Options, for_ms: Millis) {
        for slot in &self.rig.slots {
            let Some(address) = slot.address else { continue };
            let (world, rate, seed) =
                (self.rig.site.world.clone(), options.rate.unwrap_or(REQUESTS_PER_S), options.seed);
            let seed = seed.wrapping_mul(31).wrapping_add(self.loads.len() as u64);
            self.loads.push(thread::spawn(move || clients::run(&world, address, rate, for_ms, seed)));
        }
    }
}

/// Returns the schedule of a seed.
pub fn schedule(seed: u64, seconds: Option<f64>) -> Schedule {
    Schedule::draw(seed, ROUTERS, seconds.unwrap_or(SECONDS) * 1e3)
}

/// Runs the scenario.
pub fn run(options: &Options) -> Result<Report, String> {
    let seconds = options.seconds.unwrap_or(SECONDS);
    let schedule = match &options.replay {
        None => schedule(options.seed, options.seconds),
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            Schedule::read(&text)?
        }
    };
    if options.calm {
        println!("no faults are injected");
    }
    let schedule = if options.calm { Schedule::default() } else { schedule };
    let mut sides = [Side::start(options, true)?, Side::start(options, false)?];
    let begin = boot_ms();
    sides.iter_mut().for_each(|side| side.load(options, seconds * 1e3));
    let done = play(&mut sides, &schedule, begin, seconds * 1e3, options)?;
    let end = boot_ms();
    let mut loads = Vec::new();
    for side in &mut sides {
        let all: Result<Vec<Load>, _> = side.loads.drain(..).map(thread::JoinHandle::join).collect();
        loads.push(all.map_err(|_| "the clients panicked".to_owned())?);
    }
    let excused = excused(&done, end);
    let (figures, notes) = judged(&sides[0].rig, begin, &done, end);
    let [with, without] = sides;
    let used: Vec<(f64, u64)> =
        with.rig.slots.iter().filter_map(|slot| slot.process.as_ref()).map(Daemon::resource_usage).collect();
    let cpu: f64 = used.iter().map(|(ms, _)| ms).sum();
    let cpu_without: f64 = without
        .rig
        .slots
        .iter()
        .filter_map(|slot| slot.process.as_ref())
        .map(|one| one.resource_usage().0)
        .sum();
    let passed = with.rig.relays.forwarded.load(Ordering::Relaxed);
    let mut examples = notes;
    let (verdict, worth, latency) = finish(with, &loads[0], &excused, &mut examples);
    let (plain, worth_plain, _) = finish(without, &loads[1], &excused, &mut Vec::new());
    println!("  measured: {}", figures.samples());
    let ratio = worth / worth_plain;
    println!("  without a fleet: worth {worth_plain:.4}, rules {:?}", plain.rules);
    println!(
        "  CPU of the routers with and without: {cpu:.0} and {cpu_without:.0} ms; {passed} datagrams forwarded"
    );
    println!(
        "  {} steps: {}",
        done.len(),
        if options.calm { "none" } else { "as drawn; --schedule prints them" }
    );
    let mut report = Report {
        scenario: "fleet",
        seed: options.seed,
        requests: verdict.requests,
        served: verdict.served,
        refused: verdict.refused,
        failed: verdict.failed,
        worth,
        p50_ms: latency.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: latency.value_at_quantile(0.99) as f64 / 1e3,
        cpu_us: cpu * 1e3 / verdict.requests.max(1) as f64,
        memory_mb: used.iter().map(|(_, kb)| *kb).max().unwrap_or(0) as f64 / 1024.0,
        rules: verdict.rules,
        bounds: figures.bounds(),
        examples,
    };
    report.bounds.push(Bound::least("worth_ratio", ratio, 0.98));
    Ok(report)
}

/// Runs the schedule on both sides, link faults on the first alone. Returns the actions and their times.
fn play(
    sides: &mut [Side; 2],
    schedule: &Schedule,
    begin: Millis,
    for_ms: Millis,
    options: &Options,
) -> Result<Vec<(Millis, FaultAction)>, String> {
    let mut done = Vec::new();
    let mut late: BTreeMap<usize, (Millis, Millis, bool)> = BTreeMap::new();
    let junk: Vec<Arc<AtomicU32>> = (0..ROUTERS).map(|_| Arc::new(AtomicU32::new(0))).collect();
    for (at, rate) in junk.iter().enumerate() {
        spread_junk(&sides[0].rig, at, rate.clone(), options.seed);
    }
    let mut steps = schedule.0.iter().peekable();
    loop {
        let now = boot_ms() - begin;
        while let Some(step) = steps.next_if(|step| step.at_ms <= now) {
            match &step.what {
                FaultAction::Kill(these) => {
                    these.iter().for_each(|one| sides.iter_mut().for_each(|side| side.rig.kill(*one)));
                }
                FaultAction::Start(these) => {
                    for one in these {
                        sides[0].rig.spawn(*one, true, false)?;
                        sides[1].rig.spawn(*one, false, false)?;
                    }
                }
                FaultAction::Stop(these) => {
                    these.iter().for_each(|one| sides.iter().for_each(|side| side.rig.pause(*one, true)));
                }
                FaultAction::Resume(these) => {
                    these.iter().for_each(|one| sides.iter().for_each(|side| side.rig.pause(*one, false)));
                }
                FaultAction::Links(cuts, link_behaviour) => {
                    sides[0].rig.set_links(*link_behaviour, |_, _| true);
                    let cut = Link { cut: true, ..Link::default() };
                    sides[0].rig.set_links(cut, |from, to| cuts.iter().any(|one| one.cuts(from, to)));
                }
                FaultAction::Late(one, 0.0) => {
                    late.remove(one);
                    sides.iter().for_each(|side| side.rig.pause(*one, false));
                }
                FaultAction::Late(one, ms) => drop(late.insert(*one, (*ms, now, false))),
                FaultAction::Junk(one, rate) => junk[*one].store(*rate, Ordering::Relaxed),
            }
            done.push((boot_ms(), step.what.clone()));
        }
        for (one, (ms, turn_at, stopped)) in &mut late {
            if now >= *turn_at {
                *stopped = !*stopped;
                *turn_at = now + if *stopped { *ms } else { RUNS_MS };
                sides.iter().for_each(|side| side.rig.pause(*one, *stopped));
            }
        }
        if now >= for_ms {
            return Ok(done);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends junk to one router at a variable rate, until the run ends.
fn spread_junk(rig: &Rig, at: usize, rate: Arc<AtomicU32>, seed: u64) {
    let (listen, latest, world) = (rig.slots[at].listen, rig.relays.recent.clone(), rig.site.world.clone());
    thread::spawn(move || {
        let Ok(socket) = UdpSocket::bind("127.0.0.1:0") else { return };
        let mut rng = StdRng::seed_from_u64(seed ^ at as u64);
        while !world.ended() {
            let some = rate.load(Ordering::Relaxed) / 500;
            for _ in 0..some {
                let heard = {
                    let latest = latest.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                    if latest.is_empty() {
                        Vec::new()
                    } else {
                        latest[rng.random_range(0..latest.len())].clone()
                    }
                };
                let mut bytes = heard;
                match rng.random_range(0..4) {
                    0 => {
                        bytes = vec![0; rng.random_range(0..1500)];
                        rng.fill_bytes(&mut bytes);
                    }
                    1 => bytes.truncate(rng.random_range(0..bytes.len() + 1)),
                    2 => {
                        // Altered bytes: an unknown fleet, or a corrupt datagram.
                        let at = rng.random_range(0..bytes.len().max(1));
                        bytes.iter_mut().skip(at).take(1).for_each(|byte| *byte ^= 0x20);
                    }
                    _ => {} // Replayed unchanged.
                }
                let _ = socket.send_to(&bytes, listen); // The router may be down.
            }
            thread::sleep(Duration::from_millis(2));
        }
    });
}

/// Returns the intervals in which requests of each router can't be answered.
fn excused(done: &[(Millis, FaultAction)], end: Millis) -> Vec<Vec<(Millis, Millis)>> {
    let mut spans: Vec<Vec<(Millis, Millis)>> = vec![Vec::new(); ROUTERS];
    let begins = |spans: &mut Vec<(Millis, Millis)>, at| spans.push((at, end));
    let ends = |spans: &mut Vec<(Millis, Millis)>, at: Millis| {
        if let Some(span) = spans.last_mut().filter(|span| span.1 == end) {
            span.1 = at;
        }
    };
    for (at, what) in done {
        match what {
            FaultAction::Kill(these) | FaultAction::Stop(these) => {
                these.iter().for_each(|one| begins(&mut spans[*one], *at))
            }
            FaultAction::Start(these) | FaultAction::Resume(these) => {
                these.iter().for_each(|one| ends(&mut spans[*one], *at))
            }
            FaultAction::Late(one, 0.0) => ends(&mut spans[*one], *at),
            FaultAction::Late(one, _) => begins(&mut spans[*one], *at),
            FaultAction::Links(..) | FaultAction::Junk(..) => {}
        }
    }
    spans
}

/// Compares the routers' logged events with the injected faults.
fn judged(rig: &Rig, begin: Millis, done: &[(Millis, FaultAction)], end: Millis) -> (Figures, Vec<String>) {
    let (mut logged, mut starts): (Vec<LoggedEvent>, Vec<Vec<u64>>) = Default::default();
    for (at, slot) in rig.slots.iter().enumerate() {
        let mut numbers = Vec::new();
        for (start, log) in slot.logs.iter().enumerate() {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let (events, number) = audit::parse_log(&text, at, start);
            logged.extend(events);
            numbers.push(number);
        }
        starts.push(numbers);
    }
    logged.sort_by(|a, b| a.at.total_cmp(&b.at));
    let figures = evaluate(&GroundTruth::new(begin, done, starts, end), &logged);
    let notes = figures.examples.clone();
    (figures, notes)
}

/// Shuts down a side; returns its verdict, the share of the worth that was earned, and its latency.
fn finish(
    side: Side,
    loads: &[Load],
    excused: &[Vec<(Millis, Millis)>],
    examples: &mut Vec<String>,
) -> (Verdict, f64, Histogram<u64>) {
    let Side { mut rig, .. } = side;
    // Offset between the boot clock and the checker's clock.
    let shift = boot_ms() - rig.site.world.now();
    let (mut worth, mut earned) = (0.0, 0.0);
    let mut latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    for (load, spans) in loads.iter().zip(excused) {
        (worth, earned) = (worth + load.worth, earned + load.worth_served);
        let _ = latency.add(&load.latency); // Both have the same bounds.
        let mut seen = rig.site.world.observations();
        for (id, from, until) in &load.requests {
            let hit = |(a, b): &(Millis, Millis)| from + shift <= b + 200.0 && until + shift + 100.0 >= *a;
            if spans.iter().any(hit) {
                seen.checker.excuse(*id);
            }
        }
    }
    let processes: Vec<Daemon> = rig.slots.iter_mut().filter_map(|slot| slot.process.take()).collect();
    processes.iter().for_each(Daemon::terminate);
    for process in processes {
        let log = std::fs::read_to_string(&process.log).unwrap_or_default();
        if !process.wait_for_exit() || log.contains("panicked") || log.contains("a panic ends") {
            let last: Vec<&str> = log.lines().rev().take(3).collect();
            examples.push(format!("a router did not shut down cleanly: {}", last.join(" | ")));
        }
    }
    rig.site.world.end();
    let verdict = std::mem::take(&mut rig.site.world.observations().checker).finish();
    examples.extend(verdict.examples.iter().cloned());
    (verdict, earned / f64::max(worth, 1.0), latency)
}
