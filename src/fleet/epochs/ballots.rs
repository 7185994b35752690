//! Ballots: their members, who has signed them, and which of them a datagram carries.
//!
//! A signature on a ballot of kind [`Liveness`](BallotKind::Liveness) states that the signer has heard of all
//! members, in these incarnations, in the ballot's epoch or later. A signature on one of kind
//! [`Failure`](BallotKind::Failure) is irrevocable: the signer never confirms these incarnations again.

use super::encoding::EncodedSet;
use super::incarnations::IncarnationTable;
use super::wire::{self, BallotKind, BallotMessage, IncarnationStatus};
use fixedbitset::FixedBitSet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use twox_hash::XxHash64;

/// Epochs for which a ballot is kept and counts.
pub const KEPT_EPOCHS: u32 = 10;
/// Ballots that are kept for each epoch and kind: the first by rank.
const KEPT_PER_EPOCH: usize = 2;
/// Maximum number of ballots of both kinds.
const MAX_BALLOTS: usize = 2 * KEPT_PER_EPOCH * KEPT_EPOCHS as usize;

/// A ballot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// All members have been heard of in this epoch or later.
    pub since_epoch: u32,
    /// A digest of the start numbers of the members: see [`IncarnationTable::start_digest`].
    pub start_digest: u64,
    /// The terms that a failure ballot votes failed.
    pub terms: BallotTerms,
    /// The routers that the ballot is about.
    pub members: FixedBitSet,
    /// Members for which some signers could not confirm it. They travel with the signatures and only grow
    /// with them, so that every signature holds for all other members.
    pub exceptions: FixedBitSet,
    /// The routers that have signed it.
    pub signers: FixedBitSet,
}

/// The terms of the members of a ballot: mostly the same term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BallotTerms {
    usual: u32,
    others: Vec<(u16, u32)>,
}

impl BallotTerms {
    /// Collects the known terms of the members.
    fn of(members: &FixedBitSet, table: &IncarnationTable) -> Self {
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        members.ones().for_each(|router| *counts.entry(table.get(router).term).or_default() += 1);
        let usual = counts.into_iter().max_by_key(|(_, count)| *count).map_or(0, |(term, _)| term);
        let others = members
            .ones()
            .map(|router| (router as u16, table.get(router).term))
            .filter(|(_, term)| *term != usual);
        Self { usual, others: others.collect() }
    }

    /// Returns the term of a member.
    pub fn term(&self, router: usize) -> u32 {
        let other = self.others.binary_search_by_key(&router, |(index, _)| usize::from(*index));
        other.map_or(self.usual, |index| self.others[index].1)
    }
}

/// Identifies a ballot: its kind, the epoch in which it was opened, the rank of the router that opened it in
/// that epoch, and that router.
pub type BallotKey = (BallotKind, u32, u32, u16);

/// A ballot with its key.
type KeyedBallot<'a> = (&'a BallotKey, &'a Ballot);

/// Returns a router's rank among those that may open a ballot in an epoch: the same at all routers, and
/// different in each epoch.
pub fn epoch_rank(epoch: u32, router: usize) -> u32 {
    let bytes = ((u64::from(epoch) << 16) | router as u64).to_le_bytes();
    XxHash64::oneshot(11, &bytes) as u32
}

/// All known ballots, bounded by [`KEPT_EPOCHS`] epochs and [`KEPT_PER_EPOCH`] of each epoch and kind.
#[derive(Clone, Debug, Default)]
pub struct Ballots {
    ballots: BTreeMap<BallotKey, Ballot>,
}

impl Ballots {
    /// Removes the ballots that have expired when `epoch` begins.
    pub fn remove_expired(&mut self, epoch: u32) {
        self.ballots.retain(|(_, opened_in, ..), _| opened_in + KEPT_EPOCHS > epoch);
    }

