//! Membership of a small fleet: each router passes on rows of who has heard whom, exact for the whole roster.
//!
//! Owns one [`Member`] a router of the operator's file, this router's own [`Ledger`] and its [`Patience`], all bounded by
//! [`ROWS_UPTO`](super::settings::ROWS_UPTO) routers.
//!
//! The sentences of [`super`] are kept here by:
//!
//! - *Who is called gone knew before that it was cut off.* A router is called gone (`Rows::verdict`) when `blocking` others have
//!   given up its term for a silence of at least `refuse_ms` (`Rows::judge`), which binds them: they answer that term never again
//!   (`Heard::refused`; a start without memory refuses what it meets until it has been heard, `Member::met`). What they answered before was
//!   sent before the silence, so it is older than `lease_ms` and counts no more (`Ledger::behind`). Whoever is left is no majority.
//! - *No word about or from an earlier start counts* (`Rows::accept`: starts only grow; `Heard::tag`).
//! - *A term that has ended never comes back* (`Ledger::settle`).

use super::local_health::{self, Patience};
use super::member::{Member, Transit};
use super::quorum::{Answer, Ledger, BEAT_MS};
use super::rate_limit::Allowance;
use super::settings::{RouterId, Settings};
use super::wire::{self, GivenUp, Heard, Packet, QuorumStatus, RejectReason, Row};
use super::{Counts, Effect, State};
use crate::api::Millis;
use std::collections::BTreeMap;

/// One turn of so many is for those who are not heard.
const FAR_EVERY: u64 = 5;

/// And of so many while no majority answers: those who aren't heard may be the ones that are missing.
const FAR_EVERY_ALONE: u64 = 2;
/// Others that a datagram speaks of: the missed ones, and of the rest by turns; and the missed ones in words that it takes along.
const LOUD: usize = 16;
const WORDS: usize = 11;
const LOUD_RELAYED: usize = 2;
/// Missed routers of which a datagram tells who has given them up.
const GIVEN_UP: usize = 8;
/// Part that the latest words have in the usual age of a router's words.
const AGE_PART: f64 = 0.2;

/// Later words of one start of a router: what they don't speak of stays as it was.
fn merged(known: Option<Row>, mut row: Row, roster: impl Fn(RouterId) -> bool) -> Row {
    row.heard.retain(|heard| roster(heard.of));
    if let Some(known) = known.filter(|known| known.start == row.start) {
        for old in known.heard {
            if !row.heard.iter().any(|new| new.of == old.of) {
                row.heard.push(old);
            }
        }
    }
    row
}

/// One router's picture of a small fleet.
#[derive(Clone, Debug)]
pub struct Rows {
    pub(super) set: Settings,
    pub(super) name: String,
    id: RouterId,
    start: u64,
    pub(super) born: Millis,
    pub(super) ledger: Ledger,
    /// What was last told of its standing.
    says: (QuorumStatus, u32),
    patience: Patience,
    pub(super) members: Vec<Member>,
    index: BTreeMap<RouterId, usize>,
    /// All ids in order, this router's among them, and a hash of them.
    roster: Vec<RouterId>,
    roster_tag: u32,
    /// Whose turn is next: among those whose datagrams come, and among the rest.
    next: [usize; 2],
    turns: u64,
    /// Where the words about the rest go on.
    window: usize,
    turn_at: Millis,
    allowance: Allowance,
    pub(super) leaves: bool,
    effects: Vec<Effect>,
    counts: Counts,
}

