//! Random settings within the wire protocol's bounds. For each, the reducer and the decision module run
//! through a short simulated day while an independent checker compares every step with the settings. A module
//! that gets other settings than the checker, as if it ignored one, must be found.

mod common;

use common::{listed, net, START_MS};
use frostturn::api::*;
use frostturn::clock::UnixTime;
use frostturn::discovery::{Announcement, DiscoveryEvent, ListedMachine};
use frostturn::reasons::Withheld;
use frostturn::reducer::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

const UNIX_MS: Millis = 1.7e12;
const STEP_MS: Millis = 5.0;
const STEPS: usize = 900;
/// The protocol specification: each time limit is longer by this much on sockets.
const SLACK_MS: Millis = 50.0;

/// Endpoints: own zone, another zone, parents, origin.
const ENDPOINTS: [(&str, &str, &str); 9] = [
    ("e1", "std", "east"),
    ("e2", "std", "east"),
    ("e3", "std", "east"),
    ("w1", "std", "west"),
    ("w2", "std", "west"),
    ("p1", "up", "hub"),
    ("p2", "up", "hub"),
    ("o1", "root", "hub"),
    ("e4", "std", "east"),
];

#[derive(Clone, Debug)]
struct Drawn {
    settings: Settings,
    seed: u64,
}

impl Arbitrary for Drawn {
    fn arbitrary(g: &mut Gen) -> Self {
        let seed = u64::arbitrary(g) | 1;
        let mut random = random_numbers(seed);
        let mut class = |at: usize| {
            let deadline_ms = 400.0 + random(3600) as f64;
            let fresh_ms = (random(2) == 0).then(|| 200.0 + random(5000) as f64);
            ClassSettings {
                name: format!("class{at}"),
                aim_ms: 50.0 + random(600) as f64,
                aim_stretch: random(3) as f64,
                deadline_ms,
                repeat: match random(5) {
                    0 => Repeat::Fragile,
                    1 => Repeat::Dedup { scope: DedupScope::All, window_ms: 50.0 + random(1500) as f64 },
                    2 => Repeat::Dedup { scope: DedupScope::Cell, window_ms: 50.0 + random(1500) as f64 },
                    _ => Repeat::Retryable,
                },
                worth: 1.0,
                fresh_ms,
                stale_ms: fresh_ms.map_or(0.0, |_| random(2000) as f64),
                uncached: random(4) == 0,
                ..ClassSettings::default()
            }
        };
        let classes = (0..3).map(&mut class).collect();
        let settings = Settings {
            zone: Some("east".into()),
            zones: vec!["hub".into(), "east".into(), "west".into()],
            routers_by_zone: vec![0, 1 + random(3) as u32, 1],
            zone_hubs: vec![0, 0, 0],
            routers: 2 + random(300) as u32,
            classes,
            parent_kind: Some("up".into()),
            origin_kind: Some("root".into()),
            bypass_allowed: random(2) == 0,
            joins: random(2) == 0,
            detail: [Detail::All, Detail::Hit, Detail::None][random(3) as usize],
            siblings: [Siblings::None, Siblings::Location, Siblings::Any][random(3) as usize],
            flow_kb_per_s: Some(2000.0 + random(10_000) as f64),
            weights: [Weights::Unknown, Weights::Nominal, Weights::Rough][random(3) as usize],
            guarantees: Guarantees {
                stop_sending_ms: 300.0 + random(2000) as f64,
                cold_start_share: 0.05 + random(50) as f64 / 100.0,
                cold_start_ms: 500.0 + random(15_000) as f64,
                overload_multiple: 1.0 + random(4) as f64,
                overload_ms: 1000.0,
                parent_cold_start_share: 0.05,
                parent_cold_start_ms: 10_000.0,
                parent_overload_multiple: 2.0,
                purge_notice_ms: 200.0 + random(1000) as f64,
                purge_gone_ms: 6000.0,
                ..Guarantees::default()
            },
            limits: Limits {
                max_attempts: 1 + random(6) as usize,
                cancelling: random(2) == 0,
                hedging: random(2) == 0,
                retry_after: random(2) == 0,
                max_retry_after_ms: 100.0 + random(2000) as f64,
                ..Limits::default()
            },
            ..Settings::default()
        };
        Self { settings, seed }
    }
}

