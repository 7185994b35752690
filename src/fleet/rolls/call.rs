//! The rolls that are called: who is in each, who has signed it, and which of them travel on.
//!
//! A roll of kind [`Heard`](Kind::Heard) binds whoever signs it: it has heard words of all in it, of these lives, from the
//! roll's epoch or later. One of kind [`GivenUp`](Kind::GivenUp) binds for good: who signs it answers none of these lives again.

use super::book::Book;
use super::set::Form;
use super::wire::{self, Kind, Mark, Told};
use fixedbitset::FixedBitSet;
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
    /// Of the starts of all in it, or of their lives: see [`Book::digest`].
    pub digest: u64,
    /// Who is in it.
    pub set: FixedBitSet,
    /// Who has signed it.
    pub signed: FixedBitSet,
}

/// Which roll: its kind, the epoch in which it was called, its caller's rank in that epoch, and its caller.
pub type Key = (Kind, u32, u32, u16);

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
        let digest = book.digest(&set, kind);
        let signed = FixedBitSet::with_capacity(set.len());
        self.keep((kind, epoch, rank(epoch, by), by as u16), Roll { since, digest, set, signed });
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
        let (set, signed) = (told.set.read(all)?, told.signed.read(all)?);
        let key = (told.kind, told.epoch, rank(told.epoch, usize::from(told.by)), told.by);
        match self.rolls.get_mut(&key) {
            // A caller that has started anew may have called another one by the same name: the first one stays.
            Some(known) if (known.since, known.digest) == (told.since, told.digest) && known.set == set => {
                known.signed.union_with(&signed)
            }
            Some(_) => return None,
            None => {
                let roll = Roll { since: told.since, digest: told.digest, set, signed };
                return self.keep(key, roll).then_some(key);
            }
        }
        Some(key)
    }

    /// A roll.
    pub fn get(&self, key: &Key) -> Option<&Roll> {
        self.rolls.get(key)
    }

    /// Signs a roll.
    pub fn sign(&mut self, key: &Key, by: usize) {
        if let Some(roll) = self.rolls.get_mut(key) {
            roll.signed.insert(by);
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

    /// Whether a roll of all these was called not long before `epoch`: it still gathers names.
    pub fn gathers(&self, kind: Kind, epoch: u32, set: &FixedBitSet) -> bool {
        self.of(kind).any(|(key, roll)| key.1 + GATHERS >= epoch && set.is_subset(&roll.set))
    }

    /// Of a kind the latest that has so many names, and the one with most of those that lack some.
    fn travelling(&self, kind: Kind, enough: usize) -> Vec<(&Key, &Roll)> {
        let (full, lacking): (Vec<_>, Vec<_>) =
            self.best(kind).into_iter().partition(|(_, roll)| roll.signed.count_ones(..) >= enough);
        let latest_full = full.first().map_or(0, |(key, _)| key.1);
        let gathering = lacking.into_iter().filter(|(key, _)| key.1 > latest_full);
        let most = gathering.max_by_key(|(key, roll)| (roll.signed.count_ones(..), key.1));
        full.into_iter().take(1).chain(most).collect()
    }

    /// What travels in one datagram: of who was heard the latest roll, which is to be signed, the one that gathers most names,
    /// and the latest that has `enough`; of who was given up the latter two by turns.
    /// Where these take more than `room` bytes, some of them by turns.
    pub fn tell(&self, enough: [usize; 2], turn: usize, room: usize) -> Vec<Told> {
        let mut out = self.travelling(Kind::Heard, enough[0]);
        if let Some(latest) = self.best(Kind::Heard).first() {
            if !out.iter().any(|(key, _)| *key == latest.0) {
                out.push(*latest);
            }
        }
        let given_up = self.travelling(Kind::GivenUp, enough[1]);
        // The last is the one that lacks names, if any does.
        let at = if turn.is_multiple_of(3) { 0 } else { given_up.len().saturating_sub(1) };
        out.extend(given_up.get(at).copied());
        let told = |(key, roll): (&Key, &Roll)| Told {
            kind: key.0,
            epoch: key.1,
            since: roll.since,
            by: key.3,
            digest: roll.digest,
            set: Form::of(&roll.set),
            signed: Form::of(&roll.signed),
        };
        let count = out.len();
        let mut left = room;
        let fits = |told: &Told| {
            let rest = left.checked_sub(wire::size(told));
            left = rest.unwrap_or(left);
            rest.is_some()
        };
        (0..count).map(|step| told(out[(turn + step) % count])).filter(fits).collect()
    }
}

/// Epochs in which a roll gathers names, before it is called anew.
const GATHERS: u32 = 5;

/// Whether a router may sign a roll: it knows all the lives in it as the caller did, and the roll asks of it nothing that it
/// can't say.
pub fn may_sign(key: &Key, roll: &Roll, book: &Book, gave_up: impl Fn(usize) -> bool) -> bool {
    roll.digest == book.digest(&roll.set, key.0)
        && match key.0 {
            Kind::Heard => !roll.set.ones().any(gave_up),
            Kind::GivenUp => roll.set.ones().all(gave_up),
        }
}

/// Who is in a roll that begins now: heard of from its epoch on, by whoever nobody has given up.
pub fn heard_since(epoch: u32, heard: &[Option<u32>], book: &Book) -> FixedBitSet {
    let mut set = FixedBitSet::with_capacity(heard.len());
    let well = |of: &usize| heard[*of].is_some_and(|at| at >= epoch) && book.life(*of).mark == Mark::Here;
    (0..heard.len()).filter(well).for_each(|of| set.insert(of));
    set
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::rolls::wire::Life;

    fn book() -> Book {
        let mut book = Book::new(8, 0.0);
        for of in 0..8 {
            book.learn(of, Life { start: 9, term: 1, mark: Mark::Here }, 0.0);
        }
        book
    }

    #[test]
    fn of_each_epoch_the_best_two_are_kept_and_what_is_too_old_or_to_come_is_refused() {
        let (mut calls, book) = (Calls::default(), book());
        let all = heard_since(4, &[Some(5); 8], &book);
        for by in 0..8 {
            calls.call(Kind::Heard, [5, 4], by, all.clone(), &book);
        }
        let mut ranks: Vec<u32> = (0..8).map(|by| rank(5, by)).collect();
        ranks.sort_unstable();
        assert_eq!(calls.of(Kind::Heard).map(|(key, _)| key.2).collect::<Vec<_>>(), ranks[..2]);
        let told = calls.tell([2, 2], 0, 500).remove(0);
        let mut other = Calls::default();
        assert_eq!(other.told(&told, 8, 4), None, "of an epoch to come");
        assert_eq!(other.told(&told, 8, 5 + KEPT), None);
        assert_eq!(other.told(&told, 2, 6), None, "of another roster");
        let key = other.told(&told, 8, 6).expect("taken");
        other.sign(&key, 6);
        assert_eq!(other.get(&key).map(|roll| roll.signed.count_ones(..)), Some(1));
        let changed = Told { digest: told.digest ^ 1, ..told };
        assert_eq!(other.told(&changed, 8, 6), None, "another one by the same name");
        other.entered(5 + KEPT);
        assert_eq!(other.of(Kind::Heard).count(), 0);
    }

    #[test]
    fn nobody_signs_what_it_knows_differently_or_has_given_up() {
        let (mut calls, mut book) = (Calls::default(), book());
        let set = heard_since(4, &[Some(5), Some(4), Some(3), None, Some(5), None, None, None], &book);
        assert_eq!(set.ones().collect::<Vec<_>>(), [0, 1, 4]);
        calls.call(Kind::Heard, [5, 4], 0, set.clone(), &book);
        calls.call(Kind::GivenUp, [4, 4], 0, set, &book);
        let check = |kind: Kind, book: &Book, gave_up: &[usize]| {
            let (key, roll) = calls.of(kind).next().expect("called");
            may_sign(key, roll, book, |of| gave_up.contains(&of))
        };
        assert!(check(Kind::Heard, &book, &[2, 3]) && !check(Kind::Heard, &book, &[4]));
        assert!(check(Kind::GivenUp, &book, &[0, 1, 4, 5]) && !check(Kind::GivenUp, &book, &[0, 1]));
        book.learn(1, Life { start: 9, term: 2, mark: Mark::Here }, 0.0);
        assert!(check(Kind::Heard, &book, &[]) && !check(Kind::GivenUp, &book, &[0, 1, 4]), "another life");
        book.learn(1, Life { start: 10, term: 1, mark: Mark::Here }, 0.0);
        assert!(!check(Kind::Heard, &book, &[]), "another start");
        assert!(!heard_since(4, &[Some(5); 8], &{
            let mut book = book.clone();
            book.mark(6, Mark::Doubted, 0.0);
            book
        })
        .contains(6));
    }
}
