//! Memory of the process: what it is used for, and what the allocator and the operating system say of it.
//! Performs no I/O but for [`measure`].

pub mod measure;

use std::fmt;

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
