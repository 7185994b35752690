//! The one place where state changes: inputs go in, effects come out.
//!
//! It knows requests, attempts, machines and purges, and no protocol; it reads no clock and does no I/O, so
//! that equal inputs give equal effects. What is decided about a request is the module's ([`crate::policy`]);
//! what is owed for it is kept here: one final answer each, in time, and a true report of each attempt's end.

mod gate;
mod machines;
mod requests;
mod words;

use crate::addresses::Listing;
use crate::api::*;
use crate::clock::{UnixTime, WallClock};
use crate::config::NetworkSettings;
use crate::counters::Counters;
use crate::discovery::{Announcement, DiscoveryEvent, ListedMachine};
use crate::ops;
use crate::plugins::{About, Loaded, Plugins, Watch};
use crate::service::{Exclusions, Service, DRAINED_BY_MS};
use crate::Router;
pub use gate::Permit;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
pub use words::{
    Answer, AttemptEnd, AttemptKey, Effect, Failure, IncomingRequest, Input, OutgoingRequest, Progress,
    Reply, RequestKey,
};

/// A request is answered this long before its client gives up: its way back, and a busy core.
const GUARD_MS: Millis = 30.0;
/// An attempt whose first byte hasn't left within so many of the settings' dial times is pulled back and decided anew.
const UNSENT_DIALS: f64 = 1.5;
/// Where two attempts may not be out at once, the next one leaves so long after one that was given up: its STOP, or the
/// close of its connection, is on its way and may come later than what goes another way. The protocol page grants as
/// much beyond each time limit.
const APART_MS: Millis = 50.0;
/// After SIGTERM new connections come for up to 0.4 s and requests on them for 0.2 s more.
const STILL_COMING_MS: Millis = 700.0;
/// SIGKILL comes no sooner than the longest deadline, counted as 3 s at most, and 0.7 s more.
const LONGEST_MS: Millis = 3000.0;
/// All is answered this long before SIGKILL can come, and has left this long before it.
const BEFORE_KILL_MS: Millis = 300.0;
const LEFT_BEFORE_KILL_MS: Millis = 100.0;
/// Answers on their way to clients: part of the memory limit from which slow clients are shed, then all.
const SHED_SLOW: f64 = 0.2;
const SHED_ALL: f64 = 0.35;
/// Part of the memory limit that bodies of open requests may take.
const HELD_BODIES: f64 = 0.1;
/// A machine that has left is forgotten after this long: longer than anything still speaks of it.
const FORGET_MS: Millis = 30_000.0;
/// A client waits at most for its class's deadline; one that says much more can't mean it.
const MAX_PATIENCE: f64 = 1.5;
/// Part of the memory limit that all else about open requests may take, and what one takes.
const HELD_STATE: f64 = 0.1;
const HELD_EACH: f64 = 4096.0;
/// A client connection with more than that unsent is slow.
const SLOW_BYTES: usize = 256 * 1024;
/// Part of the descriptors for clients (a third is promised) and for machines; the rest is reserved.
const CLIENT_SHARE: f64 = 0.55;
const MACHINE_SHARE: f64 = 0.3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Due {
    Module(Token),
    Guard(RequestKey),
    Limit(AttemptKey),
    Apart(AttemptKey),
    Unsent(AttemptKey),
    StopListening,
    AuditDrain,
    AnswerAll,
    Exit,
}

/// A request that is owed its final answer.
#[derive(Debug)]
struct Held {
    id: RequestId,
    ask: std::rc::Rc<IncomingRequest>,
    fragile: bool,
    /// Attempts made, how the latest to end did, and those that are out.
    attempts: usize,
    ended: Option<Outcome>,
    /// One that has ended may have run.
    may_have_run: bool,
    out: Vec<AttemptKey>,
    /// Where two may not be out at once: until then one that was given up may be at work still.
    apart: Millis,
    /// It is answered by then.
    guard: Millis,
}

/// An attempt that is out.
#[derive(Debug)]
struct Out {
    client: RequestKey,
    id: RequestId,
    number: usize,
    cache: CacheId,
    source: CacheId,
    sent: Millis,
    timeout_ms: Millis,
    send_by: Millis,
    progress: Progress,
    /// It waits until another one is surely over.
    parked: Option<OutgoingRequest>,
}

