//! The state that the processes of one router share during a hand-over: a small, versioned and checksummed
//! file.
//!
//! Owns the file format and the changes to the state: the machines that operators have excluded, and the
//! running processes, from which the share of the cold start budget of each process follows. [`store`]
//! decides when the file is read and written, [`crate::runtime`] does the file I/O, and the reducer applies
//! exclusions.

pub mod claims;
pub mod store;

use crate::api::Millis;
use crate::clock::{BootTime, UnixTime};
use crate::service::{Exclusions, TooMany};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use twox_hash::XxHash64;

/// The first bytes of a file; the last one is the version.
const MAGIC: &[u8; 8] = b"FTSTATE\x02";
/// Bytes of the header: the magic bytes, the length and the checksum of the body.
const HEADER_BYTES: usize = 20;
/// The maximum size of a file in bytes.
pub const MAX_FILE_BYTES: usize = 512 * 1024;
/// A file saved longer ago is stale, unless a running process has used it.
pub const STALE_AFTER_MS: Millis = 15_000.0;
/// The interval at which a running process saves the file.
pub const SAVE_INTERVAL_MS: Millis = 5000.0;
/// A process that has not updated its entry for this long has exited, if its liveness can't be checked
/// otherwise.
pub const PROCESS_TIMEOUT_MS: Millis = 12_000.0;
/// The maximum number of processes in the file; the one that was updated least recently is removed first.
const MAX_PROCESSES: usize = 8;
/// How long the inclusion of a machine is remembered: far longer than any process goes without reading the
/// file.
const INCLUSION_RETENTION_MS: Millis = 600_000.0;
/// The number of inclusions that are remembered; the latest ones are kept.
const MAX_REMEMBERED_INCLUSIONS: usize = 256;

/// The two clocks that the file's times refer to, read at the same moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The time since boot, which decides.
    pub boot: BootTime,
    /// The wall clock, by which processes of earlier versions judge the file's age.
    pub unix: UnixTime,
}

impl ClockReading {
    /// Reads both clocks.
    pub fn read() -> Self {
        Self { boot: BootTime::now(), unix: UnixTime::now() }
    }
}

/// The last entry of a process about itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Presence {
    updated_at: BootTime,
    terminating: bool,
}

/// The latest exclusion or inclusion of a machine by an operator. All processes share the host's clock, so
/// the later change wins.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Change {
    at: BootTime,
    excluded: bool,
}

/// A change as it is stored in the file, with the time at which discovery last listed the machine.
#[derive(Serialize, Deserialize)]
struct Entry {
    at: BootTime,
    excluded: bool,
    last_listed: BootTime,
}

/// The shared state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The address on which the router listens for clients; identifies the router.
    listen: String,
    /// The boot of the host that the times refer to.
    boot_id: String,
    saved: BootTime,
    /// Machines that operators have excluded, each with the time at which it was last listed.
    excluded: Exclusions,
    /// The latest change of each machine, by the machine's name.
    changes: BTreeMap<String, Change>,
    /// The processes of this router, by the number that each generates at its start.
    processes: BTreeMap<u64, Presence>,
    /// Read from a file of an earlier version, which stores no inclusions: a machine that it doesn't name is
    /// not excluded.
    is_complete: bool,
}

/// The part of a file that processes of earlier versions read as well; all its times are wall clock times.
#[derive(Serialize, Deserialize)]
struct WallClockPart {
    saved: UnixTime,
    listen: String,
    excluded: BTreeMap<String, UnixTime>,
    processes: BTreeMap<u64, (UnixTime, bool)>,
}

/// The part that processes of earlier versions ignore.
#[derive(Serialize, Deserialize)]
struct BootPart {
    boot_id: String,
    saved: BootTime,
    entries: BTreeMap<String, Entry>,
    processes: BTreeMap<u64, Presence>,
}

/// Why a state file is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateError {
    /// Larger than [`MAX_FILE_BYTES`].
    TooLarge,
    /// Not a state file, or one of another version.
    UnknownFormat,
    /// Truncated or modified.
    Corrupt,
    /// Saved too long ago, or before the host's last boot.
    Stale,
    /// The state of another router.
    OtherRouter,
}

impl fmt::Display for StateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "too large",
            Self::UnknownFormat => "unknown format or version",
            Self::Corrupt => "truncated or corrupt",
            Self::Stale => "too old",
            Self::OtherRouter => "belongs to another router",
        })
    }
}

impl State {
    /// Returns the initial state of the router that listens at `listen`, in this boot of its host.
    pub fn new(listen: &str, boot_id: &str) -> Self {
        Self { listen: listen.to_owned(), boot_id: boot_id.to_owned(), ..Self::default() }
    }

