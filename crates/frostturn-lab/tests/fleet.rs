//! Tests fleets of real processes with faults between them. Each test waits for states and asserts the
//! order of events, never their times, so that a busy machine doesn't fail it.

use frostturn::fleet::{QuorumStatus, Reachability, State};
use frostturn_lab::fleet::audit;
use frostturn_lab::fleet::check::{FleetEvent, LoggedEvent};
use frostturn_lab::relay::Link;
use frostturn_lab::rig::Rig;
use frostturn_lab::site::Setup;
use std::net::UdpSocket;
use std::path::PathBuf;
use State::{Alive, Gone, Left, Suspect};

const CUT: Link = Link { cut: true, lose: 0.0, double: 0.0, delay_ms: 0.0 };
/// Shorter times than the defaults, for tests that only wait for states.
const QUICK: &str = "(period 200ms) (suspicion 1s 2s)";

fn all(rig: &Rig) -> Vec<usize> {
    (0..rig.slots.len()).collect()
}

/// Waits until all of these have a majority and see each other alive.
fn wait_until_whole(rig: &Rig, these: &[usize]) {
    rig.wait_until("all know each other", |rig| {
        these.iter().all(|at| rig.has_status(*at, "majority") && rig.sees(*at, these, Alive))
    })
    .unwrap();
}

fn rig(routers: usize, times: &str) -> Rig {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_frostturn-lab"));
    let mut rig = Rig::new(2, routers, times, Some(program), 7, &Setup::default()).expect("a fleet");
    rig.start_all(true).expect("all start");
    wait_until_whole(&rig, &all(&rig));
    rig
}

/// Returns all events that a router's processes logged, in order.
fn logged_events(rig: &Rig, by: usize) -> Vec<LoggedEvent> {
    let logs = rig.slots[by].logs.iter().enumerate();
    logs.flat_map(|(start, log)| {
        audit::parse_log(&std::fs::read_to_string(log).unwrap_or_default(), by, start).0
    })
    .collect()
}

/// Returns when any router first called this one gone.
fn first_gone(rig: &Rig, one: usize) -> Option<f64> {
    let gone = |logged: &LoggedEvent| {
        matches!(
            logged.event,
            FleetEvent::MemberChanged { other, state: Gone, .. } if other == one
        )
    };
    all(rig)
        .iter()
        .flat_map(|by| logged_events(rig, *by))
        .filter(gone)
        .map(|logged| logged.at)
        .min_by(f64::total_cmp)
}

/// Returns when a router first lost its majority, by its own events.
fn first_cut_off(rig: &Rig, one: usize) -> Option<f64> {
    logged_events(rig, one).iter().find_map(|logged| match logged.event {
        FleetEvent::StatusChanged { status: QuorumStatus::CutOff, since, .. } => Some(since),
        _ => None,
    })
}

fn path(rig: &Rig, at: usize, of: usize) -> Option<Reachability> {
    rig.view(at)?.members.iter().find(|member| member.name == rig.slots[of].name).map(|member| member.path)
}

#[test]
fn ports_bound_by_others_in_the_meantime_take_no_router_its_socket() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_frostturn-lab"));
    let mut rig = Rig::new(2, 3, "", Some(program), 7, &Setup::default()).expect("a fleet");
    // Another process may bind port 0 between the choice of a router's port and its start. A port that is
    // taken already serves the same purpose.
    let others: Vec<_> =
        rig.slots.iter().map(|slot| UdpSocket::bind(("127.0.0.1", slot.listen.port()))).collect();
    rig.start_all(true).expect("all start");
    wait_until_whole(&rig, &[0, 1, 2]);
    drop(others);
}

#[test]
fn a_dead_router_is_called_gone_and_its_next_start_is_accepted_early_or_late() {
    let mut rig = rig(3, "");
    rig.kill(1);
    rig.wait_until("the others call it gone", |rig| [0, 2].iter().all(|at| rig.sees(*at, &[1], Gone)))
        .unwrap();
    rig.spawn(1, true, true).expect("it starts again");
    wait_until_whole(&rig, &[0, 1, 2]);
    let before = rig.view(0).unwrap().members[0].start.clone();
    rig.kill(1);
    rig.spawn(1, true, true).expect("it starts again at once");
    rig.wait_until("its new start is known", |rig| {
        rig.view(0).is_some_and(|view| view.members[0].start > before)
    })
    .unwrap();
    wait_until_whole(&rig, &[0, 1, 2]);
}

#[test]
fn after_two_of_six_and_then_all_but_one_die_the_last_calls_no_more_gone_and_all_return() {
    let mut rig = rig(6, QUICK);
    [1, 2].iter().for_each(|one| rig.kill(*one));
    rig.wait_until("four call two gone", |rig| {
        [0, 3, 4, 5].iter().all(|at| rig.sees(*at, &[1, 2], Gone) && rig.has_status(*at, "majority"))
    })
    .unwrap();
    [3, 4, 5].iter().for_each(|one| rig.kill(*one));
    rig.wait_until("the last router knows that it is cut off", |rig| {
        rig.has_status(0, "cut-off") && rig.sees(0, &[3, 4, 5], Suspect)
    })
    .unwrap();
    rig.start_all(true).expect("all start again");
    wait_until_whole(&rig, &all(&rig));
    assert!(
        [3, 4, 5].iter().all(|one| first_gone(&rig, *one).is_none()),
        "called gone by a router that was cut off itself"
    );
}

