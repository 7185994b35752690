//! The rolls that are called: who is in each, who has signed it, and which of them travel on.
//!
//! A roll of kind [`Heard`](Kind::Heard) binds whoever signs it: it has heard words of all in it, of these lives, from the
//! roll's epoch or later. One of kind [`GivenUp`](Kind::GivenUp) binds for good: who signs it answers none of these lives again.

use super::encoding::Form;
use super::incarnations::Book;
use super::wire::{self, Kind, Mark, Told};
use fixedbitset::FixedBitSet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use twox_hash::XxHash64;

/// Epochs for which a roll is kept, and in which it counts.
pub const KEPT: u32 = 10;
/// Of the rolls of one epoch and kind, the first by rank are kept.
const BEST: usize = 2;
/// Rolls of both kinds, at most.
const MOST: usize = 2 * BEST * KEPT as usize;

/// A roll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roll {
    /// Words of all in it are from this epoch or later.
    pub since: u32,
    /// Of the starts of all in it: see [`Book::digest`].
    pub digest: u64,
    /// Which terms are given up.
    pub terms: Terms,
    /// Who is in it.
    pub set: FixedBitSet,
    /// Of whom some that signed could not say it. It travels with their names and only grows with them, so that for the rest
    /// each name holds.
    pub without: FixedBitSet,
    /// Who has signed it.
    pub signed: FixedBitSet,
}

/// The terms of the lives in a roll: the same for most of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    usual: u32,
    others: Vec<(u16, u32)>,
}

impl Terms {
    /// Those that are known of all in a set.
    fn of(set: &FixedBitSet, book: &Book) -> Self {
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        set.ones().for_each(|of| *counts.entry(book.life(of).term).or_default() += 1);
        let usual = counts.into_iter().max_by_key(|(_, count)| *count).map_or(0, |(term, _)| term);
        let others = set.ones().map(|of| (of as u16, book.life(of).term)).filter(|(_, term)| *term != usual);
        Self { usual, others: others.collect() }
    }

    /// One's.
    pub fn term(&self, of: usize) -> u32 {
        let other = self.others.binary_search_by_key(&of, |(at, _)| usize::from(*at));
        other.map_or(self.usual, |at| self.others[at].1)
    }
}

/// Which roll: its kind, the epoch in which it was called, its caller's rank in that epoch, and its caller.
pub type Key = (Kind, u32, u32, u16);

/// A roll and which it is.
type Named<'a> = (&'a Key, &'a Roll);

/// A router's rank among those who may call a roll in an epoch: the same at all, another one in each epoch.
pub fn rank(epoch: u32, of: usize) -> u32 {
    let bytes = ((u64::from(epoch) << 16) | of as u64).to_le_bytes();
    XxHash64::oneshot(11, &bytes) as u32
}

/// All rolls that are known, bounded by [`KEPT`] epochs and the best two of each.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    rolls: BTreeMap<Key, Roll>,
}

impl Calls {
    /// Rolls that have ended are let go.
    pub fn entered(&mut self, epoch: u32) {
        self.rolls.retain(|(_, of, ..), _| of + KEPT > epoch);
    }

    /// A roll that this router calls; it signs it as any other.
    pub fn call(&mut self, kind: Kind, [epoch, since]: [u32; 2], by: usize, set: FixedBitSet, book: &Book) {
        let digest = book.digest(&set);
        let terms = if kind == Kind::GivenUp { Terms::of(&set, book) } else { Terms::default() };
        let signed = FixedBitSet::with_capacity(set.len());
        let without = signed.clone();
        self.keep(
            (kind, epoch, rank(epoch, by), by as u16),
            Roll { since, digest, terms, set, without, signed },
        );
    }

    /// Of one epoch and kind the best are kept; true if this is one of them.
    fn keep(&mut self, key: Key, roll: Roll) -> bool {
        let (kind, epoch, ..) = key;
        let of = (kind, epoch, 0, 0)..=(kind, epoch, u32::MAX, u16::MAX);
        if self.rolls.range(of.clone()).count() >= BEST {
            let Some(worst) = self.rolls.range(of).next_back().map(|(key, _)| *key) else { return false };
            if worst <= key {
                return false;
            }
            self.rolls.remove(&worst);
        }
        if self.rolls.len() >= MOST {
            return false;
        }
        self.rolls.insert(key, roll);
        true
    }

