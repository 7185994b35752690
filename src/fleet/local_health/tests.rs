use super::*;

#[test]
fn a_stall_is_reported_and_a_late_process_waits_as_much_longer() {
    let mut local_health = LocalHealth::new(100.0, 500.0, 0.0);
    assert_eq!((local_health.tick(100.0), local_health.lateness_ms()), (None, 0.0));
    assert_eq!(local_health.tick(3100.0), Some(3000.0));
    assert!(!local_health.may_suspect(3500.0) && local_health.may_suspect(3600.0));
    for turn in 1..60 {
        assert_eq!(local_health.tick(3100.0 + 400.0 * f64::from(turn)), None);
    }
    assert!((local_health.lateness_ms() - 300.0).abs() < 1.0);
    for turn in 1..100 {
        local_health.tick(26_700.0 + 100.0 * f64::from(turn));
    }
    assert!(local_health.lateness_ms() < 1.0);
}

#[test]
fn more_confirmations_shorten_a_suspicion_down_to_the_minimum() {
    let times: Vec<f64> =
        (0..6).map(|confirmations| suspicion_timeout_ms([4000.0, 8000.0], confirmations)).collect();
    assert_eq!(times[0], 8000.0);
    assert!(times.windows(2).all(|pair| pair[1] <= pair[0]));
    assert_eq!(times[3..], [4000.0; 3]);
}
