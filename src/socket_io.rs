//! Reads and writes TCP sockets without treating a short transfer as a sign of an empty or full
//! buffer.
//!
//! After a read or write of fewer bytes than requested, the runtime assumes that the socket's
//! buffer is empty or full, and waits for the next event. If the system transferred less for any
//! other reason, that event never comes. The functions here wait only after the system has reported
//! that the call would block, and repeat an interrupted call.

use std::io::{self, IoSlice};
use std::os::fd::{AsRawFd, RawFd};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use nix::errno::Errno;
use nix::sys::socket::{recv, send, MsgFlags};
use nix::sys::uio::writev;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that one read returns. hyper doubles its read buffer whenever a read
/// fills it, and each part of a body that it returns keeps the whole buffer, so that buffers of
/// 16 KiB never grow.
pub const MAX_READ_BYTES: usize = 16 * 1024 - 1;

/// Reads at most [`MAX_READ_BYTES`] bytes from a socket, as [`AsyncRead::poll_read`] does.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    let length = buf.remaining().min(MAX_READ_BYTES);
    loop {
        ready!(stream.poll_read_ready(cx))?;
        let read = || {
            Ok(recv(
                stream.as_raw_fd(),
                buf.initialize_unfilled_to(length),
                MsgFlags::MSG_DONTWAIT,
            )?)
        };
        match stream.try_io(Interest::READABLE, read) {
            Ok(count) => {
                buf.advance(count);
                return Poll::Ready(Ok(()));
            }
            Err(error) if must_repeat(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes to a socket, as [`AsyncWrite::poll_write`] does.
pub fn poll_write(stream: &TcpStream, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        let flags = MsgFlags::MSG_DONTWAIT | MsgFlags::MSG_NOSIGNAL;
        let write = || Ok(send(stream.as_raw_fd(), buf, flags)?);
        match stream.try_io(Interest::WRITABLE, write) {
            Err(error) if must_repeat(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Writes several buffers to a socket, as [`AsyncWrite::poll_write_vectored`] does.
pub fn poll_write_vectored(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buffers: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        let write = || Ok(writev(stream, buffers)?);
        match stream.try_io(Interest::WRITABLE, write) {
            Err(error) if must_repeat(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Disables Nagle's algorithm, which would delay a message that takes two writes. A failure only
/// adds latency, so it is not reported.
pub fn disable_nagle(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
}

/// Returns whether unread bytes or the end of the stream can be read from a socket. It is false for
/// a socket with an error.
pub fn has_unread_bytes(socket: RawFd) -> bool {
    peek(socket).is_ok()
}

/// Returns whether unread bytes can be read from a socket; the end of the stream does not count.
pub fn has_unread_data(socket: RawFd) -> bool {
    peek(socket).is_ok_and(|count| count > 0)
}

/// Returns whether a socket is open and has nothing to read.
pub fn is_quiet(socket: RawFd) -> bool {
    peek(socket) == Err(Errno::EAGAIN)
}

/// Peeks at the next byte and returns the number of bytes seen, 0 at the end of the stream. An
/// interrupted call is repeated.
fn peek(socket: RawFd) -> Result<usize, Errno> {
    loop {
        let result = recv(
            socket,
            &mut [0],
            MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT,
        );
        if result != Err(Errno::EINTR) {
            return result;
        }
    }
}

/// Returns whether a transfer that failed with `error` is repeated. If the call would block, the
/// runtime has cleared the socket's readiness, so the repetition first waits for an event.
fn must_repeat(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// A TCP socket that hyper reads and writes with [`poll_read`] and [`poll_write`].
#[derive(Debug)]
pub struct Socket(pub TcpStream);

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write_vectored(&self.0, cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing to flush: a TCP socket has no buffer in this process.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
