//! The state machine of outlier detection at one front.
//!
//! Every front publishes its evidence on servers that it or a peer finds to be failing, votes to
//! eject the outliers that the evidence of all fronts together proves, and ejects what more than
//! half of the fronts vote for. Fronts take turns to probe an ejected server until enough probes in
//! a row have succeeded.

mod ballot;
mod context;
mod ejections;
mod evidence_exchange;
mod outliers;
mod probes;
mod reports;
mod suspects;

use std::collections::BTreeSet;

use self::ballot::Ballot;
use self::context::{EvaluationContext, ServerTable};
use self::ejections::Ejections;
use self::evidence_exchange::EvidenceExchange;
use self::outliers::OutlierTest;
use self::probes::{recovered_servers, ProbeScheduler};
use self::suspects::find_suspects;
use crate::{
    ClassId, DetectorConfig, DetectorConfigError, Effect, EjectionTarget, Event, GossipStore,
    KnownServer, Nanos, PeerId, SampleQuality, ServerId,
};

/// One front's part in the outlier detection of the whole fleet.
///
/// It consists of four independent parts: the exchange of evidence, the votes, the ejections and
/// the probes. [`OutlierDetector::on`] passes to each the results of the others that it needs.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    config: DetectorConfig,
    servers: ServerTable,
    evidence: EvidenceExchange,
    ballot: Ballot,
    ejections: Ejections,
    probes: ProbeScheduler,
    /// Whether this front was suspect at the last evaluation.
    is_suspect: bool,
}

impl OutlierDetector {
    /// Creates the detector of a front that has just started.
    ///
    /// # Errors
    /// Returns an error if the configuration is invalid, see [`DetectorConfig::check`].
    pub fn new(config: DetectorConfig) -> Result<OutlierDetector, DetectorConfigError> {
        config.check()?;
        Ok(OutlierDetector {
            servers: ServerTable::default(),
            evidence: EvidenceExchange::new(config.half_life),
            ballot: Ballot::default(),
            ejections: Ejections::default(),
            probes: ProbeScheduler::default(),
            is_suspect: false,
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
                self.probes.record(server, quality, effects);
            }
            Event::Evaluate => self.evaluate(now, entries, effects),
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &DetectorConfig {
        &self.config
    }

    /// Returns the targets that this front has ejected.
    pub fn ejected(&self) -> impl Iterator<Item = EjectionTarget> + '_ {
        self.ejections.targets()
    }

    /// Returns whether this front's evidence contradicts that of most peers, so that it is ignored.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    /// Returns whether a recently proven outlier has no vote of this front yet. Evidence of peers
    /// may still arrive before it votes.
    pub fn is_waiting(&self, now: Nanos) -> bool {
        self.ballot.is_waiting(now, self.config.vote_delay)
    }

    fn set_servers(&mut self, servers: Vec<KnownServer>) {
        self.servers = ServerTable::new(servers);
        self.evidence.retain_servers(&self.servers);
        self.probes.retain_servers(&self.servers);
    }

    fn record_attempt(
        &mut self,
        now: Nanos,
        server: ServerId,
        class: ClassId,
        quality: SampleQuality,
    ) {
        if self.servers.contains(server) {
            self.evidence.record_attempt(now, server, class, quality);
        }
    }

    /// Runs one evaluation: derives votes from the evidence of all fronts, ejections from the
    /// votes, and probes from the ejections.
    fn evaluate(&mut self, now: Nanos, entries: &GossipStore, effects: &mut Vec<Effect>) {
        let context = EvaluationContext {
            now,
            config: &self.config,
            servers: &self.servers,
            entries,
        };
        self.evidence.drop_negligible(now);
        let recovered = recovered_servers(&context);
        self.evidence.clear_recovered(&context, &recovered, effects);
        let collected = self.evidence.collect(&context);
        self.evidence.publish(&context, &collected, effects);

        let suspects = find_suspects(&self.config, &collected);
        update_suspect(&mut self.is_suspect, &suspects, self.config.me, effects);
        let test = OutlierTest {
            config: &self.config,
            agreed: self.ejections.agreed(),
        };
        let outliers = test.find_outliers(&collected, &suspects, &recovered);
        self.ballot.cast(&context, &outliers, effects);

        let votes = self.ballot.count(now, &self.config, entries);
        let readmitted = self.ejections.update(&context, &votes, &recovered, effects);
        for target in readmitted {
            self.probes.forget(target.server);
        }
        self.probes
            .schedule(&context, &votes, &suspects, &self.ejections, effects);
    }
}

/// Reports a change of whether the front `me` is suspect.
fn update_suspect(
    was_suspect: &mut bool,
    suspects: &BTreeSet<PeerId>,
    me: PeerId,
    effects: &mut Vec<Effect>,
) {
    let is_suspect = suspects.contains(&me);
    if *was_suspect != is_suspect {
        *was_suspect = is_suspect;
        effects.push(Effect::Suspect(is_suspect));
    }
}
