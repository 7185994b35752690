use super::*;

#[test]
fn a_standstill_is_told_and_one_that_runs_late_waits_as_much_longer() {
    let mut patience = Patience::new(100.0, 500.0, 0.0);
    assert_eq!((patience.tick(100.0), patience.late_ms()), (None, 0.0));
    assert_eq!(patience.tick(3100.0), Some(3000.0));
    assert!(!patience.judges(3500.0) && patience.judges(3600.0));
    for turn in 1..60 {
        assert_eq!(patience.tick(3100.0 + 400.0 * f64::from(turn)), None);
    }
    assert!((patience.late_ms() - 300.0).abs() < 1.0);
    for turn in 1..100 {
        patience.tick(26_700.0 + 100.0 * f64::from(turn));
    }
    assert!(patience.late_ms() < 1.0);
}

#[test]
fn a_suspect_has_less_time_the_more_suspect_it_and_never_less_than_the_least() {
    let times: Vec<f64> = (0..6).map(|others| suspicion([4000.0, 8000.0], others)).collect();
    assert_eq!(times[0], 8000.0);
    assert!(times.windows(2).all(|pair| pair[1] <= pair[0]));
    assert_eq!(times[3..], [4000.0; 3]);
}
