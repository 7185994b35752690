//! Figures of what the router takes in, sends and answers; printed on a signal and at exit.

use crate::reasons::{AttemptCause, ClientClose, EndpointClose, ReasonCounts, Refusal, Violation, Withheld};

/// Closes, refusals, failures and attempts by their reasons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ByReason {
    /// Client connections that ended.
    pub client_closes: ReasonCounts<ClientClose>,
    /// Connections to endpoints that ended, or never came up.
    pub endpoint_closes: ReasonCounts<EndpointClose>,
    /// Requests refused.
    pub refusals: ReasonCounts<Refusal>,
    /// Requests failed since no further attempt was made and they may have run.
    pub failures: ReasonCounts<Refusal>,
    /// Attempts.
    pub attempts: ReasonCounts<AttemptCause>,
    /// Attempts that were not begun as their turn came.
    pub withheld: ReasonCounts<Withheld>,
    /// Rules that this process has seen itself break.
    pub violations: ReasonCounts<Violation>,
}

impl std::fmt::Display for ByReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.client_closes.write(f, "client_closed")?;
        self.endpoint_closes.write(f, "endpoint_closed")?;
        self.refusals.write(f, "refused")?;
        self.failures.write(f, "failed")?;
        self.attempts.write(f, "attempted")?;
        self.withheld.write(f, "withheld")?;
        write!(f, " violations={}", self.violations.total())?;
        self.violations.write(f, "violation")
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
            /// The same and more by reason.
            pub reasons: ByReason,
        }

        impl std::fmt::Display for Counters {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("counters")?;
                $(write!(f, " {}={}", stringify!($name), self.$name)?;)*
                self.reasons.fmt(f)
            }
        }
    };
}

counters! {
    /// Requests taken from clients.
    taken,
    /// Of these, those that a client marked as a retry.
    repeats,
    /// Final answers: served with a body.
    served,
    /// Served by saying that the client's copy is the one.
    unchanged,
    /// Refused.
    refused,
    /// Failed.
    failed,
    /// Requests that their client gave up.
    aborted,
    /// Requests with missing or bad fields, failed at once.
    bad_requests,
    /// Requests answered by the guard, since nothing else had.
    guarded,
    /// Requests refused for want of memory or room.
    shed,
    /// Attempts asked for by the module.
    attempts,
    /// Attempts that served.
    attempt_ok,
    /// Attempts that found nothing suitable.
    attempt_miss,
    /// Attempts turned away.
    attempt_full,
    /// Attempts that ended with an error.
    attempt_error,
    /// Attempts that ran out of time.
    attempt_timeout,
    /// Attempts that found no connection.
    attempt_unconnected,
    /// Attempts whose connection broke after they were written whole.
    attempt_reset,
    /// Attempts called off.
    attempt_cancelled,
    /// Attempts that were not sent, or came too late to run.
    attempt_moot,
    /// Of these, those pulled from a queue because they had waited too long or their machine was leaving.
    attempt_pulled,
    /// Answers nobody waited for any more.
    answers_late,
    /// Answers under an id that is not open there.
    answers_unknown,
    /// Probes sent.
    probes,
    /// Changes of the list of machines.
    lists,
    /// Purges.
    purges,
    /// Configs read anew.
    reloads,
    /// Configs that could not be read, so that nothing changed.
    reloads_refused,
    /// Polls of the discovery watch that failed.
    watch_faults,
    /// Client connections closed for a malformed record.
    client_faults,
    /// Client connections closed since their client was silent, deaf or gone.
    clients_stale,
    /// Idle or silent ones closed early, to make room for others.
    clients_shed,
    /// Connections to endpoints closed for an unreadable frame.
    endpoint_faults,
    /// Connections opened to machines.
    dials,
    /// Of these, those refused or not up in time.
    dials_failed,
    /// Times that this machine lacked something for a socket: descriptors, memory, buffers.
    shortages,
    /// Panics stopped at a connection or an event.
    panics,
}