/// A late start of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Start {
    /// As the board named it; none: an operator's word stands for it. The same name is the same start.
    named: Option<UnixTime>,
    /// When it was, as it was first heard of.
    at: Millis,
}

#[derive(Debug)]
struct Member {
    phase: Phase,
    start: Option<Start>,
    /// When it was last told of.
    told: Millis,
}

/// All state of a router but that of its connections.
#[derive(Debug)]
pub struct Reducer {
    module: Router,
    settings: Settings,
    classes: HashMap<String, (usize, bool)>,
    net: NetworkSettings,
    wall_clock: WallClock,
    members: BTreeMap<CacheId, Member>,
    listed: bool,
    held: BTreeMap<RequestKey, Held>,
    clients: HashMap<RequestId, RequestKey>,
    /// Ids as the clients gave them, of what is held.
    open_ids: HashSet<String>,
    out: BTreeMap<AttemptKey, Out>,
    next_attempt: AttemptKey,
    dues: BTreeMap<(u64, u64), Due>,
    next_due: u64,
    buffered: HashMap<u64, usize>,
    buffered_all: usize,
    /// Bytes of the bodies of requests that are held.
    held_bytes: usize,
    service: Service,
    /// Machines as the board listed them last, and those that operators have taken out.
    listed_as: BTreeMap<CacheId, ListedMachine>,
    excluded: Exclusions,
    exited: bool,
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    /// Plug-ins, where the operator's file names any, and what they are shown of machines.
    plugins: Option<Box<Plugins>>,
    watch: Watch,
    /// Requests that ended, by class.
    results: ops::Results,
    /// What it has counted.
    pub counters: Counters,
}

impl Reducer {
    /// A router at its start; `unix` is the wall clock's time at `now`.
    pub fn new(settings: Settings, net: NetworkSettings, seed: u64, now: Millis, unix: UnixTime) -> Self {
        let fragile = |class: &ClassSettings| class.repeat != Repeat::Retryable;
        let classes = settings.classes.iter().enumerate();
        Self {
            classes: classes.map(|(at, class)| (class.name.clone(), (at, fragile(class)))).collect(),
            module: Router::new(settings.clone(), seed, now),
            plugins: None,
            watch: Watch::new(&settings),
            settings,
            net,
            wall_clock: WallClock::new(now, unix),
            members: BTreeMap::new(),
            listed: false,
            held: BTreeMap::new(),
            clients: HashMap::new(),
            open_ids: HashSet::new(),
            out: BTreeMap::new(),
            next_attempt: 0,
            dues: BTreeMap::new(),
            next_due: 0,
            buffered: HashMap::new(),
            buffered_all: 0,
            held_bytes: 0,
            service: Service::default(),
            listed_as: BTreeMap::new(),
            excluded: Exclusions::default(),
            exited: false,
            events: VecDeque::new(),
            effects: Vec::new(),
            results: ops::Results::default(),
            counters: Counters::default(),
        }
    }

    /// Has these plug-ins asked from now on, in this order; those that are not among `loaded` stay as they are.
    pub fn set_plugins(&mut self, now: Millis, order: &[String], loaded: Vec<Loaded>) {
        if self.plugins.is_none() && loaded.is_empty() {
            return;
        }
        let mut plugins = self.plugins.take().unwrap_or_else(|| Box::new(Plugins::new(&self.settings)));
        plugins.replace(now, order, loaded);
        self.plugins = Some(plugins).filter(|plugins| !plugins.is_empty());
    }

    /// The plug-ins, if there are any.
    pub fn plugins(&self) -> Option<&Plugins> {
        self.plugins.as_deref()
    }

    /// What the module decides by.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes over other limits of the network side.
    pub fn set_net(&mut self, net: NetworkSettings) {
        self.net = net;
    }

    /// Whether clients can be served: there are machines to serve from, and no end in sight.
    pub fn ready(&self) -> bool {
        self.serves() && self.service.accepts_clients()
    }

    /// Where it stands between serving and its end.
    pub fn service(&self) -> Service {
        self.service
    }

