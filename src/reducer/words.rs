//! What the reducer is told, and what it asks for: requests, attempts, machines; no protocol.

use super::*;
use crate::clock::UnixTime;
use crate::reasons::{AttemptCause, Reason as _, Refusal, Withheld};

/// A request of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// The connection.
    pub conn: u64,
    /// Its number there, never used again.
    pub serial: u64,
}

/// An attempt's number, never used again.
pub type AttemptKey = u64;

/// How far an attempt had come. Only the first two prove that nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No byte of it has left.
    NotConnected,
    /// Some bytes have left, not all.
    PartlyWritten,
    /// It has left whole: it may have run.
    WrittenWhole,
    /// Its answer has come.
    Answered,
}

/// A client's request as it came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IncomingRequest {
    /// The client's id for it; passed on.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// How long the client waits, from when it sent the request.
    pub timeout_ms: Millis,
    /// Marked as a retry.
    pub repeat: bool,
    /// The object.
    pub object: Option<String>,
    /// The part of it.
    pub piece: Option<u64>,
    /// The object's group.
    pub group: u64,
    /// The part's size.
    pub size_kb: Option<f64>,
    /// The tag of the client's own copy.
    pub client_tag: Option<String>,
    /// What a keyed class's repeats are known by; passed on with each attempt.
    pub idempotency_key: Option<Box<str>>,
    /// The body; passed on.
    pub body: Vec<u8>,
}

/// What a machine is asked.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingRequest {
    /// The client's request.
    pub request: std::rc::Rc<IncomingRequest>,
    /// What the module decided.
    pub fetch: Fetch,
    /// It must not be repeated, so that it had better share nothing with others that could break.
    pub exclusive_connection: bool,
    /// Its first byte leaves by then, on the clock of the reducer's inputs, or it isn't sent.
    pub send_by: Millis,
    /// Why it is asked.
    pub cause: AttemptCause,
}

/// What a machine answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// How it went.
    pub outcome: Outcome,
    /// The bytes.
    pub body: Vec<u8>,
    /// The client's copy is the one.
    pub unchanged: bool,
    /// What the machine says of it.
    pub cache_status: Option<CacheStatus>,
    /// The source's time to first byte, or to its failure.
    pub source_ttfb_ms: Option<Millis>,
    /// A load report that came along.
    pub report: LoadReport,
}

/// How an attempt ended on the network.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// With an answer.
    Answer(Answer),
    /// Its connection never came up, or broke.
    Lost(Progress),
    /// It was not sent, as there was no room for another connection: that says nothing about its machine.
    NoRoom,
    /// It was not begun when its turn came: that says nothing about its machine.
    Withheld(Withheld),
}

