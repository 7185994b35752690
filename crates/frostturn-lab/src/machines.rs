//! Stand-in machines: cache boxes, parents and the origin, which speak RESP on several endpoints. Each
//! endpoint can fail by itself.

use crate::check::Millis;
use crate::clients::GROUPS;
use crate::world::{unix_ms, First, World, PHOTOS};
use frostturn::resp::{frame, Decoder};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, SockAddr, Socket, Type};
use std::collections::{HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a stand-in looks for a failure of its endpoint.
const POLL_INTERVAL_MS: u64 = 10;
/// Size of an answer's body, in bytes.
const BODY_BYTES: usize = 1200;
/// Requests that a machine sends concurrently, the time per request, and the resulting capacity of a warm
/// machine in requests per second. The parent and the origin have ample capacity.
pub const LANES: usize = 2;
const SEND_MS: Millis = 2.5;
pub const CAPACITY: f64 = LANES as f64 * 1e3 / SEND_MS;
const UPPER_CAPACITY: f64 = 20.0 * CAPACITY;
/// Share of its capacity that a machine has after a cold start, and the time until it is warm.
pub const COLD_FROM: f64 = 0.25;
pub const COLD_MS: Millis = 4000.0;
/// Time for which a machine still serves older copies after a purge; by the settings none does after 6 s.
const PURGE_DELAY_MS: Millis = 5500.0;
/// Time window over which a machine measures its load.
const LOAD_WINDOW_MS: Millis = 500.0;

/// How an endpoint fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Failure {
    /// No failure.
    None,
    /// Nothing listens; open connections end when they fall idle.
    Refused,
    /// New connections are never established; open ones end when they fall idle.
    BlackHole,
    /// Connections are established, and nothing is answered, not even a greeting.
    NeverAnswers,
    /// Greetings are answered; requests are read and executed, and not answered.
    StallsAfterRead,
    /// Answers stop halfway.
    StallsHalfway,
    /// Connections are reset before a request is read.
    ResetUnread,
    /// Connections are reset after a request is read.
    ResetRead,
    /// The Unix socket's path doesn't exist.
    Missing,
    /// A regular file is at the Unix socket's path.
    WrongType,
    /// Another machine answers.
    WrongName,
}

const ALL: [Failure; 11] = [
    Failure::None,
    Failure::Refused,
    Failure::BlackHole,
    Failure::NeverAnswers,
    Failure::StallsAfterRead,
    Failure::StallsHalfway,
    Failure::ResetUnread,
    Failure::ResetRead,
    Failure::Missing,
    Failure::WrongType,
    Failure::WrongName,
];

impl Failure {
    /// Returns whether the endpoint has no listener.
    fn closed(self) -> bool {
        matches!(self, Self::Refused | Self::Missing | Self::WrongType)
    }
}

/// Address of an endpoint.
#[derive(Clone, Debug)]
pub enum EndpointAddress {
    /// Path of a Unix socket.
    Unix(PathBuf),
    /// TCP address.
    Tcp(SocketAddr),
}

/// One endpoint of a machine.
#[derive(Debug)]
pub struct Endpoint {
    /// Its address.
    pub address: EndpointAddress,
    failure: AtomicU8,
    /// Number of times that a new listener has replaced the old one.
    replaced: AtomicU64,
}

impl Endpoint {
    /// Returns the current failure.
    pub fn failure(&self) -> Failure {
        ALL.get(usize::from(self.failure.load(Ordering::SeqCst))).copied().unwrap_or(Failure::None)
    }

    /// Sets the failure from now on.
    pub fn fail(&self, failure: Failure) {
        self.failure.store(failure as u8, Ordering::SeqCst);
    }

    /// Replaces the listening socket; open connections continue.
    pub fn replace(&self) {
        self.replaced.fetch_add(1, Ordering::SeqCst);
    }
}

