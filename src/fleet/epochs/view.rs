//! The view of a large fleet that operators get.

use super::{EpochMembership, Peer};
use crate::api::Millis;
use crate::fleet::{MemberView, QuorumStatus, Reachability, SelfView, State, View};

impl EpochMembership {
    /// Returns the view of the fleet at `now`. Whether another router receives this router's own datagrams is
    /// not known in a large fleet: paths are direct, relayed or none.
    pub fn view(&self, now: Millis) -> View {
        let (status, term) = self.quorum_status(now);
        let me = SelfView {
            name: self.peers[self.me].name.clone(),
            start: self.start.to_string(),
            standing: if self.leaving { QuorumStatus::Left } else { status }.as_str().to_owned(),
            term,
            heard_by: self.heard_by(now),
            of: self.settings.router_count(),
        };
        let other = |(router, peer): (usize, &Peer)| {
            let start = self.incarnations.get(router).start;
            MemberView {
                name: peer.name.clone(),
                start: if start == 0 { String::new() } else { start.to_string() },
                state: peer.state,
                path: self.reachability(peer, now),
                since_ms: (now - peer.state_since).max(0.0) as u64,
                why: peer.why.clone(),
            }
        };
        let mut members: Vec<MemberView> =
            self.peers.iter().enumerate().filter(|(router, _)| *router != self.me).map(other).collect();
        let file_order = |name: &str| self.settings.peers.iter().position(|peer| peer.name == name);
        members.sort_by_cached_key(|member| file_order(&member.name));
        View { me, members }
    }

    /// Counts the other routers in each state, by the name of the state.
    pub fn count_by_state(&self) -> [(&'static str, usize); 5] {
        let others = || self.peers.iter().enumerate().filter(|(router, _)| *router != self.me);
        [State::Joining, State::Alive, State::Suspect, State::Gone, State::Left]
            .map(|state| (state.as_str(), others().filter(|(_, peer)| peer.state == state).count()))
    }

    fn reachability(&self, peer: &Peer, now: Millis) -> Reachability {
        if peer.last_direct_at.is_some_and(|at| now - at < self.settings.direct_within_ms()) {
            Reachability::Direct
        } else if matches!(peer.state, State::Alive) {
            Reachability::Relayed
        } else {
            Reachability::None
        }
    }
}
