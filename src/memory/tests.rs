use super::*;

#[test]
fn there_is_no_room_once_the_share_is_allocated() {
    assert_eq!(allocation_room(32_000_000, 0), 22_400_000);
    assert_eq!(allocation_room(32_000_000, 22_000_000), 400_000);
    assert_eq!(allocation_room(32_000_000, 30_000_000), 0);
}

#[test]
fn an_allocation_is_counted_until_it_is_freed() {
    const BYTES: usize = 50_000_000; // More than the tests beside this one hold.
    let before = measure::allocated_bytes();
    let held = vec![7u8; BYTES];
    assert!(measure::allocated_bytes() > before + BYTES / 2 && measure::resident_bytes() > BYTES);
    drop(held);
    assert!(measure::allocated_bytes() < before + BYTES / 2);
}
