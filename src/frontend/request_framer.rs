//! Decides which bytes from a client hyper may read, so that hyper and the listener agree on where
//! a request ends. No I/O: [`FramedSocket`] reads the bytes and hands them out.
//!
//! [`FramedSocket`]: super::framed_socket::FramedSocket

use std::rc::Rc;

use bytes::{Buf, BytesMut};
use hyper::StatusCode;
use tulipbridge_core::client_connection::{ClientEvent, Phase};

use super::client_state::ClientState;
use super::framing::{body_framing, BodyFraming};

/// The most bytes of a request head; a longer one is answered 431.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most bytes sent ahead of a response that are read and discarded, for all requests on a
/// connection together; the socket is not read beyond that.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// The blank line that ends a request head, with the end of the line before it.
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

/// What is needed before hyper can read more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Nothing: ask again, as the state has changed or bytes have been released.
    Continue,
    /// Bytes from the socket, to be passed to [`RequestFramer::receive`].
    ReadSocket,
    /// The response must be sent first; the socket is not read meanwhile.
    AwaitResponse,
    /// The connection ends here for hyper.
    EndOfStream,
}

/// The bytes that a client has sent and hyper has not read yet, and the progress of the present
/// request.
pub(super) struct RequestFramer {
    client: Rc<ClientState>,
    buffer: BytesMut,
    /// How many bytes at the start of `buffer` hyper may read.
    released: usize,
    state: ReadState,
    /// Whether part of the response to the present request has been written.
    response_started: bool,
    /// Bytes that were discarded because they came ahead of a response.
    discarded: usize,
}

impl RequestFramer {
    /// A framer at the start of a connection whose state is `client`.
    pub(super) fn new(client: Rc<ClientState>) -> RequestFramer {
        RequestFramer {
            client,
            buffer: BytesMut::new(),
            released: 0,
            state: ReadState::Head,
            response_started: false,
            discarded: 0,
        }
    }

    /// The bytes that hyper may read now.
    pub(super) fn released(&self) -> &[u8] {
        &self.buffer[..self.released]
    }

    /// Removes the first `count` released bytes, which hyper has read.
    pub(super) fn consume(&mut self, count: usize) {
        self.buffer.advance(count);
        self.released -= count;
    }

    /// Makes the progress that the buffered bytes allow, and says what is needed for more. To be
    /// called while no bytes are released.
    pub(super) fn next_step(&mut self) -> NextStep {
        match self.state {
            ReadState::Head => {
                self.parse_head();
                if self.released > 0 || matches!(self.state, ReadState::PassThrough) {
                    NextStep::Continue
                } else {
                    NextStep::ReadSocket
                }
            }
            ReadState::Complete if self.is_answered() => self.begin_next_request(),
            ReadState::Complete => self.discard_early_bytes(),
            ReadState::Body(_) | ReadState::PassThrough if self.buffer.is_empty() => {
                NextStep::ReadSocket
            }
            ReadState::Body(missing) => {
                self.release_body(missing, 0);
                NextStep::Continue
            }
            ReadState::PassThrough => {
                self.released = self.buffer.len();
                NextStep::Continue
            }
        }
    }

    /// Takes bytes that were read from the socket; there is at least one.
    pub(super) fn receive(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        match self.state {
            ReadState::Head => self.client.on(ClientEvent::HeadStarted),
            ReadState::Complete => {
                self.discarded += bytes.len();
                self.client.set_last_request();
            }
            ReadState::Body(_) | ReadState::PassThrough => {}
        }
    }

    /// Notes that bytes were written to the client. Before a request is complete they belong to no
    /// response to it.
    pub(super) fn response_written(&mut self) {
        if matches!(self.state, ReadState::Complete) {
            self.response_started = true;
        }
    }

    /// Releases the request head if it is complete, and determines the framing of its body.
    fn parse_head(&mut self) {
        self.skip_blank_lines();
        let end = self
            .buffer
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        let Some(end) = end else {
            if self.buffer.len() >= MAX_HEAD_BYTES {
                self.reject_request(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            }
            return;
        };
        self.released = end + HEAD_END.len();
        self.response_started = false;
        match body_framing(self.released()) {
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
            Err(status) => self.reject_request(status),
        }
    }

    /// Removes empty lines ahead of a request (RFC 9112, section 2.2).
    fn skip_blank_lines(&mut self) {
        let blank = self
            .buffer
            .iter()
            .take_while(|byte| is_line_end(byte))
            .count();
        self.buffer.advance(blank);
    }

    /// Has the present request answered with `status`, whatever its bytes are to hyper.
    fn reject_request(&mut self, status: StatusCode) {
        self.client.set_framing_error(status);
        self.state = ReadState::PassThrough;
    }

    /// Releases the body bytes that are in the buffer from `start` on, where `missing` bytes of the
    /// body are outstanding. Bytes beyond a complete request mean that its length is wrong: a
    /// client sends one request at a time.
    fn release_body(&mut self, missing: u64, start: usize) {
        let buffered = self.buffer.len() - start;
        let available = buffered.min(usize::try_from(missing).unwrap_or(usize::MAX));
        self.released = start + available;
        let missing = missing - available as u64;
        if missing > 0 {
            self.state = ReadState::Body(missing);
            return;
        }
        self.state = ReadState::Complete;
        self.client.on(ClientEvent::RequestReceived);
        let mut excess = self.buffer[self.released..].iter();
        if excess.any(|byte| !is_line_end(byte)) {
            self.client.set_framing_error(StatusCode::BAD_REQUEST);
            self.client.set_last_request();
        }
    }

    /// Whether the response to the present request has been sent.
    fn is_answered(&self) -> bool {
        self.response_started && self.client.phase() == Phase::Idle
    }

    /// Turns to the request after one that has been answered, where there may be another.
    fn begin_next_request(&mut self) -> NextStep {
        if self.client.is_last_request() {
            return NextStep::EndOfStream;
        }
        self.state = ReadState::Head;
        NextStep::Continue
    }

    /// Discards bytes that came ahead of the response, and reads on, so that the end of the stream
    /// behind them is seen: a client that sends data and closes its connection has cancelled the
    /// request. The connection closes after this response, since such bytes are not a request of
    /// their own.
    fn discard_early_bytes(&mut self) -> NextStep {
        self.buffer.clear();
        if self.discarded < MAX_DISCARDED_BYTES {
            NextStep::ReadSocket
        } else {
            NextStep::AwaitResponse
        }
    }
}

/// Whether a byte may be part of a line break.
fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}
