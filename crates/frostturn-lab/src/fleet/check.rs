//! Compares the routers' views of a fleet with the faults that were injected.
//!
//! The ground truth is what the schedule did, and when. The views are the routers' logged events, by a
//! common clock.
//!

use super::schedule::{Cut, FaultAction, Millis};
use crate::report::Bound;
use frostturn::fleet::{QuorumStatus, State};
use std::collections::{BTreeMap, BTreeSet};

/// An event that a router logged.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// Its own quorum status, in force since then.
    StatusChanged { status: QuorumStatus, term: u32, since: Millis },
    /// The state of another router, given by number, start and term.
    MemberChanged { other: usize, start: u64, term: u32, state: State },
}

/// A logged event with its time and its router.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEvent {
    /// Time of the event.
    pub at: Millis,
    /// The router that logged it.
    pub by: usize,
    /// Index of its process: 0, 1, … in order of starts.
    pub start: usize,
    /// The event.
    pub event: FleetEvent,
}

/// Time after the end of a fault within which a router must rejoin; until then it may still be called gone.
const REJOIN_LIMIT_MS: Millis = 3000.0;
/// Longest stall that is no reason to call a router gone.
const SHORT_STALL_MS: Millis = 3050.0;
/// Time within which a death must be detected.
const DETECTION_LIMIT_MS: Millis = 10_000.0;

/// A time interval in which nothing changes.
#[derive(Clone, Debug)]
struct Interval {
    from: Millis,
    until: Millis,
    alive: Vec<bool>,
    stopped: Vec<bool>,
    /// Whether a router has routes to and from a majority, itself included.
    connected: Vec<bool>,
}

/// The ground truth, as intervals.
#[derive(Debug)]
pub struct GroundTruth {
    routers: usize,
    intervals: Vec<Interval>,
    kills: Vec<(Millis, usize)>,
    /// For each router, when each of its processes began and ended.
    processes: Vec<Vec<(Millis, Millis)>>,
    /// The start number of each process.
    starts: Vec<Vec<u64>>,
    /// For each router, when it was suspended.
    stops: Vec<Vec<(Millis, Millis)>>,
    /// Times at which a suspension or a cut ended.
    heals: Vec<Millis>,
    end: Millis,
}

impl GroundTruth {
    /// Creates the ground truth from the actions and their times. All routers start at `begin`.
    pub fn new(begin: Millis, done: &[(Millis, FaultAction)], starts: Vec<Vec<u64>>, end: Millis) -> Self {
        let routers = starts.len();
        let mut alive = vec![true; routers];
        let mut stopped = vec![false; routers];
        let mut cuts: Vec<Cut> = Vec::new();
        let mut truth = Self {
            routers,
            intervals: Vec::new(),
            kills: Vec::new(),
            processes: vec![vec![(begin, end)]; routers],
            starts,
            stops: vec![Vec::new(); routers],
            heals: Vec::new(),
            end,
        };
        let mut from = begin;
        for (at, what) in done.iter().cloned().chain([(end, FaultAction::Junk(0, 0))]) {
            if at > from {
                let connected = connected(&alive, &stopped, &cuts);
                let (alive, stopped) = (alive.clone(), stopped.clone());
                truth.intervals.push(Interval { from, until: at, alive, stopped, connected });
                from = at;
            }
            match what {
                FaultAction::Kill(these) => {
                    for one in these.into_iter().filter(|one| std::mem::replace(&mut alive[*one], false)) {
                        truth.kills.push((at, one));
                        stopped[one] = false;
                        if let Some(life) = truth.processes[one].last_mut() {
                            life.1 = at;
                        }
                    }
                }
                FaultAction::Start(these) => {
                    for one in these.into_iter().filter(|one| !std::mem::replace(&mut alive[*one], true)) {
                        truth.processes[one].push((at, end));
                    }
                }
                FaultAction::Stop(these) => {
                    for one in these.into_iter().filter(|one| alive[*one]) {
                        stopped[one] = true;
                        truth.stops[one].push((at, end));
                    }
                }
                FaultAction::Resume(these) => {
                    for one in these.into_iter().filter(|one| std::mem::replace(&mut stopped[*one], false)) {
                        truth.heals.push(at);
                        if let Some(stop) = truth.stops[one].last_mut() {
                            stop.1 = at;
                        }
                    }
                }
                FaultAction::Links(new, _) => {
                    if !cuts.is_empty() && new.is_empty() {
                        truth.heals.push(at);
                    }
                    cuts = new;
                }
                FaultAction::Late(..) | FaultAction::Junk(..) => {}
            }
        }
        truth
    }

