//! The decisions of a router. The types of its interface are in `src/api.rs`.
//!
//! Each piece of an object has a home among the edge caches. A least-squares line over the recent request
//! rate of a piece opens a spread mode, in which its requests go to ready peers as well, until the rate falls
//! below its normal average. All other rules handle cases in which that route is blocked; `docs/design.md`
//! lists them. Equal events give equal actions.

use crate::api::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use twox_hash::XxHash64;

const FORECAST_S: usize = 3; // How far the forecast looks ahead: the paper's tau. A peer fills in about that.
const WINDOW_S: usize = 2 * FORECAST_S; // The window of the forecast: two tau, as in the paper.
const SPREAD_PEERS: usize = 2; // Peers that a piece spreads to: the next two in its hash order.
const NORMAL_RATE_GAIN: f64 = 0.1; // Weight of a new second in a piece's normal rate.
/// How long a piece without requests is remembered. While the table is full, new pieces are not counted.
const OBJECT_IDLE_S: i64 = 30;
const MAX_OBJECTS: usize = 25_000;
const NODE_RETENTION_MS: Millis = 60_000.0; // When a removed machine's place in the table may be reused.

/// The step of the forecast.
const SECOND_MS: Millis = 1000.0;
const TICK_MS: Millis = 50.0; // Interval of the checks for slow attempts: well under a client's timeout.
const EJECTION_SHARE: f64 = 0.5; // Failure share that ejects: reached by three failures in a row, not by two.
const HEALTH_GAIN: f64 = 0.22; // Weight of a new outcome in the failure share.
const MAX_REJECTIONS: u32 = 5; // Rejections in a row from which further ones count as failures.
/// The first time for which a machine is ejected before it gets a single trial. Each failed trial doubles it.
const EJECTION_MS: Millis = 1000.0;
const MAX_EJECTION_MS: Millis = 8000.0;
const INITIAL_TTFB_MS: Millis = 100.0; // Time to first byte before any is measured: a round trip and a disk.
const MEASUREMENT_TTL_MS: Millis = 10_000.0; // How long a measurement counts.
const SMOOTHING_GAIN: f64 = 0.2; // Weight of a new measurement in smoothed values.
const TIMEOUT_MULTIPLE: f64 = 1.5; // An attempt gets at least this multiple of its expected time.
const SILENT_GAPS: f64 = 6.0; // Usual gaps between answers that make a silence: by chance 1 in 400.
const INITIAL_GAP_MS: Millis = 2000.0; // Long, as a needless cancellation costs more than late detection.
const INITIAL_MISS_SHARES: [f64; 2] = [0.9, 0.2]; // Fills needed, of first-seen and of seen pieces.
const FULL_LINK_SLOWDOWN: f64 = 1.5; // A link is full when the mean fill takes this multiple of its time.
/// The share of failed fills above which a stale copy is better than the wait for a fill.
const FILLS_FAILING_SHARE: f64 = 0.3;
const FILLS_IMPAIRED_SHARE: f64 = 0.08; // Share of failed fills above which needless fills are avoided.
/// The share of the time that the latency target leaves for the origin, above which some fills are withheld.
const ORIGIN_SLOW_SHARE: f64 = 0.6;
const SLOW_LINK_MULTIPLE: f64 = 4.0; // Slower than the best of its role by this, a machine is not just busy.
const CONGESTED_MULTIPLE: f64 = 1.3; // Transfers over those that fit at full rate that mean congestion.
/// The margin for transfers that coincide by chance, in square roots of the router's share of a link.
const CHANCE_MARGIN_ROOTS: f64 = 2.0;
/// Transfers beyond the router's share of its link before a home is passed over; doubled while fills fail.
const HOME_MARGIN: f64 = 2.0;
const BUSY_CPU_SHARE: f64 = 0.95; // CPU utilisation above which coinciding transfers are not by chance.
const PEAK_LOAD_DECAY: f64 = 0.99; // Factor per second for remembered loads: machines may come back cold.
const COLD_BUDGET_SHARE: f64 = 0.6; // Share of the cold-start budget in use: chance peaks need the rest.
const PURGE_SLACK_MS: Millis = 2.0; // How much younger than a purge a copy must be: clocks and rounding.
const HEDGE_BUDGET: [f64; 2] = [0.02, 10.0]; // Hedges per request, and the most saved up: more adds load.
const TRANSFER_GAIN: f64 = 0.02; // Weight of one request in its class's mean transfer time.

/// What a cache stores one copy of: a piece of an object. With one home for all its pieces an object could
/// fill that cache's link.
type Piece = (ObjectId, u64);
/// A machine's index in the table.
type NodeIndex = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Edge,
    Parent,
    Origin,
    /// An edge cache of another location: it can only be a source.
    RemoteEdge,
}

/// The passive health of a machine in its role: an edge cache as target, a parent or the origin as source.
#[derive(Debug, Default)]
struct Health {
    failure_share: f64,
    ejected_until: Option<Millis>,
    backoff_ms: Millis,
    unreachable: bool,
    rejections: u32,
    last_reset: Option<Millis>, // When a broken connection last counted as a failure.
    last_answer: Option<Millis>,
    answer_gap_ms: Millis,
}

/// What the router knows of one machine.
#[derive(Debug)]
struct Node {
    entry: ListEntry,
    role: Role,
    hash: u64,
    hub_distance: usize,
    listed: bool,
    removed_at: Option<Millis>,
    started_at: Option<Millis>,
    inflight: usize,
    /// While the machine is cold: the transfer time that it may still be sent (negative: a debt), and as of
    /// when.
    cold_budget: (Millis, Millis),
    health: Health,
    measured: Measured,
}

#[derive(Debug, Default)]
struct Measured {
    link_capacity: Option<f64>,
    report: Option<(LoadReport, Millis)>, // The latest with changed values, and when it arrived.
    ttfb: Option<Measurement>,
    slowdown: Option<Measurement>,
    /// The latest answers, and fills from it: when the attempt was sent, and its time without the transfer.
    latest_answers: [(Millis, Millis); 8],
}

/// A smoothed value, and when it was last updated.
type Measurement = (f64, Millis);

/// Returns the value of a measurement unless it has expired.
fn recent(measurement: Option<Measurement>, now: Millis) -> Option<f64> {
    measurement.filter(|(_, at)| now - at <= MEASUREMENT_TTL_MS).map(|(value, _)| value)
}

/// Adds a sample to a measurement, or starts it anew if it has expired.
fn record(measurement: &mut Option<Measurement>, now: Millis, sample: f64) {
    let old = recent(*measurement, now).unwrap_or(sample);
    *measurement = Some((old + SMOOTHING_GAIN * (sample - old), now));
}

/// The state of a piece whose requests are spread.
#[derive(Debug, Default)]
struct SpreadMode {
    ready: Vec<NodeIndex>,
    on_trial: Vec<NodeIndex>,
    turn: usize,
}

/// The arrivals of requests for one piece, counted by the second.
#[derive(Debug, Default)]
struct ArrivalCounts {
    window: [u32; WINDOW_S],
    current: u32,
    second: i64,
    age: usize,
    /// The mean rate of the seconds that left the window while no spread mode was open, so that the rise that
    /// opens the mode is not part of it.
    normal_rate: Option<f64>,
}

impl ArrivalCounts {
    /// Moves the window on to a second.
    fn advance(&mut self, second: i64, spread: bool) {
        let steps = second.saturating_sub(self.second).max(0);
        for _ in 0..steps.min(2 * WINDOW_S as i64) {
            if self.age >= WINDOW_S && !spread {
                let (leaving, old) =
                    (f64::from(self.window[0]), self.normal_rate.unwrap_or(self.window[0].into()));
                self.normal_rate = Some(old + NORMAL_RATE_GAIN * (leaving - old));
            }
            self.window.rotate_left(1);
            self.window[WINDOW_S - 1] = std::mem::take(&mut self.current);
            self.age += 1;
        }
        self.second = self.second.max(second);
    }

