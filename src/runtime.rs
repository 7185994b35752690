//! The event loop: sockets, clocks and signals. It turns what they bring into inputs, and carries out effects.

use crate::api::{LoadReport, Millis, Outcome};
use crate::back::{self, LinkKey, Links};
use crate::board::Follower;
use crate::config::Config;
use crate::front::{self, Conn, Standing};
use crate::reducer::{Client, Effect, End, Input, Reducer, Reply};
use crate::say;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bytes read from one connection before others have their turn: a machine's, and a client's, whose requests
/// are small.
const READ_AT_ONCE: usize = 512 * 1024;
const READ_CLIENT_AT_ONCE: usize = 64 * 1024;
/// Connections that may wait to be accepted: hundreds can come together, and one that finds no place here
/// tries again only after a second.
const BACKLOG: i32 = 1024;
/// Connections accepted before others have their turn.
const ACCEPT_AT_ONCE: usize = 64;
/// How long to wait before accepting again when there is no descriptor for another connection.
const ACCEPT_PAUSE_MS: Millis = 20.0;
/// At the end: how long answers may take to leave, and how long what has left may take to arrive.
const LAST_WRITES_MS: Millis = 250.0;
const LAST_READS_MS: Millis = 60.0;
/// Part of the memory limit that requests which are still coming in may take.
const COMING_IN: f64 = 0.1;
/// Time between looks for client connections whose client is silent or gone.
const SWEEP_MS: Millis = 250.0;
/// Longest sleep of the loop.
const IDLE_MS: Millis = SWEEP_MS;

/// A connect that goes on by itself, on Linux; it has no stable [`ErrorKind`].
const EINPROGRESS: i32 = 115;

/// What a readiness is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    /// A machine's connection. These go first: one that has closed is known before it is used.
    Link(LinkKey),
    Board,
    Front(u64),
    Listener,
}

/// A socket in the loop. Edge-triggered: what it was last found able to do is kept here.
struct Sock {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    readable: bool,
    writable: bool,
}

/// How a round of reading or writing ended.
enum Io {
    /// The socket can do no more now.
    Blocked,
    /// It has ended.
    Over(&'static str),
}

/// Inputs that wait for the reducer.
#[derive(Debug, Default)]
pub struct Inbox(VecDeque<Input>);

impl Inbox {
    /// Adds an input. How far an attempt has come goes before all else that waits: one that is given up by
    /// another input must not pass for unsent when it has left.
    pub fn push(&mut self, input: Input) {
        match input {
            Input::Progressed { .. } => self.0.push_front(input),
            _ => self.0.push_back(input),
        }
    }

