//! The mutable state of this front as a member of the fleet, and how events change it.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{FleetUpdate, Nanos, NodeId, Request, Settings};
use tulipbridge_fleet_limits::{Effect, Event, Limit, LimitCoordinator};
use tulipbridge_membership::{EntryKey, GossipAction, GossipInput, GossipStore, Incarnation};

use super::status::StatusLog;
use crate::cluster::config::ClusterConfig;
use crate::cluster::ejections::{EjectionMetrics, Ejections, EntryChange};
use crate::cluster::errors::JoinError;
use crate::cluster::limits::{FleetLimits, LimitDemand, LimitUpdate};
use crate::cluster::messages::OutgoingMessage;
use crate::cluster::metrics::ClusterMetrics;
use crate::cluster::socket::PeerSocket;
use crate::telemetry::log::log;
use crate::telemetry::metrics::Metrics;

/// Key of the gossip entry that holds a front's program version.
pub(super) const VERSION_KEY: EntryKey = EntryKey { kind: 0, id: 0 };

/// The present time by two clocks, in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moment {
    /// By the clock of the fleet's state machines.
    pub now: Nanos,
    /// The present time by the clock of the decision module, for the fleet updates sent to it.
    pub module_now: Nanos,
}

impl Moment {
    /// Converts the update of a limit for the decision module. `at` is the time from which it
    /// applies, by the clock of the state machines; it is converted to the module's clock.
    fn fleet_update(self, update: LimitUpdate, at: Nanos) -> FleetUpdate {
        FleetUpdate::SharedLimit {
            limit: update.limit,
            rate: update.rate.rate,
            burst: update.rate.burst,
            at: self.module_now - (self.now - at),
        }
    }

    fn fleet_updates(self, updates: Vec<LimitUpdate>, at: Nanos) -> Vec<FleetUpdate> {
        let updates = updates.into_iter();
        updates
            .map(|update| self.fleet_update(update, at))
            .collect()
    }
}

/// The result of an evaluation of ejections.
#[derive(Debug, Default)]
pub(super) struct Evaluation {
    /// Whether this front has new gossip entries to send.
    pub has_new_entries: bool,
    /// Ejections and probes for the decision module.
    pub updates: Vec<FleetUpdate>,
}

/// Handles that the state shares with [`Peers`](super::Peers).
pub(super) struct SharedHandles {
    pub socket: Rc<PeerSocket>,
    /// Notified when ejections should be evaluated soon.
    pub evaluation_due: Rc<Notify>,
    pub metrics: ClusterMetrics,
}

/// The state of this front as a member of the fleet.
pub(super) struct PeersState {
    pub(super) config: ClusterConfig,
    /// Names of the classes of work, in the order of the settings.
    pub(super) class_names: Vec<String>,
    pub(super) coordinator: LimitCoordinator,
    pub(super) limits: FleetLimits,
    pub(super) gossip: GossipStore,
    /// `None` where ejections are not shared.
    pub(super) ejections: Option<Ejections>,
    pub(super) status_log: StatusLog,
    pub(super) handles: SharedHandles,
}

impl PeersState {
    /// Creates the state of a front that has just started.
    ///
    /// # Errors
    /// Returns an error if values of the configuration contradict each other.
    pub(super) fn new(
        now: Nanos,
        config: ClusterConfig,
        class_names: Vec<String>,
        incarnation: Incarnation,
        handles: SharedHandles,
        registry: &Metrics,
    ) -> Result<PeersState, JoinError> {
        let limits_config = config.limits_config.clone();
        let coordinator =
            LimitCoordinator::new(limits_config, incarnation, now).map_err(JoinError::Limits)?;
        Ok(PeersState {
            ejections: create_ejections(&config, registry)?,
            gossip: create_gossip(now, &config, incarnation),
            status_log: StatusLog::new(config.membership_list.members().len()),
            config,
            class_names,
            coordinator,
            limits: FleetLimits::default(),
            handles,
        })
    }

    /// Returns whether this front decides on outlier ejection together with its peers.
    pub(super) fn shares_ejections(&self) -> bool {
        self.ejections.is_some()
    }

