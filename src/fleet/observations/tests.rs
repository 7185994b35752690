use super::*;
use crate::fleet::rate_limit::{BURST_DATAGRAMS, DATAGRAMS_PER_S};
use crate::fleet::settings::MAX_OBSERVATION_ROUTERS;
use crate::fleet::PeerAddress;
use quickcheck::{Gen, QuickCheck};

const ME: &str = "n0";

fn settings() -> Settings {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    let mut settings = Settings::new("north", address(7400));
    settings.peers =
        (1..4).map(|one| PeerAddress { name: format!("n{one}"), address: address(7400 + one) }).collect();
    settings
}

fn fleet() -> ObservationMembership {
    ObservationMembership::new(settings(), ME, 1000, 0.0, 0)
}

/// A report of a router whose clock has run since 0: it acknowledges this router, and observes `n1` as given
/// by start, voted term and suspicion.
fn report(
    reporter: &str,
    start: u64,
    now: Millis,
    fleet: &ObservationMembership,
    n1: Option<(u64, u32, bool)>,
) -> Report {
    let heartbeat = (now / HEARTBEAT_UNIT_MS) as u32;
    let me = Observation {
        router: RouterId::of(ME),
        start_tag: wire::start_tag(fleet.start),
        heartbeat,
        refused_term: 0,
        voted_term: 0,
        suspected: false,
        direct: true,
    };
    let other = n1.map(|(start, voted_term, suspected)| Observation {
        router: RouterId::of("n1"),
        start_tag: wire::start_tag(start),
        refused_term: voted_term,
        voted_term,
        suspected,
        ..me
    });
    let observations = [me].into_iter().chain(other).collect();
    Report {
        reporter: RouterId::of(reporter),
        start,
        term: 1,
        heartbeat,
        age_ms: 0,
        status: QuorumStatus::Majority,
        observations,
    }
}

fn datagram(to: &str, to_start: u64, report: Report) -> Vec<u8> {
    let packet = Packet {
        to: RouterId::of(to),
        to_start,
        roster_hash: 0,
        reports: vec![report],
        failure_votes: Vec::new(),
    };
    wire::encode("north", packet, std::iter::empty()).0
}

fn hear(fleet: &mut ObservationMembership, now: Millis, report: Report) -> Result<(), RejectReason> {
    let bytes = datagram(ME, fleet.start, report);
    fleet.receive(now, &bytes)
}

fn state(fleet: &ObservationMembership, one: usize) -> State {
    fleet.members[one - 1].state
}

/// Runs until `until` with a tick every 100 ms, in which n2 and n3 acknowledge this router and observe n1 as
/// given.
fn run(fleet: &mut ObservationMembership, from: Millis, until: Millis, n1: Option<(u64, u32, bool)>) {
    let mut now = from;
    while now < until {
        for reporter in ["n2", "n3"] {
            let report = report(reporter, 5, now, fleet, n1);
            hear(fleet, now, report).expect("accepted");
        }
        fleet.tick(now);
        fleet.take_effects();
        now += 100.0;
    }
}

#[test]
fn a_silent_router_is_gone_once_enough_others_voted_and_votes_for_an_earlier_start_do_not_count() {
    let mut fleet = fleet();
    let first = report("n1", 500, 0.0, &fleet, None);
    hear(&mut fleet, 0.0, first).expect("accepted");
    // The others have voted an earlier start of n1 failed, which is silent here, too.
    run(&mut fleet, 100.0, 12_000.0, Some((400, 9, true)));
    assert_eq!(
        (state(&fleet, 1), fleet.members[0].voted_term),
        (State::Suspect, 1),
        "voted failed here, and not gone"
    );
    assert_eq!(fleet.quorum_status(12_000.0).0, QuorumStatus::Majority);
    run(&mut fleet, 12_000.0, 12_300.0, Some((500, 1, true)));
    assert_eq!(state(&fleet, 1), State::Gone);
    // Its old term does not bring it back, whoever relays it; the next term does, and so does a new start.
    let mut same = report("n1", 500, 12_400.0, &fleet, None);
    hear(&mut fleet, 12_400.0, same.clone()).expect("accepted");
    assert_eq!(state(&fleet, 1), State::Gone);
    (same.term, same.heartbeat) = (2, same.heartbeat + 10);
    hear(&mut fleet, 12_500.0, same.clone()).expect("accepted");
    assert_eq!(state(&fleet, 1), State::Alive);
    let anew = report("n1", 600, 12_600.0, &fleet, None);
    hear(&mut fleet, 12_600.0, anew).expect("accepted");
    assert_eq!((state(&fleet, 1), fleet.members[0].refused_term), (State::Alive, 0));
    same.heartbeat += 100;
    assert_eq!(hear(&mut fleet, 12_700.0, same), Err(RejectReason::Stale), "the earlier start");
}

#[test]
fn a_router_without_a_quorum_declares_nobody_gone_whatever_others_voted() {
    let mut fleet = fleet();
    for reporter in ["n1", "n2", "n3"] {
        let report = report(reporter, 5, 0.0, &fleet, Some((500, 9, true)));
        hear(&mut fleet, 0.0, report).expect("accepted");
    }
    (1..600).for_each(|turn| fleet.tick(f64::from(turn) * 100.0));
    assert_eq!(fleet.quorum_status(60_000.0).0, QuorumStatus::CutOff);
    assert!((1..4).all(|one| state(&fleet, one) == State::Suspect));
    assert!(fleet.members.iter().all(|member| member.voted_term == 0), "and votes for nobody");
}

