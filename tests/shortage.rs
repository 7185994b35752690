//! Local resource shortages: the operation is retried after a short pause, and no endpoint or client is
//! blamed.

mod rig;

use rig::{counter_in, wait_until, Client, Endpoint, Router, RouterSetup};

/// Duration of the shortage: longer than three failed dials take, shorter than the dial timeout.
const SHORTAGE_MS: u64 = 150;

#[test]
fn a_lack_of_descriptors_is_waited_out_and_not_blamed_on_an_endpoint() {
    let (one, two) = (Endpoint::new(), Endpoint::new());
    let mut setup = RouterSetup::new(&[("e-1", &one), ("e-2", &two)]);
    setup.limits = r#""MostTries":4,"Cancelling":true,"DialTimeoutMs":2000.0"#;
    let router = Router::start("descriptors", &setup);
    let mut client = Client::connect(&router);
    client.send_request(1, "/alive", 0);
    assert_eq!(client.status(1), 200);
    // No descriptor is left for a connection to an endpoint, and no such connection exists yet.
    router.limit_descriptors(router.open_descriptors() as u64);
    let all = 12;
    for request in 2..=all {
        let bytes = Client::request_bytes(request, "page", request.into(), request.into(), b"");
        std::io::Write::write_all(&mut client.stream, &bytes).expect("written");
    }
    wait_until("a dial has failed for lack of descriptors", || router.counter("dials_failed") > 0);
    rig::sleep_ms(SHORTAGE_MS);
    let dials = router.counter("dials_failed");
    router.limit_descriptors(256);
    let endpoints = [("e-1", one), ("e-2", two)];
    for _ in 2..=all {
        let (at, request) = rig::next_request_at_any(&endpoints);
        endpoints[at].1.serve(&request);
    }
    for request in 2..=all {
        assert_eq!(client.status(request), 200);
    }
    let log = router.terminate();
    assert!(!log.contains("ejected"), "no endpoint has failed: {log}");
    assert_eq!((counter_in(&log, "attempt_unconnected"), counter_in(&log, "refused")), (0, 0), "{log}");
    assert!(dials < 500, "{dials} dials in {SHORTAGE_MS} ms: no pause between retries");
}
