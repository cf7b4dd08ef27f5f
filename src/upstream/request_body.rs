//! The body of a request to a chunk server, as the HTTP client reads it.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::limits::MAX_BUFFERED_BODY_BYTES;

/// Maximum size of a frame in bytes. hyper copies each frame into the write buffer of the
/// connection, and keeps that buffer for as long as the connection is open.
pub const MAX_FRAME_BYTES: usize = MAX_BUFFERED_BODY_BYTES;

/// A body that is in memory, divided into frames of at most [`MAX_FRAME_BYTES`] bytes. The frames
/// share its memory.
pub struct RequestBody {
    remaining: Bytes,
}

impl RequestBody {
    /// Creates the body that consists of `bytes`.
    pub fn new(bytes: Bytes) -> RequestBody {
        RequestBody { remaining: bytes }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.remaining.len().min(MAX_FRAME_BYTES);
        let data = self.remaining.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
