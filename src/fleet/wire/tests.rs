use super::*;
use crate::fleet::settings::ROWS_UPTO;
use quickcheck::{Gen, QuickCheck};

fn row(who: &str, others: usize) -> Row {
    let heard = |n: usize| Heard {
        of: RouterId::of(&n.to_string()),
        tag: u16::MAX,
        beat: 0x0fff_ffff,
        refused: 127,
        voted: 127,
        suspect: true,
        direct: true,
    };
    let (start, term, beat) = (1_800_000_000_000, 100, 0x0fff_ffff);
    let heard = (0..others).map(heard).collect();
    Row { who: RouterId::of(who), start, term, beat, age: 900, says: QuorumStatus::Majority, heard }
}

#[test]
fn a_datagram_is_read_whole_or_refused_with_its_reason() {
    let given_up = vec![GivenUp { of: RouterId::of("d"), tag: 9, term: 2, by: 5 }];
    let mut packet =
        Packet { to: RouterId::of("b"), to_start: 7, roster: 1, rows: vec![row("a", 3)], given_up };
    let (bytes, went) = write("north", packet.clone(), [row("c", 3)].into_iter());
    packet.rows.push(row("c", 3));
    assert_eq!(went, 1);
    assert_eq!(read("north", &bytes), Ok(packet.clone()));
    assert_eq!(read("south", &bytes), Err(RejectReason::Foreign));
    assert_eq!(read("north", &[0; 1201]), Err(RejectReason::Length));
    assert_eq!(read("north", b"{\"hello\":\"there, foreign one\"}"), Err(RejectReason::Foreign));
    assert!((HEAD..bytes.len()).all(|at| read("north", &bytes[..at]) == Err(RejectReason::Torn)));
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 16;
        assert!(read("north", &spoilt).is_err(), "byte {at}");
    }
    // A later version's datagram: more fields at the end, under its own number.
    let body = [&bytes[HEAD..], b"more"].concat();
    let sum = XxHash64::oneshot(2, &body).to_le_bytes();
    let later = [&ROWS[..], &[2], &fleet_tag("north"), &sum, &body].concat();
    assert_eq!(read("north", &later), Ok(packet));
}

#[test]
fn the_largest_fleet_fits_a_datagram_and_rows_without_room_are_left_out() {
    let most = ROWS_UPTO - 1;
    let packet = |others| {
        let given_up =
            vec![GivenUp { of: RouterId::of("d"), tag: u16::MAX, term: u32::MAX, by: u64::MAX }; 3];
        Packet {
            to: RouterId::of("b"),
            to_start: u64::MAX,
            roster: u32::MAX,
            rows: vec![row("a", others)],
            given_up,
        }
    };
    let (bytes, _) = write("north", packet(most), std::iter::repeat_with(|| row("c", most)).take(100));
    assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
    assert_eq!(read("north", &bytes).expect("its own").rows[0], row("a", most));
    let (small, went) = write("north", packet(3), std::iter::repeat_with(|| row("c", 3)).take(500));
    assert!(small.len() <= RELAYED && went >= 5, "{went}");
}

#[test]
fn no_bytes_make_the_reader_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let sum = XxHash64::oneshot(1, &bytes).to_le_bytes();
        let whole = [&ROWS[..], &[1], &fleet_tag("n"), &sum, &bytes].concat();
        read("n", &bytes).is_err() && read("n", &whole).map_or(true, |packet| packet.rows.len() <= MOST_ROWS)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 5))
        .tests(5000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
