//! The five rules, and what is done when machines fail.

mod common;
use common::*;
use frostturn::api::*;
use std::collections::HashMap;

#[test]
fn a_drained_cache_or_source_gets_nothing_from_the_word_on() {
    let mut driver = Driver::usual();
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
        let next = fetch(&driver.ask(READ, &format!("song{turn}")));
        assert!(next.cache != sent.cache && next.source != sent.source);
        driver.end(&next, 0, Outcome::Ok, Some(CacheStatus::Filled));
    }
    let entries = fleet().into_iter().filter(|entry| entry.cache.as_str() != "p1").collect();
    driver.send(Event::List { mode: ListMode::Full, entries });
    for turn in 0..50 {
        let next = fetch(&driver.ask(READ, &format!("tune{turn}")));
        assert_ne!(next.source.as_str(), "p1", "absent from a full list");
        driver.end(&next, 0, Outcome::Ok, Some(CacheStatus::Filled));
    }
}

#[test]
fn after_a_purge_every_fetch_asks_for_a_younger_copy() {
    let mut driver = Driver::usual();
    driver.now += 1000.0;
    driver.send(Event::Purged { object: None, group: 7, age_ms: 200.0 });
    let bound = |actions: &[Action]| fetch(actions).max_age_ms;
    assert!(bound(&driver.ask(READ, "song")).is_some_and(|age| age > 0.0 && age < 200.0));
    driver.now += 3000.0;
    assert!(bound(&driver.ask(PAGE, "page")).is_some_and(|age| age < 3200.0));
    // A later purge counts, an older one doesn't take it back.
    driver.send(Event::Purged { object: Some("song".into()), group: 7, age_ms: 0.0 });
    driver.send(Event::Purged { object: Some("song".into()), group: 7, age_ms: 3000.0 });
    assert!(bound(&driver.ask(READ, "song")).is_some_and(|age| age > 0.0 && age <= 1.0));
    driver.wait(8000.0);
    assert_eq!(bound(&driver.ask(READ, "song")), None);
}

#[test]
fn without_a_cache_here_nothing_is_sent_to_one_of_another_location() {
    // That is a fault, though as a source it would do.
    let settings = Settings { bypass_allowed: true, siblings: Siblings::Any, ..settings() };
    let list = fleet().into_iter().filter(|e| matches!(e.cache.as_str(), "w1" | "o1")).collect();
    let sent = fetch(&Driver::new(settings, list).ask(READ, "song"));
    assert_eq!((sent.cache.as_str(), sent.source.as_str()), ("o1", "o1"));
}

#[test]
fn a_purge_of_an_object_holds_whatever_group_came_with_it() {
    // The notice board names the object alone.
    let mut driver = Driver::usual();
    driver.now += 1000.0;
    driver.send(Event::Purged { object: Some("song".into()), group: 0, age_ms: 10.0 });
    assert!(fetch(&driver.ask(READ, "song")).max_age_ms.is_some_and(|age| age < 10.0));
    assert_eq!(fetch(&driver.ask(READ, "tune")).max_age_ms, None);
}

#[test]
fn more_purges_than_are_told_apart_bind_all_copies_instead_of_none() {
    let mut driver = Driver::usual();
    driver.now += 1000.0;
    driver.send(Event::Purged { object: Some("song".into()), group: 7, age_ms: 0.0 });
    driver.now += 100.0;
    let mut held = Vec::new();
    for other in 1..=30_000 {
        let object = Some(format!("o{other}").as_str().into());
        driver.send(Event::Purged { object, group: 7, age_ms: 0.0 });
        if other % 10_000 == 0 {
            held.push(format!("{:?}", driver.router).len());
        }
    }
    assert!(held[0] < held[1] && held[2] < held[0], "bytes of all that it knows: {held:?}");
    driver.now += 50.0;
    let bound = |actions: &[Action]| fetch(actions).max_age_ms;
    assert!(bound(&driver.ask(READ, "song")).is_some_and(|age| age <= 150.0), "the first of them");
    assert!(bound(&driver.ask(READ, "o30000")).is_some_and(|age| age <= 50.0), "and the last");
    driver.wait(8000.0);
    assert!(
        bound(&driver.ask(READ, "song")).is_none_or(|age| age > 8000.0),
        "a copy from after them will do"
    );
}