/// A stand-in machine.
#[derive(Debug)]
pub struct Machine {
    /// Its index in the run.
    pub index: usize,
    /// Its name.
    pub name: String,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Cached copies, with the Unix time of each.
    cached: Mutex<HashMap<u64, f64>>,
    /// Unix time of the last purge of each object. Cached copies are removed `PURGE_DELAY_MS` later.
    purged: Mutex<HashMap<u64, f64>>,
    /// Time until which each lane is busy.
    lanes: Mutex<[Millis; LANES]>,
    /// Arrival times of recent requests.
    recent_requests: Mutex<VecDeque<Millis>>,
    /// Time of its last cold start, in whole milliseconds; 0: warm since the beginning.
    cold_started_ms: AtomicU64,
    /// Delay of each answer, concurrently with others, in milliseconds; 0: answers are sent in order
    /// without delay.
    answer_delay_ms: AtomicU64,
    /// Its kind, as in the discovery service.
    pub kind: &'static str,
    world: Arc<World>,
}

impl Machine {
    /// Starts a machine that listens on a Unix socket below `dir`, on IPv6 and on IPv4.
    pub fn start(
        world: &Arc<World>,
        index: usize,
        name: &str,
        kind: &'static str,
        dir: &Path,
    ) -> io::Result<Arc<Self>> {
        let path = dir.join(format!("{name}.sock"));
        let any: SocketAddr = ([0u16, 0, 0, 0, 0, 0, 0, 1], 0).into();
        let mut sockets =
            vec![(listen(&EndpointAddress::Unix(path.clone()), 128)?, EndpointAddress::Unix(path))];
        sockets.push(bound(&EndpointAddress::Tcp(any))?);
        sockets.push(bound(&EndpointAddress::Tcp(world.loopback.any_port()))?);
        let endpoint = |address: &EndpointAddress| Endpoint {
            address: address.clone(),
            failure: AtomicU8::new(0),
            replaced: AtomicU64::new(0),
        };
        let machine = Arc::new(Self {
            index,
            name: name.to_owned(),
            endpoints: sockets.iter().map(|(_, address)| endpoint(address)).collect(),
            cached: Mutex::default(),
            recent_requests: Mutex::default(),
            purged: Mutex::default(),
            lanes: Mutex::default(),
            cold_started_ms: AtomicU64::new(0),
            answer_delay_ms: AtomicU64::new(0),
            kind,
            world: world.clone(),
        });
        for (at, (listener, _)) in sockets.into_iter().enumerate() {
            let machine = machine.clone();
            thread::spawn(move || machine.listen(at, listener));
        }
        Ok(machine)
    }

    /// Returns the address that the discovery service lists.
    pub fn address(&self) -> SocketAddr {
        match self.endpoints.last().map(|endpoint| &endpoint.address) {
            Some(EndpointAddress::Tcp(address)) => *address,
            _ => ([127, 0, 0, 1], 0).into(),
        }
    }

