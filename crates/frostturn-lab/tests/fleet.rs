//! Real processes of the program that know each other, and faults between them. Each test waits for states, never for times,
//! and asserts orders, never how long something took.

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
/// Shorter times than usual, where only states are waited for.
const QUICK: &str = "(period 200ms) (suspicion 1s 2s)";

fn all(rig: &Rig) -> Vec<usize> {
    (0..rig.slots.len()).collect()
}

/// Waits until all that are told stand and see each other.
fn whole(rig: &Rig, these: &[usize]) {
    rig.wait_until("all know each other", |rig| {
        these.iter().all(|at| rig.has_status(*at, "majority") && rig.sees(*at, these, Alive))
    })
    .unwrap();
}

fn rig(routers: usize, times: &str) -> Rig {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_frostturn-lab"));
    let mut rig = Rig::new(2, routers, times, Some(program), 7, &Setup::default()).expect("a rig");
    rig.start_all(true).expect("all start");
    whole(&rig, &all(&rig));
    rig
}

/// All words of one's processes, in order.
fn words(rig: &Rig, by: usize) -> Vec<LoggedEvent> {
    let logs = rig.slots[by].logs.iter().enumerate();
    logs.flat_map(|(start, log)| {
        audit::parse_log(&std::fs::read_to_string(log).unwrap_or_default(), by, start).0
    })
    .collect()
}

/// When anybody first called one gone.
fn first_gone(rig: &Rig, one: usize) -> Option<f64> {
    let gone = |said: &LoggedEvent| matches!(said.event, FleetEvent::MemberChanged { other, state: Gone, .. } if other == one);
    all(rig).iter().flat_map(|by| words(rig, *by)).filter(gone).map(|said| said.at).min_by(f64::total_cmp)
}

/// When one's standing first ended, by what it said of that.
fn first_cut_off(rig: &Rig, one: usize) -> Option<f64> {
    words(rig, one).iter().find_map(|said| match said.event {
        FleetEvent::StatusChanged { status: QuorumStatus::CutOff, since, .. } => Some(since),
        _ => None,
    })
}

fn path(rig: &Rig, at: usize, of: usize) -> Option<Reachability> {
    rig.view(at)?.members.iter().find(|member| member.name == rig.slots[of].name).map(|member| member.path)
}

#[test]
fn what_others_bind_meanwhile_takes_no_router_its_socket() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_frostturn-lab"));
    let mut rig = Rig::new(2, 3, "", Some(program), 7, &Setup::default()).expect("a rig");
    // As another test does that binds port 0 between the drawing of a router's port and its start. One of these may be
    // another's already, which is the same.
    let others: Vec<_> =
        rig.slots.iter().map(|slot| UdpSocket::bind(("127.0.0.1", slot.listen.port()))).collect();
    rig.start_all(true).expect("all start");
    whole(&rig, &[0, 1, 2]);
    drop(others);
}

#[test]
fn one_that_dies_is_gone_and_its_next_start_is_taken_at_once_early_or_late() {
    let mut rig = rig(3, "");
    rig.kill(1);
    rig.wait_until("the others call it gone", |rig| [0, 2].iter().all(|at| rig.sees(*at, &[1], Gone)))
        .unwrap();
    rig.spawn(1, true, true).expect("it starts again");
    whole(&rig, &[0, 1, 2]);
    let before = rig.view(0).unwrap().members[0].start.clone();
    rig.kill(1);
    rig.spawn(1, true, true).expect("and at once again");
    rig.wait_until("its new start is known", |rig| {
        rig.view(0).is_some_and(|view| view.members[0].start > before)
    })
    .unwrap();
    whole(&rig, &[0, 1, 2]);
}

#[test]
fn a_third_dies_at_once_then_all_but_one_which_calls_nobody_gone_and_all_come_back() {
    let mut rig = rig(6, QUICK);
    [1, 2].iter().for_each(|one| rig.kill(*one));
    rig.wait_until("four call two gone", |rig| {
        [0, 3, 4, 5].iter().all(|at| rig.sees(*at, &[1, 2], Gone) && rig.has_status(*at, "majority"))
    })
    .unwrap();
    [3, 4, 5].iter().for_each(|one| rig.kill(*one));
    rig.wait_until("the last one knows that it is alone", |rig| {
        rig.has_status(0, "cut-off") && rig.sees(0, &[3, 4, 5], Suspect)
    })
    .unwrap();
    rig.start_all(true).expect("all start again");
    whole(&rig, &all(&rig));
    assert!([3, 4, 5].iter().all(|one| first_gone(&rig, *one).is_none()), "by one that was cut off itself");
}

