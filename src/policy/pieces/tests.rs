use super::*;

fn named(number: u64) -> Piece {
    (ObjectId::from(format!("{number:016x}").as_str()), 0)
}

/// Guards against a stream of new names that fills the table, or forgets what is in demand.
#[test]
fn pieces_that_are_requested_once_take_the_place_of_none_that_is_in_demand() {
    const MAX_PIECES: usize = 100;
    const HOT: u64 = 20;
    let mut table = PieceTable::default();
    table.limit(MAX_PIECES);
    // The flood comes first: the table is full before anything else is requested.
    let mut flood = 1000..;
    let mut flood_with = |table: &mut PieceTable, pieces: usize| {
        for number in flood.by_ref().take(pieces) {
            assert!(table.request(&named(number), 1).is_some(), "{number}");
        }
    };
    flood_with(&mut table, 3 * MAX_PIECES);
    for round in 0..50 {
        for hot in 0..HOT {
            assert_eq!(table.contains(&named(hot)), round > 0, "{hot} in round {round}");
            let state = table.request(&named(hot), round).expect("it has a place");
            state.counts.current += 1;
            assert_eq!(i64::from(state.counts.current), round + 1);
            flood_with(&mut table, 3);
        }
        assert!(table.pieces.len() <= MAX_PIECES);
    }
}

#[test]
fn pieces_whose_requests_are_spread_are_not_forgotten() {
    let mut table = PieceTable::default();
    table.limit(4);
    for number in 0..4 {
        let state = table.request(&named(number), 0).expect("it has a place");
        state.spread = Some(Box::default());
    }
    assert!(table.request(&named(9), 0).is_none());
    table.forget_idle(2 * PIECE_IDLE_S);
    assert!((0..4).all(|number| table.contains(&named(number))));
}
