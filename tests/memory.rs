//! Hundreds of clients at once that write slowly, stop half way or send excessive parameters: the process
//! stays below its memory limit, and a client that behaves is served.

mod rig;

use frostturn::fastcgi::{self, kind};
use frostturn::resp;
use rig::slow_reader::{SlowClient, LARGEST_OBJECT_BYTES, SLOWEST_RATE};
use rig::{sleep_ms, Client, Endpoint, ReceivedRequest, Router, RouterSetup};
use std::collections::VecDeque;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u32 = 32;
/// The platform kills a process that holds more.
const LIMIT_BYTES: u64 = MEMORY_MB as u64 * 1_048_576;
/// The most that the platform's days have.
const SOCKETS: u32 = 1024;
/// Nearly as many clients as the router accepts with these descriptors.
const CLIENTS: u64 = 540;

fn begin(out: &mut Vec<u8>, request: u16) {
    fastcgi::record(out, kind::BEGIN, request, &[0, 1, 1, 0, 0, 0, 0, 0]);
}

/// Writes as much as the router takes at once.
fn write_some(client: &mut Client, bytes: &[u8]) {
    client.stream.set_nonblocking(true).expect("set");
    let _ = client.stream.write(bytes); // It may have been closed.
    client.stream.set_nonblocking(false).expect("set");
}

/// Plays clients that each send these bytes in parts, and returns the peak of the process's own memory. Another
/// client must be served meanwhile.
fn play(test: &str, bytes_of: impl Fn(u64) -> Vec<u8>, part_bytes: usize) -> u64 {
    let endpoint = Endpoint::new();
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    (setup.memory_mb, setup.sockets) = (MEMORY_MB, SOCKETS);
    let router = Router::start(test, &setup);
    let mut clients: Vec<(Client, Vec<u8>)> =
        (0..CLIENTS).map(|at| (Client::connect(&router), bytes_of(at))).collect();
    let (mut peak, mut number) = (0, 0);
    let longest = clients.iter().map(|(_, bytes)| bytes.len()).max().unwrap_or(0);
    let mut good = Client::connect(&router);
    for start in (0..longest).step_by(part_bytes) {
        for (client, bytes) in &mut clients {
            let part = &bytes[start.min(bytes.len())..(start + part_bytes).min(bytes.len())];
            write_some(client, part);
        }
        peak = peak.max(router.anonymous_bytes());
        number += 1;
        good.send_request(number, "page", 0x900d_0000 + u64::from(number));
        loop {
            let received = endpoint.next_request();
            endpoint.serve(&received);
            if received.id == format!("{:016x}", 0x900d_0000 + u64::from(number)) {
                break;
            }
        }
        assert_eq!(good.status(number), 200, "{}", router.log_text());
        peak = peak.max(router.anonymous_bytes());
    }
    for _ in 0..20 {
        sleep_ms(20);
        peak = peak.max(router.anonymous_bytes());
    }
    peak
}

/// Guards against requests that stop half way, in whatever way they are cut into records.
#[test]
fn clients_that_stop_half_way_through_large_requests_do_not_exceed_the_memory_limit() {
    const REQUESTS: u16 = 32;
    let half = |record_bytes: usize| {
        move |at: u64| {
            let mut bytes = Vec::new();
            for request in 1..=REQUESTS {
                let whole = Client::request_bytes(request, "page", at << 16 | u64::from(request), at, b"");
                bytes.extend_from_slice(&whole[..whole.len() - 8]);
                for _ in 0..60_000 / record_bytes {
                    fastcgi::record(&mut bytes, kind::STDIN, request, &vec![7; record_bytes]);
                }
            }
            bytes
        }
    };
    for record_bytes in [60_000, 4000, 100] {
        let peak = play(&format!("half{record_bytes}"), half(record_bytes), 100_000);
        assert!(peak < LIMIT_BYTES, "{} KB, records of {record_bytes} bytes", peak / 1024);
    }
}

