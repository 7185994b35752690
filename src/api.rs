//! The interface of the decision module: what a router is told and what it may ask for.
//!
//! Plain types only; every decision is in [`crate::policy`]. Times are milliseconds on the
//! caller's clock ([`Millis`]), sizes are kilobytes, and an absent value is `None`.

pub use crate::reasons::Refusal;
use std::sync::Arc;

/// Milliseconds, with fractions. Used for clock readings and for spans.
pub type Millis = f64;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The text of the id.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// A cache, parent or origin. The same machine has the same id at every router.
    CacheId
);
text_id!(
    /// One try of a client's request. Never used again.
    RequestId
);
text_id!(
    /// An object, with all its parts.
    ObjectId
);
text_id!(
    /// The name of a zone (a location or a hub).
    Zone
);
text_id!(
    /// The name of a kind of machine.
    MachineKind
);

/// A timer's number, chosen by the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Token(pub u64);

/// How caches that share the memory of a keyed request's repeats are grouped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
    /// Every cache discards a repeat.
    All,
    /// The caches of one zone do.
    Zone,
    /// The caches of one cell do (the narrowest, so the default).
    #[default]
    Cell,
}

/// Whether a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Repeat {
    /// Repeats are harmless.
    Retryable,
    /// A repeat might act twice (assumed where nothing is said).
    #[default]
    Fragile,
    /// A repeat is discarded within a group of caches, for a while.
    Dedup {
        /// The group.
        scope: DedupScope,
        /// How long from the send of the first attempt that may have run.
        window_ms: Millis,
    },
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// The class's name.
    pub name: String,
    /// Answered within this time, the full worth is earned.
    pub aim_ms: Millis,
    /// The aim grows by this multiple of the request's own sending time.
    pub aim_stretch: f64,
    /// How long the client waits, across all its tries.
    pub deadline_ms: Millis,
    /// Whether a request may be repeated.
    pub repeat: Repeat,
    /// What one request is worth.
    pub worth: f64,
    /// The part of the worth earned between aim and deadline.
    pub late_worth: f64,
    /// The answer is streamed.
    pub stream: bool,
    /// How long a copy is fresh; `None`: until it is purged.
    pub fresh_ms: Option<Millis>,
    /// How long past its fresh time a copy may still be served.
    pub stale_ms: Millis,
    /// The part of the worth that an answer past its fresh time earns.
    pub stale_worth: f64,
    /// Objects come in parts that are asked for in turn.
    pub in_pieces: bool,
    /// Never kept: it runs at the origin.
    pub uncached: bool,
}

/// Which caches can supply a fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    /// None.
    #[default]
    None,
    /// Those of the own zone.
    Location,
    /// Any.
    Any,
}

/// Which notes come with an outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Detail {
    /// None.
    #[default]
    None,
    /// Only how an answer was served.
    Hit,
    /// All of them, with the source's time to first byte.
    All,
}

/// What a list entry's rating means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Nothing: it is fixed.
    #[default]
    Unknown,
    /// The registered size of the link, in transfers at full pace.
    Nominal,
    /// About that size.
    Rough,
    /// That size, lowered by the load a while ago.
    Live,
}

/// How the list of caches is kept up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive by themselves.
    #[default]
    Push,
    /// They must be asked for.
    Ask,
}

/// When load reports come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// Never.
    #[default]
    None,
    /// With outcomes and probes.
    Piggyback,
    /// With probes alone.
    Pull,
}

/// The figures of the rules on answers, drains, cold starts and purges.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Guarantees {
    /// A final answer still counts this long after the client's deadline.
    pub answer_grace_ms: Millis,
    /// Nothing is sent to a draining cache later than this after word of it.
    pub stop_sending_ms: Millis,
    /// Share of its capacity that a cache starts with, at least.
    pub cold_start_share: f64,
    /// It is warm after this long, at most.
    pub cold_start_ms: Millis,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long, a cold cache falls over.
    pub overload_ms: Millis,
    /// `cold_start_share` of a parent.
    pub parent_cold_start_share: f64,
    /// `cold_start_ms` of a parent.
    pub parent_cold_start_ms: Millis,
    /// `overload_multiple` of a parent.
    pub parent_overload_multiple: f64,
    /// No copy older than a purge answers what is sent later than this after word of it.
    pub purge_notice_ms: Millis,
    /// By then all caches and parents have dropped purged copies by themselves.
    pub purge_gone_ms: Millis,
}

/// What the site allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts for one request.
    pub max_attempts: usize,
    /// Attempts may be called off.
    pub cancelling: bool,
    /// Caches may be probed.
    pub probes: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest hold-off that a client heeds.
    pub max_retry_after_ms: Millis,
    /// Two attempts of one request may be out together.
    pub hedging: bool,
}

