use super::*;
use quickcheck::{Gen, QuickCheck};

fn state() -> State {
    let mut state = State::new("127.0.0.1:7", Exclusions::default());
    state.say(7, false, 1e12);
    assert_eq!(state.excluded.change("s-1", true, 1e12), Ok(()));
    assert_eq!(state.excluded.change("s-2", true, 1e12), Ok(()));
    state
}

#[test]
fn a_file_is_taken_whole_or_refused_with_its_reason() {
    let bytes = state().write().expect("small");
    let read = |bytes: &[u8], listen, at| State::read(bytes, listen, at);
    assert_eq!(read(&bytes, "127.0.0.1:7", 1e12 + 9000.0), Ok(state()));
    assert_eq!(read(&bytes, "127.0.0.1:8", 1e12), Err(Refused::Other));
    assert_eq!(read(&bytes, "127.0.0.1:7", 1e12 + 16_000.0), Err(Refused::Old));
    assert_eq!(read(&bytes, "127.0.0.1:7", f64::NAN), Err(Refused::Old));
    assert_eq!(read(b"{}", "127.0.0.1:7", 1e12), Err(Refused::Foreign));
    assert_eq!(read(&vec![0; MAX_FILE + 1], "127.0.0.1:7", 1e12), Err(Refused::TooLarge));
    assert!(
        (MAGIC.len()..bytes.len()).all(|at| read(&bytes[..at], "127.0.0.1:7", 1e12) == Err(Refused::Torn))
    );
    for at in MAGIC.len()..bytes.len() {
        let mut torn = bytes.clone();
        torn[at] ^= 4;
        assert_eq!(read(&torn, "127.0.0.1:7", 1e12), Err(Refused::Torn), "byte {at}");
    }
    // As many of the longest names as may be out still find room; what is more isn't written at all.
    let mut full = state();
    let longest = |at: usize| format!("{at:0>256}");
    while full.excluded.change(&longest(full.excluded.names().count()), true, 0.0).is_ok() {}
    assert!(full.write().is_some_and(|bytes| bytes.len() <= MAX_FILE));
    full.listen = "x".repeat(MAX_FILE);
    assert_eq!(full.write(), None);
}

#[test]
fn the_cold_budget_is_shared_by_those_that_serve_and_left_by_those_that_end() {
    let mut state = State::default();
    let parts = |state: &State, at| [1, 2, 3].map(|id| state.cold_part(id, at));
    state.say(1, false, 0.0);
    assert_eq!(state.cold_part(1, 0.0), 1.0);
    state.say(2, false, 10.0);
    assert_eq!(parts(&state, 10.0)[..2], [0.5, 0.5]);
    state.say(1, true, 20.0);
    assert_eq!(parts(&state, 20.0)[..2], [0.0, 1.0], "the successor has all of it");
    state.say(3, false, 30.0);
    assert_eq!(parts(&state, 30.0), [0.0, 0.5, 0.5]);
    state.leave(3, 40.0);
    assert_eq!(state.cold_part(2, 40.0), 1.0);
    // A successor that dies leaves the one that ends with what it had; it is noticed by its silence.
    assert_eq!(state.cold_part(1, 10.0 + SILENT_MS), 0.0);
    assert_eq!(state.cold_part(1, 10.1 + SILENT_MS), 1.0);
    for id in 10..40 {
        state.say(id, false, f64::from(id as u32));
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
            state.say(u64::from(id % 5), ends, now);
            let serving = |id: &u64| !state.processes[id].ends;
            let all: Vec<u64> = state.processes.keys().copied().collect();
            let sum = |ids: Vec<u64>| ids.iter().map(|id| state.cold_part(*id, now)).sum::<f64>();
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
        let _ = State::read(&bytes, "", 0.0);
        let sum = XxHash64::oneshot(0, &bytes).to_le_bytes();
        let whole = [&MAGIC[..], &(bytes.len() as u32).to_le_bytes(), &sum, &bytes].concat();
        let _ = State::read(&whole, "", 0.0);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 8))
        .tests(2000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
