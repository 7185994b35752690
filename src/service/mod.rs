//! The state machine of a router's service: what it offers clients and operators in each state.
//!
//! The state machine is pure: sockets, requests and machines belong to other modules. Each input leads to the
//! next state, and the consequences (readiness, what happens to client connections) are derived from the
//! state.
//!
//! | state | `/alive`, `/api/ready` | new connections | requests and connections ([`Admission`]) |
//! | --- | --- | --- | --- |
//! | starting, no machine known | no | accepted | accepted and kept |
//! | serving | yes | accepted | accepted and kept |
//! | evacuating | no | accepted, as clients come until health checks fail | by the evacuation's age |
//! | terminating | no | accepted for a while | accepted and kept, or as in an evacuation before it |
//! | shutting down | no | not accepted | refused, idle ones closed; later all are answered and closed |
//!
//! Each state that must lose its clients has a deadline of its own. None waits for connections to become
//! idle, as clients need not let them.

mod exclusions;

use crate::api::Millis;
use crate::reasons::Refusal;
pub use exclusions::{Exclusions, TooMany, MAX_EXCLUSIONS};

/// Time after which an evacuated router closes idle connections: health checks have failed by then, and no
/// new clients come.
const CLOSE_IDLE_AFTER_MS: Millis = 500.0;
/// Time after which an evacuated router refuses requests, so that connections that are never idle become
/// idle. Requests from before are older than [`RECENT_MS`] by the end of the drain.
const REFUSE_AFTER_MS: Millis = 1800.0;
/// Time after which an evacuated router closes connections on which requests still arrive.
const CLOSE_AFTER_MS: Millis = 3500.0;
/// Time after the start of an evacuation at which no client connection may be idle, or carry a request that
/// arrived within the last [`RECENT_MS`] (the operators' guide, "Draining a request router").
pub const DRAINED_BY_MS: Millis = 4000.0;
/// The age below which a request counts as recent, see [`DRAINED_BY_MS`].
pub const RECENT_MS: Millis = 2000.0;

/// How requests and client connections are treated, in order of strictness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// Requests are accepted, connections are kept.
    Open,
    /// Requests are accepted, idle connections are closed.
    CloseIdle,
    /// Requests are refused as they arrive, idle connections are closed.
    Refuse,
    /// Open requests are answered, partly received requests are refused, and all connections are closed.
    Close,
}

impl Admission {
    /// Returns the admission of a router that was evacuated this long ago.
    fn during_evacuation(age_ms: Millis) -> Self {
        match age_ms {
            age if age >= CLOSE_AFTER_MS => Self::Close,
            age if age >= REFUSE_AFTER_MS => Self::Refuse,
            age if age >= CLOSE_IDLE_AFTER_MS => Self::CloseIdle,
            _ => Self::Open,
        }
    }
}

/// A termination that was asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Termination {
    /// When it was asked for.
    at: Millis,
    /// When all requests are answered and connections are closed.
    close_at: Millis,
    /// The start of an evacuation before the termination, which goes on.
    evacuating_since: Option<Millis>,
}

/// The state of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Service {
    /// Accepts clients.
    #[default]
    Serving,
    /// Is being emptied by operators, since this time.
    Evacuating(Millis),
    /// Was asked to terminate, and still accepts connections and requests.
    Terminating(Termination),
    /// Was asked to terminate, and accepts nothing more.
    ShuttingDown(Termination),
}

impl Service {
    /// Starts an evacuation. A repeated call keeps the first start, and a terminating router keeps
    /// terminating.
    pub fn evacuate(&mut self, now: Millis) {
        match self {
            Self::Serving => *self = Self::Evacuating(now),
            Self::Evacuating(_) | Self::Terminating(_) | Self::ShuttingDown(_) => {}
        }
    }

    /// Accepts clients again. Returns false if the router is terminating.
    pub fn rejoin(&mut self) -> bool {
        match self {
            Self::Serving | Self::Evacuating(_) => *self = Self::Serving,
            Self::Terminating(_) | Self::ShuttingDown(_) => return false,
        }
        true
    }

