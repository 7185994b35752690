//! The table of the machines' addresses: each machine's endpoints, which machine owns an endpoint, and the
//! state of each.

use super::{AddressSettings, Endpoint, MAX_ENDPOINTS};
use crate::api::{CacheId, Millis, Phase};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use twox_hash::XxHash64;

/// Weight of the newest connect time in the decaying mean.
const NEWEST_CONNECT_WEIGHT: f64 = 0.25;
/// The delay before the next dial of a race is this many mean connect times.
const DELAY_IN_CONNECTS: f64 = 4.0;
/// Random share by which a pause is longer or shorter than nominal. Without it, all routers would retry
/// endpoints that failed together at the same time.
const PAUSE_JITTER: f64 = 0.25;
/// An endpoint that answered within this time may be dialed for two connections at once.
const RECENT_ANSWER_MS: Millis = 10_000.0;
/// How soon an endpoint is considered again if its trial could not start when it was due.
const TRIAL_RECHECK_MS: Millis = 50.0;

/// How an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointFailure {
    /// Nothing listens there, or the address doesn't exist or may not be used.
    Refused,
    /// The dial was not connected at the race's deadline.
    ConnectTimeout,
    /// Another endpoint, dialed later, connected first, or this dial was closed to make room.
    Overtaken,
    /// The connection was up, a request was sent, and nothing was received.
    Unresponsive,
    /// The connection broke, or an answer stopped short.
    Broken,
    /// Another machine answers there.
    WrongName,
    /// There is no route to the endpoint.
    Unreachable,
}

/// These texts are values of the field `outcome` of JSON log lines, which tools match.
impl fmt::Display for EndpointFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::ConnectTimeout => "not up in time",
            Self::Overtaken => "another path was up first",
            Self::Unresponsive => "up and mute",
            Self::Broken => "broken",
            Self::WrongName => "somebody else answers there",
            Self::Unreachable => "no route leads there",
        })
    }
}

/// What the discovery service announces about a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The machine's state.
    pub phase: Phase,
    /// The listening address; `None` once the machine is gone.
    pub address: Option<SocketAddr>,
    /// End of the machine's cold start, on the monotonic clock.
    pub cold_until: Option<Millis>,
}

/// State of one endpoint of a machine.
#[derive(Clone, Debug)]
struct EndpointState {
    endpoint: Endpoint,
    /// Number of the claim by which the machine holds this endpoint; newer claims have higher numbers.
    claim: u64,
    /// When a request or probe was last answered over it.
    answered_at: Option<Millis>,
    /// Failures since then.
    failures: u32,
    /// Decaying mean of the time to connect.
    connect_ms: Option<Millis>,
    /// End of the pause after a failure.
    paused_until: Millis,
    /// Another machine answered there: the endpoint is not used at all until the pause ends.
    wrong_name: bool,
    /// Whether a trial of this endpoint is running.
    trial_running: bool,
}

impl EndpointState {
    fn new(endpoint: Endpoint, claim: u64) -> Self {
        Self {
            endpoint,
            claim,
            answered_at: None,
            failures: 0,
            connect_ms: None,
            paused_until: 0.0,
            wrong_name: false,
            trial_running: false,
        }
    }

    fn is_working(&self) -> bool {
        self.failures == 0
    }
}

#[derive(Clone, Debug)]
struct Machine {
    listing: Listing,
    endpoints: Vec<EndpointState>,
}

/// The endpoints of all listed machines, up to [`MAX_ENDPOINTS`] each. Removing a machine removes all that is
/// known of it.
#[derive(Debug)]
pub struct AddressTable {
    settings: Option<AddressSettings>,
    seed: u64,
    machines: BTreeMap<CacheId, Machine>,
    claimants: HashMap<Endpoint, BTreeSet<CacheId>>,
    last_claim: u64,
    failure_count: u64,
    /// No trial is due before this time.
    next_trial_check: Millis,
}