impl Default for Limits {
    /// The narrowest limits: one attempt, nothing else allowed.
    fn default() -> Self {
        Self {
            max_attempts: 1,
            cancelling: false,
            probes: false,
            retry_after: false,
            max_retry_after_ms: 0.0,
            hedging: false,
        }
    }
}

/// What a router knows from its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The zone that the router is in.
    pub zone: Option<Zone>,
    /// All zones.
    pub zones: Vec<Zone>,
    /// Routers in each of `zones`.
    pub routers_by_zone: Vec<u32>,
    /// Each zone's hub, a place in `zones`.
    pub zone_hubs: Vec<usize>,
    /// What each zone's link for fills carries, KB a second; 0: not told.
    pub zone_links_kb_per_s: Vec<f64>,
    /// All routers.
    pub routers: u32,
    /// The classes; a request names one by its place.
    pub classes: Vec<ClassSettings>,
    /// The kind of the parents; `None`: there are none.
    pub parent_kind: Option<MachineKind>,
    /// The kind of the origin.
    pub origin_kind: Option<MachineKind>,
    /// Parents and the origin take attempts too.
    pub bypass_allowed: bool,
    /// A fill under way can be joined.
    pub joins: bool,
    /// Which notes come with outcomes.
    pub detail: Detail,
    /// Which caches can supply a fill.
    pub siblings: Siblings,
    /// At most so many KB a second go to one client; `None`: not told.
    pub flow_kb_per_s: Option<f64>,
    /// What ratings mean.
    pub weights: Weights,
    /// How the list is kept up to date.
    pub discovery: Discovery,
    /// When load reports come.
    pub reports: ReportSource,
    /// The figures of the rules.
    pub guarantees: Guarantees,
    /// What the site allows.
    pub limits: Limits,
}

/// The state of a listed cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Deleted,
}

/// One entry of a list of caches.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The cache.
    pub cache: CacheId,
    /// What kind of machine it is.
    pub kind: MachineKind,
    /// Its cell.
    pub cell: u64,
    /// Where it stands.
    pub zone: Zone,
    /// See [`Weights`].
    pub weight: f64,
    /// Its state.
    pub phase: Phase,
    /// When it last started; `None`: long ago.
    pub online_since: Option<Millis>,
}

/// What kind of list has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// The changed entries.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as it was held last, maybe out of date.
    Cached,
    /// The call or the subscription failed; nothing has changed.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The cache returned an error; it may have run.
    Error,
    /// Turned away unseen, or its source could not be had; it never ran.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent at all; it never ran.
    Moot,
    /// Nothing suitable held there; it never ran.
    Miss,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot | Self::Miss)
    }
}

/// What a cache says about how an attempt went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Found there.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled by asking the origin.
    FilledFromOrigin,
    /// Joined a fill under way (with a miss: one is under way).
    Joined,
    /// An old copy.
    Stale,
    /// The source said no.
    SourceRefused,
    /// The source was unreachable, broken or too slow.
    SourceUnavailable,
    /// The source has none.
    SourceMiss,
    /// All places for fills are taken at the cache.
    NoFillSlot,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// A load report; each value where the site gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of the CPU that is busy.
    pub util: Option<f64>,
    /// Requests held.
    pub inflight: Option<f64>,
    /// Share of hits lately.
    pub hit_share: Option<f64>,
    /// At a cache, how full the link of its location is; at a parent, the fetches it has out.
    pub link: Option<f64>,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its id.
    pub id: RequestId,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// Its class, a place in [`Settings::classes`].
    pub class: usize,
    /// What is to be sent; `None`: not told.
    pub size_kb: Option<f64>,
    /// The part of the object.
    pub piece: u64,
    /// Time left before the client gives this try up.
    pub budget_ms: Millis,
    /// The object; `None`: none is named.
    pub object: Option<ObjectId>,
    /// The object's purge group.
    pub group: u64,
    /// What plug-ins say of it, narrowed to what the rules allow; weighed within the usual order.
    pub advice: Option<Box<Advice>>,
}

impl ClientRequest {
    /// How much plug-ins favour a cache for it.
    pub fn preference(&self, cache: &CacheId) -> i16 {
        let preferences = self.advice.as_ref().map_or(&[][..], |advice| &advice.preferences);
        preferences.iter().find(|(of, _)| of == cache).map_or(0, |(_, strength)| *strength)
    }

    /// Attempts at most: what is usual, or fewer.
    pub fn max_attempts(&self, usual: usize) -> usize {
        let advised = self.advice.as_ref().and_then(|advice| advice.max_attempts);
        advised.map_or(usual, |most| most.min(usual))
    }

