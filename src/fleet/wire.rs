//! Datagrams between routers: `postcard` behind a head with the version, the fleet and a checksum.
//!
//! A datagram with anything wrong is refused with its reason and changes nothing. A later version adds fields at the end of
//! [`Packet`]; what follows the fields known here is passed over, so that versions n and n+1 understand each other.

use super::settings::RouterId;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// Bytes of one datagram, at most: it passes any net unsplit.
pub const MAX_DATAGRAM: usize = 1200;
/// Fill of a datagram that takes rows of others along.
const RELAYED: usize = 800;
/// What is behind a head: rows, or a word of a roll call.
pub(super) const ROWS: [u8; 2] = *b"ff";
/// See [`ROWS`].
pub(super) const ROLLS: [u8; 2] = *b"fr";
const VERSION: u8 = 1;
/// Magic, version, fleet and checksum.
pub(super) const HEAD: usize = 2 + 1 + 4 + 8;
/// Of rows and of words in a row: a datagram has no room for more.
const MOST_ROWS: usize = 64;

/// What a router says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuorumStatus {
    /// It has not had a majority since its start.
    #[default]
    Joining,
    /// A majority answers it.
    Majority,
    /// No majority answers it.
    CutOff,
    /// It ends.
    Left,
}

/// What one router has heard of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The other one.
    pub of: RouterId,
    /// A short form of its start, see [`tag`]; 0: never heard.
    pub tag: u16,
    /// Its latest beat, by its own clock: what this answers.
    pub beat: u32,
    /// Terms of it up to this one are not answered any more.
    pub refused: u32,
    /// Terms of it up to this one were given up for silence; those are refused, too.
    pub voted: u32,
    /// It is silent here now.
    pub suspect: bool,
    /// Its own datagrams come here.
    pub direct: bool,
}

/// A router's own words: which start of it speaks, how far its clock is, and whom it has heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Whose.
    pub who: RouterId,
    /// Its start: greater is later.
    pub start: u64,
    /// The term that it is in or wants.
    pub term: u32,
    /// Its clock since its start, in units of 10 ms.
    pub beat: u32,
    /// How long ago the one that sends this has heard it, in ms.
    pub age: u16,
    /// What it says of itself.
    pub says: QuorumStatus,
    /// Everybody else.
    pub heard: Vec<Heard>,
}

/// Who has given up a term of a router, as far as the sender knows: whoever did never answers it again, so that such words can
/// be passed on, and joined, at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GivenUp {
    /// The router that is given up.
    pub of: RouterId,
    /// A short form of its start; never 0.
    pub tag: u16,
    /// Its term.
    pub term: u32,
    /// By whom: a bit for each router of the roster, by the order of their ids.
    pub by: u64,
}

/// A datagram: the sender's row, then rows of others that the receiver may not have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Whom it is for.
    pub to: RouterId,
    /// The latest start of that one which the sender knows; 0: none.
    pub to_start: u64,
    /// A hash of the sender's roster: what is told by places in it counts only where that is the same.
    pub roster: u32,
    /// The rows.
    pub rows: Vec<Row>,
    /// Who has given up whom.
    pub given_up: Vec<GivenUp>,
}

/// Why a datagram is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Longer than one can be, or shorter.
    Length,
    /// Of another kind, another version or another fleet.
    Foreign,
    /// Cut short or changed.
    Torn,
    /// Not for this router, or of one that the file doesn't name.
    Stranger,
    /// Of an earlier start, or heard before.
    Stale,
}

/// A short form of a start, never 0.
pub fn tag(start: u64) -> u16 {
    match start {
        0 => 0,
        _ => (XxHash64::oneshot(1, &start.to_le_bytes()) as u16).max(1),
    }
}

fn fleet_tag(fleet: &str) -> [u8; 4] {
    (XxHash64::oneshot(2, fleet.as_bytes()) as u32).to_le_bytes()
}

/// A datagram's bytes, and how many of the others' rows found room: the first ones. What the packet itself holds always has.
pub fn write(fleet: &str, mut packet: Packet, others: impl Iterator<Item = Row>) -> (Vec<u8>, usize) {
    let bytes = |packet: &Packet| postcard::to_stdvec(packet).unwrap_or_default(); // Into memory nothing of this can fail.
    let size = |row: &Row| postcard::to_stdvec(row).map_or(MAX_DATAGRAM, |bytes| bytes.len());
    let own = packet.rows.len();
    let mut room = RELAYED.saturating_sub(HEAD + bytes(&packet).len() + 2);
    for row in others {
        match room.checked_sub(size(&row)) {
            Some(left) if packet.rows.len() < MOST_ROWS => room = left,
            _ => break,
        }
        packet.rows.push(row);
    }
    (seal(ROWS, fleet, &bytes(&packet)), packet.rows.len() - own)
}

/// A datagram's bytes: its head, then what it holds.
pub(super) fn seal(kind: [u8; 2], fleet: &str, body: &[u8]) -> Vec<u8> {
    let sum = XxHash64::oneshot(u64::from(VERSION), body);
    [&kind[..], &[VERSION], &fleet_tag(fleet), &sum.to_le_bytes(), body].concat()
}

/// What a datagram of this fleet holds.
pub(super) fn open<'a>(kind: [u8; 2], fleet: &str, bytes: &'a [u8]) -> Result<&'a [u8], RejectReason> {
    if bytes.len() < HEAD || bytes.len() > MAX_DATAGRAM {
        return Err(RejectReason::Length);
    }
    let (head, body) = bytes.split_at(HEAD);
    let version = head[2];
    if head[..2] != kind || version < VERSION || head[3..7] != fleet_tag(fleet) {
        return Err(RejectReason::Foreign);
    }
    if head[7..] != XxHash64::oneshot(u64::from(version), body).to_le_bytes() {
        return Err(RejectReason::Torn);
    }
    Ok(body)
}

/// Reads a datagram of this fleet.
pub fn read(fleet: &str, bytes: &[u8]) -> Result<Packet, RejectReason> {
    let body = open(ROWS, fleet, bytes)?;
    let (packet, _later): (Packet, _) = postcard::take_from_bytes(body).map_err(|_| RejectReason::Torn)?;
    let fits = |row: &Row| row.heard.len() <= MOST_ROWS;
    if packet.rows.is_empty()
        || packet.rows.len() > MOST_ROWS
        || packet.given_up.len() > MOST_ROWS
        || !packet.rows.iter().all(fits)
    {
        return Err(RejectReason::Torn);
    }
    Ok(packet)
}

#[cfg(test)]
mod tests;
