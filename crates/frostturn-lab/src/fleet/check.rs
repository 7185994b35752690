//! What a fleet's routers said of each other, held against what was done to them.
//!
//! The truth is what the schedule did, and when; what routers said are their lines, by a clock that all share.

use super::schedule::{Cut, FaultAction, Millis};
use crate::report::Bound;
use frostturn::fleet::{QuorumStatus, State};
use std::collections::{BTreeMap, BTreeSet};

/// What a router said.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// Of itself, in force since then.
    StatusChanged { status: QuorumStatus, term: u32, since: Millis },
    /// Of another one, by number, and which start and term of it.
    MemberChanged { other: usize, start: u64, term: u32, state: State },
}

/// A word, when it was said and by whom.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedEvent {
    /// When.
    pub at: Millis,
    /// Which router.
    pub by: usize,
    /// Which start of it: 0, 1, … by the order of starts.
    pub start: usize,
    /// What.
    pub event: FleetEvent,
}

/// A router that was called gone in the 3 s after a fault ended for it may still be.
const REJOIN_LIMIT_MS: Millis = 3000.0;
/// Stalls up to this are no reason to call anyone gone.
const SHORT_STALL_MS: Millis = 3050.0;
/// Time that a death is given to be noticed.
const DETECTION_LIMIT_MS: Millis = 10_000.0;

/// A stretch of time in which nothing changes.
#[derive(Clone, Debug)]
struct Interval {
    from: Millis,
    until: Millis,
    alive: Vec<bool>,
    stopped: Vec<bool>,
    /// Has ways to and from a majority, itself counted.
    joined: Vec<bool>,
}

/// All that was done, as intervals.
#[derive(Debug)]
pub struct GroundTruth {
    routers: usize,
    intervals: Vec<Interval>,
    kills: Vec<(Millis, usize)>,
    /// For each router, when each of its processes began and ended.
    lives: Vec<Vec<(Millis, Millis)>>,
    /// The number that each of them gave its start.
    starts: Vec<Vec<u64>>,
    /// For each, when it stood still.
    stops: Vec<Vec<(Millis, Millis)>>,
    /// When a stop or a cut ended.
    heals: Vec<Millis>,
    end: Millis,
}

