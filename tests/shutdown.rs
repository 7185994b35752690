//! Shutdown: requests that are open at SIGTERM, requests that arrive after it, and how connections are
//! closed.

mod rig;

use rig::{counter_in, sleep_ms, wait_until, Client, Endpoint, Event, Router, RouterSetup};
use std::io::Write;
use std::net::TcpStream;

/// New requests are accepted for this time after SIGTERM (the platform's specification grants 0.6 s).
const LISTEN_GRACE_MS: u64 = 700;

/// A setup with one endpoint, a single attempt per request and a long dial timeout, so that answers may be
/// delayed.
fn single_attempt_setup(endpoint: &Endpoint) -> RouterSetup {
    let mut setup = RouterSetup::new(&[("e-1", endpoint)]);
    setup.limits = r#""MostTries":1,"Cancelling":true,"DialTimeoutMs":5000.0"#;
    setup
}

/// Waits until the router accepts no more connections.
fn wait_for_closed_listener(router: &Router) {
    wait_until("the listener is closed", || TcpStream::connect(&router.address).is_err());
}

#[test]
fn requests_in_every_state_at_sigterm_are_answered() {
    let (near, mut late) = (Endpoint::new(), Endpoint::with_full_backlog());
    let router = Router::start("states", &single_attempt_setup(&near));
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    let half = near.next_request();
    client.send_request(2, "swap", 2);
    let whole = near.next_request();
    let mut dialling = single_attempt_setup(&late);
    dialling.limits = r#""MostTries":9,"Cancelling":true,"DialTimeoutMs":5000.0"#;
    let other = Router::start("dialling", &dialling);
    let mut waits = Client::connect(&other);
    waits.send_request(1, "page", 3);
    wait_until("a dial", || other.counter("dials") > 0);
    // A request being read: its second half arrives after the signal.
    let mut slow = Client::connect(&router);
    let bytes = Client::request_bytes(1, "page", 4, 0xab, b"body");
    slow.stream.write_all(&bytes[..bytes.len() / 2]).expect("written");
    // A half answer: the rest has arrived when the router continues, however late that is.
    near.write(half.conn, b"*4\r\n$16\r\n0000").expect("written");
    router.pause();
    router.signal("-TERM");
    other.signal("-TERM");
    near.write(half.conn, b"000000000001\r\n$4\r\nDONE\r\n$11\r\ntell=cached\r\n$1\r\nx\r\n")
        .expect("written");
    router.resume();
    router.wait_for_log("shutting down");
    slow.stream.write_all(&bytes[bytes.len() / 2..]).expect("written");
    let read = near.next_request();
    assert_eq!(read.id, format!("{:016x}", 4));
    near.serve(&read);
    near.serve(&whole);
    assert_eq!((client.status(1), client.status(2), slow.status(1)), (200, 200, 200));
    late.accept_connections();
    late.serve(&late.next_request());
    assert_eq!(waits.status(1), 200, "the dial completed after the signal");
    assert_eq!(
        (counter_in(&router.wait_for_exit(), "served"), counter_in(&other.wait_for_exit(), "served")),
        (3, 1)
    );
}

#[test]
fn a_request_received_together_with_sigterm_is_answered_despite_further_signals() {
    let endpoint = Endpoint::new();
    let router = Router::start("onewake", &single_attempt_setup(&endpoint));
    let mut idle = Client::connect(&router);
    idle.send_request(1, "/alive", 0);
    assert_eq!(idle.status(1), 200);
    router.pause();
    idle.send_request(2, "page", 1);
    router.signal("-TERM");
    router.signal("-HUP");
    router.resume();
    let received = endpoint.next_request();
    // Neither a second SIGTERM nor a reload ends the process sooner.
    router.signal("-TERM");
    router.signal("-HUP");
    router.wait_for_log("configuration reloaded");
    endpoint.serve(&received);
    assert_eq!(idle.status(2), 200);
    assert_eq!(counter_in(&router.wait_for_exit(), "served"), 1);
}

