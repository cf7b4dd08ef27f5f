//! The state machine of one front.
//!
//! Every front publishes its evidence on servers that any front suspects, votes to eject what the
//! evidence of all fronts together proves to be an outlier, and ejects what more than half of the
//! fleet vote for. Fronts take turns in probing an ejected server, until enough probes in a row
//! have succeeded.

mod ejections;
mod evidence_sharing;
mod outliers;
mod probes;
mod reports;
mod suspects;
mod voting;

use std::collections::{BTreeMap, BTreeSet};

use crate::attempt_counts::AttemptCounts;
use crate::gossip::{probe_key, ProbeEntry};
use crate::{
    ClassId, DetectorConfig, DetectorConfigError, Effect, EjectionTarget, Event, Evidence,
    GossipStore, Nanos, PeerId, SampleQuality, ServerId,
};

use evidence_sharing::SharedEvidence;
use probes::ProbeState;
use voting::OwnVote;

/// One front's evidence on a server, as another or the front itself sees it.
#[derive(Clone, Debug)]
struct View {
    front: PeerId,
    evidence: Evidence,
    /// Upper bound of the time since the evidence was published.
    age: Nanos,
}

/// The evidence of all fronts, by server.
type Views = BTreeMap<ServerId, Vec<View>>;

/// The age of the latest report of each server that enough probes in a row have succeeded.
type RecoveryAges = BTreeMap<ServerId, Nanos>;

/// One front's side of the outlier detection of the whole fleet.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    config: DetectorConfig,
    /// The known servers, each with whether it is up.
    servers: BTreeMap<ServerId, bool>,
    counts: AttemptCounts,
    /// What this front has published of each server.
    shared: BTreeMap<ServerId, SharedEvidence>,
    /// What the evidence proves to be an outlier, and since when.
    outliers: BTreeMap<EjectionTarget, Nanos>,
    /// This front's votes, including withdrawn ones that may still count at peers.
    votes: BTreeMap<EjectionTarget, OwnVote>,
    /// What a quorum votes for, including what does not concern this front.
    agreed: BTreeSet<EjectionTarget>,
    /// What this front has ejected, and since when.
    ejected: BTreeMap<EjectionTarget, Nanos>,
    probes: BTreeMap<ServerId, ProbeState>,
    /// The time of the recovery for which a server's earlier evidence was dropped.
    cleared: BTreeMap<ServerId, Nanos>,
    suspect: bool,
}

impl OutlierDetector {
    /// A front that has just started.
    ///
    /// # Errors
    /// The configuration is invalid, see [`DetectorConfig::check`].
    pub fn new(config: DetectorConfig) -> Result<OutlierDetector, DetectorConfigError> {
        config.check()?;
        Ok(OutlierDetector {
            servers: BTreeMap::new(),
            counts: AttemptCounts::new(config.half_life),
            shared: BTreeMap::new(),
            outliers: BTreeMap::new(),
            votes: BTreeMap::new(),
            agreed: BTreeSet::new(),
            ejected: BTreeMap::new(),
            probes: BTreeMap::new(),
            cleared: BTreeMap::new(),
            suspect: false,
            config,
        })
    }

    /// Handles one event and appends the effects that the caller must carry out, in order.
    /// `entries` holds what the peers have published.
    pub fn on(
        &mut self,
        now: Nanos,
        entries: &GossipStore,
        event: Event,
        effects: &mut Vec<Effect>,
    ) {
        match event {
            Event::Servers(servers) => self.set_servers(servers),
            Event::Attempt {
                server,
                class,
                quality,
            } => self.record_attempt(now, server, class, quality),
            Event::Probed {
                server,
                class,
                quality,
            } => {
                self.record_attempt(now, server, class, quality);
                self.record_probe(server, quality, effects);
            }
            Event::Evaluate => self.evaluate(now, entries, effects),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &DetectorConfig {
        &self.config
    }

    /// What this front has ejected.
    pub fn ejected(&self) -> impl Iterator<Item = EjectionTarget> + '_ {
        self.ejected.keys().copied()
    }

    /// Whether this front's evidence contradicts that of most peers, so that it is ignored.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Whether a recently proven outlier waits for this front's vote: evidence of peers may still
    /// arrive.
    pub fn is_waiting(&self, now: Nanos) -> bool {
        let has_vote = |target| self.votes.get(target).is_some_and(|vote| vote.active);
        let is_recent = |since: &Nanos| now - since < 2 * self.config.vote_delay;
        self.outliers
            .iter()
            .any(|(target, since)| is_recent(since) && !has_vote(target))
    }

    fn set_servers(&mut self, servers: Vec<(ServerId, bool)>) {
        self.servers = servers.into_iter().collect();
        let known = &self.servers;
        self.counts
            .retain_servers(|server| known.contains_key(&server));
        self.probes.retain(|server, _| known.contains_key(server));
    }

    fn record_attempt(
        &mut self,
        now: Nanos,
        server: ServerId,
        class: ClassId,
        quality: SampleQuality,
    ) {
        if self.servers.contains_key(&server) {
            self.counts.add(now, server, class, quality);
        }
    }

    fn record_probe(
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

    fn evaluate(&mut self, now: Nanos, entries: &GossipStore, effects: &mut Vec<Effect>) {
        self.counts.drop_negligible(now);
        let recovered = self.recovered(now, entries);
        self.clear_recovered(now, &recovered, effects);
        let views = self.views(now, entries);
        self.share_evidence(now, &views, effects);
        let suspects = self.suspects(&views);
        self.update_suspect(&suspects, effects);
        let outliers = self.find_outliers(&views, &suspects, &recovered);
        self.cast_votes(now, &outliers, effects);
        self.update_ejections(now, entries, &recovered, effects);
        self.schedule_probes(now, entries, &suspects, effects);
    }
}
