//! The files in `$TMPDIR` that the processes of one router share: a state file that is changed under a lock,
//! and for each process a file that stays locked as long as the process runs.

use super::claims::Claims;
use super::Runtime;
use crate::api::Millis;
use crate::clock::{boot_id, BootTime};
use crate::handover::store::{ChangeError, Folder, Store};
use crate::handover::{ClockReading, MAX_FILE_BYTES};
use crate::log_line;
use crate::ops::Verdict;
use crate::reducer::Input;
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use twox_hash::XxHash64;

/// How long a call waits for the lock. The other process holds it for one small write, but may not be
/// scheduled meanwhile.
const LOCK_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval between attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// Suffix of the file that is locked while its process runs.
const ALIVE_SUFFIX: &str = "alive";

/// The files on disk.
#[derive(Debug)]
pub(super) struct DiskFolder {
    /// The shared state file.
    path: PathBuf,
    /// The temporary file that replaces the state file.
    part: PathBuf,
    /// The temporary file, while it is not synced.
    written: Option<File>,
    /// The number of this process in file names and in the state file.
    process: u64,
    /// Locked as long as this process runs; `None` while it can't be created.
    alive: Option<File>,
}

/// A file lock, which the kernel releases when the process dies.
#[derive(Debug)]
pub(super) struct Lock(#[allow(dead_code)] File); // Owned for its drop only.

impl DiskFolder {
    fn new(path: PathBuf, process: u64) -> Self {
        let part = path.with_extension(format!("{}.part", std::process::id()));
        let mut folder = Self { path, part, written: None, process, alive: None };
        folder.lock_alive_file();
        folder
    }

    fn alive_path(&self, process: u64) -> PathBuf {
        self.path.with_extension(format!("{process:016x}.{ALIVE_SUFFIX}"))
    }

    /// Creates and locks the file that shows other processes that this one runs, if that is not done yet.
    fn lock_alive_file(&mut self) {
        if self.alive.is_some() {
            return;
        }
        let file =
            File::options().create(true).truncate(false).write(true).open(self.alive_path(self.process));
        self.alive = file.ok().filter(|file| file.try_lock().is_ok());
    }

    /// Returns the liveness files of other processes of this router.
    fn other_alive_files(&self) -> io::Result<Vec<PathBuf>> {
        let folder = self.path.parent().unwrap_or(Path::new("."));
        let prefix = self.path.file_stem().unwrap_or_default().to_string_lossy().into_owned() + ".";
        let own = self.alive_path(self.process);
        let mut files = Vec::new();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            if name.starts_with(&prefix) && name.ends_with(ALIVE_SUFFIX) && path != own {
                files.push(path);
            }
        }
        Ok(files)
    }
}

/// Returns whether a process holds the lock of a liveness file; `None` if there is no such file. Removes the
/// file of a process that has died.
fn is_locked(path: &Path) -> Option<bool> {
    match File::open(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => None,
        Err(_) => Some(true), // Assume that the process runs.
        Ok(file) => match file.try_lock_shared() {
            Ok(()) => {
                let _ = fs::remove_file(path); // Another process may have removed it.
                Some(false)
            }
            Err(_) => Some(true),
        },
    }
}

impl Folder for DiskFolder {
    type Lock = Lock;

    fn lock(&mut self) -> io::Result<Lock> {
        let path = self.path.with_extension("lock");
        let file = File::options().create(true).truncate(false).write(true).open(path)?;
        let started = Instant::now();
        loop {
            match file.try_lock() {
                Ok(()) => return Ok(Lock(file)),
                Err(TryLockError::Error(e)) => return Err(e),
                Err(TryLockError::WouldBlock) if started.elapsed() >= LOCK_TIMEOUT => {
                    return Err(io::Error::new(ErrorKind::TimedOut, "another process holds the lock"));
                }
                Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_RETRY_INTERVAL),
            }
        }
    }

    fn read(&self) -> io::Result<Option<Vec<u8>>> {
        let mut bytes = Vec::new();
        match File::open(&self.path)
            .and_then(|file| file.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes))
        {
            Ok(_) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn write_temporary(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::create(&self.part)?;
        file.write_all(bytes)?;
        self.written = Some(file);
        Ok(())
    }

    fn sync_temporary(&mut self) -> io::Result<()> {
        self.written.take().map_or(Ok(()), |file| file.sync_all())
    }

    fn replace_file(&mut self) -> io::Result<()> {
        fs::rename(&self.part, &self.path)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(self.path.parent().unwrap_or(Path::new("."))).and_then(|folder| folder.sync_all())
    }

    fn is_alive(&self, process: u64) -> Option<bool> {
        if process == self.process {
            return Some(true);
        }
        is_locked(&self.alive_path(process))
    }

    fn other_process_runs(&self) -> bool {
        let files = self.other_alive_files();
        files.map_or(true, |files| files.iter().any(|path| is_locked(path) == Some(true)))
    }
}

