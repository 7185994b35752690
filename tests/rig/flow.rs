//! A client that goes on sending on one connection for as long as it is open, and an endpoint that keeps such a connection
//! from ever being at rest.

use super::{Client, Endpoint, Event, ReceivedRequest};
use frostturn::fastcgi::{self, kind};
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two requests.
const GAP: Duration = Duration::from_millis(20);
/// What crosses a close within this time is sent again by the platform's clients.
pub const CROSSES: Duration = Duration::from_millis(50);

/// How requests come on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Each before the one before it is answered, where the endpoint waits for that ([`hold_back`]).
    Overlapping,
    /// Each write ends half-way in the next request.
    InPieces,
}

/// What a client has seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// By number: when it began to be written, when its last byte was, and the status of its answers with their times.
    pub requests: BTreeMap<u16, Sent>,
    /// When the connection ended, and whether by a reset.
    pub ended: Option<(Instant, bool)>,
}

/// A request that was sent.
#[derive(Debug)]
pub struct Sent {
    pub begun: Instant,
    pub whole: Option<Instant>,
    pub answers: Vec<(u16, Instant)>,
}

fn see(seen: &Mutex<Seen>) -> std::sync::MutexGuard<'_, Seen> {
    seen.lock().expect("not poisoned")
}

/// Sends on a connection until the router ends it, or until a time: what the client has seen by then.
pub fn until_closed(client: Client, shape: Shape, wait_ms: u64, until: Instant) -> Seen {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let reader = client.stream.try_clone().expect("a second handle");
    let reads = thread::spawn({
        let seen = seen.clone();
        move || read(reader, &seen)
    });
    write(&client.stream, shape, wait_ms, until, &seen);
    if see(&seen).ended.is_none() {
        let _ = client.stream.shutdown(Shutdown::Both); // It may end just now.
    }
    reads.join().expect("read to the end");
    let seen = std::mem::take(&mut *see(&seen));
    seen
}

fn write(mut stream: &TcpStream, shape: Shape, wait_ms: u64, until: Instant, seen: &Mutex<Seen>) {
    let mut rest = Vec::new();
    for number in 1..u16::MAX {
        if see(seen).ended.is_some() || Instant::now() >= until {
            return;
        }
        let id = u64::from(number);
        let request = Client::request_bytes_with_timeout(wait_ms, number, "page", id, id, b"");
        let cut = if shape == Shape::InPieces { request.len() / 2 } else { request.len() };
        let before = (shape == Shape::InPieces).then(|| number - 1);
        let now = Instant::now();
        see(seen).requests.insert(number, Sent { begun: now, whole: None, answers: Vec::new() });
        rest.extend_from_slice(&request[..cut]);
        if stream.write_all(&rest).is_err() {
            return; // It has just ended.
        }
        let whole = before.unwrap_or(number);
        if let Some(sent) = see(seen).requests.get_mut(&whole) {
            sent.whole = Some(Instant::now());
        }
        rest = request[cut..].to_vec();
        thread::sleep(GAP);
    }
}

fn read(mut stream: TcpStream, seen: &Mutex<Seen>) {
    let (mut decoder, mut buffer) = (fastcgi::Decoder::default(), [0; 64 * 1024]);
    let mut heads: BTreeMap<u16, Vec<u8>> = BTreeMap::new();
    let reset = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break false,
            Ok(bytes) => decoder.feed(&buffer[..bytes]),
            Err(e) => break e.kind() == ErrorKind::ConnectionReset,
        }
        while let Some(record) = decoder.next_record().expect("readable") {
            match record.kind {
                kind::STDOUT => heads.entry(record.request).or_default().extend(&record.content),
                kind::END => {
                    let head = heads.remove(&record.request).unwrap_or_default();
                    let text = String::from_utf8_lossy(&head).into_owned();
                    let status = text.strip_prefix("Status: ").and_then(|rest| rest.get(..3));
                    let status = status.and_then(|status| status.parse().ok()).expect("a status");
                    let mut seen = see(seen);
                    let sent = seen.requests.get_mut(&record.request).expect("it was asked");
                    sent.answers.push((status, Instant::now()));
                }
                _ => {}
            }
        }
    };
    see(seen).ended = Some((Instant::now(), reset));
}

impl Seen {
    /// Requests without an answer that are owed one: whole, and not written in the very moment of the close.
    pub fn unanswered(&self) -> Vec<u16> {
        let end = self.ended.map(|(at, _)| at);
        let crossed =
            |sent: &Sent| end.is_some_and(|end| sent.whole.is_some_and(|whole| whole + CROSSES > end));
        let owed = |sent: &&Sent| sent.whole.is_some() && sent.answers.is_empty() && !crossed(sent);
        self.requests.iter().filter(|(_, sent)| owed(sent)).map(|(number, _)| *number).collect()
    }

    /// Requests with more than one answer.
    pub fn answered_twice(&self) -> Vec<u16> {
        let twice = self.requests.iter().filter(|(_, sent)| sent.answers.len() > 1);
        twice.map(|(number, _)| *number).collect()
    }

    /// Statuses of the answers to what was written after a time.
    pub fn statuses_after(&self, from: Instant) -> Vec<u16> {
        let after = self.requests.values().filter(|sent| sent.begun > from);
        after.flat_map(|sent| &sent.answers).map(|(status, _)| *status).collect()
    }
}

/// An endpoint that answers a request once so many more have come, so that a connection that brings them is never at
/// rest; or once none has come for a while, as nothing more is sent on to it.
pub struct Holding {
    stop: Arc<AtomicBool>,
    serves: Option<thread::JoinHandle<()>>,
}

/// See [`Holding`].
pub fn hold_back(endpoint: Endpoint, more: usize) -> Holding {
    const QUIET: Duration = Duration::from_millis(300);
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let serves = thread::spawn(move || {
        let mut held: VecDeque<ReceivedRequest> = VecDeque::new();
        let mut came = Instant::now();
        while !stopped.load(Ordering::Relaxed) {
            for event in endpoint.received_events() {
                let Event::Frame(conn, parts) = event else { continue };
                if parts[0] == "REQ" {
                    held.push_back(ReceivedRequest { conn, id: parts[1].clone(), fields: parts[2].clone() });
                    came = Instant::now();
                }
            }
            let keep = if came.elapsed() > QUIET { 0 } else { more };
            while held.len() > keep {
                held.pop_front().iter().for_each(|asked| endpoint.serve(asked));
            }
            thread::sleep(Duration::from_millis(1));
        }
    });
    Holding { stop, serves: Some(serves) }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.serves.take().map(thread::JoinHandle::join); // Its own panic has failed a test already.
    }
}
