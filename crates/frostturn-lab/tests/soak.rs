//! A short soak with fixed seeds: real processes emptied, ended and killed under clients that never stop. The long run, on
//! fifty seeds or more, is started by hand.

use frostturn_lab::scenarios::{soak, Options};
use std::path::PathBuf;
use std::thread;

/// Seeds whose schedules empty and end routers, beside new processes and crowds, one with short deadlines.
const SEEDS: [u64; 2] = [1, 2];

#[test]
fn routers_that_are_emptied_or_ended_under_load_keep_every_rule() {
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