#[test]
fn requests_received_before_the_listener_closes_are_served_and_later_ones_are_not_forwarded() {
    let endpoint = Endpoint::new();
    let router = Router::start("door", &single_attempt_setup(&endpoint));
    let (mut busy, mut idle) = (Client::connect(&router), Client::connect(&router));
    busy.send_request(1, "page", 1);
    let first = endpoint.next_request();
    router.signal("-TERM");
    router.wait_for_log("shutting down");
    // Both the end of the grace period and a request happen while the router is paused.
    router.pause();
    sleep_ms(LISTEN_GRACE_MS);
    idle.send_request(1, "page", 2);
    router.resume();
    let second = endpoint.next_request();
    assert_eq!(second.id, format!("{:016x}", 2), "it arrived in time");
    wait_for_closed_listener(&router);
    // A connection with an outstanding answer may bring further requests for any time.
    busy.send_request(2, "page", 3);
    assert_eq!(busy.status(2), 503, "refused: the process could exit before answering it");
    endpoint.serve(&first);
    endpoint.serve(&second);
    assert_eq!((busy.status(1), idle.status(1)), (200, 200));
    router.wait_for_exit();
    assert_eq!(endpoint.received_request_ids(), [""; 0], "nothing more was sent");
}

#[test]
fn idle_clients_are_closed_without_a_reset_and_requests_crossing_the_close_are_discarded() {
    let endpoint = Endpoint::new();
    let mut router = Router::start("rests", &RouterSetup::new(&[("e-1", &endpoint)]));
    let (mut idle, mut other) = (Client::connect(&router), Client::connect(&router));
    for client in [&mut idle, &mut other] {
        client.send_request(1, "/alive", 0);
        assert_eq!(client.status(1), 200);
    }
    router.signal("-TERM");
    assert!(idle.is_closed(), "the router does not wait for an idle client");
    // Requests cross the close: they are neither answered with a reset nor forwarded.
    for at in 2..20 {
        idle.stream
            .write_all(&Client::request_bytes(at, "page", u64::from(at), 0xab, &[1; 4096]))
            .expect("no reset");
    }
    drop(idle);
    assert!(other.is_closed());
    drop(other);
    wait_until("exit of the process", || router.has_exited());
    assert_eq!(counter_in(&router.wait_for_exit(), "taken"), 0);
    assert_eq!(endpoint.received_request_ids(), [""; 0]);
}

#[test]
fn many_idle_clients_are_all_closed_without_a_reset() {
    let endpoint = Endpoint::new();
    let router = Router::start("restmany", &RouterSetup::new(&[("e-1", &endpoint)]));
    let mut idle: Vec<Client> = (0..40).map(|_| Client::connect(&router)).collect();
    for client in &mut idle {
        client.send_request(1, "/alive", 0);
        assert_eq!(client.status(1), 200);
    }
    router.signal("-TERM");
    // All are idle, so all are closed in one cycle. On each, requests that cross the close are discarded.
    for client in &mut idle {
        assert!(client.is_closed());
    }
    for client in &mut idle {
        for at in 2..5 {
            let bytes = Client::request_bytes(at, "page", u64::from(at), 0xab, &[1; 4096]);
            client.stream.write_all(&bytes).expect("no reset");
        }
    }
    drop(idle);
    router.wait_for_exit();
    assert_eq!(endpoint.received_request_ids(), [""; 0]);
}

#[test]
fn connections_in_the_accept_queue_when_the_listener_closes_are_answered() {
    let endpoint = Endpoint::new();
    let mut setup = single_attempt_setup(&endpoint);
    setup.sockets = 40; // Of these, 22 are for clients.
    let router = Router::start("queue", &setup);
    let mut busy: Vec<Client> = Vec::new();
    let mut outstanding = Vec::new();
    for at in 0..22 {
        let mut client = Client::connect(&router);
        client.send_request(1, "page", at);
        outstanding.push(endpoint.next_request());
        busy.push(client);
    }
    // The number of clients is at its limit, and all are busy: the kernel queues these connections.
    let mut waiting: Vec<Client> = (0..3).map(|_| Client::connect(&router)).collect();
    for (at, client) in waiting.iter_mut().enumerate() {
        client.send_request(1, "page", 100 + at as u64);
    }
    router.signal("-TERM");
    router.wait_for_log("shutting down");
    sleep_ms(LISTEN_GRACE_MS + 100);
    outstanding.iter().for_each(|request| endpoint.serve(request));
    for client in &mut busy {
        assert_eq!(client.status(1), 200);
    }
    for client in &mut waiting {
        assert_eq!(client.status(1), 503, "refused: it is read too late to be forwarded");
    }
    drop((busy, waiting));
    router.wait_for_exit();
    assert_eq!(endpoint.received_request_ids(), [""; 0], "nothing more was sent");
}

