//! The one place where state changes: inputs go in, effects come out.
//!
//! It knows requests, attempts, machines and purges, and no protocol; it reads no clock and does no I/O, so
//! that equal inputs give equal effects. What is decided about a request is the module's ([`crate::policy`]);
//! what is owed for it is kept here: one final answer each, in time, and a true report of each attempt's end.

use crate::addresses::Listing;
use crate::api::*;
use crate::board::{Listed, Notice, Word};
use crate::config::Net;
use crate::counters::Counters;
use crate::ops;
use crate::plugins::{About, Loaded, Plugins, Watch};
use crate::service::Service;
use crate::Router;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

/// A request is answered this long before its client gives up: its way back, and a busy core.
const GUARD_MS: Millis = 30.0;
/// An attempt whose first byte hasn't left by then is pulled back: within the second that drains and purges
/// leave, counted from the decision.
const UNSENT_MS: Millis = 600.0;
/// After SIGTERM new connections come for up to 0.4 s and requests on them for 0.2 s more.
const STILL_COMING_MS: Millis = 700.0;
/// SIGKILL comes no sooner than the longest deadline, counted as 3 s at most, and 0.7 s more.
const LONGEST_MS: Millis = 3000.0;
/// All is answered this long before SIGKILL can come.
const BEFORE_KILL_MS: Millis = 300.0;
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

/// A request of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Client {
    /// The connection.
    pub conn: u64,
    /// Its number there, never used again.
    pub serial: u64,
}

/// An attempt's number, never used again.
pub type AttemptKey = u64;

/// How far an attempt had come. Only the first two prove that nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No byte of it has left.
    NotConnected,
    /// Some bytes have left, not all.
    PartlyWritten,
    /// It has left whole: it may have run.
    WrittenWhole,
    /// Its answer has come.
    Answered,
}

/// A client's request as it came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// The client's id for it; passed on.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// How long the client waits, from when it sent the request.
    pub timeout_ms: Millis,
    /// Marked as a retry.
    pub repeat: bool,
    /// The object.
    pub object: Option<String>,
    /// The part of it.
    pub piece: Option<u64>,
    /// The object's group.
    pub group: u64,
    /// The part's size.
    pub size_kb: Option<f64>,
    /// The tag of the client's own copy.
    pub holds: Option<String>,
    /// The body; passed on.
    pub body: Vec<u8>,
}

/// What a machine is asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The client's request.
    pub ask: std::rc::Rc<Ask>,
    /// What the module decided.
    pub fetch: Fetch,
    /// It must not be repeated, so that it had better share nothing with others that could break.
    pub alone: bool,
}

/// What a machine answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// How it went.
    pub outcome: Outcome,
    /// The bytes.
    pub body: Vec<u8>,
    /// The client's copy is the one.
    pub unchanged: bool,
    /// What the machine says of it.
    pub note: Option<Note>,
    /// The source's time to first byte, or to its failure.
    pub source_wait_ms: Option<Millis>,
    /// A load report that came along.
    pub report: LoadReport,
}

/// How an attempt ended on the network.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// With an answer.
    Answer(Answer),
    /// Its connection never came up, or broke.
    Lost(Progress),
    /// It was not sent, as there was no room for another connection: that says nothing about its machine.
    NoRoom,
}

