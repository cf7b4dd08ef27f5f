//! This front's part in verdicts on chunk servers: the nodes of the module as servers of the fleet, the front's
//! attempts as evidence, and what the machine of verdicts says as what the module is told.
//!
//! Nothing here runs unless the operators' file has `peers.verdicts`.

use std::collections::BTreeMap;

use prometheus::{IntCounter, IntGauge};
use simd_json::prelude::*;
use simd_json::{json, OwnedValue as Value};
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{
    ClassSet, FleetUpdate, Listed, Nanos, NodeId, NodeInfo, Outcome, RequestId, UpdateScope as News,
};
use tulipbridge_membership::{EnvelopeCodec, GossipStore, Key, PeerId};
use tulipbridge_outlier_detection::{
    AttemptObserver, AttemptResult, Class, DetectorConfig, DetectorConfigError, Effect, EjectionReport,
    EjectionTarget, Event, Observation, OutlierDetector, SampleQuality, Scope, Server, Zone,
};

use crate::config::settings::{num, Res};
use crate::telemetry::log::log;
use crate::telemetry::metrics::Metrics;

/// What the operators' file says of verdicts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Part of all servers that may be held out at a time.
    pub max_ejected_fraction: f64,
    /// Fronts that must have seen a server do badly.
    pub witnesses: usize,
}

impl Config {
    /// Reads `peers.verdicts`.
    ///
    /// # Errors
    /// A plain sentence that names the path of what is wrong.
    pub fn read(value: &Value) -> Res<Config> {
        let object = value.as_object().ok_or("'peers.verdicts' must be an object")?;
        if let Some(other) = object.keys().find(|k| !["most_out", "witnesses"].contains(&k.as_str())) {
            return Err(format!("'peers.verdicts.{other}' is not known"));
        }
        let usual = DetectorConfig::new(0, 1, 0);
        let part = |told: &f64| (0.0..1.0).contains(told);
        let most_out = match value.get("most_out") {
            None => usual.max_ejected_fraction,
            Some(_) => num(value, "most_out")
                .ok()
                .filter(part)
                .ok_or("'peers.verdicts.most_out' must be a part from 0 to under 1")?,
        };
        let whole = |told: &f64| *told >= 2.0 && *told <= 1_000.0 && told.fract() == 0.0;
        let witnesses = match value.get("witnesses") {
            None => usual.witnesses,
            Some(_) => num(value, "witnesses")
                .ok()
                .filter(whole)
                .ok_or("'peers.verdicts.witnesses' must be a whole number of 2 or more")?
                as usize,
        };
        Ok(Config { max_ejected_fraction: most_out, witnesses })
    }

    /// The terms of the front at a place among so many, in a zone.
    ///
    /// # Errors
    /// Where they cannot hold.
    pub fn detector_config(
        &self,
        me: PeerId,
        fronts: PeerId,
        zone: Zone,
    ) -> Result<DetectorConfig, DetectorConfigError> {
        let terms = DetectorConfig {
            max_ejected_fraction: self.max_ejected_fraction,
            witnesses: self.witnesses,
            ..DetectorConfig::new(me, fronts, zone)
        };
        terms.check().map(|()| terms)
    }
}

/// What operators call things, to say them.
pub struct DisplayNames<'a> {
    /// Fronts by their places.
    pub fronts: &'a [String],
    /// Zones by their numbers.
    pub zones: &'a [String],
    /// Classes of work by their numbers, where they are known.
    pub classes: &'a [String],
}

impl DisplayNames<'_> {
    fn front(&self, place: PeerId) -> String {
        self.fronts.get(usize::from(place)).cloned().unwrap_or_default()
    }

    fn scope(&self, scope: Scope) -> String {
        match scope {
            Scope::All => "all work".to_owned(),
            Scope::Zone(zone) => match self.zones.get(usize::from(zone)) {
                Some(name) if !name.is_empty() => format!("fronts in {name}"),
                _ => "all work".to_owned(),
            },
            Scope::Class(class) => match self.classes.get(usize::from(class)) {
                Some(name) => format!("class {name}"),
                None => format!("class {class}"),
            },
        }
    }
}

/// A node of the module, as the list has it.
struct ListedServer {
    /// Of its name and its start: its next start is another server.
    server: Server,
    name: String,
    up: bool,
}

