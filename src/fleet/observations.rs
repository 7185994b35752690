//! Membership of a small fleet: each router sends its report of whom it has heard, and relays the reports of
//! others, so that each knows the observations of all.
//!
//! The module holds one [`Member`] for each router of the operator's file, this router's own [`QuorumLease`]
//! and its [`LocalHealth`], all bounded by
//! [`MAX_OBSERVATION_ROUTERS`](super::settings::MAX_OBSERVATION_ROUTERS).
//!
//! The safety guarantees of [`super`] are kept by:
//!
//! - *Self-detection first*: a router is declared gone (`declare_gone_if_blocked`) when `blocking_minority`
//!   others have voted its term failed after a silence of at least `refuse_after_ms` (`check_member`). A vote
//!   binds: the voter never acknowledges that term again (`Observation::refused_term`). A start without
//!   memory refuses each term that it meets until its own start has been acknowledged
//!   (`Member::start_acknowledged`). What a voter acknowledged earlier was sent before the silence, so it is
//!   older than `lease_ms` and has expired (`QuorumLease::ack_count`). The remaining routers are no majority.
//! - *No stale starts*: start numbers only grow (`merge_report`), and observations name the start
//!   (`Observation::start_tag`).
//! - *Terms end for good*: `QuorumLease::update`.

use super::local_health::{self, LocalHealth};
use super::member::{Member, TransitEstimator};
use super::quorum::{Ack, QuorumLease, HEARTBEAT_UNIT_MS};
use super::rate_limit::RateLimiter;
use super::settings::{RouterId, Settings};
use super::wire::{self, FailureVotes, Observation, Packet, QuorumStatus, RejectReason, Report};
use super::{Counts, Effect, State};
use crate::api::Millis;
use std::collections::BTreeMap;

/// One slot of so many is for a router that is not heard directly.
const UNHEARD_SLOT_INTERVAL: u64 = 5;

/// The same while this router has no quorum: the routers that it does not hear may be the ones that are
/// missing for one.
const UNHEARD_SLOT_INTERVAL_NO_QUORUM: u64 = 2;
/// Maximum numbers of observations in a report: of missing routers, and of the others in rotation. The third
/// is for missing routers in a relayed report.
const MAX_MISSING_OBSERVATIONS: usize = 16;
const MAX_OTHER_OBSERVATIONS: usize = 11;
const MAX_RELAYED_MISSING: usize = 2;
/// Maximum number of missing routers whose failure votes a datagram carries.
const MAX_FAILURE_VOTES: usize = 8;
/// Weight of the latest report in the smoothed age of a router's reports.
const AGE_WEIGHT: f64 = 0.2;

/// Merges a later report of a router into the known one: observations that the later report of the same start
/// leaves out are kept.
fn merge_observations(
    known: Option<Report>,
    mut report: Report,
    roster: impl Fn(RouterId) -> bool,
) -> Report {
    report.observations.retain(|observation| roster(observation.router));
    if let Some(known) = known.filter(|known| known.start == report.start) {
        for old in known.observations {
            if !report.observations.iter().any(|new| new.router == old.router) {
                report.observations.push(old);
            }
        }
    }
    report
}

/// The membership of a small fleet as one router sees it.
#[derive(Clone, Debug)]
pub struct ObservationMembership {
    pub(super) settings: Settings,
    pub(super) name: String,
    id: RouterId,
    start: u64,
    pub(super) started_at: Millis,
    pub(super) quorum: QuorumLease,
    /// The quorum status and term that were last announced as an effect.
    notified_status: (QuorumStatus, u32),
    local_health: LocalHealth,
    pub(super) members: Vec<Member>,
    index_by_id: BTreeMap<RouterId, usize>,
    /// All ids in order, this router's included, and a hash of them.
    roster: Vec<RouterId>,
    roster_hash: u32,
    /// The next target among the routers that are heard directly, and among the rest.
    next_in_ring: [usize; 2],
    slot_count: u64,
    /// The member from which the rotating observations of the next report start.
    observation_cursor: usize,
    next_tick_at: Millis,
    rate_limiter: RateLimiter,
    pub(super) leaving: bool,
    effects: Vec<Effect>,
    counts: Counts,
}

