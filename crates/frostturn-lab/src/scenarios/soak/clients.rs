//! Clients that use a connection for as long as it is open, each with a habit of its own.

use crate::check::Millis;
use crate::clients::{draw_class, read_answer, request_within, CLASSES};
use crate::world::World;
use frostturn::fastcgi::{kind, Decoder};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Requests open on one connection.
const MAX_OPEN: usize = 24;
/// What crosses a close within this time is sent again by the platform's clients.
const RESEND_WINDOW_MS: Millis = 50.0;
/// Mean time between two requests on a connection.
const GAP_MS: f64 = 30.0;
/// Time between the end of a connection and the next one of the same client.
const PAUSE: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Whole requests, one after the other.
    Busy,
    /// Each write ends somewhere in the next request.
    InPieces,
    /// One request, and then it rests until the router ends the connection.
    Resting,
    /// Half a request, and then nothing.
    Half,
    /// Bytes that are no request, after one that is.
    Junk,
}

pub const HABITS: [Habit; 8] = [
    Habit::Busy,
    Habit::Busy,
    Habit::InPieces,
    Habit::InPieces,
    Habit::Busy,
    Habit::Resting,
    Habit::Half,
    Habit::Junk,
];

/// What clients know of a router's process.
#[derive(Debug, Default)]
pub struct RouterState {
    pub address: Option<SocketAddr>,
    /// The front makes new connections to it.
    pub accepts_connections: bool,
    /// It was killed then, running.
    pub killed_at: Option<Millis>,
}

/// One connection, as its client sees it.
#[derive(Debug, Default)]
struct Session {
    /// Requests whose last byte is written and whose answer is awaited: number, id and when.
    open: BTreeMap<u16, (u64, Millis)>,
    heads: BTreeMap<u16, Vec<u8>>,
    /// When it ended.
    ended: Option<Millis>,
}

/// A connection that is open now, for those who judge.
#[derive(Clone, Debug)]
pub struct Open {
    pub router: usize,
    pub habit: Habit,
    session: Arc<Mutex<Session>>,
}

impl Open {
    /// Whether an evacuated router should have let go of it: idle, or with a request of the last `recent_ms`.
    pub fn is_held(&self, now: Millis, recent_ms: Millis) -> Option<String> {
        let session = lock(&self.session);
        if session.ended.is_some() {
            return None;
        }
        let recent = session.open.values().filter(|(_, at)| *at > now - recent_ms).count();
        let held = session.open.is_empty() || recent > 0;
        held.then(|| format!("{:?}: {} open, {recent} of them recent", self.habit, session.open.len()))
    }
}

/// All clients' surroundings.
#[derive(Debug)]
pub struct Clients {
    pub world: Arc<World>,
    pub routers: Vec<Mutex<RouterState>>,
    pub sessions: Mutex<Vec<Open>>,
    pub deadline_scale: f64,
    pub until: Millis,
}

