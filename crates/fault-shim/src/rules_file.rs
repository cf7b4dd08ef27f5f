//! Reads the rules, by system calls alone: the functions of the standard library would come back
//! here.

use std::ffi::CStr;
use std::sync::atomic::{AtomicU64, Ordering};

/// The environment variable, as the C library takes it.
const VARIABLE: &CStr = c"FAULT_SHIM_RULES";
/// The longest file of rules, in bytes.
const MAX_RULES: usize = 2048;
/// Multiplier and increment of the generator of draws.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// Bits of the generator's state that are skipped, as the lower ones repeat soon.
const SKIPPED_BITS: u32 = 33;

static STATE: AtomicU64 = AtomicU64::new(0);

/// The text of the rules, where there are any.
pub struct Rules {
    text: [u8; MAX_RULES],
    length: usize,
}

impl Rules {
    /// Reads the rules in force.
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
        // SAFETY: the path is a C string, and the buffer is as long as is told.
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

    /// The rules as text.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.text[..self.length]).unwrap_or_default()
    }
}

/// A number from 0 to 99. The numbers of a process are the same in each run, call by call.
pub fn draw() -> u32 {
    let next = |state: u64| Some(state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT));
    let state = STATE
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
        .unwrap_or_default();
    ((state >> SKIPPED_BITS) % 100) as u32
}
