//! The reducer on made-up time: one final answer each, in time, and true reports to the module.

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
        assert!(!rig.reducer.ready(), "nothing to serve from");
        let edges = ["e1", "e2", "e3", "e4"].map(|name| ("edge", "east", name));
        let rest = [("parent", "hub", "p1"), ("parent", "hub", "p2"), ("origin", "hub", "o1")];
        let all = edges.into_iter().chain(rest);
        let machines = all.map(|(kind, zone, name)| listed(name, kind, zone, Phase::Serving, None)).collect();
        rig.word(Announcement::Pool { snapshot: true, machines });
        assert!(rig.reducer.ready());
        rig
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        self.reducer.step(self.now, input)
    }

    fn word(&mut self, word: Announcement) -> Vec<Effect> {
        self.rev += 1;
        let notice = DiscoveryEvent { rev: self.rev, announcement: Some(word) };
        let unix_ms = UNIX_MS + self.now - START_MS;
        self.step(Input::DiscoveryEvent { notice, unix: UnixTime(unix_ms) })
    }

    fn client(&self) -> RequestKey {
        RequestKey { conn: 1, serial: self.serial }
    }

    fn ask(&mut self, class: &str, timeout_ms: Millis) -> Vec<Effect> {
        self.serial += 1;
        let (id, class) = (format!("c{}", self.serial), class.to_owned());
        let ask = IncomingRequest {
            id,
            class,
            timeout_ms,
            object: Some("song".into()),
            size_kb: Some(10.0),
            ..IncomingRequest::default()
        };
        self.step(Input::RequestReceived { key: self.client(), request: Ok(ask), age_ms: 0.0 })
    }

    fn lost(&mut self, attempt: AttemptKey, progress: Progress) -> Vec<Effect> {
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

    /// Lets time pass in steps of a millisecond.
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

fn sent(effects: &[Effect]) -> (AttemptKey, Fetch) {
    let found = effects.iter().find_map(|effect| match effect {
        Effect::Send { attempt, request: call, .. } => Some((*attempt, call.fetch.clone())),
        _ => None,
    });
    found.unwrap_or_else(|| panic!("nothing sent in {effects:?}"))
}

fn replies(effects: &[Effect]) -> Vec<Reply> {
    let reply = |effect: &Effect| match effect {
        Effect::Answer { reply, .. } => Some(reply.clone()),
        _ => None,
    };
    effects.iter().filter_map(reply).collect()
}

fn has(effects: &[Effect], wanted: &Effect) -> bool {
    effects.contains(wanted)
}

#[test]
fn a_served_request_is_answered_once_and_what_comes_later_is_not() {
    let mut rig = Rig::new();
    let (first, _) = sent(&rig.ask("read", 4000.0));
    rig.step(Input::Progressed { attempt: first, progress: Progress::WrittenWhole });
    assert_eq!(replies(&rig.answered(first, Outcome::Ok, 5, false)), [Reply::Served(vec![1; 5])]);
    assert_eq!(replies(&rig.answered(first, Outcome::Ok, 5, false)), []);
    assert_eq!(replies(&rig.wait(5000.0)), [], "nor at its deadline");
    assert_eq!((rig.reducer.open_requests(), rig.reducer.counters.served), (0, 1));
}

#[test]
fn a_fragile_request_goes_out_again_only_if_it_never_left_whole() {
    for progress in [Progress::NotConnected, Progress::PartlyWritten] {
        let mut rig = Rig::new();
        let (first, _) = sent(&rig.ask("fragile", 4000.0));
        let (second, _) = sent(&rig.lost(first, progress));
        let effects = rig.lost(second, Progress::WrittenWhole);
        assert!(matches!(replies(&effects)[..], [Reply::Failed(_)]), "not refused either: {effects:?}");
    }
    // The machine's own word that it never ran counts, too; an error doesn't.
    let mut rig = Rig::new();
    let (first, _) = sent(&rig.ask("fragile", 4000.0));
    let (second, _) = sent(&rig.answered(first, Outcome::Full, 0, false));
    assert!(matches!(replies(&rig.answered(second, Outcome::Error, 0, false))[..], [Reply::Failed(_)]));
}

#[test]
fn every_request_is_answered_a_little_before_its_client_gives_up() {
    for (class, refused) in [("read", true), ("fragile", false)] {
        let mut rig = Rig::new();
        let (attempt, _) = sent(&rig.ask(class, 300.0));
        rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole });
        let early = rig.wait(260.0);
        assert_eq!(replies(&early), []);
        let effects = rig.wait(25.0);
        assert!(has(&effects, &Effect::Stop { attempt }));
        match &replies(&effects)[..] {
            [Reply::Refused { retry_after_ms: Some(_), .. }] if refused => {}
            [Reply::Failed(_)] if !refused => {}
            other => panic!("{class}: {other:?}"),
        }
    }
    // Its time counts from when it began to come.
    let mut rig = Rig::new();
    let ask = IncomingRequest {
        id: "x".into(),
        class: "read".into(),
        timeout_ms: 500.0,
        ..IncomingRequest::default()
    };
    let client = RequestKey { conn: 9, serial: 1 };
    let effects = rig.step(Input::RequestReceived { key: client, request: Ok(ask), age_ms: 480.0 });
    assert!(matches!(replies(&effects)[..], [Reply::Refused { .. }]), "too late to do anything");
}

