//! Fleet-wide outlier ejection of chunk servers, which this front decides together with its peers.
//!
//! [`Ejections`] connects the state machine [`OutlierDetector`] to the front: it converts inputs of
//! the request tracker to observations of servers, and the detector's effects to gossip entries and
//! updates for the decision module. It is only used where the configuration file has the section
//! `peers.verdicts`.

mod config;
mod metrics;
mod status;

use std::collections::BTreeMap;

use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{
    ClassSet, EndpointState, FleetUpdate, Nanos, NodeId, NodeInfo, Outcome, RequestId, UpdateScope,
};
use tulipbridge_membership::{EntryKey, EnvelopeCodec, GossipStore};
use tulipbridge_outlier_detection::{
    AttemptId, AttemptObserver, AttemptResult, ClassId, DetectorConfig, DetectorConfigError,
    Effect, EjectionTarget, Event, KnownServer, OutlierDetector, SampleQuality, Scope, ServerId,
};

pub use self::config::EjectionConfig;
pub use self::metrics::EjectionMetrics;
pub use self::status::DisplayNames;
use crate::exchange::AttemptKey;
use crate::telemetry::log::log;

/// A chunk server of the endpoint list.
struct ListedServer {
    /// Digest of the name and the start time: to the detector, a restarted server is another
    /// server.
    server: ServerId,
    /// The server's name for operators.
    name: String,
    is_up: bool,
}

/// A change of a gossip entry of this front.
pub struct EntryChange {
    /// Key of the entry among this front's entries.
    pub key: EntryKey,
    /// The new value of the entry; `None` removes it.
    pub value: Option<Vec<u8>>,
}

/// The changes that result from an evaluation.
#[derive(Default)]
pub struct EjectionChanges {
    /// Changes of this front's gossip entries, to be published.
    pub entries: Vec<EntryChange>,
    /// Ejections and probes for the decision module.
    pub updates: Vec<FleetUpdate>,
}

/// The state of fleet-wide ejection at this front.
pub struct Ejections {
    detector: OutlierDetector,
    observer: AttemptObserver,
    nodes: BTreeMap<NodeId, ListedServer>,
    /// The classes for which each node is ejected, as last reported to the decision module.
    reported: BTreeMap<NodeId, ClassSet>,
    /// Observations since the last evaluation.
    pending_events: Vec<Event>,
    /// Whether the detector still has to be given the present endpoint list.
    endpoints_changed: bool,
    metrics: EjectionMetrics,
}

impl Ejections {
    /// Creates the state without any server or observation.
    ///
    /// # Errors
    /// Returns an error if the configuration is invalid.
    pub fn new(
        config: DetectorConfig,
        metrics: EjectionMetrics,
    ) -> Result<Ejections, DetectorConfigError> {
        Ok(Ejections {
            detector: OutlierDetector::new(config)?,
            observer: AttemptObserver::default(),
            nodes: BTreeMap::new(),
            reported: BTreeMap::new(),
            pending_events: Vec::new(),
            endpoints_changed: false,
            metrics,
        })
    }