    /// Takes the next one.
    pub fn pop(&mut self) -> Option<Input> {
        self.0.pop_front()
    }
}

impl Extend<Input> for Inbox {
    fn extend<T: IntoIterator<Item = Input>>(&mut self, inputs: T) {
        inputs.into_iter().for_each(|input| self.push(input));
    }
}

struct Runtime {
    handle: LoopHandle<'static, Runtime>,
    start: Instant,
    reducer: Reducer,
    inbox: Inbox,
    ready: BTreeMap<Source, Readiness>,
    signals: Vec<Signal>,
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    accept_from: Option<Millis>,
    sweep_at: Millis,
    fronts: BTreeMap<u64, (Sock, Conn)>,
    next_front: u64,
    links: Links,
    link_socks: BTreeMap<LinkKey, Sock>,
    /// Bytes of requests that are still coming in, and the most there may be.
    coming: usize,
    most_coming: usize,
    /// Where the config has it listen.
    listens: SocketAddr,
    board_at: SocketAddr,
    board: Option<(Sock, Vec<u8>)>,
    follower: Follower,
    /// Connections with something to write or, after their turn, to read.
    dirty: BTreeSet<Source>,
    exit_by: Option<Millis>,
    buffer: Vec<u8>,
}

/// Serves until it is told to end.
pub fn run(config: Config) -> Result<(), String> {
    let io = |what: &str| {
        let what = what.to_owned();
        move |e: io::Error| format!("{what}: {e}")
    };
    let mut events: EventLoop<'static, Runtime> =
        EventLoop::try_new().map_err(|e| format!("event loop: {e}"))?;
    let handle = events.handle();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP]);
    let signals = signals.map_err(|e| format!("signals: {e}"))?;
    let noted =
        |event: calloop::signals::Event, (): &mut (), state: &mut Runtime| state.signals.push(event.signal());
    handle.insert_source(signals, noted).map_err(|e| format!("signals: {e}"))?;
    std::panic::set_hook(Box::new(|panic| say!("{panic}")));
    let start = Instant::now();
    let reducer = Reducer::new(config.settings, config.net.clone(), config.seed, 0.0, unix_ms());
    let listener = listen(config.listen).map_err(io("listen"))?;
    let listener = Rc::new(listener);
    let listens = listener.local_addr().map_err(io("listen"))?;
    let token =
        register(&handle, listener.clone(), Source::Listener, Interest::READ).map_err(io("listen"))?;
    let net = &config.net;
    let links = Links::new(net.dial_timeout_ms, net.idle_ms, net.streams, reducer.most_links());
    let mut state = Runtime {
        handle,
        start,
        reducer,
        inbox: Inbox::default(),
        ready: BTreeMap::new(),
        signals: Vec::new(),
        listener: Some((listener, token)),
        accept_from: None,
        sweep_at: SWEEP_MS,
        fronts: BTreeMap::new(),
        next_front: 0,
        links,
        link_socks: BTreeMap::new(),
        coming: 0,
        most_coming: (config.net.memory as f64 * COMING_IN) as usize,
        listens: config.listen,
        board_at: config.board,
        board: None,
        follower: Follower::new(config.rev),
        dirty: BTreeSet::new(),
        exit_by: None,
        buffer: vec![0; 64 * 1024],
    };
    let unix_ms = unix_ms();
    state.inbox.extend(config.known.into_iter().map(|notice| Input::Notice { notice, unix_ms }));
    state.work();
    say!("{} listens on {}, the board is at {}", config.name, listens, config.board);
    while !state.over() {
        let wait = Duration::from_secs_f64((state.wake() - state.now()).clamp(0.0, IDLE_MS) / 1000.0);
        match events.dispatch(Some(wait), &mut state) {
            Ok(()) => state.turn(),
            Err(e) => say!("event loop: {e}"),
        }
    }
    say!(always; "{} ends; {}", config.name, state.reducer.counters);
    Ok(())
}

/// The system's Unix clock, for the times that the protocol names.
fn unix_ms() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

fn register<F: AsFd + 'static>(
    handle: &LoopHandle<'static, Runtime>,
    file: F,
    source: Source,
    interest: Interest,
) -> io::Result<RegistrationToken> {
    let generic = Generic::new(file, interest, Mode::Edge);
    let noted = move |readiness: Readiness, _: &mut calloop::generic::NoIoDrop<F>, state: &mut Runtime| {
        let known = state.ready.entry(source).or_insert(Readiness::EMPTY);
        known.readable |= readiness.readable;
        known.writable |= readiness.writable;
        known.error |= readiness.error;
        Ok(PostAction::Continue)
    };
    handle.insert_source(generic, noted).map_err(|e| io::Error::other(e.to_string()))
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?; // Connections from before a restart may still be closing.
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Starts to connect.
fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(e) if !is_under_way(&e) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// What a client's connection has brought, for the reducer.
fn heard_input(conn: u64, heard: front::Heard) -> Input {
    let client = |serial| Client { conn, serial };
    match heard {
        front::Heard::Asked(serial, ask, age_ms) => Input::Asked { client: client(serial), ask, age_ms },
        front::Heard::Health(serial) => Input::Health { client: client(serial) },
        front::Heard::Aborted(serial) => Input::Aborted { client: client(serial) },
    }
}

fn is_under_way(e: &io::Error) -> bool {
    e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(EINPROGRESS)
}

impl Sock {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize, Io> {
        once(&mut self.readable, || (&*self.stream).read(buffer))
    }

    fn write(&mut self, bytes: &[u8]) -> Result<usize, Io> {
        once(&mut self.writable, || (&*self.stream).write(bytes))
    }
}

/// Reads or writes once; `able` is taken away when the socket can do no more.
fn once(able: &mut bool, mut io: impl FnMut() -> io::Result<usize>) -> Result<usize, Io> {
    loop {
        match io() {
            Ok(0) => return Err(Io::Over("closed")),
            Ok(bytes) => return Ok(bytes),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                *able = false;
                return Err(Io::Blocked);
            }
            Err(_) => return Err(Io::Over("broken")),
        }
    }
}

