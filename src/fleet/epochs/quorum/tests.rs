use super::*;

#[test]
fn a_ballot_counts_from_when_its_epoch_was_entered_however_late_it_arrives() {
    let mut quorum = EpochQuorum::new(3000.0, 0.0);
    for epoch in 5..9 {
        quorum.record_epoch(epoch, f64::from(epoch) * 500.0);
    }
    assert_eq!(quorum.status(4000.0), QuorumStatus::Joining);
    quorum.confirm(6, 4500.0);
    assert_eq!((quorum.status(4500.0), quorum.quorum_until()), (QuorumStatus::Majority, 6000.0));
    quorum.confirm(5, 4600.0);
    assert_eq!(quorum.quorum_until(), 6000.0, "an earlier ballot changes nothing");
    quorum.confirm(8, 4600.0);
    assert_eq!((quorum.term(), quorum.quorum_until()), (1, 7000.0));
    quorum.update(60_000.0);
    assert_eq!(
        (quorum.status(60_000.0), quorum.advertised_term()),
        (QuorumStatus::CutOff, 2),
        "after a stall"
    );
    quorum.confirm(8, 60_000.0);
    assert!(!quorum.has_quorum(60_000.0), "an epoch entered long ago counts no more");
    quorum.record_epoch(99, 60_100.0);
    quorum.confirm(99, 60_200.0);
    assert_eq!((quorum.term(), quorum.quorum_until()), (2, 63_100.0), "a new term");
}

#[test]
fn a_doubted_router_changes_its_term_without_a_gap_and_skipped_epochs_count_from_the_skip() {
    let mut quorum = EpochQuorum::new(3000.0, 0.0);
    quorum.record_epoch(1, 0.0);
    quorum.confirm(1, 100.0);
    quorum.advertise_term(2, 500.0);
    assert_eq!(
        (quorum.term(), quorum.has_quorum(2999.0), quorum.advertised_since()),
        (1, true, 500.0),
        "until the next term begins, or this one ends"
    );
    quorum.record_epoch(9, 1000.0);
    quorum.confirm(4, 1500.0);
    assert_eq!((quorum.term(), quorum.quorum_until()), (2, 4000.0), "epochs 2 to 9 were entered together");
    for epoch in 10..10 + REMEMBERED_EPOCHS as u32 {
        quorum.record_epoch(epoch, 1100.0);
    }
    quorum.confirm(9, 1600.0);
    assert_eq!(quorum.quorum_until(), 4000.0, "the beginning of the epoch is forgotten");
}
