//! Cache hits that the example plug-in for staff photos gains where boxes return with empty caches: the
//! same load and boxes, with the plug-in and without.

use super::Options;
use crate::check::Budget;
use crate::clients;
use crate::machines::{Failure, CAPACITY, COLD_FROM, COLD_MS};
use crate::report::{Bound, Report};
use crate::site::{Site, Status};
use crate::world::PHOTOS;
use std::thread;
use std::time::Duration;

const BOXES: usize = 8;
const REQUESTS_PER_S: f64 = 800.0;
const SECONDS: f64 = 15.0;
/// Time between two departures of a box, time until a box returns with an empty cache, and time of the
/// first departure.
const DEPARTURE_INTERVAL_MS: f64 = 1800.0;
const ABSENCE_MS: f64 = 900.0;
const FIRST_DEPARTURE_MS: f64 = 2000.0;
const PROGRAM: &str = include_str!("../../../../examples/plugins/photos.wat");

/// Runs the load without and with the plug-in.
pub fn run(options: &Options) -> Result<Report, String> {
    let (usual, before) = serve(options, false)?;
    let (mut report, after) = serve(options, true)?;
    let share = |(held, all): (u64, u64)| held as f64 / all.max(1) as f64;
    println!(
        "cache hit ratio of photos: {:.4} without the plug-in, {:.4} with it; of other objects: {:.4}, {:.4}",
        share(before[0]),
        share(after[0]),
        share(before[1]),
        share(after[1])
    );
    let bounds = &mut report.bounds;
    bounds.push(Bound::least("photos_memory_gain", share(after[0]) - share(before[0]), 0.005));
    bounds.push(Bound::least("rest_memory_ratio", share(after[1]) / share(before[1]).max(1e-9), 0.99));
    bounds.push(Bound::least("worth_ratio", report.worth / usual.worth, 0.99));
    bounds.push(Bound::least("photos", after[0].1 as f64, 300.0));
    Ok(report)
}

/// Cache hits and all answers, for photos and for other objects.
type CacheAnswers = [(u64, u64); 2];

fn serve(options: &Options, with: bool) -> Result<(Report, CacheAnswers), String> {
    let site = Site::start(BOXES, &options.setup())?;
    let path = site.dir.join("photos.wat");
    std::fs::write(&path, PROGRAM).map_err(|e| format!("{}: {e}", path.display()))?;
    let plugin = format!(
        "(frostturn (plugins (plugin \"photos\" (file \"{}\") (settings (group {PHOTOS})))))",
        path.display()
    );
    site.write_text(if with { &plugin } else { "(frostturn)" })?;
    let daemon = site.daemon(options.daemon.as_deref(), false, options.seed)?;
    let seconds = options.seconds.unwrap_or(SECONDS);
    let (world, address, rate) = (site.world.clone(), daemon.address, options.rate.unwrap_or(REQUESTS_PER_S));
    let (start, seed) = (world.now(), options.seed);
    let load = thread::spawn(move || clients::run(&world, address, rate, seconds * 1e3, seed));
    let budget = Budget { first: 3.0 * COLD_FROM * CAPACITY, last: 3.0 * CAPACITY };
    let sleep_until = |at: f64| {
        let wait = start + at - site.world.now();
        thread::sleep(Duration::from_secs_f64(wait.max(0.0) / 1e3));
    };
    let mut leaves = (FIRST_DEPARTURE_MS, options.seed as usize % BOXES);
    while leaves.0 + ABSENCE_MS < seconds * 1e3 {
        let (at, one) = leaves;
        sleep_until(at);
        // The departure is announced first: open requests finish and no new ones arrive.
        site.announce_status(one, Status::Left, None);
        sleep_until(at + ABSENCE_MS);
        site.boxes[one].endpoints.iter().for_each(|endpoint| endpoint.fail(Failure::None));
        site.boxes[one].restart_cold();
        site.announce_status(one, Status::Active, Some((COLD_MS, budget)));
        leaves = (at + DEPARTURE_INTERVAL_MS, (one + 3) % BOXES);
    }
    let load = load.join().map_err(|_| "the clients panicked".to_owned())?;
    let (report, seen, ended) = site.finish("photos", seed, daemon, &load);
    ended.map(|()| (report, seen.cache_answers))
}
