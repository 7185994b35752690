//! Membership of a large fleet: in each epoch a coordinator opens a ballot, and each router that it reaches
//! signs it.
//!
//! The module holds the [`IncarnationTable`], what was heard of each router, the [`Ballots`] and this
//! router's [`EpochQuorum`], all bounded by the roster ([`MAX_ROUTERS`](super::MAX_ROUTERS)) and a few
//! epochs.
//!
//! Time is divided into *epochs*, which the fleet enters together as far as possible: a router that hears of
//! a later epoch enters it. Each datagram carries the sender's epoch, and for every other router the latest
//! epoch that it is known to have been in, in two bits each. At the end of an epoch a coordinator
//! ([`schedule`]) opens a liveness ballot that lists all routers heard of since a given epoch. The ballot
//! spreads by gossip; a router that it reaches has thereby heard of all its members, and signs it.
//!
//! The safety guarantees of [`super`] are kept by:
//!
//! - *Self-detection first*: (1) a router has a quorum by a liveness ballot that a majority has signed, for
//!   `lease_ms` from when it entered the ballot's `since_epoch`, or the first later epoch that it entered
//!   ([`EpochQuorum::confirm`]). `since_epoch` may be earlier than the epoch in the ballot's key. (2) A
//!   router that signs a ballot has heard that all its members were in `since_epoch` or a later epoch, so the
//!   silence that it measures of each began after that member had entered it (`record_ballot_members`). It
//!   votes an incarnation failed after at least `refuse_after_ms` of silence (`check_peer`), and never again
//!   confirms that incarnation ([`ballots::may_sign`]; the exceptions to a signature travel with it). (3) An
//!   incarnation is declared gone when so many have signed a failure ballot that the rest is no majority
//!   (`check_failure_ballot`), or when another router reports that ([`IncarnationStatus::Gone`]). (4)
//!   `lease_ms` is shorter than `refuse_after_ms` by more than clocks differ. If router A has a lease by (1)
//!   and is declared gone by (3), some router B has signed both ballots, and it signed the liveness ballot
//!   before it voted A failed. The silence of A that B measures began after A's lease had begun, so the lease
//!   is over when B votes. (5) A router that restarted without its state may have voted before the restart: a
//!   router does not count its signature for a term that it advertised before it learned of the new start
//!   (`counts_signer`).
//! - *No stale starts*: start numbers only grow ([`IncarnationTable::merge`]), and the epochs that others
//!   report are taken over with certainty only where both sides know the same starts
//!   ([`IncarnationTable::compare_blocks`]).
//! - *Terms end for good*: when a lease expires, the next term is advertised ([`EpochQuorum::update`]), and
//!   ballots confirm only the advertised term ([`EpochQuorum::confirm`]).

pub mod ballots;
pub mod encoding;
pub mod incarnations;
pub mod quorum;
pub mod schedule;
mod view;
pub mod wire;

use super::local_health::LocalHealth;
use super::rate_limit::RateLimiter;
use super::settings::RouterId;
use super::{Counts, Effect, QuorumStatus, RejectReason, Settings, State};
use crate::api::Millis;
use ballots::{BallotKey, Ballots, KEPT_EPOCHS};
use encoding::EpochLags;
use fixedbitset::FixedBitSet;
use incarnations::{IncarnationTable, IncarnationUpdate};
use quorum::EpochQuorum;
use schedule::Roles;
use std::collections::VecDeque;
use std::net::SocketAddr;
use twox_hash::XxHash64;
use wire::{BallotKind, EncodedIncarnations, Incarnation, IncarnationEntry, IncarnationStatus, Packet};

/// Usual maximum size of a datagram in bytes, and the maximum for a router that knows little.
const USUAL_DATAGRAM_BYTES: usize = 900;
const FULL_DATAGRAM_BYTES: usize = 1190;
/// Bytes of a datagram that are reserved for incarnations, where there are any to send.
const INCARNATION_BYTES: usize = 300;
/// A liveness ballot omits at most this part (one divided by this number) of the members that the largest
/// possible one would have.
const MISSING_MEMBERS_DIVISOR: usize = 10;
/// Periods after which information about an epoch is too old, where most of it arrives in time.
const STALE_PERIODS: f64 = 2.3;
/// Epochs without a failure ballot after which routers other than coordinators open one.
const TAKEOVER_EPOCHS: u32 = 2;
/// Epochs for which a router delays its signature until it can confirm all members of a failure ballot.
const SIGN_WAIT_EPOCHS: u32 = 6;
/// Fraction of the time to suspicion after which a router is probed, and the maximum number of probes at
/// once.
const PROBE_FRACTION: f64 = 0.7;
const MAX_PROBES: usize = 2;
/// Minimum time between two replies to one router, and between two rounds of probes, in ms.
const MIN_REPLY_INTERVAL_MS: Millis = 150.0;
/// Datagrams of the rate limit that updates to outdated routers, and scheduled datagrams to random routers,
/// leave unused.
const RESERVED_DATAGRAMS: usize = 5;
/// Minimum time from one term to the next when a router renews its term because too few signers that it may
/// count are left, in ms.
const MIN_TERM_MS: Millis = 1000.0;
/// Signers that a router wants beyond a majority, as a fraction of the fleet.
const SPARE_SIGNERS_FRACTION: f64 = 0.1;
/// A failure ballot lists the routers already voted failed, and those that are due to be within this many
/// periods.
const GROUPED_VOTE_PERIODS: f64 = 2.0;
/// Periods that a router waits for missed updates, after a stall or a new quorum, before it declares others
/// gone. The wait is at most the minimum time to suspicion (`suspicion_ms[0]`), since no incarnation is voted
/// failed sooner after its beginning.
const CATCH_UP_PERIODS: f64 = 3.0;
/// Periods in which a new start becomes known to nearly all routers.
const NEW_START_PERIODS: f64 = 3.0;
/// Growth of that time, as a multiple of it, when all routers are new; in proportion to the share of new
/// routers otherwise.
const ALL_NEW_EXTRA_FACTOR: f64 = 6.0;
/// On average one randomly addressed datagram out of this many goes to a router that is not alive.
const MISSING_TARGET_INTERVAL: u64 = 6;
/// Weight of the latest information in the smoothed delay.
const DELAY_WEIGHT: f64 = 0.2;

