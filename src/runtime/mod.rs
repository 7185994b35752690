//! The event loop: sockets, timers and signals. It converts events to inputs of the reducer and executes its
//! effects.

mod board;
mod claims;
mod clients;
mod drains;
mod events;
mod fleet;
mod handover;
mod inbox;
mod lingering;
mod machines;
mod memory;
mod operators;
mod plugins;
mod socket;
mod turns;

use crate::addresses::{DialKey, Endpoint};
use crate::answer_memory::AnswerMemory;
use crate::api::Millis;
use crate::back::{ConnectionKey, ConnectionPool};
use crate::clock::UnixTime;
use crate::config::{Config, Sources};
use crate::discovery::DiscoveryClient;
use crate::errno;
use crate::front::Conn;
use crate::log_line;
use crate::operator::OperatorConfig;
use crate::ops;
use crate::ops::control::OpsAddress;
use crate::reasons::{ClientClose, EndpointClose};
use crate::reducer::{Effect, Input, Reducer, Reply};
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Readiness, RegistrationToken};
pub use inbox::Inbox;
pub use plugins::read_program;
use socket::{io_error, listen, register, PolledSocket};
use socket2::Socket;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::ops::Bound;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use turns::Turns;

/// Share of the memory limit that incomplete requests may use.
const INCOMING_MEMORY_SHARE: f64 = 0.1;
/// Share of the memory limit that answers may use while they arrive and until they are sent.
const ANSWER_MEMORY_SHARE: f64 = 0.35;
/// Interval between checks for client connections that are idle or stalled.
const SWEEP_INTERVAL_MS: Millis = 250.0;
/// How long the startup retries operations that fail for a lack of resources.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before retrying an operation that failed for a lack of resources.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);
/// Pause before reloading the configuration again after a reload failed with a temporary error.
const RELOAD_RETRY_MS: Millis = 100.0;
/// Longest wait of the event loop.
const MAX_SLEEP_MS: Millis = SWEEP_INTERVAL_MS;

/// A source of readiness events, in the order in which the sources of one wake-up are served.
///
/// Events that restrict later work come first: drains and purges, then clients that have left, then the
/// results of attempts. So nothing is forwarded, retried or dialled for a client whose departure arrived in
/// the same wake-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    /// The connection to the discovery service.
    Board,
    /// A connection of an operator: served before clients, so that operators are answered under load.
    Caller(u64),
    /// The listeners for operators.
    Callers,
    /// A client connection.
    Front(u64),
    /// A connection to a machine: read before it is written, so that a close is detected before the
    /// connection is used.
    Link(ConnectionKey),
    /// A dial in progress.
    Dial(DialKey),
    /// The listener for clients.
    Listener,
    /// The fleet's socket: last, so that a flood of datagrams delays no request.
    Fleet,
}

