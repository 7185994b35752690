//! What the allocator and the operating system say of the memory in use.

use cap::Cap;
use std::alloc::System;

/// The system's allocator, which counts what is allocated. It sets no limit: a failed allocation would end the
/// process.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the number of allocated bytes, without what the allocator keeps for itself.
pub fn allocated_bytes() -> usize {
    ALLOCATOR.allocated()
}

/// Returns the size of the resident set in bytes, the pages of the program included; 0 where the system doesn't
/// tell.
pub fn resident_bytes() -> usize {
    memory_stats::memory_stats().map_or(0, |stats| stats.physical_mem)
}
