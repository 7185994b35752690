//! The decisions of a router. The types of its interface are in `src/api.rs`.
//! An object has a home edge cache; a least-squares line over its recent rate opens a mode in which its
//! requests spread to ready peers, until the rate falls below its normal average. All else is a
//! departure for when that path is blocked; `docs/design.md` lists them. Equal events, equal actions.

use crate::api::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use twox_hash::XxHash64;

const TAU_S: usize = 3; // The paper's tau: seconds that the forecast looks ahead. A peer fills in about that.
const WINDOW_S: usize = 2 * TAU_S; // Seconds of the forecast's window: two tau, as in the paper.
const PEERS: usize = 2; // Peers an object spreads to: the next two of its order, as the design page says.
const NORMAL_GAIN: f64 = 0.1; // Weight of a new second in an object's normal average.
/// Seconds after which an unasked object is forgotten; beyond the most, new ones aren't counted until then.
const FORGET_S: i64 = 30;
const MAX_OBJECTS: usize = 25_000;
const LEFT_MS: Millis = 60_000.0; // When a machine that has left gives up its place in the table.

/// The forecast's step, and the time between looks at slow attempts: well under a client's patience.
const SECOND_MS: Millis = 1000.0;
const TICK_MS: Millis = 50.0;
const EJECT_SHARE: f64 = 0.5; // Share of failures that ejects. Three in a row make it, not two.
const HEALTH_GAIN: f64 = 0.22;
const TURNED: u32 = 5; // Requests turned away in a row from which that counts as failing.
/// First wait before an ejected machine gets a single trial; doubled by each failed one up to the last.
const EJECT_MS: Millis = 1000.0;
const EJECT_MAX_MS: Millis = 8000.0;
const TTFB_START_MS: Millis = 100.0; // Time to first byte before any was seen: a round trip and a disk.
const RECENT_MS: Millis = 10_000.0; // How long a measurement counts.
const GAIN: f64 = 0.2; // Weight of a new measurement in smoothed times.
const PATIENCE: f64 = 1.5; // An attempt gets at least this multiple of what it is expected to take.
const SILENT_GAPS: f64 = 6.0; // Usual gaps between answers that make one silent: by chance one in 400.
const GAP_START_MS: Millis = 2000.0; // Long at first: a call-off in error costs more than a late find.
const MISS_START: [f64; 2] = [0.9, 0.2]; // Shares of first-seen and seen pieces that need a fill, at first.
const LINK_FULL: f64 = 1.5; // The location's link is full when a mean fill is slowed to this multiple.
/// Share of fills that fail above which old copies beat the wait for one, and above which fills are dear.
const DOUBT: f64 = 0.3;
const SOME_FAIL: f64 = 0.08;
const ORIGIN_SLOW: f64 = 0.6; // Part of what the aim leaves for the origin's wait, above which not all go.
const LIMPS: f64 = 4.0; // So much slower than its best fellow, a machine is passed by: more than crowding.
const CROWDED: f64 = 1.3; // Requests go past a cache that holds this multiple of what fits at full pace.
const CHANCE_ROOM: f64 = 2.0; // Square roots of its part of a link that a router may hold more by chance.
const BY_CHANCE: f64 = 2.0; // Transfers beyond its part before a home is passed by; twice where fills fail.
const BUSY: f64 = 0.95; // Share of busy cores above which transfers that come together are no chance.
const BEARS_FADE: f64 = 0.99; // What machines have borne fades by this a second: they may come back cold.
const COLD_SPEND: f64 = 0.6; // Part of the cold-start budget that is spent: chance needs the rest.
const PURGE_SLACK_MS: Millis = 2.0; // How much younger than a purge a copy must be: clocks and rounding.
const HEDGES: [f64; 2] = [0.02, 10.0]; // What a request earns, and the most saved up: more is load.
const WORK_GAIN: f64 = 0.02; // Weight of one request in its class's mean sending time.

/// The design page's object: what a cache keeps one copy of. One home for all its pieces would fill its link.
type Piece = (ObjectId, u64);
/// A machine's place in the table.
type NodeAt = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Edge,
    Parent,
    Origin,
    /// An edge cache of another location: a source at most.
    Away,
}

/// Passive health of a machine in its role: an edge as target, a parent or the origin as source.
#[derive(Debug, Default)]
struct Health {
    share: f64,
    ejected_until: Option<Millis>,
    backoff_ms: Millis,
    died: bool,
    turned: u32,
    broke: Option<Millis>, // When a broken connection last counted against it.
    last_ok: Option<Millis>,
    gap: Millis,
}

/// What the router knows of one machine.
#[derive(Debug)]
struct Node {
    entry: ListEntry,
    role: Role,
    hash: u64,
    hub_steps: usize,
    listed: bool,
    left: Option<Millis>,
    started: Option<Millis>,
    inflight: usize,
    /// While it is cold: sending time that may still be asked of it (a debt, where negative), and since when.
    budget: (Millis, Millis),
    health: Health,
    learned: Learned,
}

#[derive(Debug, Default)]
struct Learned {
    room: Option<f64>,
    report: Option<(LoadReport, Millis)>, // The latest that told anything new, and when it came.
    ttfb: Option<Seen>,
    pace: Option<Seen>,
    /// When the latest answers, or fills from it, were asked for, and their time less that of sending.
    done: [(Millis, Millis); 8],
}

type Seen = (f64, Millis);

fn recent(seen: Option<Seen>, now: Millis) -> Option<f64> {
    seen.filter(|(_, at)| now - at <= RECENT_MS).map(|(value, _)| value)
}

fn feed(seen: &mut Option<Seen>, now: Millis, sample: f64) {
    let old = recent(*seen, now).unwrap_or(sample);
    *seen = Some((old + GAIN * (sample - old), now));
}

#[derive(Debug, Default)]
struct Mode {
    ready: Vec<NodeAt>,
    trying: Vec<NodeAt>,
    turn: usize,
}

/// One object's arrivals by the second.
#[derive(Debug, Default)]
struct Counts {
    ring: [u32; WINDOW_S],
    current: u32,
    second: i64,
    age: usize,
    /// Mean rate of seconds that left the window with the mode closed: the rise that opened it stays out.
    normal: Option<f64>,
}

impl Counts {
    fn roll(&mut self, second: i64, open: bool) {
        let steps = second.saturating_sub(self.second).max(0);
        for _ in 0..steps.min(2 * WINDOW_S as i64) {
            if self.age >= WINDOW_S && !open {
                let (left, old) = (f64::from(self.ring[0]), self.normal.unwrap_or(self.ring[0].into()));
                self.normal = Some(old + NORMAL_GAIN * (left - old));
            }
            self.ring.rotate_left(1);
            self.ring[WINDOW_S - 1] = std::mem::take(&mut self.current);
            self.age += 1;
        }
        self.second = self.second.max(second);
    }

