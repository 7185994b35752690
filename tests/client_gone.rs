//! Clients that disconnect or abort: nothing is forwarded or dialled for their requests, whatever other
//! events arrive in the same wake-up.

mod rig;

use rig::{sleep_ms, wait_until, Client, Endpoint, Event, Router, RouterSetup};
use std::io::Write;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Aborts,
    Closes,
    Resets,
}

const ALL_WAYS: [Leaves; 3] = [Leaves::Aborts, Leaves::Closes, Leaves::Resets];

/// Makes a client leave. Returns the client if its connection must stay open.
fn leave(mut client: Client, how: Leaves) -> Option<Client> {
    match how {
        Leaves::Aborts => client.abort(1),
        Leaves::Closes => return None,
        Leaves::Resets => {
            client.reset();
            return None;
        }
    }
    Some(client)
}

/// Returns whether the router has connected to an endpoint. The endpoint numbers connections in order, so it
/// checks whether the test's own connection, which is recognized by its frame, is the first one.
fn was_dialled(endpoint: &Endpoint) -> bool {
    let mut own = std::net::TcpStream::connect(&endpoint.address).expect("it listens");
    own.write_all(b"*1\r\n$3\r\nown\r\n").expect("written");
    loop {
        if let Event::Frame(conn, parts) = endpoint.next_event() {
            if parts == ["own"] {
                return conn > 0;
            }
        }
    }
}

/// Two endpoints, one of which is the home of the requested object.
struct EndpointPair {
    one: Endpoint,
    other: Endpoint,
}

impl EndpointPair {
    fn new() -> Self {
        Self { one: Endpoint::new(), other: Endpoint::new() }
    }

    fn setup(&self) -> RouterSetup {
        RouterSetup::new(&[("e-1", &self.one), ("e-2", &self.other)])
    }

    /// Waits for a request at either endpoint. Returns that endpoint, the request and the other endpoint.
    fn next_request(&self) -> (&Endpoint, rig::ReceivedRequest, &Endpoint) {
        let mut received = None;
        wait_until("a request", || {
            for (here, there) in [(&self.one, &self.other), (&self.other, &self.one)] {
                for event in here.received_events() {
                    if let Event::Frame(conn, parts) = event {
                        let (id, fields) = (parts[1].clone(), parts[2].clone());
                        received = Some((here, rig::ReceivedRequest { conn, id, fields }, there));
                    }
                }
            }
            received.is_some()
        });
        received.expect("a request")
    }
}

#[test]
fn a_failed_attempt_is_not_retried_if_the_client_leaves_in_the_same_wake_up() {
    for how in ALL_WAYS {
        let endpoints = EndpointPair::new();
        let router = Router::start(&format!("retry-{how:?}"), &endpoints.setup());
        let mut client = Client::connect(&router);
        client.send_request(1, "page", 1);
        let (here, received, there) = endpoints.next_request();
        router.pause();
        here.reply(&received, "BROKE", "-", b"");
        let _kept = leave(client, how);
        router.resume();
        wait_until("the request is aborted", || router.counter("aborted") == 1);
        assert!(!was_dialled(there), "{how:?}: dialled for a client that had left");
        router.terminate();
        assert_eq!(here.received_request_ids(), [""; 0], "{how:?}");
    }
}

#[test]
fn a_timer_due_in_the_wake_up_in_which_a_client_leaves_causes_no_dial_even_if_another_client_is_served_first()
{
    for how in ALL_WAYS {
        let endpoints = EndpointPair::new();
        let router = Router::start(&format!("timer-{how:?}"), &endpoints.setup());
        // This connection is older than the one that leaves, so it is served first.
        let mut other = Client::connect(&router);
        other.send_request(1, "/alive", 0);
        assert_eq!(other.status(1), 200);
        let mut client = Client::connect(&router);
        client.send_request(1, "page", 1);
        let (_, _, there) = endpoints.next_request();
        router.pause();
        // After this time the attempt counts as lost, and a retry at the other endpoint is due.
        sleep_ms(2000);
        other.send_request(2, "/alive", 0);
        let _kept = leave(client, how);
        router.resume();
        assert_eq!(other.status(2), 200);
        wait_until("the request is aborted", || router.counter("aborted") == 1);
        assert!(!was_dialled(there), "{how:?}: dialled for a client that had left");
        router.terminate();
    }
}

#[test]
fn a_dial_that_completes_in_the_wake_up_in_which_the_client_leaves_carries_nothing() {
    for how in ALL_WAYS {
        let mut late = Endpoint::with_full_backlog();
        let mut setup = RouterSetup::new(&[("e-1", &late)]);
        setup.limits = r#""MostTries":9,"Cancelling":true,"DialTimeoutMs":9000.0"#;
        let router = Router::start(&format!("dial-{how:?}"), &setup);
        let mut client = Client::connect(&router);
        client.send_request(1, "page", 1);
        wait_until("a dial", || router.counter("dials") == 1);
        router.pause();
        let _kept = leave(client, how);
        // The kernel completes the connection, even while the process is stopped.
        late.accept_connections();
        assert_eq!(late.next_event(), Event::Connected(0));
        router.resume();
        wait_until("the request is aborted", || router.counter("aborted") == 1);
        assert_eq!(router.counter("dials"), 1, "{how:?}: no further dial");
        router.terminate();
        assert_eq!(late.received_request_ids(), [""; 0], "{how:?}");
    }
}

