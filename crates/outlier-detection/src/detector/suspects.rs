//! Fronts whose evidence contradicts that of most others, so that it is more likely about the front
//! itself.

use std::collections::{BTreeMap, BTreeSet};

use super::evidence_exchange::{EvidenceByServer, FrontEvidence};
use crate::evidence::EvidenceSummary;
use crate::mutations::{mutated, Mutation};
use crate::{DetectorConfig, PeerId};

/// Other fronts with enough evidence on a server that a front is compared with.
const MIN_COMPARED_FRONTS: usize = 2;
/// Servers on which a front must have been compared before it can be suspect.
const MIN_COMPARED_SERVERS: u32 = 2;

/// A front's opinion of one server.
struct Opinion {
    front: PeerId,
    is_outlier: bool,
}

/// How often a front has been compared with most others, by server.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    servers: u32,
    contradicted: u32,
}

impl Comparison {
    fn is_suspect(&self) -> bool {
        self.servers >= MIN_COMPARED_SERVERS && 2 * self.contradicted > self.servers
    }
}

/// The fronts that contradict most others on more than half of the servers.
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

/// Compares each opinion of a server with those of the other fronts, if there are enough.
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

/// The opinions of the fronts that have enough evidence on a server.
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
