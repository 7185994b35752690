//! Membership of a large fleet: a roll is called twice a second, and whoever hears it signs it.
//!
//! Owns the [`Book`] of lives, what was heard of each router, the [`Calls`], and this router's [`Own`] standing: all bounded by
//! the roster, [`MAX_ROUTERS`](super::MAX_ROUTERS), and a few epochs.
//!
//! Time is cut into *epochs*, which the whole fleet enters together as far as it can: whoever hears of a later one enters it.
//! Each router tells the epoch it is in, and for everybody else the latest one that it knows of, two bits a router. At
//! an epoch's end a clerk ([`schedule`]) calls a roll of all that have been heard of since an epoch; it travels, and everybody
//! whom it reaches has then heard of all in it, and signs it.
//!
//! The sentences of [`super`] are kept here by:
//!
//! - *Who is called gone knew before that it was cut off.* (1) A router has its standing by a roll that a majority has signed,
//!   for `lease_ms` from when it entered the roll's epoch ([`Own::signed`]). (2) Whoever signs a roll has heard that all in it
//!   were in that epoch, so its silence of each began later (`Rolls::hear_roll`); it gives a life up after at least `refuse_ms`
//!   of it (`Rolls::judge`), and never again vouches for that life ([`ballots::may_sign`]; whom a name leaves out travels with
//!   it). (3) A life is called gone when so many have signed that they gave it up that the rest is no majority
//!   (`Rolls::verdict`), or when somebody tells that ([`Mark::Gone`]). (4) `lease_ms` is shorter than `refuse_ms` by more than
//!   clocks differ: every majority of (1) has one of (3), who signed before its silence began, so that the lease is over when
//!   it gives up. (5) A start without memory may have given lives up before: who was in a term before it knew of that start
//!   does not count that start's name (`Rolls::counted`).
//! - *No word about or from an earlier start counts*: starts only grow ([`Book::learn`]), and which epoch was heard of is taken
//!   over only where both know the same starts ([`Book::compare`]).
//! - *A term that has ended never comes back* ([`Own::settle`]).

pub mod ballots;
pub mod encoding;
pub mod incarnations;
pub mod quorum;
pub mod schedule;
mod view;
pub mod wire;

use super::local_health::Patience;
use super::rate_limit::Allowance;
use super::settings::RouterId;
use super::{Counts, Effect, QuorumStatus, RejectReason, Settings, State};
use crate::api::Millis;
use ballots::{Calls, Key, KEPT};
use encoding::Lags;
use fixedbitset::FixedBitSet;
use incarnations::{Book, Learned};
use quorum::Own;
use schedule::Roles;
use std::collections::VecDeque;
use std::net::SocketAddr;
use twox_hash::XxHash64;
use wire::{Entry, Kind, Life, Lives, Mark, Packet};

/// Bytes of a datagram, usually at most, and of one for a router that knows little.
const USUAL: usize = 900;
const FULL: usize = 1190;
/// Of these so many for lives, where there are some to tell.
const LIVES: usize = 300;
/// A roll may lack one in so many of those that were heard of.
const LACKS: usize = 10;
/// Periods after which words of an epoch are too old, where most come in time.
const STALE: f64 = 2.3;
/// Epochs without a roll of the given up after which others than clerks call one.
const STEPS_IN: u32 = 2;
/// Epochs in which a router waits until it can say all that a roll of the given up says.
const WAITS: u32 = 6;
/// Part of the time to suspicion after which one is asked, and how many at once.
const ASK_PART: f64 = 0.7;
const ASKED: usize = 2;
/// Time between two answers out of turn to one router, in ms.
const ANSWER_MS: Millis = 150.0;
/// Datagrams that are kept back from answers out of turn.
const KEPT_BACK: usize = 5;
/// A router asks for a new term if too few of those whom it may count are left, this long after the last one, in ms.
const TERM_MS: Millis = 1000.0;
/// How many more than a majority it wants, as a part of the fleet.
const SPARE: f64 = 0.1;
/// Who is to be given up within so many periods is called together with those who have been.
const SOON: f64 = 2.0;
/// Periods in which one that comes back hears of all that was while it was away.
/// At most the least suspicion: nobody is given up sooner after a beginning.
const CAUGHT_UP: f64 = 3.0;
/// Periods in which a new start becomes known to nearly all.
const YOUNG: f64 = 3.0;
/// And by how much more if all routers were young, as a part of that.
const MANY_YOUNG: f64 = 6.0;
/// One in so many of the passed on words goes to somebody who is missed.
const FAR_EVERY: u64 = 6;
/// Part that the latest news have in how late they usually are.
const LATE_PART: f64 = 0.2;

