use super::*;
use crate::reasons::Reason;
use quickcheck::quickcheck;

/// Time that a termination leaves to answer open requests, in these tests.
const ANSWER_WINDOW_MS: Millis = 3400.0;

fn admissions(service: &Service, times: &[Millis]) -> Vec<Admission> {
    times.iter().map(|now| service.admission(*now)).collect()
}

#[test]
fn state_transitions_are_correct_and_termination_is_final() {
    let mut service = Service::default();
    assert!(service.accepts_clients() && service.admission(1e9) == Admission::Open);
    service.evacuate(10.0);
    service.evacuate(400.0);
    assert!(!service.accepts_clients());
    assert_eq!(admissions(&service, &[509.0, 510.0]), [Admission::Open, Admission::CloseIdle]);
    assert!(service.rejoin() && service.accepts_clients() && service.admission(1e9) == Admission::Open);
    service.evacuate(1000.0);
    assert!(service.terminate(1100.0, ANSWER_WINDOW_MS) && !service.terminate(1200.0, ANSWER_WINDOW_MS));
    assert_eq!(service.terminating_since(), Some(1100.0));
    service.evacuate(1300.0);
    assert!(!service.rejoin() && service.terminating_since() == Some(1100.0));
    assert_eq!(service.refusal(1400.0), None);
    service.shut_down();
    assert!(service.refusal(1400.0).is_some() && service.admission(1400.0) == Admission::Refuse);
    service.evacuate(1400.0);
    assert!(
        !service.rejoin()
            && !service.terminate(1500.0, ANSWER_WINDOW_MS)
            && service.terminating_since() == Some(1100.0)
    );
    assert!(service.refusal(1500.0).is_some(), "a shutdown is final");
}

#[test]
fn only_a_terminating_router_shuts_down() {
    for mut service in [Service::Serving, Service::Evacuating(3.0)] {
        let before = service;
        service.shut_down();
        assert_eq!((service, service.refusal(3.0)), (before, None));
    }
}

#[test]
fn a_terminating_router_accepts_requests_and_keeps_connections_until_it_shuts_down() {
    let mut service = Service::Serving;
    assert!(service.terminate(0.0, ANSWER_WINDOW_MS));
    assert_eq!((service.admission(1e9), service.refusal(1e9)), (Admission::Open, None));
    assert!(!service.closes_busy(1e9, Some(0.0)) && !service.accepts_clients());
    service.shut_down();
    assert_eq!(
        admissions(&service, &[0.0, 3399.0, 3400.0]),
        [Admission::Refuse, Admission::Refuse, Admission::Close]
    );
}

#[test]
fn an_evacuation_takes_every_step_on_time_whether_or_not_a_termination_follows() {
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
    assert_eq!(admissions(&service, &times), steps);
    assert_eq!(service.refusal(1800.0).map(Reason::key), Some("draining"));
    assert!(service.terminate(3300.0, ANSWER_WINDOW_MS));
    assert_eq!((service.admission(3300.0), service.admission(3500.0)), (Admission::Refuse, Admission::Close));
    service.shut_down();
    assert_eq!(service.refusal(3400.0).map(Reason::key), Some("shutting_down"));
    assert_eq!((service.admission(3300.0), service.admission(3500.0)), (Admission::Refuse, Admission::Close));
}

#[test]
fn a_drain_closes_busy_connections_unless_they_only_wait_and_a_shutdown_closes_all() {
    let draining = Service::Evacuating(0.0);
    assert!(!draining.closes_busy(3499.0, Some(3400.0)), "its requests may still be answered");
    assert!(draining.closes_busy(3500.0, Some(1800.0)) && draining.closes_busy(3900.0, Some(3900.0)));
    assert!(!draining.closes_busy(3500.0, Some(1700.0)), "the request that it waits for arrived in time");
    let mut terminating = Service::Serving;
    assert!(terminating.terminate(0.0, 1000.0));
    terminating.shut_down();
    assert!(!terminating.closes_busy(999.0, Some(900.0)) && terminating.closes_busy(1000.0, Some(10.0)));
    assert!(terminating.closes_busy(1000.0, None) && draining.closes_busy(3500.0, None));
}

quickcheck! {
    /// Admission never becomes less strict, except by an operator's rejoin before a termination, and each
    /// change is announced beforehand.
    fn admission_never_becomes_less_strict(
        evacuated: Option<u16>,
        terminated: Option<u16>,
        shut_down: Option<u16>
    ) -> bool {
        const STEP: usize = 20;
        let time_of = |time: Option<u16>| time.map(|time| usize::from(time) % 8000 / STEP * STEP);
        let (evacuated, terminated, shut_down) =
            (time_of(evacuated), time_of(terminated), time_of(shut_down));
        let mut service = Service::default();
        let mut last = Admission::Open;
        (0..8000).step_by(STEP).all(|at| {
            let now = at as Millis;
            if evacuated == Some(at) {
                service.evacuate(now);
            }
            if terminated == Some(at) {
                service.terminate(now, ANSWER_WINDOW_MS);
            }
            if shut_down == Some(at) {
                service.shut_down();
            }
            let admission = service.admission(now);
            let announced = match service.next_admission_change(now) {
                Some(change_at) => {
                    service.admission(change_at) > admission
                        && service.admission(change_at - 0.001) == admission
                }
                None => service.admission(1e9) == admission,
            };
            let holds = admission >= last && announced;
            last = admission;
            holds
        })
    }
}
