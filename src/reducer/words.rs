//! The inputs and effects of the reducer, in terms of requests, attempts and machines, independent of any
//! protocol.

use super::*;
use crate::clock::UnixTime;
use crate::reasons::{AttemptCause, Reason as _, Refusal, Withheld};

/// Identifies a request of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// The number of the client connection.
    pub conn: u64,
    /// The request's number on that connection, never reused.
    pub serial: u64,
}

/// The number of an attempt, never reused.
pub type AttemptKey = u64;

/// How far an attempt had come. Only the first two prove that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No byte has been sent.
    NotConnected,
    /// Some bytes have been sent, but not all.
    PartlyWritten,
    /// All bytes have been sent: the request may have run.
    WrittenWhole,
    /// The answer has come.
    Answered,
}

/// A client's request as it was received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IncomingRequest {
    /// The client's id of the request; passed on.
    pub id: String,
    /// The name of the request's class.
    pub class: String,
    /// How long the client waits, counted from when it sent the request.
    pub timeout_ms: Millis,
    /// Whether the client marked the request as a retry.
    pub repeat: bool,
    /// The requested object.
    pub object: Option<String>,
    /// The requested part of the object.
    pub piece: Option<u64>,
    /// The object's purge group.
    pub group: u64,
    /// The size of the part.
    pub size_kb: Option<f64>,
    /// The tag of the copy that the client holds.
    pub client_tag: Option<String>,
    /// The key by which repeats in a keyed class are recognised; passed on with each attempt.
    pub idempotency_key: Option<Box<str>>,
    /// The body; passed on.
    pub body: Vec<u8>,
}

impl IncomingRequest {
    /// Returns the memory that the request takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let optional = [&self.object, &self.client_tag].map(|text| text.as_ref().map_or(0, String::capacity));
        let key = self.idempotency_key.as_ref().map_or(0, |key| key.len());
        let texts = self.id.capacity() + self.class.capacity() + optional.iter().sum::<usize>() + key;
        size_of::<Self>() + texts + self.body.capacity()
    }
}

/// A request to a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingRequest {
    /// The client's request.
    pub request: std::rc::Rc<IncomingRequest>,
    /// The attempt that the decision module asked for.
    pub fetch: Fetch,
    /// Whether the request needs a connection of its own. It must not be repeated, and a connection that it
    /// shares may break because of another request.
    pub exclusive_connection: bool,
    /// The latest time to send the first byte, on the clock of the reducer's inputs. Later the request is not
    /// sent.
    pub send_by: Millis,
    /// Why the attempt is made.
    pub cause: AttemptCause,
}

/// A machine's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the client's copy is still valid.
    pub unchanged: bool,
    /// How the machine says that it served the request.
    pub cache_status: Option<CacheStatus>,
    /// The source's time to first byte, or to its failure.
    pub source_ttfb_ms: Option<Millis>,
    /// A load report that came with the answer.
    pub report: LoadReport,
}

/// How an attempt ended on the network.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The machine answered.
    Answer(Answer),
    /// The connection was not established, or broke.
    Lost(Progress),
    /// The request was not sent, as no further connection could be opened. This says nothing about the
    /// machine.
    NoRoom,
    /// The request was not sent when its turn came. This says nothing about the machine.
    Withheld(Withheld),
}