/// Counts for operators.
#[derive(Clone)]
pub struct EjectionMetrics {
    ejected: IntGauge,
    suspect: IntGauge,
    probes: IntCounter,
}

impl EjectionMetrics {
    /// At 0, among the front's figures.
    pub fn new(figures: &Metrics) -> EjectionMetrics {
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("the names are valid");
        let trials =
            IntCounter::new("app_verdict_trials", "Times that it was this front's turn to try a server");
        let counts = EjectionMetrics {
            ejected: gauge("app_verdicts_out", "Chunk servers that this front holds out with its peers"),
            suspect: gauge(
                "app_verdict_suspect",
                "1 while this front's view contradicts that of its peers, and counts for nothing",
            ),
            probes: trials.expect("the names are valid"),
        };
        figures.register(counts.ejected.clone());
        figures.register(counts.suspect.clone());
        figures.register(counts.probes.clone());
        counts
    }
}

/// What is to be done after a look.
#[derive(Default)]
pub struct EjectionChanges {
    /// Entries of this front's.
    pub entries: Vec<(Key, Option<Vec<u8>>)>,
    /// What the module is to be told.
    pub updates: Vec<FleetUpdate>,
}

/// This front's part in verdicts.
pub struct Ejections {
    detector: OutlierDetector,
    observer: AttemptObserver,
    nodes: BTreeMap<NodeId, ListedServer>,
    /// For what the module was told that nodes are out.
    reported: BTreeMap<NodeId, ClassSet>,
    /// What attempts have said since the last look.
    pending_events: Vec<Event>,
    list_changed: bool,
    counts: EjectionMetrics,
}

impl Ejections {
    /// With nothing known.
    ///
    /// # Errors
    /// Where the terms cannot hold.
    pub fn new(terms: DetectorConfig, counts: EjectionMetrics) -> Result<Ejections, DetectorConfigError> {
        Ok(Ejections {
            detector: OutlierDetector::new(terms)?,
            observer: AttemptObserver::default(),
            nodes: BTreeMap::new(),
            reported: BTreeMap::new(),
            pending_events: Vec::new(),
            list_changed: false,
            counts,
        })
    }

    /// The same front under other terms: what it saw of its peers' servers stays unsaid, its list stays.
    ///
    /// # Errors
    /// Where the terms cannot hold.
    pub fn reconfigure(&mut self, terms: DetectorConfig) -> Result<(), DetectorConfigError> {
        self.detector = OutlierDetector::new(terms)?;
        self.list_changed = true;
        Ok(())
    }

    /// The terms in force.
    pub fn config(&self) -> &DetectorConfig {
        self.detector.config()
    }

    /// Takes an input of the front's, before its desk does. Says whether a look should come soon: an attempt has gone
    /// badly, or at a timer of the desk's, which come often, is out for so long that it is bad.
    pub fn observe_input(&mut self, now: Nanos, input: &Input) -> bool {
        self.observer.step(now);
        if let Input::Timer(_) = input {
            return self.observer.has_overdue(now);
        }
        let event = self.attempt_event(now, input);
        let soon = match &event {
            Some(Event::Attempt { quality: worth, .. }) => *worth == SampleQuality::Failed,
            Some(Event::Probed { .. }) => true,
            _ => false,
        };
        self.pending_events.extend(event);
        soon
    }

    /// Whether the machine waits for what others saw, so that the next look should come soon.
    pub fn is_waiting(&self, now: Nanos) -> bool {
        self.detector.is_waiting(now)
    }

    /// News of the list.
    pub fn update_endpoints(&mut self, scope: News, infos: &[NodeInfo], name: impl Fn(NodeId) -> String) {
        if scope == News::Unavailable {
            return;
        }
        if scope != News::Update {
            self.nodes.retain(|node, _| infos.iter().any(|info| info.node == *node));
        }
        for info in infos {
            if info.listed == Listed::Removed {
                self.nodes.remove(&info.node);
                continue;
            }
            let name = name(info.node);
            let server = EnvelopeCodec::digest(&format!("{name}|{}", info.started_at));
            self.nodes.insert(info.node, ListedServer { server, name, up: info.listed == Listed::Up });
        }
        self.list_changed = true;
    }