/// The state of the event loop. Times are in milliseconds of the monotonic clock, see [`Runtime::now`].
struct Runtime {
    handle: LoopHandle<'static, Runtime>,
    start: Instant,
    reducer: Reducer,
    inbox: Inbox,
    /// Readiness events that are not handled yet.
    ready: BTreeMap<Source, Readiness>,
    /// Signals that are not handled yet.
    signals: Vec<Signal>,
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    /// When accepting resumes after a pause.
    resume_accept_at: Option<Millis>,
    /// The listener is to be closed as soon as its queue is empty.
    closing_listener: bool,
    /// Listening ends in this cycle.
    stops_listening: bool,
    next_sweep_at: Millis,
    clients: BTreeMap<u64, (PolledSocket, Conn)>,
    /// Whose turn it is to be read, and to be drained.
    client_turns: Turns,
    drain_turns: Turns,
    /// The key of the newest client connection.
    last_client: u64,
    /// Connections to clients and machines that are in a lingering close.
    lingering: BTreeMap<Source, lingering::Lingering>,
    /// Limit of open descriptors.
    max_sockets: usize,
    connections: ConnectionPool,
    connection_sockets: BTreeMap<ConnectionKey, PolledSocket>,
    /// Dials in progress, with the connection they are for and their endpoint.
    dials: BTreeMap<DialKey, (ConnectionKey, Endpoint, PolledSocket)>,
    /// The memory of answers that arrive or are not sent yet.
    answer_memory: AnswerMemory,
    /// The memory limit of the process.
    memory_bytes: usize,
    /// Bytes of incomplete requests.
    incoming_bytes: usize,
    max_incoming_bytes: usize,
    /// Memory of complete requests that are held back, which may be as much.
    held_bytes: usize,
    /// Clients from which nothing is read for lack of memory, and when that is tried again.
    awaiting_input_room: BTreeSet<u64>,
    resume_input_at: Option<Millis>,
    /// The use of memory while requests are refused for it.
    memory_relief: Option<memory::Relief>,
    /// Clients whose requests wait for memory, the longest first.
    awaiting_memory: VecDeque<u64>,
    /// Clients whose requests are held back until nothing more has arrived for a moment, with its end.
    settling: BTreeMap<u64, Millis>,
    /// The files that SIGHUP reloads.
    sources: Sources,
    /// The configured listen address.
    listen_address: SocketAddr,
    discovery_address: SocketAddr,
    /// The connection to the discovery service, with the bytes of a poll still to be written.
    discovery: Option<(PolledSocket, Vec<u8>)>,
    discovery_watch: DiscoveryClient,
    /// Sockets whose operation failed for a lack of resources, to be retried at `shortage_retry_at`.
    shortage_sources: BTreeSet<Source>,
    shortage_retry_at: Option<Millis>,
    /// When a reload that failed with a temporary error is retried.
    retry_reload_at: Option<Millis>,
    /// Sockets to serve in the next cycle without waiting for a readiness event: they have output, or input
    /// left by a bounded read.
    runnable: BTreeSet<Source>,
    /// When the process exits at the latest.
    exit_by: Option<Millis>,
    /// When the progress of a drain is logged next; `None` without a drain, or when all clients have left.
    next_drain_log_at: Option<Millis>,
    /// The read buffer shared by all sockets.
    buffer: Vec<u8>,
    /// The number of the latest load of plug-ins.
    plugin_load: u64,
    /// The channel for results of loading threads; `None` until plug-ins are configured.
    plugin_results: Option<calloop::channel::Sender<plugins::LoadResult>>,
    /// Where the latest views are written on SIGUSR1.
    view_record_path: Option<PathBuf>,
    operator_listeners: Vec<operators::OperatorListener>,
    /// Connections of operators.
    callers: BTreeMap<u64, operators::Caller>,
    /// The key of the newest operator connection.
    last_caller: u64,
    /// The state shared with other processes of this router; `None` without a listener for operators.
    handover: Option<handover::Handover>,
    /// The membership in the fleet, if the operator's file configures one.
    fleet_member: Option<fleet::Member>,
}

