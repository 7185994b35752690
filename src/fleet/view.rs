//! The view of the fleet that operators get.

use super::member::Member;
use super::observations::ObservationMembership;
use super::wire::QuorumStatus;
use super::{Reachability, State};
use crate::api::Millis;
use serde::{Deserialize, Serialize};

/// This router in the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SelfView {
    /// Its name.
    pub name: String,
    /// Its start number.
    pub start: String,
    /// `joining`, `majority`, `cut-off`, or `left` once it has announced that it ends.
    pub standing: String,
    /// The term of the quorum.
    pub term: u32,
    /// How many routers acknowledge it, itself included, and how many the fleet has.
    pub heard_by: usize,
    /// See `heard_by`.
    pub of: usize,
}

/// Another router in the view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Its latest known start number; empty: none.
    pub start: String,
    /// Its state as this router sees it.
    pub state: State,
    /// How it is reached.
    pub path: Reachability,
    /// For how many ms it has been in this state.
    pub since_ms: u64,
    /// The reason for the state.
    pub why: String,
}

/// The view of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// This router.
    pub me: SelfView,
    /// All other routers, in the order of the operator's file.
    pub members: Vec<MemberView>,
}

impl QuorumStatus {
    /// Returns the name of the status as operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Majority => "majority",
            Self::CutOff => "cut-off",
            Self::Left => "left",
        }
    }
}

impl ObservationMembership {
    /// Returns the view of the fleet at `now`.
    pub fn view(&self, now: Millis) -> View {
        let (status, term) = self.quorum_status(now);
        let standing = if self.leaving { QuorumStatus::Left } else { status }.as_str().to_owned();
        let me = SelfView {
            name: self.name.clone(),
            start: self.start().to_string(),
            standing,
            term,
            heard_by: self.quorum.heard_by(now - self.started_at),
            of: self.settings.router_count(),
        };
        let member = |(index, member): (usize, &Member)| MemberView {
            name: member.peer.name.clone(),
            start: member.report.as_ref().map_or(String::new(), |report| report.start.to_string()),
            state: member.state,
            path: self.reachability(index, now),
            since_ms: (now - member.state_since).max(0.0) as u64,
            why: self.reason(member),
        };
        View { me, members: self.members.iter().enumerate().map(member).collect() }
    }

    /// Counts the other routers in each state, by the name of the state.
    pub fn count_by_state(&self) -> [(&'static str, usize); 5] {
        [State::Joining, State::Alive, State::Suspect, State::Gone, State::Left]
            .map(|state| (state.as_str(), self.members.iter().filter(|member| member.state == state).count()))
    }

    fn reason(&self, member: &Member) -> String {
        match (member.state, member.status()) {
            (State::Alive, QuorumStatus::CutOff) => format!("{}; it says that it is cut off", member.why),
            _ => member.why.clone(),
        }
    }

    fn reachability(&self, index: usize, now: Millis) -> Reachability {
        let member = &self.members[index];
        let direct_within_ms = self.settings.direct_within_ms();
        let (heard, fresh) = (
            self.hears_directly(index, now),
            member.silence_ms(now) < 2.0 * self.settings.suspect_after_ms(),
        );
        let answer = self.quorum.ack(index).filter(|answer| {
            answer.direct
                && now - self.started_at - f64::from(answer.heartbeat) * super::quorum::HEARTBEAT_UNIT_MS
                    < 2.0 * direct_within_ms
        });
        match (member.report.is_some() && (fresh || heard), heard, answer.is_some()) {
            (false, ..) => Reachability::None,
            (true, true, true) => Reachability::Direct,
            (true, false, false) => Reachability::Relayed,
            _ => Reachability::OneWay,
        }
    }
}
