//! The deadline that is passed on to an endpoint: what the client has left as the request leaves, whatever it waited for.

mod rig;

use rig::{sleep_ms, wait_until, Client, Endpoint, Router, RouterSetup};

/// What the operators grant beyond what the client has left.
const SLACK_MS: u64 = 150;
/// How long a connection takes to come up.
const DIAL_MS: u64 = 900;
/// What the rig's clients say of their patience.
const PATIENCE_MS: u64 = 2900;

/// The `limit` of a request as it came to an endpoint.
fn limit(fields: &str) -> u64 {
    let limit = fields.split(',').find_map(|field| field.strip_prefix("limit="));
    limit.and_then(|limit| limit.parse().ok()).unwrap_or_else(|| panic!("no limit: {fields}"))
}

#[test]
fn a_request_that_waited_for_its_connection_passes_on_what_its_client_has_left() {
    let mut late = Endpoint::with_full_backlog();
    let mut site = RouterSetup::new(&[("e-1", &late)]);
    site.limits = r#""MostTries":1,"Cancelling":true,"DialTimeoutMs":5000.0"#;
    let router = Router::start("limit", &site);
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    wait_until("it dials", || router.counter("dials") > 0);
    sleep_ms(DIAL_MS);
    late.accept_connections();
    let asked = late.next_request();
    let passed_on = limit(&asked.fields);
    assert!(passed_on <= PATIENCE_MS - DIAL_MS + SLACK_MS, "{passed_on} ms of {PATIENCE_MS} after {DIAL_MS}");
    assert!(passed_on + 500 >= PATIENCE_MS - DIAL_MS, "{passed_on} ms are less than it has left");
    late.serve(&asked);
    assert_eq!(client.status(1), 200);
    router.terminate();
}
