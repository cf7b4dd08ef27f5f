//! The exchange of evidence: the evidence that this front has counted and published, and that which
//! its peers have published.

use std::collections::BTreeMap;

use super::context::{EvaluationContext, ServerTable};
use super::probes::RecoveryAges;
use crate::attempt_counts::AttemptCounts;
use crate::evidence::{baseline, failure_rate, EvidenceSummary};
use crate::gossip::{decode, encode, evidence_key};
use crate::mutations::{mutated, Mutation};
use crate::{
    ClassEvidence, ClassId, DetectorConfig, Effect, Evidence, Nanos, PeerId, SampleQuality,
    ServerId, EVIDENCE,
};

/// Number of times that evidence is published again within its time to live.
const REFRESHES_PER_TTL: Nanos = 8;

/// One front's evidence on a server, either this front's own or as received from a peer.
#[derive(Clone, Debug)]
pub(super) struct FrontEvidence {
    pub(super) server: ServerId,
    pub(super) front: PeerId,
    pub(super) evidence: Evidence,
    /// Upper limit of the time since the evidence was published; 0 for this front's own.
    pub(super) age: Nanos,
}

/// The evidence of all fronts, by server.
pub(super) type EvidenceByServer = BTreeMap<ServerId, Vec<FrontEvidence>>;

/// The state of the evidence on a server that this front last published.
#[derive(Clone, Copy, Debug)]
struct PublishedEvidence {
    published_at: Nanos,
    /// Whether the evidence made this front a witness against the server.
    is_outlier: bool,
}

/// This front's attempts at one server, by class of work.
struct CountedServer {
    server: ServerId,
    classes: Vec<ClassEvidence>,
}

/// This front's part in the exchange of evidence.
#[derive(Clone, Debug)]
pub(super) struct EvidenceExchange {
    counts: AttemptCounts,
    /// The evidence of this front that its peers may have.
    published: BTreeMap<ServerId, PublishedEvidence>,
    /// The time of the recovery for which a server's earlier evidence was dropped, by server.
    cleared: BTreeMap<ServerId, Nanos>,
}

impl EvidenceExchange {
    /// Creates an exchange without evidence. An attempt counts half after `half_life`.
    pub(super) fn new(half_life: Nanos) -> EvidenceExchange {
        EvidenceExchange {
            counts: AttemptCounts::new(half_life),
            published: BTreeMap::new(),
            cleared: BTreeMap::new(),
        }
    }

    /// Counts an attempt of this front.
    pub(super) fn record_attempt(
        &mut self,
        now: Nanos,
        server: ServerId,
        class: ClassId,
        quality: SampleQuality,
    ) {
        self.counts.add(now, server, class, quality);
    }

    /// Drops the counts of servers that the endpoint list no longer has.
    pub(super) fn retain_servers(&mut self, servers: &ServerTable) {
        self.counts
            .retain_servers(|server| servers.contains(server));
    }

    /// Drops counts that have decayed to almost nothing.
    pub(super) fn drop_negligible(&mut self, now: Nanos) {
        self.counts.drop_negligible(now);
    }

    /// Returns the evidence of all fronts that has not expired, this front's own last.
    pub(super) fn collect(&self, context: &EvaluationContext) -> EvidenceByServer {
        let mut collected = EvidenceByServer::new();
        for evidence in peer_evidence(context).chain(self.own_evidence(context)) {
            collected.entry(evidence.server).or_default().push(evidence);
        }
        collected
    }

    /// Returns this front's evidence on each server whose attempts have not decayed to nothing.
    fn own_evidence(&self, context: &EvaluationContext) -> Vec<FrontEvidence> {
        let counted: Vec<CountedServer> = self.counted_servers(context).collect();
        let failure_rates = counted.iter().map(|server| failure_rate(&server.classes));
        let baseline = baseline(failure_rates.collect());
        let evidence = |counted: CountedServer| FrontEvidence {
            server: counted.server,
            front: context.config.me,
            evidence: Evidence {
                zone: context.config.zone,
                baseline,
                classes: counted.classes,
            },
            age: 0,
        };
        counted.into_iter().map(evidence).collect()
    }