/// Serves until the process is asked to terminate. Returns an error if the startup fails.
pub fn run(sources: Sources) -> Result<(), String> {
    let io = |what: &str| {
        let what = what.to_owned();
        move |e: io::Error| format!("{what}: {e}")
    };
    let mut events: EventLoop<'static, Runtime> =
        retry_transient(|| EventLoop::try_new().map_err(io_error)).map_err(io("event loop"))?;
    let handle = events.handle();
    let all = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP];
    let signals = retry_transient(|| Signals::new(&all).map_err(io_error)).map_err(io("signals"))?;
    let record =
        |event: calloop::signals::Event, (): &mut (), state: &mut Runtime| state.signals.push(event.signal());
    insert_signals_with_retry(&handle, signals, record).map_err(io("signals"))?;
    // Signals are blocked from here on, so that one received during the startup does not interrupt it.
    let (config, operator) = load_with_retry(&sources)?;
    std::panic::set_hook(Box::new(|panic| log_line!("{panic}")));
    let start = Instant::now();
    let reducer = Reducer::new(config.settings, config.net.clone(), config.seed, 0.0, UnixTime::now());
    let listener = retry_transient(|| listen(config.listen)).map_err(io("listen"))?;
    let listener = Rc::new(listener);
    let local_address = listener.local_addr().map_err(io("listen"))?;
    let token = retry_transient(|| register(&handle, listener.clone(), Source::Listener, Interest::READ));
    let token = token.map_err(io("listen"))?;
    let places = config.ops.map(OpsAddress::Tcp).into_iter().chain(operator.ops_socket.map(OpsAddress::Unix));
    let mut operator_listeners = Vec::new();
    for place in places {
        let action = format!("listen for operators at {place}");
        let listener = retry_transient(|| operators::OperatorListener::listen(&handle, place.clone()));
        operator_listeners.push(listener.map_err(io(&action))?);
    }
    let has_operators = !operator_listeners.is_empty();
    let fleet_member = operator
        .fleet
        .map(|settings| fleet::Member::join(&handle, settings, &config.name, config.seed))
        .transpose()?;
    let net = &config.net;
    let max_links = reducer.max_endpoint_connections();
    let connections = ConnectionPool::with_address_settings(
        net.dial_timeout_ms,
        net.idle_ms,
        net.streams_per_connection,
        max_links,
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
        resume_accept_at: None,
        closing_listener: false,
        stops_listening: false,
        next_sweep_at: SWEEP_INTERVAL_MS,
        clients: BTreeMap::new(),
        client_turns: Turns::default(),
        drain_turns: Turns::default(),
        last_client: 0,
        lingering: BTreeMap::new(),
        max_sockets: config.net.max_descriptors,
        connections,
        connection_sockets: BTreeMap::new(),
        dials: BTreeMap::new(),
        answer_memory: AnswerMemory::new(memory_share(config.net.memory_bytes, ANSWER_MEMORY_SHARE)),
        memory_bytes: config.net.memory_bytes,
        incoming_bytes: 0,
        held_bytes: 0,
        awaiting_input_room: BTreeSet::new(),
        resume_input_at: None,
        memory_relief: None,
        awaiting_memory: VecDeque::new(),
        settling: BTreeMap::new(),
        max_incoming_bytes: memory_share(config.net.memory_bytes, INCOMING_MEMORY_SHARE),
        sources,
        listen_address: config.listen,
        discovery_address: config.discovery_address,
        discovery: None,
        discovery_watch: DiscoveryClient::new(config.known_rev, config.seed),
        shortage_sources: BTreeSet::new(),
        shortage_retry_at: None,
        retry_reload_at: None,
        runnable: BTreeSet::new(),
        exit_by: None,
        next_drain_log_at: None,
        buffer: vec![0; 64 * 1024],
        plugin_load: 0,
        plugin_results: None,
        view_record_path: None,
        operator_listeners,
        callers: BTreeMap::new(),
        last_caller: 0,
        handover: has_operators.then(|| handover::Handover::new(&local_address.to_string(), config.seed)),
        fleet_member,
    };
    let unix = UnixTime::now();
    state
        .inbox
        .extend(config.known_events.into_iter().map(|notice| Input::DiscoveryEvent { event: notice, unix }));
    state.view_record_path = operator.view_record_path;
    state.load_plugins(operator.plugins);
    state.sync_state();
    state.process_inputs();
    state.log_operator_listeners();
    for warning in &config.warnings {
        log_line!(always; "settings: {warning}");
    }
    log_line!(
        "{} listens on {}, discovery service at {}",
        config.name,
        local_address,
        config.discovery_address
    );
    while !state.is_finished() {
        let wait =
            Duration::from_secs_f64((state.next_wakeup() - state.now()).clamp(0.0, MAX_SLEEP_MS) / 1000.0);
        if let Err(e) = events.dispatch(Some(wait), &mut state) {
            log_line!("event loop: {e}");
            std::thread::sleep(SHORTAGE_PAUSE); // Timers still run, without a busy loop.
        }
        state.run_cycle();
    }
    state.leave_fleet(true);
    state.close_remaining_clients();
    state.release_state();
    log_line!(always; "{} ends; {}", config.name, state.reducer.counters);
    // Dropping the event loop would unblock the signals, and the default action of a pending one would kill
    // the process as if it had crashed. Leaking the loop keeps them blocked until the process exits.
    std::mem::forget(events);
    Ok(())
}

