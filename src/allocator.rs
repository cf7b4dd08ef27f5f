//! Settings of the memory allocator.

use nix::libc;

use crate::limits::MAX_BUFFERED_BODY_BYTES;
use crate::telemetry::log::log;

/// Size in bytes from which a block gets a memory mapping of its own. Bodies of the usual sizes are
/// smaller, so that they cost no system calls.
const MAPPED_BLOCK_BYTES: libc::c_int = 2 * MAX_BUFFERED_BODY_BYTES as libc::c_int;

/// Has the allocator return each block of [`MAPPED_BLOCK_BYTES`] or more to the system as soon as it
/// is freed. By default, the allocator raises that size to the size of the largest block that was
/// freed, up to 32 MiB: long bodies then share a heap whose free parts stay resident, and a body
/// that grows there is copied.
pub fn return_large_blocks_when_freed() {
    // SAFETY: `mallopt` takes two integers and changes only parameters of the allocator.
    let is_set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES) };
    if is_set == 0 {
        log!("allocator: large blocks may stay resident: the setting was rejected");
    }
}