    fn mean(&self) -> f64 {
        self.ring.iter().sum::<u32>() as f64 / WINDOW_S as f64
    }

    /// Whether the least-squares line over the window is at `h` within tau, or the mean is.
    fn will_cross(&self, h: f64) -> bool {
        let (n, mean) = (WINDOW_S as f64, self.mean());
        let middle = (n - 1.0) / 2.0;
        let rise = self.ring.iter().enumerate().map(|(x, count)| (x as f64 - middle) * f64::from(*count));
        let slope = rise.sum::<f64>() / (n * (n * n - 1.0) / 12.0);
        let line = |ahead: f64| mean + slope * (middle + ahead);
        mean.max(line(0.0)).max(line(TAU_S as f64)) >= h
    }
}

#[derive(Debug)]
struct Object {
    counts: Counts,
    mode: Option<Mode>,
    /// Its sending time, as an answer showed it.
    shown: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    cache: NodeAt,
    source: NodeAt,
    sent: Millis,
    check: Millis,
    fill: f64,
    outcome: Option<Outcome>,
    blamed: Option<NodeAt>,
}

#[derive(Debug)]
struct Pending {
    asked: ClientRequest,
    seen: bool,
    arrived: Millis,
    deadline: Millis,
    attempts: Vec<Attempt>,
    hedged: bool,
    done: bool,
}

/// The state machine. See [`Router::handle`]. The default one has no settings and serves nothing.
#[derive(Debug, Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    start: Millis,
    place: Option<usize>,
    ticking: bool,
    nodes: Vec<Node>,
    known: HashMap<CacheId, NodeAt>,
    /// The listed machines of each role.
    usual: [Vec<NodeAt>; 4],
    objects: HashMap<Piece, Object>,
    hot: Vec<Piece>,
    all: Counts,
    requests: BTreeMap<RequestId, Pending>,
    ticked: i64,
    purged: HashMap<(u64, Option<ObjectId>), Millis>,
    /// Each class's mean sending time, and whether one was told or shown: until then its aim stands.
    class_work: Vec<(Millis, bool)>,
    /// Sending time served in this second by each role's machines, and what one bore at best.
    served: [Millis; 4],
    bears: [f64; 4],
    /// Fills expected to be out, and those that fit the location's link as learned.
    fills: f64,
    fills_fit: Option<f64>,
    /// Shares of first-seen and of seen pieces that needed a fill; of fills that came to nothing.
    miss_share: [f64; 2],
    unfilled: Option<Seen>,
    /// The origin's latest times to first byte, also where a parent asked it: a queue is in all of them.
    origin_waits: [Seen; 4],
    /// Hedged requests that may still be sent.
    hedges: f64,
    /// How long reports take to be renewed, as their news came: none is believed for longer.
    renewed: Option<Seen>,
    /// When the latest purge was made that is no longer told apart: nothing from before any of these will do.
    flushed: Option<Millis>,
}

