//! When the shared file is read and written, and what a process concludes from it.
//!
//! What always holds, whatever write, sync or rename fails, is cut short or lost, and whoever dies where: a call that was
//! answered yes holds in every process that has looked since, as long as one runs that knew of it, or that started while
//! such a one ran. The lines that keep it:
//!
//! - a change is read, applied and put in place under one lock ([`Store::change`]), and answered yes after;
//! - a process that has started beside a file that can't be used knows nothing ([`Knowledge::None`]) and writes nothing
//!   while another one runs;
//! - whoever knows more than the file says writes that, and goes on until it is there ([`Store::refresh`], `owes`);
//! - the later call about a machine wins ([`State::merge`]).

use super::{ClockReading, State, SAVE_INTERVAL_MS};
use crate::api::Millis;
use crate::clock::BootTime;
use crate::log_line;
use crate::service::TooMany;
use std::collections::BTreeMap;
use std::io;
use twox_hash::XxHash64;

/// The pause before what is owed to the file is written again.
const AGAIN_MS: Millis = 50.0;

/// The folder in which the processes of a router meet.
pub trait Folder {
    /// Nobody else changes the file until it is dropped.
    type Lock;

    /// Waits for the lock, a while.
    fn lock(&mut self) -> io::Result<Self::Lock>;
    /// What the file says; `None`: there is none.
    fn read(&self) -> io::Result<Option<Vec<u8>>>;
    /// Writes a new file beside it.
    fn write_temporary(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Has what was written beside it reach the disk.
    fn sync_temporary(&mut self) -> io::Result<()>;
    /// Puts the new file in its place.
    fn replace_file(&mut self) -> io::Result<()>;
    /// Has that reach the disk.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Whether another process runs; `None`: that can't be told from the folder.
    fn is_alive(&self, process: u64) -> Option<bool>;
    /// Whether any other process runs, as far as the folder tells. In doubt one does.
    fn other_process_runs(&self) -> bool;
}

/// What a process knows of the router's state.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    /// What the file said when it could last be used, and what this process has changed.
    All,
    /// It has started beside a file that can't be used.
    None,
}

/// What a look at the file has brought.
#[derive(Debug)]
pub enum Refreshed {
    /// Nothing new.
    ChangeError,
    /// Another process has changed it.
    Changed,
    /// It can't be used.
    Unusable,
    /// It can't be read.
    Unreadable(io::Error),
}

/// Why a change doesn't hold.
#[derive(Debug)]
pub enum ChangeError {
    /// As many machines are out as may be.
    TooManyExcluded(TooMany),
    /// It could not be saved.
    NotSaved(io::Error),
    /// This process knows nothing of what another one has said yes to.
    StateUnknown,
}

/// Whether a change is on the disk before it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sync {
    Awaited,
    NotAwaited,
}

/// One process's view of the shared file.
#[derive(Debug)]
pub struct Store<F> {
    folder: F,
    /// This process's number in the file.
    me: u64,
    boot_id: String,
    listen: String,
    knowledge: Knowledge,
    state: State,
    /// A hash of the file as it last was. Its times won't do: two processes may write it within one tick of the file
    /// system's clock.
    seen: Option<u64>,
    /// The file was good once while this process ran.
    was_there: bool,
    /// What this process knows is not in the file.
    owes: bool,
    save_at: BootTime,
    /// It was saved that this process ends.
    said_end: bool,
}

impl<F: Folder> Store<F> {
    /// A process that starts, under a number of its own. To be followed by [`Store::maintain`].
    pub fn new(folder: F, me: u64, listen: &str, boot_id: &str, now: ClockReading) -> Self {
        Self {
            folder,
            me,
            boot_id: boot_id.to_owned(),
            listen: listen.to_owned(),
            knowledge: Knowledge::None,
            state: State::new(listen, boot_id),
            seen: None,
            was_there: false,
            owes: false,
            save_at: now.boot,
            said_end: false,
        }
    }

    /// What it knows.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The folder.
    pub fn folder_mut(&mut self) -> &mut F {
        &mut self.folder
    }

    /// Whether it was saved that this process ends, and another one runs that takes its part over.
    pub fn has_successor(&self, now: BootTime) -> bool {
        self.said_end && self.cold_share(now) == 0.0
    }

    /// The part of the cold budget that this process may spend.
    pub fn cold_share(&self, now: BootTime) -> f64 {
        self.state.cold_share(self.me, now, |id| self.folder.is_alive(id))
    }

    /// Whether this process must not end yet if it can help it: what it has said yes to is in no file.
    pub fn has_unsaved_changes(&self) -> bool {
        self.owes && !self.state.excluded().is_empty()
    }

    /// When [`Store::maintain`] is wanted.
    pub fn next_save_at(&self) -> BootTime {
        self.save_at
    }

