use super::*;
use quickcheck::{Gen, QuickCheck};

#[test]
fn no_bytes_make_the_reader_panic_and_what_is_spoilt_is_refused() {
    let own = Life { start: 1_800_000_000_000, term: 3, mark: Mark::Here };
    let entry = |of: u16, start| Entry { of, life: Life { start, term: 2, mark: Mark::Doubted } };
    let entries = vec![entry(3, own.start + 5), entry(900, own.start - 700_000), entry(901, u64::MAX)];
    let (signed, without) = (Form::AllBut(vec![7]), Form::Only(vec![]));
    let roll = Told {
        kind: Kind::Heard,
        epoch: 9,
        since: 8,
        by: 1,
        digest: u64::MAX,
        terms: Terms::default(),
        set: Form::Bits(vec![255; 125]),
        without,
        signed,
    };
    let packet = Packet {
        roster: 5,
        from: 1,
        to: 2,
        epoch: 9,
        asks: false,
        lags: Lags::Most(1, vec![(3, 2)]),
        digests: vec![0; 96],
        rolls: vec![roll],
        own,
        lives: Lives::of(own, entries.iter().rev().copied().collect()),
    };
    assert_eq!(packet.lives.read(own), entries);
    let bytes = write("north", &packet);
    assert_eq!(read("north", &bytes), Ok(packet.clone()));
    assert_eq!(read("south", &bytes), Err(RejectReason::Foreign));
    assert_eq!(crate::fleet::wire::read("north", &bytes), Err(RejectReason::Foreign), "it is no row");
    assert!((HEAD..bytes.len()).all(|at| read("north", &bytes[..at]) == Err(RejectReason::Torn)));
    let other = Packet { own: Life::default(), ..packet };
    assert_eq!(read("north", &write("north", &other)), Err(RejectReason::Torn), "which start speaks?");
    fn property(junk: Vec<u8>) -> bool {
        let _ = read("n", &seal(ROLLS, "n", &junk));
        read("n", &junk).is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 5))
        .tests(5000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
