//! Machines that operators have taken out: a second fact beside the board's word, bounded by count and age.
//!
//! Owns which they are. What follows from it (a drain, whatever the board says) is the reducer's; where it is kept for
//! another process is [`crate::handover`]'s.

use crate::api::Millis;
use crate::clock::BootTime;
use std::collections::BTreeMap;
use std::fmt;

/// Names that may be out at once. One more is refused: none that still binds is dropped for it.
pub const MAX_EXCLUSIONS: usize = 512;
/// A name is forgotten this long after the board last listed its machine: longer than any restart takes.
pub const GONE_MS: Millis = 24.0 * 3600.0 * 1000.0;

/// As many names are out as may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooMany;

impl fmt::Display for TooMany {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MAX_EXCLUSIONS} machines are out already")
    }
}

impl std::error::Error for TooMany {}

/// The machines that are out, each with when it was last listed, or taken out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exclusions(BTreeMap<String, BootTime>);

impl Exclusions {
    /// Whether a machine is out.
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Those that are out, in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Takes a machine out, or back. Out twice and back once is back.
    pub fn change(&mut self, name: &str, out: bool, now: BootTime) -> Result<(), TooMany> {
        if out && self.0.len() >= MAX_EXCLUSIONS && !self.contains(name) {
            return Err(TooMany);
        }
        self.set(name, out, now);
        Ok(())
    }

    /// Takes over that a machine is out, or back, and when it was last listed.
    pub fn set(&mut self, name: &str, out: bool, listed: BootTime) {
        if out {
            self.0.insert(name.to_owned(), listed);
        } else {
            self.0.remove(name);
        }
    }

    /// When a machine that is out was last listed, or taken out.
    pub fn last_listed(&self, name: &str) -> Option<BootTime> {
        self.0.get(name).copied()
    }

    /// Notes which are still listed, and forgets those that are long gone. Times from the future are cut to now.
    pub fn expire(&mut self, now: BootTime, listed: impl Fn(&str) -> bool) {
        self.0.retain(|name, heard| {
            let future = now.since(*heard) < 0.0;
            *heard = if listed(name) || future { now } else { *heard };
            now.since(*heard) <= GONE_MS
        });
    }

    /// Names whose state differs between the two.
    pub fn differing<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a str> {
        let only = |one: &'a Self, two: &'a Self| one.names().filter(|name| !two.contains(name));
        only(self, other).chain(only(other, self))
    }
}

#[cfg(test)]
mod tests;
