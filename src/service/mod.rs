//! A router's service as one pure state machine: what it owes to clients and operators in each state.
//!
//! Owns the state; sockets, requests and machines are others'. Each input gives the next state, and what follows
//! (whether it is ready, what becomes of a client's connection) is read off it.
//!
//! | state | `/alive`, `/api/ready` | new connections | requests and connections ([`Admission`]) |
//! | --- | --- | --- | --- |
//! | starting, no machine known | no | taken | taken and kept |
//! | serving | yes | taken | taken and kept |
//! | evacuating | no | taken: they come until the front has heard of it | by the age of the call, [`Admission`] in its order |
//! | ending | no | taken for a while | taken and kept, or as the evacuation before it has it |
//! | shut | no | not taken | refused, and closed at rest; later what is left is answered and closed |
//!
//! Each state that is to be left empty has a time by which it is, whatever clients do: none waits for a rest that a client
//! need not grant.

mod exclusions;

use crate::api::Millis;
use crate::reasons::Refusal;
pub use exclusions::{Exclusions, TooMany, MAX_EXCLUSIONS};

/// The front has heard a no by then, and clients bring nothing new: what is at rest may be closed.
const HEARD_MS: Millis = 500.0;
/// From then on an evacuated router refuses what comes, so that a connection that is never at rest becomes so. What came
/// before is over [`RECENT_MS`] old by the end of the drain.
const REFUSE_MS: Millis = 1800.0;
/// From then on an evacuated router closes the connections on which requests still come.
const CLOSE_MS: Millis = 3500.0;
/// So long after an evacuation no client's connection may be idle, or carry a request that came within the last
/// [`RECENT_MS`] (the operators' page of days, "Draining a request router").
pub const DRAINED_BY_MS: Millis = 4000.0;
/// See [`DRAINED_BY_MS`].
pub const RECENT_MS: Millis = 2000.0;

/// What is done with requests that come, and with clients' connections; each step takes more away than the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// Requests are taken, connections are kept.
    Open,
    /// Requests are taken; a connection at rest is closed.
    CloseIdle,
    /// Requests are refused as they come; a connection at rest is closed.
    Refuse,
    /// What is open on a connection is answered, what is half read on it is refused, and it is closed.
    Close,
}

impl Admission {
    /// What an evacuation so long ago has come to.
    fn of_evacuation(age_ms: Millis) -> Self {
        match age_ms {
            age if age >= CLOSE_MS => Self::Close,
            age if age >= REFUSE_MS => Self::Refuse,
            age if age >= HEARD_MS => Self::CloseIdle,
            _ => Self::Open,
        }
    }
}

/// An end that was asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Termination {
    /// When it was.
    at: Millis,
    /// By then all is answered, and connections are closed.
    close_at: Millis,
    /// Since when it was evacuated before: that goes on.
    evacuated: Option<Millis>,
}

/// Where a router stands.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Service {
    /// It takes clients.
    #[default]
    Serving,
    /// Operators have it emptied, since then.
    Evacuating(Millis),
    /// It was told to end.
    Terminating(Termination),
    /// It was told to end, and takes nothing more.
    ShuttingDown(Termination),
}

impl Service {
    /// Operators have it emptied. Asked twice, the first time counts; one that ends goes on to end.
    pub fn evacuate(&mut self, now: Millis) {
        match self {
            Self::Serving => *self = Self::Evacuating(now),
            Self::Evacuating(_) | Self::Terminating(_) | Self::ShuttingDown(_) => {}
        }
    }

    /// It takes clients again; false if it ends and can't.
    pub fn rejoin(&mut self) -> bool {
        match self {
            Self::Serving | Self::Evacuating(_) => *self = Self::Serving,
            Self::Terminating(_) | Self::ShuttingDown(_) => return false,
        }
        true
    }

