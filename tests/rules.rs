//! Tests of the guarantees on answers, repeats, drains, cold starts and purges, and of the handling of
//! failures.

mod common;
use common::*;
use frostturn::api::*;
use std::collections::HashMap;

#[test]
fn a_draining_or_removed_machine_gets_nothing_after_the_notification() {
    let mut driver = Driver::with_defaults();
    let sent = driver.serve(READ, "song", CacheStatus::Filled);
    let changed = |name: &CacheId, kind: &str, zone: &str, phase| ListEntry {
        phase,
        ..entry(name.as_str(), kind, zone)
    };
    let entries = vec![
        changed(&sent.cache, "edge", "east", Phase::Draining),
        changed(&sent.source, "parent", "hub", Phase::Deleted),
    ];
    driver.send(Event::List { mode: ListMode::Changes, entries });
    for turn in 0..50 {
        let next = fetch(&driver.request(READ, &format!("song{turn}")));
        assert!(next.cache != sent.cache && next.source != sent.source);
        driver.end_attempt(&next, 0, Outcome::Ok, Some(CacheStatus::Filled));
    }
    let entries = machines().into_iter().filter(|entry| entry.cache.as_str() != "p1").collect();
    driver.send(Event::List { mode: ListMode::Full, entries });
    for turn in 0..50 {
        let next = fetch(&driver.request(READ, &format!("tune{turn}")));
        assert_ne!(next.source.as_str(), "p1", "absent from a full list");
        driver.end_attempt(&next, 0, Outcome::Ok, Some(CacheStatus::Filled));
    }
}

#[test]
fn after_a_purge_every_fetch_asks_for_a_younger_copy() {
    let mut driver = Driver::with_defaults();
    driver.now += 1000.0;
    driver.send(Event::Purged { object: None, group: 7, age_ms: 200.0 });
    let bound = |actions: &[Action]| fetch(actions).max_age_ms;
    assert!(bound(&driver.request(READ, "song")).is_some_and(|age| age > 0.0 && age < 200.0));
    driver.now += 3000.0;
    assert!(bound(&driver.request(PAGE, "page")).is_some_and(|age| age < 3200.0));
    // A later purge takes effect, and an older one that arrives after it changes nothing.
    driver.send(Event::Purged { object: Some("song".into()), group: 7, age_ms: 0.0 });
    driver.send(Event::Purged { object: Some("song".into()), group: 7, age_ms: 3000.0 });
    assert!(bound(&driver.request(READ, "song")).is_some_and(|age| age > 0.0 && age <= 1.0));
    driver.advance(8000.0);
    assert_eq!(bound(&driver.request(READ, "song")), None);
}

#[test]
fn without_a_cache_here_nothing_is_sent_to_one_of_another_location() {
    // Such a cache may be the source of a fill, but a request sent to it breaks a rule.
    let settings = Settings { bypass_allowed: true, siblings: Siblings::Any, ..settings() };
    let list = machines().into_iter().filter(|e| matches!(e.cache.as_str(), "w1" | "o1")).collect();
    let sent = fetch(&Driver::new(settings, list).request(READ, "song"));
    assert_eq!((sent.cache.as_str(), sent.source.as_str()), ("o1", "o1"));
}

#[test]
fn a_purge_of_an_object_applies_whatever_group_comes_with_it() {
    // The discovery service names only the object.
    let mut driver = Driver::with_defaults();
    driver.now += 1000.0;
    driver.send(Event::Purged { object: Some("song".into()), group: 0, age_ms: 10.0 });
    assert!(fetch(&driver.request(READ, "song")).max_age_ms.is_some_and(|age| age < 10.0));
    assert_eq!(fetch(&driver.request(READ, "tune")).max_age_ms, None);
}

