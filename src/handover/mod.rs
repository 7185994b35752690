//! What the processes of one router share: a small file, versioned and checksummed, whole or nothing.
//!
//! Owns its form and the changes to it: the machines that operators have taken out, and which processes there are, from
//! which the part of the cold budget follows that one may spend. [`store`] says when it is read and written; reading and
//! writing files is [`crate::runtime`]'s; what follows from an exclusion is the reducer's.

pub mod store;

use crate::api::Millis;
use crate::clock::{BootTime, UnixTime};
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
pub const MAX_FILE_BYTES: usize = 512 * 1024;
/// One that is older belongs to a process that is long gone, if none runs that has kept it.
pub const STALE_AFTER_MS: Millis = 15_000.0;
/// How often a running process saves it anew.
pub const SAVE_INTERVAL_MS: Millis = 5000.0;
/// A process of which nothing else is known and that has said nothing for this long is gone.
pub const PROCESS_TIMEOUT_MS: Millis = 12_000.0;
/// Processes that the file names; beyond that the longest silent one goes.
const MOST_PROCESSES: usize = 8;
/// How long it is remembered that a machine was taken back: far longer than any process goes without a look at the file.
const REMEMBERED_MS: Millis = 600_000.0;
/// And of how many: the latest.
const MOST_REMEMBERED: usize = 256;

/// Both clocks that the file's times are of, read at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The one that counts.
    pub boot: BootTime,
    /// The one by which processes of earlier versions judge the file's age.
    pub unix: UnixTime,
}

impl ClockReading {
    /// Now.
    pub fn read() -> Self {
        Self { boot: BootTime::now(), unix: UnixTime::now() }
    }
}

/// What a process last said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Presence {
    said: BootTime,
    ends: bool,
}

/// The latest operator's call about a machine. All processes of a machine share the clock, so the later call wins.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Call {
    at: BootTime,
    out: bool,
}

/// A call as a file has it, with when its machine was last listed.
#[derive(Serialize, Deserialize)]
struct Entry {
    at: BootTime,
    out: bool,
    listed: BootTime,
}

/// What is handed over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Whose it is: where clients connect.
    listen: String,
    /// The boot of the machine that its times are of.
    boot_id: String,
    saved: BootTime,
    /// Machines that operators have taken out, with when each was last listed.
    excluded: Exclusions,
    calls: BTreeMap<String, Call>,
    /// The processes of this router, by a number that each draws at its start.
    processes: BTreeMap<u64, Presence>,
    /// It was read from a file that a process of an earlier version wrote: what it doesn't name is not out.
    is_whole: bool,
}

/// The part of a file that processes of earlier versions read, too: all its times are the wall clock's.
#[derive(Serialize, Deserialize)]
struct WallClockPart {
    saved: UnixTime,
    listen: String,
    excluded: BTreeMap<String, UnixTime>,
    processes: BTreeMap<u64, (UnixTime, bool)>,
}

/// The part that they pass over.
#[derive(Serialize, Deserialize)]
struct BootPart {
    boot_id: String,
    saved: BootTime,
    entries: BTreeMap<String, Entry>,
    processes: BTreeMap<u64, Presence>,
}

/// Why a file is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateError {
    /// It is larger than one can be.
    TooLarge,
    /// It is no such file, or of another version.
    UnknownFormat,
    /// It is cut short or was changed.
    Corrupt,
    /// It is of a process that is long gone, or of another boot.
    Stale,
    /// It is another router's.
    OtherRouter,
}

impl fmt::Display for StateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "it is too large",
            Self::UnknownFormat => "it is of another kind or version",
            Self::Corrupt => "it is cut short or was changed",
            Self::Stale => "it is too old",
            Self::OtherRouter => "it is another router's",
        })
    }
}

impl State {
    /// The first state of a router that listens there, in this boot of its machine.
    pub fn new(listen: &str, boot_id: &str) -> Self {
        Self { listen: listen.to_owned(), boot_id: boot_id.to_owned(), ..Self::default() }
    }

    /// The machines that operators have taken out.
    pub fn excluded(&self) -> &Exclusions {
        &self.excluded
    }