#[test]
fn an_aborted_request_gets_no_answer_and_its_attempts_are_stopped() {
    let mut rig = Rig::new();
    let (attempt, _) = sent(&rig.ask("read", 1000.0));
    let client = rig.client();
    let effects = rig.step(Input::Aborted { key: client });
    assert!(has(&effects, &Effect::Stop { attempt }) && replies(&effects).is_empty());
    let (attempt, _) = sent(&rig.ask("read", 1000.0));
    let effects = rig.step(Input::ConnectionClosed { conn: 1 });
    assert!(has(&effects, &Effect::Stop { attempt }));
    assert_eq!(replies(&rig.wait(1200.0)), []);
    assert_eq!((rig.reducer.open_requests(), rig.reducer.counters.aborted), (0, 2));
}

#[test]
fn without_second_copies_the_next_attempt_keeps_apart_from_one_that_was_given_up() {
    for hedging in [false, true] {
        let mut rig = Rig::new();
        let mut settings = settings();
        settings.limits.hedging = hedging;
        let net = NetworkSettings { dial_timeout_ms: 2000.0, ..net() };
        rig.reducer = Reducer::new(settings, net, 1, START_MS, UnixTime(UNIX_MS));
        let machines = ["e1", "e2"].map(|name| listed(name, "edge", "east", Phase::Serving, None)).into();
        rig.word(Announcement::Pool { snapshot: true, machines });
        let written = |rig: &mut Rig| {
            let (attempt, fetch) = sent(&rig.ask("read", 3000.0));
            rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole });
            (attempt, fetch)
        };
        // Its connection breaks: nothing leaves in the next 50 ms where the settings want it so.
        let (first, _) = written(&mut rig);
        let now = rig.lost(first, Progress::WrittenWhole);
        let early = [now, rig.wait(48.0)].concat();
        let late = rig.wait(4.0);
        let (at_once, then) = if hedging { (early, late) } else { (late, early) };
        let (again, _) = sent(&at_once);
        assert!(!then.iter().any(|effect| matches!(effect, Effect::Send { .. })));
        rig.answered(again, Outcome::Ok, 3, false);
        // Meanwhile what waits is pulled by a drain or a purge like all that has not left, and a client may leave.
        let (second, fetch) = written(&mut rig);
        rig.lost(second, Progress::WrittenWhole);
        let other = if fetch.cache == "e1".into() { "e2" } else { "e1" };
        let machines = vec![listed(other, "edge", "east", Phase::Draining, None)];
        rig.word(Announcement::Pool { snapshot: false, machines });
        rig.step(Input::Aborted { key: rig.client() });
        let after = rig.wait(100.0);
        assert!(!after.iter().any(|effect| matches!(effect, Effect::Send { .. })), "{after:?}");
        // What never left is no reason to wait, and a final answer is none to be held back.
        rig.serial += 1;
        let (third, _) = sent(&rig.ask("read", 3000.0));
        assert!(matches!(
            replies(&rig.lost(third, Progress::NotConnected))[..],
            [] | [Reply::Refused { .. }]
        ));
    }
}