#[test]
fn more_purges_than_can_be_stored_apply_to_all_copies() {
    let mut driver = Driver::with_defaults();
    driver.now += 1000.0;
    driver.send(Event::Purged { object: Some("song".into()), group: 7, age_ms: 0.0 });
    driver.now += 100.0;
    let mut sizes = Vec::new();
    for other in 1..=30_000 {
        let object = Some(format!("o{other}").as_str().into());
        driver.send(Event::Purged { object, group: 7, age_ms: 0.0 });
        if other % 10_000 == 0 {
            sizes.push(format!("{:?}", driver.router).len());
        }
    }
    assert!(sizes[0] < sizes[1] && sizes[2] < sizes[0], "bytes of the router's state: {sizes:?}");
    driver.now += 50.0;
    let bound = |actions: &[Action]| fetch(actions).max_age_ms;
    assert!(bound(&driver.request(READ, "song")).is_some_and(|age| age <= 150.0), "the first purge");
    assert!(bound(&driver.request(READ, "o30000")).is_some_and(|age| age <= 50.0), "the last purge");
    driver.advance(8000.0);
    assert!(
        bound(&driver.request(READ, "song")).is_none_or(|age| age > 8000.0),
        "a copy from after the purges may be served"
    );
}

#[test]
fn a_cold_cache_and_a_cold_parent_are_limited_by_a_budget() {
    let mut list = machines();
    for entry in &mut list {
        entry.online_since = matches!(entry.cache.as_str(), "e1" | "p1").then_some(START_MS + 1.0);
    }
    let mut driver = Driver::new(settings(), list);
    driver.now += 10.0;
    let mut sent: HashMap<String, f64> = HashMap::new();
    for turn in 0..400 {
        let next = fetch(&driver.request(READ, &format!("o{turn}")));
        *sent.entry(next.cache.to_string()).or_default() += 10.0;
        *sent.entry(next.source.to_string()).or_default() += 10.0;
        driver.end_attempt(&next, 0, Outcome::Ok, Some(CacheStatus::Filled));
        driver.now += 2.0;
    }
    // The bound: 8 transfers, a cold share of 0.2 (0.1 at a parent) that rises, an overload multiple of 2,
    // and one second. Two routers send to a parent.
    assert!(sent["e1"] > 0.0 && sent["e1"] < 8.0 * 0.28 * 2.0 * 1000.0, "{sent:?}");
    let parent = sent.get("p1").copied().unwrap_or(0.0);
    assert!(parent < 8.0 * 0.14 * 2.0 * 1000.0 / 2.0, "{sent:?}");
}

#[test]
fn keyed_requests_are_resent_only_within_their_window() {
    let mut driver = Driver::with_defaults();
    let first = fetch(&driver.request(KEYED, "bid"));
    assert_eq!(first.send_within_ms, None, "a first attempt has no bound on its sending");
    driver.now += 500.0;
    let second = fetch(&driver.end_attempt(&first, 0, Outcome::Error, None));
    assert_eq!(second.send_within_ms, Some(500.0), "the rest of the window at the decision");
    driver.now += 600.0;
    assert!(is_refusal(&driver.end_attempt(&second, 1, Outcome::Error, None)));
}

#[test]
fn a_fragile_request_that_may_have_run_fails_and_is_never_resent() {
    let mut driver = Driver::with_defaults();
    let first = fetch(&driver.request(FRAGILE, "form"));
    let second = fetch(&driver.end_attempt(&first, 0, Outcome::ConnectFailed, None));
    assert!(is_failure(&driver.end_attempt(&second, 1, Outcome::Reset, None)));
}

#[test]
fn a_failure_of_the_source_does_not_count_against_the_cache() {
    let mut driver = Driver::with_defaults();
    let first = fetch(&driver.request(READ, "song"));
    let second = fetch(&driver.end_attempt(&first, 0, Outcome::Full, Some(CacheStatus::SourceUnavailable)));
    assert_eq!(second.cache, first.cache);
    assert_ne!(second.source, first.source);
}

#[test]
fn without_cancellation_a_silent_cache_is_left_by_a_time_out_only() {
    let mut settings = settings();
    settings.limits.cancelling = false;
    let mut driver = Driver::new(settings, machines());
    let first = fetch(&driver.request(READ, "song"));
    assert!(first.timeout_ms < 4000.0, "there is time for another attempt: {}", first.timeout_ms);
    let actions = driver.advance(3500.0);
    assert!(!actions.iter().any(|action| matches!(action, Action::Abandon { .. })), "{actions:?}");
    let second = fetch(&driver.end_attempt(&first, 0, Outcome::Timeout, None));
    assert_ne!(second.cache, first.cache);
}

