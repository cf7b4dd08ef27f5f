//! Decaying counts of this front's attempts, by server and class of work.

use std::collections::BTreeMap;

use crate::evidence::{to_tenths, MAX_CLASSES};
use crate::{ClassEvidence, ClassId, Nanos, SampleQuality, ServerId};

/// Counts that have decayed to fewer attempts than this are dropped.
const NEGLIGIBLE_ATTEMPTS: f64 = 0.05;

/// Attempts at one server for one class of work, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingCount {
    attempts: f64,
    failures: f64,
    /// The time up to which the decay is included.
    at: Nanos,
}

impl DecayingCount {
    fn add(&mut self, now: Nanos, quality: SampleQuality, half_life: Nanos) {
        *self = self.decayed(now, half_life);
        self.attempts += 1.0;
        if quality == SampleQuality::Failed {
            self.failures += 1.0;
        }
    }

    fn decayed(&self, now: Nanos, half_life: Nanos) -> DecayingCount {
        let elapsed = (now - self.at).max(0) as f64;
        let remaining = 0.5f64.powf(elapsed / half_life as f64);
        DecayingCount {
            attempts: self.attempts * remaining,
            failures: self.failures * remaining,
            at: now,
        }
    }

    fn evidence(&self, class: ClassId) -> ClassEvidence {
        ClassEvidence {
            class,
            attempts: to_tenths(self.attempts),
            failures: to_tenths(self.failures),
        }
    }
}

/// Decaying counts of this front's attempts at all servers.
#[derive(Clone, Debug)]
pub(crate) struct AttemptCounts {
    half_life: Nanos,
    counts: BTreeMap<(ServerId, ClassId), DecayingCount>,
}

impl AttemptCounts {
    /// Creates empty counts. An attempt counts half after `half_life`.
    pub fn new(half_life: Nanos) -> AttemptCounts {
        AttemptCounts {
            half_life,
            counts: BTreeMap::new(),
        }
    }

    /// Adds one attempt.
    pub fn add(&mut self, now: Nanos, server: ServerId, class: ClassId, quality: SampleQuality) {
        let half_life = self.half_life;
        self.counts
            .entry((server, class))
            .or_default()
            .add(now, quality, half_life);
    }

    /// Drops the counts of all servers for which `keep` returns false.
    pub fn retain_servers(&mut self, keep: impl Fn(ServerId) -> bool) {
        self.counts.retain(|(server, _), _| keep(*server));
    }

    /// Drops the counts that have decayed to almost nothing.
    pub fn drop_negligible(&mut self, now: Nanos) {
        let half_life = self.half_life;
        self.counts
            .retain(|_, count| count.decayed(now, half_life).attempts >= NEGLIGIBLE_ATTEMPTS);
    }

    /// Returns the evidence on a server for each class of work with attempts, up to [`MAX_CLASSES`]
    /// classes.
    pub fn evidence(&self, now: Nanos, server: ServerId) -> Vec<ClassEvidence> {
        let counts = self
            .counts
            .range((server, ClassId(u8::MIN))..=(server, ClassId(u8::MAX)));
        let evidence =
            counts.map(|((_, class), count)| count.decayed(now, self.half_life).evidence(*class));
        evidence
            .filter(|evidence| evidence.attempts > 0)
            .take(MAX_CLASSES)
            .collect()
    }
}
