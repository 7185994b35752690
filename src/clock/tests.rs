use super::*;
use quickcheck::{Gen, QuickCheck};

#[test]
fn without_steps_a_unix_time_is_its_instant_and_never_a_later_one_than_now() {
    let clock = WallClock::new(1000.0, UnixTime(5_001_000.0));
    assert_eq!(clock.to_monotonic(1500.0, UnixTime(5_001_200.0)), 1200.0);
    assert_eq!(clock.to_monotonic(1500.0, UnixTime(5_000_200.0)), 200.0, "before the start of the process");
    assert_eq!(clock.to_monotonic(1500.0, UnixTime(9e12)), 1500.0);
    assert_eq!(clock.to_monotonic(1500.0, UnixTime(f64::INFINITY)), 1500.0);
}

#[test]
fn a_slow_drift_is_followed_and_is_no_step() {
    let mut clock = WallClock::new(0.0, UnixTime(0.0));
    for at in 1..=100 {
        let now = f64::from(at) * 250.0;
        clock.observe(now, UnixTime(now * 1.001));
    }
    assert_eq!(clock.epochs.len(), 1);
    let (now, named) = (25_100.0, UnixTime(25_100.0 * 1.001 - 100.0));
    assert!((clock.to_monotonic(now, named) - 25_000.0).abs() < 1.0);
}

/// An event is never taken for an older one than it is, and for a younger one only near a step.
#[test]
fn however_the_wall_clock_steps_no_event_is_taken_for_an_older_one() {
    fn property(steps: Vec<(i32, u16)>, age: u16) -> bool {
        let (mut unix, mut now) = (1.7e12, 0.0);
        let mut clock = WallClock::new(now, UnixTime(unix));
        let mut named: Vec<(Millis, UnixTime)> = Vec::new();
        for (step, wait) in steps {
            for _ in 0..=wait / 1000 {
                (now, unix) = (now + 250.0, unix + 250.0);
                clock.observe(now, UnixTime(unix));
                named.push((now, UnixTime(unix)));
            }
            unix += f64::from(step % 4_000_000);
        }
        now += f64::from(age % 200);
        unix += f64::from(age % 200);
        clock.observe(now, UnixTime(unix));
        named.iter().all(|(at, unix)| clock.to_monotonic(now, *unix) >= at - STEP_MS - 1.0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 5))
        .tests(500)
        .quickcheck(property as fn(Vec<(i32, u16)>, u16) -> bool);
}
