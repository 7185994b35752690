use super::*;

#[test]
fn ids_are_remembered_for_a_while_and_up_to_a_number() {
    let mut ids = RecentIds::default();
    ids.insert(0.0, 1);
    ids.insert(20_000.0, 2);
    ids.insert(25_000.0, 1);
    assert!(ids.contains(30_000.0, 1) && ids.contains(50_000.0, 2) && !ids.contains(50_001.0, 2));
    assert!(ids.contains(55_000.0, 1), "the later end counts");
    ids.insert(60_000.0, 3);
    assert_eq!(ids.ids().collect::<Vec<_>>(), [3], "expired ones are removed");
    for id in 10..10 + 2 * MAX_IDS as u64 {
        ids.insert(61_000.0, id);
    }
    assert_eq!((ids.order.len(), ids.ended_at.len()), (MAX_IDS, MAX_IDS));
    assert!(!ids.contains(61_000.0, 10) && ids.contains(61_000.0, 9 + 2 * MAX_IDS as u64));
}

#[test]
fn client_ids_are_hexadecimal_numbers() {
    assert_eq!(parse_client_id("9b1f03aa5c7e2d41"), Some(0x9b1f_03aa_5c7e_2d41));
    assert_eq!(parse_client_id("c1x"), None);
}
