//! Reading request bodies within limits of size, time and total memory.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use tokio::time::{timeout_at, Instant};

use crate::upstream::MAX_BODY;

/// The most bytes of a request body.
pub(super) const MAX_REQUEST_BODY: usize = 32 << 20;
/// The longest pause between two parts of a request body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A request body with the reservation of its memory.
pub(super) struct ReceivedBody {
    pub bytes: Bytes,
    pub reservation: Arc<BodyReservation>,
}

/// Reads a request body completely. A slow client may take long for a long body as long as it keeps sending.
///
/// # Errors
/// The status to answer: 413 for a body over [`MAX_REQUEST_BODY`], 503 where `budget` is exhausted, 400 for a body
/// that is truncated, 408 for one that does not start by `start_by` or pauses for [`BODY_IDLE_TIMEOUT`].
pub(super) async fn read_body(
    mut body: Incoming,
    start_by: Instant,
    budget: &Arc<BodyBudget>,
) -> Result<ReceivedBody, StatusCode> {
    let announced = body.size_hint().lower();
    if announced > MAX_REQUEST_BODY as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut reservation = BodyReservation::acquire(budget, usize::try_from(announced).unwrap_or(usize::MAX))?;
    let mut bytes = BytesMut::with_capacity(usize::try_from(announced).unwrap_or(0).min(MAX_BODY));
    let mut frame_deadline = start_by;
    loop {
        let frame = timeout_at(frame_deadline, body.frame()).await;
        let Some(frame) = frame.map_err(|_| StatusCode::REQUEST_TIMEOUT)? else { break };
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        if let Ok(data) = frame.into_data() {
            let length = bytes.len() + data.len();
            if length > MAX_REQUEST_BODY {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            reservation.grow(length)?;
            bytes.extend_from_slice(&data);
        }
        frame_deadline = Instant::now() + BODY_IDLE_TIMEOUT;
    }
    Ok(ReceivedBody { bytes: bytes.freeze(), reservation: Arc::new(reservation) })
}

/// Limits the total bytes of request bodies that a front holds in memory.
pub struct BodyBudget {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
}

impl BodyBudget {
    /// A budget of `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Arc<BodyBudget> {
        Arc::new(BodyBudget { max_bytes, reserved_bytes: AtomicUsize::new(0) })
    }
}

/// The bytes of one body, reserved in a [`BodyBudget`] until this is dropped. A front keeps it with the payload that
/// it sends.
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves `bytes` bytes.
    ///
    /// # Errors
    /// 503 where the budget is exhausted.
    fn acquire(budget: &Arc<BodyBudget>, bytes: usize) -> Result<BodyReservation, StatusCode> {
        let mut reservation = BodyReservation { budget: Arc::clone(budget), bytes: 0 };
        reservation.grow(bytes)?;
        Ok(reservation)
    }

    /// Extends the reservation to `bytes` bytes in total.
    ///
    /// # Errors
    /// 503 where the budget is exhausted.
    fn grow(&mut self, bytes: usize) -> Result<(), StatusCode> {
        let additional = bytes.saturating_sub(self.bytes);
        let reserved = self.budget.reserved_bytes.fetch_add(additional, Ordering::Relaxed) + additional;
        self.bytes += additional;
        // A body alone always fits, so that no long request is refused for ever.
        if reserved > self.budget.max_bytes && reserved > self.bytes {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
