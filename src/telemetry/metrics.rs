//! The metrics of a front, in the Prometheus text format. Counters are incremented where their
//! events happen. Gauges are read from the front's state at each scrape.

use prometheus::core::Collector;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use tulipbridge_core::invariant_monitor::Rule;

/// Why a metric can be created.
const VALID_NAME: &str = "the name is valid";
/// Why a metric can be registered.
const UNIQUE_NAME: &str = "the name is registered once";

/// The metrics of one class of requests.
#[derive(Clone)]
pub struct ClassMetrics {
    /// Requests that were served.
    pub answered: IntCounter,
    /// Requests that were rejected, with status 429 or 503.
    pub deferred: IntCounter,
    /// Requests that failed, with any other status.
    pub errored: IntCounter,
    /// Attempts that were sent in full to chunk servers.
    sends: IntCounter,
    /// The same over all classes.
    total_sends: IntCounter,
}

impl ClassMetrics {
    /// Counts the final answer to a request by its HTTP status.
    pub fn count_answer(&self, status: u16) {
        match status {
            200..=299 => self.answered.inc(),
            429 | 503 => self.deferred.inc(),
            _ => self.errored.inc(),
        }
    }

    /// Counts an attempt whose last byte has been sent.
    pub fn count_send(&self) {
        self.sends.inc();
        self.total_sends.inc();
    }
}

/// All metrics of a front.
pub struct Metrics {
    registry: Registry,
    transactions: IntCounterVec,
    sends: IntCounter,
    active_requests: IntGauge,
    cluster_size: IntGauge,
    cluster_unhealthy: IntGauge,
    violations: IntCounterVec,
    /// Configuration files that were loaded at SIGHUP.
    pub conf_loaded: IntCounter,
    /// Configuration files that were rejected at SIGHUP.
    pub conf_invalid: IntCounter,
}

/// The values of the gauges at a scrape.
pub struct GaugeReadings {
    /// Requests in progress.
    pub active_requests: usize,
    /// Chunk servers in the endpoint list.
    pub cluster_size: usize,
    /// Those of them that the front avoids.
    pub cluster_unhealthy: usize,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// All counters and gauges at 0.
    ///
    /// # Panics
    /// Never: the names are valid and differ.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let transactions = Opts::new(
            "app_transactions",
            "Requests by class and how they ended; attempts written whole",
        );
        let transactions = IntCounterVec::new(transactions, &["group", "state"]).expect(VALID_NAME);
        let violations = Opts::new(
            "app_invariant_violations",
            "Rules broken by this process's decisions",
        );
        let violations = IntCounterVec::new(violations, &["rule"]).expect(VALID_NAME);
        for rule in Rule::ALL {
            violations.with_label_values(&[rule.name()]);
        }
        Metrics {
            violations: registered(&registry, violations),
            transactions: registered(&registry, transactions),
            sends: counter(
                &registry,
                "app_sends",
                "Attempts written whole to chunk servers",
            ),
            active_requests: gauge(&registry, "app_current", "Requests taken and not yet ended"),
            cluster_size: gauge(&registry, "app_cluster_size", "Chunk servers in the list"),
            cluster_unhealthy: gauge(
                &registry,
                "app_cluster_unhealthy",
                "Chunk servers in the list that are avoided",
            ),
            conf_loaded: counter(
                &registry,
                "app_conf_loaded",
                "Configuration files taken at SIGHUP",
            ),
            conf_invalid: counter(
                &registry,
                "app_conf_invalid",
                "Configuration files turned down at SIGHUP",
            ),
            registry,
        }
    }

    /// Counts a violation of a rule.
    pub fn count_violation(&self, rule: Rule) {
        self.violations.with_label_values(&[rule.name()]).inc();
    }

    /// Registers a metric of a part that not every front has.
    ///
    /// # Panics
    /// Where a metric of its name is registered already.
    pub fn register(&self, collector: impl Collector + 'static) {
        self.registry
            .register(Box::new(collector))
            .expect(UNIQUE_NAME);
    }

    /// The metrics of a class. They are part of every scrape from now on, at 0 until something is
    /// counted.
    pub fn class(&self, name: &str) -> ClassMetrics {
        let counter = |state: &str| self.transactions.with_label_values(&[name, state]);
        ClassMetrics {
            answered: counter("answered"),
            deferred: counter("deferred"),
            errored: counter("errored"),
            sends: counter("sends"),
            total_sends: self.sends.clone(),
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self, readings: &GaugeReadings) -> Vec<u8> {
        set(&self.active_requests, readings.active_requests);
        set(&self.cluster_size, readings.cluster_size);
        set(&self.cluster_unhealthy, readings.cluster_unhealthy);
        let mut text = Vec::new();
        ignore_malformed_metrics(TextEncoder::new().encode(&self.registry.gather(), &mut text));
        text
    }
}

/// Ignores that metrics cannot be encoded: writing to memory fails only for malformed metrics, and
/// those registered here are well-formed.
fn ignore_malformed_metrics(_outcome: prometheus::Result<()>) {}

/// A new counter, registered and at 0.
fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    registered(registry, IntCounter::new(name, help).expect(VALID_NAME))
}

/// A new gauge, registered and at 0.
fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    registered(registry, IntGauge::new(name, help).expect(VALID_NAME))
}

/// Registers a metric.
fn registered<C: Collector + Clone + 'static>(registry: &Registry, collector: C) -> C {
    registry
        .register(Box::new(collector.clone()))
        .expect(UNIQUE_NAME);
    collector
}

/// Sets a gauge to a count.
fn set(gauge: &IntGauge, value: usize) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}
