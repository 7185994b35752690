//! Counters of requests, attempts, connections and faults, printed on a signal and at exit.

use crate::reasons::{AttemptCause, ClientClose, EndpointClose, ReasonCounts, Refusal, Violation, Withheld};

/// Counters of closes, refusals, failures, attempts and violations by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ByReason {
    /// Client connections that were closed.
    pub client_closes: ReasonCounts<ClientClose>,
    /// Connections to endpoints that were closed, or not established.
    pub endpoint_closes: ReasonCounts<EndpointClose>,
    /// Refused requests.
    pub refusals: ReasonCounts<Refusal>,
    /// Requests that failed because no further attempt was made and they may have run.
    pub failures: ReasonCounts<Refusal>,
    /// Attempts.
    pub attempts: ReasonCounts<AttemptCause>,
    /// Attempts that were withheld when their turn came.
    pub withheld: ReasonCounts<Withheld>,
    /// Violations that this process detected.
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
        /// Counters since the start of the process.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
            /// The same events, and more, by reason.
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
    /// Requests received from clients, refused ones included, malformed ones excluded.
    taken,
    /// Of the received requests, those that their client marked as a retry.
    repeats,
    /// Requests served with a body.
    served,
    /// Requests answered with the confirmation that the client's copy is still valid.
    unchanged,
    /// Requests refused.
    refused,
    /// Requests failed.
    failed,
    /// Requests that their client gave up.
    aborted,
    /// Incomplete requests refused because their memory was needed for others.
    incomplete_shed,
    /// Reads from clients while the memory for incomplete requests was full, which should not occur unless the
    /// limit was lowered.
    read_over_limit,
    /// Times that reading from a client waited for memory.
    reads_delayed,
    /// Times that requests of a client waited for memory for their bodies.
    requests_delayed,
    /// Answers whose body was read only after a wait for memory.
    answers_delayed,
    /// Client connections closed while the kernel held answers that the client had no room for yet.
    closed_unsent,
    /// Requests with missing or malformed fields, which fail at once.
    bad_requests,
    /// Requests failed at their answer deadline because nothing else had answered them.
    guarded,
    /// Requests refused for lack of memory or capacity.
    shed,
    /// Attempts that the decision module asked for.
    attempts,
    /// Attempts that served the request.
    attempt_ok,
    /// Attempts that ended with a miss.
    attempt_miss,
    /// Attempts that were turned away.
    attempt_full,
    /// Attempts that ended with an error.
    attempt_error,
    /// Attempts that timed out.
    attempt_timeout,
    /// Attempts that got no connection.
    attempt_unconnected,
    /// Attempts whose connection broke after the request was sent whole.
    attempt_reset,
    /// Attempts that were cancelled.
    attempt_cancelled,
    /// Attempts that were not sent, or arrived too late to run.
    attempt_moot,
    /// Of the attempts that were not sent, those withdrawn from a queue because they had waited too long or their
    /// machine was leaving.
    attempt_pulled,
    /// Answers to attempts that had ended already.
    answers_late,
    /// Answers with an id that is not open on their connection.
    answers_unknown,
    /// Probes sent.
    probes,
    /// Changes to the list of machines.
    lists,
    /// Purges.
    purges,
    /// Configuration reloads.
    reloads,
    /// Configurations that could not be read, so that nothing changed.
    reloads_refused,
    /// Discovery polls that failed.
    watch_faults,
    /// Client connections closed for a malformed record.
    client_faults,
    /// Client connections closed because the client sent or read nothing in time, or was gone.
    clients_stale,
    /// Idle or silent client connections closed early to make room for others.
    clients_shed,
    /// Connections to endpoints closed for an unreadable frame.
    endpoint_faults,
    /// Connection attempts to machines.
    dials,
    /// Of the connection attempts, those that were refused or timed out.
    dials_failed,
    /// Socket operations that failed because this machine lacked descriptors, memory or buffers.
    shortages,
    /// Panics caught at a connection or an event.
    panics,
}
