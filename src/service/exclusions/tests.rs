use super::*;

#[test]
fn names_are_bounded_by_count_and_age_and_none_that_binds_is_dropped() {
    let mut out = Exclusions::default();
    for at in 0..MAX_EXCLUSIONS {
        assert_eq!(out.change(&format!("s-{at}"), true, BootTime(0.0)), Ok(()));
    }
    assert_eq!(out.change("one-more", true, BootTime(0.0)), Err(TooMany));
    assert_eq!(
        (out.change("s-3", true, BootTime(5.0)), out.contains("s-0"), out.contains("one-more")),
        (Ok(()), true, false)
    );
    // Listed ones stay however long; the others go a day after they were last heard of.
    out.expire(BootTime(GONE_MS), |_| false);
    assert_eq!(out.names().count(), MAX_EXCLUSIONS);
    out.expire(BootTime(GONE_MS + 1.0), |name| name == "s-1");
    assert_eq!(out.names().collect::<Vec<_>>(), ["s-1", "s-3"], "s-3 was taken out again later");
    out.expire(BootTime(3.0 * GONE_MS), |name| name == "s-1");
    assert_eq!(out.names().collect::<Vec<_>>(), ["s-1"]);
    out.expire(BootTime(0.0), |_| false);
    out.expire(BootTime(GONE_MS + 1.0), |_| false);
    assert!(out.is_empty(), "a clock that was set back keeps none for ever");
}

#[test]
fn what_differs_is_found_on_either_side() {
    let (mut a, mut b) = (Exclusions::default(), Exclusions::default());
    for (one, name) in [(&mut a, "s-1"), (&mut b, "s-2")] {
        assert_eq!(
            one.change("both", true, BootTime(0.0)).and(one.change(name, true, BootTime(0.0))),
            Ok(())
        );
    }
    assert_eq!(a.differing(&b).collect::<Vec<_>>(), ["s-1", "s-2"]);
}
