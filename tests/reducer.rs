//! The reducer on simulated time: every request gets exactly one final answer in time, and the decision
//! module gets truthful reports of its attempts.

mod common;

use common::{entry, settings, START_MS};
use frostturn::api::*;
use frostturn::clock::UnixTime;
use frostturn::config::NetworkSettings;
use frostturn::discovery::{Announcement, DiscoveryEvent, ListedMachine};
use frostturn::reasons::{Refusal, Withheld};
use frostturn::reducer::*;
use frostturn::runtime::Inbox;
use std::collections::BTreeMap;

/// The Unix time at [`START_MS`].
const UNIX_MS: Millis = 1.7e12;

struct Rig {
    reducer: Reducer,
    now: Millis,
    serial: u64,
    rev: u64,
}

fn listed(name: &str, kind: &str, zone: &str, phase: Phase, since_unix_ms: Option<Millis>) -> ListedMachine {
    let since_unix_ms = since_unix_ms.map(UnixTime);
    let entry = entry(name, kind, zone);
    let address = ([127, 0, 0, 1], 7000 + name.len() as u16).into();
    let (name, cell, weight) = (name.to_owned(), entry.cell, entry.weight);
    ListedMachine { name, address, zone: entry.zone, kind: entry.kind, cell, weight, phase, since_unix_ms }
}

fn net() -> NetworkSettings {
    NetworkSettings {
        dial_timeout_ms: 400.0,
        idle_ms: 30_000.0,
        streams_per_connection: 100,
        max_open_requests: 50,
        memory_bytes: 4_000_000,
        max_descriptors: 1024,
        flow_bytes_per_s: None,
    }
}

impl Rig {
    fn new() -> Self {
        let reducer = Reducer::new(settings(), net(), 1, START_MS, UnixTime(UNIX_MS));
        let mut rig = Self { reducer, now: START_MS, serial: 0, rev: 0 };
        assert!(!rig.reducer.ready(), "no machine is known yet");
        let edges = ["e1", "e2", "e3", "e4"].map(|name| ("edge", "east", name));
        let others = [("parent", "hub", "p1"), ("parent", "hub", "p2"), ("origin", "hub", "o1")];
        let all = edges.into_iter().chain(others);
        let machines = all.map(|(kind, zone, name)| listed(name, kind, zone, Phase::Serving, None)).collect();
        rig.discover(Announcement::Pool { snapshot: true, machines });
        assert!(rig.reducer.ready());
        rig
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        self.reducer.step(self.now, input)
    }

    fn discover(&mut self, announcement: Announcement) -> Vec<Effect> {
        self.rev += 1;
        let event = DiscoveryEvent { rev: self.rev, announcement: Some(announcement) };
        let unix_ms = UNIX_MS + self.now - START_MS;
        self.step(Input::DiscoveryEvent { event, unix: UnixTime(unix_ms) })
    }

    fn request_key(&self) -> RequestKey {
        RequestKey { conn: 1, serial: self.serial }
    }

    fn request(&mut self, class: &str, timeout_ms: Millis) -> Vec<Effect> {
        self.serial += 1;
        let (id, class) = (format!("c{}", self.serial), class.to_owned());
        let request = IncomingRequest {
            id,
            class,
            timeout_ms,
            object: Some("song".into()),
            size_kb: Some(10.0),
            ..IncomingRequest::default()
        };
        self.step(Input::RequestReceived { key: self.request_key(), request: Ok(request), age_ms: 0.0 })
    }

    fn connection_lost(&mut self, attempt: AttemptKey, progress: Progress) -> Vec<Effect> {
        self.step(Input::Ended { attempt, end: AttemptEnd::Lost(progress) })
    }

    fn answered(
        &mut self,
        attempt: AttemptKey,
        outcome: Outcome,
        body: usize,
        unchanged: bool,
    ) -> Vec<Effect> {
        let (cache_status, source_ttfb_ms, report) = (None, None, LoadReport::default());
        let answer = Answer { outcome, body: vec![1; body], unchanged, cache_status, source_ttfb_ms, report };
        self.step(Input::Ended { attempt, end: AttemptEnd::Answer(answer) })
    }

