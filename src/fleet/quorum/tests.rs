use super::*;

fn answer(at_ms: f64, refused: u32) -> Answer {
    Answer { beat: (at_ms / BEAT_MS) as u32, refused, direct: true }
}

#[test]
fn an_answer_counts_from_when_what_it_answers_was_sent() {
    let mut ledger = Ledger::new(4, 3, 3000.0);
    assert_eq!(ledger.says(0.0), QuorumStatus::Joining);
    ledger.note(0, answer(1000.0, 0), 3500.0);
    ledger.note(1, answer(2000.0, 0), 3500.0);
    assert!(ledger.settle(3500.0) && ledger.holds(3500.0));
    assert_eq!(ledger.holds_until(), 4000.0);
    assert!(ledger.holds(3999.0) && !ledger.holds(4000.0), "by the older of the two");
    // Late, doubled and impossible answers change nothing.
    ledger.note(0, answer(900.0, 0), 3600.0);
    ledger.note(2, answer(9000.0, 0), 3600.0);
    assert_eq!(ledger.holds_until(), 4000.0);
    ledger.note(0, answer(3500.0, 0), 3700.0);
    assert_eq!(ledger.holds_until(), 5000.0);
    assert!(!ledger.holds(60_000.0), "after a standstill, before anything else is done");
}

#[test]
fn a_term_that_has_ended_stays_ended_and_one_that_some_refuse_is_changed_without_a_gap() {
    let mut ledger = Ledger::new(4, 3, 3000.0);
    (0..4).for_each(|of| ledger.note(of, answer(100.0, 0), 200.0));
    ledger.settle(200.0);
    assert_eq!((ledger.term(), ledger.wanted(), ledger.holds(200.0)), (1, 1, true));
    ledger.note(3, answer(900.0, 1), 1000.0);
    assert!(!ledger.settle(1000.0), "one refusal is no change of standing");
    assert_eq!((ledger.term(), ledger.wanted()), (2, 2), "all have answered, none but one refused");
    ledger.settle(9000.0);
    assert_eq!((ledger.holds(9000.0), ledger.wanted()), (false, 3));
    // All of them refuse 2 now: answers to beats that carried it don't bring it back.
    (0..4).for_each(|of| ledger.note(of, answer(8900.0, 2), 9000.0));
    assert!(ledger.settle(9000.0) && ledger.term() == 3);
}

#[test]
fn the_answer_of_one_that_refuses_a_term_never_counts_for_it() {
    let mut ledger = Ledger::new(2, 2, 3000.0);
    ledger.note(0, answer(100.0, 0), 200.0);
    ledger.settle(200.0);
    ledger.note(0, answer(2000.0, 1), 2100.0);
    assert!(!ledger.holds(2100.0), "the only one that stood behind term 1 has refused it");
    ledger.settle(2100.0);
    assert_eq!((ledger.term(), ledger.holds(2100.0)), (2, true), "and stands behind the next");
}