    /// A roll that another router tells of, in a fleet of `all` in this epoch; its key if it was taken.
    pub fn told(&mut self, told: &Told, all: usize, epoch: u32) -> Option<Key> {
        if told.epoch > epoch
            || told.epoch + KEPT <= epoch
            || told.since > told.epoch
            || usize::from(told.by) >= all
        {
            return None;
        }
        let (set, signed, without) = (told.set.read(all)?, told.signed.read(all)?, told.without.read(all)?);
        let key = (told.kind, told.epoch, rank(told.epoch, usize::from(told.by)), told.by);
        match self.rolls.get_mut(&key) {
            // A caller that has started anew may have called another one by the same name: the first one stays.
            Some(known)
                if (known.since, known.digest, &known.terms) == (told.since, told.digest, &told.terms)
                    && known.set == set =>
            {
                known.signed.union_with(&signed);
                known.without.union_with(&without);
            }
            Some(_) => return None,
            None => {
                let (since, digest, terms) = (told.since, told.digest, told.terms.clone());
                let roll = Roll { since, digest, terms, set, without, signed };
                return self.keep(key, roll).then_some(key);
            }
        }
        Some(key)
    }

    /// A roll.
    pub fn get(&self, key: &Key) -> Option<&Roll> {
        self.rolls.get(key)
    }

    /// Signs a roll, but for what it says of these.
    pub fn sign(&mut self, key: &Key, by: usize, without: &FixedBitSet) {
        if let Some(roll) = self.rolls.get_mut(key) {
            roll.signed.insert(by);
            roll.without.union_with(without);
        }
    }

    /// All of a kind, the latest first, the best of an epoch first.
    pub fn of(&self, kind: Kind) -> impl Iterator<Item = (&Key, &Roll)> {
        let of = (kind, 0, 0, 0)..=(kind, u32::MAX, u32::MAX, u16::MAX);
        let mut all: Vec<(&Key, &Roll)> = self.rolls.range(of).collect();
        all.sort_by_key(|((_, epoch, rank, _), _)| (std::cmp::Reverse(*epoch), *rank));
        all.into_iter()
    }

    /// The best of each epoch, the latest first.
    fn best(&self, kind: Kind) -> Vec<(&Key, &Roll)> {
        let mut best: Vec<(&Key, &Roll)> = Vec::new();
        for one in self.of(kind) {
            if best.last().is_none_or(|(key, _)| key.1 != one.0 .1) {
                best.push(one);
            }
        }
        best
    }

    /// Whether it is time for another roll of who was heard: where words are slow the one before has the nets for a while. A
    /// clerk calls the next as soon as that one has enough names; somebody else only where clerks have called none.
    pub fn due(&self, epoch: u32, enough: usize, clerk: bool) -> bool {
        let latest = self.of(Kind::Heard).next();
        let gathered = |roll: &Roll| clerk && roll.signed.count_ones(..) >= enough;
        latest.is_none_or(|(key, roll)| key.1 + WAITS <= epoch || gathered(roll))
    }

    /// Whether one of a kind was called in that epoch or later.
    pub fn called_since(&self, kind: Kind, epoch: u32) -> bool {
        self.of(kind).next().is_some_and(|(key, _)| key.1 >= epoch)
    }

    /// Whether a roll of all these was called not long before `epoch`: it still gathers names.
    pub fn gathers(&self, kind: Kind, epoch: u32, set: &FixedBitSet) -> bool {
        self.of(kind).any(|(key, roll)| key.1 + GATHERS >= epoch && set.is_subset(&roll.set))
    }

    /// Of a kind those that lack some of so many names, the one with most of them first, and the latest that has them.
    fn travelling(&self, kind: Kind, enough: usize) -> (Vec<Named<'_>>, Option<Named<'_>>) {
        let names = |roll: &Roll| roll.signed.count_ones(..);
        let (full, mut lacking): (Vec<_>, Vec<_>) =
            self.best(kind).into_iter().partition(|(_, roll)| names(roll) >= enough);
        let full = full.first().copied();
        // Of who was heard an earlier roll than that says nothing new.
        lacking.retain(|(key, _)| kind == Kind::GivenUp || full.is_none_or(|(of, _)| key.1 > of.1));
        lacking.sort_by_key(|(key, roll)| (std::cmp::Reverse(names(roll)), std::cmp::Reverse(key.1)));
        (lacking, full)
    }

