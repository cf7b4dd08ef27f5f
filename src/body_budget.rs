//! The memory budget that all request bodies of a front share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use crate::telemetry::body_metrics::BodyMetrics;

/// Limits the total size of the request bodies that a front buffers. It is never exceeded, so that
/// a front stays within its memory whatever its clients send.
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

    /// Reserves `bytes` more bytes, at most as many as the budget has, or none where they do not fit.
    fn reserve(&self, bytes: usize) -> Result<(), BodyBudgetError> {
        let max_bytes = self.max_bytes;
        let add = |reserved: usize| Some(reserved + bytes).filter(|sum| *sum <= max_bytes);
        self.reserved_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .map_err(|_| BodyBudgetError::Exhausted)?;
        self.metrics.add_reserved(bytes);
        Ok(())
    }

    /// Returns reserved bytes to the budget.
    fn release(&self, bytes: usize) {
        self.reserved_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.metrics.subtract_reserved(bytes);
    }
}

/// Why a body gets no memory of a [`BodyBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyBudgetError {
    /// The body is longer than the whole budget, so that it would never fit.
    #[error("the body is longer than the memory for request bodies")]
    TooLong,
    /// The other bodies leave too little memory for now.
    #[error("the memory for request bodies is in use")]
    Exhausted,
}

/// The bytes of one body, reserved in a [`BodyBudget`] until this value is dropped. A front keeps
/// it with the payload that it sends.
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves `bytes` bytes of `budget`. A body without bytes needs no memory and always fits.
    ///
    /// # Errors
    /// Returns a [`BodyBudgetError`] if the body does not fit.
    pub fn acquire(
        budget: &Arc<BodyBudget>,
        bytes: usize,
    ) -> Result<BodyReservation, BodyBudgetError> {
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
    /// Returns a [`BodyBudgetError`] if the body does not fit; the reservation then stays as it is.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BodyBudgetError> {
        let result = self.extend(bytes);
        result.inspect_err(|error| self.budget.metrics.count_rejection(*error))
    }

    /// Extends the reservation without counting a failure.
    fn extend(&mut self, bytes: usize) -> Result<(), BodyBudgetError> {
        if bytes > self.budget.max_bytes {
            return Err(BodyBudgetError::TooLong);
        }
        let additional = bytes.saturating_sub(self.bytes);
        self.budget.reserve(additional)?;
        self.bytes += additional;
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
