//! Claims of request ids, by which two processes of one router that run side by side agree which of them runs a
//! request: a file to which both append, read in order. The first claim of an id counts.
//!
//! Owns the format of the file; [`crate::runtime`] does the file I/O.

use crate::reducer::ClientId;

/// Size of one claim in the file, in bytes.
pub const CLAIM_BYTES: usize = 16;
/// Maximum size of the file in bytes, about 65,000 claims. Beyond it ids are not claimed any more.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// A process's claim of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The number of the process.
    pub process: u64,
    /// The id of a client's request.
    pub id: ClientId,
}

impl Claim {
    /// Encodes the claim as it is appended to the file.
    pub fn encode(self) -> [u8; CLAIM_BYTES] {
        let mut out = [0; CLAIM_BYTES];
        let (process, id) = out.split_at_mut(CLAIM_BYTES / 2);
        process.copy_from_slice(&self.process.to_le_bytes());
        id.copy_from_slice(&self.id.to_le_bytes());
        out
    }

    /// Decodes the claims in a part of the file that begins with one. An incomplete one at the end is left out.
    pub fn decode_all(bytes: &[u8]) -> impl Iterator<Item = Self> + '_ {
        let (claims, _) = bytes.as_chunks::<CLAIM_BYTES>();
        claims.iter().map(|claim| {
            let number =
                |part: &[u8]| part.iter().rev().fold(0, |number, byte| number << 8 | u64::from(*byte));
            let (process, id) = claim.split_at(CLAIM_BYTES / 2);
            Self { process: number(process), id: number(id) }
        })
    }
}

/// The result of claiming an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request is this process's.
    Own,
    /// Another process has claimed the id before.
    Taken,
}

/// Returns to whom an id belongs by the claims that were read, and the ids of other processes among them.
pub fn resolve(claims: &[Claim], own: Claim) -> (ClaimResult, Vec<ClientId>) {
    let first = claims.iter().find(|claim| claim.id == own.id);
    let result = match first {
        Some(first) if first.process != own.process => ClaimResult::Taken,
        Some(_) | None => ClaimResult::Own,
    };
    let foreign = claims.iter().filter(|claim| claim.process != own.process);
    let foreign = foreign.filter(|claim| claim.id != own.id || result == ClaimResult::Taken);
    (result, foreign.map(|claim| claim.id).collect())
}

#[cfg(test)]
mod tests;
