//! The operator's file: valid files, the position and reason of each fault, and arbitrary bytes.

use frostturn::addresses::{Endpoint, Family};
use frostturn::operator::OperatorConfig;
use quickcheck::{Gen, QuickCheck};

fn faults(text: &str) -> Vec<String> {
    match OperatorConfig::read(text.as_bytes()) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn the_annotated_example_is_valid_and_has_the_documented_settings() {
    let text = include_bytes!("../deploy/operator.example.scm");
    let operator = OperatorConfig::read(text).expect("good");
    let plugins: Vec<(&str, usize)> =
        operator.plugins.iter().map(|spec| (spec.name.as_str(), spec.may_refuse.len())).collect();
    assert_eq!(plugins, [("photos", 0), ("full", 1)]);
    assert_eq!(operator.plugins[0].settings_text(), "group 12\n");
    let rules = operator.addresses.expect("on");
    assert_eq!(rules.family_order, [Family::Unix, Family::Ipv6, Family::Ipv4]);
    assert_eq!((rules.attempt_delay_ms, rules.pause_ms), ((20.0, 80.0), (250.0, 30_000.0)));
    let endpoints = &rules.machines["s-00c41f7a"];
    assert_eq!(endpoints.iter().map(Endpoint::family).collect::<Vec<_>>(), rules.family_order);
    assert_eq!(
        OperatorConfig::read(b"(frostturn)"),
        Ok(OperatorConfig::default()),
        "no section is enabled by default"
    );
}

#[test]
fn every_invalid_file_is_rejected_with_position_and_reason() {
    for (text, expected) in [
        ("", vec!["1:1: one form"]),
        ("(frostturn) (again)", vec!["1:13: one form"]),
        ("(frostturn (addresses)", vec!["1:22: invalid syntax: EOF"]),
        ("(frost)", vec!["1:1: (frostturn"]),
        ("(frostturn\n (adresses))", vec!["2:3: unknown word \"adresses\"; did you mean addresses?"]),
        ("(frostturn (zzz))", vec!["1:13: unknown word \"zzz\"; known words: addresses, fleet, ops, plugins"]),
        ("(frostturn (addresses) (addresses))", vec!["1:25: duplicate addresses"]),
        ("(frostturn (addresses (order ipv6 ipv5)))", vec!["1:35: unknown word \"ipv5\""]),
        ("(frostturn (addresses (order)))", vec!["1:23: at least one"]),
        ("(frostturn (addresses (order unix unix)))", vec!["1:35: duplicate address family"]),
        ("(frostturn (addresses (pause 250 2s)))", vec!["1:30: a time with its unit"]),
        ("(frostturn (addresses (pause 250 ms)))", vec!["1:30: a time with its unit", "1:34: a time"]),
        ("(frostturn (addresses (pause 2s 250ms)))", vec!["1:30: the minimum is greater"]),
        ("(frostturn (addresses (attempt-delay 1ms)))", vec!["1:38: must be between 10ms and 2000ms"]),
        ("(frostturn (addresses (dials-per-machine 3)))", vec!["1:42: violates the limit for cold machines"]),
        ("(frostturn (addresses (dials 0.5)))", vec!["1:30: an integer from 1"]),
        ("(frostturn (addresses (machine \"a\")))", vec!["1:23: a machine has 1 to 7 endpoints"]),
        ("(frostturn (addresses (machine \"a\" (tcp \"nowhere:1\"))))", vec!["1:41: an address and port"]),
        ("(frostturn (addresses (machine \"a\" (unix \"box.sock\"))))", vec!["1:42: an absolute path"]),
        ("(frostturn (fleet (listen \"127.0.0.1:1\")))", vec!["1:12: a fleet needs (name"]),
        ("(frostturn (fleet (name \"n\")))", vec!["1:12: a fleet needs (listen"]),
        ("(frostturn (fleet (name \"n\") (listen \"127.0.0.1:0\")))", vec!["1:38: an address and port"]),
        (
            "(frostturn (fleet (name \"n\") (listen \"127.0.0.1:1\") (peer \"a\" \"127.0.0.1:2\")\n(peer \"a\" \"127.0.0.1:3\")))",
            vec!["2:7: duplicate peer \"a\""],
        ),
        (
            "(frostturn (fleet (name \"n\") (listen \"127.0.0.1:1\") (peer \"a\" \"127.0.0.1:2\")\n(peer \"b\" \"127.0.0.1:2\")))",
            vec!["2:11: peers b and a have the same address"],
        ),
        (
            "(frostturn (fleet (name \"n\") (listen \"127.0.0.1:1\") (peer \"a\" \"127.0.0.1:1\")))",
            vec!["1:38: peer a has the address on which this router listens"],
        ),
        (
            "(frostturn (fleet (name \"n\") (listen \"127.0.0.1:1\") (suspicion 5s 4s)))",
            vec!["1:53: the minimum suspicion is greater"],
        ),
        (
            "(frostturn (fleet (name \"n\") (listen \"127.0.0.1:1\") (period 2s) (suspicion 5s 9s)))",
            vec!["1:12: a suspicion of 5000ms is too short for a period of 2000ms"],
        ),
        ("(frostturn (ops))", vec!["1:12: (unix \"/path\") is required"]),
        ("(frostturn (ops (unix \"a.sock\")))", vec!["1:23: an absolute path of at most 90 bytes"]),
        ("(frostturn (ops (tcp \"127.0.0.1:1\")))", vec!["1:18: unknown word \"tcp\""]),
        ("(frostturn (plugins (plugin \"a\")))", vec!["1:21: a plug-in needs (file"]),
        ("(frostturn (plugins (plugin \"a b\" (file \"/x\"))))", vec!["1:29: a name consists of at most 32 letters"]),
        ("(frostturn (plugins (plugin \"a\" (file \"x\"))))", vec!["1:39: an absolute path"]),
        (
            "(frostturn (plugins (plugin \"a\" (file \"/x\") (memory 64))))",
            vec!["1:53: a size with its unit"],
        ),
        (
            "(frostturn (plugins (plugin \"a\" (file \"/x\") (memory 9mb))))",
            vec!["1:53: must be between 64kb"],
        ),
        (
            "(frostturn (plugins (plugin \"a\" (file \"/x\") (fuel 1))))",
            vec!["1:51: an integer from 100"],
        ),
        (
            "(frostturn (plugins (plugin \"a\" (file \"/x\") (may-refuse page))))",
            vec!["1:57: text in double"],
        ),
        (
            "(frostturn (plugins (plugin \"a\" (file \"/x\")) (plugin \"a\" (file \"/x\"))))",
            vec!["1:54: duplicate plug-in \"a\""],
        ),
        (
            "(frostturn (addresses (order unix) (machine \"a\" (tcp \"[::1]:1\"))))",
            vec!["1:1: [::1]:1 of a has an address family that the order does not include"],
        ),
        (
            "(frostturn (addresses (machine \"a\" (tcp \"[::1]:1\"))\n(machine \"b\" (tcp \"[::1]:1\"))))",
            vec!["2:14: violates the drain rule"],
        ),
    ] {
        let found = faults(text);
        assert_eq!(found.len(), expected.len(), "{text}: {found:?}");
        for (found, expected) in found.iter().zip(expected) {
            assert!(found.starts_with(expected), "{text}: {found}");
        }
    }
}

#[test]
fn all_faults_are_reported_together_in_order() {
    let found = faults("(frostturn\n (addresses\n  (ordr)\n  (pause 1)\n  (dials -1)))");
    let places: Vec<&str> = found.iter().map(|fault| &fault[..3]).collect();
    assert_eq!(places, ["3:4", "4:1", "5:1"], "{found:?}");
}

#[test]
fn parsing_never_panics_hangs_or_recurses_without_bound() {
    fn bytes(bytes: Vec<u8>) -> bool {
        let _ = OperatorConfig::read(&bytes);
        true
    }
    fn pieces(which: Vec<u8>) -> bool {
        const PIECES: [&str; 16] = [
            "(",
            ")",
            "frostturn",
            "addresses",
            " ",
            "\"",
            "order",
            "unix",
            "80",
            "ms",
            "#",
            ".",
            "'",
            "\\",
            ";",
            "\n",
        ];
        let text: String = which.iter().map(|at| PIECES[usize::from(*at) % PIECES.len()]).collect();
        let _ = OperatorConfig::read(text.as_bytes());
        let _ = OperatorConfig::read(format!("(frostturn (addresses {text}))").as_bytes());
        true
    }
    let check = || QuickCheck::new().rng(Gen::from_size_and_seed(200, 3)).tests(2000);
    check().quickcheck(bytes as fn(Vec<u8>) -> bool);
    check().quickcheck(pieces as fn(Vec<u8>) -> bool);
    for deep in ["(".repeat(100_000), format!("{}{}", "(a ".repeat(60), ")".repeat(60)), "'".repeat(100_000)]
    {
        assert!(OperatorConfig::read(deep.as_bytes()).is_err());
    }
}
