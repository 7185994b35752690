//! The fleet's settings from the operator's file, and the times that follow from them.

use crate::api::Millis;
use std::net::SocketAddr;
use twox_hash::XxHash64;

/// Maximum number of routers in one fleet: what a datagram carries about all of them has to fit into it.
pub const MAX_ROUTERS: usize = 1024;
/// Maximum number of routers in a fleet that exchanges reports of observations; larger ones use epochs. At 24
/// routers, reports spread too slowly.
pub const MAX_OBSERVATION_ROUTERS: usize = 16;
/// Maximum length in bytes of the name of a router or a fleet.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum difference between the rates of two clocks, as a fraction.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Ticks in a period; each tick sends one datagram.
const TICKS_PER_PERIOD: f64 = 5.0;

/// In epochs: periods of silence before a router is suspected, and periods that are added to the least
/// suspicion time before a router may be voted failed.
const EPOCHS_SUSPECT_PERIODS: f64 = 3.1;
const EPOCHS_EXTRA_PERIODS: f64 = 1.0;

/// A router's name as datagrams carry it: a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct RouterId(pub [u8; 4]);

impl RouterId {
    /// Returns the id of a name. Two names of one fleet with the same id are rejected when the operator's
    /// file is read.
    pub fn of(name: &str) -> Self {
        Self((XxHash64::oneshot(0, name.as_bytes()) as u32).to_le_bytes())
    }
}

/// Another router and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The name of the router.
    pub name: String,
    /// The address to which its datagrams are sent.
    pub address: SocketAddr,
}

/// The section `(fleet …)` of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the fleet. Datagrams of other fleets are rejected.
    pub fleet: String,
    /// The address at which this router receives datagrams.
    pub listen: SocketAddr,
    /// All other routers.
    pub peers: Vec<PeerAddress>,
    /// The time in ms in which a router sends five datagrams.
    pub period_ms: Millis,
    /// The least and the most time in ms from the suspicion of a router to a failure vote against it.
    pub suspicion_ms: [Millis; 2],
    /// The number of routers from which the fleet uses epochs. [`MAX_OBSERVATION_ROUTERS`] plus one, except
    /// in tests.
    pub epochs_from: usize,
}

impl Settings {
    /// Settings with the default times and without peers.
    pub fn new(fleet: &str, listen: SocketAddr) -> Self {
        let fleet = fleet.to_owned();
        Self {
            fleet,
            listen,
            peers: Vec::new(),
            period_ms: 500.0,
            suspicion_ms: [4000.0, 8000.0],
            epochs_from: MAX_OBSERVATION_ROUTERS + 1,
        }
    }

    /// Checks whether a router of this name can be a member of the fleet; otherwise returns the reason.
    pub fn check_name(&self, name: &str) -> Result<(), String> {
        if self.peers.iter().any(|peer| peer.name == name) {
            return Err(format!("{name} is among its own peers"));
        }
        let names = self.peers.iter().map(|peer| peer.name.as_str()).chain([name]);
        let ids: std::collections::BTreeSet<RouterId> = names.map(RouterId::of).collect();
        if ids.len() < self.router_count() {
            return Err(format!(
                "the fleet has two names that datagrams can't tell apart; {name} is one, or two peers"
            ));
        }
        Ok(())
    }

    /// Whether the fleet is large: see [`epochs`](super::epochs).
    pub fn uses_epochs(&self) -> bool {
        self.router_count() >= self.epochs_from
    }

    /// The number of routers in the fleet, this one included.
    pub fn router_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// The number of routers that form a majority.
    pub fn majority(&self) -> usize {
        self.router_count() / 2 + 1
    }

    /// The number of routers that must have stopped acknowledging one router for it to have no majority, not
    /// counting the router itself.
    pub fn blocking_minority(&self) -> usize {
        self.router_count() - self.majority() + 1
    }

    /// Time between two regular datagrams, in ms.
    pub fn tick_ms(&self) -> Millis {
        self.period_ms / TICKS_PER_PERIOD
    }

    /// Time in which one datagram is sent to each other router, in ms.
    pub fn round_ms(&self) -> Millis {
        self.tick_ms() * self.peers.len() as f64
    }

    /// Silence after which a directly heard router is suspected, in ms.
    pub fn suspect_after_ms(&self) -> Millis {
        if self.uses_epochs() {
            return EPOCHS_SUSPECT_PERIODS * self.period_ms;
        }
        // In a large fleet the newest reports of some routers arrive later than those of most.
        let extra_periods = 0.03 * self.peers.len().saturating_sub(11) as f64;
        (3.3 + extra_periods.min(1.0)) * self.period_ms
    }

    /// A router counts as directly heard if one of its own datagrams has arrived within this time, in ms.
    pub fn direct_within_ms(&self) -> Millis {
        self.suspect_after_ms() + self.round_ms()
    }

    /// The least silence after which a router stops acknowledging another one, in ms by its own clock.
    pub fn refuse_after_ms(&self) -> Millis {
        // In a large fleet the acknowledgements of a majority arrive more slowly, so they have to count for
        // longer.
        self.suspect_after_ms() + self.suspicion_ms[0] + self.extra_suspicion_ms()
    }

    /// Silence after which a router is sent an extra probe and answers it at once, in ms: longer than a round
    /// where that is possible, and short enough for the answer to arrive before the router is suspected.
    pub fn probe_after_ms(&self) -> Millis {
        let fraction = if self.round_ms() < 0.7 * self.suspect_after_ms() { 0.7 } else { 0.55 };
        fraction * self.suspect_after_ms()
    }

    /// Time that is added to the least suspicion, in ms, because a round takes longer with more than a dozen
    /// peers.
    pub fn extra_suspicion_ms(&self) -> Millis {
        if self.uses_epochs() {
            // A ballot goes out, is signed and comes back; the lease has to last through a time in which that
            // succeeds seldom.
            return EPOCHS_EXTRA_PERIODS * self.period_ms;
        }
        0.4 * self.tick_ms() * self.peers.len().saturating_sub(11) as f64
    }

    /// How long an acknowledgement counts, in ms from when the acknowledged heartbeat was sent, by the
    /// sender's clock. It is shorter than [`refuse_after_ms`](Self::refuse_after_ms) by more than clocks may
    /// differ, so that a router knows that it is cut off before others declare it gone.
    pub fn lease_ms(&self) -> Millis {
        // With epochs no transit times are estimated: only clock drift has to be covered.
        let fraction = if self.uses_epochs() { 0.92 } else { 0.75 };
        fraction * self.refuse_after_ms()
    }

    /// Length in ms of the windows in which the fastest transit of another router's reports is tracked.
    pub fn transit_window_ms(&self) -> Millis {
        10.0 * self.period_ms
    }

    /// The least time in ms from when a router knows that it is cut off to when another may declare it gone.
    pub fn self_detection_margin_ms(&self) -> Millis {
        // A silence may be measured from an estimated transit time, which can be wrong by the drift within
        // two windows.
        let transit_error_ms =
            if self.uses_epochs() { 0.0 } else { 2.0 * self.transit_window_ms() * MAX_CLOCK_DRIFT };
        let silence_ms = self.refuse_after_ms() * (1.0 - MAX_CLOCK_DRIFT) - transit_error_ms;
        silence_ms - self.lease_ms() * (1.0 + MAX_CLOCK_DRIFT)
    }
}

#[cfg(test)]
mod tests;
