//! The event loop: sockets, clocks and signals. It turns what they bring into inputs, and carries out effects.

mod board;
mod clients;
mod drains;
mod events;
mod fleet;
mod handover;
mod lingering;
mod machines;
mod operators;
mod plugins;
mod socket;

use crate::addresses::{DialKey, Endpoint};
use crate::api::Millis;
use crate::back::{ConnectionKey, ConnectionPool};
use crate::clock::UnixTime;
use crate::config::{Config, Sources};
use crate::discovery::DiscoveryClient;
use crate::errno;
use crate::front::Conn;
use crate::log_line;
use crate::operator::Operator;
use crate::ops;
use crate::ops::control::Place;
use crate::reasons::{ClientClose, EndpointClose};
use crate::reducer::{Effect, Input, Reducer, Reply};
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Readiness, RegistrationToken};
pub use plugins::read_program;
use socket::{io_error, listen, register, Sock};
use socket2::Socket;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Part of the memory limit that requests which are still coming in may take.
const COMING_IN: f64 = 0.1;
/// Time between looks for client connections whose client is silent or gone.
const SWEEP_MS: Millis = 250.0;
/// How long a start goes on trying where this machine lacks something.
const START_PATIENCE: Duration = Duration::from_secs(3);
/// The pause before a call is made again for which this machine lacked something.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);
/// The pause before files are read again on a SIGHUP that found them in trouble.
const RELOAD_AGAIN_MS: Millis = 100.0;
/// Longest sleep of the loop.
const IDLE_MS: Millis = SWEEP_MS;

/// What a readiness is of, in the order in which one wake's are served.
///
/// What narrows comes before what acts: a drain or a purge, then which clients have left, then how attempts have ended.
/// So nothing that one wake brings together is sent on, tried again or dialled for a client that has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    Board,
    /// Operators are answered however busy it is.
    Caller(u64),
    Callers,
    Front(u64),
    /// A machine's connection: read before it is written to, so that one that has closed is known before it is used.
    Link(ConnectionKey),
    /// A dial that isn't a connection yet.
    Dial(DialKey),
    Listener,
    /// Last: a flood there holds up no request.
    Fleet,
}

/// Inputs that wait for the reducer.
#[derive(Debug, Default)]
pub struct Inbox(VecDeque<Input>);

