//! The address book: each machine's endpoints, whose each is, and what is known of each path.

use super::{Endpoint, Rules, MAX_ENDPOINTS};
use crate::api::{CacheId, Millis, Phase};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use twox_hash::XxHash64;

/// Weight of the newest connect time in the decaying mean.
const NEWEST: f64 = 0.25;
/// The delay before the next dial is this many mean connect times.
const DELAY_IN_CONNECTS: f64 = 4.0;
/// A pause is longer or shorter than its nominal length by up to this share, so that paths that fell together
/// aren't tried again together, by all routers at once.
const JITTER: f64 = 0.25;
/// A path that was proved so lately may be dialled for two connections at once.
const PROVED_MS: Millis = 10_000.0;
/// How soon a path is looked at again that was due for a trial and couldn't have it.
const LOOK_AGAIN_MS: Millis = 50.0;

/// How a path failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nobody listens there, or the path doesn't exist or may not be used.
    Refused,
    /// It was not up when the whole bound was over.
    NotUp,
    /// Another path, dialled later, was up first; or this one had to make room.
    Overtaken,
    /// It was up, something was asked, and nothing came.
    Mute,
    /// It broke, or stopped short, under what was on it.
    Broken,
    /// Somebody else answers there.
    WrongName,
    /// No route leads there.
    Unreachable,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::NotUp => "not up in time",
            Self::Overtaken => "another path was up first",
            Self::Mute => "up and mute",
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
struct Path {
    endpoint: Endpoint,
    /// The number of the claim by which its machine holds it: the higher, the newer.
    claim: u64,
    /// When something was last answered over it.
    proved: Option<Millis>,
    /// Failures since then.
    failures: u32,
    /// Decaying mean of the time to connect.
    connect_ms: Option<Millis>,
    /// It is left alone until then.
    paused_until: Millis,
    /// Somebody else answered there: until the pause is over it is no way at all.
    barred: bool,
    /// An attempt at it by itself is under way.
    tried: bool,
}

impl Path {
    fn new(endpoint: Endpoint, claim: u64) -> Self {
        Self {
            endpoint,
            claim,
            proved: None,
            failures: 0,
            connect_ms: None,
            paused_until: 0.0,
            barred: false,
            tried: false,
        }
    }

    fn good(&self) -> bool {
        self.failures == 0
    }
}

#[derive(Clone, Debug)]
struct Machine {
    listing: Listing,
    paths: Vec<Path>,
}

/// Each machine's endpoints. As many machines as are listed, [`MAX_ENDPOINTS`] to each; all that is known of a
/// machine is forgotten with it.
#[derive(Debug)]
pub struct Book {
    rules: Option<Rules>,
    seed: u64,
    machines: BTreeMap<CacheId, Machine>,
    claimants: HashMap<Endpoint, BTreeSet<CacheId>>,
    claims: u64,
    failures: u64,
    /// No trial is due before then.
    trials_at: Millis,
}

impl Book {
    /// An empty one; `seed` draws the jitter.
    pub fn new(rules: Option<Rules>, seed: u64) -> Self {
        let (machines, claimants) = (BTreeMap::new(), HashMap::new());
        Self { rules, seed, machines, claimants, claims: 0, failures: 0, trials_at: f64::INFINITY }
    }

    /// Whether machines may have more than the notice board's address.
    pub fn rules(&self) -> Option<&Rules> {
        self.rules.as_ref()
    }

    /// Takes over other rules: endpoints come and go, what is known of those that stay is kept.
    pub fn set_rules(&mut self, rules: Option<Rules>) {
        self.rules = rules;
        let all: Vec<CacheId> = self.machines.keys().cloned().collect();
        all.iter().for_each(|member| self.renew(member, false));
    }

    /// The notice board has spoken of a machine.
    pub fn list(&mut self, member: &CacheId, listing: Listing) {
        let known = self.machines.get(member);
        let began =
            known.is_some_and(|m| m.listing.phase != Phase::Serving) && listing.phase == Phase::Serving;
        let paths = known.map_or(Vec::new(), |machine| machine.paths.clone());
        // One that is gone says no address; a leaving one may go on under its last.
        self.machines.insert(member.clone(), Machine { listing, paths });
        self.renew(member, began);
    }

