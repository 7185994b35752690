//! Each rule is violated by the events of a faulty router, so that no check passes unconditionally.

use super::*;

fn served(checker: &mut Checker, id: u64, at: Millis) {
    checker.answered(id, at, Answer::Served { stamp_ms: 0.0 });
}

#[test]
fn a_router_that_follows_the_rules_passes() {
    let mut checker = Checker::default();
    checker.request_sent(1, 1, 7, 0.0, 1000.0);
    checker.arrived(1, 0, 5.0);
    served(&mut checker, 1, 10.0);
    let verdict = checker.finish();
    assert!(verdict.rules.kept() && verdict.served == 1, "{:?}", verdict.examples);
}

#[test]
fn missing_late_and_duplicate_answers_count_as_lost_requests() {
    let mut checker = Checker::default();
    (1..=3).for_each(|id| checker.request_sent(id, 2, 7, 0.0, 1000.0));
    served(&mut checker, 2, 1200.0);
    served(&mut checker, 3, 10.0);
    served(&mut checker, 3, 11.0);
    assert_eq!(checker.finish().rules.lost, 3);
}

#[test]
fn only_the_answers_of_a_killed_router_are_excused() {
    let mut checker = Checker::default();
    (1..=2).for_each(|id| checker.request_sent(id, 1, 7, 0.0, 1000.0));
    checker.arrived(1, 0, 5.0);
    checker.arrived(1, 1, 6.0);
    checker.excuse(1);
    let rules = checker.finish().rules;
    assert_eq!((rules.lost, rules.doubled), (1, 1));
}

#[test]
fn a_non_repeatable_request_sent_to_a_second_address_counts_as_doubled() {
    let mut checker = Checker::default();
    checker.request_sent(1, 1, 7, 0.0, 1000.0);
    checker.request_sent(2, 2, 7, 0.0, 1000.0);
    for id in [1, 2] {
        checker.arrived(id, 0, 5.0);
        checker.arrived(id, 0, 90.0);
        served(&mut checker, id, 95.0);
    }
    assert_eq!(checker.finish().rules.doubled, 1);
}

#[test]
fn requests_to_a_draining_machine_violate_the_drain_rule() {
    let mut checker = Checker::default();
    checker.set_drained(3, Some(0.0));
    for (id, at) in [(1, 900.0), (2, 1100.0)] {
        checker.request_sent(id, 2, 7, at, 1000.0);
        checker.arrived(id, 3, at);
        served(&mut checker, id, at + 1.0);
    }
    checker.set_drained(3, None);
    checker.arrived(1, 3, 5000.0);
    assert_eq!(checker.finish().rules.drain, 1);
}

#[test]
fn too_many_handshakes_exceed_the_budget_of_a_cold_machine() {
    let mut checker = Checker::default();
    let budget = Budget { first: 10.0, last: 40.0 };
    checker.started_cold(2, 0.0, 5000.0, budget);
    checker.started_cold(3, 0.0, 5000.0, budget);
    for at in 0..12 {
        checker.connection_accepted(2, 100.0 + f64::from(at));
        checker.connection_accepted(3, 100.0 + 200.0 * f64::from(at));
    }
    assert_eq!(checker.finish().rules.cold, 1);
}

#[test]
fn an_answer_older_than_a_purge_violates_the_purge_rule() {
    let mut checker = Checker::default();
    checker.purged(7, 100.0, 5000.0);
    for (id, at, stamp_ms) in [(1, 1000.0, 4000.0), (2, 1200.0, 4000.0), (3, 1200.0, 6000.0)] {
        checker.request_sent(id, 2, 7, at, 1000.0);
        checker.answered(id, at + 5.0, Answer::Served { stamp_ms });
    }
    assert_eq!(checker.finish().rules.purge, 1);
}

#[test]
fn a_request_that_crosses_a_close_is_lost_only_if_it_was_forwarded() {
    let mut checker = Checker::default();
    (1..=3).for_each(|id| checker.request_sent(id, 1, 7, 0.0, 1000.0));
    checker.crossed(1);
    checker.crossed(2);
    checker.arrived(2, 0, 5.0);
    let verdict = checker.finish();
    assert_eq!(verdict.rules.lost, 2, "the forwarded one, and the one that crossed no close");
}

#[test]
fn an_answer_may_be_late_by_the_grace_period_and_no_more() {
    let mut checker = Checker::default();
    checker.set_grace(500.0);
    (1..=2).for_each(|id| checker.request_sent(id, 1, 7, 0.0, 1000.0));
    served(&mut checker, 1, 1599.0);
    served(&mut checker, 2, 1601.0);
    assert_eq!(checker.finish().rules.lost, 1);
}
