//! Memory of the process: what it is used for, and what the allocator and the operating system say of it.
//! Performs no I/O but for [`measure`].

pub mod measure;

use std::fmt;

/// Share of the limit that may be allocated. The pages of the program, and what the allocator keeps, take the rest.
const ALLOCATION_SHARE: f64 = 0.7;

/// Returns how many bytes may still be allocated under a limit of the process, whatever the accounts of the uses say.
pub fn allocation_room(limit: usize, allocated: usize) -> usize {
    ((limit as f64 * ALLOCATION_SHARE) as usize).saturating_sub(allocated)
}

/// Memory in use at one moment, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// The limit from the settings.
    pub limit: usize,
    /// The resident set, with the pages of the program; 0 where the system doesn't tell.
    pub resident: usize,
    /// What is allocated.
    pub allocated: usize,
    /// Incomplete requests of clients, and what was received and not decoded.
    pub incomplete: usize,
    /// Complete requests that are held back.
    pub held: usize,
    /// Complete requests that the reducer has not seen.
    pub queued: usize,
    /// Bodies of open requests.
    pub bodies: usize,
    /// Answers that arrive or are not sent.
    pub answers: usize,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { limit, resident, allocated, incomplete, held, queued, bodies, answers } = self;
        write!(f, "memory limit={limit} resident={resident} allocated={allocated} incomplete={incomplete}")?;
        write!(f, " held={held} queued={queued} bodies={bodies} answers={answers}")
    }
}

#[cfg(test)]
mod tests;
