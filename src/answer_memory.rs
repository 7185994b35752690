//! Account of the memory that answers take on their way from machines to clients.
//!
//! An answer is charged when its length is known, before its body is read, and stays charged until its client
//! has been sent it. A body that does not fit is not read yet: it waits in the kernel's buffers, which slows
//! its machine down and costs no answer. Bodies that have begun always have room to end. Performs no I/O.

use crate::api::Millis;
use crate::back::ConnectionKey;
use std::collections::{BTreeMap, VecDeque};

/// Time that a body waits for room, at most. It is then read whatever is charged, one such body at a time:
/// clients that read nothing must not block the machines' connections.
const MAX_WAIT_MS: Millis = 1000.0;

/// A body that waits for room.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    connection: ConnectionKey,
    bytes: usize,
    since: Millis,
}

/// The account.
#[derive(Debug, Default)]
pub struct AnswerMemory {
    limit: usize,
    /// Bodies being read, by the connection that they arrive on.
    arriving: BTreeMap<ConnectionKey, usize>,
    arriving_total: usize,
    /// Memory of what is queued for clients and not sent.
    unsent: usize,
    /// Bodies that wait, the longest first.
    waiting: VecDeque<Waiting>,
    /// What the whole process has room for.
    process_room: usize,
    /// The connection whose body is read beyond the limit.
    overdue: Option<ConnectionKey>,
}

impl AnswerMemory {
    /// Creates an empty account with a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, process_room: usize::MAX, ..Self::default() }
    }

    /// Changes the limit. What is charged beyond a lower one stays until it is sent.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Sets for how many bytes the whole process has room. A body that does not fit waits, whatever this account says.
    pub fn set_process_room(&mut self, bytes: usize) {
        self.process_room = bytes;
    }

    /// Returns the number of bytes charged.
    pub fn charged(&self) -> usize {
        self.arriving_total + self.unsent
    }

    /// Whether the account is half full, so that nothing should be taken on for clients that read nothing.
    pub fn is_half_full(&self) -> bool {
        self.charged() >= self.limit / 2
    }

    /// Charges a body that is about to be read. Returns false if it must wait;
    /// [`AnswerMemory::take_admitted`] returns its connection later.
    pub fn admit(&mut self, now: Millis, connection: ConnectionKey, bytes: usize) -> bool {
        if self.waiting.is_empty() && self.fits(bytes) {
            self.charge_arriving(connection, bytes);
            return true;
        }
        self.waiting.push_back(Waiting { connection, bytes, since: now });
        false
    }

    /// Charges the bodies that have room now, and returns their connections. The order of arrival is kept, so
    /// that small bodies do not starve large ones.
    pub fn take_admitted(&mut self, now: Millis) -> Vec<ConnectionKey> {
        let mut admitted = Vec::new();
        while let Some(first) = self.waiting.front().copied() {
            if !self.fits(first.bytes) {
                if self.overdue.is_some() || now - first.since < MAX_WAIT_MS {
                    break;
                }
                self.overdue = Some(first.connection);
            }
            self.waiting.pop_front();
            self.charge_arriving(first.connection, first.bytes);
            admitted.push(first.connection);
        }
        admitted
    }

    /// Returns when [`AnswerMemory::take_admitted`] must be called at the latest.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.waiting.front().filter(|_| self.overdue.is_none()).map(|first| first.since + MAX_WAIT_MS)
    }

    /// Ends the charge of a connection's body: it has arrived, or its connection has closed.
    pub fn release(&mut self, connection: ConnectionKey) {
        self.waiting.retain(|waiting| waiting.connection != connection);
        self.arriving_total -= self.arriving.remove(&connection).unwrap_or(0);
        self.overdue = self.overdue.filter(|overdue| *overdue != connection);
    }

    /// Records that the memory of a client's output queue has changed, in bytes.
    pub fn unsent_changed(&mut self, before: usize, after: usize) {
        self.unsent = self.unsent + after - before;
    }

    /// Returns the number of bodies that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn fits(&self, bytes: usize) -> bool {
        // A body larger than the limit is read alone.
        self.charged() == 0 || (self.charged() + bytes <= self.limit && bytes <= self.process_room)
    }

    fn charge_arriving(&mut self, connection: ConnectionKey, bytes: usize) {
        *self.arriving.entry(connection).or_default() += bytes;
        self.arriving_total += bytes;
        self.process_room = self.process_room.saturating_sub(bytes);
    }
}

#[cfg(test)]
mod tests;