    fn mean_rate(&self) -> f64 {
        self.window.iter().sum::<u32>() as f64 / WINDOW_S as f64
    }

    /// Returns whether the mean rate, or the least-squares line over the window by the end of the forecast,
    /// reaches a threshold.
    fn will_reach(&self, threshold: f64) -> bool {
        let (n, mean) = (WINDOW_S as f64, self.mean_rate());
        let middle = (n - 1.0) / 2.0;
        let rise = self.window.iter().enumerate().map(|(x, count)| (x as f64 - middle) * f64::from(*count));
        let slope = rise.sum::<f64>() / (n * (n * n - 1.0) / 12.0);
        let line = |ahead: f64| mean + slope * (middle + ahead);
        mean.max(line(0.0)).max(line(FORECAST_S as f64)) >= threshold
    }
}

/// What is known of one piece.
#[derive(Debug)]
struct ObjectState {
    counts: ArrivalCounts,
    spread: Option<SpreadMode>,
    /// Its transfer time, measured by an answer.
    transfer_ms: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    cache: NodeIndex,
    source: NodeIndex,
    sent_at: Millis,
    /// The time after which its machines are checked for silence.
    check_after_ms: Millis,
    expected_fills: f64,
    outcome: Option<Outcome>,
    /// The machine that its failure counts against.
    blamed: Option<NodeIndex>,
}

#[derive(Debug)]
struct PendingRequest {
    request: ClientRequest,
    /// Whether the piece was requested before.
    seen: bool,
    arrived_at: Millis,
    deadline: Millis,
    attempts: Vec<Attempt>,
    hedged: bool,
    answered: bool,
}

/// The state machine that makes a router's decisions; see [`Router::handle`]. The default one has no settings
/// and serves nothing.
#[derive(Debug, Default)]
pub struct Router {
    settings: Settings,
    seed: u64,
    started_at: Millis,
    zone_index: Option<usize>,
    ticking: bool,
    nodes: Vec<Node>,
    node_by_id: HashMap<CacheId, NodeIndex>,
    /// The listed machines of each role.
    listed_by_role: [Vec<NodeIndex>; 4],
    objects: HashMap<Piece, ObjectState>,
    spread_pieces: Vec<Piece>,
    arrivals: ArrivalCounts,
    requests: BTreeMap<RequestId, PendingRequest>,
    ticked_second: i64,
    purges: HashMap<(u64, Option<ObjectId>), Millis>,
    /// Each class's mean transfer time, and whether one is known: until then it is the class's latency
    /// target.
    class_transfers: Vec<(Millis, bool)>,
    /// The transfer time served in this second by the machines of each role, and the peak mean load of one.
    served_ms: [Millis; 4],
    peak_load: [f64; 4],
    /// The expected number of fills in progress, and how many fit the location's link, as measured.
    open_fills: f64,
    fill_capacity: Option<f64>,
    /// The shares of first-seen and of seen pieces that needed a fill, and the share of fills that failed.
    miss_shares: [f64; 2],
    fill_failures: Option<Measurement>,
    /// The origin's latest times to first byte, also by way of a parent: a queue at the origin shows in all.
    origin_ttfbs: [Measurement; 4],
    /// The number of requests that may still be hedged.
    hedge_budget: f64,
    /// The interval at which the values of load reports change: no report counts for longer.
    report_interval_ms: Option<Measurement>,
    /// The time of the latest purge that is no longer stored by object: no copy from before it is served.
    all_purged_at: Option<Millis>,
}

