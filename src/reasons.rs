//! Reasons for closes, refusals, failures, attempts and withheld attempts. Log events and counters share
//! these enums, so that every close, retry and refusal has a reason.

use std::collections::BTreeMap;
use std::fmt;

/// Defines an enum whose variants have a name for counters and log fields, and a description for people.
macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident {
        $($(#[$variant_doc:meta])* $variant:ident: $key:literal, $description:literal;)*
    }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl Reason for $name {
            const ALL: &'static [Self] = &[$(Self::$variant,)*];

            fn key(self) -> &'static str {
                match self {
                    $(Self::$variant => $key,)*
                }
            }

            fn description(self) -> &'static str {
                match self {
                    $(Self::$variant => $description,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.description())
            }
        }
    };
}

/// The common interface of all reasons.
pub trait Reason: Copy + Ord + 'static {
    /// All reasons of this kind.
    const ALL: &'static [Self];

    /// Returns the name in counters and log fields: lower case, words joined by `_`.
    fn key(self) -> &'static str;

    /// Returns the description for people.
    fn description(self) -> &'static str;
}

reasons! {
    /// Why a client connection is closed.
    ClientClose {
        /// The client closed its side.
        PeerClosed: "peer_closed", "closed by the client";
        /// The connection broke: a reset, or a lost route.
        PeerReset: "peer_reset", "connection reset by the client";
        /// A record on the connection can't be read.
        Unreadable: "unreadable", "unreadable record";
        /// No whole request was received in time.
        RequestTimeout: "silent", "request timeout";
        /// The connection was idle for longer than clients keep idle connections.
        Idle: "idle", "idle for too long";
        /// The client reads none of the answers written to it.
        WriteTimeout: "deaf", "the client reads no answers";
        /// The client sent a part of a record, and its memory was needed for others.
        MemoryFull: "no_memory", "no memory for a partial record";
        /// The connection's descriptor was needed for another client.
        Shed: "shed", "shed to free a descriptor";
        /// The router is being emptied or terminates, and no request is open on the connection.
        Draining: "draining", "idle while the router drains";
        /// The client asked for the connection to be closed after its last answer (no KEEP_CONN).
        NoKeepConn: "not_kept", "the client sends no further requests";
        /// The process exits.
        ProcessExit: "process_exit", "the process exits";
        /// A panic occurred while the connection was served.
        Panic: "panic", "panic";
    }
}

reasons! {
    /// Why a connection to an endpoint is closed, or was not established.
    EndpointClose {
        /// The endpoint closed the connection.
        PeerClosed: "peer_closed", "closed";
        /// The connection broke: a reset, or a lost route.
        Broken: "broken", "broken";
        /// A frame on the connection can't be read.
        Unreadable: "unreadable", "unreadable";
        /// An answer stopped after it had begun.
        Stalled: "stalled", "an answer stopped short";
        /// The connection carried nothing for long enough, or its endpoint is retired.
        Idle: "idle", "idle";
        /// The connection was not established in time.
        ConnectTimeout: "not_up", "not up in time";
        /// This machine had no descriptor, memory or port for the connection in time.
        NoRoom: "no_room", "no room for a connection in time";
        /// The endpoint did not answer the greeting in time.
        NoGreeting: "no_greeting", "no greeting";
        /// The connection is not established yet, and nothing waits for it any more.
        NotNeeded: "not_wanted", "not wanted any more";
        /// The machine that answers there has another name than the one that was dialled.
        WrongName: "wrong_name", "another machine answers there";
        /// The endpoint's machine has restarted since it was dialled.
        Restarted: "restarted", "its machine has started anew";
        /// An attempt was given up that must not be delivered any more.
        AttemptGivenUp: "given_up", "an undelivered attempt was given up";
        /// A panic occurred while the connection was served.
        Panic: "panic", "panic";
    }
}

reasons! {
    /// Why a request is refused: a retry does no harm.
    Refusal {
        /// The request was read after the router stopped accepting requests.
        ShuttingDown: "shutting_down", "the router is shutting down";
        /// The request was read, or was open, on a connection that an evacuated router closes.
        Draining: "draining", "the router is draining";
        /// The largest number of open requests is reached.
        TooManyOpen: "too_many_open", "too many requests are open";
        /// The bodies of open requests use all memory reserved for them.
        BodyMemoryFull: "bodies_full", "no memory for the request body";
        /// The answer deadline has passed already.
        DeadlineExpired: "no_time_left", "deadline expired";
        /// The request was served, but its answer was dropped to stay within the memory limit.
        AnswerDropped: "answer_dropped", "no memory for the answer";
        /// No endpoint can take the request.
        NoEndpoint: "no_endpoint", "no endpoint available";
        /// The largest number of attempts was made.
        AttemptsExhausted: "tries_used", "attempts exhausted";
        /// The time left is less than the transfer takes.
        DeadlineUnreachable: "too_late", "deadline can't be met";
        /// All endpoints are too loaded to serve the request within its aim.
        Overload: "overload", "endpoint overloaded";
        /// No machine holds the object, and it may not be filled now.
        NotCached: "not_held", "not cached, and fills are held back";
        /// The request may have run, and its class or deduplication window allows no repeat now.
        RetryNotAllowed: "no_repeat", "retry not allowed";
        /// Several endpoints in turn answered with an error, and none has served the object before.
        UnknownObject: "unknown", "object unknown to the endpoints";
        /// A plug-in advised to refuse the request.
        RefusedByPlugin: "advised", "refused by a plug-in";
    }
}

