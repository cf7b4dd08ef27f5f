//! Prometheus metrics of fleet-wide outlier ejection.

use prometheus::{IntCounter, IntGauge};

use crate::telemetry::metrics::Metrics;

/// Handles of the registered metrics. Operators' dashboards depend on the names and help texts.
#[derive(Clone)]
pub struct EjectionMetrics {
    /// Number of servers that are ejected.
    pub(super) ejected: IntGauge,
    /// 1 while this front's observations are ignored, or else 0.
    pub(super) suspect: IntGauge,
    /// Counts the times that it was this front's turn to probe a server.
    pub(super) probes: IntCounter,
}

impl EjectionMetrics {
    /// Creates the metrics and registers them with the value 0.
    pub fn new(registry: &Metrics) -> EjectionMetrics {
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("the name is valid");
        let probes = IntCounter::new(
            "app_verdict_trials",
            "Times that it was this front's turn to try a server",
        );
        let metrics = EjectionMetrics {
            ejected: gauge(
                "app_verdicts_out",
                "Chunk servers that this front holds out with its peers",
            ),
            suspect: gauge(
                "app_verdict_suspect",
                "1 while this front's view contradicts that of its peers, and counts for nothing",
            ),
            probes: probes.expect("the name is valid"),
        };
        registry.register(metrics.ejected.clone());
        registry.register(metrics.suspect.clone());
        registry.register(metrics.probes.clone());
        metrics
    }
}