    /// A machine is forgotten, with all its paths.
    pub fn forget(&mut self, member: &CacheId) {
        if let Some(machine) = self.machines.remove(member) {
            machine.paths.iter().for_each(|path| self.unclaim(&path.endpoint, member));
        }
    }

    fn unclaim(&mut self, endpoint: &Endpoint, member: &CacheId) {
        if let Some(all) = self.claimants.get_mut(endpoint) {
            all.remove(member);
            if all.is_empty() {
                self.claimants.remove(endpoint);
            }
        }
    }

    /// Rebuilds a machine's paths. `anew`: it claims them all anew.
    fn renew(&mut self, member: &CacheId, anew: bool) {
        let Some(mut machine) = self.machines.remove(member) else { return };
        self.trials_at = 0.0;
        let mut endpoints: Vec<Endpoint> = Vec::new();
        if machine.listing.phase != Phase::Deleted {
            let told = machine.listing.address.map(Endpoint::from);
            if let Some(rules) = &self.rules {
                let own = rules.machines.get(member.as_str()).into_iter().flatten().cloned();
                let all: Vec<Endpoint> = own.chain(told).collect();
                for family in &rules.order {
                    endpoints.extend(all.iter().filter(|e| e.family() == *family).cloned());
                }
            } else {
                endpoints.extend(told);
            }
        }
        let mut seen = BTreeSet::new();
        endpoints.retain(|endpoint| seen.insert(endpoint.clone()));
        endpoints.truncate(MAX_ENDPOINTS);
        for path in machine.paths.iter().filter(|path| !endpoints.contains(&path.endpoint)) {
            self.unclaim(&path.endpoint, member);
        }
        let mut paths = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let old = machine.paths.iter().position(|path| path.endpoint == endpoint);
            let mut path = match old {
                Some(at) => machine.paths.swap_remove(at),
                None => Path::new(endpoint, 0),
            };
            if path.claim == 0 || anew {
                self.claims += 1;
                path.claim = self.claims;
            }
            self.claimants.entry(path.endpoint.clone()).or_default().insert(member.clone());
            paths.push(path);
        }
        machine.paths = paths;
        self.machines.insert(member.clone(), machine);
    }

    /// Whose an endpoint is: while a claimant drains, nobody's; else the newest active claim's.
    ///
    /// A claim is settled when the board says that the draining machine has left, or lists it elsewhere: until
    /// then what answers there may still be the draining one.
    pub fn owner(&self, endpoint: &Endpoint) -> Option<&CacheId> {
        let claimants = self.claimants.get(endpoint)?;
        let claims = claimants.iter().filter_map(|member| {
            let machine = self.machines.get(member)?;
            let path = machine.paths.iter().find(|path| path.endpoint == *endpoint)?;
            Some((path.claim, machine.listing.phase, member))
        });
        let claims: Vec<(u64, Phase, &CacheId)> = claims.collect();
        if claims.iter().any(|(_, phase, _)| *phase != Phase::Serving) {
            return None;
        }
        claims.into_iter().max_by_key(|(claim, ..)| *claim).map(|(.., member)| member)
    }

    fn allowed(&self, now: Millis, member: &CacheId, path: &Path) -> bool {
        if self.rules.is_none() {
            return true; // The board alone says who listens where, as before there was a book.
        }
        !(path.barred && now < path.paused_until) && self.owner(&path.endpoint) == Some(member)
    }

    /// Where a new connection may be dialled, best first: paths that work, in the stated order. Where none
    /// does, those that failed, the one whose pause ends first before the others, so that a machine whose only
    /// way is back is found.
    pub fn candidates(&self, now: Millis, member: &CacheId) -> Vec<Endpoint> {
        let Some(machine) = self.machines.get(member) else { return Vec::new() };
        if machine.listing.phase != Phase::Serving {
            return Vec::new();
        }
        let allowed = || machine.paths.iter().filter(|path| self.allowed(now, member, path));
        let good: Vec<Endpoint> =
            allowed().filter(|path| path.good()).map(|path| path.endpoint.clone()).collect();
        if !good.is_empty() {
            return good;
        }
        let mut rest: Vec<&Path> = allowed().collect();
        rest.sort_by(|a, b| a.paused_until.total_cmp(&b.paused_until));
        rest.into_iter().map(|path| path.endpoint.clone()).collect()
    }

    /// Whether a connection that is up may be given something new.
    pub fn takes(&self, now: Millis, member: &CacheId, endpoint: &Endpoint) -> bool {
        if self.rules.is_none() {
            return true; // One over an address that is gone has been retired.
        }
        let Some(machine) = self.machines.get(member) else { return false };
        let Some(path) = machine.paths.iter().find(|path| path.endpoint == *endpoint) else { return false };
        let other = || machine.paths.iter().any(|p| p.good() && self.allowed(now, member, p));
        self.allowed(now, member, path) && (path.good() || !other())
    }

    /// Whether a serving machine may be dialled there, whatever is known of the path.
    pub fn own(&self, now: Millis, member: &CacheId, endpoint: &Endpoint) -> bool {
        let machine = self.machines.get(member).filter(|m| m.listing.phase == Phase::Serving);
        let path = machine.and_then(|m| m.paths.iter().find(|path| path.endpoint == *endpoint));
        path.is_some_and(|path| self.allowed(now, member, path))
    }

    /// An endpoint's place in the stated order.
    pub fn rank(&self, member: &CacheId, endpoint: &Endpoint) -> usize {
        if self.rules.is_none() {
            return 0;
        }
        let paths = self.machines.get(member).map_or(&[][..], |machine| &machine.paths);
        paths.iter().position(|path| path.endpoint == *endpoint).unwrap_or(paths.len())
    }

    /// Whether an endpoint is still one of a machine's.
    pub fn lists(&self, member: &CacheId, endpoint: &Endpoint) -> bool {
        let machine = self.machines.get(member);
        machine.is_some_and(|machine| machine.paths.iter().any(|path| path.endpoint == *endpoint))
    }

    /// Whether a machine is cold: each handshake is work for it.
    pub fn cold(&self, now: Millis, member: &CacheId) -> bool {
        let machine = self.machines.get(member);
        machine.and_then(|machine| machine.listing.cold_until).is_some_and(|until| now < until)
    }

    /// Dials that may be open for a machine: one while it is cold.
    pub fn most_dials(&self, now: Millis, member: &CacheId) -> usize {
        match &self.rules {
            None => usize::MAX,
            Some(_) if self.cold(now, member) => 1,
            Some(rules) => rules.per_machine,
        }
    }

    /// Connections to a machine that may be dialled at once: two only where the best path was proved lately.
    pub fn most_races(&self, now: Millis, member: &CacheId) -> usize {
        if self.rules.is_none() {
            return usize::MAX;
        }
        let best = self.candidates(now, member).into_iter().next();
        let machine = self.machines.get(member);
        let path = machine.and_then(|m| m.paths.iter().find(|path| Some(&path.endpoint) == best.as_ref()));
        let proved = path.filter(|path| path.good()).and_then(|path| path.proved);
        if proved.is_some_and(|at| now - at < PROVED_MS) {
            self.most_dials(now, member)
        } else {
            1
        }
    }

    /// How long a dial goes on alone before the next path is tried beside it.
    pub fn delay(&self, member: &CacheId, first: Option<&Endpoint>) -> Millis {
        let Some(rules) = &self.rules else { return Millis::INFINITY };
        let machine = self.machines.get(member);
        let path = machine.and_then(|m| m.paths.iter().find(|path| Some(&path.endpoint) == first));
        let (least, most) = rules.attempt_delay;
        path.and_then(|path| path.connect_ms).map_or(most, |ms| (DELAY_IN_CONNECTS * ms).clamp(least, most))
    }

    fn path(&mut self, member: &CacheId, endpoint: &Endpoint) -> Option<&mut Path> {
        self.machines.get_mut(member)?.paths.iter_mut().find(|path| path.endpoint == *endpoint)
    }

    /// A connection is up. That proves little: only an answer shows that the path works.
    pub fn connected(&mut self, member: &CacheId, endpoint: &Endpoint, took_ms: Millis) {
        if let Some(path) = self.path(member, endpoint) {
            path.connect_ms = Some(path.connect_ms.map_or(took_ms, |ms| ms + NEWEST * (took_ms - ms)));
        }
    }

    /// A request was answered over it: it works. A greeting that is answered shows less: who is there.
    pub fn answered(&mut self, now: Millis, member: &CacheId, endpoint: &Endpoint) {
        if let Some(path) = self.path(member, endpoint) {
            (path.proved, path.failures, path.paused_until) = (Some(now), 0, 0.0);
            (path.barred, path.tried) = (false, false);
        }
    }

    /// It failed: it is left alone for a while, twice as long with each failure in a row. Connections that fall
    /// together count once. When it is to be tried again; `None`: this was known, or there is no such path.
    pub fn failed(
        &mut self,
        now: Millis,
        member: &CacheId,
        endpoint: &Endpoint,
        why: Failure,
    ) -> Option<Millis> {
        let (first, most) = self.rules.as_ref()?.pause;
        let (seed, count) = (self.seed, self.failures);
        let path = self.path(member, endpoint)?;
        path.tried = false;
        path.barred |= why == Failure::WrongName;
        if now < path.paused_until {
            return None;
        }
        let nominal = (first * 2.0_f64.powi(path.failures.min(30) as i32)).min(most);
        let drawn = XxHash64::oneshot(seed, &count.to_le_bytes()) as f64 / u64::MAX as f64;
        let pause = nominal * (1.0 + JITTER * (2.0 * drawn - 1.0));
        path.failures += 1;
        path.paused_until = now + pause;
        self.trials_at = self.trials_at.min(now + pause);
        self.failures += 1;
        Some(now + pause)
    }

    /// Paths whose pause is over, to be tried by one connection that carries nothing for a client: one at a time
    /// for a machine, and none while it is cold. Where no path works, requests themselves find the way back.
    pub fn trials(&mut self, now: Millis) -> Vec<(CacheId, Endpoint)> {
        if self.rules.is_none() || now < self.trials_at {
            return Vec::new();
        }
        let resting = || self.resting();
        let due: Vec<(CacheId, Endpoint)> =
            resting().filter(|(.., at)| *at <= now).map(|(m, e, _)| (m.clone(), e.clone())).collect();
        // What can't be tried now, since another path of its machine is, is looked at again shortly.
        let next = |at: Millis| if at > now { at } else { now + LOOK_AGAIN_MS };
        self.trials_at = resting().map(|(.., at)| next(at)).fold(f64::INFINITY, f64::min);
        let mut trials = Vec::new();
        for (member, endpoint) in due {
            let busy = self.machines.get(&member).is_some_and(|m| m.paths.iter().any(|path| path.tried));
            if busy || !self.own(now, &member, &endpoint) {
                continue;
            }
            if let Some(path) = self.path(&member, &endpoint) {
                path.tried = true;
                trials.push((member, endpoint));
            }
        }
        trials
    }

    /// A trial could not be begun, or ended without a word about its path.
    pub fn untried(&mut self, now: Millis, member: &CacheId, endpoint: &Endpoint) {
        if let Some(path) = self.path(member, endpoint) {
            path.tried = false;
            self.trials_at = self.trials_at.min(now + LOOK_AGAIN_MS);
        }
    }

    /// Paths that failed and could be tried by themselves, and from when.
    fn resting(&self) -> impl Iterator<Item = (&CacheId, &Endpoint, Millis)> {
        let serving = self.machines.iter().filter(|(_, m)| m.listing.phase == Phase::Serving);
        let useful = serving.filter(|(_, m)| m.paths.len() > 1 && m.paths.iter().any(Path::good));
        useful.flat_map(|(member, machine)| {
            let from = machine.listing.cold_until.unwrap_or(0.0);
            let resting = machine.paths.iter().filter(|path| !path.good() && !path.tried);
            resting.map(move |path| (member, &path.endpoint, path.paused_until.max(from)))
        })
    }

    /// When to ask for trials next.
    pub fn next_due(&self) -> Option<Millis> {
        self.rules.as_ref()?;
        Some(self.trials_at).filter(|at| at.is_finite())
    }

    /// Machines there are, and paths of theirs that failed lately.
    pub fn counts(&self) -> (usize, usize) {
        let failed = self.machines.values().flat_map(|m| &m.paths).filter(|path| !path.good()).count();
        (self.machines.len(), failed)
    }
}
