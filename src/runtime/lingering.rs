//! Lingering close, the only place where this side closes a socket that may hold unread bytes: after all
//! output is written, the write half is shut down, and input is discarded until the peer closes too.
//!
//! Closing a socket with unread bytes resets the connection, and the reset discards data that the peer has
//! not read yet (RFC 1122, section 4.2.2.13; RFC 9112, section 9.6). Input read here has no effect.

use super::socket::{IoStatus, PolledSocket};
use super::{Runtime, Source};
use crate::api::Millis;
use std::net::Shutdown;

/// Time for the peer to close its side.
const LINGER_MS: Millis = 500.0;
/// Bytes discarded per connection, at most, as a client may send without end.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Share of the descriptors reserved for lingering connections when the number of clients is at its limit.
/// Beyond it the connection that has lingered longest is closed. Unused client slots may be taken too.
const LINGER_SHARE: f64 = 0.05;

/// A connection whose write half is shut down.
pub(super) struct Lingering {
    pub(super) socket: PolledSocket,
    deadline: Millis,
    remaining_bytes: usize,
}

impl Runtime {
    /// Starts the lingering close of a socket, which stays registered with the event loop under its source.
    pub(super) fn linger(&mut self, source: Source, socket: PolledSocket) {
        if socket.stream.shutdown(Shutdown::Write).is_err() {
            self.close_socket(&socket); // The peer has disconnected already.
            return;
        }
        let deadline = self.now() + LINGER_MS;
        self.lingering.insert(source, Lingering { socket, deadline, remaining_bytes: MAX_DISCARDED_BYTES });
        self.runnable.insert(source);
        self.limit_lingering();
    }

    /// Closes the connections that have lingered longest while there are too many.
    pub(super) fn limit_lingering(&mut self) {
        let reserved = ((self.max_sockets as f64 * LINGER_SHARE) as usize).max(1);
        let limit = reserved + self.reducer.max_client_connections().saturating_sub(self.clients.len());
        while self.lingering.len() > limit {
            let oldest = self.lingering.iter().min_by(|(_, a), (_, b)| a.deadline.total_cmp(&b.deadline));
            let Some(oldest) = oldest.map(|(source, _)| *source) else { break };
            self.drop_lingering(oldest);
        }
    }

    /// Discards the input of a lingering connection. Returns whether the source is a lingering connection.
    pub(super) fn serve_lingering(&mut self, source: Source) -> bool {
        loop {
            let Some(Lingering { socket, remaining_bytes, .. }) = self.lingering.get_mut(&source) else {
                return false;
            };
            match socket.read(&mut self.buffer) {
                Ok(bytes) if bytes < *remaining_bytes => *remaining_bytes -= bytes,
                Err(IoStatus::Blocked) => return true,
                Err(IoStatus::Shortage) => {
                    self.defer_for_shortage(source);
                    return true;
                }
                Ok(_) | Err(IoStatus::Closed | IoStatus::Broken) => {
                    self.drop_lingering(source);
                    return true;
                }
            }
        }
    }

    /// Returns the earliest deadline of a lingering connection.
    pub(super) fn next_linger_deadline(&self) -> Option<Millis> {
        self.lingering.values().map(|lingering| lingering.deadline).reduce(f64::min)
    }

    /// Closes the connections whose deadline has passed.
    pub(super) fn expire_lingering(&mut self, now: Millis) {
        let expired: Vec<Source> =
            self.lingering.iter().filter(|(_, one)| one.deadline <= now).map(|(source, _)| *source).collect();
        expired.into_iter().for_each(|source| self.drop_lingering(source));
    }

    fn drop_lingering(&mut self, source: Source) {
        if let Some(lingering) = self.lingering.remove(&source) {
            self.close_socket(&lingering.socket);
        }
    }
}