impl Router {
    /// Returns a router at its start. `seed` feeds its random choices; `now` is the caller's clock.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        Self {
            class_transfers: settings.classes.iter().map(|class| (class.aim_ms, false)).collect(),
            zone_index: settings.zones.iter().position(|zone| Some(zone) == settings.zone.as_ref()),
            settings,
            seed,
            started_at: now,
            miss_shares: INITIAL_MISS_SHARES,
            ..Self::default()
        }
    }

    /// Replaces the bounds of the guarantees, as when two processes share the cold-start budget.
    pub fn set_guarantees(&mut self, guarantees: Guarantees) {
        self.settings.guarantees = guarantees;
    }

    /// Returns the number of listed machines that are ejected or on trial after their failures.
    pub fn ejected_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.listed && node.health.ejected_until.is_some()).count()
    }

    /// Handles one event and appends the actions to carry out, in order. Unknown ids are ignored; a request
    /// that nothing can serve is answered at once.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let ask = self.settings.discovery == Discovery::Ask;
        if !std::mem::replace(&mut self.ticking, true) {
            actions.push(Action::Timer { delay_ms: TICK_MS, token: Token(0) });
            actions.extend(ask.then_some(Action::Subscribe));
        }
        match event {
            Event::List { mode: ListMode::Failed, .. } => actions.extend(ask.then_some(Action::Subscribe)),
            Event::Probed { .. } => {}
            Event::List { mode, entries } => self.update_list(now, mode, entries),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::Result(result) => self.on_result(now, &result, actions),
            Event::Started { id, attempt } => {
                let Some(Attempt { cache, .. }) = self.attempt_mut(&id, attempt).copied() else { return };
                self.record_success(now, cache, actions);
            }
            Event::Aborted { id } => self.finish(&id),
            Event::Timer(_) => {
                self.tick(now, actions);
                actions.push(Action::Timer { delay_ms: TICK_MS, token: Token(0) });
            }
            Event::Purged { object, group, age_ms } => {
                let made = now - age_ms.max(0.0);
                // The purge of an object may arrive without its group, so the group is not part of the key.
                let group = if object.is_some() { 0 } else { group };
                self.purges.entry((group, object)).and_modify(|at| *at = at.max(made)).or_insert(made);
                if self.purges.len() > MAX_OBJECTS {
                    let made = self.purges.drain().map(|(_, made)| made);
                    self.all_purged_at = made.chain(self.all_purged_at).reduce(f64::max);
                }
            }
        }
    }

    /// Applies a list of caches. A machine with a later start than before loses its history and starts cold.
    fn update_list(&mut self, now: Millis, mode: ListMode, entries: Vec<ListEntry>) {
        if mode != ListMode::Changes {
            self.nodes.iter_mut().for_each(|node| node.listed = false);
        }
        for entry in entries {
            let index = self.find_or_add_node(now, &entry);
            let node = &mut self.nodes[index];
            node.listed = entry.phase == Phase::Serving;
            node.entry.weight = entry.weight;
            if entry.online_since > node.started_at {
                (node.started_at, node.health) = (entry.online_since, Health::default());
                node.measured = Measured::default();
                self.start_cold(now, index);
            }
        }
        self.nodes
            .iter_mut()
            .for_each(|node| node.removed_at = node.removed_at.or(Some(now)).filter(|_| !node.listed));
        self.listed_by_role = [Role::Edge, Role::Parent, Role::Origin, Role::RemoteEdge].map(|role| {
            let fits = |index: &NodeIndex| self.nodes[*index].listed && self.nodes[*index].role == role;
            (0..self.nodes.len()).filter(fits).collect()
        });
    }

    fn find_or_add_node(&mut self, now: Millis, entry: &ListEntry) -> NodeIndex {
        if let Some(index) = self.node_by_id.get(&entry.cache) {
            return *index;
        }
        // Machines are replaced under new names all the time; the table must not grow with them.
        let free = |node: &Node| {
            node.inflight == 0
                && node.removed_at.is_some_and(|removed_at| now - removed_at > NODE_RETENTION_MS)
        };
        let index = self.nodes.iter().position(free).unwrap_or(self.nodes.len());
        self.nodes.get(index).and_then(|old| self.node_by_id.remove(&old.entry.cache));
        self.node_by_id.insert(entry.cache.clone(), index);
        let settings = &self.settings;
        let role = match Some(&entry.kind) {
            kind if kind == settings.parent_kind.as_ref() => Role::Parent,
            kind if kind == settings.origin_kind.as_ref() => Role::Origin,
            _ if settings.zone.as_ref().is_none_or(|zone| *zone == entry.zone) => Role::Edge,
            _ => Role::RemoteEdge,
        };
        let zone_index = settings.zones.iter().position(|zone| *zone == entry.zone);
        let hub = |zone: Option<usize>| zone.and_then(|at| settings.zone_hubs.get(at)).copied();
        let node = Node {
            entry: entry.clone(),
            role,
            hash: XxHash64::oneshot(0, entry.cache.as_str().as_bytes()),
            hub_distance: hub(self.zone_index).zip(hub(zone_index)).map_or(0, |(a, b)| a.abs_diff(b)),
            listed: false,
            removed_at: None,
            started_at: None,
            inflight: 0,
            cold_budget: (0.0, 0.0),
            health: Health::default(),
            measured: Measured::default(),
        };
        drop(self.nodes.splice(index..self.nodes.len().min(index + 1), [node])); // Replaces or appends.
        self.remove_from_ready(index);
        index
    }

    /// Starts the cold-start budget of a machine. The initial debt differs from router to router, so that
    /// they don't send their first requests together.
    fn start_cold(&mut self, now: Millis, index: NodeIndex) {
        let most = self.max_transfer_ms();
        let phase =
            XxHash64::oneshot(self.seed, &self.nodes[index].hash.to_le_bytes()) as f64 / u64::MAX as f64;
        self.nodes[index].cold_budget = (-phase * most, now);
        self.remove_from_ready(index);
    }

    fn remove_from_ready(&mut self, index: NodeIndex) {
        for spread in self.objects.values_mut().filter_map(|object| object.spread.as_mut()) {
            spread.ready.retain(|peer| *peer != index);
        }
    }

    fn listed(&self, role: Role) -> impl Iterator<Item = NodeIndex> + '_ {
        self.listed_by_role[role as usize].iter().copied()
    }

    /// Returns the rate that opens a spread mode: the mean rate of all requests per edge cache.
    fn spread_threshold(&self) -> Option<f64> {
        let edges = self.listed(Role::Edge).count();
        (self.arrivals.age >= WINDOW_S && edges > 0)
            .then(|| self.arrivals.mean_rate() / edges as f64)
            .filter(|threshold| *threshold > 0.0)
    }

    /// Counts an arrival. Returns whether the piece was requested before.
    fn count_arrival(&mut self, now: Millis, request: &ClientRequest, actions: &mut Vec<Action>) -> bool {
        let Some(key) = piece(request) else { return false };
        let seen = self.objects.contains_key(&key);
        if request.repeat || (!seen && self.objects.len() >= MAX_OBJECTS) {
            return seen; // A client's own retry is not demand.
        }
        let second = ((now - self.started_at) / SECOND_MS) as i64;
        self.arrivals.advance(second, true);
        self.arrivals.current += 1;
        let threshold = self.spread_threshold();
        let counts = ArrivalCounts { second, ..ArrivalCounts::default() };
        let object = self.objects.entry(key.clone()).or_insert(ObjectState {
            counts,
            spread: None,
            transfer_ms: None,
        });
        object.counts.advance(second, object.spread.is_some());
        object.counts.current += 1;
        if object.spread.is_none() && threshold.is_some_and(|threshold| object.counts.will_reach(threshold)) {
            object.spread = Some(SpreadMode::default());
            self.spread_pieces.push(key.clone());
            let text = format!("spread opened for {} at {:.1}/s", key.0, object.counts.mean_rate());
            actions.push(Action::Log(text));
        }
        seen
    }

    /// Checks slow attempts, and once a second closes spread modes, forgets idle pieces and updates loads.
    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.check_slow_attempts(now, actions);
        let second = ((now - self.started_at) / SECOND_MS) as i64;
        if std::mem::replace(&mut self.ticked_second, second) == second {
            return;
        }
        self.arrivals.advance(second, true);
        let threshold = self.spread_threshold().unwrap_or(0.0);
        for key in std::mem::take(&mut self.spread_pieces) {
            let Some(object) = self.objects.get_mut(&key) else { continue };
            object.counts.advance(second, true);
            if object.counts.mean_rate() < object.counts.normal_rate.unwrap_or(threshold / 2.0) {
                object.spread = None;
                actions.push(Action::Log(format!("spread released for {}", key.0)));
            } else {
                self.spread_pieces.push(key);
            }
        }
        if second % OBJECT_IDLE_S == 0 {
            self.objects.retain(|_, object| {
                object.spread.is_some() || second - object.counts.second <= OBJECT_IDLE_S
            });
        }
        self.purges.retain(|_, made| *made >= now - self.settings.guarantees.purge_gone_ms);
        for role in [Role::Edge, Role::Parent] {
            let machines = self.listed(role).count().max(1) as f64;
            let mean = std::mem::take(&mut self.served_ms[role as usize]) / SECOND_MS / machines;
            let peak = &mut self.peak_load[role as usize];
            *peak = (*peak + SMOOTHING_GAIN * (mean - *peak)).max(*peak * PEAK_LOAD_DECAY);
        }
    }

    fn on_request(&mut self, now: Millis, request: ClientRequest, actions: &mut Vec<Action>) {
        let id = request.id.clone();
        if self.requests.contains_key(&id) {
            return;
        }
        let seen = self.count_arrival(now, &request, actions);
        self.hedge_budget = (self.hedge_budget + HEDGE_BUDGET[0]).min(HEDGE_BUDGET[1]);
        let stated = request.size_kb.and_then(|kb| self.full_rate_ms(kb));
        stated.into_iter().for_each(|transfer_ms| self.learn_class_transfer(request.class, transfer_ms));
        let (deadline, attempts) = (now + request.budget_ms.max(0.0), Vec::new());
        let pending = PendingRequest {
            request,
            seen,
            arrived_at: now,
            deadline,
            attempts,
            hedged: false,
            answered: false,
        };
        self.requests.insert(id.clone(), pending);
        self.dispatch(now, &id, actions);
    }

    /// Updates a class's mean transfer time with that of one request.
    fn learn_class_transfer(&mut self, class: usize, transfer_ms: Millis) {
        let Some((mean, known)) = self.class_transfers.get_mut(class) else { return };
        *mean += if std::mem::replace(known, true) {
            TRANSFER_GAIN * (transfer_ms - *mean)
        } else {
            transfer_ms - *mean
        };
    }

    /// Returns the longest of the classes' known mean transfer times.
    fn max_transfer_ms(&self) -> Millis {
        self.class_transfers.iter().filter(|(_, known)| *known).map(|(mean, _)| *mean).fold(0.0, f64::max)
    }

    /// Learns a size that the request did not state from its answer: from the counted bytes, else from the
    /// time of a hit.
    fn learn_size(&mut self, class: usize, key: Option<&Piece>, result: &AttemptResult) {
        let counted = result.size_kb.and_then(|kb| self.full_rate_ms(kb));
        let hit = result.cache_status.is_none_or(|status| status == CacheStatus::Hit);
        let timed = Some((result.elapsed_ms - INITIAL_TTFB_MS / 5.0).max(0.0)).filter(|_| hit);
        counted.or(timed).into_iter().for_each(|transfer_ms| self.learn_class_transfer(class, transfer_ms));
        let object = key.and_then(|key| self.objects.get_mut(key));
        object.into_iter().for_each(|object| object.transfer_ms = counted.or(object.transfer_ms));
    }

    /// Returns the transfer time of so many KB at full rate; `None`: the full rate is not known.
    fn full_rate_ms(&self, kb: f64) -> Option<Millis> {
        self.settings.flow_kb_per_s.map(|rate| 1000.0 * kb.max(0.0) / rate.max(1.0))
    }

    /// Returns a request's transfer time at full rate: by its stated size, by its piece's last answer, or the
    /// mean of its class.
    fn transfer_ms(&self, request: &ClientRequest) -> Millis {
        let measured = || self.objects.get(&piece(request)?)?.transfer_ms;
        let mean = || self.class_transfers.get(request.class).map_or(0.0, |(mean, _)| *mean);
        request.size_kb.and_then(|kb| self.full_rate_ms(kb)).or_else(measured).unwrap_or_else(mean)
    }

    /// Makes the next attempt of a request that has none in flight, or answers it finally.
    fn dispatch(&mut self, now: Millis, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id).filter(|pending| !pending.answered) else { return };
        let (fetch, attempt) = match self.plan(now, pending) {
            Ok(planned) => planned,
            Err(reason) => {
                if pending.attempts.iter().all(|attempt| attempt.outcome.is_some()) {
                    self.give_up(id, reason, actions); // Otherwise one in flight may be answered.
                }
                return;
            }
        };
        let cold = self.cold_capacity_share(now, &self.nodes[attempt.cache]).is_some();
        let Some(pending) = self.requests.get_mut(id) else { return };
        let Attempt { cache, source, expected_fills, .. } = attempt;
        self.open_fills += expected_fills;
        pending.attempts.push(attempt);
        let (transfer_ms, _) = self.class_transfers[pending.request.class];
        if let Some(spread) =
            piece(&pending.request).and_then(|key| self.objects.get_mut(&key)?.spread.as_mut())
        {
            spread.turn += 1;
            if !spread.ready.contains(&cache) {
                spread.on_trial.push(cache);
            }
        }
        for index in [Some(cache), Some(source).filter(|source| *source != cache)].into_iter().flatten() {
            let left = self.cold_budget_left(now, index).unwrap_or(0.0);
            let node = &mut self.nodes[index];
            node.inflight += 1;
            node.cold_budget =
                (left - if index == cache || cold { transfer_ms } else { expected_fills * transfer_ms }, now);
            let trial = now + node.health.backoff_ms; // A single trial: the next one has to wait.
            node.health.ejected_until = node.health.ejected_until.map(|until| until.max(trial));
        }
        actions.push(Action::Fetch(fetch));
    }

    fn attempt_mut(&mut self, id: &RequestId, number: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(id)?.attempts.get_mut(number)
    }

    /// Returns which of an attempt's machines has answered nothing since it was sent, and for far longer than
    /// usual.
    fn silent_node(
        &self,
        now: Millis,
        cache: NodeIndex,
        source: NodeIndex,
        sent_at: Millis,
    ) -> Option<NodeIndex> {
        [cache, source].into_iter().find(|index| {
            let Health { last_answer, answer_gap_ms, .. } = self.nodes[*index].health;
            last_answer
                .is_none_or(|answered| answered < sent_at && now - answered > SILENT_GAPS * answer_gap_ms)
        })
    }

    /// Checks attempts that take long. Slowness alone is congestion, which a cancelled transfer would add to,
    /// so an attempt is only cancelled if a machine is silent: hung, cut off, or gone without notice. One
    /// that a machine in service seems to have lost is hedged.
    fn check_slow_attempts(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let (mut overdue, mut to_hedge) = (Vec::new(), Vec::new());
        for (id, pending) in self.requests.iter().filter(|(_, pending)| !pending.answered) {
            let open = |a: &Attempt| a.outcome.is_none() && a.blamed.is_none();
            let late = |a: &Attempt| open(a) && now - a.sent_at >= a.check_after_ms;
            let silent_node =
                |a: &Attempt| self.silent_node(now, a.cache, a.source, a.sent_at).filter(|_| late(a));
            let silent = pending.attempts.iter().enumerate().find_map(|(n, a)| Some((n, silent_node(a)?)));
            let may_hedge = || pending.attempts.iter().any(|a| open(a) && self.may_hedge(now, pending, *a));
            match silent {
                Some((number, index)) => overdue.push((id.clone(), number, index)),
                None => to_hedge.extend(may_hedge().then(|| id.clone())),
            }
        }
        for id in to_hedge {
            let Some(pending) = self.requests.get_mut(&id).filter(|_| self.hedge_budget >= 1.0) else {
                break;
            };
            pending.hedged = true;
            self.hedge_budget -= 1.0;
            self.dispatch(now, &id, actions);
        }
        for (id, attempt, index) in overdue {
            self.attempt_mut(&id, attempt).into_iter().for_each(|open| open.blamed = Some(index));
            self.record_failure(now, index, Outcome::Timeout, actions);
            actions.push(Action::Abandon { id, attempt });
        }
    }

    /// Returns the next attempt of a request, or why there is none.
    fn plan(&self, now: Millis, pending: &PendingRequest) -> Result<(Fetch, Attempt), Refusal> {
        let request = &pending.request;
        let class = self.settings.classes.get(request.class).ok_or(Refusal::NoEndpoint)?;
        let (left, tries) = (pending.deadline - now, pending.attempts.len());
        let transfer_ms = self.transfer_ms(request);
        let aim = (class.aim_ms + class.aim_stretch * transfer_ms).min(class.deadline_ms);
        let aim_left = pending.arrived_at + aim - now;
        let bypass = self.settings.bypass_allowed; // Without a usable cache here, a parent serves it.
        let edge = self.pick_cache(now, pending).filter(|index| !bypass || self.usable(now, *index));
        let direct = bypass && edge.is_none();
        let picked = self.pick_source(now, pending, direct);
        let cache = if direct { picked } else { edge }.ok_or(Refusal::NoEndpoint)?;
        let missed = pending.attempts.iter().any(|a| a.outcome == Some(Outcome::Miss));
        let usual = if missed { 1.0 } else { self.miss_shares[usize::from(pending.seen)] };
        let expected_fills = if class.uncached || direct { 0.0 } else { usual };
        // While fills fail, only some are tried; without new results the failure share halves every second.
        let failing = self.fill_failures.filter(|(share, _)| *share > FILLS_FAILING_SHARE);
        let withhold_share = failing.map_or(0.0, |(share, at)| share * 0.5_f64.powf((now - at) / SECOND_MS));
        // What a slow origin would start too late is only served from copies, which keeps its queue short.
        let ttfbs = self.origin_ttfbs.iter().filter(|(_, at)| now - at <= MEASUREMENT_TTL_MS);
        let mut ttfbs: Vec<Millis> = ttfbs.map(|(ttfb, _)| *ttfb).collect();
        ttfbs.sort_by(f64::total_cmp);
        // Without details, a fill from the origin looks like one from a parent's copy, so many of the times
        // are short: the third shortest counts.
        let rank = if self.settings.detail == Detail::All { 0 } else { 2 };
        let queue = ttfbs.get(rank).copied().unwrap_or(0.0) / (aim - transfer_ms).max(1.0);
        let withhold_share = withhold_share.max((queue - ORIGIN_SLOW_SHARE) / (1.0 - ORIGIN_SLOW_SHARE));
        let hedge = pending.attempts.iter().any(|a| a.outcome.is_none()); // The origin may be what is slow.
        let cached_only =
            expected_fills > 0.0 && (hedge || self.random_fraction(&request.id) < withhold_share);
        // A full link slows every fill, and the retries keep it full: only copies at the cache are served.
        let lookup_only = expected_fills > 0.0 && self.link_full(transfer_ms);
        // A parent that serves a request directly fills from the origin.
        let picked = if direct { self.listed(Role::Origin).next() } else { picked };
        let (expected_fills, source) =
            if lookup_only { (0.0, cache) } else { (expected_fills, picked.unwrap_or(cache)) };
        let ttfb = self.nodes[source].measured.ttfb.map_or(INITIAL_TTFB_MS, |(ms, _)| ms);
        let (expected, slowdown) = (ttfb + transfer_ms, self.slowdown(now, cache));
        let most = request.max_attempts(self.settings.limits.max_attempts);
        // Several machines answer with an error, and none has served the piece before.
        let unknown = !pending.seen && pending.attempts.iter().filter(|a| failed_by_cache(a)).count() > 1;
        let advised = tries == 0 && request.refuse_retry_after_ms().is_some();
        // What can't be served within the latency target is worth little and slows all other requests.
        let overloaded = transfer_ms * slowdown > aim_left.max(class.aim_ms) && slowdown > CONGESTED_MULTIPLE;
        let not_cached = (lookup_only || cached_only) && missed;
        let send_within = self.resend_window(now, pending, cache).ok_or(Refusal::RetryNotAllowed)?;
        let reasons = [
            (advised, Refusal::RefusedByPlugin),
            (tries >= most, Refusal::AttemptsExhausted),
            (unknown, Refusal::UnknownObject),
            // No machine could serve it in time, so no link time is spent on it.
            (left <= transfer_ms, Refusal::DeadlineUnreachable),
            (overloaded, Refusal::Overload),
            (not_cached, Refusal::NotCached),
        ];
        if let Some((_, reason)) = reasons.into_iter().find(|(holds, _)| *holds) {
            return Err(reason);
        }
        let attempt_timeout = (aim_left - expected).max(TIMEOUT_MULTIPLE * (ttfb + transfer_ms * slowdown));
        let again = tries + 1 < most && left - attempt_timeout > expected;
        let cancelling = self.settings.limits.cancelling; // Otherwise a time-out replaces the check.
        let timeout_ms = if again && !cancelling { attempt_timeout } else { left };
        let rank = if pending.seen { Retention::Middle } else { Retention::Low };
        let rank = if self.spread_mode(request).is_some() { Retention::High } else { rank };
        let retention = if class.uncached || request.object.is_none() { Retention::NoStore } else { rank };
        let fetch = Fetch {
            id: request.id.clone(),
            cache: self.nodes[cache].entry.cache.clone(),
            join: self.settings.joins && pending.attempts.iter().all(|a| a.cache != cache),
            background_refresh: class.fresh_ms.is_some(),
            cached_only,
            timeout_ms,
            source: self.nodes[source].entry.cache.clone(),
            max_age_ms: request.max_age_ms(self.max_age_ms(now, pending, class)),
            retention: request.retention(retention),
            send_within_ms: Some(send_within).filter(|ms| ms.is_finite()),
        };
        let check_after_ms = if again && cancelling { attempt_timeout } else { f64::INFINITY };
        Ok((
            fetch,
            Attempt {
                cache,
                source,
                sent_at: now,
                check_after_ms,
                expected_fills,
                outcome: None,
                blamed: None,
            },
        ))
    }

    /// Returns the highest acceptable age of a copy: younger than any purge of it; stale ones are accepted on
    /// a further attempt and while fills fail.
    fn max_age_ms(&self, now: Millis, pending: &PendingRequest, class: &ClassSettings) -> Option<Millis> {
        let request = &pending.request;
        let stale =
            !pending.attempts.is_empty() || recent(self.fill_failures, now) > Some(FILLS_FAILING_SHARE);
        let purged = |group, object| self.purges.get(&(group, object)).copied().unwrap_or(f64::MIN);
        let own = request.object.clone().map_or(f64::MIN, |object| purged(0, Some(object)));
        let purge = purged(request.group, None).max(own).max(self.all_purged_at.unwrap_or(f64::MIN));
        let bound = (purge > f64::MIN).then(|| (now - purge - PURGE_SLACK_MS).max(1.0));
        let usual = class.fresh_ms.map(|fresh| if stale { fresh + class.stale_ms } else { fresh });
        bound.into_iter().chain(usual).reduce(f64::min)
    }

    /// Returns whether the location's link is full for one more fill with this transfer time. Compared with
    /// the classes' longest mean, short transfers get up to twice the usual room, and long ones down to half.
    fn link_full(&self, transfer_ms: Millis) -> bool {
        let link = self.zone_index.and_then(|at| self.settings.zone_links_kb_per_s.get(at)).copied();
        let rate = self.settings.flow_kb_per_s.unwrap_or(0.0) * self.routers_sharing(Role::Edge);
        let nominal = link.map(|kb| kb / rate).filter(|fits| *fits > 0.0 && fits.is_finite());
        let size_factor = (self.max_transfer_ms() / transfer_ms.max(1.0)).sqrt().clamp(0.5, 2.0);
        nominal.or(self.fill_capacity).is_some_and(|fits| {
            self.open_fills + 1.0
                > FULL_LINK_SLOWDOWN * size_factor * fits.max(0.1)
                    + CHANCE_MARGIN_ROOTS * fits.max(1.0).sqrt()
        })
    }

    /// Returns the number of routers that send to the machines of a role.
    fn routers_sharing(&self, role: Role) -> f64 {
        let zone = self.zone_index.filter(|_| role == Role::Edge);
        let here = zone.and_then(|at| self.settings.routers_by_zone.get(at)).copied();
        f64::from(here.unwrap_or(self.settings.routers).max(1))
    }

    /// Returns this router's share of a machine's link, in concurrent transfers at full rate; `None`: not
    /// known.
    fn link_share(&self, now: Millis, index: NodeIndex) -> Option<f64> {
        let node = &self.nodes[index];
        let link = self.nominal_share(node).or(node.measured.link_capacity)?;
        Some((link * self.cold_capacity_share(now, node).unwrap_or(1.0)).max(0.1))
    }

    /// Returns this router's share of a machine's link by the machine's weight; `None`: weights mean nothing.
    fn nominal_share(&self, node: &Node) -> Option<f64> {
        (self.settings.weights != Weights::Unknown)
            .then(|| node.entry.weight / self.routers_sharing(node.role))
    }

    /// Returns how many times slower than at full rate a cache would send with one more transfer.
    fn slowdown(&self, now: Millis, index: NodeIndex) -> f64 {
        let transfers = (self.nodes[index].inflight + 1) as f64;
        let max_age = recent(self.report_interval_ms, now).unwrap_or(0.0);
        let busy =
            |(report, at): (LoadReport, Millis)| now - at <= max_age && report.util > Some(BUSY_CPU_SHARE);
        let busy = self.nodes[index].measured.report.is_some_and(busy);
        let margin = |share: f64| if busy { 0.0 } else { CHANCE_MARGIN_ROOTS * share.max(1.0).sqrt() };
        self.link_share(now, index).map_or(1.0, |share| ((transfers - margin(share)) / share).max(1.0))
    }

    /// Returns whether a cache has so many transfers that requests pass it over. This is rare, since the next
    /// cache in order has to fill a copy of its own.
    fn passed_over(&self, now: Millis, index: NodeIndex) -> bool {
        let transfers = (self.nodes[index].inflight + 1) as f64;
        let margin = if recent(self.fill_failures, now) > Some(FILLS_IMPAIRED_SHARE) {
            2.0 * HOME_MARGIN
        } else {
            HOME_MARGIN
        };
        self.link_share(now, index).is_some_and(|share| transfers > CONGESTED_MULTIPLE * (share + margin))
    }

    /// Returns the share of its full capacity that a cold machine has at least; `None`: it is warm.
    fn cold_capacity_share(&self, now: Millis, node: &Node) -> Option<f64> {
        let rules = &self.settings.guarantees;
        let (from, span) = match node.role {
            Role::Edge | Role::RemoteEdge => (rules.cold_start_share, rules.cold_start_ms),
            Role::Parent => (rules.parent_cold_start_share, rules.parent_cold_start_ms),
            Role::Origin => return None,
        };
        let age = (now - node.started_at?).max(0.0);
        (age < span).then(|| from + (1.0 - from) * age / span)
    }

    /// Returns the transfer time that a cold machine may still be sent; `None`: it is warm. This router's
    /// share accrues over time, is not saved up, and may be overdrawn by one request. Where the weight does
    /// not give the machine's capacity, the peak load of its role stands in for it.
    fn cold_budget_left(&self, now: Millis, index: NodeIndex) -> Option<Millis> {
        let (node, rules) = (&self.nodes[index], &self.settings.guarantees);
        let share = self.cold_capacity_share(now, node)?;
        let most =
            if node.role == Role::Parent { rules.parent_overload_multiple } else { rules.overload_multiple };
        let capacity = self.nominal_share(node).unwrap_or(self.peak_load[node.role as usize]);
        Some(
            (node.cold_budget.0 + COLD_BUDGET_SHARE * most * share * capacity * (now - node.cold_budget.1))
                .min(0.0),
        )
    }

    fn within_cold_budget(&self, now: Millis, index: NodeIndex) -> bool {
        self.cold_budget_left(now, index).is_none_or(|left| left >= 0.0)
    }

    fn spread_mode(&self, request: &ClientRequest) -> Option<&SpreadMode> {
        self.objects.get(&piece(request)?)?.spread.as_ref()
    }

    /// Sorts machines by rendezvous hashing in the order of the piece, which is the same at every router.
    fn hash_order(&self, request: &ClientRequest, mut among: Vec<NodeIndex>) -> Vec<NodeIndex> {
        let name = request.object.as_ref().map_or(request.id.as_str(), ObjectId::as_str);
        let key = XxHash64::oneshot(request.piece, name.as_bytes()).to_le_bytes();
        among.sort_by_cached_key(|index| Reverse(XxHash64::oneshot(self.nodes[*index].hash, &key)));
        among
    }

    /// Returns whether a machine is neither ejected nor slow.
    fn usable(&self, now: Millis, index: NodeIndex) -> bool {
        self.nodes[index].health.ejected_until.is_none_or(|until| now >= until)
            && !self.has_slow_link(now, index)
    }

    /// Returns whether a machine sends far slower than another of its role, so that its link must be
    /// impaired. Machines without a measurement count as sending at full rate.
    fn has_slow_link(&self, now: Millis, index: NodeIndex) -> bool {
        let slowdown = |index: NodeIndex| {
            recent(self.nodes[index].measured.slowdown, now).map_or(1.0, |slowdown| slowdown.max(1.0))
        };
        let best = self
            .listed(self.nodes[index].role)
            .filter(|other| *other != index)
            .map(slowdown)
            .reduce(f64::min);
        best.is_some_and(|best| slowdown(index) > SLOW_LINK_MULTIPLE * best)
    }

    /// Picks the cache for the next attempt: the home, or in a spread mode the peer whose turn it is. Caches
    /// that failed this request, have no cold-start budget left or have too many transfers are passed over.
    fn pick_cache(&self, now: Millis, pending: &PendingRequest) -> Option<NodeIndex> {
        let request = &pending.request;
        let listed: Vec<NodeIndex> = self.listed(Role::Edge).collect();
        let usable: Vec<NodeIndex> =
            listed.iter().copied().filter(|index| self.usable(now, *index)).collect();
        let mut order = self.hash_order(request, if usable.is_empty() { listed } else { usable });
        order.sort_by_key(|index| Reverse(request.preference(&self.nodes[*index].entry.cache)));
        if let Some(mode) = self.spread_mode(request) {
            let spread = &order[..order.len().min(1 + SPREAD_PEERS)];
            let untested = |index: &&NodeIndex| !mode.ready.contains(index) && !mode.on_trial.contains(index);
            let mut ready = spread.to_vec();
            ready.retain(|index| Some(index) == spread.first() || mode.ready.contains(index));
            let turn = ready.get(mode.turn % ready.len().max(1));
            let picked = spread.iter().skip(1).find(untested).or(turn).copied();
            order.sort_by_key(|index| Some(*index) != picked);
        }
        let in_flight = |a: &Attempt, index: NodeIndex| a.outcome.is_none() && a.cache == index;
        let failed = |index: &NodeIndex| {
            pending.attempts.iter().any(|a| a.blamed == Some(*index) || in_flight(a, *index))
        };
        order.sort_by_key(failed);
        let untried = order.iter().position(failed).filter(|count| *count > 0);
        order.truncate(untried.unwrap_or(order.len()));
        order.retain(|index| self.within_cold_budget(now, *index));
        let least =
            |a: &&NodeIndex, b: &&NodeIndex| self.slowdown(now, **a).total_cmp(&self.slowdown(now, **b));
        order.iter().find(|index| !self.passed_over(now, **index)).or(order.iter().min_by(least)).copied()
    }

    /// Picks the source of a fill: of the first two parents in hash order the one with the shorter recent
    /// time to first byte, or else the nearer one. If neither is usable: the piece's home in another
    /// location, once per request and only as a source; then the origin.
    fn pick_source(&self, now: Millis, pending: &PendingRequest, direct: bool) -> Option<NodeIndex> {
        let request = &pending.request;
        let failed = |index: NodeIndex| pending.attempts.iter().any(|a| a.blamed == Some(index));
        let origin =
            self.listed(Role::Origin).min_by_key(|index| (failed(*index), !self.usable(now, *index)));
        let uncached = self.settings.classes.get(request.class).is_some_and(|class| class.uncached);
        let mut parents = self.hash_order(request, self.listed(Role::Parent).collect());
        parents.truncate(2);
        parents.retain(|index| {
            self.usable(now, *index) && !failed(*index) && self.within_cold_budget(now, *index)
        });
        let recent = |index: NodeIndex| recent(self.nodes[index].measured.ttfb, now);
        let known: Vec<f64> = parents.iter().filter_map(|index| recent(*index)).collect();
        let average = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let pick = parents.into_iter().min_by(|a, b| {
            let ttfb = |index: NodeIndex| recent(index).unwrap_or(average);
            ttfb(*a).total_cmp(&ttfb(*b)).then(self.nodes[*a].hub_distance.cmp(&self.nodes[*b].hub_distance))
        });
        let pick = if uncached { origin.or(pick) } else { pick };
        // A cache of another location only serves copies that it has, so it is asked once.
        let tried = |a: &Attempt| self.nodes[a.source].role == Role::RemoteEdge;
        let may = !direct && self.settings.siblings == Siblings::Any && !pending.attempts.iter().any(tried);
        let fits = |index: &NodeIndex| {
            may && self.usable(now, *index) && self.cold_capacity_share(now, &self.nodes[*index]).is_none()
        };
        let remote = || {
            self.hash_order(request, self.listed(Role::RemoteEdge).filter(fits).collect()).first().copied()
        };
        pick.or_else(remote).or(origin)
    }

    /// Returns whether an attempt seems lost, so that the request may be hedged: its cache has answered later
    /// attempts, and none of its source's latest answers took as long.
    fn may_hedge(
        &self,
        now: Millis,
        pending: &PendingRequest,
        Attempt { cache, source, sent_at, .. }: Attempt,
    ) -> bool {
        let waited = now - sent_at - TIMEOUT_MULTIPLE * self.transfer_ms(&pending.request);
        let repeat = self.settings.classes.get(pending.request.class).map(|class| class.repeat);
        let Measured { ttfb, latest_answers, .. } = &self.nodes[source].measured;
        let quick =
            recent(*ttfb, now).is_none_or(|ms| ms < INITIAL_TTFB_MS) && self.slowdown(now, cache) <= 1.0;
        let later = |(at, took): &&(Millis, Millis)| *at > sent_at && *took < waited;
        let may = self.settings.limits.hedging && repeat == Some(Repeat::Retryable) && !pending.hedged;
        let unusual = latest_answers.iter().all(|(_, took)| *took < waited);
        may && quick && unusual && self.nodes[cache].measured.latest_answers.iter().filter(later).count() > 2
    }

    /// Returns the time within which a request may be sent again to this cache; `None`: it may not. No other
    /// place decides this.
    fn resend_window(&self, now: Millis, pending: &PendingRequest, cache: NodeIndex) -> Option<Millis> {
        let open = pending.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        let class = self.settings.classes.get(pending.request.class)?;
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
                f64::from(u8::from(same)) * (ran.sent_at + window_ms - now)
            }
        });
        let left = left.fold(f64::INFINITY, f64::min);
        // Two attempts are in flight at the same time only if one of them is a hedge.
        Some(left).filter(|left| *left > 0.0 && open <= usize::from(pending.hedged))
    }

    /// Answers a request finally when no further attempt can be made: it is refused where a retry is
    /// harmless.
    fn give_up(&mut self, id: &RequestId, reason: Refusal, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id) else { return };
        let repeat = self.settings.classes.get(pending.request.class).map(|class| class.repeat);
        let repeatable =
            matches!(repeat, Some(Repeat::Retryable | Repeat::Dedup { scope: DedupScope::All, .. }));
        let harmless = repeatable || !pending.attempts.iter().any(may_have_run);
        if !pending.seen && pending.attempts.iter().any(failed_by_cache) {
            // The object may not exist at any machine, so it is neither counted as demand nor remembered.
            piece(&pending.request).and_then(|key| self.objects.remove(&key));
            self.arrivals.current = self.arrivals.current.saturating_sub(1);
        }
        let (id, advised) = (id.clone(), pending.request.refuse_retry_after_ms());
        self.finish(&id);
        let limits = &self.settings.limits;
        // The delays are spread so that clients don't come back together.
        let wait = advised.unwrap_or(limits.max_retry_after_ms * (1.0 + self.random_fraction(&id)) / 2.0);
        let retry_after_ms = Some(wait).filter(|ms| limits.retry_after && *ms > 0.0);
        actions.push(if harmless {
            Action::Refuse { id, retry_after_ms, reason }
        } else {
            Action::Fail { id, reason }
        });
    }

    /// Returns a fraction from 0 to 1 that depends only on the request's id and the router's seed.
    fn random_fraction(&self, id: &RequestId) -> f64 {
        XxHash64::oneshot(self.seed, id.as_str().as_bytes()) as f64 / u64::MAX as f64
    }

    /// Marks a request as answered, and forgets it once none of its attempts is in flight.
    fn finish(&mut self, id: &RequestId) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        pending.answered = true;
        drop(pending.attempts.iter().all(|a| a.outcome.is_some()).then(|| self.requests.remove(id)));
    }

    /// Takes in the end of an attempt: learns from it, blames a machine for a failure, and makes the next
    /// attempt.
    fn on_result(&mut self, now: Millis, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&result.id) else { return };
        let open = pending.attempts.get_mut(result.attempt).filter(|attempt| attempt.outcome.is_none());
        let Some(attempt) = open else { return };
        attempt.outcome = Some(result.outcome);
        let Attempt { cache, source, sent_at, expected_fills, .. } = *attempt;
        let (seen, key, class) = (pending.seen, piece(&pending.request), pending.request.class);
        let errors = |a: &&Attempt| a.cache == cache && a.outcome == Some(Outcome::Error);
        let repeated_error = pending.attempts.iter().filter(errors).count() > 1;
        let erring: Vec<NodeIndex> =
            pending.attempts.iter().filter(|a| failed_by_cache(a)).map(|a| a.cache).collect();
        if result.outcome == Outcome::Ok && pending.request.size_kb.is_none() {
            self.learn_size(class, key.as_ref(), result);
        }
        let transfer_ms =
            self.requests.get(&result.id).map_or(0.0, |pending| self.transfer_ms(&pending.request));
        // The round trips hide the rate of short transfers.
        let measurable = transfer_ms >= INITIAL_TTFB_MS / 2.0;
        self.open_fills = (self.open_fills - expected_fills).max(0.0);
        for index in [Some(cache), Some(source).filter(|source| *source != cache)].into_iter().flatten() {
            self.nodes[index].inflight = self.nodes[index].inflight.saturating_sub(1);
        }
        // A report with unchanged values counts as old, so that one that is stuck expires.
        let latest = &mut self.nodes[cache].measured.report;
        let reported = result.report != LoadReport::default();
        let changed = reported && latest.is_none_or(|(old, _)| old != result.report);
        if let Some((_, at)) = changed.then(|| latest.replace((result.report, now))).flatten() {
            record(&mut self.report_interval_ms, now, (now - at).min(MEASUREMENT_TTL_MS));
        }
        let guessed = self.settings.detail == Detail::None && !seen && result.outcome == Outcome::Ok;
        let filled = guessed
            || matches!(result.cache_status, Some(CacheStatus::Filled | CacheStatus::FilledFromOrigin));
        let by_source = result.cache_status.is_some_and(blames_source);
        let (no_detail, full) = (self.settings.detail != Detail::All, result.outcome == Outcome::Full);
        // A cache that rejects everything, as a draining one does, gives no information on fills.
        let unserved = matches!(result.outcome, Outcome::Timeout | Outcome::Error)
            || (full && (no_detail || result.cache_status.is_some()));
        let unfilled = unserved && (by_source || result.outcome != Outcome::Error);
        if cache != source && (filled || unfilled) {
            record(&mut self.fill_failures, now, f64::from(u8::from(!filled)));
        }
        // Without the cause of a failure, these are put down to the source: rejections while fills fail, and
        // a cache's first error.
        let failing = full && recent(self.fill_failures, now) > Some(FILLS_FAILING_SHARE);
        let failing = failing || result.outcome == Outcome::Error && !repeated_error;
        let by_source = by_source || self.settings.detail == Detail::Hit && cache != source && failing;
        let miss_known = self.settings.detail != Detail::None || cache == source;
        if miss_known && matches!(result.outcome, Outcome::Ok | Outcome::Miss) {
            let share = &mut self.miss_shares[usize::from(seen)];
            let missed = filled || result.outcome == Outcome::Miss;
            *share += SMOOTHING_GAIN / 4.0 * (f64::from(u8::from(missed)) - *share);
        }
        if matches!(result.outcome, Outcome::Miss | Outcome::Full) {
            self.nodes[cache].health.last_answer = Some(now); // Such answers come at once.
        }
        let blame = match result.outcome {
            Outcome::Ok => {
                for index in [Some(cache), Some(source).filter(|_| filled)].into_iter().flatten() {
                    self.nodes[index].measured.latest_answers.rotate_right(1);
                    self.nodes[index].measured.latest_answers[0] = (sent_at, result.elapsed_ms - transfer_ms);
                }
                self.served_ms[self.nodes[cache].role as usize] += transfer_ms;
                self.record_success(now, cache, actions);
                if result.cache_status == Some(CacheStatus::Hit) {
                    let usual = transfer_ms + INITIAL_TTFB_MS / 5.0;
                    record(&mut self.nodes[cache].measured.slowdown, now, result.elapsed_ms / usual);
                }
                if filled {
                    let sending = result.elapsed_ms - result.source_ttfb_ms.unwrap_or(0.0);
                    self.served_ms[self.nodes[source].role as usize] += transfer_ms;
                    self.record_success(now, source, actions);
                    let ttfb = result.source_ttfb_ms.unwrap_or((result.elapsed_ms - transfer_ms).max(0.0));
                    record(&mut self.nodes[source].measured.ttfb, now, ttfb);
                    if result.cache_status == Some(CacheStatus::FilledFromOrigin)
                        || no_detail && result.cache_status.is_some()
                    {
                        self.origin_ttfbs.rotate_right(1);
                        self.origin_ttfbs[0] = (ttfb, now);
                    }
                    if measurable && expected_fills > 0.0 && result.source_ttfb_ms.is_some() {
                        learn_capacity(&mut self.fill_capacity, transfer_ms, sending, self.open_fills + 1.0);
                        record(&mut self.nodes[source].measured.slowdown, now, sending / transfer_ms);
                    }
                } else if measurable {
                    let node = &mut self.nodes[cache];
                    learn_capacity(
                        &mut node.measured.link_capacity,
                        transfer_ms,
                        result.elapsed_ms,
                        node.inflight as f64 + 1.0,
                    );
                }
                None
            }
            Outcome::Full | Outcome::Error if by_source => Some(source),
            Outcome::Full => Some(cache),
            Outcome::Timeout => self.silent_node(now, cache, source, sent_at),
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => Some(cache),
            Outcome::Miss | Outcome::Cancelled | Outcome::Moot => None,
        };
        if let Some(index) = blame {
            self.attempt_mut(&result.id, result.attempt)
                .into_iter()
                .for_each(|attempt| attempt.blamed = Some(index));
            // An error may be the fault of the request until another cache serves it. All attempts on a
            // broken connection count as one failure.
            let counted =
                result.outcome == Outcome::Reset && self.nodes[index].health.last_reset > Some(sent_at);
            if !(counted || result.outcome == Outcome::Error && index == cache) {
                let unavailable = result.cache_status == Some(CacheStatus::SourceUnavailable);
                self.record_failure(
                    now,
                    index,
                    if unavailable { Outcome::Error } else { result.outcome },
                    actions,
                );
            }
        }
        if result.outcome == Outcome::Ok {
            erring.into_iter().for_each(|index| self.record_failure(now, index, Outcome::Error, actions));
        }
        self.update_peer(key.as_ref(), cache, result.outcome, filled && seen);
        if result.last || self.requests.get(&result.id).is_some_and(|pending| pending.answered) {
            self.finish(&result.id);
        }
        self.dispatch(now, &result.id, actions); // Does nothing if the request is answered.
    }

    /// Updates the spread mode: a peer is ready after it has served, and no longer after a miss, even a
    /// filled one.
    fn update_peer(&mut self, key: Option<&Piece>, cache: NodeIndex, outcome: Outcome, missed: bool) {
        let Some(spread) = key.and_then(|key| self.objects.get_mut(key)?.spread.as_mut()) else { return };
        let on_trial = spread.on_trial.contains(&cache);
        spread.on_trial.retain(|index| *index != cache);
        if outcome == Outcome::Ok && on_trial && !spread.ready.contains(&cache) {
            spread.ready.push(cache);
        } else if outcome != Outcome::Ok || missed {
            spread.ready.retain(|index| *index != cache);
        }
    }

    /// Records that a machine has served an attempt, which ends its ejection.
    fn record_success(&mut self, now: Millis, index: NodeIndex, actions: &mut Vec<Action>) {
        let health = &mut self.nodes[index].health;
        let last = health.last_answer.replace(now);
        health.answer_gap_ms = last.map_or(INITIAL_GAP_MS, |last| {
            health.answer_gap_ms + SMOOTHING_GAIN * (now - last - health.answer_gap_ms)
        });
        health.failure_share -= HEALTH_GAIN * health.failure_share;
        health.rejections = 0;
        if health.ejected_until.is_some() {
            let Health { last_answer, answer_gap_ms, last_reset, unreachable, .. } = *health;
            *health = Health { last_answer, answer_gap_ms, last_reset, ..Health::default() };
            if unreachable {
                // It is back without a new list entry: assume a restart.
                self.nodes[index].started_at = Some(now);
                self.start_cold(now, index);
            }
            actions.push(Action::Log(format!("{} is back", self.nodes[index].entry.cache)));
        }
    }

    /// Records a failure of a machine. A machine that is full, or whose source is, has not failed.
    fn record_failure(&mut self, now: Millis, index: NodeIndex, outcome: Outcome, actions: &mut Vec<Action>) {
        let Node { health, role, .. } = &mut self.nodes[index];
        let weight = match outcome {
            // But an edge cache that rejects everything is draining, and the list is late to show it.
            Outcome::Full if *role != Role::Edge || health.rejections < MAX_REJECTIONS => {
                health.rejections += 1;
                return;
            }
            Outcome::ConnectFailed => 2.0 * HEALTH_GAIN, // An unreachable machine more surely stays down.
            _ => HEALTH_GAIN,
        };
        health.last_reset = if outcome == Outcome::Reset { Some(now) } else { health.last_reset };
        health.failure_share += weight * (1.0 - health.failure_share);
        health.unreachable |= outcome == Outcome::ConnectFailed; // A reset alone may be one lost answer.
        let first = health.ejected_until.is_none();
        if health.failure_share < EJECTION_SHARE {
            return;
        }
        health.backoff_ms = (2.0 * health.backoff_ms).clamp(EJECTION_MS, MAX_EJECTION_MS);
        health.ejected_until = Some(now + health.backoff_ms);
        if first {
            actions.push(Action::Log(format!("{} ejected", self.nodes[index].entry.cache)));
        }
    }
}

