//! Reading the rules file by direct system calls, because the functions of the standard library
//! would call the intercepted functions recursively.

use std::ffi::CStr;
use std::sync::atomic::{AtomicU64, Ordering};

/// The environment variable [`RULES_VARIABLE`](crate::RULES_VARIABLE) as a C string.
const VARIABLE: &CStr = c"FAULT_SHIM_RULES";
/// The maximum size of the rules file, in bytes; the rest of a longer file is ignored.
const MAX_RULES: usize = 2048;
/// The multiplier of the linear congruential generator, from Knuth's MMIX.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
/// The increment of the generator.
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// The number of low bits of the generator's state that are discarded, because their periods are
/// short.
const UNUSED_LOW_BITS: u32 = 33;

/// The state of the generator, which starts at the same value in each process.
static GENERATOR_STATE: AtomicU64 = AtomicU64::new(0);

/// The contents of the rules file, in a buffer of fixed size.
pub struct Rules {
    text: [u8; MAX_RULES],
    length: usize,
}

impl Rules {
    /// Reads the rules file. Returns `None` if the variable is not set, or the file is empty or
    /// cannot be read.
    pub fn read() -> Option<Rules> {
        // SAFETY: the name is a C string; the C library returns a C string or null.
        let path = unsafe { libc::getenv(VARIABLE.as_ptr()) };
        if path.is_null() {
            return None;
        }
        let mut rules = Rules {
            text: [0; MAX_RULES],
            length: 0,
        };
        // SAFETY: the path is a C string, and the buffer is as long as stated.
        unsafe {
            let file = libc::syscall(
                libc::SYS_openat,
                libc::AT_FDCWD,
                path,
                libc::O_RDONLY | libc::O_CLOEXEC,
            );
            if file < 0 {
                return None;
            }
            let read = libc::syscall(libc::SYS_read, file, rules.text.as_mut_ptr(), MAX_RULES);
            libc::syscall(libc::SYS_close, file);
            rules.length = usize::try_from(read).ok()?;
        }
        (rules.length > 0).then_some(rules)
    }

    /// Returns the rules as text; empty if they are not UTF-8.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.text[..self.length]).unwrap_or_default()
    }
}

/// Returns a pseudo-random number from 0 to 99. Each process gets the same sequence.
pub fn random_percent() -> u32 {
    let next = |state: u64| Some(state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT));
    let state = GENERATOR_STATE
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
        .unwrap_or_default();
    ((state >> UNUSED_LOW_BITS) % 100) as u32
}
