//! The picture that operators get.

use super::member::Member;
use super::observations::Rows;
use super::wire::QuorumStatus;
use super::{Reachability, State};
use crate::api::Millis;
use serde::{Deserialize, Serialize};

/// This router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SelfView {
    /// Its name.
    pub name: String,
    /// Its start.
    pub start: String,
    /// `joining`, `majority`, `cut-off`, or `left` where it has said that it ends.
    pub standing: String,
    /// The term of the standing.
    pub term: u32,
    /// How many answer it, itself among them, and how many there are.
    pub heard_by: usize,
    /// See `heard_by`.
    pub of: usize,
}

/// Another router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Its latest start that is known; empty: none.
    pub start: String,
    /// What it is taken for.
    pub state: State,
    /// By which way it is heard.
    pub path: Reachability,
    /// For how long it has been in this state, in ms.
    pub since_ms: u64,
    /// Why.
    pub why: String,
}

/// The whole picture.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// This router.
    pub me: SelfView,
    /// All others, in the file's order.
    pub members: Vec<MemberView>,
}

impl QuorumStatus {
    /// The word that operators read.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Majority => "majority",
            Self::CutOff => "cut-off",
            Self::Left => "left",
        }
    }
}

impl Rows {
    /// The picture at this moment.
    pub fn view(&self, now: Millis) -> View {
        let (says, term) = self.quorum_status(now);
        let standing = if self.leaves { QuorumStatus::Left } else { says }.as_str().to_owned();
        let me = SelfView {
            name: self.name.clone(),
            start: self.start().to_string(),
            standing,
            term,
            heard_by: self.ledger.heard_by(now - self.born),
            of: self.set.routers(),
        };
        let member = |(at, member): (usize, &Member)| MemberView {
            name: member.at.name.clone(),
            start: member.row.as_ref().map_or(String::new(), |row| row.start.to_string()),
            state: member.state,
            path: self.path(at, now),
            since_ms: (now - member.since).max(0.0) as u64,
            why: self.reason(member),
        };
        View { me, members: self.members.iter().enumerate().map(member).collect() }
    }

    /// How many of the others are in each state, by its word.
    pub fn count_by_state(&self) -> [(&'static str, usize); 5] {
        [State::Joining, State::Alive, State::Suspect, State::Gone, State::Left]
            .map(|state| (state.as_str(), self.members.iter().filter(|member| member.state == state).count()))
    }

    fn reason(&self, member: &Member) -> String {
        match (member.state, member.says()) {
            (State::Alive, QuorumStatus::CutOff) => format!("{}; it says that it is cut off", member.why),
            _ => member.why.clone(),
        }
    }

    fn path(&self, at: usize, now: Millis) -> Reachability {
        let member = &self.members[at];
        let direct_ms = self.set.direct_ms();
        let (heard, fresh) = (self.hears(at, now), member.silent(now) < 2.0 * self.set.suspect_ms());
        let answer = self.ledger.answer(at).filter(|answer| {
            answer.direct
                && now - self.born - f64::from(answer.beat) * super::quorum::BEAT_MS < 2.0 * direct_ms
        });
        match (member.row.is_some() && (fresh || heard), heard, answer.is_some()) {
            (false, ..) => Reachability::None,
            (true, true, true) => Reachability::Direct,
            (true, false, false) => Reachability::Relayed,
            _ => Reachability::OneWay,
        }
    }
}