#[test]
fn attempts_at_a_silent_cache_are_cancelled_but_not_at_a_slow_one() {
    // Silence: the cache answers nothing at all, and the attempt is cancelled.
    let mut driver = Driver::with_defaults();
    driver.now += 10.0;
    let hung = fetch(&driver.request(READ, "song"));
    let actions = driver.advance(1500.0);
    assert_eq!(actions, vec![Action::Abandon { id: hung.id.clone(), attempt: 0 }]);
    let moved = fetch(&driver.end_attempt(&hung, 0, Outcome::Cancelled, None));
    assert_ne!(moved.cache, hung.cache);
    // Slowness: the same cache and source answer other attempts, so they are only congested.
    let mut driver = Driver::with_defaults();
    driver.now += 10.0;
    let slow = fetch(&driver.request(READ, "song"));
    for turn in 0..30 {
        let other = fetch(&driver.request(READ, &format!("o{turn}")));
        driver.end_attempt(&other, 0, Outcome::Ok, Some(CacheStatus::Filled));
        let cut = driver.advance(100.0).contains(&Action::Abandon { id: slow.id.clone(), attempt: 0 });
        assert!(!cut, "cancelled at {} ms", driver.now);
    }
}

#[test]
fn a_full_link_serves_only_cached_pieces_and_large_fills_stop_first() {
    // The link carries ten transfers, and none of them ends.
    let mut driver = Driver::with_defaults();
    for turn in 0..4 {
        driver.serve(READ, "held", CacheStatus::Hit);
        driver.serve(READ, &format!("small{turn}"), CacheStatus::Filled);
    }
    let mut out = 0;
    // A first-seen piece is looked up too, since another router may have had it filled.
    let look = loop {
        let sent = fetch(&driver.request_sized(READ, &format!("big{out}"), 1000.0));
        if sent.source == sent.cache {
            break sent;
        }
        out += 1;
        assert!(out < 100, "the link never counted as full");
    };
    assert!(out >= 5);
    assert!(is_refusal(&driver.end_attempt(&look, 0, Outcome::Miss, None)), "a miss is refused at once");
    let cached = fetch(&driver.request_sized(READ, "held", 1000.0));
    assert_eq!(cached.source, cached.cache, "a lookup without a fill");
    assert!(!is_refusal(&driver.request_sized(READ, "tiny", 20.0)));
}

