//! Who else routes here, who hears whom, and whether this router is cut off.
//!
//! Owns what this router knows of the others, bounded by [`MAX_ROUTERS`]. It never opens a socket, never reads a clock, never
//! touches a request: time comes in as an argument, datagrams and events go out as values.
//!
//! A fleet of up to [`ROWS_UPTO`](settings::ROWS_UPTO) routers passes on rows of who has heard whom ([`observations`]); a larger one calls
//! a roll twice a second ([`epochs`]). The sentences are the same, and each says by which lines it keeps them.
//!
//! **Holds at every instant**, whatever is lost, late, doubled, stalled, restarted or cut, while clocks run alike within
//! [`MAX_CLOCK_DRIFT`](settings::MAX_CLOCK_DRIFT):
//!
//! - *Who is called gone knew before that it was cut off.*
//! - *No word about or from an earlier start counts.*
//! - *A term that has ended never comes back.*
//!
//! **Holds once faults end**: whoever is heard both ways by a majority, through any helper, has its standing and is alive at
//! all others; whoever is dead is gone at all that have a majority.

pub mod epochs;
pub mod local_health;
mod member;
pub mod observations;
pub mod quorum;
mod rate_limit;
pub mod settings;
mod view;
pub mod wire;

pub use member::{Reachability, State};
pub use settings::{PeerAddress, RouterId, Settings, MAX_ROUTERS};
pub use view::{MemberView, SelfView, View};
pub use wire::{QuorumStatus, RejectReason};

use crate::api::Millis;
use epochs::Rolls;
use observations::Rows;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What there is to do or to tell.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A datagram leaves.
    Send {
        /// Where it goes.
        to: SocketAddr,
        /// What it is.
        bytes: Vec<u8>,
    },
    /// This router's standing has changed, or its term.
    QuorumChanged {
        /// What it is now.
        status: QuorumStatus,
        /// Its term.
        term: u32,
        /// How long ago that began, in ms: after a standstill it is noticed late, but held from then on.
        ago_ms: Millis,
        /// How many answer it, itself among them, of how many.
        heard_by: (usize, usize),
    },
    /// Another router's state has changed.
    MemberChanged {
        /// Whose.
        name: String,
        /// Which start of it, and which term.
        start: u64,
        /// See [`Row::term`](wire::Row::term).
        term: u32,
        /// What it was, and is.
        states: (State, State),
        /// Why.
        why: String,
    },
    /// This router's own timers have stood still for so long.
    Stalled(Millis),
    /// Another process goes or went by this router's name: its start is now this one.
    StartRaised(u64),
}

/// Datagrams that came and went.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Taken.
    pub accepted: u64,
    /// Refused, by why.
    pub rejected: BTreeMap<RejectReason, u64>,
}

/// One router's picture of the fleet, by the way that fits its size.
#[derive(Clone, Debug)]
pub enum Fleet {
    /// A small one.
    Rows(Box<Rows>),
    /// A large one.
    Rolls(Box<Rolls>),
}

/// The same call of whichever it is.
macro_rules! either {
    ($self:expr, $way:ident => $call:expr) => {
        match $self {
            Self::Rows($way) => $call,
            Self::Rolls($way) => $call,
        }
    };
}

impl Fleet {
    /// One that begins now: `start` is greater than that of any earlier one of this name, as far as is known; the clock is
    /// steady and counts sleep (CLOCK_BOOTTIME). An error names the one of the peers that can't be.
    pub fn new(set: Settings, name: &str, start: u64, now: Millis, seed: u64) -> Result<Self, String> {
        set.named(name)?;
        Ok(if set.calls_rolls() {
            Self::Rolls(Box::new(Rolls::new(set, name, start, now, seed)))
        } else {
            Self::Rows(Box::new(Rows::new(set, name, start, now, seed)))
        })
    }

    /// What the file says.
    pub fn settings(&self) -> &Settings {
        either!(self, way => way.settings())
    }

    /// When the next turn is due.
    pub fn next_deadline(&self) -> Millis {
        either!(self, way => way.next_deadline())
    }

    /// What has come and gone.
    pub fn counts(&self) -> &Counts {
        either!(self, way => way.counts())
    }

    /// This start, as it is now known to others.
    pub fn start(&self) -> u64 {
        either!(self, way => way.start())
    }

    /// What this router can say of itself at this very moment, and in which term: asked by whatever rests on it, each time
    /// before it acts.
    pub fn quorum_status(&self, now: Millis) -> (QuorumStatus, u32) {
        either!(self, way => way.quorum_status(now))
    }

    /// Takes the effects so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        either!(self, way => way.take_effects())
    }

    /// A datagram. One that is refused is counted and changes nothing.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> Result<(), RejectReason> {
        either!(self, way => way.receive(now, bytes))
    }

    /// A turn, where one is due: judges the silent, and sends.
    pub fn tick(&mut self, now: Millis) {
        either!(self, way => way.tick(now))
    }

    /// This router ends: others are told, once, out of turn.
    pub fn leave(&mut self, now: Millis) {
        either!(self, way => way.leave(now))
    }

    /// The picture at this moment.
    pub fn view(&self, now: Millis) -> View {
        either!(self, way => way.view(now))
    }

    /// How many of the others are in each state, by its word.
    pub fn count_by_state(&self) -> [(&'static str, usize); 5] {
        either!(self, way => way.count_by_state())
    }
}
