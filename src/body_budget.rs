//! The memory budget that all request bodies of a front share.

use std::sync::Arc;

use crate::memory_budget::{MemoryBudget, Reservation};
use crate::telemetry::body_metrics::BodyMetrics;

/// Limits the total size of the request bodies that a front buffers.
pub struct BodyBudget {
    memory: Arc<MemoryBudget>,
    metrics: BodyMetrics,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes` bytes, none of them reserved.
    pub fn new(max_bytes: usize) -> Arc<BodyBudget> {
        BodyBudget::with_memory(MemoryBudget::new(max_bytes))
    }

    /// Creates a budget for bodies that takes all of `memory`.
    pub fn with_memory(memory: Arc<MemoryBudget>) -> Arc<BodyBudget> {
        Arc::new(BodyBudget {
            metrics: BodyMetrics::new(memory.max_bytes()),
            memory,
        })
    }

    /// Returns the metrics of the budget, which are up to date at any time.
    pub fn metrics(&self) -> &BodyMetrics {
        &self.metrics
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
    memory: Reservation,
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
        let memory = Reservation::acquire(&budget.memory, 0);
        let mut reservation = BodyReservation {
            budget: Arc::clone(budget),
            memory: memory.ok_or(BodyBudgetError::Exhausted)?,
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
        if bytes > self.budget.memory.max_bytes() {
            return Err(BodyBudgetError::TooLong);
        }
        let bytes_before = self.memory.bytes();
        if !self.memory.grow(bytes) {
            return Err(BodyBudgetError::Exhausted);
        }
        let added_bytes = self.memory.bytes() - bytes_before;
        self.budget.metrics.add_reserved(added_bytes);
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.metrics.subtract_reserved(self.memory.bytes());
    }
}