    /// Advances the clock in steps of 1 ms and returns all effects.
    fn wait(&mut self, span: Millis) -> Vec<Effect> {
        let end = self.now + span;
        let mut effects = Vec::new();
        while self.now < end {
            self.now += 1.0;
            effects.extend(self.step(Input::TimersDue));
        }
        effects
    }
}

fn sent_attempt(effects: &[Effect]) -> (AttemptKey, Fetch) {
    let found = effects.iter().find_map(|effect| match effect {
        Effect::Send { attempt, request: call, .. } => Some((*attempt, call.fetch.clone())),
        _ => None,
    });
    found.unwrap_or_else(|| panic!("no attempt was sent: {effects:?}"))
}

fn replies(effects: &[Effect]) -> Vec<Reply> {
    let reply = |effect: &Effect| match effect {
        Effect::Answer { reply, .. } => Some(reply.clone()),
        _ => None,
    };
    effects.iter().filter_map(reply).collect()
}

fn contains(effects: &[Effect], wanted: &Effect) -> bool {
    effects.contains(wanted)
}

#[test]
fn a_served_request_is_answered_exactly_once() {
    let mut rig = Rig::new();
    let (first, _) = sent_attempt(&rig.request("read", 4000.0));
    rig.step(Input::Progressed { attempt: first, progress: Progress::WrittenWhole });
    assert_eq!(replies(&rig.answered(first, Outcome::Ok, 5, false)), [Reply::Served(vec![1; 5])]);
    assert_eq!(replies(&rig.answered(first, Outcome::Ok, 5, false)), []);
    assert_eq!(replies(&rig.wait(5000.0)), [], "no second answer at the deadline");
    assert_eq!((rig.reducer.open_requests(), rig.reducer.counters.served), (0, 1));
}

#[test]
fn a_fragile_request_is_retried_only_if_it_was_never_sent_whole() {
    for progress in [Progress::NotConnected, Progress::PartlyWritten] {
        let mut rig = Rig::new();
        let (first, _) = sent_attempt(&rig.request("fragile", 4000.0));
        let (second, _) = sent_attempt(&rig.connection_lost(first, progress));
        let effects = rig.connection_lost(second, Progress::WrittenWhole);
        assert!(
            matches!(replies(&effects)[..], [Reply::Failed(_)]),
            "not refused, as it may have run: {effects:?}"
        );
    }
    // A machine's statement that the request never ran allows a second attempt; an error does not.
    let mut rig = Rig::new();
    let (first, _) = sent_attempt(&rig.request("fragile", 4000.0));
    let (second, _) = sent_attempt(&rig.answered(first, Outcome::Full, 0, false));
    assert!(matches!(replies(&rig.answered(second, Outcome::Error, 0, false))[..], [Reply::Failed(_)]));
}

#[test]
fn every_request_is_answered_shortly_before_its_client_gives_up() {
    for (class, refused) in [("read", true), ("fragile", false)] {
        let mut rig = Rig::new();
        let (attempt, _) = sent_attempt(&rig.request(class, 300.0));
        rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole });
        let early = rig.wait(260.0);
        assert_eq!(replies(&early), []);
        let effects = rig.wait(25.0);
        assert!(contains(&effects, &Effect::Stop { attempt }));
        match &replies(&effects)[..] {
            [Reply::Refused { retry_after_ms: Some(_), .. }] if refused => {}
            [Reply::Failed(_)] if !refused => {}
            other => panic!("{class}: {other:?}"),
        }
    }
    // The client's time-out counts from the first byte of the request.
    let mut rig = Rig::new();
    let request = IncomingRequest {
        id: "x".into(),
        class: "read".into(),
        timeout_ms: 500.0,
        ..IncomingRequest::default()
    };
    let key = RequestKey { conn: 9, serial: 1 };
    let effects = rig.step(Input::RequestReceived { key, request: Ok(request), age_ms: 480.0 });
    assert!(matches!(replies(&effects)[..], [Reply::Refused { .. }]), "no time is left to serve it");
}

