//! Each figure goes wrong once by what a wrong router would say: a check that can't fail is none.

use super::*;
use crate::relay::Link;

const END: Millis = 40_000.0;

fn truth(done: &[(Millis, FaultAction)]) -> GroundTruth {
    let starts = done.iter().filter(|(_, what)| matches!(what, FaultAction::Start(_))).count() as u64;
    let numbers = |one: usize| (0..=starts).map(|start| 100 * start + one as u64).collect();
    GroundTruth::new(0.0, done, (0..3).map(numbers).collect(), END)
}

fn of(at: Millis, by: usize, other: usize, state: State) -> LoggedEvent {
    LoggedEvent {
        at,
        by,
        start: 0,
        event: FleetEvent::MemberChanged { other, start: other as u64, term: 2, state },
    }
}

fn stands(at: Millis, by: usize, status: QuorumStatus, since: Millis) -> LoggedEvent {
    LoggedEvent { at, by, start: 0, event: FleetEvent::StatusChanged { status, term: 2, since } }
}

/// All three know each other and stand.
fn calm() -> Vec<LoggedEvent> {
    let mut said = Vec::new();
    for by in 0..3 {
        said.push(stands(100.0, by, QuorumStatus::Majority, 100.0));
        said.extend((0..3).filter(|other| *other != by).map(|other| of(100.0, by, other, State::Alive)));
    }
    said
}

fn judged(done: &[(Millis, FaultAction)], more: &[LoggedEvent]) -> Figures {
    let mut said = calm();
    said.extend_from_slice(more);
    said.sort_by(|a, b| a.at.total_cmp(&b.at));
    evaluate(&truth(done), &said)
}

#[test]
fn a_calm_fleet_keeps_all_bounds_and_one_called_gone_in_it_is_false() {
    assert!(judged(&[], &[]).bounds().iter().all(|bound| bound.kept));
    let figures = judged(&[], &[of(9000.0, 0, 1, State::Gone), of(9100.0, 0, 1, State::Alive)]);
    assert_eq!((figures.false_gone, figures.knows_first), (1, 1), "it was well, and stood");
}

#[test]
fn one_that_is_cut_off_must_know_it_before_the_word_and_one_that_stood_still_when_it_wakes() {
    let cut = [
        (5000.0, FaultAction::Links(vec![Cut::Apart(vec![1])], Link::default())),
        (20_000.0, FaultAction::Links(Vec::new(), Link::default())),
    ];
    let gone = of(11_000.0, 0, 1, State::Gone);
    let knew = stands(9500.0, 1, QuorumStatus::CutOff, 9400.0);
    assert_eq!(judged(&cut, &[gone.clone(), knew.clone()]).knows_first, 0);
    assert_eq!(
        judged(&cut, &[gone.clone(), stands(12_000.0, 1, QuorumStatus::CutOff, 11_500.0)]).knows_first,
        1
    );
    assert_eq!(judged(&cut, &[gone.clone(), knew]).false_gone, 0);
    let stop = [(5000.0, FaultAction::Stop(vec![1])), (15_000.0, FaultAction::Resume(vec![1]))];
    let wakes = stands(15_001.0, 1, QuorumStatus::CutOff, 9400.0);
    assert_eq!(judged(&stop, &[gone.clone(), wakes]).knows_first, 0);
    assert_eq!(judged(&stop, &[gone]).knows_first, 1, "it woke and took itself for standing");
}

#[test]
fn deaths_that_show_late_or_never_heals_that_take_long_and_views_that_stay_wrong_are_seen() {
    let dies = [(5000.0, FaultAction::Kill(vec![1])), (25_000.0, FaultAction::Start(vec![1]))];
    let figures = judged(&dies, &[of(6900.0, 0, 1, State::Suspect), of(12_000.0, 0, 1, State::Gone)]);
    assert_eq!((figures.suspect_ms, figures.gone_ms), (vec![1900.0, 99_999.0], vec![7000.0, 99_999.0]));
    assert_eq!(figures.views_differ_ms, None, "nobody has its new start");
    let cut = [
        (5000.0, FaultAction::Links(vec![Cut::Apart(vec![1])], Link::default())),
        (20_000.0, FaultAction::Links(Vec::new(), Link::default())),
    ];
    let away = [stands(9500.0, 1, QuorumStatus::CutOff, 9400.0), of(8000.0, 0, 1, State::Suspect)];
    let back = |at: Millis| [stands(at, 1, QuorumStatus::Majority, at), of(at, 0, 1, State::Alive)];
    let figures = judged(&cut, &[&away[..], &back(21_000.0)].concat());
    assert_eq!((&figures.rejoin_ms[..], figures.views_differ_ms), (&[1000.0][..], Some(1000.0)));
    assert_eq!(judged(&cut, &[&away[..], &back(24_000.0)].concat()).rejoin_ms, [99_999.0]);
}