/// An input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request was received whole, or one that can't be used.
    RequestReceived {
        /// The request's key.
        key: RequestKey,
        /// The request, or why it can't be used.
        request: Result<IncomingRequest, &'static str>,
        /// How long ago its first byte was received.
        age_ms: Millis,
    },
    /// A client asks whether this router is ready.
    Health {
        /// The request's key.
        key: RequestKey,
    },
    /// A client has stopped waiting for an answer.
    Aborted {
        /// The request's key.
        key: RequestKey,
    },
    /// Bytes of answers were sent to a client, or will never be sent.
    Flushed {
        /// The client connection.
        conn: u64,
        /// The number of bytes.
        bytes: usize,
    },
    /// A client connection has ended, with all requests that were open on it.
    ConnectionClosed {
        /// The client connection.
        conn: u64,
    },
    /// Data on a client connection can't be read or buffered. Its open requests are answered now, as nothing
    /// more is read from the connection.
    ConnectionUnreadable {
        /// The client connection.
        conn: u64,
    },
    /// Another process of this router has requests with these ids, which must not run here too.
    IdsTaken {
        /// The ids.
        ids: Vec<ClientId>,
    },
    /// A partly received request is refused.
    RequestTruncated {
        /// The request's key.
        key: RequestKey,
        /// Why it is refused, unless the state of the service is a reason.
        reason: Refusal,
    },
    /// A client connection is about to be closed. Its open requests are answered now.
    ConnectionClosing {
        /// The client connection.
        conn: u64,
    },
    /// An attempt has progressed.
    Progressed {
        /// The attempt.
        attempt: AttemptKey,
        /// How far it has come.
        progress: Progress,
    },
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A probe has ended.
    Probed {
        /// The probed machine.
        machine: CacheId,
        /// How the probe ended.
        outcome: Outcome,
        /// The machine's load report.
        report: LoadReport,
    },
    /// An event of the discovery service.
    DiscoveryEvent {
        /// The event.
        event: DiscoveryEvent,
        /// The wall clock's time now.
        unix: UnixTime,
    },
    /// The wall clock was read.
    ClocksRead {
        /// The wall clock's time now.
        unix: UnixTime,
    },
    /// Timers may be due. Comes after all other inputs of an event loop turn.
    TimersDue,
    /// The process was asked to terminate.
    Terminate,
    /// [`Effect::StopListening`] was carried out, and all requests received by then were read.
    ListenerClosed,
    /// The set of exclusions, as saved for all processes of this router, was loaded.
    ExclusionsLoaded {
        /// The excluded machines.
        excluded: Exclusions,
    },
    /// The result of [`Effect::SaveExclusion`].
    ExclusionSaved {
        /// The operator's call.
        caller: u64,
        /// The set of exclusions as saved, or why the change was not made.
        result: Result<Exclusions, ops::Verdict>,
    },
    /// The share of the cold-start budget that this process may spend beside other processes of this router.
    ColdStartShare(f64),
    /// An operator's call was received.
    Operator {
        /// Identifies the call.
        caller: u64,
        /// What the operator asks for.
        call: ops::Call,
    },
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The request was served with this body.
    Served(Vec<u8>),
    /// The client's copy is still valid.
    Unchanged,
    /// The request is refused: a retry does no harm.
    Refused {
        /// When the client may retry.
        retry_after_ms: Option<Millis>,
        /// Why the request is refused.
        reason: Refusal,
    },
    /// The request failed.
    Failed(Failure),
    /// Whether this router is ready.
    Health(bool),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request is malformed, or names an unknown class.
    BadRequest(&'static str),
    /// No further attempt is made, and the request may have run.
    GivenUp(Refusal),
    /// The request was served and may not be repeated, but its answer was dropped to stay within the memory
    /// limit.
    AnswerDropped,
    /// The answer deadline passed without an answer.
    OutOfTime,
    /// Later data on the same client connection can't be read or buffered.
    BadConnection,
}

impl Failure {
    /// Returns the text that the client is sent.
    pub fn message(self) -> &'static str {
        match self {
            Self::BadRequest(why) => why,
            Self::GivenUp(_) => "no way to serve it",
            Self::AnswerDropped => "no memory",
            Self::OutOfTime => "out of time",
            Self::BadConnection => "its connection can't be read",
        }
    }

    /// Returns the failure's name in log fields.
    pub fn key(self) -> &'static str {
        match self {
            Self::BadRequest(_) => "bad_request",
            Self::GivenUp(reason) => reason.key(),
            Self::AnswerDropped => "answer_dropped",
            Self::OutOfTime => "out_of_time",
            Self::BadConnection => "bad_connection",
        }
    }
}

/// An effect that the reducer asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer a client's request.
    Answer {
        /// The request's key.
        key: RequestKey,
        /// The answer.
        reply: Reply,
    },
    /// Send an attempt.
    Send {
        /// The attempt.
        attempt: AttemptKey,
        /// The machine to send it to. The address table chooses the address.
        machine: CacheId,
        /// The request to send.
        request: OutgoingRequest,
    },
    /// Give an attempt up: remove it from the queue, or tell the machine to stop.
    Stop {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Probe a machine.
    Probe {
        /// The machine.
        machine: CacheId,
    },
    /// Update what discovery reports of a machine, or forget the machine if `None`.
    SetListing {
        /// The machine.
        machine: CacheId,
        /// What discovery reports.
        listing: Option<Listing>,
    },
    /// Close the connections to a machine once they carry no request.
    Retire {
        /// The machine.
        machine: CacheId,
    },
    /// A machine has restarted: connections from before its start are dead.
    MachineRestarted {
        /// The machine.
        machine: CacheId,
        /// When it started.
        at: Millis,
    },
    /// Save for all processes of this router whether a machine is excluded. [`Input::ExclusionSaved`] brings
    /// the result.
    SaveExclusion {
        /// The operator's call.
        caller: u64,
        /// The machine's name.
        name: String,
        /// Whether the machine is excluded.
        excluded: bool,
    },
    /// Answer an operator's call.
    AnswerOperator {
        /// The operator's call.
        caller: u64,
        /// The answer.
        verdict: ops::Verdict,
    },
    /// Answer an operator's telemetry call.
    SendTelemetry {
        /// The operator's call.
        caller: u64,
        /// The figures.
        telemetry: Box<ops::Telemetry>,
    },
    /// Write a log line.
    Log(String),
    /// Accept no more connections, read what was received by now, and report [`Input::ListenerClosed`].
    StopListening,
    /// An evacuated router may keep no more clients: count those that are still connected.
    AuditDrain,
    /// All requests are answered: flush the answers and exit.
    Exit {
        /// The latest time to exit.
        by: Millis,
    },
}
