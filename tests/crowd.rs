//! Crowds of clients that write badly in many ways at once, drawn from a seed: the process stays below its memory
//! limit, and clients that behave are answered.
//!
//! `CROWD_SEEDS=100..150 cargo test --test crowd` plays a range of seeds.

mod rig;

use rig::crowd::{Plan, Report};

/// The platform kills a process that holds more than its limit, which is stated in MB.
const BYTES_PER_MB: u64 = 1_000_000;
/// Seeds that are played if no others are asked for.
const SEEDS: [u64; 10] = [5, 17, 25, 30, 33, 36, 53, 62, 74, 93];

fn seeds() -> Vec<u64> {
    let Ok(asked) = std::env::var("CROWD_SEEDS") else { return SEEDS.to_vec() };
    let (first, end) = asked.split_once("..").expect("FIRST..END");
    (first.parse().expect("a number")..end.parse().expect("a number")).collect()
}

/// Returns whether the process has kept its limit and answered those who behave.
fn is_kept(plan: &Plan, report: &Report) -> bool {
    let has_memory = report.peak_resident < u64::from(plan.memory_mb) * BYTES_PER_MB;
    has_memory && report.ended_as_told && report.polite.asked == report.polite.answered
}

/// Guards against memory beyond the limit while relief is at work.
#[test]
fn crowds_that_write_badly_do_not_exceed_the_memory_limit() {
    let mut broken = Vec::new();
    let alone = Plan::draw(0).without_crowd().play("crowdalone").polite.quantile(0.99);
    eprintln!("polite clients alone: p99 {alone:?}");
    for seed in seeds() {
        let plan = Plan::draw(seed);
        let report = plan.play(&format!("crowd{seed}"));
        let verdict = if is_kept(&plan, &report) { "kept" } else { "BROKEN" };
        let (own, resident) = (report.peak_anonymous / 1024, report.peak_resident / 1024);
        let (polite, p99) = (&report.polite, report.polite.quantile(0.99));
        eprintln!(
            "seed {seed}: {verdict}, {} MB: own {own} KB, resident {resident} KB; asked {}, answered {}, \
             served {}, p99 {p99:?}, slowest {:?}",
            plan.memory_mb,
            polite.asked,
            polite.answered,
            polite.served,
            polite.quantile(1.0)
        );
        if verdict == "BROKEN" {
            eprintln!("{plan:?}\n{}", report.log);
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "seeds {broken:?}");
}