    /// Opens a ballot. Its opener signs it like any other router.
    pub fn open(
        &mut self,
        kind: BallotKind,
        [epoch, since_epoch]: [u32; 2],
        opened_by: usize,
        members: FixedBitSet,
        table: &IncarnationTable,
    ) {
        let start_digest = table.start_digest(&members);
        let terms = if kind == BallotKind::Failure {
            BallotTerms::of(&members, table)
        } else {
            BallotTerms::default()
        };
        let signers = FixedBitSet::with_capacity(members.len());
        let exceptions = signers.clone();
        self.insert(
            (kind, epoch, epoch_rank(epoch, opened_by), opened_by as u16),
            Ballot { since_epoch, start_digest, terms, members, exceptions, signers },
        );
    }

    /// Keeps a ballot if it is one of the first by rank of its epoch and kind; returns whether it is.
    fn insert(&mut self, key: BallotKey, ballot: Ballot) -> bool {
        let (kind, epoch, ..) = key;
        let keys = (kind, epoch, 0, 0)..=(kind, epoch, u32::MAX, u16::MAX);
        if self.ballots.range(keys.clone()).count() >= KEPT_PER_EPOCH {
            let Some(worst) = self.ballots.range(keys).next_back().map(|(key, _)| *key) else { return false };
            if worst <= key {
                return false;
            }
            self.ballots.remove(&worst);
        }
        if self.ballots.len() >= MAX_BALLOTS {
            return false;
        }
        self.ballots.insert(key, ballot);
        true
    }

    /// Merges a ballot received in epoch `epoch`, and returns its key if it was accepted.
    pub fn receive(&mut self, message: &BallotMessage, router_count: usize, epoch: u32) -> Option<BallotKey> {
        if message.epoch > epoch
            || message.epoch + KEPT_EPOCHS <= epoch
            || message.since_epoch > message.epoch
            || usize::from(message.opened_by) >= router_count
        {
            return None;
        }
        let (members, signers, exceptions) = (
            message.members.decode(router_count)?,
            message.signers.decode(router_count)?,
            message.exceptions.decode(router_count)?,
        );
        let key = (
            message.kind,
            message.epoch,
            epoch_rank(message.epoch, usize::from(message.opened_by)),
            message.opened_by,
        );
        match self.ballots.get_mut(&key) {
            // A router that has restarted may have opened another ballot with the same key: the first one is
            // kept.
            Some(known)
                if (known.since_epoch, known.start_digest, &known.terms)
                    == (message.since_epoch, message.start_digest, &message.terms)
                    && known.members == members =>
            {
                known.signers.union_with(&signers);
                known.exceptions.union_with(&exceptions);
            }
            Some(_) => return None,
            None => {
                let (since_epoch, start_digest, terms) =
                    (message.since_epoch, message.start_digest, message.terms.clone());
                let ballot = Ballot { since_epoch, start_digest, terms, members, exceptions, signers };
                return self.insert(key, ballot).then_some(key);
            }
        }
        Some(key)
    }

    /// Returns a ballot.
    pub fn get(&self, key: &BallotKey) -> Option<&Ballot> {
        self.ballots.get(key)
    }

    /// Signs a ballot, except for what it says of `exceptions`.
    pub fn sign(&mut self, key: &BallotKey, signer: usize, exceptions: &FixedBitSet) {
        if let Some(ballot) = self.ballots.get_mut(key) {
            ballot.signers.insert(signer);
            ballot.exceptions.union_with(exceptions);
        }
    }

    /// Iterates over the ballots of a kind, latest epoch first, within an epoch by rank.
    pub fn of_kind(&self, kind: BallotKind) -> impl Iterator<Item = (&BallotKey, &Ballot)> {
        let keys = (kind, 0, 0, 0)..=(kind, u32::MAX, u32::MAX, u16::MAX);
        let mut all: Vec<(&BallotKey, &Ballot)> = self.ballots.range(keys).collect();
        all.sort_by_key(|((_, epoch, rank, _), _)| (std::cmp::Reverse(*epoch), *rank));
        all.into_iter()
    }

