//! Decides when the shared file is read and written, and what a process concludes from its content.
//!
//! Invariant, whichever write, sync or rename fails, is truncated or lost, and whichever process dies at any
//! step: a change that was confirmed to an operator is in effect in every process that has read the file
//! since, as long as a process runs that knew of the change, or that started while such a process ran. The
//! rules that preserve it:
//!
//! - a change reads, modifies and replaces the file under one lock ([`Store::change`]), and is confirmed
//!   afterwards;
//! - a process that found an unusable file at its start knows nothing ([`Knowledge::None`]) and writes
//!   nothing while another process runs;
//! - a process that has changes which the file lacks writes them, and retries until that succeeds
//!   ([`Store::refresh`], `unsaved`);
//! - the later change of a machine wins ([`State::merge`]).

use super::{ClockReading, State, SAVE_INTERVAL_MS};
use crate::api::Millis;
use crate::clock::BootTime;
use crate::log_line;
use crate::service::TooMany;
use std::collections::BTreeMap;
use std::io;
use twox_hash::XxHash64;

/// The interval between attempts to save changes that the file lacks.
const SAVE_RETRY_MS: Millis = 50.0;

/// The folder that the processes of a router share.
pub trait Folder {
    /// No other process changes the file until the lock is dropped.
    type Lock;

    /// Takes the lock, waiting for it for a limited time.
    fn lock(&mut self) -> io::Result<Self::Lock>;
    /// Returns the content of the file; `None` if there is no file.
    fn read(&self) -> io::Result<Option<Vec<u8>>>;
    /// Writes a temporary file.
    fn write_temporary(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Syncs the temporary file to the disk.
    fn sync_temporary(&mut self) -> io::Result<()>;
    /// Replaces the file with the temporary file.
    fn replace_file(&mut self) -> io::Result<()>;
    /// Syncs the folder, and with it the replacement, to the disk.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Returns whether a process runs; `None` if that is not known from the folder.
    fn is_alive(&self, process: u64) -> Option<bool>;
    /// Returns whether any other process runs, as far as the folder shows; `true` in doubt.
    fn other_process_runs(&self) -> bool;
}

/// What a process knows of the shared state.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    /// The last usable content of the file, and the changes that this process has made.
    All,
    /// Nothing: the file was unusable when the process started.
    None,
}

/// The result of reading the file.
#[derive(Debug)]
pub enum Refreshed {
    /// The file has not changed.
    Unchanged,
    /// Another process has changed the file.
    Changed,
    /// The file is missing or its content is unusable.
    Unusable,
    /// The file can't be read.
    Unreadable(io::Error),
}

/// Why a change is not in effect.
#[derive(Debug)]
pub enum ChangeError {
    /// The maximum number of machines is excluded.
    TooManyExcluded(TooMany),
    /// The change can't be saved.
    NotSaved(io::Error),
    /// This process does not know the changes that another process has confirmed.
    StateUnknown,
}

/// Whether a change must be on the disk before it is in effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sync {
    Awaited,
    NotAwaited,
}

/// One process's view of the shared file.
#[derive(Debug)]
pub struct Store<F> {
    folder: F,
    /// The number of this process in the file.
    process: u64,
    boot_id: String,
    listen: String,
    knowledge: Knowledge,
    state: State,
    /// The hash of the file when it was last read or written. The modification time is not enough: two
    /// processes may write within one tick of the file system's clock.
    seen: Option<u64>,
    /// The file has been usable while this process ran.
    was_usable: bool,
    /// The file lacks changes that this process knows.
    unsaved: bool,
    save_at: BootTime,
    /// The file says that this process is shutting down.
    saved_terminating: bool,
}

impl<F: Folder> Store<F> {
    /// Creates the store of a process that starts, under a number of its own. The caller runs
    /// [`Store::maintain`] next.
    pub fn new(folder: F, process: u64, listen: &str, boot_id: &str, now: ClockReading) -> Self {
        Self {
            folder,
            process,
            boot_id: boot_id.to_owned(),
            listen: listen.to_owned(),
            knowledge: Knowledge::None,
            state: State::new(listen, boot_id),
            seen: None,
            was_usable: false,
            unsaved: false,
            save_at: now.boot,
            saved_terminating: false,
        }
    }

    /// Returns the state as this process knows it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the folder.
    pub fn folder_mut(&mut self) -> &mut F {
        &mut self.folder
    }

    /// Returns whether the file says that this process is shutting down, and another process has taken over.
    pub fn has_successor(&self, now: BootTime) -> bool {
        self.saved_terminating && self.cold_share(now) == 0.0
    }

    /// Returns the share of the cold start budget that this process may spend, 0 to 1.
    pub fn cold_share(&self, now: BootTime) -> f64 {
        self.state.cold_share(self.process, now, |id| self.folder.is_alive(id))
    }

    /// Returns whether exclusions that this process knows are missing from the file, so that it should not
    /// exit yet.
    pub fn has_unsaved_changes(&self) -> bool {
        self.unsaved && !self.state.excluded().is_empty()
    }

    /// Returns when [`Store::maintain`] must run next.
    pub fn next_save_at(&self) -> BootTime {
        self.save_at
    }

