use super::super::check::{evaluate, Figures, GroundTruth};
use super::*;

const SPAN_MS: Millis = 40_000.0;
/// Seeds per run, limited so that the test takes some seconds.
const SEEDS: u64 = 16;

fn played(seed: u64, routers: usize) -> (Figures, Cost) {
    let schedule = Schedule::draw(seed, routers, SPAN_MS);
    let SimulationResult { logged, starts, cost } = simulate(&schedule, routers, seed, SPAN_MS);
    let done: Vec<(Millis, FaultAction)> =
        schedule.0.iter().map(|step| (step.at_ms, step.what.clone())).collect();
    (evaluate(&GroundTruth::new(0.0, &done, starts, SPAN_MS), &logged), cost)
}

#[test]
fn random_faults_keep_every_bound_at_twelve_and_sixteen_routers() {
    let mut bad = Vec::new();
    for (routers, seed) in (0..SEEDS).map(|seed| (12, seed)).chain((0..6).map(|seed| (16, seed))) {
        let (figures, cost) = played(seed, routers);
        let broken: Vec<_> = figures.bounds().into_iter().filter(|bound| !bound.kept).collect();
        if !broken.is_empty() || cost.datagrams_s > 12.0 || cost.bytes_s > 10_000.0 {
            let schedule = Schedule::draw(seed, routers, SPAN_MS).print();
            let what = &figures.examples;
            bad.push(format!("{routers}, seed {seed}: {broken:?} {cost:?} {what:?}\n{schedule}"));
        }
    }
    assert!(bad.is_empty(), "{} runs:\n{}", bad.len(), bad.join("\n"));
}

/// Checks what must hold at every instant, and the cost, at sizes with membership epochs; the detection
/// times at these sizes are checked by `run fleet-sim`.
#[test]
fn random_faults_never_violate_the_invariants_of_membership_epochs() {
    let sizes = (0..6).map(|seed| (24, seed)).chain((0..3).map(|seed| (100, seed)));
    for (routers, seed) in sizes {
        let (figures, cost) = played(seed, routers);
        let shown = (figures.knows_first, figures.false_gone);
        assert_eq!(shown, (0, 0), "{routers}, seed {seed}: {:?}", figures.examples);
        assert!(cost.datagrams_s <= 12.0 && cost.bytes_s <= 10_000.0, "{routers}, seed {seed}: {cost:?}");
    }
}

/// A third of the routers dies while links lose three datagrams in ten. The coordinators gather the names
/// of the dead in their rounds; routers don't gather them by themselves at these sizes.
#[test]
fn the_death_of_a_third_is_detected_in_time_over_lossy_links() {
    for (routers, seed) in [(24, 13), (100, 1)] {
        let (figures, _) = played(seed, routers);
        let gone = super::super::check::p99(&figures.gone_ms);
        assert!(gone <= 10_000.0, "{routers}, seed {seed}: {gone}: {:?}", figures.examples);
    }
}
