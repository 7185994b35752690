//! The address table, the dial race and the connection pool, checked against simple models by random steps
//! with a fixed seed.

use frostturn::addresses::{
    AddressSettings, AddressTable, DialKey, DialRace, DialStep, Endpoint, EndpointFailure, Listing, MAX_DIALS,
};
use frostturn::api::{CacheId, Millis, Phase};
use frostturn::back::{ConnectionPool, DialAction, DialError};
use frostturn::reasons::{AttemptCause, EndpointClose};
use frostturn::reducer::{IncomingRequest, OutgoingRequest, Progress};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(120, 11)).tests(300).quickcheck(property);
}

fn v6(port: u16) -> Endpoint {
    SocketAddr::from(([0, 0, 0, 0, 0, 0, 0, 1], port)).into()
}

fn v4(port: u16) -> Endpoint {
    SocketAddr::from(([127, 0, 0, 1], port)).into()
}

fn unix(name: &str) -> Endpoint {
    Endpoint::Unix(Path::new(name).into())
}

fn serving(port: u16) -> Listing {
    let address = Some(SocketAddr::from(([127, 0, 0, 1], port)));
    Listing { phase: Phase::Serving, address, cold_until: None }
}

/// Settings for machines a and b with three endpoints each.
fn settings() -> AddressSettings {
    let mut settings = AddressSettings::default();
    settings.machines.insert("a".into(), vec![v6(1), unix("/a")]);
    settings.machines.insert("b".into(), vec![unix("/b"), v6(2)]);
    settings
}

fn address_table() -> (AddressTable, CacheId) {
    let mut table = AddressTable::new(Some(settings()), 5);
    table.update_listing(&"a".into(), serving(1));
    table.update_listing(&"b".into(), serving(2));
    (table, "a".into())
}

#[test]
fn endpoints_are_tried_in_family_order_and_failed_ones_after_working_ones() {
    let (mut table, a) = address_table();
    assert_eq!(table.candidates(0.0, &a), [unix("/a"), v6(1), v4(1)]);
    table.record_failure(0.0, &a, &unix("/a"), EndpointFailure::Refused);
    assert_eq!(table.candidates(0.0, &a), [v6(1), v4(1)]);
    // If none works, the one whose pause ends first goes first, so that the only working one is found.
    table.record_failure(1000.0, &a, &v6(1), EndpointFailure::Unresponsive);
    table.record_failure(500.0, &a, &v4(1), EndpointFailure::Refused);
    assert_eq!(table.candidates(1000.0, &a), [unix("/a"), v4(1), v6(1)]);
    table.record_answer(1001.0, &a, &v4(1));
    assert_eq!(table.candidates(1001.0, &a), [v4(1)]);
    let mut only = AddressTable::new(None, 5);
    only.update_listing(&a, serving(1));
    only.record_failure(0.0, &a, &v4(1), EndpointFailure::Refused);
    assert_eq!(
        (only.candidates(0.0, &a), only.next_deadline()),
        (vec![v4(1)], None),
        "without settings a failure changes nothing"
    );
}

#[test]
fn a_shared_address_belongs_to_the_newer_claim_and_to_none_while_a_claimant_drains() {
    let (mut table, a) = address_table();
    let (old, new) = (CacheId::from("x"), CacheId::from("y"));
    table.update_listing(&old, serving(9));
    assert_eq!(table.owner(&v4(9)), Some(&old));
    table.update_listing(&new, serving(9));
    assert_eq!(table.owner(&v4(9)), Some(&new), "the newer claim");
    assert!(table.candidates(0.0, &old).is_empty() && !table.accepts_requests(0.0, &old, &v4(9)));
    let leaves = |phase| Listing { phase, ..serving(9) };
    table.update_listing(&old, leaves(Phase::Draining));
    assert_eq!(
        (table.owner(&v4(9)), table.candidates(0.0, &new)),
        (None, vec![]),
        "which machine answers is unknown"
    );
    table.update_listing(&old, Listing { phase: Phase::Deleted, address: None, cold_until: None });
    assert_eq!(table.owner(&v4(9)), Some(&new), "the draining machine has left");
    // The older machine returns to the address: its claim is the newer one now.
    table.update_listing(&old, serving(9));
    assert_eq!(table.owner(&v4(9)), Some(&old));
    table.forget_machine(&old);
    assert_eq!((table.owner(&v4(9)), table.owner(&v4(1))), (Some(&new), Some(&a)));
}

