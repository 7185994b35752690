//! Shutdown: what is open when the process is told to end, what still comes, and how connections are closed.

mod rig;

use rig::{counter_in, sleep_ms, wait_until, Client, Endpoint, Event, Router, RouterSetup};
use std::io::Write;
use std::net::TcpStream;

/// From the signal on, new requests are taken for so long (the platform's page gives 0.6 s).
const DOOR_MS: u64 = 700;

/// A site of one endpoint whose answers may be held: nothing is tried twice, and a dial may take long.
fn once(endpoint: &Endpoint) -> RouterSetup {
    let mut site = RouterSetup::new(&[("e-1", endpoint)]);
    site.limits = r#""MostTries":1,"Cancelling":true,"DialTimeoutMs":5000.0"#;
    site
}

/// Waits until the router takes no more connections.
fn door_shut(router: &Router) {
    wait_until("the listener is closed", || TcpStream::connect(&router.address).is_err());
}

#[test]
fn requests_in_every_state_at_the_signal_are_answered() {
    let (near, mut late) = (Endpoint::new(), Endpoint::with_full_backlog());
    let router = Router::start("states", &once(&near));
    let mut client = Client::connect(&router);
    client.send_request(1, "page", 1);
    let half = near.next_request();
    client.send_request(2, "swap", 2);
    let whole = near.next_request();
    let mut dialling = once(&late);
    dialling.limits = r#""MostTries":9,"Cancelling":true,"DialTimeoutMs":5000.0"#;
    let other = Router::start("dialling", &dialling);
    let mut waits = Client::connect(&other);
    waits.send_request(1, "page", 3);
    wait_until("it dials", || other.counter("dials") > 0);
    // Being read: its second half comes after the signal.
    let mut slow = Client::connect(&router);
    let bytes = Client::request_bytes(1, "page", 4, 0xab, b"body");
    slow.stream.write_all(&bytes[..bytes.len() / 2]).expect("written");
    // Half answered: the rest is there when it looks again, however late that is.
    near.write(half.conn, b"*4\r\n$16\r\n0000").expect("written");
    router.pause();
    router.signal("-TERM");
    other.signal("-TERM");
    near.write(half.conn, b"000000000001\r\n$4\r\nDONE\r\n$11\r\ntell=cached\r\n$1\r\nx\r\n")
        .expect("written");
    router.resume();
    router.wait_for_log("told to end");
    slow.stream.write_all(&bytes[bytes.len() / 2..]).expect("written");
    let read = near.next_request();
    assert_eq!(read.id, format!("{:016x}", 4));
    near.serve(&read);
    near.serve(&whole);
    assert_eq!((client.status(1), client.status(2), slow.status(1)), (200, 200, 200));
    late.accept_connections();
    late.serve(&late.next_request());
    assert_eq!(waits.status(1), 200, "its dial came up after the signal");
    assert_eq!(
        (counter_in(&router.wait_for_exit(), "served"), counter_in(&other.wait_for_exit(), "served")),
        (3, 1)
    );
}

#[test]
fn a_request_and_the_signal_in_one_wake_and_a_second_signal_leave_it_answered() {
    let endpoint = Endpoint::new();
    let router = Router::start("onewake", &once(&endpoint));
    let mut resting = Client::connect(&router);
    resting.send_request(1, "/alive", 0);
    assert_eq!(resting.status(1), 200);
    router.pause();
    resting.send_request(2, "page", 1);
    router.signal("-TERM");
    router.signal("-HUP");
    router.resume();
    let asked = endpoint.next_request();
    // Again, and a config that is gone: neither ends it sooner.
    router.signal("-TERM");
    router.signal("-HUP");
    router.wait_for_log("config read anew");
    endpoint.serve(&asked);
    assert_eq!(resting.status(2), 200);
    assert_eq!(counter_in(&router.wait_for_exit(), "served"), 1);
}