impl Inbox {
    /// Adds an input. How far an attempt has come goes before all else that waits: one that is given up by
    /// another input must not pass for unsent when it has left. And whoever has left takes back what waits of theirs,
    /// which nobody has seen yet: it is not taken, so that nothing is sent or dialled for it.
    pub fn push(&mut self, input: Input) {
        match input {
            Input::Progressed { .. } => return self.0.push_front(input),
            Input::ConnectionClosed { conn } => {
                self.0.retain(|other| {
                    !matches!(other, Input::RequestReceived { key: client, .. } | Input::Health { key: client } if client.conn == conn)
                });
            }
            Input::Aborted { key: gone } => {
                let same = |other: &Input| matches!(other, Input::RequestReceived { key: client, .. } if *client == gone);
                if let Some(at) = self.0.iter().position(same) {
                    self.0.remove(at);
                    return;
                }
            }
            _ => {}
        }
        self.0.push_back(input);
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
    /// It is to be closed, once nobody waits in its queue.
    stops_listening: bool,
    sweep_at: Millis,
    fronts: BTreeMap<u64, (Sock, Conn)>,
    next_front: u64,
    /// Connections of both sides that are closed from here, until their peers close too.
    lingering: BTreeMap<Source, lingering::Lingering>,
    /// File descriptors that may be held.
    sockets: usize,
    links: ConnectionPool,
    link_socks: BTreeMap<ConnectionKey, Sock>,
    /// Dials that are open, for which connection and where to.
    dials: BTreeMap<DialKey, (ConnectionKey, Endpoint, Sock)>,
    /// Bytes of requests that are still coming in, and the most there may be.
    coming: usize,
    most_coming: usize,
    /// What is read again on SIGHUP.
    sources: Sources,
    /// Where the config has it listen.
    listens: SocketAddr,
    board_at: SocketAddr,
    board: Option<(Sock, Vec<u8>)>,
    watch: DiscoveryClient,
    /// Sockets for which this machine lacked something, and when they are tried again.
    starved: BTreeSet<Source>,
    starved_until: Option<Millis>,
    /// When files are read again that a SIGHUP found in trouble.
    reload_at: Option<Millis>,
    /// Connections with something to write or, after their turn, to read.
    dirty: BTreeSet<Source>,
    exit_by: Option<Millis>,
    /// When the state of an evacuation is told next; none: there is none, or all clients have left.
    drain_told_at: Option<Millis>,
    buffer: Vec<u8>,
    /// Loads of plug-ins so far, and where their threads tell of themselves; none while there are no plug-ins.
    plugin_turn: u64,
    plugin_ready: Option<calloop::channel::Sender<plugins::Ready>>,
    /// Where the latest views are written when they are asked for.
    record: Option<PathBuf>,
    /// Where operators call, and who is calling.
    ops_places: Vec<operators::Called>,
    callers: BTreeMap<u64, operators::Caller>,
    next_caller: u64,
    /// The file for the next process, where operators can call.
    handover: Option<handover::Handover>,
    /// This router's seat among the others, where the operator's file names them.
    seat: Option<fleet::Seat>,
}

/// Serves until it is told to end.
pub fn run(sources: Sources) -> Result<(), String> {
    let io = |what: &str| {
        let what = what.to_owned();
        move |e: io::Error| format!("{what}: {e}")
    };
    let mut events: EventLoop<'static, Runtime> =
        patiently(|| EventLoop::try_new().map_err(io_error)).map_err(io("event loop"))?;
    let handle = events.handle();
    let all = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP];
    let signals = patiently(|| Signals::new(&all).map_err(io_error)).map_err(io("signals"))?;
    let noted =
        |event: calloop::signals::Event, (): &mut (), state: &mut Runtime| state.signals.push(event.signal());
    insert_patiently(&handle, signals, noted).map_err(io("signals"))?;
    // Signals wait from here on: one that comes while the config is read ends nothing halfway.
    let (config, operator) = load_patiently(&sources)?;
    std::panic::set_hook(Box::new(|panic| log_line!("{panic}")));
    let start = Instant::now();
    let reducer = Reducer::new(config.settings, config.net.clone(), config.seed, 0.0, UnixTime::now());
    let listener = patiently(|| listen(config.listen)).map_err(io("listen"))?;
    let listener = Rc::new(listener);
    let listens = listener.local_addr().map_err(io("listen"))?;
    let token = patiently(|| register(&handle, listener.clone(), Source::Listener, Interest::READ));
    let token = token.map_err(io("listen"))?;
    let places = config.ops.map(Place::Tcp).into_iter().chain(operator.ops_socket.map(Place::Unix));
    let mut ops_places = Vec::new();
    for place in places {
        let named = format!("listen for operators at {place}");
        let called = patiently(|| operators::Called::listen(&handle, place.clone()));
        ops_places.push(called.map_err(io(&named))?);
    }
    let called = !ops_places.is_empty();
    let seat =
        operator.fleet.map(|set| fleet::Seat::take(&handle, set, &config.name, config.seed)).transpose()?;
    let net = &config.net;
    let most = reducer.max_endpoint_connections();
    let links = ConnectionPool::with_address_settings(
        net.dial_timeout_ms,
        net.idle_ms,
        net.streams_per_connection,
        most,
        operator.addresses,
        config.seed,
    );
    let mut state = Runtime {
        handle,
        start,
        reducer,
        inbox: Inbox::default(),
        ready: BTreeMap::new(),
        signals: Vec::new(),
        listener: Some((listener, token)),
        accept_from: None,
        stops_listening: false,
        sweep_at: SWEEP_MS,
        fronts: BTreeMap::new(),
        next_front: 0,
        lingering: BTreeMap::new(),
        sockets: config.net.max_descriptors,
        links,
        link_socks: BTreeMap::new(),
        dials: BTreeMap::new(),
        coming: 0,
        most_coming: (config.net.memory_bytes as f64 * COMING_IN) as usize,
        sources,
        listens: config.listen,
        board_at: config.discovery_address,
        board: None,
        watch: DiscoveryClient::new(config.known_rev, config.seed),
        starved: BTreeSet::new(),
        starved_until: None,
        reload_at: None,
        dirty: BTreeSet::new(),
        exit_by: None,
        drain_told_at: None,
        buffer: vec![0; 64 * 1024],
        plugin_turn: 0,
        plugin_ready: None,
        record: None,
        ops_places,
        callers: BTreeMap::new(),
        next_caller: 0,
        handover: called.then(|| handover::Handover::new(&listens.to_string(), config.seed)),
        seat,
    };
    let unix = UnixTime::now();
    state.inbox.extend(config.known_events.into_iter().map(|notice| Input::DiscoveryEvent { notice, unix }));
    state.record = operator.record;
    state.load_plugins(operator.plugins);
    state.take_state();
    state.work();
    state.say_ops();
    for remark in &config.warnings {
        log_line!(always; "settings: {remark}");
    }
    log_line!("{} listens on {}, the board is at {}", config.name, listens, config.discovery_address);
    while !state.over() {
        let wait = Duration::from_secs_f64((state.wake() - state.now()).clamp(0.0, IDLE_MS) / 1000.0);
        if let Err(e) = events.dispatch(Some(wait), &mut state) {
            log_line!("event loop: {e}");
            std::thread::sleep(SHORTAGE_PAUSE); // What is due is done all the same, but not in a rush.
        }
        state.turn();
    }
    state.leave_seat(true);
    state.close_rest();
    state.leave_state();
    log_line!(always; "{} ends; {}", config.name, state.reducer.counters);
    // Its signals stay blocked until the process has ended: the loop would unblock them as it is dropped, and one that
    // is pending then would end the process by its default action, as if it had crashed.
    std::mem::forget(events);
    Ok(())
}