#[test]
fn a_reload_removes_endpoints_and_keeps_the_state_of_the_others() {
    let (mut table, a) = address_table();
    table.record_failure(0.0, &a, &v6(1), EndpointFailure::Refused);
    let mut fewer = settings();
    fewer.machines.insert("a".into(), vec![v6(1)]);
    table.set_settings(Some(fewer));
    assert!(!table.contains(&a, &unix("/a")));
    assert_eq!(table.candidates(1.0, &a), [v4(1)], "the failure is remembered");
    table.set_settings(Some(settings()));
    assert_eq!(table.candidates(1.0, &a), [unix("/a"), v4(1)]);
}

#[test]
fn a_cold_machine_gets_one_dial_and_no_trials() {
    let (mut table, a) = address_table();
    table.update_listing(&a, Listing { cold_until: Some(5000.0), ..serving(1) });
    table.record_failure(0.0, &a, &v6(1), EndpointFailure::Refused);
    assert_eq!((table.max_dials(10.0, &a), table.start_trials(4000.0)), (1, vec![]));
    assert_eq!(table.max_dials(5000.0, &a), MAX_DIALS);
    assert_eq!(table.start_trials(5000.0), [(a.clone(), v6(1))]);
    assert_eq!(table.start_trials(6000.0), [], "one at a time");
}

#[test]
fn a_wrong_name_bars_an_endpoint_even_if_it_is_the_last() {
    let (mut table, a) = address_table();
    table.set_settings(Some(AddressSettings { machines: BTreeMap::new(), ..settings() }));
    let until = table.record_failure(0.0, &a, &v4(1), EndpointFailure::WrongName).expect("new");
    assert!(table.candidates(until - 1.0, &a).is_empty());
    assert_eq!(table.candidates(until, &a), [v4(1)]);
}

#[test]
fn pauses_grow_are_bounded_and_end() {
    fn property(seed: u64, gaps: Vec<u16>) -> bool {
        let (mut table, a) = (AddressTable::new(Some(settings()), seed), CacheId::from("a"));
        table.update_listing(&a, serving(1));
        let (first, most) = table.settings().expect("given").pause_ms;
        let (mut now, mut failures, mut until) = (0.0, 0, 0.0);
        for gap in gaps {
            now += f64::from(gap);
            match table.record_failure(now, &a, &v6(1), EndpointFailure::Refused) {
                None => assert!(now < until, "connections that fail together count once"),
                Some(at) => {
                    assert!(now >= until);
                    let nominal = (first * 2.0_f64.powi(failures)).min(most);
                    assert!((at - now) >= nominal * 0.75 && (at - now) <= nominal * 1.25);
                    (failures, until) = (failures + 1, at);
                }
            }
            // The endpoint is tested again once, when its pause ends and not before.
            if until.is_finite() && failures > 0 {
                assert!(table.start_trials(until - 0.001).is_empty());
                assert_eq!(table.start_trials(until), [(a.clone(), v6(1))]);
                table.end_trial(now, &a, &v6(1));
                now = until;
            }
        }
        true
    }
    check(property as fn(u64, Vec<u16>) -> bool);
}

/// Steps of one race.
#[derive(Clone, Debug)]
enum RaceChange {
    Wait(u8),
    Fail(usize),
    Up(usize),
    Restrict(u8),
}

impl Arbitrary for RaceChange {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=4 => Self::Wait(u8::arbitrary(g)),
            5..=7 => Self::Fail(usize::arbitrary(g)),
            8 => Self::Up(usize::arbitrary(g)),
            _ => Self::Restrict(u8::arbitrary(g)),
        }
    }
}

