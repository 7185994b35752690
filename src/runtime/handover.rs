//! The file that one process of a router leaves for the next, below `$TMPDIR`: written whole to a new name and
//! renamed, read at the start and while two processes run.

use super::{unix_ms, Runtime};
use crate::handover::{State, EVERY_MS, MAX_FILE};
use crate::reducer::Input;
use crate::say;
use std::io::{ErrorKind, Read};
use std::path::PathBuf;
use twox_hash::XxHash64;

/// Where a router's file is and what is known of it.
#[derive(Debug, Default)]
pub(super) struct Handover {
    path: PathBuf,
    listen: String,
    /// A hash of the file as it was last read or written. Its times won't do: two processes may write it within
    /// one tick of the file system's clock.
    seen: Option<u64>,
    /// When it is saved anew though nothing has changed.
    save_at: f64,
}

impl Handover {
    /// The file of the router that listens there.
    pub(super) fn new(listen: String) -> Self {
        let name: String =
            listen.chars().map(|one| if one.is_ascii_alphanumeric() { one } else { '-' }).collect();
        let path = std::env::temp_dir().join(format!("frostturn-{name}.state"));
        Self { path, listen, ..Self::default() }
    }
}

impl Runtime {
    /// Saves what the next process must know.
    pub(super) fn save_state(&mut self) {
        let now = self.now();
        let Some(handover) = &mut self.handover else { return };
        handover.save_at = now + EVERY_MS;
        let listen = handover.listen.clone();
        let state = State { saved_unix_ms: unix_ms(), listen, excluded: self.reducer.excluded() };
        let part = handover.path.with_extension(format!("{}.part", std::process::id()));
        let written =
            state.write().ok_or_else(|| std::io::Error::other("there is too much")).and_then(|bytes| {
                std::fs::write(&part, &bytes)?;
                std::fs::rename(&part, &handover.path).map(|()| XxHash64::oneshot(0, &bytes))
            });
        match written {
            Ok(hash) => handover.seen = Some(hash),
            Err(e) => say!("what the next process must know can't be saved: {e}"),
        }
    }

    /// Takes over what another process of this router has saved, if there is anything new.
    pub(super) fn take_state(&mut self) {
        let now = self.now();
        let Some(handover) = &mut self.handover else { return };
        let mut bytes = Vec::new();
        let read = std::fs::File::open(&handover.path)
            .and_then(|file| file.take(MAX_FILE as u64 + 1).read_to_end(&mut bytes));
        let hash = XxHash64::oneshot(0, &bytes);
        match read {
            Err(e) if e.kind() == ErrorKind::NotFound => {}
            Err(e) => say!("what another process has saved can't be read: {e}"),
            Ok(_) if handover.seen != Some(hash) => {
                handover.seen = Some(hash);
                let unix_ms = unix_ms();
                match State::read(&bytes, &handover.listen, unix_ms) {
                    Ok(State { excluded, .. }) => self.inbox.push(Input::HandedOver { excluded, unix_ms }),
                    Err(why) => say!("what another process has saved is not taken: {why}"),
                }
                return;
            }
            Ok(_) => {}
        }
        if handover.save_at <= now && !self.reducer.excluded().is_empty() {
            self.save_state();
        }
    }
}
