//! The picture that operators get of a large fleet.

use super::{Peer, Rolls};
use crate::api::Millis;
use crate::fleet::{MemberView, QuorumStatus, Reachability, SelfView, State, View};

impl Rolls {
    /// The picture at this moment. Whether the other one hears this router's own datagrams isn't told in a large fleet: paths are
    /// direct, relayed or none.
    pub fn view(&self, now: Millis) -> View {
        let (says, term) = self.quorum_status(now);
        let me = SelfView {
            name: self.peers[self.me].name.clone(),
            start: self.start.to_string(),
            standing: if self.leaves { QuorumStatus::Left } else { says }.as_str().to_owned(),
            term,
            heard_by: self.heard_by(now),
            of: self.set.routers(),
        };
        let other = |(of, peer): (usize, &Peer)| {
            let start = self.book.life(of).start;
            MemberView {
                name: peer.name.clone(),
                start: if start == 0 { String::new() } else { start.to_string() },
                state: peer.state,
                path: self.path(peer, now),
                since_ms: (now - peer.since).max(0.0) as u64,
                why: peer.why.clone(),
            }
        };
        let mut members: Vec<MemberView> =
            self.peers.iter().enumerate().filter(|(of, _)| *of != self.me).map(other).collect();
        let place = |name: &str| self.set.peers.iter().position(|peer| peer.name == name);
        members.sort_by_cached_key(|member| place(&member.name));
        View { me, members }
    }

    /// How many of the others are in each state, by its word.
    pub fn count_by_state(&self) -> [(&'static str, usize); 5] {
        let others = || self.peers.iter().enumerate().filter(|(of, _)| *of != self.me);
        [State::Joining, State::Alive, State::Suspect, State::Gone, State::Left]
            .map(|state| (state.as_str(), others().filter(|(_, peer)| peer.state == state).count()))
    }

    fn path(&self, peer: &Peer, now: Millis) -> Reachability {
        if peer.direct_at.is_some_and(|at| now - at < self.set.direct_ms()) {
            Reachability::Direct
        } else if matches!(peer.state, State::Alive) {
            Reachability::Relayed
        } else {
            Reachability::None
        }
    }
}
