//! Restricts the advice of plug-ins to what the rules allow. The result names only machines that may be
//! chosen and never relaxes a limit; the decision module then weighs the advice within its own order.
//!
//! The interface has no advice that adds a target, an attempt or a copy, delays a request, or sends a request
//! again.

use crate::api::{Advice, CacheId, ClassSettings, Limits, Repeat, Retention};
use frostturn_plugin_kit::{advice, Advice as Record, Machine, Malformed};

/// The maximum strength by which a machine is favoured or avoided.
pub const MAX_STRENGTH: i16 = 100;
/// The maximum length of a label in bytes.
const MAX_LABEL_BYTES: usize = 32;
/// The maximum retry delay of a refused client if the settings give none.
const DEFAULT_MAX_RETRY_AFTER_MS: f64 = 5000.0;

/// What plug-ins may advise for a request.
#[derive(Clone, Copy, Debug)]
pub struct Permissions<'a> {
    /// The names of the machines in the view, all of which serve.
    pub names: &'a [CacheId],
    /// The machines in the view, in the same order.
    pub machines: &'a [Machine],
    /// The request's class.
    pub class: &'a ClassSettings,
    /// The site's limits.
    pub limits: &'a Limits,
    /// The operator's file allows this plug-in to refuse this class, and the request is not a repeat: a
    /// repeat may have been executed before.
    pub may_refuse: bool,
}

/// Advice that the rules allow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FilteredAdvice {
    /// The advice for the decision module.
    pub advice: Advice,
    /// Labels to count.
    pub labels: Vec<String>,
    /// The number of records that were dropped or limited.
    pub restricted: u64,
}

/// Decodes advice and restricts it to what is allowed.
pub fn filter(bytes: &[u8], allowed: &Permissions<'_>) -> Result<FilteredAdvice, Malformed> {
    let mut filtered = FilteredAdvice::default();
    for record in advice(bytes) {
        if !add(record?, allowed, &mut filtered) {
            filtered.restricted += 1;
        }
    }
    Ok(filtered)
}

/// Adds one record; returns false if the record was dropped or limited.
fn add(record: Record<'_>, allowed: &Permissions<'_>, filtered: &mut FilteredAdvice) -> bool {
    let advice = &mut filtered.advice;
    match record {
        Record::Favour { machine, strength } => {
            let at = usize::from(machine);
            let (Some(name), Some(seen)) = (allowed.names.get(at), allowed.machines.get(at)) else {
                return false;
            };
            // A cold machine gets only what its cold start budget allows: no advice may attract more to it.
            if strength > 0 && seen.warm < 1.0 {
                return false;
            }
            let limited = strength.clamp(-MAX_STRENGTH, MAX_STRENGTH);
            match advice.preferences.iter_mut().find(|(of, _)| of == name) {
                Some((_, before)) => *before = limited,
                None => advice.preferences.push((name.clone(), limited)),
            }
            limited == strength
        }
        Record::Keep(rank) => {
            let keep = match rank {
                _ if allowed.class.uncached => return false,
                0 => Retention::NoStore,
                1 => Retention::Low,
                2 => Retention::Middle,
                3 => Retention::High,
                _ => return false,
            };
            advice.retention = Some(keep);
            true
        }
        Record::Oldest(ms) => {
            let most = allowed.class.fresh_ms.unwrap_or(0.0);
            if allowed.class.uncached || most <= 0.0 {
                return false;
            }
            let limited = f64::from(ms).clamp(1.0, most);
            advice.max_age_ms = Some(advice.max_age_ms.map_or(limited, |before| before.min(limited)));
            limited == f64::from(ms)
        }
        Record::Attempts(most) => {
            let limited = usize::from(most).clamp(1, allowed.limits.max_attempts.max(1));
            advice.max_attempts = Some(advice.max_attempts.map_or(limited, |before| before.min(limited)));
            limited == usize::from(most)
        }
        Record::Refuse(ms) => {
            // A fragile request waits for its only attempt.
            if !allowed.may_refuse || allowed.class.repeat == Repeat::Fragile {
                return false;
            }
            let limits = allowed.limits;
            let max_ms = if limits.max_retry_after_ms > 0.0 {
                limits.max_retry_after_ms
            } else {
                DEFAULT_MAX_RETRY_AFTER_MS
            };
            let limited = f64::from(ms).min(if limits.retry_after { max_ms } else { 0.0 });
            advice.refuse_retry_after_ms =
                Some(advice.refuse_retry_after_ms.map_or(limited, |before: f64| before.max(limited)));
            limited == f64::from(ms)
        }
        Record::Label(name) => {
            let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_';
            let valid = (1..=MAX_LABEL_BYTES).contains(&name.len()) && name.bytes().all(plain);
            if valid {
                filtered.labels.push(name.to_owned());
            }
            valid
        }
    }
}

impl FilteredAdvice {
    /// Merges the advice of two plug-ins on a request: the sum of strengths, the lowest rank, the lowest
    /// maximum age, the fewest attempts, and the longer retry delay of two refusals.
    pub fn merge(mut self, other: Self) -> Self {
        let (own, new) = (&mut self.advice, other.advice);
        for (name, strength) in new.preferences {
            match own.preferences.iter_mut().find(|(of, _)| *of == name) {
                Some((_, before)) => *before = (*before + strength).clamp(-MAX_STRENGTH, MAX_STRENGTH),
                None => own.preferences.push((name, strength)),
            }
        }
        own.retention = [own.retention, new.retention].into_iter().flatten().min_by_key(|keep| *keep as u8);
        own.max_age_ms = [own.max_age_ms, new.max_age_ms].into_iter().flatten().reduce(f64::min);
        own.max_attempts = [own.max_attempts, new.max_attempts].into_iter().flatten().min();
        own.refuse_retry_after_ms =
            [own.refuse_retry_after_ms, new.refuse_retry_after_ms].into_iter().flatten().reduce(f64::max);
        self.labels.extend(other.labels);
        self.restricted += other.restricted;
        self
    }
}
