use super::*;

fn life(start: u64, term: u32, mark: Mark) -> Life {
    Life { start, term, mark }
}

#[test]
fn later_lives_replace_earlier_ones_and_two_books_agree_only_on_what_both_know() {
    let (mut one, mut other) = (Book::new(130, 0.0), Book::new(130, 0.0));
    assert_eq!(one.learn(3, life(100, 1, Mark::Here), 5.0), Some(Learned::Start));
    assert_eq!(one.learn(3, life(100, 2, Mark::Here), 6.0), Some(Learned::Term));
    assert_eq!(one.learn(3, life(100, 1, Mark::Gone), 7.0), None, "of an earlier term");
    assert_eq!(one.learn(3, life(90, 9, Mark::Left), 7.0), None, "of an earlier start");
    assert_eq!((one.life(3).term, one.start_at(3)), (2, 5.0));
    let mut set = FixedBitSet::with_capacity(130);
    set.insert(3);
    assert_ne!(one.digest(&set), other.digest(&set));
    assert_eq!(other.compare(&one.digests()), Some(vec![false, true, true]));
    assert_eq!(other.learn(3, life(100, 1, Mark::Here), 9.0), Some(Learned::Start));
    assert_eq!(other.compare(&one.digests()), Some(vec![true; 3]), "the same start");
    assert_eq!(other.digest(&set), one.digest(&set));
    assert!(one.mark(3, Mark::Doubted, 9.0) && !one.mark(3, Mark::Here, 9.0));
    assert_eq!(other.learn(3, one.life(3), 9.0), Some(Learned::Term));
    assert_eq!(one.digests(), other.digests());
    assert_eq!(other.compare(&[0; 5]), None);
}

#[test]
fn what_is_fresh_is_told_a_few_times_and_a_block_on_demand_whole() {
    let mut book = Book::new(200, 0.0);
    for of in 0..200 {
        book.learn(of, life(1, 1, Mark::Here), 0.0);
    }
    let mut told = 0;
    (0..400).for_each(|draw| told += book.entries(25, None, draw * 31).len());
    assert_eq!(told, 200 * usize::from(TELLS));
    let wants = [false, true, false, true];
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..8 {
        seen.extend(book.entries(80, Some(&wants), 0).iter().map(|entry| usize::from(entry.of)));
    }
    assert_eq!(seen, (64..128).chain(192..200).collect());
}
