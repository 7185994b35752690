use super::*;

#[test]
fn the_daemons_log_lines_are_parsed() {
    let log = "frostturn: fleet lab: n0 hears the others at 127.0.0.1:7, start 1800000000123\n\
        frostturn: fleet: majority in term 2 since 1234.5, at 1234.6; 5 of 12 answer\n\
        frostturn: fleet: n11 is gone at 99.5 (start 1800000000007, term 3): 7 of 12 have given it up\n\
        frostturn: fleet: this process stood still for 500 ms until 7\n";
    let (logged, number) = parse_log(log, 4, 1);
    let majority = FleetEvent::StatusChanged { status: QuorumStatus::Majority, term: 2, since: 1234.5 };
    let gone = FleetEvent::MemberChanged { other: 11, start: 1_800_000_000_007, term: 3, state: State::Gone };
    assert_eq!(number, 1_800_000_000_123);
    let events: Vec<(f64, FleetEvent)> = logged.into_iter().map(|one| (one.at, one.event)).collect();
    assert_eq!(events, [(1234.6, majority), (99.5, gone)]);
}
