use super::*;

#[test]
fn all_routers_compute_the_same_roles_and_they_change_with_each_epoch() {
    let roles_at = |epoch| roles(epoch, 300, |router| router % 3 != 0);
    assert_eq!(roles_at(7), roles_at(7));
    assert_eq!((roles_at(7).coordinators.len(), roles_at(7).aggregators.len()), (COORDINATORS, 18));
    assert!(roles_at(7)
        .coordinators
        .iter()
        .all(|router| router % 3 != 0 && !roles_at(7).aggregators.contains(router)));
    let mut first = vec![0; 300];
    (0..3000).for_each(|epoch| first[roles_at(epoch).coordinators[0]] += 1);
    assert!(first.iter().enumerate().all(|(router, times)| *times < 50 && (*times > 0 || router % 3 == 0)));
    let one = roles_at(7);
    assert!(
        !one.report_targets(5, 7).contains(&5)
            && one.report_targets(5, 7).iter().all(|router| one.aggregators.contains(router))
    );
    assert!(
        one.epoch_length_ms(one.coordinators[0], 500.0, 0.9)
            < one.epoch_length_ms(one.coordinators[1], 500.0, 0.0)
    );
    assert!(one.epoch_length_ms(one.coordinators[2], 500.0, 0.9) < one.epoch_length_ms(0, 500.0, 0.0));
    let mut heard = vec![0; 300];
    (0..300).for_each(|me| forward_targets(7, me, 300).for_each(|router| heard[router] += 1));
    assert!(
        heard.iter().all(|times| *times == FORWARD_TARGETS)
            && forward_targets(7, 0, 1).all(|router| router == 0)
    );
    assert_eq!(roles(7, 3, |_| true).aggregators, Vec::<usize>::new());
    assert_eq!(roles(7, 3, |_| false), Roles::default());
}
