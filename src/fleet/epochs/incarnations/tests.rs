use super::*;

fn incarnation(start: u64, term: u32, status: IncarnationStatus) -> Incarnation {
    Incarnation { start, term, status }
}

#[test]
fn later_incarnations_replace_earlier_ones_and_two_tables_match_only_where_both_know_the_same() {
    let (mut one, mut other) = (IncarnationTable::new(130, 0.0), IncarnationTable::new(130, 0.0));
    assert_eq!(
        one.merge(3, incarnation(100, 1, IncarnationStatus::Present), 5.0),
        Some(IncarnationUpdate::NewStart)
    );
    assert_eq!(
        one.merge(3, incarnation(100, 2, IncarnationStatus::Present), 6.0),
        Some(IncarnationUpdate::NewTerm)
    );
    assert_eq!(one.merge(3, incarnation(100, 1, IncarnationStatus::Gone), 7.0), None, "of an earlier term");
    assert_eq!(one.merge(3, incarnation(90, 9, IncarnationStatus::Left), 7.0), None, "of an earlier start");
    assert_eq!((one.get(3).term, one.start_learned_at(3)), (2, 5.0));
    let mut set = FixedBitSet::with_capacity(130);
    set.insert(3);
    assert_ne!(one.start_digest(&set), other.start_digest(&set));
    assert_eq!(other.compare_blocks(&one.block_digests()), Some(vec![false, true, true]));
    assert_eq!(
        other.merge(3, incarnation(100, 1, IncarnationStatus::Present), 9.0),
        Some(IncarnationUpdate::NewStart)
    );
    assert_eq!(other.compare_blocks(&one.block_digests()), Some(vec![true; 3]), "the same start");
    assert_eq!(other.start_digest(&set), one.start_digest(&set));
    assert!(
        one.set_status(3, IncarnationStatus::Doubted, 9.0)
            && !one.set_status(3, IncarnationStatus::Present, 9.0)
    );
    assert_eq!(other.merge(3, one.get(3), 9.0), Some(IncarnationUpdate::NewTerm));
    assert_eq!(one.block_digests(), other.block_digests());
    assert_eq!(other.compare_blocks(&[0; 5]), None);
}

#[test]
fn a_recent_change_is_sent_a_few_times_and_a_requested_block_completely() {
    let mut table = IncarnationTable::new(200, 0.0);
    for router in 0..200 {
        table.merge(router, incarnation(1, 1, IncarnationStatus::Present), 0.0);
    }
    let mut sent = 0;
    (0..400).for_each(|random| sent += table.entries(25, None, random * 31).len());
    assert_eq!(sent, 200 * usize::from(SENDS_PER_UPDATE));
    let requested_blocks = [false, true, false, true];
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..8 {
        seen.extend(
            table.entries(80, Some(&requested_blocks), 0).iter().map(|entry| usize::from(entry.router)),
        );
    }
    assert_eq!(seen, (64..128).chain(192..200).collect());
}
