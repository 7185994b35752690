use super::*;
use alloc::vec;
use quickcheck::{Gen, QuickCheck};

#[test]
fn views_of_newer_versions_are_decoded() {
    let mut bytes = Vec::new();
    ViewHead { class: 3, now_ms: 9, ..ViewHead::default() }.write(&[Machine::default()], &mut bytes);
    // The head and the machines of a newer version are 8 bytes longer.
    let (head, machine) = bytes.split_at(HEAD);
    let mut newer = [head, &[7; 8], machine, &[7; 8]].concat();
    newer[6] += 8;
    newer[10] += 8;
    let view = View::read(&newer).expect("a valid view");
    assert_eq!((view.head().class, view.machine(0).is_some(), view.machine(1)), (3, true, None));
}

#[test]
fn unknown_records_are_skipped_and_a_truncated_record_ends_the_advice() {
    let mut out = vec![9, 0, 2, 0, 1, 1];
    Advice::Keep(2).write(&mut out);
    out.extend([5, 0, 200, 0, 1]);
    assert_eq!(advice(&out).collect::<Vec<_>>(), [Ok(Advice::Keep(2)), Err(Malformed)]);
}

#[test]
fn decoding_never_panics() {
    fn property(bytes: Vec<u8>) -> bool {
        if let Some(view) = View::read(&bytes) {
            let _ = view.head();
            assert!((0..view.machines()).all(|at| view.machine(at).is_some()));
        }
        advice(&bytes).count() <= bytes.len()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 5))
        .tests(3000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
