//! A client that has left: nothing of its request is sent on or dialled for, whatever else the same wake brings.

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

const WAYS: [Leaves; 3] = [Leaves::Aborts, Leaves::Closes, Leaves::Resets];

/// It leaves; what must be kept so that it doesn't do more.
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

/// Whether anybody has connected to an endpoint. Connections are taken in their order, so that the test's own, which is
/// known by what it says, has none before it.
fn met(endpoint: &Endpoint) -> bool {
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

/// Two endpoints, and that of them which got the first request.
struct Two {
    one: Endpoint,
    other: Endpoint,
}

impl Two {
    fn new() -> Self {
        Self { one: Endpoint::new(), other: Endpoint::new() }
    }

    fn site(&self) -> RouterSetup {
        RouterSetup::new(&[("e-1", &self.one), ("e-2", &self.other)])
    }

    /// Takes a request at whichever endpoint it went to: that one, the request, the other one.
    fn take(&self) -> (&Endpoint, rig::ReceivedRequest, &Endpoint) {
        let mut came = None;
        wait_until("a request", || {
            for (here, there) in [(&self.one, &self.other), (&self.other, &self.one)] {
                for event in here.received_events() {
                    if let Event::Frame(conn, parts) = event {
                        let (id, fields) = (parts[1].clone(), parts[2].clone());
                        came = Some((here, rig::ReceivedRequest { conn, id, fields }, there));
                    }
                }
            }
            came.is_some()
        });
        came.expect("one came")
    }
}

#[test]
fn a_failed_attempt_and_its_clients_leave_in_one_wake_are_followed_by_no_dial_and_no_retry() {
    for how in WAYS {
        let two = Two::new();
        let router = Router::start(&format!("retry-{how:?}"), &two.site());
        let mut client = Client::connect(&router);
        client.send_request(1, "page", 1);
        let (here, asked, there) = two.take();
        router.pause();
        here.reply(&asked, "BROKE", "-", b"");
        let _kept = leave(client, how);
        router.resume();
        wait_until("it is given up", || router.counter("aborted") == 1);
        assert!(!met(there), "{how:?}: dialled for a client that had left");
        router.terminate();
        assert_eq!(here.received_request_ids(), [""; 0], "{how:?}");
    }
}

#[test]
fn a_timer_that_is_due_in_the_wake_of_the_leave_dials_for_nobody_though_another_client_is_heard_first() {
    for how in WAYS {
        let two = Two::new();
        let router = Router::start(&format!("timer-{how:?}"), &two.site());
        // Its connection is the older one, so that it is heard before the one that leaves.
        let mut other = Client::connect(&router);
        other.send_request(1, "/alive", 0);
        assert_eq!(other.status(1), 200);
        let mut client = Client::connect(&router);
        client.send_request(1, "page", 1);
        let (_, _, there) = two.take();
        router.pause();
        // By then its attempt is taken for lost, and another endpoint is due to be asked.
        sleep_ms(2000);
        other.send_request(2, "/alive", 0);
        let _kept = leave(client, how);
        router.resume();
        assert_eq!(other.status(2), 200);
        wait_until("it is given up", || router.counter("aborted") == 1);
        assert!(!met(there), "{how:?}: dialled for a client that had left");
        router.terminate();
    }
}

#[test]
fn a_dial_that_comes_up_in_the_wake_of_the_leave_carries_nothing() {
    for how in WAYS {
        let mut late = Endpoint::with_full_backlog();
        let mut site = RouterSetup::new(&[("e-1", &late)]);
        site.limits = r#""MostTries":9,"Cancelling":true,"DialTimeoutMs":9000.0"#;
        let router = Router::start(&format!("dial-{how:?}"), &site);
        let mut client = Client::connect(&router);
        client.send_request(1, "page", 1);
        wait_until("it dials", || router.counter("dials") == 1);
        router.pause();
        let _kept = leave(client, how);
        // The system connects by itself, also for a process that is stopped.
        late.accept_connections();
        assert_eq!(late.next_event(), Event::Connected(0));
        router.resume();
        wait_until("it is given up", || router.counter("aborted") == 1);
        assert_eq!(router.counter("dials"), 1, "{how:?}: nothing is dialled anew");
        router.terminate();
        assert_eq!(late.received_request_ids(), [""; 0], "{how:?}");
    }
}

#[test]
fn of_a_burst_that_leaves_at_once_only_what_is_still_wanted_is_sent() {
    let mut late = Endpoint::with_full_backlog();
    let mut site = RouterSetup::new(&[("e-1", &late)]);
    site.limits = r#""MostTries":9,"Cancelling":true,"DialTimeoutMs":9000.0"#;
    let router = Router::start("burst", &site);
    let mut stays = Client::connect(&router);
    stays.send_request(1, "page", 1);
    let mut clients: Vec<Client> = (0..9).map(|_| Client::connect(&router)).collect();
    for (at, client) in (1..).zip(&mut clients) {
        for request in 1..=20 {
            client.send_request(request, "page", at * 100 + u64::from(request));
        }
    }
    wait_until("all are taken", || router.counter("taken") == 181);
    router.pause();
    for (at, client) in clients.into_iter().enumerate() {
        leave(client, [Leaves::Closes, Leaves::Resets][at % 2]);
    }
    late.accept_connections();
    assert_eq!(late.next_event(), Event::Connected(0));
    router.resume();
    let asked = late.next_request();
    assert_eq!(asked.id, format!("{:016x}", 1));
    late.serve(&asked);
    assert_eq!(stays.status(1), 200);
    let log = router.terminate();
    assert!(log.contains("aborted=180 "), "{log}");
    assert_eq!(late.received_request_ids(), [""; 0]);
}

#[test]
fn what_is_asked_and_left_before_the_router_looks_is_neither_sent_nor_dialled_for() {
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
        // With bodies: more than a small read brings.
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
        assert!(!met(&endpoint), "{how:?}");
        assert_eq!(router.counter("attempts"), 0, "{how:?}");
        router.terminate();
    }
}
