//! The race of dials for one connection (RFC 8305, section 5): staggered starts, the next at once on a refusal,
//! the first one up wins, the others are closed before anything is written on them.

use super::Endpoint;
use crate::api::Millis;
use std::collections::VecDeque;

/// A dial's number, never used again.
pub type DialKey = u64;

/// A dial that is open.
#[derive(Clone, Debug, PartialEq)]
pub struct Dial {
    /// Its number.
    pub key: DialKey,
    /// Where to.
    pub endpoint: Endpoint,
    /// Since when.
    pub since: Millis,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum DialStep {
    /// Dial there under this number.
    Start(DialKey, Endpoint),
    /// Close a dial to make room for the next: it has had its time.
    Drop(DialKey, Endpoint),
}

/// A race that is won.
#[derive(Clone, Debug, PartialEq)]
pub struct RaceWin {
    /// The way it goes.
    pub endpoint: Endpoint,
    /// Time to connect.
    pub took_ms: Millis,
    /// Dials to be closed; true for those that began before the winner, and were overtaken.
    pub losers: Vec<(DialKey, Endpoint, bool)>,
}

/// The dials for one connection.
#[derive(Debug)]
pub struct DialRace {
    pending: VecDeque<Endpoint>,
    open: Vec<Dial>,
    /// Nothing is dialled beside an open dial before then.
    next_dial_at: Millis,
    delay_ms: Millis,
    /// The one whole bound.
    deadline: Millis,
    /// It waits for a free place.
    waiting_for_slot: bool,
    /// Nothing is dialled before then: the latest dial could not even be begun.
    not_before: Millis,
    /// Dials in a row that could not be begun, and whether this machine lacked something for the latest.
    postponements: u32,
    lacks_resources: bool,
}

/// First and longest pause after a dial that could not be begun.
const POSTPONE_MS: [Millis; 2] = [10.0, 40.0];

impl DialRace {
    /// A race over `candidates` in their order, `delay` apart, over at `until`.
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

    /// Starts what is due. `free` is how many more dials may be open now; where none may and this race has one
    /// that has had its time, that one makes room.
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

    /// A dial has failed: the next starts at once. Where it led to; `None`: it isn't of this race.
    pub fn dial_failed(&mut self, now: Millis, key: DialKey) -> Option<Endpoint> {
        let at = self.open.iter().position(|dial| dial.key == key)?;
        self.next_dial_at = now;
        Some(self.open.remove(at).endpoint)
    }

    /// A dial could not be begun: it is tried again after a short pause. `no_room`: as this machine lacked something.
    pub fn postpone_dial(&mut self, now: Millis, key: DialKey, lacks_resources: bool) {
        let Some(at) = self.open.iter().position(|dial| dial.key == key) else { return };
        self.pending.push_front(self.open.remove(at).endpoint);
        let [first, longest] = POSTPONE_MS;
        self.not_before = now + (first * f64::from(1 << self.postponements.min(8))).min(longest);
        self.postponements += 1;
        self.lacks_resources = lacks_resources;
    }

    /// Whether there is another way to be tried, or under way.
    pub fn has_others(&self) -> bool {
        self.open.len() + self.pending.len() > 1
    }

    /// Whether no dial is under way since this machine lacks something.
    pub fn lacks_resources(&self) -> bool {
        self.lacks_resources && self.open.is_empty()
    }

    /// A dial is up: the race is over.
    pub fn win(self, now: Millis, key: DialKey) -> Result<RaceWin, Self> {
        let Some(winner) = self.open.iter().find(|dial| dial.key == key).cloned() else { return Err(self) };
        let losers = self.open.into_iter().filter(|dial| dial.key != key);
        let losers = losers.map(|dial| (dial.key, dial.endpoint, dial.since < winner.since)).collect();
        Ok(RaceWin { endpoint: winner.endpoint, took_ms: now - winner.since, losers })
    }

    /// The ways have changed: dials to others are to be closed, and new ways wait behind.
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

    /// Dials that are open.
    pub fn open_dials(&self) -> &[Dial] {
        &self.open
    }

    /// Whether there is nothing more to wait for.
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.deadline || (self.open.is_empty() && self.pending.is_empty())
    }

    /// When to look next.
    pub fn deadline(&self) -> Millis {
        if self.open.is_empty() && self.pending.is_empty() {
            0.0 // It is over.
        } else if self.pending.is_empty() || self.waiting_for_slot {
            self.deadline
        } else {
            self.next_dial_at.max(self.not_before).min(self.deadline)
        }
    }
}
