//! The operator's file: what is good, what is refused and where, and that no bytes upset the reader.

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
fn the_annotated_example_is_good_and_says_what_it_seems_to() {
    let text = include_bytes!("../deploy/operator.example.scm");
    let operator = OperatorConfig::read(text).expect("good");
    let plugins: Vec<(&str, usize)> =
        operator.plugins.iter().map(|spec| (spec.name.as_str(), spec.may_refuse.len())).collect();
    assert_eq!(plugins, [("photos", 0), ("full", 1)]);
    assert_eq!(operator.plugins[0].settings_text(), "group 12\n");
    let rules = operator.addresses.expect("on");
    assert_eq!(rules.family_order, [Family::Unix, Family::Ipv6, Family::Ipv4]);
    assert_eq!((rules.attempt_delay_ms, rules.pause_ms), ((20.0, 80.0), (250.0, 30_000.0)));
    let ways = &rules.machines["s-00c41f7a"];
    assert_eq!(ways.iter().map(Endpoint::family).collect::<Vec<_>>(), rules.family_order);
    assert_eq!(
        OperatorConfig::read(b"(frostturn)"),
        Ok(OperatorConfig::default()),
        "nothing is on by itself"
    );
}

#[test]
fn every_bad_file_is_refused_with_place_and_reason() {
    for (text, wanted) in [
        ("", vec!["1:1: one form"]),
        ("(frostturn) (again)", vec!["1:13: one form"]),
        ("(frostturn (addresses)", vec!["1:22: can't be read: EOF"]),
        ("(frost)", vec!["1:1: (frostturn"]),
        ("(frostturn\n (adresses))", vec!["2:3: unknown word \"adresses\"; is addresses meant?"]),
        ("(frostturn (zzz))", vec!["1:13: unknown word \"zzz\"; known are addresses, fleet, ops, plugins"]),
        ("(frostturn (addresses) (addresses))", vec!["1:25: addresses is there twice"]),
        ("(frostturn (addresses (order ipv6 ipv5)))", vec!["1:35: unknown word \"ipv5\""]),
        ("(frostturn (addresses (order)))", vec!["1:23: at least one"]),
        ("(frostturn (addresses (order unix unix)))", vec!["1:35: this family is there twice"]),
        ("(frostturn (addresses (pause 250 2s)))", vec!["1:30: a time with its unit"]),
        ("(frostturn (addresses (pause 250 ms)))", vec!["1:30: a time with its unit", "1:34: a time"]),
        ("(frostturn (addresses (pause 2s 250ms)))", vec!["1:30: the least is more"]),
        ("(frostturn (addresses (attempt-delay 1ms)))", vec!["1:38: must lie between 10ms and 2000ms"]),
        ("(frostturn (addresses (dials-per-machine 3)))", vec!["1:42: breaks the rule on cold boxes"]),
        ("(frostturn (addresses (dials 0.5)))", vec!["1:30: a whole number from 1"]),
        ("(frostturn (addresses (machine \"a\")))", vec!["1:23: a machine has 1 to 7 endpoints"]),
        ("(frostturn (addresses (machine \"a\" (tcp \"nowhere:1\"))))", vec!["1:41: an address and port"]),
        ("(frostturn (addresses (machine \"a\" (unix \"box.sock\"))))", vec!["1:42: an absolute path"]),
        ("(frostturn (fleet (listen \"127.0.0.1:1\")))", vec!["1:12: a fleet needs (name"]),
        ("(frostturn (fleet (name \"n\")))", vec!["1:12: a fleet needs (listen"]),
        ("(frostturn (fleet (name \"n\") (listen \"127.0.0.1:0\")))", vec!["1:38: an address and port"]),
        (
            "(frostturn (fleet (name \"n\") (listen \"127.0.0.1:1\") (peer \"a\" \"127.0.0.1:2\")\n(peer \"a\" \"127.0.0.1:3\")))",
            vec!["2:7: peer \"a\" is there twice"],
        ),
        (
            "(frostturn (fleet (name \"n\") (listen \"127.0.0.1:1\") (peer \"a\" \"127.0.0.1:2\")\n(peer \"b\" \"127.0.0.1:2\")))",
            vec!["2:11: peers b and a have one address"],
        ),
        (
            "(frostturn (fleet (name \"n\") (listen \"127.0.0.1:1\") (peer \"a\" \"127.0.0.1:1\")))",
            vec!["1:38: peer a is reached where this router itself listens"],
        ),
        (
            "(frostturn (fleet (name \"n\") (listen \"127.0.0.1:1\") (suspicion 5s 4s)))",
            vec!["1:53: the least suspicion is longer"],
        ),
        (
            "(frostturn (fleet (name \"n\") (listen \"127.0.0.1:1\") (period 2s) (suspicion 5s 9s)))",
            vec!["1:12: a suspicion of 5000ms is too short for a period of 2000ms"],
        ),
        ("(frostturn (ops))", vec!["1:12: (unix \"/path\") is wanted"]),
        ("(frostturn (ops (unix \"a.sock\")))", vec!["1:23: an absolute path of 90 bytes"]),
        ("(frostturn (ops (tcp \"127.0.0.1:1\")))", vec!["1:18: unknown word \"tcp\""]),
        ("(frostturn (plugins (plugin \"a\")))", vec!["1:21: a plug-in needs (file"]),
        ("(frostturn (plugins (plugin \"a b\" (file \"/x\"))))", vec!["1:29: a name has letters"]),
        ("(frostturn (plugins (plugin \"a\" (file \"x\"))))", vec!["1:39: an absolute path"]),
        (
            "(frostturn (plugins (plugin \"a\" (file \"/x\") (memory 64))))",
            vec!["1:53: a size with its unit"],
        ),
        (
            "(frostturn (plugins (plugin \"a\" (file \"/x\") (memory 9mb))))",
            vec!["1:53: must lie between 64kb"],
        ),
        (
            "(frostturn (plugins (plugin \"a\" (file \"/x\") (fuel 1))))",
            vec!["1:51: a whole number from 100"],
        ),
        (
            "(frostturn (plugins (plugin \"a\" (file \"/x\") (may-refuse page))))",
            vec!["1:57: text in double"],
        ),
        (
            "(frostturn (plugins (plugin \"a\" (file \"/x\")) (plugin \"a\" (file \"/x\"))))",
            vec!["1:54: plug-in \"a\" is there twice"],
        ),
        (
            "(frostturn (addresses (order unix) (machine \"a\" (tcp \"[::1]:1\"))))",
            vec!["1:1: [::1]:1 of a is of a family that the order leaves out"],
        ),
        (
            "(frostturn (addresses (machine \"a\" (tcp \"[::1]:1\"))\n(machine \"b\" (tcp \"[::1]:1\"))))",
            vec!["2:14: breaks the rule on drains"],
        ),
    ] {
        let found = faults(text);
        assert_eq!(found.len(), wanted.len(), "{text}: {found:?}");
        for (found, wanted) in found.iter().zip(wanted) {
            assert!(found.starts_with(wanted), "{text}: {found}");
        }
    }
}

#[test]
fn all_faults_come_in_one_go_and_in_order() {
    let found = faults("(frostturn\n (addresses\n  (ordr)\n  (pause 1)\n  (dials -1)))");
    let places: Vec<&str> = found.iter().map(|fault| &fault[..3]).collect();
    assert_eq!(places, ["3:4", "4:1", "5:1"], "{found:?}");
}

#[test]
fn no_bytes_make_the_reader_panic_hang_or_nest_without_bound() {
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
