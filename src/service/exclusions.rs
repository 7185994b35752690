//! Machines that operators have taken out: a second fact beside the board's word, bounded by count and age.
//!
//! Owns which they are. What follows from it (a drain, whatever the board says) is the reducer's; where it is kept for
//! another process is [`crate::handover`]'s.

use crate::api::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Names that may be out at once. One more is refused: none that still binds is dropped for it.
pub const MOST: usize = 512;
/// A name is forgotten this long after the board last listed its machine: longer than any restart takes.
pub const GONE_MS: Millis = 24.0 * 3600.0 * 1000.0;

/// As many names are out as may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooMany;

impl fmt::Display for TooMany {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MOST} machines are out already")
    }
}

impl std::error::Error for TooMany {}

/// The machines that are out, each with the Unix time at which it was last listed, or taken out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Exclusions(BTreeMap<String, Millis>);

impl Exclusions {
    /// Whether a machine is out.
    pub fn holds(&self, name: &str) -> bool {
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
    pub fn change(&mut self, name: &str, out: bool, unix_ms: Millis) -> Result<(), TooMany> {
        if !out {
            self.0.remove(name);
        } else if self.0.len() >= MOST && !self.holds(name) {
            return Err(TooMany);
        } else {
            self.0.insert(name.to_owned(), unix_ms);
        }
        Ok(())
    }

    /// Notes which are still listed, and forgets those that are long gone. Times from the future are cut to now.
    pub fn age(&mut self, unix_ms: Millis, listed: impl Fn(&str) -> bool) {
        self.0.retain(|name, heard| {
            *heard = if listed(name) { unix_ms } else { heard.min(unix_ms) };
            unix_ms - *heard <= GONE_MS
        });
    }

    /// Names whose state differs between the two.
    pub fn differing<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a str> {
        let only = |one: &'a Self, two: &'a Self| one.names().filter(|name| !two.holds(name));
        only(self, other).chain(only(other, self))
    }
}

#[cfg(test)]
mod tests;