    /// An attempt went out.
    pub fn attempt_sent(
        &mut self,
        now: Nanos,
        key: (RequestId, u32),
        node: NodeId,
        class: usize,
        repeatable: bool,
    ) {
        if let (Some(member), Ok(class)) = (self.nodes.get(&node), Class::try_from(class)) {
            self.observer.attempt_sent(now, key, member.server, class, repeatable);
        }
    }

    /// What an input says of an attempt.
    fn attempt_event(&mut self, now: Nanos, input: &Input) -> Option<Event> {
        let (key, how) = match input {
            Input::AttemptEnded { id, attempt, outcome, .. } => {
                let how = match outcome {
                    Outcome::Served => AttemptResult::Answered,
                    Outcome::Error | Outcome::NotExecuted | Outcome::Reset => AttemptResult::Failed,
                    Outcome::Rejected => AttemptResult::Rejected,
                    Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => AttemptResult::Cancelled,
                };
                ((*id, *attempt), how)
            }
            Input::AttemptTimedOut { id, attempt } | Input::AttemptCancelled { id, attempt } => {
                ((*id, *attempt), AttemptResult::Cancelled)
            }
            _ => return None,
        };
        self.observer.attempt_ended(now, key, how)
    }

    /// Looks at what has been seen here and told by others. `module_now` is this moment as the module counts.
    pub fn evaluate(&mut self, now: Nanos, module_now: Nanos, entries: &GossipStore) -> EjectionChanges {
        let mut effects = Vec::new();
        if std::mem::take(&mut self.list_changed) {
            let servers = self.nodes.values().map(|m| (m.server, m.up)).collect();
            self.detector.on(now, entries, Event::Servers(servers), &mut effects);
        }
        let overdue = self.observer.take_overdue(now);
        for event in std::mem::take(&mut self.pending_events).into_iter().chain(overdue) {
            self.detector.on(now, entries, event, &mut effects);
        }
        self.detector.on(now, entries, Event::Evaluate, &mut effects);
        let mut done = EjectionChanges::default();
        for effect in effects {
            self.carry_out(now, module_now, effect, &mut done);
        }
        self.report_ejections(&mut done);
        done
    }

    fn carry_out(&mut self, now: Nanos, module_now: Nanos, effect: Effect, done: &mut EjectionChanges) {
        let turn = self.detector.config().probe_turn;
        match effect {
            Effect::Put(key, value) => done.entries.push((key, value)),
            Effect::Ejected(subject) => log!("verdicts: {} is held out", self.name(subject.server)),
            Effect::Readmitted { target: subject, healthy: well } => {
                self.observer.readmitted(subject.server);
                let why = if well { "it did well in trials" } else { "the verdict on it has ended" };
                log!("verdicts: {} is held out no more: {why}", self.name(subject.server));
            }
            Effect::Probe(server) => {
                self.counts.probes.inc();
                self.observer.probe_next(server, now + turn);
                let until = module_now + turn;
                let nodes = self.nodes.iter().filter(|(_, m)| m.server == server);
                done.updates.extend(nodes.map(|(node, _)| FleetUpdate::Probe { node: *node, until }));
            }
            Effect::Suspect(suspect) => {
                self.counts.suspect.set(i64::from(suspect));
                match suspect {
                    true => log!("verdicts: what this front sees contradicts its peers, and counts for nothing: look at its own network"),
                    false => log!("verdicts: what this front sees agrees with its peers again"),
                }
            }
        }
    }

    /// For what each node is out by now, where that has changed.
    fn report_ejections(&mut self, done: &mut EjectionChanges) {
        let mut out: BTreeMap<Server, ClassSet> = BTreeMap::new();
        for EjectionTarget { server, scope } in self.detector.ejected() {
            let held = out.entry(server).or_default();
            *held = match scope {
                Scope::All | Scope::Zone(_) => ClassSet::ALL,
                Scope::Class(class) => held.with(usize::from(class)),
            };
        }
        let of = |member: &ListedServer| out.get(&member.server).copied().unwrap_or_default();
        for (node, member) in &self.nodes {
            let now = of(member);
            if self.reported.insert(*node, now).unwrap_or_default() != now {
                done.updates.push(FleetUpdate::Ejection { node: *node, classes: now });
            }
        }
        let nodes = &self.nodes;
        self.reported.retain(|node, _| nodes.contains_key(node));
        self.counts.ejected.set(out.len() as i64);
    }

