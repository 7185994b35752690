use super::*;
use crate::fleet::settings::MAX_OBSERVATION_ROUTERS;
use quickcheck::{Gen, QuickCheck};

fn report(reporter: &str, others: usize) -> Report {
    let observation = |n: usize| Observation {
        router: RouterId::of(&n.to_string()),
        start_tag: u16::MAX,
        heartbeat: 0x0fff_ffff,
        refused_term: 127,
        voted_term: 127,
        suspected: true,
        direct: true,
    };
    let (start, term, heartbeat) = (1_800_000_000_000, 100, 0x0fff_ffff);
    let observations = (0..others).map(observation).collect();
    Report {
        reporter: RouterId::of(reporter),
        start,
        term,
        heartbeat,
        age_ms: 900,
        status: QuorumStatus::Majority,
        observations,
    }
}

#[test]
fn a_datagram_is_decoded_completely_or_rejected_with_a_reason() {
    let failure_votes =
        vec![FailureVotes { router: RouterId::of("d"), start_tag: 9, term: 2, voter_bits: 5 }];
    let mut packet = Packet {
        to: RouterId::of("b"),
        to_start: 7,
        roster_hash: 1,
        reports: vec![report("a", 3)],
        failure_votes,
    };
    let (bytes, included) = encode("north", packet.clone(), [report("c", 3)].into_iter());
    packet.reports.push(report("c", 3));
    assert_eq!(included, 1);
    assert_eq!(decode("north", &bytes), Ok(packet.clone()));
    assert_eq!(decode("south", &bytes), Err(RejectReason::Foreign));
    assert_eq!(decode("north", &[0; 1201]), Err(RejectReason::Length));
    assert_eq!(decode("north", b"{\"hello\":\"there, foreign one\"}"), Err(RejectReason::Foreign));
    assert!((HEADER_BYTES..bytes.len()).all(|n| decode("north", &bytes[..n]) == Err(RejectReason::Corrupt)));
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 16;
        assert!(decode("north", &spoilt).is_err(), "byte {at}");
    }
    // A datagram of a later version has more fields at the end and its own version number.
    let body = [&bytes[HEADER_BYTES..], b"more"].concat();
    let sum = XxHash64::oneshot(2, &body).to_le_bytes();
    let later = [&OBSERVATIONS_MAGIC[..], &[2], &fleet_hash("north"), &sum, &body].concat();
    assert_eq!(decode("north", &later), Ok(packet));
}

#[test]
fn the_largest_fleet_fits_a_datagram_and_reports_without_room_are_left_out() {
    let most = MAX_OBSERVATION_ROUTERS - 1;
    let packet = |others| {
        let failure_votes = vec![
            FailureVotes {
                router: RouterId::of("d"),
                start_tag: u16::MAX,
                term: u32::MAX,
                voter_bits: u64::MAX
            };
            3
        ];
        Packet {
            to: RouterId::of("b"),
            to_start: u64::MAX,
            roster_hash: u32::MAX,
            reports: vec![report("a", others)],
            failure_votes,
        }
    };
    let (bytes, _) = encode("north", packet(most), std::iter::repeat_with(|| report("c", most)).take(100));
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(decode("north", &bytes).expect("a valid datagram").reports[0], report("a", most));
    let (small, included) = encode("north", packet(3), std::iter::repeat_with(|| report("c", 3)).take(500));
    assert!(small.len() <= RELAY_FILL_BYTES && included >= 5, "{included}");
}

#[test]
fn no_bytes_make_the_decoder_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let sum = XxHash64::oneshot(1, &bytes).to_le_bytes();
        let whole = [&OBSERVATIONS_MAGIC[..], &[1], &fleet_hash("n"), &sum, &bytes].concat();
        decode("n", &bytes).is_err()
            && decode("n", &whole).map_or(true, |packet| packet.reports.len() <= MAX_ENTRIES)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 5))
        .tests(5000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