    fn during(&self, from: Millis, until: Millis) -> impl Iterator<Item = &Interval> {
        self.intervals.iter().filter(move |one| one.until > from && one.from < until)
    }

    /// Returns whether a router ran all the time with routes to and from a majority; a short stall doesn't
    /// count.
    fn was_connected(&self, one: usize, from: Millis, until: Millis) -> bool {
        let short = self.stops[one].iter().all(|(a, b)| *b <= from || *a >= until || b - a <= SHORT_STALL_MS);
        short && self.during(from, until).all(|s| s.alive[one] && s.connected[one])
    }

    /// As [`was_connected`](Self::was_connected), and without any stall.
    fn was_running(&self, one: usize, from: Millis, until: Millis) -> bool {
        self.was_connected(one, from, until) && self.during(from, until).all(|s| !s.stopped[one])
    }

    /// Returns the process of a router at that time, if it has this start number.
    fn process_at(&self, one: usize, start: u64, at: Millis) -> Option<usize> {
        let life = self.processes[one].iter().position(|(from, until)| *from <= at && at < *until)?;
        (self.starts[one].get(life) == Some(&start)).then_some(life)
    }

    /// Returns whether a router is running at that time or resumes before the end.
    fn resumes(&self, one: usize, at: Millis) -> bool {
        !self.stops[one].iter().any(|(from, until)| *from <= at && at <= *until && *until >= self.end)
    }

    /// Returns whether a router was down, stalled or disconnected at some time in the interval.
    fn disturbed(&self, one: usize, from: Millis, until: Millis) -> bool {
        !self.was_running(one, from, until)
    }
}

/// Returns which routers have routes to and from a majority, themselves included, through running routers.
fn connected(alive: &[bool], stopped: &[bool], cuts: &[Cut]) -> Vec<bool> {
    let count = alive.len();
    let runs: Vec<usize> = (0..count).filter(|one| alive[*one] && !stopped[*one]).collect();
    if cuts.is_empty() {
        let rest = runs.len();
        return (0..count).map(|one| alive[one] && rest + usize::from(stopped[one]) > count / 2).collect();
    }
    let passes = |from: usize, to: usize| !cuts.iter().any(|cut| cut.cuts(from, to));
    let reach = |one: usize, forward: bool| {
        let mut seen = vec![false; count];
        seen[one] = true;
        let mut next = vec![one];
        while let Some(at) = next.pop() {
            for to in runs.iter().copied().filter(|to| !seen[*to]).collect::<Vec<_>>() {
                if if forward { passes(at, to) } else { passes(to, at) } {
                    seen[to] = true;
                    next.push(to);
                }
            }
        }
        seen
    };
    let both = |one: usize| {
        let (there, back) = (reach(one, true), reach(one, false));
        (0..count).filter(|other| there[*other] && back[*other]).count() > count / 2
    };
    // Routers of one strongly connected component share the result, which is computed once.
    let mut known: Vec<Option<bool>> = vec![None; count];
    for one in runs.iter().copied() {
        if known[one].is_none() {
            let (there, back) = (reach(one, true), reach(one, false));
            let same: Vec<usize> = (0..count).filter(|other| there[*other] && back[*other]).collect();
            let enough = same.len() > count / 2;
            same.into_iter().for_each(|other| known[other] = Some(enough));
        }
    }
    (0..count).map(|one| alive[one] && known[one].unwrap_or_else(|| both(one))).collect()
}

/// Result of the comparison.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Number of times that a healthy router was called gone.
    pub false_gone: usize,
    /// Number of times that a router was called gone before it knew that it was cut off.
    pub knows_first: usize,
    /// Times from a death to each other router's event, in ms.
    pub suspect_ms: Vec<Millis>,
    /// See `suspect_ms`.
    pub gone_ms: Vec<Millis>,
    /// Times from the end of a fault to recovery, for each disturbed router.
    pub rejoin_ms: Vec<Millis>,
    /// Time from the last fault to the last change; `None` if some views are still wrong.
    pub views_differ_ms: Option<Millis>,
    /// Descriptions of some failures.
    pub examples: Vec<String>,
}

/// Returns the 99th percentile; 0 if there are no values.
pub fn p99(times: &[Millis]) -> Millis {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = ((sorted.len() as f64 * 0.99).ceil() as usize).saturating_sub(1);
    sorted.get(at).copied().unwrap_or(0.0)
}

