//! Interception of the C library's socket functions and `epoll_wait`.

use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};

use crate::interception::{fail_or_call, transfer};
use crate::rules::Call;

/// The size of the kernel's signal mask, in bytes, which `epoll_pwait` takes as an argument.
const SIGNAL_MASK_BYTES: size_t = 8;

/// Replaces `accept(2)`.
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

/// Replaces `accept(2)`.
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
    fail_or_call(Call::Accept, call) as c_int
}

/// Replaces `connect(2)`.
///
/// # Safety
/// As for `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> c_int {
    fail_or_call(Call::Connect, || {
        libc::syscall(libc::SYS_connect, socket, address, length)
    }) as c_int
}

/// Replaces `socket(2)`.
///
/// # Safety
/// As for `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    fail_or_call(Call::Socket, || {
        libc::syscall(libc::SYS_socket, domain, kind, protocol)
    }) as c_int
}

/// Replaces `epoll_wait(2)`.
///
/// # Safety
/// As for `epoll_wait(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    let no_mask = std::ptr::null::<libc::sigset_t>();
    let call = || {
        libc::syscall(
            libc::SYS_epoll_pwait,
            epoll,
            events,
            max_events,
            timeout,
            no_mask,
            SIGNAL_MASK_BYTES,
        )
    };
    fail_or_call(Call::Wait, call) as c_int
}

/// Replaces `recv(2)`. With `MSG_PEEK` the call passes unchanged.
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
    let no_address = std::ptr::null_mut::<c_void>();
    let call = |length: size_t| {
        libc::syscall(
            libc::SYS_recvfrom,
            socket,
            buffer,
            length,
            flags,
            no_address,
            no_address,
        )
    };
    if flags & libc::MSG_PEEK != 0 {
        return call(length) as ssize_t;
    }
    transfer(Call::Receive, length, call)
}

/// Replaces `send(2)`.
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
    let no_address = std::ptr::null::<c_void>();
    let call = |length: size_t| {
        libc::syscall(
            libc::SYS_sendto,
            socket,
            buffer,
            length,
            flags,
            no_address,
            0,
        )
    };
    transfer(Call::Send, length, call)
}
