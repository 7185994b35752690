//! Lingering close, the one place where a socket that may hold bytes is closed from this side: what is owed has left,
//! the write half is closed, and what still comes is read away until the peer closes too.
//!
//! A close over unread bytes resets the connection, and the reset throws away at the peer what was written last
//! (RFC 1122, section 4.2.2.13; RFC 9112, section 9.6). Nothing that is read here is acted upon.

use super::socket::{Io, Sock};
use super::{Runtime, Source};
use crate::api::Millis;
use std::net::Shutdown;

/// How long a peer has to close its side.
const LINGER_MS: Millis = 500.0;
/// Bytes that are read away, at most: a client may send without end.
const LINGER_BYTES: usize = 1 << 20;
/// Part of the descriptors that may linger beside as many clients as there may be; beyond it the one that has lingered
/// longest goes. Places that no client has may be taken, too.
const LINGER_SHARE: f64 = 0.05;

/// A connection whose write half is closed.
pub(super) struct Lingering {
    pub(super) sock: Sock,
    until: Millis,
    left: usize,
}

impl Runtime {
    /// Closes a socket of which nothing more is wanted. It stays in the loop under its source.
    pub(super) fn linger(&mut self, source: Source, sock: Sock) {
        if sock.stream.shutdown(Shutdown::Write).is_err() {
            self.drop_sock(&sock); // Its peer has gone already.
            return;
        }
        let until = self.now() + LINGER_MS;
        self.lingering.insert(source, Lingering { sock, until, left: LINGER_BYTES });
        self.dirty.insert(source);
        self.bound_lingering();
    }

    /// Ends those that have lingered longest where there are too many.
    pub(super) fn bound_lingering(&mut self) {
        let reserved = ((self.sockets as f64 * LINGER_SHARE) as usize).max(1);
        let most = reserved + self.reducer.max_client_connections().saturating_sub(self.fronts.len());
        while self.lingering.len() > most {
            let oldest = self.lingering.iter().min_by(|(_, a), (_, b)| a.until.total_cmp(&b.until));
            let Some(oldest) = oldest.map(|(source, _)| *source) else { break };
            self.drop_lingering(oldest);
        }
    }

    /// Reads away what a lingering connection has brought; true if this source lingers.
    pub(super) fn serve_lingering(&mut self, source: Source) -> bool {
        loop {
            let Some(Lingering { sock, left, .. }) = self.lingering.get_mut(&source) else { return false };
            match sock.read(&mut self.buffer) {
                Ok(bytes) if bytes < *left => *left -= bytes,
                Err(Io::Blocked) => return true,
                Err(Io::Starved) => {
                    self.starve(source);
                    return true;
                }
                Ok(_) | Err(Io::Closed | Io::Broken) => {
                    self.drop_lingering(source);
                    return true;
                }
            }
        }
    }

    /// When the next one has had its time.
    pub(super) fn lingering_due(&self) -> Option<Millis> {
        self.lingering.values().map(|one| one.until).reduce(f64::min)
    }

    /// Ends those that have had their time.
    pub(super) fn end_lingering(&mut self, now: Millis) {
        let over: Vec<Source> =
            self.lingering.iter().filter(|(_, one)| one.until <= now).map(|(source, _)| *source).collect();
        over.into_iter().for_each(|source| self.drop_lingering(source));
    }

    fn drop_lingering(&mut self, source: Source) {
        if let Some(one) = self.lingering.remove(&source) {
            self.drop_sock(&one.sock);
        }
    }
}
