use super::*;
use crate::reasons::Reason;
use quickcheck::quickcheck;

/// How long an end has to answer, in these tests.
const PATIENCE_MS: Millis = 3400.0;

fn intakes(service: &Service, times: &[Millis]) -> Vec<Admission> {
    times.iter().map(|now| service.admission(*now)).collect()
}

#[test]
fn every_state_is_left_as_it_should_be_and_an_end_is_final() {
    let mut service = Service::default();
    assert!(service.accepts_clients() && service.admission(1e9) == Admission::Open);
    service.evacuate(10.0);
    service.evacuate(400.0);
    assert!(!service.accepts_clients());
    assert_eq!(intakes(&service, &[509.0, 510.0]), [Admission::Open, Admission::CloseIdle]);
    assert!(service.rejoin() && service.accepts_clients() && service.admission(1e9) == Admission::Open);
    service.evacuate(1000.0);
    assert!(service.terminate(1100.0, PATIENCE_MS) && !service.terminate(1200.0, PATIENCE_MS));
    assert_eq!(service.terminating_since(), Some(1100.0));
    service.evacuate(1300.0);
    assert!(!service.rejoin() && service.terminating_since() == Some(1100.0));
    assert_eq!(service.refusal(1400.0), None);
    service.shut_down();
    assert!(service.refusal(1400.0).is_some() && service.admission(1400.0) == Admission::Refuse);
    service.evacuate(1400.0);
    assert!(
        !service.rejoin()
            && !service.terminate(1500.0, PATIENCE_MS)
            && service.terminating_since() == Some(1100.0)
    );
    assert!(service.refusal(1500.0).is_some(), "nothing opens it again");
}

#[test]
fn only_one_that_ends_is_shut() {
    for mut service in [Service::Serving, Service::Evacuating(3.0)] {
        let before = service;
        service.shut_down();
        assert_eq!((service, service.refusal(3.0)), (before, None));
    }
}

#[test]
fn one_that_ends_takes_requests_and_keeps_connections_until_it_is_shut_however_late() {
    let mut service = Service::Serving;
    assert!(service.terminate(0.0, PATIENCE_MS));
    assert_eq!((service.admission(1e9), service.refusal(1e9)), (Admission::Open, None));
    assert!(!service.closes_busy(1e9, Some(0.0)) && !service.accepts_clients());
    service.shut_down();
    assert_eq!(
        intakes(&service, &[0.0, 3399.0, 3400.0]),
        [Admission::Refuse, Admission::Refuse, Admission::Close]
    );
}

#[test]
fn an_evacuation_goes_through_every_step_in_time_whether_an_end_follows_or_not() {
    let times = [499.0, 500.0, 1799.0, 1800.0, 3499.0, 3500.0];
    let steps = [
        Admission::Open,
        Admission::CloseIdle,
        Admission::CloseIdle,
        Admission::Refuse,
        Admission::Refuse,
        Admission::Close,
    ];
    let mut service = Service::Evacuating(0.0);
    assert_eq!(intakes(&service, &times), steps);
    assert_eq!(service.refusal(1800.0).map(Reason::key), Some("draining"));
    assert!(service.terminate(3300.0, PATIENCE_MS));
    assert_eq!((service.admission(3300.0), service.admission(3500.0)), (Admission::Refuse, Admission::Close));
    service.shut_down();
    assert_eq!(service.refusal(3400.0).map(Reason::key), Some("shutting_down"));
    assert_eq!((service.admission(3300.0), service.admission(3500.0)), (Admission::Refuse, Admission::Close));
}

#[test]
fn a_busy_connection_is_closed_by_a_drain_unless_it_only_waits_and_by_a_shutdown_in_any_case() {
    let drained = Service::Evacuating(0.0);
    assert!(!drained.closes_busy(3499.0, Some(3400.0)), "its requests may still be answered");
    assert!(drained.closes_busy(3500.0, Some(1800.0)) && drained.closes_busy(3900.0, Some(3900.0)));
    assert!(!drained.closes_busy(3500.0, Some(1700.0)), "what it waits for came in time");
    let mut ends = Service::Serving;
    assert!(ends.terminate(0.0, 1000.0));
    ends.shut_down();
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
        let mut last = Admission::Open;
        (0..8000).step_by(STEP).all(|at| {
            let now = at as Millis;
            if evacuated == Some(at) {
                service.evacuate(now);
            }
            if ended == Some(at) {
                service.terminate(now, PATIENCE_MS);
            }
            if shut == Some(at) {
                service.shut_down();
            }
            let intake = service.admission(now);
            let told = match service.next_admission_change(now) {
                Some(due) => service.admission(due) > intake && service.admission(due - 0.001) == intake,
                None => service.admission(1e9) == intake,
            };
            let kept = intake >= last && told;
            last = intake;
            kept
        })
    }
}
