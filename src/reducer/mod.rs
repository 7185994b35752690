//! The state machine of the router: takes inputs, changes its state and returns effects.
//!
//! The reducer knows requests, attempts, machines and purges, but no protocol. It reads no clock and does no
//! I/O, so that equal inputs give equal effects. The decision module ([`crate::policy`]) chooses what to do
//! about a request. The reducer guarantees the outcome: exactly one final answer per request, in time, and a
//! truthful report of how each attempt ended.

mod gate;
mod machines;
mod recent_ids;
mod requests;
mod words;

use crate::addresses::Listing;
use crate::api::*;
use crate::clock::{UnixTime, WallClock};
use crate::config::NetworkSettings;
use crate::counters::Counters;
use crate::discovery::{Announcement, DiscoveryEvent, ListedMachine};
use crate::ops;
use crate::plugins::{Loaded, MachineStats, Plugins, RequestInfo};
use crate::service::{Exclusions, Service, DRAINED_BY_MS};
use crate::Router;
pub use gate::Permit;
use recent_ids::RecentIds;
pub use recent_ids::{parse_client_id, ClientId};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
pub use words::{
    Answer, AttemptEnd, AttemptKey, Effect, Failure, IncomingRequest, Input, OutgoingRequest, Progress,
    Reply, RequestKey,
};

/// Margin by which a request is answered before its client gives up. Covers the transfer and a busy CPU.
const ANSWER_MARGIN_MS: Millis = 30.0;
/// An attempt whose first byte has not been sent within this many dial time-outs is withheld and decided
/// anew.
const SEND_TIMEOUT_DIALS: f64 = 1.5;
/// Where concurrent attempts of one request are not allowed, the next attempt is sent this long after one
/// that was given up. The STOP of that attempt, or the close of its connection, may arrive later than what is
/// sent over another connection. The protocol specification grants the same time beyond each time limit.
const ATTEMPT_SEPARATION_MS: Millis = 50.0;
/// How long the listener stays open after SIGTERM: new connections arrive for up to 400 ms, and requests on
/// them for 200 ms more.
const LISTEN_GRACE_MS: Millis = 700.0;
/// The longest class deadline that is counted towards SIGKILL, which comes no sooner than that deadline plus
/// 700 ms.
const MAX_COUNTED_DEADLINE_MS: Millis = 3000.0;
/// All requests are answered this long before SIGKILL can come.
const ANSWER_BEFORE_KILL_MS: Millis = 300.0;
/// All answers are flushed this long before SIGKILL can come.
const FLUSH_BEFORE_KILL_MS: Millis = 100.0;
/// Share of the memory limit that unsent answers may take before further answers to slow clients are dropped.
const SLOW_CLIENT_MEMORY_SHARE: f64 = 0.2;
/// Share of the memory limit that unsent answers may take before all further answers are dropped.
const ALL_CLIENTS_MEMORY_SHARE: f64 = 0.35;
/// Share of the memory limit that bodies of open requests may take.
const BODY_MEMORY_SHARE: f64 = 0.1;
/// How long a deleted machine is remembered: longer than any request, purge or connection still refers to it.
const DELETED_RETENTION_MS: Millis = 30_000.0;
/// Largest accepted ratio of a client's time-out to its class's deadline. No client waits longer than its
/// class's deadline, so a much larger time-out is an error.
const MAX_TIMEOUT_RATIO: f64 = 1.5;
/// Share of the memory limit that the state of open requests may take, bodies excluded.
const STATE_MEMORY_SHARE: f64 = 0.1;
/// Memory that the state of one open request takes, in bytes.
const STATE_BYTES_PER_REQUEST: f64 = 4096.0;
/// Share of the memory limit that the table of pieces of objects may take.
const PIECE_MEMORY_SHARE: f64 = 0.15;
/// Memory that one piece in the table takes, in bytes: its state, its name and the growth of the table.
const BYTES_PER_PIECE: f64 = 400.0;
/// A client connection with more unsent bytes than this is slow: what the kernel accepts is sent at once.
const SLOW_CLIENT_UNSENT_BYTES: usize = 32 * 1024;
/// Share of the sockets for client connections (a third is promised). What clients and machines leave is
/// reserved.
const CLIENT_SOCKET_SHARE: f64 = 0.55;
/// Share of the sockets for connections to machines.
const ENDPOINT_SOCKET_SHARE: f64 = 0.3;

