//! Streaming a long body from a chunk server to the client.

use std::io;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::{BodyExt, Either};
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::Response;

use crate::frontend::replies::Reply;
use crate::telemetry::trace;
use crate::upstream::StreamedBody;

/// Parts of a body that are buffered between chunk server and client; the server is read no faster
/// than the client reads.
const BUFFERED_PARTS: usize = 2;

/// How a streamed body ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    ClientGone,
    ServerFailed,
}

impl StreamEnd {
    fn trace_name(self) -> &'static str {
        match self {
            StreamEnd::Complete => "whole",
            StreamEnd::ClientGone => "left by the client",
            StreamEnd::ServerFailed => "broken off by the chunk server",
        }
    }
}

/// A response that streams a body from a chunk server. It has the length that the server announced,
/// if any, so that a client can recognise a truncated body. Where the server's connection fails, so
/// does the client's.
pub(super) fn stream_response(streamed: StreamedBody) -> Reply {
    let (sender, body) = Channel::new(BUFFERED_PARTS);
    let length = streamed.length;
    tokio::task::spawn_local(copy_body(streamed, sender));
    let mut reply = Response::new(Either::Right(body));
    if let Some(length) = length {
        reply
            .headers_mut()
            .insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    reply
}

/// Copies a body to the client and returns its connection to the pool where it was complete.
async fn copy_body(mut streamed: StreamedBody, mut sender: Sender<Bytes, io::Error>) {
    let started = Instant::now();
    let mut bytes_passed = 0;
    let end = copy_frames(&mut streamed, &mut sender, &mut bytes_passed).await;
    if end == StreamEnd::ServerFailed {
        sender.abort(io::ErrorKind::ConnectionReset.into());
    } else {
        drop(sender);
    }
    if trace::is_enabled() {
        trace::write(simd_json::json!({
            "e": "passed",
            "bytes": bytes_passed,
            "of": streamed.length,
            "ms": started.elapsed().as_secs_f64() * 1e3,
            "end": end.trace_name(),
        }));
    }
    if end == StreamEnd::Complete {
        streamed.done();
    }
}

/// Copies the parts of a body, counting their bytes in `bytes_passed`.
async fn copy_frames(
    streamed: &mut StreamedBody,
    sender: &mut Sender<Bytes, io::Error>,
    bytes_passed: &mut usize,
) -> StreamEnd {
    let first = std::mem::take(&mut streamed.first);
    if !first.is_empty() {
        *bytes_passed += first.len();
        if sender.send_data(first).await.is_err() {
            return StreamEnd::ClientGone;
        }
    }
    loop {
        let Some(frame) = streamed.body.frame().await else {
            return StreamEnd::Complete;
        };
        let Ok(frame) = frame else {
            return StreamEnd::ServerFailed;
        };
        // Trailers are not forwarded.
        if let Ok(data) = frame.into_data() {
            *bytes_passed += data.len();
            if sender.send_data(data).await.is_err() {
                return StreamEnd::ClientGone;
            }
        }
    }
}