    /// It is told to end, with so long to answer what is open; false if it was before.
    pub fn terminate(&mut self, now: Millis, patience_ms: Millis) -> bool {
        let evacuated = match self {
            Self::Serving => None,
            Self::Evacuating(since) => Some(*since),
            Self::Terminating(_) | Self::ShuttingDown(_) => return false,
        };
        *self = Self::Terminating(Termination { at: now, close_at: now + patience_ms, evacuated });
        true
    }

    /// All that came in time has been taken: nothing more is. Only one that ends is shut.
    pub fn shut_down(&mut self) {
        match self {
            Self::Terminating(end) => *self = Self::ShuttingDown(*end),
            Self::Serving | Self::Evacuating(_) | Self::ShuttingDown(_) => {}
        }
    }

    /// What is done now with what comes. An end takes nothing back of an evacuation.
    pub fn admission(&self, now: Millis) -> Admission {
        let evacuation =
            self.evacuating_since().map_or(Admission::Open, |since| Admission::of_evacuation(now - since));
        match self {
            Self::Serving | Self::Evacuating(_) | Self::Terminating(_) => evacuation,
            Self::ShuttingDown(end) if now >= end.close_at => Admission::Close,
            Self::ShuttingDown(_) => evacuation.max(Admission::Refuse),
        }
    }

    /// When the intake changes next by the clock alone.
    pub fn next_admission_change(&self, now: Millis) -> Option<Millis> {
        let evacuation = [HEARD_MS, REFUSE_MS, CLOSE_MS];
        let steps = self.evacuating_since().into_iter().flat_map(|since| evacuation.map(|step| since + step));
        let close_at = match self {
            Self::ShuttingDown(end) => Some(end.close_at),
            Self::Serving | Self::Evacuating(_) | Self::Terminating(_) => None,
        };
        let takes_more = |at: &Millis| *at > now && self.admission(*at) > self.admission(now);
        steps.chain(close_at).filter(takes_more).reduce(f64::min)
    }

    /// Why a request that is read now is refused, if it is.
    pub fn refusal(&self, now: Millis) -> Option<Refusal> {
        if self.admission(now) < Admission::Refuse {
            return None;
        }
        match self {
            Self::ShuttingDown(_) => Some(Refusal::ShuttingDown),
            Self::Serving | Self::Evacuating(_) | Self::Terminating(_) => Some(Refusal::Draining),
        }
    }

    /// Whether a connection that is not at rest is closed now, given when the latest of its requests began to come (`None`:
    /// nothing is owed on it, but half a record has come). One on which nothing has come since an evacuated router refuses
    /// requests may wait for its answers.
    pub fn closes_busy(&self, now: Millis, latest: Option<Millis>) -> bool {
        if self.admission(now) < Admission::Close {
            return false;
        }
        match self {
            Self::ShuttingDown(end) if now >= end.close_at => true,
            Self::Serving | Self::Evacuating(_) | Self::Terminating(_) | Self::ShuttingDown(_) => {
                let refused_from = self.evacuating_since().map_or(0.0, |since| since + REFUSE_MS);
                latest.is_none_or(|latest| latest >= refused_from)
            }
        }
    }

    /// Since when operators have it emptied, if they do.
    pub fn evacuating_since(&self) -> Option<Millis> {
        match self {
            Self::Serving => None,
            Self::Evacuating(since) => Some(*since),
            Self::Terminating(end) | Self::ShuttingDown(end) => end.evacuated,
        }
    }

    /// Since when it ends.
    pub fn terminating_since(&self) -> Option<Millis> {
        match self {
            Self::Terminating(end) | Self::ShuttingDown(end) => Some(end.at),
            Self::Serving | Self::Evacuating(_) => None,
        }
    }

    /// Whether clients are wanted, as far as it is this state's to say.
    pub fn accepts_clients(&self) -> bool {
        *self == Self::Serving
    }

    /// Its name in log lines.
    pub fn key(&self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Evacuating(_) => "evacuating",
            Self::Terminating(_) => "ending",
            Self::ShuttingDown(_) => "shut",
        }
    }
}

#[cfg(test)]
mod tests;
