//! One other router as this one sees it.

use super::settings::PeerAddress;
use super::settings::RouterId;
use super::wire::{GivenUp, QuorumStatus, Row};
use crate::api::Millis;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What another router is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Never heard since this router's start.
    Joining,
    /// Heard.
    Alive,
    /// Not heard for a while.
    Suspect,
    /// So many have given it up that it has no majority: it knew that before.
    Gone,
    /// It has said that it ends.
    Left,
}

impl State {
    /// The word that operators read.
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

/// By which way two routers hear each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reachability {
    /// Each hears the other's own datagrams.
    Direct,
    /// Through others only.
    Relayed,
    /// Only one of the two hears the other's own datagrams.
    OneWay,
    /// Not heard at all.
    None,
}

impl Reachability {
    /// The word that operators read.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Relayed => "relayed",
            Self::OneWay => "one-way",
            Self::None => "none",
        }
    }
}

/// How long another router's words were on their way, by its clock and this one's: the quickest of late took no time. What is
/// told so is never more than the truth, but for the drift of two clocks within two windows.
#[derive(Clone, Debug)]
pub(super) struct Transit {
    window_ms: Millis,
    until: Millis,
    quickest: [Millis; 2],
}

impl Transit {
    pub fn new(window_ms: Millis) -> Self {
        Self { window_ms, until: f64::NEG_INFINITY, quickest: [f64::INFINITY; 2] }
    }

    /// Words that were said at `said`, by the other clock, came at `now`, by this one.
    pub fn note(&mut self, said: Millis, now: Millis) -> Millis {
        if now >= self.until {
            self.quickest = [f64::INFINITY, self.quickest[0]];
            self.until = now + self.window_ms;
        }
        let took = now - said;
        self.quickest[0] = self.quickest[0].min(took);
        took - self.quickest[0].min(self.quickest[1])
    }
}

/// Another router.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub at: PeerAddress,
    pub id: RouterId,
    /// Its latest words; none: never heard.
    pub row: Option<Row>,
    /// When these were new at the router that first heard them, as far as can be told: never earlier than they were said.
    pub known_at: Millis,
    /// The same, moved on by this router's standstills: from then on counts the silence.
    pub heard_at: Millis,
    /// How old its words usually are when they come here: 0 where they come from itself.
    pub usual_age: Millis,
    pub transit: Transit,
    /// When its own datagrams last came, and the latest beat among them.
    pub direct_at: Option<Millis>,
    pub direct_beat: u32,
    /// Terms that this router answers no more, and those it has given up for silence. Both only grow while it is one start.
    pub refused: u32,
    pub voted: u32,
    /// It has said that it heard this start, and what it said then is refused: see `Fleet::meet`.
    pub met: bool,
    /// Given up before it was ever heard.
    pub unheard_voted: bool,
    /// This router's clock when it last said that it had given it up unheard, in beats.
    pub claimed: u32,
    /// Who has given up its latest term that anybody has.
    pub given_up: Option<GivenUp>,
    /// The term of the start that was called gone.
    pub gone_term: Option<u32>,
    pub state: State,
    pub since: Millis,
    pub why: String,
    /// The latest words of each other one that were sent to it: bounded by the routers of the file.
    pub told: BTreeMap<usize, (u64, u32)>,
    /// It was asked, out of turn, why it is silent.
    pub asked: bool,
    /// It is owed a datagram out of turn.
    pub owed: bool,
    /// When it was last sent to.
    pub sent_at: Millis,
}

impl Member {
    pub fn new(at: PeerAddress, window_ms: Millis, now: Millis) -> Self {
        Self {
            transit: Transit::new(window_ms),
            id: RouterId::of(&at.name),
            at,
            row: None,
            known_at: now,
            heard_at: now,
            usual_age: 0.0,
            direct_at: None,
            direct_beat: 0,
            refused: 0,
            voted: 0,
            met: false,
            unheard_voted: false,
            claimed: 0,
            given_up: None,
            gone_term: None,
            state: State::Joining,
            since: now,
            why: "not heard yet".to_owned(),
            told: BTreeMap::new(),
            asked: false,
            owed: true,
            sent_at: f64::NEG_INFINITY,
        }
    }

    pub fn start(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.start)
    }

    pub fn term(&self) -> u32 {
        self.row.as_ref().map_or(0, |row| row.term)
    }

    pub fn beat(&self) -> u32 {
        self.row.as_ref().map_or(0, |row| row.beat)
    }

    pub fn says(&self) -> QuorumStatus {
        self.row.as_ref().map_or(QuorumStatus::Joining, |row| row.says)
    }

    pub fn silent(&self, now: Millis) -> Millis {
        (now - self.heard_at).max(0.0)
    }
}
