//! The decisions of a router. The types of its interface are in `src/api.rs`.
//!
//! Each piece of an object has a home among the edge caches. A piece's spread mode opens when its request
//! rate, as the mean or by a least-squares forecast, reaches the mean rate of all requests per edge cache.
//! Its requests then go to the next peers in its hash order as well, until its mean rate falls below its
//! normal rate, or below half of that threshold while no normal rate is known. All other rules handle cases
//! in which the home, a peer or the source of a fill can't serve well; `docs/design.md` lists them. Equal
//! events give equal actions.

mod pieces;

use crate::api::*;
use pieces::{ArrivalCounts, Piece, PieceTable, SpreadMode, PIECE_IDLE_S, WINDOW_S};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use twox_hash::XxHash64;

const SPREAD_PEERS: usize = 2; // Peers that a piece spreads to: the next two in its hash order.
/// Maximum number of purges stored one by one. At the maximum they are replaced by the time of the latest.
const MAX_PURGES: usize = 25_000;
const MACHINE_RETENTION_MS: Millis = 60_000.0; // When a removed machine's place in the table may be reused.

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
/// A machine is silent after this many of its usual gaps between answers without one. Between answers at
/// random times, one gap in 400 is that long.
const SILENT_GAPS: f64 = 6.0;
const INITIAL_GAP_MS: Millis = 2000.0; // Long, as a needless cancellation costs more than late detection.
const INITIAL_MISS_SHARES: [f64; 2] = [0.9, 0.2]; // Fills needed, of first-seen and of seen pieces.
/// A link is full when a mean fill takes this multiple of its time at full rate.
const FULL_LINK_SLOWDOWN: f64 = 1.5;
/// The share of failed fills above which fills are failing: a stale copy is better than the wait for a fill.
const FILLS_FAILING_SHARE: f64 = 0.3;
const FILLS_IMPAIRED_SHARE: f64 = 0.08; // Share of failed fills above which needless fills are avoided.
/// The share of the time that the latency target leaves for the origin, above which some fills are withheld.
const ORIGIN_SLOW_SHARE: f64 = 0.6;
/// A machine whose slowdown is over this multiple of the least in its role has an impaired link: load alone
/// does not explain it.
const SLOW_LINK_MULTIPLE: f64 = 4.0;
/// A link is congested above this slowdown, or above this ratio of its transfers to those that fit at full
/// rate.
const CONGESTED_MULTIPLE: f64 = 1.3;
/// The margin for transfers that coincide by chance, in square roots of the router's share of a link.
const CHANCE_MARGIN_ROOTS: f64 = 2.0;
/// Transfers that are added to this router's share of a cache's link before CONGESTED_MULTIPLE is applied;
/// above the product, requests pass the cache over. Doubled while more than FILLS_IMPAIRED_SHARE of the
/// fills fail.
const PASS_OVER_MARGIN: f64 = 2.0;
const BUSY_CPU_SHARE: f64 = 0.95; // CPU utilisation above which coinciding transfers are not by chance.
const PEAK_LOAD_DECAY: f64 = 0.99; // Factor per second for remembered loads: machines may come back cold.
const COLD_BUDGET_SHARE: f64 = 0.6; // Share of the cold-start budget in use: chance peaks need the rest.
const PURGE_SLACK_MS: Millis = 2.0; // How much younger than a purge a copy must be: clocks and rounding.
/// Hedges that each request adds to the budget, and the most that the budget holds: more hedges would
/// add load.
const HEDGE_BUDGET: [f64; 2] = [0.02, 10.0];
const TRANSFER_GAIN: f64 = 0.02; // Weight of one request in its class's mean transfer time.

/// A machine's index in the table.
type MachineIndex = usize;

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
struct Machine {
    entry: ListEntry,
    role: Role,
    hash: u64,
    hub_distance: usize,
    listed: bool,
    removed_at: Option<Millis>,
    started_at: Option<Millis>,
    /// Attempts in flight that the machine serves, as their cache or as the source of a fill.
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

#[derive(Clone, Copy, Debug)]
struct Attempt {
    cache: MachineIndex,
    source: MachineIndex,
    sent_at: Millis,
    /// The time after which its machines are checked for silence.
    check_after_ms: Millis,
    expected_fills: f64,
    outcome: Option<Outcome>,
    /// The machine that its failure counts against.
    blamed: Option<MachineIndex>,
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
    machines: Vec<Machine>,
    machine_by_id: HashMap<CacheId, MachineIndex>,
    /// The listed machines of each role.
    listed_by_role: [Vec<MachineIndex>; 4],
    pieces: PieceTable,
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

