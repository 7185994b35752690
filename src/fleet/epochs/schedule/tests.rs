use super::*;

#[test]
fn all_agree_on_who_has_which_role_and_it_is_others_in_each_epoch() {
    let roles_at = |epoch| roles(epoch, 300, |of| of % 3 != 0);
    assert_eq!(roles_at(7), roles_at(7));
    assert_eq!((roles_at(7).clerks.len(), roles_at(7).hubs.len()), (CLERKS, 18));
    assert!(roles_at(7).clerks.iter().all(|of| of % 3 != 0 && !roles_at(7).hubs.contains(of)));
    let mut first = vec![0; 300];
    (0..3000).for_each(|epoch| first[roles_at(epoch).clerks[0]] += 1);
    assert!(first.iter().enumerate().all(|(of, times)| *times < 50 && (*times > 0 || of % 3 == 0)));
    let one = roles_at(7);
    assert!(!one.up(5, 7).contains(&5) && one.up(5, 7).iter().all(|of| one.hubs.contains(of)));
    assert!(one.ends(one.clerks[0], 500.0, 0.9) < one.ends(one.clerks[1], 500.0, 0.0));
    assert!(one.ends(one.clerks[2], 500.0, 0.9) < one.ends(0, 500.0, 0.0));
    let mut heard = vec![0; 300];
    (0..300).for_each(|me| on(7, me, 300).for_each(|of| heard[of] += 1));
    assert!(heard.iter().all(|times| *times == ON) && on(7, 0, 1).all(|of| of == 0));
    assert_eq!(roles(7, 3, |_| true).hubs, Vec::<usize>::new());
    assert_eq!(roles(7, 3, |_| false), Roles::default());
}
