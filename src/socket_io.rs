//! Reading and writing TCP sockets without a conclusion from a short transfer.
//!
//! The runtime takes a read or write of fewer bytes than asked for as the sign that the socket's
//! buffer is empty or full, and waits for the next event. Where the system transfers less for any
//! other reason, that event never comes. Here only the system's own answer that the call would
//! block ends a transfer, and an interrupted call is repeated.

use std::io;
use std::os::fd::{AsRawFd, RawFd};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use nix::errno::Errno;
use nix::sys::socket::{recv, send, MsgFlags};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Reads from a socket; see [`AsyncRead::poll_read`].
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        let read = || {
            Ok(recv(
                stream.as_raw_fd(),
                buf.initialize_unfilled(),
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

/// Writes to a socket; see [`AsyncWrite::poll_write`].
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

/// Disables Nagle's algorithm, which would delay a message that takes two writes. A failure costs
/// only time, so it is not reported.
pub fn disable_nagle(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
}

/// Whether bytes, or the end of the stream, wait on a socket. A socket in error has nothing that
/// could be read.
pub fn has_unread_bytes(socket: RawFd) -> bool {
    peek(socket).is_ok()
}

/// Whether bytes wait on a socket that is not at its end.
pub fn has_unread_data(socket: RawFd) -> bool {
    peek(socket).is_ok_and(|count| count > 0)
}

/// Whether a socket is open and nothing waits on it.
pub fn is_quiet(socket: RawFd) -> bool {
    peek(socket) == Err(Errno::EAGAIN)
}

/// Looks at the next byte. An interrupted look has seen nothing and is repeated.
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

/// Whether a transfer that failed with `error` is attempted again. Where the call would block, the
/// runtime has cleared the socket's readiness, so the next attempt waits for an event.
fn must_repeat(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// A TCP socket with these transfers, for use by hyper.
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

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP socket has no buffer in this process.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