#[test]
fn an_aborted_request_gets_no_answer_and_its_attempts_are_stopped() {
    let mut rig = Rig::new();
    let (attempt, _) = sent_attempt(&rig.request("read", 1000.0));
    let key = rig.request_key();
    let effects = rig.step(Input::Aborted { key });
    assert!(contains(&effects, &Effect::Stop { attempt }) && replies(&effects).is_empty());
    let (attempt, _) = sent_attempt(&rig.request("read", 1000.0));
    let effects = rig.step(Input::ConnectionClosed { conn: 1 });
    assert!(contains(&effects, &Effect::Stop { attempt }));
    assert_eq!(replies(&rig.wait(1200.0)), []);
    assert_eq!((rig.reducer.open_requests(), rig.reducer.counters.aborted), (0, 2));
}

#[test]
fn without_hedging_an_attempt_is_delayed_after_one_that_was_given_up() {
    for hedging in [false, true] {
        let mut rig = Rig::new();
        let mut settings = settings();
        settings.limits.hedging = hedging;
        let net = NetworkSettings { dial_timeout_ms: 2000.0, ..net() };
        rig.reducer = Reducer::new(settings, net, 1, START_MS, UnixTime(UNIX_MS));
        let machines = ["e1", "e2"].map(|name| listed(name, "edge", "east", Phase::Serving, None)).into();
        rig.discover(Announcement::Pool { snapshot: true, machines });
        let written = |rig: &mut Rig| {
            let (attempt, fetch) = sent_attempt(&rig.request("read", 3000.0));
            rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole });
            (attempt, fetch)
        };
        // The connection breaks: without hedging, nothing is sent in the next 50 ms.
        let (first, _) = written(&mut rig);
        let now = rig.connection_lost(first, Progress::WrittenWhole);
        let early = [now, rig.wait(48.0)].concat();
        let late = rig.wait(4.0);
        let (expected, silent) = if hedging { (early, late) } else { (late, early) };
        let (again, _) = sent_attempt(&expected);
        assert!(!silent.iter().any(|effect| matches!(effect, Effect::Send { .. })));
        rig.answered(again, Outcome::Ok, 3, false);
        // A delayed attempt is withdrawn by a drain or a purge like any unsent one, and the client may leave.
        let (second, fetch) = written(&mut rig);
        rig.connection_lost(second, Progress::WrittenWhole);
        let other = if fetch.cache == "e1".into() { "e2" } else { "e1" };
        let machines = vec![listed(other, "edge", "east", Phase::Draining, None)];
        rig.discover(Announcement::Pool { snapshot: false, machines });
        rig.step(Input::Aborted { key: rig.request_key() });
        let after = rig.wait(100.0);
        assert!(!after.iter().any(|effect| matches!(effect, Effect::Send { .. })), "{after:?}");
        // An attempt that was never sent delays neither the next attempt nor a final answer.
        rig.serial += 1;
        let (third, _) = sent_attempt(&rig.request("read", 3000.0));
        assert!(matches!(
            replies(&rig.connection_lost(third, Progress::NotConnected))[..],
            [] | [Reply::Refused { .. }]
        ));
    }
}

#[test]
fn timers_run_only_after_all_inputs_of_the_same_turn() {
    let mut rig = Rig::new();
    let (attempt, _) = sent_attempt(&rig.request("read", 2000.0));
    rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole });
    // The request's and the attempt's deadlines have passed, but another client's input comes first.
    rig.now += 3000.0;
    let other = RequestKey { conn: 2, serial: 1 };
    let answered = Effect::Answer { key: other, reply: Reply::Health(true) };
    assert_eq!(rig.step(Input::Health { key: other }), [answered], "timers have not run");
    let stopped = rig.step(Input::Aborted { key: rig.request_key() });
    assert_eq!(stopped, [Effect::Stop { attempt }], "neither answered nor retried");
    assert!(rig.step(Input::TimersDue).iter().all(|effect| matches!(effect, Effect::Log(_))));
    // A request whose answer arrives in the same event loop turn is served.
    let (attempt, _) = sent_attempt(&rig.request("read", 2000.0));
    rig.now += 3000.0;
    assert!(matches!(replies(&rig.answered(attempt, Outcome::Ok, 5, false))[..], [Reply::Served(_)]));
}