    /// The rank at which a copy is kept.
    pub fn retention(&self, usual: Retention) -> Retention {
        self.advice.as_ref().and_then(|advice| advice.retention).unwrap_or(usual)
    }

    /// The oldest copy that will do: what is usual, or younger.
    pub fn max_age_ms(&self, usual: Option<Millis>) -> Option<Millis> {
        let advised = self.advice.as_ref().and_then(|advice| advice.max_age_ms);
        usual.map(|usual| advised.map_or(usual, |oldest| oldest.min(usual)))
    }

    /// When to come back, if plug-ins have it refused before its first attempt.
    pub fn refuse_retry_after_ms(&self) -> Option<Millis> {
        self.advice.as_ref().and_then(|advice| advice.refuse_retry_after_ms)
    }
}

/// What plug-ins may say of a request. It adds no target, no attempt and no copy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Caches that are favoured (above 0) or avoided (below 0), by -100 to 100.
    pub preferences: Vec<(CacheId, i16)>,
    /// The rank at which a copy is kept.
    pub retention: Option<Retention>,
    /// The oldest copy that will do, where the usual one may be older.
    pub max_age_ms: Option<Millis>,
    /// Attempts at most, where the usual limit is higher.
    pub max_attempts: Option<usize>,
    /// Refuse it before its first attempt, and have the client come back after this time.
    pub refuse_retry_after_ms: Option<Millis>,
}

/// The report of one attempt's end.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, counted from 0.
    pub attempt: usize,
    /// The cache it was sent to.
    pub cache: CacheId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long ago it was sent.
    pub elapsed_ms: Millis,
    /// The request is finished by this or before it.
    pub last: bool,
    /// What the cache says.
    pub cache_status: Option<CacheStatus>,
    /// The source's time to first byte, or to its failure.
    pub source_ttfb_ms: Option<Millis>,
    /// A load report that came along.
    pub report: LoadReport,
    /// What its bytes amount to, in KB as sizes are told; `None`: it brought none, or they aren't counted.
    pub size_kb: Option<f64>,
}

/// What a router is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Word of the caches.
    List {
        /// What kind of list.
        mode: ListMode,
        /// Its entries.
        entries: Vec<ListEntry>,
    },
    /// A client's request has come in; one final answer is owed.
    Request(ClientRequest),
    /// An attempt has ended.
    Result(AttemptResult),
    /// A streamed answer has started.
    Started {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// The client is gone; no answer is owed any more.
    Aborted {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Timer(Token),
    /// A probe has ended.
    Probed {
        /// The cache.
        cache: CacheId,
        /// How it ended.
        outcome: Outcome,
        /// A load report that came along.
        report: LoadReport,
    },
    /// A purge.
    Purged {
        /// The object; `None`: the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: u64,
        /// How long ago it was made.
        age_ms: Millis,
    },
}

/// The rank at which a copy is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retention {
    /// Pass it through.
    NoStore,
    /// Dropped first.
    Low,
    /// Dropped after the low ones.
    Middle,
    /// Dropped last.
    High,
}

/// An attempt that says what to do on a miss.
#[derive(Clone, Debug, PartialEq)]
pub struct Fetch {
    /// The request.
    pub id: RequestId,
    /// The cache to ask.
    pub cache: CacheId,
    /// Wait for a fill that runs already.
    pub join: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub background_refresh: bool,
    /// The source gives only what it holds, and fetches nothing.
    pub cached_only: bool,
    /// The attempt's time-out.
    pub timeout_ms: Millis,
    /// Who supplies a miss; the cache itself: nobody.
    pub source: CacheId,
    /// No copy older than this; `None`: the class's fresh time.
    pub max_age_ms: Option<Millis>,
    /// Whether the copy is kept.
    pub retention: Retention,
    /// Its first byte leaves within this, or it is not sent: a repeat's window would be over. `None`: no such bound.
    pub send_within_ms: Option<Millis>,
}

/// What a router asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an attempt.
    Fetch(Fetch),
    /// Final answer: turned away; a retry does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back; `None`: no advice.
        retry_after_ms: Option<Millis>,
        /// Why no further attempt is made.
        reason: Refusal,
    },
    /// Final answer: failed, promising nothing.
    Fail {
        /// The request.
        id: RequestId,
        /// Why no further attempt is made.
        reason: Refusal,
    },
    /// Call an attempt off.
    Abandon {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Set a timer.
    Timer {
        /// How long from now.
        delay_ms: Millis,
        /// Its number.
        token: Token,
    },
    /// Probe a cache.
    Probe {
        /// The cache.
        cache: CacheId,
    },
    /// Ask for changes of the list from now on.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