#[test]
fn a_start_without_memory_refuses_terms_until_it_is_acknowledged() {
    let mut fleet = fleet();
    let mut start_acknowledged = |beat_ms: Millis, term: u32, observation: bool| {
        let mut report = report("n1", 500, beat_ms, &fleet, None);
        report.term = term;
        if !observation {
            report.observations.clear();
        }
        hear(&mut fleet, 1000.0, report).expect("accepted");
        fleet.own_report(0, 1000.0).observations[0].refused_term
    };
    // The process before this one may have voted term 7 failed: delayed reports from before say nothing about
    // that.
    assert_eq!(start_acknowledged(100.0, 3, false), 3);
    assert_eq!(start_acknowledged(300.0, 7, false), 7);
    assert_eq!(start_acknowledged(500.0, 7, true), 7);
    assert_eq!(start_acknowledged(600.0, 8, true), 7, "and the next term is acknowledged");
}

#[test]
fn a_later_start_of_this_name_is_outbid_and_earlier_acknowledgements_do_not_count() {
    let mut fleet = fleet();
    run(&mut fleet, 0.0, 300.0, None);
    assert_eq!(fleet.quorum_status(300.0).0, QuorumStatus::Majority);
    let report = report("n2", 5, 400.0, &fleet, None);
    let bytes = datagram(ME, 5000, report);
    fleet.receive(400.0, &bytes).expect("accepted");
    assert_eq!((fleet.start(), fleet.quorum_status(400.0).0), (5001, QuorumStatus::CutOff));
    run(&mut fleet, 500.0, 800.0, None);
    assert_eq!(fleet.quorum_status(800.0).0, QuorumStatus::Majority);
}

#[test]
fn misaddressed_unknown_and_replayed_datagrams_are_rejected_and_counted() {
    let mut fleet = fleet();
    let good = report("n1", 500, 10.0, &fleet, None);
    let bytes = datagram(ME, 0, good.clone());
    assert_eq!(fleet.receive(10.0, &bytes), Ok(()));
    assert_eq!(fleet.receive(20.0, &bytes), Err(RejectReason::Stale));
    let mut write = |to: &str, report: &Report| {
        let bytes = datagram(to, 0, report.clone());
        fleet.receive(30.0, &bytes)
    };
    assert_eq!(write("n2", &good), Err(RejectReason::UnknownRouter), "it is for another router");
    assert_eq!(
        write(ME, &Report { reporter: RouterId::of("n9"), ..good.clone() }),
        Err(RejectReason::UnknownRouter)
    );
    assert_eq!(write(ME, &Report { reporter: RouterId::of(ME), ..good }), Err(RejectReason::UnknownRouter));
    assert_eq!(fleet.counts().rejected, [(RejectReason::UnknownRouter, 3), (RejectReason::Stale, 1)].into());
}

/// Whatever arrives in whatever order, and however time jumps: no panic, bounded memory, and no more
/// datagrams than a burst plus the rate over the elapsed time.
#[test]
fn no_datagrams_and_no_time_jumps_break_a_bound() {
    fn property(steps: Vec<(u8, u16, u8, u8, Vec<u8>)>) -> bool {
        let (mut fleet, mut now, mut sent) = (fleet(), 0.0, 0.0);
        for (reporter, later, term, flags, junk) in steps {
            now += f64::from(later) * if flags & 64 == 0 { 0.01 } else { 1.0 };
            let mut report =
                report(&format!("n{}", reporter % 5), 500 + u64::from(reporter / 5 % 3), now, &fleet, None);
            (report.term, report.age_ms) = (u32::from(term), later);
            report.status =
                [QuorumStatus::Joining, QuorumStatus::Majority, QuorumStatus::CutOff, QuorumStatus::Left]
                    [usize::from(flags % 4)];
            for observation in &mut report.observations {
                (observation.refused_term, observation.voted_term) =
                    (u32::from(term % 7), u32::from(flags % 5));
                (observation.suspected, observation.direct) = (flags & 8 != 0, flags & 16 != 0);
            }
            let _ = hear(&mut fleet, now, report);
            let _ = fleet.receive(now, &junk);
            fleet.tick(now);
            for effect in fleet.take_effects() {
                match effect {
                    Effect::Send { bytes, .. } if bytes.len() > wire::MAX_DATAGRAM_BYTES => return false,
                    Effect::Send { .. } => sent += 1.0,
                    _ => {}
                }
            }
            let reports = fleet.members.iter().filter_map(|member| member.report.as_ref());
            if reports.map(|report| report.observations.len()).sum::<usize>() > 3 * MAX_OBSERVATION_ROUTERS {
                return false;
            }
            let _ = fleet.view(now);
        }
        sent <= BURST_DATAGRAMS + DATAGRAMS_PER_S * now / 1e3
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 22))
        .tests(400)
        .quickcheck(property as fn(Vec<(u8, u16, u8, u8, Vec<u8>)>) -> bool);
}