impl Figures {
    /// Returns the bounds of the operators' requirements.
    pub fn bounds(&self) -> Vec<Bound> {
        vec![
            Bound::most("false_gone", self.false_gone as f64, 0.0),
            Bound::most("suspect_p99_ms", p99(&self.suspect_ms), 2500.0),
            Bound::most("gone_p99_ms", p99(&self.gone_ms), 10_000.0),
            Bound::most("knows_first", self.knows_first as f64, 0.0),
            Bound::most("rejoin_p99_ms", p99(&self.rejoin_ms), 3000.0),
            Bound::most("views_differ_ms", self.views_differ_ms.unwrap_or(99_999.0), 5000.0),
        ]
    }

    /// Returns how often each time was measured: a bound over no values means nothing.
    pub fn samples(&self) -> String {
        let [suspect, gone, rejoin] = [&self.suspect_ms, &self.gone_ms, &self.rejoin_ms].map(Vec::len);
        format!("{suspect} times to suspect, {gone} to gone, {rejoin} to rejoin")
    }

    fn note(&mut self, text: String) {
        if self.examples.len() < 20 {
            self.examples.push(text);
        }
    }
}

/// Compares all events, which are in order of time, with the ground truth.
pub fn evaluate(truth: &GroundTruth, logged: &[LoggedEvent]) -> Figures {
    let mut figures = Figures::default();
    check_gone(truth, logged, &mut figures);
    check_deaths(truth, logged, &mut figures);
    check_recovery(truth, logged, &mut figures);
    check_final_views(truth, logged, &mut figures);
    figures
}

/// Each router's quorum status over time, by router and process.
type StatusHistory = BTreeMap<(usize, usize), Vec<(Millis, QuorumStatus, u32)>>;

fn status_history(logged: &[LoggedEvent]) -> StatusHistory {
    let mut all = StatusHistory::new();
    for one in logged {
        if let FleetEvent::StatusChanged { status, term, since } = one.event {
            all.entry((one.by, one.start)).or_default().push((since, status, term));
        }
    }
    all
}

/// Checks events that call a router gone: false ones, and those before that router knew that it was cut
/// off.
fn check_gone(truth: &GroundTruth, logged: &[LoggedEvent], figures: &mut Figures) {
    let status_history = status_history(logged);
    for one in logged {
        let FleetEvent::MemberChanged { other, start, term, state: State::Gone } = one.event else {
            continue;
        };
        if truth.was_connected(other, one.at - REJOIN_LIMIT_MS, one.at) {
            figures.false_gone += 1;
            figures.note(format!("{} called {other} gone at {:.0}, which was healthy", one.by, one.at));
        }
        // A dead router knows nothing, and one that never resumes logs nothing.
        let Some(life) = truth.process_at(other, start, one.at).filter(|_| truth.resumes(other, one.at))
        else {
            continue;
        };
        let Some(known) = status_history.get(&(other, life)) else { continue };
        // The status in force at that time, by the router's own events; a stalled router logs it when it
        // resumes.
        let Some((_, status, now)) = known.iter().rev().find(|(since, ..)| *since <= one.at) else {
            continue;
        };
        if *status == QuorumStatus::Majority && *now <= term {
            figures.knows_first += 1;
            let (by, at) = (one.by, one.at);
            figures.note(format!(
                "{by} called {other} gone in term {term} at {at:.0}, which had a majority in term {now}"
            ));
        }
    }
}

/// States that each router logged of each other one, in order of time. Indexed by pair, since searching all
/// events for each pair takes too long in a large fleet.
type ByPair = BTreeMap<(usize, usize), Vec<(Millis, State)>>;

fn by_pair(logged: &[LoggedEvent]) -> ByPair {
    let mut all = ByPair::new();
    for one in logged {
        if let FleetEvent::MemberChanged { other, state, .. } = one.event {
            all.entry((one.by, other)).or_default().push((one.at, state));
        }
    }
    all
}

/// Measures how soon deaths are detected.
fn check_deaths(truth: &GroundTruth, logged: &[LoggedEvent], figures: &mut Figures) {
    let pairs = by_pair(logged);
    for (at, dead) in &truth.kills {
        let back =
            truth.processes[*dead].iter().map(|(from, _)| *from).find(|from| from >= at).unwrap_or(truth.end);
        for by in (0..truth.routers).filter(|by| by != dead) {
            let events = || pairs.get(&(by, *dead)).into_iter().flatten().copied();
            // A router that suspected it before logs nothing new.
            if events().rfind(|(when, _)| when < at).is_some_and(|(_, state)| state != State::Alive) {
                continue;
            }
            let mut first =
                |wanted: &[State], within: Millis, times: &mut dyn FnMut(&mut Figures, Millis)| {
                    if back < at + within || !truth.was_running(by, at - REJOIN_LIMIT_MS, at + within) {
                        return;
                    }
                    let noticed = events().find(|(when, state)| when >= at && wanted.contains(state));
                    times(figures, noticed.map_or(99_999.0, |(when, _)| when - at));
                };
            first(&[State::Suspect, State::Gone], 4000.0, &mut |figures, ms| figures.suspect_ms.push(ms));
            first(&[State::Gone], DETECTION_LIMIT_MS, &mut |figures, ms| {
                figures.gone_ms.push(ms);
                if ms > DETECTION_LIMIT_MS {
                    figures.note(format!("{by} took {ms:.0} ms to call {dead} gone, dead since {at:.0}"));
                }
            });
        }
    }
}