#[test]
fn what_came_before_the_door_shut_is_served_and_what_is_read_after_is_sent_nowhere() {
    let endpoint = Endpoint::new();
    let router = Router::start("door", &once(&endpoint));
    let (mut busy, mut resting) = (Client::connect(&router), Client::connect(&router));
    busy.send_request(1, "page", 1);
    let first = endpoint.next_request();
    router.signal("-TERM");
    router.wait_for_log("told to end");
    // Its door is due to shut and a request is there, both before it looks.
    router.pause();
    sleep_ms(DOOR_MS);
    resting.send_request(1, "page", 2);
    router.resume();
    let second = endpoint.next_request();
    assert_eq!(second.id, format!("{:016x}", 2), "it came in time");
    door_shut(&router);
    // On a connection that still awaits an answer more may come for as long as the client likes.
    busy.send_request(2, "page", 3);
    assert_eq!(busy.status(2), 503, "refused: the process could end before its answer");
    endpoint.serve(&first);
    endpoint.serve(&second);
    assert_eq!((busy.status(1), resting.status(1)), (200, 200));
    router.wait_for_exit();
    assert_eq!(endpoint.received_request_ids(), [""; 0], "nothing more was sent");
}

#[test]
fn clients_that_rest_are_closed_without_a_reset_and_what_crosses_the_close_is_read_away() {
    let endpoint = Endpoint::new();
    let mut router = Router::start("rests", &RouterSetup::new(&[("e-1", &endpoint)]));
    let (mut resting, mut other) = (Client::connect(&router), Client::connect(&router));
    for client in [&mut resting, &mut other] {
        client.send_request(1, "/alive", 0);
        assert_eq!(client.status(1), 200);
    }
    router.signal("-TERM");
    assert!(resting.is_closed(), "nobody waits for a client that rests");
    // The request was on its way as the close was: it is neither reset nor sent on.
    for at in 2..20 {
        resting
            .stream
            .write_all(&Client::request_bytes(at, "page", u64::from(at), 0xab, &[1; 4096]))
            .expect("no reset");
    }
    drop(resting);
    assert!(other.is_closed());
    drop(other);
    wait_until("its end", || router.has_exited());
    assert_eq!(counter_in(&router.wait_for_exit(), "taken"), 0);
    assert_eq!(endpoint.received_request_ids(), [""; 0]);
}

#[test]
fn many_clients_that_rest_are_all_closed_without_a_reset() {
    let endpoint = Endpoint::new();
    let router = Router::start("restmany", &RouterSetup::new(&[("e-1", &endpoint)]));
    let mut resting: Vec<Client> = (0..40).map(|_| Client::connect(&router)).collect();
    for client in &mut resting {
        client.send_request(1, "/alive", 0);
        assert_eq!(client.status(1), 200);
    }
    router.signal("-TERM");
    // All of them rest, so all are closed in one turn. What crosses the close is read away on each.
    for client in &mut resting {
        assert!(client.is_closed());
    }
    for client in &mut resting {
        for at in 2..5 {
            let bytes = Client::request_bytes(at, "page", u64::from(at), 0xab, &[1; 4096]);
            client.stream.write_all(&bytes).expect("no reset");
        }
    }
    drop(resting);
    router.wait_for_exit();
    assert_eq!(endpoint.received_request_ids(), [""; 0]);
}

#[test]
fn a_connection_that_waits_in_the_accept_queue_as_the_listener_closes_is_answered() {
    let endpoint = Endpoint::new();
    let mut site = once(&endpoint);
    site.sockets = 40; // 22 of them for clients.
    let router = Router::start("queue", &site);
    let mut busy: Vec<Client> = Vec::new();
    let mut held = Vec::new();
    for at in 0..22 {
        let mut client = Client::connect(&router);
        client.send_request(1, "page", at);
        held.push(endpoint.next_request());
        busy.push(client);
    }
    // As many clients as may be, all of them busy: these are let in by the system, and wait.
    let mut waiting: Vec<Client> = (0..3).map(|_| Client::connect(&router)).collect();
    for (at, client) in waiting.iter_mut().enumerate() {
        client.send_request(1, "page", 100 + at as u64);
    }
    router.signal("-TERM");
    router.wait_for_log("told to end");
    sleep_ms(DOOR_MS + 100);
    held.iter().for_each(|asked| endpoint.serve(asked));
    for client in &mut busy {
        assert_eq!(client.status(1), 200);
    }
    for client in &mut waiting {
        assert_eq!(client.status(1), 503, "refused: it is read too late to be sent on");
    }
    drop((busy, waiting));
    router.wait_for_exit();
    assert_eq!(endpoint.received_request_ids(), [""; 0], "nothing more was sent");
}