#[test]
fn a_queued_attempt_is_withdrawn_when_its_machine_or_source_leaves() {
    for source in [false, true] {
        let mut rig = Rig::new();
        let (attempt, fetch) = sent_attempt(&rig.request("read", 4000.0));
        let (name, kind, zone) = match source {
            true => (fetch.source.as_str(), "parent", "hub"),
            false => (fetch.cache.as_str(), "edge", "east"),
        };
        let machines = vec![listed(name, kind, zone, Phase::Draining, None)];
        let effects = rig.discover(Announcement::Pool { snapshot: false, machines });
        assert!(
            contains(&effects, &Effect::Stop { attempt })
                && contains(&effects, &Effect::Retire { machine: name.into() })
        );
        let (_, next) = sent_attempt(&effects);
        assert!(next.cache.as_str() != name && next.source.as_str() != name);
        assert_eq!(rig.reducer.counters.attempt_pulled, 1);
    }
    // An attempt that is partly sent is not withdrawn.
    let mut rig = Rig::new();
    let (attempt, fetch) = sent_attempt(&rig.request("read", 4000.0));
    rig.step(Input::Progressed { attempt, progress: Progress::PartlyWritten });
    let machines = vec![listed(fetch.cache.as_str(), "edge", "east", Phase::Deleted, None)];
    assert!(!contains(
        &rig.discover(Announcement::Pool { snapshot: false, machines }),
        &Effect::Stop { attempt }
    ));
}

#[test]
fn an_attempt_queued_for_too_long_is_withdrawn_and_sent_again() {
    let mut rig = Rig::new();
    let (attempt, _) = sent_attempt(&rig.request("fragile", 4000.0));
    let effects = rig.wait(620.0);
    assert!(contains(&effects, &Effect::Stop { attempt }));
    sent_attempt(&effects); // Nothing was sent, so even a fragile request may be sent again.
}

#[test]
fn send_progress_is_processed_before_inputs_that_give_the_attempt_up() {
    let mut rig = Rig::new();
    let (attempt, _) = sent_attempt(&rig.request("fragile", 200.0));
    let mut inbox = Inbox::default();
    rig.now += 190.0;
    inbox.extend([Input::TimersDue, Input::Progressed { attempt, progress: Progress::WrittenWhole }]);
    let effects: Vec<Effect> = std::iter::from_fn(|| inbox.pop()).flat_map(|input| rig.step(input)).collect();
    assert!(matches!(replies(&effects)[..], [Reply::Failed(_)]), "it may have run: {effects:?}");
}

#[test]
fn a_machine_restart_is_reported_once_per_start() {
    let mut rig = Rig::new();
    let start = |rig: &mut Rig, since: Option<Millis>| {
        let machines = vec![listed("e1", "edge", "east", Phase::Serving, since)];
        let effects = rig.discover(Announcement::Pool { snapshot: false, machines });
        effects.iter().filter(|effect| matches!(effect, Effect::MachineRestarted { .. })).count()
    };
    let since = UNIX_MS + 1234.5;
    let counts = [None, Some(since), Some(since), Some(since + 9.0)].map(|since| start(&mut rig, since));
    assert_eq!(counts, [0, 1, 0, 1]);
    // A machine that a complete list lacks is deleted.
    let machines = vec![listed("e2", "edge", "east", Phase::Serving, None)];
    let effects = rig.discover(Announcement::Pool { snapshot: true, machines });
    assert!(contains(&effects, &Effect::Retire { machine: "e1".into() }));
    assert!(!contains(&effects, &Effect::Retire { machine: "e2".into() }));
}

#[test]
fn deleted_machines_are_eventually_forgotten() {
    // In production, machines are replaced under new names, day after day.
    let mut rig = Rig::new();
    for at in 0..300 {
        for phase in [Phase::Serving, Phase::Deleted] {
            let machines = vec![listed(&format!("s{at}"), "edge", "east", phase, None)];
            rig.discover(Announcement::Pool { snapshot: false, machines });
        }
        rig.now += 1000.0;
    }
    assert!(rig.reducer.known_machines() < 50, "{}", rig.reducer.known_machines());
}

