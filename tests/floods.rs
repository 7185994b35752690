//! Floods and malformed input from clients: only the offending connection is closed, others are served, and
//! memory and descriptors stay bounded.

mod rig;

use frostturn::fastcgi::{self, kind};
use rig::{sleep_ms, wait_until, Client, Endpoint, Event, Router, RouterSetup};
use std::io::Write;

/// Encodes the beginning of a request, followed by these records.
fn begin_request(request: u16, role: u8, records: &[(u8, Vec<u8>)]) -> Vec<u8> {
    let mut out = Vec::new();
    fastcgi::record(&mut out, kind::BEGIN, request, &[0, role, 1, 0, 0, 0, 0, 0]);
    records.iter().for_each(|(what, content)| fastcgi::record(&mut out, *what, request, content));
    out
}

#[test]
fn malformed_input_closes_only_its_own_connection() {
    let endpoint = Endpoint::new();
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    setup.limits = r#""MostTries":1,"Cancelling":true"#;
    let router = Router::start("foreign", &setup);
    let cut = &Client::request_bytes(1, "page", 1, 1, b"")[..30];
    let twice = [begin_request(1, 1, &[]), begin_request(1, 1, &[])].concat();
    let endless: Vec<_> = (0..3).map(|_| (kind::PARAMS, vec![1; 8000])).collect();
    let bad: [(&str, Vec<u8>); 8] = [
        ("HTTP", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec()),
        ("TLS", vec![0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3]),
        ("another version", vec![9; 64]),
        ("a beginning cut short", vec![1, kind::BEGIN, 0, 1, 0, 2, 0, 0, 0, 1]),
        ("a request that begins twice", twice),
        ("parameters without end", begin_request(1, 1, &endless)),
        ("a body before its parameters", begin_request(1, 1, &[(kind::STDIN, vec![1; 9])])),
        (
            "a pair of an impossible length",
            begin_request(
                1,
                1,
                &[(kind::PARAMS, vec![255; 40]), (kind::PARAMS, vec![]), (kind::STDIN, vec![])],
            ),
        ),
    ];
    let faults = bad.len() as u64;
    let mut good = Client::connect(&router);
    for (at, (what, bytes)) in (1..).zip(bad) {
        // A request is outstanding on the connection that sends malformed input, and another one on a good
        // connection.
        let mut offender = Client::connect(&router);
        offender.send_request(2, "page", 100 + u64::from(at));
        let lost = endpoint.next_request();
        good.send_request(at, "page", 200 + u64::from(at));
        let kept = endpoint.next_request();
        offender.stream.write_all(&bytes).expect("written");
        // The complete request before the malformed input must be answered.
        assert_eq!(offender.status(2), 502, "{what}: the request may have run");
        assert!(offender.is_closed(), "{what}: half-closed, not reset");
        // Its attempt may run, and is cancelled.
        wait_until(
            what,
            || matches!(endpoint.next_event(), Event::Frame(_, parts) if parts == ["STOP", &lost.id]),
        );
        endpoint.serve(&kept);
        assert_eq!(good.status(at), 200, "{what}");
    }
    let mut short = Client::connect(&router);
    short.stream.write_all(cut).expect("written");
    drop(short);
    let log = router.terminate();
    assert_eq!(rig::counter_in(&log, "client_faults"), faults, "{log}");
    assert_eq!((rig::counter_in(&log, "panics"), rig::counter_in(&log, "failed")), (0, faults));
    assert_eq!(rig::counter_in(&log, "aborted"), 0, "each of them was answered");
}

#[test]
fn resources_of_disconnected_flooding_clients_are_released_and_others_are_served_meanwhile() {
    let endpoint = Endpoint::new();
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    (setup.memory_mb, setup.sockets) = (32, 256);
    let router = Router::start("gone", &setup);
    let mut good = Client::connect(&router);
    for round in 1..=8_u16 {
        let flood: Vec<Client> = (0..60)
            .map(|at: u64| {
                let mut client = Client::connect(&router);
                let mut bytes = Vec::new();
                // Half of the requests of each connection are incomplete, with large bodies.
                for request in 1..=20 {
                    let id = u64::from(round) << 32 | at << 16 | u64::from(request);
                    let whole = Client::request_bytes(request, "page", id, id, &[7; 40_000]);
                    bytes.extend_from_slice(&whole[..if request % 2 == 0 { whole.len() } else { 30_000 }]);
                    if request % 2 == 1 {
                        fastcgi::record(&mut bytes, kind::ABORT, request, b"");
                    }
                }
                client.stream.set_nonblocking(true).expect("set");
                let _ = client.stream.write(&bytes); // As much as the kernel accepts.
                client
            })
            .collect();
        drop(flood);
        good.send_request(round, "page", u64::from(round));
        loop {
            let received = endpoint.next_request();
            if received.id == format!("{:016x}", round) {
                endpoint.serve(&received);
                break;
            }
        }
        assert_eq!(good.status(round), 200);
    }
    wait_until("the descriptors are released", || router.open_descriptors() < 40);
    assert!(router.resident_bytes() < 32 << 20, "{}", router.resident_bytes());
    assert_eq!(rig::counter_in(&router.terminate(), "panics"), 0);
}

