//! A fault-injection library that is preloaded (`LD_PRELOAD`) into a daemon under test. It makes system
//! calls fail in ways that Linux documents, and the wall clock step. The laboratory's build script compiles
//! it; nothing links against it.
//!
//! `FROSTTURN_SHIMS` configures the faults, with settings separated by spaces; without it every call passes
//! through unchanged:
//!
//! - `seed=N`: seed of the random faults.
//! - `syscalls=SHARE:NAME,NAME`: this share of each named call fails. Names: `socket`, `connect`,
//!   `setsockopt`, `epoll_ctl` (additions), `accept`, `read`, `write` (with short reads and writes), `sever`
//!   (an established connection breaks during a read or write), or `all` for each of them but `sever`.
//! - `disk=SHARE`: this share of writes, syncs, renames and creations of regular files fails; some writes
//!   are short.
//! - `clock=MS@BOOT_MS,…`: from this time of `CLOCK_BOOTTIME` on the wall clock is ahead by this many
//!   milliseconds.
//!
//! Each exported function has the signature of the C library's function of the same name (POSIX.1-2017,
//! Linux man pages, section 2) and either fails or calls that function.

mod faults;
mod libc_calls;
mod plan;