/// Returns a share of the memory limit in bytes.
fn memory_share(memory_bytes: usize, share: f64) -> usize {
    (memory_bytes as f64 * share) as usize
}

/// Retries a call during the startup while it fails with a temporary error, for up to
/// [`START_RETRY_TIMEOUT`].
fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let deadline = Instant::now() + START_RETRY_TIMEOUT;
    loop {
        match call() {
            Err(e) if errno::is_transient(&e) && Instant::now() < deadline => {
                std::thread::sleep(SHORTAGE_PAUSE)
            }
            result => return result,
        }
    }
}

/// Registers signals with the event loop, retrying as [`retry_transient`] does.
fn insert_signals_with_retry(
    handle: &LoopHandle<'static, Runtime>,
    mut signals: Signals,
    record: fn(calloop::signals::Event, &mut (), &mut Runtime),
) -> io::Result<()> {
    let deadline = Instant::now() + START_RETRY_TIMEOUT;
    loop {
        let Err(failed) = handle.insert_source(signals, record) else { return Ok(()) };
        let error = io_error(failed.error);
        if !errno::is_transient(&error) || Instant::now() >= deadline {
            return Err(error);
        }
        signals = failed.inserted;
        std::thread::sleep(SHORTAGE_PAUSE);
    }
}

/// Reads the configuration and the operator's file at startup, retrying temporary errors.
fn load_with_retry(sources: &Sources) -> Result<(Config, OperatorConfig), String> {
    let deadline = Instant::now() + START_RETRY_TIMEOUT;
    loop {
        match sources.load() {
            Err(fault) if fault.transient && Instant::now() < deadline => std::thread::sleep(SHORTAGE_PAUSE),
            result => return result.map_err(|fault| fault.message),
        }
    }
}

impl Runtime {
    /// Returns the time since the start on the monotonic clock, in milliseconds; used by the reducer and all
    /// timers.
    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Returns when the event loop must wake up at the latest.
    fn next_wakeup(&self) -> Millis {
        if !self.runnable.is_empty() || self.drain_turns.is_any_left() {
            return 0.0;
        }
        let discovery = Some(self.discovery_watch.next_poll_at);
        let fleet =
            self.fleet_member.as_ref().and_then(fleet::Member::ms_until_due).map(|wait| self.now() + wait);
        let (connections, lingering) = (self.connections.next_deadline(), self.next_linger_deadline());
        let handover = self.handover.as_ref().map(|handover| self.now() + handover.ms_until_due());
        let admission = self.reducer.service().next_admission_change(self.now());
        let others = [
            admission,
            self.next_drain_check(),
            handover,
            self.resume_accept_at,
            self.resume_input_at,
            self.exit_by,
            self.shortage_retry_at,
            self.retry_reload_at,
            self.answer_memory.next_deadline(),
            self.next_memory_wait_deadline(),
            self.settling.values().copied().reduce(f64::min),
        ];
        let deadlines = [self.reducer.next_deadline(), connections, discovery, fleet, lingering]
            .into_iter()
            .chain(others);
        deadlines.flatten().fold(f64::INFINITY, f64::min)
    }

