use super::*;
use std::collections::BTreeSet;

fn check_keys_are_unique_names<R: Reason>() {
    let keys: BTreeSet<&str> = R::ALL.iter().map(|reason| reason.key()).collect();
    assert_eq!(keys.len(), R::ALL.len(), "two reasons share a key");
    assert!(keys.iter().all(|key| key.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_')));
}

#[test]
fn every_reason_has_a_unique_counter_name() {
    check_keys_are_unique_names::<ClientClose>();
    check_keys_are_unique_names::<EndpointClose>();
    check_keys_are_unique_names::<Refusal>();
    check_keys_are_unique_names::<AttemptCause>();
    check_keys_are_unique_names::<Withheld>();
    check_keys_are_unique_names::<Violation>();
}

#[test]
fn counts_are_written_by_reason_for_reasons_that_occurred() {
    struct Shown(ReasonCounts<Refusal>);
    impl fmt::Display for Shown {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            self.0.write(f, "refused")
        }
    }
    let mut counts = ReasonCounts::default();
    counts.add(Refusal::Overload);
    counts.add(Refusal::Overload);
    counts.add(Refusal::ShuttingDown);
    assert_eq!(
        (counts.get(Refusal::Overload), counts.get(Refusal::DeadlineUnreachable), counts.total()),
        (2, 0, 3)
    );
    assert_eq!(Shown(counts).to_string(), " refused_shutting_down=1 refused_overload=2");
}
