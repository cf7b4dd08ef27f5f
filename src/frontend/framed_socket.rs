//! A client's socket as hyper sees it. Bytes are inspected before hyper reads them, so that hyper
//! and the listener agree on where a request ends, and the state of each connection is known.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::{Buf, BytesMut};
use hyper::StatusCode;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tulipbridge_core::client_connection::{ClientEvent, Phase};

use super::client_state::ClientState;
use super::framing::{body_framing, BodyFraming};
use crate::socket_io;

/// The most bytes of a request head; a longer one is answered 431.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most bytes sent ahead of a response that are read and discarded; the socket is not read
/// beyond that.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// Bytes read from the socket at a time.
const READ_BUFFER_BYTES: usize = 4096;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Which part of a request is read next.
enum ReadState {
    /// The request head.
    Head,
    /// A body of known length that lacks this many bytes.
    Body(u64),
    /// The request is complete; nothing may follow before its response has been sent.
    Complete,
    /// The last request on this connection: everything is passed to hyper unchecked.
    PassThrough,
}

/// Both halves of a client's socket. Implements [`AsyncRead`] and [`AsyncWrite`] for hyper.
pub struct FramedSocket {
    /// Shared with the listener, which drains the socket after hyper has ended.
    read: Rc<RefCell<OwnedReadHalf>>,
    write: OwnedWriteHalf,
    client: Rc<ClientState>,
    /// Bytes read from the socket and not yet read by hyper.
    buffer: BytesMut,
    /// How many bytes at the start of `buffer` hyper may take.
    released: usize,
    state: ReadState,
    /// Whether part of the response to the present request has been written.
    response_started: bool,
    /// Bytes that were discarded because they came ahead of a response.
    discarded: usize,
}

impl FramedSocket {
    /// Wraps the two halves of a connection whose state is `client`.
    pub fn new(
        read: Rc<RefCell<OwnedReadHalf>>,
        write: OwnedWriteHalf,
        client: Rc<ClientState>,
    ) -> FramedSocket {
        FramedSocket {
            read,
            write,
            client,
            buffer: BytesMut::new(),
            released: 0,
            state: ReadState::Head,
            response_started: false,
            discarded: 0,
        }
    }

    /// Reads more bytes from the socket into the buffer. Returns their number; 0 is the end of the
    /// stream.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        ready!(socket_io::poll_read(
            (*self.read.borrow()).as_ref(),
            cx,
            &mut buf
        ))?;
        self.buffer.extend_from_slice(buf.filled());
        Poll::Ready(Ok(buf.filled().len()))
    }

    /// Fills the buffer unless it is non-empty already. Returns whether the stream has ended.
    fn poll_fill_if_empty(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if !self.buffer.is_empty() {
            return Poll::Ready(Ok(false));
        }
        self.poll_fill(cx).map_ok(|count| count == 0)
    }

    /// Releases the request head to hyper if it is complete, and determines the framing of its
    /// body.
    fn parse_head(&mut self) {
        // Empty lines ahead of a request are ignored (RFC 9112, section 2.2).
        let blank = self
            .buffer
            .iter()
            .take_while(|byte| is_line_end(byte))
            .count();
        self.buffer.advance(blank);
        let end = self
            .buffer
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        let Some(end) = end else {
            if self.buffer.len() >= MAX_HEAD_BYTES {
                self.fail(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            }
            return;
        };
        self.released = end + HEAD_END.len();
        self.response_started = false;
        match body_framing(&self.buffer[..self.released]) {
            Ok(BodyFraming::Length(length)) => {
                self.state = ReadState::Body(length);
                self.client.on(ClientEvent::BodyStarted);
                self.release_body(length, self.released);
            }
            Ok(BodyFraming::Chunked) => {
                self.client.set_last_request();
                self.client.on(ClientEvent::BodyStarted);
                self.state = ReadState::PassThrough;
            }
            Err(status) => self.fail(status),
        }
    }

    fn fail(&mut self, status: StatusCode) {
        self.client.set_framing_error(status);
        self.state = ReadState::PassThrough;
    }

    /// Releases the body bytes that are in the buffer from `start` on to hyper, where `missing`
    /// bytes of the body are outstanding. Bytes beyond a complete request mean that its length is
    /// wrong: a client sends one request at a time.
    fn release_body(&mut self, missing: u64, start: usize) {
        let available =
            (self.buffer.len() - start).min(usize::try_from(missing).unwrap_or(usize::MAX));
        self.released = start + available;
        let missing = missing - available as u64;
        if missing > 0 {
            self.state = ReadState::Body(missing);
            return;
        }
        self.state = ReadState::Complete;
        self.client.on(ClientEvent::RequestReceived);
        if self.buffer[self.released..]
            .iter()
            .any(|byte| !is_line_end(byte))
        {
            self.client.set_framing_error(StatusCode::BAD_REQUEST);
            self.client.set_last_request();
        }
    }

    /// Whether the response to the present request has been sent.
    fn is_answered(&self) -> bool {
        self.response_started && self.client.phase() == Phase::Idle
    }

    /// Reads and discards bytes that come ahead of the response, so that the end of the stream
    /// behind them is seen: a client that sends data and closes has gone. The connection closes
    /// after this response, since such bytes are not a request of their own. Returns whether the
    /// stream has ended.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        self.buffer.clear();
        if self.discarded >= MAX_DISCARDED_BYTES {
            return Poll::Pending;
        }
        let count = ready!(self.poll_fill(cx))?;
        if count == 0 {
            return Poll::Ready(Ok(true));
        }
        self.discarded += count;
        self.client.set_last_request();
        Poll::Ready(Ok(false))
    }

    /// Makes progress in the present state: releases bytes, changes the state or reads from the
    /// socket. Returns whether the stream has ended.
    fn poll_advance(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        match self.state {
            ReadState::Head => {
                self.parse_head();
                if self.released > 0 || matches!(self.state, ReadState::PassThrough) {
                    return Poll::Ready(Ok(false));
                }
                if ready!(self.poll_fill(cx))? == 0 {
                    return Poll::Ready(Ok(true));
                }
                self.client.on(ClientEvent::HeadStarted);
            }
            ReadState::Body(missing) => {
                if ready!(self.poll_fill_if_empty(cx))? {
                    return Poll::Ready(Ok(true));
                }
                self.release_body(missing, 0);
            }
            ReadState::Complete if self.is_answered() => {
                if self.client.is_last_request() {
                    return Poll::Ready(Ok(true));
                }
                self.state = ReadState::Head;
            }
            ReadState::Complete => return self.poll_discard(cx),
            ReadState::PassThrough => {
                if ready!(self.poll_fill_if_empty(cx))? {
                    return Poll::Ready(Ok(true));
                }
                self.released = self.buffer.len();
            }
        }
        Poll::Ready(Ok(false))
    }
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

impl AsyncRead for FramedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &mut *self;
        while socket.released == 0 {
            let ended = ready!(socket.poll_advance(cx))?;
            if ended {
                return Poll::Ready(Ok(()));
            }
        }
        let count = socket.released.min(buf.remaining());
        buf.put_slice(&socket.buffer[..count]);
        socket.buffer.advance(count);
        socket.released -= count;
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
        self.response_started |= matches!(self.state, ReadState::Complete) && count > 0;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.write).poll_flush(cx))?;
        // hyper flushes the socket once its own buffer is empty.
        self.client.set_response_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(cx)
    }
}
