//! Connections to endpoints that end: idle ones closed from either side, late dials, ids that come back.

mod rig;

use rig::{sleep_ms, wait_until, Client, Endpoint, Event, Router, RouterSetup};

/// A site whose idle connections end soon: the router closes them after 0.8 of this.
const IDLE_MS: u64 = 500;

fn idle_site(endpoint: &Endpoint) -> RouterSetup {
    let mut site = RouterSetup::new(&[("e-1", endpoint)]);
    site.limits = r#""MostTries":4,"Cancelling":true,"ConnIdleMs":500.0"#;
    site
}

/// Asks once and has it served; the connection to the endpoint rests then.
fn warm(router: &Router, endpoint: &Endpoint) -> (Client, usize) {
    let mut client = Client::connect(router);
    client.send_request(1, "page", 0x1000);
    let asked = endpoint.next_request();
    endpoint.serve(&asked);
    assert_eq!(client.status(1), 200);
    (client, asked.conn)
}

/// Waits until a connection has ended on the router's side; whether by a reset.
fn down(endpoint: &Endpoint, conn: usize) -> bool {
    loop {
        if let Event::Disconnected(which, reset) = endpoint.next_event() {
            if which == conn {
                return reset;
            }
        }
    }
}

#[test]
fn half_a_line_that_crosses_the_close_of_an_idle_connection_is_not_answered_with_a_reset() {
    let endpoint = Endpoint::new();
    let router = Router::start("idleline", &idle_site(&endpoint));
    let (_client, conn) = warm(&router, &endpoint);
    assert!(!down(&endpoint, conn), "closed as it is idle");
    // A reset would have come back by the second write.
    for _ in 0..3 {
        endpoint.write(conn, b"*4\r\n$16\r\n0000").expect("it is still read");
    }
    assert!(router.terminate().contains("endpoint_faults=0"));
}

#[test]
fn a_request_in_the_wake_in_which_an_idle_connection_ends_is_sent_once_and_served() {
    for who in ["the router", "the endpoint", "both"] {
        let endpoint = Endpoint::new();
        let router = Router::start("idlecross", &idle_site(&endpoint));
        let (mut client, conn) = warm(&router, &endpoint);
        router.pause();
        if who != "the router" {
            endpoint.close(conn);
        }
        if who != "the endpoint" {
            sleep_ms(IDLE_MS);
        }
        for request in [2, 3] {
            client.send_request(request, if request == 2 { "swap" } else { "page" }, request.into());
        }
        router.resume();
        for _ in [2, 3] {
            endpoint.serve(&endpoint.next_request());
        }
        assert_eq!((client.status(2), client.status(3)), (200, 200), "{who}");
        let log = router.terminate();
        assert!(log.contains("served=3 ") && log.contains("attempt_reset=0 "), "{who}: {log}");
        assert_eq!(endpoint.received_request_ids(), [""; 0], "{who}: none twice");
    }
}

#[test]
fn an_answer_to_what_was_given_up_is_never_taken_for_that_of_a_later_request() {
    let endpoint = Endpoint::new();
    let router = Router::start("reused", &RouterSetup::new(&[("e-1", &endpoint)]));
    let (mut client, _) = warm(&router, &endpoint);
    client.send_request(2, "page", 7);
    let first = endpoint.next_request();
    client.abort(2);
    // The machine is told; then the same id comes again, and both answers are there in one wake, the late one first.
    wait_until(
        "it is given up",
        || matches!(endpoint.next_event(), Event::Frame(_, parts) if parts[0] == "STOP"),
    );
    client.send_request(3, "page", 7);
    let second = endpoint.next_request();
    assert_eq!((first.id.as_str(), first.id == second.id), ("0000000000000007", true));
    router.pause();
    endpoint.reply(&first, "DONE", "tell=cached,version=ab,stamp=1", b"the late one");
    endpoint.reply(&second, "DONE", "tell=cached,version=ab,stamp=1", b"its own");
    router.resume();
    assert!(client.answer(3).is_some_and(|answer| answer.ends_with("its own")));
    assert_ne!(first.conn, second.conn, "where the late one can't be taken for it");
    router.terminate();
}

#[test]
fn a_connection_that_is_up_late_or_never_leaves_its_request_to_another_endpoint() {
    for opens in [true, false] {
        let (mut late, good) = (Endpoint::with_full_backlog(), Endpoint::new());
        let mut site = RouterSetup::new(&[("e-1", &late), ("e-2", &good)]);
        site.limits = r#""MostTries":6,"Cancelling":true,"DialTimeoutMs":300.0"#;
        let router = Router::start("uplate", &site);
        // Whichever endpoint is an object's home, some of these begin at the one that is late.
        let mut client = Client::connect(&router);
        let all = 8;
        for request in 1..=all {
            let bytes = Client::request_bytes(request, "page", request.into(), request.into(), b"");
            std::io::Write::write_all(&mut client.stream, &bytes).expect("written");
        }
        for _ in 0..all {
            good.serve(&good.next_request());
        }
        for request in 1..=all {
            assert_eq!(client.status(request), 200);
        }
        if opens {
            late.accept_connections();
        }
        let log = router.terminate();
        assert!(!log.contains(" dials_failed=0 "), "some were at the late one first: {log}");
        assert_eq!(late.received_request_ids(), [""; 0], "nothing is sent once it is served elsewhere");
    }
}

#[test]
fn a_frame_that_cannot_be_read_or_never_ends_costs_its_connection_and_the_attempt_may_have_run() {
    let bad: [&[u8]; 4] = [
        b"*4\r\n$99999999\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"*4\r\n$16\r\n0000",
        b"*4\r\n$2\r\nab\r\n$4\r\nDONE\r\n",
    ];
    for (at, bytes) in bad.iter().enumerate() {
        let endpoint = Endpoint::new();
        let router = Router::start("badframe", &RouterSetup::new(&[("e-1", &endpoint)]));
        let (mut client, _) = warm(&router, &endpoint);
        // Fragile first: it is never sent again. Then one that may be, and is.
        client.send_request(2, "swap", 2);
        let swap = endpoint.next_request();
        endpoint.write(swap.conn, bytes).expect("written");
        assert_eq!(client.status(2), 502, "{at}: failed, as it may have run");
        client.send_request(3, "page", 3);
        let page = endpoint.next_request();
        assert_eq!(page.id, format!("{:016x}", 3));
        endpoint.write(page.conn, bytes).expect("written");
        let again = endpoint.next_request();
        assert_eq!((again.id.as_str(), again.conn == page.conn), (page.id.as_str(), false));
        endpoint.serve(&again);
        assert_eq!(client.status(3), 200);
        router.terminate();
        assert_eq!(endpoint.received_request_ids(), [""; 0], "{at}: the swap went out once");
    }
}