/// Measures how soon a disturbed router recovers after a heal or a resumption.
fn check_recovery(truth: &GroundTruth, logged: &[LoggedEvent], figures: &mut Figures) {
    let window = REJOIN_LIMIT_MS + 500.0;
    // Events about each router: its own quorum status, and its state as seen by others.
    let mut about: BTreeMap<usize, Vec<&LoggedEvent>> = BTreeMap::new();
    for one in logged {
        let whom = match one.event {
            FleetEvent::StatusChanged { .. } => one.by,
            FleetEvent::MemberChanged { other, .. } => other,
        };
        about.entry(whom).or_default().push(one);
    }
    for heal in &truth.heals {
        for one in 0..truth.routers {
            let disturbed = truth.disturbed(one, heal - 50.0, *heal);
            if !disturbed || !truth.was_running(one, heal + 1.0, heal + window) {
                continue;
            }
            // Find the first time at which it has a majority and all other healthy routers see it alive.
            let others = (0..truth.routers).filter(|by| *by != one);
            let mut unaware: BTreeSet<usize> =
                others.filter(|by| truth.was_running(*by, heal - 10_000.0, heal + window)).collect();
            let (observers, mut has_majority, mut recovered_at) = (unaware.clone(), false, f64::INFINITY);
            unaware.clear();
            for s in about.get(&one).into_iter().flatten().filter(|s| s.at <= heal + window) {
                match s.event {
                    FleetEvent::StatusChanged { status, .. } if s.by == one => {
                        has_majority = status == QuorumStatus::Majority
                    }
                    FleetEvent::MemberChanged { other, state, .. }
                        if other == one && observers.contains(&s.by) =>
                    {
                        match state {
                            State::Alive => unaware.remove(&s.by),
                            _ => unaware.insert(s.by),
                        };
                    }
                    _ => continue,
                }
                if !has_majority || !unaware.is_empty() {
                    recovered_at = f64::INFINITY;
                } else if recovered_at.is_infinite() {
                    recovered_at = s.at;
                }
                if recovered_at.is_finite() && s.at > *heal {
                    break;
                }
            }
            let took = if recovered_at.is_finite() { (recovered_at - heal).max(0.0) } else { 99_999.0 };
            if took > REJOIN_LIMIT_MS {
                figures.note(format!("{one} had not recovered {took:.0} ms after the heal at {heal:.0}"));
            }
            figures.rejoin_ms.push(took);
        }
    }
}

/// Checks whether all views are right at the end, and since when.
fn check_final_views(truth: &GroundTruth, logged: &[LoggedEvent], figures: &mut Figures) {
    let Some(end) = truth.intervals.last() else { return };
    let mut seen: BTreeMap<(usize, usize), (Millis, State)> = BTreeMap::new();
    let mut starts: BTreeMap<usize, usize> = BTreeMap::new();
    for one in logged {
        let start = starts.entry(one.by).or_default();
        if one.start > *start {
            // A new process has none of its predecessor's knowledge.
            *start = one.start;
            seen.retain(|(by, _), _| *by != one.by);
        }
        if let FleetEvent::MemberChanged { other, state, .. } = one.event {
            seen.insert((one.by, other), (one.at, state));
        }
    }
    let mut since = end.from;
    let mut all_right = true;
    for by in (0..truth.routers).filter(|by| end.alive[*by]) {
        for other in (0..truth.routers).filter(|other| *other != by) {
            let right = |state: State| (state == State::Alive) == end.alive[other];
            match seen.get(&(by, other)) {
                Some((at, state)) if right(*state) => since = since.max(*at),
                last_event => {
                    all_right = false;
                    figures.note(format!("at the end {by} sees {other} as {last_event:?}"));
                }
            }
        }
    }
    figures.views_differ_ms = all_right.then_some(since - end.from);
}

#[cfg(test)]
mod tests;
