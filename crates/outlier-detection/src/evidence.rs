//! Evidence of one front on one server, and the test whether the server is an outlier by it.

use serde::{Deserialize, Serialize};

use crate::mutations::{mutated, Mutation};
use crate::{ClassId, DetectorConfig, ZoneId};

/// Maximum number of classes of work in one [`Evidence`]; further ones are ignored.
pub(crate) const MAX_CLASSES: usize = 16;
/// Numbers of attempts are published in tenths.
const TENTHS: f64 = 10.0;
/// Failure rates are published in thousandths.
const THOUSANDTHS: f64 = 1_000.0;
/// Maximum failure rate of a front's median server. Above it, the front cannot tell an outlier from
/// the other servers.
const MAX_BASELINE: f64 = 0.4;
/// Upper limit of the failure rate that is assumed of an outlier.
const MAX_FAILURE_RATE: f64 = 0.95;
/// Minimum ratio between the failure rate that is assumed of an outlier and that of a healthy
/// server.
const MIN_RATE_RATIO: f64 = 2.0;

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleQuality {
    /// The attempt was answered, and not slowly compared to this front's median latency.
    Healthy,
    /// The attempt was slow compared to this front's median latency, failed, or was not answered.
    Failed,
}

/// A front's attempts at one server for one class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassEvidence {
    /// The class of work of the attempts.
    pub class: ClassId,
    /// Number of all attempts, with exponential decay, in tenths.
    pub attempts: u16,
    /// Number of failed attempts among these, in tenths.
    pub failures: u16,
}

/// A front's evidence on one server, as it is published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The front's zone.
    pub zone: ZoneId,
    /// Failure rate of the front's median server, in thousandths.
    pub baseline: u16,
    /// The front's attempts at the server, by class of work.
    pub classes: Vec<ClassEvidence>,
}

/// What a front's evidence says about a server, for one class of work or for all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EvidenceSummary {
    /// Number of all attempts, with exponential decay.
    pub attempts: f64,
    /// Number of failed attempts among these.
    pub failures: f64,
    /// Natural logarithm of how many times more likely the evidence is for an outlier than for a
    /// healthy server.
    pub log_likelihood_ratio: f64,
}

/// The failure rates that evidence is tested against.
struct FailureRates {
    healthy: f64,
    outlier: f64,
}

impl FailureRates {
    /// Returns the rates for a front, both of which rise with the failure rate of its median
    /// server.
    fn new(baseline: f64, config: &DetectorConfig) -> FailureRates {
        let scaled_baseline = if mutated(Mutation::NoBaseline) {
            0.0
        } else {
            config.baseline_factor * baseline
        };
        let healthy = config.healthy_failure_rate.max(scaled_baseline);
        let outlier = config
            .outlier_failure_rate
            .max(MIN_RATE_RATIO * healthy)
            .min(MAX_FAILURE_RATE);
        FailureRates { healthy, outlier }
    }

    fn log_likelihood_ratio(&self, attempts: f64, failures: f64) -> f64 {
        let per_failure = (self.outlier / self.healthy).ln();
        let per_success = ((1.0 - self.outlier) / (1.0 - self.healthy)).ln();
        failures * per_failure + (attempts - failures) * per_success
    }
}

impl EvidenceSummary {
    /// Summarizes a front's evidence for one class of work, or for all of them.
    pub fn of(
        evidence: &Evidence,
        class: Option<ClassId>,
        config: &DetectorConfig,
    ) -> EvidenceSummary {
        let listed = evidence.classes.iter().take(MAX_CLASSES);
        let mut attempts = 0.0;
        let mut failures = 0.0;
        for counted in listed.filter(|listed| class.is_none_or(|class| class == listed.class)) {
            attempts += f64::from(counted.attempts) / TENTHS;
            failures += f64::from(counted.failures.min(counted.attempts)) / TENTHS;
        }
        let baseline = f64::from(evidence.baseline) / THOUSANDTHS;
        let is_inconclusive = baseline > MAX_BASELINE && !mutated(Mutation::NoBaseline);
        if attempts <= 0.0 || is_inconclusive {
            return EvidenceSummary {
                attempts,
                failures,
                log_likelihood_ratio: 0.0,
            };
        }
        // A front with many attempts must not outweigh all the others.
        let weight = if mutated(Mutation::SamplesUncapped) {
            1.0
        } else {
            (config.max_weight / attempts).min(1.0)
        };
        let ratio = FailureRates::new(baseline, config).log_likelihood_ratio(attempts, failures);
        EvidenceSummary {
            attempts,
            failures,
            log_likelihood_ratio: ratio * weight,
        }
    }
}

/// Returns a number of attempts in tenths, as it is published.
pub(crate) fn to_tenths(attempts: f64) -> u16 {
    (attempts * TENTHS).round().min(f64::from(u16::MAX)) as u16
}

/// Returns a front's failure rate over all classes of work, or NaN if there are no attempts.
pub(crate) fn failure_rate(classes: &[ClassEvidence]) -> f64 {
    let failures: f64 = classes.iter().map(|class| f64::from(class.failures)).sum();
    let attempts: f64 = classes.iter().map(|class| f64::from(class.attempts)).sum();
    failures / attempts
}

/// Returns the median of a front's failure rates at its servers, the upper one of two, in
/// thousandths. Returns `u16::MAX` if there are none, since nothing can be compared then.
pub(crate) fn baseline(mut failure_rates: Vec<f64>) -> u16 {
    failure_rates.sort_by(f64::total_cmp);
    let median = failure_rates.get(failure_rates.len() / 2);
    median.map_or(u16::MAX, |rate| (rate * THOUSANDTHS).round() as u16)
}
