//! Why a connection was closed, a request refused or failed, an attempt made or withheld: the enums that log events and
//! counters share, so that no close, retry or refusal is without a reason.

use std::collections::BTreeMap;
use std::fmt;

/// Defines an enum whose variants have a name for counters and log fields, and words for people.
macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident: $key:literal, $words:literal;)* }) => {
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
                    $(Self::$variant => $words,)*
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

/// What all these enums have in common.
pub trait Reason: Copy + Ord + 'static {
    /// Every reason of this kind.
    const ALL: &'static [Self];

    /// Its name in counters and log fields: lower case, words joined by `_`.
    fn key(self) -> &'static str;

    /// Its name for people.
    fn description(self) -> &'static str;
}

reasons! {
    /// Why a client's connection ends.
    ClientClose {
        /// The client has closed its side.
        PeerClosed: "peer_closed", "closed by the client";
        /// The connection broke: a reset, or a path that is gone.
        PeerReset: "peer_reset", "broken by the client";
        /// A record on it can't be read.
        Unreadable: "unreadable", "a record can't be read";
        /// It held most of the memory that requests still coming in may take.
        NoMemory: "no_memory", "no memory for what it sends";
        /// No whole request came in time.
        RequestTimeout: "silent", "no request in time";
        /// It rested for longer than clients keep idle connections.
        Idle: "idle", "idle for too long";
        /// Its client takes nothing of what it is owed.
        WriteTimeout: "deaf", "its client reads nothing";
        /// Its descriptor was needed for another client.
        Shed: "shed", "its descriptor was needed";
        /// The router is being emptied or ends, and nothing is open on it.
        Draining: "draining", "at rest while the router drains";
        /// Its client asked for it to be closed after its last answer (no KEEP_CONN).
        NoKeepConn: "not_kept", "the client wanted no further request";
        /// The process ends.
        ProcessExit: "process_exit", "the process ends";
        /// A panic while it was served.
        Panic: "panic", "panic";
    }
}

reasons! {
    /// Why a connection to an endpoint ends, or never came up.
    EndpointClose {
        /// The endpoint has closed it.
        PeerClosed: "peer_closed", "closed";
        /// The connection broke: a reset, or a path that is gone.
        Broken: "broken", "broken";
        /// A frame on it can't be read.
        Unreadable: "unreadable", "unreadable";
        /// An answer began and did not go on.
        Stalled: "stalled", "an answer stopped short";
        /// It carried nothing for long enough, or its endpoint is retired.
        Idle: "idle", "idle";
        /// It was not up in time.
        ConnectTimeout: "not_up", "not up in time";
        /// This machine had no room for it in time: no descriptor, memory or port.
        NoRoom: "no_room", "no room for a connection in time";
        /// The endpoint did not answer the greeting in time.
        NoGreeting: "no_greeting", "no greeting";
        /// Nobody waits for it any more, and it is not up.
        NotNeeded: "not_wanted", "not wanted any more";
        /// Another endpoint than the one that was meant answers there.
        WrongName: "wrong_name", "another machine answers there";
        /// Its endpoint has started anew since it was dialled.
        Restarted: "restarted", "its machine has started anew";
        /// A panic while it was served.
        Panic: "panic", "panic";
    }
}

reasons! {
    /// Why a request is refused: a retry does no harm.
    Refusal {
        /// It was read after the router stopped taking requests.
        ShuttingDown: "shutting_down", "the router ends";
        /// It was read on a connection that an evacuated router is about to close, or was open there as it did.
        Draining: "draining", "the router is being emptied";
        /// As many requests are open as may be.
        TooManyOpen: "too_many_open", "too many requests are open";
        /// The bodies of open requests fill the memory that they may take.
        BodyMemoryFull: "bodies_full", "no memory for its body";
        /// Its client gives up before anything could be done.
        DeadlineExpired: "no_time_left", "no time is left";
        /// It was served, and the answer had to be dropped to stay within the memory limit.
        AnswerDropped: "answer_dropped", "no memory for its answer";
        /// No endpoint can take it.
        NoEndpoint: "no_endpoint", "no endpoint can take it";
        /// As many attempts were made as may be.
        AttemptsExhausted: "tries_used", "its attempts are used up";
        /// What is left of its time is less than sending it takes.
        DeadlineUnreachable: "too_late", "it can't be answered in time";
        /// No endpoint could send it within its aim: they hold too much.
        Overload: "overload", "its endpoint is overloaded";
        /// Nobody holds it, and it may not be filled now.
        NotCached: "not_held", "nobody holds it, and fills are held back";
        /// It may have run, and its class or window allows no repeat now.
        RetryNotAllowed: "no_repeat", "it may not be sent again";
        /// Endpoints call it an error one after the other, and nobody has served it before.
        UnknownObject: "unknown", "endpoints do not know it";
        /// A plug-in has it refused.
        RefusedByPlugin: "advised", "a plug-in has it refused";
    }
}

