//! Which life of each router is known, and which of it is still to be told.

use super::wire::{self, Entry, Life, Mark};
use crate::api::Millis;
use fixedbitset::FixedBitSet;
use twox_hash::XxHash64;

/// Routers in a block, for each of which two routers compare what they know.
pub const BLOCK: usize = 64;
/// Datagrams that take a new life along, of each router that learns it.
const TELLS: u8 = 5;
/// What a datagram adds whose sender knew other starts of a block, or only other terms, and what one takes away whose sender
/// knew the same; from so much on the whole block is told.
const OTHER_STARTS: u8 = 4;
const OTHER_REST: u8 = 1;
const MIXED: u8 = 16;
/// Bytes of a block's digests: of the starts, of the rest, and how many starts are known.
const DIGEST: usize = 4 + 2 + 1;

/// What has been learned of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// A start that wasn't known.
    Start,
    /// A later term of the same start.
    Term,
    /// Something said of the same life.
    Mark,
}

/// The lives of all routers of the roster, bounded by it.
#[derive(Clone, Debug)]
pub struct Book {
    lives: Vec<Life>,
    /// When each start was learned, by this router's clock.
    start_at: Vec<Millis>,
    /// A hash of place and start.
    hashes: Vec<u64>,
    starts: Vec<u32>,
    rest: Vec<u16>,
    known: Vec<u8>,
    tells: Vec<u8>,
    fresh: Vec<u16>,
    mixed: Vec<u8>,
    /// Where the telling of blocks goes on.
    next: usize,
}

fn hash(of: usize, parts: [u64; 2]) -> u64 {
    let bytes: Vec<u8> = [of as u64, parts[0], parts[1]].iter().flat_map(|part| part.to_le_bytes()).collect();
    XxHash64::oneshot(7, &bytes)
}

impl Book {
    /// Of so many routers nothing is known.
    pub fn new(routers: usize, now: Millis) -> Self {
        let blocks = routers.div_ceil(BLOCK);
        Self {
            lives: vec![Life::default(); routers],
            start_at: vec![now; routers],
            hashes: (0..routers).map(|of| hash(of, [0, u64::MAX])).collect(),
            starts: vec![0; blocks],
            rest: vec![0; blocks],
            known: vec![0; blocks],
            tells: vec![0; routers],
            fresh: Vec::new(),
            mixed: vec![0; blocks],
            next: 0,
        }
    }

    /// The life that is known of one.
    pub fn life(&self, of: usize) -> Life {
        self.lives[of]
    }

    /// When its start was learned.
    pub fn start_at(&self, of: usize) -> Millis {
        self.start_at[of]
    }

    /// How many blocks there are.
    pub fn blocks(&self) -> usize {
        self.starts.len()
    }

    /// A life: what is not later than what is known changes nothing.
    pub fn learn(&mut self, of: usize, life: Life, now: Millis) -> Option<Learned> {
        let known = self.lives[of];
        if life <= known {
            return None;
        }
        let block = of / BLOCK;
        let digest = |life: Life| {
            let start = hash(of, [life.start, 1]) as u32;
            let rest = hash(of, [u64::from(life.term), 2 + life.mark as u64]) as u16;
            (start, rest)
        };
        for (start, rest) in [digest(known), digest(life)] {
            self.starts[block] ^= start;
            self.rest[block] ^= rest;
        }
        self.known[block] += u8::from(known.start == 0);
        self.lives[of] = life;
        self.hashes[of] = hash(of, [life.start, u64::MAX]);
        if self.tells[of] == 0 {
            self.fresh.push(of as u16);
        }
        self.tells[of] = TELLS;
        Some(if life.start > known.start {
            self.start_at[of] = now;
            Learned::Start
        } else if life.term > known.term {
            Learned::Term
        } else {
            Learned::Mark
        })
    }

    /// What is said of a life that is known.
    pub fn mark(&mut self, of: usize, mark: Mark, now: Millis) -> bool {
        let life = Life { mark, ..self.lives[of] };
        self.learn(of, life, now).is_some()
    }

    /// Of the starts of all in a set: alike only where all of these are known alike.
    pub fn digest(&self, set: &FixedBitSet) -> u64 {
        set.ones().fold(0, |digest, of| digest ^ self.hashes[of])
    }

    /// What a datagram says of all blocks.
    pub fn digests(&self) -> Vec<u8> {
        let starts = self.starts.iter().flat_map(|digest| digest.to_le_bytes());
        let rest = self.rest.iter().flat_map(|digest| digest.to_le_bytes());
        starts.chain(rest).chain(self.known.iter().copied()).collect()
    }