#[test]
fn a_suspended_router_is_called_gone_knows_it_when_resumed_and_rejoins_without_a_restart() {
    let rig = rig(5, QUICK);
    rig.pause(3, true);
    rig.wait_until("the others call it gone", |rig| [0, 1, 2, 4].iter().all(|at| rig.sees(*at, &[3], Gone)))
        .unwrap();
    rig.pause(3, false);
    wait_until_whole(&rig, &all(&rig));
    let (knew, gone) = (
        first_cut_off(&rig, 3).expect("the router logs that it is cut off"),
        first_gone(&rig, 3).expect("the others call it gone"),
    );
    assert!(knew < gone, "it was cut off from {knew} on, and called gone at {gone}");
    let log = rig.log(3);
    assert!(log.contains("stood still for"), "{log}");
}

#[test]
fn a_router_that_cannot_send_knows_it_first_and_one_that_cannot_receive_is_not_gone() {
    let rig = rig(5, QUICK);
    rig.set_links(CUT, |from, _| from == 2);
    rig.wait_until("it is gone, and cut off", |rig| {
        rig.has_status(2, "cut-off") && [0, 1, 3, 4].iter().all(|at| rig.sees(*at, &[2], Gone))
    })
    .unwrap();
    assert!(
        first_cut_off(&rig, 2) < first_gone(&rig, 2),
        "{:?} {:?}",
        first_cut_off(&rig, 2),
        first_gone(&rig, 2)
    );
    rig.wait_until("it hears them, one way", |rig| path(rig, 2, 0) == Some(Reachability::OneWay)).unwrap();
    rig.set_links(Link::default(), |_, _| true);
    wait_until_whole(&rig, &all(&rig));
    rig.set_links(CUT, |_, to| to == 4);
    rig.wait_until("it is cut off, and heard", |rig| {
        rig.has_status(4, "cut-off")
            && [0, 1, 2, 3].iter().all(|at| path(rig, *at, 4) == Some(Reachability::OneWay))
    })
    .unwrap();
    assert!([0, 1, 2, 3].iter().all(|at| rig.sees(*at, &[4], Alive) && rig.has_status(*at, "majority")));
    assert_eq!(first_gone(&rig, 4), None);
    rig.set_links(Link::default(), |_, _| true);
    wait_until_whole(&rig, &all(&rig));
}

#[test]
fn relaying_keeps_all_routers_alive_when_a_pair_is_cut_and_in_a_chain() {
    let rig = rig(5, "");
    rig.set_links(CUT, |from, to| (from, to) == (0, 1));
    rig.wait_until("the pair sees a one-way link", |rig| {
        path(rig, 0, 1) == Some(Reachability::OneWay) && path(rig, 1, 0) == Some(Reachability::OneWay)
    })
    .unwrap();
    rig.set_links(Link::default(), |_, _| true);
    rig.set_links(CUT, |from, to| from.abs_diff(to) > 1);
    rig.wait_until("the ends of the chain reach each other through relays", |rig| {
        path(rig, 0, 4) == Some(Reachability::Relayed) && path(rig, 4, 0) == Some(Reachability::Relayed)
    })
    .unwrap();
    wait_until_whole(&rig, &all(&rig));
    assert!(all(&rig)
        .iter()
        .all(|one| first_gone(&rig, *one).is_none() && first_cut_off(&rig, *one).is_none()));
}

#[test]
fn two_halves_without_a_majority_call_nobody_gone_and_rejoin_after_the_cut() {
    let rig = rig(6, QUICK);
    rig.set_links(CUT, |from, to| (from < 3) != (to < 3));
    rig.wait_until("neither half has a majority", |rig| {
        (0..3).all(|at| rig.has_status(at, "cut-off") && rig.sees(at, &[3, 4, 5], Suspect))
            && (3..6).all(|at| rig.has_status(at, "cut-off") && rig.sees(at, &[0, 1, 2], Suspect))
    })
    .unwrap();
    rig.set_links(Link::default(), |_, _| true);
    wait_until_whole(&rig, &all(&rig));
    assert!(all(&rig).iter().all(|one| first_gone(&rig, *one).is_none()));
}