/// What is known of a router besides its incarnation.
#[derive(Clone, Debug)]
struct Peer {
    name: String,
    address: SocketAddr,
    /// The latest epoch that its known start is certain to have been in.
    last_epoch: Option<u32>,
    /// The same, including reports that may be about an earlier start: they only show that the router is not
    /// silent.
    possible_epoch: Option<u32>,
    /// When it was last heard of, moved forward by the stalls of this process. Silence is measured from here.
    last_heard_at: Millis,
    /// How late information about it usually arrives, in ms from when this router entered the epoch
    /// concerned.
    usual_delay_ms: Millis,
    last_direct_at: Option<Millis>,
    last_reply_at: Millis,
    /// When another router first reported its incarnation gone.
    reported_gone_at: Millis,
    /// Why it is gone, if that has not been announced yet.
    gone_reason: Option<String>,
    /// This router has voted its incarnation failed. If it was never heard of, the vote holds for the first
    /// incarnation that is.
    voted_failed: bool,
    state: State,
    state_since: Millis,
    why: String,
}

/// The membership of a large fleet as one router sees it.
#[derive(Clone, Debug)]
pub struct EpochMembership {
    settings: Settings,
    /// This router's index in the roster.
    me: usize,
    start: u64,
    roster_hash: u32,
    peers: Vec<Peer>,
    incarnations: IncarnationTable,
    ballots: Ballots,
    quorum: EpochQuorum,
    /// The quorum status and term that were last announced as an effect.
    notified_status: (QuorumStatus, u32),
    local_health: LocalHealth,
    epoch: u32,
    /// How late information usually arrives, in ms: [`Peer::usual_delay_ms`] over all routers.
    usual_delay_ms: Millis,
    /// When this router's quorum last began, and when its last stall ended.
    quorum_since: Millis,
    resumed_at: Millis,
    /// When a new start of another router was last learned.
    last_new_start_at: Millis,
    roles: Roles,
    /// When an aggregator sends to the coordinators, and when this router begins the next epoch.
    aggregate_at: Option<Millis>,
    epoch_ends_at: Millis,
    /// Datagrams that are due within the epoch, and their targets; none: a random router. At most two.
    scheduled_sends: VecDeque<(Millis, Option<usize>)>,
    next_check_at: Millis,
    rate_limiter: RateLimiter,
    /// Outdated routers that are to be sent an update, and the blocks that each lacks: bounded by
    /// [`MAX_PENDING_UPDATES`].
    pending_updates: Vec<(usize, Vec<bool>)>,
    seed: u64,
    random_draws: u64,
    datagram_count: usize,
    leaving: bool,
    /// Routers about to be suspected; whether the datagrams sent now request a reply; and when probes were
    /// last sent.
    to_probe: Vec<usize>,
    probing: bool,
    probed_at: Millis,
    effects: Vec<Effect>,
    counts: Counts,
}

const MAX_PENDING_UPDATES: usize = 16;

impl EpochMembership {
    /// Creates the membership of a router that starts now; see [`Fleet::new`](super::Fleet::new). The name
    /// must have passed [`Settings::check_name`].
    pub fn new(settings: Settings, name: &str, start: u64, now: Millis, seed: u64) -> Self {
        let peer = |name: &str, address: SocketAddr| Peer {
            name: name.to_owned(),
            address,
            last_epoch: None,
            possible_epoch: None,
            last_heard_at: now,
            usual_delay_ms: 0.0,
            last_direct_at: None,
            last_reply_at: f64::NEG_INFINITY,
            reported_gone_at: now,
            gone_reason: None,
            voted_failed: false,
            state: State::Joining,
            state_since: now,
            why: "not heard yet".to_owned(),
        };
        let mut peers: Vec<Peer> =
            settings.peers.iter().map(|other| peer(&other.name, other.address)).collect();
        peers.push(peer(name, settings.listen));
        // Sorted by id: all routers have the same order, whatever the order in their operator's files.
        peers.sort_by_key(|peer| RouterId::of(&peer.name));
        let me = peers.iter().position(|peer| peer.name == name).unwrap_or_default();
        let ids: Vec<u8> = peers.iter().flat_map(|peer| RouterId::of(&peer.name).0).collect();
        let count = peers.len();
        let mut membership = Self {
            me,
            start: start.max(1),
            roster_hash: XxHash64::oneshot(3, &ids) as u32,
            peers,
            incarnations: IncarnationTable::new(count, now),
            ballots: Ballots::default(),
            quorum: EpochQuorum::new(settings.lease_ms(), now),
            notified_status: (QuorumStatus::Joining, 0),
            local_health: LocalHealth::new(settings.tick_ms(), settings.period_ms, now),
            epoch: 0,
            usual_delay_ms: 0.0,
            quorum_since: now,
            resumed_at: now,
            last_new_start_at: now,
            roles: Roles::default(),
            aggregate_at: None,
            epoch_ends_at: now,
            scheduled_sends: VecDeque::new(),
            next_check_at: now,
            rate_limiter: RateLimiter::new(now),
            pending_updates: Vec::new(),
            seed,
            random_draws: 0,
            datagram_count: 0,
            leaving: false,
            to_probe: Vec::new(),
            probing: false,
            probed_at: f64::NEG_INFINITY,
            effects: Vec::new(),
            counts: Counts::default(),
            settings,
        };
        membership.publish_own_incarnation(now);
        membership.quorum.record_epoch(0, now);
        // Routers that start at the same time end their first epoch at different times.
        membership.epoch_ends_at = now + membership.settings.period_ms * membership.random_fraction();
        membership
    }