    fn name(&self, server: Server) -> String {
        let named = self.nodes.values().find(|m| m.server == server);
        named.map_or_else(|| format!("a server that is gone ({server:016x})"), |m| m.name.clone())
    }

    /// What there is to say of verdicts, or of one server, as JSON; nothing where there is no such server.
    pub fn status(
        &self,
        now: Nanos,
        entries: &GossipStore,
        names: &DisplayNames,
        of: Option<&str>,
    ) -> Option<Value> {
        let server = match of {
            None => None,
            Some(name) => Some(self.nodes.values().find(|m| m.name == name)?.server),
        };
        let reasons: Vec<Value> = self
            .detector
            .reports(now, entries)
            .into_iter()
            .filter(|reason| server.is_none_or(|s| s == reason.target.server))
            .map(|reason| self.report(now, names, reason))
            .collect();
        let saw =
            server.map(|server| self.observations(names, self.detector.observations(now, entries, server)));
        let classes = names.classes.iter().enumerate();
        let medians = classes.filter_map(|(class, name)| {
            let median = self.observer.median(Class::try_from(class).ok()?)?;
            Some(json!({"class": name.as_str(), "median_us": median / 1_000}))
        });
        let terms = self.detector.config();
        let (most, listed) = (terms.max_votes(self.nodes.len()), self.nodes.len());
        Some(json!({
            "name": names.front(terms.me),
            "suspect": self.detector.is_suspect(),
            "servers": listed,
            "most_assents": most,
            "needed": terms.quorum(),
            "medians": medians.collect::<Vec<_>>(),
            "verdicts": reasons,
            "server": of,
            "saw": saw,
        }))
    }

    fn report(&self, now: Nanos, names: &DisplayNames, reason: EjectionReport) -> Value {
        let terms = self.detector.config();
        let mut ages: Vec<Nanos> = reason.votes.iter().map(|said| said.age).collect();
        ages.sort_unstable();
        // With the youngest that make more than half the verdict stands until the oldest of them has run out.
        let lapses = ages.get(terms.quorum() - 1).map(|age| millis(terms.vote_ttl - age));
        let assents: Vec<Value> = reason
            .votes
            .iter()
            .map(|said| json!({"front": names.front(said.front), "age_ms": millis(said.age)}))
            .collect();
        json!({
            "server": self.name(reason.target.server),
            "scope": names.scope(reason.target.scope),
            "out_ms": reason.ejected_since.map(|since| millis(now - since)),
            "lapses_ms": lapses,
            "tries": reason.prober.map(|place| names.front(place)),
            "assents": assents,
            "saw": self.observations(names, reason.observations),
        })
    }

    fn observations(&self, names: &DisplayNames, saw: Vec<Observation>) -> Value {
        let one = |saw: Observation| {
            json!({
                "front": names.front(saw.front),
                "attempts": saw.attempts,
                "bad": saw.failures,
                "age_ms": millis(saw.age),
                "counts": saw.counts,
            })
        };
        Value::from(saw.into_iter().map(one).collect::<Vec<Value>>())
    }
}

fn millis(span: Nanos) -> i64 {
    span / 1_000_000
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Res<Config> {
        Config::read(&simd_json::to_owned_value(&mut text.as_bytes().to_vec()).expect("JSON"))
    }

    #[test]
    fn what_is_told_holds_and_what_is_wrong_is_named_by_its_path() {
        assert_eq!(read("{}"), Ok(Config { max_ejected_fraction: 0.5, witnesses: 2 }));
        let told = r#"{"most_out": 0.25, "witnesses": 3}"#;
        assert_eq!(read(told), Ok(Config { max_ejected_fraction: 0.25, witnesses: 3 }));
        for (text, said) in [
            ("[]", "'peers.verdicts' must be an object"),
            (r#"{"most": 1}"#, "'peers.verdicts.most' is not known"),
            (r#"{"most_out": 1}"#, "'peers.verdicts.most_out' must be a part from 0 to under 1"),
            (r#"{"most_out": "x"}"#, "'peers.verdicts.most_out' must be a part from 0 to under 1"),
            (r#"{"witnesses": 1}"#, "'peers.verdicts.witnesses' must be a whole number of 2 or more"),
            (r#"{"witnesses": 2.5}"#, "'peers.verdicts.witnesses' must be a whole number of 2 or more"),
        ] {
            assert_eq!(read(text).err().as_deref(), Some(said), "{text}");
        }
    }
}