    /// Returns the machines that operators have excluded.
    pub fn excluded(&self) -> &Exclusions {
        &self.excluded
    }

    /// Returns the numbers of the processes that are recorded as running.
    pub fn processes(&self) -> impl Iterator<Item = u64> + '_ {
        self.processes.keys().copied()
    }

    /// Removes processes that have exited: by `alive`, which returns whether a process runs if that is known,
    /// or else by the age of their entry.
    pub fn remove_exited(&mut self, now: BootTime, alive: impl Fn(u64) -> Option<bool>) {
        let updated = |presence: &Presence| now.since(presence.updated_at).abs() <= PROCESS_TIMEOUT_MS;
        self.processes.retain(|id, presence| alive(*id).unwrap_or_else(|| updated(presence)));
    }

    /// Records that a process runs, and whether it is shutting down.
    pub fn record_process(&mut self, process: u64, terminating: bool, now: BootTime) {
        self.saved = now;
        self.processes.insert(process, Presence { updated_at: now, terminating });
        while self.processes.len() > MAX_PROCESSES {
            let others = self.processes.iter().filter(|(id, _)| **id != process);
            let oldest =
                others.min_by(|(_, a), (_, b)| a.updated_at.0.total_cmp(&b.updated_at.0)).map(|(id, _)| *id);
            let Some(oldest) = oldest else { return };
            self.processes.remove(&oldest);
        }
    }

    /// Applies an operator's change, made through a process: excludes a machine from now on, or includes it
    /// again.
    pub fn set_excluded(
        &mut self,
        process: u64,
        terminating: bool,
        name: &str,
        excluded: bool,
        now: BootTime,
    ) -> Result<(), TooMany> {
        self.excluded.change(name, excluded, now)?;
        self.changes.insert(name.to_owned(), Change { at: now, excluded });
        self.record_process(process, terminating, now);
        Ok(())
    }

    /// Records which machines discovery still lists, and removes expired names and inclusions.
    pub fn expire(&mut self, now: BootTime, listed: impl Fn(&str) -> bool) {
        self.excluded.expire(now, listed);
        let excluded = &self.excluded;
        self.changes
            .retain(|name, change| excluded.contains(name) || now.since(change.at) <= INCLUSION_RETENTION_MS);
        let mut included: Vec<(BootTime, String)> = self
            .changes
            .iter()
            .filter(|(_, change)| !change.excluded)
            .map(|(name, change)| (change.at, name.clone()))
            .collect();
        included.sort_by(|(a, _), (b, _)| b.0.total_cmp(&a.0));
        for (_, name) in included.into_iter().skip(MAX_REMEMBERED_INCLUSIONS) {
            self.changes.remove(&name);
        }
    }

    /// Removes a process that exits.
    pub fn remove_process(&mut self, process: u64, now: BootTime) {
        self.saved = now;
        self.processes.remove(&process);
    }

    /// Merges another state into this one: of each machine the later change, of each process the later entry.
    pub fn merge(&mut self, other: &Self) {
        if other.is_complete {
            *self = Self { is_complete: false, ..other.clone() };
            return;
        }
        for (name, change) in &other.changes {
            if self.changes.get(name).is_some_and(|own| own.at >= change.at) {
                continue;
            }
            self.changes.insert(name.clone(), *change);
            let last_listed = other.excluded.last_listed(name).unwrap_or(change.at);
            // No limit applies: another process has accepted the change already.
            self.excluded.set(name, change.excluded, last_listed);
        }
        for (id, presence) in &other.processes {
            let known = self.processes.get(id).is_some_and(|own| own.updated_at >= presence.updated_at);
            if !known {
                self.processes.insert(*id, *presence);
            }
        }
        if other.saved > self.saved {
            self.saved = other.saved;
        }
    }

    /// Returns whether this state has a change of a machine that the other state lacks.
    pub fn has_changes_unknown_to(&self, other: &Self) -> bool {
        if other.is_complete {
            return false;
        }
        let newer = |(name, change): (&String, &Change)| {
            other.changes.get(name).is_none_or(|known| known.at < change.at)
                && (change.excluded || other.excluded.contains(name))
        };
        self.changes.iter().any(newer)
    }

    /// Returns whether the state was saved before the host's last boot, or so long ago that the process that
    /// saved it has exited, unless its liveness is known otherwise.
    pub fn is_stale(&self, boot_id: &str, now: BootTime) -> bool {
        self.boot_id != boot_id || !(-STALE_AFTER_MS..=STALE_AFTER_MS).contains(&now.since(self.saved))
    }

    /// Returns the share of the cold start budget that a process may spend, 0 to 1: a single process has all
    /// of it, several have equal shares. A process that is shutting down leaves its share to its successors,
    /// if there are any. `alive` returns whether a process runs, if that is known from elsewhere.
    pub fn cold_share(&self, process: u64, now: BootTime, alive: impl Fn(u64) -> Option<bool>) -> f64 {
        let runs = |(id, presence): &(&u64, &Presence)| {
            let updated = || now.since(presence.updated_at).abs() <= PROCESS_TIMEOUT_MS;
            **id != process && alive(**id).unwrap_or_else(updated)
        };
        let others = self.processes.iter().filter(runs).filter(|(_, presence)| !presence.terminating).count();
        match self.processes.get(&process) {
            Some(presence) if presence.terminating && others > 0 => 0.0,
            _ => 1.0 / (1.0 + others as f64),
        }
    }

    /// Encodes the state as the bytes of a file; `None` if it exceeds [`MAX_FILE_BYTES`].
    pub fn encode(&self, now: ClockReading) -> Option<Vec<u8>> {
        let wall = |at: BootTime| UnixTime(now.unix.0 - now.boot.since(at));
        let excluded = self.excluded.names().map(|name| {
            let last_listed = self.excluded.last_listed(name).unwrap_or(now.boot);
            (name.to_owned(), wall(last_listed))
        });
        let processes = self
            .processes
            .iter()
            .map(|(id, presence)| (*id, (wall(presence.updated_at), presence.terminating)));
        let wall_clock_part = WallClockPart {
            saved: wall(self.saved),
            listen: self.listen.clone(),
            excluded: excluded.collect(),
            processes: processes.collect(),
        };
        let entry = |(name, change): (&String, &Change)| {
            let last_listed = self.excluded.last_listed(name).unwrap_or(change.at);
            (name.clone(), Entry { at: change.at, excluded: change.excluded, last_listed })
        };
        let boot_part = BootPart {
            boot_id: self.boot_id.clone(),
            saved: self.saved,
            entries: self.changes.iter().map(entry).collect(),
            processes: self.processes.clone(),
        };
        let body = postcard::to_stdvec(&(wall_clock_part, boot_part)).ok();
        let body = body.filter(|body| body.len() <= MAX_FILE_BYTES - HEADER_BYTES)?;
        let mut out = MAGIC.to_vec();
        out.extend_from_slice(&(body.len() as u32).to_le_bytes());
        out.extend_from_slice(&XxHash64::oneshot(0, &body).to_le_bytes());
        out.extend_from_slice(&body);
        Some(out)
    }

    /// Decodes a file's bytes for the router that listens at `listen`. The caller checks the age, except for
    /// files of earlier versions.
    pub fn decode(bytes: &[u8], listen: &str, boot_id: &str, now: ClockReading) -> Result<Self, StateError> {
        if bytes.len() > MAX_FILE_BYTES {
            return Err(StateError::TooLarge);
        }
        let remaining = bytes.strip_prefix(MAGIC).ok_or(StateError::UnknownFormat)?;
        let (length, remaining) = remaining.split_first_chunk::<4>().ok_or(StateError::Corrupt)?;
        let (sum, body) = remaining.split_first_chunk::<8>().ok_or(StateError::Corrupt)?;
        let complete = body.len() == u32::from_le_bytes(*length) as usize;
        if !complete || XxHash64::oneshot(0, body) != u64::from_le_bytes(*sum) {
            return Err(StateError::Corrupt);
        }
        let (wall_clock_part, remaining) =
            postcard::take_from_bytes::<WallClockPart>(body).map_err(|_| StateError::Corrupt)?;
        if wall_clock_part.listen != listen {
            return Err(StateError::OtherRouter);
        }
        if remaining.is_empty() {
            return Self::decode_earlier_version(wall_clock_part, boot_id, now);
        }
        let part: BootPart = postcard::from_bytes(remaining).map_err(|_| StateError::Corrupt)?;
        let mut state = Self::new(&wall_clock_part.listen, &part.boot_id);
        (state.saved, state.processes) = (part.saved, part.processes);
        for (name, Entry { at, excluded, last_listed }) in part.entries {
            state.excluded.set(&name, excluded, last_listed);
            state.changes.insert(name, Change { at, excluded });
        }
        Ok(state)
    }

    /// Decodes the state of a process of an earlier version, whose age is known by the wall clock only.
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
        (state.saved, state.is_complete) = (now.boot, true);
        for name in part.excluded.into_keys() {
            state.excluded.set(&name, true, now.boot);
            state.changes.insert(name, Change { at: now.boot, excluded: true });
        }
        for (id, (_, terminating)) in part.processes {
            state.processes.insert(id, Presence { updated_at: now.boot, terminating });
        }
        Ok(state)
    }
}

#[cfg(test)]
mod tests;
