//! Ejection of targets by a quorum of votes, and readmission without one.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use super::ballot::VotesByTarget;
use super::context::EvaluationContext;
use super::probes::RecoveryAges;
use crate::mutations::{mutated, Mutation};
use crate::{DetectorConfig, Effect, EjectionTarget, Nanos, ServerId};

/// An ejection by this front. Ejections are ordered by their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ejection {
    pub(super) since: Nanos,
    pub(super) target: EjectionTarget,
}

/// The targets that a quorum of the fronts votes to eject, and those of them that this front has
/// ejected.
#[derive(Clone, Debug, Default)]
pub(super) struct Ejections {
    /// The targets that a quorum votes for, including those that do not concern this front.
    agreed: BTreeSet<EjectionTarget>,
    /// The targets that this front has ejected, and the times since which it has.
    ejected: BTreeMap<EjectionTarget, Nanos>,
}

impl Ejections {
    /// Returns the targets that a quorum voted for at the last update.
    pub(super) fn agreed(&self) -> &BTreeSet<EjectionTarget> {
        &self.agreed
    }

    /// Returns the targets that this front has ejected.
    pub(super) fn targets(&self) -> impl Iterator<Item = EjectionTarget> + '_ {
        self.ejected.keys().copied()
    }

    /// Returns the time since which this front has ejected a target, if it has.
    pub(super) fn ejected_since(&self, target: EjectionTarget) -> Option<Nanos> {
        self.ejected.get(&target).copied()
    }

    /// Returns the oldest ejection of each server. Probes are scheduled by it alone, so that a
    /// server that is ejected for several scopes is probed once at a time.
    pub(super) fn oldest_by_server(&self) -> BTreeMap<ServerId, Ejection> {
        let mut oldest: BTreeMap<ServerId, Ejection> = BTreeMap::new();
        for (target, since) in &self.ejected {
            let ejection = Ejection {
                since: *since,
                target: *target,
            };
            let first = oldest.entry(target.server).or_insert(ejection);
            *first = ejection.min(*first);
        }
        oldest
    }

    /// Ejects the targets that a quorum votes for and that concern this front, and readmits all
    /// other targets that it has ejected. Returns the readmitted targets.
    pub(super) fn update(
        &mut self,
        context: &EvaluationContext,
        votes: &VotesByTarget,
        recovered: &RecoveryAges,
        effects: &mut Vec<Effect>,
    ) -> Vec<EjectionTarget> {
        self.agreed = targets_with_quorum(context.config, votes);
        let concerns_this_front = |target: &EjectionTarget| {
            context.servers.is_up(target.server) && target.scope.includes_zone(context.config.zone)
        };
        let agreed = self.agreed.iter().copied();
        let to_eject: BTreeSet<EjectionTarget> = agreed.filter(concerns_this_front).collect();
        let readmitted = self.readmit_all_but(&to_eject, recovered, effects);
        for target in to_eject {
            if let Entry::Vacant(entry) = self.ejected.entry(target) {
                entry.insert(context.now);
                effects.push(Effect::Ejected(target));
            }
        }
        readmitted
    }

    fn readmit_all_but(
        &mut self,
        to_eject: &BTreeSet<EjectionTarget>,
        recovered: &RecoveryAges,
        effects: &mut Vec<Effect>,
    ) -> Vec<EjectionTarget> {
        let to_readmit: Vec<EjectionTarget> = self
            .targets()
            .filter(|target| !to_eject.contains(target))
            .collect();
        for target in &to_readmit {
            self.ejected.remove(target);
            effects.push(Effect::Readmitted {
                target: *target,
                healthy: recovered.contains_key(&target.server),
            });
        }
        to_readmit
    }
}

fn targets_with_quorum(config: &DetectorConfig, votes: &VotesByTarget) -> BTreeSet<EjectionTarget> {
    let quorum = if mutated(Mutation::HalfIsEnough) {
        usize::from(config.fronts).div_ceil(2)
    } else {
        config.quorum()
    };
    let agreed = votes.iter().filter(|(_, votes)| votes.len() >= quorum);
    agreed.map(|(target, _)| *target).collect()
}
