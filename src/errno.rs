//! Classes of system call errors (Linux man pages, section 2, and socket(7), tcp(7)).

use rustix::io::Errno;
use std::io;

/// What an error means for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorClass {
    /// A signal interrupted the call: it is repeated at once, or continues by itself.
    Interrupted,
    /// The call can't proceed before the next readiness event.
    WouldBlock,
    /// This machine lacks descriptors, memory, ports or buffers for a moment. The call is repeated shortly,
    /// and nothing is concluded about the peer.
    Shortage,
    /// No route leads to the peer now.
    Unreachable,
    /// The peer, or the connection to it, is at fault.
    Peer,
}

/// Classifies an error.
pub(crate) fn classify(error: &io::Error) -> ErrorClass {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => ErrorClass::Interrupted,
        Some(Errno::AGAIN) => ErrorClass::WouldBlock,
        // EADDRNOTAVAIL and EADDRINUSE: connect found no local port. ENOSPC: epoll_ctl reached the limit of
        // watches.
        Some(
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOMEM
            | Errno::NOBUFS
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE
            | Errno::NOSPC,
        ) => ErrorClass::Shortage,
        Some(Errno::NETUNREACH | Errno::HOSTUNREACH | Errno::NETDOWN | Errno::HOSTDOWN) => {
            ErrorClass::Unreachable
        }
        Some(_) | None => ErrorClass::Peer,
    }
}

/// Returns whether a failed file operation may succeed later: the disk is full or faulty, or this machine
/// lacks a resource.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    let disk_fault = matches!(Errno::from_io_error(error), Some(Errno::IO | Errno::DQUOT));
    disk_fault
        || matches!(classify(error), ErrorClass::Interrupted | ErrorClass::WouldBlock | ErrorClass::Shortage)
}

#[cfg(test)]
mod tests;