    fn counted_servers<'a>(
        &'a self,
        context: &'a EvaluationContext,
    ) -> impl Iterator<Item = CountedServer> + 'a {
        let counted = |server| CountedServer {
            server,
            classes: self.counts.evidence(context.now, server),
        };
        let servers = context.servers.ids().map(counted);
        servers.filter(|counted| !counted.classes.is_empty())
    }

    /// Publishes this front's evidence on each server that it is a witness against or that others
    /// have evidence on, and withdraws evidence that is outdated.
    pub(super) fn publish(
        &mut self,
        context: &EvaluationContext,
        collected: &EvidenceByServer,
        effects: &mut Vec<Effect>,
    ) {
        for (server, of_server) in collected {
            let is_own = |evidence: &&FrontEvidence| evidence.front == context.config.me;
            let Some(own) = of_server.iter().find(is_own) else {
                continue;
            };
            let is_outlier = is_witness(&own.evidence, context.config);
            let is_relevant = is_outlier || of_server.len() > 1;
            if !is_relevant || !self.is_publication_due(context, *server, is_outlier) {
                continue;
            }
            if let Some(value) = encode(&own.evidence) {
                let published = PublishedEvidence {
                    published_at: context.now,
                    is_outlier,
                };
                self.published.insert(*server, published);
                effects.push(Effect::Put(evidence_key(*server), Some(value)));
            }
        }
        self.withdraw_outdated(context, effects);
    }

    fn is_publication_due(
        &self,
        context: &EvaluationContext,
        server: ServerId,
        is_outlier: bool,
    ) -> bool {
        let interval = context.config.evidence_ttl / REFRESHES_PER_TTL;
        let is_outdated = |published: &PublishedEvidence| {
            let is_changed = published.is_outlier != is_outlier;
            is_changed || context.now - published.published_at >= interval
        };
        self.published.get(&server).is_none_or(is_outdated)
    }

    fn withdraw_outdated(&mut self, context: &EvaluationContext, effects: &mut Vec<Effect>) {
        self.published.retain(|server, published| {
            let is_fresh = context.now - published.published_at < context.config.evidence_ttl;
            let is_current = is_fresh && context.servers.contains(*server);
            if !is_current {
                effects.push(Effect::Put(evidence_key(*server), None));
            }
            is_current
        });
    }

    /// Drops and withdraws this front's evidence from before a server recovered, since it says
    /// nothing about the server's present state.
    pub(super) fn clear_recovered(
        &mut self,
        context: &EvaluationContext,
        recovered: &RecoveryAges,
        effects: &mut Vec<Effect>,
    ) {
        self.cleared
            .retain(|server, _| recovered.contains_key(server));
        for (server, age) in recovered {
            let recovered_at = context.now - age;
            // The age is an upper limit that may shrink later: the same probes must not be taken
            // for a later recovery.
            let is_known = |known: &Nanos| recovered_at <= known + context.config.probe_turn;
            if self.cleared.get(server).is_some_and(is_known) {
                continue;
            }
            self.cleared.insert(*server, recovered_at);
            if !mutated(Mutation::EvidenceBeforeRecoveryCounts) {
                self.withdraw(*server, effects);
            }
        }
    }

    /// Drops this front's counts of a server and withdraws its published evidence on it.
    fn withdraw(&mut self, server: ServerId, effects: &mut Vec<Effect>) {
        self.counts.retain_servers(|counted| counted != server);
        if self.published.remove(&server).is_some() {
            effects.push(Effect::Put(evidence_key(server), None));
        }
    }
}

/// Returns the peers' evidence on servers of the endpoint list that has not expired.
fn peer_evidence<'a>(context: &'a EvaluationContext) -> impl Iterator<Item = FrontEvidence> + 'a {
    let published = context.entries.all(context.now, EVIDENCE);
    published.filter_map(|entry| {
        let server = ServerId(entry.id);
        let is_fresh =
            entry.age <= context.config.evidence_ttl || mutated(Mutation::ExpiredEvidenceCounts);
        if entry.origin == context.config.me || !is_fresh || !context.servers.contains(server) {
            return None;
        }
        Some(FrontEvidence {
            server,
            front: entry.origin,
            evidence: decode(entry.value)?,
            age: entry.age,
        })
    })
}

/// Returns whether a front's evidence makes it a witness against the server, for all work or for
/// any class of it.
fn is_witness(evidence: &Evidence, config: &DetectorConfig) -> bool {
    let exceeds_threshold = |class: Option<ClassId>| {
        let summary = EvidenceSummary::of(evidence, class, config);
        summary.log_likelihood_ratio >= config.witness_threshold
    };
    let mut classes = evidence.classes.iter().map(|listed| listed.class);
    exceeds_threshold(None) || classes.any(|class| exceeds_threshold(Some(class)))
}
