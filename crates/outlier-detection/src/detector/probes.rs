//! Probes of ejected servers, in which the fronts take turns, and recoveries that they prove.

use std::collections::{BTreeMap, BTreeSet};

use super::{OutlierDetector, RecoveryAges};
use crate::gossip::ProbeEntry;
use crate::mutations::{mutated, Mutation};
use crate::target::mix;
use crate::{Effect, EjectionTarget, GossipStore, Nanos, PeerId, ServerId, Vote, PROBE};

/// Fraction of the golden ratio, which spreads small numbers over 32 bits.
const GOLDEN_RATIO: u64 = 0x9e37_79b9;

/// This front's probes of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProbeState {
    /// The latest turn in which this front has probed it.
    turn: Option<Nanos>,
    /// Probes that have succeeded in a row.
    pub successes: u8,
}

/// An ejection of a server, ordered by when it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ejection {
    since: Nanos,
    target: EjectionTarget,
}

impl OutlierDetector {
    /// Servers of which a prober reports that enough probes in a row have succeeded, with the age
    /// of its report.
    pub(super) fn recovered(&self, now: Nanos, entries: &GossipStore) -> RecoveryAges {
        let mut recovered = RecoveryAges::new();
        for entry in entries.all(now, PROBE) {
            let server = ServerId(entry.id);
            let needed = self.config.probes_to_readmit;
            let is_recovered =
                ProbeEntry::decode(entry.value).is_some_and(|probes| probes.successes >= needed);
            if is_recovered && entry.age <= self.config.evidence_ttl {
                let youngest = recovered.entry(server).or_insert(entry.age);
                *youngest = entry.age.min(*youngest);
            }
        }
        recovered
    }

    /// Starts the probes that are this front's turn.
    pub(super) fn schedule_probes(
        &mut self,
        now: Nanos,
        entries: &GossipStore,
        suspects: &BTreeSet<PeerId>,
        effects: &mut Vec<Effect>,
    ) {
        let votes = self.all_votes(now, entries);
        for (server, ejection) in self.oldest_ejections() {
            let turn = (now - ejection.since) / self.config.probe_turn;
            let voters = votes.get(&ejection.target).map_or(&[][..], Vec::as_slice);
            let prober = self.prober(now, voters, suspects, ejection.target, ejection.since);
            // Nobody probes in the first turn: by the second one, all fronts know the voters.
            let is_our_turn = turn > 0 && prober == Some(self.config.me);
            let probe = self.probes.entry(server).or_default();
            if (is_our_turn || mutated(Mutation::AllProbe)) && probe.turn != Some(turn) {
                probe.turn = Some(turn);
                effects.push(Effect::Probe(server));
            }
        }
    }

    /// The oldest ejection of each server: a server that is ejected for several scopes is probed
    /// once at a time.
    fn oldest_ejections(&self) -> BTreeMap<ServerId, Ejection> {
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

    /// The front whose turn it is to probe a target that has been ejected since a time: one of its
    /// voters that the target concerns and that is not suspect.
    pub(super) fn prober(
        &self,
        now: Nanos,
        voters: &[Vote],
        suspects: &BTreeSet<PeerId>,
        target: EjectionTarget,
        since: Nanos,
    ) -> Option<PeerId> {
        let may_probe =
            |vote: &&Vote| target.scope.includes_zone(vote.zone) && !suspects.contains(&vote.front);
        let mut fronts: Vec<PeerId> = voters
            .iter()
            .filter(may_probe)
            .map(|vote| vote.front)
            .collect();
        // In another order for each server, so that the probes of several servers are spread over
        // the fronts.
        fronts.sort_by_key(|front| {
            mix(target.server.0 ^ (u64::from(front.0) + 1).wrapping_mul(GOLDEN_RATIO))
        });
        // A front has several turns on end, so that enough of its probes can succeed in a row.
        let turns_on_end = Nanos::from(self.config.probes_to_readmit) + 1;
        let shift = (now - since) / self.config.probe_turn / turns_on_end;
        fronts.get(shift as usize % fronts.len().max(1)).copied()
    }
}