    /// Returns the first ballot by rank of each epoch, latest epoch first.
    fn best_per_epoch(&self, kind: BallotKind) -> Vec<(&BallotKey, &Ballot)> {
        let mut best: Vec<(&BallotKey, &Ballot)> = Vec::new();
        for ballot in self.of_kind(kind) {
            if best.last().is_none_or(|(key, _)| key.1 != ballot.0 .1) {
                best.push(ballot);
            }
        }
        best
    }

    /// Whether another liveness ballot is to be opened. Where information spreads slowly, the network is left
    /// to the previous ballot for a while: a coordinator opens the next as soon as that one has enough
    /// signatures, other routers only if coordinators have opened none.
    pub fn liveness_due(&self, epoch: u32, enough: usize, coordinator: bool) -> bool {
        let latest = self.of_kind(BallotKind::Liveness).next();
        let has_enough_signers = |ballot: &Ballot| coordinator && ballot.signers.count_ones(..) >= enough;
        latest.is_none_or(|(key, ballot)| key.1 + REOPEN_EPOCHS <= epoch || has_enough_signers(ballot))
    }

    /// Whether a ballot of a kind was opened in `epoch` or later.
    pub fn opened_since(&self, kind: BallotKind, epoch: u32) -> bool {
        self.of_kind(kind).next().is_some_and(|(key, _)| key.1 >= epoch)
    }

    /// Whether a ballot that lists all of `members` was opened shortly before `epoch` and still collects
    /// signatures.
    pub fn is_collecting(&self, kind: BallotKind, epoch: u32, members: &FixedBitSet) -> bool {
        self.of_kind(kind)
            .any(|(key, ballot)| key.1 + COLLECT_EPOCHS >= epoch && members.is_subset(&ballot.members))
    }

    /// Returns the ballots of a kind with fewer than `enough` signatures, the one with the most first, and
    /// the latest one that has enough.
    fn incomplete_and_complete(
        &self,
        kind: BallotKind,
        enough: usize,
    ) -> (Vec<KeyedBallot<'_>>, Option<KeyedBallot<'_>>) {
        let signer_count = |ballot: &Ballot| ballot.signers.count_ones(..);
        let (complete, mut incomplete): (Vec<_>, Vec<_>) =
            self.best_per_epoch(kind).into_iter().partition(|(_, ballot)| signer_count(ballot) >= enough);
        let complete = complete.first().copied();
        // A liveness ballot older than a complete one adds nothing.
        incomplete.retain(|(key, _)| {
            kind == BallotKind::Failure || complete.is_none_or(|(full_key, _)| key.1 > full_key.1)
        });
        incomplete
            .sort_by_key(|(key, ballot)| (std::cmp::Reverse(signer_count(ballot)), std::cmp::Reverse(key.1)));
        (incomplete, complete)
    }