#[test]
fn a_race_keeps_its_bounds_ends_and_has_at_most_one_winner() {
    fn property(endpoints: u8, free: u8, delay: u8, changes: Vec<RaceChange>) -> bool {
        let all: Vec<Endpoint> = (0..u16::from(endpoints % 6)).map(v4).collect();
        let (most, delay) = (usize::from(free % 3), f64::from(delay) + 1.0);
        let mut race = DialRace::new(0.0, all.clone(), delay, 400.0);
        let (mut now, mut next) = (0.0, 0);
        // The model: open dials with their start.
        let mut open: BTreeMap<DialKey, Millis> = BTreeMap::new();
        let mut started = 0;
        for change in changes {
            let free = most.saturating_sub(open.len());
            let was_alone = open.is_empty();
            for step in race.poll(now, free, &mut next) {
                match step {
                    DialStep::Start(key, endpoint) => {
                        assert!(all.contains(&endpoint) && open.insert(key, now).is_none());
                        started += 1;
                    }
                    DialStep::Drop(key, _) => {
                        let since = open.remove(&key).expect("the dial was open");
                        assert!(now - since >= delay || !was_alone, "only a dial that had its time");
                    }
                }
            }
            assert!(open.len() <= most, "the bound of dials");
            assert_eq!(
                race.open_dials().iter().map(|d| d.key).collect::<BTreeSet<_>>(),
                open.keys().copied().collect()
            );
            let pick = |which: usize| open.keys().nth(which % open.len().max(1)).copied();
            match change {
                RaceChange::Wait(ms) => now += f64::from(ms) / 4.0,
                RaceChange::Fail(which) => {
                    let Some(key) = pick(which) else { continue };
                    assert!(race.dial_failed(now, key).is_some() && race.dial_failed(now, key).is_none());
                    open.remove(&key);
                }
                RaceChange::Up(which) => {
                    let Some(key) = pick(which) else { continue };
                    race = match race.win(now, DialKey::MAX) {
                        Ok(_) => panic!("the dial is not of this race"),
                        Err(race) => race,
                    };
                    let won = race.win(now, key).expect("the dial is open");
                    let losers: BTreeSet<DialKey> = won.losers.iter().map(|(key, ..)| *key).collect();
                    open.remove(&key);
                    // All other dials are closed. Nothing was written on them: frames wait for the winner.
                    assert_eq!(losers, open.keys().copied().collect());
                    return true;
                }
                RaceChange::Restrict(which) => {
                    let kept: Vec<Endpoint> = all
                        .iter()
                        .enumerate()
                        .filter(|(at, _)| which & (1 << at) != 0)
                        .map(|(_, e)| e.clone())
                        .collect();
                    for key in race.restrict(&kept) {
                        assert!(open.remove(&key).is_some());
                    }
                    assert!(race.open_dials().iter().all(|dial| kept.contains(&dial.endpoint)));
                }
            }
            assert!(race.deadline() <= 400.0);
        }
        assert!(started <= 400 && race.is_over(400.0), "the deadline of the race");
        race.poll(400.0, 9, &mut next).is_empty()
    }
    check(property as fn(u8, u8, u8, Vec<RaceChange>) -> bool);
}

#[test]
fn the_next_endpoint_is_dialed_at_once_after_a_failure_and_otherwise_after_the_delay() {
    let mut next = 0;
    let mut race = DialRace::new(0.0, vec![unix("/a"), v6(1), v4(1)], 80.0, 400.0);
    assert_eq!(race.poll(0.0, 2, &mut next), [DialStep::Start(1, unix("/a"))]);
    assert_eq!((race.poll(79.0, 1, &mut next), race.deadline()), (vec![], 80.0));
    assert_eq!(race.dial_failed(5.0, 1), Some(unix("/a")));
    assert_eq!(race.poll(5.0, 2, &mut next), [DialStep::Start(2, v6(1))]);
    assert_eq!(race.poll(85.0, 1, &mut next), [DialStep::Start(3, v4(1))]);
    let won = race.win(86.0, 3).expect("the dial is open");
    assert_eq!((won.endpoint, won.losers), (v4(1), vec![(2, v6(1), true)]), "the earlier dial was overtaken");
}

fn outgoing_request(id: &str, alone: bool) -> OutgoingRequest {
    let request = IncomingRequest { id: id.into(), class: "swap".into(), ..IncomingRequest::default() };
    let fetch = frostturn::api::Fetch {
        id: id.into(),
        cache: "a".into(),
        join: false,
        background_refresh: false,
        cached_only: false,
        timeout_ms: 900.0,
        source: "a".into(),
        max_age_ms: None,
        retention: frostturn::api::Retention::NoStore,
        send_within_ms: None,
    };
    OutgoingRequest {
        request: request.into(),
        fetch,
        exclusive_connection: alone,
        send_by: f64::INFINITY,
        cause: AttemptCause::First,
    }
}

