//! One client that sends at full speed on one connection: others get their answers about as soon as without
//! it, and memory does not grow with what it sends.

mod rig;

use frostturn::fastcgi::{self, kind};
use rig::{Client, Endpoint, Router, RouterSetup};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long a flood lasts.
const FLOOD: Duration = Duration::from_millis(1500);
/// Interval between two requests of the polite client.
const POLITE_INTERVAL: Duration = Duration::from_millis(5);
/// The slowest answer to a polite client beside a flood: the aim of its class.
const SLOWEST_ALLOWED: Duration = Duration::from_millis(250);
const MEMORY_MB: u32 = 32;
/// Memory that the process may gain in a flood, in bytes: a part of its limit.
const MAX_GROWTH_BYTES: u64 = 12 << 20;

struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Serves every request at once.
fn serve_all(endpoint: Endpoint, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        while let Some(request) = endpoint.try_next_request() {
            endpoint.reply(&request, "DONE", "tell=cached,version=ab,stamp=1", b"served");
        }
        thread::sleep(Duration::from_micros(200));
    }
}

/// Returns the slowest of the answers to a client that sends one request after the other.
fn slowest_answer(router: &Router, span: Duration) -> Duration {
    let mut client = Client::connect(router);
    let (started, mut slowest, mut number) = (Instant::now(), Duration::ZERO, 0);
    while started.elapsed() < span {
        number += 1;
        let sent = Instant::now();
        client.send_request(1, "page", 0x900d << 32 | number);
        assert_eq!(client.status(1), 200, "after {:?}: {}", sent.elapsed(), router.log_text());
        slowest = slowest.max(sent.elapsed());
        thread::sleep(POLITE_INTERVAL);
    }
    slowest
}

/// Sends what `next` returns on one connection as fast as the router takes it, and connects again when it is
/// closed. Discards the answers, if `reads`.
fn flood(address: &str, stop: &AtomicBool, reads: bool, mut next: impl FnMut() -> Vec<u8>) -> usize {
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        stream.set_write_timeout(Some(Duration::from_millis(100))).expect("set");
        let mut reader = stream.try_clone().expect("a duplicate handle");
        let reading = thread::spawn(move || {
            let mut buffer = [0; 64 * 1024];
            while reads && matches!(reader.read(&mut buffer), Ok(1..)) {}
        });
        while !stop.load(Ordering::Relaxed) {
            let bytes = next();
            let mut rest = &bytes[..];
            while !rest.is_empty() && !stop.load(Ordering::Relaxed) {
                match stream.write(rest) {
                    Ok(written) => rest = &rest[written..],
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
            if !rest.is_empty() {
                break;
            }
            sent += bytes.len();
        }
        let _ = stream.shutdown(Shutdown::Both);
        reading.join().expect("it ends with the connection");
    }
    sent
}

fn begin(out: &mut Vec<u8>, request: u16, role: u8) {
    fastcgi::record(out, kind::BEGIN, request, &[0, role, 1, 0, 0, 0, 0, 0]);
}

/// Repeats a record for many request numbers.
fn repeated(write: impl Fn(&mut Vec<u8>, u16)) -> Vec<u8> {
    let mut out = Vec::new();
    (1..=400).for_each(|request| write(&mut out, request));
    out
}

/// Plays a flood beside a polite client, and asserts that it is served in time and that memory stays bounded.
fn play(name: &str, reads: bool, next: impl FnMut() -> Vec<u8> + Send) {
    let (endpoint, stop) = (Endpoint::new(), AtomicBool::new(false));
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    setup.memory_mb = MEMORY_MB;
    let router = Router::start(&format!("flood-{name}"), &setup);
    thread::scope(|scope| {
        let stopping = &stop;
        scope.spawn(move || serve_all(endpoint, stopping));
        let end = StopOnDrop(&stop);
        let alone = slowest_answer(&router, FLOOD / 5);
        let before = router.anonymous_bytes();
        let address = &router.address;
        let flooding = scope.spawn(move || flood(address, stopping, reads, next));
        let slowest = slowest_answer(&router, FLOOD);
        let grown = router.anonymous_bytes().saturating_sub(before);
        drop(end);
        let sent = flooding.join().expect("it has ended");
        println!(
            "{name}: alone {alone:?}, beside {slowest:?}, grown {} KB, sent {} KB",
            grown / 1024,
            sent / 1024
        );
        assert!(slowest < SLOWEST_ALLOWED, "{name}: {slowest:?}, {alone:?} alone");
        assert!(grown < MAX_GROWTH_BYTES, "{name}: {} KB", grown / 1024);
    });
    router.terminate();
}

/// Guards against a turn of the event loop that is as long as one client's input.
#[test]
fn a_flood_of_malformed_or_unusable_requests_delays_no_other_client() {
    play("classes", true, || {
        repeated(|out, request| {
            out.extend(Client::request_bytes(request, "nosuchclass", request.into(), 1, b""))
        })
    });
    play("aborts", true, || {
        repeated(|out, request| {
            begin(out, request, 1);
            fastcgi::record(out, kind::ABORT, request, b"");
        })
    });
    play("roles", true, || repeated(|out, request| begin(out, request, 9)));
    play("strays", true, || repeated(|out, request| fastcgi::record(out, kind::STDIN, request, b"")));
    play("management", true, || repeated(|out, _| fastcgi::record(out, 77, 0, b"")));
    play("garbage", true, || vec![0xff; 4096]);
    play("unread", false, || repeated(|out, request| begin(out, request, 9)));
}

/// Guards against tables that grow with every new name, and against work that each new name causes.
#[test]
fn a_flood_of_requests_under_ever_new_names_delays_no_other_client() {
    let mut number = 0;
    play("names", true, move || {
        let mut out = Vec::new();
        for request in 1..=200 {
            number += 1;
            let name = 0xf00d << 40 | number;
            out.extend(Client::request_bytes(request, "page", name, name, b""));
        }
        out
    });
    let mut number = 0;
    play("taken-back", true, move || {
        let mut out = Vec::new();
        for request in 1..=30 {
            number += 1;
            let name = 0xf00e << 40 | number;
            out.extend(Client::request_bytes(request, "page", name, name, b""));
            fastcgi::record(&mut out, kind::ABORT, request, b"");
        }
        out
    });
}