/// Makes a call at the start again and again while it fails in a way that may pass.
fn patiently<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + START_PATIENCE;
    loop {
        match call() {
            Err(e) if errno::is_transient(&e) && Instant::now() < until => std::thread::sleep(SHORTAGE_PAUSE),
            done => return done,
        }
    }
}

/// Has the loop watch for signals, trying again while it has no room in a way that may pass.
fn insert_patiently(
    handle: &LoopHandle<'static, Runtime>,
    mut signals: Signals,
    noted: fn(calloop::signals::Event, &mut (), &mut Runtime),
) -> io::Result<()> {
    let until = Instant::now() + START_PATIENCE;
    loop {
        let Err(refused) = handle.insert_source(signals, noted) else { return Ok(()) };
        let error = io_error(refused.error);
        if !errno::is_transient(&error) || Instant::now() >= until {
            return Err(error);
        }
        signals = refused.inserted;
        std::thread::sleep(SHORTAGE_PAUSE);
    }
}

/// Reads the config and the operator's file at the start.
fn load_patiently(sources: &Sources) -> Result<(Config, Operator), String> {
    let until = Instant::now() + START_PATIENCE;
    loop {
        match sources.load() {
            Err(fault) if fault.transient && Instant::now() < until => std::thread::sleep(SHORTAGE_PAUSE),
            read => return read.map_err(|fault| fault.message),
        }
    }
}

impl Runtime {
    /// The monotonic clock, for the module and all timers.
    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// When the loop is to wake up at the latest.
    fn wake(&self) -> Millis {
        if !self.dirty.is_empty() {
            return 0.0;
        }
        let board = Some(self.watch.next_poll_at);
        let seat = self.seat.as_ref().and_then(fleet::Seat::due_in).map(|wait| self.now() + wait);
        let (links, lingering) = (self.links.next_deadline(), self.lingering_due());
        let handover = self.handover.as_ref().map(|handover| self.now() + handover.due_in());
        let intake = self.reducer.service().next_admission_change(self.now());
        let own = [
            intake,
            self.drain_due(),
            handover,
            self.accept_from,
            self.exit_by,
            self.starved_until,
            self.reload_at,
        ];
        let dues = [self.reducer.next_deadline(), links, board, seat, lingering].into_iter().chain(own);
        dues.flatten().fold(f64::INFINITY, f64::min)
    }