#[test]
fn an_upgraded_router_stays_the_same_member_and_a_terminated_one_announces_that_it_leaves() {
    let mut rig = rig(3, "");
    let before = rig.view(0).unwrap().members[0].start.clone();
    // Events logged while the routers started one after another don't belong to this upgrade.
    let started = [0, 2].map(|by| (by, logged_events(&rig, by).len()));
    let old = rig.spawn(1, true, true).expect("a second process starts").expect("the old process");
    old.terminate();
    rig.wait_until("the new process speaks for the router", |rig| {
        rig.view(0).is_some_and(|view| view.members[0].start > before)
    })
    .unwrap();
    assert!(old.wait_for_exit());
    wait_until_whole(&rig, &[0, 1, 2]);
    let blinked = |logged: &LoggedEvent| {
        matches!(
            logged.event,
            FleetEvent::MemberChanged { other: 1, state, .. } if state != Alive
        )
    };
    let since = started.iter().flat_map(|(by, logged)| logged_events(&rig, *by).split_off(*logged));
    assert!(!since.into_iter().any(|logged| blinked(&logged)), "{}", rig.log(0));
    // A process without a successor announces that it leaves, and nothing waits for it.
    let last = rig.slots[1].process.take().expect("it runs");
    last.terminate();
    rig.wait_until("it has left", |rig| [0, 2].iter().all(|at| rig.sees(*at, &[1], Left))).unwrap();
    assert!(last.wait_for_exit());
}

#[test]
fn two_routers_of_five_are_upgraded_while_another_is_cut_off() {
    let mut rig = rig(5, QUICK);
    rig.set_links(CUT, |from, to| (from == 4) != (to == 4));
    rig.wait_until("one is gone", |rig| {
        (0..4).all(|at| rig.sees(at, &[4], Gone)) && rig.has_status(4, "cut-off")
    })
    .unwrap();
    for one in [0, 1] {
        let old = rig.spawn(one, true, true).expect("a second process starts").expect("the old process");
        old.terminate();
        rig.wait_until("the new process speaks for the router", |rig| rig.has_status(one, "majority"))
            .unwrap();
        assert!(old.wait_for_exit());
    }
    // The new processes have never received anything from the cut-off router, and still call it gone.
    rig.wait_until("the new ones say so too", |rig| (0..4).all(|at| rig.sees(at, &[4], Gone))).unwrap();
    rig.set_links(Link::default(), |_, _| true);
    wait_until_whole(&rig, &all(&rig));
}

#[test]
fn datagrams_at_a_reused_address_revive_no_dead_router() {
    let mut rig = rig(4, QUICK);
    [1, 2].iter().for_each(|one| rig.kill(*one));
    let (one, two) = (rig.slots[1].listen, rig.slots[2].listen);
    // The second router now listens on the first one's address, where datagrams for the first still arrive.
    rig.move_to(2, one).unwrap();
    rig.spawn(2, true, true).expect("it starts");
    rig.wait_until("three see each other, and call the fourth gone", |rig| {
        [0, 2, 3].iter().all(|at| rig.sees(*at, &[0, 2, 3], Alive) && rig.sees(*at, &[1], Gone))
    })
    .unwrap();
    rig.move_to(1, two).unwrap();
    rig.spawn(1, true, true).expect("it starts");
    wait_until_whole(&rig, &all(&rig));
}

#[test]
fn many_junk_datagrams_are_counted_and_change_nothing() {
    let rig = rig(3, "");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let real: Vec<Vec<u8>> = rig.relays.recent.lock().unwrap().iter().cloned().collect();
    assert!(!real.is_empty());
    for round in 0..20_000usize {
        let mut bytes = real[round % real.len()].clone();
        match round % 4 {
            0 => bytes.truncate(round % 40),
            1 => bytes[round % 19] ^= 0x55,
            2 => bytes = vec![round as u8; round % 1400],
            _ => {} // Replayed unchanged.
        }
        let _ = socket.send_to(&bytes, rig.slots[round % 3].listen); // Some may find no room.
    }
    wait_until_whole(&rig, &[0, 1, 2]);
    let status = |at: usize| {
        let ops = rig.slots[at].process.as_ref().and_then(|one| one.ops).expect("it runs");
        format!("{:?}", frostturn_lab::daemon::call(ops, &frostturn::ops::Call::Telemetry))
    };
    rig.wait_until("it is counted", |_| !status(0).contains("\\\"refused\\\":0,")).unwrap();
    assert!((0..3).all(|one| first_gone(&rig, one).is_none()));
}

/// Above the number of routers that exchange observation tables, membership epochs are used.
#[test]
fn eighteen_routers_with_membership_epochs_recover_from_a_death_and_a_cut() {
    let mut rig = rig(18, QUICK);
    let rest: Vec<usize> = (2..18).collect();
    rig.kill(1);
    rig.set_links(CUT, |from, to| (from == 0) != (to == 0));
    rig.wait_until("the others call both gone, and the first knows that it is cut off", |rig| {
        rig.has_status(0, "cut-off")
            && rest.iter().all(|at| rig.sees(*at, &[0, 1], Gone) && rig.has_status(*at, "majority"))
    })
    .unwrap();
    assert!(first_cut_off(&rig, 0) < first_gone(&rig, 0), "it knew first");
    rig.set_links(Link::default(), |_, _| true);
    rig.spawn(1, true, true).expect("it starts again");
    wait_until_whole(&rig, &all(&rig));
}