/// What is known of a router beside its life.
#[derive(Clone, Debug)]
struct Peer {
    name: String,
    address: SocketAddr,
    /// The latest epoch that its start is known to have been in.
    epoch: Option<u32>,
    /// The same, by whoever may mean another start of it: good for nothing but that it is not silent.
    loosely: Option<u32>,
    /// When there was last news of it, moved on by this router's own standstills; from then on counts the silence.
    heard_at: Millis,
    /// How late news of it usually are: from when this router entered the epoch that they tell of.
    late: Millis,
    direct_at: Option<Millis>,
    answered_at: Millis,
    /// When others were first heard to say that its life is gone.
    marked_at: Millis,
    /// Why it is gone, where that is new and not told yet.
    verdict: Option<String>,
    /// This router has given its life up, or the first one that it will hear of.
    gave_up: bool,
    state: State,
    since: Millis,
    why: String,
}

/// One router's picture of a large fleet.
#[derive(Clone, Debug)]
pub struct Rolls {
    set: Settings,
    /// This router's place in the roster.
    me: usize,
    start: u64,
    roster: u32,
    peers: Vec<Peer>,
    book: Book,
    calls: Calls,
    own: Own,
    /// What was last told of its standing.
    says: (QuorumStatus, u32),
    patience: Patience,
    epoch: u32,
    /// How late news are, usually: as [`Peer::late`], of all.
    late: Millis,
    /// When this router's standing last began, and when its last standstill ended.
    stood_since: Millis,
    awake_since: Millis,
    /// When a start that was new here was last heard of.
    start_learned: Millis,
    roles: Roles,
    /// When a hub tells the clerks, and when this router begins the next epoch.
    hub_at: Option<Millis>,
    ends_at: Millis,
    /// Datagrams that leave within the epoch, and for whom; none: anybody. Two at most.
    later: VecDeque<(Millis, Option<usize>)>,
    judge_at: Millis,
    allowance: Allowance,
    /// Whom an answer out of turn is owed, and of which blocks: bounded by [`MOST_OWED`].
    owed: Vec<(usize, Vec<bool>)>,
    seed: u64,
    draws: u64,
    turns: usize,
    leaves: bool,
    /// Who is about to be suspected; whether what is sent now asks for an answer; and when that was last done.
    asks: Vec<usize>,
    asking: bool,
    asked_at: Millis,
    effects: Vec<Effect>,
    counts: Counts,
}

const MOST_OWED: usize = 16;

impl Rolls {
    /// One that begins now; the settings' names are [good](Settings::named).
    pub fn new(set: Settings, name: &str, start: u64, now: Millis, seed: u64) -> Self {
        let peer = |name: &str, address: SocketAddr| Peer {
            name: name.to_owned(),
            address,
            epoch: None,
            loosely: None,
            heard_at: now,
            late: 0.0,
            direct_at: None,
            answered_at: f64::NEG_INFINITY,
            marked_at: now,
            verdict: None,
            gave_up: false,
            state: State::Joining,
            since: now,
            why: "not heard yet".to_owned(),
        };
        let mut peers: Vec<Peer> = set.peers.iter().map(|at| peer(&at.name, at.address)).collect();
        peers.push(peer(name, set.listen));
        // By their ids: the same order at all, whatever the files' order.
        peers.sort_by_key(|peer| RouterId::of(&peer.name));
        let me = peers.iter().position(|peer| peer.name == name).unwrap_or_default();
        let ids: Vec<u8> = peers.iter().flat_map(|peer| RouterId::of(&peer.name).0).collect();
        let count = peers.len();
        let mut rolls = Self {
            me,
            start: start.max(1),
            roster: XxHash64::oneshot(3, &ids) as u32,
            peers,
            book: Book::new(count, now),
            calls: Calls::default(),
            own: Own::new(set.lease_ms(), now),
            says: (QuorumStatus::Joining, 0),
            patience: Patience::new(set.turn_ms(), set.period_ms, now),
            epoch: 0,
            late: 0.0,
            stood_since: now,
            awake_since: now,
            start_learned: now,
            roles: Roles::default(),
            hub_at: None,
            ends_at: now,
            later: VecDeque::new(),
            judge_at: now,
            allowance: Allowance::new(now),
            owed: Vec::new(),
            seed,
            draws: 0,
            turns: 0,
            leaves: false,
            asks: Vec::new(),
            asking: false,
            asked_at: f64::NEG_INFINITY,
            effects: Vec::new(),
            counts: Counts::default(),
            set,
        };
        rolls.tell_own(now);
        rolls.own.entered(0, now);
        // All of a fleet that starts at once do so at other times.
        rolls.ends_at = now + rolls.set.period_ms * rolls.part();
        rolls
    }

