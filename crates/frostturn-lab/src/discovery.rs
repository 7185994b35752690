//! Stand-in discovery service: numbered events over HTTP/1.1 long polls.

use crate::check::Millis;
use crate::world::World;
use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An event counts as announced after this time, delivered or not.
const LATEST_MS: Millis = 7000.0;

/// Content of an event that the rules depend on.
#[derive(Clone, Copy, Debug)]
pub enum Announcement {
    /// A machine drains or is removed.
    Draining(usize),
    /// An object was purged at a Unix time.
    Purged(u64, f64),
}

/// The discovery service with its events so far.
#[derive(Debug)]
pub struct DiscoveryServer {
    /// The address on which it listens.
    pub address: SocketAddr,
    events: Mutex<Vec<Value>>,
    more: Condvar,
    /// Announcements to record once their event has been delivered: event number, latest time, content.
    pending: Mutex<Vec<(u64, Millis, Announcement)>>,
    world: Arc<World>,
}

impl DiscoveryServer {
    /// Starts a service with its first event.
    pub fn start(world: &Arc<World>, first: Value) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Arc::new(Self {
            address: listener.local_addr()?,
            events: Mutex::new(vec![numbered(1, first)]),
            more: Condvar::new(),
            pending: Mutex::default(),
            world: world.clone(),
        });
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// Publishes an event. It counts as announced once it is delivered, and after 7 s at the latest.
    pub fn publish(&self, event: Value, announcement: Option<Announcement>) {
        let mut events = self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let rev = events.len() as u64 + 1;
        events.push(numbered(rev, event));
        let until = self.world.now() + LATEST_MS;
        let mut pending = self.pending.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        pending.extend(announcement.map(|announcement| (rev, until, announcement)));
        drop(pending);
        self.more.notify_all();
    }

    /// Records the announcements of delivered events and of those whose latest time has come.
    fn record_announced(&self, upto: u64) {
        let now = self.world.now();
        let mut pending = self.pending.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (announced, remaining) =
            pending.drain(..).partition(|(rev, until, _)| *rev <= upto || *until <= now);
        *pending = remaining;
        drop(pending);
        let announced: Vec<(u64, Millis, Announcement)> = announced;
        let mut seen = self.world.observations();
        for (_, _, announcement) in announced {
            match announcement {
                Announcement::Draining(machine) => seen.checker.set_drained(machine, Some(now)),
                Announcement::Purged(object, made) => seen.checker.purged(object, now, made),
            }
        }
    }

    /// Returns the events as a router's configuration has them.
    pub fn known(&self) -> Value {
        let events = self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        json!({ "rev": events.len(), "notices": *events })
    }

    fn serve(&self, mut stream: TcpStream) {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
        let _ = stream.set_nodelay(true);
        while !self.world.ended() {
            while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
                match stream.read(&mut buffer) {
                    Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
                    _ => return,
                }
            }
            let head = String::from_utf8_lossy(&bytes).into_owned();
            bytes.clear();
            let number = |name: &str| {
                let after = head.split(name).nth(1).unwrap_or_default();
                let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
                digits.parse::<u64>().unwrap_or(0)
            };
            let (watch, until) =
                (number("watch="), Instant::now() + Duration::from_millis(number("linger=")));
            let mut events = self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            self.record_announced(0);
            while events.len() as u64 <= watch && Instant::now() < until && !self.world.ended() {
                let wait = until.saturating_duration_since(Instant::now()).min(Duration::from_millis(100));
                events = match self.more.wait_timeout(events, wait) {
                    Ok((events, _)) => events,
                    Err(_) => return,
                };
            }
            let new: Vec<&Value> = events.iter().skip(watch as usize).collect();
            let body = json!({ "rev": events.len(), "notices": new }).to_string();
            let last = events.len() as u64;
            drop(events);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            self.record_announced(last);
        }
    }
}

fn numbered(rev: u64, mut event: Value) -> Value {
    event["rev"] = rev.into();
    event
}
