use super::*;
use crate::fleet::rate_limit::{AT_ONCE, PER_S};
use crate::fleet::settings::ROWS_UPTO;
use crate::fleet::PeerAddress;
use quickcheck::{Gen, QuickCheck};

const ME: &str = "n0";

fn set() -> Settings {
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let mut set = Settings::new("north", at(7400));
    set.peers = (1..4).map(|one| PeerAddress { name: format!("n{one}"), address: at(7400 + one) }).collect();
    set
}

fn fleet() -> Rows {
    Rows::new(set(), ME, 1000, 0.0, 0)
}

/// What one says at `now`, of a start that began at 0: it answers this router, and of `n1` it says this.
fn row(who: &str, start: u64, now: Millis, fleet: &Rows, of: Option<(u64, u32, bool)>) -> Row {
    let beat = (now / BEAT_MS) as u32;
    let me = Heard {
        of: RouterId::of(ME),
        tag: wire::tag(fleet.start),
        beat,
        refused: 0,
        voted: 0,
        suspect: false,
        direct: true,
    };
    let other = of.map(|(start, voted, suspect)| Heard {
        of: RouterId::of("n1"),
        tag: wire::tag(start),
        refused: voted,
        voted,
        suspect,
        ..me
    });
    let heard = [me].into_iter().chain(other).collect();
    Row { who: RouterId::of(who), start, term: 1, beat, age: 0, says: QuorumStatus::Majority, heard }
}

fn datagram(to: &str, to_start: u64, row: Row) -> Vec<u8> {
    let packet = Packet { to: RouterId::of(to), to_start, roster: 0, rows: vec![row], given_up: Vec::new() };
    wire::write("north", packet, std::iter::empty()).0
}

fn hear(fleet: &mut Rows, now: Millis, row: Row) -> Result<(), RejectReason> {
    let bytes = datagram(ME, fleet.start, row);
    fleet.receive(now, &bytes)
}

fn state(fleet: &Rows, one: usize) -> State {
    fleet.members[one - 1].state
}

/// Plays on to `until`, a turn each 100 ms, in which n2 and n3 answer and say so much of n1.
fn play(fleet: &mut Rows, from: Millis, until: Millis, of: Option<(u64, u32, bool)>) {
    let mut now = from;
    while now < until {
        for who in ["n2", "n3"] {
            let row = row(who, 5, now, fleet, of);
            hear(fleet, now, row).expect("news");
        }
        fleet.tick(now);
        fleet.take_effects();
        now += 100.0;
    }
}

#[test]
fn who_is_silent_here_and_given_up_by_enough_others_is_gone_and_words_of_an_earlier_start_are_none() {
    let mut fleet = fleet();
    let first = row("n1", 500, 0.0, &fleet, None);
    hear(&mut fleet, 0.0, first).expect("news");
    // The others have given up an earlier start of n1, which is silent here, too.
    play(&mut fleet, 100.0, 12_000.0, Some((400, 9, true)));
    assert_eq!(
        (state(&fleet, 1), fleet.members[0].voted),
        (State::Suspect, 1),
        "it is given up here, and not gone"
    );
    assert_eq!(fleet.quorum_status(12_000.0).0, QuorumStatus::Majority);
    play(&mut fleet, 12_000.0, 12_300.0, Some((500, 1, true)));
    assert_eq!(state(&fleet, 1), State::Gone);
    // Its old term does not bring it back, whoever relays it; the next one does, and so does a new start.
    let mut same = row("n1", 500, 12_400.0, &fleet, None);
    hear(&mut fleet, 12_400.0, same.clone()).expect("news");
    assert_eq!(state(&fleet, 1), State::Gone);
    (same.term, same.beat) = (2, same.beat + 10);
    hear(&mut fleet, 12_500.0, same.clone()).expect("news");
    assert_eq!(state(&fleet, 1), State::Alive);
    let anew = row("n1", 600, 12_600.0, &fleet, None);
    hear(&mut fleet, 12_600.0, anew).expect("news");
    assert_eq!((state(&fleet, 1), fleet.members[0].refused), (State::Alive, 0));
    same.beat += 100;
    assert_eq!(hear(&mut fleet, 12_700.0, same), Err(RejectReason::Stale), "the start before");
}

#[test]
fn one_without_a_majority_calls_nobody_gone_whatever_others_said_of_it() {
    let mut fleet = fleet();
    for who in ["n1", "n2", "n3"] {
        let row = row(who, 5, 0.0, &fleet, Some((500, 9, true)));
        hear(&mut fleet, 0.0, row).expect("news");
    }
    (1..600).for_each(|turn| fleet.tick(f64::from(turn) * 100.0));
    assert_eq!(fleet.quorum_status(60_000.0).0, QuorumStatus::CutOff);
    assert!((1..4).all(|one| state(&fleet, one) == State::Suspect));
    assert!(fleet.members.iter().all(|member| member.voted == 0), "nor gives anybody up");
}

