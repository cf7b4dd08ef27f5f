//! The body of a response that is read from a chunk server as fast as its client reads it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use serde::Serialize;
use tokio::time::{sleep_until, Sleep};

use crate::telemetry::trace;
use crate::upstream::{Pause, StreamedBody};

/// Maximum time without a byte of a body from its chunk server. Servers may pause while they write
/// a long body, but one that has hung must not keep its connection for good.
const SERVER_SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time in which what has arrived while this process was held up is read before its server counts
/// as silent.
const LAST_LOOK: Duration = Duration::from_millis(20);

/// Milliseconds per second, for the times in the trace.
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// The event in the decision trace at the end of a streamed body.
#[derive(Serialize)]
#[serde(tag = "e", rename = "passed")]
struct BodyStreamed {
    bytes: usize,
    /// Length of the body in bytes, where the chunk server has declared it.
    #[serde(rename = "of")]
    content_length: Option<u64>,
    #[serde(rename = "ms")]
    milliseconds: f64,
    end: &'static str,
}

/// How the streaming of a body ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    ClientClosed,
    ServerFailed,
    ServerSilent,
}

impl StreamEnd {
    /// Returns the name in the decision trace, whose format is stable.
    fn trace_name(self) -> &'static str {
        match self {
            StreamEnd::Complete => "whole",
            StreamEnd::ClientClosed => "left by the client",
            StreamEnd::ServerFailed => "broken off by the chunk server",
            StreamEnd::ServerSilent => "given up on a silent chunk server",
        }
    }
}

/// A body that is read from a chunk server as fast as its client reads it. Dropping it, which is
/// what becomes of the response to a client that has disconnected, closes the server's connection.
pub struct ForwardedBody {
    /// `None` once the body has ended.
    streamed: Option<StreamedBody>,
    /// Ends when the server has been silent for too long; runs only while a frame is awaited.
    silence: Option<Pin<Box<Sleep>>>,
    /// The pause of the server during which streaming started, until it goes on.
    pause: Option<Pause>,
    /// Whether the silence has lasted too long but for [`LAST_LOOK`].
    has_looked_again: bool,
    started: Instant,
    length: Option<u64>,
    bytes_forwarded: usize,
}

impl ForwardedBody {
    /// Creates a body of which nothing has been forwarded yet.
    pub(super) fn new(mut streamed: StreamedBody) -> ForwardedBody {
        ForwardedBody {
            length: streamed.length,
            pause: streamed.pause.take(),
            streamed: Some(streamed),
            silence: None,
            has_looked_again: false,
            started: Instant::now(),
            bytes_forwarded: 0,
        }
    }

    /// Returns the next data from the chunk server, or how the body has ended.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Bytes, StreamEnd>> {
        let Some(streamed) = &mut self.streamed else {
            return Poll::Ready(Err(StreamEnd::Complete));
        };
        let is_buffered = streamed.has_buffered_part();
        match streamed.poll_part(cx) {
            Poll::Ready(Some(Ok(data))) => {
                self.silence = None;
                self.has_looked_again = false;
                if !is_buffered {
                    self.pause = None;
                }
                Poll::Ready(Ok(data))
            }
            Poll::Ready(Some(Err(_))) => Poll::Ready(Err(StreamEnd::ServerFailed)),
            Poll::Ready(None) => Poll::Ready(Err(StreamEnd::Complete)),
            Poll::Pending => {
                ready!(self.poll_silence(cx));
                if let Some(pause) = self.pause.take() {
                    pause.server_stopped();
                }
                Poll::Ready(Err(StreamEnd::ServerSilent))
            }
        }
    }

    /// Waits until the server, of which a part is awaited, has been silent for too long.
    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let resume_by = self.pause.as_ref().map(|pause| pause.resume_by);
        let silence = self.silence.get_or_insert_with(|| {
            let given_up_at = resume_by.unwrap_or(Instant::now() + SERVER_SILENCE_TIMEOUT);
            Box::pin(sleep_until(given_up_at.into()))
        });
        ready!(silence.as_mut().poll(cx));
        if !std::mem::replace(&mut self.has_looked_again, true) {
            let last_look_until = Instant::now() + LAST_LOOK;
            silence.as_mut().reset(last_look_until.into());
            ready!(silence.as_mut().poll(cx));
        }
        Poll::Ready(())
    }

    /// Ends the body where the chunk server has sent all of it, since a body whose length is known is
    /// not read beyond that.
    fn end_if_complete(&mut self) {
        if self
            .streamed
            .as_ref()
            .is_some_and(StreamedBody::is_complete)
        {
            self.end(StreamEnd::Complete);
        }
    }

    /// Ends the body: returns the server's connection to its pool where the body is complete, and
    /// closes it otherwise.
    fn end(&mut self, end: StreamEnd) {
        let Some(streamed) = self.streamed.take() else {
            return;
        };
        if trace::is_enabled() {
            trace::write(BodyStreamed {
                bytes: self.bytes_forwarded,
                content_length: self.length,
                milliseconds: self.started.elapsed().as_secs_f64() * MILLISECONDS_PER_SECOND,
                end: end.trace_name(),
            });
        }
        if end == StreamEnd::Complete {
            streamed.release_connection();
        }
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match ready!(self.poll_data(cx)) {
            Ok(data) => {
                self.bytes_forwarded += data.len();
                self.end_if_complete();
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Err(end) => {
                self.end(end);
                let failed = end != StreamEnd::Complete;
                let error = io::Error::from(io::ErrorKind::ConnectionReset);
                Poll::Ready(failed.then_some(Err(error)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.streamed.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let remaining = self
            .length
            .map(|length| length.saturating_sub(self.bytes_forwarded as u64));
        remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for ForwardedBody {
    fn drop(&mut self) {
        self.end(StreamEnd::ClientClosed);
    }
}
