//! Datagrams between routers: `postcard` behind a header with the version, the fleet and a checksum.
//!
//! An invalid datagram is rejected with a reason and changes nothing. Later versions add fields at the end of
//! [`Packet`]. Bytes after the fields known here are ignored, so that versions n and n+1 understand each
//! other.

use super::settings::RouterId;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// Maximum size of a datagram in bytes: small enough not to be fragmented on any network.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Size in bytes up to which a datagram is filled with relayed reports of others.
const RELAY_FILL_BYTES: usize = 800;
/// The kind of a datagram: reports of a small fleet, or the packet of a large one.
pub(super) const OBSERVATIONS_MAGIC: [u8; 2] = *b"ff";
/// See [`OBSERVATIONS_MAGIC`].
pub(super) const EPOCHS_MAGIC: [u8; 2] = *b"fr";
const VERSION: u8 = 1;
/// Bytes of the header: magic, version, fleet and checksum.
pub(super) const HEADER_BYTES: usize = 2 + 1 + 4 + 8;
/// Maximum number of reports, and of observations in a report: a datagram has no room for more.
const MAX_ENTRIES: usize = 64;

/// Whether a router has a quorum, as it says itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuorumStatus {
    /// It has not had a quorum since its start.
    #[default]
    Joining,
    /// A majority acknowledges it.
    Majority,
    /// It had a quorum, and no majority acknowledges it now.
    CutOff,
    /// It ends.
    Left,
}

/// What one router has heard of another one. It acknowledges that router's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The observed router.
    pub router: RouterId,
    /// A short hash of its start number, see [`start_tag()`]; 0: never heard.
    pub start_tag: u16,
    /// Its latest heartbeat, by its own clock: the one that this acknowledges.
    pub heartbeat: u32,
    /// Its terms up to this one are not acknowledged any more.
    pub refused_term: u32,
    /// Its terms up to this one were voted failed for silence. They are also refused.
    pub voted_term: u32,
    /// The observing router suspects it, or has declared it gone.
    pub suspected: bool,
    /// The observing router receives its own datagrams.
    pub direct: bool,
}

/// A router's report: which start of it reports, its clock, and whom it has heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The router that reports.
    pub reporter: RouterId,
    /// Its start number: greater is later.
    pub start: u64,
    /// The term that it is in or asks for.
    pub term: u32,
    /// Its clock since its start, in units of 10 ms.
    pub heartbeat: u32,
    /// How many ms ago the sender of the datagram heard this report.
    pub age_ms: u16,
    /// Its own quorum status.
    pub status: QuorumStatus,
    /// What it has heard of other routers.
    pub observations: Vec<Observation>,
}

/// Who has voted a term of a router failed, as far as the sender knows. A voter never acknowledges that term
/// again, so votes can be relayed and merged at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureVotes {
    /// The router that is voted failed.
    pub router: RouterId,
    /// A short hash of its start number; never 0.
    pub start_tag: u16,
    /// The term that is voted failed.
    pub term: u32,
    /// The voters: one bit for each router of the roster, in the order of their ids.
    pub voter_bits: u64,
}

/// A datagram: the sender's report, then reports of others that the receiver may not have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The receiver.
    pub to: RouterId,
    /// The receiver's latest start number that the sender knows; 0: none.
    pub to_start: u64,
    /// A hash of the sender's roster. Roster indexes in the packet are valid only if the receiver's hash is
    /// the same.
    pub roster_hash: u32,
    /// The reports, the sender's first.
    pub reports: Vec<Report>,
    /// The failure votes that the sender knows.
    pub failure_votes: Vec<FailureVotes>,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Too long or too short.
    Length,
    /// Of another kind, another version or another fleet.
    Foreign,
    /// Truncated or corrupted.
    Corrupt,
    /// Not addressed to this router, or from a router that the operator's file doesn't name.
    UnknownRouter,
    /// From an earlier start, or already received.
    Stale,
}

/// Returns a short hash of a start number, never 0.
pub fn start_tag(start: u64) -> u16 {
    match start {
        0 => 0,
        _ => (XxHash64::oneshot(1, &start.to_le_bytes()) as u16).max(1),
    }
}

fn fleet_hash(fleet: &str) -> [u8; 4] {
    (XxHash64::oneshot(2, fleet.as_bytes()) as u32).to_le_bytes()
}

/// Encodes a datagram, and returns it with the number of reports of `others` that fitted: the first ones. The
/// contents of `packet` itself are always included.
pub fn encode(fleet: &str, mut packet: Packet, others: impl Iterator<Item = Report>) -> (Vec<u8>, usize) {
    // Serializing to memory can't fail here.
    let bytes = |packet: &Packet| postcard::to_stdvec(packet).unwrap_or_default();
    let size = |report: &Report| postcard::to_stdvec(report).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
    let own = packet.reports.len();
    let mut room = RELAY_FILL_BYTES.saturating_sub(HEADER_BYTES + bytes(&packet).len() + 2);
    for report in others {
        match room.checked_sub(size(&report)) {
            Some(left) if packet.reports.len() < MAX_ENTRIES => room = left,
            _ => break,
        }
        packet.reports.push(report);
    }
    (seal(OBSERVATIONS_MAGIC, fleet, &bytes(&packet)), packet.reports.len() - own)
}

/// Puts a header in front of the body of a datagram.
pub(super) fn seal(kind: [u8; 2], fleet: &str, body: &[u8]) -> Vec<u8> {
    let sum = XxHash64::oneshot(u64::from(VERSION), body);
    [&kind[..], &[VERSION], &fleet_hash(fleet), &sum.to_le_bytes(), body].concat()
}

/// Checks the header of a datagram of this fleet and returns the body.
pub(super) fn open<'a>(kind: [u8; 2], fleet: &str, bytes: &'a [u8]) -> Result<&'a [u8], RejectReason> {
    if bytes.len() < HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(RejectReason::Length);
    }
    let (head, body) = bytes.split_at(HEADER_BYTES);
    let version = head[2];
    if head[..2] != kind || version < VERSION || head[3..7] != fleet_hash(fleet) {
        return Err(RejectReason::Foreign);
    }
    if head[7..] != XxHash64::oneshot(u64::from(version), body).to_le_bytes() {
        return Err(RejectReason::Corrupt);
    }
    Ok(body)
}

/// Decodes a datagram of this fleet.
pub fn decode(fleet: &str, bytes: &[u8]) -> Result<Packet, RejectReason> {
    let body = open(OBSERVATIONS_MAGIC, fleet, bytes)?;
    let (packet, _later): (Packet, _) = postcard::take_from_bytes(body).map_err(|_| RejectReason::Corrupt)?;
    let fits = |report: &Report| report.observations.len() <= MAX_ENTRIES;
    if packet.reports.is_empty()
        || packet.reports.len() > MAX_ENTRIES
        || packet.failure_votes.len() > MAX_ENTRIES
        || !packet.reports.iter().all(fits)
    {
        return Err(RejectReason::Corrupt);
    }
    Ok(packet)
}

#[cfg(test)]
mod tests;