#[test]
fn a_start_without_memory_refuses_what_it_meets_until_it_has_been_heard() {
    let mut fleet = fleet();
    let mut met = |beat_ms: Millis, term: u32, heard: bool| {
        let mut row = row("n1", 500, beat_ms, &fleet, None);
        row.term = term;
        if !heard {
            row.heard.clear();
        }
        hear(&mut fleet, 1000.0, row).expect("news");
        fleet.row(0, 1000.0).heard[0].refused
    };
    // The start before this one may have given up 7: words from before, late on their way, say nothing of that.
    assert_eq!(met(100.0, 3, false), 3);
    assert_eq!(met(300.0, 7, false), 7);
    assert_eq!(met(500.0, 7, true), 7);
    assert_eq!(met(600.0, 8, true), 7, "and answers the next");
}

#[test]
fn a_later_start_by_this_name_is_outbid_and_what_was_answered_to_it_counts_no_more() {
    let mut fleet = fleet();
    play(&mut fleet, 0.0, 300.0, None);
    assert_eq!(fleet.quorum_status(300.0).0, QuorumStatus::Majority);
    let row = row("n2", 5, 400.0, &fleet, None);
    let bytes = datagram(ME, 5000, row);
    fleet.receive(400.0, &bytes).expect("news");
    assert_eq!((fleet.start(), fleet.quorum_status(400.0).0), (5001, QuorumStatus::CutOff));
    play(&mut fleet, 500.0, 800.0, None);
    assert_eq!(fleet.quorum_status(800.0).0, QuorumStatus::Majority);
}

#[test]
fn datagrams_for_others_of_strangers_and_heard_before_are_refused_and_counted() {
    let mut fleet = fleet();
    let good = row("n1", 500, 10.0, &fleet, None);
    let bytes = datagram(ME, 0, good.clone());
    assert_eq!(fleet.receive(10.0, &bytes), Ok(()));
    assert_eq!(fleet.receive(20.0, &bytes), Err(RejectReason::Stale));
    let mut write = |to: &str, row: &Row| {
        let bytes = datagram(to, 0, row.clone());
        fleet.receive(30.0, &bytes)
    };
    assert_eq!(write("n2", &good), Err(RejectReason::Stranger), "it is for another one");
    assert_eq!(write(ME, &Row { who: RouterId::of("n9"), ..good.clone() }), Err(RejectReason::Stranger));
    assert_eq!(write(ME, &Row { who: RouterId::of(ME), ..good }), Err(RejectReason::Stranger));
    assert_eq!(fleet.counts().rejected, [(RejectReason::Stranger, 3), (RejectReason::Stale, 1)].into());
}

/// Whatever comes, in whatever order, and however time jumps on: no panic, bounded memory, and no more datagrams than a
/// second's allowance and what is let through in the time.
#[test]
fn no_words_and_no_jumps_of_time_break_a_bound() {
    fn property(steps: Vec<(u8, u16, u8, u8, Vec<u8>)>) -> bool {
        let (mut fleet, mut now, mut sent) = (fleet(), 0.0, 0.0);
        for (who, later, term, flags, junk) in steps {
            now += f64::from(later) * if flags & 64 == 0 { 0.01 } else { 1.0 };
            let mut row = row(&format!("n{}", who % 5), 500 + u64::from(who / 5 % 3), now, &fleet, None);
            (row.term, row.age) = (u32::from(term), later);
            row.says =
                [QuorumStatus::Joining, QuorumStatus::Majority, QuorumStatus::CutOff, QuorumStatus::Left]
                    [usize::from(flags % 4)];
            for heard in &mut row.heard {
                (heard.refused, heard.voted) = (u32::from(term % 7), u32::from(flags % 5));
                (heard.suspect, heard.direct) = (flags & 8 != 0, flags & 16 != 0);
            }
            let _ = hear(&mut fleet, now, row);
            let _ = fleet.receive(now, &junk);
            fleet.tick(now);
            for effect in fleet.take_effects() {
                match effect {
                    Effect::Send { bytes, .. } if bytes.len() > wire::MAX_DATAGRAM => return false,
                    Effect::Send { .. } => sent += 1.0,
                    _ => {}
                }
            }
            let rows = fleet.members.iter().filter_map(|member| member.row.as_ref());
            if rows.map(|row| row.heard.len()).sum::<usize>() > 3 * ROWS_UPTO {
                return false;
            }
            let _ = fleet.view(now);
        }
        sent <= AT_ONCE + PER_S * now / 1e3
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 22))
        .tests(400)
        .quickcheck(property as fn(Vec<(u8, u16, u8, u8, Vec<u8>)>) -> bool);
}
