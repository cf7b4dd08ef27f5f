//! Explanations of ejections for operators.

use std::collections::BTreeSet;

use super::ballot::VotesByTarget;
use super::context::EvaluationContext;
use super::ejections::Ejection;
use super::evidence_exchange::{EvidenceByServer, FrontEvidence};
use super::probes::prober;
use super::suspects::find_suspects;
use super::OutlierDetector;
use crate::evidence::EvidenceSummary;
use crate::{
    ClassId, DetectorConfig, EjectionReport, EjectionTarget, GossipStore, Nanos, Observation,
    PeerId, ServerId,
};

/// The inputs that all reports of one moment share.
struct ReportInputs<'a> {
    now: Nanos,
    config: &'a DetectorConfig,
    collected: EvidenceByServer,
    suspects: BTreeSet<PeerId>,
}

impl OutlierDetector {
    /// Returns a report on each target that any front votes for, or that this front has ejected or
    /// finds to be an outlier.
    pub fn reports(&self, now: Nanos, entries: &GossipStore) -> Vec<EjectionReport> {
        let inputs = self.report_inputs(now, entries);
        let votes = self.ballot.count(now, &self.config, entries);
        let targets: BTreeSet<EjectionTarget> = votes
            .keys()
            .chain(self.ballot.proven_targets())
            .copied()
            .chain(self.ejections.targets())
            .collect();
        let report = |target| {
            let ejected_since = self.ejections.ejected_since(target);
            inputs.report(target, ejected_since, &votes)
        };
        targets.into_iter().map(report).collect()
    }

    /// Returns the evidence of each front on a server, this front's included.
    pub fn observations(
        &self,
        now: Nanos,
        entries: &GossipStore,
        server: ServerId,
    ) -> Vec<Observation> {
        self.report_inputs(now, entries).observations(server, None)
    }

    fn report_inputs(&self, now: Nanos, entries: &GossipStore) -> ReportInputs<'_> {
        let context = EvaluationContext {
            now,
            config: &self.config,
            servers: &self.servers,
            entries,
        };
        let collected = self.evidence.collect(&context);
        let suspects = find_suspects(&self.config, &collected);
        ReportInputs {
            now,
            config: &self.config,
            collected,
            suspects,
        }
    }
}

impl ReportInputs<'_> {
    fn report(
        &self,
        target: EjectionTarget,
        ejected_since: Option<Nanos>,
        votes: &VotesByTarget,
    ) -> EjectionReport {
        let votes = votes.get(&target).cloned().unwrap_or_default();
        let prober = ejected_since.and_then(|since| {
            let ejection = Ejection { since, target };
            prober(self.now, self.config, &votes, &self.suspects, ejection)
        });
        EjectionReport {
            target,
            ejected_since,
            observations: self.observations(target.server, target.scope.class()),
            prober,
            votes,
        }
    }

    /// Returns the evidence of each front on a server, for one class of work or for all.
    fn observations(&self, server: ServerId, class: Option<ClassId>) -> Vec<Observation> {
        let observation = |front: &FrontEvidence| {
            let summary = EvidenceSummary::of(&front.evidence, class, self.config);
            Observation {
                front: front.front,
                attempts: summary.attempts,
                failures: summary.failures,
                age: front.age,
                counts: !self.suspects.contains(&front.front),
            }
        };
        let of_server = self.collected.get(&server).into_iter().flatten();
        of_server.map(observation).collect()
    }
}