/// A timer, by what happens when it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Timer {
    /// A timer of the decision module.
    Policy(Token),
    /// The answer deadline of a request.
    AnswerDeadline(RequestKey),
    /// The time-out of an attempt.
    AttemptTimeout(AttemptKey),
    /// A delayed attempt may be sent.
    AttemptDelayOver(AttemptKey),
    /// The latest time to send the first byte of an attempt.
    SendDeadline(AttemptKey),
    /// The listener's grace time after SIGTERM is over.
    StopListening,
    /// A drain should be complete.
    AuditDrain,
    /// All requests must be answered before SIGKILL.
    AnswerAll,
    /// Checks whether the process can exit.
    Exit,
}

/// The place of a timer: its due time in microseconds, and its number.
type TimerKey = (u64, u64);

/// A request whose final answer is still owed.
#[derive(Debug)]
struct PendingRequest {
    /// The request's id in the decision module.
    id: RequestId,
    request: std::rc::Rc<IncomingRequest>,
    /// Whether the request must not run twice, or only under conditions (any class that is not retryable).
    fragile: bool,
    /// Attempts made so far.
    attempts_made: usize,
    /// How the latest attempt to end ended.
    last_outcome: Option<Outcome>,
    /// Whether an attempt that has ended may have run.
    may_have_run: bool,
    /// When the first byte of any attempt was written.
    first_sent_at: Option<Millis>,
    /// Attempts that have not ended.
    in_flight: Vec<AttemptKey>,
    /// If hedging is off: the earliest time to send the next attempt, as one that was given up may still be
    /// running.
    next_attempt_at: Millis,
    /// The answer deadline.
    answer_by: Millis,
    /// The timer of the answer deadline.
    deadline_timer: TimerKey,
}

/// An attempt that has not ended.
#[derive(Debug)]
struct PendingAttempt {
    request_key: RequestKey,
    /// The request's id in the decision module.
    id: RequestId,
    /// The attempt's number within its request, counted from 0.
    number: usize,
    cache: CacheId,
    source: CacheId,
    /// When the attempt was handed over for sending.
    started_at: Millis,
    timeout_ms: Millis,
    /// The latest time to send the first byte.
    send_by: Millis,
    progress: Progress,
    /// The request to send, while it waits until an earlier attempt is certain to have ended.
    delayed: Option<OutgoingRequest>,
    /// The timers that end with the attempt.
    timers: Vec<TimerKey>,
}

/// The start of a machine that started after its router.
#[derive(Clone, Copy, Debug, PartialEq)]
struct MachineStart {
    /// The time that discovery reported. `None`: the start was assumed because an operator included the
    /// machine again. An equal time is the same start.
    reported: Option<UnixTime>,
    /// The monotonic time of the start, fixed when it is first reported.
    at: Millis,
}

/// A machine that discovery has reported.
#[derive(Debug)]
struct Machine {
    phase: Phase,
    start: Option<MachineStart>,
    /// When discovery last mentioned the machine.
    updated_at: Millis,
}

/// The state of a router, apart from its connections.
#[derive(Debug)]
pub struct Reducer {
    policy: Router,
    settings: Settings,
    /// Each class's index in the settings, and whether its requests are fragile (not plainly retryable).
    classes: HashMap<String, (usize, bool)>,
    network: NetworkSettings,
    wall_clock: WallClock,
    machines: BTreeMap<CacheId, Machine>,
    /// Whether any list of machines has been received.
    list_received: bool,
    pending: BTreeMap<RequestKey, PendingRequest>,
    request_keys: HashMap<RequestId, RequestKey>,
    /// Ids of the pending requests, as their clients gave them.
    open_client_ids: HashSet<String>,
    /// Ids of ended requests that must not run again.
    recent_ids: RecentIds,
    attempts: BTreeMap<AttemptKey, PendingAttempt>,
    next_attempt: AttemptKey,
    /// Timers by due time, in microseconds, and order of creation.
    timers: BTreeMap<TimerKey, Timer>,
    next_timer: u64,
    /// Bytes of answers that have not been sent yet, per client connection and in total.
    unsent_bytes: HashMap<u64, usize>,
    unsent_total: usize,
    /// Bytes of the bodies of pending requests.
    pending_body_bytes: usize,
    service: Service,
    /// The latest entry of each machine that discovery lists.
    listings: BTreeMap<CacheId, ListedMachine>,
    /// Machines that operators have excluded.
    exclusions: Exclusions,
    /// Whether [`Effect::Exit`] has been returned.
    exit_requested: bool,
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    /// Plug-ins, if the operator's file names any.
    plugins: Option<Box<Plugins>>,
    /// Per-machine figures that plug-ins are shown.
    machine_stats: MachineStats,
    /// Ended requests by class and disposition.
    results: ops::Results,
    /// Counters since the start.
    pub counters: Counters,
}