fn connection_pool() -> (ConnectionPool, CacheId) {
    let mut pool = ConnectionPool::with_address_settings(400.0, 30_000.0, 32, 40, Some(settings()), 3);
    pool.update_listing(&"a".into(), serving(1));
    (pool, "a".into())
}

/// Returns the dials to start now.
fn started(pool: &mut ConnectionPool, now: Millis) -> Vec<(u64, DialKey, Endpoint)> {
    let starts = pool.poll_dials(now).into_iter();
    starts
        .filter_map(|one| match one {
            DialAction::Start(key, dial, endpoint) => Some((key, dial, endpoint)),
            _ => None,
        })
        .collect()
}

#[test]
fn a_written_attempt_never_moves_and_a_new_one_takes_another_endpoint() {
    let (mut pool, a) = connection_pool();
    let (first, _) = pool.send(0.0, 1, &a, &outgoing_request("one", true)).expect("room");
    let dials = started(&mut pool, 0.0);
    assert_eq!(dials.len(), 1);
    pool.dial_connected(1.0, first, dials[0].1).expect("the connection waits for the dial");
    let bytes = pool.output(first).map_or(0, <[u8]>::len);
    pool.wrote(1.0, first, bytes);
    // The Unix socket becomes unresponsive: a written attempt stays on it, a new one takes another endpoint.
    let (left, moved) = pool.check_unresponsive(600.0);
    assert_eq!((left.len(), left[0].endpoint.clone(), moved.len()), (1, unix("/a"), 0));
    let (second, new) = pool.send(601.0, 2, &a, &outgoing_request("two", true)).expect("room");
    assert!(new && second != first);
    assert_eq!(started(&mut pool, 601.0)[0].2, v6(1));
    let ended = pool.connection_closed(700.0, first, Some(EndpointFailure::Broken));
    assert_eq!(
        (ended.lost, ended.moved.len()),
        (vec![(1, Progress::WrittenWhole)], 0),
        "the attempt may have run"
    );
}

#[test]
fn a_drain_closes_the_dials_of_all_endpoints() {
    let (mut pool, a) = connection_pool();
    let (key, _) = pool.send(0.0, 1, &a, &outgoing_request("one", false)).expect("room");
    assert_eq!(started(&mut pool, 0.0).len(), 1);
    assert_eq!(started(&mut pool, 90.0).len(), 1, "two dials are open");
    pool.update_listing(&a, Listing { phase: Phase::Draining, ..serving(1) });
    pool.retire(&a);
    pool.stop(91.0, 1);
    let closed = pool.poll_dials(91.0).into_iter().filter(|one| matches!(one, DialAction::Close(_))).count();
    assert_eq!((closed, pool.dials(key).len()), (2, 0));
    assert_eq!(pool.expired(91.0), [(key, EndpointClose::NotNeeded)]);
    assert!(
        pool.send(92.0, 2, &a, &outgoing_request("two", false)).is_err(),
        "the machine has no usable endpoint"
    );
}

#[test]
fn a_recovering_endpoint_carries_one_request_until_it_is_answered() {
    let (mut pool, a) = connection_pool();
    let (key, _) = pool.send(0.0, 1, &a, &outgoing_request("one", false)).expect("room");
    let (_, dial, _) = started(&mut pool, 0.0).remove(0);
    let left = pool
        .dial_failed(0.0, key, dial, DialError::Failed(EndpointFailure::Refused))
        .expect("the endpoint is paused");
    let dials = started(&mut pool, 0.0);
    pool.dial_connected(1.0, key, dials[0].1).expect("the connection waits for the dial");
    // The trial starts when the pause ends, carries no request, and sends a greeting.
    let at = left.pause_ms;
    assert!(started(&mut pool, at - 1.0).is_empty());
    let (trial, dial, endpoint) = started(&mut pool, at).remove(0);
    assert!(endpoint == unix("/a") && trial != key);
    pool.dial_connected(at, trial, dial).expect("the connection waits for the dial");
    let greeting = pool.output(trial).expect("a greeting").to_vec();
    assert!(greeting.starts_with(b"*2\r\n$4\r\nHELO\r\n"));
    pool.wrote(at, trial, greeting.len());
    assert_ne!(
        pool.send(at, 2, &a, &outgoing_request("two", false)).map(|(key, _)| key),
        Ok(trial),
        "the greeting is unanswered"
    );
    let tag = String::from_utf8_lossy(&greeting).lines().nth(4).unwrap_or_default().to_owned();
    let fit = frostturn::resp::frame(&[tag.as_bytes(), b"FIT", b"-"]);
    assert_eq!(pool.receive(at, trial, &fit), (vec![], None));
    assert_ne!(
        pool.send(at, 3, &a, &outgoing_request("swap", true)).map(|(key, _)| key),
        Ok(trial),
        "no unrepeatable attempt"
    );
    assert_eq!(pool.send(at, 4, &a, &outgoing_request("four", false)), Ok((trial, false)));
    assert_ne!(
        pool.send(at, 5, &a, &outgoing_request("five", false)).map(|(key, _)| key),
        Ok(trial),
        "one request at a time"
    );
    let bytes = pool.output(trial).map_or(0, <[u8]>::len);
    pool.wrote(at, trial, bytes);
    let done = frostturn::resp::frame(&[b"four", b"LACK", b"-", b""]);
    assert_eq!(pool.receive(at + 1.0, trial, &done).0.len(), 1);
    assert_eq!(pool.addresses().counts(), (1, 0), "the endpoint works again");
}

