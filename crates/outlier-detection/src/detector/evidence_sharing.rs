//! Evidence of this front and of its peers, and its publication.

use super::{OutlierDetector, RecoveryAges, View, Views};
use crate::evidence::{baseline, failure_rate, EvidenceSummary};
use crate::gossip::{decode, encode, evidence_key};
use crate::mutations::{mutated, Mutation};
use crate::{ClassEvidence, ClassId, Effect, Evidence, GossipStore, Nanos, ServerId, EVIDENCE};

/// Evidence is published again this many times within its time to live.
const REFRESHES_PER_TTL: Nanos = 8;

/// What this front has published of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharedEvidence {
    shared_at: Nanos,
    is_outlier: bool,
}

impl OutlierDetector {
    /// The evidence of all fronts that is recent enough, this front's own last.
    pub(super) fn views(&self, now: Nanos, entries: &GossipStore) -> Views {
        let mut views = Views::new();
        for entry in entries.all(now, EVIDENCE) {
            let server = ServerId(entry.id);
            let is_fresh =
                entry.age <= self.config.evidence_ttl || mutated(Mutation::ExpiredEvidenceCounts);
            if entry.origin == self.config.me || !is_fresh || !self.servers.contains_key(&server) {
                continue;
            }
            if let Some(evidence) = decode::<Evidence>(entry.value) {
                let view = View {
                    front: entry.origin,
                    evidence,
                    age: entry.age,
                };
                views.entry(server).or_default().push(view);
            }
        }
        for (server, evidence) in self.own_evidence(now) {
            let view = View {
                front: self.config.me,
                evidence,
                age: 0,
            };
            views.entry(server).or_default().push(view);
        }
        views
    }

    /// This front's evidence on each server with recent attempts.
    fn own_evidence(&self, now: Nanos) -> Vec<(ServerId, Evidence)> {
        let counted: Vec<(ServerId, Vec<ClassEvidence>)> = self
            .servers
            .keys()
            .map(|server| (*server, self.counts.evidence(now, *server)))
            .filter(|(_, classes)| !classes.is_empty())
            .collect();
        let zone = self.config.zone;
        let baseline = baseline(
            counted
                .iter()
                .map(|(_, classes)| failure_rate(classes))
                .collect(),
        );
        let evidence = |(server, classes)| {
            (
                server,
                Evidence {
                    zone,
                    baseline,
                    classes,
                },
            )
        };
        counted.into_iter().map(evidence).collect()
    }

    /// Publishes this front's evidence on each server that it suspects or that others have evidence
    /// on, and withdraws what is outdated.
    pub(super) fn share_evidence(&mut self, now: Nanos, views: &Views, effects: &mut Vec<Effect>) {
        for (server, of_server) in views {
            let own = of_server.iter().find(|view| view.front == self.config.me);
            let Some(own) = own else { continue };
            let is_outlier = self.is_outlier(&own.evidence);
            let is_contested = is_outlier || of_server.len() > 1;
            if !is_contested || !self.is_sharing_due(now, *server, is_outlier) {
                continue;
            }
            if let Some(value) = encode(&own.evidence) {
                self.shared.insert(
                    *server,
                    SharedEvidence {
                        shared_at: now,
                        is_outlier,
                    },
                );
                effects.push(Effect::Put(evidence_key(*server), Some(value)));
            }
        }
        self.withdraw_outdated_evidence(now, effects);
    }

    /// Whether a front's evidence makes it a witness against the server, for all work or for any
    /// class of it.
    fn is_outlier(&self, evidence: &Evidence) -> bool {
        let exceeds = |class: Option<ClassId>| {
            let summary = EvidenceSummary::of(evidence, class, &self.config);
            summary.log_likelihood_ratio >= self.config.witness_threshold
        };
        exceeds(None)
            || evidence
                .classes
                .iter()
                .any(|listed| exceeds(Some(listed.class)))
    }

    fn is_sharing_due(&self, now: Nanos, server: ServerId, is_outlier: bool) -> bool {
        let interval = self.config.evidence_ttl / REFRESHES_PER_TTL;
        let is_outdated = |shared: &SharedEvidence| {
            shared.is_outlier != is_outlier || now - shared.shared_at >= interval
        };
        self.shared.get(&server).is_none_or(is_outdated)
    }

    fn withdraw_outdated_evidence(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let (config, servers) = (&self.config, &self.servers);
        self.shared.retain(|server, shared| {
            let is_current =
                now - shared.shared_at < config.evidence_ttl && servers.contains_key(server);
            if !is_current {
                effects.push(Effect::Put(evidence_key(*server), None));
            }
            is_current
        });
    }

    /// Drops and withdraws the evidence from before a server recovered: it says nothing about the
    /// server now.
    pub(super) fn clear_recovered(
        &mut self,
        now: Nanos,
        recovered: &RecoveryAges,
        effects: &mut Vec<Effect>,
    ) {
        self.cleared
            .retain(|server, _| recovered.contains_key(server));
        for (server, age) in recovered {
            let recovered_at = now - age;
            // An age is an upper bound that may shrink: the same probes must not count as later
            // ones.
            let is_known = |known: &Nanos| recovered_at <= known + self.config.probe_turn;
            if self.cleared.get(server).is_some_and(is_known) {
                continue;
            }
            self.cleared.insert(*server, recovered_at);
            if mutated(Mutation::EvidenceBeforeRecoveryCounts) {
                continue;
            }
            self.counts.retain_servers(|counted| counted != *server);
            if self.shared.remove(server).is_some() {
                effects.push(Effect::Put(evidence_key(*server), None));
            }
        }
    }
}