#[test]
fn a_purge_counts_from_the_time_it_was_made() {
    let mut rig = Rig::new();
    rig.now += 1000.0;
    let made_unix_ms = UnixTime(UNIX_MS + 400.0);
    rig.discover(Announcement::Purge { object: Some("song".into()), group: 0, made_unix_ms });
    let (_, fetch) = sent_attempt(&rig.request("read", 4000.0));
    assert!(fetch.max_age_ms.is_some_and(|age| age > 500.0 && age < 600.0), "{fetch:?}");
}

#[test]
fn answers_to_slow_clients_are_dropped_before_memory_runs_out() {
    let mut rig = Rig::new();
    let serve = |rig: &mut Rig, class: &str, conn: u64| {
        rig.serial += 1;
        let key = RequestKey { conn, serial: rig.serial };
        let id = format!("x{}", rig.serial);
        let request =
            IncomingRequest { id, class: class.into(), timeout_ms: 4000.0, ..IncomingRequest::default() };
        let (attempt, _) =
            sent_attempt(&rig.step(Input::RequestReceived { key, request: Ok(request), age_ms: 0.0 }));
        replies(&rig.answered(attempt, Outcome::Ok, 240_000, false)).remove(0)
    };
    // A client that does not read gets a fifth of 4 MB at most.
    let taken = (0..9).filter(|_| matches!(serve(&mut rig, "read", 1), Reply::Served(_))).count();
    assert_eq!(taken, 3);
    assert!(matches!(serve(&mut rig, "fragile", 1), Reply::Failed(_)), "it has run, so it is not refused");
    assert!(matches!(serve(&mut rig, "read", 2), Reply::Served(_)), "other clients are still served");
    rig.step(Input::Flushed { conn: 1, bytes: 700_000 });
    assert!(matches!(serve(&mut rig, "read", 1), Reply::Served(_)), "it is served again once it reads");
}

#[test]
fn an_unchanged_answer_is_an_error_if_the_client_named_no_copy() {
    let mut rig = Rig::new();
    let (attempt, _) = sent_attempt(&rig.request("read", 4000.0));
    let effects = rig.answered(attempt, Outcome::Ok, 0, true);
    assert_eq!(replies(&effects), []);
    sent_attempt(&effects);
}

#[test]
fn an_excessive_timeout_or_the_id_of_an_open_request_fails_the_request() {
    let mut rig = Rig::new();
    assert!(
        matches!(replies(&rig.request("read", 9e5))[..], [Reply::Failed(_)]),
        "its state would be kept far too long"
    );
    let (first, _) = sent_attempt(&rig.request("read", 4000.0));
    rig.serial -= 1;
    let other_key = RequestKey { conn: 2, serial: 1 };
    let request = IncomingRequest {
        id: "c2".into(),
        class: "read".into(),
        timeout_ms: 4000.0,
        ..IncomingRequest::default()
    };
    let effects =
        rig.step(Input::RequestReceived { key: other_key, request: Ok(request.clone()), age_ms: 0.0 });
    assert!(matches!(replies(&effects)[..], [Reply::Failed(_)]), "{effects:?}");
    rig.answered(first, Outcome::Ok, 5, false);
    sent_attempt(&rig.step(Input::RequestReceived { key: other_key, request: Ok(request), age_ms: 0.0 }));
}

#[test]
fn termination_serves_late_arrivals_answers_all_requests_and_exits() {
    let exits = |effect: &Effect| matches!(effect, Effect::Exit { .. });
    let mut rig = Rig::new();
    let (attempt, _) = sent_attempt(&rig.request("read", 4000.0));
    rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole });
    rig.step(Input::Terminate);
    assert!(!rig.reducer.ready());
    let early = rig.wait(650.0);
    assert!(!contains(&early, &Effect::StopListening));
    let (late, _) = sent_attempt(&rig.request("read", 4000.0));
    rig.answered(late, Outcome::Ok, 1, false);
    let effects = rig.wait(100.0);
    assert!(contains(&effects, &Effect::StopListening) && !effects.iter().any(exits), "a request is open");
    let effects = rig.wait(2800.0);
    assert_eq!(replies(&effects).len(), 1, "answered before SIGKILL can come");
    assert_eq!(effects.iter().filter(|effect| exits(effect)).count(), 1);
}

