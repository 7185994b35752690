//! A library that is preloaded (`LD_PRELOAD`) into a daemon under test and has its system calls fail in ways that Linux
//! documents, and its wall clock step. The laboratory's build script compiles it; nothing links against it.
//!
//! `FROSTTURN_SHIMS` says what happens, words apart by spaces; without it every call goes straight through:
//!
//! - `seed=N`: draws the faults.
//! - `syscalls=SHARE:NAME,NAME`: that share of each named call fails. Names: `socket`, `connect`, `setsockopt`,
//!   `epoll_ctl` (additions), `accept`, `read`, `write` (with short reads and writes), `sever` (an established connection
//!   breaks under a read or write), or `all` for each of them but `sever`.
//! - `disk=SHARE`: that share of writes, syncs, renames and creations of regular files fails; some writes are short.
//! - `clock=MS@BOOT_MS,…`: from that time of `CLOCK_BOOTTIME` on the wall clock is so much further.
//!
//! Each function here has the signature of the C library's function of the same name (POSIX.1-2017, Linux man pages,
//! section 2) and either fails by itself or calls that one.

mod faults;
mod libc_calls;
mod plan;