    /// One round: what is ready, then what is due.
    fn turn(&mut self) {
        for signal in std::mem::take(&mut self.signals) {
            match signal {
                Signal::SIGUSR1 => {
                    let (clients, links) = (self.fronts.len(), self.links.count());
                    let (requests, machines) = (self.reducer.open_requests(), self.reducer.known_machines());
                    log_line!(always; "now clients={clients} links={links} requests={requests} machines={machines}");
                    log_line!(always; "{}", self.reducer.counters);
                    for (name, counts) in self.reducer.plugins().into_iter().flat_map(|all| all.counts()) {
                        log_line!(always; "plug-in {name}: {counts:?}");
                    }
                    self.write_views();
                }
                Signal::SIGHUP => self.reload(),
                _ => {
                    log_line!("told to end; {} requests are open", self.reducer.open_requests());
                    self.inbox.push(Input::Terminate);
                }
            }
        }
        for (source, readiness) in std::mem::take(&mut self.ready) {
            if let Some(sock) = self.sock(source) {
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
        if self.reload_at.is_some_and(|at| at <= now) {
            self.reload();
        }
        if self.starved_until.is_some_and(|at| at <= now) {
            self.feed_starved();
        }
        for source in std::mem::take(&mut self.dirty) {
            self.serve(source);
        }
        self.fleet_due();
        self.links_due();
        self.end_lingering(now);
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP_MS;
            self.sweep(now);
            self.sweep_callers(now);
            self.tell_drain(now);
            self.take_state();
            self.inbox.push(Input::ClocksRead { unix: UnixTime::now() });
        }
        if self.watch.next_poll_at <= self.now() {
            self.poll_board();
        }
        if self.reducer.next_deadline().is_some_and(|at| at <= self.now()) {
            self.inbox.push(Input::TimersDue);
        }
        self.work();
        if self.handover.as_ref().is_some_and(|handover| handover.due_in() <= 0.0) {
            self.take_state();
            self.work();
        }
        self.drain_clients();
    }

    /// The socket of a source, if it has one of its own.
    fn sock(&mut self, source: Source) -> Option<&mut Sock> {
        match source {
            _ if self.lingering.contains_key(&source) => {
                self.lingering.get_mut(&source).map(|one| &mut one.sock)
            }
            Source::Link(key) => self.link_socks.get_mut(&key),
            Source::Dial(key) => self.dials.get_mut(&key).map(|(.., sock)| sock),
            Source::Front(key) => self.fronts.get_mut(&key).map(|(sock, _)| sock),
            Source::Board => self.board.as_mut().map(|(sock, _)| sock),
            Source::Caller(key) => self.caller_sock(key),
            Source::Listener | Source::Callers | Source::Fleet => None,
        }
    }

    /// Has the loop watch a socket. Where it has no room, the socket is looked at again and again until it has.
    fn watch(&mut self, stream: Rc<Socket>, source: Source, ready: bool) -> Sock {
        let token = register(&self.handle, stream.clone(), source, Interest::BOTH);
        if let Err(e) = &token {
            log_line!("the event loop has no room for a connection yet: {e}");
            self.starve(source);
        }
        Sock { stream, token: token.ok(), readable: ready, writable: ready }
    }

    /// Closes a socket, once nobody else holds it.
    fn drop_sock(&mut self, sock: &Sock) {
        if let Some(token) = sock.token {
            self.handle.remove(token);
        }
    }

    /// This machine lacks something for a socket: it is served again after a short pause, as no readiness will tell.
    fn starve(&mut self, source: Source) {
        self.reducer.counters.shortages += 1;
        self.starved.insert(source);
        let until = self.now() + SHORTAGE_PAUSE.as_secs_f64() * 1000.0;
        self.starved_until.get_or_insert(until);
    }

    /// Serves what had to wait for want of something again.
    fn feed_starved(&mut self) {
        self.starved_until = None;
        for source in std::mem::take(&mut self.starved) {
            self.dirty.insert(source);
            let handle = self.handle.clone();
            let Some(sock) = self.sock(source).filter(|sock| sock.token.is_none()) else { continue };
            (sock.readable, sock.writable) = (true, true);
            sock.token = register(&handle, sock.stream.clone(), source, Interest::BOTH).ok();
            if sock.token.is_none() {
                self.starve(source);
            }
        }
    }

    /// Serves one connection. A panic stops there: the connection ends, the rest goes on.
    fn serve(&mut self, source: Source) {
        let served = catch_unwind(AssertUnwindSafe(|| match source {
            lingers if self.serve_lingering(lingers) => {}
            Source::Link(key) => self.serve_link(key),
            Source::Dial(key) => self.serve_dial(key),
            Source::Front(key) => self.serve_front(key),
            Source::Board => self.serve_board(),
            Source::Listener => drop(self.accept()),
            Source::Caller(key) => self.serve_caller(key),
            Source::Callers => self.accept_callers(),
            Source::Fleet => self.serve_fleet(),
        }));
        if served.is_err() {
            self.reducer.counters.panics += 1;
            log_line!("a panic ends {source:?}");
            match source {
                Source::Link(key) => self.link_down(key, EndpointClose::Panic),
                Source::Dial(key) => self.close_dial(key),
                Source::Front(key) => self.end_front(key, ClientClose::Panic),
                Source::Board => self.board_failed("panic"),
                Source::Caller(key) => self.close_caller(key),
                Source::Listener | Source::Callers | Source::Fleet => {}
            }
        }
        self.work();
    }

    /// Gives the reducer its inputs and carries out its effects until nothing is left.
    fn work(&mut self) {
        while let Some(input) = self.inbox.pop() {
            self.step(input);
        }
    }

    fn step(&mut self, input: Input) {
        let now = self.now();
        events::input(now, &input);
        let before = self.reducer.service();
        let step = catch_unwind(AssertUnwindSafe(|| self.reducer.step(now, input)));
        let Ok(effects) = step else {
            // The guard timers still answer whatever this leaves open.
            self.reducer.counters.panics += 1;
            return log_line!("a panic ends the handling of one input");
        };
        self.tell_service(before);
        effects.into_iter().for_each(|effect| self.carry_out(now, effect));
    }

    fn carry_out(&mut self, now: Millis, effect: Effect) {
        events::effect(now, &effect);
        match effect {
            Effect::Answer { key: client, reply } => {
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
            Effect::Send { attempt, machine: member, request: call } => self.send(attempt, &member, &call),
            Effect::Stop { attempt } => {
                if let Some(key) = self.links.stop(now, attempt) {
                    self.dirty.insert(Source::Link(key));
                }
            }
            Effect::Probe { machine: member } => match self.links.probe(now, &member) {
                Ok((key, _)) => self.queued(key),
                Err(_) => self.probe_failed(member),
            },
            Effect::SetListing { machine: member, listing: Some(listing) } => {
                self.links.update_listing(&member, listing)
            }
            Effect::SetListing { machine: member, listing: None } => self.links.forget_machine(&member),
            Effect::Retire { machine: member } => self.links.retire(&member),
            Effect::MachineRestarted { machine: member, at } => {
                for key in self.links.dialed_before(&member, at) {
                    self.link_down(key, EndpointClose::Restarted);
                }
            }
            Effect::SaveExclusion { caller, name, excluded: out } => self.change_state(caller, &name, out),
            Effect::AnswerOperator { caller, verdict } => {
                self.answer_caller(caller, ops::answer(Ok(verdict)))
            }
            Effect::SendTelemetry { caller, mut telemetry } => {
                telemetry.fleet = self.seat.as_ref().and_then(fleet::Seat::figures);
                self.answer_caller(caller, ops::report(&telemetry));
            }
            Effect::Log(text) => log_line!("{text}"),
            Effect::StopListening => self.stop_listening(),
            Effect::AuditDrain => self.audit_drain(),
            Effect::Exit { by } => self.exit_by = Some(by),
        }
    }

    /// SIGHUP: takes over what can change while serving. A config that is out of form changes nothing; one that can't be
    /// read just now is read again shortly.
    fn reload(&mut self) {
        self.reload_at = None;
        let (config, operator) = match self.sources.load() {
            Ok(read) => read,
            Err(fault) if fault.transient => {
                self.reload_at = Some(self.now() + RELOAD_AGAIN_MS);
                return log_line!("the new config can't be read yet: {}", fault.message);
            }
            Err(fault) => {
                self.reducer.counters.reloads_refused += 1;
                return log_line!(always; "the new config is not taken, the old one stays: {}", fault.message);
            }
        };
        self.reducer.counters.reloads += 1;
        log_line!(always; "config read anew; the board is at {}", config.discovery_address);
        if config.listen != self.listens || config.settings != *self.reducer.settings() {
            log_line!(always; "a new listen address or new settings take effect at the next start");
        }
        self.most_coming = (config.net.memory_bytes as f64 * COMING_IN) as usize;
        self.sockets = config.net.max_descriptors;
        self.reducer.set_net(config.net);
        self.links.set_max_connections(self.reducer.max_endpoint_connections());
        self.links.set_address_settings(operator.addresses);
        self.record = operator.record;
        self.load_plugins(operator.plugins);
        if operator.fleet.as_ref() != self.seat.as_ref().map(fleet::Seat::settings) {
            log_line!(always; "a new (fleet …) takes effect at the next start");
        }
        if config.discovery_address != self.board_at {
            // The old board tells nothing more: what it has begun to say is asked for again, at the new one.
            self.board_at = config.discovery_address;
            self.drop_board();
            self.watch.address_changed(self.now());
        }
    }
}