impl ObservationMembership {
    /// Creates the membership of a router that starts now; see [`Fleet::new`](super::Fleet::new). The name
    /// must have passed [`Settings::check_name`].
    pub fn new(settings: Settings, name: &str, start: u64, now: Millis, seed: u64) -> Self {
        let id = RouterId::of(name);
        let members: Vec<Member> = settings
            .peers
            .iter()
            .map(|peer| Member::new(peer.clone(), settings.transit_window_ms(), now))
            .collect();
        let index_by_id: BTreeMap<RouterId, usize> =
            members.iter().enumerate().map(|(index, one)| (one.id, index)).collect();
        let mut roster: Vec<RouterId> = index_by_id.keys().copied().chain([id]).collect();
        roster.sort_unstable();
        let bytes: Vec<u8> = roster.iter().flat_map(|id| id.0).collect();
        Self {
            roster_hash: twox_hash::XxHash64::oneshot(3, &bytes) as u32,
            roster,
            quorum: QuorumLease::new(members.len(), settings.majority(), settings.lease_ms()),
            local_health: LocalHealth::new(settings.tick_ms(), settings.period_ms, now),
            name: name.to_owned(),
            id,
            start: start.max(1),
            started_at: now,
            notified_status: (QuorumStatus::Joining, 0),
            next_in_ring: [seed as usize % members.len().max(1); 2],
            slot_count: 0,
            observation_cursor: 0,
            members,
            index_by_id,
            next_tick_at: now,
            rate_limiter: RateLimiter::new(now),
            leaving: false,
            effects: Vec::new(),
            counts: Counts::default(),
            settings,
        }
    }

    /// Returns the settings of the fleet.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns when [`tick`](Self::tick) is to be called next.
    pub fn next_deadline(&self) -> Millis {
        self.next_tick_at
    }

    /// Returns the counters of datagrams.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns this router's start number, which may have been raised since the router started.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Returns this router's quorum status and term at `now`. Whatever relies on the quorum asks this each
    /// time before it acts.
    pub fn quorum_status(&self, now: Millis) -> (QuorumStatus, u32) {
        (self.quorum.status(now - self.started_at), self.quorum.term())
    }