#[test]
fn an_unreachable_cache_that_is_back_without_a_list_entry_counts_as_cold() {
    let mut driver = Driver::with_defaults();
    let dead = fetch(&driver.request(READ, "song"));
    let next = fetch(&driver.end_attempt(&dead, 0, Outcome::ConnectFailed, None));
    driver.end_attempt(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
    let again = fetch(&driver.request(READ, "song"));
    driver.end_attempt(&again, 0, Outcome::ConnectFailed, None);
    assert!(driver.log.iter().any(|line| line.contains("ejected")));
    driver.advance(1500.0);
    let trial = fetch(&driver.request(READ, "song"));
    assert_eq!(trial.cache, dead.cache, "a single trial");
    assert_ne!(fetch(&driver.request(READ, "song")).cache, dead.cache, "the only one");
    driver.end_attempt(&trial, 0, Outcome::Ok, Some(CacheStatus::Filled));
    let sent =
        (0..400).filter(|_| fetch(&driver.request_sized(READ, "song", 100.0)).cache == dead.cache).count();
    assert!(sent < 400, "the cold-start budget binds");
}

#[test]
fn a_request_that_fails_at_every_cache_counts_against_none_of_them() {
    // A client may keep requesting objects that exist nowhere; each cache answers with an error.
    let mut driver = Driver::with_defaults();
    for turn in 0..40 {
        let mut next = Some(fetch(&driver.request(READ, &format!("none{turn}"))));
        for attempt in 0.. {
            let Some(sent) = next else { break };
            next = driver.end_attempt(&sent, attempt, Outcome::Error, None).into_iter().find_map(|action| {
                match action {
                    Action::Fetch(fetch) => Some(fetch),
                    _ => None,
                }
            });
        }
    }
    assert!(!driver.log.iter().any(|line| line.contains("ejected")), "{:?}", driver.log);
    // A cache that answers with errors where another serves is ejected.
    for turn in 0..40 {
        let sent = fetch(&driver.request(READ, &format!("song{turn}")));
        if sent.cache.as_str() == "e1" {
            let next = fetch(&driver.end_attempt(&sent, 0, Outcome::Error, None));
            driver.end_attempt(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
        }
    }
    assert!(driver.log.iter().any(|line| line == "e1 ejected"), "{:?}", driver.log);
}

#[test]
fn an_object_unknown_to_all_machines_is_refused_soon_and_not_remembered() {
    let mut driver = Driver::with_defaults();
    for _ in 0..3 {
        let first = fetch(&driver.request(READ, "none"));
        assert_eq!(first.retention, Retention::Low, "not seen before");
        let second = fetch(&driver.end_attempt(&first, 0, Outcome::Error, None));
        assert!(is_refusal(&driver.end_attempt(&second, 1, Outcome::Error, None)));
    }
}

#[test]
fn an_attempt_that_seems_lost_is_hedged_once() {
    let limits = Limits { hedging: true, ..settings().limits };
    let settings = Settings { limits, ..settings() };
    // The same cache and source answer all other attempts, so they are not silent.
    let lose = |class: usize, number: usize| {
        let mut driver = Driver::new(settings.clone(), machines());
        driver.now += 10.0;
        for turn in 0..400 {
            driver.serve(READ, &format!("early{turn}"), CacheStatus::Filled);
            driver.now += 50.0;
        }
        let lost: Vec<Fetch> =
            (0..number).map(|at| fetch(&driver.request(class, &format!("lost{at}")))).collect();
        let mut hedges = Vec::new();
        for turn in 0..30 {
            let other = fetch(&driver.request(READ, &format!("o{turn}")));
            driver.end_attempt(&other, 0, Outcome::Ok, Some(CacheStatus::Filled));
            hedges.extend(
                driver.advance(100.0).into_iter().filter(|action| matches!(action, Action::Fetch(_))),
            );
        }
        (driver, lost, hedges)
    };
    let (mut driver, first, hedges) = lose(READ, 1);
    let hedge = fetch(&hedges);
    assert_eq!((hedges.len(), &hedge.id), (1, &first[0].id), "one hedge");
    assert_ne!(hedge.cache, first[0].cache, "the first cache may be what is slow");
    assert!(hedge.cached_only, "the origin may be what is slow");
    assert_eq!(driver.end_attempt(&hedge, 1, Outcome::Miss, None), [], "the first may still be answered");
    assert!(
        !fetch(&driver.end_attempt(&first[0], 0, Outcome::Timeout, None)).cached_only,
        "afterwards the next attempt is ordinary"
    );
    assert!(lose(FRAGILE, 1).2.is_empty(), "it could run twice");
    let (_, _, hedges) = lose(READ, 26);
    assert!(
        hedges.len() >= 8 && hedges.len() <= 14,
        "where many are slow, the cause is load: {}",
        hedges.len()
    );
}

#[test]
fn a_cache_that_rejects_everything_is_ejected_and_its_rejections_are_not_failed_fills() {
    // The cache is draining and the list is late. When its rejections counted as failed fills, requests at
    // other caches became lookups without a fill and were refused.
    let mut driver = Driver::with_defaults();
    let mut asked = 0;
    for turn in 0..200 {
        let (mut sent, mut attempt) = (fetch(&driver.request(READ, &format!("song{turn}"))), 0);
        if sent.cache.as_str() == "e1" {
            asked += 1;
            (sent, attempt) = (fetch(&driver.end_attempt(&sent, 0, Outcome::Full, None)), 1);
        }
        assert!(!sent.cached_only && sent.cache.as_str() != "e1", "{sent:?}");
        driver.end_attempt(&sent, attempt, Outcome::Ok, Some(CacheStatus::Filled));
    }
    assert!(asked > 5 && asked < 12, "{asked}");
}

#[test]
fn a_parent_that_caches_cannot_reach_is_ejected() {
    // The cache rejects the request because the source is unavailable. When that counted as a full cache, a
    // dead parent was picked until its list entry changed.
    let mut driver = Driver::with_defaults();
    for turn in 0..20 {
        let sent = fetch(&driver.request(READ, &format!("song{turn}")));
        if sent.source.as_str() == "p1" {
            let next =
                fetch(&driver.end_attempt(&sent, 0, Outcome::Full, Some(CacheStatus::SourceUnavailable)));
            driver.end_attempt(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
        }
    }
    assert_eq!(driver.log, ["p1 ejected"]);
}

#[test]
fn the_table_of_machines_does_not_grow_with_removed_machines() {
    let mut driver = Driver::with_defaults();
    for at in 0..500 {
        for phase in [Phase::Serving, Phase::Deleted] {
            let entries = vec![ListEntry { phase, ..entry(&format!("s{at}"), "edge", "east") }];
            driver.send(Event::List { mode: ListMode::Changes, entries });
        }
        driver.now += 1000.0;
    }
    let places = format!("{:?}", driver.router).matches("hub_distance").count();
    assert!(places < 80, "{places}");
    assert_ne!(fetch(&driver.request(READ, "song")).cache.as_str().chars().next(), Some('s'));
}

#[test]
fn a_broken_connection_counts_once_however_many_attempts_it_carried() {
    // Any machine sends a corrupt answer now and then, and all attempts on that connection end with it.
    let mut driver = Driver::with_defaults();
    let sent: Vec<Fetch> =
        (0..40).map(|turn| fetch(&driver.request_sized(READ, &format!("o{turn}"), 1.0))).collect();
    let cache = sent[0].cache.clone();
    driver.now += 5.0;
    for lost in sent.iter().filter(|sent| sent.cache == cache) {
        driver.now += 0.1;
        driver.end_attempt(lost, 0, Outcome::Reset, None);
    }
    assert_eq!(driver.log, Vec::<String>::new());
}

#[test]
fn the_invariants_hold_under_random_events() {
    let outcomes = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Full,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::Moot,
        Outcome::Miss,
    ];
    let notes = [
        None,
        Some(CacheStatus::Hit),
        Some(CacheStatus::NoFillSlot),
        Some(CacheStatus::SourceUnavailable),
        Some(CacheStatus::Stale),
    ];
    let run = |seed: u64, settings: Settings| {
        let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut chance = |most: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % most
        };
        let limit = settings.limits.max_attempts;
        let mut driver = Driver::new(settings, if seed.is_multiple_of(5) { Vec::new() } else { machines() });
        // The number of attempts made for each request; `None` once it is answered. `out`: those in flight.
        let mut open: HashMap<RequestId, Option<usize>> = HashMap::new();
        let mut out: Vec<(Fetch, usize)> = Vec::new();
        let mut drained: Option<CacheId> = None;
        let mut all = Vec::new();
        for turn in 0..600 {
            let (mut event_is_last, mut ended) = (false, None);
            let actions = match chance(12) {
                0..=4 => driver.request(chance(6) as usize, &format!("o{}", chance(9))),
                5..=8 if !out.is_empty() => {
                    let (fetch, number) = out.swap_remove(chance(out.len() as u64) as usize);
                    let outcome = outcomes[chance(9) as usize];
                    event_is_last = outcome == Outcome::Ok;
                    ended = Some(fetch.id.clone());
                    if event_is_last {
                        open.insert(fetch.id.clone(), None);
                    }
                    driver.end_attempt(&fetch, number, outcome, notes[chance(5) as usize])
                }
                9 => {
                    let name = ["e1", "e2", "p1", "o1"][chance(4) as usize];
                    drained = Some(name.into());
                    let mut entries = machines();
                    entries.retain(|entry| entry.cache.as_str() != name);
                    driver.send(Event::List { mode: ListMode::Full, entries })
                }
                10 => driver.send(Event::Aborted { id: format!("r{}", turn * 7).as_str().into() }),
                _ => driver.advance(chance(3) as f64 * 150.0),
            };
            for action in &actions {
                match action {
                    Action::Fetch(fetch) => {
                        assert!(drained.as_ref().is_none_or(|name| fetch.cache != *name));
                        assert!(drained.as_ref().is_none_or(|name| fetch.source != *name));
                        assert!(fetch.max_age_ms.is_none_or(|age| age > 0.0));
                        assert!(!out.iter().any(|(other, _)| other.id == fetch.id), "two attempts in flight");
                        let tries = open.entry(fetch.id.clone()).or_insert(Some(0));
                        let number = tries.expect("nothing is sent after the final answer");
                        assert!(number < limit);
                        *tries = Some(number + 1);
                        out.push((fetch.clone(), number));
                    }
                    Action::Refuse { id, .. } | Action::Fail { id, .. } => {
                        let before = open.insert(id.clone(), None);
                        assert_ne!(before, Some(None), "one final answer");
                    }
                    _ => {}
                }
            }
            // A request whose attempt has ended has another one in flight, or its final answer.
            if let Some(id) = ended.filter(|_| !event_is_last) {
                let dropped = !actions.iter().any(|action| match action {
                    Action::Fetch(fetch) => fetch.id == id,
                    Action::Refuse { id: other, .. } | Action::Fail { id: other, .. } => *other == id,
                    _ => false,
                });
                let known_drop = (0..turn).any(|t| id.as_str() == format!("r{}", t * 7));
                assert!(!dropped || known_drop || open[&id].is_none(), "{id} has no answer");
            }
            all.extend(actions);
        }
        all
    };
    for seed in 0..60 {
        let settings = if seed % 7 == 0 { Settings::default() } else { settings() };
        assert_eq!(run(seed, settings.clone()), run(seed, settings), "same events, same actions");
    }
}

#[test]
fn a_stopped_clock_and_unknown_ids_do_no_harm() {
    let mut driver = Driver::with_defaults();
    for _ in 0..1000 {
        driver.send(Event::Timer(Token(0)));
    }
    assert!(is_refusal(&driver.request(99, "song")), "an unknown class is refused: it never ran");
    let ghost = Fetch {
        id: "ghost".into(),
        cache: "nowhere".into(),
        join: false,
        background_refresh: false,
        cached_only: false,
        timeout_ms: 1.0,
        source: "nowhere".into(),
        max_age_ms: None,
        retention: Retention::NoStore,
        send_within_ms: None,
    };
    assert!(driver.end_attempt(&ghost, 3, Outcome::Ok, None).is_empty());
    let mut nobody = Driver::new(settings(), Vec::new());
    assert!(is_refusal(&nobody.request(READ, "song")), "refused at once");
}

#[test]
fn a_location_that_restarts_as_a_whole_is_loaded_by_its_earlier_peak() {
    let settings = Settings { weights: Weights::Unknown, ..settings() };
    let mut driver = Driver::new(settings, machines());
    for turn in 0..2000 {
        driver.serve(READ, &format!("o{}", turn % 50), CacheStatus::Hit);
        driver.advance(if turn % 20 == 0 { 100.0 } else { 0.0 });
    }
    let mut list = machines();
    for entry in &mut list {
        entry.online_since = Some(driver.now);
    }
    driver.send(Event::List { mode: ListMode::Full, entries: list });
    driver.now += 1.0;
    let mut answered = 0;
    for turn in 0..200 {
        answered += usize::from(!is_refusal(&driver.request(READ, &format!("o{}", turn % 50))));
        driver.now += 5.0;
    }
    assert!(answered > 10 && answered < 200, "{answered}");
}

#[test]
fn a_parent_with_a_short_time_to_first_byte_but_a_slow_link_is_not_used() {
    let mut driver = Driver::with_defaults();
    let limping = fetch(&driver.request(READ, "first")).source;
    let mut late = 0;
    for turn in 0..40 {
        let sent = fetch(&driver.request_sized(READ, &format!("o{turn}"), 1000.0));
        let slow = sent.source == limping;
        late += usize::from(slow && turn >= 10);
        driver.now += 50.0;
        driver.answer_after(
            &sent,
            CacheStatus::Filled,
            if slow { 2000.0 } else { 120.0 },
            Some(if slow { 5.0 } else { 20.0 }),
        );
    }
    assert_eq!(late, 0, "despite its shorter time to first byte");
}

#[test]
fn while_fills_fail_stale_copies_are_accepted_and_few_fills_are_tried() {
    let mut driver = Driver::with_defaults();
    for turn in 0..30 {
        let mut sent = fetch(&driver.request(READ, &format!("gone{turn}")));
        for attempt in 0.. {
            let actions = driver.end_attempt(&sent, attempt, Outcome::Full, Some(CacheStatus::OriginFailed));
            if is_refusal(&actions) {
                break;
            }
            sent = fetch(&actions);
        }
        driver.now += 20.0;
    }
    let sent: Vec<Fetch> = (0..40).map(|turn| fetch(&driver.request(PAGE, &format!("page{turn}")))).collect();
    assert!(sent.iter().all(|fetch| fetch.max_age_ms == Some(28_000.0)), "a stale copy is accepted at once");
    let cached_only = sent.iter().filter(|fetch| fetch.cached_only).count();
    assert!((20..40).contains(&cached_only), "most take cached copies only, some try a fill: {cached_only}");
    driver.now += 5000.0;
    let tries =
        (0..40).filter(|turn| !fetch(&driver.request(PAGE, &format!("late{turn}"))).cached_only).count();
    assert!(tries > 30, "the failure share decays without new results: {tries}");
    // Successful fills end this.
    for fetch in &sent {
        driver.end_attempt(fetch, 0, Outcome::Ok, Some(CacheStatus::Filled));
    }
    for turn in 0..200 {
        driver.serve(PAGE, &format!("back{turn}"), CacheStatus::Filled);
    }
    let after = fetch(&driver.request(PAGE, "page-after"));
    assert_eq!(after.max_age_ms, Some(8000.0));
    assert!(!after.cached_only);
}

#[test]
fn a_location_without_caches_sends_to_a_parent_where_that_is_allowed() {
    let settings = Settings { bypass_allowed: true, ..settings() };
    let machines = machines().into_iter().filter(|entry| entry.kind.as_str() != "edge").collect();
    let mut driver = Driver::new(settings.clone(), machines);
    let sent = fetch(&driver.request(READ, "song"));
    assert!(["p1", "p2"].contains(&sent.cache.as_str()));
    driver.send(Event::List { mode: ListMode::Full, entries: Vec::new() });
    assert!(is_refusal(&driver.request(READ, "song")), "no machine is listed any more");
    assert!(is_refusal(&Driver::new(settings, Vec::new()).request(READ, "song")));
}

#[test]
fn a_slow_origin_gets_only_requests_that_it_can_start_in_time() {
    // An origin that lacked a seventh of its capacity took 1 s to start every request, uncached ones too, for
    // ten seconds.
    let mut driver = Driver::with_defaults();
    let waits = |driver: &mut Driver, wait: Millis| {
        for _ in 0..4 {
            let sent = fetch(&driver.request(KEYED, "swap"));
            assert!(!sent.cached_only, "uncached requests still run at the origin");
            driver.answer_after(&sent, CacheStatus::FilledFromOrigin, wait + 5.0, Some(wait));
        }
        let asks = (0..40).map(|turn| fetch(&driver.request(READ, &format!("o{turn} after {wait}"))));
        asks.collect::<Vec<Fetch>>()
    };
    let cached_only = |sent: &[Fetch]| sent.iter().filter(|sent| sent.cached_only).count();
    assert_eq!(cached_only(&waits(&mut driver, 200.0)), 0, "far from late");
    let some = cached_only(&waits(&mut driver, 330.0));
    assert!(some > 5 && some < 35, "nearly late, so that only some are filled: {some}");
    let late = waits(&mut driver, 500.0);
    assert_eq!(cached_only(&late), 40, "late in any case");
    assert!(
        is_refusal(&driver.end_attempt(&late[0], 0, Outcome::Miss, Some(CacheStatus::SourceMiss))),
        "misses are refused at once"
    );
    assert_eq!(cached_only(&waits(&mut driver, 50.0)), 0, "ends at once");
}

#[test]
fn a_cache_with_an_impaired_link_is_not_used_for_a_while() {
    // A cache at a twentieth of its rate answered in time now and then, and was sent its share for 8 s.
    let mut driver = Driver::with_defaults();
    let limping = fetch(&driver.request(READ, "first")).cache;
    let to_it = |driver: &mut Driver, turns: std::ops::Range<usize>| {
        let mut sent_there = 0;
        for turn in turns {
            let sent = fetch(&driver.request(READ, &format!("o{turn}")));
            let there = sent.cache == limping;
            sent_there += usize::from(there);
            driver.now += 20.0;
            driver.answer_after(&sent, CacheStatus::Hit, if there { 600.0 } else { 30.0 }, None);
        }
        sent_there
    };
    assert!(to_it(&mut driver, 0..20) > 0);
    assert_eq!(to_it(&mut driver, 20..200), 0, "measured as slow by then");
    driver.now += 10_000.0;
    assert!(to_it(&mut driver, 200..240) > 0, "tried again when the measurement has expired");
}

#[test]
fn requests_beyond_the_cold_budget_go_to_a_parent_where_that_is_allowed() {
    // A location where the only cache left is cold: its budget is soon spent.
    let cold_one = |bypass_allowed| {
        let mut list = machines();
        list.retain(|e| !matches!(e.cache.as_str(), "e2" | "e3" | "e4"));
        list.iter_mut().filter(|e| e.cache.as_str() == "e1").for_each(|e| {
            (e.online_since, e.weight) = (Some(START_MS + 1.0), 4.0);
        });
        let mut driver = Driver::new(Settings { bypass_allowed, ..settings() }, list);
        driver.now += 10.0;
        let mut to = HashMap::<String, usize>::new();
        for turn in 0..400 {
            let actions = driver.request(READ, &format!("o{turn}"));
            if is_refusal(&actions) {
                *to.entry("refused".into()).or_default() += 1;
                continue;
            }
            let sent = fetch(&actions);
            *to.entry(sent.cache.to_string()).or_default() += 1;
            let direct = sent.cache.as_str() != "e1";
            assert!(!direct || sent.source.as_str() == "o1", "a parent fills from the origin: {sent:?}");
            driver.end_attempt(&sent, 0, Outcome::Ok, Some(CacheStatus::Filled));
            driver.now += 2.0;
        }
        to
    };
    let (direct, only) = (cold_one(true), cold_one(false));
    assert!(only["refused"] > 100, "the budget binds: {only:?}");
    assert_eq!(direct.get("refused"), None, "{direct:?}");
    assert!(direct["e1"] >= 20 && direct.keys().any(|to| to.starts_with('p')), "both are used: {direct:?}");
    assert!(direct.keys().all(|to| !to.starts_with('w')), "never a cache of another location: {direct:?}");
}

/// Guards against a machine that comes up under a known name in another cell and is taken for the old one: its
/// cell does not discard repeats of what ran at the old one.
#[test]
fn a_keyed_request_is_not_repeated_at_a_machine_that_has_moved_to_another_cell() {
    for cell in [0, 1] {
        let mut settings = settings();
        settings.classes[KEYED].repeat = Repeat::Dedup { scope: DedupScope::Cell, window_ms: 1000.0 };
        let mut driver = Driver::new(settings, machines());
        let first = fetch(&driver.request(KEYED, "o"));
        // Every machine of the cell comes up anew under its name, possibly in another cell.
        let entries = machines().into_iter().map(|entry| ListEntry { cell, ..entry }).collect();
        driver.send(Event::List { mode: ListMode::Changes, entries });
        let after = driver.end_attempt(&first, 0, Outcome::Reset, None);
        let again = after.iter().any(|action| matches!(action, Action::Fetch(_)));
        assert_eq!(again, cell == 0, "cell {cell}: {after:?}");
    }
}