#[test]
fn a_connection_to_another_machine_carries_no_requests() {
    let named = AddressSettings { verify_names: true, ..settings() };
    let mut pool = ConnectionPool::with_address_settings(400.0, 30_000.0, 32, 40, Some(named), 3);
    let a = CacheId::from("a");
    pool.update_listing(&a, serving(1));
    let (key, _) = pool.send(0.0, 1, &a, &outgoing_request("one", true)).expect("room");
    let (_, dial, _) = started(&mut pool, 0.0).remove(0);
    pool.dial_connected(0.0, key, dial).expect("the connection waits for the dial");
    let greeting = pool.output(key).expect("a greeting").to_vec();
    pool.wrote(0.0, key, greeting.len());
    assert_eq!(pool.output(key), None, "nothing is written before the machine is verified");
    let tag = String::from_utf8_lossy(&greeting).lines().nth(4).unwrap_or_default().to_owned();
    let fit = frostturn::resp::frame(&[tag.as_bytes(), b"FIT", b"name=b"]);
    assert_eq!(pool.receive(1.0, key, &fit).1, Some(frostturn::back::WRONG_NAME));
    let ended = pool.connection_closed(1.0, key, Some(EndpointFailure::WrongName));
    assert!(ended.lost.is_empty() && ended.moved.len() == 1, "the attempt was not written");
    assert_eq!(started(&mut pool, 1.0)[0].2, v6(1));
}

/// Steps on all connections to two machines.
#[derive(Clone, Debug)]
enum PoolChange {
    Send { to_b: bool, alone: bool },
    Refused(usize),
    Up(usize),
    Write(usize),
    Answer(usize),
    Down(usize),
    Drain(bool),
    Wait(u8),
}

impl Arbitrary for PoolChange {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = usize::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=3 => Self::Send { to_b: bool::arbitrary(g), alone: bool::arbitrary(g) },
            4 => Self::Refused(which),
            5..=7 => Self::Up(which),
            8..=10 => Self::Write(which),
            11 => Self::Answer(which),
            12 => Self::Down(which),
            13 => Self::Drain(bool::arbitrary(g)),
            _ => Self::Wait(u8::arbitrary(g)),
        }
    }
}

