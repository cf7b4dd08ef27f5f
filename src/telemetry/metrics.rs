//! The figures that operators scrape, in the Prometheus text format. Each is counted where its event happens;
//! what is read from state (`app_cluster_size`, `app_cluster_unhealthy`) is read from the module itself at the
//! scrape.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// The figures of one class.
#[derive(Clone)]
pub struct ClassMetrics {
    /// Requests served.
    pub answered: IntCounter,
    /// Requests refused: 429 or 503.
    pub deferred: IntCounter,
    /// Requests failed: any other answer.
    pub errored: IntCounter,
    /// Attempts written whole to chunk servers, of this class and of all.
    sends: [IntCounter; 2],
}

impl ClassMetrics {
    /// Counts a final answer by its status.
    pub fn count_answer(&self, status: u16) {
        match status {
            200..=299 => self.answered.inc(),
            429 | 503 => self.deferred.inc(),
            _ => self.errored.inc(),
        }
    }

    /// Counts an attempt whose last byte is written.
    pub fn count_send(&self) {
        self.sends.iter().for_each(IntCounter::inc);
    }
}

/// All figures of a front.
pub struct Metrics {
    registry: Registry,
    transactions: IntCounterVec,
    sends: IntCounter,
    current: IntGauge,
    cluster_size: IntGauge,
    cluster_unhealthy: IntGauge,
    /// Files taken at SIGHUP.
    pub conf_loaded: IntCounter,
    /// Files turned down at SIGHUP.
    pub conf_invalid: IntCounter,
}

/// What is read at the scrape.
pub struct GaugeReadings {
    /// Requests taken and not yet ended.
    pub current: usize,
    /// Chunk servers in the list.
    pub cluster_size: usize,
    /// Of them, those that the front now avoids.
    pub cluster_unhealthy: usize,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// All at 0.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let transactions = IntCounterVec::new(
            Opts::new("app_transactions", "Requests by class and how they ended; attempts written whole"),
            &["group", "state"],
        )
        .expect("the names are valid");
        let counter = |name: &str, help: &str| IntCounter::new(name, help).expect("the names are valid");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("the names are valid");
        let figures = Metrics {
            transactions,
            sends: counter("app_sends", "Attempts written whole to chunk servers"),
            current: gauge("app_current", "Requests taken and not yet ended"),
            cluster_size: gauge("app_cluster_size", "Chunk servers in the list"),
            cluster_unhealthy: gauge("app_cluster_unhealthy", "Chunk servers in the list that are avoided"),
            conf_loaded: counter("app_conf_loaded", "Configuration files taken at SIGHUP"),
            conf_invalid: counter("app_conf_invalid", "Configuration files turned down at SIGHUP"),
            registry,
        };
        let registry = &figures.registry;
        let all: [Box<dyn prometheus::core::Collector>; 7] = [
            Box::new(figures.transactions.clone()),
            Box::new(figures.sends.clone()),
            Box::new(figures.current.clone()),
            Box::new(figures.cluster_size.clone()),
            Box::new(figures.cluster_unhealthy.clone()),
            Box::new(figures.conf_loaded.clone()),
            Box::new(figures.conf_invalid.clone()),
        ];
        for collector in all {
            registry.register(collector).expect("each name once");
        }
        figures
    }

    /// Further figures, of a part that not every front has.
    pub fn register(&self, collector: impl prometheus::core::Collector + 'static) {
        self.registry.register(Box::new(collector)).expect("each name once");
    }

    /// The figures of a class, at 0 where it is new: a scrape shows every class from the start.
    pub fn class(&self, name: &str) -> ClassMetrics {
        let counter = |state: &str| self.transactions.with_label_values(&[name, state]);
        ClassMetrics {
            answered: counter("answered"),
            deferred: counter("deferred"),
            errored: counter("errored"),
            sends: [counter("sends"), self.sends.clone()],
        }
    }

    /// The text that a scrape gets.
    pub fn render(&self, reading: &GaugeReadings) -> Vec<u8> {
        let gauge = |g: &IntGauge, v: usize| g.set(i64::try_from(v).unwrap_or(i64::MAX));
        gauge(&self.current, reading.current);
        gauge(&self.cluster_size, reading.cluster_size);
        gauge(&self.cluster_unhealthy, reading.cluster_unhealthy);
        let mut text = Vec::new();
        // Writing into memory fails only where a figure is malformed, and none is.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
