use super::*;
use quickcheck::{Gen, QuickCheck};

#[test]
fn every_set_and_every_lag_round_trips_and_invalid_ones_are_none() {
    fn property(router_count: u16, these: Vec<u16>, steps: Vec<u8>) -> bool {
        let router_count = usize::from(router_count % 1100) + 1;
        let mut set = FixedBitSet::with_capacity(router_count);
        these.iter().for_each(|index| set.insert(usize::from(*index) % router_count));
        let mut other = set.clone();
        other.toggle_range(..);
        let steps: Vec<u8> = steps.into_iter().map(|step| step & 3).collect();
        EncodedSet::of(&set).decode(router_count).as_ref() == Some(&set)
            && EncodedSet::of(&other).decode(router_count) == Some(other)
            && EpochLags::of(&steps).decode(steps.len()) == Some(steps)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 9))
        .tests(600)
        .quickcheck(property as fn(u16, Vec<u16>, Vec<u8>) -> bool);
    assert_eq!(EncodedSet::Only(vec![9]).decode(9), None);
    assert_eq!(EncodedSet::Bits(vec![0; 2]).decode(9), Some(FixedBitSet::with_capacity(9)));
    assert_eq!(EncodedSet::Bits(vec![0; 3]).decode(9), None);
    assert_eq!(EpochLags::Sparse(0, vec![(9, 1)]).decode(9), None);
    assert_eq!(EpochLags::Bits(vec![0; 2]).decode(9), None);
}

#[test]
fn a_lag_is_never_encoded_shorter_than_it_is() {
    for epochs in 0..9 {
        assert!(
            EpochLags::max_epochs(EpochLags::quantize(epochs)).is_none_or(|max_epochs| max_epochs >= epochs)
        );
    }
}