/// What the reducer is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request has come whole, `age_ms` after its first byte; or it can't be used.
    Asked {
        /// Whose.
        client: Client,
        /// What.
        ask: Result<Ask, &'static str>,
        /// How long ago it began to come.
        age_ms: Millis,
    },
    /// Somebody asks whether this router is ready.
    Health {
        /// Who.
        client: Client,
    },
    /// A client has stopped waiting.
    Aborted {
        /// For what.
        client: Client,
    },
    /// Bytes of answers have left for a client, or will never leave.
    Flushed {
        /// The connection.
        conn: u64,
        /// How many.
        bytes: usize,
    },
    /// A client's connection has ended, with all that was open on it.
    Closed {
        /// The connection.
        conn: u64,
    },
    /// An attempt has come further.
    Progressed {
        /// Which.
        attempt: AttemptKey,
        /// How far.
        progress: Progress,
    },
    /// An attempt has ended.
    Ended {
        /// Which.
        attempt: AttemptKey,
        /// How.
        end: End,
    },
    /// A probe has ended.
    Probed {
        /// Of which machine.
        member: CacheId,
        /// How.
        outcome: Outcome,
        /// What it reports.
        report: LoadReport,
    },
    /// An event of the notice board.
    Notice {
        /// The event.
        notice: Notice,
        /// The Unix time now.
        unix_ms: Millis,
    },
    /// Time has passed.
    Due,
    /// The operators want it to end.
    Terminate,
    /// Another process of this router has saved what operators have taken out.
    HandedOver {
        /// Those machines.
        excluded: Vec<String>,
        /// The Unix time now.
        unix_ms: Millis,
    },
    /// An operator calls.
    Operator {
        /// Who.
        caller: u64,
        /// What for.
        call: ops::Call,
        /// The Unix time now.
        unix_ms: Millis,
    },
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Served.
    Served(Vec<u8>),
    /// The client's copy is the one that would be served.
    Unchanged,
    /// Refused: a retry does no harm.
    Refused {
        /// When to come back.
        hold_off_ms: Option<Millis>,
    },
    /// Failed.
    Failed(&'static str),
    /// Whether this router is ready.
    Health(bool),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer a client.
    Answer {
        /// Whom.
        client: Client,
        /// What.
        reply: Reply,
    },
    /// Send an attempt.
    Send {
        /// Its number.
        attempt: AttemptKey,
        /// To which machine; the way there is the address book's.
        member: CacheId,
        /// What to ask.
        call: Call,
    },
    /// Give an attempt up: unsend it, or tell the machine.
    Stop {
        /// Which.
        attempt: AttemptKey,
    },
    /// Probe a machine.
    Probe {
        /// Which.
        member: CacheId,
    },
    /// The notice board has spoken of a machine; `None`: it is forgotten.
    Listed {
        /// Which.
        member: CacheId,
        /// What it says.
        listing: Option<Listing>,
    },
    /// Close connections to a machine once they carry nothing.
    Retire {
        /// Which.
        member: CacheId,
    },
    /// A machine has started anew: what was connected before is dead.
    Reborn {
        /// Which.
        member: CacheId,
        /// When it started.
        at: Millis,
    },
    /// Save what the next process must know, before the operator hears yes.
    Save,
    /// Answer an operator.
    Verdict {
        /// Whom.
        caller: u64,
        /// What.
        verdict: ops::Verdict,
    },
    /// A line for the operators.
    Log(String),
    /// Take no more connections.
    StopListening,
    /// All is answered: send what is left and end.
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Due {
    Module(Token),
    Guard(Client),
    Limit(AttemptKey),
    Unsent(AttemptKey),
    StopListening,
    AnswerAll,
    Exit,
}

/// A request that is owed its final answer.
#[derive(Debug)]
struct Held {
    id: RequestId,
    ask: std::rc::Rc<Ask>,
    fragile: bool,
    /// Attempts made, and those of them that are out.
    attempts: usize,
    out: Vec<AttemptKey>,
}

/// An attempt that is out.
#[derive(Debug)]
struct Out {
    client: Client,
    id: RequestId,
    number: usize,
    cache: CacheId,
    source: CacheId,
    sent: Millis,
    progress: Progress,
}

#[derive(Debug)]
struct Member {
    phase: Phase,
    since: Option<Millis>,
    /// When it was last told of.
    told: Millis,
}

/// All state of a router but that of its connections.
#[derive(Debug)]
pub struct Reducer {
    module: Router,
    settings: Settings,
    classes: HashMap<String, (usize, bool)>,
    net: Net,
    unix_offset: Millis,
    members: BTreeMap<CacheId, Member>,
    listed: bool,
    held: BTreeMap<Client, Held>,
    clients: HashMap<RequestId, Client>,
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
    listed_as: BTreeMap<CacheId, Listed>,
    excluded: BTreeSet<CacheId>,
    exited: bool,
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    /// Plug-ins, where the operator's file names any, and what they are shown of machines.
    plugins: Option<Box<Plugins>>,
    watch: Watch,
    /// What it has counted.
    pub counters: Counters,
}

/// What a request is, for plug-ins.
fn about(ask: &Ask, class: usize, left_ms: Millis) -> About<'_> {
    About {
        class,
        object: ask.object.as_deref(),
        piece: ask.piece.unwrap_or(0),
        group: ask.group,
        size_kb: ask.size_kb,
        left_ms,
        repeat: ask.repeat,
    }
}

