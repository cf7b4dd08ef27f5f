//! The metrics of a front, in the Prometheus text format. Counters are incremented when their
//! events happen; gauges are set from the front's state at each scrape.

use prometheus::core::Collector;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use tulipbridge_core::invariant_monitor::Rule;

/// The reason why creating a metric cannot fail.
const VALID_NAME: &str = "the name is valid";
/// The reason why registering a metric cannot fail.
const UNIQUE_NAME: &str = "the name is registered once";

/// What was decided about a response whose chunk server pauses before it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowResponseDecision {
    /// What has arrived is passed on to the client, and the rest as it comes.
    Forwarded,
    /// The attempt was given up.
    GivenUp,
}

impl SlowResponseDecision {
    /// Returns the name in metrics and in the decision trace.
    pub fn name(self) -> &'static str {
        match self {
            SlowResponseDecision::Forwarded => "forwarded",
            SlowResponseDecision::GivenUp => "given_up",
        }
    }
}

/// The metrics of one class of requests.
#[derive(Clone)]
pub struct ClassMetrics {
    /// Requests that were served.
    pub served: IntCounter,
    /// Requests that were rejected, with status 429 or 503.
    pub rejected: IntCounter,
    /// Requests that failed, with any other status.
    pub failed: IntCounter,
    /// Attempts that were sent in full to chunk servers.
    sends: IntCounter,
    /// Attempts of all classes that were sent in full to chunk servers.
    total_sends: IntCounter,
    /// Responses whose server paused and that were passed on as they came.
    slow_forwarded: IntCounter,
    /// Responses whose server paused and whose attempt was given up.
    slow_given_up: IntCounter,
}

impl ClassMetrics {
    /// Counts the final answer to a request by its HTTP status.
    pub fn count_answer(&self, status: u16) {
        match status {
            200..=299 => self.served.inc(),
            429 | 503 => self.rejected.inc(),
            _ => self.failed.inc(),
        }
    }

    /// Counts an attempt whose last byte has been sent.
    pub fn count_send(&self) {
        self.sends.inc();
        self.total_sends.inc();
    }

    /// Counts a decision about a response whose server pauses.
    pub fn count_slow_response(&self, decision: SlowResponseDecision) {
        match decision {
            SlowResponseDecision::Forwarded => self.slow_forwarded.inc(),
            SlowResponseDecision::GivenUp => self.slow_given_up.inc(),
        }
    }
}

/// All metrics of a front.
pub struct Metrics {
    registry: Registry,
    transactions: IntCounterVec,
    slow_responses: IntCounterVec,
    sends: IntCounter,
    active_requests: IntGauge,
    cluster_size: IntGauge,
    cluster_unhealthy: IntGauge,
    violations: IntCounterVec,
    /// Configuration files that were accepted at SIGHUP.
    pub conf_loaded: IntCounter,
    /// Configuration files that were rejected at SIGHUP.
    pub conf_invalid: IntCounter,
}

/// The values of the gauges at the time of a scrape.
pub struct GaugeReadings {
    /// Requests that were accepted and have not ended yet.
    pub active_requests: usize,
    /// Chunk servers in the endpoint list.
    pub cluster_size: usize,
    /// Chunk servers in the endpoint list that the front avoids.
    pub cluster_unhealthy: usize,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Creates all counters and gauges, each at 0.
    ///
    /// # Panics
    /// Never panics: the names are valid and distinct.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let transactions = Opts::new(
            "app_transactions",
            "Requests by class and how they ended; attempts written whole",
        );
        let transactions = IntCounterVec::new(transactions, &["group", "state"]).expect(VALID_NAME);
        let slow_responses = Opts::new(
            "app_slow_responses",
            "Responses whose chunk server paused, by what was decided about them",
        );
        let slow_responses =
            IntCounterVec::new(slow_responses, &["group", "decision"]).expect(VALID_NAME);
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
            slow_responses: registered(&registry, slow_responses),
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

    /// Registers a metric of a component that not every front has.
    ///
    /// # Panics
    /// Panics if a metric of the same name is already registered.
    pub fn register(&self, collector: impl Collector + 'static) {
        self.registry
            .register(Box::new(collector))
            .expect(UNIQUE_NAME);
    }

    /// Returns the metrics of a class. From now on every scrape contains them, at 0 until something
    /// is counted.
    pub fn class(&self, name: &str) -> ClassMetrics {
        let counter = |state: &str| self.transactions.with_label_values(&[name, state]);
        let slow = |decision: SlowResponseDecision| {
            let labels = [name, decision.name()];
            self.slow_responses.with_label_values(&labels)
        };
        ClassMetrics {
            served: counter("answered"),
            rejected: counter("deferred"),
            failed: counter("errored"),
            sends: counter("sends"),
            total_sends: self.sends.clone(),
            slow_forwarded: slow(SlowResponseDecision::Forwarded),
            slow_given_up: slow(SlowResponseDecision::GivenUp),
        }
    }

    /// Sets the gauges and returns all metrics in the Prometheus text format.
    pub fn render(&self, readings: &GaugeReadings) -> Vec<u8> {
        set(&self.active_requests, readings.active_requests);
        set(&self.cluster_size, readings.cluster_size);
        set(&self.cluster_unhealthy, readings.cluster_unhealthy);
        let mut text = Vec::new();
        ignore_malformed_metrics(TextEncoder::new().encode(&self.registry.gather(), &mut text));
        text
    }
}

/// Ignores an encoding error: encoding to memory fails only for malformed metrics, and those
/// registered here are well-formed.
fn ignore_malformed_metrics(_outcome: prometheus::Result<()>) {}

/// Creates and registers a counter at 0.
fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    registered(registry, IntCounter::new(name, help).expect(VALID_NAME))
}

/// Creates and registers a gauge at 0.
fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    registered(registry, IntGauge::new(name, help).expect(VALID_NAME))
}

/// Registers a metric and returns it.
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
