//! The metrics of the memory for request bodies.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts};

use super::metrics::Metrics;
use crate::body_budget::BodyBudgetError;

/// The reason why creating a metric cannot fail.
const VALID_NAME: &str = "the name is valid";

/// How much memory request bodies take, and which bodies got none.
pub struct BodyMetrics {
    reserved: IntGauge,
    limit: IntGauge,
    rejected: IntCounterVec,
    too_long: IntCounter,
    exhausted: IntCounter,
}

impl BodyMetrics {
    /// Creates the metrics of a budget of `max_bytes` bytes; nothing is reserved or rejected yet.
    ///
    /// # Panics
    /// Never panics: the names are valid.
    pub fn new(max_bytes: usize) -> BodyMetrics {
        let rejected = Opts::new(
            "app_request_bodies_rejected",
            "Request bodies that got no memory, by reason",
        );
        let rejected = IntCounterVec::new(rejected, &["reason"]).expect(VALID_NAME);
        let limit = gauge(
            "app_request_body_limit_bytes",
            "Memory that request bodies may take together",
        );
        limit.set(metric_value(max_bytes));
        BodyMetrics {
            reserved: gauge(
                "app_request_body_bytes",
                "Memory reserved for request bodies",
            ),
            limit,
            too_long: rejected.with_label_values(&["too_long"]),
            exhausted: rejected.with_label_values(&["exhausted"]),
            rejected,
        }
    }

    /// Adds these metrics to those of a front.
    pub fn register(&self, metrics: &Metrics) {
        metrics.register(self.reserved.clone());
        metrics.register(self.limit.clone());
        metrics.register(self.rejected.clone());
    }

    /// Counts `bytes` as reserved.
    pub(crate) fn add_reserved(&self, bytes: usize) {
        self.reserved.add(metric_value(bytes));
    }

    /// Counts `bytes` as no longer reserved.
    pub(crate) fn subtract_reserved(&self, bytes: usize) {
        self.reserved.sub(metric_value(bytes));
    }

    /// Counts a body that got no memory.
    pub(crate) fn count_rejection(&self, error: BodyBudgetError) {
        match error {
            BodyBudgetError::TooLong => self.too_long.inc(),
            BodyBudgetError::Exhausted => self.exhausted.inc(),
        }
    }
}

/// Creates a gauge at 0.
fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect(VALID_NAME)
}

/// Converts a number of bytes to the type of a gauge.
fn metric_value(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
