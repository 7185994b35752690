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
fn a_file_is_decoded_completely_or_rejected_with_the_reason() {
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
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 4;
        assert_eq!(read(&corrupt, "127.0.0.1:7"), Err(StateError::Corrupt), "byte {at}");
    }
    // The maximum number of exclusions fits with the longest names; a larger state is not encoded.
    let mut full = State::new("127.0.0.1:7", BOOT);
    let longest = |at: usize| format!("{at:0>256}");
    while full.set_excluded(7, false, &longest(full.excluded().names().count()), true, BootTime(0.0)).is_ok()
    {
    }
    for at in 0..MAX_REMEMBERED_INCLUSIONS {
        assert_eq!(full.set_excluded(7, false, &longest(MAX_EXCLUSIONS + at), false, BootTime(0.0)), Ok(()));
    }
    assert_eq!(full.excluded().names().count(), MAX_EXCLUSIONS);
    assert!(full.encode(at(0.0)).is_some_and(|bytes| bytes.len() <= MAX_FILE_BYTES));
    full.listen = "x".repeat(MAX_FILE_BYTES);
    assert_eq!(full.encode(at(0.0)), None);
}

#[test]
fn the_age_of_a_file_does_not_depend_on_steps_of_the_wall_clock() {
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

/// The content of a file as version 0.1 writes and reads it.
type EarlierVersion = (Millis, String, BTreeMap<String, Millis>, BTreeMap<u64, (Millis, bool)>);

fn framed(body: &[u8]) -> Vec<u8> {
    let sum = XxHash64::oneshot(0, body).to_le_bytes();
    [&MAGIC[..], &(body.len() as u32).to_le_bytes(), &sum, body].concat()
}

#[test]
fn files_are_exchanged_with_processes_of_an_earlier_version() {
    let now = at(1e6);
    // An earlier version reads the names, and ages by the wall clock.
    let bytes = state().encode(now).expect("small");
    let body = &bytes[HEADER_BYTES..];
    let (seen, _): (EarlierVersion, _) =
        postcard::take_from_bytes(body).expect("an earlier version ignores the rest");
    assert_eq!((seen.0, seen.1.as_str()), (now.unix.0, "127.0.0.1:7"));
    assert_eq!(seen.2.keys().collect::<Vec<_>>(), ["s-1", "s-2"]);
    assert_eq!(seen.3.get(&7), Some(&(now.unix.0, false)));
    // A file of an earlier version is complete: a machine that it does not name is included again.
    let written: EarlierVersion =
        (now.unix.0, "127.0.0.1:7".to_owned(), BTreeMap::from([("s-2".to_owned(), now.unix.0)]), seen.3);
    let bytes = framed(&postcard::to_stdvec(&written).expect("small"));
    let read = State::decode(&bytes, "127.0.0.1:7", BOOT, at(1e6 + 100.0)).expect("readable");
    let mut own = state();
    assert!(!own.has_changes_unknown_to(&read));
    own.merge(&read);
    assert_eq!(own.excluded().names().collect::<Vec<_>>(), ["s-2"]);
    let expired = at(1e6 + STALE_AFTER_MS + 1.0);
    assert_eq!(State::decode(&bytes, "127.0.0.1:7", BOOT, expired), Err(StateError::Stale));
}

#[test]
fn merging_keeps_the_later_change_of_a_machine_in_either_direction() {
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
fn an_inclusion_is_remembered_for_a_limited_time() {
    let mut state = state();
    assert_eq!(state.set_excluded(7, false, "s-1", false, BootTime(2e6)), Ok(()));
    state.expire(BootTime(2e6 + INCLUSION_RETENTION_MS), |_| true);
    assert_eq!(state.changes.len(), 2);
    state.expire(BootTime(2e6 + INCLUSION_RETENTION_MS + 1.0), |_| true);
    assert_eq!(state.changes.keys().collect::<Vec<_>>(), ["s-2"]);
    for at in 0..2 * MAX_REMEMBERED_INCLUSIONS {
        let _ = state.set_excluded(7, false, &format!("t-{at:04}"), false, BootTime(3e6 + at as f64));
    }
    state.expire(BootTime(3e6 + 1000.0), |_| true);
    assert_eq!(state.changes.len(), 1 + MAX_REMEMBERED_INCLUSIONS);
    assert!(state.changes.contains_key("t-0511") && !state.changes.contains_key("t-0000"));
}

/// A liveness check that knows nothing, so that the age of the entries decides.
fn unknown_liveness(_: u64) -> Option<bool> {
    None
}

#[test]
fn serving_processes_share_the_cold_budget_and_terminating_ones_leave_it() {
    let mut state = State::default();
    let part = |state: &State, id, at| state.cold_share(id, BootTime(at), unknown_liveness);
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
    // When its successor dies, a terminating process gets the budget back, once the successor's entry has
    // expired.
    assert_eq!(part(&state, 1, 10.0 + PROCESS_TIMEOUT_MS), 0.0);
    assert_eq!(part(&state, 1, 10.1 + PROCESS_TIMEOUT_MS), 1.0);
    // A liveness check that knows takes effect at once, also for a process that can't update its entry.
    assert_eq!(state.cold_share(1, BootTime(40.0), |id| Some(id != 2)), 1.0);
    assert_eq!(state.cold_share(1, BootTime(1e6), |_| Some(true)), 0.0);
    for id in 10..40 {
        state.remove_exited(BootTime(f64::from(id as u32)), unknown_liveness);
        state.record_process(id, false, BootTime(f64::from(id as u32)));
    }
    assert_eq!(state.processes.len(), MAX_PROCESSES);
    assert!(state.processes.contains_key(&39) && !state.processes.contains_key(&10));
}

#[test]
fn the_shares_of_the_cold_budget_sum_up_to_at_most_the_whole() {
    fn property(updates: Vec<(u8, bool, u16)>) -> bool {
        let (mut state, mut now) = (State::default(), 0.0);
        updates.into_iter().all(|(id, terminating, later)| {
            now += f64::from(later % 3000);
            state.remove_exited(BootTime(now), unknown_liveness);
            state.record_process(u64::from(id % 5), terminating, BootTime(now));
            let serving = |id: &u64| !state.processes[id].terminating;
            let all: Vec<u64> = state.processes.keys().copied().collect();
            let sum = |ids: Vec<u64>| {
                ids.iter().map(|id| state.cold_share(*id, BootTime(now), unknown_liveness)).sum::<f64>()
            };
            let served: Vec<u64> = all.iter().copied().filter(serving).collect();
            // Terminating processes without a successor have the whole budget each: no other requests follow.
            served.is_empty() || (sum(all) - 1.0).abs() < 1e-9 && (sum(served) - 1.0).abs() < 1e-9
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 3))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, bool, u16)>) -> bool);
}

#[test]
fn decoding_never_panics() {
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