    /// Runs one cycle of the event loop: handles signals and ready sockets, then timers.
    fn run_cycle(&mut self) {
        for signal in std::mem::take(&mut self.signals) {
            match signal {
                Signal::SIGUSR1 => {
                    let (clients, links) = (self.clients.len(), self.connections.count());
                    let (requests, machines) = (self.reducer.open_requests(), self.reducer.known_machines());
                    log_line!(always;
                        "now clients={clients} links={links} requests={requests} machines={machines}");
                    log_line!(always; "{}", self.reducer.counters);
                    log_line!(always; "{}", self.memory_figures());
                    for (name, counts) in self.reducer.plugins().into_iter().flat_map(|all| all.counts()) {
                        log_line!(always; "plug-in {name}: {counts:?}");
                    }
                    self.write_views();
                }
                Signal::SIGHUP => self.reload(),
                _ => {
                    log_line!("shutting down; {} requests are open", self.reducer.open_requests());
                    self.inbox.push(Input::Terminate);
                }
            }
        }
        for (source, readiness) in std::mem::take(&mut self.ready) {
            if let Some(socket) = self.socket_of(source) {
                socket.readable |= readiness.readable || readiness.error;
                socket.writable |= readiness.writable || readiness.error;
            }
            self.runnable.insert(source);
        }
        let now = self.now();
        if self.resume_accept_at.is_some_and(|at| at <= now) {
            self.resume_accept_at = None;
            self.runnable.insert(Source::Listener);
        }
        if self.resume_input_at.is_some_and(|at| at <= now) {
            self.resume_input();
        }
        if self.retry_reload_at.is_some_and(|at| at <= now) {
            self.reload();
        }
        if self.shortage_retry_at.is_some_and(|at| at <= now) {
            self.resume_after_shortage();
        }
        self.serve_settled_clients(now);
        self.serve_runnable();
        self.run_fleet_timers();
        self.run_connection_timers();
        self.expire_lingering(now);
        if self.next_sweep_at <= now {
            self.next_sweep_at = now + SWEEP_INTERVAL_MS;
            self.sweep(now);
            self.sweep_callers(now);
            self.log_drain_progress(now);
            self.log_memory_relief(now);
            self.sync_state();
            self.inbox.push(Input::ClocksRead { unix: UnixTime::now() });
        }
        if self.discovery_watch.next_poll_at <= self.now() {
            self.poll_discovery();
        }
        if self.reducer.next_deadline().is_some_and(|at| at <= self.now()) {
            self.inbox.push(Input::TimersDue);
        }
        self.process_inputs();
        if std::mem::take(&mut self.stops_listening) {
            self.stop_listening();
            self.process_inputs();
        }
        if self.handover.as_ref().is_some_and(|handover| handover.ms_until_due() <= 0.0) {
            self.sync_state();
            self.process_inputs();
        }
        self.read_admitted_bodies();
        self.resume_after_memory_wait();
        self.drain_clients();
    }

    /// Returns the socket of a source, if it has one.
    fn socket_of(&mut self, source: Source) -> Option<&mut PolledSocket> {
        match source {
            _ if self.lingering.contains_key(&source) => {
                self.lingering.get_mut(&source).map(|lingering| &mut lingering.socket)
            }
            Source::Link(key) => self.connection_sockets.get_mut(&key),
            Source::Dial(key) => self.dials.get_mut(&key).map(|(.., socket)| socket),
            Source::Front(key) => self.clients.get_mut(&key).map(|(socket, _)| socket),
            Source::Board => self.discovery.as_mut().map(|(socket, _)| socket),
            Source::Caller(key) => self.caller_socket(key),
            Source::Listener | Source::Callers | Source::Fleet => None,
        }
    }

    /// Registers a socket with the event loop. If that fails, registration is retried until it succeeds.
    fn register_socket(&mut self, stream: Rc<Socket>, source: Source, ready: bool) -> PolledSocket {
        let token = register(&self.handle, stream.clone(), source, Interest::BOTH);
        if let Err(e) = &token {
            log_line!("cannot register a connection with the event loop, will retry: {e}");
            self.defer_for_shortage(source);
        }
        PolledSocket { stream, token: token.ok(), readable: ready, writable: ready }
    }

    /// Unregisters a socket, which is closed when its last reference is dropped.
    fn close_socket(&mut self, socket: &PolledSocket) {
        if let Some(token) = socket.token {
            self.handle.remove(token);
        }
    }

    /// Schedules serving a source again after a short pause, because an operation failed for a lack of
    /// resources and no readiness event will follow.
    fn defer_for_shortage(&mut self, source: Source) {
        self.reducer.counters.shortages += 1;
        self.shortage_sources.insert(source);
        let retry_at = self.now() + SHORTAGE_PAUSE.as_secs_f64() * 1000.0;
        self.shortage_retry_at.get_or_insert(retry_at);
    }

