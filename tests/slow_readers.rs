//! Clients that read 1 MB/s, the slowest that the platform specifies: no close of their connection may cost
//! them an answer that the router has already written, or the answer to a request sent before they can see
//! the close.

mod rig;

use rig::flow::CLOSE_RACE;
use rig::slow_reader::{LargeAnswers, Received, SlowClient, LARGEST_OBJECT_BYTES, SLOWEST_RATE};
use rig::{counter_in, operator_call, sleep_ms, wait_until, Client, Endpoint, Router, RouterSetup};
use std::io::Write;
use std::time::{Duration, Instant};

/// Requests sent at first: their answers take the client 1.9 s to read, but fit the kernel's send buffer.
const FIRST: u16 = 8;
/// Time that the operators allow for a drain.
const DRAINED_BY: Duration = Duration::from_millis(4000);

/// Starts a router whose one endpoint answers with the largest objects.
fn start(test: &str, sockets: u32) -> (Router, LargeAnswers) {
    let endpoint = Endpoint::new();
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    setup.options = vec!["--ops".into(), "127.0.0.1:0".into()];
    setup.sockets = sockets;
    let router = Router::start(test, &setup);
    (router, LargeAnswers::start(endpoint, LARGEST_OBJECT_BYTES))
}

/// Connects a slow client, and waits until its first requests are answered by the endpoint.
fn connect_and_ask(router: &Router, answers: &LargeAnswers, receive_buffer: Option<usize>) -> SlowClient {
    let mut client = SlowClient::connect(router, SLOWEST_RATE, receive_buffer);
    (1..=FIRST).for_each(|number| client.send(number));
    wait_until("the endpoint has answered", || answers.answered() >= usize::from(FIRST));
    sleep_ms(150);
    client
}

/// Asserts that nothing was lost, that the objects are whole and that the connection was not reset.
fn assert_nothing_lost(received: &Received, unanswered: &[u16], what: &str) {
    assert_eq!(unanswered, [0u16; 0], "{what}: {received:?}");
    let whole =
        |number: u16| received.answers.get(&number).is_some_and(|bytes| *bytes > LARGEST_OBJECT_BYTES);
    assert!((1..=FIRST).all(whole), "{what}: {received:?}");
    assert!(received.ended.is_some_and(|(_, reset)| !reset), "{what}: {received:?}");
}

/// Guards against a drain that closes a connection while its client reads, and resets it when more comes.
#[test]
fn a_slow_reader_that_goes_on_asking_during_a_drain_loses_no_answer() {
    // With a large receive buffer, all answers leave the router at once and wait at the client.
    for (what, receive_buffer) in [("usual window", None), ("large window", Some(4 << 20))] {
        let (router, answers) = start("slowreaderdrain", 256);
        let mut client = connect_and_ask(&router, &answers, receive_buffer);
        let evacuated = Instant::now();
        assert_eq!(operator_call(&router.operator_address(), "POST", "/api/evacuate", ""), 200);
        sleep_ms(1000);
        for number in FIRST + 1..=FIRST + 3 {
            client.send(number);
            sleep_ms(150);
        }
        let (received, unanswered) = client.finish(CLOSE_RACE);
        assert_nothing_lost(&received, &unanswered, what);
        let took = received.ended.expect("it ended").0 - evacuated;
        assert!(took < DRAINED_BY, "{what}: closed after {took:?}");
        assert_eq!(received.answers.len(), usize::from(FIRST) + 3, "{what}");
        let log = router.terminate();
        assert_eq!(counter_in(&log, "closed_unsent"), 0, "{what}: {log}");
    }
}

/// Guards against a drain that half-closes a connection whose client reads slower than 1 MB/s and goes on
/// asking, because a client of that rate would have read everything.
#[test]
fn a_client_that_reads_less_than_a_megabyte_a_second_loses_no_request_during_a_drain() {
    const BYTES_PER_MS: usize = SLOWEST_RATE * 2 / 5;
    /// The client asks until its answers are nearly read, beyond the end of the drain.
    const LATE_REQUESTS: u16 = 12;
    const REQUEST_INTERVAL_MS: u64 = 200;
    let (router, answers) = start("slowerreaderdrain", 256);
    let mut client = SlowClient::connect(&router, BYTES_PER_MS, None);
    (1..=FIRST).for_each(|number| client.send(number));
    wait_until("the endpoint has answered", || answers.answered() >= usize::from(FIRST));
    sleep_ms(150);
    assert_eq!(operator_call(&router.operator_address(), "POST", "/api/evacuate", ""), 200);
    // Refused, and so small, once the drain is 1.8 s old.
    sleep_ms(1900);
    for number in FIRST + 1..=FIRST + LATE_REQUESTS {
        client.send(number);
        sleep_ms(REQUEST_INTERVAL_MS);
    }
    let (received, unanswered) = client.finish(CLOSE_RACE);
    assert_nothing_lost(&received, &unanswered, "drain");
    assert_eq!(received.answers.len(), usize::from(FIRST + LATE_REQUESTS));
    router.terminate();
}

