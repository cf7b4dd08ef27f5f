//! Reading responses of chunk servers and mapping them to outcomes.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tulipbridge_core::server_connection::Execution;
use tulipbridge_core::{Outcome, ShardId};

use super::payload::{Accepts, Answer, StreamedBody};
use crate::exchange::AttemptReport;
use crate::limits::MAX_BUFFERED_BODY_BYTES;

/// The most bytes of a body that is streamed; a longer one makes the response malformed.
const MAX_STREAMED_BODY: u64 = 1 << 30;
/// Header that is `1` where the server has rejected a request without executing it.
const REJECTED: HeaderName = HeaderName::from_static("x-turned-away");
/// Header with the volume's use in percent of its plan's rate.
const VOLUME_USE: HeaderName = HeaderName::from_static("x-volume-use");
/// Header with the units that the server has served the volume through other fronts.
const FOREIGN_UNITS: HeaderName = HeaderName::from_static("x-served-elsewhere");

/// Reads a response with its body. A served response whose body is long, or of unknown length, is
/// streamed where the front accepts that.
///
/// # Errors
/// [`Execution::MayHaveRun`] for a response whose framing is ambiguous, that is too long or
/// truncated: the request may have been executed, and there is nothing valid to answer with.
pub(super) async fn read_response(
    response: Response<Incoming>,
    accepts: Accepts,
    shard: ShardId,
) -> Result<AttemptReport<Answer>, Execution> {
    let report = read_head(&response, accepts);
    let headers = response.headers();
    let ambiguous = headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING);
    let size = response.body().size_hint();
    if response.status().is_informational() || ambiguous || size.lower() > MAX_STREAMED_BODY {
        return Err(Execution::MayHaveRun);
    }
    // A body of unknown length ends with its connection; a reset truncates it.
    let length_unknown = size.exact().is_none();
    let too_long_to_buffer = size.lower() > MAX_BUFFERED_BODY_BYTES as u64;
    let served = report.outcome == Outcome::Served;
    let (head, body) = response.into_parts();
    let answer = if (length_unknown || too_long_to_buffer) && served && accepts == Accepts::Served {
        Some(read_streamed(head, body, size.exact(), shard).await?)
    } else if too_long_to_buffer {
        return Err(Execution::MayHaveRun);
    } else {
        let body = Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect().await;
        let body = body.map_err(|_| Execution::MayHaveRun)?.to_bytes();
        served.then(|| answer_with(head, shard, body, None))
    };
    Ok(AttemptReport { answer, ..report })
}

/// Answers with a body that is streamed. One of unknown length is buffered first, up to
/// [`MAX_BUFFERED_BODY_BYTES`] bytes; where it ends within them it is answered like any other.
async fn read_streamed(
    head: Parts,
    mut body: Incoming,
    length: Option<u64>,
    shard: ShardId,
) -> Result<Answer, Execution> {
    let mut first = BytesMut::new();
    while length.is_none() && first.len() <= MAX_BUFFERED_BODY_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok(answer_with(head, shard, first.freeze(), None));
        };
        let frame = frame.map_err(|_| Execution::MayHaveRun)?;
        if let Ok(data) = frame.into_data() {
            first.extend_from_slice(&data);
        }
    }
    let streamed = StreamedBody::new(first.freeze(), body, length);
    Ok(answer_with(head, shard, Bytes::new(), Some(streamed)))
}

fn answer_with(head: Parts, shard: ShardId, body: Bytes, streamed: Option<StreamedBody>) -> Answer {
    Answer {
        shard,
        status: head.status,
        headers: head.headers,
        body,
        streamed,
    }
}

/// The outcome and the reported load in a response head.
fn read_head<B>(response: &Response<B>, accepts: Accepts) -> AttemptReport<Answer> {
    let headers = response.headers();
    let volume_use = first_number(headers, &VOLUME_USE);
    AttemptReport {
        outcome: outcome_of(response.status(), headers, accepts),
        answer: None,
        observed_use: volume_use.map_or(0.0, |percent| percent + 1.0),
        foreign_units: first_number(headers, &FOREIGN_UNITS).unwrap_or(0.0),
    }
}

fn outcome_of(status: StatusCode, headers: &HeaderMap, accepts: Accepts) -> Outcome {
    let rejected = headers.get(REJECTED).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => {
            Outcome::Rejected
        }
        // These two concern the server's load, not the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
        status if accepts == Accepts::Object && (200..=499).contains(&status.as_u16()) => {
            Outcome::Served
        }
        _ => Outcome::Error,
    }
}

/// The first value of a header that is a finite number of at least 0; other values are ignored.
fn first_number(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let values = headers.get_all(name).iter();
    let mut numbers = values.filter_map(|value| value.to_str().ok()?.trim().parse().ok());
    numbers.find(|number: &f64| number.is_finite() && *number >= 0.0)
}