    /// Whether another router's digests show the same starts, block by block; none if they aren't of this roster. Notes where
    /// anything differs.
    pub fn compare(&mut self, digests: &[u8]) -> Option<Vec<bool>> {
        if digests.len() != DIGEST * self.blocks() {
            return None;
        }
        let same: Vec<(bool, bool)> = (0..self.blocks()).map(|block| self.same(block, digests)).collect();
        for (mixed, same) in self.mixed.iter_mut().zip(&same) {
            *mixed = match same {
                (true, true) => mixed.saturating_sub(OTHER_STARTS),
                (true, false) => (*mixed + OTHER_REST).min(2 * MIXED),
                (false, _) => (*mixed + OTHER_STARTS).min(2 * MIXED),
            };
        }
        Some(same.into_iter().map(|(start, _)| start).collect())
    }

    /// Whether a block's starts, and all of it, are as another router's digests show.
    fn same(&self, block: usize, digests: &[u8]) -> (bool, bool) {
        let (starts, rest) = digests.split_at(4 * self.blocks());
        let start = starts[4 * block..4 * block + 4] == self.starts[block].to_le_bytes();
        (start, start && rest[2 * block..2 * block + 2] == self.rest[block].to_le_bytes())
    }

    /// Blocks of which the sender of these digests is to be told: it knows fewer starts than this router, or something else
    /// than this one and most others.
    pub fn lacks(&self, digests: &[u8]) -> Vec<bool> {
        let known = &digests[6 * self.blocks()..];
        let lacks = |block: usize| match self.known[block].cmp(&known[block]) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => self.mixed[block] < MIXED && !self.same(block, digests).1,
            std::cmp::Ordering::Less => false,
        };
        (0..self.blocks()).map(lacks).collect()
    }

    /// Whether digests are of a roster of this size.
    pub fn fits(&self, digests: &[u8]) -> bool {
        digests.len() == DIGEST * self.blocks()
    }

    /// Bytes to be kept for lives, up to `most`.
    pub fn to_tell(&self, most: usize) -> usize {
        if self.mixed.iter().any(|mixed| *mixed >= MIXED) {
            return most;
        }
        most.min(10 * self.fresh.len())
    }

    /// Entries for a datagram with so many bytes left: what is fresh, then whole blocks that `wants` or that many know
    /// differently. `draw` is by chance, so that each datagram takes others along.
    pub fn entries(&mut self, room: usize, wants: Option<&[bool]>, draw: usize) -> Vec<Entry> {
        let mut out: Vec<Entry> = Vec::new();
        let mut left = room;
        // Near enough: the order in which they go is by place, the starts of which are alike.
        let near = self.lives.iter().map(|life| life.start).max().unwrap_or(0);
        let mut add = |out: &mut Vec<Entry>, of: usize, life: Life| match left
            .checked_sub(wire::cost(life, near) + 1)
        {
            Some(rest) => {
                left = rest;
                out.push(Entry { of: of as u16, life });
                true
            }
            None => false,
        };
        if wants.is_none() {
            let (from, count) = (draw % self.fresh.len().max(1), self.fresh.len());
            for at in (0..count).map(|step| (from + step) % count) {
                let of = usize::from(self.fresh[at]);
                if !add(&mut out, of, self.lives[of]) {
                    break;
                }
                self.tells[of] -= 1;
            }
            let tells = &self.tells;
            self.fresh.retain(|of| tells[usize::from(*of)] > 0);
        }
        let (blocks, routers) = (self.blocks(), self.lives.len());
        // From where the last datagram ended, on; each router once.
        let mut steps = 0;
        while steps < routers {
            let of = self.next % routers;
            let block = of / BLOCK;
            if wants.map_or(self.mixed[block] >= MIXED, |wants| wants[block]) {
                let life = self.lives[of];
                if life.start > 0 && !add(&mut out, of, life) {
                    break;
                }
                (self.next, steps) = (of + 1, steps + 1);
            } else {
                let on = (block + 1) % blocks * BLOCK;
                let passed = if on > of { on - of } else { routers - of };
                (self.next, steps) = (on, steps + passed.max(1));
            }
        }
        out.sort_unstable_by_key(|entry| entry.of);
        out.dedup_by_key(|entry| entry.of);
        out
    }
}

#[cfg(test)]
mod tests;
