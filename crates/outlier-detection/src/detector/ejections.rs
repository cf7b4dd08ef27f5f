//! Ejection and readmission by a quorum of votes.

use std::collections::btree_map::Entry;
use std::collections::BTreeSet;

use super::{OutlierDetector, RecoveryAges};
use crate::mutations::{mutated, Mutation};
use crate::{Effect, EjectionTarget, GossipStore, Nanos};

impl OutlierDetector {
    /// Ejects what a quorum votes for and concerns this front, and readmits what no longer has a
    /// quorum.
    pub(super) fn update_ejections(
        &mut self,
        now: Nanos,
        entries: &GossipStore,
        recovered: &RecoveryAges,
        effects: &mut Vec<Effect>,
    ) {
        self.agreed = self.targets_with_quorum(now, entries);
        let concerns_us = |target: &EjectionTarget| {
            let is_up = self.servers.get(&target.server).is_some_and(|up| *up);
            is_up && target.scope.includes_zone(self.config.zone)
        };
        let to_eject: BTreeSet<EjectionTarget> =
            self.agreed.iter().copied().filter(concerns_us).collect();
        self.readmit_others(&to_eject, recovered, effects);
        for target in to_eject {
            if let Entry::Vacant(entry) = self.ejected.entry(target) {
                entry.insert(now);
                effects.push(Effect::Ejected(target));
            }
        }
    }

    fn targets_with_quorum(&self, now: Nanos, entries: &GossipStore) -> BTreeSet<EjectionTarget> {
        let quorum = if mutated(Mutation::HalfIsEnough) {
            usize::from(self.config.fronts).div_ceil(2)
        } else {
            self.config.quorum()
        };
        let votes = self.all_votes(now, entries);
        let agreed = votes.iter().filter(|(_, votes)| votes.len() >= quorum);
        agreed.map(|(target, _)| *target).collect()
    }

    fn readmit_others(
        &mut self,
        to_eject: &BTreeSet<EjectionTarget>,
        recovered: &RecoveryAges,
        effects: &mut Vec<Effect>,
    ) {
        let ejected = self.ejected.keys().copied();
        let to_readmit: Vec<EjectionTarget> = ejected
            .filter(|target| !to_eject.contains(target))
            .collect();
        for target in to_readmit {
            self.ejected.remove(&target);
            self.probes.remove(&target.server);
            let healthy = recovered.contains_key(&target.server);
            effects.push(Effect::Readmitted { target, healthy });
        }
    }
}
