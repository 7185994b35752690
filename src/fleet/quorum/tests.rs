use super::*;

fn ack(at_ms: f64, refused_term: u32) -> Ack {
    Ack { heartbeat: (at_ms / HEARTBEAT_UNIT_MS) as u32, refused_term, direct: true }
}

#[test]
fn an_acknowledgement_counts_from_when_its_heartbeat_was_sent() {
    let mut quorum = QuorumLease::new(4, 3, 3000.0);
    assert_eq!(quorum.status(0.0), QuorumStatus::Joining);
    quorum.record(0, ack(1000.0, 0), 3500.0);
    quorum.record(1, ack(2000.0, 0), 3500.0);
    assert!(quorum.update(3500.0) && quorum.has_quorum(3500.0));
    assert_eq!(quorum.quorum_until(), 4000.0);
    assert!(quorum.has_quorum(3999.0) && !quorum.has_quorum(4000.0), "bounded by the older of the two");
    // Late, duplicated and impossible acknowledgements change nothing.
    quorum.record(0, ack(900.0, 0), 3600.0);
    quorum.record(2, ack(9000.0, 0), 3600.0);
    assert_eq!(quorum.quorum_until(), 4000.0);
    quorum.record(0, ack(3500.0, 0), 3700.0);
    assert_eq!(quorum.quorum_until(), 5000.0);
    assert!(!quorum.has_quorum(60_000.0), "expired after a stall, before anything else is done");
}

#[test]
fn an_ended_term_stays_ended_and_a_refused_term_is_followed_by_the_next_without_a_gap() {
    let mut quorum = QuorumLease::new(4, 3, 3000.0);
    (0..4).for_each(|router| quorum.record(router, ack(100.0, 0), 200.0));
    quorum.update(200.0);
    assert_eq!((quorum.term(), quorum.advertised_term(), quorum.has_quorum(200.0)), (1, 1, true));
    quorum.record(3, ack(900.0, 1), 1000.0);
    assert!(!quorum.update(1000.0), "one refusal does not change the quorum");
    assert_eq!(
        (quorum.term(), quorum.advertised_term()),
        (2, 2),
        "all have acknowledged, and only one refused"
    );
    quorum.update(9000.0);
    assert_eq!((quorum.has_quorum(9000.0), quorum.advertised_term()), (false, 3));
    // All of them refuse term 2 now: acknowledging heartbeats that carried it doesn't bring it back.
    (0..4).for_each(|router| quorum.record(router, ack(8900.0, 2), 9000.0));
    assert!(quorum.update(9000.0) && quorum.term() == 3);
}

#[test]
fn an_acknowledgement_by_a_router_that_refuses_a_term_never_counts_for_it() {
    let mut quorum = QuorumLease::new(2, 2, 3000.0);
    quorum.record(0, ack(100.0, 0), 200.0);
    quorum.update(200.0);
    quorum.record(0, ack(2000.0, 1), 2100.0);
    assert!(!quorum.has_quorum(2100.0), "the only supporter of term 1 has refused it");
    quorum.update(2100.0);
    assert_eq!((quorum.term(), quorum.has_quorum(2100.0)), (2, true), "and acknowledges the next term");
}
