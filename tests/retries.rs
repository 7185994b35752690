//! Attempts that are repeated: how often, within which window, beside what is still out, and what counts as an answer.

mod rig;

use frostturn::resp;
use rig::{next_request_at_any, sleep_ms, wait_until, Client, Endpoint, Event, Router, RouterSetup};

/// An operator's file that has each endpoint greeted: nothing leaves before the greeting is answered, so that a test
/// decides when that is.
fn greeted(endpoints: &[(&'static str, &Endpoint)]) -> RouterSetup {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("greeted.scm");
    std::fs::write(&path, "(frostturn (addresses (names checked)))").expect("written");
    let mut site = RouterSetup::new(endpoints);
    site.options = vec!["--operator".into(), path.display().to_string()];
    site
}

/// Waits for a greeting at any of these: whose, its connection and tag.
fn greeting(ends: &[(&'static str, Endpoint)]) -> (usize, usize, String) {
    let mut came = None;
    wait_until("a greeting", || {
        for (at, (_, end)) in ends.iter().enumerate() {
            for event in end.received_events() {
                if let Event::Frame(conn, parts) = event {
                    assert_eq!(parts[0], "HELO", "nothing goes before it");
                    came = Some((at, conn, parts[1].clone()));
                }
            }
        }
        came.is_some()
    });
    came.expect("one came")
}

fn greet(ends: &[(&'static str, Endpoint)], (at, conn, tag): &(usize, usize, String)) {
    let (name, end) = &ends[*at];
    let frame = resp::frame(&[tag.as_bytes(), b"FIT", format!("name={name}").as_bytes(), b""]);
    end.write(*conn, &frame).expect("written");
}

fn two() -> [(&'static str, Endpoint); 2] {
    [("e-1", Endpoint::new()), ("e-2", Endpoint::new())]
}

fn site(ends: &[(&'static str, Endpoint); 2]) -> RouterSetup {
    RouterSetup::new(&[(ends[0].0, &ends[0].1), (ends[1].0, &ends[1].1)])
}

#[test]
fn a_repeat_that_was_decided_in_its_window_does_not_leave_after_it() {
    let ends = two();
    let router = Router::start("window", &greeted(&[(ends[0].0, &ends[0].1), (ends[1].0, &ends[1].1)]));
    let mut client = Client::connect(&router);
    client.send_request(1, "keyed", 1);
    let home = greeting(&ends);
    greet(&ends, &home);
    let asked = ends[home.0].1.next_request();
    // It may have run; the window is 150 ms from its send.
    ends[home.0].1.reset(asked.conn);
    let other = greeting(&ends);
    assert_eq!(other.0, 1 - home.0, "the repeat is decided");
    sleep_ms(200);
    greet(&ends, &other);
    let status = client.status(1);
    assert!(status == 503 || status == 502, "given up: {status}");
    router.terminate();
    assert_eq!(
        ends[other.0].1.received_request_ids(),
        [""; 0],
        "its window was over when its bytes could leave"
    );
}

#[test]
fn a_keyed_request_is_repeated_within_its_window_and_a_fragile_one_never() {
    for (class, again) in [("keyed", true), ("swap", false), ("page", true)] {
        let ends = two();
        let router = Router::start(&format!("again-{class}"), &site(&ends));
        let mut client = Client::connect(&router);
        client.send_request(1, class, 1);
        let (at, asked) = next_request_at_any(&ends);
        // The reset and nothing else is there when it looks: the window of 150 ms counts while it is held, too.
        ends[at].1.reset(asked.conn);
        if again && class == "page" {
            let (other, second) = next_request_at_any(&ends);
            assert_eq!((other, &second.id), (1 - at, &asked.id));
            ends[other].1.serve(&second);
            assert_eq!(client.status(1), 200);
        }
        if !again {
            assert_eq!(client.status(1), 502, "failed: it may have run");
        }
        router.terminate();
        if class == "swap" {
            assert_eq!(
                (ends[0].1.received_request_ids(), ends[1].1.received_request_ids()),
                (vec![], vec![]),
                "never twice"
            );
        }
    }
}

#[test]
fn a_request_is_tried_as_often_as_the_settings_say_and_no_more() {
    for most in [1, 2, 4] {
        let ends = two();
        let mut site = site(&ends);
        site.limits = match most {
            1 => r#""MostTries":1,"Cancelling":true"#,
            2 => r#""MostTries":2,"Cancelling":true"#,
            _ => r#""MostTries":4,"Cancelling":true"#,
        };
        let router = Router::start(&format!("most-{most}"), &site);
        let mut client = Client::connect(&router);
        client.send_request(1, "page", 1);
        for _ in 0..most {
            let (at, asked) = next_request_at_any(&ends);
            ends[at].1.reset(asked.conn);
        }
        assert_ne!(client.status(1), 200);
        let log = router.terminate();
        assert!(log.contains(&format!(" attempts={most} ")), "{log}");
        assert_eq!(
            ends[0].1.received_request_ids().len() + ends[1].1.received_request_ids().len(),
            0,
            "{most}"
        );
    }
}

#[test]
fn two_answers_in_one_wake_are_one_answer_and_a_clients_own_repeat_has_its_own() {
    let endpoint = Endpoint::new();
    let mut site = RouterSetup::new(&[("e-1", &endpoint)]);
    site.limits = r#""MostTries":1,"Cancelling":true"#;
    let router = Router::start("repeat", &site);
    let mut client = Client::connect(&router);
    client.send_request(1, "swap", 1);
    let one = endpoint.next_request();
    // The client asks for the same under a new id while the first is still out.
    client.send_request(2, "swap", 2);
    let two = endpoint.next_request();
    router.pause();
    endpoint.serve(&two);
    endpoint.serve(&two);
    endpoint.serve(&one);
    endpoint.serve(&one);
    router.resume();
    let answers = [client.answer(1), client.answer(2)].map(|answer| answer.expect("answered"));
    assert!(answers[0].ends_with(&format!("for {:016x}", 1)), "{answers:?}");
    assert!(answers[1].ends_with(&format!("for {:016x}", 2)), "{answers:?}");
    let log = router.terminate();
    assert!(log.contains(" served=2 ") && log.contains(" answers_late=2 "), "{log}");
}