#[test]
fn under_random_inputs_each_request_gets_one_answer_in_time() {
    for seed in 1..40_u64 {
        let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut chance = move |most: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % most
        };
        let mut rig = Rig::new();
        let mut open: BTreeMap<u64, Millis> = BTreeMap::new();
        let mut out: Vec<AttemptKey> = Vec::new();
        for _ in 0..1500 {
            let effects = match chance(12) {
                0..=3 => {
                    let class = ["read", "page", "keyed", "fragile", "none"][chance(5) as usize];
                    let timeout = 50.0 + chance(3000) as f64;
                    open.insert(rig.serial + 1, rig.now + timeout);
                    rig.request(class, timeout)
                }
                4..=6 if !out.is_empty() => {
                    let attempt = out.swap_remove(chance(out.len() as u64) as usize);
                    match chance(7) {
                        0 => rig.connection_lost(attempt, Progress::NotConnected),
                        1 => rig.connection_lost(attempt, Progress::WrittenWhole),
                        2 => rig.answered(attempt, Outcome::Miss, 0, false),
                        3 => rig.answered(attempt, Outcome::Error, 0, false),
                        _ => rig.answered(attempt, Outcome::Ok, 9, false),
                    }
                }
                7 if !out.is_empty() => {
                    let attempt = out[chance(out.len() as u64) as usize];
                    rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole })
                }
                8 => {
                    let name = ["e1", "e2", "e3"][chance(3) as usize];
                    let phase = [Phase::Serving, Phase::Draining, Phase::Deleted][chance(3) as usize];
                    let since = Some(UNIX_MS + chance(9000) as f64);
                    rig.discover(Announcement::Pool {
                        snapshot: false,
                        machines: vec![listed(name, "edge", "east", phase, since)],
                    })
                }
                9 if !open.is_empty() => {
                    let serial =
                        *open.keys().nth(chance(open.len() as u64) as usize).expect("a request is open");
                    open.remove(&serial);
                    rig.step(Input::Aborted { key: RequestKey { conn: 1, serial } })
                }
                _ => {
                    rig.now += chance(40) as f64;
                    rig.step(Input::TimersDue)
                }
            };
            for effect in effects {
                match effect {
                    Effect::Send { attempt, .. } => out.push(attempt),
                    Effect::Stop { attempt } => out.retain(|other| *other != attempt),
                    Effect::Answer { key, .. } => {
                        assert!(
                            open.remove(&key.serial).is_some(),
                            "seed {seed}: answered twice or after an abort"
                        );
                    }
                    _ => {}
                }
            }
            assert!(
                open.values().all(|deadline| rig.now < *deadline + 15.0),
                "seed {seed}: a request was not answered in time"
            );
        }
        rig.wait(3500.0).iter().for_each(|effect| {
            if let Effect::Answer { key, .. } = effect {
                assert!(open.remove(&key.serial).is_some());
            }
        });
        assert!(open.is_empty() && rig.reducer.open_requests() == 0);
    }
}

#[test]
fn a_local_resource_shortage_does_not_count_against_a_machine() {
    // Counting a local shortage as a failed connection ejected healthy machines, as two such failures eject
    // one.
    let homes = |end: fn() -> AttemptEnd| {
        let mut rig = Rig::new();
        let mut home = || {
            let (key, fetch) = sent_attempt(&rig.request("read", 4000.0));
            let (next, _) = sent_attempt(&rig.step(Input::Ended { attempt: key, end: end() }));
            assert_eq!(replies(&rig.answered(next, Outcome::Ok, 5, false)).len(), 1);
            fetch.cache
        };
        let first = home();
        (1..8).filter(|_| home() == first).count()
    };
    assert!(
        homes(|| AttemptEnd::Lost(Progress::NotConnected)) < 7,
        "an unreachable machine loses its objects"
    );
    assert_eq!(homes(|| AttemptEnd::NoRoom), 7, "the home does not change");
}

