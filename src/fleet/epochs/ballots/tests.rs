use super::*;
use crate::fleet::epochs::wire::Life;

fn book() -> Book {
    let mut book = Book::new(8, 0.0);
    for of in 0..8 {
        book.learn(of, Life { start: 9, term: 1, mark: Mark::Here }, 0.0);
    }
    book
}

#[test]
fn of_each_epoch_the_best_two_are_kept_and_what_is_too_old_or_to_come_is_refused() {
    let (mut calls, book) = (Calls::default(), book());
    let all = heard_since(4, &[Some(5); 8], &book);
    for by in 0..8 {
        calls.call(Kind::Heard, [5, 4], by, all.clone(), &book);
    }
    let mut ranks: Vec<u32> = (0..8).map(|by| rank(5, by)).collect();
    ranks.sort_unstable();
    assert_eq!(calls.of(Kind::Heard).map(|(key, _)| key.2).collect::<Vec<_>>(), ranks[..2]);
    let told = calls.tell([2, 2], 0, 500).remove(0);
    let mut other = Calls::default();
    assert_eq!(other.told(&told, 8, 4), None, "of an epoch to come");
    assert_eq!(other.told(&told, 8, 5 + KEPT), None);
    assert_eq!(other.told(&told, 2, 6), None, "of another roster");
    let key = other.told(&told, 8, 6).expect("taken");
    other.sign(&key, 6, &FixedBitSet::with_capacity(8));
    assert_eq!(other.get(&key).map(|roll| roll.signed.count_ones(..)), Some(1));
    let changed = Told { digest: told.digest ^ 1, ..told };
    assert_eq!(other.told(&changed, 8, 6), None, "another one by the same name");
    other.entered(5 + KEPT);
    assert_eq!(other.of(Kind::Heard).count(), 0);
}

#[test]
fn nobody_signs_what_it_knows_differently_or_has_given_up() {
    let (mut calls, mut book) = (Calls::default(), book());
    let set = heard_since(4, &[Some(5), Some(4), Some(3), None, Some(5), None, None, None], &book);
    assert_eq!(set.ones().collect::<Vec<_>>(), [0, 1, 4]);
    calls.call(Kind::Heard, [5, 4], 0, set.clone(), &book);
    calls.call(Kind::GivenUp, [4, 4], 0, set, &book);
    let without = |kind: Kind, book: &Book, gave_up: &[usize], waits: bool| {
        let (key, roll) = calls.of(kind).next().expect("called");
        let mut these = FixedBitSet::with_capacity(8);
        gave_up.iter().for_each(|of| these.insert(*of));
        let without = may_sign(key, roll, book, &these, waits)?;
        Some(without.ones().collect::<Vec<_>>())
    };
    assert_eq!(without(Kind::Heard, &book, &[2, 4], false), Some(vec![4]), "it can't say that of 4");
    assert_eq!(without(Kind::GivenUp, &book, &[0, 1, 4, 5], true), Some(vec![]));
    assert_eq!(without(Kind::GivenUp, &book, &[0, 1], true), None);
    assert_eq!(without(Kind::GivenUp, &book, &[0, 1], false), Some(vec![4]));
    assert_eq!(without(Kind::GivenUp, &book, &[5], false), None, "nothing of it is so");
    book.learn(1, Life { start: 9, term: 2, mark: Mark::Here }, 0.0);
    assert_eq!(without(Kind::Heard, &book, &[], false), Some(vec![]));
    assert_eq!(without(Kind::GivenUp, &book, &[0, 1, 4], false), Some(vec![1]), "another term");
    book.learn(1, Life { start: 10, term: 1, mark: Mark::Here }, 0.0);
    assert_eq!(without(Kind::Heard, &book, &[], false), None, "another start");
    assert!(!heard_since(4, &[Some(5); 8], &{
        let mut book = book.clone();
        book.mark(6, Mark::Doubted, 0.0);
        book
    })
    .contains(6));
}

/// A set of routers among eight.
fn these(of: &[usize]) -> FixedBitSet {
    let mut set = FixedBitSet::with_capacity(8);
    of.iter().for_each(|of| set.insert(*of));
    set
}

#[test]
fn several_rolls_of_the_given_up_gather_names_on_the_same_way() {
    let (mut calls, book) = (Calls::default(), book());
    for (epoch, set) in [(3, &[1][..]), (4, &[1, 2]), (5, &[1, 2, 3]), (6, &[1, 2, 3, 4])] {
        calls.call(Kind::GivenUp, [epoch; 2], 0, these(set), &book);
    }
    for turn in 0..4 {
        let mut told: Vec<u32> = calls.tell([5, 4], turn, 900).iter().map(|told| told.epoch).collect();
        let first = told[0];
        told.sort_unstable();
        assert_eq!(told, [3, 4, 5, 6], "in turn {turn}, each once");
        assert_eq!(
            first,
            if turn % 4 == 2 { told[3] } else { 6 },
            "the largest first, or the one with most names"
        );
    }
    let told = calls.tell([5, 4], 0, 60);
    assert!(told.len() < 4 && told[0].epoch == 6, "as far as there is room: {told:?}");
}

#[test]
fn a_clerk_calls_when_the_last_roll_is_full_and_others_only_where_none_is_called() {
    let (mut calls, book) = (Calls::default(), book());
    assert!(calls.due(5, 2, true) && calls.due(5, 2, false));
    calls.call(Kind::Heard, [5, 5], 0, these(&[0, 1, 2, 3]), &book);
    let key = *calls.of(Kind::Heard).next().expect("called").0;
    assert!(!calls.due(6, 2, true) && !calls.due(6, 2, false), "it gathers names");
    [1, 2].iter().for_each(|by| calls.sign(&key, *by, &these(&[])));
    assert!(calls.due(6, 2, true) && !calls.due(6, 2, false), "it has them");
    assert!(calls.due(7, 2, false), "no clerk has called one");
    assert!(calls.called_since(Kind::Heard, 5) && !calls.called_since(Kind::Heard, 6));
    assert!(!calls.called_since(Kind::GivenUp, 0));
}
