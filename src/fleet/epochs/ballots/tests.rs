use super::*;
use crate::fleet::epochs::wire::Incarnation;

fn table() -> IncarnationTable {
    let mut table = IncarnationTable::new(8, 0.0);
    for router in 0..8 {
        table.merge(router, Incarnation { start: 9, term: 1, status: IncarnationStatus::Present }, 0.0);
    }
    table
}

#[test]
fn the_first_two_ballots_of_an_epoch_are_kept_and_expired_or_future_ones_are_rejected() {
    let (mut ballots, table) = (Ballots::default(), table());
    let all = reachable_since(4, &[Some(5); 8], &table);
    for opened_by in 0..8 {
        ballots.open(BallotKind::Liveness, [5, 4], opened_by, all.clone(), &table);
    }
    let mut ranks: Vec<u32> = (0..8).map(|opened_by| epoch_rank(5, opened_by)).collect();
    ranks.sort_unstable();
    assert_eq!(ballots.of_kind(BallotKind::Liveness).map(|(key, _)| key.2).collect::<Vec<_>>(), ranks[..2]);
    let message = ballots.select([2, 2], 0, 500).remove(0);
    let mut other = Ballots::default();
    assert_eq!(other.receive(&message, 8, 4), None, "of a future epoch");
    assert_eq!(other.receive(&message, 8, 5 + KEPT_EPOCHS), None);
    assert_eq!(other.receive(&message, 2, 6), None, "of another roster");
    let key = other.receive(&message, 8, 6).expect("accepted");
    other.sign(&key, 6, &FixedBitSet::with_capacity(8));
    assert_eq!(other.get(&key).map(|ballot| ballot.signers.count_ones(..)), Some(1));
    let changed = BallotMessage { start_digest: message.start_digest ^ 1, ..message };
    assert_eq!(other.receive(&changed, 8, 6), None, "another ballot with the same key");
    other.remove_expired(5 + KEPT_EPOCHS);
    assert_eq!(other.of_kind(BallotKind::Liveness).count(), 0);
}

#[test]
fn a_router_signs_only_what_it_knows_alike_and_has_not_voted_failed() {
    let (mut ballots, mut table) = (Ballots::default(), table());
    let members = reachable_since(4, &[Some(5), Some(4), Some(3), None, Some(5), None, None, None], &table);
    assert_eq!(members.ones().collect::<Vec<_>>(), [0, 1, 4]);
    ballots.open(BallotKind::Liveness, [5, 4], 0, members.clone(), &table);
    ballots.open(BallotKind::Failure, [4, 4], 0, members, &table);
    let exceptions = |kind: BallotKind, table: &IncarnationTable, voted_failed: &[usize], may_wait: bool| {
        let (key, ballot) = ballots.of_kind(kind).next().expect("opened");
        let mut these = FixedBitSet::with_capacity(8);
        voted_failed.iter().for_each(|router| these.insert(*router));
        let exceptions = may_sign(key, ballot, table, &these, may_wait)?;
        Some(exceptions.ones().collect::<Vec<_>>())
    };
    assert_eq!(exceptions(BallotKind::Liveness, &table, &[2, 4], false), Some(vec![4]), "4 was voted failed");
    assert_eq!(exceptions(BallotKind::Failure, &table, &[0, 1, 4, 5], true), Some(vec![]));
    assert_eq!(exceptions(BallotKind::Failure, &table, &[0, 1], true), None);
    assert_eq!(exceptions(BallotKind::Failure, &table, &[0, 1], false), Some(vec![4]));
    assert_eq!(exceptions(BallotKind::Failure, &table, &[5], false), None, "no member can be confirmed");
    table.merge(1, Incarnation { start: 9, term: 2, status: IncarnationStatus::Present }, 0.0);
    assert_eq!(exceptions(BallotKind::Liveness, &table, &[], false), Some(vec![]));
    assert_eq!(exceptions(BallotKind::Failure, &table, &[0, 1, 4], false), Some(vec![1]), "another term");
    table.merge(1, Incarnation { start: 10, term: 1, status: IncarnationStatus::Present }, 0.0);
    assert_eq!(exceptions(BallotKind::Liveness, &table, &[], false), None, "another start");
    assert!(!reachable_since(4, &[Some(5); 8], &{
        let mut table = table.clone();
        table.set_status(6, IncarnationStatus::Doubted, 0.0);
        table
    })
    .contains(6));
}

/// A set of routers among eight.
fn these(router: &[usize]) -> FixedBitSet {
    let mut members = FixedBitSet::with_capacity(8);
    router.iter().for_each(|router| members.insert(*router));
    members
}

#[test]
fn several_failure_ballots_collect_signatures_in_the_same_datagrams() {
    let (mut ballots, table) = (Ballots::default(), table());
    for (epoch, members) in [(3, &[1][..]), (4, &[1, 2]), (5, &[1, 2, 3]), (6, &[1, 2, 3, 4])] {
        ballots.open(BallotKind::Failure, [epoch; 2], 0, these(members), &table);
    }
    for turn in 0..4 {
        let mut epochs: Vec<u32> =
            ballots.select([5, 4], turn, 900).iter().map(|ballot| ballot.epoch).collect();
        let first = epochs[0];
        epochs.sort_unstable();
        assert_eq!(epochs, [3, 4, 5, 6], "in turn {turn}, each once");
        assert_eq!(
            first,
            if turn % 4 == 2 { epochs[3] } else { 6 },
            "the largest first, or the one with most signatures"
        );
    }
    let selected = ballots.select([5, 4], 0, 60);
    assert!(selected.len() < 4 && selected[0].epoch == 6, "as far as there is room: {selected:?}");
}

#[test]
fn a_coordinator_opens_a_ballot_when_the_last_is_complete_and_others_only_if_none_is_open() {
    let (mut ballots, table) = (Ballots::default(), table());
    assert!(ballots.liveness_due(5, 2, true) && ballots.liveness_due(5, 2, false));
    ballots.open(BallotKind::Liveness, [5, 5], 0, these(&[0, 1, 2, 3]), &table);
    let key = *ballots.of_kind(BallotKind::Liveness).next().expect("opened").0;
    assert!(
        !ballots.liveness_due(6, 2, true) && !ballots.liveness_due(6, 2, false),
        "it collects signatures"
    );
    [1, 2].iter().for_each(|opened_by| ballots.sign(&key, *opened_by, &these(&[])));
    assert!(
        ballots.liveness_due(6, 2, true) && !ballots.liveness_due(6, 2, false),
        "it has enough signatures"
    );
    assert!(ballots.liveness_due(7, 2, false), "no coordinator has opened one");
    assert!(ballots.opened_since(BallotKind::Liveness, 5) && !ballots.opened_since(BallotKind::Liveness, 6));
    assert!(!ballots.opened_since(BallotKind::Failure, 0));
}