/// Guards against an idle timeout that closes a connection whose client still reads and then asks again.
#[test]
fn a_slow_reader_may_ask_again_after_the_idle_timeout() {
    const BYTES_PER_MS: usize = SLOWEST_RATE / 4;
    /// The idle timeout and the write timeout are over, the answers are not read yet.
    const SENT_LATE_MS: u64 = 6900;
    let (router, answers) = start("slowreaderagain", 256);
    let mut client = SlowClient::connect(&router, BYTES_PER_MS, None);
    (1..=FIRST).for_each(|number| client.send(number));
    wait_until("the endpoint has answered", || answers.answered() >= usize::from(FIRST));
    sleep_ms(SENT_LATE_MS);
    client.send(FIRST + 1);
    let (received, unanswered) = client.finish(CLOSE_RACE);
    assert_nothing_lost(&received, &unanswered, "idle");
    assert_eq!(received.answers.len(), usize::from(FIRST) + 1);
    router.terminate();
}

/// Guards against a process that exits while clients read: the abort would be answered by a reset.
#[test]
fn a_slow_reader_that_aborts_a_request_after_sigterm_loses_no_other_answer() {
    let (router, answers) = start("slowreaderterm", 256);
    let mut client = connect_and_ask(&router, &answers, None);
    router.signal("-TERM");
    for number in FIRST + 1..=FIRST + 3 {
        sleep_ms(140);
        client.send(number);
    }
    sleep_ms(1000);
    let mut abort = Vec::new();
    frostturn::fastcgi::record(&mut abort, frostturn::fastcgi::kind::ABORT, FIRST + 3, b"");
    client.stream.write_all(&abort).expect("the router still reads");
    let (received, unanswered) = client.finish(CLOSE_RACE);
    let others: Vec<u16> = unanswered.into_iter().filter(|number| *number != FIRST + 3).collect();
    assert_nothing_lost(&received, &others, "SIGTERM");
    router.wait_for_exit();
}

/// Guards against a lingering close that ends by its count of bytes while the client still reads.
#[test]
fn a_slow_reader_that_sends_megabytes_of_malformed_input_loses_no_answer() {
    const MALFORMED_BYTES: usize = 3 << 20;
    let (router, answers) = start("slowreaderjunk", 256);
    let client = connect_and_ask(&router, &answers, None);
    let mut stream = client.stream.try_clone().expect("a duplicate handle");
    // The router may stop reading, so that the write ends with the connection only.
    let writer = std::thread::spawn(move || drop(stream.write_all(&vec![0xff; MALFORMED_BYTES])));
    let (received, _) = client.finish(CLOSE_RACE);
    let whole = received.answers.values().filter(|bytes| **bytes > LARGEST_OBJECT_BYTES).count();
    assert_eq!(whole, usize::from(FIRST), "{received:?}");
    writer.join().expect("it has ended");
    assert_eq!(counter_in(&router.terminate(), "client_faults"), 1);
}