impl Reducer {
    /// Creates the state of a starting router. `unix` is the wall clock's time at `now`.
    pub fn new(settings: Settings, net: NetworkSettings, seed: u64, now: Millis, unix: UnixTime) -> Self {
        let fragile = |class: &ClassSettings| class.repeat != Repeat::Retryable;
        let classes = settings.classes.iter().enumerate();
        let mut policy = Router::new(settings.clone(), seed, now);
        policy.limit_pieces((net.memory_bytes as f64 * PIECE_MEMORY_SHARE / BYTES_PER_PIECE) as usize);
        Self {
            classes: classes.map(|(at, class)| (class.name.clone(), (at, fragile(class)))).collect(),
            policy,
            plugins: None,
            machine_stats: MachineStats::new(&settings),
            settings,
            network: net,
            wall_clock: WallClock::new(now, unix),
            machines: BTreeMap::new(),
            list_received: false,
            pending: BTreeMap::new(),
            request_keys: HashMap::new(),
            open_client_ids: HashSet::new(),
            recent_ids: RecentIds::default(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            timers: BTreeMap::new(),
            next_timer: 0,
            unsent_bytes: HashMap::new(),
            unsent_total: 0,
            pending_body_bytes: 0,
            service: Service::default(),
            listings: BTreeMap::new(),
            exclusions: Exclusions::default(),
            exit_requested: false,
            events: VecDeque::new(),
            effects: Vec::new(),
            results: ops::Results::default(),
            counters: Counters::default(),
        }
    }

    /// Replaces the active plug-ins by those in `order`. Plug-ins that are not in `loaded` keep their
    /// instances.
    pub fn set_plugins(&mut self, now: Millis, order: &[String], loaded: Vec<Loaded>) {
        if self.plugins.is_none() && loaded.is_empty() {
            return;
        }
        let mut plugins = self.plugins.take().unwrap_or_else(|| Box::new(Plugins::new(&self.settings)));
        plugins.replace(now, order, loaded);
        self.plugins = Some(plugins).filter(|plugins| !plugins.is_empty());
    }

    /// Returns the plug-ins, if there are any.
    pub fn plugins(&self) -> Option<&Plugins> {
        self.plugins.as_deref()
    }

    /// Returns the settings that the decision module uses.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the limits of the network side.
    pub fn set_net(&mut self, net: NetworkSettings) {
        self.network = net;
    }

    /// Returns whether the router can serve clients: a machine serves, and the router accepts clients.
    pub fn ready(&self) -> bool {
        self.any_serving() && self.service.accepts_clients()
    }

    /// Returns the state of the service.
    pub fn service(&self) -> Service {
        self.service
    }

    /// Returns whether the router was asked to terminate.
    pub fn is_terminating(&self) -> bool {
        self.service.terminating_since().is_some()
    }

    /// Returns how many client connections may be open.
    pub fn max_client_connections(&self) -> usize {
        (self.network.max_descriptors as f64 * CLIENT_SOCKET_SHARE) as usize
    }

    /// Returns the number of bytes in bodies of open requests.
    pub fn body_bytes(&self) -> usize {
        self.pending_body_bytes
    }

    /// Returns how many bytes are left for the bodies of requests.
    pub fn body_memory_left(&self) -> usize {
        let limit = (self.network.memory_bytes as f64 * BODY_MEMORY_SHARE) as usize;
        limit.saturating_sub(self.pending_body_bytes)
    }

    /// Returns whether requests of a class may not simply be repeated. An unknown class has no requests.
    pub fn is_unrepeatable(&self, class: &str) -> bool {
        self.classes.get(class).is_some_and(|(_, fragile)| *fragile)
    }

    /// Returns the ids of the requests that must not run again: of open ones that may not simply be repeated,
    /// and of ended ones that may have run.
    pub fn unrepeatable_ids(&self) -> Vec<ClientId> {
        let open = self.pending.values().filter(|pending| pending.fragile);
        let open = open.filter_map(|pending| parse_client_id(&pending.request.id));
        open.chain(self.recent_ids.ids()).collect()
    }

    /// Returns the longest deadline of any class.
    pub fn longest_deadline_ms(&self) -> Millis {
        self.settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max)
    }

    /// Returns how many connections to machines may be open.
    pub fn max_endpoint_connections(&self) -> usize {
        (self.network.max_descriptors as f64 * ENDPOINT_SOCKET_SHARE) as usize
    }

    /// Returns the number of known machines, including recently deleted ones.
    pub fn known_machines(&self) -> usize {
        self.machines.len()
    }

