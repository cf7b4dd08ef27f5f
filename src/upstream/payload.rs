//! Requests to chunk servers and their responses.

use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use tulipbridge_core::ShardId;

use super::response_memory::MIN_UNCOPIED_BYTES;
use crate::body_budget::BodyReservation;
use crate::exchange::AttemptObserver;
use crate::memory_budget::Reservation;
use crate::telemetry::metrics::ClassMetrics;

/// A request to a chunk server.
pub struct Payload {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The transaction id, which is sent in a header of its own.
    pub transaction_id: HeaderValue,
    /// Headers beside those that the transport adds: `Host`, the transaction id and the remaining
    /// time.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Which responses count as answers to the client.
    pub accepted_responses: AcceptedResponses,
    /// Counts each attempt whose last byte has been written, if the class has metrics.
    pub metrics: Option<ClassMetrics>,
    /// Keeps the memory for the body reserved until the payload is dropped.
    pub reservation: Option<Arc<BodyReservation>>,
}

/// Which responses of a chunk server count as answers to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptedResponses {
    /// Only those with status 200; any other one is an error of the server.
    OkOnly,
    /// Those of the object API: any success, and any error in the request itself (status 200 to
    /// 499, except 408 and 429).
    ObjectApi,
}

/// A chunk server's response that counts as an answer.
#[derive(Debug)]
pub struct Answer {
    /// The shard of the server that responded.
    pub shard: ShardId,
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers of the response.
    pub headers: HeaderMap,
    /// The body, empty where it is streamed.
    pub body: Bytes,
    /// A long body that is still arriving and is streamed to the client.
    pub streamed: Option<StreamedBody>,
}

/// A pause of a chunk server that may have hung.
pub struct Pause {
    /// When the body is given up if the server has not gone on.
    pub resume_by: Instant,
    /// The connection to the decision module.
    pub(super) observer: Rc<dyn AttemptObserver>,
}

impl Pause {
    /// Records that the server has not gone on.
    pub fn server_stopped(self) {
        self.observer.response_stopped();
    }
}

/// A long body that is still arriving, with its connection. It is read only as fast as the client
/// reads, so that only a few parts of it are buffered. Dropping it closes the connection.
pub struct StreamedBody {
    /// The parts of the body that were read before streaming started.
    beginning: VecDeque<Bytes>,
    /// The rest of the body.
    body: Incoming,
    /// The length of the whole body in bytes, where the server announced it.
    pub length: Option<u64>,
    /// The pause of the server during which streaming started, if there is one.
    pub pause: Option<Pause>,
    /// Returns the connection to the pool when called; dropping it closes the connection.
    release_connection: Option<Box<dyn FnOnce()>>,
    /// The memory of the parts of the body that are on their way.
    _memory: Reservation,
}

impl StreamedBody {
    /// Creates a body that starts with the parts `beginning` and does not own its connection yet.
    /// `memory` is the memory of the parts after these.
    pub(super) fn new(
        beginning: [Bytes; 2],
        body: Incoming,
        length: Option<u64>,
        pause: Option<Pause>,
        memory: Reservation,
    ) -> StreamedBody {
        let beginning = beginning.into_iter().filter(|part| !part.is_empty());
        StreamedBody {
            beginning: beginning.collect(),
            body,
            length,
            pause,
            release_connection: None,
            _memory: memory,
        }
    }

    /// Returns the next part of the body, or `None` once it is complete. Trailers are left out.
    pub fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        if let Some(part) = self.beginning.pop_front() {
            return Poll::Ready(Some(Ok(part)));
        }
        loop {
            let frame = match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                None => return Poll::Ready(None),
            };
            if let Ok(data) = frame.into_data() {
                return Poll::Ready(Some(Ok(compact(data))));
            }
        }
    }

    /// Returns whether the next part was read before streaming started.
    pub fn has_buffered_part(&self) -> bool {
        !self.beginning.is_empty()
    }

    /// Returns whether all parts of a body of known length have been taken.
    pub fn is_complete(&self) -> bool {
        self.beginning.is_empty() && self.body.is_end_stream()
    }

    /// Stores the connection that the body arrives on, as a closure that returns it to the pool.
    pub(super) fn keep_connection(&mut self, release: impl FnOnce() + 'static) {
        self.release_connection = Some(Box::new(release));
    }

    /// Returns the connection to the pool for another request, once the body is complete.
    pub fn release_connection(mut self) {
        if let Some(release) = self.release_connection.take() {
            release();
        }
    }
}

/// Returns a copy of a part of a body where the part is small compared with the read buffer that it
/// would keep.
fn compact(part: Bytes) -> Bytes {
    if part.len() < MIN_UNCOPIED_BYTES {
        Bytes::copy_from_slice(&part)
    } else {
        part
    }
}

impl std::fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StreamedBody")
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}
