//! Datagrams of a large fleet: one kind of packet for all purposes.

use super::ballots::BallotTerms;
use super::encoding::{EncodedSet, EpochLags};
use crate::fleet::wire::{open, seal, RejectReason, EPOCHS_MAGIC, HEADER_BYTES, MAX_DATAGRAM_BYTES};
use serde::{Deserialize, Serialize};

/// The status of an incarnation. A later one in this order replaces an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum IncarnationStatus {
    /// Nothing is known against it.
    #[default]
    Present,
    /// Some router has voted it failed: no liveness ballot that is opened from now on lists it.
    Doubted,
    /// So many routers have voted it failed that it has no majority.
    Gone,
    /// It has announced that it ends.
    Left,
}

/// An incarnation of a router: a start, and a term of it. Later ones replace earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The start number; 0: never heard of.
    pub start: u64,
    /// The term; see [`Report::term`](crate::fleet::wire::Report::term).
    pub term: u32,
    /// The status.
    pub status: IncarnationStatus,
}

/// A router's incarnation, by its index in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncarnationEntry {
    /// The index.
    pub router: u16,
    /// The incarnation.
    pub incarnation: Incarnation,
}

/// Encoded incarnations, each by how its index and its start differ from the one before: most routers of a
/// fleet have started at about the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedIncarnations(Vec<(u16, i64, u32)>);

impl EncodedIncarnations {
    /// Encodes entries relative to the sender's own start.
    pub fn of(own: Incarnation, mut entries: Vec<IncarnationEntry>) -> Self {
        entries.sort_unstable_by_key(|entry| entry.router);
        let (mut index, mut start) = (0u16, own.start);
        let mut encode_entry = |entry: IncarnationEntry| {
            let incarnation = entry.incarnation;
            let encoded = (
                entry.router.wrapping_sub(index),
                incarnation.start.wrapping_sub(start) as i64,
                incarnation.term.min(u32::MAX / 4) * 4 + incarnation.status as u32,
            );
            (index, start) = (entry.router, incarnation.start);
            encoded
        };
        Self(entries.into_iter().map(&mut encode_entry).collect())
    }

    /// Decodes the entries.
    pub fn decode(&self, own: Incarnation) -> Vec<IncarnationEntry> {
        let (mut index, mut start) = (0u16, own.start);
        let mut decode_entry = |(router, delta, rest): &(u16, i64, u32)| {
            (index, start) = (index.wrapping_add(*router), start.wrapping_add(*delta as u64));
            let status = [
                IncarnationStatus::Present,
                IncarnationStatus::Doubted,
                IncarnationStatus::Gone,
                IncarnationStatus::Left,
            ][(rest % 4) as usize];
            IncarnationEntry { router: index, incarnation: Incarnation { start, term: rest / 4, status } }
        };
        self.0.iter().map(&mut decode_entry).collect()
    }
}

/// What signing a ballot states about its members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BallotKind {
    /// The signer has heard of them in the ballot's epoch or later.
    Liveness,
    /// The signer votes these incarnations failed and never confirms them again.
    Failure,
}

/// A ballot in a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BallotMessage {
    /// What signing it states.
    pub kind: BallotKind,
    /// The epoch in which it was opened.
    pub epoch: u32,
    /// All members have been heard of in this epoch or later.
    pub since_epoch: u32,
    /// The index of the router that opened it.
    pub opened_by: u16,
    /// A digest of the start numbers of the members.
    pub start_digest: u64,
    /// The terms that are voted failed.
    pub terms: BallotTerms,
    /// The routers that it is about.
    pub members: EncodedSet,
    /// Members for which some signers could not confirm it.
    pub exceptions: EncodedSet,
    /// The routers that have signed it.
    pub signers: EncodedSet,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// A hash of the sender's roster: indexes are valid only for the same roster.
    pub roster_hash: u32,
    /// The index of the sender.
    pub from: u16,
    /// The index of the receiver.
    pub to: u16,
    /// The epoch that the sender is in.
    pub epoch: u32,
    /// The sender requests a reply, because a router is missing.
    pub requests_reply: bool,
    /// How many epochs ago the sender last heard of each router.
    pub lags: EpochLags,
    /// Digests of the sender's table: of the starts, four bytes for each block of the roster, then of terms
    /// and statuses, two bytes for each block, then the number of known starts, one byte for each block.
    pub block_digests: Vec<u8>,
    /// Ballots.
    pub ballots: Vec<BallotMessage>,
    /// The sender's own incarnation.
    pub own: Incarnation,
    /// Incarnations of other routers.
    pub incarnations: EncodedIncarnations,
}

/// Maximum number of ballots in a datagram.
const MAX_BALLOTS: usize = 8;

/// Returns the size of an encoded ballot in bytes.
pub fn ballot_bytes(message: &BallotMessage) -> usize {
    postcard::to_stdvec(message).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// Returns the bytes left for incarnations in a datagram of at most `max_bytes`.
pub fn incarnation_room(packet: &Packet, max_bytes: usize) -> usize {
    let used_bytes = postcard::to_stdvec(packet).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
    max_bytes.min(MAX_DATAGRAM_BYTES).saturating_sub(HEADER_BYTES + used_bytes + 2)
}

/// Returns the maximum size of an encoded entry in bytes, if the entry before it has the start
/// `previous_start`.
pub fn entry_bytes(incarnation: Incarnation, previous_start: u64) -> usize {
    let delta = incarnation.start.wrapping_sub(previous_start) as i64;
    let zigzag = ((delta << 1) ^ (delta >> 63)) as u64;
    let bytes = |value: u64| (64 - value.max(1).leading_zeros() as usize).div_ceil(7);
    2 + bytes(zigzag) + bytes(u64::from(incarnation.term) * 4 + 3)
}

/// Encodes a datagram.
pub fn encode(fleet: &str, packet: &Packet) -> Vec<u8> {
    // Serializing to memory can't fail here.
    seal(EPOCHS_MAGIC, fleet, &postcard::to_stdvec(packet).unwrap_or_default())
}

/// Decodes a datagram of this fleet.
pub fn decode(fleet: &str, bytes: &[u8]) -> Result<Packet, RejectReason> {
    let body = open(EPOCHS_MAGIC, fleet, bytes)?;
    let (packet, _later): (Packet, _) = postcard::take_from_bytes(body).map_err(|_| RejectReason::Corrupt)?;
    if packet.ballots.len() > MAX_BALLOTS || packet.own.start == 0 {
        return Err(RejectReason::Corrupt);
    }
    Ok(packet)
}

#[cfg(test)]
mod tests;
