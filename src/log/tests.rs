use super::*;

#[test]
fn lines_above_the_burst_are_suppressed_and_counted() {
    let mut limiter = RateLimiter::new();
    let written = (0..1000).filter(|_| limiter.permit(1.0).is_some()).count();
    assert_eq!(written, BURST_LINES as usize);
    assert_eq!(
        limiter.permit(2.0),
        Some(1000 - BURST_LINES as u64),
        "the next line reports how many were suppressed"
    );
}

#[test]
fn each_call_site_has_its_own_limit() {
    let (frequent, rare) = (CallSiteLimiter::new(), CallSiteLimiter::new());
    assert!((0..1000).any(|_| frequent.permit().is_none()));
    assert_eq!(rare.permit(), Some(0));
}
