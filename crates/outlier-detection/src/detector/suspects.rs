//! Fronts whose evidence contradicts that of most others, so that it is more likely about the front
//! itself.

use std::collections::{BTreeMap, BTreeSet};

use super::{OutlierDetector, View, Views};
use crate::evidence::EvidenceSummary;
use crate::mutations::{mutated, Mutation};
use crate::{Effect, PeerId};

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

impl OutlierDetector {
    /// The fronts that contradict most others on more than half of the servers.
    pub(super) fn suspects(&self, views: &Views) -> BTreeSet<PeerId> {
        if mutated(Mutation::SuspectCounts) {
            return BTreeSet::new();
        }
        let mut comparisons: BTreeMap<PeerId, Comparison> = BTreeMap::new();
        for of_server in views.values() {
            let opinions = self.opinions(of_server);
            let outlier_opinions = opinions.iter().filter(|opinion| opinion.is_outlier).count();
            let others = opinions.len().saturating_sub(1);
            if others < MIN_COMPARED_FRONTS {
                continue;
            }
            for Opinion { front, is_outlier } in opinions {
                let others_outlier = outlier_opinions - usize::from(is_outlier);
                let is_outlier_to_most = 2 * others_outlier > others;
                let comparison = comparisons.entry(front).or_default();
                comparison.servers += 1;
                comparison.contradicted += u32::from(is_outlier != is_outlier_to_most);
            }
        }
        let suspects = comparisons
            .iter()
            .filter(|(_, comparison)| comparison.is_suspect());
        suspects.map(|(front, _)| *front).collect()
    }

    /// Reports whether this front has become suspect or is so no more.
    pub(super) fn update_suspect(
        &mut self,
        suspects: &BTreeSet<PeerId>,
        effects: &mut Vec<Effect>,
    ) {
        let is_suspect = suspects.contains(&self.config.me);
        if self.suspect != is_suspect {
            self.suspect = is_suspect;
            effects.push(Effect::Suspect(is_suspect));
        }
    }

    /// The opinions of the fronts that have enough evidence on a server.
    fn opinions(&self, of_server: &[View]) -> Vec<Opinion> {
        let opinion = |view: &View| {
            let summary = EvidenceSummary::of(&view.evidence, None, &self.config);
            let is_outlier = summary.log_likelihood_ratio >= self.config.witness_threshold;
            let has_enough = summary.attempts >= self.config.min_attempts;
            has_enough.then_some(Opinion {
                front: view.front,
                is_outlier,
            })
        };
        of_server.iter().filter_map(opinion).collect()
    }
}