    /// Returns and clears the pending effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Handles a received datagram. A rejected datagram is counted and changes nothing.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> Result<(), RejectReason> {
        let result = self.process(now, bytes);
        match result {
            Ok(()) => self.counts.accepted += 1,
            Err(why) => *self.counts.rejected.entry(why).or_default() += 1,
        }
        result
    }

    fn process(&mut self, now: Millis, bytes: &[u8]) -> Result<(), RejectReason> {
        let packet = wire::decode(&self.settings.fleet, bytes)?;
        let from = packet.reports.first().map(|report| report.reporter).ok_or(RejectReason::Corrupt)?;
        if packet.to != self.id || !self.index_by_id.contains_key(&from) {
            return Err(RejectReason::UnknownRouter);
        }
        self.update_quorum(now); // A lease that has expired must end before the datagram can extend it.
        if packet.to_start > self.start {
            self.raise_start(packet.to_start, now);
        }
        if packet.roster_hash == self.roster_hash {
            packet.failure_votes.iter().for_each(|failure_votes| self.merge_failure_votes(failure_votes));
        }
        let mut fresh = false;
        for (index, report) in packet.reports.into_iter().enumerate() {
            fresh |= self.merge_report(report, index == 0, now);
        }
        self.update_quorum(now);
        if fresh {
            Ok(())
        } else {
            Err(RejectReason::Stale)
        }
    }

    /// Merges a report; returns true if it brings anything new.
    fn merge_report(&mut self, report: Report, direct: bool, now: Millis) -> bool {
        if report.reporter == self.id {
            if report.start > self.start {
                self.raise_start(report.start, now);
            }
            return false;
        }
        let Some(index) = self.index_by_id.get(&report.reporter).copied() else { return false };
        let member = &mut self.members[index];
        let known = (member.start(), member.heartbeat());
        if report.start < known.0 {
            return false;
        }
        // A router's own datagram may arrive after a relayed copy of the same report.
        let newest_direct =
            direct && (report.start > known.0 || report.heartbeat > member.last_direct_heartbeat);
        if newest_direct {
            (member.last_direct_at, member.last_direct_heartbeat) = (Some(now), report.heartbeat);
        }
        if (report.start, report.heartbeat) <= known {
            return newest_direct;
        }
        let reported_age_ms = if direct { 0.0 } else { f64::from(report.age_ms) };
        if report.start > known.0 {
            member.transit = TransitEstimator::new(self.settings.transit_window_ms());
        }
        let age_ms = reported_age_ms
            .max(member.transit.excess_delay_ms(f64::from(report.heartbeat) * HEARTBEAT_UNIT_MS, now));
        if report.start > known.0 {
            self.merge_first_report(index, &report, direct, now - age_ms);
        }
        let member = &mut self.members[index];
        member.probed = false;
        member.reported_at = member.reported_at.max(now - age_ms);
        member.last_heard_at = member.last_heard_at.max(now - age_ms);
        member.usual_age_ms += AGE_WEIGHT * (age_ms - member.usual_age_ms);
        let self_observation = report.observations.iter().find(|observation| observation.router == self.id);
        let self_observation =
            self_observation.filter(|observation| observation.start_tag == wire::start_tag(self.start));
        if let Some(Observation { heartbeat, refused_term, direct, .. }) = self_observation.copied() {
            self.quorum.record(index, Ack { heartbeat, refused_term, direct }, now - self.started_at);
        }
        if !member.start_acknowledged {
            // The process before this one may have voted failed any term that the other router had until it
            // learned of this start. A delayed report may name an earlier term, so all terms are refused up
            // to the first that is reported along with a recent enough acknowledgement of this start.
            let start_acknowledged = self_observation
                .is_some_and(|observation| observation.heartbeat >= member.unheard_vote_heartbeat);
            (member.refused_term, member.start_acknowledged) =
                (member.refused_term.max(report.term), start_acknowledged);
        }
        if direct {
            // A router that has not heard this one for long, or not this start, gets an extra datagram.
            let lag = self_observation.map_or(f64::INFINITY, |observation| {
                now - self.started_at - f64::from(observation.heartbeat) * HEARTBEAT_UNIT_MS
            });
            member.reply_pending |=
                lag > self.settings.probe_after_ms() || report.status != QuorumStatus::Majority;
        }
        let (term, status) = (report.term, report.status);
        let (known, index_by_id) = (member.report.take(), &self.index_by_id);
        member.report = Some(merge_observations(known, report, |router| {
            index_by_id.contains_key(&router) || router == self.id
        }));
        if status == QuorumStatus::Left {
            self.set_state(index, State::Left, now, "it has said that it ends".to_owned());
        } else {
            let member = &self.members[index];
            let may_return = match member.state {
                State::Gone => member.gone_term.is_none_or(|gone| term > gone),
                State::Joining | State::Suspect => true,
                State::Alive | State::Left => false,
            };
            if may_return && member.silence_ms(now) < self.settings.suspect_after_ms() {
                let how = if direct { "heard" } else { "heard through others" };
                self.set_state(index, State::Alive, now, how.to_owned());
            }
        }
        true
    }

    /// Merges the first report of a new start.
    fn merge_first_report(&mut self, index: usize, report: &Report, direct: bool, last_heard_at: Millis) {
        self.quorum.forget(index);
        let member = &mut self.members[index];
        // If this process already knew an earlier start, it has never acknowledged anything of the new one,
        // and need not refuse its terms.
        let unknown = member.report.is_none();
        (member.refused_term, member.start_acknowledged) = (0, !unknown);
        (member.voted_term, member.voted_unheard, member.gone_term, member.failure_votes) =
            (0, false, None, None);
        member.sent_reports.clear();
        if !direct {
            (member.last_direct_at, member.last_direct_heartbeat) = (None, 0);
        }
        (member.reported_at, member.last_heard_at, member.reply_pending) =
            (last_heard_at, last_heard_at, true);
        let why = if unknown { "heard for the first time" } else { "it has started anew" };
        member.report = Some(report.clone()); // The state change is announced with the new start number.
        self.set_state(index, State::Alive, last_heard_at, why.to_owned());
    }

    fn set_state(&mut self, index: usize, state: State, now: Millis, why: String) {
        let member = &mut self.members[index];
        let states = (member.state, state);
        if states.0 == state && member.why == why {
            return;
        }
        (member.state, member.state_since, member.why) = (state, now, why.clone());
        let (name, start, term) = (member.peer.name.clone(), member.start(), member.term());
        self.effects.push(Effect::MemberChanged { name, start, term, states, why });
    }

    /// Takes a start number above `above`: another process uses this router's name with a later start. That
    /// is an earlier process if the Unix clock was set back since, or a process that should not exist. The
    /// one that still runs outbids the other.
    fn raise_start(&mut self, above: u64, now: Millis) {
        self.start = above.saturating_add(1);
        (0..self.members.len()).for_each(|index| self.quorum.forget(index));
        self.effects.push(Effect::StartRaised(self.start));
        self.update_quorum(now);
    }

    /// Applies the passage of time to this router's quorum, and announces a change.
    fn update_quorum(&mut self, now: Millis) {
        let clock = now - self.started_at;
        let until = self.quorum.quorum_until();
        self.quorum.update(clock);
        let (status, term) = (self.quorum.status(clock), self.quorum.term());
        if (status, term) != self.notified_status {
            self.notified_status = (status, term);
            let ago_ms = if status == QuorumStatus::CutOff { (clock - until).max(0.0) } else { 0.0 };
            let heard_by = (self.quorum.heard_by(clock), self.settings.router_count());
            self.effects.push(Effect::QuorumChanged { status, term, ago_ms, heard_by });
            self.members.iter_mut().for_each(|member| member.reply_pending = true);
        }
    }

    /// Does the periodic work if it is due: checks for silent routers and sends datagrams.
    pub fn tick(&mut self, now: Millis) {
        if now < self.next_tick_at {
            return;
        }
        if let Some(gap) = self.local_health.tick(now) {
            // A stalled process could not hear anyone: the stall does not count as the silence of others.
            for member in &mut self.members {
                member.last_heard_at = (member.last_heard_at + gap).min(now);
                member.reply_pending = true;
            }
            self.effects.push(Effect::Stalled(gap));
        }
        self.update_quorum(now);
        (0..self.members.len()).for_each(|index| self.check_member(index, now));
        self.send_scheduled(now);
    }

    /// Checks whether a router is silent, whether to vote it failed, and whether enough routers have.
    fn check_member(&mut self, index: usize, now: Millis) {
        let member = &self.members[index];
        if matches!(member.state, State::Gone | State::Left) || !self.local_health.may_suspect(now) {
            return;
        }
        // Relayed reports arrive later: a router that is usually heard through others gets that much more
        // time.
        let usual_delay_ms =
            (member.usual_age_ms - self.settings.period_ms).clamp(0.0, self.settings.suspect_after_ms());
        let limit_ms = self.settings.suspect_after_ms() + usual_delay_ms + self.local_health.lateness_ms();
        let silence_ms = member.silence_ms(now);
        if silence_ms < limit_ms {
            // Before a router is suspected it is probed once; it replies at once.
            let member = &mut self.members[index];
            if silence_ms > self.settings.probe_after_ms() && !member.probed {
                (member.probed, member.reply_pending) = (true, true);
            }
            return;
        }
        if member.state != State::Suspect {
            let why = match member.report {
                Some(_) => format!("not heard for {silence_ms:.0} ms"),
                None => "never heard since this router's start".to_owned(),
            };
            self.set_state(index, State::Suspect, now, why);
        }
        // Without a quorum a router can't tell which of the two is cut off.
        if !self.quorum.has_quorum(now - self.started_at) {
            return;
        }
        let member = &self.members[index];
        let confirmations =
            self.observations_of(index).filter(|(_, observation)| observation.suspected).count();
        let suspicion_ms = local_health::suspicion_timeout_ms(self.settings.suspicion_ms, confirmations)
            + self.settings.extra_suspicion_ms();
        if silence_ms < limit_ms + suspicion_ms {
            return;
        }
        let (router, term) = (member.id, member.term());
        let voter_bits = 1 << self.roster_index(self.id);
        let member = &mut self.members[index];
        member.voted_term = member.voted_term.max(term);
        member.refused_term = member.refused_term.max(term);
        if member.report.is_none() {
            // The vote counts here from now on and is announced in the next datagram; acknowledgements from
            // before that don't revoke it.
            member.voted_unheard = true;
            member.unheard_vote_heartbeat = ((now - self.started_at).max(0.0) / HEARTBEAT_UNIT_MS) as u32;
        } else {
            let start_tag = wire::start_tag(member.start());
            self.merge_failure_votes(&FailureVotes { router, start_tag, term, voter_bits });
        }
        self.declare_gone_if_blocked(index, now);
    }

    /// Returns the index of a router in the roster.
    fn roster_index(&self, id: RouterId) -> usize {
        self.roster.binary_search(&id).unwrap_or(0)
    }

    /// Merges failure votes into the known votes of the same start and term, or replaces the votes of an
    /// earlier term.
    fn merge_failure_votes(&mut self, new: &FailureVotes) {
        let Some(member) = self.index_by_id.get(&new.router).map(|index| &mut self.members[*index]) else {
            return;
        };
        match &mut member.failure_votes {
            Some(known) if (known.start_tag, known.term) == (new.start_tag, new.term) => {
                known.voter_bits |= new.voter_bits
            }
            Some(known) if known.start_tag == new.start_tag && known.term > new.term => {}
            // Which of two starts is the later one is known only from the router's own reports.
            _ if member
                .report
                .as_ref()
                .is_some_and(|report| wire::start_tag(report.start) != new.start_tag) => {}
            known => *known = Some(*new),
        }
    }

    /// Declares a router gone if so many have voted its term failed that no majority is left to acknowledge
    /// it.
    fn declare_gone_if_blocked(&mut self, index: usize, now: Millis) {
        let member = &self.members[index];
        let (start_tag, term) = (wire::start_tag(member.start()), member.term());
        let votes = member
            .failure_votes
            .filter(|votes| votes.term >= term && (votes.start_tag == start_tag || start_tag == 0));
        let mut voter_bits = votes.map_or(0, |votes| votes.voter_bits) | 1 << self.roster_index(self.id);
        for (other, observation) in self.observations_of(index) {
            // A router that has never heard it repeats its vote in each report: a recent vote binds it for
            // all terms until then.
            let unheard = observation.start_tag == 0
                && self.members[other].silence_ms(now) < self.settings.suspect_after_ms();
            if observation.suspected
                && observation.voted_term >= term.max(1)
                && (observation.start_tag == start_tag || start_tag == 0 || unheard)
            {
                voter_bits |= 1 << self.roster_index(self.members[other].id);
            }
        }
        let voters = voter_bits.count_ones() as usize;
        if voters < self.settings.blocking_minority() {
            return;
        }
        let (silence_ms, all) = (member.silence_ms(now), self.settings.router_count());
        self.members[index].gone_term = Some(term);
        let why = format!("{voters} of {all} have given it up, this one after {silence_ms:.0} ms of silence");
        self.set_state(index, State::Gone, now, why);
    }

    /// Returns the latest observations of a router by all others.
    fn observations_of(&self, index: usize) -> impl Iterator<Item = (usize, Observation)> + '_ {
        let id = self.members[index].id;
        self.members.iter().enumerate().filter(move |(other, _)| *other != index).filter_map(
            move |(other, member)| {
                let observation = member
                    .report
                    .as_ref()?
                    .observations
                    .iter()
                    .find(|observation| observation.router == id)?;
                Some((other, *observation))
            },
        )
    }

    fn send_scheduled(&mut self, now: Millis) {
        self.rate_limiter.refill(now);
        let tick_ms = self.settings.tick_ms();
        // Missed ticks are made up for, within one period.
        let due_slots =
            (((now - self.next_tick_at) / tick_ms).floor() + 1.0).min(self.settings.period_ms / tick_ms);
        self.next_tick_at = (self.next_tick_at + tick_ms).max(now + tick_ms / 2.0);
        for _ in 0..due_slots as usize {
            if self.members.is_empty() || self.rate_limiter.available() == 0 {
                return;
            }
            // Every other slot is for a pending reply, if there is one: in a large fleet the rate limit may
            // leave nothing more.
            let reply_to = if self.slot_count % 2 == 1 { self.next_pending_reply(now) } else { None };
            let index = match reply_to {
                Some(index) => {
                    self.slot_count += 1;
                    index
                }
                None => self.next_scheduled(now),
            };
            self.send(index, now);
        }
        while self.rate_limiter.available() > 0 {
            let Some(index) = self.next_pending_reply(now) else { return };
            self.send(index, now);
        }
    }

    /// Returns the next router to which an extra datagram is due: routers to probe first, then in rotation.
    fn next_pending_reply(&self, now: Millis) -> Option<usize> {
        let count = self.members.len();
        let reply_pending = |index: &usize| {
            let member = &self.members[*index];
            member.reply_pending && now - member.last_sent_at > 2.0 * self.settings.tick_ms()
        };
        let ring = (0..count).map(|step| (self.slot_count as usize + step) % count).filter(reply_pending);
        ring.min_by_key(|index| !self.members[*index].probed)
    }

    /// Returns the target of the next slot. Most slots go to routers that are heard directly, since all
    /// information travels through these; one in [`UNHEARD_SLOT_INTERVAL`] goes to the rest, which may be
    /// dead or partitioned.
    fn next_scheduled(&mut self, now: Millis) -> usize {
        self.slot_count += 1;
        let interval = if self.quorum.has_quorum(now - self.started_at) {
            UNHEARD_SLOT_INTERVAL
        } else {
            UNHEARD_SLOT_INTERVAL_NO_QUORUM
        };
        let unheard = usize::from(self.slot_count.is_multiple_of(interval));
        let (from, count) = (self.next_in_ring[unheard], self.members.len());
        let ring = (0..count).map(|step| (from + step) % count);
        let wanted = ring.clone().find(|index| self.hears_directly(*index, now) == (unheard == 0));
        // If there is no target of the one kind, all slots go to the other, in the order of that kind.
        let Some(index) = wanted else {
            let index = self.next_in_ring[1 - unheard] % count;
            self.next_in_ring[1 - unheard] = (index + 1) % count;
            return index;
        };
        self.next_in_ring[unheard] = (index + 1) % count;
        index
    }

    /// Whether datagrams of a router arrive directly.
    pub(super) fn hears_directly(&self, index: usize, now: Millis) -> bool {
        self.members[index]
            .last_direct_at
            .is_some_and(|direct_at| now - direct_at <= self.settings.direct_within_ms())
    }

    fn send(&mut self, index: usize, now: Millis) {
        self.rate_limiter.take();
        let own = self.own_report(index, now);
        let to = &self.members[index];
        // Newest first: new information is relayed at once, and each router has something else that is new.
        let mut unsent: Vec<(usize, &Member, &Report)> = self
            .members
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .filter_map(|(other, member)| Some((other, member, member.report.as_ref()?)))
            .filter(|(other, _, report)| {
                to.sent_reports.get(other) != Some(&(report.start, report.heartbeat))
            })
            .collect();
        unsent.sort_by(|a, b| b.1.reported_at.total_cmp(&a.1.reported_at));
        // Between each two of these, one in rotation, so that no report is left out for long.
        let (from, count) = (self.slot_count as usize * 7, unsent.len().max(1));
        let rotated: Vec<usize> = (0..unsent.len()).map(|step| (from + step) % count).collect();
        let mut taken = vec![false; unsent.len()];
        let order: Vec<usize> = (0..unsent.len()).flat_map(|index| [index, rotated[index]]).collect();
        let order = order.into_iter().filter(|index| !std::mem::replace(&mut taken[*index], true));
        let unsent: Vec<(usize, &Member, &Report)> = order.map(|index| unsent[index]).collect();
        let relayed = unsent.iter().map(|(_, member, report)| {
            let age_ms = (now - member.reported_at).clamp(0.0, f64::from(u16::MAX)) as u16;
            // A relayed report is reduced to what it says of the receiver and of the routers that it
            // suspects.
            let missing = report
                .observations
                .iter()
                .filter(|observation| observation.suspected && observation.router != to.id)
                .take(MAX_RELAYED_MISSING);
            let observations = report
                .observations
                .iter()
                .filter(|observation| observation.router == to.id)
                .chain(missing)
                .copied()
                .collect();
            Report { age_ms, observations, ..(*report).clone() }
        });
        let failure_votes = self.failure_votes_to_send();
        let packet = Packet {
            to: to.id,
            to_start: to.start(),
            roster_hash: self.roster_hash,
            reports: vec![own],
            failure_votes,
        };
        let (bytes, included) = wire::encode(&self.settings.fleet, packet, relayed);
        let sent: Vec<(usize, (u64, u32))> = unsent
            .iter()
            .take(included)
            .map(|(other, _, report)| (*other, (report.start, report.heartbeat)))
            .collect();
        let to = to.peer.address;
        let member = &mut self.members[index];
        member.sent_reports.extend(sent);
        (member.reply_pending, member.last_sent_at) = (false, now);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.effects.push(Effect::Send { to, bytes });
    }

    /// Returns the known failure votes against missing routers, some at a time in rotation.
    fn failure_votes_to_send(&self) -> Vec<FailureVotes> {
        let missing = self.members.iter().filter(|member| member.state == State::Suspect);
        let all: Vec<FailureVotes> = missing.filter_map(|member| member.failure_votes).collect();
        let from = (self.slot_count as usize * MAX_FAILURE_VOTES) % all.len().max(1);
        all.iter().cycle().skip(from).take(all.len().min(MAX_FAILURE_VOTES)).copied().collect()
    }

    /// Builds this router's report for another one: its observations of the receiver, of missing routers, and
    /// of the rest in rotation.
    fn own_report(&mut self, to: usize, now: Millis) -> Report {
        let count = self.members.len();
        let first = self.observation_cursor;
        self.observation_cursor = (first + MAX_OTHER_OBSERVATIONS) % count.max(1);
        let is_missing = |index: &usize| matches!(self.members[*index].state, State::Suspect | State::Gone);
        let ring = (0..count).map(|step| (first + step) % count).filter(|index| *index != to);
        let (missing, rest): (Vec<usize>, Vec<usize>) = ring.partition(is_missing);
        let observed = std::iter::once(to)
            .chain(missing.into_iter().take(MAX_MISSING_OBSERVATIONS))
            .chain(rest.into_iter().take(MAX_OTHER_OBSERVATIONS));
        let observed: Vec<usize> = observed.collect();
        let observations = observed.iter().map(|index| self.own_observation(*index, now)).collect();
        let heartbeat = ((now - self.started_at).max(0.0) / HEARTBEAT_UNIT_MS) as u32;
        for index in observed {
            let member = &mut self.members[index];
            member.unheard_vote_heartbeat =
                if member.voted_unheard { heartbeat } else { member.unheard_vote_heartbeat };
        }
        Report {
            reporter: self.id,
            start: self.start,
            term: self.quorum.advertised_term(),
            heartbeat,
            age_ms: 0,
            status: if self.leaving { QuorumStatus::Left } else { self.quorum.status(now - self.started_at) },
            observations,
        }
    }

    fn own_observation(&self, index: usize, now: Millis) -> Observation {
        let member = &self.members[index];
        Observation {
            router: member.id,
            start_tag: wire::start_tag(member.start()),
            heartbeat: member.heartbeat(),
            refused_term: member.refused_term,
            voted_term: member.voted_term.max(u32::from(member.voted_unheard)),
            suspected: matches!(member.state, State::Suspect | State::Gone),
            direct: self.hears_directly(index, now),
        }
    }

    /// Announces to all other routers, once and at once, that this router ends.
    pub fn leave(&mut self, now: Millis) {
        self.leaving = true;
        self.rate_limiter.set_available(self.members.len());
        (0..self.members.len()).for_each(|index| self.send(index, now));
    }
}

#[cfg(test)]
mod tests;
