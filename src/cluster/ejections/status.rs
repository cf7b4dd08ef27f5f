//! The status of ejections as JSON for the console. The keys are part of the console's interface.

use simd_json::{json, OwnedValue as Value};
use tulipbridge_core::Nanos;
use tulipbridge_membership::{GossipStore, PeerId};
use tulipbridge_outlier_detection::{ClassId, EjectionReport, Observation, Scope, ServerId, Vote};

use crate::cluster::clock::millis;
use crate::cluster::ejections::Ejections;

/// The names by which operators know fronts, zones and classes.
pub struct DisplayNames<'a> {
    /// Names of the fronts, indexed by [`PeerId`].
    pub fronts: &'a [&'a str],
    /// Names of the zones, indexed by zone number; empty for fronts without a zone.
    pub zones: &'a [String],
    /// Names of the classes of work, indexed by class number. Classes at the end may lack a name.
    pub classes: &'a [String],
}

impl DisplayNames<'_> {
    fn front(&self, peer: PeerId) -> &str {
        self.fronts.get(peer.index()).copied().unwrap_or_default()
    }

    fn scope(&self, scope: Scope) -> String {
        match scope {
            Scope::All => "all work".to_owned(),
            Scope::Zone(zone) => match self.zones.get(usize::from(zone.0)) {
                Some(name) if !name.is_empty() => format!("fronts in {name}"),
                _ => "all work".to_owned(),
            },
            Scope::Class(class) => match self.classes.get(usize::from(class.0)) {
                Some(name) => format!("class {name}"),
                None => format!("class {class}"),
            },
        }
    }
}

impl Ejections {
    /// Returns the status of all ejections, or of those of one server; `None` if there is no server
    /// with that name.
    pub fn status(
        &self,
        now: Nanos,
        gossip: &GossipStore,
        names: &DisplayNames,
        server_name: Option<&str>,
    ) -> Option<Value> {
        let server = match server_name {
            None => None,
            Some(name) => Some(self.server_named(name)?),
        };
        let observations = server.map(|server| self.detector.observations(now, gossip, server));
        let config = self.detector.config();
        Some(json!({
            "name": names.front(config.me),
            "suspect": self.detector.is_suspect(),
            "servers": self.nodes.len(),
            "most_assents": config.max_votes(self.nodes.len()),
            "needed": config.quorum(),
            "medians": self.medians_json(names),
            "verdicts": self.reports_json(now, gossip, names, server),
            "server": server_name,
            "saw": observations.map(|observations| observations_json(names, observations)),
        }))
    }

    fn server_named(&self, name: &str) -> Option<ServerId> {
        self.nodes
            .values()
            .find(|listed| listed.name == name)
            .map(|listed| listed.server)
    }

    /// Returns the median response time, in microseconds, of each class that has one.
    fn medians_json(&self, names: &DisplayNames) -> Vec<Value> {
        let classes = names.classes.iter().enumerate();
        let medians = classes.filter_map(|(class, name)| {
            let median = self.observer.median(ClassId(u8::try_from(class).ok()?))?;
            Some(json!({"class": name.as_str(), "median_us": median / 1_000}))
        });
        medians.collect()
    }

    fn reports_json(
        &self,
        now: Nanos,
        gossip: &GossipStore,
        names: &DisplayNames,
        server: Option<ServerId>,
    ) -> Vec<Value> {
        self.detector
            .reports(now, gossip)
            .into_iter()
            .filter(|report| server.is_none_or(|server| server == report.target.server))
            .map(|report| self.report_json(now, names, report))
            .collect()
    }

    fn report_json(&self, now: Nanos, names: &DisplayNames, report: EjectionReport) -> Value {
        json!({
            "server": self.name(report.target.server),
            "scope": names.scope(report.target.scope),
            "out_ms": report.ejected_since.map(|since| millis(now - since)),
            "lapses_ms": self.time_to_readmission(&report.votes).map(millis),
            "tries": report.prober.map(|prober| names.front(prober)),
            "assents": votes_json(names, &report.votes),
            "saw": observations_json(names, report.observations),
        })
    }

    /// Returns how long the ejection lasts if no vote is renewed, in nanoseconds; `None` if there
    /// is no quorum. The youngest votes form a quorum until the oldest of them expires.
    fn time_to_readmission(&self, votes: &[Vote]) -> Option<Nanos> {
        let config = self.detector.config();
        let mut ages: Vec<Nanos> = votes.iter().map(|vote| vote.age).collect();
        ages.sort_unstable();
        ages.get(config.quorum() - 1)
            .map(|age| config.vote_ttl - age)
    }
}

fn votes_json(names: &DisplayNames, votes: &[Vote]) -> Vec<Value> {
    let vote_json =
        |vote: &Vote| json!({"front": names.front(vote.front), "age_ms": millis(vote.age)});
    votes.iter().map(vote_json).collect()
}

fn observations_json(names: &DisplayNames, observations: Vec<Observation>) -> Vec<Value> {
    let observation_json = |observation: Observation| {
        json!({
            "front": names.front(observation.front),
            "attempts": observation.attempts,
            "bad": observation.failures,
            "age_ms": millis(observation.age),
            "counts": observation.counts,
        })
    };
    observations.into_iter().map(observation_json).collect()
}
