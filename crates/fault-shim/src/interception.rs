//! Application of the rules to an intercepted call.

use std::ffi::CStr;
use std::time::Duration;

use libc::{c_char, c_long, size_t, ssize_t};

use crate::rules::{effect, Call, Effect, DELAY_MS};
use crate::rules_file::{random_percent, Rules};

/// The value that a failed call returns.
pub const FAILED: c_long = -1;

/// How an intercepted call proceeds.
pub enum Decision {
    /// The call passes unchanged.
    Pass,
    /// The call passes, but transfers at most one byte.
    PassOneByte,
    /// The call fails; `errno` is already set.
    Fail,
}

/// Applies the rules to a call that names no path, and delays it if a rule says so.
pub fn decide(call: Call) -> Decision {
    decide_for_path(call, "")
}

/// Applies the rules to a call that names a path, and delays it if a rule says so.
pub fn decide_for_path(call: Call, path: &str) -> Decision {
    let Some(rules) = Rules::read() else {
        return Decision::Pass;
    };
    match effect(rules.text(), call, path, random_percent()) {
        None => Decision::Pass,
        Some(Effect::Short) => Decision::PassOneByte,
        Some(Effect::Delay) => {
            std::thread::sleep(Duration::from_millis(DELAY_MS));
            Decision::Pass
        }
        Some(Effect::Fail(error)) => {
            // SAFETY: the C library returns a valid pointer to the `errno` of this thread.
            unsafe { *libc::__errno_location() = error };
            Decision::Fail
        }
    }
}

/// Returns a path as text; empty if it is not UTF-8.
///
/// # Safety
/// The path must be a valid C string.
pub unsafe fn path_text<'a>(path: *const c_char) -> &'a str {
    CStr::from_ptr(path).to_str().unwrap_or_default()
}

/// Makes the system call unless a rule makes it fail.
pub fn fail_or_call(call: Call, kernel_call: impl FnOnce() -> c_long) -> c_long {
    match decide(call) {
        Decision::Fail => FAILED,
        Decision::Pass | Decision::PassOneByte => kernel_call(),
    }
}

/// Makes a system call that transfers bytes, unless a rule makes it fail. `length` is the number of
/// bytes that the caller requested; a rule may reduce it to one.
pub fn transfer(call: Call, length: size_t, kernel_call: impl FnOnce(size_t) -> c_long) -> ssize_t {
    let result = match decide(call) {
        Decision::Fail => FAILED,
        Decision::Pass => kernel_call(length),
        Decision::PassOneByte => kernel_call(length.min(1)),
    };
    result as ssize_t
}