#[test]
fn a_cold_cache_and_a_cold_parent_get_a_budget() {
    let mut list = fleet();
    for entry in &mut list {
        entry.online_since = matches!(entry.cache.as_str(), "e1" | "p1").then_some(START_MS + 1.0);
    }
    let mut driver = Driver::new(settings(), list);
    driver.now += 10.0;
    let mut sent: HashMap<String, f64> = HashMap::new();
    for turn in 0..400 {
        let next = fetch(&driver.ask(READ, &format!("o{turn}")));
        *sent.entry(next.cache.to_string()).or_default() += 10.0;
        *sent.entry(next.source.to_string()).or_default() += 10.0;
        driver.end(&next, 0, Outcome::Ok, Some(CacheStatus::Filled));
        driver.now += 2.0;
    }
    // 8 transfers, 0.2 (0.1) of them, the fall multiple 2, one second; two routers send to a parent.
    assert!(sent["e1"] > 0.0 && sent["e1"] < 8.0 * 0.28 * 2.0 * 1000.0, "{sent:?}");
    let parent = sent.get("p1").copied().unwrap_or(0.0);
    assert!(parent < 8.0 * 0.14 * 2.0 * 1000.0 / 2.0, "{sent:?}");
}

#[test]
fn keyed_requests_are_resent_only_within_their_window() {
    let mut driver = Driver::usual();
    let first = fetch(&driver.ask(KEYED, "bid"));
    assert_eq!(first.send_within_ms, None, "a first attempt may leave when it can");
    driver.now += 500.0;
    let second = fetch(&driver.end(&first, 0, Outcome::Error, None));
    assert_eq!(second.send_within_ms, Some(500.0), "what is left of the window when it is decided");
    driver.now += 600.0;
    assert!(refused(&driver.end(&second, 1, Outcome::Error, None)));
}

#[test]
fn a_fragile_request_that_may_have_run_fails_and_is_never_resent() {
    let mut driver = Driver::usual();
    let first = fetch(&driver.ask(FRAGILE, "form"));
    let second = fetch(&driver.end(&first, 0, Outcome::ConnectFailed, None));
    assert!(failed(&driver.end(&second, 1, Outcome::Reset, None)));
}

#[test]
fn a_bad_source_is_not_held_against_the_cache() {
    let mut driver = Driver::usual();
    let first = fetch(&driver.ask(READ, "song"));
    let second = fetch(&driver.end(&first, 0, Outcome::Full, Some(CacheStatus::SourceUnavailable)));
    assert_eq!(second.cache, first.cache);
    assert_ne!(second.source, first.source);
}

#[test]
fn where_nothing_may_be_called_off_a_silent_cache_is_left_by_a_time_out_alone() {
    let mut settings = settings();
    settings.limits.cancelling = false;
    let mut driver = Driver::new(settings, fleet());
    let first = fetch(&driver.ask(READ, "song"));
    assert!(first.timeout_ms < 4000.0, "there is time for another attempt after it: {}", first.timeout_ms);
    let actions = driver.wait(3500.0);
    assert!(!actions.iter().any(|action| matches!(action, Action::Abandon { .. })), "{actions:?}");
    let second = fetch(&driver.end(&first, 0, Outcome::Timeout, None));
    assert_ne!(second.cache, first.cache);
}

