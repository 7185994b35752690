//! A client that keeps sending on one connection while it is open, and an endpoint that answers so late that
//! such a connection never becomes idle.

use super::{Client, Endpoint, Event, ReceivedRequest};
use frostturn::fastcgi::{self, kind};
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Requests sent within this time before a close are repeated by the platform's clients.
pub const CLOSE_RACE: Duration = Duration::from_millis(50);

/// The pattern in which requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPattern {
    /// Each request is sent before the previous one is answered, given an endpoint that delays answers
    /// ([`delay_answers`]).
    Overlapping,
    /// Each write ends in the middle of a request.
    Split,
}

/// The client's record of a connection.
#[derive(Debug, Default)]
pub struct Transcript {
    /// By request number.
    pub requests: BTreeMap<u16, SentRequest>,
    /// When the connection ended, and whether by a reset.
    pub ended: Option<(Instant, bool)>,
}

/// A request that was sent.
#[derive(Debug)]
pub struct SentRequest {
    /// When the first byte was written.
    pub begun: Instant,
    /// When the last byte was written.
    pub complete: Option<Instant>,
    /// Status codes and times of the answers.
    pub answers: Vec<(u16, Instant)>,
}

fn lock(transcript: &Mutex<Transcript>) -> std::sync::MutexGuard<'_, Transcript> {
    transcript.lock().expect("not poisoned")
}

/// Sends on a connection until the router closes it, or until a time. Returns the record of the connection.
pub fn until_closed(client: Client, pattern: SendPattern, timeout_ms: u64, until: Instant) -> Transcript {
    let transcript = Arc::new(Mutex::new(Transcript::default()));
    let reader = client.stream.try_clone().expect("a duplicate handle");
    let reader_thread = thread::spawn({
        let transcript = transcript.clone();
        move || read(reader, &transcript)
    });
    write(&client.stream, pattern, timeout_ms, until, &transcript);
    if lock(&transcript).ended.is_none() {
        let _ = client.stream.shutdown(Shutdown::Both); // The router may close it at the same time.
    }
    reader_thread.join().expect("read to the end");
    let transcript = std::mem::take(&mut *lock(&transcript));
    transcript
}

fn write(
    mut stream: &TcpStream,
    pattern: SendPattern,
    timeout_ms: u64,
    until: Instant,
    transcript: &Mutex<Transcript>,
) {
    let mut pending = Vec::new();
    for number in 1..u16::MAX {
        if lock(transcript).ended.is_some() || Instant::now() >= until {
            return;
        }
        let id = u64::from(number);
        let request = Client::request_bytes_with_timeout(timeout_ms, number, "page", id, id, b"");
        let cut = if pattern == SendPattern::Split { request.len() / 2 } else { request.len() };
        let before = (pattern == SendPattern::Split).then(|| number - 1);
        let now = Instant::now();
        lock(transcript)
            .requests
            .insert(number, SentRequest { begun: now, complete: None, answers: Vec::new() });
        pending.extend_from_slice(&request[..cut]);
        if stream.write_all(&pending).is_err() {
            return; // The connection has just ended.
        }
        let complete = before.unwrap_or(number);
        if let Some(sent) = lock(transcript).requests.get_mut(&complete) {
            sent.complete = Some(Instant::now());
        }
        pending = request[cut..].to_vec();
        thread::sleep(REQUEST_INTERVAL);
    }
}

fn read(mut stream: TcpStream, transcript: &Mutex<Transcript>) {
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
                    let mut transcript = lock(transcript);
                    let sent = transcript.requests.get_mut(&record.request).expect("it was sent");
                    sent.answers.push((status, Instant::now()));
                }
                _ => {}
            }
        }
    };
    lock(transcript).ended = Some((Instant::now(), reset));
}

impl Transcript {
    /// Returns the unanswered requests that must be answered: those sent completely, and not within
    /// [`CLOSE_RACE`] of the close.
    pub fn unanswered(&self) -> Vec<u16> {
        let end = self.ended.map(|(at, _)| at);
        let crossed =
            |sent: &SentRequest| end.is_some_and(|end| sent.complete.is_some_and(|at| at + CLOSE_RACE > end));
        let missing =
            |sent: &&SentRequest| sent.complete.is_some() && sent.answers.is_empty() && !crossed(sent);
        self.requests.iter().filter(|(_, sent)| missing(sent)).map(|(number, _)| *number).collect()
    }

    /// Returns the requests with more than one answer.
    pub fn answered_twice(&self) -> Vec<u16> {
        let twice = self.requests.iter().filter(|(_, sent)| sent.answers.len() > 1);
        twice.map(|(number, _)| *number).collect()
    }

    /// Returns the status codes of the answers to requests begun after a time.
    pub fn statuses_after(&self, from: Instant) -> Vec<u16> {
        let after = self.requests.values().filter(|sent| sent.begun > from);
        after.flat_map(|sent| &sent.answers).map(|(status, _)| *status).collect()
    }
}

/// An endpoint that answers a request only after a number of further requests has arrived, so that their
/// connection never becomes idle. When no request has arrived for a while, it answers the remaining ones too.
pub struct DelayedAnswers {
    stop: Arc<AtomicBool>,
    server: Option<thread::JoinHandle<()>>,
}

/// Starts answering the requests of an endpoint, each after `further` more; see [`DelayedAnswers`].
pub fn delay_answers(endpoint: Endpoint, further: usize) -> DelayedAnswers {
    const QUIET: Duration = Duration::from_millis(300);
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let server = thread::spawn(move || {
        let mut pending: VecDeque<ReceivedRequest> = VecDeque::new();
        let mut last_arrival = Instant::now();
        while !stopped.load(Ordering::Relaxed) {
            for event in endpoint.received_events() {
                let Event::Frame(conn, parts) = event else { continue };
                if parts[0] == "REQ" {
                    pending.push_back(ReceivedRequest {
                        conn,
                        id: parts[1].clone(),
                        fields: parts[2].clone(),
                    });
                    last_arrival = Instant::now();
                }
            }
            let keep = if last_arrival.elapsed() > QUIET { 0 } else { further };
            while pending.len() > keep {
                pending.pop_front().iter().for_each(|request| endpoint.serve(request));
            }
            thread::sleep(Duration::from_millis(1));
        }
    });
    DelayedAnswers { stop, server: Some(server) }
}

impl Drop for DelayedAnswers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.server.take().map(thread::JoinHandle::join); // Its panic has failed the test already.
    }
}
