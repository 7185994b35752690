//! Drain and shutdown of a router while its clients keep sending: connections that never become idle are
//! closed in time.

mod rig;

use rig::flow::{delay_answers, until_closed, SendPattern, Transcript, CLOSE_RACE};
use rig::{counter_in, operator_call, Client, Endpoint, Router, RouterSetup};
use std::io::{ErrorKind, Read, Write};
use std::time::{Duration, Instant};

/// Time that the operators allow for a drain.
const DRAINED_BY: Duration = Duration::from_millis(4000);
/// Time between the longest deadline and SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);

const PATTERNS: [SendPattern; 2] = [SendPattern::Overlapping, SendPattern::Split];

/// A setup with one endpoint and the operators' interface.
fn setup_with_operators(endpoint: &Endpoint) -> RouterSetup {
    let mut setup = RouterSetup::new(&[("e-1", endpoint)]);
    setup.options = vec!["--ops".into(), "127.0.0.1:0".into()];
    setup
}

/// Asserts that every accepted request was answered exactly once, and that the connection was closed without
/// a reset.
fn assert_answered_and_closed(transcript: &Transcript, what: &str) {
    assert_eq!(transcript.unanswered(), [0u16; 0], "{what}: {transcript:?}");
    assert_eq!(transcript.answered_twice(), [0u16; 0], "{what}");
    assert!(transcript.ended.is_some_and(|(_, reset)| !reset), "{what}: {:?}", transcript.ended);
}

#[test]
fn a_connection_that_never_becomes_idle_is_closed_within_the_drain_time() {
    for pattern in PATTERNS {
        let endpoint = Endpoint::new();
        let router = Router::start("neverrests", &setup_with_operators(&endpoint));
        let client = Client::connect(&router);
        let holding = delay_answers(endpoint, 2);
        let ops = router.operator_address();
        let evacuated = Instant::now();
        assert_eq!(operator_call(&ops, "POST", "/api/evacuate", ""), 200);
        let transcript = until_closed(client, pattern, 2900, evacuated + DRAINED_BY);
        let took = transcript.ended.expect("read to its end").0 - evacuated;
        assert!(took < DRAINED_BY, "{pattern:?}: open after {took:?}");
        assert_answered_and_closed(&transcript, &format!("{pattern:?}"));
        let statuses = transcript.statuses_after(evacuated);
        assert!(statuses.iter().filter(|status| **status == 200).count() > 20, "{pattern:?}: {statuses:?}");
        assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{pattern:?}: {statuses:?}");
        router.terminate();
        drop(holding);
    }
}

#[test]
fn clients_that_keep_sending_are_answered_and_closed_before_sigkill() {
    for (pattern, deadline_ms) in PATTERNS.into_iter().flat_map(|pattern| [(pattern, 3000), (pattern, 300)]) {
        let what = format!("{pattern:?}, deadline {deadline_ms} ms");
        let endpoint = Endpoint::new();
        let mut setup = setup_with_operators(&endpoint);
        setup.deadline_ms = deadline_ms;
        let router = Router::start("untilkill", &setup);
        let client = Client::connect(&router);
        let holding = delay_answers(endpoint, 2);
        router.signal("-TERM");
        let kill = Instant::now() + Duration::from_millis(deadline_ms) + KILL_MARGIN;
        let transcript = until_closed(client, pattern, deadline_ms, kill);
        assert_answered_and_closed(&transcript, &what);
        let half =
            transcript.requests.values().find(|sent| sent.complete.is_none() && sent.answers.is_empty());
        let end = transcript.ended.expect("it ended").0;
        let cut = half.is_some_and(|half| half.begun + CLOSE_RACE < end);
        assert!(!cut, "{what}: a partly received request was not answered: {half:?}");
        let log = router.wait_for_exit();
        assert!(!log.contains("client_closed_process_exit"), "{what}: {log}");
        assert_eq!(counter_in(&log, "panics"), 0);
        drop(holding);
    }
}

#[test]
fn a_slow_reader_that_keeps_sending_receives_all_answers_and_is_closed() {
    const BODY: usize = 240_000;
    /// Bytes per read, and the pause after it: about 2 MB per second, which is less than the client requests.
    const READ_BYTES: usize = 16 * 1024;
    const READ_PAUSE: Duration = Duration::from_millis(8);
    const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
    let endpoint = Endpoint::new();
    let router = Router::start("slowdrain", &setup_with_operators(&endpoint));
    let mut stream = Client::connect(&router).stream;
    stream.set_read_timeout(Some(Duration::from_millis(1))).expect("set");
    let evacuated = Instant::now();
    assert_eq!(operator_call(&router.operator_address(), "POST", "/api/evacuate", ""), 200);
    let (mut sent_at, mut bytes, mut part) = (Vec::new(), Vec::new(), [0; READ_BYTES]);
    let ended = loop {
        if sent_at.last().is_none_or(|at: &Instant| at.elapsed() > REQUEST_INTERVAL) {
            let number = sent_at.len() as u16 + 1;
            let request = Client::request_bytes(number, "page", u64::from(number), 0xab, b"");
            let written = stream.write_all(&request);
            sent_at.extend(written.is_ok().then(Instant::now));
        }
        if let Some(request) = endpoint.try_next_request() {
            endpoint.reply(&request, "DONE", "tell=cached,version=ab,stamp=1", &[b'x'; BODY]);
        }
        match stream.read(&mut part) {
            Ok(0) => break Instant::now(),
            Ok(read) => bytes.extend_from_slice(&part[..read]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => panic!("reset: {e}"),
        }
        std::thread::sleep(READ_PAUSE);
    };
    let mut decoder = frostturn::fastcgi::Decoder::default();
    decoder.feed(&bytes);
    let records = std::iter::from_fn(|| decoder.next_record().expect("whole"));
    let answered = records.filter(|record| record.kind == frostturn::fastcgi::kind::END).count();
    let owed = sent_at.iter().filter(|at| **at + CLOSE_RACE < ended).count();
    let took = ended - evacuated;
    assert!(answered >= owed, "{answered} answers, {owed} owed, closed after {took:?}");
    assert!(bytes.len() > 5 * BODY, "{} bytes", bytes.len());
    // The time that the client takes to read doesn't count.
    assert!(took > Duration::from_millis(1800) && took < DRAINED_BY * 2, "closed after {took:?}");
    router.terminate();
}
