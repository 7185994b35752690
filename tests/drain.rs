//! Emptying a router, and ending it, while its clients go on sending: no connection waits for a rest that never comes.

mod rig;

use rig::flow::{hold_back, until_closed, Seen, Shape, CROSSES};
use rig::{counter_in, operator_call, Client, Endpoint, Router, RouterSetup};
use std::io::{ErrorKind, Read, Write};
use std::time::{Duration, Instant};

/// What the operators grant an evacuation.
const DRAINED_BY: Duration = Duration::from_millis(4000);
/// What SIGKILL grants beyond the longest deadline.
const KILL_MORE: Duration = Duration::from_millis(700);

const SHAPES: [Shape; 2] = [Shape::Overlapping, Shape::InPieces];

/// A site of one endpoint whose router can be called by operators.
fn called(endpoint: &Endpoint) -> RouterSetup {
    let mut site = RouterSetup::new(&[("e-1", endpoint)]);
    site.options = vec!["--ops".into(), "127.0.0.1:0".into()];
    site
}

/// All that was taken is answered once, and the connection has ended without a reset.
fn kept_its_word(seen: &Seen, what: &str) {
    assert_eq!(seen.unanswered(), [0u16; 0], "{what}: {seen:?}");
    assert_eq!(seen.answered_twice(), [0u16; 0], "{what}");
    assert!(seen.ended.is_some_and(|(_, reset)| !reset), "{what}: {:?}", seen.ended);
}

#[test]
fn a_connection_that_is_never_at_rest_is_closed_in_the_time_of_a_drain() {
    for shape in SHAPES {
        let endpoint = Endpoint::new();
        let router = Router::start("neverrests", &called(&endpoint));
        let client = Client::connect(&router);
        let holding = hold_back(endpoint, 2);
        let ops = router.operator_address();
        let evacuated = Instant::now();
        assert_eq!(operator_call(&ops, "POST", "/api/evacuate", ""), 200);
        let seen = until_closed(client, shape, 2900, evacuated + DRAINED_BY);
        let took = seen.ended.expect("read to its end").0 - evacuated;
        assert!(took < DRAINED_BY, "{shape:?}: open after {took:?}");
        kept_its_word(&seen, &format!("{shape:?}"));
        let statuses = seen.statuses_after(evacuated);
        assert!(statuses.iter().filter(|status| **status == 200).count() > 20, "{shape:?}: {statuses:?}");
        assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{shape:?}: {statuses:?}");
        router.terminate();
        drop(holding);
    }
}

#[test]
fn clients_that_send_until_the_kill_are_answered_and_closed_before_it() {
    for (shape, deadline_ms) in SHAPES.into_iter().flat_map(|shape| [(shape, 3000), (shape, 300)]) {
        let what = format!("{shape:?}, deadline {deadline_ms} ms");
        let endpoint = Endpoint::new();
        let mut site = called(&endpoint);
        site.deadline_ms = deadline_ms;
        let router = Router::start("untilkill", &site);
        let client = Client::connect(&router);
        let holding = hold_back(endpoint, 2);
        router.signal("-TERM");
        let kill = Instant::now() + Duration::from_millis(deadline_ms) + KILL_MORE;
        let seen = until_closed(client, shape, deadline_ms, kill);
        kept_its_word(&seen, &what);
        let half = seen.requests.values().find(|sent| sent.whole.is_none() && sent.answers.is_empty());
        let end = seen.ended.expect("it ended").0;
        let cut = half.is_some_and(|half| half.begun + CROSSES < end);
        assert!(!cut, "{what}: a request that had begun to come was left without a word: {half:?}");
        let log = router.wait_for_exit();
        assert!(!log.contains("client_closed_process_exit"), "{what}: {log}");
        assert_eq!(counter_in(&log, "panics"), 0);
        drop(holding);
    }
}

#[test]
fn a_slow_reader_gets_all_it_is_owed_and_is_closed_though_it_goes_on_asking() {
    const BODY: usize = 240_000;
    /// What is read at once, and the pause behind it: some 2 MB a second, where more than that is asked for.
    const PART: usize = 16 * 1024;
    const PAUSE: Duration = Duration::from_millis(8);
    const GAP: Duration = Duration::from_millis(20);
    let endpoint = Endpoint::new();
    let router = Router::start("slowdrain", &called(&endpoint));
    let mut stream = Client::connect(&router).stream;
    stream.set_read_timeout(Some(Duration::from_millis(1))).expect("set");
    let evacuated = Instant::now();
    assert_eq!(operator_call(&router.operator_address(), "POST", "/api/evacuate", ""), 200);
    let (mut asked_at, mut bytes, mut part) = (Vec::new(), Vec::new(), [0; PART]);
    let ended = loop {
        if asked_at.last().is_none_or(|at: &Instant| at.elapsed() > GAP) {
            let number = asked_at.len() as u16 + 1;
            let request = Client::request_bytes(number, "page", u64::from(number), 0xab, b"");
            let written = stream.write_all(&request);
            asked_at.extend(written.is_ok().then(Instant::now));
        }
        if let Some(asked) = endpoint.try_next_request() {
            endpoint.reply(&asked, "DONE", "tell=cached,version=ab,stamp=1", &[b'x'; BODY]);
        }
        match stream.read(&mut part) {
            Ok(0) => break Instant::now(),
            Ok(read) => bytes.extend_from_slice(&part[..read]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => panic!("reset: {e}"),
        }
        std::thread::sleep(PAUSE);
    };
    let mut decoder = frostturn::fastcgi::Decoder::default();
    decoder.feed(&bytes);
    let records = std::iter::from_fn(|| decoder.next_record().expect("whole"));
    let answered = records.filter(|record| record.kind == frostturn::fastcgi::kind::END).count();
    let owed = asked_at.iter().filter(|at| **at + CROSSES < ended).count();
    let took = ended - evacuated;
    assert!(answered >= owed, "{answered} answers, {owed} owed, closed after {took:?}");
    assert!(bytes.len() > 5 * BODY, "{} bytes", bytes.len());
    // What its client takes to read doesn't count.
    assert!(took > Duration::from_millis(1800) && took < DRAINED_BY * 2, "closed after {took:?}");
    router.terminate();
}
