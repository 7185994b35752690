//! The address book: each machine's endpoints, whose each is, and what is known of each path.

use super::{AddressSettings, Endpoint, MAX_ENDPOINTS};
use crate::api::{CacheId, Millis, Phase};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use twox_hash::XxHash64;

/// Weight of the newest connect time in the decaying mean.
const NEWEST_CONNECT_WEIGHT: f64 = 0.25;
/// The delay before the next dial is this many mean connect times.
const DELAY_IN_CONNECTS: f64 = 4.0;
/// A pause is longer or shorter than its nominal length by up to this share, so that paths that fell together
/// aren't tried again together, by all routers at once.
const PAUSE_JITTER: f64 = 0.25;
/// A path that was proved so lately may be dialled for two connections at once.
const RECENT_ANSWER_MS: Millis = 10_000.0;
/// How soon a path is looked at again that was due for a trial and couldn't have it.
const TRIAL_RECHECK_MS: Millis = 50.0;

/// How a path failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointFailure {
    /// Nobody listens there, or the path doesn't exist or may not be used.
    Refused,
    /// It was not up when the whole bound was over.
    NotUp,
    /// Another path, dialled later, was up first; or this one had to make room.
    Overtaken,
    /// It was up, something was asked, and nothing came.
    Unresponsive,
    /// It broke, or stopped short, under what was on it.
    Broken,
    /// Somebody else answers there.
    WrongName,
    /// No route leads there.
    Unreachable,
}

impl fmt::Display for EndpointFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::NotUp => "not up in time",
            Self::Overtaken => "another path was up first",
            Self::Unresponsive => "up and mute",
            Self::Broken => "broken",
            Self::WrongName => "somebody else answers there",
            Self::Unreachable => "no route leads there",
        })
    }
}

/// What the notice board says of a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Its state.
    pub phase: Phase,
    /// Where it listens; `None`: nowhere any more.
    pub address: Option<SocketAddr>,
    /// Until when it is cold, on the monotonic clock.
    pub cold_until: Option<Millis>,
}

/// One way to a machine.
#[derive(Clone, Debug)]
struct EndpointState {
    endpoint: Endpoint,
    /// The number of the claim by which its machine holds it: the higher, the newer.
    claim: u64,
    /// When something was last answered over it.
    answered_at: Option<Millis>,
    /// Failures since then.
    failures: u32,
    /// Decaying mean of the time to connect.
    connect_ms: Option<Millis>,
    /// It is left alone until then.
    paused_until: Millis,
    /// Somebody else answered there: until the pause is over it is no way at all.
    wrong_name: bool,
    /// An attempt at it by itself is under way.
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

/// Each machine's endpoints. As many machines as are listed, [`MAX_ENDPOINTS`] to each; all that is known of a
/// machine is forgotten with it.
#[derive(Debug)]
pub struct AddressTable {
    settings: Option<AddressSettings>,
    seed: u64,
    machines: BTreeMap<CacheId, Machine>,
    claimants: HashMap<Endpoint, BTreeSet<CacheId>>,
    last_claim: u64,
    failure_count: u64,
    /// No trial is due before then.
    next_trial_check: Millis,
}

impl AddressTable {
    /// An empty one; `seed` draws the jitter.
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

    /// Whether machines may have more than the notice board's address.
    pub fn settings(&self) -> Option<&AddressSettings> {
        self.settings.as_ref()
    }

    /// Takes over other rules: endpoints come and go, what is known of those that stay is kept.
    pub fn set_settings(&mut self, settings: Option<AddressSettings>) {
        self.settings = settings;
        let all: Vec<CacheId> = self.machines.keys().cloned().collect();
        all.iter().for_each(|machine_id| self.rebuild_endpoints(machine_id, false));
    }

    /// The notice board has spoken of a machine.
    pub fn update_listing(&mut self, machine_id: &CacheId, listing: Listing) {
        let known = self.machines.get(machine_id);
        let began =
            known.is_some_and(|m| m.listing.phase != Phase::Serving) && listing.phase == Phase::Serving;
        let states = known.map_or(Vec::new(), |machine| machine.endpoints.clone());
        // One that is gone says no address; a leaving one may go on under its last.
        self.machines.insert(machine_id.clone(), Machine { listing, endpoints: states });
        self.rebuild_endpoints(machine_id, began);
    }

    /// A machine is forgotten, with all its paths.
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

