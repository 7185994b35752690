//! The deadline that is passed on to an endpoint: the time that the client has left when the request is sent.

mod rig;

use rig::{sleep_ms, wait_until, Client, Endpoint, Router, RouterSetup};

/// Tolerance that the operators grant beyond the time that the client has left.
const TOLERANCE_MS: u64 = 150;
/// Time until the connection is established.
const CONNECT_MS: u64 = 900;
/// The time-out that the rig's clients send.
const CLIENT_TIMEOUT_MS: u64 = 2900;

/// Returns the `limit` field of a request as the endpoint received it.
fn limit(fields: &str) -> u64 {
    let limit = fields.split(',').find_map(|field| field.strip_prefix("limit="));
    limit.and_then(|limit| limit.parse().ok()).unwrap_or_else(|| panic!("no limit: {fields}"))
}

#[test]
fn a_request_that_waited_for_its_connection_passes_on_the_time_its_client_has_left() {
    let mut late = Endpoint::with_full_backlog();
    let mut site = RouterSetup::new(&[("e-1", &late)]);
    site.limits = r#""MostTries":1,"Cancelling":true,"DialTimeoutMs":5000.0"#;
    let router = Router::start("limit", &site);
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    wait_until("the router connects", || router.counter("dials") > 0);
    sleep_ms(CONNECT_MS);
    late.accept_connections();
    let asked = late.next_request();
    let passed_on = limit(&asked.fields);
    assert!(
        passed_on <= CLIENT_TIMEOUT_MS - CONNECT_MS + TOLERANCE_MS,
        "{passed_on} ms of {CLIENT_TIMEOUT_MS} after {CONNECT_MS}"
    );
    assert!(
        passed_on + 500 >= CLIENT_TIMEOUT_MS - CONNECT_MS,
        "{passed_on} ms are less than the client has left"
    );
    late.serve(&asked);
    assert_eq!(client.status(1), 200);
    router.terminate();
}
