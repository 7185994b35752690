use super::*;
use std::collections::BTreeSet;

fn keys_are_names_and_differ<R: Reason>() {
    let keys: BTreeSet<&str> = R::ALL.iter().map(|reason| reason.key()).collect();
    assert_eq!(keys.len(), R::ALL.len(), "two reasons share a name");
    assert!(keys.iter().all(|key| key.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_')));
}

#[test]
fn every_reason_has_a_counter_name_of_its_own() {
    keys_are_names_and_differ::<ClientClose>();
    keys_are_names_and_differ::<EndpointClose>();
    keys_are_names_and_differ::<Refusal>();
    keys_are_names_and_differ::<AttemptCause>();
    keys_are_names_and_differ::<Withheld>();
    keys_are_names_and_differ::<Violation>();
}

#[test]
fn counts_are_written_by_reason_and_only_those_that_were_given() {
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
