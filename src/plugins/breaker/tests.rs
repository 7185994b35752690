use super::*;

#[test]
fn pauses_grow_and_end_in_staying_out() {
    let (mut breaker, mut now, mut pauses) = (Breaker::default(), 0.0, Vec::new());
    while breaker.state(now) != State::Disabled {
        match breaker.state(now) {
            State::Restart => breaker.restarted(),
            State::Paused => {
                now += 100.0;
                continue;
            }
            _ => {}
        }
        pauses.extend(breaker.record_failure(now));
    }
    let grown = [1e3, 2e3, 4e3, 8e3, 16e3, 32e3, 60e3, 60e3, f64::INFINITY];
    assert_eq!(pauses, grown);
}

#[test]
fn a_fault_now_and_then_does_not_pause_it() {
    let mut breaker = Breaker::default();
    for _ in 0..1000 {
        assert_eq!(breaker.record_failure(0.0), None);
        breaker.record_success();
    }
    assert_eq!(breaker.state(0.0), State::Closed);
}