    /// Returns the state of outlier ejection; `None` where it is not shared.
    pub(super) fn ejections_mut(&mut self) -> Option<&mut Ejections> {
        self.ejections.as_mut()
    }

    /// Publishes the version of this program as a gossip entry.
    pub(super) fn publish_version(&mut self, now: Nanos) {
        let version = env!("CARGO_PKG_VERSION").into();
        self.update_gossip(now, GossipInput::Put(VERSION_KEY, Some(version)));
    }

    /// Passes an event to the limit coordinator and applies the effects. `source` is the sender's
    /// address if the event is a received message. Returns the updates for the decision module.
    pub(super) fn update_limits(
        &mut self,
        moment: Moment,
        event: Event,
        source: Option<SocketAddr>,
        settings: &Settings,
    ) -> Vec<FleetUpdate> {
        self.record_address_in_use(moment.now);
        let mut effects = Vec::new();
        self.coordinator.on(moment.now, event, &mut effects);
        self.apply_effects(moment, effects, source, settings)
    }

    /// Informs the limit coordinator if another process has the address: this front then counts as
    /// just started.
    pub(super) fn record_address_in_use(&mut self, now: Nanos) {
        if !self.handles.socket.is_bound() {
            // The event has no effects: it only changes the time from which the start is counted.
            self.coordinator
                .on(now, Event::AddressInUse, &mut Vec::new());
        }
    }

    /// Passes an input of the request tracker to outlier ejection where it is shared. `name_of`
    /// returns the name of a node.
    pub(super) fn observe_input(
        &mut self,
        now: Nanos,
        input: &Input,
        name_of: impl Fn(NodeId) -> String,
    ) {
        let Some(ejections) = &mut self.ejections else {
            return;
        };
        if ejections.observe_input(now, input) {
            self.handles.evaluation_due.notify_one();
        }
        if let Input::Endpoints { scope, nodes } = input {
            ejections.update_endpoints(*scope, nodes, name_of);
        }
    }

    /// Returns the updates that the decision module must process before an input of the request
    /// tracker.
    pub(super) fn updates_before(
        &mut self,
        moment: Moment,
        input: &Input,
        settings: &Settings,
    ) -> Vec<FleetUpdate> {
        let mut demands = self.limits.configured().demands(input);
        let mut updates = Vec::new();
        if let Some(request) = volume_limited_request(input, settings) {
            let changed = self
                .limits
                .volume_requested(request.volume, request.plan, settings);
            updates.extend(changed.map(|update| moment.fleet_update(update, moment.now)));
            demands.push(LimitDemand {
                limit: Limit::Volume(request.volume.0),
                units: request.units,
            });
        }
        self.record_address_in_use(moment.now);
        let effects = self.count_demands(moment.now, demands);
        updates.extend(self.apply_effects(moment, effects, None, settings));
        updates
    }

    /// Passes demands to the coordinator. Without demands, lets it expire leases that are due.
    fn count_demands(&mut self, now: Nanos, demands: Vec<LimitDemand>) -> Vec<Effect> {
        let mut effects = Vec::new();
        if demands.is_empty() && now >= self.coordinator.next_expiry() {
            self.coordinator.on(now, Event::Poll, &mut effects);
        }
        for LimitDemand { limit, units } in demands {
            let event = Event::Demanded { limit, units };
            self.coordinator.on(now, event, &mut effects);
        }
        effects
    }

    /// Applies the configured limits, scaled to this front's shares. Returns the updates for the
    /// decision module.
    pub(super) fn configure_limits(
        &mut self,
        moment: Moment,
        settings: &Settings,
    ) -> Vec<FleetUpdate> {
        let updates = self.limits.configure(self.config.fleet_limits, settings);
        moment.fleet_updates(updates, moment.now)
    }

    fn apply_effects(
        &mut self,
        moment: Moment,
        effects: Vec<Effect>,
        source: Option<SocketAddr>,
        settings: &Settings,
    ) -> Vec<FleetUpdate> {
        effects
            .into_iter()
            .flat_map(|effect| self.apply_effect(moment, effect, source, settings))
            .collect()
    }

