//! The real daemon with its system calls failing now and then, as Linux documents that they may: all rules hold, and hardly
//! a request is refused or failed for it.

use frostturn_lab::report::Report;
use frostturn_lab::scenarios::{up, Options};
use frostturn_lab::shims::Shims;
use std::path::PathBuf;

/// Part of the calls that fail.
const SHARE: f64 = 0.05;

/// Some seconds of a small site under a daemon whose calls of these names fail.
fn play(calls: &str) -> Report {
    let shims = Shims { syscalls: Some(format!("{SHARE}:{calls}")), ..Shims::default() };
    let options = Options {
        seed: 7,
        daemon: Some(PathBuf::from(env!("CARGO_BIN_EXE_frostturn-lab"))),
        seconds: Some(3.0),
        rate: Some(300.0),
        shims,
        ..Options::default()
    };
    up::run(&options).expect("it starts and ends well")
}

fn keeps_all_rules_and_serves(calls: &str) {
    let report = play(calls);
    assert!(report.rules.kept(), "{calls}: {:?} {:?}", report.rules, report.examples);
    let unserved = report.requests - report.served;
    assert!(unserved * 50 <= report.requests, "{calls}: {unserved} of {} not served", report.requests);
}

#[test]
fn sockets_that_cannot_be_had_or_connected_now_and_then_cost_no_request() {
    ["socket", "connect", "setsockopt", "epoll_ctl"].into_iter().for_each(keeps_all_rules_and_serves);
}

#[test]
fn accepts_that_fail_now_and_then_cost_no_request() {
    keeps_all_rules_and_serves("accept");
}

#[test]
fn reads_and_writes_that_fail_or_are_short_now_and_then_cost_no_request() {
    ["read", "write"].into_iter().for_each(keeps_all_rules_and_serves);
}
