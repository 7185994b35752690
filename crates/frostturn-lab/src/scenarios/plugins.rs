//! Hostile plug-ins drawn by the seed, replaced under load every 100 ms, while a box starts cold.

use super::Options;
use crate::check::Millis;
use crate::clients::{self, Load};
use crate::hostile;
use crate::machines::{Failure, CAPACITY, COLD_FROM, COLD_MS};
use crate::report::{Bound, Report};
use crate::site::{Site, Status};
use frostturn::api::{ClassSettings, Settings};
use frostturn::plugins::{Loaded, MachineStats, Plugins, RequestInfo, Spec, MAX_PLUGINS};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::fmt::Write as _;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

const BOXES: usize = 8;
const REQUESTS_PER_S: f64 = 1850.0;
const BASELINE_SECONDS: f64 = 9.0;
const SECONDS: f64 = 24.0;
const RELOAD_INTERVAL_MS: u64 = 100;
/// Times at which a box dies and returns cold.
const DIES_MS: Millis = 2500.0;
const RETURNS_MS: Millis = 3500.0;
/// Longest time that one event may hold the event loop, in microseconds, with all plug-ins spending their
/// whole budgets.
const MAX_LOOP_HOLD_US: f64 = 5000.0;

/// Runs the scenario.
pub fn run(options: &Options) -> Result<Report, String> {
    let hold = loop_hold_us()?;
    let (usual, load, _) = serve(options, BASELINE_SECONDS, false)?;
    let seconds = options.seconds.unwrap_or(SECONDS);
    let (mut report, hostile, taken) = serve(options, seconds, true)?;
    let p99 = |load: &Load| load.latency.value_at_quantile(0.99) as f64;
    let bounds = &mut report.bounds;
    bounds.push(Bound::least("hostile_worth_ratio", report.worth / usual.worth, 0.98));
    bounds.push(Bound::most("p99_ratio", p99(&hostile) / p99(&load).max(1.0), 1.15));
    bounds.push(Bound::most("swap_dropped", (report.rules.lost + hostile.unsent) as f64, 0.0));
    bounds.push(Bound::most("cold_overload", report.rules.cold as f64, 0.0));
    bounds.push(Bound::most("loop_hold_max_us", hold, MAX_LOOP_HOLD_US));
    bounds.push(Bound::least(
        "swaps_taken",
        taken as f64,
        (seconds * 1e3 / RELOAD_INTERVAL_MS as f64 * 0.5).floor(),
    ));
    bounds.push(Bound::least("requests", report.requests as f64, 40_000.0));
    Ok(report)
}

fn serve(options: &Options, seconds: f64, hostile: bool) -> Result<(Report, Load, usize), String> {
    let mut rng = StdRng::seed_from_u64(options.seed ^ 0x9106_1a5e);
    let site = Site::start(BOXES, &options.setup())?;
    let all = hostile::all();
    let mut drawn: Vec<usize> = (0..all.len()).collect();
    drawn.shuffle(&mut rng);
    drawn.truncate(if hostile { MAX_PLUGINS } else { 0 });
    write(&site, &all, &drawn)?;
    let daemon = site.daemon(options.daemon.as_deref(), false, options.seed)?;
    let (world, address, rate) = (site.world.clone(), daemon.address, options.rate.unwrap_or(REQUESTS_PER_S));
    let (start, seed) = (world.now(), options.seed);
    let load = thread::spawn(move || clients::run(&world, address, rate, seconds * 1e3, seed));
    let mut next = start;
    let (mut died, mut returned) = (false, false);
    while site.world.now() < start + seconds * 1e3 {
        let at = site.world.now() - start;
        let endpoints =
            |failure: Failure| site.boxes[0].endpoints.iter().for_each(|endpoint| endpoint.fail(failure));
        if !died && at >= DIES_MS {
            died = true;
            endpoints(Failure::Refused);
        }
        if !returned && at >= RETURNS_MS {
            returned = true;
            endpoints(Failure::None);
            site.boxes[0].restart_cold();
            let budget = crate::check::Budget { first: 3.0 * COLD_FROM * CAPACITY, last: 3.0 * CAPACITY };
            site.announce_status(0, Status::Active, Some((COLD_MS, budget)));
        }
        if hostile && site.world.now() >= next {
            next += RELOAD_INTERVAL_MS as f64;
            // One plug-in is replaced by another, and all files are read again.
            let place = rng.random_range(0..drawn.len());
            let fresh = (0..all.len()).filter(|one| !drawn.contains(one)).collect::<Vec<usize>>();
            drawn[place] = fresh[rng.random_range(0..fresh.len())];
            write(&site, &all, &drawn)?;
            daemon.reload();
        }
        thread::sleep(Duration::from_millis(10));
    }
    let load = load.join().map_err(|_| "the clients panicked".to_owned())?;
    let (report, seen, ended) = site.finish("plugins", seed, daemon, &load);
    let taken = seen.log.matches("plug-ins taken: ").count();
    ended.map(|()| (report, load, taken))
}

/// Writes the plug-ins and the operator's file.
fn write(site: &Site, all: &[(&'static str, String)], drawn: &[usize]) -> Result<(), String> {
    let mut text = String::from("(frostturn (plugins\n");
    for at in drawn {
        let (name, program) = &all[*at];
        let path = site.dir.join(format!("{name}.wat"));
        if !path.exists() {
            std::fs::write(&path, program).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        let _ = writeln!(text, "  (plugin \"{name}\" (file \"{}\"))", path.display());
    }
    text.push_str("))\n");
    site.write_text(&text)
}

/// Measures the longest time that the advice for one request holds the event loop, in microseconds. As many
/// endless loops are loaded as plug-ins are allowed; each is paused and restarted.
fn loop_hold_us() -> Result<f64, String> {
    let class = ClassSettings { name: "page".into(), deadline_ms: 1500.0, ..ClassSettings::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let all = hostile::all();
    let endless = all.iter().find(|(name, _)| *name == "loop-request").ok_or("no endless loop")?;
    let order: Vec<String> = (0..MAX_PLUGINS).map(|at| format!("loop{at}")).collect();
    let mut loaded = Vec::new();
    for name in &order {
        let spec = Spec::new(name, PathBuf::new());
        loaded.push(Loaded::new(spec, endless.1.as_bytes().into()).map_err(|fault| fault.to_string())?);
    }
    let mut plugins = Plugins::new(&settings);
    plugins.replace(0.0, &order, loaded);
    let machine_stats = MachineStats::new(&settings);
    let about = RequestInfo {
        class: 0,
        object: None,
        piece: 0,
        group: 0,
        size_kb: None,
        time_left_ms: 900.0,
        repeat: false,
    };
    let mut most: f64 = 0.0;
    for turn in 0..60 {
        let start = Instant::now();
        plugins.request(f64::from(turn) * 500.0, &about, &machine_stats);
        most = most.max(start.elapsed().as_secs_f64() * 1e6);
        plugins.take_lines();
    }
    Ok(most)
}