#[test]
fn a_silent_cache_is_left_but_a_slow_one_is_not() {
    // Silence: nothing at all comes back from it, and the attempt is called off.
    let mut driver = Driver::usual();
    driver.now += 10.0;
    let hung = fetch(&driver.ask(READ, "song"));
    let actions = driver.wait(1500.0);
    assert_eq!(actions, vec![Action::Abandon { id: hung.id.clone(), attempt: 0 }]);
    let moved = fetch(&driver.end(&hung, 0, Outcome::Cancelled, None));
    assert_ne!(moved.cache, hung.cache);
    // Slowness: others are answered by the same cache and source, so it is only crowded.
    let mut driver = Driver::usual();
    driver.now += 10.0;
    let slow = fetch(&driver.ask(READ, "song"));
    for turn in 0..30 {
        let other = fetch(&driver.ask(READ, &format!("o{turn}")));
        driver.end(&other, 0, Outcome::Ok, Some(CacheStatus::Filled));
        let cut = driver.wait(100.0).contains(&Action::Abandon { id: slow.id.clone(), attempt: 0 });
        assert!(!cut, "called off after {} ms", driver.now);
    }
}

#[test]
fn a_full_link_serves_only_what_is_held_and_big_pieces_give_way_first() {
    // The link carries ten transfers; nothing comes back for a while.
    let mut driver = Driver::usual();
    for turn in 0..4 {
        driver.serve(READ, "held", CacheStatus::Hit);
        driver.serve(READ, &format!("small{turn}"), CacheStatus::Filled);
    }
    let mut out = 0;
    // A first-seen piece is looked for as well, since another router may have had it fetched.
    let look = loop {
        let sent = fetch(&driver.ask_sized(READ, &format!("big{out}"), 1000.0));
        if sent.source == sent.cache {
            break sent;
        }
        out += 1;
        assert!(out < 100, "a full link was never seen");
    };
    assert!(out >= 5);
    assert!(refused(&driver.end(&look, 0, Outcome::Miss, None)), "not there: refused at once");
    let held = fetch(&driver.ask_sized(READ, "held", 1000.0));
    assert_eq!(held.source, held.cache, "a look without a fill");
    assert!(!refused(&driver.ask_sized(READ, "tiny", 20.0)));
}