impl Reducer {
    /// A router at its start; `unix_ms` is the Unix time at `now`.
    pub fn new(settings: Settings, net: Net, seed: u64, now: Millis, unix_ms: Millis) -> Self {
        let fragile = |class: &ClassSettings| class.repeat != Repeat::Retryable;
        let classes = settings.classes.iter().enumerate();
        Self {
            classes: classes.map(|(at, class)| (class.name.clone(), (at, fragile(class)))).collect(),
            module: Router::new(settings.clone(), seed, now),
            plugins: None,
            watch: Watch::new(&settings),
            settings,
            net,
            unix_offset: unix_ms - now,
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
            excluded: BTreeSet::new(),
            exited: false,
            events: VecDeque::new(),
            effects: Vec::new(),
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
    pub fn set_net(&mut self, net: Net) {
        self.net = net;
    }

    /// Whether clients can be served: there are machines to serve from, and no end in sight.
    pub fn ready(&self) -> bool {
        let serving = self.members.values().any(|member| member.phase == Phase::Serving);
        serving && self.service.takes_clients()
    }

    /// Client connections that may be open.
    pub fn most_clients(&self) -> usize {
        (self.net.sockets as f64 * CLIENT_SHARE) as usize
    }

    /// Connections to machines that may be open.
    pub fn most_links(&self) -> usize {
        (self.net.sockets as f64 * MACHINE_SHARE) as usize
    }

    /// Machines that are known, those that have left lately among them.
    pub fn known_machines(&self) -> usize {
        self.members.len()
    }

    /// Requests that are owed an answer.
    pub fn open(&self) -> usize {
        self.held.len()
    }

    /// When [`Input::Due`] is wanted next.
    pub fn next_due(&self) -> Option<Millis> {
        let own = self.dues.keys().next().map(|(at, _)| *at as f64 / 1000.0);
        let tick = self.plugins.as_ref().and_then(|plugins| plugins.next_due());
        [own, tick].into_iter().flatten().reduce(f64::min)
    }

    /// Takes one input in; what is to be done, in order.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Effect> {
        match input {
            Input::Asked { client, ask, age_ms } => self.asked(now, client, ask, age_ms),
            Input::Health { client } => {
                let reply = Reply::Health(self.ready());
                self.effects.push(Effect::Answer { client, reply });
            }
            Input::Aborted { client } => self.aborted(now, client),
            Input::Flushed { conn, bytes } => {
                let left = self.buffered.get_mut(&conn);
                let bytes = left.map_or(0, |left| {
                    let bytes = bytes.min(*left);
                    *left -= bytes;
                    bytes
                });
                self.buffered_all -= bytes;
            }
            Input::Closed { conn } => {
                self.buffered_all -= self.buffered.remove(&conn).unwrap_or(0);
                let all = Client { conn, serial: 0 }..=Client { conn, serial: u64::MAX };
                let gone: Vec<Client> = self.held.range(all).map(|(client, _)| *client).collect();
                gone.into_iter().for_each(|client| self.aborted(now, client));
            }
            Input::Progressed { attempt, progress } => {
                if let Some(out) = self.out.get_mut(&attempt) {
                    out.progress = out.progress.max(progress);
                }
            }
            Input::Ended { attempt, end } => self.ended(now, attempt, end),
            Input::Probed { member, outcome, report } => {
                self.events.push_back(Event::Probed { cache: member, outcome, report });
            }
            Input::Notice { notice, unix_ms } => self.notice(now, notice, unix_ms),
            Input::Due => {}
            Input::Terminate => self.terminate(now),
            Input::HandedOver { excluded, unix_ms } => self.handed_over(now, &excluded, unix_ms),
            Input::Operator { caller, call, unix_ms } => self.operator(now, caller, call, unix_ms),
        }
        self.settle(now);
        while let Some(entry) = self.dues.first_entry().filter(|entry| entry.key().0 as f64 / 1000.0 <= now) {
            let due = entry.remove();
            self.due(now, due);
            self.settle(now);
        }
        if let Some(plugins) = &mut self.plugins {
            plugins.tick(now);
            self.effects.extend(plugins.take_lines().into_iter().map(Effect::Log));
        }
        std::mem::take(&mut self.effects)
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
            Action::Refuse { id, hold_off_ms } => self.answer(now, &id, Reply::Refused { hold_off_ms }),
            Action::Fail { id } => self.answer(now, &id, Reply::Failed("no way to serve it")),
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
                    self.effects.push(Effect::Probe { member: cache });
                }
            }
            Action::Subscribe => {} // The board is followed all the time.
            Action::Log(text) => self.effects.push(Effect::Log(text)),
        }
    }

    fn asked(&mut self, now: Millis, client: Client, ask: Result<Ask, &'static str>, age_ms: Millis) {
        let known = ask.and_then(|ask| {
            let class = self.classes.get(&ask.class).copied().ok_or("no such class")?;
            if ask.timeout_ms > MAX_PATIENCE * self.settings.classes[class.0].deadline_ms {
                return Err("nobody waits so long"); // It would be held for ever.
            }
            if self.open_ids.contains(&ask.id) {
                return Err("its id is that of an open request"); // One of the two answers would be the other's.
            }
            Ok((ask, class))
        });
        let (ask, (class, fragile)) = match known {
            Ok(known) => known,
            Err(why) => {
                self.counters.bad_requests += 1;
                let reply = Reply::Failed(why);
                return self.effects.push(Effect::Answer { client, reply });
            }
        };
        self.counters.taken += 1;
        self.counters.repeats += u64::from(ask.repeat);
        let mut guard = now + ask.timeout_ms - age_ms.max(0.0) - GUARD_MS;
        if let Some(kill) = self.service.ending().map(|at| at + self.patience()) {
            guard = guard.min(kill);
        }
        let no_room = self.held_bytes + ask.body.len() > (self.net.memory as f64 * HELD_BODIES) as usize;
        let most = self.net.max_open.min((self.net.memory as f64 * HELD_STATE / HELD_EACH) as usize);
        if self.held.len() >= most || no_room || guard <= now {
            self.counters.shed += 1;
            self.counters.refused += 1;
            let reply = Reply::Refused { hold_off_ms: None };
            return self.effects.push(Effect::Answer { client, reply });
        }
        let advice = self
            .plugins
            .as_mut()
            .and_then(|plugins| plugins.request(now, &about(&ask, class, guard - now), &self.watch));
        // Ids of the module's own: a client may send one again, on another connection.
        let id: RequestId = format!("{}/{}.{}", ask.id, client.conn, client.serial).as_str().into();
        self.events.push_back(Event::Request(ClientRequest {
            id: id.clone(),
            repeat: ask.repeat,
            class,
            size_kb: ask.size_kb,
            piece: ask.piece.unwrap_or(0),
            budget_ms: guard - now,
            object: ask.object.as_deref().map(ObjectId::from),
            group: ask.group,
            advice,
        }));
        self.clients.insert(id.clone(), client);
        self.open_ids.insert(ask.id.clone());
        self.held_bytes += ask.body.len();
        self.held.insert(client, Held { id, ask: ask.into(), fragile, attempts: 0, out: Vec::new() });
        self.at(guard, Due::Guard(client));
    }

    /// Ends a request without an answer: its client is gone.
    fn aborted(&mut self, now: Millis, client: Client) {
        let Some(held) = self.release(client) else { return };
        self.counters.aborted += 1;
        self.clients.remove(&held.id);
        self.events.push_back(Event::Dropped { id: held.id });
        self.stop_all(now, held.out, Outcome::Cancelled, true);
    }

    /// Nothing more is owed for a request.
    fn release(&mut self, client: Client) -> Option<Held> {
        let held = self.held.remove(&client)?;
        self.held_bytes -= held.ask.body.len();
        self.open_ids.remove(&held.ask.id);
        Some(held)
    }

    /// Gives a final answer; later ones for the same request find nothing.
    fn answer(&mut self, now: Millis, id: &RequestId, reply: Reply) {
        let Some(client) = self.clients.remove(id) else { return };
        let out = self.release(client).map_or(Vec::new(), |held| held.out);
        match &reply {
            Reply::Served(body) => {
                *self.buffered.entry(client.conn).or_default() += body.len();
                self.buffered_all += body.len();
                self.counters.served += 1;
            }
            Reply::Unchanged => self.counters.unchanged += 1,
            Reply::Refused { .. } => self.counters.refused += 1,
            Reply::Failed(_) | Reply::Health(_) => self.counters.failed += 1,
        }
        self.effects.push(Effect::Answer { client, reply });
        self.stop_all(now, out, Outcome::Cancelled, true);
    }

    fn send(&mut self, now: Millis, fetch: Fetch) {
        let Some(client) = self.clients.get(&fetch.id).copied() else { return };
        let Some(held) = self.held.get_mut(&client) else { return };
        let (number, ask, alone) = (held.attempts, held.ask.clone(), held.fragile);
        held.attempts += 1;
        self.counters.attempts += 1;
        self.next_attempt += 1;
        let key = self.next_attempt;
        held.out.push(key);
        let out = Out {
            client,
            id: fetch.id.clone(),
            number,
            cache: fetch.cache.clone(),
            source: fetch.source.clone(),
            sent: now,
            progress: Progress::NotConnected,
        };
        self.out.insert(key, out);
        if self.members.get(&fetch.cache).is_none_or(|member| member.phase != Phase::Serving) {
            return self.end(now, key, Outcome::Moot, None, false);
        }
        if fetch.timeout_ms > 0.0 {
            self.at(now + fetch.timeout_ms, Due::Limit(key));
        }
        self.at(now + UNSENT_MS, Due::Unsent(key));
        let (member, call) = (fetch.cache.clone(), Call { ask, fetch, alone });
        if self.plugins.is_some() {
            self.watch.sent(&member);
        }
        self.effects.push(Effect::Send { attempt: key, member, call });
    }

    /// Gives an attempt up and reports it: as `unsent` where no byte of it has left, else as `sent`.
    fn stop(&mut self, now: Millis, key: AttemptKey, sent: Outcome, unsent: Outcome, last: bool) {
        let Some(out) = self.out.get(&key) else { return };
        // One that is partly written will be written to its end, as other frames follow it.
        let outcome = if out.progress == Progress::NotConnected { unsent } else { sent };
        self.effects.push(Effect::Stop { attempt: key });
        self.end(now, key, outcome, None, last);
    }

    fn stop_all(&mut self, now: Millis, keys: Vec<AttemptKey>, sent: Outcome, last: bool) {
        let unsent = if sent == Outcome::Timeout { Outcome::ConnectFailed } else { Outcome::Moot };
        keys.into_iter().for_each(|key| self.stop(now, key, sent, unsent, last));
    }

    /// Takes an attempt off the books and reports it to the module.
    fn end(&mut self, now: Millis, key: AttemptKey, outcome: Outcome, answer: Option<&Answer>, last: bool) {
        let Some(out) = self.out.remove(&key) else { return };
        if let Some(held) = self.held.get_mut(&out.client) {
            held.out.retain(|other| *other != key);
        }
        let counters = &mut self.counters;
        *match outcome {
            Outcome::Ok => &mut counters.attempt_ok,
            Outcome::Error => &mut counters.attempt_error,
            Outcome::Full => &mut counters.attempt_full,
            Outcome::Timeout => &mut counters.attempt_timeout,
            Outcome::ConnectFailed => &mut counters.attempt_unconnected,
            Outcome::Reset => &mut counters.attempt_reset,
            Outcome::Cancelled => &mut counters.attempt_cancelled,
            Outcome::Moot => &mut counters.attempt_moot,
            Outcome::Miss => &mut counters.attempt_miss,
        } += 1;
        let result = AttemptResult {
            id: out.id,
            attempt: out.number,
            cache: out.cache,
            outcome,
            waited_ms: now - out.sent,
            last,
            note: answer.and_then(|answer| answer.note),
            source_wait_ms: answer.and_then(|answer| answer.source_wait_ms),
            report: answer.map(|answer| answer.report).unwrap_or_default(),
        };
        if let Some(plugins) = &mut self.plugins {
            self.watch.ended(now, &result.cache, &result.report);
            if let Some(held) = self.held.get(&out.client) {
                let class = self.classes.get(&held.ask.class).map_or(0, |class| class.0);
                plugins.outcome(now, &result, &about(&held.ask, class, 0.0), &self.watch);
            }
        }
        self.events.push_back(Event::Result(result));
    }

    fn ended(&mut self, now: Millis, key: AttemptKey, end: End) {
        let Some(out) = self.out.get(&key) else { return };
        let (client, id) = (out.client, out.id.clone());
        let mut answer = match end {
            End::Lost(Progress::NotConnected | Progress::PartlyWritten) => {
                return self.end(now, key, Outcome::ConnectFailed, None, false);
            }
            End::Lost(_) => return self.end(now, key, Outcome::Reset, None, false),
            End::NoRoom => return self.end(now, key, Outcome::Moot, None, false),
            End::Answer(answer) => answer,
        };
        let Some(held) = self.held.get(&client) else { return };
        if answer.unchanged && held.ask.holds.is_none() {
            answer.outcome = Outcome::Error; // No copy was named that could be the one.
        }
        let served = answer.outcome == Outcome::Ok;
        let fragile = held.fragile;
        self.end(now, key, answer.outcome, Some(&answer), served);
        if served {
            let reply = if answer.unchanged {
                Reply::Unchanged
            } else if self.sheds(client.conn, answer.body.len()) {
                self.counters.shed += 1;
                // It has run: only where a repeat is harmless may it be called refused.
                if fragile {
                    Reply::Failed("no memory")
                } else {
                    Reply::Refused { hold_off_ms: None }
                }
            } else {
                Reply::Served(answer.body)
            };
            self.answer(now, &id, reply);
        }
    }

    /// Whether an answer of this size must be dropped to stay within the memory limit.
    fn sheds(&self, conn: u64, bytes: usize) -> bool {
        let (all, memory) = ((self.buffered_all + bytes) as f64, self.net.memory as f64);
        let slow = self.buffered.get(&conn).is_some_and(|own| *own > SLOW_BYTES);
        all > memory * if slow { SHED_SLOW } else { SHED_ALL }
    }

    fn notice(&mut self, now: Millis, notice: Notice, unix_ms: Millis) {
        match notice.word {
            None => {}
            Some(Word::Purge { object, group, made_unix_ms }) => {
                self.counters.purges += 1;
                let object = object.as_deref().map(ObjectId::from);
                let age_ms = (unix_ms - made_unix_ms).max(0.0);
                self.events.push_back(Event::Purged { object, group, age_ms });
            }
            Some(Word::Pool { whole, machines }) => {
                self.counters.lists += 1;
                self.pool(now, whole, machines);
            }
        }
    }

    fn pool(&mut self, now: Millis, whole: bool, machines: Vec<Listed>) {
        if whole {
            for (name, member) in &mut self.members {
                if !machines.iter().any(|listed| listed.name == name.as_str()) {
                    (member.phase, member.told) = (Phase::Deleted, now);
                    let listing = Listing { phase: Phase::Deleted, address: None, cold_until: None };
                    self.watch.gone(name);
                    self.effects.push(Effect::Listed { member: name.clone(), listing: Some(listing) });
                    self.effects.push(Effect::Retire { member: name.clone() });
                }
            }
        }
        let effects = &mut self.effects;
        self.members.retain(|name, member| {
            let stays = member.phase != Phase::Deleted || now - member.told < FORGET_MS;
            if !stays {
                effects.push(Effect::Listed { member: name.clone(), listing: None });
            }
            stays
        });
        let mut entries = Vec::with_capacity(machines.len());
        if whole {
            self.listed_as.clear();
        }
        for mut listed in machines {
            let name = CacheId::from(listed.name.as_str());
            match listed.phase {
                Phase::Deleted => drop(self.listed_as.remove(&name)),
                _ => drop(self.listed_as.insert(name.clone(), listed.clone())),
            }
            // An operator's word holds whatever the board says.
            if listed.phase == Phase::Serving && self.excluded.contains(&name) {
                listed.phase = Phase::Draining;
            }
            let since = listed.since_unix_ms.map(|ms| ms - self.unix_offset);
            let was = self.members.insert(name.clone(), Member { phase: listed.phase, since, told: now });
            let address = (listed.phase != Phase::Deleted).then_some(listed.address);
            let cold_until = since.map(|at| at + self.settings.guarantees.cold_ms);
            let listing = Listing { phase: listed.phase, address, cold_until };
            self.effects.push(Effect::Listed { member: name.clone(), listing: Some(listing) });
            if listed.phase != Phase::Serving {
                self.effects.push(Effect::Retire { member: name.clone() });
            } else if let (Some(at), Some(was)) = (since, was) {
                // A machine that vanished and came back leaves old connections open and silent.
                if was.since.is_none_or(|before| before < at) {
                    self.effects.push(Effect::Reborn { member: name.clone(), at });
                }
            }
            self.watch.list(&name, &listed.kind, &listed.zone, listed.phase, listed.weight, since);
            entries.push(ListEntry {
                cache: name,
                kind: listed.kind,
                cell: listed.cell,
                zone: listed.zone,
                rating: listed.weight,
                phase: listed.phase,
                online_since: since,
            });
        }
        let mode = match (whole, self.listed) {
            (true, false) => ListMode::Held,
            (true, true) => ListMode::Full,
            (false, _) => ListMode::Changes,
        };
        self.listed = true;
        if let Some(plugins) = &mut self.plugins {
            plugins.machines(now, &self.watch);
        }
        self.events.push_back(Event::List { mode, entries });
        self.settle(now);
        // What waits in a queue for a machine that leaves, or would be filled from one, goes nowhere.
        let serves = |name: &CacheId| self.members.get(name).is_some_and(|m| m.phase == Phase::Serving);
        let unsent = self.out.iter().filter(|(_, out)| out.progress == Progress::NotConnected);
        let pulled = unsent.filter(|(_, out)| !serves(&out.cache) || !serves(&out.source));
        let pulled: Vec<AttemptKey> = pulled.map(|(key, _)| *key).collect();
        pulled.into_iter().for_each(|key| self.pull(now, key));
    }

    fn pull(&mut self, now: Millis, key: AttemptKey) {
        if self.out.get(&key).is_some_and(|out| out.progress == Progress::NotConnected) {
            self.counters.attempt_pulled += 1;
            self.stop(now, key, Outcome::Cancelled, Outcome::Moot, false);
        }
    }

    /// Whether a client's connection with nothing open may be closed now.
    pub fn closes_at_rest(&self, now: Millis) -> bool {
        self.service.closes_at_rest(now)
    }

    /// Machines that operators have taken out.
    pub fn excluded(&self) -> Vec<String> {
        self.excluded.iter().map(CacheId::to_string).collect()
    }

    /// Another process has heard operators: what it has out is out here, and what it has back is back.
    fn handed_over(&mut self, now: Millis, excluded: &[String], unix_ms: Millis) {
        for name in self.excluded().into_iter().filter(|name| !excluded.contains(name)) {
            self.exclude(now, &name, false, unix_ms);
        }
        for name in excluded {
            // The board may not have spoken of it here yet.
            if self.exclude(now, name, true, unix_ms) == ops::Verdict::Unknown {
                self.excluded.insert(CacheId::from(name.as_str()));
            }
        }
    }

    /// Does what an operator asks for.
    fn operator(&mut self, now: Millis, caller: u64, call: ops::Call, unix_ms: Millis) {
        let yes = |yes| if yes { ops::Verdict::Yes } else { ops::Verdict::No };
        let changes = matches!(call, ops::Call::Exclude(_) | ops::Call::Include(_));
        let verdict = match call {
            ops::Call::Ready => yes(self.ready()),
            ops::Call::Evacuate => {
                self.service.evacuate(now);
                ops::Verdict::Yes
            }
            ops::Call::Rejoin => yes(self.service.rejoin()),
            ops::Call::Exclude(name) => self.exclude(now, &name, true, unix_ms),
            ops::Call::Include(name) => self.exclude(now, &name, false, unix_ms),
        };
        if verdict == ops::Verdict::Yes && changes {
            self.effects.push(Effect::Save);
        }
        self.effects.push(Effect::Verdict { caller, verdict });
    }

    /// Takes a machine out, whatever the board says of it, or back. Twice out and once back is back; what is
    /// out and unknown to the board meanwhile stays out.
    fn exclude(&mut self, now: Millis, name: &str, out: bool, unix_ms: Millis) -> ops::Verdict {
        let name = CacheId::from(name);
        let Some(mut listed) = self.listed_as.get(&name).cloned() else {
            return if self.excluded.contains(&name) && !out && self.excluded.remove(&name) {
                ops::Verdict::Yes
            } else {
                ops::Verdict::Unknown
            };
        };
        let changed = if out { self.excluded.insert(name.clone()) } else { self.excluded.remove(&name) };
        if !changed {
            return ops::Verdict::Yes;
        }
        let word = if out { "taken out" } else { "taken back" };
        self.effects.push(Effect::Log(format!("{name} is {word} by an operator")));
        if !out {
            // It was restarted, as like as not: it is cold.
            listed.since_unix_ms = Some(unix_ms);
        }
        self.pool(now, false, vec![listed]);
        if !self.members.values().any(|member| member.phase == Phase::Serving) {
            self.effects
                .push(Effect::Log(format!("{name} was the last machine that served: nobody is left")));
        }
        ops::Verdict::Yes
    }

    /// How long after SIGTERM there is time to answer.
    fn patience(&self) -> Millis {
        let longest = self.settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        STILL_COMING_MS + longest.min(LONGEST_MS) - BEFORE_KILL_MS
    }

    fn terminate(&mut self, now: Millis) {
        if !self.service.end(now) {
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
            Due::Unsent(key) => self.pull(now, key),
            Due::StopListening => {
                self.effects.push(Effect::StopListening);
                self.at(now, Due::Exit);
            }
            Due::AnswerAll => {
                let all: Vec<Client> = self.held.keys().copied().collect();
                all.into_iter().for_each(|client| self.guard(now, client));
            }
            Due::Exit if self.held.is_empty() && !self.exited => {
                self.exited = true;
                self.effects.push(Effect::Exit);
            }
            Due::Exit => self.at(now + 5.0, Due::Exit),
        }
    }

    /// A request's time is up: its attempts are, too, and if the module then has no answer, there is one.
    fn guard(&mut self, now: Millis, client: Client) {
        let Some(held) = self.held.get(&client) else { return };
        self.stop_all(now, held.out.clone(), Outcome::Timeout, false);
        self.settle(now);
        if let Some(held) = self.held.get(&client) {
            let id = held.id.clone();
            self.counters.guarded += 1;
            self.events.push_back(Event::Dropped { id: id.clone() });
            self.answer(now, &id, Reply::Failed("out of time"));
        }
    }
}
