//! The functions of the C library that are replaced.

use std::ffi::CStr;
use std::time::Duration;

use libc::{
    c_char, c_int, c_long, c_uint, c_void, iovec, mode_t, size_t, sockaddr, socklen_t, ssize_t,
};

use crate::rules::{clock_offset_ms, effect, Call, Effect, DELAY_MS};
use crate::rules_file::{draw, Rules};

/// The result of a call that has failed.
const FAILED: c_long = -1;
const NANOS_PER_MILLISECOND: i64 = 1_000_000;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// Whether a call goes on, and how.
enum Verdict {
    /// It passes unchanged.
    Pass,
    /// It passes with one byte at the most.
    PassOneByte,
    /// It fails; the error is set.
    Fail,
}

fn judge(call: Call) -> Verdict {
    judge_with_path(call, "")
}

fn judge_with_path(call: Call, path: &str) -> Verdict {
    let Some(rules) = Rules::read() else {
        return Verdict::Pass;
    };
    match effect(rules.text(), call, path, draw()) {
        None => Verdict::Pass,
        Some(Effect::Short) => Verdict::PassOneByte,
        Some(Effect::Delay) => {
            std::thread::sleep(Duration::from_millis(DELAY_MS));
            Verdict::Pass
        }
        Some(Effect::Fail(error)) => {
            // SAFETY: the C library's own variable of this thread.
            unsafe { *libc::__errno_location() = error };
            Verdict::Fail
        }
    }
}

/// A path as text; empty where it is none.
///
/// # Safety
/// The path is a C string.
unsafe fn text<'a>(path: *const c_char) -> &'a str {
    CStr::from_ptr(path).to_str().unwrap_or_default()
}

/// Carries out a call unless it is to fail.
fn unless_failed(call: Call, carry_out: impl FnOnce() -> c_long) -> c_long {
    match judge(call) {
        Verdict::Fail => FAILED,
        Verdict::Pass | Verdict::PassOneByte => carry_out(),
    }
}

/// Carries out a transfer of so many bytes, or fewer, unless it is to fail.
fn transfer(call: Call, length: size_t, carry_out: impl FnOnce(size_t) -> c_long) -> ssize_t {
    let result = match judge(call) {
        Verdict::Fail => FAILED,
        Verdict::Pass => carry_out(length),
        Verdict::PassOneByte => carry_out(length.min(1)),
    };
    result as ssize_t
}

/// What kind of descriptor it is: a socket, a file, or one of another kind.
fn kind(descriptor: c_int) -> Option<u32> {
    // SAFETY: the structure is plain data, and the kernel fills it in or fails.
    unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        let result = libc::syscall(libc::SYS_fstat, descriptor, &raw mut status);
        (result == 0).then_some(status.st_mode & libc::S_IFMT)
    }
}

/// The call that `read` or `write` stands for, by the kind of the descriptor.
fn by_kind(descriptor: c_int, socket: Call, file: Call) -> Option<Call> {
    match kind(descriptor)? {
        libc::S_IFSOCK => Some(socket),
        libc::S_IFREG => Some(file),
        _ => None,
    }
}

/// See `accept(2)`.
///
/// # Safety
/// As for `accept(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
) -> c_int {
    accept4(socket, address, length, 0)
}

/// See `accept(2)`.
///
/// # Safety
/// As for `accept(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let call = || libc::syscall(libc::SYS_accept4, socket, address, length, flags);
    unless_failed(Call::Accept, call) as c_int
}

/// See `connect(2)`.
///
/// # Safety
/// As for `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> c_int {
    unless_failed(Call::Connect, || {
        libc::syscall(libc::SYS_connect, socket, address, length)
    }) as c_int
}

/// See `socket(2)`.
///
/// # Safety
/// As for `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    unless_failed(Call::Socket, || {
        libc::syscall(libc::SYS_socket, domain, kind, protocol)
    }) as c_int
}

/// See `epoll_wait(2)`.
///
/// # Safety
/// As for `epoll_wait(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    let no_mask = std::ptr::null::<libc::sigset_t>();
    let call = || {
        libc::syscall(
            libc::SYS_epoll_pwait,
            epoll,
            events,
            most,
            timeout,
            no_mask,
            8,
        )
    };
    unless_failed(Call::Wait, call) as c_int
}