    /// Lowers the maximum number of pieces of objects that are remembered, at least 1.
    pub fn limit_pieces(&mut self, max_pieces: usize) {
        self.pieces.limit(max_pieces);
    }

    /// Replaces the bounds of the guarantees, as when two processes share the cold-start budget.
    pub fn set_guarantees(&mut self, guarantees: Guarantees) {
        self.settings.guarantees = guarantees;
    }

    /// Returns the number of listed machines that are ejected or on trial after their failures.
    pub fn ejected_count(&self) -> usize {
        self.machines
            .iter()
            .filter(|machine| machine.listed && machine.health.ejected_until.is_some())
            .count()
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
                if self.purges.len() > MAX_PURGES {
                    let made = self.purges.drain().map(|(_, made)| made);
                    self.all_purged_at = made.chain(self.all_purged_at).reduce(f64::max);
                }
            }
        }
    }

    /// Applies a list of caches. A machine with a later start than before loses its history and starts cold.
    fn update_list(&mut self, now: Millis, mode: ListMode, entries: Vec<ListEntry>) {
        if mode != ListMode::Changes {
            self.machines.iter_mut().for_each(|machine| machine.listed = false);
        }
        for entry in entries {
            let index = self.find_or_add_machine(now, &entry);
            let machine = &mut self.machines[index];
            machine.listed = entry.phase == Phase::Serving;
            machine.entry.weight = entry.weight;
            if entry.online_since > machine.started_at {
                (machine.started_at, machine.health) = (entry.online_since, Health::default());
                machine.measured = Measured::default();
                self.start_cold(now, index);
            }
        }
        self.machines.iter_mut().for_each(|machine| {
            machine.removed_at = machine.removed_at.or(Some(now)).filter(|_| !machine.listed)
        });
        self.listed_by_role = [Role::Edge, Role::Parent, Role::Origin, Role::RemoteEdge].map(|role| {
            let fits =
                |index: &MachineIndex| self.machines[*index].listed && self.machines[*index].role == role;
            (0..self.machines.len()).filter(fits).collect()
        });
    }

    fn find_or_add_machine(&mut self, now: Millis, entry: &ListEntry) -> MachineIndex {
        if let Some(index) = self.machine_by_id.get(&entry.cache).copied() {
            let known = &mut self.machines[index];
            if (&known.entry.kind, &known.entry.zone, known.entry.cell)
                == (&entry.kind, &entry.zone, entry.cell)
            {
                return index;
            }
            // Another machine under the name: what is known of the old one, and where its attempts may have
            // run, stays with the old one.
            (known.listed, known.removed_at) = (false, Some(now));
        }
        // Machines are replaced under new names all the time; the table must not grow with them.
        let free = |machine: &Machine| {
            machine.inflight == 0
                && machine.removed_at.is_some_and(|removed_at| now - removed_at > MACHINE_RETENTION_MS)
        };
        let index = self.machines.iter().position(free).unwrap_or(self.machines.len());
        if let Some(old) = self.machines.get(index).map(|old| &old.entry.cache) {
            if self.machine_by_id.get(old) == Some(&index) {
                self.machine_by_id.remove(old);
            }
        }
        self.machine_by_id.insert(entry.cache.clone(), index);
        let settings = &self.settings;
        let role = match Some(&entry.kind) {
            kind if kind == settings.parent_kind.as_ref() => Role::Parent,
            kind if kind == settings.origin_kind.as_ref() => Role::Origin,
            _ if settings.zone.as_ref().is_none_or(|zone| *zone == entry.zone) => Role::Edge,
            _ => Role::RemoteEdge,
        };
        let zone_index = settings.zones.iter().position(|zone| *zone == entry.zone);
        let hub = |zone: Option<usize>| zone.and_then(|at| settings.zone_hubs.get(at)).copied();
        let machine = Machine {
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
        // Replaces the free entry or appends one.
        drop(self.machines.splice(index..self.machines.len().min(index + 1), [machine]));
        self.remove_from_ready(index);
        index
    }

    /// Starts the cold-start budget of a machine. The initial debt differs from router to router, so that
    /// they don't send their first requests together.
    fn start_cold(&mut self, now: Millis, index: MachineIndex) {
        let most = self.max_class_transfer_ms();
        let phase =
            XxHash64::oneshot(self.seed, &self.machines[index].hash.to_le_bytes()) as f64 / u64::MAX as f64;
        self.machines[index].cold_budget = (-phase * most, now);
        self.remove_from_ready(index);
    }

    fn remove_from_ready(&mut self, index: MachineIndex) {
        for key in &self.spread_pieces {
            if let Some(spread) = self.pieces.get_mut(key).and_then(|state| state.spread.as_mut()) {
                spread.ready.retain(|peer| *peer != index);
            }
        }
    }

    fn listed(&self, role: Role) -> impl Iterator<Item = MachineIndex> + '_ {
        self.listed_by_role[role as usize].iter().copied()
    }

    /// Returns the rate that opens a spread mode: the mean rate of all requests per edge cache.
    fn spread_threshold(&self) -> Option<f64> {
        let edges = self.listed(Role::Edge).count();
        (self.arrivals.seconds_counted >= WINDOW_S && edges > 0)
            .then(|| self.arrivals.mean_rate() / edges as f64)
            .filter(|threshold| *threshold > 0.0)
    }

    /// Counts an arrival. Returns whether the piece was requested before.
    fn count_arrival(&mut self, now: Millis, request: &ClientRequest, actions: &mut Vec<Action>) -> bool {
        let Some(key) = piece(request) else { return false };
        let seen = self.pieces.contains(&key);
        if request.repeat {
            return seen; // A client's own retry is not demand.
        }
        let second = ((now - self.started_at) / SECOND_MS) as i64;
        self.arrivals.advance(second, true);
        self.arrivals.current += 1;
        let threshold = self.spread_threshold();
        let Some(state) = self.pieces.request(&key, second) else { return seen };
        state.counts.advance(second, state.spread.is_some());
        state.counts.current += 1;
        if state.spread.is_none() && threshold.is_some_and(|threshold| state.counts.will_reach(threshold)) {
            state.spread = Some(Box::default());
            self.spread_pieces.push(key.clone());
            let text = format!("spread opened for {} at {:.1}/s", key.0, state.counts.mean_rate());
            actions.push(Action::Log(text));
        }
        seen
    }

    /// Checks slow attempts, and once a second closes spread modes, forgets old purges and updates loads.
    /// Forgets idle pieces every PIECE_IDLE_S.
    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.check_slow_attempts(now, actions);
        let second = ((now - self.started_at) / SECOND_MS) as i64;
        if std::mem::replace(&mut self.ticked_second, second) == second {
            return;
        }
        self.arrivals.advance(second, true);
        let threshold = self.spread_threshold().unwrap_or(0.0);
        for key in std::mem::take(&mut self.spread_pieces) {
            let Some(state) = self.pieces.get_mut(&key) else { continue };
            state.counts.advance(second, true);
            if state.counts.mean_rate() < state.counts.normal_rate.unwrap_or(threshold / 2.0) {
                state.spread = None;
                actions.push(Action::Log(format!("spread released for {}", key.0)));
            } else {
                self.spread_pieces.push(key);
            }
        }
        if second % PIECE_IDLE_S == 0 {
            self.pieces.forget_idle(second);
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
    fn max_class_transfer_ms(&self) -> Millis {
        self.class_transfers.iter().filter(|(_, known)| *known).map(|(mean, _)| *mean).fold(0.0, f64::max)
    }

    /// Learns a size that the request did not state from its answer: from the counted bytes, else from the
    /// time of a hit.
    fn learn_size(&mut self, class: usize, key: Option<&Piece>, result: &AttemptResult) {
        let counted = result.size_kb.and_then(|kb| self.full_rate_ms(kb));
        let hit = result.cache_status.is_none_or(|status| status == CacheStatus::Hit);
        let timed = Some((result.elapsed_ms - INITIAL_TTFB_MS / 5.0).max(0.0)).filter(|_| hit);
        counted.or(timed).into_iter().for_each(|transfer_ms| self.learn_class_transfer(class, transfer_ms));
        let state = key.and_then(|key| self.pieces.get_mut(key));
        state.into_iter().for_each(|state| state.transfer_ms = counted.or(state.transfer_ms));
    }

    /// Returns the transfer time of so many KB at full rate; `None`: the full rate is not known.
    fn full_rate_ms(&self, kb: f64) -> Option<Millis> {
        self.settings.flow_kb_per_s.map(|rate| 1000.0 * kb.max(0.0) / rate.max(1.0))
    }

    /// Returns a request's transfer time at full rate: by its stated size, by its piece's last answer, or the
    /// mean of its class.
    fn transfer_ms(&self, request: &ClientRequest) -> Millis {
        let measured = || self.pieces.get(&piece(request)?)?.transfer_ms;
        let mean = || self.class_transfers.get(request.class).map_or(0.0, |(mean, _)| *mean);
        request.size_kb.and_then(|kb| self.full_rate_ms(kb)).or_else(measured).unwrap_or_else(mean)
    }

    /// Makes the next attempt of an unanswered request: its first, a further one or a hedge. If none can be
    /// made and none is in flight, gives the final answer.
    fn dispatch(&mut self, now: Millis, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id).filter(|pending| !pending.answered) else { return };
        let (fetch, attempt) = match self.plan(now, pending) {
            Ok(planned) => planned,
            Err(reason) => {
                if pending.attempts.iter().all(|attempt| attempt.outcome.is_some()) {
                    self.give_up(id, reason, actions); // Otherwise an attempt in flight may still serve it.
                }
                return;
            }
        };
        let cold = self.cold_capacity_share(now, &self.machines[attempt.cache]).is_some();
        let Some(pending) = self.requests.get_mut(id) else { return };
        let Attempt { cache, source, expected_fills, .. } = attempt;
        self.open_fills += expected_fills;
        pending.attempts.push(attempt);
        let (transfer_ms, _) = self.class_transfers[pending.request.class];
        if let Some(spread) =
            piece(&pending.request).and_then(|key| self.pieces.get_mut(&key)?.spread.as_mut())
        {
            spread.turn += 1;
            if !spread.ready.contains(&cache) {
                spread.on_trial.push(cache);
            }
        }
        for index in [Some(cache), Some(source).filter(|source| *source != cache)].into_iter().flatten() {
            let left = self.cold_budget_left(now, index).unwrap_or(0.0);
            let machine = &mut self.machines[index];
            machine.inflight += 1;
            machine.cold_budget =
                (left - if index == cache || cold { transfer_ms } else { expected_fills * transfer_ms }, now);
            let trial = now + machine.health.backoff_ms; // A single trial: the next one has to wait.
            machine.health.ejected_until = machine.health.ejected_until.map(|until| until.max(trial));
        }
        actions.push(Action::Fetch(fetch));
    }

    fn attempt_mut(&mut self, id: &RequestId, number: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(id)?.attempts.get_mut(number)
    }

    /// Returns the first of an attempt's two machines that is silent: it has never answered, or last before
    /// the attempt was sent and more than SILENT_GAPS of its usual gaps ago.
    fn silent_machine(
        &self,
        now: Millis,
        cache: MachineIndex,
        source: MachineIndex,
        sent_at: Millis,
    ) -> Option<MachineIndex> {
        [cache, source].into_iter().find(|index| {
            let Health { last_answer, answer_gap_ms, .. } = self.machines[*index].health;
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
            let silent_machine =
                |a: &Attempt| self.silent_machine(now, a.cache, a.source, a.sent_at).filter(|_| late(a));
            let silent = pending.attempts.iter().enumerate().find_map(|(n, a)| Some((n, silent_machine(a)?)));
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
        let (left, attempts_made) = (pending.deadline - now, pending.attempts.len());
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
        // While fills are failing, only some are tried; without new results the share withheld halves every
        // second.
        let failing = self.fill_failures.filter(|(share, _)| *share > FILLS_FAILING_SHARE);
        let withhold_share = failing.map_or(0.0, |(share, at)| share * 0.5_f64.powf((now - at) / SECOND_MS));
        // What a slow origin would start too late is only served from copies, which keeps its queue short.
        let ttfbs = self.origin_ttfbs.iter().filter(|(_, at)| now - at <= MEASUREMENT_TTL_MS);
        let mut ttfbs: Vec<Millis> = ttfbs.map(|(ttfb, _)| *ttfb).collect();
        ttfbs.sort_by(f64::total_cmp);
        // Without details, a fill from the origin looks like one from a parent's copy, so many of the times
        // are short: the third shortest counts.
        let ttfb_rank = if self.settings.detail == Detail::All { 0 } else { 2 };
        // The origin's time to first byte, as a share of the time that the latency target leaves for it.
        let origin_wait_share = ttfbs.get(ttfb_rank).copied().unwrap_or(0.0) / (aim - transfer_ms).max(1.0);
        let withhold_share =
            withhold_share.max((origin_wait_share - ORIGIN_SLOW_SHARE) / (1.0 - ORIGIN_SLOW_SHARE));
        let hedge = pending.attempts.iter().any(|a| a.outcome.is_none()); // The origin may be what is slow.
        let cached_only =
            expected_fills > 0.0 && (hedge || self.random_fraction(&request.id) < withhold_share);
        // A full link slows every fill, and the retries keep it full: only copies at the cache are served.
        let lookup_only = expected_fills > 0.0 && self.link_full(transfer_ms);
        // A parent that serves a request directly fills from the origin.
        let picked = if direct { self.listed(Role::Origin).next() } else { picked };
        let (expected_fills, source) =
            if lookup_only { (0.0, cache) } else { (expected_fills, picked.unwrap_or(cache)) };
        let ttfb = self.machines[source].measured.ttfb.map_or(INITIAL_TTFB_MS, |(ms, _)| ms);
        let (expected, slowdown) = (ttfb + transfer_ms, self.predicted_slowdown(now, cache));
        let most = request.max_attempts(self.settings.limits.max_attempts);
        // Several machines answer with an error, and none has served the piece before.
        let unknown = !pending.seen && pending.attempts.iter().filter(|a| failed_by_cache(a)).count() > 1;
        let advised = attempts_made == 0 && request.refuse_retry_after_ms().is_some();
        // What can't be served within the latency target is worth little and slows all other requests.
        let overloaded = transfer_ms * slowdown > aim_left.max(class.aim_ms) && slowdown > CONGESTED_MULTIPLE;
        let not_cached = (lookup_only || cached_only) && missed;
        let send_within = self.send_window(now, pending, cache).ok_or(Refusal::RetryNotAllowed)?;
        let reasons = [
            (advised, Refusal::RefusedByPlugin),
            (attempts_made >= most, Refusal::AttemptsExhausted),
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
        let again = attempts_made + 1 < most && left - attempt_timeout > expected;
        // If cancelling is off, the attempt has a time-out instead of the check for silent machines.
        let cancelling = self.settings.limits.cancelling;
        let timeout_ms = if again && !cancelling { attempt_timeout } else { left };
        let retention = if pending.seen { Retention::Middle } else { Retention::Low };
        let retention = if self.spread_mode(request).is_some() { Retention::High } else { retention };
        let retention =
            if class.uncached || request.object.is_none() { Retention::NoStore } else { retention };
        let fetch = Fetch {
            id: request.id.clone(),
            cache: self.machines[cache].entry.cache.clone(),
            join: self.settings.joins && pending.attempts.iter().all(|a| a.cache != cache),
            background_refresh: class.fresh_ms.is_some(),
            cached_only,
            timeout_ms,
            source: self.machines[source].entry.cache.clone(),
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

    /// Returns the maximum acceptable age of a copy; `None`: any age. Copies from before a purge are
    /// excluded. Stale copies are accepted on a further attempt, and while fills are failing
    /// (FILLS_FAILING_SHARE).
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
        let size_factor = (self.max_class_transfer_ms() / transfer_ms.max(1.0)).sqrt().clamp(0.5, 2.0);
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
    fn link_share(&self, now: Millis, index: MachineIndex) -> Option<f64> {
        let machine = &self.machines[index];
        let link = self.nominal_share(machine).or(machine.measured.link_capacity)?;
        Some((link * self.cold_capacity_share(now, machine).unwrap_or(1.0)).max(0.1))
    }

    /// Returns this router's share of a machine's link by the machine's weight; `None`: weights mean nothing.
    fn nominal_share(&self, machine: &Machine) -> Option<f64> {
        (self.settings.weights != Weights::Unknown)
            .then(|| machine.entry.weight / self.routers_sharing(machine.role))
    }

    /// Returns how many times slower than at full rate a cache would send with one more transfer.
    fn predicted_slowdown(&self, now: Millis, index: MachineIndex) -> f64 {
        let transfers = (self.machines[index].inflight + 1) as f64;
        let max_age = recent(self.report_interval_ms, now).unwrap_or(0.0);
        let busy =
            |(report, at): (LoadReport, Millis)| now - at <= max_age && report.util > Some(BUSY_CPU_SHARE);
        let busy = self.machines[index].measured.report.is_some_and(busy);
        let margin = |share: f64| if busy { 0.0 } else { CHANCE_MARGIN_ROOTS * share.max(1.0).sqrt() };
        self.link_share(now, index).map_or(1.0, |share| ((transfers - margin(share)) / share).max(1.0))
    }

    /// Returns whether a cache has so many transfers that requests pass it over. This is rare, since the next
    /// cache in order has to fill a copy of its own.
    fn passed_over(&self, now: Millis, index: MachineIndex) -> bool {
        let transfers = (self.machines[index].inflight + 1) as f64;
        let margin = if recent(self.fill_failures, now) > Some(FILLS_IMPAIRED_SHARE) {
            2.0 * PASS_OVER_MARGIN
        } else {
            PASS_OVER_MARGIN
        };
        self.link_share(now, index).is_some_and(|share| transfers > CONGESTED_MULTIPLE * (share + margin))
    }

    /// Returns the share of its full capacity that a cold machine has at least; `None`: it is warm.
    fn cold_capacity_share(&self, now: Millis, machine: &Machine) -> Option<f64> {
        let rules = &self.settings.guarantees;
        let (from, span) = match machine.role {
            Role::Edge | Role::RemoteEdge => (rules.cold_start_share, rules.cold_start_ms),
            Role::Parent => (rules.parent_cold_start_share, rules.parent_cold_start_ms),
            Role::Origin => return None,
        };
        let age = (now - machine.started_at?).max(0.0);
        (age < span).then(|| from + (1.0 - from) * age / span)
    }

    /// Returns the transfer time that a cold machine may still be sent; `None`: it is warm. This router's
    /// share accrues over time, is not saved up, and may be overdrawn by one request. Where the weight does
    /// not give the machine's capacity, the peak load of its role stands in for it.
    fn cold_budget_left(&self, now: Millis, index: MachineIndex) -> Option<Millis> {
        let (machine, rules) = (&self.machines[index], &self.settings.guarantees);
        let share = self.cold_capacity_share(now, machine)?;
        let most = if machine.role == Role::Parent {
            rules.parent_overload_multiple
        } else {
            rules.overload_multiple
        };
        let capacity = self.nominal_share(machine).unwrap_or(self.peak_load[machine.role as usize]);
        Some(
            (machine.cold_budget.0
                + COLD_BUDGET_SHARE * most * share * capacity * (now - machine.cold_budget.1))
                .min(0.0),
        )
    }

    fn within_cold_budget(&self, now: Millis, index: MachineIndex) -> bool {
        self.cold_budget_left(now, index).is_none_or(|left| left >= 0.0)
    }

    fn spread_mode(&self, request: &ClientRequest) -> Option<&SpreadMode> {
        self.pieces.get(&piece(request)?)?.spread.as_deref()
    }

    /// Sorts machines by rendezvous hashing in the order of the piece, which is the same at every router.
    fn hash_order(&self, request: &ClientRequest, mut among: Vec<MachineIndex>) -> Vec<MachineIndex> {
        let name = request.object.as_ref().map_or(request.id.as_str(), ObjectId::as_str);
        let key = XxHash64::oneshot(request.piece, name.as_bytes()).to_le_bytes();
        among.sort_by_cached_key(|index| Reverse(XxHash64::oneshot(self.machines[*index].hash, &key)));
        among
    }

    /// Returns whether a machine is neither ejected nor slow.
    fn usable(&self, now: Millis, index: MachineIndex) -> bool {
        self.machines[index].health.ejected_until.is_none_or(|until| now >= until)
            && !self.has_slow_link(now, index)
    }

    /// Returns whether a machine sends far slower than another of its role, so that its link must be
    /// impaired. Machines without a measurement count as sending at full rate.
    fn has_slow_link(&self, now: Millis, index: MachineIndex) -> bool {
        let slowdown = |index: MachineIndex| {
            recent(self.machines[index].measured.slowdown, now).map_or(1.0, |slowdown| slowdown.max(1.0))
        };
        let best = self
            .listed(self.machines[index].role)
            .filter(|other| *other != index)
            .map(slowdown)
            .reduce(f64::min);
        best.is_some_and(|best| slowdown(index) > SLOW_LINK_MULTIPLE * best)
    }

    /// Picks the cache for the next attempt. The usual choice is the home: the first in hash order, after
    /// the plug-ins' preferences. In a spread mode it is an untested peer, else the home or a ready peer in
    /// turn. Ejected and slow caches, and those that failed this request or have an attempt of it in flight,
    /// are only candidates if all are such. Caches without cold-start budget never are. If all candidates
    /// have too many transfers, the one with the least predicted slowdown is picked.
    fn pick_cache(&self, now: Millis, pending: &PendingRequest) -> Option<MachineIndex> {
        let request = &pending.request;
        let listed: Vec<MachineIndex> = self.listed(Role::Edge).collect();
        let usable: Vec<MachineIndex> =
            listed.iter().copied().filter(|index| self.usable(now, *index)).collect();
        let mut order = self.hash_order(request, if usable.is_empty() { listed } else { usable });
        order.sort_by_key(|index| Reverse(request.preference(&self.machines[*index].entry.cache)));
        if let Some(mode) = self.spread_mode(request) {
            let spread = &order[..order.len().min(1 + SPREAD_PEERS)];
            let untested =
                |index: &&MachineIndex| !mode.ready.contains(index) && !mode.on_trial.contains(index);
            let mut ready = spread.to_vec();
            ready.retain(|index| Some(index) == spread.first() || mode.ready.contains(index));
            let turn = ready.get(mode.turn % ready.len().max(1));
            let picked = spread.iter().skip(1).find(untested).or(turn).copied();
            order.sort_by_key(|index| Some(*index) != picked);
        }
        let in_flight = |a: &Attempt, index: MachineIndex| a.outcome.is_none() && a.cache == index;
        let failed = |index: &MachineIndex| {
            pending.attempts.iter().any(|a| a.blamed == Some(*index) || in_flight(a, *index))
        };
        order.sort_by_key(failed);
        let untried = order.iter().position(failed).filter(|count| *count > 0);
        order.truncate(untried.unwrap_or(order.len()));
        order.retain(|index| self.within_cold_budget(now, *index));
        let least = |a: &&MachineIndex, b: &&MachineIndex| {
            self.predicted_slowdown(now, **a).total_cmp(&self.predicted_slowdown(now, **b))
        };
        order.iter().find(|index| !self.passed_over(now, **index)).or(order.iter().min_by(least)).copied()
    }

    /// Picks the source of a fill: of the first two parents in hash order the one with the shorter recent
    /// time to first byte, or else the nearer one. If neither is usable: the piece's home in another
    /// location, once per request and only as a source; then the origin.
    fn pick_source(&self, now: Millis, pending: &PendingRequest, direct: bool) -> Option<MachineIndex> {
        let request = &pending.request;
        let failed = |index: MachineIndex| pending.attempts.iter().any(|a| a.blamed == Some(index));
        let origin =
            self.listed(Role::Origin).min_by_key(|index| (failed(*index), !self.usable(now, *index)));
        let uncached = self.settings.classes.get(request.class).is_some_and(|class| class.uncached);
        let mut parents = self.hash_order(request, self.listed(Role::Parent).collect());
        parents.truncate(2);
        parents.retain(|index| {
            self.usable(now, *index) && !failed(*index) && self.within_cold_budget(now, *index)
        });
        let recent = |index: MachineIndex| recent(self.machines[index].measured.ttfb, now);
        let known: Vec<f64> = parents.iter().filter_map(|index| recent(*index)).collect();
        let average = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let pick = parents.into_iter().min_by(|a, b| {
            let ttfb = |index: MachineIndex| recent(index).unwrap_or(average);
            ttfb(*a)
                .total_cmp(&ttfb(*b))
                .then(self.machines[*a].hub_distance.cmp(&self.machines[*b].hub_distance))
        });
        let pick = if uncached { origin.or(pick) } else { pick };
        // A cache of another location only serves copies that it has, so it is asked once.
        let tried = |a: &Attempt| self.machines[a.source].role == Role::RemoteEdge;
        let may = !direct && self.settings.siblings == Siblings::Any && !pending.attempts.iter().any(tried);
        let fits = |index: &MachineIndex| {
            may && self.usable(now, *index) && self.cold_capacity_share(now, &self.machines[*index]).is_none()
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
        let Measured { ttfb, latest_answers, .. } = &self.machines[source].measured;
        let quick = recent(*ttfb, now).is_none_or(|ms| ms < INITIAL_TTFB_MS)
            && self.predicted_slowdown(now, cache) <= 1.0;
        let later = |(at, took): &&(Millis, Millis)| *at > sent_at && *took < waited;
        let may = self.settings.limits.hedging && repeat == Some(Repeat::Retryable) && !pending.hedged;
        let unusual = latest_answers.iter().all(|(_, took)| *took < waited);
        may && quick
            && unusual
            && self.machines[cache].measured.latest_answers.iter().filter(later).count() > 2
    }

    /// Returns the time within which an attempt may be sent to this cache, infinite unless an earlier
    /// attempt limits it; `None`: it may not be sent, as an earlier one may have run or is in flight. This
    /// is the only check of whether an attempt may repeat an earlier one or overlap it.
    fn send_window(&self, now: Millis, pending: &PendingRequest, cache: MachineIndex) -> Option<Millis> {
        let open = pending.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        let class = self.settings.classes.get(pending.request.class)?;
        let left = pending.attempts.iter().filter(|a| may_have_run(a)).map(|ran| match class.repeat {
            Repeat::Retryable => f64::INFINITY,
            Repeat::Fragile => 0.0,
            Repeat::Dedup { scope, window_ms } => {
                let (a, b) = (&self.machines[ran.cache].entry, &self.machines[cache].entry);
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

    /// Gives the final answer when no further attempt can be made. The request is refused if a repeat is
    /// harmless, as none of its attempts may have run or its class allows a repeat at any cache, else failed.
    fn give_up(&mut self, id: &RequestId, reason: Refusal, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id) else { return };
        let repeat = self.settings.classes.get(pending.request.class).map(|class| class.repeat);
        let repeatable =
            matches!(repeat, Some(Repeat::Retryable | Repeat::Dedup { scope: DedupScope::All, .. }));
        let harmless = repeatable || !pending.attempts.iter().any(may_have_run);
        if !pending.seen && pending.attempts.iter().any(failed_by_cache) {
            // The object may not exist at any machine, so it is neither counted as demand nor remembered.
            piece(&pending.request).into_iter().for_each(|key| self.pieces.remove(&key));
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
        let erring: Vec<MachineIndex> =
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
            self.machines[index].inflight = self.machines[index].inflight.saturating_sub(1);
        }
        // A report with unchanged values counts as old, so that one that is stuck expires.
        let latest = &mut self.machines[cache].measured.report;
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
            self.machines[cache].health.last_answer = Some(now); // Such answers come at once.
        }
        let blame = match result.outcome {
            Outcome::Ok => {
                for index in [Some(cache), Some(source).filter(|_| filled)].into_iter().flatten() {
                    self.machines[index].measured.latest_answers.rotate_right(1);
                    self.machines[index].measured.latest_answers[0] =
                        (sent_at, result.elapsed_ms - transfer_ms);
                }
                self.served_ms[self.machines[cache].role as usize] += transfer_ms;
                self.record_success(now, cache, actions);
                if result.cache_status == Some(CacheStatus::Hit) {
                    let usual = transfer_ms + INITIAL_TTFB_MS / 5.0;
                    record(&mut self.machines[cache].measured.slowdown, now, result.elapsed_ms / usual);
                }
                if filled {
                    let sending = result.elapsed_ms - result.source_ttfb_ms.unwrap_or(0.0);
                    self.served_ms[self.machines[source].role as usize] += transfer_ms;
                    self.record_success(now, source, actions);
                    let ttfb = result.source_ttfb_ms.unwrap_or((result.elapsed_ms - transfer_ms).max(0.0));
                    record(&mut self.machines[source].measured.ttfb, now, ttfb);
                    if result.cache_status == Some(CacheStatus::FilledFromOrigin)
                        || no_detail && result.cache_status.is_some()
                    {
                        self.origin_ttfbs.rotate_right(1);
                        self.origin_ttfbs[0] = (ttfb, now);
                    }
                    if measurable && expected_fills > 0.0 && result.source_ttfb_ms.is_some() {
                        learn_capacity(&mut self.fill_capacity, transfer_ms, sending, self.open_fills + 1.0);
                        record(&mut self.machines[source].measured.slowdown, now, sending / transfer_ms);
                    }
                } else if measurable {
                    let machine = &mut self.machines[cache];
                    learn_capacity(
                        &mut machine.measured.link_capacity,
                        transfer_ms,
                        result.elapsed_ms,
                        machine.inflight as f64 + 1.0,
                    );
                }
                None
            }
            Outcome::Full | Outcome::Error if by_source => Some(source),
            Outcome::Full => Some(cache),
            Outcome::Timeout => self.silent_machine(now, cache, source, sent_at),
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
                result.outcome == Outcome::Reset && self.machines[index].health.last_reset > Some(sent_at);
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

    /// Updates the ready peers of a spread mode at the end of an attempt. A peer on trial becomes ready when
    /// it has served, even if by a fill. A ready peer is removed by any outcome but `Ok`, and if it has
    /// served by a fill (`missed`), as it had no copy.
    fn update_peer(&mut self, key: Option<&Piece>, cache: MachineIndex, outcome: Outcome, missed: bool) {
        let Some(spread) = key.and_then(|key| self.pieces.get_mut(key)?.spread.as_mut()) else { return };
        let on_trial = spread.on_trial.contains(&cache);
        spread.on_trial.retain(|index| *index != cache);
        if outcome == Outcome::Ok && on_trial && !spread.ready.contains(&cache) {
            spread.ready.push(cache);
        } else if outcome != Outcome::Ok || missed {
            spread.ready.retain(|index| *index != cache);
        }
    }

    /// Records that a machine has served an attempt, or has started to, which ends its ejection.
    fn record_success(&mut self, now: Millis, index: MachineIndex, actions: &mut Vec<Action>) {
        let health = &mut self.machines[index].health;
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
                self.machines[index].started_at = Some(now);
                self.start_cold(now, index);
            }
            actions.push(Action::Log(format!("{} is back", self.machines[index].entry.cache)));
        }
    }

    /// Records a failure of a machine. A rejection because it or its source is full is no failure, unless it
    /// is one of many in a row from an edge cache.
    fn record_failure(
        &mut self,
        now: Millis,
        index: MachineIndex,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Machine { health, role, .. } = &mut self.machines[index];
        let weight = match outcome {
            // An edge cache that rejects everything is draining, and the list does not show it yet.
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
            actions.push(Action::Log(format!("{} ejected", self.machines[index].entry.cache)));
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