impl Rows {
    /// One that begins now; the settings' names are [good](Settings::named).
    pub fn new(set: Settings, name: &str, start: u64, now: Millis, seed: u64) -> Self {
        let id = RouterId::of(name);
        let members: Vec<Member> =
            set.peers.iter().map(|at| Member::new(at.clone(), set.window_ms(), now)).collect();
        let index: BTreeMap<RouterId, usize> =
            members.iter().enumerate().map(|(at, one)| (one.id, at)).collect();
        let mut roster: Vec<RouterId> = index.keys().copied().chain([id]).collect();
        roster.sort_unstable();
        let bytes: Vec<u8> = roster.iter().flat_map(|id| id.0).collect();
        Self {
            roster_tag: twox_hash::XxHash64::oneshot(3, &bytes) as u32,
            roster,
            ledger: Ledger::new(members.len(), set.majority(), set.lease_ms()),
            patience: Patience::new(set.turn_ms(), set.period_ms, now),
            name: name.to_owned(),
            id,
            start: start.max(1),
            born: now,
            says: (QuorumStatus::Joining, 0),
            next: [seed as usize % members.len().max(1); 2],
            turns: 0,
            window: 0,
            members,
            index,
            turn_at: now,
            allowance: Allowance::new(now),
            leaves: false,
            effects: Vec::new(),
            counts: Counts::default(),
            set,
        }
    }

    /// What the file says.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// When the next turn is due.
    pub fn next_deadline(&self) -> Millis {
        self.turn_at
    }

    /// What has come and gone.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// This start, as it is now known to others.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// What this router can say of itself at this very moment: asked by whatever rests on it, each time before it acts.
    pub fn quorum_status(&self, now: Millis) -> (QuorumStatus, u32) {
        (self.ledger.says(now - self.born), self.ledger.term())
    }

