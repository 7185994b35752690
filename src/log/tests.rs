use super::*;

#[test]
fn a_flood_is_held_back_and_counted() {
    let mut limiter = Limiter::new();
    let written = (0..1000).filter(|_| limiter.permit(1.0).is_some()).count();
    assert_eq!(written, BURST as usize);
    assert_eq!(limiter.permit(2.0), Some(1000 - BURST as u64), "the next line says how many");
}

#[test]
fn kinds_are_limited_each_by_itself() {
    let (loud, quiet) = (Kind::new(), Kind::new());
    assert!((0..1000).any(|_| loud.permit().is_none()));
    assert_eq!(quiet.permit(), Some(0));
}