/// What the reducer is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A request has come whole, `age_ms` after its first byte; or it can't be used.
    RequestReceived {
        /// Whose.
        key: RequestKey,
        /// What.
        request: Result<IncomingRequest, &'static str>,
        /// How long ago it began to come.
        age_ms: Millis,
    },
    /// Somebody asks whether this router is ready.
    Health {
        /// Who.
        key: RequestKey,
    },
    /// A client has stopped waiting.
    Aborted {
        /// For what.
        key: RequestKey,
    },
    /// Bytes of answers have left for a client, or will never leave.
    Flushed {
        /// The connection.
        conn: u64,
        /// How many.
        bytes: usize,
    },
    /// A client's connection has ended, with all that was open on it.
    ConnectionClosed {
        /// The connection.
        conn: u64,
    },
    /// What comes on a client's connection can't be read or held: what is open on it is to be answered, as nothing more is
    /// heard of it.
    ConnectionUnreadable {
        /// The connection.
        conn: u64,
    },
    /// A request that was half there is turned away, as its connection is about to be closed.
    RequestTruncated {
        /// Whose.
        key: RequestKey,
    },
    /// A client's connection is about to be closed: what is open on it is to be answered now.
    ConnectionClosing {
        /// The connection.
        conn: u64,
    },
    /// An attempt has come further.
    Progressed {
        /// Which.
        attempt: AttemptKey,
        /// How far.
        progress: Progress,
    },
    /// An attempt has ended.
    Ended {
        /// Which.
        attempt: AttemptKey,
        /// How.
        end: AttemptEnd,
    },
    /// A probe has ended.
    Probed {
        /// Of which machine.
        machine: CacheId,
        /// How.
        outcome: Outcome,
        /// What it reports.
        report: LoadReport,
    },
    /// An event of the notice board.
    DiscoveryEvent {
        /// The event.
        notice: DiscoveryEvent,
        /// The wall clock's time now.
        unix: UnixTime,
    },
    /// The wall clock was read.
    ClocksRead {
        /// Its time now.
        unix: UnixTime,
    },
    /// Time has passed.
    TimersDue,
    /// The operators want it to end.
    Terminate,
    /// [`Effect::StopListening`] is carried out, and what had come by then is read.
    ListenerClosed,
    /// What operators have taken out, as it is saved for all processes of this router.
    ExclusionsLoaded {
        /// Those machines.
        excluded: Exclusions,
    },
    /// The answer to [`Effect::SaveExclusion`]: what is out now, or why the change doesn't hold.
    ExclusionSaved {
        /// Who called.
        caller: u64,
        /// What is out, as it is saved.
        result: Result<Exclusions, ops::Verdict>,
    },
    /// The part of the cold budget that this process may spend, as others of this router run beside it.
    ColdStartShare(f64),
    /// An operator calls.
    Operator {
        /// Who.
        caller: u64,
        /// What for.
        call: ops::Call,
    },
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Served.
    Served(Vec<u8>),
    /// The client's copy is the one that would be served.
    Unchanged,
    /// Refused: a retry does no harm.
    Refused {
        /// When to come back.
        retry_after_ms: Option<Millis>,
        /// Why.
        reason: Refusal,
    },
    /// Failed.
    Failed(Failure),
    /// Whether this router is ready.
    Health(bool),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It is out of form, or asks for what there isn't.
    BadRequest(&'static str),
    /// No further attempt is made, and it may have run.
    GivenUp(Refusal),
    /// It was served, may not be repeated, and its answer had to be dropped to stay within the memory limit.
    AnswerDropped,
    /// Its time is up, and nothing has answered it.
    OutOfTime,
    /// What its client sent on the same connection can't be read or held.
    BadConnection,
}

impl Failure {
    /// What the client is told.
    pub fn message(self) -> &'static str {
        match self {
            Self::BadRequest(why) => why,
            Self::GivenUp(_) => "no way to serve it",
            Self::AnswerDropped => "no memory",
            Self::OutOfTime => "out of time",
            Self::BadConnection => "its connection can't be read",
        }
    }

    /// Its name in log fields.
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

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer a client.
    Answer {
        /// Whom.
        key: RequestKey,
        /// What.
        reply: Reply,
    },
    /// Send an attempt.
    Send {
        /// Its number.
        attempt: AttemptKey,
        /// To which machine; the way there is the address book's.
        machine: CacheId,
        /// What to ask.
        request: OutgoingRequest,
    },
    /// Give an attempt up: unsend it, or tell the machine.
    Stop {
        /// Which.
        attempt: AttemptKey,
    },
    /// Probe a machine.
    Probe {
        /// Which.
        machine: CacheId,
    },
    /// The notice board has spoken of a machine; `None`: it is forgotten.
    SetListing {
        /// Which.
        machine: CacheId,
        /// What it says.
        listing: Option<Listing>,
    },
    /// Close connections to a machine once they carry nothing.
    Retire {
        /// Which.
        machine: CacheId,
    },
    /// A machine has started anew: what was connected before is dead.
    MachineRestarted {
        /// Which.
        machine: CacheId,
        /// When it started.
        at: Millis,
    },
    /// Save for all processes that a machine is out, or back: [`Input::ExclusionSaved`] says whether that holds.
    SaveExclusion {
        /// Who called.
        caller: u64,
        /// Which machine.
        name: String,
        /// Whether it is out.
        excluded: bool,
    },
    /// Answer an operator.
    AnswerOperator {
        /// Whom.
        caller: u64,
        /// What.
        verdict: ops::Verdict,
    },
    /// Tell an operator what this router has done.
    SendTelemetry {
        /// Whom.
        caller: u64,
        /// What.
        telemetry: Box<ops::Telemetry>,
    },
    /// A line for the operators.
    Log(String),
    /// Take no more connections, read what has come by now, and say [`Input::ListenerClosed`].
    StopListening,
    /// The time in which an evacuated router may keep its clients is over: count those that are still there.
    AuditDrain,
    /// All is answered: send what is left and end, at the latest by then.
    Exit {
        /// When.
        by: Millis,
    },
}
