//! What the processes of one router share: a small file, versioned and checksummed, whole or nothing.
//!
//! Owns its form and the changes to it: the machines that operators have taken out, and which processes there are, from
//! which the part of the cold budget follows that one may spend. Reading and writing files is [`crate::runtime`]'s,
//! one change at a time under a lock; what follows from an exclusion is the reducer's.

use crate::api::Millis;
use crate::service::{Exclusions, TooMany};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use twox_hash::XxHash64;

/// How a file begins; the last byte is the version.
const MAGIC: &[u8; 8] = b"FTSTATE\x02";
/// The magic, the length and the checksum.
const HEAD: usize = 20;
/// Bytes of a file, at most.
pub const MAX_FILE: usize = 256 * 1024;
/// One that is older belongs to a process that is long gone: a running one saves it anew more often.
pub const OLD_MS: Millis = 15_000.0;
/// How often a running one does.
pub const EVERY_MS: Millis = 5000.0;
/// A process that has said nothing for this long is gone: two words and more.
pub const SILENT_MS: Millis = 12_000.0;
/// Processes that the file names; beyond that the longest silent one goes.
const MOST_PROCESSES: usize = 8;

/// What a process last said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Word {
    unix_ms: Millis,
    ends: bool,
}

/// What is handed over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The Unix time at which it was saved.
    pub saved_unix_ms: Millis,
    /// Whose it is: where clients connect.
    pub listen: String,
    /// Machines that operators have taken out.
    pub excluded: Exclusions,
    /// The processes of this router, by a number that each draws at its start.
    processes: BTreeMap<u64, Word>,
}

/// Why a file is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is larger than one can be.
    TooLarge,
    /// It is no such file, or of another version.
    Foreign,
    /// It is cut short or was changed.
    Torn,
    /// It is of a process that is long gone, or from the future.
    Old,
    /// It is another router's.
    Other,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "it is too large",
            Self::Foreign => "it is of another kind or version",
            Self::Torn => "it is cut short or was changed",
            Self::Old => "it is too old",
            Self::Other => "it is another router's",
        })
    }
}

impl State {
    /// The first word of a router that listens there.
    pub fn new(listen: &str, excluded: Exclusions) -> Self {
        Self { listen: listen.to_owned(), excluded, ..Self::default() }
    }

    /// A process says that it is there, and whether it was told to end. Those that are silent are forgotten.
    pub fn say(&mut self, me: u64, ends: bool, unix_ms: Millis) {
        self.saved_unix_ms = unix_ms;
        self.processes.insert(me, Word { unix_ms, ends });
        self.processes.retain(|_, word| (unix_ms - word.unix_ms).abs() <= SILENT_MS);
        while self.processes.len() > MOST_PROCESSES {
            let others = self.processes.iter().filter(|(id, _)| **id != me);
            let oldest = others.min_by(|(_, a), (_, b)| a.unix_ms.total_cmp(&b.unix_ms)).map(|(id, _)| *id);
            let Some(oldest) = oldest else { return };
            self.processes.remove(&oldest);
        }
    }

    /// An operator's call to a process: a machine is out from now on, or back.
    pub fn call(
        &mut self,
        me: u64,
        ends: bool,
        name: &str,
        out: bool,
        unix_ms: Millis,
    ) -> Result<(), TooMany> {
        self.excluded.change(name, out, unix_ms)?;
        self.say(me, ends, unix_ms);
        Ok(())
    }

    /// A process is gone.
    pub fn leave(&mut self, me: u64, unix_ms: Millis) {
        self.saved_unix_ms = unix_ms;
        self.processes.remove(&me);
    }

    /// The part of the cold budget that a process may spend: alone all of it, beside others an equal part. One that ends
    /// leaves it to its successors, if it has any.
    pub fn cold_part(&self, me: u64, unix_ms: Millis) -> f64 {
        let there = |(id, word): &(&u64, &Word)| **id != me && (unix_ms - word.unix_ms).abs() <= SILENT_MS;
        let others = self.processes.iter().filter(there).filter(|(_, word)| !word.ends).count();
        match self.processes.get(&me) {
            Some(word) if word.ends && others > 0 => 0.0,
            _ => 1.0 / (1.0 + others as f64),
        }
    }

    /// The bytes of a file; `None`: there is more than a file may hold.
    pub fn write(&self) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(self).ok().filter(|body| body.len() <= MAX_FILE - HEAD)?;
        let mut out = MAGIC.to_vec();
        out.extend_from_slice(&(body.len() as u32).to_le_bytes());
        out.extend_from_slice(&XxHash64::oneshot(0, &body).to_le_bytes());
        out.extend_from_slice(&body);
        Some(out)
    }

    /// Reads a file's bytes for the router that listens there.
    pub fn read(bytes: &[u8], listen: &str, unix_ms: Millis) -> Result<Self, Refused> {
        if bytes.len() > MAX_FILE {
            return Err(Refused::TooLarge);
        }
        let rest = bytes.strip_prefix(MAGIC).ok_or(Refused::Foreign)?;
        let (length, rest) = rest.split_first_chunk::<4>().ok_or(Refused::Torn)?;
        let (sum, body) = rest.split_first_chunk::<8>().ok_or(Refused::Torn)?;
        let whole = body.len() == u32::from_le_bytes(*length) as usize;
        if !whole || XxHash64::oneshot(0, body) != u64::from_le_bytes(*sum) {
            return Err(Refused::Torn);
        }
        let state: Self = postcard::from_bytes(body).map_err(|_| Refused::Torn)?;
        if state.listen != listen {
            return Err(Refused::Other);
        }
        // The clock may have been set by a little meanwhile.
        let age = unix_ms - state.saved_unix_ms;
        if !(-OLD_MS..=OLD_MS).contains(&age) {
            return Err(Refused::Old);
        }
        Ok(state)
    }
}

#[cfg(test)]
mod tests;
