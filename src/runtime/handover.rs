//! The folder below `$TMPDIR` in which the processes of one router meet: its file, changed by one at a time under a lock,
//! and a file for each process that the system keeps locked as long as it runs.

use super::Runtime;
use crate::api::Millis;
use crate::clock::{boot_id, BootTime};
use crate::handover::store::{Folder, Store, Unchanged};
use crate::handover::{Now, MAX_FILE};
use crate::log_line;
use crate::ops::Verdict;
use crate::reducer::Input;
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use twox_hash::XxHash64;

/// How long a call waits for the lock. The other process holds it for one small write; it may be off its core.
const LOCK_PATIENCE: Duration = Duration::from_millis(150);
const LOCK_PAUSE: Duration = Duration::from_millis(2);
/// How the file that shows that a process runs ends.
const ALIVE: &str = "alive";

/// The folder on the disk.
#[derive(Debug)]
pub(super) struct DiskFolder {
    /// The shared file.
    path: PathBuf,
    /// What this process writes beside it.
    part: PathBuf,
    written: Option<File>,
    me: u64,
    /// Locked as long as this process runs; none: it could not be made yet.
    alive: Option<File>,
}

/// A lock that the system takes back from a process that dies.
#[derive(Debug)]
pub(super) struct Lock(#[allow(dead_code)] File); // Held, never read.

impl DiskFolder {
    fn new(path: PathBuf, me: u64) -> Self {
        let part = path.with_extension(format!("{}.part", std::process::id()));
        let mut folder = Self { path, part, written: None, me, alive: None };
        folder.show_alive();
        folder
    }

    fn alive_path(&self, process: u64) -> PathBuf {
        self.path.with_extension(format!("{process:016x}.{ALIVE}"))
    }

    /// Shows other processes that this one runs, once that can be done.
    fn show_alive(&mut self) {
        if self.alive.is_some() {
            return;
        }
        let file = File::options().create(true).truncate(false).write(true).open(self.alive_path(self.me));
        self.alive = file.ok().filter(|file| file.try_lock().is_ok());
    }

    /// Files of other processes of this router that show that they run.
    fn shown(&self) -> io::Result<Vec<PathBuf>> {
        let folder = self.path.parent().unwrap_or(Path::new("."));
        let prefix = self.path.file_stem().unwrap_or_default().to_string_lossy().into_owned() + ".";
        let own = self.alive_path(self.me);
        let mut shown = Vec::new();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            if name.starts_with(&prefix) && name.ends_with(ALIVE) && path != own {
                shown.push(path);
            }
        }
        Ok(shown)
    }
}