    /// Returns the number of requests that are owed an answer.
    pub fn open_requests(&self) -> usize {
        self.pending.len()
    }

    /// Returns when [`Input::TimersDue`] is needed next.
    pub fn next_deadline(&self) -> Option<Millis> {
        let next_timer = self.timers.keys().next().map(|(at, _)| *at as f64 / 1000.0);
        let plugin_tick = self.plugins.as_ref().and_then(|plugins| plugins.next_tick_at());
        [next_timer, plugin_tick].into_iter().flatten().reduce(f64::min)
    }

    /// Applies one input and returns the effects to carry out, in order.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Effect> {
        match input {
            Input::RequestReceived { key, request, age_ms } => {
                self.receive_request(now, key, request, age_ms)
            }
            Input::Health { key } => {
                let reply = Reply::Health(self.ready());
                self.effects.push(Effect::Answer { key, reply });
            }
            Input::Aborted { key } => self.abort(now, key),
            Input::Flushed { conn, bytes } => {
                let unsent = self.unsent_bytes.get_mut(&conn);
                let bytes = unsent.map_or(0, |unsent| {
                    let bytes = bytes.min(*unsent);
                    *unsent -= bytes;
                    bytes
                });
                self.unsent_total -= bytes;
            }
            Input::ConnectionClosed { conn } => {
                self.unsent_total -= self.unsent_bytes.remove(&conn).unwrap_or(0);
                self.requests_on(conn).into_iter().for_each(|key| self.abort(now, key));
            }
            Input::ConnectionUnreadable { conn } => {
                let open = self.requests_on(conn);
                open.into_iter().for_each(|key| self.fail(now, key, Failure::BadConnection));
            }
            Input::IdsTaken { ids } => ids.into_iter().for_each(|id| self.recent_ids.insert(now, id)),
            Input::RequestTruncated { key, reason } => self.refuse_truncated(now, key, reason),
            Input::ConnectionClosing { conn } => {
                let open = self.requests_on(conn);
                open.into_iter().for_each(|key| self.answer_before_close(now, key));
            }
            Input::Progressed { attempt, progress } => {
                if let Some(attempt) = self.attempts.get_mut(&attempt) {
                    attempt.progress = attempt.progress.max(progress);
                    if let Some(pending) = self.pending.get_mut(&attempt.request_key) {
                        pending.first_sent_at.get_or_insert(now);
                    }
                }
            }
            Input::Ended { attempt, end } => self.attempt_ended(now, attempt, end),
            Input::Probed { machine, outcome, report } => {
                self.events.push_back(Event::Probed { cache: machine, outcome, report });
            }
            Input::DiscoveryEvent { event, unix } => {
                self.wall_clock.observe(now, unix);
                self.discovery_event(now, event);
            }
            Input::ClocksRead { unix } => self.wall_clock.observe(now, unix),
            Input::TimersDue => self.run_due_timers(now),
            Input::Terminate => self.terminate(now),
            Input::ListenerClosed => self.service.shut_down(),
            Input::ExclusionsLoaded { excluded } => self.apply_exclusions(now, excluded),
            Input::ExclusionSaved { caller, result } => self.exclusion_saved(now, caller, result),
            Input::ColdStartShare(share) => self.set_cold_start_share(share),
            Input::Operator { caller, call } => self.operator_call(now, caller, call),
        }
        self.run_policy(now);
        if let Some(plugins) = &mut self.plugins {
            plugins.tick(now);
            self.effects.extend(plugins.take_lines().into_iter().map(Effect::Log));
        }
        std::mem::take(&mut self.effects)
    }

    /// Runs the timers that are due. Only [`Input::TimersDue`] calls this, and it comes after all other
    /// inputs of an event loop turn, so that no timer acts on a client, a machine or an answer whose news has
    /// arrived but is unread.
    fn run_due_timers(&mut self, now: Millis) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 as f64 / 1000.0 <= now)
        {
            let timer = entry.remove();
            self.fire_timer(now, timer);
            self.run_policy(now);
        }
    }

    /// Sets a timer. Timers with equal times run in the order in which they were set.
    fn set_timer(&mut self, when: Millis, timer: Timer) -> TimerKey {
        self.next_timer += 1;
        let key = ((when.max(0.0) * 1000.0).ceil() as u64, self.next_timer);
        self.timers.insert(key, timer);
        key
    }

    /// Sets a timer that is removed at the end of an attempt. Thousands of requests may end each second, long
    /// before their timers are due.
    fn set_attempt_timer(&mut self, when: Millis, attempt: AttemptKey, timer: Timer) {
        let key = self.set_timer(when, timer);
        if let Some(attempt) = self.attempts.get_mut(&attempt) {
            attempt.timers.push(key);
        }
    }

    /// Returns the number of timers that are set.
    pub fn timers_set(&self) -> usize {
        self.timers.len()
    }

    /// Hands all queued events to the decision module and applies its actions, until no event is left.
    fn run_policy(&mut self, now: Millis) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            self.policy.handle(now, event, &mut actions);
            actions.into_iter().for_each(|action| self.apply_action(now, action));
        }
    }

    /// Applies an action of the decision module.
    fn apply_action(&mut self, now: Millis, action: Action) {
        match action {
            Action::Fetch(fetch) => self.start_attempt(now, fetch),
            Action::Refuse { id, retry_after_ms, reason } => {
                self.answer(now, &id, Reply::Refused { retry_after_ms, reason });
            }
            Action::Fail { id, reason } => self.answer(now, &id, Reply::Failed(Failure::GivenUp(reason))),
            Action::Abandon { id, attempt } => {
                // An answered request has no attempts in flight.
                let pending = self.request_keys.get(&id).and_then(|key| self.pending.get(key));
                let in_flight = pending.map_or(&[][..], |pending| &pending.in_flight);
                let found = in_flight
                    .iter()
                    .find(|key| self.attempts.get(key).is_some_and(|candidate| candidate.number == attempt));
                if let Some(key) = found.copied() {
                    self.cancel_attempt(now, key, Outcome::Cancelled, Outcome::Moot, false);
                }
            }
            Action::Timer { delay_ms, token } => drop(self.set_timer(now + delay_ms, Timer::Policy(token))),
            Action::Probe { cache } => {
                if self.machines.contains_key(&cache) {
                    self.counters.probes += 1;
                    self.effects.push(Effect::Probe { machine: cache });
                }
            }
            Action::Subscribe => {} // Discovery is always followed.
            Action::Log(text) => self.effects.push(Effect::Log(text)),
        }
    }

    /// Returns how long after SIGTERM requests may still be answered.
    fn answer_window_ms(&self) -> Millis {
        LISTEN_GRACE_MS + self.longest_deadline_ms().min(MAX_COUNTED_DEADLINE_MS) - ANSWER_BEFORE_KILL_MS
    }

    /// Starts the termination of the process.
    fn terminate(&mut self, now: Millis) {
        // Connections are kept for the listener's grace time, even if the answers are due earlier.
        if !self.service.terminate(now, self.answer_window_ms().max(LISTEN_GRACE_MS)) {
            return;
        }
        self.set_timer(now + LISTEN_GRACE_MS, Timer::StopListening);
        self.set_timer(now + self.answer_window_ms(), Timer::AnswerAll);
    }

    /// Runs a timer that is due.
    fn fire_timer(&mut self, now: Millis, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.events.push_back(Event::Timer(token)),
            Timer::AnswerDeadline(key) => self.answer_at_deadline(now, key),
            Timer::AttemptTimeout(key) => {
                self.cancel_attempt(now, key, Outcome::Timeout, Outcome::ConnectFailed, false);
            }
            Timer::AttemptDelayOver(key) => {
                if let Some(request) = self.attempts.get_mut(&key).and_then(|attempt| attempt.delayed.take())
                {
                    let machine = request.fetch.cache.clone();
                    self.effects.push(Effect::Send { attempt: key, machine, request });
                }
            }
            Timer::SendDeadline(key) => self.withhold_unwritten(now, key),
            Timer::StopListening => {
                self.effects.push(Effect::StopListening);
                self.set_timer(now, Timer::Exit);
            }
            Timer::AuditDrain => {
                // The router may have rejoined, and been evacuated again, since the timer was set.
                let drain_over =
                    self.service.evacuating_since().is_some_and(|since| now - since >= DRAINED_BY_MS);
                self.effects.extend(drain_over.then_some(Effect::AuditDrain));
            }
            Timer::AnswerAll => {
                let all: Vec<RequestKey> = self.pending.keys().copied().collect();
                all.into_iter().for_each(|key| self.answer_at_deadline(now, key));
            }
            Timer::Exit if self.pending.is_empty() && !self.exit_requested => {
                self.exit_requested = true;
                // Slow clients may still be reading: they have as long as the platform allows.
                let kill_at = self.service.terminating_since().unwrap_or(now)
                    + self.answer_window_ms()
                    + ANSWER_BEFORE_KILL_MS;
                self.effects.push(Effect::Exit { by: kill_at - FLUSH_BEFORE_KILL_MS });
            }
            Timer::Exit => drop(self.set_timer(now + 5.0, Timer::Exit)),
        }
    }
}
