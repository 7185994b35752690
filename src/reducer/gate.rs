//! The last check before an attempt is sent, made when its first byte is about to leave, and the rule for
//! calling an unanswered request refused. Both use the reducer's own state only, independently of earlier
//! decisions.

use super::*;
use crate::reasons::Withheld;

/// Permission to send an attempt now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// The time limit that is passed on to the machine: what is left of the attempt's time-out and of the
    /// time until the request's answer deadline.
    pub limit_ms: Millis,
}

impl Reducer {
    /// Returns whether an attempt may be sent now, and counts each denial.
    pub fn permit(&mut self, now: Millis, attempt: AttemptKey) -> Result<Permit, Withheld> {
        let permit = self.check_send(now, attempt);
        if let Err(reason) = permit {
            self.counters.reasons.withheld.add(reason);
        }
        permit
    }

    fn check_send(&self, now: Millis, key: AttemptKey) -> Result<Permit, Withheld> {
        let attempt = self.attempts.get(&key).ok_or(Withheld::UnknownAttempt)?;
        let pending = self.pending.get(&attempt.request_key).ok_or(Withheld::UnknownAttempt)?;
        let serves = |name: &CacheId| self.machines.get(name).is_some_and(|m| m.phase == Phase::Serving);
        let others = || {
            pending
                .in_flight
                .iter()
                .filter(|other| **other != key)
                .filter_map(|other| self.attempts.get(other))
        };
        let started = |other: &PendingAttempt| other.progress != Progress::NotConnected;
        let fragile = self.repeat_policy(pending) == Repeat::Fragile;
        let own_left = if attempt.timeout_ms > 0.0 {
            attempt.timeout_ms - (now - attempt.started_at)
        } else {
            f64::INFINITY
        };
        let limit_ms = own_left.min(pending.answer_by - now);
        let reasons = [
            (!serves(&attempt.cache), Withheld::EndpointLeaving),
            (!serves(&attempt.source), Withheld::SourceLeaving),
            (fragile && (pending.may_have_run || others().any(started)), Withheld::MayHaveRun),
            (!self.settings.limits.hedging && others().any(started), Withheld::ConcurrentAttempt),
            (now > attempt.send_by, Withheld::SendWindowExpired),
            (limit_ms < 1.0, Withheld::ClientDeadlineExpired),
        ];
        match reasons.into_iter().find(|(holds, _)| *holds) {
            Some((_, reason)) => Err(reason),
            None => Ok(Permit { limit_ms }),
        }
    }

    /// Returns whether the rest of a partly written attempt may be sent now, and counts each denial. An attempt
    /// arrives with its last byte, so the window for repeats of its request binds that one too.
    pub fn permit_rest(&mut self, now: Millis, key: AttemptKey) -> Result<(), Withheld> {
        let pending = self.attempts.get(&key).and_then(|attempt| self.pending.get(&attempt.request_key));
        let is_over = pending.is_some_and(|pending| {
            let Repeat::Dedup { window_ms, .. } = self.repeat_policy(pending) else { return false };
            let begun = |other: &AttemptKey| {
                let other = self.attempts.get(other).filter(|_| *other != key);
                other.is_some_and(|other| other.progress != Progress::NotConnected)
            };
            let repeats = pending.may_have_run || pending.in_flight.iter().any(begun);
            repeats && pending.first_sent_at.is_some_and(|at| now - at > window_ms)
        });
        if is_over {
            self.counters.reasons.withheld.add(Withheld::RepeatWindowExpired);
            return Err(Withheld::RepeatWindowExpired);
        }
        Ok(())
    }

    /// Returns whether a request may be refused, which tells its client that a repeat does no harm.
    pub(super) fn may_refuse(&self, pending: &PendingRequest) -> bool {
        match self.repeat_policy(pending) {
            Repeat::Retryable | Repeat::Dedup { scope: DedupScope::All, .. } => true,
            Repeat::Fragile | Repeat::Dedup { .. } => !self.may_have_run(pending),
        }
    }

    /// Returns whether an attempt of a request may have run, or be running.
    pub(super) fn may_have_run(&self, pending: &PendingRequest) -> bool {
        let mut attempts = pending.in_flight.iter().filter_map(|key| self.attempts.get(key));
        pending.may_have_run || attempts.any(|attempt| attempt.progress != Progress::NotConnected)
    }

    /// Returns whether and how requests of a request's class may be repeated. An unknown class counts as
    /// fragile.
    fn repeat_policy(&self, pending: &PendingRequest) -> Repeat {
        let class =
            self.classes.get(&pending.request.class).and_then(|(at, _)| self.settings.classes.get(*at));
        class.map_or(Repeat::Fragile, |class| class.repeat)
    }
}