/// Whether somebody holds the lock of a file that shows that a process runs; `None`: there is no such file.
fn is_locked(path: &Path) -> Option<bool> {
    match File::open(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => None,
        Err(_) => Some(true), // In doubt it runs.
        Ok(file) => match file.try_lock_shared() {
            Ok(()) => {
                let _ = fs::remove_file(path); // Its process has died; another may have seen to it.
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
        let from = Instant::now();
        loop {
            match file.try_lock() {
                Ok(()) => return Ok(Lock(file)),
                Err(TryLockError::Error(e)) => return Err(e),
                Err(TryLockError::WouldBlock) if from.elapsed() >= LOCK_PATIENCE => {
                    return Err(io::Error::new(ErrorKind::TimedOut, "another process holds its lock"));
                }
                Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_PAUSE),
            }
        }
    }

    fn read(&self) -> io::Result<Option<Vec<u8>>> {
        let mut bytes = Vec::new();
        match File::open(&self.path).and_then(|file| file.take(MAX_FILE as u64 + 1).read_to_end(&mut bytes)) {
            Ok(_) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn write_beside(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::create(&self.part)?;
        file.write_all(bytes)?;
        self.written = Some(file);
        Ok(())
    }

    fn sync_beside(&mut self) -> io::Result<()> {
        self.written.take().map_or(Ok(()), |file| file.sync_all())
    }

    fn put_in_place(&mut self) -> io::Result<()> {
        fs::rename(&self.part, &self.path)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(self.path.parent().unwrap_or(Path::new("."))).and_then(|folder| folder.sync_all())
    }

    fn is_alive(&self, process: u64) -> Option<bool> {
        if process == self.me {
            return Some(true);
        }
        is_locked(&self.alive_path(process))
    }

    fn others_run(&self) -> bool {
        let shown = self.shown();
        shown.map_or(true, |shown| shown.iter().any(|path| is_locked(path) == Some(true)))
    }
}

impl Drop for DiskFolder {
    /// Nothing of this process's own is left behind.
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.part); // It may not have been made.
        if self.alive.is_some() {
            let _ = fs::remove_file(self.alive_path(self.me)); // Another may have seen to it.
        }
    }
}

/// What this process shares with others of its router.
#[derive(Debug)]
pub(super) struct Handover {
    store: Store<DiskFolder>,
    /// The part of the cold budget that this process has taken.
    part: f64,
}

impl Handover {
    /// The file of the router that listens there.
    pub(super) fn new(listen: &str, seed: u64) -> Self {
        let name: String =
            listen.chars().map(|one| if one.is_ascii_alphanumeric() { one } else { '-' }).collect();
        let path = std::env::temp_dir().join(format!("frostturn-{name}.state"));
        let now = Now::read();
        let drawn = format!("{seed} {} {}", std::process::id(), now.boot.0);
        let me = XxHash64::oneshot(0, drawn.as_bytes());
        Self { store: Store::new(DiskFolder::new(path, me), me, listen, &boot_id(), now), part: 1.0 }
    }

    /// Whether this process, which was told to end, has left its part to another one that runs.
    pub(super) fn succeeded(&self) -> bool {
        self.store.is_succeeded(BootTime::now())
    }

    /// Whether it has said yes to something that is in no file.
    pub(super) fn owes(&self) -> bool {
        self.store.owes()
    }

    /// In how long it is to be looked at, at the latest.
    pub(super) fn due_in(&self) -> Millis {
        self.store.due().since(BootTime::now()).max(0.0)
    }
}

impl Runtime {
    /// Takes over what another process of this router has saved, if there is anything new, and keeps the file fresh.
    pub(super) fn take_state(&mut self) {
        let ends = self.reducer.is_terminating();
        let Some(handover) = &mut self.handover else { return };
        let reducer = &self.reducer;
        handover.store.folder_mut().show_alive();
        handover.store.upkeep(Now::read(), ends, |name| reducer.is_listed(name));
        self.heed_state();
    }

    /// Tells the reducer what has changed.
    fn heed_state(&mut self) {
        let Some(handover) = &mut self.handover else { return };
        let excluded = handover.store.state().excluded();
        if excluded.differing(self.reducer.excluded()).next().is_some() {
            self.inbox.push(Input::ExclusionsLoaded { excluded: excluded.clone() });
        }
        let part = handover.store.cold_part(BootTime::now());
        if std::mem::replace(&mut handover.part, part) != part {
            self.inbox.push(Input::ColdStartShare(part));
        }
    }

    /// Saves an operator's change for all processes, or says why it doesn't hold.
    pub(super) fn change_state(&mut self, caller: u64, name: &str, out: bool) {
        let ends = self.reducer.is_terminating();
        let Some(handover) = &mut self.handover else { return };
        let result = match handover.store.call(Now::read(), ends, name, out) {
            Ok(()) => Ok(handover.store.state().excluded().clone()),
            Err(Unchanged::TooMany(_)) => Err(Verdict::TooMany),
            Err(Unchanged::Unknowing) => {
                log_line!("a change of {name} is not made: another process knows what was said before, and its file is spoilt");
                Err(Verdict::Unsaved)
            }
            Err(Unchanged::Unsaved(e)) => {
                log_line!("a change of {name} is not made, as it can't be saved: {e}");
                Err(Verdict::Unsaved)
            }
        };
        self.step(Input::ExclusionSaved { caller, result });
    }

    /// This process ends: whoever runs on has the whole budget.
    pub(super) fn leave_state(&mut self) {
        let left = self.handover.as_mut().map(|handover| handover.store.leave(Now::read()));
        if let Some(Err(Unchanged::Unsaved(e))) = left {
            log_line!("that this process ends can't be saved: {e}");
        }
    }
}
