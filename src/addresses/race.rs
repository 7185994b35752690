//! The race of dials for one connection (RFC 8305, section 5): dials start in intervals, the next one starts
//! at once after a failure, the first to connect wins, and the others are closed before anything is written
//! on them.

use super::Endpoint;
use crate::api::Millis;
use std::collections::VecDeque;

/// Number of a dial; never reused.
pub type DialKey = u64;

/// An open dial.
#[derive(Clone, Debug, PartialEq)]
pub struct Dial {
    /// Its number.
    pub key: DialKey,
    /// The endpoint dialed.
    pub endpoint: Endpoint,
    /// When it started.
    pub since: Millis,
}

/// A step for the caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum DialStep {
    /// Start a dial with this number.
    Start(DialKey, Endpoint),
    /// Close a dial that had its time, to make room for the next one.
    Drop(DialKey, Endpoint),
}

/// The result of a race that was won.
#[derive(Clone, Debug, PartialEq)]
pub struct RaceWin {
    /// The connected endpoint.
    pub endpoint: Endpoint,
    /// Time to connect, in milliseconds.
    pub took_ms: Millis,
    /// The dials to close; true for those that started before the winner and were overtaken.
    pub losers: Vec<(DialKey, Endpoint, bool)>,
}

/// The dials for one connection.
#[derive(Debug)]
pub struct DialRace {
    pending: VecDeque<Endpoint>,
    open: Vec<Dial>,
    /// Earliest time for a dial in addition to an open one.
    next_dial_at: Millis,
    delay_ms: Millis,
    /// End of the race, whatever is dialed.
    deadline: Millis,
    /// Whether the race waits because the limit on open dials is reached.
    waiting_for_slot: bool,
    /// Earliest time for any dial after one that could not be started.
    not_before: Millis,
    /// Number of consecutive dials that could not be started, and whether the router lacked a resource for
    /// the latest.
    postponements: u32,
    lacks_resources: bool,
}

/// First and longest pause after a dial that could not be started.
const POSTPONE_MS: [Millis; 2] = [10.0, 40.0];

impl DialRace {
    /// Creates a race over `candidates` in their order, with `delay_ms` between dials, that ends at
    /// `deadline`.
    pub fn new(now: Millis, candidates: Vec<Endpoint>, delay_ms: Millis, deadline: Millis) -> Self {
        let pending = candidates.into();
        Self {
            pending,
            open: Vec::new(),
            next_dial_at: now,
            delay_ms,
            deadline,
            waiting_for_slot: false,
            not_before: now,
            postponements: 0,
            lacks_resources: false,
        }
    }

    /// Starts the dials that are due. `free` is the number of further dials that may be open; if it is 0, an
    /// open dial of this race that had its time is closed to make room.
    pub fn poll(&mut self, now: Millis, mut free: usize, next: &mut DialKey) -> Vec<DialStep> {
        let mut steps = Vec::new();
        self.waiting_for_slot = false;
        if now < self.not_before {
            return steps;
        }
        while now < self.deadline
            && !self.pending.is_empty()
            && (now >= self.next_dial_at || self.open.is_empty())
        {
            if free == 0 {
                if self.open.is_empty() {
                    self.waiting_for_slot = true;
                    break;
                }
                let oldest = self.open.remove(0);
                steps.push(DialStep::Drop(oldest.key, oldest.endpoint));
                free += 1;
            }
            let Some(endpoint) = self.pending.pop_front() else { break };
            *next += 1;
            free -= 1;
            self.lacks_resources = false;
            self.open.push(Dial { key: *next, endpoint: endpoint.clone(), since: now });
            self.next_dial_at = now + self.delay_ms;
            steps.push(DialStep::Start(*next, endpoint));
        }
        steps
    }

    /// Removes a failed dial; the next one starts at once. Returns its endpoint, or `None` if the dial is not
    /// of this race.
    pub fn dial_failed(&mut self, now: Millis, key: DialKey) -> Option<Endpoint> {
        let at = self.open.iter().position(|dial| dial.key == key)?;
        self.next_dial_at = now;
        Some(self.open.remove(at).endpoint)
    }

    /// Retries a dial that could not be started after a short pause. `lacks_resources` says that the router
    /// lacked a resource for it.
    pub fn postpone_dial(&mut self, now: Millis, key: DialKey, lacks_resources: bool) {
        let Some(at) = self.open.iter().position(|dial| dial.key == key) else { return };
        self.pending.push_front(self.open.remove(at).endpoint);
        let [first, longest] = POSTPONE_MS;
        self.not_before = now + (first * f64::from(1 << self.postponements.min(8))).min(longest);
        self.postponements += 1;
        self.lacks_resources = lacks_resources;
    }

    /// Whether another endpoint is being dialed or waiting.
    pub fn has_others(&self) -> bool {
        self.open.len() + self.pending.len() > 1
    }

    /// Whether no dial is open because the router lacks a resource.
    pub fn lacks_resources(&self) -> bool {
        self.lacks_resources && self.open.is_empty()
    }

    /// Ends the race with the dial that connected. Returns the race unchanged if the dial is not of this
    /// race.
    pub fn win(self, now: Millis, key: DialKey) -> Result<RaceWin, Self> {
        let Some(winner) = self.open.iter().find(|dial| dial.key == key).cloned() else { return Err(self) };
        let losers = self.open.into_iter().filter(|dial| dial.key != key);
        let losers = losers.map(|dial| (dial.key, dial.endpoint, dial.since < winner.since)).collect();
        Ok(RaceWin { endpoint: winner.endpoint, took_ms: now - winner.since, losers })
    }

    /// Takes over a changed list of endpoints. Returns the dials to close. If that leaves nothing to dial,
    /// the race continues with the new list.
    pub fn restrict(&mut self, candidates: &[Endpoint]) -> Vec<DialKey> {
        let (kept, closed): (Vec<Dial>, Vec<Dial>) =
            std::mem::take(&mut self.open).into_iter().partition(|dial| candidates.contains(&dial.endpoint));
        self.open = kept;
        self.pending.retain(|endpoint| candidates.contains(endpoint));
        if !closed.is_empty() && self.open.is_empty() && self.pending.is_empty() {
            self.pending.extend(candidates.iter().cloned());
        }
        closed.into_iter().map(|dial| dial.key).collect()
    }

    /// Returns the open dials.
    pub fn open_dials(&self) -> &[Dial] {
        &self.open
    }

    /// Whether the race has ended without a connection.
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.deadline || (self.open.is_empty() && self.pending.is_empty())
    }

    /// Returns when the race must be polled next.
    pub fn deadline(&self) -> Millis {
        if self.open.is_empty() && self.pending.is_empty() {
            0.0 // The race is over.
        } else if self.pending.is_empty() || self.waiting_for_slot {
            self.deadline
        } else {
            self.next_dial_at.max(self.not_before).min(self.deadline)
        }
    }
}
