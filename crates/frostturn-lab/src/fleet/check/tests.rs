//! Each figure is violated by the events of a faulty router, so that no check passes unconditionally.

use super::*;
use crate::relay::Link;

const END: Millis = 40_000.0;

fn truth(done: &[(Millis, FaultAction)]) -> GroundTruth {
    let starts = done.iter().filter(|(_, what)| matches!(what, FaultAction::Start(_))).count() as u64;
    let numbers = |one: usize| (0..=starts).map(|start| 100 * start + one as u64).collect();
    GroundTruth::new(0.0, done, (0..3).map(numbers).collect(), END)
}

fn state_at(at: Millis, by: usize, other: usize, state: State) -> LoggedEvent {
    LoggedEvent {
        at,
        by,
        start: 0,
        event: FleetEvent::MemberChanged { other, start: other as u64, term: 2, state },
    }
}

fn status_at(at: Millis, by: usize, status: QuorumStatus, since: Millis) -> LoggedEvent {
    LoggedEvent { at, by, start: 0, event: FleetEvent::StatusChanged { status, term: 2, since } }
}

/// All three routers know each other and have a majority.
fn healthy() -> Vec<LoggedEvent> {
    let mut logged = Vec::new();
    for by in 0..3 {
        logged.push(status_at(100.0, by, QuorumStatus::Majority, 100.0));
        logged.extend(
            (0..3).filter(|other| *other != by).map(|other| state_at(100.0, by, other, State::Alive)),
        );
    }
    logged
}

fn judged(done: &[(Millis, FaultAction)], more: &[LoggedEvent]) -> Figures {
    let mut logged = healthy();
    logged.extend_from_slice(more);
    logged.sort_by(|a, b| a.at.total_cmp(&b.at));
    evaluate(&truth(done), &logged)
}

#[test]
fn a_healthy_fleet_keeps_all_bounds_and_calling_a_healthy_router_gone_is_counted() {
    assert!(judged(&[], &[]).bounds().iter().all(|bound| bound.kept));
    let figures = judged(&[], &[state_at(9000.0, 0, 1, State::Gone), state_at(9100.0, 0, 1, State::Alive)]);
    assert_eq!((figures.false_gone, figures.knows_first), (1, 1), "it was healthy, and had a majority");
}

#[test]
fn a_router_must_know_that_it_is_cut_off_before_it_is_called_gone_or_when_it_resumes() {
    let cut = [
        (5000.0, FaultAction::Links(vec![Cut::Apart(vec![1])], Link::default())),
        (20_000.0, FaultAction::Links(Vec::new(), Link::default())),
    ];
    let gone = state_at(11_000.0, 0, 1, State::Gone);
    let knew = status_at(9500.0, 1, QuorumStatus::CutOff, 9400.0);
    assert_eq!(judged(&cut, &[gone.clone(), knew.clone()]).knows_first, 0);
    assert_eq!(
        judged(&cut, &[gone.clone(), status_at(12_000.0, 1, QuorumStatus::CutOff, 11_500.0)]).knows_first,
        1
    );
    assert_eq!(judged(&cut, &[gone.clone(), knew]).false_gone, 0);
    let stop = [(5000.0, FaultAction::Stop(vec![1])), (15_000.0, FaultAction::Resume(vec![1]))];
    let resumed = status_at(15_001.0, 1, QuorumStatus::CutOff, 9400.0);
    assert_eq!(judged(&stop, &[gone.clone(), resumed]).knows_first, 0);
    assert_eq!(judged(&stop, &[gone]).knows_first, 1, "it resumed and believed that it had a majority");
}

#[test]
fn late_detection_slow_recovery_and_wrong_final_views_are_measured() {
    let death = [(5000.0, FaultAction::Kill(vec![1])), (25_000.0, FaultAction::Start(vec![1]))];
    let figures =
        judged(&death, &[state_at(6900.0, 0, 1, State::Suspect), state_at(12_000.0, 0, 1, State::Gone)]);
    assert_eq!((figures.suspect_ms, figures.gone_ms), (vec![1900.0, 99_999.0], vec![7000.0, 99_999.0]));
    assert_eq!(figures.views_differ_ms, None, "nobody has its new start");
    let cut = [
        (5000.0, FaultAction::Links(vec![Cut::Apart(vec![1])], Link::default())),
        (20_000.0, FaultAction::Links(Vec::new(), Link::default())),
    ];
    let away = [status_at(9500.0, 1, QuorumStatus::CutOff, 9400.0), state_at(8000.0, 0, 1, State::Suspect)];
    let back = |at: Millis| [status_at(at, 1, QuorumStatus::Majority, at), state_at(at, 0, 1, State::Alive)];
    let figures = judged(&cut, &[&away[..], &back(21_000.0)].concat());
    assert_eq!((&figures.rejoin_ms[..], figures.views_differ_ms), (&[1000.0][..], Some(1000.0)));
    assert_eq!(judged(&cut, &[&away[..], &back(24_000.0)].concat()).rejoin_ms, [99_999.0]);
}
