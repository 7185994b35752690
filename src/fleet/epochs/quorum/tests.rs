use super::*;

#[test]
fn a_roll_counts_from_when_its_epoch_was_entered_however_late_it_comes() {
    let mut own = Own::new(3000.0, 0.0);
    for epoch in 5..9 {
        own.entered(epoch, f64::from(epoch) * 500.0);
    }
    assert_eq!(own.says(4000.0), QuorumStatus::Joining);
    own.signed(6, 4500.0);
    assert_eq!((own.says(4500.0), own.holds_until()), (QuorumStatus::Majority, 6000.0));
    own.signed(5, 4600.0);
    assert_eq!(own.holds_until(), 6000.0, "an earlier one changes nothing");
    own.signed(8, 4600.0);
    assert_eq!((own.term(), own.holds_until()), (1, 7000.0));
    own.settle(60_000.0);
    assert_eq!((own.says(60_000.0), own.wanted()), (QuorumStatus::CutOff, 2), "after a standstill");
    own.signed(8, 60_000.0);
    assert!(!own.holds(60_000.0), "what was entered long ago counts no more");
    own.entered(99, 60_100.0);
    own.signed(99, 60_200.0);
    assert_eq!((own.term(), own.holds_until()), (2, 63_100.0), "a new term");
}

#[test]
fn one_that_is_doubted_changes_its_term_without_a_gap_and_one_that_jumped_counts_from_the_jump() {
    let mut own = Own::new(3000.0, 0.0);
    own.entered(1, 0.0);
    own.signed(1, 100.0);
    own.ask_for(2, 500.0);
    assert_eq!(
        (own.term(), own.holds(2999.0), own.begun()),
        (1, true, 500.0),
        "until the next begins, or it ends"
    );
    own.entered(9, 1000.0);
    own.signed(4, 1500.0);
    assert_eq!((own.term(), own.holds_until()), (2, 4000.0), "epochs 2 to 9 were entered together");
    for epoch in 10..10 + REMEMBERED as u32 {
        own.entered(epoch, 1100.0);
    }
    own.signed(9, 1600.0);
    assert_eq!(own.holds_until(), 4000.0, "when it was entered is forgotten");
}
