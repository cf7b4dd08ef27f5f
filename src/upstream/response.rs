//! Reads responses of chunk servers and maps them to outcomes.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tulipbridge_core::server_connection::Execution;
use tulipbridge_core::{Outcome, ShardId};

use super::payload::{AcceptedResponses, Answer, Payload, StreamedBody};
use super::response_limits::{PartialResponse, ResponseLimits};
use super::response_memory::STREAM_BYTES;
use crate::exchange::AttemptReport;
use crate::limits::MAX_BUFFERED_BODY_BYTES;
use crate::memory_budget::Reservation;
use crate::telemetry::metrics::SlowResponseDecision;

/// Maximum length in bytes that a response may announce for its body; a longer one is an error.
const MAX_STREAMED_BODY: u64 = 1 << 30;
/// Header with the value `1` if the server has rejected a request without executing it.
const REJECTED: HeaderName = HeaderName::from_static("x-turned-away");
/// Header with the volume's use in percent of its plan's rate.
const VOLUME_USE: HeaderName = HeaderName::from_static("x-volume-use");
/// Header with the units that the server has served for the volume through other fronts.
const FOREIGN_UNITS: HeaderName = HeaderName::from_static("x-served-elsewhere");

/// Reads the response to an attempt.
pub(super) struct ResponseReader<'a> {
    payload: &'a Payload,
    /// The shard of the server.
    shard: ShardId,
    /// Tell when a response that pauses is given up or passed on.
    limits: &'a ResponseLimits<'a>,
}

impl<'a> ResponseReader<'a> {
    /// Creates a reader of the response to `payload` from a server of `shard`.
    pub fn new(
        payload: &'a Payload,
        shard: ShardId,
        limits: &'a ResponseLimits<'a>,
    ) -> ResponseReader<'a> {
        ResponseReader {
            payload,
            shard,
            limits,
        }
    }

    /// Reads a response with its body. A served response whose body is long, or of unknown length,
    /// is streamed if the payload accepts [`AcceptedResponses::OkOnly`]. The body keeps as much of
    /// `memory`, of [`RESPONSE_BYTES`], as it takes.
    ///
    /// [`RESPONSE_BYTES`]: super::response_memory::RESPONSE_BYTES
    ///
    /// # Errors
    /// Returns [`Execution::MayHaveRun`] for an informational response and one that is too long,
    /// truncated, stalled or ambiguous in its framing: the request may have been executed, and there
    /// is no valid response to answer with.
    pub async fn read(
        &self,
        response: Response<Incoming>,
        mut memory: Reservation,
    ) -> Result<AttemptReport<Answer>, Execution> {
        let accepted = self.payload.accepted_responses;
        let report = read_head(&response, accepted);
        let headers = response.headers();
        let ambiguous =
            headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING);
        let size = response.body().size_hint();
        if response.status().is_informational() || ambiguous || size.lower() > MAX_STREAMED_BODY {
            return Err(Execution::MayHaveRun);
        }
        // A body of unknown length ends with its connection, which a reset cuts off early.
        let length_unknown = size.exact().is_none();
        let too_long_to_buffer = size.lower() > MAX_BUFFERED_BODY_BYTES as u64;
        let served = report.outcome == Outcome::Served;
        let (head, mut body) = response.into_parts();
        let answer = if (length_unknown || too_long_to_buffer)
            && served
            && accepted == AcceptedResponses::OkOnly
        {
            Some(self.read_streamed(head, body, memory).await?)
        } else if too_long_to_buffer {
            return Err(Execution::MayHaveRun);
        } else {
            let mut prefix = BodyPrefix::new(&body);
            let partial = PartialResponse::MustBeComplete;
            let end = prefix.fill(&mut body, self.limits, partial).await?;
            if end != PrefixEnd::Complete {
                return Err(Execution::MayHaveRun);
            }
            let bytes = memory.attach(prefix.bytes.freeze());
            served.then(|| answer_with(head, self.shard, bytes, None))
        };
        Ok(AttemptReport { answer, ..report })
    }

    /// Returns an answer whose body is streamed. A body of unknown length is buffered first, since
    /// it may be short: it is streamed once more than [`MAX_BUFFERED_BODY_BYTES`] bytes have arrived
    /// or its server turns out to write it slowly. One that ends before that is answered whole.
    async fn read_streamed(
        &self,
        head: Parts,
        mut body: Incoming,
        mut memory: Reservation,
    ) -> Result<Answer, Execution> {
        let length = body.size_hint().exact();
        let mut prefix = BodyPrefix::new(&body);
        let mut pause = None;
        if length.is_none() {
            let partial = PartialResponse::MayBeForwarded;
            match prefix.fill(&mut body, self.limits, partial).await? {
                PrefixEnd::Complete => {
                    let bytes = memory.attach(prefix.bytes.freeze());
                    return Ok(answer_with(head, self.shard, bytes, None));
                }
                PrefixEnd::Full => {}
                PrefixEnd::Paused => pause = Some(self.limits.pause()),
            }
        }
        let beginning = [memory.attach(prefix.bytes.freeze()), prefix.next];
        let memory = memory.split(STREAM_BYTES);
        let streamed = StreamedBody::new(beginning, body, length, pause, memory);
        Ok(answer_with(head, self.shard, Bytes::new(), Some(streamed)))
    }
}

