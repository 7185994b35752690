//! Links between routers: one UDP relay per ordered pair, which can lose, delay, duplicate, reorder and cut
//! off datagrams.

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

/// Longest sleep of the relay thread.
const POLL_INTERVAL_MS: u64 = 20;
/// Limit of delayed datagrams over all links; more are lost.
const MAX_DELAYED: usize = 10_000;

/// Datagrams kept to be replayed or altered as junk.
const MAX_RECENT: usize = 500;

/// Behaviour of a link. Delays are drawn for each datagram separately, so that they reorder datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Link {
    /// The link carries nothing.
    pub cut: bool,
    /// Share of datagrams that is lost.
    pub lose: f64,
    /// Share of datagrams that arrives twice.
    pub double: f64,
    /// Longest delay of a datagram, in ms.
    pub delay_ms: f64,
}

impl Link {
    /// Draws when the copies of one datagram arrive, in ms from now.
    pub fn draw(&self, rng: &mut StdRng) -> Vec<f64> {
        if self.cut || (self.lose > 0.0 && rng.random_bool(self.lose)) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.double > 0.0 && rng.random_bool(self.double));
        (0..copies).map(|_| rng.random::<f64>() * self.delay_ms).collect()
    }
}

/// All links, by sender and receiver.
pub type Links = Arc<Mutex<Vec<Vec<Link>>>>;

/// Relays of one fleet.
#[derive(Debug)]
pub struct Relays {
    links: Links,
    listen_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    /// Address to which each router sends datagrams for each other one.
    addresses: Vec<Vec<Option<SocketAddr>>>,
    /// Number of forwarded datagrams, and some of the most recent ones.
    pub forwarded: Arc<AtomicU64>,
    pub recent: Arc<Mutex<VecDeque<Vec<u8>>>>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

struct DelayedDatagram {
    deliver_at: Instant,
    serial: u64,
    link_index: usize,
    bytes: Vec<u8>,
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for DelayedDatagram {}
impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for DelayedDatagram {
    /// Orders the earliest delivery as the greatest, for a max-heap.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.deliver_at, other.serial).cmp(&(self.deliver_at, self.serial))
    }
}

impl Relays {
    /// Starts relays between routers that listen on these addresses.
    pub fn start(listen_addresses: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let count = listen_addresses.len();
        let links: Links = Arc::new(Mutex::new(vec![vec![Link::default(); count]; count]));
        let (mut addresses, mut sockets) = (vec![vec![None; count]; count], Vec::new());
        for (from, row) in addresses.iter_mut().enumerate() {
            for (to, link_index) in row.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                let socket = UdpSocket::bind("127.0.0.1:0")?;
                socket.set_nonblocking(true)?;
                *link_index = Some(socket.local_addr()?);
                sockets.push((from, to, socket));
            }
        }
        let (stopping, forwarded) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let shared_addresses = Arc::new(Mutex::new(listen_addresses.to_vec()));
        let recent = Arc::new(Mutex::new(VecDeque::new()));
        let carried = RelayThread {
            links: links.clone(),
            listen_addresses: shared_addresses.clone(),
            sockets,
            forwarded: forwarded.clone(),
            recent: recent.clone(),
        };
        let stop = stopping.clone();
        let thread = Some(thread::spawn(move || carried.run(&stop, seed)));
        Ok(Self { links, listen_addresses: shared_addresses, addresses, forwarded, recent, stopping, thread })
    }

    /// Returns the address to which router `from` sends datagrams for router `to`.
    pub fn address(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.addresses[from][to]
    }

    /// Changes the listen address of a router.
    pub fn set_listen_address(&self, to: usize, listen: SocketAddr) {
        self.listen_addresses.lock().unwrap_or_else(|poisoned| poisoned.into_inner())[to] = listen;
    }

    /// Locks the links, so that they can be changed.
    pub fn links(&self) -> MutexGuard<'_, Vec<Vec<Link>>> {
        self.links.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.thread.take().map(JoinHandle::join);
    }
}

struct RelayThread {
    links: Links,
    listen_addresses: Arc<Mutex<Vec<SocketAddr>>>,
    sockets: Vec<(usize, usize, UdpSocket)>,
    forwarded: Arc<AtomicU64>,
    recent: Arc<Mutex<VecDeque<Vec<u8>>>>,
}

impl RelayThread {
    fn run(self, stopping: &AtomicBool, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x7e1a);
        let (mut delayed, mut serial, mut buffer) = (BinaryHeap::<DelayedDatagram>::new(), 0, vec![0; 4096]);
        while !stopping.load(Ordering::SeqCst) {
            let now = Instant::now();
            while delayed.peek().is_some_and(|first| first.deliver_at <= now) {
                let Some(DelayedDatagram { link_index, bytes, .. }) = delayed.pop() else { break };
                let (_, to, socket) = &self.sockets[link_index];
                // A datagram that no socket receives is lost, as on a real link.
                let listen =
                    self.listen_addresses.lock().unwrap_or_else(|poisoned| poisoned.into_inner())[*to];
                if socket.send_to(&bytes, listen).is_ok() {
                    self.forwarded.fetch_add(1, Ordering::Relaxed);
                    let mut recent = self.recent.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                    recent.push_back(bytes);
                    let over = recent.len().saturating_sub(MAX_RECENT);
                    recent.drain(..over);
                }
            }
            let wait = delayed.peek().map_or(Duration::from_millis(POLL_INTERVAL_MS), |first| {
                first.deliver_at.saturating_duration_since(now)
            });
            let wait = wait.min(Duration::from_millis(POLL_INTERVAL_MS));
            let wait = Timespec { tv_sec: 0, tv_nsec: i64::from(wait.subsec_nanos()) };
            let mut fds: Vec<PollFd<'_>> =
                self.sockets.iter().map(|(.., socket)| PollFd::new(socket, PollFlags::IN)).collect();
            if poll(&mut fds, Some(&wait)).is_err() {
                continue;
            }
            let ready: Vec<usize> = (0..fds.len()).filter(|at| !fds[*at].revents().is_empty()).collect();
            for link_index in ready {
                let (from, to, socket) = &self.sockets[link_index];
                while let Ok((bytes, _)) = socket.recv_from(&mut buffer) {
                    let link = self.links.lock().unwrap_or_else(|poisoned| poisoned.into_inner())[*from][*to];
                    for after in link.draw(&mut rng) {
                        if delayed.len() < MAX_DELAYED {
                            serial += 1;
                            let deliver_at = Instant::now() + Duration::from_secs_f64(after / 1e3);
                            delayed.push(DelayedDatagram {
                                deliver_at,
                                serial,
                                link_index,
                                bytes: buffer[..bytes].to_vec(),
                            });
                        }
                    }
                }
            }
        }
    }
}
