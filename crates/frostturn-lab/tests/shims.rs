//! Tests the real daemon while some of its system calls fail with errors that Linux documents: all rules
//! hold, and at most 2 % of the requests are not served.

use frostturn_lab::report::Report;
use frostturn_lab::scenarios::{up, Options};
use frostturn_lab::shims::Shims;
use std::path::PathBuf;

/// Share of the calls that fail.
const SHARE: f64 = 0.05;

/// Runs a small site for some seconds with failing calls of these names.
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
fn occasional_failures_to_create_or_connect_sockets_cost_no_requests() {
    ["socket", "connect", "setsockopt", "epoll_ctl"].into_iter().for_each(keeps_all_rules_and_serves);
}

#[test]
fn occasional_accept_failures_cost_no_requests() {
    keeps_all_rules_and_serves("accept");
}

#[test]
fn occasional_failures_and_short_reads_and_writes_cost_no_requests() {
    ["read", "write"].into_iter().for_each(keeps_all_rules_and_serves);
}