    /// What the file says.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// When the next turn is due.
    pub fn next_deadline(&self) -> Millis {
        let later = self.later.front().map(|(at, _)| *at);
        self.judge_at
            .min(self.ends_at)
            .min(later.or(self.hub_at).unwrap_or(f64::INFINITY))
            .min(self.hub_at.unwrap_or(f64::INFINITY))
    }

    /// What has come and gone.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// This start, as it is now known to others.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// What this router can say of itself at this very moment.
    pub fn quorum_status(&self, now: Millis) -> (QuorumStatus, u32) {
        (self.own.says(now), self.own.term())
    }

    /// Takes the effects so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        XxHash64::oneshot(self.seed, &self.draws.to_le_bytes())
    }

    fn part(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A datagram. One that is refused is counted and changes nothing.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) -> Result<(), RejectReason> {
        let taken = self.take(now, bytes);
        match taken {
            Ok(()) => self.counts.accepted += 1,
            Err(why) => *self.counts.rejected.entry(why).or_default() += 1,
        }
        taken
    }

    fn take(&mut self, now: Millis, bytes: &[u8]) -> Result<(), RejectReason> {
        let packet = wire::read(&self.set.fleet, bytes)?;
        let (from, all) = (usize::from(packet.from), self.peers.len());
        if packet.roster != self.roster || usize::from(packet.to) != self.me || from >= all || from == self.me
        {
            return Err(RejectReason::Stranger);
        }
        let lags = packet.lags.read(all).ok_or(RejectReason::Torn)?;
        let own = packet.own;
        let lives = packet.lives.read(own);
        if !self.book.fits(&packet.digests) || lives.iter().any(|one| usize::from(one.of) >= all) {
            return Err(RejectReason::Torn);
        }
        // What comes from an earlier start, or from long ago, says nothing any more.
        let known = self.book.life(from);
        if (own.start, own.term) < (known.start, known.term) {
            return Err(RejectReason::Stale);
        }
        self.settle(now); // What has ended by now has ended before anything else is known.
        self.allowance.refill(now);
        self.learn(Entry { of: packet.from, life: own }, now);
        lives.into_iter().for_each(|entry| self.learn(entry, now));
        self.peers[from].direct_at = Some(now);
        let same = self.book.compare(&packet.digests).unwrap_or_default();
        let mut news = false;
        for (of, step) in lags.iter().enumerate() {
            let Some(ago) = Lags::epochs(*step) else { continue };
            if of != self.me && of != from {
                let epoch = packet.epoch.saturating_sub(ago);
                news |= !self.stale(epoch, now) && self.hear(of, epoch, same[of / incarnations::BLOCK], now);
            }
        }
        news |= !self.stale(packet.epoch, now) && self.hear(from, packet.epoch, true, now);
        for told in &packet.rolls {
            if let Some(key) = self.calls.told(told, all, self.epoch.max(packet.epoch)) {
                self.review(key, now);
            }
        }
        if !news && packet.epoch + KEPT < self.epoch {
            return Err(RejectReason::Stale); // Said before, or heard before.
        }
        // Whoever lags behind, or alone knows something else, is told what it doesn't know.
        let differs = self.book.lacks(&packet.digests);
        let behind = packet.epoch + 2 < self.epoch;
        if (behind || differs.contains(&true)) && now - self.peers[from].answered_at >= ANSWER_MS {
            let due = self.owed.iter().all(|(of, _)| *of != from) && self.owed.len() < MOST_OWED;
            if due {
                self.owed.push((from, differs));
            }
        }
        if packet.epoch > self.epoch {
            self.enter(packet.epoch, now);
        }
        self.settle(now);
        // Who asks is answered at once, from the epoch that it is in.
        if packet.asks && now - self.peers[from].answered_at >= ANSWER_MS {
            self.peers[from].answered_at = now;
            self.send(from, now, None);
        }
        self.answer(now);
        Ok(())
    }

    /// A life of a router.
    fn learn(&mut self, entry: Entry, now: Millis) {
        let (of, life) = (usize::from(entry.of), entry.life);
        if of == self.me {
            self.learn_own(life, now);
            return;
        }
        let unheard = self.book.life(of).start == 0;
        let Some(learned) = self.book.learn(of, life, now) else { return };
        let peer = &mut self.peers[of];
        if learned != Learned::Mark {
            // One that was given up unheard may be known to others in this very life: they are told that it is doubted.
            let doubts = unheard && peer.gave_up;
            (peer.gave_up, peer.verdict) = (doubts, None);
            if learned == Learned::Start {
                self.start_learned = now;
                (peer.epoch, peer.loosely, peer.late) = (None, None, 0.0);
            }
            if doubts {
                self.book.mark(of, Mark::Doubted, now);
            }
        }
        match (self.book.life(of).mark, learned) {
            (Mark::Left, _) => self.change(of, State::Left, now, "it has said that it ends".to_owned()),
            // Told at a later turn, when all that waits has been read: it may be back since.
            (Mark::Gone, _) => self.peers[of].marked_at = now,
            (_, Learned::Start) if !unheard => {
                self.peers[of].heard_at = now;
                self.change(of, State::Alive, now, "it has started anew".to_owned());
            }
            (_, Learned::Start) => {
                self.peers[of].heard_at = now;
                self.change(of, State::Alive, now, "heard for the first time".to_owned());
            }
            (_, Learned::Term) if self.peers[of].state == State::Gone => {
                self.peers[of].heard_at = now;
                self.change(of, State::Alive, now, "it is back in a new term".to_owned());
            }
            _ => {}
        }
    }

    /// What others say of this router.
    fn learn_own(&mut self, life: Life, now: Millis) {
        if life.start > self.start {
            // Another process has this router's name with a later start: an earlier process, where the Unix clock was set
            // back since, or one that should not be. Whoever still speaks takes a start above it.
            self.start = life.start.saturating_add(1);
            self.own.renamed(now);
            self.effects.push(Effect::StartRaised(self.start));
            self.tell_own(now);
        } else if life.start == self.start
            && life.term == self.own.wanted()
            && life.mark > Mark::Here
            && !self.leaves
        {
            self.own.ask_for(life.term + 1, now);
            self.tell_own(now);
        }
    }

    /// This router's own life is told, as it is now.
    fn tell_own(&mut self, now: Millis) {
        let mark = if self.leaves { Mark::Left } else { Mark::Here };
        let life = Life { start: self.start, term: self.own.wanted(), mark };
        self.book.learn(self.me, life, now);
    }

    /// A router was in this epoch. `surely`: in this start of it; else it only is not silent.
    fn hear(&mut self, of: usize, epoch: u32, surely: bool, now: Millis) -> bool {
        let peer = &mut self.peers[of];
        if self.book.life(of).start == 0 {
            return false;
        }
        // Words that may be about the start before bring no news again and again: they end where that one ended.
        if surely && peer.epoch.is_none_or(|known| epoch > known) {
            peer.epoch = Some(epoch);
        } else if surely || peer.loosely.is_some_and(|known| epoch <= known) {
            return false;
        }
        // What is sure begins the silence anew even so: the words before may have been about an earlier start.
        if !surely && peer.loosely.is_some_and(|known| epoch <= known) {
            return true;
        }
        let late = self.own.entered_at(epoch).map_or(0.0, |at| now - at).min(self.set.suspect_ms());
        self.late += (late - self.late) * LATE_PART / self.set.routers() as f64;
        peer.loosely = peer.loosely.max(Some(epoch));
        peer.heard_at = now;
        peer.late += LATE_PART * (late - peer.late);
        let back =
            matches!(peer.state, State::Suspect | State::Joining) && self.book.life(of).mark < Mark::Gone;
        // What is long past doesn't show that it is there.
        if back && self.overdue(of, now) < self.limit(of) {
            self.change(of, State::Alive, now, "heard again".to_owned());
        }
        true
    }

    /// Whether words of an epoch come so much later than most that they are let pass by: of one that has died since they would
    /// say nothing, but begin its silence anew, at each router at another time.
    fn stale(&self, epoch: u32, now: Millis) -> bool {
        let usual = 2.0 * (self.late - self.set.period_ms).max(0.0);
        self.own.entered_at(epoch).is_some_and(|at| now - at > usual + STALE * self.set.period_ms)
    }

    /// Whether one is to be given up within so many periods, if there are no news of it.
    fn soon(&self, of: usize, periods: f64, now: Millis) -> bool {
        let peer = &self.peers[of];
        peer.state == State::Suspect
            && now - peer.heard_at >= self.set.refuse_ms() - periods * self.set.period_ms
    }

    /// For how long one has been missed: since this router entered the epoch after the last that it is known to have been in.
    fn overdue(&self, of: usize, now: Millis) -> Millis {
        let peer = &self.peers[of];
        let since = match peer.loosely {
            Some(epoch) => self.own.entered_at(epoch.saturating_add(1)),
            None => Some(peer.heard_at),
        };
        since.map_or(0.0, |since| now - since.max(self.awake_since))
    }

    /// For how long one may be missed before it is suspected: longer where news of it usually come later, as through a lossy
    /// net, and where this router itself runs late.
    fn limit(&self, of: usize) -> Millis {
        let usual = (self.peers[of].late - self.set.period_ms).clamp(0.0, self.set.suspect_ms() / 2.0);
        self.set.suspect_ms() + usual + self.patience.late_ms()
    }

    fn change(&mut self, of: usize, state: State, now: Millis, why: String) {
        let life = self.book.life(of);
        let peer = &mut self.peers[of];
        let states = (peer.state, state);
        if states.0 == state && peer.why == why {
            return;
        }
        (peer.state, peer.since, peer.why) = (state, now, why.clone());
        let name = peer.name.clone();
        self.effects.push(Effect::MemberChanged { name, start: life.start, term: life.term, states, why });
    }

    /// A roll that is new here, or has new names: signed if it may be, and what follows from it.
    fn review(&mut self, key: Key, now: Millis) {
        let Some(roll) = self.calls.get(&key) else { return };
        if !roll.signed.contains(self.me) {
            let mut gave_up = FixedBitSet::with_capacity(self.peers.len());
            (0..self.peers.len()).filter(|of| self.peers[*of].gave_up).for_each(|of| gave_up.insert(of));
            // Whom it is about to give up it waits for.
            let soon = |of: usize| !gave_up.contains(of) && self.soon(of, f64::from(WAITS), now);
            let waits = self.epoch < key.1 + WAITS && roll.set.ones().any(soon);
            if let Some(without) = ballots::may_sign(&key, roll, &self.book, &gave_up, waits) {
                self.hear_roll(key, &without, now);
                self.calls.sign(&key, self.me, &without);
            }
        }
        match key.0 {
            Kind::Heard => self.certify(key, now),
            Kind::GivenUp => self.verdict(key, now),
        }
    }

    fn review_all(&mut self, kind: Kind, now: Millis) {
        let keys: Vec<Key> = self.calls.of(kind).map(|(key, _)| *key).collect();
        keys.into_iter().for_each(|key| self.review(key, now));
    }

    /// Whoever signs that these were in an epoch knows it from now on, if it did not before: so its silence of each began after
    /// that one had entered the epoch.
    fn hear_roll(&mut self, key: Key, without: &FixedBitSet, now: Millis) {
        if key.0 == Kind::Heard {
            let Some(roll) = self.calls.get(&key) else { return };
            let since = roll.since;
            let these = roll.set.ones().filter(|of| *of != self.me && !without.contains(*of));
            for of in these.collect::<Vec<usize>>() {
                self.hear(of, since, true, now);
            }
        }
    }

    /// Whose names count for a term that began then: a start that became known later may have given it up, before.
    fn counted(&self, begun: Millis) -> impl Fn(&usize) -> bool + '_ {
        move |of| *of == self.me || self.book.life(*of).start > 0 && self.book.start_at(*of) <= begun
    }

    /// Whether a majority has heard this router, by that roll.
    fn certify(&mut self, key: Key, now: Millis) {
        let Some(roll) = self.calls.get(&key) else { return };
        if !roll.set.contains(self.me)
            || roll.without.contains(self.me)
            || roll.signed.count_ones(..) < self.set.majority()
        {
            return;
        }
        if roll.digest != self.book.digest(&roll.set) {
            return;
        }
        let names = roll.signed.ones().filter(self.counted(self.own.begun())).count();
        if names >= self.set.majority() {
            self.own.signed(roll.since, now);
        }
    }

    /// Whether so many have given up all in a roll that the rest is no majority.
    fn verdict(&mut self, key: Key, now: Millis) {
        let Some(roll) = self.calls.get(&key) else { return };
        let names = roll.signed.count_ones(..);
        if names < self.set.blocking() || roll.digest != self.book.digest(&roll.set) {
            return;
        }
        // Of one that was never heard there is no life to bind: this router must have missed it for as long itself.
        let binds = |of: &usize| {
            let life = self.book.life(*of);
            life.term == roll.terms.term(*of) && (life.start > 0 || self.peers[*of].gave_up)
        };
        let these = roll.set.difference(&roll.without).filter(|of| *of != self.me).filter(binds);
        let these: Vec<usize> = these.collect();
        let all = self.set.routers();
        for of in these {
            let life = self.book.life(of);
            if life.mark < Mark::Gone {
                if life.start > 0 {
                    self.book.mark(of, Mark::Gone, now);
                }
                let silent = now - self.peers[of].heard_at;
                self.peers[of].verdict = Some(format!(
                    "{names} of {all} have given it up, {silent:.0} ms after the last word here"
                ));
            }
        }
    }

    /// Takes the time into account in this router's own standing.
    fn settle(&mut self, now: Millis) {
        let until = self.own.holds_until();
        let wanted = self.own.wanted();
        self.own.settle(now);
        let (says, term) = self.quorum_status(now);
        if (says, term) != self.says {
            if says == QuorumStatus::Majority && self.says.0 != QuorumStatus::Majority {
                self.stood_since = now;
            }
            self.says = (says, term);
            let ago_ms = if says == QuorumStatus::CutOff { (now - until).max(0.0) } else { 0.0 };
            let heard_by = (self.heard_by(now), self.set.routers());
            self.effects.push(Effect::QuorumChanged { status: says, term, ago_ms, heard_by });
        }
        if wanted != self.own.wanted() {
            self.tell_own(now);
        }
    }

    /// How many have signed the latest roll that this router is in, itself among them.
    pub(super) fn heard_by(&self, now: Millis) -> usize {
        let mine = self.calls.of(Kind::Heard).filter(|(_, roll)| roll.set.contains(self.me));
        let most = mine.map(|(_, roll)| roll.signed.count_ones(..)).max().unwrap_or(1);
        if self.own.holds(now) {
            most.max(self.set.majority())
        } else {
            most
        }
    }

    /// A turn: judges the silent, and sends what is due.
    pub fn tick(&mut self, now: Millis) {
        if now < self.next_deadline() {
            return;
        }
        self.settle(now);
        self.allowance.refill(now);
        if now >= self.judge_at {
            if let Some(gap) = self.patience.tick(now) {
                // While this router stood still it could hear nobody: that silence is its own.
                self.peers.iter_mut().for_each(|peer| peer.heard_at = (peer.heard_at + gap).min(now));
                self.awake_since = now;
                self.effects.push(Effect::Stalled(gap));
            }
            let turn_ms = self.set.turn_ms();
            self.judge_at = (self.judge_at + turn_ms).max(now + turn_ms / 2.0);
            for of in (0..self.peers.len()).filter(|of| *of != self.me).collect::<Vec<_>>() {
                self.judge(of, now);
            }
            self.review_all(Kind::GivenUp, now);
            self.ask(now);
            self.renew(now);
        }
        if self.hub_at.is_some_and(|at| now >= at) {
            self.hub_at = None;
            for of in self.roles.clerks.clone() {
                self.send(of, now, None);
            }
        }
        self.send_later(now);
        if now >= self.ends_at {
            self.call(now);
            self.enter(self.epoch + 1, now);
        }
        self.answer(now);
    }

    /// Whether another one is silent, and whether it is given up.
    fn judge(&mut self, of: usize, now: Millis) {
        if matches!(self.peers[of].state, State::Gone | State::Left) || !self.patience.judges(now) {
            return;
        }
        // One that comes back, from a cut or a standstill, may hear of an end before it hears of the beginning that came after.
        let back = self.awake_since.max(self.stood_since);
        let caught_up_ms = (CAUGHT_UP * self.set.period_ms).min(self.set.suspicion_ms[0]);
        let tells = self.own.holds(now) && now - back >= caught_up_ms;
        let verdict = self.peers[of].verdict.take_if(|_| tells);
        let hearsay = tells
            && self.book.life(of).mark == Mark::Gone
            && (self.overdue(of, now) >= self.limit(of)
                || now - self.peers[of].marked_at >= self.set.suspect_ms());
        if verdict.is_some() || hearsay {
            let others = || "others say that so many have given it up that it has no majority".to_owned();
            self.change(of, State::Gone, now, verdict.unwrap_or_else(others));
            return;
        }
        let (overdue, limit) = (self.overdue(of, now), self.limit(of));
        if overdue < limit {
            if overdue > ASK_PART * limit && self.peers[of].state == State::Alive {
                self.asks.push(of);
            }
            return;
        }
        if self.peers[of].state != State::Suspect {
            let unheard = self.book.life(of).start == 0;
            let why = if unheard {
                "never heard since this router's start".to_owned()
            } else {
                format!("not heard for {overdue:.0} ms")
            };
            self.change(of, State::Suspect, now, why);
        }
        // One without a majority can't tell who of the two is cut off.
        let peer = &self.peers[of];
        if peer.gave_up
            || !self.own.holds(now)
            || now - peer.heard_at < self.set.refuse_ms() + self.patience.late_ms()
        {
            return;
        }
        self.peers[of].gave_up = true;
        if self.book.life(of).start > 0 {
            self.book.mark(of, Mark::Doubted, now);
        }
    }

    /// A router that may count too few of the others asks for the next term, in which it counts all that it knows by now.
    fn renew(&mut self, now: Millis) {
        let begun = self.own.begun();
        let settled = now - self.start_learned >= TERM_MS / 2.0 || now - begun >= 3.0 * TERM_MS;
        if now - begun < TERM_MS || !settled || self.leaves {
            return;
        }
        let lives = |of: &usize| self.peers[*of].state == State::Alive || *of == self.me;
        let living = (0..self.peers.len()).filter(lives);
        let wanted = self.set.majority() + (SPARE * self.peers.len() as f64) as usize;
        let (all, counted) = (living.clone().count(), living.filter(self.counted(begun)).count());
        if counted < wanted.min(all) && all >= self.set.majority() {
            self.own.ask_for(self.own.wanted() + 1, now);
            self.tell_own(now);
        }
    }

    /// This router begins the next epoch: it calls the rolls of this one.
    fn call(&mut self, now: Millis) {
        let mut heard: Vec<Option<u32>> = self.peers.iter().map(|peer| peer.epoch).collect();
        heard[self.me] = Some(self.epoch);
        // What not all can know yet is left out, or few could sign: where that leaves no majority all are young.
        let age = |of: usize| if of == self.me { f64::INFINITY } else { now - self.book.start_at(of) };
        let (few_ms, all) = (YOUNG * self.set.period_ms, self.peers.len());
        let many = (0..all).filter(|of| age(*of) < few_ms).count() as f64 / all as f64;
        let young = |of: usize| age(of) < few_ms * (1.0 + MANY_YOUNG * many);
        let old = (0..self.peers.len()).filter(|of| !young(*of)).count();
        let without = |of: usize| self.peers[of].gave_up || old >= self.set.majority() && young(of);
        // Where words are slow an earlier epoch has more of them: the latest that lacks few.
        let sets: Vec<FixedBitSet> = (0..4)
            .map(|ago| {
                let mut set = ballots::heard_since(self.epoch.saturating_sub(ago), &heard, &self.book);
                (0..self.peers.len()).filter(|of| without(*of)).for_each(|of| set.set(of, false));
                set
            })
            .collect();
        let most = sets.iter().map(|set| set.count_ones(..)).max().unwrap_or(0);
        let enough = most - most / LACKS;
        let ago = sets.iter().position(|set| set.count_ones(..) >= enough).unwrap_or(0);
        let epoch = self.epoch.saturating_sub(ago as u32);
        let set = sets.into_iter().nth(ago).filter(|set| set.count_ones(..) >= self.set.majority());
        // Clerks call before others: where words are lost many begin an epoch, and rolls of each would gather names of a few.
        let clerk = self.roles.clerks.contains(&self.me);
        let set = set.filter(|_| self.calls.due(self.epoch, self.set.majority(), clerk));
        if let Some(set) = set {
            self.calls.call(Kind::Heard, [self.epoch, epoch], self.me, set, &self.book);
        }
        // Whoever is given up soon is called with those who have been, so that one roll has all that died together.
        let mut given_up = FixedBitSet::with_capacity(self.peers.len());
        for (of, peer) in self.peers.iter().enumerate() {
            if (self.soon(of, SOON, now) || peer.gave_up) && peer.state != State::Gone {
                given_up.insert(of);
            }
        }
        let first = clerk || !self.calls.called_since(Kind::GivenUp, self.epoch.saturating_sub(STEPS_IN));
        if first && given_up.count_ones(..) > 0 && !self.calls.gathers(Kind::GivenUp, self.epoch, &given_up) {
            self.calls.call(Kind::GivenUp, [self.epoch; 2], self.me, given_up, &self.book);
        }
        let mine: Vec<Key> = [Kind::Heard, Kind::GivenUp]
            .into_iter()
            .flat_map(|kind| self.calls.of(kind).map(|(key, _)| *key))
            .filter(|key| usize::from(key.3) == self.me)
            .collect();
        mine.into_iter().for_each(|key| self.review(key, now));
    }

    /// A later epoch: it is told on at once, and what is known here is told to those who gather it.
    fn enter(&mut self, epoch: u32, now: Millis) {
        self.epoch = epoch;
        self.own.entered(epoch, now);
        self.calls.entered(epoch);
        let (me, peers) = (self.me, &self.peers);
        let may = |of: usize| of == me || matches!(peers[of].state, State::Alive | State::Joining);
        self.roles = schedule::roles(epoch, peers.len(), may);
        let period = self.set.period_ms;
        self.hub_at = self.roles.gathered(me, period).map(|wait| now + wait);
        let part = self.part();
        self.ends_at = now + self.roles.ends(me, period, part);
        // Names that were given meanwhile, and lives that are known by now, may have made more rolls good.
        self.review_all(Kind::GivenUp, now);
        self.review_all(Kind::Heard, now);
        self.settle(now);
        // First those who gather, then whoever has not heard of the epoch yet, as far as a hub has enough left for the clerks.
        let up = self.roles.up(me, epoch);
        if let Some(of) = up.first() {
            self.send(*of, now, None);
        }
        let kept = if self.hub_at.is_some() { schedule::CLERKS } else { 0 };
        let count = schedule::ON.min(self.allowance.left().saturating_sub(kept));
        for to in schedule::on(epoch, me, self.peers.len()).take(count) {
            let there = to != me && self.peers[to].state == State::Alive;
            if let Some(of) = if there { Some(to) } else { self.anybody() } {
                self.send(of, now, None);
            }
        }
        // What comes meanwhile goes on with these, so that it need not wait for the next epoch.
        let later = schedule::LATER.map(|part| now + part * period);
        self.later = [(later[0], up.get(1).copied()), (later[1], None)].into();
    }

    /// The datagrams that leave within an epoch.
    fn send_later(&mut self, now: Millis) {
        while let Some((_, to)) = self.later.front().filter(|(at, _)| now >= *at).copied() {
            self.later.pop_front();
            let spare = to.is_some() || self.owed.is_empty() && self.allowance.left() > KEPT_BACK;
            let to = if spare { to.or_else(|| self.anybody()) } else { None };
            if let Some(of) = to {
                self.send(of, now, None);
            }
        }
    }

    /// Who is about to be suspected is asked whether it is there; where that are more, others are asked for what they know.
    fn ask(&mut self, now: Millis) {
        let asks = std::mem::take(&mut self.asks);
        if asks.is_empty() || now - self.asked_at < ANSWER_MS {
            return;
        }
        self.asked_at = now;
        let these = if asks.len() <= ASKED { asks } else { self.anybody().into_iter().collect() };
        for of in these {
            self.asking = true;
            self.send(of, now, None);
        }
        self.asking = false;
    }

    /// Some other router, mostly one that is there.
    fn anybody(&mut self) -> Option<usize> {
        let count = self.peers.len();
        let far = self.draw().is_multiple_of(FAR_EVERY);
        let from = self.draw() as usize;
        let wanted = |of: &usize| *of != self.me && (matches!(self.peers[*of].state, State::Alive) != far);
        let ring = (0..count).map(|step| (from + step) % count);
        ring.clone().find(wanted).or_else(|| ring.into_iter().find(|of| *of != self.me))
    }

    /// Answers out of turn, as far as datagrams are to spare.
    fn answer(&mut self, now: Millis) {
        while self.allowance.left() > KEPT_BACK {
            let Some((of, wants)) = self.owed.pop() else { return };
            self.peers[of].answered_at = now;
            self.send(of, now, Some(&wants));
        }
    }

    fn send(&mut self, of: usize, now: Millis, wants: Option<&[bool]>) {
        if of == self.me || self.allowance.left() == 0 {
            return;
        }
        self.allowance.take();
        self.turns += 1;
        let lag = |at: usize| match self.peers[at].epoch {
            _ if at == self.me => 0,
            Some(known) => Lags::step(self.epoch.saturating_sub(known)),
            None => encoding::LONG,
        };
        let steps: Vec<u8> = (0..self.peers.len()).map(lag).collect();
        let mut packet = Packet {
            roster: self.roster,
            from: self.me as u16,
            to: of as u16,
            epoch: self.epoch,
            asks: self.asking,
            lags: Lags::of(&steps),
            digests: self.book.digests(),
            rolls: Vec::new(),
            own: self.book.life(self.me),
            lives: Lives::default(),
        };
        // One that never stood learns and tells whom there are before all else.
        let joining = self.own.says(now) == QuorumStatus::Joining;
        let most = if joining || wants.is_some() { FULL } else { USUAL };
        let lives = if joining {
            2 * LIVES
        } else if wants.is_some() {
            LIVES
        } else {
            self.book.to_tell(LIVES)
        };
        let room = wire::room(&packet, most).saturating_sub(lives);
        packet.rolls = self.calls.tell([self.set.majority(), self.set.blocking()], self.turns, room);
        let room = wire::room(&packet, most);
        let draw = self.draw() as usize;
        let mut lives = self.book.entries(room, wants, draw);
        packet.lives = Lives::of(packet.own, lives.clone());
        let mut bytes = wire::write(&self.set.fleet, &packet);
        while bytes.len() > super::wire::MAX_DATAGRAM && !lives.is_empty() {
            lives.truncate(lives.len() / 2); // Starts that differ by more than those of any clock.
            packet.lives = Lives::of(packet.own, lives.clone());
            bytes = wire::write(&self.set.fleet, &packet);
        }
        let to = self.peers[of].address;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.effects.push(Effect::Send { to, bytes });
    }

    /// This router ends: some others are told, out of turn, who pass it on.
    pub fn leave(&mut self, now: Millis) {
        self.leaves = true;
        self.tell_own(now);
        let tells = self.peers.len().min(24);
        self.allowance.raise(tells);
        for _ in 0..tells {
            if let Some(of) = self.anybody() {
                self.send(of, now, None);
            }
        }
    }
}

#[cfg(test)]
mod tests;
