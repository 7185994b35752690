//! Draws which calls fail, and with which of the errors that their manual pages name.

use crate::plan::{Call, Plan};
use std::ffi::c_int;
use std::sync::atomic::{AtomicU64, Ordering};

/// Linux error numbers, as in `errno-base.h` and `errno.h`.
pub mod errno {
    use std::ffi::c_int;

    pub const EPERM: c_int = 1;
    pub const EINTR: c_int = 4;
    pub const EIO: c_int = 5;
    pub const EAGAIN: c_int = 11;
    pub const ENOMEM: c_int = 12;
    pub const ENFILE: c_int = 23;
    pub const EMFILE: c_int = 24;
    pub const ENOSPC: c_int = 28;
    pub const EPROTO: c_int = 71;
    pub const EADDRNOTAVAIL: c_int = 99;
    pub const ENETDOWN: c_int = 100;
    pub const ENETUNREACH: c_int = 101;
    pub const ECONNABORTED: c_int = 103;
    pub const ENOBUFS: c_int = 105;
    pub const ETIMEDOUT: c_int = 110;
    pub const EHOSTUNREACH: c_int = 113;
}
use errno::*;

/// socket(2): limits of the process, the system or memory.
const SOCKET: &[c_int] = &[EMFILE, ENFILE, ENOBUFS, ENOMEM];
/// connect(2): no local port, no route, or an interrupt after which the connect continues asynchronously.
const CONNECT: &[c_int] = &[EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, EAGAIN, EINTR];
const SETSOCKOPT: &[c_int] = &[ENOBUFS, ENOMEM];
/// epoll_ctl(2), additions only.
const EPOLL_ADD: &[c_int] = &[ENOMEM, ENOSPC];
/// accept(2), with the pending errors of the new socket that Linux passes on.
const ACCEPT: &[c_int] = &[
    ECONNABORTED,
    EINTR,
    EMFILE,
    ENFILE,
    ENOBUFS,
    ENOMEM,
    EPROTO,
    EPERM,
    ENETDOWN,
    ENETUNREACH,
    EHOSTUNREACH,
    ETIMEDOUT,
];
const READ: &[c_int] = &[EINTR, ENOMEM];
const WRITE: &[c_int] = &[EINTR, ENOBUFS, ENOMEM];
/// Errors of a broken connection, which don't tell what the peer has read.
const SEVER: &[c_int] = &[ETIMEDOUT, EHOSTUNREACH];
/// write(2), fsync(2), rename(2) and open(2) of regular files.
const DISK: &[c_int] = &[ENOSPC, EIO];

/// Returns a random number from the plan's seed (SplitMix64, as published by Steele, Lea and Flood).
fn draw() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let step = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let mut mixed = step ^ Plan::get().seed.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns true with this probability.
pub fn happens(share: f64) -> bool {
    share > 0.0 && (draw() as f64) < share * u64::MAX as f64
}

fn one_of(errors: &[c_int]) -> c_int {
    errors[(draw() % errors.len() as u64) as usize]
}

/// Returns the error with which this call is to fail, if it is.
pub fn syscall(call: Call) -> Option<c_int> {
    let errors = match call {
        Call::Socket => SOCKET,
        Call::Connect => CONNECT,
        Call::SetSockOpt => SETSOCKOPT,
        Call::EpollAdd => EPOLL_ADD,
        Call::Accept => ACCEPT,
        Call::Read => READ,
        Call::Write => WRITE,
        Call::Sever => SEVER,
    };
    happens(Plan::get().share_of(call)).then(|| one_of(errors))
}

/// Returns the error with which a call on a regular file is to fail, if it is.
pub fn disk() -> Option<c_int> {
    happens(Plan::get().disk_share).then(|| one_of(DISK))
}

/// Returns a reduced number of bytes if this read or write is to be a short one.
pub fn short(share: f64, bytes: usize) -> Option<usize> {
    (bytes > 1 && happens(share)).then(|| 1 + (draw() % (bytes as u64 - 1)) as usize)
}