    /// Processes that have said that they are there.
    pub fn processes(&self) -> impl Iterator<Item = u64> + '_ {
        self.processes.keys().copied()
    }

    /// Forgets processes that are gone: by what else is known of them, or by their silence.
    pub fn remove_exited(&mut self, now: BootTime, alive: impl Fn(u64) -> Option<bool>) {
        let by_word = |presence: &Presence| now.since(presence.said).abs() <= PROCESS_TIMEOUT_MS;
        self.processes.retain(|id, presence| alive(*id).unwrap_or_else(|| by_word(presence)));
    }

    /// A process says that it is there, and whether it was told to end.
    pub fn record_process(&mut self, me: u64, ends: bool, now: BootTime) {
        self.saved = now;
        self.processes.insert(me, Presence { said: now, ends });
        while self.processes.len() > MOST_PROCESSES {
            let others = self.processes.iter().filter(|(id, _)| **id != me);
            let oldest = others.min_by(|(_, a), (_, b)| a.said.0.total_cmp(&b.said.0)).map(|(id, _)| *id);
            let Some(oldest) = oldest else { return };
            self.processes.remove(&oldest);
        }
    }

    /// An operator's call to a process: a machine is out from now on, or back.
    pub fn set_excluded(
        &mut self,
        me: u64,
        ends: bool,
        name: &str,
        out: bool,
        now: BootTime,
    ) -> Result<(), TooMany> {
        self.excluded.change(name, out, now)?;
        self.calls.insert(name.to_owned(), Call { at: now, out });
        self.record_process(me, ends, now);
        Ok(())
    }

    /// Notes which machines are still listed, and forgets names that are long gone.
    pub fn expire(&mut self, now: BootTime, listed: impl Fn(&str) -> bool) {
        self.excluded.expire(now, listed);
        let excluded = &self.excluded;
        self.calls.retain(|name, call| excluded.contains(name) || now.since(call.at) <= REMEMBERED_MS);
        let mut back: Vec<(BootTime, String)> = self
            .calls
            .iter()
            .filter(|(_, call)| !call.out)
            .map(|(name, call)| (call.at, name.clone()))
            .collect();
        back.sort_by(|(a, _), (b, _)| b.0.total_cmp(&a.0));
        for (_, name) in back.into_iter().skip(MOST_REMEMBERED) {
            self.calls.remove(&name);
        }
    }

    /// A process is gone.
    pub fn remove_process(&mut self, me: u64, now: BootTime) {
        self.saved = now;
        self.processes.remove(&me);
    }

    /// Takes over what another state says: of each machine the later call, of each process the later word.
    pub fn merge(&mut self, other: &Self) {
        if other.is_whole {
            *self = Self { is_whole: false, ..other.clone() };
            return;
        }
        for (name, call) in &other.calls {
            if self.calls.get(name).is_some_and(|own| own.at >= call.at) {
                continue;
            }
            self.calls.insert(name.clone(), *call);
            let listed = other.excluded.last_listed(name).unwrap_or(call.at);
            // What another process was allowed is not refused here.
            self.excluded.set(name, call.out, listed);
        }
        for (id, presence) in &other.processes {
            let known = self.processes.get(id).is_some_and(|own| own.said >= presence.said);
            if !known {
                self.processes.insert(*id, *presence);
            }
        }
        if other.saved > self.saved {
            self.saved = other.saved;
        }
    }

    /// Whether this state says anything of a machine that the other doesn't know.
    pub fn has_changes_unknown_to(&self, other: &Self) -> bool {
        if other.is_whole {
            return false;
        }
        let newer = |(name, call): (&String, &Call)| {
            other.calls.get(name).is_none_or(|known| known.at < call.at)
                && (call.out || other.excluded.contains(name))
        };
        self.calls.iter().any(newer)
    }

    /// Whether it was saved so long ago that whoever did is gone, if nothing else is known of them.
    pub fn is_stale(&self, boot_id: &str, now: BootTime) -> bool {
        self.boot_id != boot_id || !(-STALE_AFTER_MS..=STALE_AFTER_MS).contains(&now.since(self.saved))
    }

    /// The part of the cold budget that a process may spend: alone all of it, beside others an equal part. One that ends
    /// leaves it to its successors, if it has any. `alive`: what else is known of whether a process runs.
    pub fn cold_share(&self, me: u64, now: BootTime, alive: impl Fn(u64) -> Option<bool>) -> f64 {
        let there = |(id, presence): &(&u64, &Presence)| {
            let by_word = || now.since(presence.said).abs() <= PROCESS_TIMEOUT_MS;
            **id != me && alive(**id).unwrap_or_else(by_word)
        };
        let others = self.processes.iter().filter(there).filter(|(_, presence)| !presence.ends).count();
        match self.processes.get(&me) {
            Some(presence) if presence.ends && others > 0 => 0.0,
            _ => 1.0 / (1.0 + others as f64),
        }
    }

    /// The bytes of a file; `None`: there is more than a file may hold.
    pub fn encode(&self, now: ClockReading) -> Option<Vec<u8>> {
        let wall = |at: BootTime| UnixTime(now.unix.0 - now.boot.since(at));
        let excluded = self.excluded.names().map(|name| {
            let listed = self.excluded.last_listed(name).unwrap_or(now.boot);
            (name.to_owned(), wall(listed))
        });
        let processes = self.processes.iter().map(|(id, one)| (*id, (wall(one.said), one.ends)));
        let wall_clock_part = WallClockPart {
            saved: wall(self.saved),
            listen: self.listen.clone(),
            excluded: excluded.collect(),
            processes: processes.collect(),
        };
        let entry = |(name, call): (&String, &Call)| {
            let listed = self.excluded.last_listed(name).unwrap_or(call.at);
            (name.clone(), Entry { at: call.at, out: call.out, listed })
        };
        let boot_part = BootPart {
            boot_id: self.boot_id.clone(),
            saved: self.saved,
            entries: self.calls.iter().map(entry).collect(),
            processes: self.processes.clone(),
        };
        let body = postcard::to_stdvec(&(wall_clock_part, boot_part)).ok();
        let body = body.filter(|body| body.len() <= MAX_FILE_BYTES - HEAD)?;
        let mut out = MAGIC.to_vec();
        out.extend_from_slice(&(body.len() as u32).to_le_bytes());
        out.extend_from_slice(&XxHash64::oneshot(0, &body).to_le_bytes());
        out.extend_from_slice(&body);
        Some(out)
    }

    /// Reads a file's bytes for the router that listens there. How old it may be is for the caller to say.
    pub fn decode(bytes: &[u8], listen: &str, boot_id: &str, now: ClockReading) -> Result<Self, StateError> {
        if bytes.len() > MAX_FILE_BYTES {
            return Err(StateError::TooLarge);
        }
        let rest = bytes.strip_prefix(MAGIC).ok_or(StateError::UnknownFormat)?;
        let (length, rest) = rest.split_first_chunk::<4>().ok_or(StateError::Corrupt)?;
        let (sum, body) = rest.split_first_chunk::<8>().ok_or(StateError::Corrupt)?;
        let whole = body.len() == u32::from_le_bytes(*length) as usize;
        if !whole || XxHash64::oneshot(0, body) != u64::from_le_bytes(*sum) {
            return Err(StateError::Corrupt);
        }
        let (wall_clock_part, rest) =
            postcard::take_from_bytes::<WallClockPart>(body).map_err(|_| StateError::Corrupt)?;
        if wall_clock_part.listen != listen {
            return Err(StateError::OtherRouter);
        }
        if rest.is_empty() {
            return Self::decode_earlier_version(wall_clock_part, boot_id, now);
        }
        let part: BootPart = postcard::from_bytes(rest).map_err(|_| StateError::Corrupt)?;
        let mut state = Self::new(&wall_clock_part.listen, &part.boot_id);
        (state.saved, state.processes) = (part.saved, part.processes);
        for (name, Entry { at, out, listed }) in part.entries {
            state.excluded.set(&name, out, listed);
            state.calls.insert(name, Call { at, out });
        }
        Ok(state)
    }

    /// What a process of an earlier version has saved: its ages are by the wall clock.
    fn decode_earlier_version(
        part: WallClockPart,
        boot_id: &str,
        now: ClockReading,
    ) -> Result<Self, StateError> {
        let age = now.unix.0 - part.saved.0;
        if !(-STALE_AFTER_MS..=STALE_AFTER_MS).contains(&age) {
            return Err(StateError::Stale);
        }
        let mut state = Self::new(&part.listen, boot_id);
        (state.saved, state.is_whole) = (now.boot, true);
        for name in part.excluded.into_keys() {
            state.excluded.set(&name, true, now.boot);
            state.calls.insert(name, Call { at: now.boot, out: true });
        }
        for (id, (_, ends)) in part.processes {
            state.processes.insert(id, Presence { said: now.boot, ends });
        }
        Ok(state)
    }
}

#[cfg(test)]
mod tests;