    /// Starts the termination, with this much time to answer open requests. Returns false if it has started
    /// before.
    pub fn terminate(&mut self, now: Millis, answer_window_ms: Millis) -> bool {
        let evacuating_since = match self {
            Self::Serving => None,
            Self::Evacuating(since) => Some(*since),
            Self::Terminating(_) | Self::ShuttingDown(_) => return false,
        };
        *self =
            Self::Terminating(Termination { at: now, close_at: now + answer_window_ms, evacuating_since });
        true
    }

    /// Accepts nothing more, once all that came in time has been accepted. Only a terminating router shuts
    /// down.
    pub fn shut_down(&mut self) {
        match self {
            Self::Terminating(termination) => *self = Self::ShuttingDown(*termination),
            Self::Serving | Self::Evacuating(_) | Self::ShuttingDown(_) => {}
        }
    }

    /// Returns how requests and connections are treated now. A termination relaxes nothing of an evacuation.
    pub fn admission(&self, now: Millis) -> Admission {
        let evacuation = self
            .evacuating_since()
            .map_or(Admission::Open, |since| Admission::during_evacuation(now - since));
        match self {
            Self::Serving | Self::Evacuating(_) | Self::Terminating(_) => evacuation,
            Self::ShuttingDown(termination) if now >= termination.close_at => Admission::Close,
            Self::ShuttingDown(_) => evacuation.max(Admission::Refuse),
        }
    }

    /// Returns when the admission changes next without another input.
    pub fn next_admission_change(&self, now: Millis) -> Option<Millis> {
        let delays_ms = [CLOSE_IDLE_AFTER_MS, REFUSE_AFTER_MS, CLOSE_AFTER_MS];
        let steps =
            self.evacuating_since().into_iter().flat_map(|since| delays_ms.map(|delay_ms| since + delay_ms));
        let close_at = match self {
            Self::ShuttingDown(termination) => Some(termination.close_at),
            Self::Serving | Self::Evacuating(_) | Self::Terminating(_) => None,
        };
        let stricter = |at: &Millis| *at > now && self.admission(*at) > self.admission(now);
        steps.chain(close_at).filter(stricter).reduce(f64::min)
    }

    /// Returns why a request that is read now is refused, if it is.
    pub fn refusal(&self, now: Millis) -> Option<Refusal> {
        if self.admission(now) < Admission::Refuse {
            return None;
        }
        match self {
            Self::ShuttingDown(_) => Some(Refusal::ShuttingDown),
            Self::Serving | Self::Evacuating(_) | Self::Terminating(_) => Some(Refusal::Draining),
        }
    }

    /// Returns whether a connection that is not idle is closed now. `latest` is when the latest of its
    /// requests began to arrive, `None` if no request is open but part of a record has arrived. A connection
    /// on which nothing has arrived since requests are refused may wait for its answers.
    pub fn closes_busy(&self, now: Millis, latest: Option<Millis>) -> bool {
        if self.admission(now) < Admission::Close {
            return false;
        }
        match self {
            Self::ShuttingDown(termination) if now >= termination.close_at => true,
            Self::Serving | Self::Evacuating(_) | Self::Terminating(_) | Self::ShuttingDown(_) => {
                let refused_from = self.evacuating_since().map_or(0.0, |since| since + REFUSE_AFTER_MS);
                latest.is_none_or(|latest| latest >= refused_from)
            }
        }
    }

    /// Returns the start of the evacuation, if the router is being emptied.
    pub fn evacuating_since(&self) -> Option<Millis> {
        match self {
            Self::Serving => None,
            Self::Evacuating(since) => Some(*since),
            Self::Terminating(termination) | Self::ShuttingDown(termination) => termination.evacuating_since,
        }
    }

    /// Returns when the termination was asked for.
    pub fn terminating_since(&self) -> Option<Millis> {
        match self {
            Self::Terminating(termination) | Self::ShuttingDown(termination) => Some(termination.at),
            Self::Serving | Self::Evacuating(_) => None,
        }
    }

    /// Returns whether clients are accepted, as far as this state decides it.
    pub fn accepts_clients(&self) -> bool {
        *self == Self::Serving
    }

    /// Returns the state's name in log lines.
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
