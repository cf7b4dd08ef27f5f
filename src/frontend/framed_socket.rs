//! The socket of a client, as hyper reads and writes it. Bytes are inspected before hyper reads
//! them, so that hyper and the listener agree on where a request ends, and so that the listener
//! knows the state of each connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tulipbridge_core::client_connection::ClientEvent;

use super::client_state::ClientState;
use super::request_framer::{NextStep, RequestFramer};
use crate::socket_io;

/// Maximum number of bytes that one read from the socket returns.
const READ_BUFFER_BYTES: usize = 4096;

/// Both halves of a client's socket, for use by hyper through [`AsyncRead`] and [`AsyncWrite`].
pub struct FramedSocket {
    /// Shared with the service, which drains the socket after hyper has finished.
    read: Rc<OwnedReadHalf>,
    write: OwnedWriteHalf,
    client: Rc<ClientState>,
    framer: RequestFramer,
}

impl FramedSocket {
    /// Wraps both halves of the socket of a connection whose state is `client`.
    pub fn new(
        read: Rc<OwnedReadHalf>,
        write: OwnedWriteHalf,
        client: Rc<ClientState>,
    ) -> FramedSocket {
        FramedSocket {
            read,
            write,
            framer: RequestFramer::new(Rc::clone(&client)),
            client,
        }
    }

    /// Reads bytes from the socket and passes them to the framer. Returns their number, which is 0
    /// at the end of the stream.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        ready!(socket_io::poll_read((*self.read).as_ref(), cx, &mut buf))?;
        let received = buf.filled();
        if !received.is_empty() {
            self.framer.receive(received);
        }
        Poll::Ready(Ok(received.len()))
    }

    /// Records that the system has accepted `count` bytes of a response.
    fn response_written(&mut self, count: usize) {
        if count > 0 {
            self.framer.response_written();
            self.client.on(ClientEvent::ResponseWritten);
        }
    }

    /// Returns once bytes are released to hyper, or the stream has ended.
    fn poll_released(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.framer.released().is_empty() {
            match self.framer.next_step() {
                NextStep::Continue => {}
                NextStep::ReadSocket => {
                    if ready!(self.poll_receive(cx))? == 0 {
                        break;
                    }
                }
                NextStep::EndOfStream => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for FramedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_released(cx))?;
        // Without released bytes this read is empty, which is the end of the stream.
        let released = self.framer.released();
        let count = released.len().min(buf.remaining());
        buf.put_slice(&released[..count]);
        self.framer.consume(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FramedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(socket_io::poll_write(self.write.as_ref(), cx, buf))?;
        self.response_written(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = self.write.as_ref();
        let count = ready!(socket_io::poll_write_vectored(stream, cx, buffers))?;
        self.response_written(count);
        Poll::Ready(Ok(count))
    }

    /// hyper then writes the parts of a body from where they are, and copies none of them into a
    /// buffer that the connection keeps.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.write).poll_flush(cx))?;
        // hyper flushes the socket only once its own buffer is empty.
        self.client.set_response_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(cx)
    }
}
