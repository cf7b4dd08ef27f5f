//! Evidence of one front on one server, and what it says about the server's health.

use serde::{Deserialize, Serialize};

use crate::mutations::{mutated, Mutation};
use crate::{ClassId, DetectorConfig, ZoneId};

/// Maximum number of classes of work in one [`Evidence`].
pub(crate) const MAX_CLASSES: usize = 16;
/// Attempts are published in tenths.
const TENTHS: f64 = 10.0;
/// Failure rates are published in thousandths.
const THOUSANDTHS: f64 = 1_000.0;
/// Where the failure rate of a front's median server exceeds this, the front cannot tell an outlier
/// from the rest.
const MAX_BASELINE: f64 = 0.4;
/// Upper bound of the failure rate that is assumed of an outlier.
const MAX_FAILURE_RATE: f64 = 0.95;
/// The failure rate that is assumed of an outlier is at least this many times that of a healthy
/// server.
const MIN_RATE_RATIO: f64 = 2.0;

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleQuality {
    /// It was answered in time, compared to this front's median.
    Healthy,
    /// It was slow compared to this front's median, failed, or was not answered.
    Failed,
}

/// A front's attempts at one server for one class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassEvidence {
    /// The class of work.
    pub class: ClassId,
    /// All attempts, with exponential decay, in tenths.
    pub attempts: u16,
    /// The failed ones among these, in tenths.
    pub failures: u16,
}

/// A front's evidence on one server, as it is published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The front's zone.
    pub zone: ZoneId,
    /// Failure rate of the front's median server, in thousandths.
    pub baseline: u16,
    /// The attempts, by class of work.
    pub classes: Vec<ClassEvidence>,
}

/// What a front's evidence says about a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EvidenceSummary {
    /// All attempts.
    pub attempts: f64,
    /// The failed ones among these.
    pub failures: f64,
    /// Natural logarithm of how much more likely the evidence is for an outlier than for a healthy
    /// server.
    pub log_likelihood_ratio: f64,
}

/// The failure rates that evidence is tested against.
struct FailureRates {
    healthy: f64,
    outlier: f64,
}

impl FailureRates {
    /// Both rates rise with the failure rate of the front's median server.
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
        let of_failure = (self.outlier / self.healthy).ln();
        let of_success = ((1.0 - self.outlier) / (1.0 - self.healthy)).ln();
        failures * of_failure + (attempts - failures) * of_success
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

/// A number of attempts in tenths, as it is published.
pub(crate) fn to_tenths(attempts: f64) -> u16 {
    (attempts * TENTHS).round().min(f64::from(u16::MAX)) as u16
}

/// A front's failure rate over all classes of work; NaN without attempts.
pub(crate) fn failure_rate(classes: &[ClassEvidence]) -> f64 {
    let failures: f64 = classes.iter().map(|class| f64::from(class.failures)).sum();
    let attempts: f64 = classes.iter().map(|class| f64::from(class.attempts)).sum();
    failures / attempts
}

/// The median of a front's failure rates, the upper one of two, in thousandths. The largest number
/// without any, since nothing can be compared then.
pub(crate) fn baseline(mut failure_rates: Vec<f64>) -> u16 {
    failure_rates.sort_by(f64::total_cmp);
    let median = failure_rates.get(failure_rates.len() / 2);
    median.map_or(u16::MAX, |rate| (rate * THOUSANDTHS).round() as u16)
}