#[test]
fn clients_that_send_no_complete_request_leave_room_for_others() {
    let endpoint = Endpoint::new();
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    setup.sockets = 96;
    let router = Router::start("slow", &setup);
    let half = Client::request_bytes(1, "page", 1, 1, b"");
    // Twice as many connections as the router has room for; some send nothing, some a part of a request.
    let slow: Vec<Client> = (0..120)
        .map(|at| {
            let mut client = Client::connect(&router);
            let _ = client.stream.write(&half[..at % 40]); // The connection may have been shed.
            client
        })
        .collect();
    for at in 1..=20 {
        let mut good = Client::connect(&router);
        good.send_request(1, "page", 100 + at);
        endpoint.serve(&endpoint.next_request());
        assert_eq!(good.status(1), 200);
    }
    assert!(router.open_descriptors() <= 96, "{}", router.open_descriptors());
    drop(slow);
    assert_eq!(rig::counter_in(&router.terminate(), "panics"), 0);
}

#[test]
fn a_request_with_a_too_large_body_fails_at_once_and_its_connection_stays_usable() {
    let endpoint = Endpoint::new();
    let router = Router::start("bigbody", &RouterSetup::new(&[("e-1", &endpoint)]));
    let mut client = Client::connect(&router);
    let whole = Client::request_bytes(1, "page", 1, 1, b"");
    let head = &whole[..whole.len() - 8];
    client.stream.write_all(head).expect("written");
    let mut part = Vec::new();
    fastcgi::record(&mut part, kind::STDIN, 1, &[7; 40_000]);
    for _ in 0..2 {
        client.stream.write_all(&part).expect("written");
    }
    assert_eq!(client.status(1), 502, "before the end of the body, which may never arrive");
    for _ in 0..20 {
        client.stream.write_all(&part).expect("written");
    }
    client.send_request(2, "page", 2);
    endpoint.serve(&endpoint.next_request());
    assert_eq!(client.status(2), 200);
    router.terminate();
}

#[test]
fn a_request_is_answered_even_if_malformed_input_follows_it_in_the_same_read() {
    let endpoint = Endpoint::new();
    let router = Router::start("onebreath", &RouterSetup::new(&[("e-1", &endpoint)]));
    for junk in [&b"GET / HTTP/1.1\r\n\r\n"[..], &begin_request(2, 1, &[(kind::STDIN, vec![1; 9])])] {
        let mut offender = Client::connect(&router);
        let both = [&Client::request_bytes(1, "page", 1, 1, b""), junk].concat();
        offender.stream.write_all(&both).expect("written");
        assert_eq!(offender.status(1), 502, "failed: nothing more is read from this client");
        assert!(offender.is_closed(), "half-closed, not reset");
    }
    assert_eq!(rig::counter_in(&router.terminate(), "client_faults"), 2);
    assert_eq!(
        endpoint.received_request_ids(),
        [""; 0],
        "nothing is sent for a client whose connection is about to be closed"
    );
}

/// Encodes an upload whose body is divided into records of this many bytes.
fn upload_records(request: u16, id: u64, body: &[u8], record_bytes: usize) -> Vec<Vec<u8>> {
    let whole = Client::request_bytes(request, "page", id, id, body);
    let (mut head, mut end) = (whole, Vec::new());
    fastcgi::record(&mut end, kind::STDIN, request, b"");
    let mut content = Vec::new();
    fastcgi::record(&mut content, kind::STDIN, request, body);
    head.truncate(head.len() - content.len() - end.len());
    let mut records = vec![head];
    records.extend(body.chunks(record_bytes).map(|part| {
        let mut out = Vec::new();
        fastcgi::record(&mut out, kind::STDIN, request, part);
        out
    }));
    records.push(end);
    records
}

/// Guards against requests of a client that progresses being given up for the memory of those that stall.
#[test]
fn clients_that_stall_in_a_request_cost_a_client_that_uploads_no_answer() {
    const STALLED: u64 = 235;
    const UPLOADS: u16 = 4;
    const BODY_BYTES: usize = 48_000;
    let endpoint = Endpoint::new();
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    (setup.memory_mb, setup.sockets) = (32, 512);
    let router = Router::start("stalled", &setup);
    let body = vec![7; BODY_BYTES];
    // Every second one stops in the middle of a record.
    let stall = |at: u64| {
        let record_bytes = if at.is_multiple_of(2) { 14_000 } else { BODY_BYTES };
        let mut bytes = upload_records(1, 1000 + at, &body, record_bytes).concat();
        bytes.truncate(14_200);
        let mut client = Client::connect(&router);
        client.stream.write_all(&bytes).expect("written");
        client
    };
    let stalled: Vec<Client> = (0..STALLED).map(stall).collect();
    sleep_ms(200);
    let mut good = Client::connect(&router);
    let mut uploads: Vec<_> = (1..=UPLOADS)
        .map(|request| upload_records(request, u64::from(request), &body, 8000).into_iter())
        .collect();
    let mut interleaved = Vec::new();
    while uploads.iter().any(|records| records.len() > 0) {
        uploads.iter_mut().filter_map(Iterator::next).for_each(|record| interleaved.extend(record));
    }
    good.stream.write_all(&interleaved).expect("written");
    for _ in 0..UPLOADS {
        endpoint.serve(&endpoint.next_request());
    }
    (1..=UPLOADS).for_each(|request| assert_eq!(good.status(request), 200, "{request}"));
    assert!(router.counter("incomplete_shed") > 0, "the memory was full: {}", router.log_text());
    for mut client in stalled {
        assert!([502, 503].contains(&client.status(1)), "refused now, or failed after its time");
    }
    router.terminate();
}