fn random_numbers(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    move |most| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) % most
    }
}

/// Returns the cell of an endpoint: every second one is in the same cell.
fn cell(name: &str) -> u64 {
    ENDPOINTS.iter().position(|end| end.0 == name).map_or(0, |at| at as u64 % 2)
}

/// An attempt as the simulated machines see it.
#[derive(Clone, Debug)]
struct AttemptState {
    request: u64,
    cell: u64,
    send_by: Millis,
    written: Option<Millis>,
    /// The attempt is proved never to have run.
    never_ran: bool,
    /// When the attempt ended or was given up.
    ended_at: Option<Millis>,
}

struct RequestState {
    class: usize,
    group: u64,
    object: String,
    deadline: Millis,
}

/// Checks each step against the settings and collects the rules that were broken.
struct Checker {
    settings: Settings,
    now: Millis,
    attempts: BTreeMap<AttemptKey, AttemptState>,
    requests: BTreeMap<u64, RequestState>,
    phases: BTreeMap<String, Phase>,
    purges: Vec<(Option<String>, u64, Millis)>,
    broken: Vec<&'static str>,
}

impl Checker {
    fn require(&mut self, rule: &'static str, kept: bool) {
        if !kept && !self.broken.contains(&rule) {
            self.broken.push(rule);
        }
    }

    fn of(&self, request: u64) -> Vec<AttemptState> {
        self.attempts.values().filter(|tried| tried.request == request).cloned().collect()
    }

    fn sent(&mut self, attempt: AttemptKey, client: u64, call: &OutgoingRequest) {
        let (fetch, now) = (&call.fetch, self.now);
        let Some(request) = self.requests.get(&client) else {
            return self.require("sent for a finished request", false);
        };
        let class = self.settings.classes[request.class].clone();
        let place = |name: &str| ENDPOINTS.iter().find(|end| end.0 == name).copied().expect("listed");
        let (_, kind, zone) = place(fetch.cache.as_str());
        let source = (fetch.source != fetch.cache).then(|| place(fetch.source.as_str()));
        let purge = |(object, group, _): &&(Option<String>, u64, Millis)| match object {
            Some(object) => *object == request.object,
            None => *group == request.group,
        };
        let purged = self.purges.iter().filter(purge).map(|(.., at)| *at).reduce(f64::max);
        let (siblings, may_bypass) = (self.settings.siblings, self.settings.bypass_allowed);
        let before = self.of(client);
        let ran: Vec<&AttemptState> =
            before.iter().filter(|tried| tried.written.is_some() && !tried.never_ran).collect();
        let out = before.iter().filter(|tried| tried.ended_at.is_none()).count();
        let cell = cell(fetch.cache.as_str());
        self.require("attempts", before.len() < self.settings.limits.max_attempts);
        self.require("bypass", kind == "std" || may_bypass);
        self.require("branch", kind != "std" || zone == "east");
        let sibling = source.is_none_or(|(_, kind, zone)| match siblings {
            _ if kind != "std" => true,
            Siblings::None => false,
            Siblings::Location => zone == "east",
            Siblings::Any => true,
        });
        self.require("siblings", sibling);
        self.require("joins", self.settings.joins || !fetch.join);
        self.require("kept", !class.uncached || fetch.retention == Retention::NoStore);
        for name in [Some(fetch.cache.as_str()), source.map(|source| source.0)].into_iter().flatten() {
            self.require("drain", self.phases.get(name) == Some(&Phase::Serving));
        }
        let notice = self.settings.guarantees.purge_notice_ms;
        let young = |at: Millis| fetch.max_age_ms.is_some_and(|age| now - age >= at);
        self.require("purge", purged.is_none_or(|at| now - at <= notice || young(at)));
        let oldest = class.fresh_ms.map(|fresh| fresh + class.stale_ms);
        self.require("age", oldest.is_none_or(|most| fetch.max_age_ms.is_some_and(|age| age <= most)));
        let copies = self.settings.limits.hedging && class.repeat == Repeat::Retryable;
        self.require("two at once", out == 0 || (copies && out == 1));
        let apart = |tried: &AttemptState| tried.ended_at.is_none_or(|at| now >= at + SLACK_MS - 1.0);
        let given_up = |tried: &&AttemptState| tried.written.is_some() && !tried.never_ran && !apart(tried);
        let again = self.settings.limits.hedging || !before.iter().any(|tried| given_up(&tried));
        self.require("apart", again);
        let may = match class.repeat {
            Repeat::Retryable => true,
            Repeat::Fragile => ran.is_empty(),
            Repeat::Dedup { scope, .. } => ran.iter().all(|one| scope == DedupScope::All || one.cell == cell),
        };
        self.require("effect", may);
        let tried = AttemptState {
            request: client,
            cell,
            send_by: call.send_by,
            written: None,
            never_ran: false,
            ended_at: None,
        };
        self.attempts.insert(attempt, tried);
    }

