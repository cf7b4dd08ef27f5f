//! What a front saw of a server.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::mutations::{mutated, Mutation};
use crate::{Class, DetectorConfig, Nanos, Zone};

/// Attempts are told in tenths.
const TENTHS: f64 = 10.0;
/// Parts are told in thousandths.
const THOUSANDTHS: f64 = 1_000.0;
/// Most classes of one evidence.
pub(crate) const MAX_CLASSES: usize = 16;

/// What an attempt was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleQuality {
    /// Answered in time, by this front's own base.
    Healthy,
    /// Slow by this front's own base, failed, or not answered.
    Failed,
}

/// Attempts at a server for one class of work, fading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayingCount {
    attempts: f64,
    failures: f64,
    at: Nanos,
}

impl DecayingCount {
    pub fn add(&mut self, now: Nanos, worth: SampleQuality, half_life: Nanos) {
        *self = self.decayed(now, half_life);
        self.attempts += 1.0;
        self.failures += f64::from(u8::from(worth == SampleQuality::Failed));
    }

    pub fn decayed(&self, now: Nanos, half_life: Nanos) -> DecayingCount {
        let left = 0.5f64.powf((now - self.at).max(0) as f64 / half_life as f64);
        DecayingCount { attempts: self.attempts * left, failures: self.failures * left, at: now }
    }

    pub fn is_negligible(&self) -> bool {
        self.attempts < 0.05
    }

    pub fn seen(&self, class: Class) -> ClassEvidence {
        let tenths = |x: f64| (x * TENTHS).round().min(f64::from(u16::MAX)) as u16;
        ClassEvidence { class, attempts: tenths(self.attempts), failures: tenths(self.failures) }
    }
}

/// Attempts for one class of work, in tenths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassEvidence {
    /// The class.
    pub class: Class,
    /// All.
    pub attempts: u16,
    /// Of these, bad.
    pub failures: u16,
}

/// What a front saw of a server, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The front's zone.
    pub zone: Zone,
    /// Thousandths of bad attempts at the front's median server.
    pub baseline: u16,
    /// By class of work.
    pub classes: Vec<ClassEvidence>,
}

/// Where more than this part is bad at a front's median server, it cannot tell a bad server from the rest.
const MAX_BASELINE: f64 = 0.4;
/// No part is taken for more.
const MAX_FAILURE_RATE: f64 = 0.95;

/// What evidence says, of one front or of several added up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EvidenceSummary {
    pub attempts: f64,
    pub failures: f64,
    /// How much more likely it is for a bad server than for a good one, as a logarithm.
    pub log_likelihood_ratio: f64,
}

impl EvidenceSummary {
    /// Of a front's evidence, what counts for a class or for all.
    pub fn of(evidence: &Evidence, class: Option<Class>, terms: &DetectorConfig) -> EvidenceSummary {
        let seen = evidence.classes.iter().take(MAX_CLASSES).filter(|s| class.is_none_or(|c| c == s.class));
        let (mut attempts, mut bad) = (0.0, 0.0);
        for one in seen {
            attempts += f64::from(one.attempts) / TENTHS;
            bad += f64::from(one.failures.min(one.attempts)) / TENTHS;
        }
        let base = f64::from(evidence.baseline) / THOUSANDTHS;
        if attempts <= 0.0 || (base > MAX_BASELINE && !mutated(Mutation::NoBase)) {
            return EvidenceSummary { attempts, failures: bad, log_likelihood_ratio: 0.0 };
        }
        // No front's word weighs more for having tried more often than any other would have.
        let weight =
            if mutated(Mutation::SamplesUncapped) { 1.0 } else { (terms.max_weight / attempts).min(1.0) };
        let well = if mutated(Mutation::NoBase) { 0.0 } else { terms.baseline_factor * base };
        let well = terms.healthy_failure_rate.max(well);
        let ill = terms.outlier_failure_rate.max(2.0 * well).min(MAX_FAILURE_RATE);
        let proof = bad * (ill / well).ln() + (attempts - bad) * ((1.0 - ill) / (1.0 - well)).ln();
        EvidenceSummary { attempts, failures: bad, log_likelihood_ratio: proof * weight }
    }
}

/// Thousandths of bad attempts at the median of a front's servers, the upper of two.
pub(crate) fn baseline(parts: &mut [f64]) -> u16 {
    parts.sort_by(f64::total_cmp);
    parts.get(parts.len() / 2).map_or(u16::MAX, |part| (part * THOUSANDTHS).round() as u16)
}

/// Adds the counts of a server up, by class.
pub(crate) fn class_evidence(
    counts: &BTreeMap<(u64, Class), DecayingCount>,
    server: u64,
    now: Nanos,
    half_life: Nanos,
) -> Vec<ClassEvidence> {
    let of = counts.range((server, 0)..=(server, Class::MAX));
    let all = of.map(|((_, class), count)| count.decayed(now, half_life).seen(*class));
    all.filter(|s| s.attempts > 0).take(MAX_CLASSES).collect()
}