#[test]
fn a_send_permit_carries_the_time_left_and_is_denied_once_it_is_used_up_or_the_attempt_given_up() {
    let mut rig = Rig::new();
    let (attempt, fetch) = sent_attempt(&rig.request("read", 4000.0));
    let at_once = rig.reducer.permit(rig.now, attempt).expect("it may begin").limit_ms;
    assert!(at_once > 0.0 && at_once <= 4000.0 && (fetch.timeout_ms == 0.0 || at_once <= fetch.timeout_ms));
    // The event loop was stalled, so that no timer has withdrawn the attempt.
    let later = rig.reducer.permit(rig.now + 100.0, attempt).expect("it may still begin").limit_ms;
    assert_eq!(later, at_once - 100.0);
    assert_eq!(rig.reducer.permit(rig.now + 5000.0, attempt), Err(Withheld::SendWindowExpired));
    rig.step(Input::Aborted { key: rig.request_key() });
    assert_eq!(rig.reducer.permit(rig.now, attempt), Err(Withheld::UnknownAttempt));
    assert_eq!(rig.reducer.counters.reasons.withheld.total(), 2);
    assert!(Withheld::UnknownAttempt.is_violation() && !Withheld::SendWindowExpired.is_violation());
}

#[test]
fn open_requests_on_a_closing_connection_are_refused_if_a_repeat_is_harmless_else_failed() {
    for (class, written, harmless) in
        [("read", true, true), ("fragile", false, true), ("fragile", true, false)]
    {
        let mut rig = Rig::new();
        rig.step(Input::Operator { caller: 1, call: frostturn::ops::Call::Evacuate });
        let (attempt, _) = sent_attempt(&rig.request(class, 4000.0));
        if written {
            rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole });
        }
        let effects = rig.step(Input::ConnectionClosing { conn: 1 });
        let refused = matches!(replies(&effects)[..], [Reply::Refused { reason: Refusal::Draining, .. }]);
        let failed = matches!(replies(&effects)[..], [Reply::Failed(Failure::GivenUp(Refusal::Draining))]);
        assert_eq!((refused, failed), (harmless, !harmless), "{class}, written: {written}: {effects:?}");
        assert!(contains(&effects, &Effect::Stop { attempt }) && rig.reducer.open_requests() == 0);
    }
}

/// Guards against a repeat whose first byte is sent within its window and whose last byte leaves after it.
#[test]
fn the_rest_of_a_partly_written_repeat_is_withheld_once_its_window_is_over() {
    const WINDOW_MS: Millis = 1000.0;
    for (class, denied) in [("keyed", true), ("read", false)] {
        let mut rig = Rig::new();
        let (first, _) = sent_attempt(&rig.request(class, 4000.0));
        rig.step(Input::Progressed { attempt: first, progress: Progress::PartlyWritten });
        let sent_at = rig.now;
        let alone = rig.reducer.permit_rest(sent_at + WINDOW_MS + 1.0, first);
        assert_eq!(alone, Ok(()), "{class}: no other attempt may have run");
        rig.step(Input::Progressed { attempt: first, progress: Progress::WrittenWhole });
        let lost = rig.connection_lost(first, Progress::WrittenWhole);
        let (second, _) = sent_attempt(&[lost, rig.wait(60.0)].concat());
        rig.step(Input::Progressed { attempt: second, progress: Progress::PartlyWritten });
        assert_eq!(rig.reducer.permit_rest(sent_at + WINDOW_MS, second), Ok(()), "{class}");
        let late = rig.reducer.permit_rest(sent_at + WINDOW_MS + 1.0, second);
        assert_eq!(late == Err(Withheld::RepeatWindowExpired), denied, "{class}: {late:?}");
    }
}

/// Guards against timers that outlive their requests, of which thousands may end each second.
#[test]
fn no_timer_of_a_request_outlives_it() {
    let mut rig = Rig::new();
    rig.request("read", 4000.0);
    rig.step(Input::Aborted { key: rig.request_key() });
    let before = rig.reducer.timers_set();
    for round in 0..200 {
        let (attempt, _) = sent_attempt(&rig.request("read", 4000.0));
        match round % 3 {
            0 => drop(rig.answered(attempt, Outcome::Ok, 10, false)),
            1 => drop(rig.step(Input::Aborted { key: rig.request_key() })),
            _ => {
                let (again, _) = sent_attempt(&rig.answered(attempt, Outcome::Full, 0, false));
                rig.answered(again, Outcome::Ok, 10, false);
            }
        }
        assert!(rig.reducer.timers_set() <= before, "{} after {round}", rig.reducer.timers_set());
    }
}
