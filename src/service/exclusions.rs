//! The set of machines that operators have excluded, bounded in count and age. It stands beside what
//! discovery reports.
//!
//! This module knows which machines are excluded. The reducer derives the consequences (a drain, whatever
//! discovery reports), and [`crate::handover`] stores the set for other processes.

use crate::api::Millis;
use crate::clock::BootTime;
use std::collections::BTreeMap;
use std::fmt;

/// Largest number of excluded machines. Beyond it an exclusion is rejected, as no exclusion in force may be
/// dropped.
pub const MAX_EXCLUSIONS: usize = 512;
/// How long an exclusion is kept after discovery last listed its machine: longer than any restart takes.
pub const RETENTION_MS: Millis = 24.0 * 3600.0 * 1000.0;

/// The largest number of exclusions is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooMany;

impl fmt::Display for TooMany {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MAX_EXCLUSIONS} machines are excluded already")
    }
}

impl std::error::Error for TooMany {}

/// The excluded machines, each with the time when it was last listed or excluded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exclusions(BTreeMap<String, BootTime>);

impl Exclusions {
    /// Returns whether a machine is excluded.
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// Returns whether no machine is excluded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the names of the excluded machines, in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Excludes a machine or includes it again. One inclusion undoes any number of exclusions.
    pub fn change(&mut self, name: &str, excluded: bool, now: BootTime) -> Result<(), TooMany> {
        if excluded && self.0.len() >= MAX_EXCLUSIONS && !self.contains(name) {
            return Err(TooMany);
        }
        self.set(name, excluded, now);
        Ok(())
    }

    /// Sets whether a machine is excluded, and when it was last listed, without a bound on the count.
    pub fn set(&mut self, name: &str, excluded: bool, listed: BootTime) {
        if excluded {
            self.0.insert(name.to_owned(), listed);
        } else {
            self.0.remove(name);
        }
    }

    /// Returns when an excluded machine was last listed or excluded.
    pub fn last_listed(&self, name: &str) -> Option<BootTime> {
        self.0.get(name).copied()
    }

    /// Updates when the listed machines were last listed, and removes exclusions that are too old. A time in
    /// the future is replaced by now.
    pub fn expire(&mut self, now: BootTime, listed: impl Fn(&str) -> bool) {
        self.0.retain(|name, last_listed| {
            let in_future = now.since(*last_listed) < 0.0;
            *last_listed = if listed(name) || in_future { now } else { *last_listed };
            now.since(*last_listed) <= RETENTION_MS
        });
    }

    /// Returns the names that only one of the two sets contains.
    pub fn differing<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a str> {
        let only_in = |set: &'a Self, other: &'a Self| set.names().filter(|name| !other.contains(name));
        only_in(self, other).chain(only_in(other, self))
    }
}

#[cfg(test)]
mod tests;
