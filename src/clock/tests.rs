use super::*;
use quickcheck::{Gen, QuickCheck};

#[test]
fn without_steps_a_unix_time_converts_exactly_and_never_beyond_now() {
    let clock = WallClock::new(1000.0, UnixTime(5_001_000.0));
    assert_eq!(clock.to_monotonic(1500.0, UnixTime(5_001_200.0)), 1200.0);
    assert_eq!(clock.to_monotonic(1500.0, UnixTime(5_000_200.0)), 200.0, "before the start of the process");
    assert_eq!(clock.to_monotonic(1500.0, UnixTime(9e12)), 1500.0);
    assert_eq!(clock.to_monotonic(1500.0, UnixTime(f64::INFINITY)), 1500.0);
}

#[test]
fn slow_drift_is_followed_and_is_no_step() {
    let mut clock = WallClock::new(0.0, UnixTime(0.0));
    for at in 1..=100 {
        let now = f64::from(at) * 250.0;
        clock.observe(now, UnixTime(now * 1.001));
    }
    assert_eq!(clock.periods.len(), 1);
    let (now, reported) = (25_100.0, UnixTime(25_100.0 * 1.001 - 100.0));
    assert!((clock.to_monotonic(now, reported) - 25_000.0).abs() < 1.0);
}

/// An event never counts as older than it is, and counts as younger only near a step.
#[test]
fn no_event_counts_as_older_than_it_is_however_the_wall_clock_steps() {
    fn property(steps: Vec<(i32, u16)>, age: u16) -> bool {
        let (mut unix, mut now) = (1.7e12, 0.0);
        let mut clock = WallClock::new(now, UnixTime(unix));
        let mut reported: Vec<(Millis, UnixTime)> = Vec::new();
        for (step, wait) in steps {
            for _ in 0..=wait / 1000 {
                (now, unix) = (now + 250.0, unix + 250.0);
                clock.observe(now, UnixTime(unix));
                reported.push((now, UnixTime(unix)));
            }
            unix += f64::from(step % 4_000_000);
        }
        now += f64::from(age % 200);
        unix += f64::from(age % 200);
        clock.observe(now, UnixTime(unix));
        reported.iter().all(|(at, unix)| clock.to_monotonic(now, *unix) >= at - STEP_MS - 1.0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 5))
        .tests(500)
        .quickcheck(property as fn(Vec<(i32, u16)>, u16) -> bool);
}
