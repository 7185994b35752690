use super::*;

#[test]
fn pauses_grow_until_the_plug_in_is_disabled() {
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
    let expected = [1e3, 2e3, 4e3, 8e3, 16e3, 32e3, 60e3, 60e3, f64::INFINITY];
    assert_eq!(pauses, expected);
}

#[test]
fn isolated_faults_do_not_pause_a_plug_in() {
    let mut breaker = Breaker::default();
    for _ in 0..1000 {
        assert_eq!(breaker.record_failure(0.0), None);
        breaker.record_success();
    }
    assert_eq!(breaker.state(0.0), State::Closed);
}