/// Guards against parameters of which each costs more memory than its bytes.
#[test]
fn clients_that_send_very_many_short_parameters_do_not_exceed_the_memory_limit() {
    const REQUESTS: u16 = 32;
    let fields = |pair: &'static [u8]| {
        move |_| {
            let mut bytes = Vec::new();
            for request in 1..=REQUESTS {
                begin(&mut bytes, request);
                let content = pair.repeat(16_000 / pair.len());
                fastcgi::record(&mut bytes, kind::PARAMS, request, &content);
            }
            for request in 1..=REQUESTS {
                fastcgi::record(&mut bytes, kind::PARAMS, request, b"");
                fastcgi::record(&mut bytes, kind::STDIN, request, b"");
            }
            bytes
        }
    };
    for (name, pair) in [("empty", &[0, 0][..]), ("short", &[1, 0, b'a'][..])] {
        let peak = play(&format!("fields{name}"), fields(pair), 100_000);
        assert!(peak < LIMIT_BYTES, "{} KB, {name} fields", peak / 1024);
    }
}

/// Guards against what connections keep after a request, and against many begun requests with little in them.
#[test]
fn clients_that_write_slowly_do_not_exceed_the_memory_limit() {
    const REQUESTS: u16 = 30;
    let slow = |at: u64| {
        let mut bytes = Vec::new();
        for request in 1..=REQUESTS {
            let body = vec![7; 12_000];
            let id = at << 16 | u64::from(request);
            bytes.extend_from_slice(&Client::request_bytes(request, "page", id, id, &body)[..12_100]);
        }
        bytes
    };
    let peak = play("slowwriters", slow, 6000);
    assert!(peak < LIMIT_BYTES, "{} KB", peak / 1024);
}

/// Ends a thread, also if the test panics.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Kinds of clients, the first digits of their request ids.
const IDLE: u64 = 1;
const OBJECTS: u64 = 2;
const HALF: u64 = 3;
const SLOW: u64 = 4;
const UPLOADS: u64 = 5;

fn id(kind: u64, number: u64) -> u64 {
    kind << 60 | number
}

/// Answers all requests until it is stopped: those of slow readers with large objects, uploads after a while.
fn answer_by_kind(endpoint: Endpoint, stop: &AtomicBool) {
    const UPLOAD_DELAY: Duration = Duration::from_millis(1500);
    let (large, small) = (vec![b'x'; LARGEST_OBJECT_BYTES], [b'x'; 500]);
    let reply = |request: &ReceivedRequest, body: &[u8]| {
        let fields = b"tell=cached,version=ab,stamp=1";
        let frame = resp::frame(&[request.id.as_bytes(), b"DONE", fields, body]);
        let _ = endpoint.write(request.conn, &frame); // The router may have closed the connection.
    };
    let mut uploads = VecDeque::new();
    while !stop.load(Ordering::Relaxed) {
        while let Some(request) = endpoint.try_next_request() {
            match request.id.as_bytes()[0] {
                b'4' => reply(&request, &large),
                b'5' => uploads.push_back((Instant::now() + UPLOAD_DELAY, request)),
                _ => reply(&request, &small),
            }
        }
        while uploads.front().is_some_and(|(due, _)| *due <= Instant::now()) {
            let Some((_, request)) = uploads.pop_front() else { break };
            reply(&request, &small);
        }
        thread::sleep(Duration::from_micros(200));
    }
}

/// Sends requests for ever new objects from one client, and waits for their answers.
fn request_new_objects(client: &mut Client, objects: u64) {
    const BATCH: u64 = 30;
    for batch in 0..objects / BATCH {
        let bytes = (1..=BATCH).flat_map(|request| {
            let object = id(OBJECTS, batch * BATCH + request);
            Client::request_bytes(request as u16, "page", object, object, b"")
        });
        client.stream.write_all(&bytes.collect::<Vec<u8>>()).expect("written");
        (1..=BATCH).for_each(|request| assert_eq!(client.status(request as u16), 200));
    }
}