    /// Selects the ballots for one datagram, up to `room` bytes. Liveness ballots: the latest, which is to be
    /// signed, the latest complete one (`enough` signatures), and some that still collect signatures. Failure
    /// ballots: in rotation the complete one, the one with the most members or the one with the most
    /// signatures, then up to [`EXTRA_FAILURE_BALLOTS`] others, so that several collect signatures at once.
    pub fn select(&self, enough: [usize; 2], turn: usize, room: usize) -> Vec<BallotMessage> {
        let (mut incomplete, complete) = self.incomplete_and_complete(BallotKind::Liveness, enough[0]);
        let latest = incomplete
            .iter()
            .position(|(key, _)| Some(key.1) == incomplete.iter().map(|(key, _)| key.1).max());
        let latest = latest.map(|index| incomplete.remove(index));
        let (failure_ballots, complete_failure) =
            self.incomplete_and_complete(BallotKind::Failure, enough[1]);
        let largest = failure_ballots
            .iter()
            .max_by_key(|(key, ballot)| (ballot.members.count_ones(..), u32::MAX - key.1))
            .copied();
        let others: Vec<KeyedBallot<'_>> = [failure_ballots.first().copied(), largest, complete_failure]
            .into_iter()
            .flatten()
            .chain(failure_ballots.iter().copied())
            .collect();
        let failure_ballots = match turn % 4 {
            0 => complete_failure.or(largest),
            1 | 3 => largest,
            _ => failure_ballots.first().copied(),
        };
        let most = incomplete.first().copied();
        let first = if turn.is_multiple_of(2) { [latest, most] } else { [most, latest] };
        let all = first
            .into_iter()
            .chain([failure_ballots.or(complete_failure), complete])
            .flatten()
            .chain(incomplete.iter().skip(1).take(EXTRA_LIVENESS_BALLOTS).copied());
        let mut selected: Vec<KeyedBallot<'_>> = all.collect();
        let most = selected.len() + EXTRA_FAILURE_BALLOTS;
        for ballot in others {
            if selected.len() < most && selected.iter().all(|(key, _)| *key != ballot.0) {
                selected.push(ballot);
            }
        }
        let to_message = |(key, ballot): (&BallotKey, &Ballot)| BallotMessage {
            kind: key.0,
            epoch: key.1,
            since_epoch: ballot.since_epoch,
            opened_by: key.3,
            start_digest: ballot.start_digest,
            terms: ballot.terms.clone(),
            members: EncodedSet::of(&ballot.members),
            exceptions: EncodedSet::of(&ballot.exceptions),
            signers: EncodedSet::of(&ballot.signers),
        };
        let mut left = room;
        let fits = |message: &BallotMessage| {
            let remaining = left.checked_sub(wire::ballot_bytes(message));
            left = remaining.unwrap_or(left);
            remaining.is_some()
        };
        selected.into_iter().map(to_message).filter(fits).collect()
    }
}

/// Epochs in which a ballot collects signatures before another one is opened for the same members.
const COLLECT_EPOCHS: u32 = 5;

/// Maximum number of further incomplete liveness ballots in a datagram, if there is room.
const EXTRA_LIVENESS_BALLOTS: usize = 2;
/// Maximum number of further failure ballots in a datagram. More would take the room of the incarnations,
/// without which no router can sign.
const EXTRA_FAILURE_BALLOTS: usize = 3;
/// Epochs after which a liveness ballot is opened although the previous one lacks signatures.
const REOPEN_EPOCHS: u32 = 2;

/// Returns the members for which a router can't confirm a ballot, or `None` if it may not sign it. It may
/// sign only if it knows the same starts of the members as the opener did. `may_wait`: it may soon be able to
/// confirm more of the members that it has not voted failed.
pub fn may_sign(
    key: &BallotKey,
    ballot: &Ballot,
    table: &IncarnationTable,
    voted_failed: &FixedBitSet,
    may_wait: bool,
) -> Option<FixedBitSet> {
    if ballot.start_digest != table.start_digest(&ballot.members) {
        return None;
    }
    let mut exceptions = ballot.members.clone();
    match key.0 {
        BallotKind::Liveness => exceptions.intersect_with(voted_failed),
        BallotKind::Failure => {
            let agrees = |router: &usize| {
                voted_failed.contains(*router) && table.get(*router).term == ballot.terms.term(*router)
            };
            ballot.members.ones().filter(agrees).for_each(|router| exceptions.set(router, false));
            let all_excepted = exceptions.count_ones(..) == ballot.members.count_ones(..);
            if all_excepted || may_wait && exceptions.count_ones(..) > 0 {
                return None;
            }
        }
    }
    Some(exceptions)
}

/// Returns the members of a liveness ballot that is opened now: routers heard of in `epoch` or later whose
/// incarnation no router has voted failed.
pub fn reachable_since(epoch: u32, last_epochs: &[Option<u32>], table: &IncarnationTable) -> FixedBitSet {
    let mut members = FixedBitSet::with_capacity(last_epochs.len());
    let reachable = |router: &usize| {
        last_epochs[*router].is_some_and(|heard_in| heard_in >= epoch)
            && table.get(*router).status == IncarnationStatus::Present
    };
    (0..last_epochs.len()).filter(reachable).for_each(|router| members.insert(router));
    members
}

#[cfg(test)]
mod tests;
