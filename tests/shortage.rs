//! Shortages of this machine's own: they cost a short pause and another try, and say nothing about an endpoint or a client.

mod rig;

use rig::{counter_in, wait_until, Client, Endpoint, Router, RouterSetup};

/// How long the shortage lasts: longer than three failures take, shorter than a dial may.
const SHORTAGE_MS: u64 = 150;

#[test]
fn a_want_of_descriptors_is_waited_for_and_held_against_no_endpoint() {
    let (one, two) = (Endpoint::new(), Endpoint::new());
    let mut site = RouterSetup::new(&[("e-1", &one), ("e-2", &two)]);
    site.limits = r#""MostTries":4,"Cancelling":true,"DialTimeoutMs":2000.0"#;
    let router = Router::start("descriptors", &site);
    let mut client = Client::connect(&router);
    client.send_request(1, "/alive", 0);
    assert_eq!(client.status(1), 200);
    // No descriptor is left for a connection to an endpoint, and none is there yet.
    router.limit_descriptors(router.open_descriptors() as u64);
    let all = 12;
    for request in 2..=all {
        let bytes = Client::request_bytes(request, "page", request.into(), request.into(), b"");
        std::io::Write::write_all(&mut client.stream, &bytes).expect("written");
    }
    wait_until("a dial has failed for want of descriptors", || router.counter("dials_failed") > 0);
    rig::sleep_ms(SHORTAGE_MS);
    let dials = router.counter("dials_failed");
    router.limit_descriptors(256);
    let ends = [("e-1", one), ("e-2", two)];
    for _ in 2..=all {
        let (at, asked) = rig::next_request_at_any(&ends);
        ends[at].1.serve(&asked);
    }
    for request in 2..=all {
        assert_eq!(client.status(request), 200);
    }
    let log = router.terminate();
    assert!(!log.contains("ejected"), "no endpoint has failed: {log}");
    assert_eq!((counter_in(&log, "attempt_unconnected"), counter_in(&log, "refused")), (0, 0), "{log}");
    assert!(dials < 500, "{dials} tries in {SHORTAGE_MS} ms are no pause");
}