impl Drop for DiskFolder {
    /// Removes the files of this process.
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.part); // It may not exist.
        if self.alive.is_some() {
            let _ = fs::remove_file(self.alive_path(self.process)); // Another process may have removed it.
        }
    }
}

/// The state that the processes of this router share.
#[derive(Debug)]
pub(super) struct Handover {
    store: Store<DiskFolder>,
    pub(super) claims: Claims,
    /// The share of the cold budget that this process may spend, 0 to 1.
    cold_share: f64,
}

impl Handover {
    /// Opens the shared state of the router that listens at the address `listen`.
    pub(super) fn new(listen: &str, seed: u64) -> Self {
        let name: String =
            listen.chars().map(|char| if char.is_ascii_alphanumeric() { char } else { '-' }).collect();
        let path = std::env::temp_dir().join(format!("frostturn-{name}.state"));
        let now = ClockReading::read();
        let unique = format!("{seed} {} {}", std::process::id(), now.boot.0);
        let process = XxHash64::oneshot(0, unique.as_bytes());
        Self {
            claims: Claims::new(path.with_extension("claims"), process),
            store: Store::new(DiskFolder::new(path, process), process, listen, &boot_id(), now),
            cold_share: 1.0,
        }
    }

    /// Returns whether another running process has taken over from this one, which is shutting down.
    pub(super) fn succeeded(&self) -> bool {
        self.store.has_successor(BootTime::now())
    }

    /// Returns whether other processes of this router are recorded as running.
    pub(super) fn other_processes_run(&self) -> bool {
        self.store.state().processes().count() > 1
    }

    /// Returns whether a change that was confirmed to an operator is not saved in the file.
    pub(super) fn has_unsaved_changes(&self) -> bool {
        self.store.has_unsaved_changes()
    }

    /// Returns the time until the file must be checked again, in milliseconds.
    pub(super) fn ms_until_due(&self) -> Millis {
        self.store.next_save_at().since(BootTime::now()).max(0.0)
    }
}

impl Runtime {
    /// Applies changes saved by other processes of this router, and keeps this process's entry in the file up
    /// to date.
    pub(super) fn sync_state(&mut self) {
        let ends = self.reducer.is_terminating();
        let Some(handover) = &mut self.handover else { return };
        let reducer = &self.reducer;
        handover.store.folder_mut().lock_alive_file();
        handover.store.maintain(ClockReading::read(), ends, |name| reducer.is_listed(name));
        self.apply_shared_state();
        self.share_ids();
    }

    /// Passes changes of the shared state to the reducer.
    fn apply_shared_state(&mut self) {
        let Some(handover) = &mut self.handover else { return };
        let excluded = handover.store.state().excluded();
        if excluded.differing(self.reducer.excluded()).next().is_some() {
            self.inbox.push(Input::ExclusionsLoaded { excluded: excluded.clone() });
        }
        let share = handover.store.cold_share(BootTime::now());
        if std::mem::replace(&mut handover.cold_share, share) != share {
            self.inbox.push(Input::ColdStartShare(share));
        }
    }

    /// Saves an operator's change for all processes, and passes the result to the reducer.
    pub(super) fn change_state(&mut self, caller: u64, name: &str, excluded: bool) {
        let ends = self.reducer.is_terminating();
        let Some(handover) = &mut self.handover else { return };
        let result = match handover.store.set_excluded(ClockReading::read(), ends, name, excluded) {
            Ok(()) => Ok(handover.store.state().excluded().clone()),
            Err(ChangeError::TooManyExcluded(_)) => Err(Verdict::TooManyExcluded),
            Err(ChangeError::StateUnknown) => {
                log_line!(
                    "change of {name} rejected: unusable state file, and another process has earlier changes"
                );
                Err(Verdict::NotSaved)
            }
            Err(ChangeError::NotSaved(e)) => {
                log_line!("change of {name} rejected: can't be saved: {e}");
                Err(Verdict::NotSaved)
            }
        };
        self.handle_input(Input::ExclusionSaved { caller, result });
    }

    /// Removes this process from the shared state at exit, so that the remaining processes have the whole
    /// cold budget.
    pub(super) fn release_state(&mut self) {
        let saved = self.handover.as_mut().map(|handover| handover.store.leave_router(ClockReading::read()));
        if let Some(Err(ChangeError::NotSaved(e))) = saved {
            log_line!("the exit of this process can't be saved: {e}");
        }
    }
}
