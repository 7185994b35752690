use super::*;
use quickcheck::{Gen, QuickCheck};

#[test]
fn no_bytes_make_the_decoder_panic_and_corrupted_datagrams_are_rejected() {
    let own = Incarnation { start: 1_800_000_000_000, term: 3, status: IncarnationStatus::Present };
    let entry = |router: u16, start| IncarnationEntry {
        router,
        incarnation: Incarnation { start, term: 2, status: IncarnationStatus::Doubted },
    };
    let entries = vec![entry(3, own.start + 5), entry(900, own.start - 700_000), entry(901, u64::MAX)];
    let (signers, exceptions) = (EncodedSet::AllBut(vec![7]), EncodedSet::Only(vec![]));
    let ballot = BallotMessage {
        kind: BallotKind::Liveness,
        epoch: 9,
        since_epoch: 8,
        opened_by: 1,
        start_digest: u64::MAX,
        terms: BallotTerms::default(),
        members: EncodedSet::Bits(vec![255; 125]),
        exceptions,
        signers,
    };
    let packet = Packet {
        roster_hash: 5,
        from: 1,
        to: 2,
        epoch: 9,
        requests_reply: false,
        lags: EpochLags::Sparse(1, vec![(3, 2)]),
        block_digests: vec![0; 96],
        ballots: vec![ballot],
        own,
        incarnations: EncodedIncarnations::of(own, entries.iter().rev().copied().collect()),
    };
    assert_eq!(packet.incarnations.decode(own), entries);
    let bytes = encode("north", &packet);
    assert_eq!(decode("north", &bytes), Ok(packet.clone()));
    assert_eq!(decode("south", &bytes), Err(RejectReason::Foreign));
    assert_eq!(
        crate::fleet::wire::decode("north", &bytes),
        Err(RejectReason::Foreign),
        "it is no packet of a small fleet"
    );
    assert!((HEADER_BYTES..bytes.len()).all(|n| decode("north", &bytes[..n]) == Err(RejectReason::Corrupt)));
    let other = Packet { own: Incarnation::default(), ..packet };
    assert_eq!(
        decode("north", &encode("north", &other)),
        Err(RejectReason::Corrupt),
        "the sender's start is missing"
    );
    fn property(junk: Vec<u8>) -> bool {
        let _ = decode("n", &seal(EPOCHS_MAGIC, "n", &junk));
        decode("n", &junk).is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 5))
        .tests(5000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
