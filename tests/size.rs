//! Tests with many routers that share each machine, so that each router sees little of its load; and with
//! sizes and failures that are not reported.

mod common;
use common::*;
use frostturn::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// Forty routers in the location, and four hundred in all.
fn many_routers() -> Settings {
    Settings { routers_by_zone: vec![0, 40, 40], routers: 400, ..settings() }
}

#[test]
fn pieces_of_one_object_have_homes_of_their_own() {
    let mut driver = Driver::with_defaults();
    let mut home = |piece| fetch(&driver.request_piece(READ, "film", piece, 100.0)).cache;
    let homes: Vec<CacheId> = (0..40).map(&mut home).collect();
    assert_eq!(homes.iter().collect::<BTreeSet<_>>().len(), 4, "over the whole location");
    assert_eq!(home(7), homes[7], "a piece stays at its home");
}

#[test]
fn with_a_small_share_of_a_link_objects_stay_at_their_home_and_are_not_refused() {
    let mut driver = Driver::new(many_routers(), machines());
    let home = fetch(&driver.request_sized(READ, "song", 3000.0)).cache;
    // The router's share is a fifth of a transfer; two transfers coincide by chance.
    assert_eq!(fetch(&driver.request_sized(READ, "song", 3000.0)).cache, home);
}

#[test]
fn a_home_is_passed_over_later_while_fills_fail() {
    let stays = |cache_status: CacheStatus, outcome: Outcome| {
        let mut driver = Driver::new(many_routers(), machines());
        for turn in 0..20 {
            let sent = fetch(&driver.request(READ, &format!("o{turn}")));
            for action in driver.end_attempt(&sent, 0, outcome, Some(cache_status)) {
                if let Action::Fetch(next) = action {
                    driver.end_attempt(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
                }
            }
        }
        let home = fetch(&driver.request_sized(READ, "song", 10.0)).cache;
        (0..20).take_while(|_| fetch(&driver.request_sized(READ, "song", 10.0)).cache == home).count()
    };
    let (fine, failing) =
        (stays(CacheStatus::Filled, Outcome::Ok), stays(CacheStatus::SourceRefused, Outcome::Full));
    assert!(fine >= 1 && failing > fine, "{fine} and {failing}");
}

#[test]
fn a_cache_that_reports_a_busy_cpu_gets_no_margin_for_chance() {
    // The values of reports change every 400 ms, or never; then no reports arrive for a while.
    let second_refused = |util: f64, renewed: bool, silent_ms: Millis| {
        let mut driver = Driver::new(many_routers(), machines());
        for turn in 0..=330 {
            driver.now += 25.0;
            let sent = fetch(&driver.request(READ, &format!("o{turn}")));
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
        driver.now += silent_ms;
        let first = driver.request_sized(READ, "song", 3000.0);
        is_refusal(&first) || is_refusal(&driver.request_sized(READ, "song", 3000.0))
    };
    assert!(second_refused(1.02, true, 0.0) && !second_refused(0.6, true, 0.0));
    assert!(
        !second_refused(f64::NAN, true, 0.0) && !second_refused(-3.0, true, 0.0),
        "invalid values are no report"
    );
    assert!(!second_refused(1.02, false, 0.0), "a stuck report expires");
    assert!(!second_refused(1.02, true, 1000.0), "no report counts for longer than the usual interval");
}

#[test]
fn many_routers_together_keep_to_the_budget_of_a_cold_parent() {
    let mut list = machines();
    list.retain(|entry| entry.cache.as_str() != "p2");
    let mut warm = list.clone();
    warm.iter_mut().filter(|entry| entry.cache.as_str() == "p1").for_each(|entry| entry.weight = 40.0);
    let mut work = BTreeMap::<u64, f64>::new();
    for seed in 0..400 {
        let mut driver = Driver::with_seed(many_routers(), warm.clone(), seed);
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
            let sent = fetch(&driver.request_sized(READ, &format!("n{turn}"), 100.0));
            if sent.source.as_str() == "p1" {
                *work.entry(turn / 4).or_default() += 10.0;
            }
            driver.end_attempt(&sent, 0, Outcome::Ok, Some(CacheStatus::Filled));
            driver.now += 250.0;
        }
    }
    // The bound for each second: 40 transfers, a share that rises from a tenth, and an overload multiple of
    // 2.
    for second in 0..4 {
        let most = 2.0 * 40.0 * 1000.0 * (0.1 + 0.9 * (second + 1) as f64 / 20.0);
        let sent = work.get(&second).copied().unwrap_or(0.0);
        assert!(sent > 0.2 * most && sent < most, "second {second}: {sent} of {most}");
    }
}

#[test]
fn a_machine_that_seldom_answers_is_not_silent_after_one_usual_gap() {
    let mut driver = Driver::with_defaults();
    for turn in 0..20 {
        driver.serve(READ, &format!("o{}", turn % 10), CacheStatus::Filled);
        driver.advance(1500.0);
    }
    let sent = fetch(&driver.request(READ, "o1"));
    assert!(driver.advance(2500.0).is_empty(), "merely slow, as far as is known");
    // An answer that never comes is given up in the end.
    let actions = driver.advance(60_000.0);
    let gone = |action: &Action| matches!(action, Action::Abandon { id, .. } if *id == sent.id);
    assert!(actions.iter().any(gone), "{actions:?}");
}

#[test]
fn a_failure_behind_a_cache_does_not_count_against_the_cache() {
    let mut driver = Driver::with_defaults();
    for turn in 0..12 {
        let sent = fetch(&driver.request(READ, &format!("o{turn}")));
        let next = fetch(&driver.end_attempt(&sent, 0, Outcome::Error, Some(CacheStatus::SourceUnavailable)));
        assert_eq!(next.cache, sent.cache, "another source, the same cache");
        driver.end_attempt(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
    }
    assert!(!driver.log.iter().any(|line| line.starts_with('e') && line.contains("ejected")));
}

#[test]
fn a_parent_whose_origin_fails_is_not_ejected() {
    let mut driver = Driver::with_defaults();
    for turn in 0..20 {
        let sent = fetch(&driver.request(READ, &format!("o{turn}")));
        driver.end_attempt(&sent, 0, Outcome::Full, Some(CacheStatus::OriginFailed));
    }
    assert!(driver.log.iter().all(|line| !line.contains("ejected")), "{:?}", driver.log);
}

#[test]
fn without_a_parent_the_home_in_another_location_is_the_source_before_the_origin() {
    let list: Vec<ListEntry> = machines().into_iter().filter(|e| e.kind.as_str() != "parent").collect();
    let any = Settings { siblings: Siblings::Any, ..settings() };
    let mut driver = Driver::new(any.clone(), list.clone());
    let sent = fetch(&driver.request(READ, "song"));
    assert_eq!(sent.source.as_str(), "w1");
    let next = fetch(&driver.end_attempt(&sent, 0, Outcome::Full, Some(CacheStatus::SourceUnavailable)));
    assert_eq!(next.source.as_str(), "o1", "the origin is next");
    // A cache without a copy of the piece has not failed, and is no source of the same request again.
    let mut driver = Driver::new(any.clone(), list.clone());
    let sent = fetch(&driver.request(READ, "tune"));
    let next = fetch(&driver.end_attempt(&sent, 0, Outcome::Miss, Some(CacheStatus::SourceMiss)));
    assert_eq!(next.source.as_str(), "o1", "it serves only copies that it has");
    // A cold cache is no source, nor is any cache of another location unless the settings allow it.
    let mut cold = list.clone();
    cold.iter_mut().filter(|e| e.cache.as_str() == "w1").for_each(|e| e.online_since = Some(driver.now));
    assert_eq!(fetch(&Driver::new(any, cold).request(READ, "song")).source.as_str(), "o1");
    assert_eq!(fetch(&Driver::new(settings(), list).request(READ, "song")).source.as_str(), "o1");
}

/// Preemption in several waves: two caches drain, two others restart cold, and a new one starts cold.
#[test]
fn the_rules_hold_while_some_caches_drain_and_the_others_are_cold() {
    let mut driver = Driver::with_defaults();
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
        for action in driver.request(READ, &format!("o{}", turn % 40)) {
            if let Action::Fetch(sent) = action {
                *work.entry(sent.cache.to_string()).or_default() += 10.0;
                driver.end_attempt(&sent, 0, Outcome::Ok, Some(CacheStatus::Filled));
            }
        }
        driver.now += 5.0;
    }
    assert_eq!(work.keys().collect::<Vec<_>>(), ["e3", "e4", "e9"], "no request to a draining cache");
    assert!(work.values().all(|sent| *sent < 8.0 * 0.3 * 2.0 * 1000.0), "{work:?}");
}

#[test]
fn any_number_of_machines_and_routers_is_served() {
    let mut list = machines();
    list.extend((0..3000).map(|number| entry(&format!("x{number}"), "edge", "east")));
    list.extend((0..3000).map(|number| entry(&format!("y{number}"), "edge", "west")));
    let crowd = Settings { routers_by_zone: vec![0, 9000, 9000], routers: 20_000, ..settings() };
    let mut driver = Driver::new(crowd, list.clone());
    driver.send(Event::List { mode: ListMode::Full, entries: list });
    for turn in 0..20 {
        driver.serve(READ, &format!("o{turn}"), CacheStatus::Filled);
    }
    // Requests are served without hubs, known sizes or zones.
    let bare = Settings { zones: Vec::new(), zone: None, flow_kb_per_s: None, ..Settings::default() };
    let bare = Settings { classes: settings().classes, limits: settings().limits, ..bare };
    fetch(&Driver::new(bare, vec![entry("e1", "edge", "east")]).request(READ, "song"));
}

#[test]
fn a_machine_that_loses_answers_now_and_then_does_not_count_as_cold() {
    let mut driver = Driver::with_defaults();
    let home = driver.serve(READ, "song", CacheStatus::Hit).cache;
    for _ in 0..3 {
        let sent = fetch(&driver.request(READ, "song"));
        let next = fetch(&driver.end_attempt(&sent, 0, Outcome::Reset, None));
        driver.end_attempt(&next, 1, Outcome::Ok, Some(CacheStatus::Filled));
    }
    assert!(driver.log.iter().any(|line| line.contains("ejected")), "{:?}", driver.log);
    driver.advance(1500.0);
    assert_eq!(driver.serve(READ, "song", CacheStatus::Hit).cache, home, "back after a single trial");
    for _ in 0..50 {
        assert_eq!(
            driver.serve(READ, "song", CacheStatus::Hit).cache,
            home,
            "no cold-start budget for a machine that only lost answers"
        );
    }
}

/// Settings under which neither request sizes nor the capacities of machines are known.
fn unknown_capacities() -> Settings {
    Settings { weights: Weights::Unknown, ..settings() }
}

/// Returns how many of 100 requests go to three caches that have just started, where no capacity is known.
fn sent_to_cold_caches(size_kb: Option<f64>, counted_kb: Option<f64>) -> usize {
    let mut driver = Driver::new(unknown_capacities(), machines());
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
    // Four seconds of usual load, with ten requests a second of 300 ms each, show the load that a machine
    // bears.
    for turn in 0..40 {
        driver.advance(100.0);
        let sent = fetch(&ask(&mut driver, turn));
        answer(&mut driver, sent, 320.0);
    }
    let since = Some(driver.now);
    let cold =
        ["e1", "e2", "e3"].map(|name| ListEntry { online_since: since, ..entry(name, "edge", "east") });
    driver.send(Event::List { mode: ListMode::Changes, entries: cold.to_vec() });
    let mut got = 0;
    for turn in 40..140 {
        driver.advance(10.0);
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
fn cold_machines_are_spared_where_requests_do_not_state_their_sizes() {
    // At 10 MB/s a request of 3,000 KB takes 300 ms.
    let stated = sent_to_cold_caches(Some(3000.0), None);
    let (counted, timed) = (sent_to_cold_caches(None, Some(3000.0)), sent_to_cold_caches(None, None));
    assert!(
        stated < 10 && counted <= stated + 1 && timed <= stated + 1,
        "{stated} stated, {counted} counted, {timed} timed"
    );
}

#[test]
fn the_size_of_an_answer_is_used_for_its_piece_and_the_mean_for_others() {
    // A request whose transfer does not fit the time left is refused.
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
    let mut driver = Driver::new(unknown_capacities(), machines());
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
    assert!(is_refusal(&ask(&mut driver, "c", "large", 1500.0)), "its 2 s do not fit");
    fetch(&ask(&mut driver, "d", "small", 1500.0));
    fetch(&ask(&mut driver, "e", "new", 1500.0));
}

/// A driver whose answers only say whether they were hits, as at the second deployment.
fn hit_status_only() -> Driver {
    Driver::new(Settings { detail: Detail::Hit, ..settings() }, machines())
}

#[test]
fn rejections_without_a_cause_do_not_count_against_caches_while_fills_fail() {
    let mut driver = hit_status_only();
    // The origin is down: every cache rejects fills, and serves the copies that it has.
    for turn in 0..60 {
        let first = fetch(&driver.request(READ, &format!("new{turn}")));
        let mut actions = driver.end_attempt(&first, 0, Outcome::Full, None);
        let mut attempt = 0;
        while let Some(Action::Fetch(next)) = actions.first().cloned() {
            attempt += 1;
            let how = if next.cached_only { Outcome::Miss } else { Outcome::Full };
            actions = driver.end_attempt(&next, attempt, how, None);
        }
        driver.now += 20.0;
        driver.advance(100.0);
    }
    assert!(!driver.log.iter().any(|line| line.contains("ejected")), "{:?}", driver.log);
}

#[test]
fn after_an_error_without_a_cause_the_same_cache_tries_another_source_first() {
    let mut driver = hit_status_only();
    let first = fetch(&driver.request(READ, "song"));
    assert_ne!(first.source, first.cache, "the attempt names a source");
    let second = fetch(&driver.end_attempt(&first, 0, Outcome::Error, None));
    assert_eq!(second.cache, first.cache, "the copies are at the home, whichever machine failed");
    assert_ne!(second.source, first.source);
    let third = fetch(&driver.end_attempt(&second, 1, Outcome::Error, None));
    assert_ne!(third.cache, first.cache, "two errors with two sources are put down to the cache");
}

#[test]
fn a_slow_origin_is_detected_from_fills_without_a_stated_source() {
    let mut driver = hit_status_only();
    // Half of the fills are quick, from a parent's copies; those from the origin take seconds.
    for turn in 0..8 {
        let served = fetch(&driver.request(READ, &format!("warm{turn}")));
        let took = if turn % 2 == 0 { 30.0 } else { 3000.0 };
        driver.answer_after(&served, CacheStatus::Filled, took, None);
    }
    let cached_only =
        (0..200).filter(|turn| fetch(&driver.request(READ, &format!("new{turn}"))).cached_only).count();
    assert!(cached_only > 150, "it gets no more than it can start in time: {cached_only} of 200");
}
