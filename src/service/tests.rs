use super::*;

#[test]
fn every_state_is_left_as_it_should_be_and_an_end_is_final() {
    let mut service = Service::default();
    assert!(service.takes_clients() && !service.closes_at_rest(1e9));
    service.evacuate(10.0);
    service.evacuate(400.0);
    assert!(!service.takes_clients() && !service.closes_at_rest(509.0) && service.closes_at_rest(510.0));
    assert!(service.rejoin() && service.takes_clients());
    service.evacuate(1000.0);
    assert!(service.end(1100.0) && !service.end(1200.0));
    assert_eq!((service.ending(), service.closes_at_rest(1e9)), (Some(1100.0), false));
    service.evacuate(1300.0);
    assert!(!service.rejoin() && service.ending() == Some(1100.0));
    assert!(service.takes_requests());
    service.shut();
    assert!(!service.takes_requests() && service.closes_at_rest(1100.0));
    service.evacuate(1400.0);
    assert!(!service.rejoin() && !service.end(1500.0) && service.ending() == Some(1100.0));
    assert!(!service.takes_requests(), "nothing opens it again");
}

#[test]
fn only_one_that_ends_is_shut() {
    for mut service in [Service::Serving, Service::Evacuating(3.0)] {
        let before = service;
        service.shut();
        assert_eq!((service, service.takes_requests()), (before, true));
    }
}
