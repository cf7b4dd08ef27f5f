//! Streaming of long response bodies from a chunk server to a client.

use std::io;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::{BodyExt, Either};
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::Response;
use serde::Serialize;
use tokio::task::spawn_local;

use crate::frontend::replies::Reply;
use crate::telemetry::trace;
use crate::upstream::StreamedBody;

/// Number of body frames that are buffered between chunk server and client. The server's response
/// is read no faster than the client reads.
const BUFFERED_FRAMES: usize = 2;

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
}

impl StreamEnd {
    /// Returns the name in the decision trace, whose format is stable.
    fn trace_name(self) -> &'static str {
        match self {
            StreamEnd::Complete => "whole",
            StreamEnd::ClientClosed => "left by the client",
            StreamEnd::ServerFailed => "broken off by the chunk server",
        }
    }
}

/// Returns a response that streams a body from a chunk server. It has the length that the server
/// has declared, if any, so that a client can detect a truncated body. Where the server's
/// connection fails, the client's connection is aborted.
///
/// The task that copies the body ends with the body, when the server's connection fails, or when
/// the client has disconnected.
pub(super) fn stream_response(streamed: StreamedBody) -> Reply {
    let (sender, body) = Channel::new(BUFFERED_FRAMES);
    let length = streamed.length;
    spawn_local(BodyCopy::new(streamed, sender).run());
    let mut reply = Response::new(Either::Right(body));
    if let Some(length) = length {
        reply
            .headers_mut()
            .insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    reply
}

/// The transfer of a body from a chunk server to the client.
struct BodyCopy {
    streamed: StreamedBody,
    sender: Sender<Bytes, io::Error>,
    bytes_forwarded: usize,
}

impl BodyCopy {
    /// Creates a transfer that has forwarded nothing yet.
    fn new(streamed: StreamedBody, sender: Sender<Bytes, io::Error>) -> BodyCopy {
        BodyCopy {
            streamed,
            sender,
            bytes_forwarded: 0,
        }
    }

    /// Copies the body to the client. Returns the chunk server's connection to its pool where the
    /// body was complete.
    async fn run(mut self) {
        let started = Instant::now();
        let end = self.forward_all().await;
        let trace_event = trace::is_enabled().then(|| self.trace_event(end, started.elapsed()));
        if end == StreamEnd::ServerFailed {
            self.sender.abort(io::ErrorKind::ConnectionReset.into());
        } else {
            drop(self.sender);
        }
        if let Some(event) = trace_event {
            trace::write(event);
        }
        if end == StreamEnd::Complete {
            self.streamed.release_connection();
        }
    }

    /// Forwards the body frame by frame until it ends, the server fails or the client disconnects.
    async fn forward_all(&mut self) -> StreamEnd {
        let first = std::mem::take(&mut self.streamed.buffered);
        if !first.is_empty() && !self.forward(first).await {
            return StreamEnd::ClientClosed;
        }
        loop {
            let Some(frame) = self.streamed.body.frame().await else {
                return StreamEnd::Complete;
            };
            let Ok(frame) = frame else {
                return StreamEnd::ServerFailed;
            };
            // Trailers are not forwarded.
            if let Ok(data) = frame.into_data() {
                if !self.forward(data).await {
                    return StreamEnd::ClientClosed;
                }
            }
        }
    }

    /// Forwards one part of the body. Returns whether the client is still connected.
    async fn forward(&mut self, data: Bytes) -> bool {
        self.bytes_forwarded += data.len();
        self.sender.send_data(data).await.is_ok()
    }

    /// Returns the event for the decision trace at the end of the body, after the time `elapsed`.
    fn trace_event(&self, end: StreamEnd, elapsed: Duration) -> BodyStreamed {
        BodyStreamed {
            bytes: self.bytes_forwarded,
            content_length: self.streamed.length,
            milliseconds: elapsed.as_secs_f64() * MILLISECONDS_PER_SECOND,
            end: end.trace_name(),
        }
    }
}
