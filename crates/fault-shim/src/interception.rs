//! Deciding by the rules what happens to an intercepted call.

use std::ffi::CStr;
use std::time::Duration;

use libc::{c_char, c_long, size_t, ssize_t};

use crate::rules::{effect, Call, Effect, DELAY_MS};
use crate::rules_file::{random_percent, Rules};

/// The result of a call that has failed.
pub const FAILED: c_long = -1;

/// What happens to a call.
pub enum Decision {
    /// It passes unchanged.
    Pass,
    /// It passes, but transfers one byte at most.
    PassOneByte,
    /// It fails; the error is set.
    Fail,
}

/// Applies the rules to a call, and delays it if they say so.
pub fn decide(call: Call) -> Decision {
    decide_for_path(call, "")
}

/// Applies the rules to a call that names a path, and delays it if they say so.
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
            // SAFETY: the C library's own variable of this thread.
            unsafe { *libc::__errno_location() = error };
            Decision::Fail
        }
    }
}

/// A path as text; empty if it is not UTF-8.
///
/// # Safety
/// The path is a C string.
pub unsafe fn path_text<'a>(path: *const c_char) -> &'a str {
    CStr::from_ptr(path).to_str().unwrap_or_default()
}

/// Calls the kernel unless the call must fail.
pub fn fail_or_call(call: Call, kernel_call: impl FnOnce() -> c_long) -> c_long {
    match decide(call) {
        Decision::Fail => FAILED,
        Decision::Pass | Decision::PassOneByte => kernel_call(),
    }
}

/// Transfers as many bytes as the rules allow, unless the call must fail.
pub fn transfer(call: Call, length: size_t, kernel_call: impl FnOnce(size_t) -> c_long) -> ssize_t {
    let result = match decide(call) {
        Decision::Fail => FAILED,
        Decision::Pass => kernel_call(length),
        Decision::PassOneByte => kernel_call(length.min(1)),
    };
    result as ssize_t
}