    fn apply_effect(
        &mut self,
        moment: Moment,
        effect: Effect,
        source: Option<SocketAddr>,
        settings: &Settings,
    ) -> Vec<FleetUpdate> {
        match effect {
            Effect::Send { to, heartbeat } => {
                let address = self.config.membership_list.address(to);
                self.send(address, &OutgoingMessage::Heartbeat(&heartbeat));
                Vec::new()
            }
            Effect::Reply { heartbeat } => {
                self.send(source, &OutgoingMessage::Heartbeat(&heartbeat));
                Vec::new()
            }
            Effect::Received(status) => {
                self.handles.metrics.count_heartbeat(status);
                Vec::new()
            }
            Effect::ShareChanged { limit, share, at } => {
                let updates = self.limits.set_share(limit, share, settings);
                moment.fleet_updates(updates, at)
            }
            Effect::Forget(limit) => {
                let updates = self.limits.forget(limit, settings);
                moment.fleet_updates(updates, moment.now)
            }
        }
    }

    /// Passes an input to the gossip store and carries out the resulting actions.
    pub(super) fn update_gossip(&mut self, now: Nanos, input: GossipInput) {
        let mut actions = Vec::new();
        let members = self.coordinator.members();
        if let Err(error) = self.gossip.on(now, members, input, &mut actions) {
            log!("peers: gossip entry not published: {error}");
        }
        for action in actions {
            self.apply_gossip_action(action);
        }
    }

    fn apply_gossip_action(&self, action: GossipAction) {
        match action {
            GossipAction::Send { to, message } => {
                let address = self.config.membership_list.address(to);
                self.send(address, &OutgoingMessage::Gossip(&message));
            }
            GossipAction::Rejected(error) => self.handles.metrics.count_rejected_gossip(error),
            // Only ejections must follow a change at once; the console reads entries on request.
            GossipAction::Changed(..) | GossipAction::Dropped(_) => {
                self.handles.evaluation_due.notify_one();
            }
        }
    }

    /// Sends a message, if there is an address to send it to.
    fn send(&self, to: Option<SocketAddr>, message: &OutgoingMessage) {
        let Some(to) = to else { return };
        let me = self.coordinator.config().me;
        let incarnation = self.coordinator.incarnation();
        let sent = self.handles.socket.send(me, incarnation, to, message);
        if sent.is_err() {
            self.handles.metrics.count_too_long();
        }
    }

    /// Evaluates the observations of all fronts and publishes the changed gossip entries of this
    /// front.
    pub(super) fn evaluate_ejections(&mut self, moment: Moment) -> Evaluation {
        let Some(ejections) = &mut self.ejections else {
            return Evaluation::default();
        };
        let changes = ejections.evaluate(moment.now, moment.module_now, &self.gossip);
        if ejections.is_waiting(moment.now) {
            self.handles.evaluation_due.notify_one();
        }
        let has_new_entries = !changes.entries.is_empty();
        for EntryChange { key, value } in changes.entries {
            self.update_gossip(moment.now, GossipInput::Put(key, value));
        }
        Evaluation {
            has_new_entries,
            updates: changes.updates,
        }
    }
}

fn create_ejections(
    config: &ClusterConfig,
    registry: &Metrics,
) -> Result<Option<Ejections>, JoinError> {
    let Some(detector_config) = config.detector_config().map_err(JoinError::Detector)? else {
        return Ok(None);
    };
    let metrics = EjectionMetrics::new(registry);
    Ejections::new(detector_config, metrics)
        .map(Some)
        .map_err(JoinError::Detector)
}

fn create_gossip(now: Nanos, config: &ClusterConfig, incarnation: Incarnation) -> GossipStore {
    GossipStore::new(
        config.limits_config.me,
        config.limits_config.fronts,
        incarnation,
        config.gossip_bytes_per_second,
        now,
    )
}

/// Returns the request that an input carries, if the request's plan limits the rate of its volume.
fn volume_limited_request<'a>(input: &'a Input, settings: &Settings) -> Option<&'a Request> {
    let Input::RequestReceived(request) = input else {
        return None;
    };
    let plan = settings.plans.get(request.plan)?;
    (plan.limit_rate > 0.0).then_some(request)
}
