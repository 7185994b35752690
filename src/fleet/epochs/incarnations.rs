//! The table of the known incarnation of each router, and of what is still to be sent of it.

use super::wire::{self, Incarnation, IncarnationEntry, IncarnationStatus};
use crate::api::Millis;
use fixedbitset::FixedBitSet;
use twox_hash::XxHash64;

/// Routers in a block. Two routers compare their tables block by block.
pub const BLOCK_ROUTERS: usize = 64;
/// Datagrams in which each router that learns of an incarnation passes it on.
const SENDS_PER_UPDATE: u8 = 5;
/// How much the mismatch score of a block grows with a datagram whose sender knows other starts in it, or
/// only other terms and statuses, and from which score on the whole block is sent. A datagram of a sender
/// that knows the same lowers the score by the first value.
const START_MISMATCH: u8 = 4;
const REST_MISMATCH: u8 = 1;
const MISMATCH_THRESHOLD: u8 = 16;
/// Bytes of the digests of a block: of the starts, of the terms and statuses, and the number of known starts.
const DIGEST_BYTES_PER_BLOCK: usize = 4 + 2 + 1;

/// What merging an incarnation has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationUpdate {
    /// A start that was not known.
    NewStart,
    /// A later term of the same start.
    NewTerm,
    /// A later status of the same start and term.
    NewStatus,
}

/// The incarnations of all routers, bounded by the roster.
#[derive(Clone, Debug)]
pub struct IncarnationTable {
    incarnations: Vec<Incarnation>,
    /// When each start was learned, by this router's clock.
    start_learned_at: Vec<Millis>,
    /// A hash of the index and the start of each router.
    hashes: Vec<u64>,
    start_digests: Vec<u32>,
    rest_digests: Vec<u16>,
    known_starts: Vec<u8>,
    sends_left: Vec<u8>,
    recent: Vec<u16>,
    mismatch_score: Vec<u8>,
    /// The router from which sending whole blocks continues.
    next_router: usize,
}

fn hash(router: usize, parts: [u64; 2]) -> u64 {
    let bytes: Vec<u8> =
        [router as u64, parts[0], parts[1]].iter().flat_map(|part| part.to_le_bytes()).collect();
    XxHash64::oneshot(7, &bytes)
}

impl IncarnationTable {
    /// Creates a table for `routers` routers of which nothing is known.
    pub fn new(routers: usize, now: Millis) -> Self {
        let block_count = routers.div_ceil(BLOCK_ROUTERS);
        Self {
            incarnations: vec![Incarnation::default(); routers],
            start_learned_at: vec![now; routers],
            hashes: (0..routers).map(|router| hash(router, [0, u64::MAX])).collect(),
            start_digests: vec![0; block_count],
            rest_digests: vec![0; block_count],
            known_starts: vec![0; block_count],
            sends_left: vec![0; routers],
            recent: Vec::new(),
            mismatch_score: vec![0; block_count],
            next_router: 0,
        }
    }

    /// Returns the known incarnation of a router.
    pub fn get(&self, router: usize) -> Incarnation {
        self.incarnations[router]
    }

    /// Returns when the start of a router was learned.
    pub fn start_learned_at(&self, router: usize) -> Millis {
        self.start_learned_at[router]
    }

    /// Returns the number of blocks.
    pub fn block_count(&self) -> usize {
        self.start_digests.len()
    }

    /// Merges an incarnation. One that is not later than the known one changes nothing.
    pub fn merge(
        &mut self,
        router: usize,
        incarnation: Incarnation,
        now: Millis,
    ) -> Option<IncarnationUpdate> {
        let known = self.incarnations[router];
        if incarnation <= known {
            return None;
        }
        let block = router / BLOCK_ROUTERS;
        let digest = |incarnation: Incarnation| {
            let start = hash(router, [incarnation.start, 1]) as u32;
            let rest = hash(router, [u64::from(incarnation.term), 2 + incarnation.status as u64]) as u16;
            (start, rest)
        };
        for (start, rest) in [digest(known), digest(incarnation)] {
            self.start_digests[block] ^= start;
            self.rest_digests[block] ^= rest;
        }
        self.known_starts[block] += u8::from(known.start == 0);
        self.incarnations[router] = incarnation;
        self.hashes[router] = hash(router, [incarnation.start, u64::MAX]);
        if self.sends_left[router] == 0 {
            self.recent.push(router as u16);
        }
        self.sends_left[router] = SENDS_PER_UPDATE;
        Some(if incarnation.start > known.start {
            self.start_learned_at[router] = now;
            IncarnationUpdate::NewStart
        } else if incarnation.term > known.term {
            IncarnationUpdate::NewTerm
        } else {
            IncarnationUpdate::NewStatus
        })
    }

    /// Sets the status of a known incarnation; returns whether that is a change.
    pub fn set_status(&mut self, router: usize, status: IncarnationStatus, now: Millis) -> bool {
        let incarnation = Incarnation { status, ..self.incarnations[router] };
        self.merge(router, incarnation, now).is_some()
    }

    /// Returns a digest of the starts of `members`: equal at two routers only if they know the same starts of
    /// all of them.
    pub fn start_digest(&self, members: &FixedBitSet) -> u64 {
        members.ones().fold(0, |digest, router| digest ^ self.hashes[router])
    }

