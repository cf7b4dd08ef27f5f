//! The memory budget that all request bodies of a front share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use crate::telemetry::body_metrics::BodyMetrics;

/// Limits the total size of the request bodies that a front buffers.
pub struct BodyBudget {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
    metrics: BodyMetrics,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes` bytes, none of them reserved.
    pub fn new(max_bytes: usize) -> Arc<BodyBudget> {
        Arc::new(BodyBudget {
            max_bytes,
            reserved_bytes: AtomicUsize::new(0),
            metrics: BodyMetrics::new(max_bytes),
        })
    }

    /// Returns the metrics of the budget, which are up to date at any time.
    pub fn metrics(&self) -> &BodyMetrics {
        &self.metrics
    }
}

/// The error of a reservation that would exceed its [`BodyBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for request bodies is in use")]
pub struct BodyBudgetExhausted;

/// The bytes of one body, reserved in a [`BodyBudget`] until this value is dropped. A front keeps
/// it with the payload that it sends.
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves `bytes` bytes of `budget`.
    ///
    /// # Errors
    /// Returns [`BodyBudgetExhausted`] if the other bodies leave too little memory.
    pub fn acquire(
        budget: &Arc<BodyBudget>,
        bytes: usize,
    ) -> Result<BodyReservation, BodyBudgetExhausted> {
        let mut reservation = BodyReservation {
            budget: Arc::clone(budget),
            bytes: 0,
        };
        reservation.grow(bytes)?;
        Ok(reservation)
    }

    /// Extends the reservation to `bytes` bytes in total. A smaller number does not shrink it.
    ///
    /// # Errors
    /// Returns [`BodyBudgetExhausted`] if the other bodies leave too little memory.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BodyBudgetExhausted> {
        let additional = bytes.saturating_sub(self.bytes);
        let reserved = self
            .budget
            .reserved_bytes
            .fetch_add(additional, Ordering::Relaxed)
            + additional;
        self.budget.metrics.add_reserved(additional);
        self.bytes += additional;
        // A single body always fits, so that a long request is not rejected forever.
        if reserved > self.budget.max_bytes && reserved > self.bytes {
            self.budget.metrics.count_exhausted();
            return Err(BodyBudgetExhausted);
        }
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget
            .reserved_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
        self.budget.metrics.subtract_reserved(self.bytes);
    }
}