#[test]
fn a_process_that_died_and_came_back_unlisted_counts_as_cold() {
    let mut driver = Driver::usual();
    let dead = fetch(&driver.ask(READ, "song"));
    let next = fetch(&driver.end(&dead, 0, Outcome::ConnectFailed, None));
    driver.end(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
    let again = fetch(&driver.ask(READ, "song"));
    driver.end(&again, 0, Outcome::ConnectFailed, None);
    assert!(driver.log.iter().any(|line| line.contains("ejected")));
    driver.wait(1500.0);
    let trial = fetch(&driver.ask(READ, "song"));
    assert_eq!(trial.cache, dead.cache, "a single trial");
    assert_ne!(fetch(&driver.ask(READ, "song")).cache, dead.cache, "and only one");
    driver.end(&trial, 0, Outcome::Ok, Some(CacheStatus::Filled));
    let sent = (0..400).filter(|_| fetch(&driver.ask_sized(READ, "song", 100.0)).cache == dead.cache).count();
    assert!(sent < 400, "the cold budget holds");
}

#[test]
fn a_request_that_fails_at_every_cache_is_held_against_none_of_them() {
    // A client may ask for what no machine knows, again and again: each answers with an error.
    let mut driver = Driver::usual();
    for turn in 0..40 {
        let mut next = Some(fetch(&driver.ask(READ, &format!("none{turn}"))));
        for attempt in 0.. {
            let Some(sent) = next else { break };
            next = driver.end(&sent, attempt, Outcome::Error, None).into_iter().find_map(
                |action| match action {
                    Action::Fetch(fetch) => Some(fetch),
                    _ => None,
                },
            );
        }
    }
    assert!(!driver.log.iter().any(|line| line.contains("ejected")), "{:?}", driver.log);
    // One that errs where another serves is left.
    for turn in 0..40 {
        let sent = fetch(&driver.ask(READ, &format!("song{turn}")));
        if sent.cache.as_str() == "e1" {
            let next = fetch(&driver.end(&sent, 0, Outcome::Error, None));
            driver.end(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
        }
    }
    assert!(driver.log.iter().any(|line| line == "e1 ejected"), "{:?}", driver.log);
}

#[test]
fn what_no_machine_knows_is_given_up_soon_and_not_remembered() {
    let mut driver = Driver::usual();
    for _ in 0..3 {
        let first = fetch(&driver.ask(READ, "none"));
        assert_eq!(first.retention, Retention::Low, "not seen before");
        let second = fetch(&driver.end(&first, 0, Outcome::Error, None));
        assert!(refused(&driver.end(&second, 1, Outcome::Error, None)));
    }
}

#[test]
fn an_answer_that_never_comes_is_made_up_for_by_one_second_copy() {
    let limits = Limits { hedging: true, ..settings().limits };
    let settings = Settings { limits, ..settings() };
    // All others are answered by the same cache and source, so these aren't silent.
    let lost = |class: usize, number: usize| {
        let mut driver = Driver::new(settings.clone(), fleet());
        driver.now += 10.0;
        for turn in 0..400 {
            driver.serve(READ, &format!("early{turn}"), CacheStatus::Filled);
            driver.now += 50.0;
        }
        let lost: Vec<Fetch> =
            (0..number).map(|at| fetch(&driver.ask(class, &format!("lost{at}")))).collect();
        let mut copies = Vec::new();
        for turn in 0..30 {
            let other = fetch(&driver.ask(READ, &format!("o{turn}")));
            driver.end(&other, 0, Outcome::Ok, Some(CacheStatus::Filled));
            copies.extend(driver.wait(100.0).into_iter().filter(|action| matches!(action, Action::Fetch(_))));
        }
        (driver, lost, copies)
    };
    let (mut driver, first, copies) = lost(READ, 1);
    let copy = fetch(&copies);
    assert_eq!((copies.len(), &copy.id), (1, &first[0].id), "one");
    assert_ne!(copy.cache, first[0].cache, "where the first is, it may be slow");
    assert!(copy.cached_only, "the origin may be what is slow");
    assert_eq!(driver.end(&copy, 1, Outcome::Miss, None), [], "the first may still be answered");
    assert!(!fetch(&driver.end(&first[0], 0, Outcome::Timeout, None)).cached_only, "and then it goes on");
    assert!(lost(FRAGILE, 1).2.is_empty(), "it would run twice");
    let (_, _, copies) = lost(READ, 26);
    assert!(copies.len() >= 8 && copies.len() <= 14, "where many are slow it is load: {}", copies.len());
}

#[test]
fn a_cache_that_turns_all_away_is_left_and_tells_nothing_of_fills() {
    // It drains, and the list is late: taken for failed fills, this had others only looked at, and refused.
    let mut driver = Driver::usual();
    let mut asked = 0;
    for turn in 0..200 {
        let (mut sent, mut attempt) = (fetch(&driver.ask(READ, &format!("song{turn}"))), 0);
        if sent.cache.as_str() == "e1" {
            asked += 1;
            (sent, attempt) = (fetch(&driver.end(&sent, 0, Outcome::Full, None)), 1);
        }
        assert!(!sent.cached_only && sent.cache.as_str() != "e1", "{sent:?}");
        driver.end(&sent, attempt, Outcome::Ok, Some(CacheStatus::Filled));
    }
    assert!(asked > 5 && asked < 12, "{asked}");
}

#[test]
fn a_parent_that_fills_cannot_reach_is_left() {
    // The cache turns the request away since its source is lost: taken for mere fullness, a dead parent went
    // on being picked until its list entry changed.
    let mut driver = Driver::usual();
    for turn in 0..20 {
        let sent = fetch(&driver.ask(READ, &format!("song{turn}")));
        if sent.source.as_str() == "p1" {
            let next = fetch(&driver.end(&sent, 0, Outcome::Full, Some(CacheStatus::SourceUnavailable)));
            driver.end(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
        }
    }
    assert_eq!(driver.log, ["p1 ejected"]);
}

#[test]
fn the_table_of_machines_does_not_grow_with_those_that_have_left() {
    let mut driver = Driver::usual();
    for at in 0..500 {
        for phase in [Phase::Serving, Phase::Deleted] {
            let entries = vec![ListEntry { phase, ..entry(&format!("s{at}"), "edge", "east") }];
            driver.send(Event::List { mode: ListMode::Changes, entries });
        }
        driver.now += 1000.0;
    }
    let places = format!("{:?}", driver.router).matches("hub_distance").count();
    assert!(places < 80, "{places}");
    assert_ne!(fetch(&driver.ask(READ, "song")).cache.as_str().chars().next(), Some('s'));
}

#[test]
fn a_broken_connection_counts_once_whatever_was_on_it() {
    // Any machine sends a spoilt answer now and then; what shared its connection ends with it.
    let mut driver = Driver::usual();
    let sent: Vec<Fetch> =
        (0..40).map(|turn| fetch(&driver.ask_sized(READ, &format!("o{turn}"), 1.0))).collect();
    let cache = sent[0].cache.clone();
    driver.now += 5.0;
    for lost in sent.iter().filter(|sent| sent.cache == cache) {
        driver.now += 0.1;
        driver.end(lost, 0, Outcome::Reset, None);
    }
    assert_eq!(driver.log, Vec::<String>::new());
}

#[test]
fn nonsense_is_survived_and_the_invariants_hold() {
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
        let mut driver = Driver::new(settings, if seed.is_multiple_of(5) { Vec::new() } else { fleet() });
        // Attempts of each request: those out, and how many; None once it is answered.
        let mut open: HashMap<RequestId, Option<usize>> = HashMap::new();
        let mut out: Vec<(Fetch, usize)> = Vec::new();
        let mut drained: Option<CacheId> = None;
        let mut all = Vec::new();
        for turn in 0..600 {
            let (mut event_is_last, mut ended) = (false, None);
            let actions = match chance(12) {
                0..=4 => driver.ask(chance(6) as usize, &format!("o{}", chance(9))),
                5..=8 if !out.is_empty() => {
                    let (fetch, number) = out.swap_remove(chance(out.len() as u64) as usize);
                    let outcome = outcomes[chance(9) as usize];
                    event_is_last = outcome == Outcome::Ok;
                    ended = Some(fetch.id.clone());
                    if event_is_last {
                        open.insert(fetch.id.clone(), None);
                    }
                    driver.end(&fetch, number, outcome, notes[chance(5) as usize])
                }
                9 => {
                    let name = ["e1", "e2", "p1", "o1"][chance(4) as usize];
                    drained = Some(name.into());
                    let mut entries = fleet();
                    entries.retain(|entry| entry.cache.as_str() != name);
                    driver.send(Event::List { mode: ListMode::Full, entries })
                }
                10 => driver.send(Event::Aborted { id: format!("r{}", turn * 7).as_str().into() }),
                _ => driver.wait(chance(3) as f64 * 150.0),
            };
            for action in &actions {
                match action {
                    Action::Fetch(fetch) => {
                        assert!(drained.as_ref().is_none_or(|name| fetch.cache != *name));
                        assert!(drained.as_ref().is_none_or(|name| fetch.source != *name));
                        assert!(fetch.max_age_ms.is_none_or(|age| age > 0.0));
                        assert!(!out.iter().any(|(other, _)| other.id == fetch.id), "two at once");
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
            // A request whose attempt ended has another one out, or its final answer.
            if let Some(id) = ended.filter(|_| !event_is_last) {
                let dropped = !actions.iter().any(|action| match action {
                    Action::Fetch(fetch) => fetch.id == id,
                    Action::Refuse { id: other, .. } | Action::Fail { id: other, .. } => *other == id,
                    _ => false,
                });
                let known_drop = (0..turn).any(|t| id.as_str() == format!("r{}", t * 7));
                assert!(!dropped || known_drop || open[&id].is_none(), "{id} is forgotten");
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
fn a_clock_that_stands_still_and_unknown_things_do_no_harm() {
    let mut driver = Driver::usual();
    for _ in 0..1000 {
        driver.send(Event::Timer(Token(0)));
    }
    assert!(refused(&driver.ask(99, "song")), "an unknown class is refused: it never ran");
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
    assert!(driver.end(&ghost, 3, Outcome::Ok, None).is_empty());
    let mut nobody = Driver::new(settings(), Vec::new());
    assert!(refused(&nobody.ask(READ, "song")), "answered at once");
}

#[test]
fn a_location_that_comes_back_cold_as_a_whole_is_used_by_what_it_bore_before() {
    let settings = Settings { weights: Weights::Unknown, ..settings() };
    let mut driver = Driver::new(settings, fleet());
    for turn in 0..2000 {
        driver.serve(READ, &format!("o{}", turn % 50), CacheStatus::Hit);
        driver.wait(if turn % 20 == 0 { 100.0 } else { 0.0 });
    }
    let mut list = fleet();
    for entry in &mut list {
        entry.online_since = Some(driver.now);
    }
    driver.send(Event::List { mode: ListMode::Full, entries: list });
    driver.now += 1.0;
    let mut answered = 0;
    for turn in 0..200 {
        answered += usize::from(!refused(&driver.ask(READ, &format!("o{}", turn % 50))));
        driver.now += 5.0;
    }
    assert!(answered > 10 && answered < 200, "{answered}");
}

#[test]
fn a_parent_that_starts_quickly_but_sends_slowly_is_left() {
    let mut driver = Driver::usual();
    let limping = fetch(&driver.ask(READ, "first")).source;
    let mut late = 0;
    for turn in 0..40 {
        let sent = fetch(&driver.ask_sized(READ, &format!("o{turn}"), 1000.0));
        let slow = sent.source == limping;
        late += usize::from(slow && turn >= 10);
        driver.now += 50.0;
        driver.served(
            &sent,
            CacheStatus::Filled,
            if slow { 2000.0 } else { 120.0 },
            Some(if slow { 5.0 } else { 20.0 }),
        );
    }
    assert_eq!(late, 0, "its first bytes are the quicker ones, and yet");
}

#[test]
fn while_fills_come_to_nothing_old_copies_do_and_few_fills_are_tried() {
    let mut driver = Driver::usual();
    for turn in 0..30 {
        let mut sent = fetch(&driver.ask(READ, &format!("gone{turn}")));
        for attempt in 0.. {
            let actions = driver.end(&sent, attempt, Outcome::Full, Some(CacheStatus::OriginFailed));
            if refused(&actions) {
                break;
            }
            sent = fetch(&actions);
        }
        driver.now += 20.0;
    }
    let sent: Vec<Fetch> = (0..40).map(|turn| fetch(&driver.ask(PAGE, &format!("page{turn}")))).collect();
    assert!(sent.iter().all(|fetch| fetch.max_age_ms == Some(28_000.0)), "an old copy at once");
    let cached_only = sent.iter().filter(|fetch| fetch.cached_only).count();
    assert!((20..40).contains(&cached_only), "most take what is held, some try: {cached_only}");
    driver.now += 5000.0;
    let tries = (0..40).filter(|turn| !fetch(&driver.ask(PAGE, &format!("late{turn}"))).cached_only).count();
    assert!(tries > 30, "without news the doubt fades: {tries}");
    // Fills that work again end it.
    for fetch in &sent {
        driver.end(fetch, 0, Outcome::Ok, Some(CacheStatus::Filled));
    }
    for turn in 0..200 {
        driver.serve(PAGE, &format!("back{turn}"), CacheStatus::Filled);
    }
    let after = fetch(&driver.ask(PAGE, "page-after"));
    assert_eq!(after.max_age_ms, Some(8000.0));
    assert!(!after.cached_only);
}

#[test]
fn a_location_without_caches_asks_a_parent_where_that_is_allowed() {
    let settings = Settings { bypass_allowed: true, ..settings() };
    let fleet = fleet().into_iter().filter(|entry| entry.kind.as_str() != "edge").collect();
    let mut driver = Driver::new(settings.clone(), fleet);
    let sent = fetch(&driver.ask(READ, "song"));
    assert!(["p1", "p2"].contains(&sent.cache.as_str()));
    driver.send(Event::List { mode: ListMode::Full, entries: Vec::new() });
    assert!(refused(&driver.ask(READ, "song")), "nothing is listed any more");
    assert!(refused(&Driver::new(settings, Vec::new()).ask(READ, "song")));
}

#[test]
fn a_slow_origin_is_asked_only_for_what_it_can_begin_in_time() {
    // Seen: an origin short of a seventh of its pace took 1 s to begin all it was asked, swaps too, for ten seconds.
    let mut driver = Driver::usual();
    let waits = |driver: &mut Driver, wait: Millis| {
        for _ in 0..4 {
            let sent = fetch(&driver.ask(KEYED, "swap"));
            assert!(!sent.cached_only, "what runs at the origin goes there all the same");
            driver.served(&sent, CacheStatus::FilledFromOrigin, wait + 5.0, Some(wait));
        }
        let asks = (0..40).map(|turn| fetch(&driver.ask(READ, &format!("o{turn} after {wait}"))));
        asks.collect::<Vec<Fetch>>()
    };
    let held = |sent: &[Fetch]| sent.iter().filter(|sent| sent.cached_only).count();
    assert_eq!(held(&waits(&mut driver, 200.0)), 0, "in time by far");
    let some = held(&waits(&mut driver, 330.0));
    assert!(some > 5 && some < 35, "nearly late: only some are asked for there, {some}");
    let late = waits(&mut driver, 500.0);
    assert_eq!(held(&late), 40, "late in any case");
    assert!(
        refused(&driver.end(&late[0], 0, Outcome::Miss, Some(CacheStatus::SourceMiss))),
        "and told so at once"
    );
    assert_eq!(held(&waits(&mut driver, 50.0)), 0, "over at once");
}

#[test]
fn a_cache_whose_link_fails_is_left_for_a_while() {
    // Seen: a cache at a twentieth of its pace answered in time now and then, and was sent its share for 8 s.
    let mut driver = Driver::usual();
    let limping = fetch(&driver.ask(READ, "first")).cache;
    let to_it = |driver: &mut Driver, turns: std::ops::Range<usize>| {
        let mut sent_there = 0;
        for turn in turns {
            let sent = fetch(&driver.ask(READ, &format!("o{turn}")));
            let there = sent.cache == limping;
            sent_there += usize::from(there);
            driver.now += 20.0;
            driver.served(&sent, CacheStatus::Hit, if there { 600.0 } else { 30.0 }, None);
        }
        sent_there
    };
    assert!(to_it(&mut driver, 0..20) > 0);
    assert_eq!(to_it(&mut driver, 20..200), 0, "known as slow by then");
    driver.now += 10_000.0;
    assert!(to_it(&mut driver, 200..240) > 0, "and tried again");
}

#[test]
fn what_cold_caches_cannot_take_goes_to_the_parent_pick_where_that_is_allowed() {
    // A location whose only caches are one that died and a cold one: its budget is soon spent.
    let cold_one = |bypass_allowed| {
        let mut list = fleet();
        list.retain(|e| !matches!(e.cache.as_str(), "e2" | "e3" | "e4"));
        list.iter_mut().filter(|e| e.cache.as_str() == "e1").for_each(|e| {
            (e.online_since, e.weight) = (Some(START_MS + 1.0), 4.0);
        });
        let mut driver = Driver::new(Settings { bypass_allowed, ..settings() }, list);
        driver.now += 10.0;
        let mut to = HashMap::<String, usize>::new();
        for turn in 0..400 {
            let actions = driver.ask(READ, &format!("o{turn}"));
            if refused(&actions) {
                *to.entry("refused".into()).or_default() += 1;
                continue;
            }
            let sent = fetch(&actions);
            *to.entry(sent.cache.to_string()).or_default() += 1;
            let direct = sent.cache.as_str() != "e1";
            assert!(!direct || sent.source.as_str() == "o1", "a parent fetches what it lacks: {sent:?}");
            driver.end(&sent, 0, Outcome::Ok, Some(CacheStatus::Filled));
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