reasons! {
    /// Why an attempt is made.
    AttemptCause {
        /// It is the request's first.
        First: "first", "first";
        /// The one before ended without an answer in time.
        AfterTimeout: "after_timeout", "after a time-out";
        /// The one before was answered with an error.
        AfterError: "after_error", "after an error";
        /// The one before was turned away.
        AfterFull: "after_full", "after one that was turned away";
        /// The one before found nothing suitable.
        AfterMiss: "after_miss", "after a miss";
        /// The one before found no connection.
        AfterConnectFailed: "after_connect_failed", "after a failed connection";
        /// The connection of the one before broke.
        AfterReset: "after_reset", "after a reset";
        /// The one before was called off.
        AfterCancelled: "after_cancelled", "after one that was called off";
        /// The one before was not sent.
        AfterUnsent: "after_unsent", "after one that was not sent";
        /// Another one is out, and seems lost.
        Hedge: "hedge", "beside one that seems lost";
    }
}

reasons! {
    /// Why an attempt that waited is not begun after all, asked as its first byte would leave.
    Withheld {
        /// The reducer has no such attempt: its client has left, or it was given up.
        UnknownAttempt: "unknown", "it was given up";
        /// Its endpoint leaves, or has left.
        EndpointLeaving: "endpoint_leaves", "its endpoint leaves";
        /// The source of its fill leaves, or has left.
        SourceLeaving: "source_leaves", "its source leaves";
        /// The time by which it was to leave is over: a repeat's window, or what a connection may take to come up.
        SendWindowExpired: "too_late", "its time to leave is over";
        /// Its client's time is up.
        ClientDeadlineExpired: "out_of_time", "its client's time is up";
        /// It must not run twice, and an attempt before it may have run.
        MayHaveRun: "may_have_run", "it may have run, and must not run twice";
        /// Another attempt of it is out, and no two may be.
        ConcurrentAttempt: "two_at_once", "another attempt of it is out";
    }
}

impl Withheld {
    /// Whether it should have been taken back or never been asked for, so that coming so far is a fault of this process.
    pub fn is_violation(self) -> bool {
        match self {
            Self::SendWindowExpired | Self::ClientDeadlineExpired => false,
            Self::UnknownAttempt
            | Self::EndpointLeaving
            | Self::SourceLeaving
            | Self::MayHaveRun
            | Self::ConcurrentAttempt => true,
        }
    }
}

reasons! {
    /// A rule that this process has seen itself break, or prevented at the last point. Each is counted; none should ever be
    /// seen.
    Violation {
        /// An attempt was about to begin that must not; it was withheld.
        ForbiddenSend: "begin", "an attempt was about to begin that must not";
        /// A client's connection was there past the time in which an evacuated router may keep it.
        ConnectedPastDrain: "held_past_drain", "a client was connected past the time of a drain";
        /// A client's connection was closed from this side over requests that had come whole on it.
        ClosedUnanswered: "closed_owing", "a connection was closed over requests that are owed an answer";
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
    /// Counts one more.
    pub fn add(&mut self, reason: R) {
        *self.0.entry(reason).or_default() += 1;
    }

    /// How often this one was given.
    pub fn get(&self, reason: R) -> u64 {
        self.0.get(&reason).copied().unwrap_or(0)
    }

    /// How often any was given.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// Writes ` PREFIX_KEY=COUNT` for each that was given.
    pub fn write(&self, f: &mut fmt::Formatter<'_>, prefix: &str) -> fmt::Result {
        self.0.iter().try_for_each(|(reason, count)| write!(f, " {prefix}_{}={count}", reason.key()))
    }
}

#[cfg(test)]
mod tests;
