//! A router's service as one pure state machine: what it owes to clients and operators in each state.
//!
//! Owns the state; sockets, requests and machines are others'. Each input gives the next state, and what follows
//! (whether it is ready, whether a connection at rest may be closed) is read off it.
//!
//! | state | `/alive`, `/api/ready` | new connections | connections at rest |
//! | --- | --- | --- | --- |
//! | starting, no machine known | no | taken | kept |
//! | serving | yes | taken | kept |
//! | evacuating | no | taken: they come until the front has heard of it | closed after a moment |
//! | ending | no | taken for a while | kept: requests still come on them |
//! | shut | no | not taken; what still comes on old ones is refused and sent nowhere | closed at once |

mod exclusions;

use crate::api::Millis;
pub use exclusions::{Exclusions, TooMany, MOST};

/// The front has heard a no by then, and clients bring nothing new: what is at rest may be closed.
const HEARD_MS: Millis = 500.0;

/// So long after an evacuation no client's connection may be idle, or carry a request that came within the last
/// [`RECENT_MS`] (the operators' page of days, "Draining a request router").
pub const DRAINED_BY_MS: Millis = 4000.0;
/// See [`DRAINED_BY_MS`].
pub const RECENT_MS: Millis = 2000.0;

/// Where a router stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Service {
    /// It takes clients.
    #[default]
    Serving,
    /// Operators have it emptied, since then.
    Evacuating(Millis),
    /// It was told to end, at that time.
    Ending(Millis),
    /// It was told to end at that time, and takes nothing more.
    Shut(Millis),
}

impl Service {
    /// Operators have it emptied. Asked twice, the first time counts; one that ends goes on to end.
    pub fn evacuate(&mut self, now: Millis) {
        match self {
            Self::Serving => *self = Self::Evacuating(now),
            Self::Evacuating(_) | Self::Ending(_) | Self::Shut(_) => {}
        }
    }

    /// It takes clients again; false if it ends and can't.
    pub fn rejoin(&mut self) -> bool {
        match self {
            Self::Serving | Self::Evacuating(_) => *self = Self::Serving,
            Self::Ending(_) | Self::Shut(_) => return false,
        }
        true
    }

    /// It is told to end; false if it was before.
    pub fn end(&mut self, now: Millis) -> bool {
        let first = self.ending().is_none();
        if first {
            *self = Self::Ending(now);
        }
        first
    }

    /// All that came in time has been taken: nothing more is. Only one that ends is shut.
    pub fn shut(&mut self) {
        match self {
            Self::Ending(at) => *self = Self::Shut(*at),
            Self::Serving | Self::Evacuating(_) | Self::Shut(_) => {}
        }
    }

    /// Whether a request that is read now may be sent on.
    pub fn takes_requests(&self) -> bool {
        match self {
            Self::Serving | Self::Evacuating(_) | Self::Ending(_) => true,
            Self::Shut(_) => false,
        }
    }

    /// Since when operators have it emptied, if they do.
    pub fn evacuated(&self) -> Option<Millis> {
        match self {
            Self::Evacuating(since) => Some(*since),
            Self::Serving | Self::Ending(_) | Self::Shut(_) => None,
        }
    }

    /// Its name in log lines.
    pub fn key(&self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Evacuating(_) => "evacuating",
            Self::Ending(_) => "ending",
            Self::Shut(_) => "shut",
        }
    }

    /// Since when it ends.
    pub fn ending(&self) -> Option<Millis> {
        match self {
            Self::Ending(at) | Self::Shut(at) => Some(*at),
            Self::Serving | Self::Evacuating(_) => None,
        }
    }

    /// Whether clients are wanted, as far as it is this state's to say.
    pub fn takes_clients(&self) -> bool {
        *self == Self::Serving
    }

    /// Whether a client's connection with nothing open may be closed now.
    pub fn closes_at_rest(&self, now: Millis) -> bool {
        match self {
            Self::Evacuating(since) => now - since >= HEARD_MS,
            Self::Shut(_) => true,
            Self::Serving | Self::Ending(_) => false,
        }
    }
}

#[cfg(test)]
mod tests;
