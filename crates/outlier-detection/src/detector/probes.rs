//! Probes of ejected servers, for which the fronts take turns, and the recoveries that they prove.

use std::collections::{BTreeMap, BTreeSet};

use super::ballot::VotesByTarget;
use super::context::{EvaluationContext, ServerTable};
use super::ejections::{Ejection, Ejections};
use crate::gossip::{probe_key, ProbeEntry};
use crate::mutations::{mutated, Mutation};
use crate::target::mix;
use crate::{DetectorConfig, Effect, Nanos, PeerId, SampleQuality, ServerId, Vote, PROBE};

/// Fraction of the golden ratio, which spreads small numbers over 32 bits.
const GOLDEN_RATIO: u64 = 0x9e37_79b9;

/// The recovered servers, with the age of the latest report that enough probes in a row have
/// succeeded.
pub(super) type RecoveryAges = BTreeMap<ServerId, Nanos>;

/// This front's probes of a server.
#[derive(Clone, Copy, Debug, Default)]
struct ProbeState {
    /// Number of the last turn in which this front probed the server, counted from the ejection.
    last_turn: Option<Nanos>,
    /// Number of this front's probes that have succeeded in a row.
    successes: u8,
}

/// Schedules this front's probes and counts their results.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeScheduler {
    probes: BTreeMap<ServerId, ProbeState>,
}

impl ProbeScheduler {
    /// Drops the probes of servers that the endpoint list no longer has.
    pub(super) fn retain_servers(&mut self, servers: &ServerTable) {
        self.probes.retain(|server, _| servers.contains(*server));
    }

    /// Drops the probes of a server that was readmitted.
    pub(super) fn forget(&mut self, server: ServerId) {
        self.probes.remove(&server);
    }

    /// Counts the result of a probe and publishes how many have succeeded in a row.
    pub(super) fn record(
        &mut self,
        server: ServerId,
        quality: SampleQuality,
        effects: &mut Vec<Effect>,
    ) {
        let probe = self.probes.entry(server).or_default();
        probe.successes = match quality {
            SampleQuality::Healthy => probe.successes.saturating_add(1),
            SampleQuality::Failed => 0,
        };
        let entry = ProbeEntry {
            successes: probe.successes,
        };
        effects.push(Effect::Put(probe_key(server), Some(entry.encode())));
    }

    /// Starts probes of the ejected servers for which it is this front's turn, one in each turn.
    pub(super) fn schedule(
        &mut self,
        context: &EvaluationContext,
        votes: &VotesByTarget,
        suspects: &BTreeSet<PeerId>,
        ejections: &Ejections,
        effects: &mut Vec<Effect>,
    ) {
        for (server, ejection) in ejections.oldest_by_server() {
            let voters = votes.get(&ejection.target).map_or(&[][..], Vec::as_slice);
            let prober = prober(context.now, context.config, voters, suspects, ejection);
            let turn = (context.now - ejection.since) / context.config.probe_turn;
            // No front probes in the first turn: by the second one, all fronts know the voters.
            let is_own_turn = turn > 0 && prober == Some(context.config.me);
            let probe = self.probes.entry(server).or_default();
            if (is_own_turn || mutated(Mutation::AllProbe)) && probe.last_turn != Some(turn) {
                probe.last_turn = Some(turn);
                effects.push(Effect::Probe(server));
            }
        }
    }
}

/// Returns the servers of which a front reports that enough probes in a row have succeeded.
pub(super) fn recovered_servers(context: &EvaluationContext) -> RecoveryAges {
    let mut recovered = RecoveryAges::new();
    let needed = context.config.probes_to_readmit;
    for entry in context.entries.all(context.now, PROBE) {
        let is_recovered =
            ProbeEntry::decode(entry.value).is_some_and(|probes| probes.successes >= needed);
        if is_recovered && entry.age <= context.config.evidence_ttl {
            let youngest = recovered.entry(ServerId(entry.id)).or_insert(entry.age);
            *youngest = entry.age.min(*youngest);
        }
    }
    recovered
}

/// Returns the front whose turn it is to probe an ejected server: one of the voters for the
/// ejection that are in its scope and not suspect.
pub(super) fn prober(
    now: Nanos,
    config: &DetectorConfig,
    voters: &[Vote],
    suspects: &BTreeSet<PeerId>,
    ejection: Ejection,
) -> Option<PeerId> {
    let Ejection { since, target } = ejection;
    let may_probe =
        |vote: &&Vote| target.scope.includes_zone(vote.zone) && !suspects.contains(&vote.front);
    let eligible = voters.iter().filter(may_probe);
    let mut fronts: Vec<PeerId> = eligible.map(|vote| vote.front).collect();
    // The order differs between servers, so that the probes of several servers are spread over the
    // fronts.
    fronts.sort_by_key(|front| {
        mix(target.server.0 ^ (u64::from(front.0) + 1).wrapping_mul(GOLDEN_RATIO))
    });
    // A front has several consecutive turns, so that enough of its probes can succeed in a row.
    let consecutive_turns = Nanos::from(config.probes_to_readmit) + 1;
    let shift = (now - since) / config.probe_turn / consecutive_turns;
    fronts.get(shift as usize % fronts.len().max(1)).copied()
}
