//! The guard: what of an advice the rules allow. What it lets through names only machines that may be chosen and
//! never widens a limit; the decision module then weighs it within its own order.
//!
//! There is no advice by which a target, an attempt or a copy could be added, a request be held back, or one be
//! sent again: such words don't exist in the layout.

use crate::api::{Advice, CacheId, ClassSettings, Limits, Repeat, Retention};
use frostturn_plugin_kit::{advice, Advice as Said, Machine, Malformed};

/// The most a machine can be favoured or avoided.
pub const MAX_STRENGTH: i16 = 100;
/// Bytes of a label.
const MAX_LABEL: usize = 32;
/// A refused client comes back after so long at most, where the settings say nothing.
const MAX_HOLD_MS: f64 = 5000.0;

/// What the rules allow for one request.
#[derive(Clone, Copy, Debug)]
pub struct Permissions<'a> {
    /// The machines of the view, all of which serve.
    pub names: &'a [CacheId],
    /// What the view says of them.
    pub machines: &'a [Machine],
    /// The request's class.
    pub class: &'a ClassSettings,
    /// The site's limits.
    pub limits: &'a Limits,
    /// The operator's file allows this plug-in to refuse this class, and the request is not a repeat, which may
    /// have run before.
    pub may_refuse: bool,
}

/// Advice that the rules allow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FilteredAdvice {
    /// What the module gets.
    pub advice: Advice,
    /// Names to count under.
    pub labels: Vec<String>,
    /// Pieces that were left out or cut.
    pub restricted: u64,
}

/// Narrows an advice's bytes.
pub fn filter(bytes: &[u8], allowed: &Permissions<'_>) -> Result<FilteredAdvice, Malformed> {
    let mut narrowed = FilteredAdvice::default();
    for one in advice(bytes) {
        if !piece(one?, allowed, &mut narrowed) {
            narrowed.restricted += 1;
        }
    }
    Ok(narrowed)
}

/// Takes one piece in; false where it was left out or cut.
fn piece(one: Said<'_>, allowed: &Permissions<'_>, narrowed: &mut FilteredAdvice) -> bool {
    let advice = &mut narrowed.advice;
    match one {
        Said::Favour { machine, strength } => {
            let at = usize::from(machine);
            let (Some(name), Some(seen)) = (allowed.names.get(at), allowed.machines.get(at)) else {
                return false;
            };
            // A cold machine is asked for as much as its budget allows, and nobody draws others to it.
            if strength > 0 && seen.warm < 1.0 {
                return false;
            }
            let cut = strength.clamp(-MAX_STRENGTH, MAX_STRENGTH);
            match advice.preferences.iter_mut().find(|(of, _)| of == name) {
                Some((_, before)) => *before = cut,
                None => advice.preferences.push((name.clone(), cut)),
            }
            cut == strength
        }
        Said::Keep(rank) => {
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
        Said::Oldest(ms) => {
            let most = allowed.class.fresh_ms.unwrap_or(0.0);
            if allowed.class.uncached || most <= 0.0 {
                return false;
            }
            let cut = f64::from(ms).clamp(1.0, most);
            advice.max_age_ms = Some(advice.max_age_ms.map_or(cut, |before| before.min(cut)));
            cut == f64::from(ms)
        }
        Said::Attempts(most) => {
            let cut = usize::from(most).clamp(1, allowed.limits.max_attempts.max(1));
            advice.max_attempts = Some(advice.max_attempts.map_or(cut, |before| before.min(cut)));
            cut == usize::from(most)
        }
        Said::Refuse(ms) => {
            // One that may not be repeated waits for its one attempt.
            if !allowed.may_refuse || allowed.class.repeat == Repeat::Fragile {
                return false;
            }
            let limits = allowed.limits;
            let told = if limits.max_retry_after_ms > 0.0 { limits.max_retry_after_ms } else { MAX_HOLD_MS };
            let cut = f64::from(ms).min(if limits.retry_after { told } else { 0.0 });
            advice.refuse_retry_after_ms =
                Some(advice.refuse_retry_after_ms.map_or(cut, |before: f64| before.max(cut)));
            cut == f64::from(ms)
        }
        Said::Label(name) => {
            let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_';
            let good = (1..=MAX_LABEL).contains(&name.len()) && name.bytes().all(plain);
            if good {
                narrowed.labels.push(name.to_owned());
            }
            good
        }
    }
}

impl FilteredAdvice {
    /// What two plug-ins say of one request: strengths add up, the lowest rank, the youngest copy, the fewest
    /// attempts, and the longer of two refusals.
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
