//! Ids of ended requests that may have run and must not run again. A client that resends a request, because its
//! connection broke, may use the same id.

use crate::api::Millis;
use std::collections::{HashMap, VecDeque};

/// How long an id is remembered: longer than clients wait for an answer, all their retries included.
const RETENTION_MS: Millis = 30_000.0;
/// The maximum number of ids; beyond it the oldest ones are forgotten. Only what was sent to a machine is
/// remembered, so that a client can't displace the ids of others faster than requests are executed.
const MAX_IDS: usize = 8192;

/// A client's request id: 16 hexadecimal digits as a number.
pub type ClientId = u64;

/// Parses a client's request id.
pub fn parse_client_id(id: &str) -> Option<ClientId> {
    ClientId::from_str_radix(id, 16).ok()
}

/// The ids, in the order in which their requests ended.
#[derive(Debug, Default)]
pub struct RecentIds {
    ended_at: HashMap<ClientId, Millis>,
    order: VecDeque<(ClientId, Millis)>,
}

impl RecentIds {
    /// Remembers the id of a request that has ended.
    pub fn insert(&mut self, now: Millis, id: ClientId) {
        self.ended_at.insert(id, now);
        self.order.push_back((id, now));
        while self.order.front().is_some_and(|(_, at)| self.order.len() > MAX_IDS || now - at > RETENTION_MS)
        {
            let Some((oldest, at)) = self.order.pop_front() else { return };
            // It may have been inserted again.
            if self.ended_at.get(&oldest) == Some(&at) {
                self.ended_at.remove(&oldest);
            }
        }
    }

    /// Returns whether a request with this id has ended lately.
    pub fn contains(&self, now: Millis, id: ClientId) -> bool {
        self.ended_at.get(&id).is_some_and(|at| now - at <= RETENTION_MS)
    }

    /// Returns all ids.
    pub fn ids(&self) -> impl Iterator<Item = ClientId> + '_ {
        self.ended_at.keys().copied()
    }
}

#[cfg(test)]
mod tests;