    /// Retries the operations that failed for a lack of resources.
    fn resume_after_shortage(&mut self) {
        self.shortage_retry_at = None;
        for source in std::mem::take(&mut self.shortage_sources) {
            self.runnable.insert(source);
            let handle = self.handle.clone();
            let Some(socket) = self.socket_of(source).filter(|socket| socket.token.is_none()) else {
                continue;
            };
            (socket.readable, socket.writable) = (true, true);
            socket.token = register(&handle, socket.stream.clone(), source, Interest::BOTH).ok();
            if socket.token.is_none() {
                self.defer_for_shortage(source);
            }
        }
    }

    /// Serves the sockets that are ready, in order. Clients are served for a limited time and in turns: those that
    /// are left are served first in the next cycle, after timers and signals.
    fn serve_runnable(&mut self) {
        let runnable = std::mem::take(&mut self.runnable);
        let last_client = Source::Front(u64::MAX);
        let from = self.client_turns.next();
        runnable.range(..Source::Front(0)).for_each(|source| self.serve(*source));
        let clients = runnable.range(Source::Front(from)..=last_client);
        let clients = clients.chain(runnable.range(Source::Front(0)..Source::Front(from)));
        self.client_turns.begin(self.start.elapsed());
        for source in clients {
            match source {
                Source::Front(key) if !self.client_turns.may_serve(self.start.elapsed(), *key) => {
                    self.runnable.insert(*source);
                }
                source => self.serve(*source),
            }
        }
        let others = runnable.range((Bound::Excluded(last_client), Bound::Unbounded));
        others.for_each(|source| self.serve(*source));
    }

    /// Serves one source. A panic closes that connection and leaves the others unaffected.
    fn serve(&mut self, source: Source) {
        let served = catch_unwind(AssertUnwindSafe(|| match source {
            lingering if self.serve_lingering(lingering) => {}
            Source::Link(key) => self.serve_connection(key),
            Source::Dial(key) => self.serve_dial(key),
            Source::Front(key) => self.serve_client(key),
            Source::Board => self.serve_discovery(),
            Source::Listener => drop(self.accept()),
            Source::Caller(key) => self.serve_caller(key),
            Source::Callers => self.accept_callers(),
            Source::Fleet => self.serve_fleet(),
        }));
        if served.is_err() {
            self.reducer.counters.panics += 1;
            log_line!("a panic ends {source:?}");
            match source {
                Source::Link(key) => self.close_connection(key, EndpointClose::Panic),
                Source::Dial(key) => self.close_dial(key),
                Source::Front(key) => self.flush_and_close_client(key, ClientClose::Panic),
                Source::Board => self.discovery_failed("panic"),
                Source::Caller(key) => self.close_caller(key),
                Source::Listener | Source::Callers | Source::Fleet => {}
            }
        }
        self.process_inputs();
    }

    /// Passes queued inputs to the reducer and executes its effects, until the queue is empty.
    fn process_inputs(&mut self) {
        while let Some(input) = self.inbox.pop() {
            self.handle_input(input);
        }
    }

    /// Passes one input to the reducer and executes its effects. A panic of the reducer is counted and loses
    /// only the effects of this input.
    fn handle_input(&mut self, input: Input) {
        let now = self.now();
        events::input(now, &input);
        let before = self.reducer.service();
        let step = catch_unwind(AssertUnwindSafe(|| self.reducer.step(now, input)));
        let Ok(effects) = step else {
            // Requests left open by the panic are still answered by the reducer's deadline timers.
            self.reducer.counters.panics += 1;
            return log_line!("a panic ends the handling of one input");
        };
        self.log_service_change(before);
        effects.into_iter().for_each(|effect| self.execute(now, effect));
    }

