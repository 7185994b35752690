use super::*;

#[test]
fn exclusions_are_bounded_by_count_and_age_and_none_in_force_is_dropped() {
    let mut exclusions = Exclusions::default();
    for at in 0..MAX_EXCLUSIONS {
        assert_eq!(exclusions.change(&format!("s-{at}"), true, BootTime(0.0)), Ok(()));
    }
    assert_eq!(exclusions.change("one-more", true, BootTime(0.0)), Err(TooMany));
    assert_eq!(
        (
            exclusions.change("s-3", true, BootTime(5.0)),
            exclusions.contains("s-0"),
            exclusions.contains("one-more")
        ),
        (Ok(()), true, false)
    );
    // Exclusions of listed machines stay; the others expire a day after their machine was last listed.
    exclusions.expire(BootTime(RETENTION_MS), |_| false);
    assert_eq!(exclusions.names().count(), MAX_EXCLUSIONS);
    exclusions.expire(BootTime(RETENTION_MS + 1.0), |name| name == "s-1");
    assert_eq!(exclusions.names().collect::<Vec<_>>(), ["s-1", "s-3"], "s-3 was excluded again later");
    exclusions.expire(BootTime(3.0 * RETENTION_MS), |name| name == "s-1");
    assert_eq!(exclusions.names().collect::<Vec<_>>(), ["s-1"]);
    exclusions.expire(BootTime(0.0), |_| false);
    exclusions.expire(BootTime(RETENTION_MS + 1.0), |_| false);
    assert!(exclusions.is_empty(), "a clock that was set back keeps no exclusion for ever");
}

#[test]
fn differing_names_are_found_on_both_sides() {
    let (mut a, mut b) = (Exclusions::default(), Exclusions::default());
    for (one, name) in [(&mut a, "s-1"), (&mut b, "s-2")] {
        assert_eq!(
            one.change("both", true, BootTime(0.0)).and(one.change(name, true, BootTime(0.0))),
            Ok(())
        );
    }
    assert_eq!(a.differing(&b).collect::<Vec<_>>(), ["s-1", "s-2"]);
}