pub fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Clients {
    /// One client of one router, which connects again as often as the front lets it.
    pub fn run(self: &Arc<Self>, router: usize, habit: Habit, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        while self.world.now() < self.until {
            let reach = lock(&self.routers[router]);
            let address = reach.address.filter(|_| reach.accepts_connections);
            drop(reach);
            let stream = address.and_then(|at| TcpStream::connect_timeout(&at, CONNECT_TIMEOUT).ok());
            match stream.filter(|stream| stream.set_nodelay(true).is_ok()) {
                Some(stream) => {
                    self.use_connection(router, habit, &stream, &mut rng);
                    thread::sleep(PAUSE);
                }
                None => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    fn use_connection(self: &Arc<Self>, router: usize, habit: Habit, stream: &TcpStream, rng: &mut StdRng) {
        let session = Arc::new(Mutex::new(Session::default()));
        lock(&self.sessions).push(Open { router, habit, session: session.clone() });
        let port = stream.local_addr().map_or(0, |at| at.port());
        self.world.event(|| format!("connected port={port} router={router} habit={habit:?}"));
        let Ok(reader) = stream.try_clone() else { return };
        let (clients, reads) = (self.clone(), session.clone());
        let read = thread::spawn(move || clients.read(router, port, reader, &reads));
        self.write(habit, stream, &session, rng);
        while lock(&session).ended.is_none() && self.world.now() < self.until {
            thread::sleep(Duration::from_millis(5));
        }
        // At the end of the run its last answers come by then, or never.
        let until = self.world.now() + CLASSES[0].client_timeout_ms * self.deadline_scale + 1000.0;
        while lock(&session).ended.is_none() && !lock(&session).open.is_empty() && self.world.now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = stream.shutdown(Shutdown::Both); // It may have ended.
        let _ = read.join(); // A panic there has printed itself.
        lock(&self.sessions).retain(|open| !Arc::ptr_eq(&open.session, &session));
    }

    /// Writes as its habit has it, until the connection has ended.
    fn write(&self, habit: Habit, mut stream: &TcpStream, session: &Mutex<Session>, rng: &mut StdRng) {
        let (mut rest, mut next) = (Vec::new(), None);
        for number in (1..=u16::MAX).cycle() {
            let class = &CLASSES[draw_class(rng.random())];
            let (id, object) = (rng.next_u64(), 0x1000 + rng.random_range(0..200u64));
            let bytes =
                request_within(class.client_timeout_ms * self.deadline_scale, number, class, id, object);
            let cut = match habit {
                Habit::InPieces => rng.random_range(1..bytes.len()),
                Habit::Half => bytes.len() / 2,
                Habit::Busy | Habit::Resting | Habit::Junk => bytes.len(),
            };
            rest.extend_from_slice(&bytes[..cut]);
            // What is whole with this write: the request before, if its end was still to come, or this one.
            let whole = match habit {
                Habit::InPieces => next.replace((number, id, class, object)),
                Habit::Half => None,
                Habit::Busy | Habit::Resting | Habit::Junk => Some((number, id, class, object)),
            };
            {
                let mut session = lock(session);
                if session.ended.is_some() || self.world.now() >= self.until {
                    return;
                }
                if let Some((number, id, class, object)) = whole {
                    let now = self.world.now();
                    session.open.insert(number, (id, now));
                    let client_timeout_ms = class.client_timeout_ms * self.deadline_scale;
                    self.world.event(|| format!("sent id={id:016x} number={number}"));
                    self.world.observations().checker.request_sent(
                        id,
                        class.max_attempts,
                        object,
                        now,
                        client_timeout_ms,
                    );
                }
            }
            if stream.write_all(&rest).is_err() {
                return; // Its reader sees the connection end.
            }
            rest = bytes[cut..].to_vec();
            match habit {
                Habit::Resting | Habit::Half => return,
                Habit::Junk => return drop(stream.write_all(b"GET / HTTP/1.1\r\n\r\n")),
                Habit::Busy | Habit::InPieces => {}
            }
            let gap = -GAP_MS * f64::ln(1.0 - rng.random::<f64>());
            thread::sleep(Duration::from_secs_f64(gap.min(200.0) / 1e3));
            while lock(session).open.len() >= MAX_OPEN && self.world.now() < self.until {
                thread::sleep(Duration::from_millis(2));
            }
        }
    }

    fn read(&self, router: usize, port: u16, mut stream: TcpStream, session: &Mutex<Session>) {
        let (mut decoder, mut buffer) = (Decoder::default(), vec![0; 64 * 1024]);
        let how = loop {
            match stream.read(&mut buffer) {
                Ok(0) => break "closed".to_owned(),
                Ok(bytes) => decoder.feed(&buffer[..bytes]),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => break e.kind().to_string(),
            }
            while let Ok(Some(record)) = decoder.next_record() {
                let mut session = lock(session);
                match record.kind {
                    kind::STDOUT => session.heads.entry(record.request).or_default().extend(&record.content),
                    kind::END => {
                        let head = session.heads.remove(&record.request).unwrap_or_default();
                        // One that was turned away half written is none of those that are owed an answer.
                        let Some((id, _)) = session.open.remove(&record.request) else { continue };
                        let answer = read_answer(&head, &record.content);
                        self.world.observations().checker.answered(id, self.world.now(), answer);
                    }
                    _ => {}
                }
            }
        };
        let now = self.world.now();
        let left = {
            let mut session = lock(session);
            session.ended = Some(now);
            std::mem::take(&mut session.open)
        };
        self.world.event(|| format!("connection_ended port={port} how={how} open={}", left.len()));
        let killed = lock(&self.routers[router]).killed_at.is_some_and(|at| now >= at);
        for (id, at) in left.into_values() {
            if now - at <= RESEND_WINDOW_MS && !killed {
                self.world.event(|| format!("crossed id={id:016x} port={port}"));
                self.world.observations().checker.crossed(id);
            }
        }
    }
}