    /// Executes one effect of the reducer.
    fn execute(&mut self, now: Millis, effect: Effect) {
        events::effect(now, &effect);
        match effect {
            Effect::Answer { key, reply } => {
                if let Some((_, conn)) = self.clients.get_mut(&key.conn) {
                    let before = conn.output_memory();
                    let queued = conn.answer(key.serial, &reply);
                    self.answer_memory.unsent_changed(before, conn.output_memory());
                    self.runnable.insert(Source::Front(key.conn));
                    // The client aborted the request in the same cycle: the answer is not sent, so its memory
                    // counts as flushed.
                    let discarded = if queued { None } else { Some(reply) };
                    if let Some(Reply::Served(body)) = discarded {
                        self.inbox.push(Input::Flushed { conn: key.conn, bytes: body.len() });
                    }
                    // At once, so that an answer takes memory only if its client does not read. A failure is
                    // met again when the connection is served.
                    let _ = self.write_client(key.conn);
                }
            }
            Effect::Send { attempt, machine, request } => self.send_attempt(attempt, &machine, &request),
            Effect::Stop { attempt } => {
                if let Some((key, remainder)) = self.connections.stop(now, attempt) {
                    self.attempt_stopped(key, remainder);
                }
            }
            Effect::Probe { machine } => match self.connections.probe(now, &machine) {
                Ok((key, _)) => self.schedule_write(key),
                Err(_) => self.probe_failed(machine),
            },
            Effect::SetListing { machine, listing: Some(listing) } => {
                self.connections.update_listing(&machine, listing)
            }
            Effect::SetListing { machine, listing: None } => self.connections.forget_machine(&machine),
            Effect::Retire { machine } => self.connections.retire(&machine),
            Effect::MachineRestarted { machine, at } => {
                for key in self.connections.dialed_before(&machine, at) {
                    self.close_connection(key, EndpointClose::Restarted);
                }
            }
            Effect::SaveExclusion { caller, name, excluded } => self.change_state(caller, &name, excluded),
            Effect::AnswerOperator { caller, verdict } => {
                self.answer_caller(caller, ops::answer(Ok(verdict)))
            }
            Effect::SendTelemetry { caller, mut telemetry } => {
                telemetry.fleet = self.fleet_member.as_ref().and_then(fleet::Member::telemetry);
                self.answer_caller(caller, ops::telemetry_answer(&telemetry));
            }
            Effect::Log(text) => log_line!("{text}"),
            // Not here, as that reads from all clients, whose requests are handled one after the other.
            Effect::StopListening => self.stops_listening = true,
            Effect::AuditDrain => self.audit_drain(),
            Effect::Exit { by } => self.exit_by = Some(by),
        }
    }

    /// Reloads the configuration on SIGHUP and applies the parts that can change while serving. An invalid
    /// configuration changes nothing; after a temporary error, reading is retried shortly.
    fn reload(&mut self) {
        self.retry_reload_at = None;
        let (config, operator) = match self.sources.load() {
            Ok(loaded) => loaded,
            Err(fault) if fault.transient => {
                self.retry_reload_at = Some(self.now() + RELOAD_RETRY_MS);
                return log_line!("cannot read the new configuration, will retry: {}", fault.message);
            }
            Err(fault) => {
                self.reducer.counters.reloads_refused += 1;
                return log_line!(always;
                    "new configuration rejected, keeping the current one: {}", fault.message);
            }
        };
        self.reducer.counters.reloads += 1;
        log_line!(always; "configuration reloaded; discovery service at {}", config.discovery_address);
        if config.listen != self.listen_address || config.settings != *self.reducer.settings() {
            log_line!(always; "changes of the listen address or the settings take effect after a restart");
        }
        self.memory_bytes = config.net.memory_bytes;
        self.max_incoming_bytes = memory_share(config.net.memory_bytes, INCOMING_MEMORY_SHARE);
        self.answer_memory.set_limit(memory_share(config.net.memory_bytes, ANSWER_MEMORY_SHARE));
        self.max_sockets = config.net.max_descriptors;
        self.reducer.set_net(config.net);
        self.connections.set_max_connections(self.reducer.max_endpoint_connections());
        self.connections.set_address_settings(operator.addresses);
        self.view_record_path = operator.view_record_path;
        self.load_plugins(operator.plugins);
        if operator.fleet.as_ref() != self.fleet_member.as_ref().map(fleet::Member::settings) {
            log_line!(always; "changes of (fleet …) take effect after a restart");
        }
        if config.discovery_address != self.discovery_address {
            // A partly received response of the old discovery service is dropped; the new one is asked again.
            self.discovery_address = config.discovery_address;
            self.close_discovery();
            self.discovery_watch.address_changed(self.now());
        }
    }
}
