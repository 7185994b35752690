//! What an error of a system call says, and of whom (Linux man pages, section 2, and socket(7), tcp(7)).

use rustix::io::Errno;
use std::io;

/// What is to be concluded from an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorClass {
    /// A signal came in between: the call is made again at once, or goes on by itself.
    Interrupted,
    /// Nothing can be done before the next readiness.
    WouldBlock,
    /// This machine lacks something for a moment: descriptors, memory, ports, buffers. The call is made again shortly, and
    /// nothing is said of a peer.
    Shortage,
    /// No way leads there just now.
    Unreachable,
    /// The peer, or the connection to it, is at fault.
    Peer,
}

/// Reads an error.
pub(crate) fn classify(error: &io::Error) -> ErrorClass {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => ErrorClass::Interrupted,
        Some(Errno::AGAIN) => ErrorClass::WouldBlock,
        // EADDRNOTAVAIL and EADDRINUSE are connect's for want of a local port; ENOSPC epoll_ctl's for too many watches.
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

/// Whether a file's call failed in a way that may pass: the disk is full or in trouble, or this machine lacks something.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    let of_the_disk = matches!(Errno::from_io_error(error), Some(Errno::IO | Errno::DQUOT));
    of_the_disk
        || matches!(classify(error), ErrorClass::Interrupted | ErrorClass::WouldBlock | ErrorClass::Shortage)
}

#[cfg(test)]
mod tests;
