//! A short soak with fixed seeds: real processes are evacuated, terminated and killed under continuous
//! load. The long run, on fifty seeds or more, is started by hand.

use frostturn_lab::scenarios::{soak, Options};
use std::path::PathBuf;
use std::thread;

/// Seeds whose schedules evacuate and terminate routers, together with upgrades and crowds, one of them
/// with short deadlines.
const SEEDS: [u64; 2] = [1, 2];

#[test]
fn routers_evacuated_or_terminated_under_load_violate_no_rule() {
    let play = |seed| {
        let daemon = Some(PathBuf::from(env!("CARGO_BIN_EXE_frostturn-lab")));
        soak::run(&Options { seed, daemon, ..Options::default() }).expect("it starts and ends well")
    };
    let runs: Vec<_> = SEEDS.into_iter().map(|seed| thread::spawn(move || play(seed))).collect();
    for run in runs {
        let report = run.join().expect("it doesn't panic");
        report.print(false);
        assert!(report.good(), "seed {}: {:?} {:?}", report.seed, report.bounds, report.examples);
        assert!(report.served > 500, "seed {}: {} served", report.seed, report.served);
    }
}