    /// Records the purge of an object at a Unix time.
    pub fn purge(&self, object: u64, made_unix_ms: f64) {
        self.purged.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).insert(object, made_unix_ms);
    }

    /// Delays each answer by this time from now on, concurrently with others.
    pub fn set_answer_delay(&self, wait_ms: u64) {
        self.answer_delay_ms.store(wait_ms, Ordering::SeqCst);
    }

    /// Writes an answer after a delay; answers may overtake each other.
    fn answer_later(&self, stream: &Socket, lock: &Arc<Mutex<()>>, answer: Vec<u8>, wait_ms: u64) {
        let (Ok(mut stream), lock) = (stream.try_clone(), lock.clone()) else { return };
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(wait_ms));
            let _whole = lock.lock();
            let _ = stream.write_all(&answer); // The router may have closed the connection.
        });
    }

    /// Restarts the machine with an empty cache and reduced capacity.
    pub fn restart_cold(&self) {
        self.cold_started_ms.store(self.world.now().max(1.0) as u64, Ordering::SeqCst);
        self.cached.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clear();
    }

    /// Listens on one endpoint, as its failure permits.
    fn listen(self: Arc<Self>, at: usize, first: Socket) {
        let endpoint = &self.endpoints[at];
        let (mut listener, mut applied, mut replaced) = (Some(first), Failure::None, 0);
        let mut fillers = Vec::new();
        while !self.world.ended() {
            let failure = endpoint.failure();
            let again = endpoint.replaced.load(Ordering::SeqCst) != replaced;
            if failure != applied || again {
                if again
                    || failure.closed()
                    || failure == Failure::BlackHole
                    || listener.is_none()
                    || applied == Failure::BlackHole
                {
                    drop(listener.take());
                    fillers.clear();
                }
                if let EndpointAddress::Unix(path) = &endpoint.address {
                    if listener.is_none() {
                        let _ = std::fs::remove_file(path);
                    }
                    if failure == Failure::WrongType {
                        let _ = std::fs::write(path, "no socket");
                    }
                }
                (applied, replaced) = (failure, endpoint.replaced.load(Ordering::SeqCst));
            }
            if listener.is_none() && !failure.closed() {
                let backlog = if failure == Failure::BlackHole { 0 } else { 128 };
                listener = listen(&endpoint.address, backlog).ok();
                if failure == Failure::BlackHole {
                    // A full accept queue drops further connection attempts without an answer.
                    fillers.extend((0..4).filter_map(|_| fill_backlog(&endpoint.address).ok()));
                }
            }
            let Some(socket) = listener.as_ref().filter(|_| failure != Failure::BlackHole) else {
                thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
                continue;
            };
            if !readable(socket) {
                continue;
            }
            if let Ok((stream, _)) = socket.accept() {
                let now = self.world.now();
                {
                    let mut seen = self.world.observations();
                    seen.accepts.push((self.index, at, now));
                    seen.checker.connection_accepted(self.index, now);
                }
                let machine = self.clone();
                thread::spawn(move || machine.serve(at, stream, now));
            }
        }
        if let EndpointAddress::Unix(path) = &endpoint.address {
            let _ = std::fs::remove_file(path);
        }
    }

    /// Serves one connection until it or its endpoint fails or closes.
    fn serve(&self, at: usize, stream: Socket, accepted: Millis) {
        *self.world.observations().open_connections.entry((self.index, at)).or_default() += 1;
        self.serve_one(at, stream, accepted);
        *self.world.observations().open_connections.entry((self.index, at)).or_default() -= 1;
    }

    fn serve_one(&self, at: usize, mut stream: Socket, accepted: Millis) {
        let endpoint = &self.endpoints[at];
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(POLL_INTERVAL_MS)));
        let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
        if !matches!(endpoint.address, EndpointAddress::Unix(_)) {
            let _ = stream.set_tcp_nodelay(true);
        }
        let reset = |stream: &Socket| drop(stream.set_linger(Some(Duration::ZERO)));
        let (mut decoder, mut buffer, mut first) = (Decoder::default(), vec![0; 64 * 1024], true);
        let (mut begun, wrong_machine) = (None, endpoint.failure() == Failure::WrongName);
        let write_lock = Arc::new(Mutex::new(()));
        while !self.world.ended() {
            let failure = endpoint.failure();
            if (failure == Failure::WrongName) != wrong_machine {
                return reset(&stream); // Another machine answers from now on.
            }
            match failure {
                // Received requests are still answered: a connection that closes while idle says nothing
                // about the endpoint.
                failure if (failure.closed() || failure == Failure::BlackHole) && !readable_now(&stream) => {
                    return
                }
                Failure::ResetUnread => {
                    if readable(&stream) {
                        let now = self.world.now();
                        self.world.observations().failed_endpoint_requests.push((self.index, at, now));
                        return reset(&stream);
                    }
                    continue;
                }
                _ => {}
            }
            let bytes = match stream.read(&mut buffer) {
                Ok(0) => return,
                Ok(bytes) => bytes,
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
                    ) =>
                {
                    continue
                }
                Err(_) => return,
            };
            let now = self.world.now();
            decoder.feed(&buffer[..bytes]);
            let (mut out, mut greeting) = (Vec::new(), false);
            loop {
                let parts = match decoder.next_frame() {
                    Ok(Some(parts)) => parts,
                    Ok(None) => break,
                    Err(_) => return,
                };
                let (name, wrong) = (&self.name, wrong_machine);
                match &parts[..] {
                    [verb, tag] if verb == b"HELO" || verb == b"STAT" => {
                        greeting = true;
                        let name = if wrong { "somebody-else" } else { name };
                        let fields = format!("name={name},{}", self.load_report(false));
                        out.extend(frame(&[tag, b"FIT", fields.as_bytes(), b""]));
                    }
                    [verb, id, fields, body] if verb == b"REQ" => {
                        self.request_arrived(
                            at,
                            id,
                            begun.unwrap_or(now),
                            now,
                            accepted,
                            std::mem::take(&mut first),
                            wrong,
                        );
                        let answer = self.answer(id, fields, body);
                        match self.answer_delay_ms.load(Ordering::SeqCst) {
                            wait_ms if wait_ms > 0 && failure == Failure::None => {
                                self.answer_later(&stream, &write_lock, answer, wait_ms);
                            }
                            _ => {
                                out.extend(answer);
                                self.occupy_lane();
                            }
                        }
                    }
                    _ => {}
                }
                begun = None;
            }
            if decoder.has_partial_frame() {
                begun = begun.or(Some(now));
            }
            match failure {
                Failure::NeverAnswers => continue,
                Failure::StallsAfterRead if !greeting => continue,
                Failure::ResetRead if !greeting && !out.is_empty() => return reset(&stream),
                Failure::StallsHalfway if !greeting && !out.is_empty() => {
                    let _ = stream.write_all(&out[..out.len() / 2]);
                    while endpoint.failure() == Failure::StallsHalfway && !self.world.ended() {
                        thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
                    }
                    return;
                }
                _ => {}
            }
            let _whole = write_lock.lock();
            if stream.write_all(&out).is_err() {
                return;
            }
        }
    }

    /// Records a completely received request, which may have been executed.
    #[allow(clippy::too_many_arguments)]
    fn request_arrived(
        &self,
        endpoint: usize,
        id: &[u8],
        begun: Millis,
        at: Millis,
        accepted: Millis,
        first: bool,
        wrong: bool,
    ) {
        let id = std::str::from_utf8(id).ok().and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
        let mut seen = self.world.observations();
        let again = seen.checker.arrived(id, self.index, begun);
        seen.arrivals.push((self.index, at));
        seen.wrong_name += u64::from(wrong);
        if let Some(sent) = seen.checker.sent_at(id) {
            if first && !again {
                seen.first_requests.push(First { machine: self.index, endpoint, at, after_ms: at - sent });
            } else if !again {
                seen.usual_delays_ms.push(at - sent);
            }
        }
        seen.failed_endpoint_requests
            .extend(loses_requests(self.endpoints[endpoint].failure()).then_some((self.index, endpoint, at)));
        let taken = seen
            .removed_endpoints
            .get(&(self.index, endpoint))
            .is_some_and(|since| accepted > since + 1000.0);
        seen.after_reload += u64::from(taken);
    }

    /// Returns the share of its capacity that it has at this time.
    fn capacity_share(&self, now: Millis) -> f64 {
        match self.cold_started_ms.load(Ordering::SeqCst) {
            0 => 1.0,
            at => (COLD_FROM + (1.0 - COLD_FROM) * (now - at as f64) / COLD_MS).min(1.0),
        }
    }

    /// Waits for a free lane and occupies it for the time of one request.
    fn occupy_lane(&self) {
        if self.kind != "std" {
            return;
        }
        let now = self.world.now();
        let done = {
            let mut lanes = self.lanes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            lanes.sort_by(f64::total_cmp);
            lanes[0] = lanes[0].max(now) + SEND_MS / self.capacity_share(now);
            lanes[0]
        };
        thread::sleep(Duration::from_secs_f64((done - now) / 1e3));
    }

    /// Returns its load report: the current load as a share of its capacity.
    fn load_report(&self, came: bool) -> String {
        let now = self.world.now();
        let mut recent_requests =
            self.recent_requests.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if came {
            recent_requests.push_back(now);
        }
        while recent_requests.front().is_some_and(|at| *at < now - LOAD_WINDOW_MS) {
            recent_requests.pop_front();
        }
        let capacity = self.capacity_share(now) * if self.kind == "std" { CAPACITY } else { UPPER_CAPACITY };
        let util = recent_requests.len() as f64 * 1e3 / LOAD_WINDOW_MS / capacity;
        format!("meter=inflight:1;util:{:.3}", util.min(1.0))
    }

    fn answer(&self, id: &[u8], fields: &[u8], body: &[u8]) -> Vec<u8> {
        let fields = std::str::from_utf8(fields).unwrap_or_default();
        let get = |name: &str| {
            fields
                .split(',')
                .filter_map(|pair| pair.split_once('='))
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v)
        };
        let object = get("item").and_then(|item| u64::from_str_radix(item, 16).ok());
        let mut cached = self.cached.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let now = unix_ms();
        let purged = self.purged.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let purged = object.and_then(|object| purged.get(&object).copied());
        if let (Some(object), Some(made)) = (object, purged.filter(|made| now >= made + PURGE_DELAY_MS)) {
            cached.retain(|cached, stamp| *cached != object || *stamp >= made);
        }
        // A cached copy that is young enough is served; otherwise it is fetched, if a source is named.
        let oldest = get("newer").and_then(|ms| ms.parse::<f64>().ok()).filter(|ms| *ms > 0.0);
        let copy = object.and_then(|object| cached.get(&object).copied());
        let young = copy.filter(|stamp| oldest.is_none_or(|oldest| now - stamp <= oldest));
        let (source, stamp) = match (young, get("fetch")) {
            (Some(stamp), _) => ("cached", stamp),
            (None, Some(_)) => ("fetched", now),
            (None, None) if object.is_none() || self.kind == "core" => ("fetched_root", now),
            (None, None) => return frame(&[id, b"LACK", b"-", b""]),
        };
        if let Some(object) = object {
            cached.insert(object, stamp);
            if self.kind == "std" {
                let mut seen = self.world.observations();
                let (from, all) = &mut seen.cache_answers[usize::from(object % GROUPS != PHOTOS)];
                (*from, *all) = (*from + u64::from(source == "cached"), *all + 1);
            }
        }
        let mut bytes = format!("{stamp:.0}\n").into_bytes();
        bytes.extend_from_slice(body);
        bytes.resize(BODY_BYTES, b'.');
        let fields = format!("tell={source},version=ab,stamp={stamp:.0},took=1,{}", self.load_report(true));
        frame(&[id, b"DONE", fields.as_bytes(), &bytes])
    }
}