impl GroundTruth {
    /// What was done at these times, from a start of all at `begin` on, until `end`.
    pub fn new(begin: Millis, done: &[(Millis, FaultAction)], starts: Vec<Vec<u64>>, end: Millis) -> Self {
        let routers = starts.len();
        let mut alive = vec![true; routers];
        let mut stopped = vec![false; routers];
        let mut cuts: Vec<Cut> = Vec::new();
        let mut truth = Self {
            routers,
            intervals: Vec::new(),
            kills: Vec::new(),
            lives: vec![vec![(begin, end)]; routers],
            starts,
            stops: vec![Vec::new(); routers],
            heals: Vec::new(),
            end,
        };
        let mut from = begin;
        for (at, what) in done.iter().cloned().chain([(end, FaultAction::Junk(0, 0))]) {
            if at > from {
                let joined = joined(&alive, &stopped, &cuts);
                let (alive, stopped) = (alive.clone(), stopped.clone());
                truth.intervals.push(Interval { from, until: at, alive, stopped, joined });
                from = at;
            }
            match what {
                FaultAction::Kill(these) => {
                    for one in these.into_iter().filter(|one| std::mem::replace(&mut alive[*one], false)) {
                        truth.kills.push((at, one));
                        stopped[one] = false;
                        if let Some(life) = truth.lives[one].last_mut() {
                            life.1 = at;
                        }
                    }
                }
                FaultAction::Start(these) => {
                    for one in these.into_iter().filter(|one| !std::mem::replace(&mut alive[*one], true)) {
                        truth.lives[one].push((at, end));
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

    /// Whether one ran all the time with ways to and from a majority; a short standstill is none.
    fn well(&self, one: usize, from: Millis, until: Millis) -> bool {
        let short = self.stops[one].iter().all(|(a, b)| *b <= from || *a >= until || b - a <= SHORT_STALL_MS);
        short && self.during(from, until).all(|s| s.alive[one] && s.joined[one])
    }

    /// As [`well`](Self::well), and never stopped.
    fn awake(&self, one: usize, from: Millis, until: Millis) -> bool {
        self.well(one, from, until) && self.during(from, until).all(|s| !s.stopped[one])
    }

    /// Which of its lives one led then, if that is the one that went by this start.
    fn life(&self, one: usize, start: u64, at: Millis) -> Option<usize> {
        let life = self.lives[one].iter().position(|(from, until)| *from <= at && at < *until)?;
        (self.starts[one].get(life) == Some(&start)).then_some(life)
    }

    /// Whether one runs then or will go on before the end.
    fn wakes(&self, one: usize, at: Millis) -> bool {
        !self.stops[one].iter().any(|(from, until)| *from <= at && at <= *until && *until >= self.end)
    }

    /// Whether something happened to one, to its life or to its ways, in that time.
    fn disturbed(&self, one: usize, from: Millis, until: Millis) -> bool {
        !self.awake(one, from, until)
    }
}

/// Who has ways to and from a majority, itself counted, through those that run.
fn joined(alive: &[bool], stopped: &[bool], cuts: &[Cut]) -> Vec<bool> {
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
    // Those of one component share the answer: asked once for each.
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

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Times that a router was called gone that was not.
    pub false_gone: usize,
    /// Times that one was called gone before it knew that it was cut off.
    pub knows_first: usize,
    /// From a death to each other router's word, in ms.
    pub suspect_ms: Vec<Millis>,
    /// See `suspect_ms`.
    pub gone_ms: Vec<Millis>,
    /// From the end of a fault to when all is as it was, for each router that was disturbed.
    pub rejoin_ms: Vec<Millis>,
    /// From the last fault to the last change, or none where some are still wrong.
    pub views_differ_ms: Option<Millis>,
    /// Some of what went wrong, in words.
    pub examples: Vec<String>,
}

/// The 99th percentile; 0 of nothing.
pub fn p99(times: &[Millis]) -> Millis {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = ((sorted.len() as f64 * 0.99).ceil() as usize).saturating_sub(1);
    sorted.get(at).copied().unwrap_or(0.0)
}

impl Figures {
    /// The bounds that the operators asked for.
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

    /// How often each time could be taken: a bound over none status nothing.
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

/// Holds all that was said against the truth. `said` is in order of time.
pub fn evaluate(truth: &GroundTruth, said: &[LoggedEvent]) -> Figures {
    let mut figures = Figures::default();
    gone(truth, said, &mut figures);
    deaths(truth, said, &mut figures);
    heals(truth, said, &mut figures);
    last(truth, said, &mut figures);
    figures
}

/// Each router's standing over time, by its starts.
type StatusHistory = BTreeMap<(usize, usize), Vec<(Millis, QuorumStatus, u32)>>;

fn status_history(said: &[LoggedEvent]) -> StatusHistory {
    let mut all = StatusHistory::new();
    for one in said {
        if let FleetEvent::StatusChanged { status, term, since } = one.event {
            all.entry((one.by, one.start)).or_default().push((since, status, term));
        }
    }
    all
}

/// Words that somebody is gone: false ones, and those that came before that one knew.
fn gone(truth: &GroundTruth, said: &[LoggedEvent], figures: &mut Figures) {
    let status_history = status_history(said);
    for one in said {
        let FleetEvent::MemberChanged { other, start, term, state: State::Gone } = one.event else {
            continue;
        };
        if truth.well(other, one.at - REJOIN_LIMIT_MS, one.at) {
            figures.false_gone += 1;
            figures.note(format!("{} called {other} gone at {:.0}, which was well", one.by, one.at));
        }
        // A dead one knows nothing, and one that never wakes status nothing.
        let Some(life) = truth.life(other, start, one.at).filter(|_| truth.wakes(other, one.at)) else {
            continue;
        };
        let Some(known) = status_history.get(&(other, life)) else { continue };
        // What held then, by its own words, which one that stood still status when it wakes.
        let Some((_, status, now)) = known.iter().rev().find(|(since, ..)| *since <= one.at) else {
            continue;
        };
        if *status == QuorumStatus::Majority && *now <= term {
            figures.knows_first += 1;
            let (by, at) = (one.by, one.at);
            figures.note(format!(
                "{by} called {other} gone in term {term} at {at:.0}, which stood in term {now}"
            ));
        }
    }
}

/// What each said of each other one, in order of time: in a large fleet there is too much to look through all for each.
type ByPair = BTreeMap<(usize, usize), Vec<(Millis, State)>>;

fn by_pair(said: &[LoggedEvent]) -> ByPair {
    let mut all = ByPair::new();
    for one in said {
        if let FleetEvent::MemberChanged { other, state, .. } = one.event {
            all.entry((one.by, other)).or_default().push((one.at, state));
        }
    }
    all
}

/// How soon deaths are noticed.
fn deaths(truth: &GroundTruth, said: &[LoggedEvent], figures: &mut Figures) {
    let pairs = by_pair(said);
    for (at, dead) in &truth.kills {
        let back =
            truth.lives[*dead].iter().map(|(from, _)| *from).find(|from| from >= at).unwrap_or(truth.end);
        for by in (0..truth.routers).filter(|by| by != dead) {
            let events = || pairs.get(&(by, *dead)).into_iter().flatten().copied();
            // One that suspected it before status nothing new.
            if events().rfind(|(when, _)| when < at).is_some_and(|(_, state)| state != State::Alive) {
                continue;
            }
            let mut first =
                |wanted: &[State], within: Millis, times: &mut dyn FnMut(&mut Figures, Millis)| {
                    if back < at + within || !truth.awake(by, at - REJOIN_LIMIT_MS, at + within) {
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

/// How soon all is well again after a heal or a wake.
fn heals(truth: &GroundTruth, said: &[LoggedEvent], figures: &mut Figures) {
    let window = REJOIN_LIMIT_MS + 500.0;
    // What each said of its own standing, and what others said of it.
    let mut about: BTreeMap<usize, Vec<&LoggedEvent>> = BTreeMap::new();
    for one in said {
        let whom = match one.event {
            FleetEvent::StatusChanged { .. } => one.by,
            FleetEvent::MemberChanged { other, .. } => other,
        };
        about.entry(whom).or_default().push(one);
    }
    for heal in &truth.heals {
        for one in 0..truth.routers {
            let hurt = truth.disturbed(one, heal - 50.0, *heal);
            if !hurt || !truth.awake(one, heal + 1.0, heal + window) {
                continue;
            }
            // The first moment at which it stands and all others that are well take it for alive.
            let others = (0..truth.routers).filter(|by| *by != one);
            let mut without: BTreeSet<usize> =
                others.filter(|by| truth.awake(*by, heal - 10_000.0, heal + window)).collect();
            let (watched, mut stands, mut well) = (without.clone(), false, f64::INFINITY);
            without.clear();
            for s in about.get(&one).into_iter().flatten().filter(|s| s.at <= heal + window) {
                match s.event {
                    FleetEvent::StatusChanged { status, .. } if s.by == one => {
                        stands = status == QuorumStatus::Majority
                    }
                    FleetEvent::MemberChanged { other, state, .. }
                        if other == one && watched.contains(&s.by) =>
                    {
                        match state {
                            State::Alive => without.remove(&s.by),
                            _ => without.insert(s.by),
                        };
                    }
                    _ => continue,
                }
                if !stands || !without.is_empty() {
                    well = f64::INFINITY;
                } else if well.is_infinite() {
                    well = s.at;
                }
                if well.is_finite() && s.at > *heal {
                    break;
                }
            }
            let took = if well.is_finite() { (well - heal).max(0.0) } else { 99_999.0 };
            if took > REJOIN_LIMIT_MS {
                figures.note(format!("{one} was not back {took:.0} ms after {heal:.0}"));
            }
            figures.rejoin_ms.push(took);
        }
    }
}

/// Whether all see the same at the end, and since when.
fn last(truth: &GroundTruth, said: &[LoggedEvent], figures: &mut Figures) {
    let Some(end) = truth.intervals.last() else { return };
    let mut seen: BTreeMap<(usize, usize), (Millis, State)> = BTreeMap::new();
    let mut starts: BTreeMap<usize, usize> = BTreeMap::new();
    for one in said {
        let start = starts.entry(one.by).or_default();
        if one.start > *start {
            // A new process knows nothing of what the one before it knew.
            *start = one.start;
            seen.retain(|(by, _), _| *by != one.by);
        }
        if let FleetEvent::MemberChanged { other, state, .. } = one.event {
            seen.insert((one.by, other), (one.at, state));
        }
    }
    let mut since = end.from;
    let mut good = true;
    for by in (0..truth.routers).filter(|by| end.alive[*by]) {
        for other in (0..truth.routers).filter(|other| *other != by) {
            let right = |state: State| (state == State::Alive) == end.alive[other];
            match seen.get(&(by, other)) {
                Some((at, state)) if right(*state) => since = since.max(*at),
                last_event => {
                    good = false;
                    figures.note(format!("at the end {by} has {other} as {last_event:?}"));
                }
            }
        }
    }
    figures.views_differ_ms = good.then_some(since - end.from);
}

#[cfg(test)]
mod tests;
