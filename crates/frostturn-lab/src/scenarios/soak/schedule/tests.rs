use super::*;
use std::collections::BTreeSet;

/// Returns the kinds of actions in a schedule.
fn kinds(schedule: &Schedule) -> BTreeSet<&'static str> {
    let kind = |act: &Act| match act {
        Act::Evacuate(_) => "evacuate",
        Act::Rejoin(_) => "rejoin",
        Act::Terminate(_) => "terminate",
        Act::StartBeside(_) => "start beside",
        Act::Reload(_) => "reload",
        Act::Crowd(_) => "crowd",
        Act::Fail(..) => "fail",
        Act::Heal(_) => "heal",
        Act::Leave(_) => "leave",
    };
    schedule.steps.iter().map(|(_, act)| kind(act)).collect()
}

#[test]
fn a_seed_determines_its_schedule_and_fifty_seeds_combine_every_pair_of_actions() {
    let all: Vec<Schedule> = (1..=50).map(Schedule::draw).collect();
    assert_eq!(all[6], Schedule::draw(7));
    let met: BTreeSet<_> = all
        .iter()
        .flat_map(|one| {
            let kinds = kinds(one);
            kinds.iter().flat_map(|a| kinds.iter().map(|b| (*a, *b))).collect::<Vec<_>>()
        })
        .collect();
    assert_eq!(met.len(), 9 * 9, "{met:?}");
    let scales: BTreeSet<_> = all.iter().map(|one| (one.deadline_scale * 100.0) as u64).collect();
    assert_eq!(scales.len(), DEADLINE_SCALES.len());
}

#[test]
fn the_two_seeds_of_the_soak_test_evacuate_and_terminate_routers_and_have_short_deadlines() {
    let both: Vec<Schedule> = [1, 2].map(Schedule::draw).into();
    let met: BTreeSet<_> = both.iter().flat_map(kinds).collect();
    assert!(
        ["evacuate", "rejoin", "terminate", "start beside", "crowd"].iter().all(|kind| met.contains(kind)),
        "{met:?}"
    );
    assert!(both.iter().any(|one| one.deadline_scale < 1.0), "{both:?}");
}
