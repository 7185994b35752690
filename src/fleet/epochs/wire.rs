//! What routers of a large fleet send each other: one kind of datagram, whoever sends it to whom and when.

use super::ballots::Terms;
use super::encoding::{Form, Lags};
use crate::fleet::wire::{open, seal, RejectReason, HEAD, MAX_DATAGRAM, ROLLS};
use serde::{Deserialize, Serialize};

/// What is said of a life. What comes later in this order holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Mark {
    /// Nothing.
    #[default]
    Here,
    /// Somebody has given it up: no roll that begins from now on counts it.
    Doubted,
    /// So many have given it up that it has no majority.
    Gone,
    /// It has said that it ends.
    Left,
}

/// One life of a router: a start, and a term of it. Later ones replace earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// 0: never heard of.
    pub start: u64,
    /// See [`Row::term`](crate::fleet::wire::Row::term).
    pub term: u32,
    /// What is said of it.
    pub mark: Mark,
}

/// Whose life, by its place in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The place.
    pub of: u16,
    /// The life.
    pub life: Life,
}

/// Some lives, each by how its place and its start differ from the one before: starts of one fleet are mostly of one day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lives(Vec<(u16, i64, u32)>);

impl Lives {
    /// These, after the sender's own start.
    pub fn of(own: Life, mut entries: Vec<Entry>) -> Self {
        entries.sort_unstable_by_key(|entry| entry.of);
        let (mut place, mut start) = (0u16, own.start);
        let mut told = |entry: Entry| {
            let life = entry.life;
            let row = (
                entry.of.wrapping_sub(place),
                life.start.wrapping_sub(start) as i64,
                life.term.min(u32::MAX / 4) * 4 + life.mark as u32,
            );
            (place, start) = (entry.of, life.start);
            row
        };
        Self(entries.into_iter().map(&mut told).collect())
    }

    /// What they are.
    pub fn read(&self, own: Life) -> Vec<Entry> {
        let (mut place, mut start) = (0u16, own.start);
        let mut read = |(of, by, rest): &(u16, i64, u32)| {
            (place, start) = (place.wrapping_add(*of), start.wrapping_add(*by as u64));
            let mark = [Mark::Here, Mark::Doubted, Mark::Gone, Mark::Left][(rest % 4) as usize];
            Entry { of: place, life: Life { start, term: rest / 4, mark } }
        };
        self.0.iter().map(&mut read).collect()
    }
}

/// What those who sign a roll say of the routers in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// That they have heard words of them from the roll's epoch or later.
    Heard,
    /// That they have given up these lives, and answer them no more.
    GivenUp,
}

/// A roll as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// What signing it says.
    pub kind: Kind,
    /// The epoch in which it was called.
    pub epoch: u32,
    /// Words of all in it are from this epoch or later.
    pub since: u32,
    /// Who has called it, by place.
    pub by: u16,
    /// Of the starts of all in it.
    pub digest: u64,
    /// The terms that are given up.
    pub terms: Terms,
    /// Who is in it.
    pub set: Form,
    /// Of whom some that signed could not say it.
    pub without: Form,
    /// Who has signed it.
    pub signed: Form,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// A hash of the sender's roster: places mean nothing in another one.
    pub roster: u32,
    /// Who sends it, by place.
    pub from: u16,
    /// For whom.
    pub to: u16,
    /// The epoch that the sender is in.
    pub epoch: u32,
    /// It asks for an answer: somebody is missed.
    pub asks: bool,
    /// How long ago it has heard of each, in epochs.
    pub lags: Lags,
    /// Of the starts that it knows, four bytes a block of the roster, then of the rest of the lives, two bytes a block.
    pub digests: Vec<u8>,
    /// Rolls.
    pub rolls: Vec<Told>,
    /// The sender's own life.
    pub own: Life,
    /// Lives of others.
    pub lives: Lives,
}

/// Rolls in one datagram, at most.
const MOST_ROLLS: usize = 8;

/// Bytes of a roll.
pub fn size(told: &Told) -> usize {
    postcard::to_stdvec(told).map_or(MAX_DATAGRAM, |bytes| bytes.len())
}

/// Bytes that are left for lives where a datagram may have so many.
pub fn room(packet: &Packet, most: usize) -> usize {
    let size = postcard::to_stdvec(packet).map_or(MAX_DATAGRAM, |bytes| bytes.len());
    most.min(MAX_DATAGRAM).saturating_sub(HEAD + size + 2)
}

/// Bytes that an entry takes, at most, where the one before it has that start.
pub fn cost(life: Life, before: u64) -> usize {
    let by = life.start.wrapping_sub(before) as i64;
    let zigzag = ((by << 1) ^ (by >> 63)) as u64;
    let bytes = |value: u64| (64 - value.max(1).leading_zeros() as usize).div_ceil(7);
    2 + bytes(zigzag) + bytes(u64::from(life.term) * 4 + 3)
}

/// A datagram's bytes.
pub fn write(fleet: &str, packet: &Packet) -> Vec<u8> {
    seal(ROLLS, fleet, &postcard::to_stdvec(packet).unwrap_or_default()) // Into memory nothing of this can fail.
}

/// Reads a datagram of this fleet.
pub fn read(fleet: &str, bytes: &[u8]) -> Result<Packet, RejectReason> {
    let body = open(ROLLS, fleet, bytes)?;
    let (packet, _later): (Packet, _) = postcard::take_from_bytes(body).map_err(|_| RejectReason::Torn)?;
    if packet.rolls.len() > MOST_ROLLS || packet.own.start == 0 {
        return Err(RejectReason::Torn);
    }
    Ok(packet)
}

#[cfg(test)]
mod tests;
