//! Lingering close, the only place where this side closes a socket that may hold unread bytes: after all
//! output is written, the write half is shut down, and input is discarded until the peer closes too.
//!
//! Closing a socket with unread bytes, and bytes that arrive after the close, reset the connection, and the
//! reset discards what the kernel has not sent yet (RFC 1122, section 4.2.2.13; RFC 9112, section 9.6). So a
//! connection lingers for longer if the kernel still holds output. Input read here has no effect.

use super::socket::{IoStatus, PolledSocket};
use super::{Runtime, Source};
use crate::api::Millis;
use crate::front::Unsent;
use crate::trace_event;
use std::net::Shutdown;

/// Time for the peer to close its side.
const LINGER_MS: Millis = 500.0;
/// Time for a peer that reads 1 MB/s to read what the kernel holds: up to 4 MB by default
/// (net.ipv4.tcp_wmem). One that reads slower gets it again as long as it is seen to read.
const UNSENT_LINGER_MS: Millis = 4000.0;
/// Longest time for which a peer is waited for, however slowly it reads.
const MAX_LINGER_MS: Millis = 30_000.0;
/// Bytes discarded per connection, at most, as a client may send without end. Further input is left unread.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Share of the descriptors reserved for lingering connections when the number of clients is at its limit.
/// Beyond it the connection that has lingered longest is closed. Unused client slots may be taken too.
const LINGER_SHARE: f64 = 0.05;

/// A connection whose write half is shut down.
pub(super) struct Lingering {
    pub(super) socket: PolledSocket,
    deadline: Millis,
    remaining_bytes: usize,
    /// Unsent output that the kernel held when it was last checked.
    unsent: Unsent,
    /// When the connection is closed at the latest.
    last_deadline: Millis,
}

impl Lingering {
    /// Whether the kernel held unsent output when it was last checked.
    fn has_unsent(&self) -> bool {
        self.unsent != Unsent::Nothing
    }

    /// Sets a new deadline if the peer has read since the last one. Returns false if it has not.
    fn extend(&mut self, now: Millis) -> bool {
        if !self.has_unsent() {
            return false;
        }
        let before = self.unsent;
        self.unsent = self.socket.unsent(before);
        let wait_ms = if self.has_unsent() { UNSENT_LINGER_MS } else { LINGER_MS };
        self.deadline = (now + wait_ms).min(self.last_deadline);
        self.unsent < before && self.deadline > now
    }
}

/// Why a lingering connection is closed.
#[derive(Clone, Copy, Debug)]
enum LingerEnd {
    /// The peer has closed its side, or the connection is broken.
    PeerClosed,
    /// Its time is over.
    Deadline,
    /// Too many connections linger.
    TooMany,
}

impl Runtime {
    /// Starts the lingering close of a socket, which stays registered with the event loop under its source.
    pub(super) fn linger(&mut self, source: Source, socket: PolledSocket) {
        let unsent = socket.unsent(Unsent::Nothing);
        if socket.stream.shutdown(Shutdown::Write).is_err() {
            self.close_socket(&socket); // The peer has disconnected already.
            return;
        }
        let now = self.now();
        let deadline = now + if unsent == Unsent::Nothing { LINGER_MS } else { UNSENT_LINGER_MS };
        let (remaining_bytes, last_deadline) = (MAX_DISCARDED_BYTES, now + MAX_LINGER_MS);
        let lingering = Lingering { socket, deadline, remaining_bytes, unsent, last_deadline };
        self.lingering.insert(source, lingering);
        self.runnable.insert(source);
        self.limit_lingering();
    }

    /// Closes lingering connections while there are too many: those with nothing unsent first, as a reset
    /// costs them no answer, and of these the ones that have lingered longest.
    pub(super) fn limit_lingering(&mut self) {
        let reserved = ((self.max_sockets as f64 * LINGER_SHARE) as usize).max(1);
        let limit = reserved + self.reducer.max_client_connections().saturating_sub(self.clients.len());
        while self.lingering.len() > limit {
            let order = |one: &Lingering, other: &Lingering| {
                let (one_unsent, other_unsent) = (one.has_unsent(), other.has_unsent());
                one_unsent.cmp(&other_unsent).then(one.deadline.total_cmp(&other.deadline))
            };
            let first = self.lingering.iter().min_by(|(_, one), (_, other)| order(one, other));
            let Some(first) = first.map(|(source, _)| *source) else { break };
            self.drop_lingering(first, LingerEnd::TooMany);
        }
    }

    /// Discards the input of a lingering connection. Returns whether the source is a lingering connection.
    pub(super) fn serve_lingering(&mut self, source: Source) -> bool {
        loop {
            let Some(Lingering { socket, remaining_bytes, .. }) = self.lingering.get_mut(&source) else {
                return false;
            };
            if *remaining_bytes == 0 {
                return true;
            }
            match socket.read(&mut self.buffer) {
                Ok(bytes) => *remaining_bytes = remaining_bytes.saturating_sub(bytes),
                Err(IoStatus::Blocked) => return true,
                Err(IoStatus::Shortage) => {
                    self.defer_for_shortage(source);
                    return true;
                }
                Err(IoStatus::Closed | IoStatus::Broken) => {
                    self.drop_lingering(source, LingerEnd::PeerClosed);
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
        let due = self.lingering.iter_mut().filter(|(_, one)| one.deadline <= now);
        let expired: Vec<Source> =
            due.filter_map(|(source, one)| (!one.extend(now)).then_some(*source)).collect();
        expired.into_iter().for_each(|source| self.drop_lingering(source, LingerEnd::Deadline));
    }

    fn drop_lingering(&mut self, source: Source, why: LingerEnd) {
        if let Some(lingering) = self.lingering.remove(&source) {
            let (had_unsent, unread_limit_reached) = (lingering.has_unsent(), lingering.remaining_bytes == 0);
            trace_event!(self.now(), "linger_ended", ?source, ?why, had_unsent, unread_limit_reached);
            self.close_socket(&lingering.socket);
        }
    }
}