/// The first bytes of a body, up to [`MAX_BUFFERED_BODY_BYTES`].
struct BodyPrefix {
    bytes: BytesMut,
    /// The part of the body that does not fit any more.
    next: Bytes,
}

impl BodyPrefix {
    /// Creates an empty prefix with room for a body of known length that fits.
    fn new(body: &Incoming) -> BodyPrefix {
        let length = body.size_hint().exact().unwrap_or(0);
        let fits = length <= MAX_BUFFERED_BODY_BYTES as u64;
        BodyPrefix {
            bytes: BytesMut::with_capacity(if fits { length as usize } else { 0 }),
            next: Bytes::new(),
        }
    }

    /// Reads until the body ends, more of it has arrived than fits or, if `partial` allows it, what
    /// has arrived is passed on.
    ///
    /// # Errors
    /// Returns [`Execution::MayHaveRun`] if the body is truncated or malformed, or stalls.
    async fn fill(
        &mut self,
        body: &mut Incoming,
        limits: &ResponseLimits<'_>,
        partial: PartialResponse,
    ) -> Result<PrefixEnd, Execution> {
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                decision = limits.reached(partial) => {
                    limits.record(decision);
                    return match decision {
                        SlowResponseDecision::GivenUp => Err(Execution::MayHaveRun),
                        SlowResponseDecision::Forwarded => Ok(PrefixEnd::Paused),
                    };
                }
            };
            let Some(frame) = frame else {
                return Ok(PrefixEnd::Complete);
            };
            let frame = frame.map_err(|_| Execution::MayHaveRun)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if self.bytes.len() + data.len() > MAX_BUFFERED_BODY_BYTES {
                self.next = data;
                return Ok(PrefixEnd::Full);
            }
            self.bytes.extend_from_slice(&data);
            if partial == PartialResponse::MayBeForwarded && limits.is_slow() {
                limits.record(SlowResponseDecision::Forwarded);
                return Ok(PrefixEnd::Full);
            }
        }
    }
}

/// Why no more is read into a [`BodyPrefix`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum PrefixEnd {
    /// The body is complete.
    Complete,
    /// The prefix has what it can take, and the body goes on.
    Full,
    /// The server has paused, and may have hung.
    Paused,
}

/// Returns the answer made of a response head and a body, which is empty if the body is streamed.
fn answer_with(head: Parts, shard: ShardId, body: Bytes, streamed: Option<StreamedBody>) -> Answer {
    Answer {
        shard,
        status: head.status,
        headers: head.headers,
        body,
        streamed,
    }
}

/// Returns the outcome and the reported load of a response head, without an answer.
fn read_head<B>(response: &Response<B>, accepted: AcceptedResponses) -> AttemptReport<Answer> {
    let headers = response.headers();
    let volume_use = first_number(headers, &VOLUME_USE);
    AttemptReport {
        outcome: outcome_of(response.status(), headers, accepted),
        answer: None,
        observed_use: volume_use.map_or(0.0, |percent| percent + 1.0),
        foreign_units: first_number(headers, &FOREIGN_UNITS).unwrap_or(0.0),
    }
}

/// Maps the status and headers of a response to the outcome of its attempt.
fn outcome_of(status: StatusCode, headers: &HeaderMap, accepted: AcceptedResponses) -> Outcome {
    let rejected = headers.get(REJECTED).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => {
            Outcome::Rejected
        }
        // These two statuses are about the load of the server, not about the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
        status
            if accepted == AcceptedResponses::ObjectApi
                && (200..=499).contains(&status.as_u16()) =>
        {
            Outcome::Served
        }
        _ => Outcome::Error,
    }
}

/// Returns the first value of a header that is a finite number of at least 0. Other values are
/// ignored.
fn first_number(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let values = headers.get_all(name).iter();
    let mut numbers = values.filter_map(|value| value.to_str().ok()?.trim().parse().ok());
    numbers.find(|number: &f64| number.is_finite() && *number >= 0.0)
}