#[test]
fn a_timer_acts_only_once_all_that_came_with_it_is_heard() {
    let mut rig = Rig::new();
    let (attempt, _) = sent(&rig.ask("read", 2000.0));
    rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole });
    // Its time is up, and so is that of its attempt; another client is heard first.
    rig.now += 3000.0;
    let other = RequestKey { conn: 2, serial: 1 };
    let answered = Effect::Answer { key: other, reply: Reply::Health(true) };
    assert_eq!(rig.step(Input::Health { key: other }), [answered], "and nothing else");
    let stopped = rig.step(Input::Aborted { key: rig.client() });
    assert_eq!(stopped, [Effect::Stop { attempt }], "not answered, not tried again");
    assert!(rig.step(Input::TimersDue).iter().all(|effect| matches!(effect, Effect::Log(_))));
    // And one that has its answer in that wake is served.
    let (attempt, _) = sent(&rig.ask("read", 2000.0));
    rig.now += 3000.0;
    assert!(matches!(replies(&rig.answered(attempt, Outcome::Ok, 5, false))[..], [Reply::Served(_)]));
}

#[test]
fn what_waits_in_a_queue_is_pulled_when_its_machine_or_source_leaves() {
    for source in [false, true] {
        let mut rig = Rig::new();
        let (attempt, fetch) = sent(&rig.ask("read", 4000.0));
        let (name, kind, zone) = match source {
            true => (fetch.source.as_str(), "parent", "hub"),
            false => (fetch.cache.as_str(), "edge", "east"),
        };
        let machines = vec![listed(name, kind, zone, Phase::Draining, None)];
        let effects = rig.word(Announcement::Pool { snapshot: false, machines });
        assert!(
            has(&effects, &Effect::Stop { attempt })
                && has(&effects, &Effect::Retire { machine: name.into() })
        );
        let (_, next) = sent(&effects);
        assert!(next.cache.as_str() != name && next.source.as_str() != name);
        assert_eq!(rig.reducer.counters.attempt_pulled, 1);
    }
    // What has begun to leave is left alone.
    let mut rig = Rig::new();
    let (attempt, fetch) = sent(&rig.ask("read", 4000.0));
    rig.step(Input::Progressed { attempt, progress: Progress::PartlyWritten });
    let machines = vec![listed(fetch.cache.as_str(), "edge", "east", Phase::Deleted, None)];
    assert!(!has(&rig.word(Announcement::Pool { snapshot: false, machines }), &Effect::Stop { attempt }));
}

#[test]
fn what_waits_in_a_queue_for_long_is_pulled_and_sent_anew() {
    let mut rig = Rig::new();
    let (attempt, _) = sent(&rig.ask("fragile", 4000.0));
    let effects = rig.wait(620.0);
    assert!(has(&effects, &Effect::Stop { attempt }));
    sent(&effects); // Nothing of it had left, so even this one may go out again.
}

#[test]
fn what_has_left_is_known_before_anything_that_gives_it_up() {
    let mut rig = Rig::new();
    let (attempt, _) = sent(&rig.ask("fragile", 200.0));
    let mut inbox = Inbox::default();
    rig.now += 190.0;
    inbox.extend([Input::TimersDue, Input::Progressed { attempt, progress: Progress::WrittenWhole }]);
    let effects: Vec<Effect> = std::iter::from_fn(|| inbox.pop()).flat_map(|input| rig.step(input)).collect();
    assert!(matches!(replies(&effects)[..], [Reply::Failed(_)]), "it may have run: {effects:?}");
}

#[test]
fn a_machine_that_started_anew_is_told_of_once_for_each_start() {
    let mut rig = Rig::new();
    let start = |rig: &mut Rig, since: Option<Millis>| {
        let machines = vec![listed("e1", "edge", "east", Phase::Serving, since)];
        let effects = rig.word(Announcement::Pool { snapshot: false, machines });
        effects.iter().filter(|effect| matches!(effect, Effect::MachineRestarted { .. })).count()
    };
    let since = UNIX_MS + 1234.5;
    let counts = [None, Some(since), Some(since), Some(since + 9.0)].map(|since| start(&mut rig, since));
    assert_eq!(counts, [0, 1, 0, 1]);
    // What a whole list doesn't hold is gone.
    let machines = vec![listed("e2", "edge", "east", Phase::Serving, None)];
    let effects = rig.word(Announcement::Pool { snapshot: true, machines });
    assert!(has(&effects, &Effect::Retire { machine: "e1".into() }));
    assert!(!has(&effects, &Effect::Retire { machine: "e2".into() }));
}

#[test]
fn machines_that_have_left_are_forgotten_some_time_later() {
    // In service each is replaced under a new name, day after day.
    let mut rig = Rig::new();
    for at in 0..300 {
        for phase in [Phase::Serving, Phase::Deleted] {
            let machines = vec![listed(&format!("s{at}"), "edge", "east", phase, None)];
            rig.word(Announcement::Pool { snapshot: false, machines });
        }
        rig.now += 1000.0;
    }
    assert!(rig.reducer.known_machines() < 50, "{}", rig.reducer.known_machines());
}