    /// Whether it was told to end.
    pub fn is_terminating(&self) -> bool {
        self.service.terminating_since().is_some()
    }

    /// Client connections that may be open.
    pub fn max_client_connections(&self) -> usize {
        (self.net.max_descriptors as f64 * CLIENT_SHARE) as usize
    }

    /// The longest that a client of any class waits.
    pub fn longest_deadline_ms(&self) -> Millis {
        self.settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max)
    }

    /// Connections to machines that may be open.
    pub fn max_endpoint_connections(&self) -> usize {
        (self.net.max_descriptors as f64 * MACHINE_SHARE) as usize
    }

    /// Machines that are known, those that have left lately among them.
    pub fn known_machines(&self) -> usize {
        self.members.len()
    }

    /// Requests that are owed an answer.
    pub fn open_requests(&self) -> usize {
        self.held.len()
    }

    /// When [`Input::TimersDue`] is wanted next.
    pub fn next_deadline(&self) -> Option<Millis> {
        let own = self.dues.keys().next().map(|(at, _)| *at as f64 / 1000.0);
        let tick = self.plugins.as_ref().and_then(|plugins| plugins.next_due());
        [own, tick].into_iter().flatten().reduce(f64::min)
    }

    /// Takes one input in; what is to be done, in order.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Effect> {
        match input {
            Input::RequestReceived { key: client, request: ask, age_ms } => {
                self.asked(now, client, ask, age_ms)
            }
            Input::Health { key: client } => {
                let reply = Reply::Health(self.ready());
                self.effects.push(Effect::Answer { key: client, reply });
            }
            Input::Aborted { key: client } => self.aborted(now, client),
            Input::Flushed { conn, bytes } => {
                let left = self.buffered.get_mut(&conn);
                let bytes = left.map_or(0, |left| {
                    let bytes = bytes.min(*left);
                    *left -= bytes;
                    bytes
                });
                self.buffered_all -= bytes;
            }
            Input::ConnectionClosed { conn } => {
                self.buffered_all -= self.buffered.remove(&conn).unwrap_or(0);
                self.open_on(conn).into_iter().for_each(|client| self.aborted(now, client));
            }
            Input::ConnectionUnreadable { conn } => {
                let open = self.open_on(conn);
                open.into_iter().for_each(|client| self.fail(now, client, Failure::BadConnection));
            }
            Input::RequestTruncated { key: client } => self.cut_short(now, client),
            Input::ConnectionClosing { conn } => {
                let open = self.open_on(conn);
                open.into_iter().for_each(|client| self.give_up(now, client));
            }
            Input::Progressed { attempt, progress } => {
                if let Some(out) = self.out.get_mut(&attempt) {
                    out.progress = out.progress.max(progress);
                }
            }
            Input::Ended { attempt, end } => self.ended(now, attempt, end),
            Input::Probed { machine: member, outcome, report } => {
                self.events.push_back(Event::Probed { cache: member, outcome, report });
            }
            Input::DiscoveryEvent { notice, unix } => {
                self.wall_clock.observe(now, unix);
                self.notice(now, notice);
            }
            Input::ClocksRead { unix } => self.wall_clock.observe(now, unix),
            Input::TimersDue => self.pass(now),
            Input::Terminate => self.terminate(now),
            Input::ListenerClosed => self.service.shut_down(),
            Input::ExclusionsLoaded { excluded } => self.handed_over(now, excluded),
            Input::ExclusionSaved { caller, result } => self.changed(now, caller, result),
            Input::ColdStartShare(part) => self.cold_part(part),
            Input::Operator { caller, call } => self.operator(now, caller, call),
        }
        self.settle(now);
        if let Some(plugins) = &mut self.plugins {
            plugins.tick(now);
            self.effects.extend(plugins.take_lines().into_iter().map(Effect::Log));
        }
        std::mem::take(&mut self.effects)
    }

    /// Does what is due. Only [`Input::TimersDue`] does, which comes after all that a wake has brought: a timer never acts on
    /// a client, a machine or an answer of which the news is there, unread.
    fn pass(&mut self, now: Millis) {
        while let Some(entry) = self.dues.first_entry().filter(|entry| entry.key().0 as f64 / 1000.0 <= now) {
            let due = entry.remove();
            self.due(now, due);
            self.settle(now);
        }
    }

    fn at(&mut self, when: Millis, due: Due) {
        self.next_due += 1;
        self.dues.insert(((when.max(0.0) * 1000.0).ceil() as u64, self.next_due), due);
    }

    /// Gives the module what there is for it and takes in what it asks for, until nothing is left.
    fn settle(&mut self, now: Millis) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            self.module.handle(now, event, &mut actions);
            actions.into_iter().for_each(|action| self.act(now, action));
        }
    }

    fn act(&mut self, now: Millis, action: Action) {
        match action {
            Action::Fetch(fetch) => self.send(now, fetch),
            Action::Refuse { id, retry_after_ms, reason } => {
                self.answer(now, &id, Reply::Refused { retry_after_ms, reason });
            }
            Action::Fail { id, reason } => self.answer(now, &id, Reply::Failed(Failure::GivenUp(reason))),
            Action::Abandon { id, attempt } => {
                // Once a request is answered nothing of it is out.
                let held = self.clients.get(&id).and_then(|client| self.held.get(client));
                let out = held.map_or(&[][..], |held| &held.out);
                let found = out.iter().find(|key| self.out.get(key).is_some_and(|out| out.number == attempt));
                if let Some(key) = found.copied() {
                    self.stop(now, key, Outcome::Cancelled, Outcome::Moot, false);
                }
            }
            Action::Timer { delay_ms, token } => self.at(now + delay_ms, Due::Module(token)),
            Action::Probe { cache } => {
                if self.members.contains_key(&cache) {
                    self.counters.probes += 1;
                    self.effects.push(Effect::Probe { machine: cache });
                }
            }
            Action::Subscribe => {} // The board is followed all the time.
            Action::Log(text) => self.effects.push(Effect::Log(text)),
        }
    }

    /// How long after SIGTERM there is time to answer.
    fn patience(&self) -> Millis {
        STILL_COMING_MS + self.longest_deadline_ms().min(LONGEST_MS) - BEFORE_KILL_MS
    }

    fn terminate(&mut self, now: Millis) {
        // Answers are due in any case, but what comes in time is taken first.
        if !self.service.terminate(now, self.patience().max(STILL_COMING_MS)) {
            return;
        }
        self.at(now + STILL_COMING_MS, Due::StopListening);
        self.at(now + self.patience(), Due::AnswerAll);
    }

    fn due(&mut self, now: Millis, due: Due) {
        match due {
            Due::Module(token) => self.events.push_back(Event::Timer(token)),
            Due::Guard(client) => self.guard(now, client),
            Due::Limit(key) => {
                self.stop(now, key, Outcome::Timeout, Outcome::ConnectFailed, false);
            }
            Due::Apart(key) => {
                if let Some(call) = self.out.get_mut(&key).and_then(|out| out.parked.take()) {
                    let member = call.fetch.cache.clone();
                    self.effects.push(Effect::Send { attempt: key, machine: member, request: call });
                }
            }
            Due::Unsent(key) => self.pull(now, key),
            Due::StopListening => {
                self.effects.push(Effect::StopListening);
                self.at(now, Due::Exit);
            }
            Due::AuditDrain => {
                // It may have been called back, and evacuated again, since.
                let over = self.service.evacuating_since().is_some_and(|since| now - since >= DRAINED_BY_MS);
                self.effects.extend(over.then_some(Effect::AuditDrain));
            }
            Due::AnswerAll => {
                let all: Vec<RequestKey> = self.held.keys().copied().collect();
                all.into_iter().for_each(|client| self.guard(now, client));
            }
            Due::Exit if self.held.is_empty() && !self.exited => {
                self.exited = true;
                // Slow clients may still be reading: they have as long as the platform gives.
                let kill = self.service.terminating_since().unwrap_or(now) + self.patience() + BEFORE_KILL_MS;
                self.effects.push(Effect::Exit { by: kill - LEFT_BEFORE_KILL_MS });
            }
            Due::Exit => self.at(now + 5.0, Due::Exit),
        }
    }
}