    /// Returns the digests of all blocks for a datagram.
    pub fn block_digests(&self) -> Vec<u8> {
        let starts = self.start_digests.iter().flat_map(|digest| digest.to_le_bytes());
        let rest = self.rest_digests.iter().flat_map(|digest| digest.to_le_bytes());
        starts.chain(rest).chain(self.known_starts.iter().copied()).collect()
    }

    /// Returns for each block whether another router's digests show the same starts, or `None` if the digests
    /// don't fit this roster. Updates the mismatch scores.
    pub fn compare_blocks(&mut self, digests: &[u8]) -> Option<Vec<bool>> {
        if digests.len() != DIGEST_BYTES_PER_BLOCK * self.block_count() {
            return None;
        }
        let same: Vec<(bool, bool)> =
            (0..self.block_count()).map(|block| self.block_matches(block, digests)).collect();
        for (mismatch_score, same) in self.mismatch_score.iter_mut().zip(&same) {
            *mismatch_score = match same {
                (true, true) => mismatch_score.saturating_sub(START_MISMATCH),
                (true, false) => (*mismatch_score + REST_MISMATCH).min(2 * MISMATCH_THRESHOLD),
                (false, _) => (*mismatch_score + START_MISMATCH).min(2 * MISMATCH_THRESHOLD),
            };
        }
        Some(same.into_iter().map(|(start, _)| start).collect())
    }

    /// Whether the starts of a block, and whether all of it, match another router's digests.
    fn block_matches(&self, block: usize, digests: &[u8]) -> (bool, bool) {
        let (starts, rest) = digests.split_at(4 * self.block_count());
        let start = starts[4 * block..4 * block + 4] == self.start_digests[block].to_le_bytes();
        (start, start && rest[2 * block..2 * block + 2] == self.rest_digests[block].to_le_bytes())
    }

    /// Returns the blocks that the sender of these digests is to be sent: it knows fewer starts than this
    /// router, or its table differs from those of this router and most others.
    pub fn blocks_to_send(&self, digests: &[u8]) -> Vec<bool> {
        let known = &digests[6 * self.block_count()..];
        let lacks = |block: usize| match self.known_starts[block].cmp(&known[block]) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => {
                self.mismatch_score[block] < MISMATCH_THRESHOLD && !self.block_matches(block, digests).1
            }
            std::cmp::Ordering::Less => false,
        };
        (0..self.block_count()).map(lacks).collect()
    }

    /// Whether digests have the length for a roster of this size.
    pub fn has_valid_length(&self, digests: &[u8]) -> bool {
        digests.len() == DIGEST_BYTES_PER_BLOCK * self.block_count()
    }

    /// Returns the bytes to reserve for incarnations in a datagram, at most `most`.
    pub fn reserved_bytes(&self, most: usize) -> usize {
        if self.mismatch_score.iter().any(|mismatch_score| *mismatch_score >= MISMATCH_THRESHOLD) {
            return most;
        }
        most.min(10 * self.recent.len())
    }

    /// Selects entries for a datagram with `room` bytes left: recent changes, then whole blocks, either the
    /// requested ones or those with a high mismatch score. `random` makes each datagram carry other entries.
    pub fn entries(
        &mut self,
        room: usize,
        requested_blocks: Option<&[bool]>,
        random: usize,
    ) -> Vec<IncarnationEntry> {
        let mut out: Vec<IncarnationEntry> = Vec::new();
        let mut room_left = room;
        // Close enough: entries are sent in the order of the roster, and their start numbers are similar.
        let reference_start =
            self.incarnations.iter().map(|incarnation| incarnation.start).max().unwrap_or(0);
        let mut add =
            |out: &mut Vec<IncarnationEntry>, router: usize, incarnation: Incarnation| match room_left
                .checked_sub(wire::entry_bytes(incarnation, reference_start) + 1)
            {
                Some(rest) => {
                    room_left = rest;
                    out.push(IncarnationEntry { router: router as u16, incarnation });
                    true
                }
                None => false,
            };
        if requested_blocks.is_none() {
            let (from, count) = (random % self.recent.len().max(1), self.recent.len());
            for at in (0..count).map(|step| (from + step) % count) {
                let router = usize::from(self.recent[at]);
                if !add(&mut out, router, self.incarnations[router]) {
                    break;
                }
                self.sends_left[router] -= 1;
            }
            let sends_left = &self.sends_left;
            self.recent.retain(|router| sends_left[usize::from(*router)] > 0);
        }
        let (block_count, routers) = (self.block_count(), self.incarnations.len());
        // Continues where the last datagram ended; each router at most once.
        let mut steps = 0;
        while steps < routers {
            let router = self.next_router % routers;
            let block = router / BLOCK_ROUTERS;
            if requested_blocks.map_or(self.mismatch_score[block] >= MISMATCH_THRESHOLD, |requested_blocks| {
                requested_blocks[block]
            }) {
                let incarnation = self.incarnations[router];
                if incarnation.start > 0 && !add(&mut out, router, incarnation) {
                    break;
                }
                (self.next_router, steps) = (router + 1, steps + 1);
            } else {
                let next_block_start = (block + 1) % block_count * BLOCK_ROUTERS;
                let passed =
                    if next_block_start > router { next_block_start - router } else { routers - router };
                (self.next_router, steps) = (next_block_start, steps + passed.max(1));
            }
        }
        out.sort_unstable_by_key(|entry| entry.router);
        out.dedup_by_key(|entry| entry.router);
        out
    }
}

#[cfg(test)]
mod tests;