/// Learns how many concurrent transfers fit a link: those in progress, over the factor by which one was
/// slowed.
fn learn_capacity(capacity: &mut Option<f64>, transfer_ms: Millis, elapsed_ms: Millis, transfers: f64) {
    let slowdown = (elapsed_ms - INITIAL_TTFB_MS / 5.0) / transfer_ms;
    let sample = transfers / slowdown.max(1.0);
    if slowdown > CONGESTED_MULTIPLE || capacity.is_some_and(|old| sample > old) {
        let old = capacity.unwrap_or(sample);
        *capacity = Some(old + SMOOTHING_GAIN / 2.0 * (sample - old));
    }
}

fn piece(request: &ClientRequest) -> Option<Piece> {
    request.object.clone().map(|object| (object, request.piece))
}

fn may_have_run(attempt: &Attempt) -> bool {
    !attempt.outcome.is_some_and(Outcome::never_ran)
}

/// Returns whether a cache answered with an error of its own. Where every cache does, the request may be at
/// fault.
fn failed_by_cache(attempt: &Attempt) -> bool {
    attempt.outcome == Some(Outcome::Error) && attempt.blamed == Some(attempt.cache)
}

fn blames_source(status: CacheStatus) -> bool {
    matches!(
        status,
        CacheStatus::SourceRefused
            | CacheStatus::SourceUnavailable
            | CacheStatus::SourceMiss
            | CacheStatus::OriginFailed
    )
}
