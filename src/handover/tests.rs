use super::*;
use crate::service::MAX_EXCLUSIONS;
use quickcheck::{Gen, QuickCheck};

const BOOT: &str = "this boot";

fn at(ms: Millis) -> ClockReading {
    ClockReading { boot: BootTime(ms), unix: UnixTime(1e12 + ms) }
}

fn state() -> State {
    let mut state = State::new("127.0.0.1:7", BOOT);
    state.record_process(7, false, BootTime(1e6));
    assert_eq!(state.set_excluded(7, false, "s-1", true, BootTime(1e6)), Ok(()));
    assert_eq!(state.set_excluded(7, false, "s-2", true, BootTime(1e6)), Ok(()));
    state
}

#[test]
fn a_file_is_taken_whole_or_refused_with_its_reason() {
    let bytes = state().encode(at(1e6)).expect("small");
    let read = |bytes: &[u8], listen| State::decode(bytes, listen, BOOT, at(1e6));
    assert_eq!(read(&bytes, "127.0.0.1:7"), Ok(state()));
    assert_eq!(read(&bytes, "127.0.0.1:8"), Err(StateError::OtherRouter));
    assert_eq!(read(b"{}", "127.0.0.1:7"), Err(StateError::UnknownFormat));
    assert_eq!(read(&vec![0; MAX_FILE_BYTES + 1], "127.0.0.1:7"), Err(StateError::TooLarge));
    assert!(
        (MAGIC.len()..bytes.len()).all(|at| read(&bytes[..at], "127.0.0.1:7") == Err(StateError::Corrupt))
    );
    for at in MAGIC.len()..bytes.len() {
        let mut torn = bytes.clone();
        torn[at] ^= 4;
        assert_eq!(read(&torn, "127.0.0.1:7"), Err(StateError::Corrupt), "byte {at}");
    }
    // As many of the longest names as may be out still find room; what is more isn't written at all.
    let mut full = State::new("127.0.0.1:7", BOOT);
    let longest = |at: usize| format!("{at:0>256}");
    while full.set_excluded(7, false, &longest(full.excluded().names().count()), true, BootTime(0.0)).is_ok()
    {
    }
    for at in 0..MOST_REMEMBERED {
        assert_eq!(full.set_excluded(7, false, &longest(MAX_EXCLUSIONS + at), false, BootTime(0.0)), Ok(()));
    }
    assert_eq!(full.excluded().names().count(), MAX_EXCLUSIONS);
    assert!(full.encode(at(0.0)).is_some_and(|bytes| bytes.len() <= MAX_FILE_BYTES));
    full.listen = "x".repeat(MAX_FILE_BYTES);
    assert_eq!(full.encode(at(0.0)), None);
}

#[test]
fn a_file_is_as_old_as_the_steady_clock_says_however_the_wall_clock_steps() {
    let saved = state();
    let bytes = saved.encode(at(1e6)).expect("small");
    for step in [-3_600_000.0, -3000.0, 0.0, 3000.0, 3_600_000.0] {
        let later = ClockReading { boot: BootTime(1e6 + 9000.0), unix: UnixTime(1e12 + 1e6 + 9000.0 + step) };
        let read = State::decode(&bytes, "127.0.0.1:7", BOOT, later);
        assert_eq!(read.as_ref(), Ok(&saved), "a step of {step}");
        assert!(!read.is_ok_and(|state| state.is_stale(BOOT, later.boot)));
    }
    assert!(
        saved.is_stale(BOOT, BootTime(1e6 + STALE_AFTER_MS + 1.0))
            && saved.is_stale(BOOT, BootTime(f64::NAN))
    );
    assert!(saved.is_stale("another boot", BootTime(1e6)));
}

/// A file as version 0.1 wrote it, and as it read one.
type EarlierVersion = (Millis, String, BTreeMap<String, Millis>, BTreeMap<u64, (Millis, bool)>);

fn framed(body: &[u8]) -> Vec<u8> {
    let sum = XxHash64::oneshot(0, body).to_le_bytes();
    [&MAGIC[..], &(body.len() as u32).to_le_bytes(), &sum, body].concat()
}

#[test]
fn a_process_of_an_earlier_version_is_understood_and_understands() {
    let now = at(1e6);
    // It reads what is written now: the names, and ages by the wall clock.
    let bytes = state().encode(now).expect("small");
    let body = &bytes[HEAD..];
    let (seen, _): (EarlierVersion, _) =
        postcard::take_from_bytes(body).expect("it passes over what it doesn't know");
    assert_eq!((seen.0, seen.1.as_str()), (now.unix.0, "127.0.0.1:7"));
    assert_eq!(seen.2.keys().collect::<Vec<_>>(), ["s-1", "s-2"]);
    assert_eq!(seen.3.get(&7), Some(&(now.unix.0, false)));
    // What it writes is the whole truth: a name that it took back is back.
    let written: EarlierVersion =
        (now.unix.0, "127.0.0.1:7".to_owned(), BTreeMap::from([("s-2".to_owned(), now.unix.0)]), seen.3);
    let bytes = framed(&postcard::to_stdvec(&written).expect("small"));
    let read = State::decode(&bytes, "127.0.0.1:7", BOOT, at(1e6 + 100.0)).expect("readable");
    let mut own = state();
    assert!(!own.has_changes_unknown_to(&read));
    own.merge(&read);
    assert_eq!(own.excluded().names().collect::<Vec<_>>(), ["s-2"]);
    let long_gone = at(1e6 + STALE_AFTER_MS + 1.0);
    assert_eq!(State::decode(&bytes, "127.0.0.1:7", BOOT, long_gone), Err(StateError::Stale));
}