    /// Records that an attempt's bytes are written now.
    fn written(&mut self, attempt: AttemptKey) {
        let tried = self.attempts[&attempt].clone();
        let class = self.settings.classes[self.requests[&tried.request].class].repeat;
        let first = self
            .of(tried.request)
            .iter()
            .filter(|one| !one.never_ran)
            .filter_map(|one| one.written)
            .reduce(f64::min);
        if let (Repeat::Dedup { window_ms, .. }, Some(first)) = (class, first) {
            self.require("window", self.now <= first + window_ms + SLACK_MS);
        }
        self.attempts.entry(attempt).and_modify(|tried| tried.written = Some(self.now));
    }

    fn answered(&mut self, client: u64, reply: &Reply) {
        let Some(request) = self.requests.remove(&client) else {
            return self.require("answered twice, or without a request", false);
        };
        let class = &self.settings.classes[request.class];
        let (repeat, limits) = (class.repeat, self.settings.limits.clone());
        self.require("in time", self.now <= request.deadline + SLACK_MS);
        if let Reply::Refused { retry_after_ms, .. } = reply {
            let free = matches!(repeat, Repeat::Retryable | Repeat::Dedup { scope: DedupScope::All, .. });
            let ran = self.of(client).iter().any(|tried| tried.written.is_some() && !tried.never_ran);
            self.require("refusal", free || !ran);
            let advised =
                retry_after_ms.is_none_or(|ms| limits.retry_after && ms <= limits.max_retry_after_ms);
            self.require("retry after", advised);
        }
    }
}