#[test]
fn if_most_clients_of_a_burst_leave_at_once_only_the_remaining_request_is_sent() {
    let mut late = Endpoint::with_full_backlog();
    let mut setup = RouterSetup::new(&[("e-1", &late)]);
    setup.limits = r#""MostTries":9,"Cancelling":true,"DialTimeoutMs":9000.0"#;
    let router = Router::start("burst", &setup);
    let mut stays = Client::connect(&router);
    stays.send_request(1, "page", 1);
    let mut clients: Vec<Client> = (0..9).map(|_| Client::connect(&router)).collect();
    for (at, client) in (1..).zip(&mut clients) {
        for request in 1..=20 {
            client.send_request(request, "page", at * 100 + u64::from(request));
        }
    }
    wait_until("all requests are read", || router.counter("taken") == 181);
    router.pause();
    for (at, client) in clients.into_iter().enumerate() {
        leave(client, [Leaves::Closes, Leaves::Resets][at % 2]);
    }
    late.accept_connections();
    assert_eq!(late.next_event(), Event::Connected(0));
    router.resume();
    let received = late.next_request();
    assert_eq!(received.id, format!("{:016x}", 1));
    late.serve(&received);
    assert_eq!(stays.status(1), 200);
    let log = router.terminate();
    assert!(log.contains("aborted=180 "), "{log}");
    assert_eq!(late.received_request_ids(), [""; 0]);
}

#[test]
fn a_request_whose_client_leaves_before_it_is_read_causes_no_dial() {
    for how in [Leaves::Closes, Leaves::Resets] {
        let endpoint = Endpoint::new();
        let router = Router::start(&format!("breath-{how:?}"), &RouterSetup::new(&[("e-1", &endpoint)]));
        let mut other = Client::connect(&router);
        let mut client = Client::connect(&router);
        for one in [&mut other, &mut client] {
            one.send_request(1, "/alive", 0);
            assert_eq!(one.status(1), 200);
        }
        router.pause();
        // The bodies make this more data than one small read returns.
        for request in 1..=30 {
            let bytes = Client::request_bytes(request, "page", request.into(), 0xab, &[1; 4000]);
            client.stream.write_all(&bytes).expect("written");
        }
        let _kept = leave(client, how);
        other.send_request(2, "/alive", 0);
        router.resume();
        assert_eq!(other.status(2), 200);
        other.send_request(3, "/alive", 0);
        assert_eq!(other.status(3), 200);
        assert!(!was_dialled(&endpoint), "{how:?}");
        assert_eq!(router.counter("attempts"), 0, "{how:?}");
        router.terminate();
    }
}

/// Guards against requests that are sent on although their client's close stands behind what is still to be
/// read.
#[test]
fn requests_of_a_client_that_closed_with_much_unread_are_not_sent_on() {
    const REQUESTS: u16 = 32;
    const BODY_BYTES: usize = 48_000;
    for how in [Leaves::Closes, Leaves::Resets] {
        let endpoint = Endpoint::new();
        let router = Router::start(&format!("unread-{how:?}"), &RouterSetup::new(&[("e-1", &endpoint)]));
        let mut other = Client::connect(&router);
        let mut client = Client::connect(&router);
        for one in [&mut other, &mut client] {
            one.send_request(1, "/alive", 0);
            assert_eq!(one.status(1), 200);
        }
        let body = [1; BODY_BYTES];
        let bytes = (2..2 + REQUESTS)
            .flat_map(|request| Client::request_bytes(request, "swap", request.into(), 0xab, &body));
        let bytes: Vec<u8> = bytes.collect();
        router.pause();
        client.stream.set_nonblocking(true).expect("set");
        // As much as the kernels hold: some of it here, the rest and the close behind it at the client.
        let written = client.stream.write(&bytes).expect("written");
        assert!(written > bytes.len() / 2, "{written}");
        let _kept = leave(client, how);
        router.resume();
        other.send_request(2, "/alive", 0);
        assert_eq!(other.status(2), 200);
        wait_until("the client is gone", || {
            router.counter("taken"); // Prints all counters.
            router.log_text().contains("client_closed_peer")
        });
        assert_eq!(router.counter("attempts"), 0, "{how:?}: {}", router.log_text());
        assert!(!was_dialled(&endpoint), "{how:?}");
        router.terminate();
    }
}

/// Guards against a request that runs again when its id comes again after its client has left.
#[test]
fn the_id_of_a_request_whose_client_has_left_does_not_run_again() {
    for (class, again) in [("swap", false), ("keyed", false), ("page", true)] {
        for how in ALL_WAYS {
            let what = format!("{class}, {how:?}");
            let endpoint = Endpoint::new();
            let router =
                Router::start(&format!("again-{class}-{how:?}"), &RouterSetup::new(&[("e-1", &endpoint)]));
            let mut first = Client::connect(&router);
            first.send_request(1, class, 7);
            assert_eq!(endpoint.next_request().id, format!("{:016x}", 7));
            let _kept = leave(first, how);
            wait_until("the attempt is stopped", || router.counter("aborted") == 1);
            let mut second = Client::connect(&router);
            second.send_request(1, class, 7);
            if again {
                endpoint.serve(&endpoint.next_request());
                assert_eq!(second.status(1), 200, "{what}: it may be repeated freely");
            } else {
                assert_eq!(second.status(1), 502, "{what}: it may have run, so it isn't refused either");
            }
            router.terminate();
            assert_eq!(endpoint.received_request_ids(), [""; 0], "{what}");
        }
    }
}
