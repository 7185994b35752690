//! The state that this router keeps of one other router in a small fleet.

use super::settings::PeerAddress;
use super::settings::RouterId;
use super::wire::{FailureVotes, QuorumStatus, Report};
use crate::api::Millis;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The state of another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Not heard since this router's start.
    Joining,
    /// Heard recently.
    Alive,
    /// Not heard for [`suspect_after_ms`](super::Settings::suspect_after_ms).
    Suspect,
    /// So many routers have voted it failed that it has no majority. It knew that it was cut off before.
    Gone,
    /// It has announced that it ends.
    Left,
}

impl State {
    /// Returns the name of the state as operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Gone => "gone",
            Self::Left => "left",
        }
    }
}

/// How two routers reach each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reachability {
    /// Each receives the other's own datagrams.
    Direct,
    /// They hear each other through other routers only.
    Relayed,
    /// Only one of the two receives the other's own datagrams.
    OneWay,
    /// Not heard at all.
    None,
}

impl Reachability {
    /// Returns the name as operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Relayed => "relayed",
            Self::OneWay => "one-way",
            Self::None => "none",
        }
    }
}

/// Estimates by how much reports of another router are delayed, from the sender's clock and this one's: the
/// fastest report of the last two windows is taken to have had no delay. The estimate never exceeds the true
/// delay, except by the drift of the two clocks within two windows.
#[derive(Clone, Debug)]
pub(super) struct TransitEstimator {
    transit_window_ms: Millis,
    window_ends_at: Millis,
    min_transit_ms: [Millis; 2],
}

impl TransitEstimator {
    pub fn new(transit_window_ms: Millis) -> Self {
        Self { transit_window_ms, window_ends_at: f64::NEG_INFINITY, min_transit_ms: [f64::INFINITY; 2] }
    }

    /// Records that a report sent at `sent_at` by the sender's clock arrived at `now` by this router's clock,
    /// and returns by how many ms it was slower than the fastest recent one.
    pub fn excess_delay_ms(&mut self, sent_at: Millis, now: Millis) -> Millis {
        if now >= self.window_ends_at {
            self.min_transit_ms = [f64::INFINITY, self.min_transit_ms[0]];
            self.window_ends_at = now + self.transit_window_ms;
        }
        let transit_ms = now - sent_at;
        self.min_transit_ms[0] = self.min_transit_ms[0].min(transit_ms);
        transit_ms - self.min_transit_ms[0].min(self.min_transit_ms[1])
    }
}

/// Another router.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub peer: PeerAddress,
    pub id: RouterId,
    /// Its latest report; none: it has never been heard.
    pub report: Option<Report>,
    /// When that report first reached any router, as far as that can be determined. Never earlier than it was
    /// sent.
    pub reported_at: Millis,
    /// The same, moved forward by the stalls of this process. Silence is measured from here.
    pub last_heard_at: Millis,
    /// How old its reports usually are on arrival, in ms: 0 for reports that come directly.
    pub usual_age_ms: Millis,
    pub transit: TransitEstimator,
    /// When its own datagrams last arrived, and the latest heartbeat among them.
    pub last_direct_at: Option<Millis>,
    pub last_direct_heartbeat: u32,
    /// The terms up to `refused_term` are not acknowledged any more; those up to `voted_term` were voted
    /// failed for silence. Both only grow within one start.
    pub refused_term: u32,
    pub voted_term: u32,
    /// It has acknowledged this router's start; until then each term that it reports is refused: see
    /// `ObservationMembership::merge_report`.
    pub start_acknowledged: bool,
    /// This router voted it failed before it was ever heard.
    pub voted_unheard: bool,
    /// This router's heartbeat when it last announced that vote.
    pub unheard_vote_heartbeat: u32,
    /// Who has voted its latest term failed for which any votes are known.
    pub failure_votes: Option<FailureVotes>,
    /// The term that was declared gone.
    pub gone_term: Option<u32>,
    pub state: State,
    pub state_since: Millis,
    pub why: String,
    /// The start and heartbeat of the latest report of each other router that was sent to it; bounded by the
    /// roster.
    pub sent_reports: BTreeMap<usize, (u64, u32)>,
    /// An extra datagram was sent to it to ask for a sign of life.
    pub probed: bool,
    /// An extra datagram to it is due.
    pub reply_pending: bool,
    /// When a datagram was last sent to it.
    pub last_sent_at: Millis,
}

impl Member {
    pub fn new(peer: PeerAddress, transit_window_ms: Millis, now: Millis) -> Self {
        Self {
            transit: TransitEstimator::new(transit_window_ms),
            id: RouterId::of(&peer.name),
            peer,
            report: None,
            reported_at: now,
            last_heard_at: now,
            usual_age_ms: 0.0,
            last_direct_at: None,
            last_direct_heartbeat: 0,
            refused_term: 0,
            voted_term: 0,
            start_acknowledged: false,
            voted_unheard: false,
            unheard_vote_heartbeat: 0,
            failure_votes: None,
            gone_term: None,
            state: State::Joining,
            state_since: now,
            why: "not heard yet".to_owned(),
            sent_reports: BTreeMap::new(),
            probed: false,
            reply_pending: true,
            last_sent_at: f64::NEG_INFINITY,
        }
    }

    pub fn start(&self) -> u64 {
        self.report.as_ref().map_or(0, |report| report.start)
    }

    pub fn term(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.term)
    }

    pub fn heartbeat(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.heartbeat)
    }

    pub fn status(&self) -> QuorumStatus {
        self.report.as_ref().map_or(QuorumStatus::Joining, |report| report.status)
    }

    pub fn silence_ms(&self, now: Millis) -> Millis {
        (now - self.last_heard_at).max(0.0)
    }
}