/// Simulates a day in which the module has the settings `given` and the checker those of `drawn`. Returns the
/// broken rules.
fn play(drawn: &Drawn, given: Settings) -> Vec<&'static str> {
    let mut random = random_numbers(drawn.seed ^ 0x55);
    let mut reducer = Reducer::new(given, net(), drawn.seed, START_MS, UnixTime(UNIX_MS));
    let mut check = Checker {
        settings: drawn.settings.clone(),
        now: START_MS,
        attempts: BTreeMap::new(),
        requests: BTreeMap::new(),
        phases: BTreeMap::new(),
        purges: Vec::new(),
        broken: Vec::new(),
    };
    let machine = |end: &(&str, &str, &str), phase| ListedMachine {
        zone: end.2.into(),
        cell: cell(end.0),
        ..listed(end.0, end.1, phase)
    };
    let (mut rev, mut serial) = (1, 0);
    let list = ENDPOINTS.iter().map(|end| machine(end, Phase::Serving)).collect();
    check.phases.extend(ENDPOINTS.iter().map(|end| (end.0.to_owned(), Phase::Serving)));
    let announcement = Some(Announcement::Pool { snapshot: true, machines: list });
    let mut inputs =
        vec![Input::DiscoveryEvent { event: DiscoveryEvent { rev, announcement }, unix: UnixTime(UNIX_MS) }];
    for step in 0..STEPS {
        check.now = START_MS + step as f64 * STEP_MS;
        let unix = UnixTime(UNIX_MS + check.now - START_MS);
        let discovery_event = |rev: &mut u64, announcement| {
            *rev += 1;
            Input::DiscoveryEvent {
                event: DiscoveryEvent { rev: *rev, announcement: Some(announcement) },
                unix,
            }
        };
        let out: Vec<AttemptKey> = check
            .attempts
            .iter()
            .filter(|(_, tried)| tried.ended_at.is_none())
            .map(|(key, _)| *key)
            .collect();
        let one = (!out.is_empty()).then(|| out[random(out.len().max(1) as u64) as usize]);
        match (random(20), one) {
            (0..=4, _) => {
                serial += 1;
                let class = random(3) as usize;
                let settings = &drawn.settings.classes[class];
                let timeout_ms = settings.deadline_ms * (0.5 + random(50) as f64 / 100.0);
                let (object, group) = (format!("o{}", random(6)), random(3));
                let deadline = check.now + timeout_ms;
                check
                    .requests
                    .insert(serial, RequestState { class, group, object: object.clone(), deadline });
                let ask = IncomingRequest {
                    id: format!("{serial:016x}"),
                    class: settings.name.clone(),
                    timeout_ms,
                    object: Some(object),
                    group,
                    size_kb: (random(2) == 0).then(|| 1.0 + random(500) as f64),
                    ..IncomingRequest::default()
                };
                let client = RequestKey { conn: 1, serial };
                inputs.push(Input::RequestReceived { key: client, request: Ok(ask), age_ms: 0.0 });
            }
            (5..=9, Some(attempt)) if check.attempts[&attempt].written.is_none() => {
                if check.attempts[&attempt].send_by < check.now {
                    inputs.push(Input::Ended {
                        attempt,
                        end: AttemptEnd::Withheld(Withheld::SendWindowExpired),
                    });
                    check.attempts.entry(attempt).and_modify(|tried| {
                        (tried.never_ran, tried.ended_at) = (true, Some(check.now));
                    });
                } else {
                    check.written(attempt);
                    inputs.push(Input::Progressed { attempt, progress: Progress::WrittenWhole });
                }
            }
            (5..=12, Some(attempt)) if check.attempts[&attempt].written.is_some() => {
                let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Miss, Outcome::Full, Outcome::Error]
                    [random(5) as usize];
                let never_ran = matches!(outcome, Outcome::Miss | Outcome::Full);
                // The answer ends the attempt: nothing of it is outstanding.
                let ended_at = check.now - SLACK_MS;
                check
                    .attempts
                    .entry(attempt)
                    .and_modify(|tried| (tried.never_ran, tried.ended_at) = (never_ran, Some(ended_at)));
                let (cache_status, report) =
                    ((random(3) == 0).then_some(CacheStatus::Filled), LoadReport::default());
                let answer = Answer {
                    outcome,
                    body: vec![1; 9],
                    unchanged: false,
                    cache_status,
                    source_ttfb_ms: None,
                    report,
                };
                inputs.push(Input::Ended { attempt, end: AttemptEnd::Answer(answer) });
            }
            (13, Some(attempt)) => {
                let written = check.attempts[&attempt].written.is_some();
                let progress = if written { Progress::WrittenWhole } else { Progress::NotConnected };
                check.attempts.entry(attempt).and_modify(|tried| {
                    (tried.never_ran, tried.ended_at) = (!written, Some(check.now));
                });
                inputs.push(Input::Ended { attempt, end: AttemptEnd::Lost(progress) });
            }
            (14, _) if !check.requests.is_empty() => {
                let serial =
                    *check.requests.keys().nth(random(check.requests.len() as u64) as usize).expect("one");
                check.requests.remove(&serial);
                inputs.push(Input::Aborted { key: RequestKey { conn: 1, serial } });
            }
            (15, _) => {
                let end = &ENDPOINTS[random(ENDPOINTS.len() as u64) as usize];
                let phase =
                    [Phase::Serving, Phase::Serving, Phase::Draining, Phase::Deleted][random(4) as usize];
                check.phases.insert(end.0.to_owned(), phase);
                let since_unix_ms = (random(3) == 0).then_some(unix);
                let machines = vec![ListedMachine { since_unix_ms, ..machine(end, phase) }];
                inputs.push(discovery_event(&mut rev, Announcement::Pool { snapshot: false, machines }));
            }
            (16, _) => {
                let object = (random(2) == 0).then(|| format!("o{}", random(6)));
                let group = random(3);
                check.purges.push((object.clone(), group, check.now));
                inputs.push(discovery_event(
                    &mut rev,
                    Announcement::Purge { object, group, made_unix_ms: unix },
                ));
            }
            _ => {}
        }
        inputs.push(Input::TimersDue);
        for input in inputs.drain(..) {
            for effect in reducer.step(check.now, input) {
                match effect {
                    Effect::Send { attempt, request: call, .. } => {
                        let client = u64::from_str_radix(&call.request.id, 16).expect("an id of this test");
                        check.sent(attempt, client, &call);
                    }
                    Effect::Stop { attempt } => {
                        let now = check.now;
                        check.attempts.entry(attempt).and_modify(|tried| {
                            tried.never_ran |= tried.written.is_none();
                            tried.ended_at = tried.ended_at.or(Some(now));
                        });
                    }
                    Effect::Answer { key: client, reply } => check.answered(client.serial, &reply),
                    _ => {}
                }
            }
        }
        let now = check.now;
        let overdue = check.requests.values().any(|request| now > request.deadline + SLACK_MS);
        check.require("in time", !overdue);
    }
    check.broken
}