impl AddressTable {
    /// Creates an empty table; `seed` determines the jitter of pauses.
    pub fn new(settings: Option<AddressSettings>, seed: u64) -> Self {
        let (machines, claimants) = (BTreeMap::new(), HashMap::new());
        Self {
            settings,
            seed,
            machines,
            claimants,
            last_claim: 0,
            failure_count: 0,
            next_trial_check: f64::INFINITY,
        }
    }

    /// Returns the address settings; `None` if machines have only their announced address.
    pub fn settings(&self) -> Option<&AddressSettings> {
        self.settings.as_ref()
    }

    /// Takes over new settings. Endpoints are added and removed; the state of the others is kept.
    pub fn set_settings(&mut self, settings: Option<AddressSettings>) {
        self.settings = settings;
        let all: Vec<CacheId> = self.machines.keys().cloned().collect();
        all.iter().for_each(|machine_id| self.rebuild_endpoints(machine_id, false));
    }

    /// Takes over what the discovery service announced about a machine.
    pub fn update_listing(&mut self, machine_id: &CacheId, listing: Listing) {
        let known = self.machines.get(machine_id);
        let resumed =
            known.is_some_and(|m| m.listing.phase != Phase::Serving) && listing.phase == Phase::Serving;
        let states = known.map_or(Vec::new(), |machine| machine.endpoints.clone());
        // A deleted machine has no address; a draining one may still be announced with its last.
        self.machines.insert(machine_id.clone(), Machine { listing, endpoints: states });
        self.rebuild_endpoints(machine_id, resumed);
    }

    /// Removes a machine with all its endpoints.
    pub fn forget_machine(&mut self, machine_id: &CacheId) {
        if let Some(machine) = self.machines.remove(machine_id) {
            machine.endpoints.iter().for_each(|state| self.remove_claim(&state.endpoint, machine_id));
        }
    }

    fn remove_claim(&mut self, endpoint: &Endpoint, machine_id: &CacheId) {
        if let Some(all) = self.claimants.get_mut(endpoint) {
            all.remove(machine_id);
            if all.is_empty() {
                self.claimants.remove(endpoint);
            }
        }
    }

