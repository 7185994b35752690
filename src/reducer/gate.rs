//! The one place that decides whether an attempt may begin, at the last point where it can still be stopped: as its first
//! byte would leave. It goes by the reducer's own state, whatever was decided before. Beside it, what a client may be told
//! of a request that ends before its answer has come.

use super::*;
use crate::reasons::Withheld;

/// An attempt may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// What is passed on as its time: what is left of its own time-out and of its client's patience.
    pub limit_ms: Millis,
}

impl Reducer {
    /// Whether an attempt may begin now.
    pub fn permit(&mut self, now: Millis, attempt: AttemptKey) -> Result<Permit, Withheld> {
        let permit = self.may_begin(now, attempt);
        if let Err(reason) = permit {
            self.counters.reasons.withheld.add(reason);
        }
        permit
    }

    fn may_begin(&self, now: Millis, attempt: AttemptKey) -> Result<Permit, Withheld> {
        let out = self.out.get(&attempt).ok_or(Withheld::UnknownAttempt)?;
        let held = self.held.get(&out.client).ok_or(Withheld::UnknownAttempt)?;
        let serves = |name: &CacheId| self.members.get(name).is_some_and(|m| m.phase == Phase::Serving);
        let others = || held.out.iter().filter(|key| **key != attempt).filter_map(|key| self.out.get(key));
        let begun = |other: &Out| other.progress != Progress::NotConnected;
        let fragile = self.repeat_of(held) == Repeat::Fragile;
        let own_left = if out.timeout_ms > 0.0 { out.timeout_ms - (now - out.sent) } else { f64::INFINITY };
        let limit_ms = own_left.min(held.guard - now);
        let reasons = [
            (!serves(&out.cache), Withheld::EndpointLeaving),
            (!serves(&out.source), Withheld::SourceLeaving),
            (fragile && (held.may_have_run || others().any(begun)), Withheld::MayHaveRun),
            (!self.settings.limits.hedging && others().any(begun), Withheld::ConcurrentAttempt),
            (now > out.send_by, Withheld::SendWindowExpired),
            (limit_ms < 1.0, Withheld::ClientDeadlineExpired),
        ];
        match reasons.into_iter().find(|(holds, _)| *holds) {
            Some((_, reason)) => Err(reason),
            None => Ok(Permit { limit_ms }),
        }
    }

    /// Whether a request may be called refused, which tells its client that a repeat does no harm.
    pub(super) fn refusal_is_harmless(&self, held: &Held) -> bool {
        let out = held.out.iter().filter_map(|key| self.out.get(key));
        let mut begun = out.map(|out| out.progress != Progress::NotConnected);
        match self.repeat_of(held) {
            Repeat::Retryable | Repeat::Dedup { scope: DedupScope::All, .. } => true,
            Repeat::Fragile | Repeat::Dedup { .. } => !held.may_have_run && !begun.any(|begun| begun),
        }
    }

    /// How a request's class may be repeated.
    fn repeat_of(&self, held: &Held) -> Repeat {
        let class = self.classes.get(&held.ask.class).and_then(|(at, _)| self.settings.classes.get(*at));
        class.map_or(Repeat::Fragile, |class| class.repeat)
    }
}
