//! Reading request bodies within limits on size, time and total memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use tokio::time::{timeout_at, Instant};

use crate::body_budget::{BodyBudget, BodyBudgetError, BodyReservation};
use crate::limits::MAX_BUFFERED_BODY_BYTES;

/// Maximum size of a request body in bytes, unless the handler accepts less.
pub(super) const MAX_REQUEST_BODY: usize = 32 << 20;
/// Maximum time between two frames of a request body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A complete request body and the reservation of its memory.
pub(super) struct ReceivedBody {
    pub bytes: Bytes,
    pub reservation: Arc<BodyReservation>,
}

/// Which bodies are read, and how long that may take to begin.
pub(super) struct BodyLimits {
    /// Maximum length in bytes.
    pub max_bytes: usize,
    /// By when the first bytes must arrive.
    pub start_by: Instant,
}

/// Reads a request body completely. The total time is not limited as long as the client keeps
/// sending, so that a slow client can send a long body.
///
/// # Errors
/// Returns the status of the response: 413 for a body over the limit or over the whole `budget`, 503
/// where other bodies have the budget, 400 for a malformed or truncated body, 408 for one that does
/// not start in time or pauses for longer than [`BODY_IDLE_TIMEOUT`].
pub(super) async fn read_body(
    mut body: Incoming,
    limits: BodyLimits,
    budget: &Arc<BodyBudget>,
) -> Result<ReceivedBody, StatusCode> {
    let declared_length = body.size_hint().lower();
    if declared_length > limits.max_bytes as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    // The conversion loses nothing, as the check above has limited the length.
    let declared_length = declared_length as usize;
    let mut reservation =
        BodyReservation::acquire(budget, declared_length).map_err(rejection_status)?;
    // A client may declare a long body and send none, so at most `MAX_BUFFERED_BODY_BYTES` is
    // allocated up front.
    let mut bytes = BytesMut::with_capacity(declared_length.min(MAX_BUFFERED_BODY_BYTES));
    let mut frame_deadline = limits.start_by;
    loop {
        let frame = timeout_at(frame_deadline, body.frame()).await;
        let Some(frame) = frame.map_err(|_| StatusCode::REQUEST_TIMEOUT)? else {
            break;
        };
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        if let Ok(data) = frame.into_data() {
            let length = bytes.len() + data.len();
            if length > limits.max_bytes {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            reservation.grow(length).map_err(rejection_status)?;
            bytes.extend_from_slice(&data);
        }
        frame_deadline = Instant::now() + BODY_IDLE_TIMEOUT;
    }
    Ok(ReceivedBody {
        bytes: bytes.freeze(),
        reservation: Arc::new(reservation),
    })
}

/// Returns the status of the response to a request whose body gets no memory.
fn rejection_status(error: BodyBudgetError) -> StatusCode {
    match error {
        BodyBudgetError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyBudgetError::Exhausted => StatusCode::SERVICE_UNAVAILABLE,
    }
}
