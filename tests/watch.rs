//! The discovery watch: malformed, repeated and late responses, and drains and purges that arrive together
//! with other events.

mod rig;

use frostturn::resp;
use rig::{
    endpoint_json, next_request_at_any, pool_notice_json, wait_until, Client, DiscoveryPoll, DiscoveryServer,
    Endpoint, Event, Router, RouterSetup,
};
use std::io::Write;

fn setup_with_discovery(discovery: &DiscoveryServer, endpoints: &[(&'static str, &Endpoint)]) -> RouterSetup {
    let mut setup = RouterSetup::new(endpoints);
    setup.discovery = discovery.address.clone();
    setup
}

/// A purge event for an object, with the current time.
fn purge_event_json(rev: u64, object: u64) -> String {
    let ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis();
    format!(r#"{{"rev":{rev},"flush":{{"asset":"{object:016x}","ms":{ms}}}}}"#)
}

#[test]
fn an_attempt_queued_when_a_purge_arrives_is_sent_with_the_bound_of_the_purge() {
    let (discovery, endpoint) = (DiscoveryServer::new(), Endpoint::new());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("purged.scm");
    std::fs::write(&path, "(frostturn (addresses (names checked)))").expect("written");
    let mut setup = setup_with_discovery(&discovery, &[("e-1", &endpoint)]);
    setup.options = vec!["--operator".into(), path.display().to_string()];
    let router = Router::start("purgequeue", &setup);
    let mut poll = discovery.poll();
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    // The attempt waits for the response to the greeting; meanwhile its object is purged.
    let mut greeting = None;
    wait_until("a greeting", || {
        for event in endpoint.received_events() {
            if let Event::Frame(conn, parts) = event {
                greeting = Some((conn, parts[1].clone()));
            }
        }
        greeting.is_some()
    });
    let (conn, tag) = greeting.expect("a greeting");
    poll.respond(2, &[purge_event_json(2, 0xab)]);
    wait_until("the purge is applied", || router.counter("purges") == 1);
    endpoint.write(conn, &resp::frame(&[tag.as_bytes(), b"FIT", b"name=e-1", b""])).expect("written");
    let received = endpoint.next_request();
    assert!(received.fields.contains("newer="), "an older copy would be accepted: {}", received.fields);
    endpoint.serve(&received);
    assert_eq!(client.status(1), 200);
    router.terminate();
}

#[test]
fn a_purge_in_the_same_wake_up_as_a_request_or_a_failed_attempt_applies_to_what_is_sent() {
    let (discovery, endpoint) = (DiscoveryServer::new(), Endpoint::new());
    let router = Router::start("purgewake", &setup_with_discovery(&discovery, &[("e-1", &endpoint)]));
    let mut poll = discovery.poll();
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    let first = endpoint.next_request();
    assert!(!first.fields.contains("newer="));
    router.pause();
    endpoint.reply(&first, "BROKE", "-", b"");
    poll.respond(2, &[purge_event_json(2, 0xab)]);
    client.send_request(2, "page", 2);
    router.resume();
    for _ in 0..2 {
        let received = endpoint.next_request();
        assert!(received.fields.contains("newer="), "{}", received.fields);
        endpoint.serve(&received);
    }
    assert_eq!((client.status(1), client.status(2)), (200, 200));
    router.terminate();
}

#[test]
fn a_drain_in_the_same_wake_up_as_a_request_or_a_failed_attempt_keeps_both_from_the_leaving_endpoint() {
    let discovery = DiscoveryServer::new();
    let endpoints = [("e-1", Endpoint::new()), ("e-2", Endpoint::new())];
    let router = Router::start(
        "drainwake",
        &setup_with_discovery(
            &discovery,
            &[(endpoints[0].0, &endpoints[0].1), (endpoints[1].0, &endpoints[1].1)],
        ),
    );
    let mut poll = discovery.poll();
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    let (home, received) = next_request_at_any(&endpoints);
    // The home leaves as a request for it arrives: the request goes to the other endpoint, not dialled
    // before.
    router.pause();
    poll.respond(
        2,
        &[pool_notice_json(
            2,
            false,
            &endpoint_json(endpoints[home].0, &endpoints[home].1.address, "leaving"),
        )],
    );
    client.send_request(2, "page", 2);
    router.resume();
    let (other, second) = next_request_at_any(&endpoints);
    assert_eq!(other, 1 - home);
    endpoints[other].1.serve(&second);
    endpoints[home].1.serve(&received);
    assert_eq!((client.status(1), client.status(2)), (200, 200), "the outstanding request is still answered");
    // The home is active again and the other endpoint leaves as an attempt at the home fails: the retry
    // avoids the leaving endpoint.
    assert!(poll.read_next());
    poll.respond(
        3,
        &[pool_notice_json(
            3,
            false,
            &endpoint_json(endpoints[home].0, &endpoints[home].1.address, "active"),
        )],
    );
    assert!(poll.read_next());
    client.send_request(3, "page", 3);
    let (at, third) = next_request_at_any(&endpoints);
    assert_eq!(at, home);
    router.pause();
    endpoints[home].1.reply(&third, "BROKE", "-", b"");
    poll.respond(
        4,
        &[pool_notice_json(
            4,
            false,
            &endpoint_json(endpoints[other].0, &endpoints[other].1.address, "leaving"),
        )],
    );
    router.resume();
    let (at, again) = next_request_at_any(&endpoints);
    assert_eq!((at, &again.id), (home, &third.id));
    endpoints[home].1.serve(&again);
    assert_eq!(client.status(3), 200);
    router.terminate();
    assert_eq!(
        (endpoints[0].1.received_request_ids(), endpoints[1].1.received_request_ids()),
        (vec![], vec![])
    );
}

#[test]
fn a_poll_that_times_out_breaks_off_or_returns_garbage_is_repeated_from_the_last_event() {
    let (discovery, endpoint) = (DiscoveryServer::new(), Endpoint::new());
    let router = Router::start("anew", &setup_with_discovery(&discovery, &[("e-1", &endpoint)]));
    let leaving = |rev| pool_notice_json(rev, false, &endpoint_json("e-1", &endpoint.address, "leaving"));
    let complete = DiscoveryPoll::response_bytes(2, &[leaving(2)]);
    // No response; half a line; half a body; no HTTP; no JSON; a gap. The router polls again on a new
    // connection after each.
    let mut poll = discovery.poll();
    let silent = poll;
    poll = discovery.poll();
    for bytes in [
        &complete[..9],
        &complete[..complete.len() - 5],
        b"what?\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}",
        &DiscoveryPoll::response_bytes(9, &[leaving(9)]),
    ] {
        assert_eq!(poll.last_revision, 1, "from the last event");
        poll.stream.write_all(bytes).expect("written");
        poll.stream.shutdown(std::net::Shutdown::Write).expect("open");
        poll = discovery.poll();
    }
    assert_eq!(poll.last_revision, 1);
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    endpoint.serve(&endpoint.next_request());
    assert_eq!(client.status(1), 200, "incomplete responses had no effect");
    poll.respond(2, &[leaving(2)]);
    assert!(poll.read_next() && poll.last_revision == 2);
    client.send_request(2, "page", 2);
    assert_eq!(client.status(2), 503, "no endpoint is left");
    drop(silent);
    router.terminate();
}

#[test]
fn a_repeated_late_or_outdated_response_has_no_effect() {
    let (discovery, endpoint) = (DiscoveryServer::new(), Endpoint::new());
    let router = Router::start("twice", &setup_with_discovery(&discovery, &[("e-1", &endpoint)]));
    let mut client = Client::connect(&router);
    let event = |rev, status| pool_notice_json(rev, false, &endpoint_json("e-1", &endpoint.address, status));
    let mut poll = discovery.poll();
    // The same response twice, at once: unsolicited data closes the connection, and the next poll uses a new
    // one.
    let mut twice = DiscoveryPoll::response_bytes(2, &[event(2, "leaving")]);
    twice.extend(DiscoveryPoll::response_bytes(2, &[event(2, "leaving")]));
    poll.stream.write_all(&twice).expect("written");
    let mut poll = discovery.poll();
    assert_eq!(poll.last_revision, 2);
    // Events out of order, repeated and already known: each takes effect once.
    poll.respond(4, &[event(4, "active"), event(3, "leaving"), event(4, "active"), event(2, "leaving")]);
    assert!(poll.read_next());
    assert_eq!(poll.last_revision, 4);
    poll.respond(4, &[event(2, "leaving"), event(3, "leaving")]);
    assert!(poll.read_next());
    assert_eq!(poll.last_revision, 4);
    client.send_request(1, "page", 1);
    endpoint.serve(&endpoint.next_request());
    assert_eq!(client.status(1), 200, "it serves, according to the last event");
    let log = router.terminate();
    assert!(log.contains(" lists=4 "), "the initial list and three events, each once: {log}");
}

#[test]
fn a_discovery_service_that_restarts_its_numbering_is_asked_for_everything() {
    let (discovery, old, new) = (DiscoveryServer::new(), Endpoint::new(), Endpoint::new());
    let router = Router::start("numbering", &setup_with_discovery(&discovery, &[("e-1", &old)]));
    let mut client = Client::connect(&router);
    let mut poll = discovery.poll();
    let events: Vec<String> = (2..=9).map(|rev| pool_notice_json(rev, false, "")).collect();
    poll.respond(9, &events);
    assert!(poll.read_next() && poll.last_revision == 9);
    // The numbering restarted: the latest event is revision 2, while the router is at revision 9.
    poll.respond(2, &[]);
    assert!(poll.read_next());
    assert_eq!(poll.last_revision, 0, "all events are requested");
    let list = endpoint_json("e-2", &new.address, "active");
    poll.respond(
        2,
        &[
            pool_notice_json(1, true, &endpoint_json("e-1", &old.address, "active")),
            pool_notice_json(2, true, &list),
        ],
    );
    assert!(poll.read_next() && poll.last_revision == 2);
    client.send_request(1, "page", 1);
    new.serve(&new.next_request());
    assert_eq!(client.status(1), 200);
    router.terminate();
    assert_eq!(old.received_request_ids(), [""; 0]);
}

#[test]
fn a_malformed_entry_does_not_affect_other_entries_and_its_endpoint_receives_nothing() {
    let (discovery, one, two) = (DiscoveryServer::new(), Endpoint::new(), Endpoint::new());
    let router = Router::start("junk", &setup_with_discovery(&discovery, &[("e-1", &one), ("e-2", &two)]));
    let mut client = Client::connect(&router);
    let mut poll = discovery.poll();
    let entries = [
        endpoint_json("e-2", &two.address, "resting"),
        r#"{"name":"e-3","address":"nowhere","status":"active"}"#.to_owned(),
        r#"{"address":"127.0.0.1:1","status":"active"}"#.to_owned(),
    ];
    let flush = r#"{"rev":3,"flush":{"asset":"00000000000000ab"}}"#.to_owned();
    poll.respond(
        4,
        &[pool_notice_json(2, false, &entries.join(",")), flush, r#"{"rev":4,"weather":"rain"}"#.to_owned()],
    );
    assert!(poll.read_next());
    assert_eq!(poll.last_revision, 4, "the other events are applied");
    // Whichever endpoint is the object's home: an endpoint with a malformed entry is treated as leaving, and
    // a purge without a time as happening now.
    for request in 1..=6 {
        client.send_request(request, "page", request.into());
        let received = one.next_request();
        assert!(received.fields.contains("newer="), "{}", received.fields);
        one.serve(&received);
        assert_eq!(client.status(request), 200);
    }
    router.terminate();
    assert_eq!(two.received_request_ids(), [""; 0]);
}

#[test]
fn requests_are_served_while_discovery_is_down_at_the_start_and_events_are_applied_once_it_is_back() {
    // An IP address of its own: no other process gets the port while the service is down.
    let own = rig::loopback::ReservedIp::take().expect("an address");
    let (discovery, endpoint) = (DiscoveryServer::at(&own.any_port().to_string()), Endpoint::new());
    let address = discovery.address.clone();
    drop(discovery);
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    setup.discovery = address.clone();
    let router = Router::start("down", &setup);
    let mut client = Client::connect(&router);
    client.send_request(1, "/alive", 0);
    assert_eq!(client.status(1), 200, "ready with the configured endpoints");
    client.send_request(2, "page", 1);
    endpoint.serve(&endpoint.next_request());
    assert_eq!(client.status(2), 200);
    wait_until("some polls have failed", || router.counter("watch_faults") > 2);
    let discovery = DiscoveryServer::at(&address);
    let mut poll = discovery.poll();
    poll.respond(2, &[pool_notice_json(2, false, &endpoint_json("e-1", &endpoint.address, "left"))]);
    assert!(poll.read_next());
    client.send_request(3, "page", 2);
    assert_eq!(client.status(3), 503);
    router.terminate();
}

/// Guards against a connection that comes up at an address that its machine has just left to another one.
#[test]
fn a_dial_that_completes_as_its_machine_moves_carries_nothing_to_the_one_that_took_its_address() {
    for listed in [true, false] {
        let discovery = DiscoveryServer::new();
        let (mut taken, moved) = (Endpoint::with_full_backlog(), Endpoint::new());
        let mut setup = setup_with_discovery(&discovery, &[("e-1", &taken)]);
        setup.limits = r#""MostTries":4,"Cancelling":true,"DialTimeoutMs":2500.0"#;
        let router = Router::start(&format!("moved-{listed}"), &setup);
        let mut poll = discovery.poll();
        let mut client = Client::connect(&router);
        client.send_request(1, "swap", 1);
        wait_until("its dial is open", || router.counter("dials") == 1);
        router.pause();
        let mut entries = vec![endpoint_json("e-1", &moved.address, "active")];
        if listed {
            entries.push(endpoint_json("e-2", &taken.address, "leaving"));
        }
        poll.respond(2, &[pool_notice_json(2, false, &entries.join(","))]);
        taken.accept_connections();
        // The kernel completes the connection, even while the process is stopped.
        assert_eq!(taken.next_event(), Event::Connected(0));
        router.resume();
        let received = moved.next_request();
        moved.serve(&received);
        assert_eq!(client.status(1), 200);
        router.terminate();
        assert_eq!(taken.received_request_ids(), [""; 0], "another machine is there, listed: {listed}");
    }
}