#[test]
fn a_purge_counts_from_when_it_was_made() {
    let mut rig = Rig::new();
    rig.now += 1000.0;
    let made_unix_ms = UnixTime(UNIX_MS + 400.0);
    rig.word(Announcement::Purge { object: Some("song".into()), group: 0, made_unix_ms });
    let (_, fetch) = sent(&rig.ask("read", 4000.0));
    assert!(fetch.max_age_ms.is_some_and(|age| age > 500.0 && age < 600.0), "{fetch:?}");
}

#[test]
fn slow_clients_are_shed_before_memory_runs_out() {
    let mut rig = Rig::new();
    let serve = |rig: &mut Rig, class: &str, conn: u64| {
        rig.serial += 1;
        let client = RequestKey { conn, serial: rig.serial };
        let id = format!("x{}", rig.serial);
        let ask =
            IncomingRequest { id, class: class.into(), timeout_ms: 4000.0, ..IncomingRequest::default() };
        let (attempt, _) =
            sent(&rig.step(Input::RequestReceived { key: client, request: Ok(ask), age_ms: 0.0 }));
        replies(&rig.answered(attempt, Outcome::Ok, 240_000, false)).remove(0)
    };
    // A fifth of 4 MB for one that doesn't read, and not a byte more.
    let taken = (0..9).filter(|_| matches!(serve(&mut rig, "read", 1), Reply::Served(_))).count();
    assert_eq!(taken, 3);
    assert!(matches!(serve(&mut rig, "fragile", 1), Reply::Failed(_)), "it has run: no refusal");
    assert!(matches!(serve(&mut rig, "read", 2), Reply::Served(_)), "others go on");
    rig.step(Input::Flushed { conn: 1, bytes: 700_000 });
    assert!(matches!(serve(&mut rig, "read", 1), Reply::Served(_)), "and it does once it reads");
}

#[test]
fn a_copy_that_the_client_never_named_cannot_be_the_one() {
    let mut rig = Rig::new();
    let (attempt, _) = sent(&rig.ask("read", 4000.0));
    let effects = rig.answered(attempt, Outcome::Ok, 0, true);
    assert_eq!(replies(&effects), []);
    sent(&effects);
}

#[test]
fn what_nobody_would_wait_for_or_bears_the_id_of_an_open_request_is_failed() {
    let mut rig = Rig::new();
    assert!(matches!(replies(&rig.ask("read", 9e5))[..], [Reply::Failed(_)]), "it would be held for ever");
    let (first, _) = sent(&rig.ask("read", 4000.0));
    rig.serial -= 1;
    let again = RequestKey { conn: 2, serial: 1 };
    let ask = IncomingRequest {
        id: "c2".into(),
        class: "read".into(),
        timeout_ms: 4000.0,
        ..IncomingRequest::default()
    };
    let effects = rig.step(Input::RequestReceived { key: again, request: Ok(ask.clone()), age_ms: 0.0 });
    assert!(matches!(replies(&effects)[..], [Reply::Failed(_)]), "{effects:?}");
    rig.answered(first, Outcome::Ok, 5, false);
    sent(&rig.step(Input::RequestReceived { key: again, request: Ok(ask), age_ms: 0.0 }));
}

#[test]
fn told_to_end_it_serves_what_comes_answers_all_and_ends() {
    let exits = |effect: &Effect| matches!(effect, Effect::Exit { .. });
    let mut rig = Rig::new();
    let (attempt, _) = sent(&rig.ask("read", 4000.0));
    rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole });
    rig.step(Input::Terminate);
    assert!(!rig.reducer.ready());
    let early = rig.wait(650.0);
    assert!(!has(&early, &Effect::StopListening));
    let (late, _) = sent(&rig.ask("read", 4000.0));
    rig.answered(late, Outcome::Ok, 1, false);
    let effects = rig.wait(100.0);
    assert!(has(&effects, &Effect::StopListening) && !effects.iter().any(exits), "one is open");
    let effects = rig.wait(2800.0);
    assert_eq!(replies(&effects).len(), 1, "answered before the kill can come");
    assert_eq!(effects.iter().filter(|effect| exits(effect)).count(), 1);
}