    /// Replaces the detector by one with a new configuration. The endpoint list is kept; the old
    /// detector's evidence is dropped.
    ///
    /// # Errors
    /// Returns an error if the configuration is invalid; nothing has changed then.
    pub fn reconfigure(&mut self, config: DetectorConfig) -> Result<(), DetectorConfigError> {
        self.detector = OutlierDetector::new(config)?;
        self.endpoints_changed = true;
        Ok(())
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &DetectorConfig {
        self.detector.config()
    }

    /// Observes an input before the request tracker processes it. Returns whether an evaluation
    /// should follow soon: if an attempt has failed, a probe has ended, or an attempt is overdue.
    /// The latter is checked at timers, which fire often.
    pub fn observe_input(&mut self, now: Nanos, input: &Input) -> bool {
        self.observer.step(now);
        if let Input::Timer(_) = input {
            return self.observer.has_overdue(now);
        }
        let event = self.attempt_event(now, input);
        let needs_evaluation = match &event {
            Some(Event::Attempt { quality, .. }) => *quality == SampleQuality::Failed,
            Some(Event::Probed { .. }) => true,
            _ => false,
        };
        self.pending_events.extend(event);
        needs_evaluation
    }

    /// Returns whether the detector waits for observations of other fronts, so that the next
    /// evaluation should follow soon.
    pub fn is_waiting(&self, now: Nanos) -> bool {
        self.detector.is_waiting(now)
    }

    /// Applies an update of the endpoint list. `name_of` returns the name of a node.
    pub fn update_endpoints(
        &mut self,
        scope: UpdateScope,
        infos: &[NodeInfo],
        name_of: impl Fn(NodeId) -> String,
    ) {
        if scope == UpdateScope::Unavailable {
            return;
        }
        if scope != UpdateScope::Update {
            self.nodes
                .retain(|node, _| infos.iter().any(|info| info.node == *node));
        }
        for info in infos {
            if info.state == EndpointState::Removed {
                self.nodes.remove(&info.node);
                continue;
            }
            let name = name_of(info.node);
            let server = ServerId(EnvelopeCodec::digest(&format!(
                "{name}|{}",
                info.started_at
            )));
            self.nodes.insert(
                info.node,
                ListedServer {
                    server,
                    name,
                    is_up: info.state == EndpointState::Up,
                },
            );
        }
        self.endpoints_changed = true;
    }

    /// Records that an attempt of a request of `class` was sent to a node.
    pub fn attempt_sent(
        &mut self,
        now: Nanos,
        key: AttemptKey,
        node: NodeId,
        class: usize,
        idempotent: bool,
    ) {
        let Some(listed) = self.nodes.get(&node) else {
            return;
        };
        let Ok(class) = u8::try_from(class) else {
            return;
        };
        self.observer.attempt_sent(
            now,
            attempt_id(key.request, key.attempt),
            listed.server,
            ClassId(class),
            idempotent,
        );
    }

    /// Returns the observation that an input gives of the server of an attempt, if any.
    fn attempt_event(&mut self, now: Nanos, input: &Input) -> Option<Event> {
        match input {
            Input::AttemptEnded {
                id,
                attempt,
                outcome,
                ..
            } => {
                let ended = attempt_id(*id, *attempt);
                self.observer
                    .attempt_ended(now, ended, attempt_result(*outcome))
            }
            Input::AttemptTimedOut { id, attempt } | Input::AttemptCancelled { id, attempt } => {
                let ended = attempt_id(*id, *attempt);
                self.observer
                    .attempt_ended(now, ended, AttemptResult::Cancelled)
            }
            _ => None,
        }
    }

    /// Evaluates all observations, those of this front and those in `gossip`. `module_now` is the
    /// present time by the decision module's clock.
    pub fn evaluate(
        &mut self,
        now: Nanos,
        module_now: Nanos,
        gossip: &GossipStore,
    ) -> EjectionChanges {
        let mut effects = Vec::new();
        for event in self.take_events(now) {
            self.detector.on(now, gossip, event, &mut effects);
        }
        self.detector.on(now, gossip, Event::Evaluate, &mut effects);
        let mut changes = EjectionChanges::default();
        for effect in effects {
            self.apply_effect(now, module_now, effect, &mut changes);
        }
        self.report_ejections(&mut changes);
        changes
    }

    /// Returns the events since the last evaluation: first a changed endpoint list, then attempts,
    /// then those that are overdue.
    fn take_events(&mut self, now: Nanos) -> Vec<Event> {
        let mut events = Vec::new();
        if std::mem::take(&mut self.endpoints_changed) {
            let servers = self
                .nodes
                .values()
                .map(|listed| KnownServer {
                    id: listed.server,
                    is_up: listed.is_up,
                })
                .collect();
            events.push(Event::Servers(servers));
        }
        events.append(&mut self.pending_events);
        events.extend(self.observer.take_overdue(now));
        events
    }

    fn apply_effect(
        &mut self,
        now: Nanos,
        module_now: Nanos,
        effect: Effect,
        changes: &mut EjectionChanges,
    ) {
        match effect {
            Effect::Put(key, value) => changes.entries.push(EntryChange { key, value }),
            Effect::Ejected(target) => log!("ejections: {}: ejected", self.name(target.server)),
            Effect::Readmitted { target, healthy } => {
                self.observer.readmitted(target.server);
                let reason = if healthy {
                    "enough probes have succeeded"
                } else {
                    "no quorum votes for its ejection"
                };
                log!(
                    "ejections: {}: readmitted: {reason}",
                    self.name(target.server)
                );
            }
            Effect::Probe(server) => changes.updates.extend(self.probe(now, module_now, server)),
            Effect::Suspect(suspect) => self.set_suspect(suspect),
        }
    }

    /// Makes the next idempotent attempt at a server a probe if it is sent during this front's
    /// turn. Returns the updates for the decision module.
    fn probe(&mut self, now: Nanos, module_now: Nanos, server: ServerId) -> Vec<FleetUpdate> {
        let turn = self.detector.config().probe_turn;
        self.metrics.probes.inc();
        self.observer.probe_next(server, now + turn);
        let until = module_now + turn;
        let nodes = self
            .nodes
            .iter()
            .filter(|(_, listed)| listed.server == server);
        nodes
            .map(|(node, _)| FleetUpdate::Probe { node: *node, until })
            .collect()
    }

    fn set_suspect(&self, suspect: bool) {
        self.metrics.suspect.set(i64::from(suspect));
        match suspect {
            true => log!(
                "ejections: this front is suspect: its observations contradict those of its peers \
                 and are ignored; check this front's network"
            ),
            false => log!(
                "ejections: this front is no longer suspect: its observations agree with those of \
                 its peers"
            ),
        }
    }

    /// Adds an update for each node whose ejection has changed.
    fn report_ejections(&mut self, changes: &mut EjectionChanges) {
        let ejected = self.ejected_classes();
        for (node, listed) in &self.nodes {
            let classes = ejected.get(&listed.server).copied().unwrap_or_default();
            if self.reported.insert(*node, classes).unwrap_or_default() != classes {
                changes.updates.push(FleetUpdate::Ejection {
                    node: *node,
                    classes,
                });
            }
        }
        let nodes = &self.nodes;
        self.reported.retain(|node, _| nodes.contains_key(node));
        self.metrics.ejected.set(ejected.len() as i64);
    }

    /// Returns the classes of work for which each ejected server is ejected.
    fn ejected_classes(&self) -> BTreeMap<ServerId, ClassSet> {
        let mut ejected: BTreeMap<ServerId, ClassSet> = BTreeMap::new();
        for EjectionTarget { server, scope } in self.detector.ejected() {
            let classes = ejected.entry(server).or_default();
            *classes = match scope {
                Scope::All | Scope::Zone(_) => ClassSet::ALL,
                Scope::Class(class) => classes.with(usize::from(class.0)),
            };
        }
        ejected
    }

    /// Returns the name of a server for operators, or a substitute if the endpoint list no longer
    /// has it.
    fn name(&self, server: ServerId) -> String {
        let listed = self.nodes.values().find(|listed| listed.server == server);
        listed.map_or_else(
            || format!("a server that is gone ({:016x})", server.0),
            |listed| listed.name.clone(),
        )
    }
}

/// Returns the identifier of an attempt for the observer.
fn attempt_id(request: RequestId, attempt: u32) -> AttemptId {
    AttemptId {
        request: request.0,
        attempt,
    }
}

/// Converts the outcome of an attempt to the result that the detector counts.
fn attempt_result(outcome: Outcome) -> AttemptResult {
    match outcome {
        Outcome::Served => AttemptResult::Answered,
        Outcome::Error | Outcome::NotExecuted | Outcome::Reset => AttemptResult::Failed,
        Outcome::Rejected => AttemptResult::Rejected,
        Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => AttemptResult::Cancelled,
    }
}
