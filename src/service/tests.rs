use super::*;
use crate::reasons::Reason;
use quickcheck::quickcheck;

/// How long an end has to answer, in these tests.
const PATIENCE_MS: Millis = 3400.0;

fn intakes(service: &Service, times: &[Millis]) -> Vec<Intake> {
    times.iter().map(|now| service.intake(*now)).collect()
}

#[test]
fn every_state_is_left_as_it_should_be_and_an_end_is_final() {
    let mut service = Service::default();
    assert!(service.takes_clients() && service.intake(1e9) == Intake::Open);
    service.evacuate(10.0);
    service.evacuate(400.0);
    assert!(!service.takes_clients());
    assert_eq!(intakes(&service, &[509.0, 510.0]), [Intake::Open, Intake::CloseAtRest]);
    assert!(service.rejoin() && service.takes_clients() && service.intake(1e9) == Intake::Open);
    service.evacuate(1000.0);
    assert!(service.end(1100.0, PATIENCE_MS) && !service.end(1200.0, PATIENCE_MS));
    assert_eq!(service.ending(), Some(1100.0));
    service.evacuate(1300.0);
    assert!(!service.rejoin() && service.ending() == Some(1100.0));
    assert_eq!(service.refuses(1400.0), None);
    service.shut();
    assert!(service.refuses(1400.0).is_some() && service.intake(1400.0) == Intake::Refuse);
    service.evacuate(1400.0);
    assert!(!service.rejoin() && !service.end(1500.0, PATIENCE_MS) && service.ending() == Some(1100.0));
    assert!(service.refuses(1500.0).is_some(), "nothing opens it again");
}

#[test]
fn only_one_that_ends_is_shut() {
    for mut service in [Service::Serving, Service::Evacuating(3.0)] {
        let before = service;
        service.shut();
        assert_eq!((service, service.refuses(3.0)), (before, None));
    }
}

#[test]
fn one_that_ends_takes_requests_and_keeps_connections_until_it_is_shut_however_late() {
    let mut service = Service::Serving;
    assert!(service.end(0.0, PATIENCE_MS));
    assert_eq!((service.intake(1e9), service.refuses(1e9)), (Intake::Open, None));
    assert!(!service.closes_busy(1e9, Some(0.0)) && !service.takes_clients());
    service.shut();
    assert_eq!(intakes(&service, &[0.0, 3399.0, 3400.0]), [Intake::Refuse, Intake::Refuse, Intake::Close]);
}

#[test]
fn an_evacuation_goes_through_every_step_in_time_whether_an_end_follows_or_not() {
    let times = [499.0, 500.0, 1799.0, 1800.0, 3499.0, 3500.0];
    let steps = [
        Intake::Open,
        Intake::CloseAtRest,
        Intake::CloseAtRest,
        Intake::Refuse,
        Intake::Refuse,
        Intake::Close,
    ];
    let mut service = Service::Evacuating(0.0);
    assert_eq!(intakes(&service, &times), steps);
    assert_eq!(service.refuses(1800.0).map(Reason::key), Some("draining"));
    assert!(service.end(3300.0, PATIENCE_MS));
    assert_eq!((service.intake(3300.0), service.intake(3500.0)), (Intake::Refuse, Intake::Close));
    service.shut();
    assert_eq!(service.refuses(3400.0).map(Reason::key), Some("shutting_down"));
    assert_eq!((service.intake(3300.0), service.intake(3500.0)), (Intake::Refuse, Intake::Close));
}

#[test]
fn a_busy_connection_is_closed_by_a_drain_unless_it_only_waits_and_by_a_shutdown_in_any_case() {
    let drained = Service::Evacuating(0.0);
    assert!(!drained.closes_busy(3499.0, Some(3400.0)), "its requests may still be answered");
    assert!(drained.closes_busy(3500.0, Some(1800.0)) && drained.closes_busy(3900.0, Some(3900.0)));
    assert!(!drained.closes_busy(3500.0, Some(1700.0)), "what it waits for came in time");
    let mut ends = Service::Serving;
    assert!(ends.end(0.0, 1000.0));
    ends.shut();
    assert!(!ends.closes_busy(999.0, Some(900.0)) && ends.closes_busy(1000.0, Some(10.0)));
    assert!(ends.closes_busy(1000.0, None) && drained.closes_busy(3500.0, None));
}

quickcheck! {
    /// Nothing gives back what a step has taken, but operators' word before an end; and each step is told beforehand.
    fn an_intake_never_goes_back(evacuated: Option<u16>, ended: Option<u16>, shut: Option<u16>) -> bool {
        const STEP: usize = 20;
        let due_at = |time: Option<u16>| time.map(|time| usize::from(time) % 8000 / STEP * STEP);
        let (evacuated, ended, shut) = (due_at(evacuated), due_at(ended), due_at(shut));
        let mut service = Service::default();
        let mut last = Intake::Open;
        (0..8000).step_by(STEP).all(|at| {
            let now = at as Millis;
            if evacuated == Some(at) {
                service.evacuate(now);
            }
            if ended == Some(at) {
                service.end(now, PATIENCE_MS);
            }
            if shut == Some(at) {
                service.shut();
            }
            let intake = service.intake(now);
            let told = match service.next_intake(now) {
                Some(due) => service.intake(due) > intake && service.intake(due - 0.001) == intake,
                None => service.intake(1e9) == intake,
            };
            let kept = intake >= last && told;
            last = intake;
            kept
        })
    }
}
