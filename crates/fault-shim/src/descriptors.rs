//! Interception of the C library's functions that read and write either sockets or files.

use libc::{c_int, c_void, iovec, size_t, ssize_t};

use crate::interception::{decide, transfer, Decision, FAILED};
use crate::rules::Call;

/// Returns the file type of a descriptor, in the mode bits of `stat`; `None` if `fstat` fails.
fn file_type(descriptor: c_int) -> Option<u32> {
    // SAFETY: the structure is plain data, and the kernel fills it in or fails.
    unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        let result = libc::syscall(libc::SYS_fstat, descriptor, &raw mut status);
        (result == 0).then_some(status.st_mode & libc::S_IFMT)
    }
}

/// Returns `socket` or `file`, depending on the type of the descriptor; `None` if it is neither a
/// socket nor a regular file, so that no rule applies.
fn call_by_type(descriptor: c_int, socket: Call, file: Call) -> Option<Call> {
    match file_type(descriptor)? {
        libc::S_IFSOCK => Some(socket),
        libc::S_IFREG => Some(file),
        _ => None,
    }
}

/// Replaces `read(2)`.
///
/// # Safety
/// As for `read(2)`.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    let kernel_call = |length: size_t| libc::syscall(libc::SYS_read, descriptor, buffer, length);
    match call_by_type(descriptor, Call::Receive, Call::FileRead) {
        Some(call) => transfer(call, length, kernel_call),
        None => kernel_call(length) as ssize_t,
    }
}

/// Replaces `write(2)`.
///
/// # Safety
/// As for `write(2)`.
#[no_mangle]
pub unsafe extern "C" fn write(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
) -> ssize_t {
    let kernel_call = |length: size_t| libc::syscall(libc::SYS_write, descriptor, buffer, length);
    match call_by_type(descriptor, Call::Send, Call::FileWrite) {
        Some(call) => transfer(call, length, kernel_call),
        None => kernel_call(length) as ssize_t,
    }
}

/// Replaces `writev(2)`. A short call transfers one byte of the first buffer.
///
/// # Safety
/// As for `writev(2)`.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let Some(call) = call_by_type(descriptor, Call::Send, Call::FileWrite) else {
        return libc::syscall(libc::SYS_writev, descriptor, buffers, count) as ssize_t;
    };
    match decide(call) {
        Decision::Fail => FAILED as ssize_t,
        Decision::PassOneByte if count > 0 => libc::syscall(
            libc::SYS_write,
            descriptor,
            (*buffers).iov_base,
            (*buffers).iov_len.min(1),
        ) as ssize_t,
        _ => libc::syscall(libc::SYS_writev, descriptor, buffers, count) as ssize_t,
    }
}
