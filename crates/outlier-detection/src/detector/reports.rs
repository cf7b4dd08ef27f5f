//! Explanations of ejections for operators.

use std::collections::BTreeSet;

use super::{OutlierDetector, View, Views};
use crate::evidence::EvidenceSummary;
use crate::{
    ClassId, EjectionReport, EjectionTarget, GossipStore, Nanos, Observation, PeerId, ServerId,
};

impl OutlierDetector {
    /// Explains each target that any front votes for, or that this front has ejected or finds to be
    /// an outlier.
    pub fn reports(&self, now: Nanos, entries: &GossipStore) -> Vec<EjectionReport> {
        let views = self.views(now, entries);
        let suspects = self.suspects(&views);
        let all_votes = self.all_votes(now, entries);
        let targets: BTreeSet<EjectionTarget> = all_votes
            .keys()
            .chain(self.outliers.keys())
            .chain(self.ejected.keys())
            .copied()
            .collect();
        let report = |target: EjectionTarget| {
            let ejected_since = self.ejected.get(&target).copied();
            let votes = all_votes.get(&target).cloned().unwrap_or_default();
            EjectionReport {
                target,
                ejected_since,
                observations: self.observations_of(
                    &views,
                    &suspects,
                    target.server,
                    target.scope.class(),
                ),
                prober: ejected_since
                    .and_then(|since| self.prober(now, &votes, &suspects, target, since)),
                votes,
            }
        };
        targets.into_iter().map(report).collect()
    }

    /// The evidence of each front on a server, this front's included.
    pub fn observations(
        &self,
        now: Nanos,
        entries: &GossipStore,
        server: ServerId,
    ) -> Vec<Observation> {
        let views = self.views(now, entries);
        self.observations_of(&views, &self.suspects(&views), server, None)
    }

    fn observations_of(
        &self,
        views: &Views,
        suspects: &BTreeSet<PeerId>,
        server: ServerId,
        class: Option<ClassId>,
    ) -> Vec<Observation> {
        let observation = |view: &View| {
            let summary = EvidenceSummary::of(&view.evidence, class, &self.config);
            Observation {
                front: view.front,
                attempts: summary.attempts,
                failures: summary.failures,
                age: view.age,
                counts: !suspects.contains(&view.front),
            }
        };
        views
            .get(&server)
            .into_iter()
            .flatten()
            .map(observation)
            .collect()
    }
}
