//! The file that the processes of one router share, below `$TMPDIR`: changed by one at a time under a lock, written
//! whole to a new name and renamed, read at the start and while another process may run.

use super::{unix_ms, Runtime};
use crate::handover::{State, EVERY_MS, MAX_FILE};
use crate::ops::Verdict;
use crate::reducer::Input;
use crate::say;
use crate::service::{Exclusions, TooMany};
use std::fs::{File, TryLockError};
use std::io::{self, ErrorKind, Read};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use twox_hash::XxHash64;

/// How long a call waits for the lock. The other process holds it for one small write; it may be off its core.
const LOCK_PATIENCE: Duration = Duration::from_millis(150);
const LOCK_PAUSE: Duration = Duration::from_millis(2);

/// How long a process that starts beside a spoilt file leaves it alone: one that runs mends it within this.
const MEND_MS: f64 = 600.0;

/// What the file says.
enum Found {
    /// Nothing, or nothing new.
    NoNews,
    News(State),
    /// It can't be used.
    Spoilt,
}

/// Where a router's file is and what is known of it.
#[derive(Debug, Default)]
pub(super) struct Handover {
    path: PathBuf,
    /// This process's number in it.
    me: u64,
    /// What was last read or written.
    state: State,
    /// A hash of the file as it was then. Its times won't do: two processes may write it within one tick of the
    /// file system's clock.
    seen: Option<u64>,
    /// When it is saved anew though nothing has changed.
    save_at: f64,
    /// It has been good while this process ran, so that what this one knows is what the file said.
    was_good: bool,
    /// Whether this process has said that it ends, and the part of the cold budget it has taken.
    pub(super) said_end: bool,
    part: f64,
}

impl Handover {
    /// The file of the router that listens there.
    pub(super) fn new(listen: &str, seed: u64) -> Self {
        let name: String =
            listen.chars().map(|one| if one.is_ascii_alphanumeric() { one } else { '-' }).collect();
        let path = std::env::temp_dir().join(format!("frostturn-{name}.state"));
        let me = format!("{seed} {} {}", std::process::id(), unix_ms());
        let state = State::new(listen, Exclusions::default());
        Self { path, me: XxHash64::oneshot(0, me.as_bytes()), state, part: 1.0, ..Self::default() }
    }

    /// The lock, which the system takes back from a process that dies.
    fn lock(&self, patience: Duration) -> io::Result<File> {
        let file = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.path.with_extension("lock"))?;
        let from = Instant::now();
        loop {
            match file.try_lock() {
                Ok(()) => return Ok(file),
                Err(TryLockError::Error(e)) => return Err(e),
                Err(TryLockError::WouldBlock) if from.elapsed() >= patience => {
                    return Err(io::Error::new(ErrorKind::TimedOut, "another process holds its lock"));
                }
                Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_PAUSE),
            }
        }
    }

    /// What the file says, if that is news.
    fn read(&mut self) -> io::Result<Found> {
        let mut bytes = Vec::new();
        match File::open(&self.path).and_then(|file| file.take(MAX_FILE as u64 + 1).read_to_end(&mut bytes)) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(Found::NoNews),
            Err(e) => return Err(e),
            Ok(_) => {}
        }
        let hash = Some(XxHash64::oneshot(0, &bytes));
        if self.seen == hash {
            return Ok(Found::NoNews);
        }
        self.seen = hash;
        Ok(match State::read(&bytes, &self.state.listen, unix_ms()) {
            Ok(state) => {
                self.was_good = true;
                Found::News(state)
            }
            Err(why) => {
                say!("what another process has saved is not taken: {why}");
                Found::Spoilt
            }
        })
    }

    fn write(&mut self, state: State) -> io::Result<()> {
        let bytes = state.write().ok_or_else(|| io::Error::other("there is too much"))?;
        let part = self.path.with_extension(format!("{}.part", std::process::id()));
        let written = std::fs::write(&part, &bytes).and_then(|()| std::fs::rename(&part, &self.path));
        if let Err(e) = written {
            let _ = std::fs::remove_file(&part); // It may not even have been made.
            return Err(e);
        }
        (self.seen, self.state, self.was_good) = (Some(XxHash64::oneshot(0, &bytes)), state, true);
        Ok(())
    }

    /// Whether this process, which was told to end, has left its part to another one that runs.
    pub(super) fn succeeded(&self) -> bool {
        self.said_end && self.part == 0.0
    }

    /// One change: what is saved now, the change applied, written. A change that isn't made writes nothing.
    fn change(
        &mut self,
        patience: Duration,
        change: impl FnOnce(&mut State, u64) -> Result<(), TooMany>,
    ) -> io::Result<Result<(), TooMany>> {
        let _lock = self.lock(patience)?;
        if let Found::News(state) = self.read()? {
            self.state = state;
        }
        let mut state = self.state.clone();
        match change(&mut state, self.me) {
            Ok(()) => self.write(state).map(Ok),
            Err(why) => Ok(Err(why)),
        }
    }
}

