//! The deadline that is passed on to an endpoint: what the client has left as the request leaves, whatever it waited for.

mod rig;

use rig::{pass, until, Client, Endpoint, Router, Site};

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
    let mut late = Endpoint::late();
    let mut site = Site::new(&[("e-1", &late)]);
    site.limits = r#""MostTries":1,"Cancelling":true,"DialTimeoutMs":5000.0"#;
    let router = Router::start("limit", &site);
    let mut client = Client::connect(&router);
    client.ask(1, "page", 1);
    until("it dials", || router.count("dials") > 0);
    pass(DIAL_MS);
    late.open();
    let asked = late.asked();
    let passed_on = limit(&asked.fields);
    assert!(passed_on <= PATIENCE_MS - DIAL_MS + SLACK_MS, "{passed_on} ms of {PATIENCE_MS} after {DIAL_MS}");
    assert!(passed_on + 500 >= PATIENCE_MS - DIAL_MS, "{passed_on} ms are less than it has left");
    late.serve(&asked);
    assert_eq!(client.status(1), 200);
    router.end();
}