    /// Returns the settings of the fleet.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns when [`tick`](Self::tick) is to be called next.
    pub fn next_deadline(&self) -> Millis {
        let later = self.scheduled_sends.front().map(|(at, _)| *at);
        self.next_check_at
            .min(self.epoch_ends_at)
            .min(later.or(self.aggregate_at).unwrap_or(f64::INFINITY))
            .min(self.aggregate_at.unwrap_or(f64::INFINITY))
    }

    /// Returns the counters of datagrams.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns this router's start number, which may have been raised since the router started.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// Returns this router's quorum status and term at `now`.
    pub fn quorum_status(&self, now: Millis) -> (QuorumStatus, u32) {
        (self.quorum.status(now), self.quorum.term())
    }

    /// Returns and clears the pending effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn random_u64(&mut self) -> u64 {
        self.random_draws += 1;
        XxHash64::oneshot(self.seed, &self.random_draws.to_le_bytes())
    }

    fn random_fraction(&mut self) -> f64 {
        (self.random_u64() >> 11) as f64 / (1u64 << 53) as f64
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
        let (from, router_count) = (usize::from(packet.from), self.peers.len());
        if packet.roster_hash != self.roster_hash
            || usize::from(packet.to) != self.me
            || from >= router_count
            || from == self.me
        {
            return Err(RejectReason::UnknownRouter);
        }
        let lags = packet.lags.decode(router_count).ok_or(RejectReason::Corrupt)?;
        let own = packet.own;
        let incarnations = packet.incarnations.decode(own);
        if !self.incarnations.has_valid_length(&packet.block_digests)
            || incarnations.iter().any(|one| usize::from(one.router) >= router_count)
        {
            return Err(RejectReason::Corrupt);
        }
        // A datagram of an earlier start or term is outdated.
        let known = self.incarnations.get(from);
        if (own.start, own.term) < (known.start, known.term) {
            return Err(RejectReason::Stale);
        }
        self.update_quorum(now); // A lease that has expired must end before the datagram can extend it.
        self.rate_limiter.refill(now);
        self.merge_incarnation(IncarnationEntry { router: packet.from, incarnation: own }, now);
        incarnations.into_iter().for_each(|entry| self.merge_incarnation(entry, now));
        self.peers[from].last_direct_at = Some(now);
        let same = self.incarnations.compare_blocks(&packet.block_digests).unwrap_or_default();
        let mut is_news = false;
        for (router, step) in lags.iter().enumerate() {
            let Some(epochs_ago) = EpochLags::max_epochs(*step) else { continue };
            if router != self.me && router != from {
                let epoch = packet.epoch.saturating_sub(epochs_ago);
                is_news |= !self.is_stale(epoch, now)
                    && self.record_heard(router, epoch, same[router / incarnations::BLOCK_ROUTERS], now);
            }
        }
        is_news |= !self.is_stale(packet.epoch, now) && self.record_heard(from, packet.epoch, true, now);
        for message in &packet.ballots {
            if let Some(key) = self.ballots.receive(message, router_count, self.epoch.max(packet.epoch)) {
                self.process_ballot(key, now);
            }
        }
        if !is_news && packet.epoch + KEPT_EPOCHS < self.epoch {
            return Err(RejectReason::Stale); // Outdated, or received before.
        }
        // A router whose epoch or incarnations are out of date is sent what it lacks.
        let blocks_to_send = self.incarnations.blocks_to_send(&packet.block_digests);
        let behind = packet.epoch + 2 < self.epoch;
        if (behind || blocks_to_send.contains(&true))
            && now - self.peers[from].last_reply_at >= MIN_REPLY_INTERVAL_MS
        {
            let may_queue = self.pending_updates.iter().all(|(router, _)| *router != from)
                && self.pending_updates.len() < MAX_PENDING_UPDATES;
            if may_queue {
                self.pending_updates.push((from, blocks_to_send));
            }
        }
        if packet.epoch > self.epoch {
            self.enter_epoch(packet.epoch, now);
        }
        self.update_quorum(now);
        // A request for a reply is answered at once, with the epoch that this router is in.
        if packet.requests_reply && now - self.peers[from].last_reply_at >= MIN_REPLY_INTERVAL_MS {
            self.peers[from].last_reply_at = now;
            self.send(from, now, None);
        }
        self.send_pending_updates(now);
        Ok(())
    }

    /// Merges an incarnation of a router.
    fn merge_incarnation(&mut self, entry: IncarnationEntry, now: Millis) {
        let (router, incarnation) = (usize::from(entry.router), entry.incarnation);
        if router == self.me {
            self.merge_own_incarnation(incarnation, now);
            return;
        }
        let unheard = self.incarnations.get(router).start == 0;
        let Some(update) = self.incarnations.merge(router, incarnation, now) else { return };
        let peer = &mut self.peers[router];
        if update != IncarnationUpdate::NewStatus {
            // A router that this one voted failed without hearing of it may be known to others in this very
            // incarnation: marks it as doubted for them.
            let doubts = unheard && peer.voted_failed;
            (peer.voted_failed, peer.gone_reason) = (doubts, None);
            if update == IncarnationUpdate::NewStart {
                self.last_new_start_at = now;
                (peer.last_epoch, peer.possible_epoch, peer.usual_delay_ms) = (None, None, 0.0);
            }
            if doubts {
                self.incarnations.set_status(router, IncarnationStatus::Doubted, now);
            }
        }
        match (self.incarnations.get(router).status, update) {
            (IncarnationStatus::Left, _) => {
                self.set_state(router, State::Left, now, "it has said that it ends".to_owned())
            }
            // Announced at a later tick, once all waiting datagrams have been read: the router may have
            // returned since.
            (IncarnationStatus::Gone, _) => self.peers[router].reported_gone_at = now,
            (_, IncarnationUpdate::NewStart) if !unheard => {
                self.peers[router].last_heard_at = now;
                self.set_state(router, State::Alive, now, "it has started anew".to_owned());
            }
            (_, IncarnationUpdate::NewStart) => {
                self.peers[router].last_heard_at = now;
                self.set_state(router, State::Alive, now, "heard for the first time".to_owned());
            }
            (_, IncarnationUpdate::NewTerm) if self.peers[router].state == State::Gone => {
                self.peers[router].last_heard_at = now;
                self.set_state(router, State::Alive, now, "it is back in a new term".to_owned());
            }
            _ => {}
        }
    }

    /// Handles what others say of this router's own incarnation.
    fn merge_own_incarnation(&mut self, incarnation: Incarnation, now: Millis) {
        if incarnation.start > self.start {
            // Another process uses this router's name with a later start: an earlier process if the Unix
            // clock was set back since, or a process that should not exist. The one that still runs takes a
            // start number above it.
            self.start = incarnation.start.saturating_add(1);
            self.quorum.start_raised(now);
            self.effects.push(Effect::StartRaised(self.start));
            self.publish_own_incarnation(now);
        } else if incarnation.start == self.start
            && incarnation.term == self.quorum.advertised_term()
            && incarnation.status > IncarnationStatus::Present
            && !self.leaving
        {
            // Another router doubts this term, or has declared it gone or left: the next one is advertised.
            self.quorum.advertise_term(incarnation.term + 1, now);
            self.publish_own_incarnation(now);
        }
    }

    /// Puts this router's current incarnation into the table, from which it is sent to others.
    fn publish_own_incarnation(&mut self, now: Millis) {
        let status = if self.leaving { IncarnationStatus::Left } else { IncarnationStatus::Present };
        let incarnation = Incarnation { start: self.start, term: self.quorum.advertised_term(), status };
        self.incarnations.merge(self.me, incarnation, now);
    }

    /// Records that a router was in an epoch, and returns true if that is new. `certain`: in its known start;
    /// otherwise it is only known not to be silent.
    fn record_heard(&mut self, router: usize, epoch: u32, certain: bool, now: Millis) -> bool {
        let peer = &mut self.peers[router];
        if self.incarnations.get(router).start == 0 {
            return false;
        }
        // Uncertain information, which may be about an earlier start, counts once for each epoch: otherwise
        // repeated reports would restart the silence again and again after that start has ended.
        if certain && peer.last_epoch.is_none_or(|known| epoch > known) {
            peer.last_epoch = Some(epoch);
        } else if certain || peer.possible_epoch.is_some_and(|known| epoch <= known) {
            return false;
        }
        // Never true here: such information has been rejected above. Certain information goes on and restarts
        // the silence even if uncertain information about this or a later epoch came before, as that may have
        // been about an earlier start.
        if !certain && peer.possible_epoch.is_some_and(|known| epoch <= known) {
            return true;
        }
        let delay_ms =
            self.quorum.entered_at(epoch).map_or(0.0, |at| now - at).min(self.settings.suspect_after_ms());
        self.usual_delay_ms +=
            (delay_ms - self.usual_delay_ms) * DELAY_WEIGHT / self.settings.router_count() as f64;
        peer.possible_epoch = peer.possible_epoch.max(Some(epoch));
        peer.last_heard_at = now;
        peer.usual_delay_ms += DELAY_WEIGHT * (delay_ms - peer.usual_delay_ms);
        let may_return = matches!(peer.state, State::Suspect | State::Joining)
            && self.incarnations.get(router).status < IncarnationStatus::Gone;
        // Information about an epoch long past doesn't show that the router is alive now.
        if may_return && self.missing_for_ms(router, now) < self.suspect_limit_ms(router) {
            self.set_state(router, State::Alive, now, "heard again".to_owned());
        }
        true
    }

    /// Whether information about an epoch arrives so much later than most that it is ignored. It does not
    /// show that a router is still alive; counting it would restart the measured silence, at different times
    /// on different routers.
    fn is_stale(&self, epoch: u32, now: Millis) -> bool {
        let usual = 2.0 * (self.usual_delay_ms - self.settings.period_ms).max(0.0);
        self.quorum
            .entered_at(epoch)
            .is_some_and(|at| now - at > usual + STALE_PERIODS * self.settings.period_ms)
    }

    /// Whether a router is due to be voted failed within `periods` periods if nothing more is heard of it.
    fn vote_due_within(&self, router: usize, periods: f64, now: Millis) -> bool {
        let peer = &self.peers[router];
        peer.state == State::Suspect
            && now - peer.last_heard_at >= self.settings.refuse_after_ms() - periods * self.settings.period_ms
    }

    /// Returns for how many ms a router has been missing: since this router entered the epoch after the last
    /// one that it is known to have been in.
    fn missing_for_ms(&self, router: usize, now: Millis) -> Millis {
        let peer = &self.peers[router];
        let missing_since = match peer.possible_epoch {
            Some(epoch) => self.quorum.entered_at(epoch.saturating_add(1)),
            None => Some(peer.last_heard_at),
        };
        missing_since.map_or(0.0, |since| now - since.max(self.resumed_at))
    }

    /// Returns for how many ms a router may be missing before it is suspected: longer where information about
    /// it usually arrives later, as through a lossy network, and when this process itself runs late.
    fn suspect_limit_ms(&self, router: usize) -> Millis {
        let usual = (self.peers[router].usual_delay_ms - self.settings.period_ms)
            .clamp(0.0, self.settings.suspect_after_ms() / 2.0);
        self.settings.suspect_after_ms() + usual + self.local_health.lateness_ms()
    }

    fn set_state(&mut self, router: usize, state: State, now: Millis, why: String) {
        let incarnation = self.incarnations.get(router);
        let peer = &mut self.peers[router];
        let states = (peer.state, state);
        if states.0 == state && peer.why == why {
            return;
        }
        (peer.state, peer.state_since, peer.why) = (state, now, why.clone());
        let name = peer.name.clone();
        self.effects.push(Effect::MemberChanged {
            name,
            start: incarnation.start,
            term: incarnation.term,
            states,
            why,
        });
    }

    /// Handles a ballot that is new here or has new signatures: signs it if that is allowed, and evaluates
    /// it.
    fn process_ballot(&mut self, key: BallotKey, now: Millis) {
        let Some(ballot) = self.ballots.get(&key) else { return };
        if !ballot.signers.contains(self.me) {
            let mut voted_failed = FixedBitSet::with_capacity(self.peers.len());
            (0..self.peers.len())
                .filter(|router| self.peers[*router].voted_failed)
                .for_each(|router| voted_failed.insert(router));
            // A signature waits for members that this router is about to vote failed.
            let vote_soon = |router: usize| {
                !voted_failed.contains(router)
                    && self.vote_due_within(router, f64::from(SIGN_WAIT_EPOCHS), now)
            };
            let may_wait = self.epoch < key.1 + SIGN_WAIT_EPOCHS && ballot.members.ones().any(vote_soon);
            if let Some(exceptions) =
                ballots::may_sign(&key, ballot, &self.incarnations, &voted_failed, may_wait)
            {
                self.record_ballot_members(key, &exceptions, now);
                self.ballots.sign(&key, self.me, &exceptions);
            }
        }
        match key.0 {
            BallotKind::Liveness => self.check_liveness_ballot(key, now),
            BallotKind::Failure => self.check_failure_ballot(key, now),
        }
    }

    fn process_ballots(&mut self, kind: BallotKind, now: Millis) {
        let keys: Vec<BallotKey> = self.ballots.of_kind(kind).map(|(key, _)| *key).collect();
        keys.into_iter().for_each(|key| self.process_ballot(key, now));
    }

    /// Records the members of a liveness ballot before signing it: they were in the ballot's `since_epoch`
    /// or a later epoch, so the silence that this router measures of each began after the member had entered
    /// it.
    fn record_ballot_members(&mut self, key: BallotKey, exceptions: &FixedBitSet, now: Millis) {
        if key.0 == BallotKind::Liveness {
            let Some(ballot) = self.ballots.get(&key) else { return };
            let since_epoch = ballot.since_epoch;
            let members =
                ballot.members.ones().filter(|router| *router != self.me && !exceptions.contains(*router));
            for router in members.collect::<Vec<usize>>() {
                self.record_heard(router, since_epoch, true, now);
            }
        }
    }

    /// Returns which signers count for a term that was first advertised at `advertised_since`: a router whose
    /// start became known later may have voted the term failed in an earlier process.
    fn counts_signer(&self, advertised_since: Millis) -> impl Fn(&usize) -> bool + '_ {
        move |router| {
            *router == self.me
                || self.incarnations.get(*router).start > 0
                    && self.incarnations.start_learned_at(*router) <= advertised_since
        }
    }

    /// Extends this router's quorum if a majority has heard it according to this ballot.
    fn check_liveness_ballot(&mut self, key: BallotKey, now: Millis) {
        let Some(ballot) = self.ballots.get(&key) else { return };
        if !ballot.members.contains(self.me)
            || ballot.exceptions.contains(self.me)
            || ballot.signers.count_ones(..) < self.settings.majority()
        {
            return;
        }
        if ballot.start_digest != self.incarnations.start_digest(&ballot.members) {
            return;
        }
        let signer_count =
            ballot.signers.ones().filter(self.counts_signer(self.quorum.advertised_since())).count();
        if signer_count >= self.settings.majority() {
            self.quorum.confirm(ballot.since_epoch, now);
        }
    }

    /// Marks the members of a failure ballot as gone if so many have signed that the rest is no majority.
    fn check_failure_ballot(&mut self, key: BallotKey, now: Millis) {
        let Some(ballot) = self.ballots.get(&key) else { return };
        let signer_count = ballot.signers.count_ones(..);
        if signer_count < self.settings.blocking_minority()
            || ballot.start_digest != self.incarnations.start_digest(&ballot.members)
        {
            return;
        }
        // A router that was never heard of has no incarnation that a signature could bind: this router must
        // have missed it for as long itself.
        let binds = |router: &usize| {
            let incarnation = self.incarnations.get(*router);
            incarnation.term == ballot.terms.term(*router)
                && (incarnation.start > 0 || self.peers[*router].voted_failed)
        };
        let members =
            ballot.members.difference(&ballot.exceptions).filter(|router| *router != self.me).filter(binds);
        let members: Vec<usize> = members.collect();
        let all = self.settings.router_count();
        for router in members {
            let incarnation = self.incarnations.get(router);
            if incarnation.status < IncarnationStatus::Gone {
                if incarnation.start > 0 {
                    self.incarnations.set_status(router, IncarnationStatus::Gone, now);
                }
                let silence_ms = now - self.peers[router].last_heard_at;
                self.peers[router].gone_reason = Some(format!(
                    "{signer_count} of {all} have given it up, {silence_ms:.0} ms after the last word here"
                ));
            }
        }
    }

    /// Applies the passage of time to this router's quorum, and announces a change.
    fn update_quorum(&mut self, now: Millis) {
        let until = self.quorum.quorum_until();
        let advertised_term = self.quorum.advertised_term();
        self.quorum.update(now);
        let (status, term) = self.quorum_status(now);
        if (status, term) != self.notified_status {
            if status == QuorumStatus::Majority && self.notified_status.0 != QuorumStatus::Majority {
                self.quorum_since = now;
            }
            self.notified_status = (status, term);
            let ago_ms = if status == QuorumStatus::CutOff { (now - until).max(0.0) } else { 0.0 };
            let heard_by = (self.heard_by(now), self.settings.router_count());
            self.effects.push(Effect::QuorumChanged { status, term, ago_ms, heard_by });
        }
        if advertised_term != self.quorum.advertised_term() {
            self.publish_own_incarnation(now);
        }
    }

    /// Returns the most signatures on any recent liveness ballot that lists this router, its own included.
    /// With a quorum, at least a majority: that many have signed within the lease, on whichever ballot.
    pub(super) fn heard_by(&self, now: Millis) -> usize {
        let containing_self =
            self.ballots.of_kind(BallotKind::Liveness).filter(|(_, ballot)| ballot.members.contains(self.me));
        let max_signers = containing_self.map(|(_, ballot)| ballot.signers.count_ones(..)).max().unwrap_or(1);
        if self.quorum.has_quorum(now) {
            max_signers.max(self.settings.majority())
        } else {
            max_signers
        }
    }

    /// Does the periodic work if it is due: checks for silent routers and sends datagrams.
    pub fn tick(&mut self, now: Millis) {
        if now < self.next_deadline() {
            return;
        }
        self.update_quorum(now);
        self.rate_limiter.refill(now);
        if now >= self.next_check_at {
            if let Some(gap) = self.local_health.tick(now) {
                // A stalled process could not hear anyone: the stall does not count as the silence of others.
                self.peers
                    .iter_mut()
                    .for_each(|peer| peer.last_heard_at = (peer.last_heard_at + gap).min(now));
                self.resumed_at = now;
                self.effects.push(Effect::Stalled(gap));
            }
            let tick_ms = self.settings.tick_ms();
            self.next_check_at = (self.next_check_at + tick_ms).max(now + tick_ms / 2.0);
            for router in (0..self.peers.len()).filter(|router| *router != self.me).collect::<Vec<_>>() {
                self.check_peer(router, now);
            }
            self.process_ballots(BallotKind::Failure, now);
            self.probe(now);
            self.renew_term(now);
        }
        if self.aggregate_at.is_some_and(|at| now >= at) {
            self.aggregate_at = None;
            for router in self.roles.coordinators.clone() {
                self.send(router, now, None);
            }
        }
        self.send_scheduled(now);
        if now >= self.epoch_ends_at {
            self.open_ballots(now);
            self.enter_epoch(self.epoch + 1, now);
        }
        self.send_pending_updates(now);
    }

    /// Checks whether a router is silent, whether to vote it failed, and whether it is gone.
    fn check_peer(&mut self, router: usize, now: Millis) {
        if matches!(self.peers[router].state, State::Gone | State::Left)
            || !self.local_health.may_suspect(now)
        {
            return;
        }
        // A router that returns from a partition or a stall may hear that an incarnation has ended before it
        // hears of the one that followed.
        let returned_at = self.resumed_at.max(self.quorum_since);
        let catch_up_ms = (CATCH_UP_PERIODS * self.settings.period_ms).min(self.settings.suspicion_ms[0]);
        let may_declare = self.quorum.has_quorum(now) && now - returned_at >= catch_up_ms;
        let gone_reason = self.peers[router].gone_reason.take_if(|_| may_declare);
        let reported_gone = may_declare
            && self.incarnations.get(router).status == IncarnationStatus::Gone
            && (self.missing_for_ms(router, now) >= self.suspect_limit_ms(router)
                || now - self.peers[router].reported_gone_at >= self.settings.suspect_after_ms());
        if gone_reason.is_some() || reported_gone {
            let default_reason =
                || "others say that so many have given it up that it has no majority".to_owned();
            self.set_state(router, State::Gone, now, gone_reason.unwrap_or_else(default_reason));
            return;
        }
        let (missing_ms, limit) = (self.missing_for_ms(router, now), self.suspect_limit_ms(router));
        if missing_ms < limit {
            if missing_ms > PROBE_FRACTION * limit && self.peers[router].state == State::Alive {
                self.to_probe.push(router);
            }
            return;
        }
        if self.peers[router].state != State::Suspect {
            let unheard = self.incarnations.get(router).start == 0;
            let why = if unheard {
                "never heard since this router's start".to_owned()
            } else {
                format!("not heard for {missing_ms:.0} ms")
            };
            self.set_state(router, State::Suspect, now, why);
        }
        // Without a quorum a router can't tell which of the two is cut off.
        let peer = &self.peers[router];
        if peer.voted_failed
            || !self.quorum.has_quorum(now)
            || now - peer.last_heard_at < self.settings.refuse_after_ms() + self.local_health.lateness_ms()
        {
            return;
        }
        self.peers[router].voted_failed = true;
        if self.incarnations.get(router).start > 0 {
            self.incarnations.set_status(router, IncarnationStatus::Doubted, now);
        }
    }

    /// Starts the next term if this router may count too few signers in the current one: in a new term all
    /// starts that are known by now count.
    fn renew_term(&mut self, now: Millis) {
        let advertised_since = self.quorum.advertised_since();
        let settled =
            now - self.last_new_start_at >= MIN_TERM_MS / 2.0 || now - advertised_since >= 3.0 * MIN_TERM_MS;
        if now - advertised_since < MIN_TERM_MS || !settled || self.leaving {
            return;
        }
        let is_alive = |router: &usize| self.peers[*router].state == State::Alive || *router == self.me;
        let living = (0..self.peers.len()).filter(is_alive);
        let wanted = self.settings.majority() + (SPARE_SIGNERS_FRACTION * self.peers.len() as f64) as usize;
        let (all, counted) =
            (living.clone().count(), living.filter(self.counts_signer(advertised_since)).count());
        if counted < wanted.min(all) && all >= self.settings.majority() {
            self.quorum.advertise_term(self.quorum.advertised_term() + 1, now);
            self.publish_own_incarnation(now);
        }
    }

    /// Opens the ballots that are due at the end of the current epoch, if this router is to open any.
    fn open_ballots(&mut self, now: Millis) {
        let mut last_epochs: Vec<Option<u32>> = self.peers.iter().map(|peer| peer.last_epoch).collect();
        last_epochs[self.me] = Some(self.epoch);
        // Starts that may not be known to all yet are left out, since otherwise few could sign. If that left
        // no majority, none is left out.
        let age = |router: usize| {
            if router == self.me {
                f64::INFINITY
            } else {
                now - self.incarnations.start_learned_at(router)
            }
        };
        let (new_start_ms, router_count) = (NEW_START_PERIODS * self.settings.period_ms, self.peers.len());
        let new_share = (0..router_count).filter(|router| age(*router) < new_start_ms).count() as f64
            / router_count as f64;
        let is_new = |router: usize| age(router) < new_start_ms * (1.0 + ALL_NEW_EXTRA_FACTOR * new_share);
        let established = (0..self.peers.len()).filter(|router| !is_new(*router)).count();
        let is_left_out = |router: usize| {
            self.peers[router].voted_failed || established >= self.settings.majority() && is_new(router)
        };
        // Where information spreads slowly an earlier epoch has more members: takes the latest epoch that
        // lacks few.
        let sets: Vec<FixedBitSet> = (0..4)
            .map(|epochs_ago| {
                let mut set = ballots::reachable_since(
                    self.epoch.saturating_sub(epochs_ago),
                    &last_epochs,
                    &self.incarnations,
                );
                (0..self.peers.len())
                    .filter(|router| is_left_out(*router))
                    .for_each(|router| set.set(router, false));
                set
            })
            .collect();
        let most = sets.iter().map(|set| set.count_ones(..)).max().unwrap_or(0);
        let enough = most - most / MISSING_MEMBERS_DIVISOR;
        let epochs_ago = sets.iter().position(|set| set.count_ones(..) >= enough).unwrap_or(0);
        let epoch = self.epoch.saturating_sub(epochs_ago as u32);
        let set =
            sets.into_iter().nth(epochs_ago).filter(|set| set.count_ones(..) >= self.settings.majority());
        // Coordinators open ballots first: on a lossy network many routers end an epoch, and a ballot of each
        // of them would gather few signatures.
        let coordinator = self.roles.coordinators.contains(&self.me);
        let set =
            set.filter(|_| self.ballots.liveness_due(self.epoch, self.settings.majority(), coordinator));
        if let Some(set) = set {
            self.ballots.open(BallotKind::Liveness, [self.epoch, epoch], self.me, set, &self.incarnations);
        }
        // Routers that are about to be voted failed are listed along with those that already are, so that one
        // ballot covers all that died together.
        let mut failed = FixedBitSet::with_capacity(self.peers.len());
        for (router, peer) in self.peers.iter().enumerate() {
            if (self.vote_due_within(router, GROUPED_VOTE_PERIODS, now) || peer.voted_failed)
                && peer.state != State::Gone
            {
                failed.insert(router);
            }
        }
        let may_open = coordinator
            || !self.ballots.opened_since(BallotKind::Failure, self.epoch.saturating_sub(TAKEOVER_EPOCHS));
        if may_open
            && failed.count_ones(..) > 0
            && !self.ballots.is_collecting(BallotKind::Failure, self.epoch, &failed)
        {
            self.ballots.open(BallotKind::Failure, [self.epoch; 2], self.me, failed, &self.incarnations);
        }
        let own_ballots: Vec<BallotKey> = [BallotKind::Liveness, BallotKind::Failure]
            .into_iter()
            .flat_map(|kind| self.ballots.of_kind(kind).map(|(key, _)| *key))
            .filter(|key| usize::from(key.3) == self.me)
            .collect();
        own_ballots.into_iter().for_each(|key| self.process_ballot(key, now));
    }

    /// Enters a later epoch: forwards it at once, and sends what is known here to the aggregators.
    fn enter_epoch(&mut self, epoch: u32, now: Millis) {
        self.epoch = epoch;
        self.quorum.record_epoch(epoch, now);
        self.ballots.remove_expired(epoch);
        let (me, peers) = (self.me, &self.peers);
        let eligible =
            |router: usize| router == me || matches!(peers[router].state, State::Alive | State::Joining);
        self.roles = schedule::roles(epoch, peers.len(), eligible);
        let period = self.settings.period_ms;
        self.aggregate_at = self.roles.aggregation_delay_ms(me, period).map(|wait| now + wait);
        let fraction = self.random_fraction();
        self.epoch_ends_at = now + self.roles.epoch_length_ms(me, period, fraction);
        // Signatures and incarnations that have arrived since may have completed more ballots.
        self.process_ballots(BallotKind::Failure, now);
        self.process_ballots(BallotKind::Liveness, now);
        self.update_quorum(now);
        // First the aggregators, then routers that may not have heard of the epoch yet, as far as an
        // aggregator's rate limit leaves enough for the coordinators.
        let report_targets = self.roles.report_targets(me, epoch);
        if let Some(router) = report_targets.first() {
            self.send(*router, now, None);
        }
        let reserved = if self.aggregate_at.is_some() { schedule::COORDINATORS } else { 0 };
        let count = schedule::FORWARD_TARGETS.min(self.rate_limiter.available().saturating_sub(reserved));
        for to in schedule::forward_targets(epoch, me, self.peers.len()).take(count) {
            let alive = to != me && self.peers[to].state == State::Alive;
            if let Some(router) = if alive { Some(to) } else { self.random_peer() } {
                self.send(router, now, None);
            }
        }
        // Later datagrams carry what arrives in between, so that it need not wait for the next epoch.
        let send_at = schedule::DELAYED_SEND_PERIODS.map(|part| now + part * period);
        self.scheduled_sends = [(send_at[0], report_targets.get(1).copied()), (send_at[1], None)].into();
    }

    /// Sends the datagrams that are due within an epoch.
    fn send_scheduled(&mut self, now: Millis) {
        while let Some((_, to)) = self.scheduled_sends.front().filter(|(at, _)| now >= *at).copied() {
            self.scheduled_sends.pop_front();
            let spare = to.is_some()
                || self.pending_updates.is_empty() && self.rate_limiter.available() > RESERVED_DATAGRAMS;
            let to = if spare { to.or_else(|| self.random_peer()) } else { None };
            if let Some(router) = to {
                self.send(router, now, None);
            }
        }
    }

    /// Probes routers that are about to be suspected. If there are too many, sends one request to a random
    /// router for what it knows.
    fn probe(&mut self, now: Millis) {
        let to_probe = std::mem::take(&mut self.to_probe);
        if to_probe.is_empty() || now - self.probed_at < MIN_REPLY_INTERVAL_MS {
            return;
        }
        self.probed_at = now;
        let targets =
            if to_probe.len() <= MAX_PROBES { to_probe } else { self.random_peer().into_iter().collect() };
        for router in targets {
            self.probing = true;
            self.send(router, now, None);
        }
        self.probing = false;
    }

    /// Returns a random other router, mostly one that is alive.
    fn random_peer(&mut self) -> Option<usize> {
        let count = self.peers.len();
        let to_missing = self.random_u64().is_multiple_of(MISSING_TARGET_INTERVAL);
        let from = self.random_u64() as usize;
        let wanted = |router: &usize| {
            *router != self.me && (matches!(self.peers[*router].state, State::Alive) != to_missing)
        };
        let ring = (0..count).map(|step| (from + step) % count);
        ring.clone().find(wanted).or_else(|| ring.into_iter().find(|router| *router != self.me))
    }

    /// Sends pending updates to outdated routers, as far as the rate limit allows.
    fn send_pending_updates(&mut self, now: Millis) {
        while self.rate_limiter.available() > RESERVED_DATAGRAMS {
            let Some((router, blocks)) = self.pending_updates.pop() else { return };
            self.peers[router].last_reply_at = now;
            self.send(router, now, Some(&blocks));
        }
    }

    /// Sends a datagram to a router, unless the rate limit is reached. `blocks`: the blocks of incarnations
    /// that the router lacks, if it is sent an update.
    fn send(&mut self, router: usize, now: Millis, blocks: Option<&[bool]>) {
        if router == self.me || self.rate_limiter.available() == 0 {
            return;
        }
        self.rate_limiter.take();
        self.datagram_count += 1;
        let lag = |index: usize| match self.peers[index].last_epoch {
            _ if index == self.me => 0,
            Some(known) => EpochLags::quantize(self.epoch.saturating_sub(known)),
            None => encoding::LONG_LAG,
        };
        let steps: Vec<u8> = (0..self.peers.len()).map(lag).collect();
        let mut packet = Packet {
            roster_hash: self.roster_hash,
            from: self.me as u16,
            to: router as u16,
            epoch: self.epoch,
            requests_reply: self.probing,
            lags: EpochLags::of(&steps),
            block_digests: self.incarnations.block_digests(),
            ballots: Vec::new(),
            own: self.incarnations.get(self.me),
            incarnations: EncodedIncarnations::default(),
        };
        // A router that has never had a quorum first learns and announces which routers there are.
        let joining = self.quorum.status(now) == QuorumStatus::Joining;
        let max_bytes = if joining || blocks.is_some() { FULL_DATAGRAM_BYTES } else { USUAL_DATAGRAM_BYTES };
        let reserved_bytes = if joining {
            2 * INCARNATION_BYTES
        } else if blocks.is_some() {
            INCARNATION_BYTES
        } else {
            self.incarnations.reserved_bytes(INCARNATION_BYTES)
        };
        let room = wire::incarnation_room(&packet, max_bytes).saturating_sub(reserved_bytes);
        packet.ballots = self.ballots.select(
            [self.settings.majority(), self.settings.blocking_minority()],
            self.datagram_count,
            room,
        );
        let room = wire::incarnation_room(&packet, max_bytes);
        let random = self.random_u64() as usize;
        let mut entries = self.incarnations.entries(room, blocks, random);
        packet.incarnations = EncodedIncarnations::of(packet.own, entries.clone());
        let mut bytes = wire::encode(&self.settings.fleet, &packet);
        while bytes.len() > super::wire::MAX_DATAGRAM_BYTES && !entries.is_empty() {
            // Only needed for start numbers that differ by more than any real clocks do.
            entries.truncate(entries.len() / 2);
            packet.incarnations = EncodedIncarnations::of(packet.own, entries.clone());
            bytes = wire::encode(&self.settings.fleet, &packet);
        }
        let to = self.peers[router].address;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.effects.push(Effect::Send { to, bytes });
    }

    /// Announces to some random routers, at once, that this router ends; they pass it on.
    pub fn leave(&mut self, now: Millis) {
        self.leaving = true;
        self.publish_own_incarnation(now);
        let notifications = self.peers.len().min(24);
        self.rate_limiter.set_available(notifications);
        for _ in 0..notifications {
            if let Some(router) = self.random_peer() {
                self.send(router, now, None);
            }
        }
    }
}

#[cfg(test)]
mod tests;