/// Returns whether requests on an endpoint with this failure are lost.
fn loses_requests(failure: Failure) -> bool {
    !matches!(failure, Failure::None)
}

fn socket_address(address: &EndpointAddress) -> io::Result<(Domain, SockAddr)> {
    Ok(match address {
        EndpointAddress::Unix(path) => (Domain::UNIX, SockAddr::unix(path)?),
        EndpointAddress::Tcp(address) => (Domain::for_address(*address), (*address).into()),
    })
}

fn listen(address: &EndpointAddress, backlog: i32) -> io::Result<Socket> {
    let (domain, address) = socket_address(address)?;
    let socket = Socket::new(domain, Type::STREAM, None)?;
    if domain != Domain::UNIX {
        socket.set_reuse_address(true)?;
    }
    socket.bind(&address)?;
    socket.listen(backlog)?;
    Ok(socket)
}

fn bound(address: &EndpointAddress) -> io::Result<(Socket, EndpointAddress)> {
    let socket = listen(address, 128)?;
    let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
    Ok((socket, EndpointAddress::Tcp(address)))
}

fn fill_backlog(address: &EndpointAddress) -> io::Result<Socket> {
    let (domain, address) = socket_address(address)?;
    let socket = Socket::new(domain, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    let _ = socket.connect(&address);
    Ok(socket)
}

fn readable(socket: &Socket) -> bool {
    readable_within(socket, POLL_INTERVAL_MS)
}

fn readable_now(socket: &Socket) -> bool {
    readable_within(socket, 0)
}

fn readable_within(socket: &Socket, ms: u64) -> bool {
    let mut fds = [PollFd::from_borrowed_fd(socket.as_fd(), PollFlags::IN)];
    let wait = Timespec { tv_sec: 0, tv_nsec: ms as i64 * 1_000_000 };
    matches!(poll(&mut fds, Some(&wait)), Ok(1..))
}
