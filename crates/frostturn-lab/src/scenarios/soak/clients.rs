//! Clients that use a connection for as long as it is open, each with its own habit.

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

/// Maximum number of open requests on a connection.
const MAX_OPEN_REQUESTS: usize = 24;
/// The platform's clients resend a request that was sent within this time before its connection closed.
const RESEND_WINDOW_MS: Millis = 50.0;
/// Mean time between two requests on a connection, in ms.
const MEAN_GAP_MS: f64 = 30.0;
/// Time between the end of a connection and the client's next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Sends whole requests, one after the other.
    Busy,
    /// Each write ends somewhere within the next request.
    InPieces,
    /// Sends one request, then stays idle until the router closes the connection.
    Resting,
    /// Sends half a request, then nothing.
    Half,
    /// Sends a request, then bytes that are no request.
    Junk,
}

/// Habits of the clients of each router.
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
    /// Its address for clients.
    pub address: Option<SocketAddr>,
    /// The front-end web servers open new connections to it.
    pub accepts_connections: bool,
    /// Time at which it was killed while running.
    pub killed_at: Option<Millis>,
}

/// State of one connection at its client.
#[derive(Debug, Default)]
struct Session {
    /// Completely sent requests that await their answer: number, id and time.
    open: BTreeMap<u16, (u64, Millis)>,
    heads: BTreeMap<u16, Vec<u8>>,
    /// When the connection ended.
    ended: Option<Millis>,
}

/// An open connection, for the audit.
#[derive(Clone, Debug)]
pub struct Open {
    /// Index of the router.
    pub router: usize,
    /// Habit of the client.
    pub habit: Habit,
    session: Arc<Mutex<Session>>,
}

impl Open {
    /// Returns a description if an evacuated router should have closed this connection: it is idle, or has
    /// a request of the last `recent_ms`.
    pub fn should_be_closed(&self, now: Millis, recent_ms: Millis) -> Option<String> {
        let session = lock(&self.session);
        if session.ended.is_some() {
            return None;
        }
        let recent = session.open.values().filter(|(_, at)| *at > now - recent_ms).count();
        let still_open = session.open.is_empty() || recent > 0;
        still_open.then(|| format!("{:?}: {} open, {recent} of them recent", self.habit, session.open.len()))
    }
}

/// State shared by all clients.
#[derive(Debug)]
pub struct Clients {
    /// State shared by all stand-ins.
    pub world: Arc<World>,
    /// What the clients know of each router.
    pub routers: Vec<Mutex<RouterState>>,
    /// All open connections.
    pub sessions: Mutex<Vec<Open>>,
    /// Factor on the clients' timeouts.
    pub deadline_scale: f64,
    /// Time at which the clients stop sending.
    pub until: Millis,
}

/// Locks a mutex, also if a thread panicked with it.
pub fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Clients {
    /// Runs one client of one router, which reconnects as long as the web servers may.
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
                    thread::sleep(RECONNECT_DELAY);
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
        // At the end of the run the last answers have arrived by then, or never will.
        let until = self.world.now() + CLASSES[0].client_timeout_ms * self.deadline_scale + 1000.0;
        while lock(&session).ended.is_none() && !lock(&session).open.is_empty() && self.world.now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = stream.shutdown(Shutdown::Both); // The connection may have ended.
        let _ = read.join(); // A panic of that thread has printed itself.
        lock(&self.sessions).retain(|open| !Arc::ptr_eq(&open.session, &session));
    }

    /// Writes by the client's habit until the connection has ended.
    fn write(&self, habit: Habit, mut stream: &TcpStream, session: &Mutex<Session>, rng: &mut StdRng) {
        let (mut unsent, mut next) = (Vec::new(), None);
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
            unsent.extend_from_slice(&bytes[..cut]);
            // The request completed by this write: the previous one, if its end was not yet written, or
            // this one.
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
            if stream.write_all(&unsent).is_err() {
                return; // The reader sees the connection end.
            }
            unsent = bytes[cut..].to_vec();
            match habit {
                Habit::Resting | Habit::Half => return,
                Habit::Junk => return drop(stream.write_all(b"GET / HTTP/1.1\r\n\r\n")),
                Habit::Busy | Habit::InPieces => {}
            }
            let gap = -MEAN_GAP_MS * f64::ln(1.0 - rng.random::<f64>());
            thread::sleep(Duration::from_secs_f64(gap.min(200.0) / 1e3));
            while lock(session).open.len() >= MAX_OPEN_REQUESTS && self.world.now() < self.until {
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
                        // A request rejected before it was completely sent needs no final answer.
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
