use super::*;

#[test]
fn a_schedule_depends_only_on_its_seed_can_be_read_back_and_ends_in_time() {
    for seed in 0..200 {
        let drawn = Schedule::draw(seed, 12, 40_000.0);
        assert_eq!(drawn, Schedule::draw(seed, 12, 40_000.0));
        assert_eq!(Schedule::read(&drawn.print()).as_ref(), Ok(&drawn));
        assert!(drawn.last_step_ms() <= 40_000.0 - FINAL_QUIET_MS && drawn.0.len() >= 4, "{drawn:?}");
        // Every killed or suspended router returns.
        let back = |step: &Step| match &step.what {
            FaultAction::Kill(these) => {
                drawn.0.iter().any(|s| s.at_ms > step.at_ms && s.what == FaultAction::Start(these.clone()))
            }
            FaultAction::Stop(these) => {
                drawn.0.iter().any(|s| s.at_ms > step.at_ms && s.what == FaultAction::Resume(these.clone()))
            }
            _ => true,
        };
        assert!(drawn.0.iter().all(back), "{seed}: {drawn:?}");
    }
    assert!(Schedule::read("{\"at_ms\": 1}").unwrap_err().starts_with("line 1: "));
}
