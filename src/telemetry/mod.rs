//! Observability of a front: log lines, a trace of decisions, and metrics.

pub mod body_metrics;
pub mod buffer_metrics;
pub mod log;
pub mod metrics;
pub mod trace;
