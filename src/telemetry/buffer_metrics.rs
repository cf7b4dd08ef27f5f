//! The metrics of the memory for the buffers of requests and responses.

use std::sync::Arc;

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounter, IntGauge};

use crate::memory_budget::MemoryBudget;

/// The reason why creating a metric cannot fail.
const VALID_NAME: &str = "the name is valid";

/// How much memory the buffers of requests and responses take, read at each scrape.
#[derive(Clone)]
pub struct BufferMetrics {
    memory: Arc<MemoryBudget>,
    reserved: IntGauge,
    limit: IntGauge,
    attempts_without_memory: IntCounter,
}

impl BufferMetrics {
    /// Creates the metrics of a budget.
    ///
    /// # Panics
    /// Never panics: the names are valid.
    pub fn new(memory: &Arc<MemoryBudget>) -> BufferMetrics {
        let reserved = IntGauge::new(
            "app_buffer_bytes",
            "Memory reserved for the buffers of requests and responses",
        );
        let limit = IntGauge::new(
            "app_buffer_limit_bytes",
            "Memory that the buffers of requests and responses may take together",
        );
        let attempts_without_memory = IntCounter::new(
            "app_attempts_without_memory",
            "Attempts that were not sent as there was no memory for their response",
        );
        BufferMetrics {
            memory: Arc::clone(memory),
            reserved: reserved.expect(VALID_NAME),
            limit: limit.expect(VALID_NAME),
            attempts_without_memory: attempts_without_memory.expect(VALID_NAME),
        }
    }

    /// Counts an attempt that was not sent as there was no memory for its response.
    pub(crate) fn count_attempt_without_memory(&self) {
        self.attempts_without_memory.inc();
    }

    /// Sets the gauges from the budget.
    fn update(&self) {
        self.reserved
            .set(metric_value(self.memory.reserved_bytes()));
        self.limit.set(metric_value(self.memory.max_bytes()));
    }
}

impl Collector for BufferMetrics {
    fn desc(&self) -> Vec<&Desc> {
        let gauges = self.reserved.desc().into_iter().chain(self.limit.desc());
        gauges.chain(self.attempts_without_memory.desc()).collect()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.update();
        let gauges = self.reserved.collect().into_iter();
        let gauges = gauges.chain(self.limit.collect());
        gauges
            .chain(self.attempts_without_memory.collect())
            .collect()
    }
}

/// Converts a number of bytes to the type of a gauge.
fn metric_value(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