#[test]
fn of_two_states_the_later_call_about_a_machine_wins_whichever_is_merged_into_which() {
    fn property(calls: Vec<(bool, u8, bool)>) -> bool {
        let mut both = [State::new("x", BOOT), State::new("x", BOOT)];
        let mut last: BTreeMap<String, bool> = BTreeMap::new();
        for (at, (second, name, out)) in calls.into_iter().enumerate() {
            let name = format!("s-{}", name % 4);
            let state = &mut both[usize::from(second)];
            assert_eq!(state.set_excluded(u64::from(second), false, &name, out, BootTime(at as f64)), Ok(()));
            last.insert(name, out);
        }
        let [mut a, mut b] = both;
        let (a_before, b_before) = (a.clone(), b.clone());
        a.merge(&b_before);
        b.merge(&a_before);
        let names: Vec<&str> = last.iter().filter(|(_, out)| **out).map(|(name, _)| name.as_str()).collect();
        let same = a.excluded().names().eq(names.iter().copied()) && b.excluded().names().eq(names);
        same && !a.has_changes_unknown_to(&b) && !b.has_changes_unknown_to(&a)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 9))
        .tests(500)
        .quickcheck(property as fn(Vec<(bool, u8, bool)>) -> bool);
}

#[test]
fn that_a_machine_was_taken_back_is_remembered_for_long_and_not_for_ever() {
    let mut state = state();
    assert_eq!(state.set_excluded(7, false, "s-1", false, BootTime(2e6)), Ok(()));
    state.expire(BootTime(2e6 + REMEMBERED_MS), |_| true);
    assert_eq!(state.calls.len(), 2);
    state.expire(BootTime(2e6 + REMEMBERED_MS + 1.0), |_| true);
    assert_eq!(state.calls.keys().collect::<Vec<_>>(), ["s-2"]);
    for at in 0..2 * MOST_REMEMBERED {
        let _ = state.set_excluded(7, false, &format!("t-{at:04}"), false, BootTime(3e6 + at as f64));
    }
    state.expire(BootTime(3e6 + 1000.0), |_| true);
    assert_eq!(state.calls.len(), 1 + MOST_REMEMBERED);
    assert!(state.calls.contains_key("t-0511") && !state.calls.contains_key("t-0000"));
}

/// What the words alone tell of whether a process runs.
fn by_word(_: u64) -> Option<bool> {
    None
}

#[test]
fn the_cold_budget_is_shared_by_those_that_serve_and_left_by_those_that_end() {
    let mut state = State::default();
    let part = |state: &State, id, at| state.cold_share(id, BootTime(at), by_word);
    let parts = |state: &State, at| [1, 2, 3].map(|id| part(state, id, at));
    state.record_process(1, false, BootTime(0.0));
    assert_eq!(part(&state, 1, 0.0), 1.0);
    state.record_process(2, false, BootTime(10.0));
    assert_eq!(parts(&state, 10.0)[..2], [0.5, 0.5]);
    state.record_process(1, true, BootTime(20.0));
    assert_eq!(parts(&state, 20.0)[..2], [0.0, 1.0], "the successor has all of it");
    state.record_process(3, false, BootTime(30.0));
    assert_eq!(parts(&state, 30.0), [0.0, 0.5, 0.5]);
    state.remove_process(3, BootTime(40.0));
    assert_eq!(part(&state, 2, 40.0), 1.0);
    // A successor that dies leaves the one that ends with what it had; it is noticed by its silence.
    assert_eq!(part(&state, 1, 10.0 + PROCESS_TIMEOUT_MS), 0.0);
    assert_eq!(part(&state, 1, 10.1 + PROCESS_TIMEOUT_MS), 1.0);
    // Or at once, where the system tells; and one that runs and can't say so counts.
    assert_eq!(state.cold_share(1, BootTime(40.0), |id| Some(id != 2)), 1.0);
    assert_eq!(state.cold_share(1, BootTime(1e6), |_| Some(true)), 0.0);
    for id in 10..40 {
        state.remove_exited(BootTime(f64::from(id as u32)), by_word);
        state.record_process(id, false, BootTime(f64::from(id as u32)));
    }
    assert_eq!(state.processes.len(), MOST_PROCESSES);
    assert!(state.processes.contains_key(&39) && !state.processes.contains_key(&10));
}

#[test]
fn whoever_shares_the_budget_never_spends_more_than_all_of_it() {
    fn property(words: Vec<(u8, bool, u16)>) -> bool {
        let (mut state, mut now) = (State::default(), 0.0);
        words.into_iter().all(|(id, ends, later)| {
            now += f64::from(later % 3000);
            state.remove_exited(BootTime(now), by_word);
            state.record_process(u64::from(id % 5), ends, BootTime(now));
            let serving = |id: &u64| !state.processes[id].ends;
            let all: Vec<u64> = state.processes.keys().copied().collect();
            let sum = |ids: Vec<u64>| {
                ids.iter().map(|id| state.cold_share(*id, BootTime(now), by_word)).sum::<f64>()
            };
            let served: Vec<u64> = all.iter().copied().filter(serving).collect();
            // Those that end with nobody to follow them have it all, each: their requests are the last.
            served.is_empty() || (sum(all) - 1.0).abs() < 1e-9 && (sum(served) - 1.0).abs() < 1e-9
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 3))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, bool, u16)>) -> bool);
}

#[test]
fn no_bytes_make_the_reader_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let _ = State::decode(&bytes, "", BOOT, at(0.0));
        let _ = State::decode(&framed(&bytes), "", BOOT, at(0.0));
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 8))
        .tests(2000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
