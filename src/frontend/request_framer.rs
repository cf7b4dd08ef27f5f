//! Decides which bytes from a client hyper may read, so that hyper and the listener agree on where
//! a request ends. No I/O: [`FramedSocket`] reads the bytes and passes them to hyper.
//!
//! [`FramedSocket`]: super::framed_socket::FramedSocket

use std::rc::Rc;

use bytes::{Buf, BytesMut};
use hyper::StatusCode;
use tulipbridge_core::client_connection::{ClientEvent, Phase};

use super::client_state::ClientState;
use super::framing::{body_framing, BodyFraming};

/// Maximum size of a request head in bytes; a longer one is answered with 431.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that are discarded because they arrive before a response, for all
/// requests on a connection together. The connection of a client that sends more is closed.
pub(super) const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// The line break of the last header line and the blank line that ends a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The part of a request that is read next.
enum ReadState {
    /// The request head.
    Head,
    /// A body of known length, of which this many bytes are still to be released to hyper.
    Body(u64),
    /// The request is complete; no bytes may follow before its response has been sent.
    Complete,
    /// The last request on the connection: all bytes are passed to hyper unchecked.
    PassThrough,
}

/// What [`FramedSocket`] must do before hyper can read more bytes.
///
/// [`FramedSocket`]: super::framed_socket::FramedSocket
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Nothing: the state has changed or bytes have been released, so the step is to be determined
    /// again.
    Continue,
    /// Read bytes from the socket and pass them to [`RequestFramer::receive`].
    ReadSocket,
    /// Report the end of the stream to hyper.
    EndOfStream,
}

/// The bytes that a client has sent and hyper has not read yet, and the progress of the current
/// request.
pub(super) struct RequestFramer {
    client: Rc<ClientState>,
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that hyper may read.
    released: usize,
    state: ReadState,
    /// Whether a part of the response to the current request has been written.
    response_started: bool,
    /// Number of bytes received while a complete request awaited its response; they are discarded.
    discarded: usize,
}

impl RequestFramer {
    /// Creates the framer of a new connection whose state is `client`.
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

    /// Returns the bytes that hyper may read now.
    pub(super) fn released(&self) -> &[u8] {
        &self.buffer[..self.released]
    }

    /// Removes the first `count` released bytes once hyper has read them.
    pub(super) fn consume(&mut self, count: usize) {
        self.buffer.advance(count);
        self.released -= count;
        if self.buffer.is_empty() {
            // An empty buffer would keep the memory of the longest head so far.
            self.buffer = BytesMut::new();
        }
    }

    /// Processes the buffered bytes and returns what is needed before hyper can read more. To be
    /// called only while no bytes are released.
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

    /// Buffers bytes that were read from the socket; `bytes` must not be empty.
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

    /// Records that bytes were written to the client. Bytes written before the current request is
    /// complete do not count as its response.
    pub(super) fn response_written(&mut self) {
        if matches!(self.state, ReadState::Complete) {
            self.response_started = true;
        }
    }

    /// Releases the request head once it is complete, and determines the framing of the body.
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
                self.client.set_chunked_request();
                self.state = ReadState::PassThrough;
            }
            Err(status) => self.reject_request(status),
        }
    }

    /// Removes empty lines before a request (RFC 9112, section 2.2).
    fn skip_blank_lines(&mut self) {
        let blank = self
            .buffer
            .iter()
            .take_while(|byte| is_line_end(byte))
            .count();
        self.buffer.advance(blank);
    }

    /// Has the current request answered with `status`, and passes its bytes to hyper unchecked.
    fn reject_request(&mut self, status: StatusCode) {
        self.client.set_framing_error(status);
        self.state = ReadState::PassThrough;
    }

    /// Releases the body bytes in the buffer from `start` on; `missing` bytes of the body are still
    /// to be released. Excess bytes after a complete request mean that its length is wrong, since a
    /// client sends one request at a time; the request is then answered with 400.
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

    /// Returns whether the response to the current request has been sent.
    fn is_answered(&self) -> bool {
        self.response_started && self.client.phase() == Phase::Idle
    }

    /// Prepares for the next request after one has been answered, or ends the stream where no
    /// further request may be read.
    fn begin_next_request(&mut self) -> NextStep {
        if self.client.is_last_request() {
            return NextStep::EndOfStream;
        }
        self.state = ReadState::Head;
        NextStep::Continue
    }

    /// Discards bytes that arrived before the response. The socket is read further, to detect the end
    /// of the stream after them: a client that sends data and closes its connection has cancelled
    /// the request. The connection closes after this response, since such bytes are not treated as a
    /// request, or after [`MAX_DISCARDED_BYTES`] of them, behind which the end could hide.
    fn discard_early_bytes(&mut self) -> NextStep {
        self.buffer.clear();
        if self.discarded < MAX_DISCARDED_BYTES {
            NextStep::ReadSocket
        } else {
            NextStep::EndOfStream
        }
    }
}

/// Returns whether a byte may be part of a line break.
fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}