#[test]
fn losing_dials_carry_no_bytes_every_dial_ends_and_written_attempts_stay() {
    fn property(changes: Vec<PoolChange>) -> bool {
        let mut pool = ConnectionPool::with_address_settings(400.0, 30_000.0, 32, 40, Some(settings()), 3);
        let names = [CacheId::from("a"), CacheId::from("b")];
        for (port, name) in (1..).zip(&names) {
            pool.update_listing(name, serving(port));
        }
        let (mut now, mut next) = (0.0, 0);
        // The model: open dials, connections that are up, and the connection on which each attempt was
        // written.
        let mut dials: BTreeMap<DialKey, u64> = BTreeMap::new();
        let (mut up, mut written) = (BTreeSet::new(), BTreeMap::<u64, u64>::new());
        let mut changes = changes.into_iter();
        loop {
            let one = changes.next();
            for todo in pool.poll_dials(now) {
                match todo {
                    DialAction::Start(key, dial, _) => assert!(dials.insert(dial, key).is_none()),
                    DialAction::Close(dial) => assert!(dials.remove(&dial).is_some()),
                    DialAction::Paused(_) => {}
                }
            }
            for name in &names {
                let own = dials.values().filter(|key| pool.machine(**key) == Some(name)).count();
                assert!(own <= MAX_DIALS, "{own} dials at once");
            }
            let nth = |which: usize| dials.iter().nth(which % dials.len().max(1)).map(|(d, k)| (*d, *k));
            let live: Vec<u64> = up.iter().copied().collect();
            let one_up = |which: usize| live.get(which % live.len().max(1)).copied();
            let mut ended = None;
            match one {
                Some(PoolChange::Send { to_b, alone }) => {
                    next += 1;
                    let sent = pool.send(
                        now,
                        next,
                        &names[usize::from(to_b)],
                        &outgoing_request(&format!("i{next}"), alone),
                    );
                    if let Ok((key, _)) = sent {
                        assert!(pool.output(key).is_none() || up.contains(&key));
                    }
                }
                Some(PoolChange::Refused(which)) => {
                    if let Some((dial, key)) = nth(which) {
                        dials.remove(&dial);
                        pool.dial_failed(now, key, dial, DialError::Failed(EndpointFailure::Refused));
                    }
                }
                Some(PoolChange::Up(which)) => {
                    let Some((dial, key)) = nth(which) else { continue };
                    assert!(pool.output(key).is_none(), "nothing is written before the race is won");
                    dials.remove(&dial);
                    for todo in pool.dial_connected(now, key, dial).expect("the dial was open") {
                        if let DialAction::Close(loser) = todo {
                            assert_eq!(dials.remove(&loser), Some(key), "losers are closed");
                        }
                    }
                    assert!(!dials.values().any(|of| *of == key) && up.insert(key), "one winner");
                }
                Some(PoolChange::Write(which)) => {
                    let Some(key) = one_up(which) else { continue };
                    let Some(bytes) = pool.output(key).map(<[u8]>::len) else { continue };
                    if let Some((attempt, _)) = pool.wrote(now, key, bytes) {
                        assert_eq!(written.insert(attempt, key), None, "each is written once");
                    }
                }
                Some(PoolChange::Answer(which)) => {
                    let at = which % written.len().max(1);
                    let Some((attempt, key)) = written.iter().nth(at).map(|(a, k)| (*a, *k)) else {
                        continue;
                    };
                    let id = format!("i{attempt}");
                    let done = frostturn::resp::frame(&[id.as_bytes(), b"LACK", b"-", b""]);
                    if pool.connection_of(attempt) == Some(key) {
                        pool.receive(now, key, &done);
                    }
                    written.remove(&attempt);
                }
                Some(PoolChange::Down(which)) => {
                    ended = one_up(which).map(|key| (key, Some(EndpointFailure::Broken)))
                }
                Some(PoolChange::Drain(drains)) => {
                    let phase = if drains { Phase::Draining } else { Phase::Serving };
                    pool.update_listing(&names[0], Listing { phase, ..serving(1) });
                    if drains {
                        pool.retire(&names[0]);
                    }
                }
                Some(PoolChange::Wait(ms)) => now += f64::from(ms),
                None => now += 60_000.0,
            }
            let over = pool.expired(now).into_iter().map(|(key, _)| (key, None));
            for (key, blame) in ended.into_iter().chain(over).collect::<Vec<_>>() {
                let down = pool.connection_closed(now, key, blame);
                up.remove(&key);
                for dial in down.dials {
                    assert_eq!(dials.remove(&dial), Some(key));
                }
                for (attempt, progress) in down.lost {
                    let wrote = written.remove(&attempt).is_some();
                    assert_eq!(wrote, progress >= Progress::PartlyWritten);
                }
                assert!(written.values().all(|on| *on != key), "a written attempt moved");
            }
            pool.check_unresponsive(now);
            assert!(written.iter().all(|(attempt, key)| pool.connection_of(*attempt) == Some(*key)));
            if one.is_none() {
                // After a minute, every dial has ended.
                return dials.is_empty();
            }
        }
    }
    check(property as fn(Vec<PoolChange>) -> bool);
}