impl Runtime {
    /// Says to other processes of this router that this one is there, and hears what they have saved.
    pub(super) fn save_state(&mut self) {
        let (now, unix_ms, ends) = (self.now(), unix_ms(), self.reducer.ends());
        let Some(handover) = &mut self.handover else { return };
        handover.save_at = now + EVERY_MS;
        handover.said_end = ends;
        let reducer = &self.reducer;
        let saved = handover.change(LOCK_PATIENCE, |state, me| {
            state.excluded.age(unix_ms, |name| reducer.lists(name));
            state.say(me, ends, unix_ms);
            Ok(())
        });
        if let Err(e) = saved {
            say!("what the next process must know can't be saved: {e}");
            // What the other one has saved binds all the same.
            if let Ok(Found::News(state)) = handover.read() {
                handover.state = state;
            }
        }
        self.heed_state();
    }

    /// The first look at the file. A spoilt one is left alone for a moment: whoever runs beside this process knows what
    /// it said, and this one doesn't.
    pub(super) fn join_state(&mut self) {
        let now = self.now();
        let Some(handover) = &mut self.handover else { return };
        match handover.read() {
            Ok(Found::Spoilt) => handover.save_at = now + MEND_MS,
            Ok(Found::News(state)) => {
                handover.state = state;
                self.save_state();
            }
            _ => self.save_state(),
        }
    }

    /// Takes over what another process of this router has saved, if there is anything new, and keeps the file fresh.
    pub(super) fn take_state(&mut self) {
        let (now, ends) = (self.now(), self.reducer.ends());
        let Some(handover) = &mut self.handover else { return };
        if handover.save_at <= now || (handover.was_good && handover.said_end != ends) {
            return self.save_state();
        }
        match handover.read() {
            Ok(Found::News(state)) => handover.state = state,
            Ok(Found::NoNews) => {}
            // Mended by what this process knows, so that one which starts beside it doesn't go without.
            Ok(Found::Spoilt) => return self.save_state(),
            Err(e) => say!("what another process has saved can't be read: {e}"),
        }
        self.heed_state();
    }

    /// Tells the reducer what has changed in the file.
    fn heed_state(&mut self) {
        let Some(handover) = &mut self.handover else { return };
        let unix_ms = unix_ms();
        if handover.state.excluded.differing(self.reducer.excluded()).next().is_some() {
            self.inbox.push(Input::HandedOver { excluded: handover.state.excluded.clone(), unix_ms });
        }
        let part = handover.state.cold_part(handover.me, unix_ms);
        if std::mem::replace(&mut handover.part, part) != part {
            self.inbox.push(Input::ColdPart(part));
        }
    }

    /// Saves an operator's change for all processes, or says why it doesn't hold.
    pub(super) fn change_state(&mut self, caller: u64, name: &str, out: bool) {
        let (unix_ms, ends) = (unix_ms(), self.reducer.ends());
        let Some(handover) = &mut self.handover else { return };
        let changed = handover.change(LOCK_PATIENCE, |state, me| state.call(me, ends, name, out, unix_ms));
        let result = match changed {
            Ok(Ok(())) => Ok(handover.state.excluded.clone()),
            Ok(Err(TooMany)) => Err(Verdict::TooMany),
            Err(e) => {
                say!("a change of {name} is not made, as it can't be saved: {e}");
                Err(Verdict::Unsaved)
            }
        };
        self.step(Input::Changed { caller, result, unix_ms });
    }

    /// This process ends: whoever runs on has the whole budget.
    pub(super) fn leave_state(&mut self) {
        let unix_ms = unix_ms();
        let left = self.handover.as_mut().map(|handover| {
            handover.change(LOCK_PATIENCE, |state, me| {
                state.leave(me, unix_ms);
                Ok(())
            })
        });
        if let Some(Err(e)) = left {
            say!("that this process ends can't be saved: {e}");
        }
    }
}