    /// Rebuilds a machine's endpoints. With `renew_claims`, the machine claims all of them anew.
    fn rebuild_endpoints(&mut self, machine_id: &CacheId, renew_claims: bool) {
        let Some(mut machine) = self.machines.remove(machine_id) else { return };
        self.next_trial_check = 0.0;
        let mut endpoints: Vec<Endpoint> = Vec::new();
        if machine.listing.phase != Phase::Deleted {
            let announced = machine.listing.address.map(Endpoint::from);
            if let Some(settings) = &self.settings {
                let own = settings.machines.get(machine_id.as_str()).into_iter().flatten().cloned();
                let all: Vec<Endpoint> = own.chain(announced).collect();
                for family in &settings.family_order {
                    endpoints.extend(all.iter().filter(|e| e.family() == *family).cloned());
                }
            } else {
                endpoints.extend(announced);
            }
        }
        let mut seen = BTreeSet::new();
        endpoints.retain(|endpoint| seen.insert(endpoint.clone()));
        endpoints.truncate(MAX_ENDPOINTS);
        for state in machine.endpoints.iter().filter(|state| !endpoints.contains(&state.endpoint)) {
            self.remove_claim(&state.endpoint, machine_id);
        }
        let mut states = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let old = machine.endpoints.iter().position(|state| state.endpoint == endpoint);
            let mut state = match old {
                Some(at) => machine.endpoints.swap_remove(at),
                None => EndpointState::new(endpoint, 0),
            };
            if state.claim == 0 || renew_claims {
                self.last_claim += 1;
                state.claim = self.last_claim;
            }
            self.claimants.entry(state.endpoint.clone()).or_default().insert(machine_id.clone());
            states.push(state);
        }
        machine.endpoints = states;
        self.machines.insert(machine_id.clone(), machine);
    }

    /// Returns the owner of an endpoint: none while any machine that claims it drains, otherwise the machine
    /// with the newest claim.
    ///
    /// While a claimant drains, whatever answers at the endpoint may still be that machine. The discovery
    /// service settles the matter by announcing that the machine has left, or that it has another address.
    pub fn owner(&self, endpoint: &Endpoint) -> Option<&CacheId> {
        let claimants = self.claimants.get(endpoint)?;
        let claims = claimants.iter().filter_map(|machine_id| {
            let machine = self.machines.get(machine_id)?;
            let state = machine.endpoints.iter().find(|state| state.endpoint == *endpoint)?;
            Some((state.claim, machine.listing.phase, machine_id))
        });
        let claims: Vec<(u64, Phase, &CacheId)> = claims.collect();
        if claims.iter().any(|(_, phase, _)| *phase != Phase::Serving) {
            return None;
        }
        claims.into_iter().max_by_key(|(claim, ..)| *claim).map(|(.., machine_id)| machine_id)
    }

    fn may_use(&self, now: Millis, machine_id: &CacheId, state: &EndpointState) -> bool {
        if self.settings.is_none() {
            return true; // Without settings, the announced address is used as it is.
        }
        !(state.wrong_name && now < state.paused_until) && self.owner(&state.endpoint) == Some(machine_id)
    }

    /// Returns the endpoints to dial for a new connection, best first: those that work, in the configured
    /// order. If none works, returns the failed ones, the one whose pause ends first before the others, so
    /// that a machine with a single working endpoint is found again.
    pub fn candidates(&self, now: Millis, machine_id: &CacheId) -> Vec<Endpoint> {
        let Some(machine) = self.machines.get(machine_id) else { return Vec::new() };
        if machine.listing.phase != Phase::Serving {
            return Vec::new();
        }
        let allowed = || machine.endpoints.iter().filter(|state| self.may_use(now, machine_id, state));
        let working: Vec<Endpoint> =
            allowed().filter(|state| state.is_working()).map(|state| state.endpoint.clone()).collect();
        if !working.is_empty() {
            return working;
        }
        let mut failed: Vec<&EndpointState> = allowed().collect();
        failed.sort_by(|a, b| a.paused_until.total_cmp(&b.paused_until));
        failed.into_iter().map(|state| state.endpoint.clone()).collect()
    }

    /// Whether a connection over this endpoint may be given a new request.
    pub fn accepts_requests(&self, now: Millis, machine_id: &CacheId, endpoint: &Endpoint) -> bool {
        if self.settings.is_none() {
            return true; // Connections over removed addresses are retired.
        }
        let Some(machine) = self.machines.get(machine_id) else { return false };
        let Some(state) = machine.endpoints.iter().find(|state| state.endpoint == *endpoint) else {
            return false;
        };
        let other = || machine.endpoints.iter().any(|p| p.is_working() && self.may_use(now, machine_id, p));
        self.may_use(now, machine_id, state) && (state.is_working() || !other())
    }

    /// Whether the machine is serving and owns the endpoint, whatever state the endpoint is in.
    pub fn may_dial(&self, now: Millis, machine_id: &CacheId, endpoint: &Endpoint) -> bool {
        let machine = self.machines.get(machine_id).filter(|m| m.listing.phase == Phase::Serving);
        let state = machine.and_then(|m| m.endpoints.iter().find(|state| state.endpoint == *endpoint));
        state.is_some_and(|state| self.may_use(now, machine_id, state))
    }

    /// Returns the position of an endpoint in the configured order.
    pub fn preference(&self, machine_id: &CacheId, endpoint: &Endpoint) -> usize {
        if self.settings.is_none() {
            return 0;
        }
        let states = self.machines.get(machine_id).map_or(&[][..], |machine| &machine.endpoints);
        states.iter().position(|state| state.endpoint == *endpoint).unwrap_or(states.len())
    }

    /// Whether an endpoint is still one of a machine's.
    pub fn contains(&self, machine_id: &CacheId, endpoint: &Endpoint) -> bool {
        let machine = self.machines.get(machine_id);
        machine.is_some_and(|machine| machine.endpoints.iter().any(|state| state.endpoint == *endpoint))
    }

    /// Whether a machine is in its cold start, when each handshake costs it work.
    pub fn is_cold(&self, now: Millis, machine_id: &CacheId) -> bool {
        let machine = self.machines.get(machine_id);
        machine.and_then(|machine| machine.listing.cold_until).is_some_and(|until| now < until)
    }

    /// Returns how many dials may be open for a machine: one while it is cold.
    pub fn max_dials(&self, now: Millis, machine_id: &CacheId) -> usize {
        match &self.settings {
            None => usize::MAX,
            Some(_) if self.is_cold(now, machine_id) => 1,
            Some(settings) => settings.max_dials_per_machine,
        }
    }

    /// Returns how many connections to a machine may be dialed at once: more than one only if the best
    /// endpoint answered recently.
    pub fn max_races(&self, now: Millis, machine_id: &CacheId) -> usize {
        if self.settings.is_none() {
            return usize::MAX;
        }
        let best = self.candidates(now, machine_id).into_iter().next();
        let machine = self.machines.get(machine_id);
        let state =
            machine.and_then(|m| m.endpoints.iter().find(|state| Some(&state.endpoint) == best.as_ref()));
        let answered_at = state.filter(|state| state.is_working()).and_then(|state| state.answered_at);
        if answered_at.is_some_and(|at| now - at < RECENT_ANSWER_MS) {
            self.max_dials(now, machine_id)
        } else {
            1
        }
    }

    /// Returns how long a dial runs alone before the next endpoint is dialed as well.
    pub fn attempt_delay_ms(&self, machine_id: &CacheId, first: Option<&Endpoint>) -> Millis {
        let Some(settings) = &self.settings else { return Millis::INFINITY };
        let machine = self.machines.get(machine_id);
        let state = machine.and_then(|m| m.endpoints.iter().find(|state| Some(&state.endpoint) == first));
        let (least, most) = settings.attempt_delay_ms;
        state
            .and_then(|state| state.connect_ms)
            .map_or(most, |ms| (DELAY_IN_CONNECTS * ms).clamp(least, most))
    }

    fn endpoint_mut(&mut self, machine_id: &CacheId, endpoint: &Endpoint) -> Option<&mut EndpointState> {
        self.machines.get_mut(machine_id)?.endpoints.iter_mut().find(|state| state.endpoint == *endpoint)
    }

    /// Records a connection. A connection proves little: only an answer shows that the endpoint works.
    pub fn record_connected(&mut self, machine_id: &CacheId, endpoint: &Endpoint, took_ms: Millis) {
        if let Some(state) = self.endpoint_mut(machine_id, endpoint) {
            state.connect_ms =
                Some(state.connect_ms.map_or(took_ms, |ms| ms + NEWEST_CONNECT_WEIGHT * (took_ms - ms)));
        }
    }

    /// Records an answered request or probe, which shows that the endpoint works. The answer to a greeting
    /// does not count: it shows only which machine is there.
    pub fn record_answer(&mut self, now: Millis, machine_id: &CacheId, endpoint: &Endpoint) {
        if let Some(state) = self.endpoint_mut(machine_id, endpoint) {
            (state.answered_at, state.failures, state.paused_until) = (Some(now), 0, 0.0);
            (state.wrong_name, state.trial_running) = (false, false);
        }
    }

    /// Records a failure and pauses the endpoint, twice as long with each failure in a row. Connections that
    /// fail together count once. Returns the end of the pause, or `None` if the endpoint is paused already or
    /// unknown.
    pub fn record_failure(
        &mut self,
        now: Millis,
        machine_id: &CacheId,
        endpoint: &Endpoint,
        why: EndpointFailure,
    ) -> Option<Millis> {
        let (first, most) = self.settings.as_ref()?.pause_ms;
        let (seed, count) = (self.seed, self.failure_count);
        let state = self.endpoint_mut(machine_id, endpoint)?;
        state.trial_running = false;
        state.wrong_name |= why == EndpointFailure::WrongName;
        if now < state.paused_until {
            return None;
        }
        let nominal = (first * 2.0_f64.powi(state.failures.min(30) as i32)).min(most);
        let random = XxHash64::oneshot(seed, &count.to_le_bytes()) as f64 / u64::MAX as f64;
        let pause = nominal * (1.0 + PAUSE_JITTER * (2.0 * random - 1.0));
        state.failures += 1;
        state.paused_until = now + pause;
        self.next_trial_check = self.next_trial_check.min(now + pause);
        self.failure_count += 1;
        Some(now + pause)
    }

    /// Starts the trials that are due: each tests an endpoint after its pause by one connection that carries
    /// no request at first. One trial per machine runs at a time, and none while the machine is cold. If no
    /// endpoint of a machine works, requests find the working one again by themselves.
    pub fn start_trials(&mut self, now: Millis) -> Vec<(CacheId, Endpoint)> {
        if self.settings.is_none() || now < self.next_trial_check {
            return Vec::new();
        }
        let trial_candidates = || self.trial_candidates();
        let due: Vec<(CacheId, Endpoint)> = trial_candidates()
            .filter(|(.., at)| *at <= now)
            .map(|(m, e, _)| (m.clone(), e.clone()))
            .collect();
        // A trial that can't start because another one of the machine is running is considered again shortly.
        let next = |at: Millis| if at > now { at } else { now + TRIAL_RECHECK_MS };
        self.next_trial_check = trial_candidates().map(|(.., at)| next(at)).fold(f64::INFINITY, f64::min);
        let mut trials = Vec::new();
        for (machine_id, endpoint) in due {
            let trial_running = self
                .machines
                .get(&machine_id)
                .is_some_and(|m| m.endpoints.iter().any(|state| state.trial_running));
            if trial_running || !self.may_dial(now, &machine_id, &endpoint) {
                continue;
            }
            if let Some(state) = self.endpoint_mut(&machine_id, &endpoint) {
                state.trial_running = true;
                trials.push((machine_id, endpoint));
            }
        }
        trials
    }

    /// Ends a trial that could not start, or that ended without showing anything about its endpoint.
    pub fn end_trial(&mut self, now: Millis, machine_id: &CacheId, endpoint: &Endpoint) {
        if let Some(state) = self.endpoint_mut(machine_id, endpoint) {
            state.trial_running = false;
            self.next_trial_check = self.next_trial_check.min(now + TRIAL_RECHECK_MS);
        }
    }

    /// Returns the failed endpoints that may be tested by a trial, and from when.
    fn trial_candidates(&self) -> impl Iterator<Item = (&CacheId, &Endpoint, Millis)> {
        let serving = self.machines.iter().filter(|(_, m)| m.listing.phase == Phase::Serving);
        let testable = serving
            .filter(|(_, m)| m.endpoints.len() > 1 && m.endpoints.iter().any(EndpointState::is_working));
        testable.flat_map(|(machine_id, machine)| {
            let from = machine.listing.cold_until.unwrap_or(0.0);
            let resting =
                machine.endpoints.iter().filter(|state| !state.is_working() && !state.trial_running);
            resting.map(move |state| (machine_id, &state.endpoint, state.paused_until.max(from)))
        })
    }

    /// Returns when trials must be checked next.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.settings.as_ref()?;
        Some(self.next_trial_check).filter(|at| at.is_finite())
    }

    /// Returns the number of machines, and the number of endpoints that are failed at present.
    pub fn counts(&self) -> (usize, usize) {
        let failed =
            self.machines.values().flat_map(|m| &m.endpoints).filter(|state| !state.is_working()).count();
        (self.machines.len(), failed)
    }
}