impl Runtime {
    /// The monotonic clock, for the module and all timers.
    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn over(&self) -> bool {
        let flushed = || self.fronts.values().all(|(_, conn)| conn.unwritten() == 0);
        self.exit_by.is_some_and(|by| self.now() >= by || flushed())
    }

    /// When the loop is to wake up at the latest.
    fn wake(&self) -> Millis {
        if !self.dirty.is_empty() {
            return 0.0;
        }
        let board = Some(self.follower.due);
        let dues = [self.reducer.next_due(), self.links.next_due(), board, self.accept_from, self.exit_by];
        dues.into_iter().flatten().fold(f64::INFINITY, f64::min)
    }

    /// One round: what is ready, then what is due.
    fn turn(&mut self) {
        for signal in std::mem::take(&mut self.signals) {
            match signal {
                Signal::SIGUSR1 => {
                    let (clients, links) = (self.fronts.len(), self.links.count());
                    let (requests, machines) = (self.reducer.open(), self.reducer.known_machines());
                    say!(always; "now clients={clients} links={links} requests={requests} machines={machines}");
                    say!(always; "{}", self.reducer.counters);
                }
                Signal::SIGHUP => self.reload(Config::from_env()),
                _ => {
                    say!("told to end; {} requests are open", self.reducer.open());
                    self.inbox.push(Input::Terminate);
                }
            }
        }
        for (source, readiness) in std::mem::take(&mut self.ready) {
            let sock = match source {
                Source::Link(key) => self.link_socks.get_mut(&key),
                Source::Front(key) => self.fronts.get_mut(&key).map(|(sock, _)| sock),
                Source::Board => self.board.as_mut().map(|(sock, _)| sock),
                Source::Listener => None,
            };
            if let Some(sock) = sock {
                sock.readable |= readiness.readable || readiness.error;
                sock.writable |= readiness.writable || readiness.error;
            }
            self.dirty.insert(source);
        }
        let now = self.now();
        if self.accept_from.is_some_and(|at| at <= now) {
            self.accept_from = None;
            self.dirty.insert(Source::Listener);
        }
        for source in std::mem::take(&mut self.dirty) {
            self.serve(source);
        }
        for (key, why) in self.links.expired(self.now()) {
            self.link_down(key, why);
        }
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP_MS;
            self.sweep(now);
        }
        if self.follower.due <= self.now() {
            self.poll_board();
        }
        if self.reducer.next_due().is_some_and(|at| at <= self.now()) {
            self.inbox.push(Input::Due);
        }
        self.work();
    }

    /// Serves one connection. A panic stops there: the connection ends, the rest goes on.
    fn serve(&mut self, source: Source) {
        let served = catch_unwind(AssertUnwindSafe(|| match source {
            Source::Link(key) => self.serve_link(key),
            Source::Front(key) => self.serve_front(key),
            Source::Board => self.serve_board(),
            Source::Listener => self.accept(),
        }));
        if served.is_err() {
            self.reducer.counters.panics += 1;
            say!("a panic ends {source:?}");
            match source {
                Source::Link(key) => self.link_down(key, "panic"),
                Source::Front(key) => self.close_front(key),
                Source::Board => self.board_failed("panic"),
                Source::Listener => {}
            }
        }
        self.work();
    }

    /// Gives the reducer its inputs and carries out its effects until nothing is left.
    fn work(&mut self) {
        while let Some(input) = self.inbox.pop() {
            let now = self.now();
            let step = catch_unwind(AssertUnwindSafe(|| self.reducer.step(now, input)));
            let Ok(effects) = step else {
                // The guard timers still answer whatever this leaves open.
                self.reducer.counters.panics += 1;
                say!("a panic ends the handling of one input");
                continue;
            };
            effects.into_iter().for_each(|effect| self.carry_out(now, effect));
        }
    }

    fn carry_out(&mut self, now: Millis, effect: Effect) {
        match effect {
            Effect::Answer { client, reply } => {
                if let Some((_, conn)) = self.fronts.get_mut(&client.conn) {
                    let owed = conn.answer(client.serial, &reply);
                    self.dirty.insert(Source::Front(client.conn));
                    // Taken back by its client in the same turn, it never leaves, and isn't on its way.
                    let unowed = if owed { None } else { Some(reply) };
                    if let Some(Reply::Served(body)) = unowed {
                        self.inbox.push(Input::Flushed { conn: client.conn, bytes: body.len() });
                    }
                }
            }
            Effect::Send { attempt, member, address, call } => {
                match self.links.send(now, attempt, &member, address, &call) {
                    Some((key, new)) => self.queued(key, new),
                    None => self.inbox.push(Input::Ended { attempt, end: End::NoRoom }),
                }
            }
            Effect::Stop { attempt } => {
                if let Some(key) = self.links.stop(now, attempt) {
                    self.dirty.insert(Source::Link(key));
                }
            }
            Effect::Probe { member, address } => match self.links.probe(now, &member, address) {
                Some((key, new)) => self.queued(key, new),
                None => self.probe_failed(member),
            },
            Effect::Retire { member } => self.links.retire(&member),
            Effect::Reborn { member, at } => {
                for key in self.links.older(&member, at) {
                    self.link_down(key, "its machine has started anew");
                }
            }
            Effect::Log(text) => say!("{text}"),
            Effect::StopListening => {
                if let Some((_, token)) = self.listener.take() {
                    self.handle.remove(token);
                }
            }
            Effect::Exit => self.exit_by = Some(now + LAST_WRITES_MS),
        }
    }

    fn probe_failed(&mut self, member: crate::api::CacheId) {
        let (outcome, report) = (Outcome::ConnectFailed, LoadReport::default());
        self.inbox.push(Input::Probed { member, outcome, report });
    }

    /// Something is queued for a machine: dials if the connection is new.
    fn queued(&mut self, key: LinkKey, new: bool) {
        self.dirty.insert(Source::Link(key));
        let Some(address) = self.links.address(key).filter(|_| new) else { return };
        self.reducer.counters.dials += 1;
        let dialled = dial(address).and_then(|stream| {
            let stream = Rc::new(stream);
            let token = register(&self.handle, stream.clone(), Source::Link(key), Interest::BOTH)?;
            Ok(Sock { stream, token, readable: false, writable: false })
        });
        match dialled {
            Ok(sock) => {
                self.link_socks.insert(key, sock);
            }
            Err(_) => self.link_down(key, "cannot be dialled"),
        }
    }

    fn serve_link(&mut self, key: LinkKey) {
        let Some(sock) = self.link_socks.get_mut(&key) else { return };
        if !self.links.is_up(key) {
            if !sock.writable {
                return;
            }
            match sock.stream.take_error() {
                Ok(None) if sock.stream.peer_addr().is_ok() => {
                    self.links.up(self.start.elapsed().as_secs_f64() * 1e3, key)
                }
                Ok(None) => return,
                _ => return self.link_down(key, "refused"),
            }
        }
        // Reading goes first: a close by the other side is seen before anything is written into it.
        if let Some(why) = self.read_link(key).or_else(|| self.write_link(key)) {
            self.link_down(key, why);
        }
    }

    fn read_link(&mut self, key: LinkKey) -> Option<&'static str> {
        let mut read = 0;
        loop {
            let now = self.now();
            let sock = self.link_socks.get_mut(&key)?;
            // One that rests may have been closed with no word from the loop yet.
            let may_have_closed = read == 0 && self.links.rested(key);
            if !sock.readable && !may_have_closed {
                return None;
            }
            if read > READ_AT_ONCE {
                self.dirty.insert(Source::Link(key));
                return None;
            }
            let bytes = match sock.read(&mut self.buffer) {
                Ok(bytes) => bytes,
                Err(Io::Over(why)) => return Some(why),
                Err(_) => return None,
            };
            read += bytes;
            let (heard, fault) = self.links.receive(now, key, &self.buffer[..bytes]);
            for heard in heard {
                let counters = &mut self.reducer.counters;
                self.inbox.push(match heard {
                    back::Heard::Answer(attempt, answer) => {
                        Input::Ended { attempt, end: End::Answer(answer) }
                    }
                    back::Heard::Probe(member, outcome, report) => Input::Probed { member, outcome, report },
                    back::Heard::Late => {
                        counters.answers_late += 1;
                        continue;
                    }
                    back::Heard::Unknown => {
                        counters.answers_unknown += 1;
                        say!("an answer with an unknown id");
                        continue;
                    }
                });
            }
            if let Some(fault) = fault {
                self.reducer.counters.shelf_faults += 1;
                say!("a machine's answer can't be read: {}", fault.0);
                return Some("unreadable");
            }
        }
    }

    fn write_link(&mut self, key: LinkKey) -> Option<&'static str> {
        let now = self.now();
        let sock = self.link_socks.get_mut(&key)?;
        while let Some(bytes) = self.links.output(key).filter(|_| sock.writable) {
            match sock.write(bytes) {
                Ok(bytes) => {
                    if let Some((attempt, progress)) = self.links.wrote(now, key, bytes) {
                        self.inbox.push(Input::Progressed { attempt, progress });
                    }
                }
                Err(Io::Over(why)) => return Some(why),
                Err(_) => break,
            }
        }
        None
    }

    fn link_down(&mut self, key: LinkKey, why: &'static str) {
        let (now, address, up) = (self.now(), self.links.address(key), self.links.is_up(key));
        if let Some(sock) = self.link_socks.remove(&key) {
            self.handle.remove(sock.token);
        }
        let known: BTreeSet<LinkKey> = self.link_socks.keys().copied().collect();
        let ended = self.links.down(now, key);
        if let Some(address) = address.filter(|_| !up) {
            self.reducer.counters.dials_failed += 1;
            say!("no connection to {address}: {why}");
        } else if let Some(address) = address.filter(|_| !ended.lost.is_empty()) {
            say!("connection to {address} lost with {} attempts: {why}", ended.lost.len());
        }
        for (attempt, progress) in ended.lost {
            self.inbox.push(Input::Ended { attempt, end: End::Lost(progress) });
        }
        ended.probes.into_iter().for_each(|member| self.probe_failed(member));
        for to in ended.moved {
            self.queued(to, !known.contains(&to));
        }
    }

    fn accept(&mut self) {
        for _ in 0..ACCEPT_AT_ONCE {
            if self.fronts.len() >= self.reducer.most_clients() && !self.shed_front() {
                self.accept_from = Some(self.now() + ACCEPT_PAUSE_MS);
                return;
            }
            let Some((listener, _)) = &self.listener else { return };
            let accepted = listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                stream.set_nodelay(true)?;
                let stream = Rc::new(stream);
                let source = Source::Front(self.next_front + 1);
                let token = register(&self.handle, stream.clone(), source, Interest::BOTH)?;
                Ok(Sock { stream, token, readable: true, writable: true })
            });
            match accepted {
                Ok(sock) => {
                    self.next_front += 1;
                    self.fronts.insert(self.next_front, (sock, Conn::new(self.now())));
                    self.dirty.insert(Source::Front(self.next_front));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::ConnectionAborted || e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    say!("cannot accept: {e}");
                    self.shed_front();
                    self.accept_from = Some(self.now() + ACCEPT_PAUSE_MS);
                    return;
                }
            }
        }
        self.dirty.insert(Source::Listener);
    }

    /// Makes room for another client: the silent and then the longest idle ones go first.
    fn shed_front(&mut self) -> bool {
        let now = self.now();
        let spare = self.fronts.iter().filter_map(|(key, (_, conn))| Some((conn.spare(now)?, *key)));
        let Some((_, key)) = spare.min() else { return false };
        self.reducer.counters.clients_shed += 1;
        self.close_front(key);
        true
    }

    /// Looks for clients that are silent, deaf or gone, and for requests that should have been whole by now.
    fn sweep(&mut self, now: Millis) {
        let mut over = Vec::new();
        for (key, (_, conn)) in &mut self.fronts {
            let before = conn.holding();
            match conn.standing(now) {
                Standing::Good => {}
                Standing::Over => over.push(*key),
                Standing::Late(late) => {
                    self.inbox.extend(late.into_iter().map(|heard| heard_input(*key, heard)));
                }
            }
            self.coming = self.coming + conn.holding() - before;
        }
        self.reducer.counters.clients_stale += over.len() as u64;
        over.into_iter().for_each(|key| self.close_front(key));
    }

    fn serve_front(&mut self, key: u64) {
        let over = self.read_front(key) || self.write_front(key);
        if over || self.fronts.get(&key).is_some_and(|(_, conn)| conn.over()) {
            self.close_front(key);
        }
    }

    /// Reads what a client has sent; true if its connection has ended.
    fn read_front(&mut self, key: u64) -> bool {
        let mut read = 0;
        loop {
            let now = self.now();
            let Some((sock, conn)) = self.fronts.get_mut(&key) else { return false };
            if !sock.readable || !conn.listens() {
                return false;
            }
            if read >= READ_CLIENT_AT_ONCE {
                self.dirty.insert(Source::Front(key));
                return false;
            }
            let bytes = match sock.read(&mut self.buffer) {
                Ok(bytes) => bytes,
                Err(Io::Over(_)) => return true,
                Err(_) => return false,
            };
            read += bytes;
            let before = conn.holding();
            let heard = conn.receive(now, &self.buffer[..bytes]);
            self.coming = self.coming + conn.holding() - before;
            let bytes = conn.taken_back();
            if bytes > 0 {
                self.inbox.push(Input::Flushed { conn: key, bytes });
            }
            match heard {
                Ok(heard) => self.inbox.extend(heard.into_iter().map(|heard| heard_input(key, heard))),
                Err(fault) => {
                    self.reducer.counters.client_faults += 1;
                    say!("a client's record can't be read: {fault:?}");
                    return true;
                }
            }
            if self.coming > self.most_coming {
                self.relieve();
            }
        }
    }

    /// Requests that are coming in hold too much: the connection that holds most ends.
    fn relieve(&mut self) {
        let most = self.fronts.iter().max_by_key(|(_, (_, conn))| conn.holding());
        let Some(key) = most.map(|(key, _)| *key) else { return };
        self.reducer.counters.client_faults += 1;
        say!("no memory for what a client sends");
        self.close_front(key);
    }

    /// Writes what a client is owed; true if its connection has ended.
    fn write_front(&mut self, key: u64) -> bool {
        let (mut written, now) = (0, self.now());
        let Some((sock, conn)) = self.fronts.get_mut(&key) else { return false };
        let deaf = !conn.listens();
        let over = loop {
            let Some(bytes) = conn.output().filter(|_| sock.writable) else { break false };
            match sock.write(bytes) {
                Ok(bytes) => {
                    conn.wrote(now, bytes);
                    written += bytes;
                }
                Err(Io::Over(_)) => break true,
                Err(_) => break false,
            }
        };
        if deaf && conn.listens() && sock.readable {
            self.dirty.insert(Source::Front(key));
        }
        if written > 0 {
            self.inbox.push(Input::Flushed { conn: key, bytes: written });
        }
        over
    }

    fn close_front(&mut self, key: u64) {
        if let Some((sock, conn)) = self.fronts.remove(&key) {
            self.coming -= conn.holding();
            self.handle.remove(sock.token);
            self.inbox.push(Input::Closed { conn: key });
        }
    }

    /// SIGHUP: takes over what can change while serving. A config that can't be read changes nothing.
    fn reload(&mut self, config: Result<Config, String>) {
        let config = match config {
            Ok(config) => config,
            Err(why) => return say!(always; "the new config is not taken, the old one stays: {why}"),
        };
        self.reducer.counters.reloads += 1;
        say!(always; "config read anew; the board is at {}", config.board);
        if config.listen != self.listens || config.settings != *self.reducer.settings() {
            say!(always; "a new listen address or new settings take effect at the next start");
        }
        self.most_coming = (config.net.memory as f64 * COMING_IN) as usize;
        self.reducer.set_net(config.net);
        self.links.set_most(self.reducer.most_links());
        if config.board != self.board_at {
            // The old board tells nothing more: what it has begun to say is asked for again, at the new one.
            self.board_at = config.board;
            self.drop_board();
            self.follower.moved(self.now());
        }
    }

    /// A poll is due, or the one that is out has taken too long.
    fn poll_board(&mut self) {
        if self.follower.waiting() {
            self.board_failed("no answer in time");
            if self.follower.due > self.now() {
                return;
            }
        }
        let now = self.now();
        let bytes = self.follower.poll(now, self.board_at);
        if let Some((_, out)) = &mut self.board {
            *out = bytes;
        } else {
            let dialled = dial(self.board_at).and_then(|stream| {
                let stream = Rc::new(stream);
                let token = register(&self.handle, stream.clone(), Source::Board, Interest::BOTH)?;
                Ok(Sock { stream, token, readable: false, writable: false })
            });
            match dialled {
                Ok(sock) => self.board = Some((sock, bytes)),
                Err(_) => return self.board_failed("cannot be dialled"),
            }
        }
        self.dirty.insert(Source::Board);
    }

    fn serve_board(&mut self) {
        let now = self.now();
        let Some((sock, out)) = &mut self.board else { return };
        while !out.is_empty() && sock.writable {
            match sock.write(out) {
                Ok(bytes) => drop(out.drain(..bytes)),
                Err(Io::Over(why)) => return self.board_failed(why),
                Err(_) => break,
            }
        }
        while sock.readable {
            let (bytes, eof) = match sock.read(&mut self.buffer) {
                Ok(bytes) => (bytes, false),
                Err(Io::Over("closed")) => (0, true),
                Err(Io::Over(why)) => return self.board_failed(why),
                Err(_) => return,
            };
            let waiting = self.follower.waiting();
            let fed = if waiting { self.follower.feed(now, &self.buffer[..bytes], eof) } else { Ok(None) };
            match fed {
                Ok(Some(notices)) => {
                    let unix_ms = unix_ms();
                    let inputs = notices.into_iter().map(|notice| Input::Notice { notice, unix_ms });
                    self.inbox.extend(inputs);
                }
                Ok(None) => {}
                Err(why) => return self.board_failed(&why),
            }
            if eof {
                if self.follower.waiting() {
                    return self.board_failed("closed");
                }
                return self.drop_board();
            }
        }
    }

    fn drop_board(&mut self) {
        if let Some((sock, _)) = self.board.take() {
            self.handle.remove(sock.token);
        }
    }

    /// The poll has failed: what is known stands, and it is resumed from the last event.
    fn board_failed(&mut self, why: &str) {
        self.drop_board();
        self.reducer.counters.board_faults += 1;
        say!("the board's poll failed: {why}");
        let now = self.now();
        self.follower.failed(now);
    }
}

impl Drop for Runtime {
    /// What has left may still be on its way: closing at once could throw it away with a reset.
    fn drop(&mut self) {
        for (sock, ..) in self.fronts.values() {
            let _ = sock.stream.shutdown(Shutdown::Write);
        }
        std::thread::sleep(Duration::from_secs_f64(LAST_READS_MS / 1000.0));
    }
}
