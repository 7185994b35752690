//! The links between routers: a UDP relay on every ordered pair, each of which can lose, hold back, double, reorder and cut.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::{BinaryHeap, VecDeque};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longest sleep of the relays' thread.
const LOOK_MS: u64 = 20;
/// Datagrams held back at once, in all; what is more is lost.
const MOST_HELD: usize = 10_000;

/// Datagrams that are kept, to be sent again as junk.
const LATEST: usize = 500;

/// How a link behaves. Drawn for each datagram by itself, so that different delays reorder.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Link {
    /// Nothing passes.
    pub cut: bool,
    /// Part of all datagrams that is lost.
    pub lose: f64,
    /// Part that comes twice.
    pub double: f64,
    /// Longest time for which one is held back, in ms.
    pub delay_ms: f64,
}

impl Link {
    /// When the copies of one datagram come, in ms from now.
    pub fn draw(&self, rng: &mut StdRng) -> Vec<f64> {
        if self.cut || (self.lose > 0.0 && rng.random_bool(self.lose)) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.double > 0.0 && rng.random_bool(self.double));
        (0..copies).map(|_| rng.random::<f64>() * self.delay_ms).collect()
    }
}

/// All links, by the one that sends and the one that hears.
pub type Links = Arc<Mutex<Vec<Vec<Link>>>>;

/// The relays of one fleet.
#[derive(Debug)]
pub struct Relays {
    links: Links,
    listens: Arc<Mutex<Vec<SocketAddr>>>,
    /// Where each sends what is for each other one.
    ways: Vec<Vec<Option<SocketAddr>>>,
    /// Datagrams that passed, and some of the latest.
    pub passed: Arc<AtomicU64>,
    pub latest: Arc<Mutex<VecDeque<Vec<u8>>>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

struct Held {
    due: Instant,
    serial: u64,
    way: usize,
    bytes: Vec<u8>,
}

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Held {}
impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Held {
    /// The earliest is the greatest.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.due, other.serial).cmp(&(self.due, self.serial))
    }
}

impl Relays {
    /// Relays between routers that listen there.
    pub fn start(listens: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let count = listens.len();
        let links: Links = Arc::new(Mutex::new(vec![vec![Link::default(); count]; count]));
        let (mut ways, mut sockets) = (vec![vec![None; count]; count], Vec::new());
        for (from, row) in ways.iter_mut().enumerate() {
            for (to, way) in row.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                let socket = UdpSocket::bind("127.0.0.1:0")?;
                socket.set_nonblocking(true)?;
                *way = Some(socket.local_addr()?);
                sockets.push((from, to, socket));
            }
        }
        let (over, passed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let heard = Arc::new(Mutex::new(listens.to_vec()));
        let latest = Arc::new(Mutex::new(VecDeque::new()));
        let carried = Carrier {
            links: links.clone(),
            listens: heard.clone(),
            sockets,
            passed: passed.clone(),
            latest: latest.clone(),
        };
        let ends = over.clone();
        let thread = Some(thread::spawn(move || carried.run(&ends, seed)));
        Ok(Self { links, listens: heard, ways, passed, latest, over, thread })
    }

    /// Where one sends what is for another.
    pub fn way(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.ways[from][to]
    }

    /// From now on that router listens there.
    pub fn moved(&self, to: usize, listen: SocketAddr) {
        self.listens.lock().unwrap_or_else(|poisoned| poisoned.into_inner())[to] = listen;
    }

    /// The links, to be changed.
    pub fn links(&self) -> MutexGuard<'_, Vec<Vec<Link>>> {
        self.links.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.thread.take().map(JoinHandle::join);
    }
}

struct Carrier {
    links: Links,
    listens: Arc<Mutex<Vec<SocketAddr>>>,
    sockets: Vec<(usize, usize, UdpSocket)>,
    passed: Arc<AtomicU64>,
    latest: Arc<Mutex<VecDeque<Vec<u8>>>>,
}

impl Carrier {
    fn run(self, over: &AtomicBool, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x7e1a);
        let (mut held, mut serial, mut buffer) = (BinaryHeap::<Held>::new(), 0, vec![0; 4096]);
        while !over.load(Ordering::SeqCst) {
            let now = Instant::now();
            while held.peek().is_some_and(|first| first.due <= now) {
                let Some(Held { way, bytes, .. }) = held.pop() else { break };
                let (_, to, socket) = &self.sockets[way];
                // One that nobody hears is lost, as on a real link.
                let listen = self.listens.lock().unwrap_or_else(|poisoned| poisoned.into_inner())[*to];
                if socket.send_to(&bytes, listen).is_ok() {
                    self.passed.fetch_add(1, Ordering::Relaxed);
                    let mut latest = self.latest.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                    latest.push_back(bytes);
                    let over = latest.len().saturating_sub(LATEST);
                    latest.drain(..over);
                }
            }
            let wait = held
                .peek()
                .map_or(Duration::from_millis(LOOK_MS), |first| first.due.saturating_duration_since(now));
            let wait = wait.min(Duration::from_millis(LOOK_MS));
            let wait = Timespec { tv_sec: 0, tv_nsec: i64::from(wait.subsec_nanos()) };
            let mut fds: Vec<PollFd<'_>> =
                self.sockets.iter().map(|(.., socket)| PollFd::new(socket, PollFlags::IN)).collect();
            if poll(&mut fds, Some(&wait)).is_err() {
                continue;
            }
            let ready: Vec<usize> = (0..fds.len()).filter(|at| !fds[*at].revents().is_empty()).collect();
            for way in ready {
                let (from, to, socket) = &self.sockets[way];
                while let Ok((bytes, _)) = socket.recv_from(&mut buffer) {
                    let link = self.links.lock().unwrap_or_else(|poisoned| poisoned.into_inner())[*from][*to];
                    for after in link.draw(&mut rng) {
                        if held.len() < MOST_HELD {
                            serial += 1;
                            let due = Instant::now() + Duration::from_secs_f64(after / 1e3);
                            held.push(Held { due, serial, way, bytes: buffer[..bytes].to_vec() });
                        }
                    }
                }
            }
        }
    }
}
