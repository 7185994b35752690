//! The file in which the processes of one router claim ids of requests while they run side by side. See
//! [`crate::handover::claims`].

use super::Runtime;
use crate::front::ClientEvent;
use crate::handover::claims::{resolve, Claim, ClaimResult, CLAIM_BYTES, MAX_FILE_BYTES};
use crate::log_line;
use crate::reducer::{parse_client_id, ClientId, Input};
use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// Claims read at a time.
const CLAIMS_PER_READ: usize = 256;

/// The claims of a router's processes. While this process runs alone there is no file.
#[derive(Debug)]
pub(super) struct Claims {
    path: PathBuf,
    process: u64,
    /// The open file, while other processes run.
    file: Option<File>,
    /// How far the file was read, in bytes.
    position: u64,
    /// A file that a process has left behind as it was killed was looked for.
    checked_for_stale_file: bool,
}

impl Claims {
    pub(super) fn new(path: PathBuf, process: u64) -> Self {
        Self { path, process, file: None, position: 0, checked_for_stale_file: false }
    }

    /// Removes what processes that were killed have left behind. This process runs alone.
    fn remove_stale_file(&mut self) {
        if !std::mem::replace(&mut self.checked_for_stale_file, true) {
            let _ = fs::remove_file(&self.path); // There is none, as a rule.
        }
    }

    /// Begins to share ids, those that this process knows first. Does nothing if that has begun.
    fn begin(&mut self, known: impl FnOnce() -> Vec<ClientId>) -> io::Result<()> {
        if self.file.is_some() {
            return Ok(());
        }
        let file = File::options().create(true).read(true).append(true).open(&self.path)?;
        let mut claims = Vec::new();
        for id in known() {
            claims.extend_from_slice(&Claim { process: self.process, id }.encode());
        }
        (&file).write_all(&claims)?;
        (self.file, self.position) = (Some(file), 0);
        Ok(())
    }

    /// Ends sharing, as this process runs alone. Returns the ids of the others that were not read yet.
    fn end(&mut self) -> io::Result<Vec<ClientId>> {
        let claims = self.read()?;
        self.file = None;
        match fs::remove_file(&self.path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let foreign = claims.iter().filter(|claim| claim.process != self.process);
        Ok(foreign.map(|claim| claim.id).collect())
    }

    /// Claims an id for this process. Returns whether it is its own, and the ids that others have claimed since
    /// the last call.
    fn claim(&mut self, id: ClientId) -> io::Result<(ClaimResult, Vec<ClientId>)> {
        let own = Claim { process: self.process, id };
        let Some(file) = &self.file else { return Ok((ClaimResult::Own, Vec::new())) };
        if file.metadata()?.len() >= MAX_FILE_BYTES {
            return Err(io::Error::other("too many claims"));
        }
        // One append is atomic, so all processes see the same order.
        (&*file).write_all(&own.encode())?;
        Ok(resolve(&self.read()?, own))
    }

    /// Reads the claims since the last call.
    fn read(&mut self) -> io::Result<Vec<Claim>> {
        let Some(file) = &self.file else { return Ok(Vec::new()) };
        let (mut claims, mut buffer) = (Vec::new(), [0; CLAIMS_PER_READ * CLAIM_BYTES]);
        loop {
            let bytes = file.read_at(&mut buffer, self.position)?;
            let before = claims.len();
            claims.extend(Claim::decode_all(&buffer[..bytes]));
            let read = claims.len() - before;
            self.position += (read * CLAIM_BYTES) as u64;
            if read == 0 {
                return Ok(claims);
            }
        }
    }
}

impl Runtime {
    /// Begins to share ids of requests if another process of this router runs, and ends it if none does.
    pub(super) fn share_ids(&mut self) {
        let Some(handover) = &mut self.handover else { return };
        let others_run = handover.other_processes_run();
        let reducer = &self.reducer;
        let shared = match others_run {
            true => handover.claims.begin(|| reducer.unrepeatable_ids()).map(|()| Vec::new()),
            false if handover.claims.file.is_some() => handover.claims.end(),
            false => return handover.claims.remove_stale_file(),
        };
        match shared {
            Ok(ids) if ids.is_empty() => {}
            Ok(ids) => self.inbox.push(Input::IdsTaken { ids }),
            Err(e) => log_line!("cannot share request ids with another process: {e}"),
        }
    }

    /// Claims the id of a request that may not simply be repeated, if another process runs. A request whose id is
    /// another process's is rejected.
    pub(super) fn claim_request(&mut self, event: ClientEvent) -> ClientEvent {
        let ClientEvent::Request(serial, Ok(request), age_ms) = event else { return event };
        let Some(handover) = &mut self.handover else {
            return ClientEvent::Request(serial, Ok(request), age_ms);
        };
        let shares = handover.claims.file.is_some() && self.reducer.is_unrepeatable(&request.class);
        let Some(id) = parse_client_id(&request.id).filter(|_| shares) else {
            return ClientEvent::Request(serial, Ok(request), age_ms);
        };
        let (result, taken) = handover.claims.claim(id).unwrap_or_else(|e| {
            log_line!("cannot claim a request id: {e}");
            (ClaimResult::Own, Vec::new())
        });
        if !taken.is_empty() {
            self.inbox.push(Input::IdsTaken { ids: taken });
        }
        match result {
            ClaimResult::Own => ClientEvent::Request(serial, Ok(request), age_ms),
            ClaimResult::Taken => {
                ClientEvent::Request(serial, Err("its id is that of a request of another process"), age_ms)
            }
        }
    }
}
