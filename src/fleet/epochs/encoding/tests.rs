use super::*;
use quickcheck::{Gen, QuickCheck};

#[test]
fn every_set_and_every_lag_is_read_back_and_strange_ones_are_none() {
    fn property(all: u16, these: Vec<u16>, steps: Vec<u8>) -> bool {
        let all = usize::from(all % 1100) + 1;
        let mut set = FixedBitSet::with_capacity(all);
        these.iter().for_each(|at| set.insert(usize::from(*at) % all));
        let mut other = set.clone();
        other.toggle_range(..);
        let steps: Vec<u8> = steps.into_iter().map(|step| step & 3).collect();
        Form::of(&set).read(all).as_ref() == Some(&set)
            && Form::of(&other).read(all) == Some(other)
            && Lags::of(&steps).read(steps.len()) == Some(steps)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 9))
        .tests(600)
        .quickcheck(property as fn(u16, Vec<u16>, Vec<u8>) -> bool);
    assert_eq!(Form::Only(vec![9]).read(9), None);
    assert_eq!(Form::Bits(vec![0; 2]).read(9), Some(FixedBitSet::with_capacity(9)));
    assert_eq!(Form::Bits(vec![0; 3]).read(9), None);
    assert_eq!(Lags::Most(0, vec![(9, 1)]).read(9), None);
    assert_eq!(Lags::Bits(vec![0; 2]).read(9), None);
}

#[test]
fn a_lag_is_never_told_shorter_than_it_is() {
    for epochs in 0..9 {
        assert!(Lags::epochs(Lags::step(epochs)).is_none_or(|told| told >= epochs));
    }
}
