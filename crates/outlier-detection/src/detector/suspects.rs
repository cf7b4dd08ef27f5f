//! Detection of suspect fronts. Their evidence contradicts that of most others, so that its cause
//! is more likely the front itself than the servers.

use std::collections::{BTreeMap, BTreeSet};

use super::evidence_exchange::{EvidenceByServer, FrontEvidence};
use crate::evidence::EvidenceSummary;
use crate::mutations::{mutated, Mutation};
use crate::{DetectorConfig, PeerId};

/// Minimum number of other fronts with enough evidence on a server to compare a front with.
const MIN_COMPARED_FRONTS: usize = 2;
/// Minimum number of servers on which a front must be compared before it can be suspect.
const MIN_COMPARED_SERVERS: u32 = 2;

/// Whether one server is an outlier by a front's own evidence.
struct Opinion {
    front: PeerId,
    is_outlier: bool,
}

/// The comparison of one front with the majority of the others.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    /// Number of servers on which the front was compared.
    servers: u32,
    /// Number of these on which it contradicts the majority.
    contradicted: u32,
}

impl Comparison {
    fn is_suspect(&self) -> bool {
        self.servers >= MIN_COMPARED_SERVERS && 2 * self.contradicted > self.servers
    }
}

/// Returns the fronts that contradict most others on more than half of the servers on which they
/// are compared.
pub(super) fn find_suspects(
    config: &DetectorConfig,
    collected: &EvidenceByServer,
) -> BTreeSet<PeerId> {
    if mutated(Mutation::SuspectCounts) {
        return BTreeSet::new();
    }
    let mut comparisons: BTreeMap<PeerId, Comparison> = BTreeMap::new();
    for of_server in collected.values() {
        compare(opinions(config, of_server), &mut comparisons);
    }
    let suspects = comparisons
        .iter()
        .filter(|(_, comparison)| comparison.is_suspect());
    suspects.map(|(front, _)| *front).collect()
}

/// Compares each front's opinion of a server with those of the other fronts, if there are enough.
fn compare(opinions: Vec<Opinion>, comparisons: &mut BTreeMap<PeerId, Comparison>) {
    let others = opinions.len().saturating_sub(1);
    if others < MIN_COMPARED_FRONTS {
        return;
    }
    let outlier_opinions = opinions.iter().filter(|opinion| opinion.is_outlier).count();
    for Opinion { front, is_outlier } in opinions {
        let others_outlier = outlier_opinions - usize::from(is_outlier);
        let is_outlier_to_most = 2 * others_outlier > others;
        let comparison = comparisons.entry(front).or_default();
        comparison.servers += 1;
        comparison.contradicted += u32::from(is_outlier != is_outlier_to_most);
    }
}

/// Returns the opinions of the fronts that have enough evidence on a server.
fn opinions(config: &DetectorConfig, of_server: &[FrontEvidence]) -> Vec<Opinion> {
    let opinion = |front: &FrontEvidence| {
        let summary = EvidenceSummary::of(&front.evidence, None, config);
        let is_outlier = summary.log_likelihood_ratio >= config.witness_threshold;
        let has_enough = summary.attempts >= config.min_attempts;
        has_enough.then_some(Opinion {
            front: front.front,
            is_outlier,
        })
    };
    of_server.iter().filter_map(opinion).collect()
}