#[test]
fn one_that_stands_still_is_gone_knows_it_when_it_wakes_and_is_back_without_a_restart() {
    let rig = rig(5, QUICK);
    rig.pause(3, true);
    rig.wait_until("the others call it gone", |rig| [0, 1, 2, 4].iter().all(|at| rig.sees(*at, &[3], Gone)))
        .unwrap();
    rig.pause(3, false);
    whole(&rig, &all(&rig));
    let (knew, gone) = (first_cut_off(&rig, 3).expect("it says so"), first_gone(&rig, 3).expect("by all"));
    assert!(knew < gone, "it was cut off from {knew} on, and called gone at {gone}");
    let log = rig.log(3);
    assert!(log.contains("stood still for"), "{log}");
}

#[test]
fn one_that_is_not_heard_knows_it_first_and_one_that_does_not_hear_is_cut_off_and_not_gone() {
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
    whole(&rig, &all(&rig));
    rig.set_links(CUT, |_, to| to == 4);
    rig.wait_until("it is cut off, and heard", |rig| {
        rig.has_status(4, "cut-off")
            && [0, 1, 2, 3].iter().all(|at| path(rig, *at, 4) == Some(Reachability::OneWay))
    })
    .unwrap();
    assert!([0, 1, 2, 3].iter().all(|at| rig.sees(*at, &[4], Alive) && rig.has_status(*at, "majority")));
    assert_eq!(first_gone(&rig, 4), None);
    rig.set_links(Link::default(), |_, _| true);
    whole(&rig, &all(&rig));
}

#[test]
fn what_only_helpers_can_carry_keeps_all_alive_a_cut_pair_and_a_chain() {
    let rig = rig(5, "");
    rig.set_links(CUT, |from, to| (from, to) == (0, 1));
    rig.wait_until("the pair sees that it is one-sided", |rig| {
        path(rig, 0, 1) == Some(Reachability::OneWay) && path(rig, 1, 0) == Some(Reachability::OneWay)
    })
    .unwrap();
    rig.set_links(Link::default(), |_, _| true);
    rig.set_links(CUT, |from, to| from.abs_diff(to) > 1);
    rig.wait_until("the ends hear each other through others", |rig| {
        path(rig, 0, 4) == Some(Reachability::Relayed) && path(rig, 4, 0) == Some(Reachability::Relayed)
    })
    .unwrap();
    whole(&rig, &all(&rig));
    assert!(all(&rig)
        .iter()
        .all(|one| first_gone(&rig, *one).is_none() && first_cut_off(&rig, *one).is_none()));
}

#[test]
fn halves_stand_still_call_nobody_gone_and_are_whole_again_after_the_cut() {
    let rig = rig(6, QUICK);
    rig.set_links(CUT, |from, to| (from < 3) != (to < 3));
    rig.wait_until("no half stands", |rig| {
        (0..3).all(|at| rig.has_status(at, "cut-off") && rig.sees(at, &[3, 4, 5], Suspect))
            && (3..6).all(|at| rig.has_status(at, "cut-off") && rig.sees(at, &[0, 1, 2], Suspect))
    })
    .unwrap();
    rig.set_links(Link::default(), |_, _| true);
    whole(&rig, &all(&rig));
    assert!(all(&rig).iter().all(|one| first_gone(&rig, *one).is_none()));
}

