//! Membership of the fleet of request routers: which other routers are alive, and whether this router has a
//! quorum.
//!
//! The module holds what this router knows of the others, bounded by [`MAX_ROUTERS`]. It does no I/O and
//! reads no clock: time comes in as an argument, and datagrams and events go out as values ([`Effect`]). It
//! does not touch requests.
//!
//! A router is identified by its name. Each process of it has a *start* number, which grows from process to
//! process; within a start, *terms* number its periods of quorum. A router that has not been heard for long
//! enough becomes suspect (SWIM with suspicion), then other routers cast *failure votes* against its
//! term: a vote is irrevocable, and a voter never acknowledges that term again. The router is *gone* once so
//! many have voted that the rest is no majority.
//!
//! A fleet of up to [`MAX_OBSERVATION_ROUTERS`](settings::MAX_OBSERVATION_ROUTERS) routers exchanges reports
//! of who has heard whom ([`observations`]). A larger one runs in epochs of one period each, in which
//! routers sign ballots ([`epochs`]). Both give the same guarantees, and the documentation of each says which
//! functions keep them.
//!
//! **Safety**: holds at every instant, whatever is lost, delayed, duplicated, stalled, restarted or
//! partitioned, as long as clock rates differ by at most [`MAX_CLOCK_DRIFT`](settings::MAX_CLOCK_DRIFT):
//!
//! - *Self-detection first*: a router knows that it is cut off before any other router declares it gone.
//! - *No stale starts*: no message about or from an earlier start of a router counts.
//! - *Terms end for good*: a term that has ended never becomes valid again.
//!
//! **Liveness**: holds once faults end. A router that exchanges datagrams in both directions with a majority,
//! directly or through relays, has a quorum and is alive at all others. A dead router is gone at all routers
//! that have a quorum.

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
use epochs::EpochMembership;
use observations::ObservationMembership;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An action for the caller to carry out, or an event for it to log.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// The quorum status of this router or its term has changed.
    QuorumChanged {
        /// The new status.
        status: QuorumStatus,
        /// The term of the status.
        term: u32,
        /// How long ago the status changed, in ms. After a stall the change is noticed late, but it took
        /// effect at this time.
        ago_ms: Millis,
        /// How many routers acknowledge this one, itself included, and how many routers the fleet has.
        heard_by: (usize, usize),
    },
    /// The state of another router has changed.
    MemberChanged {
        /// The name of the router.
        name: String,
        /// The start number of the router.
        start: u64,
        /// The term of the router; see [`Report::term`](wire::Report::term).
        term: u32,
        /// The state before and after the change.
        states: (State, State),
        /// The reason for the change.
        why: String,
    },
    /// This process did not run its timers for so many ms.
    Stalled(Millis),
    /// Another process uses or used this router's name with a later start number; this router's start number
    /// is now this one.
    StartRaised(u64),
}

/// Counters of datagrams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Datagrams rejected, by reason.
    pub rejected: BTreeMap<RejectReason, u64>,
}

/// The membership as one router sees it, by the protocol for the size of the fleet.
#[derive(Clone, Debug)]
pub enum Fleet {
    /// The protocol of small fleets.
    Observations(Box<ObservationMembership>),
    /// The protocol of large fleets.
    Epochs(Box<EpochMembership>),
}

/// Calls the same method of whichever protocol is in use.
macro_rules! dispatch {
    ($self:expr, $membership:ident => $call:expr) => {
        match $self {
            Self::Observations($membership) => $call,
            Self::Epochs($membership) => $call,
        }
    };
}

impl Fleet {
    /// Creates the membership of a router that starts now. `start` must be greater than the start number of
    /// any earlier process of this name, as far as is known. `now` is the time of a steady clock in ms that
    /// includes sleep (CLOCK_BOOTTIME). Fails if the name conflicts with the name of a peer.
    pub fn new(settings: Settings, name: &str, start: u64, now: Millis, seed: u64) -> Result<Self, String> {
        settings.check_name(name)?;
        Ok(if settings.uses_epochs() {
            Self::Epochs(Box::new(EpochMembership::new(settings, name, start, now, seed)))
        } else {
            Self::Observations(Box::new(ObservationMembership::new(settings, name, start, now, seed)))
        })
    }

    /// Returns the settings of the fleet.
    pub fn settings(&self) -> &Settings {
        dispatch!(self, membership => membership.settings())
    }

    /// Returns when [`tick`](Self::tick) is to be called next.
    pub fn next_deadline(&self) -> Millis {
        dispatch!(self, membership => membership.next_deadline())
    }

    /// Returns the counters of datagrams.
    pub fn counts(&self) -> &Counts {
        dispatch!(self, membership => membership.counts())
    }

    /// Returns this router's start number, which may have been raised since the router started.
    pub fn start(&self) -> u64 {
        dispatch!(self, membership => membership.start())
    }

    /// Returns this router's quorum status and term at `now`. Whatever relies on the quorum asks this each
    /// time before it acts.
    pub fn quorum_status(&self, now: Millis) -> (QuorumStatus, u32) {
        dispatch!(self, membership => membership.quorum_status(now))
    }

    /// Returns and clears the pending effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        dispatch!(self, membership => membership.take_effects())
    }

    /// Handles a received datagram. A rejected datagram is counted and changes nothing.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> Result<(), RejectReason> {
        dispatch!(self, membership => membership.receive(now, bytes))
    }

    /// Does the periodic work if it is due: checks for silent routers and sends datagrams.
    pub fn tick(&mut self, now: Millis) {
        dispatch!(self, membership => membership.tick(now))
    }

    /// Announces that this router ends: one extra datagram each to other routers.
    pub fn leave(&mut self, now: Millis) {
        dispatch!(self, membership => membership.leave(now))
    }

    /// Returns the view of the fleet at `now`.
    pub fn view(&self, now: Millis) -> View {
        dispatch!(self, membership => membership.view(now))
    }

    /// Counts the other routers in each state, by the name of the state.
    pub fn count_by_state(&self) -> [(&'static str, usize); 5] {
        dispatch!(self, membership => membership.count_by_state())
    }
}