    /// Reads the file.
    pub fn refresh(&mut self, now: ClockReading) -> Refreshed {
        let bytes = match self.folder.read() {
            Err(e) => return Refreshed::Unreadable(e),
            Ok(None) if self.was_there => {
                self.owes = true; // Somebody has taken it away.
                return Refreshed::Unusable;
            }
            // Nobody has said yes to anything yet: it would be there.
            Ok(None) => {
                self.knowledge = Knowledge::All;
                return Refreshed::ChangeError;
            }
            Ok(Some(bytes)) => bytes,
        };
        let hash = Some(XxHash64::oneshot(0, &bytes));
        if self.seen == hash {
            return Refreshed::ChangeError;
        }
        self.seen = hash;
        let read = State::decode(&bytes, &self.listen, &self.boot_id, now);
        let read = read.and_then(|state| {
            // Whoever runs has kept it, however long ago it was last written.
            let kept = self.knowledge == Knowledge::All || self.folder.other_process_runs();
            let old = !kept && state.is_stale(&self.boot_id, now.boot);
            if old {
                Err(super::StateError::Stale)
            } else {
                Ok(state)
            }
        });
        match read {
            Ok(state) => {
                self.owes = self.state.has_changes_unknown_to(&state);
                self.state.merge(&state);
                (self.knowledge, self.was_there) = (Knowledge::All, true);
                Refreshed::Changed
            }
            Err(why) => {
                log_line!("what another process has saved is not taken: {why}");
                self.owes |= self.knowledge == Knowledge::All;
                if self.owes {
                    self.save_at = now.boot;
                }
                Refreshed::Unusable
            }
        }
    }

    /// A process that knows nothing, with nobody left who does: what it knows is all there is.
    fn conclude(&mut self) {
        if self.knowledge == Knowledge::None && !self.folder.other_process_runs() {
            (self.knowledge, self.owes) = (Knowledge::All, true);
        }
    }

    /// Looks at the file, and keeps it fresh: says that this process is there and whether it ends, and writes what is owed.
    /// `listed`: whether a machine is listed now.
    pub fn maintain(&mut self, now: ClockReading, ends: bool, listed: impl Fn(&str) -> bool) {
        let looked = self.refresh(now);
        if let Refreshed::Unreadable(e) = &looked {
            log_line!("what another process has saved can't be read: {e}");
        }
        self.conclude();
        let due = self.owes || self.save_at <= now.boot || self.said_end != ends;
        if self.knowledge != Knowledge::All || !due {
            return;
        }
        let me = self.me;
        let alive = |id| Some((id, self.folder.is_alive(id)?));
        let alive: BTreeMap<u64, bool> = self.state.processes().filter_map(alive).collect();
        // Only what a yes hangs on is worth the wait for the disk.
        let sync = if self.owes { Sync::Awaited } else { Sync::NotAwaited };
        let saved = self.change(now, sync, |state| {
            state.expire(now.boot, listed);
            state.remove_exited(now.boot, |id| alive.get(&id).copied());
            state.record_process(me, ends, now.boot);
            Ok(())
        });
        match saved {
            Ok(()) => self.said_end = ends,
            Err(ChangeError::NotSaved(e)) => {
                self.save_at = BootTime(now.boot.0 + AGAIN_MS);
                log_line!("what the next process must know can't be saved: {e}");
            }
            Err(ChangeError::TooManyExcluded(_) | ChangeError::StateUnknown) => {}
        }
    }

    /// One change: what is saved now, the change applied, saved. A change that isn't made writes nothing.
    fn change(
        &mut self,
        now: ClockReading,
        sync: Sync,
        change: impl FnOnce(&mut State) -> Result<(), TooMany>,
    ) -> Result<(), ChangeError> {
        let _lock = self.folder.lock().map_err(ChangeError::NotSaved)?;
        if let Refreshed::Unreadable(e) = self.refresh(now) {
            return Err(ChangeError::NotSaved(e)); // It may say more than this process knows.
        }
        self.conclude();
        if self.knowledge != Knowledge::All {
            return Err(ChangeError::StateUnknown);
        }
        let mut state = self.state.clone();
        change(&mut state).map_err(ChangeError::TooManyExcluded)?;
        self.save(state, now, sync).map_err(ChangeError::NotSaved)
    }

    /// An operator's call: a machine is out from now on, or back.
    pub fn set_excluded(
        &mut self,
        now: ClockReading,
        ends: bool,
        name: &str,
        out: bool,
    ) -> Result<(), ChangeError> {
        let me = self.me;
        self.change(now, Sync::Awaited, |state| state.set_excluded(me, ends, name, out, now.boot))
    }

    /// This process ends: whoever runs on has the whole budget.
    pub fn leave_router(&mut self, now: ClockReading) -> Result<(), ChangeError> {
        let me = self.me;
        self.change(now, Sync::NotAwaited, |state| {
            state.remove_process(me, now.boot);
            Ok(())
        })
    }

    fn save(&mut self, state: State, now: ClockReading, sync: Sync) -> io::Result<()> {
        let bytes = state.encode(now).ok_or_else(|| io::Error::other("there is too much"))?;
        self.folder.write_temporary(&bytes)?;
        if sync == Sync::Awaited {
            self.folder.sync_temporary()?;
        }
        if let Err(e) = self.folder.replace_file() {
            // It may have been done all the same: then it holds, whatever is answered.
            if !self.folder.read().is_ok_and(|there| there.as_ref() == Some(&bytes)) {
                return Err(e);
            }
        }
        if sync == Sync::Awaited {
            if let Err(e) = self.folder.sync_folder() {
                // It is there for every process; only the machine's own end could lose it, and nobody is left then.
                log_line!("that what was saved reaches the disk can't be told: {e}");
            }
        }
        (self.seen, self.state) = (Some(XxHash64::oneshot(0, &bytes)), state);
        (self.was_there, self.owes) = (true, false);
        self.save_at = BootTime(now.boot.0 + SAVE_INTERVAL_MS);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