#[test]
fn whatever_happens_each_request_gets_one_answer_in_time() {
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
                    rig.ask(class, timeout)
                }
                4..=6 if !out.is_empty() => {
                    let attempt = out.swap_remove(chance(out.len() as u64) as usize);
                    match chance(7) {
                        0 => rig.lost(attempt, Progress::NotConnected),
                        1 => rig.lost(attempt, Progress::WrittenWhole),
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
                    rig.word(Announcement::Pool {
                        snapshot: false,
                        machines: vec![listed(name, "edge", "east", phase, since)],
                    })
                }
                9 if !open.is_empty() => {
                    let serial = *open.keys().nth(chance(open.len() as u64) as usize).expect("one is open");
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
                    Effect::Answer { key: client, .. } => {
                        assert!(open.remove(&client.serial).is_some(), "seed {seed}: none is owed");
                    }
                    _ => {}
                }
            }
            assert!(open.values().all(|deadline| rig.now < *deadline + 15.0), "seed {seed}: overdue");
        }
        rig.wait(3500.0).iter().for_each(|effect| {
            if let Effect::Answer { key: client, .. } = effect {
                assert!(open.remove(&client.serial).is_some());
            }
        });
        assert!(open.is_empty() && rig.reducer.open_requests() == 0);
    }
}

#[test]
fn want_of_room_for_a_connection_is_not_held_against_a_machine() {
    // It was told as a failed connect, and two of these eject a machine.
    let homes = |end: fn() -> AttemptEnd| {
        let mut rig = Rig::new();
        let mut home = || {
            let (key, fetch) = sent(&rig.ask("read", 4000.0));
            let (next, _) = sent(&rig.step(Input::Ended { attempt: key, end: end() }));
            assert_eq!(replies(&rig.answered(next, Outcome::Ok, 5, false)).len(), 1);
            fetch.cache
        };
        let first = home();
        (1..8).filter(|_| home() == first).count()
    };
    assert!(homes(|| AttemptEnd::Lost(Progress::NotConnected)) < 7, "who can't be reached is left");
    assert_eq!(homes(|| AttemptEnd::NoRoom), 7, "the home stays the home");
}

#[test]
fn an_attempt_begins_with_what_its_client_has_left_and_not_once_that_is_used_up_or_it_was_given_up() {
    let mut rig = Rig::new();
    let (attempt, fetch) = sent(&rig.ask("read", 4000.0));
    let at_once = rig.reducer.permit(rig.now, attempt).expect("it may begin").limit_ms;
    assert!(at_once > 0.0 && at_once <= 4000.0 && (fetch.timeout_ms == 0.0 || at_once <= fetch.timeout_ms));
    // The loop stands still, so that no timer has pulled it.
    let later = rig.reducer.permit(rig.now + 100.0, attempt).expect("it may still begin").limit_ms;
    assert_eq!(later, at_once - 100.0);
    assert_eq!(rig.reducer.permit(rig.now + 5000.0, attempt), Err(Withheld::SendWindowExpired));
    rig.step(Input::Aborted { key: rig.client() });
    assert_eq!(rig.reducer.permit(rig.now, attempt), Err(Withheld::UnknownAttempt));
    assert_eq!(rig.reducer.counters.reasons.withheld.total(), 2);
    assert!(Withheld::UnknownAttempt.is_violation() && !Withheld::SendWindowExpired.is_violation());
}

#[test]
fn what_is_open_on_a_connection_that_closes_is_refused_where_a_repeat_is_harmless_else_failed() {
    for (class, written, harmless) in
        [("read", true, true), ("fragile", false, true), ("fragile", true, false)]
    {
        let mut rig = Rig::new();
        rig.step(Input::Operator { caller: 1, call: frostturn::ops::Call::Evacuate });
        let (attempt, _) = sent(&rig.ask(class, 4000.0));
        if written {
            rig.step(Input::Progressed { attempt, progress: Progress::WrittenWhole });
        }
        let effects = rig.step(Input::ConnectionClosing { conn: 1 });
        let refused = matches!(replies(&effects)[..], [Reply::Refused { reason: Refusal::Draining, .. }]);
        let failed = matches!(replies(&effects)[..], [Reply::Failed(Failure::GivenUp(Refusal::Draining))]);
        assert_eq!((refused, failed), (harmless, !harmless), "{class}, written: {written}: {effects:?}");
        assert!(has(&effects, &Effect::Stop { attempt }) && rig.reducer.open_requests() == 0);
    }
}