/// Guards against a lingering close that ends because many other connections linger.
#[test]
fn a_slow_reader_that_lingers_is_not_closed_to_make_room_for_others() {
    const MALFORMED: [u8; 64] = [0xff; 64];
    /// The limit on clients is 0.55 of this. At the limit, a twentieth may linger.
    const SOCKETS: u32 = 96;
    const MAX_CLIENTS: usize = 52;
    const OTHERS: usize = 10;
    let (router, answers) = start("slowreadermany", SOCKETS);
    let mut client = connect_and_ask(&router, &answers, None);
    let connect = || {
        let mut other = Client::connect(&router);
        other.stream.write_all(&Client::request_bytes(1, "/alive", 1, 1, b"")).expect("written");
        assert_eq!(other.status(1), 200);
        other
    };
    client.stream.write_all(&MALFORMED).expect("written");
    wait_until("it lingers", || router.counter("client_faults") == 1);
    let mut others: Vec<Client> = (0..MAX_CLIENTS).map(|_| connect()).collect();
    others.iter_mut().take(OTHERS).for_each(|other| other.stream.write_all(&MALFORMED).expect("written"));
    wait_until("all linger", || router.counter("client_faults") == 1 + OTHERS as u64);
    others.extend((0..OTHERS).map(|_| connect()));
    sleep_ms(50);
    let _ = client.stream.write_all(&MALFORMED); // It fails if the connection was reset.
    let (received, _) = client.finish(CLOSE_RACE);
    let whole = received.answers.values().filter(|bytes| **bytes > LARGEST_OBJECT_BYTES).count();
    assert_eq!(whole, usize::from(FIRST), "{received:?}");
    drop(others);
    router.terminate();
}

/// Guards against shedding a connection for its descriptor while its client still reads.
#[test]
fn a_slow_reader_is_not_shed_while_idle_clients_can_be() {
    const SOCKETS: u32 = 96;
    let (router, answers) = start("slowreadershed", SOCKETS);
    let mut client = connect_and_ask(&router, &answers, None);
    let mut idle = Vec::new();
    for _ in 0..SOCKETS {
        let mut other = Client::connect(&router);
        let alive = Client::request_bytes(1, "/alive", 1, 1, b"");
        other.stream.write_all(&alive).expect("written");
        assert_eq!(other.status(1), 200);
        idle.push(other);
    }
    assert!(router.counter("clients_shed") > 0, "descriptors run short");
    client.send(FIRST + 1);
    sleep_ms(100);
    drop(idle);
    // The connection is still in use; the client closes it once it has everything.
    wait_until("the endpoint has answered", || answers.answered() > usize::from(FIRST));
    router.signal("-TERM");
    let (received, unanswered) = client.finish(CLOSE_RACE);
    assert_nothing_lost(&received, &unanswered, "shedding");
    router.wait_for_exit();
}

/// Guards against an idle timeout that closes a connection while its client still reads.
#[test]
fn a_reader_slower_than_the_idle_timeout_loses_no_answer() {
    /// A quarter of the slowest rate: the answers take 7.7 s to read.
    const BYTES_PER_MS: usize = SLOWEST_RATE / 4;
    /// The idle timeout and a lingering close are over by then.
    const SENT_LATE_MS: u64 = 6000;
    let (router, answers) = start("slowreaderidle", 256);
    let mut client = SlowClient::connect(&router, BYTES_PER_MS, None);
    (1..=FIRST).for_each(|number| client.send(number));
    wait_until("the endpoint has answered", || answers.answered() >= usize::from(FIRST));
    sleep_ms(SENT_LATE_MS);
    let mut abort = Vec::new();
    frostturn::fastcgi::record(&mut abort, frostturn::fastcgi::kind::ABORT, FIRST + 1, b"");
    client.stream.write_all(&abort).expect("not reset");
    let (received, unanswered) = client.finish(CLOSE_RACE);
    assert_nothing_lost(&received, &unanswered, "idle");
    router.terminate();
}

/// Guards the bound of the wait: a client that reads nothing holds neither a drain nor a descriptor.
#[test]
fn a_client_that_reads_nothing_does_not_hold_a_drain() {
    let (router, answers) = start("neverreads", 256);
    let mut client = Client::connect(&router);
    for number in 1..=FIRST {
        client.send_request(number, "page", 0x6000 + u64::from(number));
    }
    wait_until("the endpoint has answered", || answers.answered() >= usize::from(FIRST));
    let evacuated = Instant::now();
    assert_eq!(operator_call(&router.operator_address(), "POST", "/api/evacuate", ""), 200);
    wait_until("no client is left", || router.log_text().contains("clients=0"));
    assert!(evacuated.elapsed() < DRAINED_BY + Duration::from_millis(500), "{:?}", evacuated.elapsed());
    // All answers are still there, followed by the close.
    let mut whole = Vec::new();
    std::io::Read::read_to_end(&mut client.stream, &mut whole).expect("closed without a reset");
    assert!(whole.len() > usize::from(FIRST) * LARGEST_OBJECT_BYTES, "{} bytes", whole.len());
    router.terminate();
}
