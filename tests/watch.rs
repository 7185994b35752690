//! The discovery watch: what its answers may bring, and what a drain or a purge crosses.

mod rig;

use frostturn::resp;
use rig::{
    endpoint_json, next_request_at_any, pool_notice_json, wait_until, Client, DiscoveryPoll, DiscoveryServer,
    Endpoint, Event, Router, RouterSetup,
};
use std::io::Write;

fn watched(board: &DiscoveryServer, endpoints: &[(&'static str, &Endpoint)]) -> RouterSetup {
    let mut site = RouterSetup::new(endpoints);
    site.board = board.address.clone();
    site
}

fn purge(rev: u64, object: u64) -> String {
    let ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970").as_millis();
    format!(r#"{{"rev":{rev},"flush":{{"asset":"{object:016x}","ms":{ms}}}}}"#)
}

#[test]
fn what_waits_when_a_purge_comes_leaves_with_the_bound_of_the_purge() {
    let (board, end) = (DiscoveryServer::new(), Endpoint::new());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("purged.scm");
    std::fs::write(&path, "(frostturn (addresses (names checked)))").expect("written");
    let mut site = watched(&board, &[("e-1", &end)]);
    site.options = vec!["--operator".into(), path.display().to_string()];
    let router = Router::start("purgequeue", &site);
    let mut poll = board.poll();
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    // It waits for the greeting's answer; meanwhile its object is purged.
    let mut greeting = None;
    wait_until("a greeting", || {
        for event in end.received_events() {
            if let Event::Frame(conn, parts) = event {
                greeting = Some((conn, parts[1].clone()));
            }
        }
        greeting.is_some()
    });
    let (conn, tag) = greeting.expect("it greets");
    poll.respond(2, &[purge(2, 0xab)]);
    wait_until("the purge is heard", || router.counter("purges") == 1);
    end.write(conn, &resp::frame(&[tag.as_bytes(), b"FIT", b"name=e-1", b""])).expect("written");
    let asked = end.next_request();
    assert!(asked.fields.contains("newer="), "an older copy would do: {}", asked.fields);
    end.serve(&asked);
    assert_eq!(client.status(1), 200);
    router.terminate();
}

#[test]
fn a_purge_in_the_wake_of_a_request_of_a_retry_or_of_a_late_answer_binds_what_is_sent() {
    let (board, end) = (DiscoveryServer::new(), Endpoint::new());
    let router = Router::start("purgewake", &watched(&board, &[("e-1", &end)]));
    let mut poll = board.poll();
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    let first = end.next_request();
    assert!(!first.fields.contains("newer="));
    router.pause();
    end.reply(&first, "BROKE", "-", b"");
    poll.respond(2, &[purge(2, 0xab)]);
    client.send_request(2, "page", 2);
    router.resume();
    for _ in 0..2 {
        let asked = end.next_request();
        assert!(asked.fields.contains("newer="), "{}", asked.fields);
        end.serve(&asked);
    }
    assert_eq!((client.status(1), client.status(2)), (200, 200));
    router.terminate();
}

#[test]
fn a_drain_in_the_wake_of_a_send_or_a_retry_keeps_both_from_the_endpoint_that_leaves() {
    let board = DiscoveryServer::new();
    let ends = [("e-1", Endpoint::new()), ("e-2", Endpoint::new())];
    let router =
        Router::start("drainwake", &watched(&board, &[(ends[0].0, &ends[0].1), (ends[1].0, &ends[1].1)]));
    let mut poll = board.poll();
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    let (home, asked) = next_request_at_any(&ends);
    // The home leaves while a request for it comes: that goes to the other one, which has not been dialled yet.
    router.pause();
    poll.respond(
        2,
        &[pool_notice_json(2, false, &endpoint_json(ends[home].0, &ends[home].1.address, "leaving"))],
    );
    client.send_request(2, "page", 2);
    router.resume();
    let (other, second) = next_request_at_any(&ends);
    assert_eq!(other, 1 - home);
    ends[other].1.serve(&second);
    ends[home].1.serve(&asked);
    assert_eq!((client.status(1), client.status(2)), (200, 200), "what was out there is still answered");
    // The home is back and the other one leaves, as an attempt at the home fails: the retry stays away.
    assert!(poll.read_next());
    poll.respond(
        3,
        &[pool_notice_json(3, false, &endpoint_json(ends[home].0, &ends[home].1.address, "active"))],
    );
    assert!(poll.read_next());
    client.send_request(3, "page", 3);
    let (at, third) = next_request_at_any(&ends);
    assert_eq!(at, home);
    router.pause();
    ends[home].1.reply(&third, "BROKE", "-", b"");
    poll.respond(
        4,
        &[pool_notice_json(4, false, &endpoint_json(ends[other].0, &ends[other].1.address, "leaving"))],
    );
    router.resume();
    let (at, again) = next_request_at_any(&ends);
    assert_eq!((at, &again.id), (home, &third.id));
    ends[home].1.serve(&again);
    assert_eq!(client.status(3), 200);
    router.terminate();
    assert_eq!((ends[0].1.received_request_ids(), ends[1].1.received_request_ids()), (vec![], vec![]));
}

#[test]
fn a_watch_that_is_silent_breaks_off_or_brings_junk_is_begun_anew_from_the_last_event() {
    let (board, end) = (DiscoveryServer::new(), Endpoint::new());
    let router = Router::start("anew", &watched(&board, &[("e-1", &end)]));
    let leaving = |rev| pool_notice_json(rev, false, &endpoint_json("e-1", &end.address, "leaving"));
    let whole = DiscoveryPoll::response_bytes(2, &[leaving(2)]);
    // Nothing at all; half a line; half a body; no HTTP; no JSON; a gap. After each it asks again on a new connection.
    let mut poll = board.poll();
    let silent = poll;
    poll = board.poll();
    for bytes in [
        &whole[..9],
        &whole[..whole.len() - 5],
        b"what?\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}",
        &DiscoveryPoll::response_bytes(9, &[leaving(9)]),
    ] {
        assert_eq!(poll.last_revision, 1, "from the last event");
        poll.stream.write_all(bytes).expect("written");
        poll.stream.shutdown(std::net::Shutdown::Write).expect("open");
        poll = board.poll();
    }
    assert_eq!(poll.last_revision, 1);
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    end.serve(&end.next_request());
    assert_eq!(client.status(1), 200, "what was not whole told nothing");
    poll.respond(2, &[leaving(2)]);
    assert!(poll.read_next() && poll.last_revision == 2);
    client.send_request(2, "page", 2);
    assert_eq!(client.status(2), 503, "nobody is left");
    drop(silent);
    router.terminate();
}

#[test]
fn an_answer_that_comes_twice_late_or_of_an_older_revision_changes_nothing() {
    let (board, end) = (DiscoveryServer::new(), Endpoint::new());
    let router = Router::start("twice", &watched(&board, &[("e-1", &end)]));
    let mut client = Client::connect(&router);
    let event = |rev, status| pool_notice_json(rev, false, &endpoint_json("e-1", &end.address, status));
    let mut poll = board.poll();
    // The same answer twice, at once: what nobody asked for ends the connection, and the next poll goes on a new one.
    let mut twice = DiscoveryPoll::response_bytes(2, &[event(2, "leaving")]);
    twice.extend(DiscoveryPoll::response_bytes(2, &[event(2, "leaving")]));
    poll.stream.write_all(&twice).expect("written");
    let mut poll = board.poll();
    assert_eq!(poll.last_revision, 2);
    // In any order, some of them twice and some known: told once.
    poll.respond(4, &[event(4, "active"), event(3, "leaving"), event(4, "active"), event(2, "leaving")]);
    assert!(poll.read_next());
    assert_eq!(poll.last_revision, 4);
    poll.respond(4, &[event(2, "leaving"), event(3, "leaving")]);
    assert!(poll.read_next());
    assert_eq!(poll.last_revision, 4);
    client.send_request(1, "page", 1);
    end.serve(&end.next_request());
    assert_eq!(client.status(1), 200, "it serves, as the last event says");
    let log = router.terminate();
    assert!(log.contains(" lists=4 "), "the start and three events, each once: {log}");
}

#[test]
fn a_board_whose_numbering_begins_anew_is_asked_for_all_and_heard() {
    let (board, old, new) = (DiscoveryServer::new(), Endpoint::new(), Endpoint::new());
    let router = Router::start("numbering", &watched(&board, &[("e-1", &old)]));
    let mut client = Client::connect(&router);
    let mut poll = board.poll();
    let events: Vec<String> = (2..=9).map(|rev| pool_notice_json(rev, false, "")).collect();
    poll.respond(9, &events);
    assert!(poll.read_next() && poll.last_revision == 9);
    // It began anew: its last event is the second, which is not among those that the router has.
    poll.respond(2, &[]);
    assert!(poll.read_next());
    assert_eq!(poll.last_revision, 0, "all that there is");
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
fn one_entry_that_cannot_be_read_keeps_nothing_else_from_being_heard_and_gets_nothing_itself() {
    let (board, one, two) = (DiscoveryServer::new(), Endpoint::new(), Endpoint::new());
    let router = Router::start("junk", &watched(&board, &[("e-1", &one), ("e-2", &two)]));
    let mut client = Client::connect(&router);
    let mut poll = board.poll();
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
    assert_eq!(poll.last_revision, 4, "the rest is heard");
    // Whichever was the object's home: what can't be read of one is taken as that it leaves, and a purge without a time
    // as one of now.
    for request in 1..=6 {
        client.send_request(request, "page", request.into());
        let asked = one.next_request();
        assert!(asked.fields.contains("newer="), "{}", asked.fields);
        one.serve(&asked);
        assert_eq!(client.status(request), 200);
    }
    router.terminate();
    assert_eq!(two.received_request_ids(), [""; 0]);
}

#[test]
fn a_board_that_is_down_at_the_start_and_comes_back_is_heard_and_keeps_nobody_waiting() {
    // Nobody else is given its port while it is down.
    let own = rig::loopback::OwnIp::take().expect("an address");
    let (board, end) = (DiscoveryServer::at(&own.any().to_string()), Endpoint::new());
    let address = board.address.clone();
    drop(board);
    let mut site = RouterSetup::new(&[("e-1", &end)]);
    site.board = address.clone();
    let router = Router::start("down", &site);
    let mut client = Client::connect(&router);
    client.send_request(1, "/alive", 0);
    assert_eq!(client.status(1), 200, "ready by what it was told at its start");
    client.send_request(2, "page", 1);
    end.serve(&end.next_request());
    assert_eq!(client.status(2), 200);
    wait_until("some polls have failed", || router.counter("watch_faults") > 2);
    let board = DiscoveryServer::at(&address);
    let mut poll = board.poll();
    poll.respond(2, &[pool_notice_json(2, false, &endpoint_json("e-1", &end.address, "left"))]);
    assert!(poll.read_next());
    client.send_request(3, "page", 2);
    assert_eq!(client.status(3), 503);
    router.terminate();
}
