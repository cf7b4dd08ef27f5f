//! The memory that responses take while they are received and passed on.

use std::sync::Arc;

use crate::limits::MAX_BUFFERED_BODY_BYTES;
use crate::memory_budget::{MemoryBudget, Reservation};
use crate::socket_io::MAX_READ_BYTES;
use crate::telemetry::buffer_metrics::BufferMetrics;

/// The size in bytes of hyper's read buffer, of which [`MAX_READ_BYTES`] never fills all.
const READ_BUFFER_BYTES: usize = MAX_READ_BYTES + 1;
/// The most memory in bytes that the parts of a streamed body take beside its buffered beginning:
/// one on its way from the connection, one or two that wait to be written to the client.
pub(super) const STREAM_BYTES: usize = 3 * READ_BUFFER_BYTES;
/// The most memory in bytes that a response takes.
pub const RESPONSE_BYTES: usize = MAX_BUFFERED_BODY_BYTES + STREAM_BYTES;
/// Parts of a streamed body that are shorter are copied, since each keeps the read buffer that it
/// has arrived in.
pub(super) const MIN_UNCOPIED_BYTES: usize = READ_BUFFER_BYTES / 2;

/// The memory of all responses of a front.
pub struct ResponseMemory {
    budget: Arc<MemoryBudget>,
    metrics: BufferMetrics,
}

impl ResponseMemory {
    /// Creates the memory of responses that take theirs from `budget`.
    pub fn new(budget: Arc<MemoryBudget>) -> ResponseMemory {
        ResponseMemory {
            metrics: BufferMetrics::new(&budget),
            budget,
        }
    }

    /// Returns the metrics of the budget.
    pub fn metrics(&self) -> &BufferMetrics {
        &self.metrics
    }

    /// Reserves the memory of one response before its request is sent, so that each request that
    /// may be executed can be answered. Returns `None` where it does not fit.
    pub(super) fn reserve(&self) -> Option<Reservation> {
        let reservation = Reservation::acquire(&self.budget, RESPONSE_BYTES);
        if reservation.is_none() {
            self.metrics.count_attempt_without_memory();
        }
        reservation
    }
}