    /// Takes the effects so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
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
        let from = packet.rows.first().map(|row| row.who).ok_or(RejectReason::Torn)?;
        if packet.to != self.id || !self.index.contains_key(&from) {
            return Err(RejectReason::Stranger);
        }
        self.settle(now); // What has ended by now has ended before anything else is known.
        if packet.to_start > self.start {
            self.rename(packet.to_start, now);
        }
        if packet.roster == self.roster_tag {
            packet.given_up.iter().for_each(|given_up| self.note_given_up(given_up));
        }
        let mut fresh = false;
        for (at, row) in packet.rows.into_iter().enumerate() {
            fresh |= self.accept(row, at == 0, now);
        }
        self.settle(now);
        if fresh {
            Ok(())
        } else {
            Err(RejectReason::Stale)
        }
    }

    /// One router's words; true if they are news.
    fn accept(&mut self, row: Row, direct: bool, now: Millis) -> bool {
        if row.who == self.id {
            if row.start > self.start {
                self.rename(row.start, now);
            }
            return false;
        }
        let Some(at) = self.index.get(&row.who).copied() else { return false };
        let member = &mut self.members[at];
        let known = (member.start(), member.beat());
        if row.start < known.0 {
            return false;
        }
        // Its own datagram may come behind another router's copy of the same words.
        let own = direct && (row.start > known.0 || row.beat > member.direct_beat);
        if own {
            (member.direct_at, member.direct_beat) = (Some(now), row.beat);
        }
        if (row.start, row.beat) <= known {
            return own;
        }
        let told = if direct { 0.0 } else { f64::from(row.age) };
        if row.start > known.0 {
            member.transit = Transit::new(self.set.window_ms());
        }
        let age = told.max(member.transit.note(f64::from(row.beat) * BEAT_MS, now));
        if row.start > known.0 {
            self.meet(at, &row, direct, now - age);
        }
        let member = &mut self.members[at];
        member.asked = false;
        member.known_at = member.known_at.max(now - age);
        member.heard_at = member.heard_at.max(now - age);
        member.usual_age += AGE_PART * (age - member.usual_age);
        let mine = row.heard.iter().find(|heard| heard.of == self.id);
        let mine = mine.filter(|heard| heard.tag == wire::tag(self.start));
        if let Some(Heard { beat, refused, direct, .. }) = mine.copied() {
            self.ledger.note(at, Answer { beat, refused, direct }, now - self.born);
        }
        if !member.met {
            // The start before this one may have given up any term that the other had until it heard of this start. What is
            // late on its way may name an earlier one: so the first term counts that comes with word of this start.
            let met = mine.is_some_and(|heard| heard.beat >= member.claimed);
            (member.refused, member.met) = (member.refused.max(row.term), met);
        }
        if direct {
            // One that has not heard this router for long, or not this start, is answered out of turn.
            let lag = mine.map_or(f64::INFINITY, |heard| now - self.born - f64::from(heard.beat) * BEAT_MS);
            member.owed |= lag > self.set.ask_ms() || row.says != QuorumStatus::Majority;
        }
        let (term, says) = (row.term, row.says);
        let (known, index) = (member.row.take(), &self.index);
        member.row = Some(merged(known, row, |of| index.contains_key(&of) || of == self.id));
        if says == QuorumStatus::Left {
            self.change(at, State::Left, now, "it has said that it ends".to_owned());
        } else {
            let member = &self.members[at];
            let back = match member.state {
                State::Gone => member.gone_term.is_none_or(|gone| term > gone),
                State::Joining | State::Suspect => true,
                State::Alive | State::Left => false,
            };
            if back && member.silent(now) < self.set.suspect_ms() {
                let how = if direct { "heard" } else { "heard through others" };
                self.change(at, State::Alive, now, how.to_owned());
            }
        }
        true
    }

    /// The first words of a start.
    fn meet(&mut self, at: usize, row: &Row, direct: bool, heard_at: Millis) {
        self.ledger.forget(at);
        let member = &mut self.members[at];
        // A router that hears of a later start than it knew of knows all that it ever answered of that one: nothing.
        let unknown = member.row.is_none();
        (member.refused, member.met) = (0, !unknown);
        (member.voted, member.unheard_voted, member.gone_term, member.given_up) = (0, false, None, None);
        member.told.clear();
        if !direct {
            (member.direct_at, member.direct_beat) = (None, 0);
        }
        (member.known_at, member.heard_at, member.owed) = (heard_at, heard_at, true);
        let why = if unknown { "heard for the first time" } else { "it has started anew" };
        member.row = Some(row.clone()); // So that the change is told under its new start.
        self.change(at, State::Alive, heard_at, why.to_owned());
    }

    fn change(&mut self, at: usize, state: State, now: Millis, why: String) {
        let member = &mut self.members[at];
        let states = (member.state, state);
        if states.0 == state && member.why == why {
            return;
        }
        (member.state, member.since, member.why) = (state, now, why.clone());
        let (name, start, term) = (member.at.name.clone(), member.start(), member.term());
        self.effects.push(Effect::MemberChanged { name, start, term, states, why });
    }

    /// Another process has this router's name with a later start: an earlier process, where the Unix clock was set back
    /// since, or one that should not be. Whoever still speaks takes a start above it.
    fn rename(&mut self, above: u64, now: Millis) {
        self.start = above.saturating_add(1);
        (0..self.members.len()).for_each(|at| self.ledger.forget(at));
        self.effects.push(Effect::StartRaised(self.start));
        self.settle(now);
    }

    /// Takes the time into account in this router's own standing.
    fn settle(&mut self, now: Millis) {
        let clock = now - self.born;
        let until = self.ledger.holds_until();
        self.ledger.settle(clock);
        let (says, term) = (self.ledger.says(clock), self.ledger.term());
        if (says, term) != self.says {
            self.says = (says, term);
            let ago_ms = if says == QuorumStatus::CutOff { (clock - until).max(0.0) } else { 0.0 };
            let heard_by = (self.ledger.heard_by(clock), self.set.routers());
            self.effects.push(Effect::QuorumChanged { status: says, term, ago_ms, heard_by });
            self.members.iter_mut().for_each(|member| member.owed = true);
        }
    }

    /// A turn: judges the silent, and sends.
    pub fn tick(&mut self, now: Millis) {
        if now < self.turn_at {
            return;
        }
        if let Some(gap) = self.patience.tick(now) {
            // While this router stood still it could hear nobody: that silence is its own.
            for member in &mut self.members {
                member.heard_at = (member.heard_at + gap).min(now);
                member.owed = true;
            }
            self.effects.push(Effect::Stalled(gap));
        }
        self.settle(now);
        (0..self.members.len()).for_each(|at| self.judge(at, now));
        self.send_due(now);
    }

    /// Whether another one is silent, whether it is given up, and whether the fleet has given it up.
    fn judge(&mut self, at: usize, now: Millis) {
        let member = &self.members[at];
        if matches!(member.state, State::Gone | State::Left) || !self.patience.judges(now) {
            return;
        }
        // Words that come through others come later: one that is always heard so has that much longer.
        let usual = (member.usual_age - self.set.period_ms).clamp(0.0, self.set.suspect_ms());
        let limit = self.set.suspect_ms() + usual + self.patience.late_ms();
        let silent = member.silent(now);
        if silent < limit {
            // Before it is suspected it is asked, once: it answers at once.
            let member = &mut self.members[at];
            if silent > self.set.ask_ms() && !member.asked {
                (member.asked, member.owed) = (true, true);
            }
            return;
        }
        if member.state != State::Suspect {
            let why = match member.row {
                Some(_) => format!("not heard for {silent:.0} ms"),
                None => "never heard since this router's start".to_owned(),
            };
            self.change(at, State::Suspect, now, why);
        }
        // One without a majority can't tell who of the two is cut off.
        if !self.ledger.holds(now - self.born) {
            return;
        }
        let member = &self.members[at];
        let others = self.heard_of(at).filter(|(_, heard)| heard.suspect).count();
        let suspicion = local_health::suspicion(self.set.suspicion_ms, others) + self.set.more_ms();
        if silent < limit + suspicion {
            return;
        }
        let (of, term) = (member.id, member.term());
        let by = 1 << self.place(self.id);
        let member = &mut self.members[at];
        member.voted = member.voted.max(term);
        member.refused = member.refused.max(term);
        if member.row.is_none() {
            // Counted here from now on, told with the next datagram: words from before don't take it back.
            member.unheard_voted = true;
            member.claimed = ((now - self.born).max(0.0) / BEAT_MS) as u32;
        } else {
            let tag = wire::tag(member.start());
            self.note_given_up(&GivenUp { of, tag, term, by });
        }
        self.verdict(at, now);
    }

    /// One's place in the roster.
    fn place(&self, id: RouterId) -> usize {
        self.roster.binary_search(&id).unwrap_or(0)
    }

    /// Words of who has given up whom: joined to what is known of that start and term, or put in place of an earlier one's.
    fn note_given_up(&mut self, new: &GivenUp) {
        let Some(member) = self.index.get(&new.of).map(|at| &mut self.members[*at]) else { return };
        match &mut member.given_up {
            Some(known) if (known.tag, known.term) == (new.tag, new.term) => known.by |= new.by,
            Some(known) if known.tag == new.tag && known.term > new.term => {}
            // Of which of two starts is told by its own words only.
            _ if member.row.as_ref().is_some_and(|row| wire::tag(row.start) != new.tag) => {}
            known => *known = Some(*new),
        }
    }

    /// Gone, if so many have given up the term that no majority is left to answer it.
    fn verdict(&mut self, at: usize, now: Millis) {
        let member = &self.members[at];
        let (tag, term) = (wire::tag(member.start()), member.term());
        let told = member.given_up.filter(|told| told.term >= term && (told.tag == tag || tag == 0));
        let mut by = told.map_or(0, |told| told.by) | 1 << self.place(self.id);
        for (other, heard) in self.heard_of(at) {
            // One that has never heard it says so anew each time: what it said lately binds it for all terms until then.
            let unheard = heard.tag == 0 && self.members[other].silent(now) < self.set.suspect_ms();
            if heard.suspect && heard.voted >= term.max(1) && (heard.tag == tag || tag == 0 || unheard) {
                by |= 1 << self.place(self.members[other].id);
            }
        }
        let voters = by.count_ones() as usize;
        if voters < self.set.blocking() {
            return;
        }
        let (silent, all) = (member.silent(now), self.set.routers());
        self.members[at].gone_term = Some(term);
        let why = format!("{voters} of {all} have given it up, this one after {silent:.0} ms of silence");
        self.change(at, State::Gone, now, why);
    }

    /// What all others have last said of one.
    fn heard_of(&self, at: usize) -> impl Iterator<Item = (usize, Heard)> + '_ {
        let id = self.members[at].id;
        self.members.iter().enumerate().filter(move |(other, _)| *other != at).filter_map(
            move |(other, member)| {
                let heard = member.row.as_ref()?.heard.iter().find(|heard| heard.of == id)?;
                Some((other, *heard))
            },
        )
    }

    fn send_due(&mut self, now: Millis) {
        self.allowance.refill(now);
        let turn_ms = self.set.turn_ms();
        // Turns that were missed are made up for, as far as one period goes.
        let due = (((now - self.turn_at) / turn_ms).floor() + 1.0).min(self.set.period_ms / turn_ms);
        self.turn_at = (self.turn_at + turn_ms).max(now + turn_ms / 2.0);
        for _ in 0..due as usize {
            if self.members.is_empty() || self.allowance.left() == 0 {
                return;
            }
            // Every other turn is for one that is owed, if any is: in a large fleet there may be no more to spend.
            let owed = if self.turns % 2 == 1 { self.next_owed(now) } else { None };
            let at = match owed {
                Some(at) => {
                    self.turns += 1;
                    at
                }
                None => self.next_turn(now),
            };
            self.send(at, now);
        }
        while self.allowance.left() > 0 {
            let Some(at) = self.next_owed(now) else { return };
            self.send(at, now);
        }
    }

    /// Who is owed a datagram out of turn: whoever is asked first, then by turns.
    fn next_owed(&self, now: Millis) -> Option<usize> {
        let count = self.members.len();
        let owed = |at: &usize| {
            let member = &self.members[*at];
            member.owed && now - member.sent_at > 2.0 * self.set.turn_ms()
        };
        let ring = (0..count).map(|step| (self.turns as usize + step) % count).filter(owed);
        ring.min_by_key(|at| !self.members[*at].asked)
    }

    /// Whom the next turn is for. Most go to those whose own datagrams come, as whatever is told travels through these; every
    /// fifth to the rest, who may be dead or behind a cut.
    fn next_turn(&mut self, now: Millis) -> usize {
        self.turns += 1;
        let every = if self.ledger.holds(now - self.born) { FAR_EVERY } else { FAR_EVERY_ALONE };
        let far = usize::from(self.turns.is_multiple_of(every));
        let (from, count) = (self.next[far], self.members.len());
        let ring = (0..count).map(|step| (from + step) % count);
        let wanted = ring.clone().find(|at| self.hears(*at, now) == (far == 0));
        // Without any of the one kind all turns are for the other, each in its own order.
        let Some(at) = wanted else {
            let at = self.next[1 - far] % count;
            self.next[1 - far] = (at + 1) % count;
            return at;
        };
        self.next[far] = (at + 1) % count;
        at
    }

    /// Whether another one's own datagrams come.
    pub(super) fn hears(&self, at: usize, now: Millis) -> bool {
        self.members[at].direct_at.is_some_and(|at| now - at <= self.set.direct_ms())
    }

    fn send(&mut self, at: usize, now: Millis) {
        self.allowance.take();
        let own = self.row(at, now);
        let to = &self.members[at];
        // The newest first: what is new here travels on at once, and everybody has something else that is new.
        let mut news: Vec<(usize, &Member, &Row)> = self
            .members
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != at)
            .filter_map(|(other, member)| Some((other, member, member.row.as_ref()?)))
            .filter(|(other, _, row)| to.told.get(other) != Some(&(row.start, row.beat)))
            .collect();
        news.sort_by(|a, b| b.1.known_at.total_cmp(&a.1.known_at));
        // And between each two of these one by turns, so that none is left out for long.
        let (from, count) = (self.turns as usize * 7, news.len().max(1));
        let by_turns: Vec<usize> = (0..news.len()).map(|step| (from + step) % count).collect();
        let mut taken = vec![false; news.len()];
        let order: Vec<usize> = (0..news.len()).flat_map(|at| [at, by_turns[at]]).collect();
        let order = order.into_iter().filter(|at| !std::mem::replace(&mut taken[*at], true));
        let news: Vec<(usize, &Member, &Row)> = order.map(|at| news[at]).collect();
        let relayed = news.iter().map(|(_, member, row)| {
            let age = (now - member.known_at).clamp(0.0, f64::from(u16::MAX)) as u16;
            // What it says of the one that this is for, and whom it misses.
            let loud = row.heard.iter().filter(|heard| heard.suspect && heard.of != to.id).take(LOUD_RELAYED);
            let heard = row.heard.iter().filter(|heard| heard.of == to.id).chain(loud).copied().collect();
            Row { age, heard, ..(*row).clone() }
        });
        let given_up = self.given_up_by_turns();
        let packet =
            Packet { to: to.id, to_start: to.start(), roster: self.roster_tag, rows: vec![own], given_up };
        let (bytes, went) = wire::write(&self.set.fleet, packet, relayed);
        let told: Vec<(usize, (u64, u32))> =
            news.iter().take(went).map(|(other, _, row)| (*other, (row.start, row.beat))).collect();
        let to = to.at.address;
        let member = &mut self.members[at];
        member.told.extend(told);
        (member.owed, member.sent_at) = (false, now);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.effects.push(Effect::Send { to, bytes });
    }

    /// Who has given up those that are missed, as far as is known here, some at a time.
    fn given_up_by_turns(&self) -> Vec<GivenUp> {
        let missed = self.members.iter().filter(|member| member.state == State::Suspect);
        let all: Vec<GivenUp> = missed.filter_map(|member| member.given_up).collect();
        let from = (self.turns as usize * GIVEN_UP) % all.len().max(1);
        all.iter().cycle().skip(from).take(all.len().min(GIVEN_UP)).copied().collect()
    }

    /// This router's own words for another one: of that one itself, of those that are missed, and of the rest by turns.
    fn row(&mut self, to: usize, now: Millis) -> Row {
        let count = self.members.len();
        let first = self.window;
        self.window = (first + WORDS) % count.max(1);
        let missed = |at: &usize| matches!(self.members[*at].state, State::Suspect | State::Gone);
        let ring = (0..count).map(|step| (first + step) % count).filter(|at| *at != to);
        let (loud, rest): (Vec<usize>, Vec<usize>) = ring.partition(missed);
        let of = std::iter::once(to).chain(loud.into_iter().take(LOUD)).chain(rest.into_iter().take(WORDS));
        let of: Vec<usize> = of.collect();
        let heard = of.iter().map(|at| self.heard_here(*at, now)).collect();
        let beat = ((now - self.born).max(0.0) / BEAT_MS) as u32;
        for at in of {
            let member = &mut self.members[at];
            member.claimed = if member.unheard_voted { beat } else { member.claimed };
        }
        Row {
            who: self.id,
            start: self.start,
            term: self.ledger.wanted(),
            beat,
            age: 0,
            says: if self.leaves { QuorumStatus::Left } else { self.ledger.says(now - self.born) },
            heard,
        }
    }

    fn heard_here(&self, at: usize, now: Millis) -> Heard {
        let member = &self.members[at];
        Heard {
            of: member.id,
            tag: wire::tag(member.start()),
            beat: member.beat(),
            refused: member.refused,
            voted: member.voted.max(u32::from(member.unheard_voted)),
            suspect: matches!(member.state, State::Suspect | State::Gone),
            direct: self.hears(at, now),
        }
    }

    /// This router ends: everybody is told, once, out of turn.
    pub fn leave(&mut self, now: Millis) {
        self.leaves = true;
        self.allowance.raise(self.members.len());
        (0..self.members.len()).for_each(|at| self.send(at, now));
    }
}

#[cfg(test)]
mod tests;