reasons! {
    /// Why an attempt is made.
    AttemptCause {
        /// The first attempt of the request.
        First: "first", "first";
        /// The previous attempt ended without an answer in time.
        AfterTimeout: "after_timeout", "after a time-out";
        /// The previous attempt was answered with an error.
        AfterError: "after_error", "after an error";
        /// The previous attempt was turned away.
        AfterFull: "after_full", "after a rejected attempt";
        /// The previous attempt was a miss.
        AfterMiss: "after_miss", "after a miss";
        /// The previous attempt got no connection.
        AfterConnectFailed: "after_connect_failed", "after a failed connection";
        /// The connection of the previous attempt broke.
        AfterReset: "after_reset", "after a reset";
        /// The previous attempt was cancelled.
        AfterCancelled: "after_cancelled", "after a cancelled attempt";
        /// The previous attempt was not sent.
        AfterUnsent: "after_unsent", "after an unsent attempt";
        /// Another attempt is in flight and seems lost.
        Hedge: "hedge", "hedge for an attempt that seems lost";
    }
}

reasons! {
    /// Why a queued attempt is withheld when its first byte is about to be sent.
    Withheld {
        /// The reducer has no such attempt: the client has left, or the attempt was given up.
        UnknownAttempt: "unknown", "unknown attempt";
        /// The endpoint is leaving, or has left.
        EndpointLeaving: "endpoint_leaves", "endpoint leaving";
        /// The source of the fill is leaving, or has left.
        SourceLeaving: "source_leaves", "source leaving";
        /// The latest send time has passed: the window for a repeat, or the time for a connection to be
        /// established.
        SendWindowExpired: "too_late", "send window expired";
        /// The window in which the request may be repeated ended while the attempt was partly written.
        RepeatWindowExpired: "window_over", "window for repeats over";
        /// The answer deadline has passed.
        ClientDeadlineExpired: "out_of_time", "client deadline expired";
        /// The request must not run twice, and an earlier attempt may have run.
        MayHaveRun: "may_have_run", "may have run and must not run twice";
        /// Another attempt of the request is in flight, and concurrent attempts are not allowed.
        ConcurrentAttempt: "two_at_once", "concurrent attempt in flight";
    }
}

impl Withheld {
    /// Returns whether the attempt should have been withdrawn, or not requested, before this check. If so,
    /// reaching the check is a fault of this process.
    pub fn is_violation(self) -> bool {
        match self {
            Self::SendWindowExpired | Self::RepeatWindowExpired | Self::ClientDeadlineExpired => false,
            Self::UnknownAttempt
            | Self::EndpointLeaving
            | Self::SourceLeaving
            | Self::MayHaveRun
            | Self::ConcurrentAttempt => true,
        }
    }
}

reasons! {
    /// A broken rule that this process detected, or prevented at the last check. Each is counted, and none
    /// should ever occur.
    Violation {
        /// An attempt that must not be sent was about to be sent, and was withheld.
        ForbiddenSend: "begin", "a forbidden attempt was about to be sent";
        /// A client was still connected after the time for which an evacuated router may keep it.
        ConnectedPastDrain: "held_past_drain", "a client is still connected after a drain";
        /// A client connection was closed from this side although requests received whole on it were
        /// unanswered.
        ClosedUnanswered: "closed_owing", "a connection was closed with unanswered requests";
    }
}

/// How often each reason of a kind was given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReasonCounts<R: Reason>(BTreeMap<R, u64>);

impl<R: Reason> Default for ReasonCounts<R> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<R: Reason> ReasonCounts<R> {
    /// Counts a reason.
    pub fn add(&mut self, reason: R) {
        *self.0.entry(reason).or_default() += 1;
    }

    /// Returns how often a reason was given.
    pub fn get(&self, reason: R) -> u64 {
        self.0.get(&reason).copied().unwrap_or(0)
    }

    /// Returns how often any reason was given.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// Writes ` PREFIX_KEY=COUNT` for each reason that was given.
    pub fn write(&self, f: &mut fmt::Formatter<'_>, prefix: &str) -> fmt::Result {
        self.0.iter().try_for_each(|(reason, count)| write!(f, " {prefix}_{}={count}", reason.key()))
    }
}

#[cfg(test)]
mod tests;