#[test]
fn a_new_version_is_the_same_member_and_one_that_ends_says_so() {
    let mut rig = rig(3, "");
    let before = rig.view(0).unwrap().members[0].start.clone();
    // What was said while they started one after another is no blink of this upgrade.
    let started = [0, 2].map(|by| (by, words(&rig, by).len()));
    let old = rig.spawn(1, true, true).expect("beside the old one").expect("there was one");
    old.terminate();
    rig.wait_until("the new one speaks", |rig| {
        rig.view(0).is_some_and(|view| view.members[0].start > before)
    })
    .unwrap();
    assert!(old.wait_for_exit());
    whole(&rig, &[0, 1, 2]);
    let blinked = |said: &LoggedEvent| matches!(said.event, FleetEvent::MemberChanged { other: 1, state, .. } if state != Alive);
    let since = started.iter().flat_map(|(by, said)| words(&rig, *by).split_off(*said));
    assert!(!since.into_iter().any(|said| blinked(&said)), "{}", rig.log(0));
    // With nobody beside it, it status that it ends, and is not waited for.
    let last = rig.slots[1].process.take().expect("it runs");
    last.terminate();
    rig.wait_until("it has left", |rig| [0, 2].iter().all(|at| rig.sees(*at, &[1], Left))).unwrap();
    assert!(last.wait_for_exit());
}

#[test]
fn half_are_upgraded_while_one_is_cut_off() {
    let mut rig = rig(5, QUICK);
    rig.set_links(CUT, |from, to| (from == 4) != (to == 4));
    rig.wait_until("one is gone", |rig| {
        (0..4).all(|at| rig.sees(at, &[4], Gone)) && rig.has_status(4, "cut-off")
    })
    .unwrap();
    for one in [0, 1] {
        let old = rig.spawn(one, true, true).expect("beside the old one").expect("there was one");
        old.terminate();
        rig.wait_until("the new one speaks", |rig| rig.has_status(one, "majority")).unwrap();
        assert!(old.wait_for_exit());
    }
    // New starts have never heard the one behind the cut, and call it gone all the same.
    rig.wait_until("the new ones say so too", |rig| (0..4).all(|at| rig.sees(at, &[4], Gone))).unwrap();
    rig.set_links(Link::default(), |_, _| true);
    whole(&rig, &all(&rig));
}

#[test]
fn an_address_that_another_had_brings_nobody_back() {
    let mut rig = rig(4, QUICK);
    [1, 2].iter().for_each(|one| rig.kill(*one));
    let (one, two) = (rig.slots[1].listen, rig.slots[2].listen);
    // The second now listens where the first did, and whatever was for the first still goes there.
    rig.move_to(2, one).unwrap();
    rig.spawn(2, true, true).expect("it starts");
    rig.wait_until("three are whole, one is gone", |rig| {
        [0, 2, 3].iter().all(|at| rig.sees(*at, &[0, 2, 3], Alive) && rig.sees(*at, &[1], Gone))
    })
    .unwrap();
    rig.move_to(1, two).unwrap();
    rig.spawn(1, true, true).expect("it starts");
    whole(&rig, &all(&rig));
}

#[test]
fn junk_in_plenty_is_counted_and_changes_nothing() {
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
            _ => {} // Replayed as it was.
        }
        let _ = socket.send_to(&bytes, rig.slots[round % 3].listen); // Some may find no room.
    }
    whole(&rig, &[0, 1, 2]);
    let status = |at: usize| {
        let ops = rig.slots[at].process.as_ref().and_then(|one| one.ops).expect("it runs");
        format!("{:?}", frostturn_lab::daemon::call(ops, &frostturn::ops::Call::Telemetry))
    };
    rig.wait_until("it is counted", |_| !status(0).contains("\\\"refused\\\":0,")).unwrap();
    assert!((0..3).all(|one| first_gone(&rig, one).is_none()));
}

/// More routers than pass on rows: they call rolls.
#[test]
fn eighteen_routers_call_rolls_one_dies_one_is_cut_off_and_all_are_back() {
    let mut rig = rig(18, QUICK);
    let rest: Vec<usize> = (2..18).collect();
    rig.kill(1);
    rig.set_links(CUT, |from, to| (from == 0) != (to == 0));
    rig.wait_until("the rest calls both gone, and one knows that it is cut off", |rig| {
        rig.has_status(0, "cut-off")
            && rest.iter().all(|at| rig.sees(*at, &[0, 1], Gone) && rig.has_status(*at, "majority"))
    })
    .unwrap();
    assert!(first_cut_off(&rig, 0) < first_gone(&rig, 0), "it knew first");
    rig.set_links(Link::default(), |_, _| true);
    rig.spawn(1, true, true).expect("it starts again");
    whole(&rig, &all(&rig));
}