/// Guards against shares of the memory that are kept one by one and exceed it together, and against what
/// clients that are idle after an upload leave behind.
#[test]
fn all_troubles_together_do_not_exceed_the_memory_limit() {
    const SLOW_READERS: u64 = 40;
    let (endpoint, stop) = (Endpoint::new(), AtomicBool::new(false));
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    (setup.memory_mb, setup.sockets) = (MEMORY_MB, SOCKETS);
    let router = Router::start("together", &setup);
    let mut peaks = Vec::new();
    thread::scope(|scope| {
        let stopping = &stop;
        scope.spawn(move || answer_by_kind(endpoint, stopping));
        let stop = StopOnDrop(&stop);
        let idle = (0..220).map(|at| {
            let mut client = Client::connect(&router);
            let upload = Client::request_bytes(1, "page", id(IDLE, at), at, &[7; 12_000]);
            client.stream.write_all(&upload).expect("written");
            assert_eq!(client.status(1), 200);
            client
        });
        let idle: Vec<Client> = idle.collect();
        peaks.push(("idle clients", router.anonymous_bytes()));
        request_new_objects(&mut Client::connect(&router), 30_000);
        peaks.push(("objects", router.anonymous_bytes()));
        let connect = |_| SlowClient::connect(&router, SLOWEST_RATE / 10, Some(64 * 1024));
        let mut readers: Vec<SlowClient> = (0..SLOW_READERS).map(connect).collect();
        for (at, reader) in (0..).zip(&mut readers) {
            let requests = (1..=20).flat_map(|request| {
                Client::request_bytes(request, "page", id(SLOW, at << 8 | u64::from(request)), at, b"")
            });
            reader.stream.write_all(&requests.collect::<Vec<u8>>()).expect("written");
        }
        sleep_ms(500);
        peaks.push(("slow readers", router.anonymous_bytes()));
        let half = (0..220).map(|at| {
            let bytes = Client::request_bytes(1, "page", id(HALF, at), at, &[7; 48_000]);
            let mut client = Client::connect(&router);
            client.stream.write_all(&bytes[..14_000]).expect("written");
            client
        });
        let half: Vec<Client> = half.collect();
        sleep_ms(100);
        peaks.push(("half requests", router.anonymous_bytes()));
        let uploads = (0..4).map(|at| {
            let mut client = Client::connect(&router);
            for request in 1..=17 {
                let number = at << 8 | u64::from(request);
                let bytes = Client::request_bytes(request, "page", id(UPLOADS, number), number, &[7; 48_000]);
                client.stream.write_all(&bytes).expect("written");
            }
            client
        });
        let uploads: Vec<Client> = uploads.collect();
        for _ in 0..100 {
            sleep_ms(10);
            peaks.push(("uploads", router.anonymous_bytes()));
        }
        drop((idle, half, uploads, readers, stop));
    });
    let (when, peak) = peaks.iter().max_by_key(|(_, bytes)| *bytes).expect("measured");
    assert!(*peak < LIMIT_BYTES, "{} KB by {when}: {}", peak / 1024, router.log_text());
}

/// Guards against bodies of complete requests that are held back without an account.
#[test]
fn uploads_of_many_clients_at_once_do_not_exceed_the_memory_limit() {
    const UPLOADERS: u64 = 160;
    const EACH: u16 = 30;
    let (endpoint, stop) = (Endpoint::new(), AtomicBool::new(false));
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    (setup.memory_mb, setup.sockets) = (MEMORY_MB, SOCKETS);
    let router = Router::start("uploads", &setup);
    let mut clients: Vec<Client> = (0..UPLOADERS).map(|_| Client::connect(&router)).collect();
    let mut peak = 0;
    thread::scope(|scope| {
        let stopping = &stop;
        scope.spawn(move || answer_by_kind(endpoint, stopping));
        let end = StopOnDrop(&stop);
        for (at, some) in (0..).zip(clients.chunks_mut(UPLOADERS as usize / 8)) {
            scope.spawn(move || {
                let bytes_of = |client: u64| -> Vec<u8> {
                    let request = |request: u16| {
                        let number = at << 24 | client << 16 | u64::from(request);
                        Client::request_bytes(request, "page", id(UPLOADS, number), number, &[7; 48_000])
                    };
                    (1..=EACH).flat_map(request).collect()
                };
                let bytes: Vec<Vec<u8>> = (0..some.len() as u64).map(bytes_of).collect();
                let mut written = vec![0; some.len()];
                some.iter().for_each(|client| client.stream.set_nonblocking(true).expect("set"));
                let is_unwritten = |(written, bytes): (&usize, &Vec<u8>)| *written < bytes.len();
                while written.iter().zip(&bytes).any(is_unwritten) && !stopping.load(Ordering::Relaxed) {
                    for ((client, written), bytes) in some.iter_mut().zip(&mut written).zip(&bytes) {
                        *written += client.stream.write(&bytes[*written..]).unwrap_or(0);
                    }
                }
            });
        }
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(2) {
            peak = peak.max(router.anonymous_bytes());
            sleep_ms(2);
        }
        drop(end);
    });
    assert!(peak < LIMIT_BYTES, "{} KB: {}", peak / 1024, router.log_text());
}
