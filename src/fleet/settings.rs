//! What the operator's file says of the fleet, and the times that follow from it.

use crate::api::Millis;
use std::net::SocketAddr;
use twox_hash::XxHash64;

/// Routers in one fleet, at most: what a datagram says of all of them is to fit it.
pub const MAX_ROUTERS: usize = 1024;
/// Up to so many pass on rows of who has heard whom; more call rolls. Measured: at 24, rows are too slow to keep pace.
pub const ROWS_UPTO: usize = 16;
/// Bytes of a router's or a fleet's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Clocks that should run alike may differ by so much of a time.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// A period holds so many turns, each of which sends one datagram.
const TURNS: f64 = 5.0;

/// Where rolls are called: periods of silence before one is suspected, and those by which it is given up later than by the least
/// suspicion.
const ROLLS_MISSED: f64 = 3.1;
const ROLLS_MORE: f64 = 1.0;

/// A router's name as datagrams carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct RouterId(pub [u8; 4]);

impl RouterId {
    /// The name's. Two names of one fleet that share it are refused where the file is read.
    pub fn of(name: &str) -> Self {
        Self((XxHash64::oneshot(0, name.as_bytes()) as u32).to_le_bytes())
    }
}

/// Another router, and where it is reached from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Its name.
    pub name: String,
    /// Where its datagrams go.
    pub address: SocketAddr,
}

/// `(fleet …)`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The fleet's name: datagrams of others are foreign.
    pub fleet: String,
    /// Where this router hears the others.
    pub listen: SocketAddr,
    /// All others.
    pub peers: Vec<PeerAddress>,
    /// Time in which five datagrams leave.
    pub period_ms: Millis,
    /// Least and most time from suspicion to the word that a router is gone.
    pub suspicion_ms: [Millis; 2],
    /// From so many routers on the fleet calls rolls: [`ROWS_UPTO`] and one, but for tests.
    pub rolls_from: usize,
}

impl Settings {
    /// The usual times.
    pub fn new(fleet: &str, listen: SocketAddr) -> Self {
        let fleet = fleet.to_owned();
        Self {
            fleet,
            listen,
            peers: Vec::new(),
            period_ms: 500.0,
            suspicion_ms: [4000.0, 8000.0],
            rolls_from: ROWS_UPTO + 1,
        }
    }

    /// Whether a router of this name can be in this fleet; else why not.
    pub fn named(&self, name: &str) -> Result<(), String> {
        if self.peers.iter().any(|peer| peer.name == name) {
            return Err(format!("{name} is among its own peers"));
        }
        let names = self.peers.iter().map(|peer| peer.name.as_str()).chain([name]);
        let ids: std::collections::BTreeSet<RouterId> = names.map(RouterId::of).collect();
        if ids.len() < self.routers() {
            return Err(format!(
                "the fleet has two names that datagrams can't tell apart; {name} is one, or two peers"
            ));
        }
        Ok(())
    }

    /// Whether the fleet is large: see [`epochs`](super::epochs).
    pub fn calls_rolls(&self) -> bool {
        self.routers() >= self.rolls_from
    }

    /// Routers that the file names, this one among them.
    pub fn routers(&self) -> usize {
        self.peers.len() + 1
    }

    /// How many are more than half.
    pub fn majority(&self) -> usize {
        self.routers() / 2 + 1
    }

    /// How many must have stopped answering one router for it to have no majority any more, itself never among them.
    pub fn blocking(&self) -> usize {
        self.routers() - self.majority() + 1
    }

    /// Time between two datagrams that leave by turns.
    pub fn turn_ms(&self) -> Millis {
        self.period_ms / TURNS
    }

    /// Time in which each other router is sent to once.
    pub fn round_ms(&self) -> Millis {
        self.turn_ms() * self.peers.len() as f64
    }

    /// Silence after which a router that is heard directly is suspected.
    pub fn suspect_ms(&self) -> Millis {
        if self.calls_rolls() {
            return ROLLS_MISSED * self.period_ms;
        }
        // In a large fleet the newest words of some come later than those of most.
        let more = 0.03 * self.peers.len().saturating_sub(11) as f64;
        (3.3 + more.min(1.0)) * self.period_ms
    }

    /// A router is heard directly if one of its own datagrams has come within this.
    pub fn direct_ms(&self) -> Millis {
        self.suspect_ms() + self.round_ms()
    }

    /// Least silence after which a router stops answering another one, by its own clock.
    pub fn refuse_ms(&self) -> Millis {
        // In a large fleet answers of a majority come more slowly, so they must count for longer.
        self.suspect_ms() + self.suspicion_ms[0] + self.more_ms()
    }

    /// Silence after which a router is asked, and answers, out of turn: longer than a round where that is possible, and early
    /// enough for the answer to come before it is suspected.
    pub fn ask_ms(&self) -> Millis {
        let part = if self.round_ms() < 0.7 * self.suspect_ms() { 0.7 } else { 0.55 };
        part * self.suspect_ms()
    }

    /// What is added to the least suspicion, as datagrams go to more than a dozen by turns.
    pub fn more_ms(&self) -> Millis {
        if self.calls_rolls() {
            // A roll goes out, is signed, and comes back: a lease bears that this happens seldom for a while.
            return ROLLS_MORE * self.period_ms;
        }
        0.4 * self.turn_ms() * self.peers.len().saturating_sub(11) as f64
    }

    /// How long an answer counts, from when what it answers was sent, by the clock of the one that sent it. Shorter than
    /// [`refuse_ms`](Self::refuse_ms) by more than clocks may differ: here stands that a router knows first.
    pub fn lease_ms(&self) -> Millis {
        // Rolls reckon no words' time on their way: clocks are all that differs.
        let part = if self.calls_rolls() { 0.92 } else { 0.75 };
        part * self.refuse_ms()
    }

    /// Time over which the quickest way of another router's words is looked for.
    pub fn window_ms(&self) -> Millis {
        10.0 * self.period_ms
    }

    /// The least time from when a router knows that it is cut off to when anyone may call it gone.
    pub fn knows_before_ms(&self) -> Millis {
        // A silence may be reckoned from words on their way, whose time is known but for the drift within two windows.
        let reckoned = if self.calls_rolls() { 0.0 } else { 2.0 * self.window_ms() * MAX_CLOCK_DRIFT };
        let silence = self.refuse_ms() * (1.0 - MAX_CLOCK_DRIFT) - reckoned;
        silence - self.lease_ms() * (1.0 + MAX_CLOCK_DRIFT)
    }
}

#[cfg(test)]
mod tests;