#[test]
fn a_half_received_request_is_refused_with_an_answer_instead_of_a_close() {
    let endpoint = Endpoint::new();
    let router = Router::start("half", &RouterSetup::new(&[("e-1", &endpoint)]));
    let mut slow = Client::connect(&router);
    let bytes = Client::request_bytes(1, "page", 1, 0xab, b"body");
    slow.stream.write_all(&bytes[..bytes.len() / 2]).expect("written");
    router.signal("-TERM");
    wait_for_closed_listener(&router);
    slow.stream.write_all(&bytes[bytes.len() / 2..]).expect("written");
    assert_eq!(slow.status(1), 503, "too late to be forwarded, and refused");
    router.wait_for_exit();
    assert_eq!(endpoint.received_request_ids(), [""; 0]);
}

#[test]
fn the_process_exits_despite_hanging_endpoints_clients_that_do_not_read_and_half_requests() {
    let endpoint = Endpoint::new();
    let mut setup = single_attempt_setup(&endpoint);
    setup.memory_mb = 48;
    let router = Router::start("hangs", &setup);
    let mut waits = Client::connect(&router);
    waits.send_request(1, "page", 1);
    endpoint.next_request();
    // A client that sends but doesn't read: answers of 240 KB each, until the router stops reading from it.
    let mut non_reading = Client::connect(&router);
    for at in 1..=20 {
        non_reading
            .stream
            .write_all(&Client::request_bytes(at, "page", 100 + u64::from(at), 0xab, b""))
            .expect("written");
        let received = endpoint.next_request();
        endpoint.reply(&received, "DONE", "tell=cached,version=ab,stamp=1", &[b'x'; 240_000]);
    }
    let mut half = Client::connect(&router);
    half.stream.write_all(&Client::request_bytes(1, "page", 2, 0xab, b"")[..40]).expect("written");
    router.signal("-TERM");
    let status = waits.status(1);
    assert!(status == 502 || status == 503, "answered in time: {status}");
    let log = router.wait_for_exit();
    assert_eq!(counter_in(&log, "panics"), 0, "{log}");
    drop(non_reading);
}

#[test]
fn a_new_process_starts_and_serves_while_the_old_one_drains() {
    let endpoint = Endpoint::new();
    let old = Router::start("drains", &single_attempt_setup(&endpoint));
    let mut before = Client::connect(&old);
    before.send_request(1, "page", 1);
    let outstanding = endpoint.next_request();
    old.signal("-TERM");
    wait_for_closed_listener(&old);
    let mut setup = single_attempt_setup(&endpoint);
    setup.options = vec!["--listen".into(), old.address.clone()];
    let new = Router::start("follows", &setup);
    assert_eq!(new.address, old.address);
    let mut after = Client::connect(&new);
    after.send_request(1, "page", 2);
    endpoint.serve(&endpoint.next_request());
    assert_eq!(after.status(1), 200);
    endpoint.serve(&outstanding);
    assert_eq!(before.status(1), 200);
    assert_eq!((counter_in(&old.wait_for_exit(), "served"), counter_in(&new.terminate(), "served")), (1, 1));
    assert!(
        endpoint.received_events().iter().all(|event| !matches!(event, Event::Disconnected(_, true))),
        "no resets"
    );
}

#[test]
fn signals_received_until_the_exit_do_not_change_the_exit_status() {
    use rustix::process::{kill_process, waitid, Pid, Signal, WaitId, WaitIdOptions};
    use std::sync::atomic::{AtomicBool, Ordering};
    let endpoint = Endpoint::new();
    let router = Router::start("signals", &single_attempt_setup(&endpoint));
    let pid = Pid::from_raw(router.pid() as i32).expect("a number");
    let exited = std::sync::Arc::new(AtomicBool::new(false));
    router.signal("-TERM");
    // A signal is pending at every moment, also when the event loop is gone and the process still runs.
    let sender = std::thread::spawn({
        let exited = exited.clone();
        move || {
            while !exited.load(Ordering::Relaxed) {
                kill_process(pid, Signal::HUP).expect("the process exists until it is waited for");
            }
        }
    });
    // The process id is not reused until the rig waits for the process.
    waitid(WaitId::Pid(pid), WaitIdOptions::EXITED | WaitIdOptions::NOWAIT).expect("a child");
    exited.store(true, Ordering::Relaxed);
    sender.join().expect("no panic");
    router.wait_for_exit();
}