impl Router {
    /// A router at its start. `seed` feeds its random choices; `now` is the caller's clock.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        Self {
            class_work: settings.classes.iter().map(|class| (class.aim_ms, false)).collect(),
            place: settings.zones.iter().position(|zone| Some(zone) == settings.zone.as_ref()),
            settings,
            seed,
            start: now,
            miss_share: MISS_START,
            ..Self::default()
        }
    }

    /// Takes other figures of the rules over: a part of the cold budget, where two processes share it.
    pub fn set_guarantees(&mut self, guarantees: Guarantees) {
        self.settings.guarantees = guarantees;
    }

    /// Listed machines that are left alone since they failed.
    pub fn ejected_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.listed && node.health.ejected_until.is_some()).count()
    }

    /// Takes one event in and appends what is to be done, in order. What is unknown is ignored; a
    /// request that nothing can serve is answered at once.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let ask = self.settings.discovery == Discovery::Ask;
        if !std::mem::replace(&mut self.ticking, true) {
            actions.push(Action::Timer { delay_ms: TICK_MS, token: Token(0) });
            actions.extend(ask.then_some(Action::Subscribe));
        }
        match event {
            Event::List { mode: ListMode::Failed, .. } => actions.extend(ask.then_some(Action::Subscribe)),
            Event::Probed { .. } => {}
            Event::List { mode, entries } => self.list(now, mode, entries),
            Event::Request(asked) => self.request(now, asked, actions),
            Event::Result(result) => self.result(now, &result, actions),
            Event::Started { id, attempt } => {
                let Some(Attempt { cache, .. }) = self.attempt(&id, attempt).copied() else { return };
                self.succeeded(now, cache, actions);
            }
            Event::Aborted { id } => self.finish(&id),
            Event::Timer(_) => {
                self.tick(now, actions);
                actions.push(Action::Timer { delay_ms: TICK_MS, token: Token(0) });
            }
            Event::Purged { object, group, age_ms } => {
                let made = now - age_ms.max(0.0);
                // An object's purge may come without its group: the object alone tells.
                let group = if object.is_some() { 0 } else { group };
                self.purged.entry((group, object)).and_modify(|at| *at = at.max(made)).or_insert(made);
                if self.purged.len() > MAX_OBJECTS {
                    let made = self.purged.drain().map(|(_, made)| made);
                    self.flushed = made.chain(self.flushed).reduce(f64::max);
                }
            }
        }
    }

    fn list(&mut self, now: Millis, mode: ListMode, entries: Vec<ListEntry>) {
        if mode != ListMode::Changes {
            self.nodes.iter_mut().for_each(|node| node.listed = false);
        }
        for entry in entries {
            let at = self.node(now, &entry);
            let node = &mut self.nodes[at];
            node.listed = entry.phase == Phase::Serving;
            node.entry.weight = entry.weight;
            if entry.online_since > node.started {
                (node.started, node.health) = (entry.online_since, Health::default());
                node.learned = Learned::default();
                self.chill(now, at);
            }
        }
        self.nodes.iter_mut().for_each(|node| node.left = node.left.or(Some(now)).filter(|_| !node.listed));
        self.usual = [Role::Edge, Role::Parent, Role::Origin, Role::Away].map(|role| {
            let fits = |at: &NodeAt| self.nodes[*at].listed && self.nodes[*at].role == role;
            (0..self.nodes.len()).filter(fits).collect()
        });
    }

    fn node(&mut self, now: Millis, entry: &ListEntry) -> NodeAt {
        if let Some(at) = self.known.get(&entry.cache) {
            return *at;
        }
        // Machines are replaced under new names for ever; the table must not grow with them.
        let free = |node: &Node| node.inflight == 0 && node.left.is_some_and(|left| now - left > LEFT_MS);
        let at = self.nodes.iter().position(free).unwrap_or(self.nodes.len());
        self.nodes.get(at).and_then(|old| self.known.remove(&old.entry.cache));
        self.known.insert(entry.cache.clone(), at);
        let settings = &self.settings;
        let role = match Some(&entry.kind) {
            kind if kind == settings.parent_kind.as_ref() => Role::Parent,
            kind if kind == settings.origin_kind.as_ref() => Role::Origin,
            _ if settings.zone.as_ref().is_none_or(|zone| *zone == entry.zone) => Role::Edge,
            _ => Role::Away,
        };
        let place = settings.zones.iter().position(|zone| *zone == entry.zone);
        let hub = |zone: Option<usize>| zone.and_then(|at| settings.zone_hubs.get(at)).copied();
        let node = Node {
            entry: entry.clone(),
            role,
            hash: XxHash64::oneshot(0, entry.cache.as_str().as_bytes()),
            hub_steps: hub(self.place).zip(hub(place)).map_or(0, |(a, b)| a.abs_diff(b)),
            listed: false,
            left: None,
            started: None,
            inflight: 0,
            budget: (0.0, 0.0),
            health: Health::default(),
            learned: Learned::default(),
        };
        drop(self.nodes.splice(at..self.nodes.len().min(at + 1), [node])); // There, or one more.
        self.unready(at);
        at
    }

    /// A machine has started: on a budget. A debt first, another for each router, has them come apart.
    fn chill(&mut self, now: Millis, at: NodeAt) {
        let most = self.most_work();
        let phase = XxHash64::oneshot(self.seed, &self.nodes[at].hash.to_le_bytes()) as f64 / u64::MAX as f64;
        self.nodes[at].budget = (-phase * most, now);
        self.unready(at);
    }

    fn unready(&mut self, at: NodeAt) {
        for mode in self.objects.values_mut().filter_map(|object| object.mode.as_mut()) {
            mode.ready.retain(|peer| *peer != at);
        }
    }

    fn listed(&self, role: Role) -> impl Iterator<Item = NodeAt> + '_ {
        self.usual[role as usize].iter().copied()
    }

    fn threshold(&self) -> Option<f64> {
        let edges = self.listed(Role::Edge).count();
        (self.all.age >= WINDOW_S && edges > 0).then(|| self.all.mean() / edges as f64).filter(|h| *h > 0.0)
    }

    /// Counts an arrival; true if it was asked for before.
    fn demand(&mut self, now: Millis, asked: &ClientRequest, actions: &mut Vec<Action>) -> bool {
        let Some(key) = piece(asked) else { return false };
        let seen = self.objects.contains_key(&key);
        if asked.repeat || (!seen && self.objects.len() >= MAX_OBJECTS) {
            return seen; // A client's own retry is not demand.
        }
        let second = ((now - self.start) / SECOND_MS) as i64;
        self.all.roll(second, true);
        self.all.current += 1;
        let h = self.threshold();
        let counts = Counts { second, ..Counts::default() };
        let object = self.objects.entry(key.clone()).or_insert(Object { counts, mode: None, shown: None });
        object.counts.roll(second, object.mode.is_some());
        object.counts.current += 1;
        if object.mode.is_none() && h.is_some_and(|h| object.counts.will_cross(h)) {
            object.mode = Some(Mode::default());
            self.hot.push(key.clone());
            let text = format!("spread opened for {} at {:.1}/s", key.0, object.counts.mean());
            actions.push(Action::Log(text));
        }
        seen
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.check(now, actions);
        let second = ((now - self.start) / SECOND_MS) as i64;
        if std::mem::replace(&mut self.ticked, second) == second {
            return;
        }
        self.all.roll(second, true);
        let h = self.threshold().unwrap_or(0.0);
        for key in std::mem::take(&mut self.hot) {
            let Some(object) = self.objects.get_mut(&key) else { continue };
            object.counts.roll(second, true);
            if object.counts.mean() < object.counts.normal.unwrap_or(h / 2.0) {
                object.mode = None;
                actions.push(Action::Log(format!("spread released for {}", key.0)));
            } else {
                self.hot.push(key);
            }
        }
        if second % FORGET_S == 0 {
            self.objects.retain(|_, o| o.mode.is_some() || second - o.counts.second <= FORGET_S);
        }
        self.purged.retain(|_, made| *made >= now - self.settings.guarantees.purge_gone_ms);
        for role in [Role::Edge, Role::Parent] {
            let machines = self.listed(role).count().max(1) as f64;
            let mean = std::mem::take(&mut self.served[role as usize]) / SECOND_MS / machines;
            let bears = &mut self.bears[role as usize];
            *bears = (*bears + GAIN * (mean - *bears)).max(*bears * BEARS_FADE);
        }
    }

    fn request(&mut self, now: Millis, asked: ClientRequest, actions: &mut Vec<Action>) {
        let id = asked.id.clone();
        if self.requests.contains_key(&id) {
            return;
        }
        let seen = self.demand(now, &asked, actions);
        self.hedges = (self.hedges + HEDGES[0]).min(HEDGES[1]);
        let told = asked.size_kb.and_then(|kb| self.at_pace(kb));
        told.into_iter().for_each(|own| self.heard(asked.class, own));
        let (deadline, attempts) = (now + asked.budget_ms.max(0.0), Vec::new());
        let pending = Pending { asked, seen, arrived: now, deadline, attempts, hedged: false, done: false };
        self.requests.insert(id.clone(), pending);
        self.dispatch(now, &id, actions);
    }

    /// Learns what a class's mean sending time is from that of one request.
    fn heard(&mut self, class: usize, own: Millis) {
        let Some((mean, heard)) = self.class_work.get_mut(class) else { return };
        *mean += if std::mem::replace(heard, true) { WORK_GAIN * (own - *mean) } else { own - *mean };
    }

    /// The longest mean sending time of a class that was heard of.
    fn most_work(&self) -> Millis {
        self.class_work.iter().filter(|(_, heard)| *heard).map(|(mean, _)| *mean).fold(0.0, f64::max)
    }

    /// Learns an untold size from an answer: by its bytes where they are counted, else by a hit's time.
    fn shown(&mut self, class: usize, key: Option<&Piece>, result: &AttemptResult) {
        let counted = result.size_kb.and_then(|kb| self.at_pace(kb));
        let hit = result.cache_status.is_none_or(|note| note == CacheStatus::Hit);
        let took = Some((result.elapsed_ms - TTFB_START_MS / 5.0).max(0.0)).filter(|_| hit);
        counted.or(took).into_iter().for_each(|own| self.heard(class, own));
        let object = key.and_then(|key| self.objects.get_mut(key));
        object.into_iter().for_each(|object| object.shown = counted.or(object.shown));
    }

    /// The time that so much takes at full pace; `None`: the pace isn't told.
    fn at_pace(&self, kb: f64) -> Option<Millis> {
        self.settings.flow_kb_per_s.map(|pace| 1000.0 * kb.max(0.0) / pace.max(1.0))
    }

    /// A request's sending time at full pace: told, shown by its piece's last answer, or the class's mean.
    fn sending_ms(&self, asked: &ClientRequest) -> Millis {
        let shown = || self.objects.get(&piece(asked)?)?.shown;
        let mean = || self.class_work.get(asked.class).map_or(0.0, |(mean, _)| *mean);
        asked.size_kb.and_then(|kb| self.at_pace(kb)).or_else(shown).unwrap_or_else(mean)
    }

    /// Makes the next attempt of a request that has none out, or answers it finally.
    fn dispatch(&mut self, now: Millis, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id).filter(|pending| !pending.done) else { return };
        let (fetch, attempt) = match self.plan(now, pending) {
            Ok(planned) => planned,
            Err(reason) => {
                if pending.attempts.iter().all(|a| a.outcome.is_some()) {
                    self.give_up(id, reason, actions); // Else one may still be answered.
                }
                return;
            }
        };
        let empty = self.warmth(now, &self.nodes[attempt.cache]).is_some();
        let Some(pending) = self.requests.get_mut(id) else { return };
        let Attempt { cache, source, fill, .. } = attempt;
        self.fills += fill;
        pending.attempts.push(attempt);
        let (work, _) = self.class_work[pending.asked.class];
        if let Some(mode) = piece(&pending.asked).and_then(|key| self.objects.get_mut(&key)?.mode.as_mut()) {
            mode.turn += 1;
            if !mode.ready.contains(&cache) {
                mode.trying.push(cache);
            }
        }
        for at in [Some(cache), Some(source).filter(|at| *at != cache)].into_iter().flatten() {
            let left = self.cold_budget(now, at).unwrap_or(0.0);
            let node = &mut self.nodes[at];
            node.inflight += 1;
            node.budget = (left - if at == cache || empty { work } else { fill * work }, now);
            let trial = now + node.health.backoff_ms; // A single one: the next must wait.
            node.health.ejected_until = node.health.ejected_until.map(|until| until.max(trial));
        }
        actions.push(Action::Fetch(fetch));
    }

    fn attempt(&mut self, id: &RequestId, number: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(id)?.attempts.get_mut(number)
    }

    fn suspect(&self, now: Millis, cache: NodeAt, source: NodeAt, since: Millis) -> Option<NodeAt> {
        [cache, source].into_iter().find(|at| {
            let Health { last_ok, gap, .. } = self.nodes[*at].health;
            last_ok.is_none_or(|ok| ok < since && now - ok > SILENT_GAPS * gap)
        })
    }

    /// Looks at attempts that have taken long. Slowness alone is crowding, which cutting a transfer short
    /// would add to; a silent machine (hung, cut off, gone without word) is left. Another may have lost it.
    fn check(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let (mut due, mut lost) = (Vec::new(), Vec::new());
        for (id, pending) in self.requests.iter().filter(|(_, pending)| !pending.done) {
            let out = |a: &Attempt| a.outcome.is_none() && a.blamed.is_none();
            let late = |a: &Attempt| out(a) && now - a.sent >= a.check;
            let suspect = |a: &Attempt| self.suspect(now, a.cache, a.source, a.sent).filter(|_| late(a));
            let silent = pending.attempts.iter().enumerate().find_map(|(n, a)| Some((n, suspect(a)?)));
            let astray = || pending.attempts.iter().any(|a| out(a) && self.lost(now, pending, *a));
            match silent {
                Some((number, at)) => due.push((id.clone(), number, at)),
                None => lost.extend(astray().then(|| id.clone())),
            }
        }
        for id in lost {
            let Some(pending) = self.requests.get_mut(&id).filter(|_| self.hedges >= 1.0) else { break };
            pending.hedged = true;
            self.hedges -= 1.0;
            self.dispatch(now, &id, actions);
        }
        for (id, attempt, at) in due {
            self.attempt(&id, attempt).into_iter().for_each(|out| out.blamed = Some(at));
            self.failed(now, at, Outcome::Timeout, actions);
            actions.push(Action::Abandon { id, attempt });
        }
    }

    /// The next attempt of a request, or why there is none.
    fn plan(&self, now: Millis, pending: &Pending) -> Result<(Fetch, Attempt), Refusal> {
        let asked = &pending.asked;
        let class = self.settings.classes.get(asked.class).ok_or(Refusal::NoEndpoint)?;
        let (left, tries) = (pending.deadline - now, pending.attempts.len());
        let own = self.sending_ms(asked);
        let aim = (class.aim_ms + class.aim_stretch * own).min(class.deadline_ms);
        let aim_left = pending.arrived + aim - now;
        let bypass = self.settings.bypass_allowed; // Without a usable cache here the parent pick serves then.
        let home = self.pick_cache(now, pending).filter(|at| !bypass || self.usable(now, *at));
        let lost = bypass && home.is_none();
        let picked = self.pick_source(now, pending, lost);
        let cache = if lost { picked } else { home }.ok_or(Refusal::NoEndpoint)?;
        // A full link slows every fill, and the repeats keep it full: only what the caches hold is served.
        let missed = pending.attempts.iter().any(|a| a.outcome == Some(Outcome::Miss));
        let usual = if missed { 1.0 } else { self.miss_share[usize::from(pending.seen)] };
        let fill = if class.uncached || lost { 0.0 } else { usual };
        // While fills come to nothing only some are tried; without news the doubt halves every second.
        let failing = self.unfilled.filter(|(share, _)| *share > DOUBT);
        let doomed = failing.map_or(0.0, |(share, at)| share * 0.5_f64.powf((now - at) / SECOND_MS));
        // What a slow origin would begin too late is only taken where it is held: its queue stays short.
        let waits = self.origin_waits.iter().filter(|(_, at)| now - at <= RECENT_MS);
        let mut waits: Vec<Millis> = waits.map(|(wait, _)| *wait).collect();
        waits.sort_by(f64::total_cmp);
        let at = if self.settings.detail == Detail::All { 0 } else { 2 }; // Untold: many are a parent's own.
        let queue = waits.get(at).copied().unwrap_or(0.0) / (aim - own).max(1.0);
        let doomed = doomed.max((queue - ORIGIN_SLOW) / (1.0 - ORIGIN_SLOW));
        let copy = pending.attempts.iter().any(|a| a.outcome.is_none()); // The origin may be what is slow.
        let cached_only = fill > 0.0 && (copy || self.chance(&asked.id) < doomed);
        let look = fill > 0.0 && self.link_full(own);
        let picked = if lost { self.listed(Role::Origin).next() } else { picked }; // To fetch from.
        let (fill, source) = if look { (0.0, cache) } else { (fill, picked.unwrap_or(cache)) };
        let ttfb = self.nodes[source].learned.ttfb.map_or(TTFB_START_MS, |(ms, _)| ms);
        let (expected, crowd) = (ttfb + own, self.crowd(now, cache));
        let most = asked.max_attempts(self.settings.limits.max_attempts);
        // Never answered in time, whoever serves it: better no link time spent on it.
        let unknown = !pending.seen && pending.attempts.iter().filter(|a| erred(a)).count() > 1;
        let advised = tries == 0 && asked.refuse_retry_after_ms().is_some();
        // Overload: what can't be done within its aim is worth little and slows all others.
        let too_late = own * crowd > aim_left.max(class.aim_ms) && crowd > CROWDED;
        let nowhere = (look || cached_only) && missed;
        let within = self.may_send_again(now, pending, cache).ok_or(Refusal::RetryNotAllowed)?;
        let reasons = [
            (advised, Refusal::RefusedByPlugin),
            (tries >= most, Refusal::AttemptsExhausted),
            (unknown, Refusal::UnknownObject),
            (left <= own, Refusal::DeadlineUnreachable),
            (too_late, Refusal::Overload),
            (nowhere, Refusal::NotCached),
        ];
        if let Some((_, reason)) = reasons.into_iter().find(|(holds, _)| *holds) {
            return Err(reason);
        }
        let patience = (aim_left - expected).max(PATIENCE * (ttfb + own * crowd));
        let again = tries + 1 < most && left - patience > expected;
        let called_off = self.settings.limits.cancelling; // Else a time-out must do for the check.
        let timeout_ms = if again && !called_off { patience } else { left };
        let rank = if pending.seen { Retention::Middle } else { Retention::Low };
        let rank = if self.mode(asked).is_some() { Retention::High } else { rank };
        let keep = if class.uncached || asked.object.is_none() { Retention::NoStore } else { rank };
        let fetch = Fetch {
            id: asked.id.clone(),
            cache: self.nodes[cache].entry.cache.clone(),
            join: self.settings.joins && pending.attempts.iter().all(|a| a.cache != cache),
            background_refresh: class.fresh_ms.is_some(),
            cached_only,
            timeout_ms,
            source: self.nodes[source].entry.cache.clone(),
            max_age_ms: asked.max_age_ms(self.max_age(now, pending, class)),
            retention: asked.retention(keep),
            send_within_ms: Some(within).filter(|ms| ms.is_finite()),
        };
        let check = if again && called_off { patience } else { f64::INFINITY };
        Ok((fetch, Attempt { cache, source, sent: now, check, fill, outcome: None, blamed: None }))
    }

    /// The oldest copy that will do: younger than any purge told of; past its fresh time if in doubt.
    fn max_age(&self, now: Millis, pending: &Pending, class: &ClassSettings) -> Option<Millis> {
        let asked = &pending.asked;
        let stale = !pending.attempts.is_empty() || recent(self.unfilled, now) > Some(DOUBT);
        let purged = |group, object| self.purged.get(&(group, object)).copied().unwrap_or(f64::MIN);
        let own = asked.object.clone().map_or(f64::MIN, |object| purged(0, Some(object)));
        let purge = purged(asked.group, None).max(own).max(self.flushed.unwrap_or(f64::MIN));
        let bound = (purge > f64::MIN).then(|| (now - purge - PURGE_SLACK_MS).max(1.0));
        let usual = class.fresh_ms.map(|fresh| if stale { fresh + class.stale_ms } else { fresh });
        bound.into_iter().chain(usual).reduce(f64::min)
    }

    /// Whether one more fill of this size finds the location's link full.
    fn link_full(&self, own: Millis) -> bool {
        let link = self.place.and_then(|at| self.settings.zone_links_kb_per_s.get(at)).copied();
        let pace = self.settings.flow_kb_per_s.unwrap_or(0.0) * self.sharers(Role::Edge);
        let told = link.map(|kb| kb / pace).filter(|fits| *fits > 0.0 && fits.is_finite());
        let give = (self.most_work() / own.max(1.0)).sqrt().clamp(0.5, 2.0);
        told.or(self.fills_fit).is_some_and(|fits| {
            self.fills + 1.0 > LINK_FULL * give * fits.max(0.1) + CHANCE_ROOM * fits.max(1.0).sqrt()
        })
    }

    /// Routers that send to machines of a role.
    fn sharers(&self, role: Role) -> f64 {
        let zone = self.place.filter(|_| role == Role::Edge);
        let here = zone.and_then(|at| self.settings.routers_by_zone.get(at)).copied();
        f64::from(here.unwrap_or(self.settings.routers).max(1))
    }

    /// This router's part of a machine's link: the transfers at full pace that it carries, where known.
    fn part(&self, now: Millis, at: NodeAt) -> Option<f64> {
        let node = &self.nodes[at];
        let link = self.told(node).or(node.learned.room)?;
        Some((link * self.warmth(now, node).unwrap_or(1.0)).max(0.1))
    }

    fn told(&self, node: &Node) -> Option<f64> {
        (self.settings.weights != Weights::Unknown).then(|| node.entry.weight / self.sharers(node.role))
    }

    /// How many times slower than at full pace a cache would send with one more.
    fn crowd(&self, now: Millis, at: NodeAt) -> f64 {
        let held = (self.nodes[at].inflight + 1) as f64;
        let fresh = recent(self.renewed, now).unwrap_or(0.0);
        let busy = |(said, came): (LoadReport, Millis)| now - came <= fresh && said.util > Some(BUSY);
        let busy = self.nodes[at].learned.report.is_some_and(busy);
        let room = |part: f64| if busy { 0.0 } else { CHANCE_ROOM * part.max(1.0).sqrt() };
        self.part(now, at).map_or(1.0, |part| ((held - room(part)) / part).max(1.0))
    }

    /// Whether requests go past a cache: rarely, as the next in order fills a copy of its own.
    fn passed_by(&self, now: Millis, at: NodeAt) -> bool {
        let held = (self.nodes[at].inflight + 1) as f64;
        let room = if recent(self.unfilled, now) > Some(SOME_FAIL) { 2.0 * BY_CHANCE } else { BY_CHANCE };
        self.part(now, at).is_some_and(|part| held > CROWDED * (part + room))
    }

    /// The share of its capacity that a machine has at least; `None`: it is warm.
    fn warmth(&self, now: Millis, node: &Node) -> Option<f64> {
        let rules = &self.settings.guarantees;
        let (from, span) = match node.role {
            Role::Edge | Role::Away => (rules.cold_start_share, rules.cold_start_ms),
            Role::Parent => (rules.parent_cold_start_share, rules.parent_cold_start_ms),
            Role::Origin => return None,
        };
        let age = (now - node.started?).max(0.0);
        (age < span).then(|| from + (1.0 - from) * age / span)
    }

    /// What may still be asked of a cold machine; `None`: it is warm. This router's part comes in with time,
    /// isn't saved up, and one request may overdraw it. For an untold size stands what its fellows bore.
    fn cold_budget(&self, now: Millis, at: NodeAt) -> Option<Millis> {
        let (node, rules) = (&self.nodes[at], &self.settings.guarantees);
        let share = self.warmth(now, node)?;
        let most =
            if node.role == Role::Parent { rules.parent_overload_multiple } else { rules.overload_multiple };
        let capacity = self.told(node).unwrap_or(self.bears[node.role as usize]);
        Some((node.budget.0 + COLD_SPEND * most * share * capacity * (now - node.budget.1)).min(0.0))
    }

    fn cold_room(&self, now: Millis, at: NodeAt) -> bool {
        self.cold_budget(now, at).is_none_or(|left| left >= 0.0)
    }

    fn mode(&self, asked: &ClientRequest) -> Option<&Mode> {
        self.objects.get(&piece(asked)?)?.mode.as_ref()
    }

    /// Machines in the object's shared hash order.
    fn ordered(&self, asked: &ClientRequest, mut among: Vec<NodeAt>) -> Vec<NodeAt> {
        let name = asked.object.as_ref().map_or(asked.id.as_str(), ObjectId::as_str);
        let key = XxHash64::oneshot(asked.piece, name.as_bytes()).to_le_bytes();
        among.sort_by_cached_key(|at| Reverse(XxHash64::oneshot(self.nodes[*at].hash, &key)));
        among
    }

    fn usable(&self, now: Millis, at: NodeAt) -> bool {
        self.nodes[at].health.ejected_until.is_none_or(|until| now >= until) && !self.limps(now, at)
    }

    /// Whether it sends far slower than another of its role (full pace, if unheard): its link fails.
    fn limps(&self, now: Millis, at: NodeAt) -> bool {
        let pace = |at: NodeAt| recent(self.nodes[at].learned.pace, now).map_or(1.0, |pace| pace.max(1.0));
        let best = self.listed(self.nodes[at].role).filter(|other| *other != at).map(pace).reduce(f64::min);
        best.is_some_and(|best| pace(at) > LIMPS * best)
    }

    /// The cache for the next attempt: the home, or in the mode the peer whose turn it is; past it if needed.
    fn pick_cache(&self, now: Millis, pending: &Pending) -> Option<NodeAt> {
        let asked = &pending.asked;
        let listed: Vec<NodeAt> = self.listed(Role::Edge).collect();
        let usable: Vec<NodeAt> = listed.iter().copied().filter(|at| self.usable(now, *at)).collect();
        let mut order = self.ordered(asked, if usable.is_empty() { listed } else { usable });
        order.sort_by_key(|at| Reverse(asked.preference(&self.nodes[*at].entry.cache)));
        if let Some(mode) = self.mode(asked) {
            let spread = &order[..order.len().min(1 + PEERS)];
            let trial = |at: &&NodeAt| !mode.ready.contains(at) && !mode.trying.contains(at);
            let mut ready = spread.to_vec();
            ready.retain(|at| Some(at) == spread.first() || mode.ready.contains(at));
            let turn = ready.get(mode.turn % ready.len().max(1));
            let picked = spread.iter().skip(1).find(trial).or(turn).copied();
            order.sort_by_key(|at| Some(*at) != picked);
        }
        let slow = |a: &Attempt, at: NodeAt| a.outcome.is_none() && a.cache == at;
        let failed = |at: &NodeAt| pending.attempts.iter().any(|a| a.blamed == Some(*at) || slow(a, *at));
        order.sort_by_key(failed);
        let untried = order.iter().position(failed).filter(|at| *at > 0);
        order.truncate(untried.unwrap_or(order.len()));
        order.retain(|at| self.cold_room(now, *at));
        let least = |a: &&NodeAt, b: &&NodeAt| self.crowd(now, **a).total_cmp(&self.crowd(now, **b));
        order.iter().find(|at| !self.passed_by(now, **at)).or(order.iter().min_by(least)).copied()
    }

    /// The parent pick: of the object's first two hashed parents the one sooner to a first byte, else the
    /// nearer; none usable: once, its home in another location (a source only), then the origin.
    fn pick_source(&self, now: Millis, pending: &Pending, lost: bool) -> Option<NodeAt> {
        let asked = &pending.asked;
        let failed = |at: NodeAt| pending.attempts.iter().any(|a| a.blamed == Some(at));
        let origin = self.listed(Role::Origin).min_by_key(|at| (failed(*at), !self.usable(now, *at)));
        let write = self.settings.classes.get(asked.class).is_some_and(|class| class.uncached);
        let mut parents = self.ordered(asked, self.listed(Role::Parent).collect());
        parents.truncate(2);
        parents.retain(|at| self.usable(now, *at) && !failed(*at) && self.cold_room(now, *at));
        let recent = |at: NodeAt| recent(self.nodes[at].learned.ttfb, now);
        let heard: Vec<f64> = parents.iter().filter_map(|at| recent(*at)).collect();
        let average = heard.iter().sum::<f64>() / heard.len().max(1) as f64;
        let pick = parents.into_iter().min_by(|a, b| {
            let ttfb = |at: NodeAt| recent(at).unwrap_or(average);
            ttfb(*a).total_cmp(&ttfb(*b)).then(self.nodes[*a].hub_steps.cmp(&self.nodes[*b].hub_steps))
        });
        let pick = if write { origin.or(pick) } else { pick };
        let tried = |a: &Attempt| self.nodes[a.source].role == Role::Away; // It gives only what it holds.
        let may = !lost && self.settings.siblings == Siblings::Any && !pending.attempts.iter().any(tried);
        let fits = |at: &NodeAt| may && self.usable(now, *at) && self.warmth(now, &self.nodes[*at]).is_none();
        let abroad = || self.ordered(asked, self.listed(Role::Away).filter(fits).collect()).first().copied();
        pick.or_else(abroad).or(origin)
    }

    /// Whether a hedge may go out: its cache did later ones, and its source's latest didn't take so long.
    fn lost(&self, now: Millis, pending: &Pending, Attempt { cache, source, sent, .. }: Attempt) -> bool {
        let spare = now - sent - PATIENCE * self.sending_ms(&pending.asked);
        let class = self.settings.classes.get(pending.asked.class).map(|class| class.repeat);
        let Learned { ttfb, done, .. } = &self.nodes[source].learned;
        let quick = recent(*ttfb, now).is_none_or(|ms| ms < TTFB_START_MS) && self.crowd(now, cache) <= 1.0;
        let later = |(at, took): &&(Millis, Millis)| *at > sent && *took < spare;
        let may = self.settings.limits.hedging && class == Some(Repeat::Retryable) && !pending.hedged;
        let usual = done.iter().all(|(_, took)| *took < spare);
        may && quick && usual && self.nodes[cache].learned.done.iter().filter(later).count() > 2
    }

    /// The one place that decides whether a request may go out again, to this cache, and within which time.
    fn may_send_again(&self, now: Millis, pending: &Pending, cache: NodeAt) -> Option<Millis> {
        let out = pending.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        let class = self.settings.classes.get(pending.asked.class)?;
        let left = pending.attempts.iter().filter(|a| may_have_run(a)).map(|ran| match class.repeat {
            Repeat::Retryable => f64::INFINITY,
            Repeat::Fragile => 0.0,
            Repeat::Dedup { scope, window_ms } => {
                let (a, b) = (&self.nodes[ran.cache].entry, &self.nodes[cache].entry);
                let same = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => a.zone == b.zone,
                    DedupScope::Cell => a.cell == b.cell,
                };
                f64::from(u8::from(same)) * (ran.sent + window_ms - now)
            }
        });
        let left = left.fold(f64::INFINITY, f64::min); // Never two at once, but a hedge.
        Some(left).filter(|left| *left > 0.0 && out <= usize::from(pending.hedged))
    }

    /// Answers a request that nothing can help any more, at once: refused where a retry is harmless.
    fn give_up(&mut self, id: &RequestId, reason: Refusal, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id) else { return };
        let repeat = self.settings.classes.get(pending.asked.class).map(|class| class.repeat);
        let free = matches!(repeat, Some(Repeat::Retryable | Repeat::Dedup { scope: DedupScope::All, .. }));
        let harmless = free || !pending.attempts.iter().any(may_have_run);
        if !pending.seen && pending.attempts.iter().any(erred) {
            // It may be something that no machine knows: no demand, and nothing to be remembered.
            piece(&pending.asked).and_then(|key| self.objects.remove(&key));
            self.all.current = self.all.current.saturating_sub(1);
        }
        let (id, advised) = (id.clone(), pending.asked.refuse_retry_after_ms());
        self.finish(&id);
        let limits = &self.settings.limits;
        let wait = advised.unwrap_or(limits.max_retry_after_ms * (1.0 + self.chance(&id)) / 2.0); // Spread.
        let retry_after_ms = Some(wait).filter(|ms| limits.retry_after && *ms > 0.0);
        actions.push(if harmless {
            Action::Refuse { id, retry_after_ms, reason }
        } else {
            Action::Fail { id, reason }
        });
    }

    fn chance(&self, id: &RequestId) -> f64 {
        XxHash64::oneshot(self.seed, id.as_str().as_bytes()) as f64 / u64::MAX as f64
    }

    fn finish(&mut self, id: &RequestId) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        pending.done = true;
        drop(pending.attempts.iter().all(|a| a.outcome.is_some()).then(|| self.requests.remove(id)));
    }

    fn result(&mut self, now: Millis, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&result.id) else { return };
        let open = pending.attempts.get_mut(result.attempt).filter(|attempt| attempt.outcome.is_none());
        let Some(attempt) = open else { return };
        attempt.outcome = Some(result.outcome);
        let Attempt { cache, source, sent, fill, .. } = *attempt;
        let (seen, key, class) = (pending.seen, piece(&pending.asked), pending.asked.class);
        let errors = |a: &&Attempt| a.cache == cache && a.outcome == Some(Outcome::Error);
        let again = pending.attempts.iter().filter(errors).count() > 1;
        let wrong: Vec<NodeAt> = pending.attempts.iter().filter(|a| erred(a)).map(|a| a.cache).collect();
        if result.outcome == Outcome::Ok && pending.asked.size_kb.is_none() {
            self.shown(class, key.as_ref(), result);
        }
        let own = self.requests.get(&result.id).map_or(0.0, |pending| self.sending_ms(&pending.asked));
        let telling = own >= TTFB_START_MS / 2.0; // Of tiny ones, round trips would hide the pace.
        self.fills = (self.fills - fill).max(0.0);
        for at in [Some(cache), Some(source).filter(|at| *at != cache)].into_iter().flatten() {
            self.nodes[at].inflight = self.nodes[at].inflight.saturating_sub(1);
        }
        // A report that says the same again is no news: a stuck one grows old.
        let latest = &mut self.nodes[cache].learned.report;
        let told = result.report != LoadReport::default();
        let news = told && latest.is_none_or(|(old, _)| old != result.report);
        if let Some((_, came)) = news.then(|| latest.replace((result.report, now))).flatten() {
            feed(&mut self.renewed, now, (now - came).min(RECENT_MS));
        }
        let guessed = self.settings.detail == Detail::None && !seen && result.outcome == Outcome::Ok;
        let filled = guessed
            || matches!(result.cache_status, Some(CacheStatus::Filled | CacheStatus::FilledFromOrigin));
        let sourced = result.cache_status.is_some_and(blames_source);
        let (untold, full) = (self.settings.detail != Detail::All, result.outcome == Outcome::Full);
        // A cache that turns all away, as one that drains does, tells nothing of fills.
        let unserved = matches!(result.outcome, Outcome::Timeout | Outcome::Error)
            || (full && (untold || result.cache_status.is_some()));
        let unfilled = unserved && (sourced || result.outcome != Outcome::Error);
        if cache != source && (filled || unfilled) {
            feed(&mut self.unfilled, now, f64::from(u8::from(!filled)));
        }
        // Untold failures are the source's: refusals while fills come to nothing, and a cache's first error.
        let failing = full && recent(self.unfilled, now) > Some(DOUBT);
        let failing = failing || result.outcome == Outcome::Error && !again;
        let sourced = sourced || self.settings.detail == Detail::Hit && cache != source && failing;
        let told = self.settings.detail != Detail::None || cache == source;
        if told && matches!(result.outcome, Outcome::Ok | Outcome::Miss) {
            let share = &mut self.miss_share[usize::from(seen)];
            let missed = filled || result.outcome == Outcome::Miss;
            *share += GAIN / 4.0 * (f64::from(u8::from(missed)) - *share);
        }
        if matches!(result.outcome, Outcome::Miss | Outcome::Full) {
            self.nodes[cache].health.last_ok = Some(now); // It answers at once.
        }
        let blame = match result.outcome {
            Outcome::Ok => {
                for at in [Some(cache), Some(source).filter(|_| filled)].into_iter().flatten() {
                    self.nodes[at].learned.done.rotate_right(1);
                    self.nodes[at].learned.done[0] = (sent, result.elapsed_ms - own);
                }
                self.served[self.nodes[cache].role as usize] += own;
                self.succeeded(now, cache, actions);
                if result.cache_status == Some(CacheStatus::Hit) {
                    let usual = own + TTFB_START_MS / 5.0;
                    feed(&mut self.nodes[cache].learned.pace, now, result.elapsed_ms / usual);
                }
                if filled {
                    let sending = result.elapsed_ms - result.source_ttfb_ms.unwrap_or(0.0);
                    self.served[self.nodes[source].role as usize] += own;
                    self.succeeded(now, source, actions);
                    let ttfb = result.source_ttfb_ms.unwrap_or((result.elapsed_ms - own).max(0.0));
                    feed(&mut self.nodes[source].learned.ttfb, now, ttfb);
                    if result.cache_status == Some(CacheStatus::FilledFromOrigin)
                        || untold && result.cache_status.is_some()
                    {
                        self.origin_waits.rotate_right(1);
                        self.origin_waits[0] = (ttfb, now);
                    }
                    if telling && fill > 0.0 && result.source_ttfb_ms.is_some() {
                        learn(&mut self.fills_fit, own, sending, self.fills + 1.0);
                        feed(&mut self.nodes[source].learned.pace, now, sending / own);
                    }
                } else if telling {
                    let node = &mut self.nodes[cache];
                    learn(&mut node.learned.room, own, result.elapsed_ms, node.inflight as f64 + 1.0);
                }
                None
            }
            Outcome::Full | Outcome::Error if sourced => Some(source),
            Outcome::Full => Some(cache),
            Outcome::Timeout => self.suspect(now, cache, source, sent),
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => Some(cache),
            Outcome::Miss | Outcome::Cancelled | Outcome::Moot => None,
        };
        if let Some(at) = blame {
            self.attempt(&result.id, result.attempt).into_iter().for_each(|out| out.blamed = Some(at));
            // An error may be the request's own fault, until another serves it; one break counts once.
            let told = result.outcome == Outcome::Reset && self.nodes[at].health.broke > Some(sent);
            if !(told || result.outcome == Outcome::Error && at == cache) {
                let lost = result.cache_status == Some(CacheStatus::SourceUnavailable);
                self.failed(now, at, if lost { Outcome::Error } else { result.outcome }, actions);
            }
        }
        if result.outcome == Outcome::Ok {
            wrong.into_iter().for_each(|at| self.failed(now, at, Outcome::Error, actions));
        }
        self.mark_peer(key.as_ref(), cache, result.outcome, filled && seen);
        if result.last || self.requests.get(&result.id).is_some_and(|pending| pending.done) {
            self.finish(&result.id);
        }
        self.dispatch(now, &result.id, actions); // Unless it is done.
    }

    /// A served answer marks a peer ready; a miss, also one that was filled, takes the mark away.
    fn mark_peer(&mut self, key: Option<&Piece>, cache: NodeAt, outcome: Outcome, lapsed: bool) {
        let Some(mode) = key.and_then(|key| self.objects.get_mut(key)?.mode.as_mut()) else { return };
        let tried = mode.trying.contains(&cache);
        mode.trying.retain(|at| *at != cache);
        if outcome == Outcome::Ok && tried && !mode.ready.contains(&cache) {
            mode.ready.push(cache);
        } else if outcome != Outcome::Ok || lapsed {
            mode.ready.retain(|at| *at != cache);
        }
    }

    fn succeeded(&mut self, now: Millis, at: NodeAt, actions: &mut Vec<Action>) {
        let health = &mut self.nodes[at].health;
        let last = health.last_ok.replace(now);
        health.gap = last.map_or(GAP_START_MS, |last| health.gap + GAIN * (now - last - health.gap));
        health.share -= HEALTH_GAIN * health.share;
        health.turned = 0;
        if health.ejected_until.is_some() {
            let Health { last_ok, gap, broke, died, .. } = *health;
            *health = Health { last_ok, gap, broke, ..Health::default() };
            if died {
                self.nodes[at].started = Some(now); // Back without word of the list: taken as cold.
                self.chill(now, at);
            }
            actions.push(Action::Log(format!("{} is back", self.nodes[at].entry.cache)));
        }
    }

    /// Notes a failure of a machine. A full one, or one whose source is, isn't ill.
    fn failed(&mut self, now: Millis, at: NodeAt, how: Outcome, actions: &mut Vec<Action>) {
        let Node { health, role, .. } = &mut self.nodes[at];
        let weight = match how {
            // But a cache that only turns away takes nothing: it drains, and the list is late.
            Outcome::Full if *role != Role::Edge || health.turned < TURNED => {
                health.turned += 1;
                return;
            }
            Outcome::ConnectFailed => 2.0 * HEALTH_GAIN, // Nobody there says more than one that stumbled.
            _ => HEALTH_GAIN,
        };
        health.broke = if how == Outcome::Reset { Some(now) } else { health.broke };
        health.share += weight * (1.0 - health.share);
        health.died |= how == Outcome::ConnectFailed; // A reset alone may be one lost answer.
        let first = health.ejected_until.is_none();
        if health.share < EJECT_SHARE {
            return;
        }
        health.backoff_ms = (2.0 * health.backoff_ms).clamp(EJECT_MS, EJECT_MAX_MS);
        health.ejected_until = Some(now + health.backoff_ms);
        if first {
            actions.push(Action::Log(format!("{} ejected", self.nodes[at].entry.cache)));
        }
    }
}

/// Learns how many transfers fit: those held, over how much an answer was slowed.
fn learn(fit: &mut Option<f64>, own: Millis, waited: Millis, held: f64) {
    let slowed = (waited - TTFB_START_MS / 5.0) / own;
    let sample = held / slowed.max(1.0);
    if slowed > CROWDED || fit.is_some_and(|old| sample > old) {
        let old = fit.unwrap_or(sample);
        *fit = Some(old + GAIN / 2.0 * (sample - old));
    }
}

fn piece(asked: &ClientRequest) -> Option<Piece> {
    asked.object.clone().map(|object| (object, asked.piece))
}

fn may_have_run(attempt: &Attempt) -> bool {
    !attempt.outcome.is_some_and(Outcome::never_ran)
}

/// Whether a machine failed it by itself. Where each does, the fault may be the request's.
fn erred(attempt: &Attempt) -> bool {
    attempt.outcome == Some(Outcome::Error) && attempt.blamed == Some(attempt.cache)
}

fn blames_source(note: CacheStatus) -> bool {
    matches!(
        note,
        CacheStatus::SourceRefused
            | CacheStatus::SourceUnavailable
            | CacheStatus::SourceMiss
            | CacheStatus::OriginFailed
    )
}
