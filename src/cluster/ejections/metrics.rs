//! Prometheus metrics of ejections that are decided with the peers.

use prometheus::{IntCounter, IntGauge};

use crate::telemetry::metrics::Metrics;

/// The metrics. Names and help texts are what operators' dashboards use.
#[derive(Clone)]
pub struct EjectionMetrics {
    pub(super) ejected: IntGauge,
    pub(super) suspect: IntGauge,
    pub(super) probes: IntCounter,
}

impl EjectionMetrics {
    /// Registers all metrics with the value 0.
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