/// See `recv(2)`. A look at what waits passes unchanged.
///
/// # Safety
/// As for `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let none = std::ptr::null_mut::<c_void>();
    let call = |length: size_t| {
        libc::syscall(
            libc::SYS_recvfrom,
            socket,
            buffer,
            length,
            flags,
            none,
            none,
        )
    };
    if flags & libc::MSG_PEEK != 0 {
        return call(length) as ssize_t;
    }
    transfer(Call::Receive, length, call)
}

/// See `send(2)`.
///
/// # Safety
/// As for `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let none = std::ptr::null::<c_void>();
    let call =
        |length: size_t| libc::syscall(libc::SYS_sendto, socket, buffer, length, flags, none, 0);
    transfer(Call::Send, length, call)
}

/// See `read(2)`.
///
/// # Safety
/// As for `read(2)`.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    let call = |length: size_t| libc::syscall(libc::SYS_read, descriptor, buffer, length);
    match by_kind(descriptor, Call::Receive, Call::FileRead) {
        Some(kind) => transfer(kind, length, call),
        None => call(length) as ssize_t,
    }
}

/// See `write(2)`.
///
/// # Safety
/// As for `write(2)`.
#[no_mangle]
pub unsafe extern "C" fn write(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
) -> ssize_t {
    let call = |length: size_t| libc::syscall(libc::SYS_write, descriptor, buffer, length);
    match by_kind(descriptor, Call::Send, Call::FileWrite) {
        Some(kind) => transfer(kind, length, call),
        None => call(length) as ssize_t,
    }
}

/// See `writev(2)`. A short one transfers a byte of the first buffer.
///
/// # Safety
/// As for `writev(2)`.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let Some(call) = by_kind(descriptor, Call::Send, Call::FileWrite) else {
        return libc::syscall(libc::SYS_writev, descriptor, buffers, count) as ssize_t;
    };
    match judge(call) {
        Verdict::Fail => FAILED as ssize_t,
        Verdict::PassOneByte if count > 0 => libc::syscall(
            libc::SYS_write,
            descriptor,
            (*buffers).iov_base,
            (*buffers).iov_len.min(1),
        ) as ssize_t,
        _ => libc::syscall(libc::SYS_writev, descriptor, buffers, count) as ssize_t,
    }
}

/// See `open(2)`.
///
/// # Safety
/// As for `open(2)`.
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    match judge_with_path(Call::Open, text(path)) {
        Verdict::Fail => FAILED as c_int,
        _ => libc::syscall(
            libc::SYS_openat,
            libc::AT_FDCWD,
            path,
            flags,
            mode as c_uint,
        ) as c_int,
    }
}

/// See `open(2)`.
///
/// # Safety
/// As for `open(2)`.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    open(path, flags, mode)
}

/// See `fsync(2)`.
///
/// # Safety
/// As for `fsync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    unless_failed(Call::Sync, || libc::syscall(libc::SYS_fsync, descriptor)) as c_int
}

/// See `fdatasync(2)`.
///
/// # Safety
/// As for `fdatasync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    unless_failed(Call::Sync, || {
        libc::syscall(libc::SYS_fdatasync, descriptor)
    }) as c_int
}

/// See `rename(2)`.
///
/// # Safety
/// As for `rename(2)`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let directory = libc::AT_FDCWD;
    match judge_with_path(Call::Rename, text(to)) {
        Verdict::Fail => FAILED as c_int,
        _ => libc::syscall(libc::SYS_renameat2, directory, from, directory, to, 0) as c_int,
    }
}

/// See `flock(2)`.
///
/// # Safety
/// As for `flock(2)`.
#[no_mangle]
pub unsafe extern "C" fn flock(descriptor: c_int, operation: c_int) -> c_int {
    unless_failed(Call::Lock, || {
        libc::syscall(libc::SYS_flock, descriptor, operation)
    }) as c_int
}

/// See `clock_gettime(2)`. The rules move the wall clock alone.
///
/// # Safety
/// As for `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    let result = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms = Rules::read().map_or(0, |rules| clock_offset_ms(rules.text()));
        let offset = offset_ms * NANOS_PER_MILLISECOND;
        let nanos = (*time).tv_sec * NANOS_PER_SECOND + (*time).tv_nsec + offset;
        (*time).tv_sec = nanos.div_euclid(NANOS_PER_SECOND);
        (*time).tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
    }
    result
}
