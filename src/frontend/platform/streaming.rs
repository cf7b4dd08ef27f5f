//! Streaming a long body from a chunk server to the client.

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

/// Parts of a body that are buffered between chunk server and client; the server is read no faster
/// than the client reads.
const BUFFERED_PARTS: usize = 2;

/// Factor of a time in seconds.
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// The event of the decision trace at the end of a streamed body.
#[derive(Serialize)]
#[serde(tag = "e", rename = "passed")]
struct BodyStreamed {
    bytes: usize,
    /// The length that the chunk server announced.
    #[serde(rename = "of")]
    announced_bytes: Option<u64>,
    #[serde(rename = "ms")]
    milliseconds: f64,
    end: &'static str,
}

/// How a streamed body ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    ClientClosed,
    ServerFailed,
}

impl StreamEnd {
    /// The name in the decision trace, whose format is stable.
    fn trace_name(self) -> &'static str {
        match self {
            StreamEnd::Complete => "whole",
            StreamEnd::ClientClosed => "left by the client",
            StreamEnd::ServerFailed => "broken off by the chunk server",
        }
    }
}

/// A response that streams a body from a chunk server. It has the length that the server announced,
/// if any, so that a client can recognise a truncated body. Where the server's connection fails, so
/// does the client's.
///
/// The task that copies the body ends with the body, with the server's connection, or at the first
/// part that the client no longer takes.
pub(super) fn stream_response(streamed: StreamedBody) -> Reply {
    let (sender, body) = Channel::new(BUFFERED_PARTS);
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

/// A body on its way from a chunk server to the client.
struct BodyCopy {
    streamed: StreamedBody,
    sender: Sender<Bytes, io::Error>,
    bytes_forwarded: usize,
}

impl BodyCopy {
    /// A copy that has forwarded nothing yet.
    fn new(streamed: StreamedBody, sender: Sender<Bytes, io::Error>) -> BodyCopy {
        BodyCopy {
            streamed,
            sender,
            bytes_forwarded: 0,
        }
    }

    /// Copies the body to the client and returns its connection to the pool where it was complete.
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

    /// Forwards the parts of the body one after another.
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

    /// Forwards one part. Returns whether the client still takes the body.
    async fn forward(&mut self, data: Bytes) -> bool {
        self.bytes_forwarded += data.len();
        self.sender.send_data(data).await.is_ok()
    }

    /// The event of the decision trace at the end of the body, after the time `took`.
    fn trace_event(&self, end: StreamEnd, took: Duration) -> BodyStreamed {
        BodyStreamed {
            bytes: self.bytes_forwarded,
            announced_bytes: self.streamed.length,
            milliseconds: took.as_secs_f64() * MILLISECONDS_PER_SECOND,
            end: end.trace_name(),
        }
    }
}
