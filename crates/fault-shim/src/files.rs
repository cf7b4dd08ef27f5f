//! Interception of the C library's file functions.

use libc::{c_char, c_int, c_uint, mode_t};

use crate::interception::{decide_for_path, fail_or_call, path_text, Decision, FAILED};
use crate::rules::Call;

/// Replaces `open(2)`.
///
/// # Safety
/// As for `open(2)`.
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    match decide_for_path(Call::Open, path_text(path)) {
        Decision::Fail => FAILED as c_int,
        _ => libc::syscall(
            libc::SYS_openat,
            libc::AT_FDCWD,
            path,
            flags,
            mode as c_uint,
        ) as c_int,
    }
}

/// Replaces `open(2)`.
///
/// # Safety
/// As for `open(2)`.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    open(path, flags, mode)
}

/// Replaces `fsync(2)`.
///
/// # Safety
/// As for `fsync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    fail_or_call(Call::Sync, || libc::syscall(libc::SYS_fsync, descriptor)) as c_int
}

/// Replaces `fdatasync(2)`.
///
/// # Safety
/// As for `fdatasync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    fail_or_call(Call::Sync, || {
        libc::syscall(libc::SYS_fdatasync, descriptor)
    }) as c_int
}

/// Replaces `rename(2)`.
///
/// # Safety
/// As for `rename(2)`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let directory = libc::AT_FDCWD;
    match decide_for_path(Call::Rename, path_text(to)) {
        Decision::Fail => FAILED as c_int,
        _ => libc::syscall(libc::SYS_renameat2, directory, from, directory, to, 0) as c_int,
    }
}

/// Replaces `flock(2)`.
///
/// # Safety
/// As for `flock(2)`.
#[no_mangle]
pub unsafe extern "C" fn flock(descriptor: c_int, operation: c_int) -> c_int {
    fail_or_call(Call::Lock, || {
        libc::syscall(libc::SYS_flock, descriptor, operation)
    }) as c_int
}
