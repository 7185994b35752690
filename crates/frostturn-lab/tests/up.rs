//! Tests the command `up` as a process: the real daemon serves a small site, and the summary can be parsed.

use std::process::Command;

#[test]
fn up_serves_a_small_site_violates_no_rule_and_exits_with_0() {
    let output = Command::new(env!("CARGO_BIN_EXE_frostturn-lab"))
        .args(["up", "--seconds", "1", "--rate", "50", "--json"])
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
    let report: serde_json::Value =
        serde_json::from_str(text.lines().last().unwrap_or_default()).expect("JSON");
    assert_eq!(report["scenario"], "up");
    assert!(report["served"].as_u64().is_some_and(|served| served > 10), "{text}");
    assert_eq!(report["rules"]["lost"], 0);
}

#[test]
fn an_unknown_scenario_exits_with_2() {
    let output = Command::new(env!("CARGO_BIN_EXE_frostturn-lab")).args(["run", "nothing"]).output();
    assert_eq!(output.expect("it runs").status.code(), Some(2));
}