    /// What travels in one datagram, as far as `room` bytes go: of who was heard the latest roll, which is to be signed, and the
    /// latest that has `enough` names, then those that still gather them; of who was given up first one of these by turns, the
    /// one with most routers or the one with most names, then [some more](FURTHER), so that each gathers on all ways at once.
    pub fn tell(&self, enough: [usize; 2], turn: usize, room: usize) -> Vec<Told> {
        let (mut lacking, full) = self.travelling(Kind::Heard, enough[0]);
        let latest =
            lacking.iter().position(|(key, _)| Some(key.1) == lacking.iter().map(|(key, _)| key.1).max());
        let latest = latest.map(|at| lacking.remove(at));
        let (given_up, gone) = self.travelling(Kind::GivenUp, enough[1]);
        let largest =
            given_up.iter().max_by_key(|(key, roll)| (roll.set.count_ones(..), u32::MAX - key.1)).copied();
        let others: Vec<Named<'_>> = [given_up.first().copied(), largest, gone]
            .into_iter()
            .flatten()
            .chain(given_up.iter().copied())
            .collect();
        let given_up = match turn % 4 {
            0 => gone.or(largest),
            1 | 3 => largest,
            _ => given_up.first().copied(),
        };
        let most = lacking.first().copied();
        let first = if turn.is_multiple_of(2) { [latest, most] } else { [most, latest] };
        let all = first
            .into_iter()
            .chain([given_up.or(gone), full])
            .flatten()
            .chain(lacking.iter().skip(1).take(TOO).copied());
        let mut out: Vec<Named<'_>> = all.collect();
        let most = out.len() + FURTHER;
        for one in others {
            if out.len() < most && out.iter().all(|(key, _)| *key != one.0) {
                out.push(one);
            }
        }
        let told = |(key, roll): (&Key, &Roll)| Told {
            kind: key.0,
            epoch: key.1,
            since: roll.since,
            by: key.3,
            digest: roll.digest,
            terms: roll.terms.clone(),
            set: Form::of(&roll.set),
            without: Form::of(&roll.without),
            signed: Form::of(&roll.signed),
        };
        let mut left = room;
        let fits = |told: &Told| {
            let rest = left.checked_sub(wire::size(told));
            left = rest.unwrap_or(left);
            rest.is_some()
        };
        out.into_iter().map(told).filter(fits).collect()
    }
}

/// Epochs in which a roll gathers names, before it is called anew.
const GATHERS: u32 = 5;

/// Further rolls that gather names, where there is room.
const TOO: usize = 2;
/// Further rolls of who was given up in a datagram. More would take the room of lives, without which nobody can sign.
const FURTHER: usize = 3;
/// Epochs after which a roll is called though the one before lacks names.
const WAITS: u32 = 2;

/// Of whom a router can't say what a roll says, if it may sign it at all: it knows all the starts in it as the caller did. `waits`: it may soon be able to say more of those that it hasn't given up.
pub fn may_sign(
    key: &Key,
    roll: &Roll,
    book: &Book,
    gave_up: &FixedBitSet,
    waits: bool,
) -> Option<FixedBitSet> {
    if roll.digest != book.digest(&roll.set) {
        return None;
    }
    let mut without = roll.set.clone();
    match key.0 {
        Kind::Heard => without.intersect_with(gave_up),
        Kind::GivenUp => {
            let says = |of: &usize| gave_up.contains(*of) && book.life(*of).term == roll.terms.term(*of);
            roll.set.ones().filter(says).for_each(|of| without.set(of, false));
            let none = without.count_ones(..) == roll.set.count_ones(..);
            if none || waits && without.count_ones(..) > 0 {
                return None;
            }
        }
    }
    Some(without)
}

/// Who is in a roll that begins now: heard of from its epoch on, by whoever nobody has given up.
pub fn heard_since(epoch: u32, heard: &[Option<u32>], book: &Book) -> FixedBitSet {
    let mut set = FixedBitSet::with_capacity(heard.len());
    let well = |of: &usize| heard[*of].is_some_and(|at| at >= epoch) && book.life(*of).mark == Mark::Here;
    (0..heard.len()).filter(well).for_each(|of| set.insert(of));
    set
}

#[cfg(test)]
mod tests;