#[test]
fn a_request_that_is_half_there_at_the_end_is_answered_and_not_cut_off() {
    let endpoint = Endpoint::new();
    let router = Router::start("half", &RouterSetup::new(&[("e-1", &endpoint)]));
    let mut slow = Client::connect(&router);
    let bytes = Client::request_bytes(1, "page", 1, 0xab, b"body");
    slow.stream.write_all(&bytes[..bytes.len() / 2]).expect("written");
    router.signal("-TERM");
    door_shut(&router);
    slow.stream.write_all(&bytes[bytes.len() / 2..]).expect("written");
    assert_eq!(slow.status(1), 503, "too late to be sent on, and told so");
    router.wait_for_exit();
    assert_eq!(endpoint.received_request_ids(), [""; 0]);
}

#[test]
fn it_ends_though_endpoints_hang_clients_send_without_reading_or_never_finish() {
    let endpoint = Endpoint::new();
    let mut site = once(&endpoint);
    site.memory_mb = 48;
    let router = Router::start("hangs", &site);
    let mut waits = Client::connect(&router);
    waits.send_request(1, "page", 1);
    endpoint.next_request();
    // Sends and doesn't read: answers of 240 KB until the router hears it no more.
    let mut deaf = Client::connect(&router);
    for at in 1..=20 {
        deaf.stream
            .write_all(&Client::request_bytes(at, "page", 100 + u64::from(at), 0xab, b""))
            .expect("written");
        let asked = endpoint.next_request();
        endpoint.reply(&asked, "DONE", "tell=cached,version=ab,stamp=1", &[b'x'; 240_000]);
    }
    let mut half = Client::connect(&router);
    half.stream.write_all(&Client::request_bytes(1, "page", 2, 0xab, b"")[..40]).expect("written");
    router.signal("-TERM");
    let status = waits.status(1);
    assert!(status == 502 || status == 503, "given up in time: {status}");
    let log = router.wait_for_exit();
    assert_eq!(counter_in(&log, "panics"), 0, "{log}");
    drop(deaf);
}

#[test]
fn one_starts_beside_another_that_still_drains() {
    let endpoint = Endpoint::new();
    let old = Router::start("drains", &once(&endpoint));
    let mut before = Client::connect(&old);
    before.send_request(1, "page", 1);
    let held = endpoint.next_request();
    old.signal("-TERM");
    door_shut(&old);
    let mut site = once(&endpoint);
    site.options = vec!["--listen".into(), old.address.clone()];
    let new = Router::start("follows", &site);
    assert_eq!(new.address, old.address);
    let mut after = Client::connect(&new);
    after.send_request(1, "page", 2);
    endpoint.serve(&endpoint.next_request());
    assert_eq!(after.status(1), 200);
    endpoint.serve(&held);
    assert_eq!(before.status(1), 200);
    assert_eq!((counter_in(&old.wait_for_exit(), "served"), counter_in(&new.terminate(), "served")), (1, 1));
    assert!(
        endpoint.received_events().iter().all(|event| !matches!(event, Event::Disconnected(_, true))),
        "no resets"
    );
}

#[test]
fn signals_that_come_until_the_very_end_leave_it_a_good_end() {
    use rustix::process::{kill_process, waitid, Pid, Signal, WaitId, WaitIdOptions};
    use std::sync::atomic::{AtomicBool, Ordering};
    let endpoint = Endpoint::new();
    let router = Router::start("signals", &once(&endpoint));
    let pid = Pid::from_raw(router.pid() as i32).expect("a number");
    let over = std::sync::Arc::new(AtomicBool::new(false));
    router.signal("-TERM");
    // One is pending at every moment, also as the event loop is gone and the process is not.
    let sends = std::thread::spawn({
        let over = over.clone();
        move || {
            while !over.load(Ordering::Relaxed) {
                kill_process(pid, Signal::HUP).expect("it is there until it is waited for");
            }
        }
    });
    // Its number stays its own until the rig takes its status.
    waitid(WaitId::Pid(pid), WaitIdOptions::EXITED | WaitIdOptions::NOWAIT).expect("a child");
    over.store(true, Ordering::Relaxed);
    sends.join().expect("no panic");
    router.wait_for_exit();
}