#[test]
fn the_module_and_the_reducer_obey_any_settings() {
    fn property(drawn: Drawn) -> bool {
        let broken = play(&drawn, drawn.settings.clone());
        assert!(broken.is_empty(), "{broken:?}");
        true
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(30, 5)).tests(150);
    check.quickcheck(property as fn(Drawn) -> bool);
}

#[test]
fn a_module_that_ignores_a_setting_is_detected() {
    type Ignore = fn(&mut Settings);
    let ignores: [(&str, Ignore); 13] = [
        ("attempts", |s| s.limits.max_attempts += 2),
        ("two at once", |s| s.limits.hedging = true),
        ("joins", |s| s.joins = true),
        ("siblings", |s| s.siblings = Siblings::Any),
        ("bypass", |s| s.bypass_allowed = true),
        ("branch", |s| s.zone = None),
        ("effect", |s| s.classes.iter_mut().for_each(|class| class.repeat = Repeat::Retryable)),
        ("effect", |s| {
            for class in &mut s.classes {
                if let Repeat::Dedup { scope, .. } = &mut class.repeat {
                    *scope = DedupScope::All;
                }
            }
        }),
        ("apart", |s| s.limits.hedging = true),
        ("window", |s| {
            for class in &mut s.classes {
                if let Repeat::Dedup { window_ms, .. } = &mut class.repeat {
                    *window_ms *= 8.0;
                }
            }
        }),
        ("age", |s| s.classes.iter_mut().for_each(|class| class.stale_ms += 60_000.0)),
        ("purge", |s| s.guarantees.purge_gone_ms = 0.0),
        ("kept", |s| s.classes.iter_mut().for_each(|class| class.uncached = false)),
    ];
    let mut draws = Gen::from_size_and_seed(30, 9);
    let draws: Vec<Drawn> = (0..60).map(|_| Drawn::arbitrary(&mut draws)).collect();
    for (rule, ignore) in ignores {
        let found = draws.iter().any(|drawn| {
            let mut given = drawn.settings.clone();
            ignore(&mut given);
            play(drawn, given).contains(&rule)
        });
        assert!(found, "no check detects that {rule} is ignored");
    }
}