    /// Rebuilds a machine's paths. `anew`: it claims them all anew.
    fn rebuild_endpoints(&mut self, machine_id: &CacheId, anew: bool) {
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
            if state.claim == 0 || anew {
                self.last_claim += 1;
                state.claim = self.last_claim;
            }
            self.claimants.entry(state.endpoint.clone()).or_default().insert(machine_id.clone());
            states.push(state);
        }
        machine.endpoints = states;
        self.machines.insert(machine_id.clone(), machine);
    }

    /// Whose an endpoint is: while a claimant drains, nobody's; else the newest active claim's.
    ///
    /// A claim is settled when the board says that the draining machine has left, or lists it elsewhere: until
    /// then what answers there may still be the draining one.
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
            return true; // The board alone says who listens where, as before there was a book.
        }
        !(state.wrong_name && now < state.paused_until) && self.owner(&state.endpoint) == Some(machine_id)
    }

    /// Where a new connection may be dialled, best first: paths that work, in the stated order. Where none
    /// does, those that failed, the one whose pause ends first before the others, so that a machine whose only
    /// way is back is found.
    pub fn candidates(&self, now: Millis, machine_id: &CacheId) -> Vec<Endpoint> {
        let Some(machine) = self.machines.get(machine_id) else { return Vec::new() };
        if machine.listing.phase != Phase::Serving {
            return Vec::new();
        }
        let allowed = || machine.endpoints.iter().filter(|state| self.may_use(now, machine_id, state));
        let good: Vec<Endpoint> =
            allowed().filter(|state| state.is_working()).map(|state| state.endpoint.clone()).collect();
        if !good.is_empty() {
            return good;
        }
        let mut rest: Vec<&EndpointState> = allowed().collect();
        rest.sort_by(|a, b| a.paused_until.total_cmp(&b.paused_until));
        rest.into_iter().map(|state| state.endpoint.clone()).collect()
    }

    /// Whether a connection that is up may be given something new.
    pub fn accepts_requests(&self, now: Millis, machine_id: &CacheId, endpoint: &Endpoint) -> bool {
        if self.settings.is_none() {
            return true; // One over an address that is gone has been retired.
        }
        let Some(machine) = self.machines.get(machine_id) else { return false };
        let Some(state) = machine.endpoints.iter().find(|state| state.endpoint == *endpoint) else {
            return false;
        };
        let other = || machine.endpoints.iter().any(|p| p.is_working() && self.may_use(now, machine_id, p));
        self.may_use(now, machine_id, state) && (state.is_working() || !other())
    }

    /// Whether a serving machine may be dialled there, whatever is known of the path.
    pub fn may_dial(&self, now: Millis, machine_id: &CacheId, endpoint: &Endpoint) -> bool {
        let machine = self.machines.get(machine_id).filter(|m| m.listing.phase == Phase::Serving);
        let state = machine.and_then(|m| m.endpoints.iter().find(|state| state.endpoint == *endpoint));
        state.is_some_and(|state| self.may_use(now, machine_id, state))
    }

    /// An endpoint's place in the stated order.
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

    /// Whether a machine is cold: each handshake is work for it.
    pub fn is_cold(&self, now: Millis, machine_id: &CacheId) -> bool {
        let machine = self.machines.get(machine_id);
        machine.and_then(|machine| machine.listing.cold_until).is_some_and(|until| now < until)
    }

    /// Dials that may be open for a machine: one while it is cold.
    pub fn max_dials(&self, now: Millis, machine_id: &CacheId) -> usize {
        match &self.settings {
            None => usize::MAX,
            Some(_) if self.is_cold(now, machine_id) => 1,
            Some(settings) => settings.max_dials_per_machine,
        }
    }

    /// Connections to a machine that may be dialled at once: two only where the best path was proved lately.
    pub fn max_races(&self, now: Millis, machine_id: &CacheId) -> usize {
        if self.settings.is_none() {
            return usize::MAX;
        }
        let best = self.candidates(now, machine_id).into_iter().next();
        let machine = self.machines.get(machine_id);
        let state =
            machine.and_then(|m| m.endpoints.iter().find(|state| Some(&state.endpoint) == best.as_ref()));
        let proved = state.filter(|state| state.is_working()).and_then(|state| state.answered_at);
        if proved.is_some_and(|at| now - at < RECENT_ANSWER_MS) {
            self.max_dials(now, machine_id)
        } else {
            1
        }
    }

    /// How long a dial goes on alone before the next path is tried beside it.
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

    /// A connection is up. That proves little: only an answer shows that the path works.
    pub fn record_connected(&mut self, machine_id: &CacheId, endpoint: &Endpoint, took_ms: Millis) {
        if let Some(state) = self.endpoint_mut(machine_id, endpoint) {
            state.connect_ms =
                Some(state.connect_ms.map_or(took_ms, |ms| ms + NEWEST_CONNECT_WEIGHT * (took_ms - ms)));
        }
    }

    /// A request was answered over it: it works. A greeting that is answered shows less: who is there.
    pub fn record_answer(&mut self, now: Millis, machine_id: &CacheId, endpoint: &Endpoint) {
        if let Some(state) = self.endpoint_mut(machine_id, endpoint) {
            (state.answered_at, state.failures, state.paused_until) = (Some(now), 0, 0.0);
            (state.wrong_name, state.trial_running) = (false, false);
        }
    }

    /// It failed: it is left alone for a while, twice as long with each failure in a row. Connections that fall
    /// together count once. When it is to be tried again; `None`: this was known, or there is no such path.
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
        let drawn = XxHash64::oneshot(seed, &count.to_le_bytes()) as f64 / u64::MAX as f64;
        let pause = nominal * (1.0 + PAUSE_JITTER * (2.0 * drawn - 1.0));
        state.failures += 1;
        state.paused_until = now + pause;
        self.next_trial_check = self.next_trial_check.min(now + pause);
        self.failure_count += 1;
        Some(now + pause)
    }

    /// Paths whose pause is over, to be tried by one connection that carries nothing for a client: one at a time
    /// for a machine, and none while it is cold. Where no path works, requests themselves find the way back.
    pub fn start_trials(&mut self, now: Millis) -> Vec<(CacheId, Endpoint)> {
        if self.settings.is_none() || now < self.next_trial_check {
            return Vec::new();
        }
        let trial_candidates = || self.trial_candidates();
        let due: Vec<(CacheId, Endpoint)> = trial_candidates()
            .filter(|(.., at)| *at <= now)
            .map(|(m, e, _)| (m.clone(), e.clone()))
            .collect();
        // What can't be tried now, since another path of its machine is, is looked at again shortly.
        let next = |at: Millis| if at > now { at } else { now + TRIAL_RECHECK_MS };
        self.next_trial_check = trial_candidates().map(|(.., at)| next(at)).fold(f64::INFINITY, f64::min);
        let mut trials = Vec::new();
        for (machine_id, endpoint) in due {
            let busy = self
                .machines
                .get(&machine_id)
                .is_some_and(|m| m.endpoints.iter().any(|state| state.trial_running));
            if busy || !self.may_dial(now, &machine_id, &endpoint) {
                continue;
            }
            if let Some(state) = self.endpoint_mut(&machine_id, &endpoint) {
                state.trial_running = true;
                trials.push((machine_id, endpoint));
            }
        }
        trials
    }

    /// A trial could not be begun, or ended without a word about its path.
    pub fn end_trial(&mut self, now: Millis, machine_id: &CacheId, endpoint: &Endpoint) {
        if let Some(state) = self.endpoint_mut(machine_id, endpoint) {
            state.trial_running = false;
            self.next_trial_check = self.next_trial_check.min(now + TRIAL_RECHECK_MS);
        }
    }

    /// Paths that failed and could be tried by themselves, and from when.
    fn trial_candidates(&self) -> impl Iterator<Item = (&CacheId, &Endpoint, Millis)> {
        let serving = self.machines.iter().filter(|(_, m)| m.listing.phase == Phase::Serving);
        let useful = serving
            .filter(|(_, m)| m.endpoints.len() > 1 && m.endpoints.iter().any(EndpointState::is_working));
        useful.flat_map(|(machine_id, machine)| {
            let from = machine.listing.cold_until.unwrap_or(0.0);
            let resting =
                machine.endpoints.iter().filter(|state| !state.is_working() && !state.trial_running);
            resting.map(move |state| (machine_id, &state.endpoint, state.paused_until.max(from)))
        })
    }

    /// When to ask for trials next.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.settings.as_ref()?;
        Some(self.next_trial_check).filter(|at| at.is_finite())
    }

    /// Machines there are, and paths of theirs that failed lately.
    pub fn counts(&self) -> (usize, usize) {
        let failed =
            self.machines.values().flat_map(|m| &m.endpoints).filter(|state| !state.is_working()).count();
        (self.machines.len(), failed)
    }
}
