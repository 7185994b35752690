//! Fleets in which many routers share each machine, and each sees little.

mod common;
use common::*;
use frostturn::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// Forty routers in the location, four hundred in all.
fn many() -> Settings {
    Settings { routers_by_zone: vec![0, 40, 40], routers: 400, ..settings() }
}

#[test]
fn pieces_of_one_object_have_homes_of_their_own() {
    let mut driver = Driver::usual();
    let mut home = |piece| fetch(&driver.ask_piece(READ, "film", piece, 100.0)).cache;
    let homes: Vec<CacheId> = (0..40).map(&mut home).collect();
    assert_eq!(homes.iter().collect::<BTreeSet<_>>().len(), 4, "spread over the location");
    assert_eq!(home(7), homes[7], "and a piece stays at its own");
}

#[test]
fn a_small_part_of_a_link_neither_moves_objects_off_their_home_nor_refuses_them() {
    let mut driver = Driver::new(many(), fleet());
    let home = fetch(&driver.ask_sized(READ, "song", 3000.0)).cache;
    // The part is a fifth of a transfer; two at once happen by chance.
    assert_eq!(fetch(&driver.ask_sized(READ, "song", 3000.0)).cache, home);
}

#[test]
fn a_home_is_left_later_while_fills_fail() {
    let stays = |cache_status: CacheStatus, outcome: Outcome| {
        let mut driver = Driver::new(many(), fleet());
        for turn in 0..20 {
            let sent = fetch(&driver.ask(READ, &format!("o{turn}")));
            for action in driver.end(&sent, 0, outcome, Some(cache_status)) {
                if let Action::Fetch(next) = action {
                    driver.end(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
                }
            }
        }
        let home = fetch(&driver.ask_sized(READ, "song", 10.0)).cache;
        (0..20).take_while(|_| fetch(&driver.ask_sized(READ, "song", 10.0)).cache == home).count()
    };
    let (fine, failing) =
        (stays(CacheStatus::Filled, Outcome::Ok), stays(CacheStatus::SourceRefused, Outcome::Full));
    assert!(fine >= 1 && failing > fine, "{fine} and {failing}");
}

#[test]
fn a_cache_that_reports_itself_busy_gets_no_room_for_chance() {
    // Reports are renewed every 400 ms, or never; then nothing is heard for a while.
    let ask = |util: f64, renewed: bool, silent: Millis| {
        let mut driver = Driver::new(many(), fleet());
        for turn in 0..=330 {
            driver.now += 25.0;
            let sent = fetch(&driver.ask(READ, &format!("o{turn}")));
            let inflight = if renewed { f64::from(turn / 16) } else { 0.0 };
            let report = LoadReport { util: Some(util), inflight: Some(inflight), ..LoadReport::default() };
            let (id, cache) = (sent.id.clone(), sent.cache.clone());
            driver.send(Event::Result(AttemptResult {
                id,
                attempt: 0,
                cache,
                outcome: Outcome::Ok,
                elapsed_ms: 20.0,
                last: true,
                cache_status: Some(CacheStatus::Hit),
                source_ttfb_ms: None,
                report,
                size_kb: None,
            }));
        }
        driver.now += silent;
        let first = driver.ask_sized(READ, "song", 3000.0);
        refused(&first) || refused(&driver.ask_sized(READ, "song", 3000.0))
    };
    assert!(ask(1.02, true, 0.0) && !ask(0.6, true, 0.0));
    assert!(!ask(f64::NAN, true, 0.0) && !ask(-3.0, true, 0.0), "nonsense is no report");
    assert!(!ask(1.02, false, 0.0), "one that is stuck grows old");
    assert!(!ask(1.02, true, 1000.0), "none is believed for longer than it takes to be renewed");
}

#[test]
fn a_cold_parent_gets_its_part_from_many_routers_together() {
    let mut list = fleet();
    list.retain(|entry| entry.cache.as_str() != "p2");
    let mut warm = list.clone();
    warm.iter_mut().filter(|entry| entry.cache.as_str() == "p1").for_each(|entry| entry.weight = 40.0);
    let mut work = BTreeMap::<u64, f64>::new();
    for seed in 0..400 {
        let mut driver = Driver::seeded(many(), warm.clone(), seed);
        for turn in 0..5 {
            driver.serve(READ, &format!("before{turn}"), CacheStatus::Filled);
        }
        let mut cold = warm.clone();
        let started = driver.now;
        cold.iter_mut()
            .filter(|entry| entry.cache.as_str() == "p1")
            .for_each(|entry| entry.online_since = Some(started));
        driver.send(Event::List { mode: ListMode::Full, entries: cold });
        for turn in 0..16 {
            let sent = fetch(&driver.ask_sized(READ, &format!("n{turn}"), 100.0));
            if sent.source.as_str() == "p1" {
                *work.entry(turn / 4).or_default() += 10.0;
            }
            driver.end(&sent, 0, Outcome::Ok, Some(CacheStatus::Filled));
            driver.now += 250.0;
        }
    }
    // 40 transfers, a tenth of them at its start and rising, twice that at most in each second.
    for second in 0..4 {
        let most = 2.0 * 40.0 * 1000.0 * (0.1 + 0.9 * (second + 1) as f64 / 20.0);
        let sent = work.get(&second).copied().unwrap_or(0.0);
        assert!(sent > 0.2 * most && sent < most, "second {second}: {sent} of {most}");
    }
}

#[test]
fn a_machine_that_is_seldom_heard_is_not_silent_after_one_usual_gap() {
    let mut driver = Driver::usual();
    for turn in 0..20 {
        driver.serve(READ, &format!("o{}", turn % 10), CacheStatus::Filled);
        driver.wait(1500.0);
    }
    let sent = fetch(&driver.ask(READ, "o1"));
    assert!(driver.wait(2500.0).is_empty(), "slow, by all that is known");
    // One that never comes is given up in the end.
    let actions = driver.wait(60_000.0);
    let gone = |action: &Action| matches!(action, Action::Abandon { id, .. } if *id == sent.id);
    assert!(actions.iter().any(gone), "{actions:?}");
}

#[test]
fn what_fails_behind_a_cache_is_not_blamed_on_the_cache() {
    let mut driver = Driver::usual();
    for turn in 0..12 {
        let sent = fetch(&driver.ask(READ, &format!("o{turn}")));
        let next = fetch(&driver.end(&sent, 0, Outcome::Error, Some(CacheStatus::SourceUnavailable)));
        assert_eq!(next.cache, sent.cache, "another source, the same cache");
        driver.end(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
    }
    assert!(!driver.log.iter().any(|line| line.starts_with('e') && line.contains("ejected")));
}

#[test]
fn a_parent_whose_origin_fails_is_not_ejected() {
    let mut driver = Driver::usual();
    for turn in 0..20 {
        let sent = fetch(&driver.ask(READ, &format!("o{turn}")));
        driver.end(&sent, 0, Outcome::Full, Some(CacheStatus::OriginFailed));
    }
    assert!(driver.log.iter().all(|line| !line.contains("ejected")), "{:?}", driver.log);
}

#[test]
fn without_a_parent_the_home_elsewhere_is_asked_before_the_origin() {
    let list: Vec<ListEntry> = fleet().into_iter().filter(|e| e.kind.as_str() != "parent").collect();
    let any = Settings { siblings: Siblings::Any, ..settings() };
    let mut driver = Driver::new(any.clone(), list.clone());
    let sent = fetch(&driver.ask(READ, "song"));
    assert_eq!(sent.source.as_str(), "w1");
    let next = fetch(&driver.end(&sent, 0, Outcome::Full, Some(CacheStatus::SourceUnavailable)));
    assert_eq!(next.source.as_str(), "o1", "then the origin");
    // One that lacks the piece is no worse for it, and isn't asked for the same request again.
    let mut driver = Driver::new(any.clone(), list.clone());
    let sent = fetch(&driver.ask(READ, "tune"));
    let next = fetch(&driver.end(&sent, 0, Outcome::Miss, Some(CacheStatus::SourceMiss)));
    assert_eq!(next.source.as_str(), "o1", "it gives only what it holds");
    // Not a cold one, and only where caches of other locations may be asked.
    let mut cold = list.clone();
    cold.iter_mut().filter(|e| e.cache.as_str() == "w1").for_each(|e| e.online_since = Some(driver.now));
    assert_eq!(fetch(&Driver::new(any, cold).ask(READ, "song")).source.as_str(), "o1");
    assert_eq!(fetch(&Driver::new(settings(), list).ask(READ, "song")).source.as_str(), "o1");
}

/// Several waves at once: draining, dead without more word, new ones cold, while a rack restarts.
#[test]
fn preempted_in_waves_while_the_rest_is_cold_the_rules_hold() {
    let mut driver = Driver::usual();
    for turn in 0..40 {
        driver.serve(READ, &format!("o{turn}"), CacheStatus::Hit);
    }
    let started = driver.now;
    let changed =
        |name: &str, phase, online_since| ListEntry { phase, online_since, ..entry(name, "edge", "east") };
    let waves = vec![
        changed("e1", Phase::Draining, None),
        changed("e2", Phase::Draining, None),
        changed("e3", Phase::Serving, Some(started)),
        changed("e4", Phase::Serving, Some(started)),
        changed("e9", Phase::Serving, Some(started)),
        changed("e9", Phase::Serving, Some(started)),
    ];
    driver.send(Event::List { mode: ListMode::Changes, entries: waves });
    let mut work = BTreeMap::<String, f64>::new();
    for turn in 0..200 {
        for action in driver.ask(READ, &format!("o{}", turn % 40)) {
            if let Action::Fetch(sent) = action {
                *work.entry(sent.cache.to_string()).or_default() += 10.0;
                driver.end(&sent, 0, Outcome::Ok, Some(CacheStatus::Filled));
            }
        }
        driver.now += 5.0;
    }
    assert_eq!(work.keys().collect::<Vec<_>>(), ["e3", "e4", "e9"], "none to those that drain");
    assert!(work.values().all(|sent| *sent < 8.0 * 0.3 * 2.0 * 1000.0), "{work:?}");
}

#[test]
fn fleets_of_any_size_are_served() {
    let mut list = fleet();
    list.extend((0..3000).map(|number| entry(&format!("x{number}"), "edge", "east")));
    list.extend((0..3000).map(|number| entry(&format!("y{number}"), "edge", "west")));
    let crowd = Settings { routers_by_zone: vec![0, 9000, 9000], routers: 20_000, ..settings() };
    let mut driver = Driver::new(crowd, list.clone());
    driver.send(Event::List { mode: ListMode::Full, entries: list });
    for turn in 0..20 {
        driver.serve(READ, &format!("o{turn}"), CacheStatus::Filled);
    }
    // No hub, no size, no zones: still an answer.
    let bare = Settings { zones: Vec::new(), zone: None, flow_kb_per_s: None, ..Settings::default() };
    let bare = Settings { classes: settings().classes, limits: settings().limits, ..bare };
    fetch(&Driver::new(bare, vec![entry("e1", "edge", "east")]).ask(READ, "song"));
}

#[test]
fn a_machine_whose_answers_are_lost_now_and_then_is_not_taken_for_cold() {
    let mut driver = Driver::usual();
    let home = driver.serve(READ, "song", CacheStatus::Hit).cache;
    for _ in 0..3 {
        let sent = fetch(&driver.ask(READ, "song"));
        let next = fetch(&driver.end(&sent, 0, Outcome::Reset, None));
        driver.end(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
    }
    assert!(driver.log.iter().any(|line| line.contains("ejected")), "{:?}", driver.log);
    driver.wait(1500.0);
    assert_eq!(driver.serve(READ, "song", CacheStatus::Hit).cache, home, "a single trial, and it is back");
    for _ in 0..50 {
        assert_eq!(
            driver.serve(READ, "song", CacheStatus::Hit).cache,
            home,
            "no budget for one that only lost answers"
        );
    }
}

/// Settings under which no request tells its size and no machine its link.
fn untold() -> Settings {
    Settings { weights: Weights::Unknown, ..settings() }
}

/// How many of these requests the caches that have just started get, where nobody tells sizes.
fn sent_to_the_cold(size_kb: Option<f64>, counted_kb: Option<f64>) -> usize {
    let mut driver = Driver::new(untold(), fleet());
    let ask = |driver: &mut Driver, turn: usize| {
        let id = format!("u{turn}");
        driver.send(Event::Request(ClientRequest {
            id: id.as_str().into(),
            repeat: false,
            class: READ,
            size_kb,
            piece: 0,
            budget_ms: 4000.0,
            object: Some(format!("o{turn}").as_str().into()),
            group: 7,
            advice: None,
        }))
    };
    let answer = |driver: &mut Driver, sent: Fetch, elapsed_ms| {
        driver.send(Event::Result(AttemptResult {
            id: sent.id,
            attempt: 0,
            cache: sent.cache,
            outcome: Outcome::Ok,
            elapsed_ms,
            last: true,
            cache_status: Some(CacheStatus::Hit),
            source_ttfb_ms: None,
            report: LoadReport::default(),
            size_kb: counted_kb,
        }))
    };
    // Four seconds of usual work tell what a machine bears: ten requests a second of 300 ms each.
    for turn in 0..40 {
        driver.wait(100.0);
        let sent = fetch(&ask(&mut driver, turn));
        answer(&mut driver, sent, 320.0);
    }
    let since = Some(driver.now);
    let cold =
        ["e1", "e2", "e3"].map(|name| ListEntry { online_since: since, ..entry(name, "edge", "east") });
    driver.send(Event::List { mode: ListMode::Changes, entries: cold.to_vec() });
    let mut got = 0;
    for turn in 40..140 {
        driver.wait(10.0);
        for action in ask(&mut driver, turn) {
            if let Action::Fetch(sent) = action {
                got += usize::from(sent.cache != "e4".into());
                answer(&mut driver, sent, 320.0);
            }
        }
    }
    got
}

#[test]
fn machines_that_have_just_started_are_spared_also_where_no_request_tells_its_size() {
    // At 10 MB a second 3,000 KB are the 300 ms that a request takes.
    let told = sent_to_the_cold(Some(3000.0), None);
    let (counted, timed) = (sent_to_the_cold(None, Some(3000.0)), sent_to_the_cold(None, None));
    assert!(
        told < 10 && counted <= told + 1 && timed <= told + 1,
        "{told} told, {counted} counted, {timed} timed"
    );
}

#[test]
fn a_size_that_an_answer_has_shown_holds_for_its_piece_and_the_mean_for_others() {
    // A request that can't be sent in the time that is left is not sent at all.
    let ask = |driver: &mut Driver, id: &str, object: &str, budget_ms: Millis| {
        driver.send(Event::Request(ClientRequest {
            id: id.into(),
            repeat: false,
            class: READ,
            size_kb: None,
            piece: 0,
            budget_ms,
            object: Some(object.into()),
            group: 7,
            advice: None,
        }))
    };
    let mut driver = Driver::new(untold(), fleet());
    for (id, object, kb) in [("a", "small", 100.0), ("b", "large", 20_000.0)] {
        let sent = fetch(&ask(&mut driver, id, object, 4000.0));
        driver.send(Event::Result(AttemptResult {
            id: sent.id,
            attempt: 0,
            cache: sent.cache,
            outcome: Outcome::Ok,
            elapsed_ms: 50.0,
            last: true,
            cache_status: Some(CacheStatus::Hit),
            source_ttfb_ms: None,
            report: LoadReport::default(),
            size_kb: Some(kb),
        }));
    }
    assert!(refused(&ask(&mut driver, "c", "large", 1500.0)), "its 2 s don't fit");
    fetch(&ask(&mut driver, "d", "small", 1500.0));
    fetch(&ask(&mut driver, "e", "new", 1500.0));
}

/// Where answers tell of hits alone, as at the second deployment.
fn told_hits_only() -> Driver {
    Driver::new(Settings { detail: Detail::Hit, ..settings() }, fleet())
}

#[test]
fn refusals_that_are_not_told_apart_are_not_held_against_caches_while_fills_come_to_nothing() {
    let mut driver = told_hits_only();
    // The origin stops: each fill is refused, at all caches alike, while what they hold is served.
    for turn in 0..60 {
        let first = fetch(&driver.ask(READ, &format!("new{turn}")));
        let mut actions = driver.end(&first, 0, Outcome::Full, None);
        let mut attempt = 0;
        while let Some(Action::Fetch(next)) = actions.first().cloned() {
            attempt += 1;
            let how = if next.cached_only { Outcome::Miss } else { Outcome::Full };
            actions = driver.end(&next, attempt, how, None);
        }
        driver.now += 20.0;
        driver.wait(100.0);
    }
    assert!(!driver.log.iter().any(|line| line.contains("ejected")), "{:?}", driver.log);
}

#[test]
fn an_error_of_a_fill_that_is_not_told_apart_has_the_same_cache_ask_another_source_first() {
    let mut driver = told_hits_only();
    let first = fetch(&driver.ask(READ, "song"));
    assert_ne!(first.source, first.cache, "it names a source");
    let second = fetch(&driver.end(&first, 0, Outcome::Error, None));
    assert_eq!(second.cache, first.cache, "what the home keeps is there, whoever erred");
    assert_ne!(second.source, first.source);
    let third = fetch(&driver.end(&second, 1, Outcome::Error, None));
    assert_ne!(third.cache, first.cache, "twice, over two sources: the cache itself");
}

#[test]
fn a_slow_origin_is_seen_in_the_times_of_fills_that_are_not_told_apart() {
    let mut driver = told_hits_only();
    // Half of the fills are a parent's own and quick; the origin's take seconds.
    for turn in 0..8 {
        let served = fetch(&driver.ask(READ, &format!("warm{turn}")));
        let took = if turn % 2 == 0 { 30.0 } else { 3000.0 };
        driver.served(&served, CacheStatus::Filled, took, None);
    }
    let held = (0..200).filter(|turn| fetch(&driver.ask(READ, &format!("new{turn}"))).cached_only).count();
    assert!(held > 150, "no more is asked of it than it can begin in time: {held} of 200");
}