    /// Reads the file and merges changes of other processes.
    pub fn refresh(&mut self, now: ClockReading) -> Refreshed {
        let bytes = match self.folder.read() {
            Err(e) => return Refreshed::Unreadable(e),
            Ok(None) if self.was_usable => {
                self.unsaved = true; // The file was removed.
                return Refreshed::Unusable;
            }
            // No change has been confirmed yet: there would be a file.
            Ok(None) => {
                self.knowledge = Knowledge::All;
                return Refreshed::Unchanged;
            }
            Ok(Some(bytes)) => bytes,
        };
        let hash = Some(XxHash64::oneshot(0, &bytes));
        if self.seen == hash {
            return Refreshed::Unchanged;
        }
        self.seen = hash;
        let read = State::decode(&bytes, &self.listen, &self.boot_id, now);
        let read = read.and_then(|state| {
            // A running process has kept the state current, however long ago the file was written.
            let current = self.knowledge == Knowledge::All || self.folder.other_process_runs();
            let stale = !current && state.is_stale(&self.boot_id, now.boot);
            if stale {
                Err(super::StateError::Stale)
            } else {
                Ok(state)
            }
        });
        match read {
            Ok(state) => {
                self.unsaved = self.state.has_changes_unknown_to(&state);
                self.state.merge(&state);
                (self.knowledge, self.was_usable) = (Knowledge::All, true);
                Refreshed::Changed
            }
            Err(why) => {
                log_line!("ignoring the shared state file: {why}");
                self.unsaved |= self.knowledge == Knowledge::All;
                if self.unsaved {
                    self.save_at = now.boot;
                }
                Refreshed::Unusable
            }
        }
    }

    /// Lets a process that knows nothing start from its empty state once no other process runs.
    fn adopt_empty_state(&mut self) {
        if self.knowledge == Knowledge::None && !self.folder.other_process_runs() {
            (self.knowledge, self.unsaved) = (Knowledge::All, true);
        }
    }

    /// Reads the file, and saves it if necessary: records that this process runs and whether it is shutting
    /// down, and writes changes that the file lacks. `listed` returns whether discovery lists a machine.
    pub fn maintain(&mut self, now: ClockReading, terminating: bool, listed: impl Fn(&str) -> bool) {
        let refreshed = self.refresh(now);
        if let Refreshed::Unreadable(e) = &refreshed {
            log_line!("cannot read the shared state file: {e}");
        }
        self.adopt_empty_state();
        let due = self.unsaved || self.save_at <= now.boot || self.saved_terminating != terminating;
        if self.knowledge != Knowledge::All || !due {
            return;
        }
        let process = self.process;
        let alive = |id| Some((id, self.folder.is_alive(id)?));
        let alive: BTreeMap<u64, bool> = self.state.processes().filter_map(alive).collect();
        // Only confirmed changes are worth waiting for the disk.
        let sync = if self.unsaved { Sync::Awaited } else { Sync::NotAwaited };
        let saved = self.change(now, sync, |state| {
            state.expire(now.boot, listed);
            state.remove_exited(now.boot, |id| alive.get(&id).copied());
            state.record_process(process, terminating, now.boot);
            Ok(())
        });
        match saved {
            Ok(()) => self.saved_terminating = terminating,
            Err(ChangeError::NotSaved(e)) => {
                self.save_at = BootTime(now.boot.0 + SAVE_RETRY_MS);
                log_line!("cannot save the shared state file: {e}");
            }
            Err(ChangeError::TooManyExcluded(_) | ChangeError::StateUnknown) => {}
        }
    }

    /// Reads the file, applies a change and saves the result, under the lock. A change that fails writes
    /// nothing.
    fn change(
        &mut self,
        now: ClockReading,
        sync: Sync,
        change: impl FnOnce(&mut State) -> Result<(), TooMany>,
    ) -> Result<(), ChangeError> {
        let _lock = self.folder.lock().map_err(ChangeError::NotSaved)?;
        if let Refreshed::Unreadable(e) = self.refresh(now) {
            return Err(ChangeError::NotSaved(e)); // It may have changes that this process does not know.
        }
        self.adopt_empty_state();
        if self.knowledge != Knowledge::All {
            return Err(ChangeError::StateUnknown);
        }
        let mut state = self.state.clone();
        change(&mut state).map_err(ChangeError::TooManyExcluded)?;
        self.save(state, now, sync).map_err(ChangeError::NotSaved)
    }

    /// Applies and saves an operator's change: excludes a machine from now on, or includes it again.
    pub fn set_excluded(
        &mut self,
        now: ClockReading,
        terminating: bool,
        name: &str,
        excluded: bool,
    ) -> Result<(), ChangeError> {
        let process = self.process;
        self.change(now, Sync::Awaited, |state| {
            state.set_excluded(process, terminating, name, excluded, now.boot)
        })
    }

    /// Removes this process, which exits, so that the others have the whole cold start budget.
    pub fn leave_router(&mut self, now: ClockReading) -> Result<(), ChangeError> {
        let process = self.process;
        self.change(now, Sync::NotAwaited, |state| {
            state.remove_process(process, now.boot);
            Ok(())
        })
    }

    fn save(&mut self, state: State, now: ClockReading, sync: Sync) -> io::Result<()> {
        let bytes =
            state.encode(now).ok_or_else(|| io::Error::other("the state exceeds the maximum file size"))?;
        self.folder.write_temporary(&bytes)?;
        if sync == Sync::Awaited {
            self.folder.sync_temporary()?;
        }
        if let Err(e) = self.folder.replace_file() {
            // The replacement may have happened all the same; then the change is in effect.
            if !self.folder.read().is_ok_and(|current| current.as_ref() == Some(&bytes)) {
                return Err(e);
            }
        }
        if sync == Sync::Awaited {
            if let Err(e) = self.folder.sync_folder() {
                // Every process sees the change; only a crash of the host could lose it, which ends all
                // processes.
                log_line!("cannot sync the folder of the shared state file: {e}");
            }
        }
        (self.seen, self.state) = (Some(XxHash64::oneshot(0, &bytes)), state);
        (self.was_usable, self.unsaved) = (true, false);
        self.save_at = BootTime(now.boot.0 + SAVE_INTERVAL_MS);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
