//! The scheduler, which coordinates all decisions: its components, settings and updates from the
//! fleet.
//!
//! [`events`] handles each kind of event, [`attempts`] those of attempts; [`dispatch`] sends queued
//! requests to chunk servers or gives them their final answers.

mod attempts;
mod dispatch;
mod events;

use std::hash::{Hash, Hasher};

use super::admission::AdmissionControl;
use super::client_patience::ClientPatience;
use super::endpoint_subscription::EndpointSubscription;
use super::key_order::KeyOrder;
use super::learned_cost::LearnedCost;
use super::node_table::NodeTable;
use super::retry;
use super::retry_budget::RetryHistory;
use super::shard_queues::ShardQueues;
use super::slow_start::WarmupRates;
use super::volume_limits::VolumeTable;
use super::weight::BaseWeightRebalancer;
use crate::fleet_limits::FleetLimits;
use crate::interface::{
    Class, FleetUpdate, Nanos, Request, RequestId, Settings, SettingsError, SharedLimit,
};
use crate::settings_reload::ReplacedEntry;
use crate::state::{RateLimit, RequestTable};

/// The decision module of one front. It handles events and returns actions. The documentation of
/// the crate has an example.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    random: fastrand::Rng,
    now: Nanos,
    is_started: bool,
    last_second_at: Nanos,
    nodes: NodeTable,
    requests: RequestTable,
    queues: ShardQueues,
    key_order: KeyOrder,
    volumes: VolumeTable,
    fleet_limits: FleetLimits,
    learned_cost: LearnedCost,
    retry_history: RetryHistory,
    /// One entry for each class.
    client_patience: Vec<ClientPatience>,
    admission: AdmissionControl,
    warmup_rates: WarmupRates,
    rebalancer: BaseWeightRebalancer,
    subscription: EndpointSubscription,
}

/// How many chunk servers a front knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeCounts {
    /// The servers in the endpoint list.
    pub listed: usize,
    /// The listed servers that get no regular requests, as they are draining, suspect or ejected
    /// for all classes.
    pub avoided: usize,
}

impl Scheduler {
    /// Creates a scheduler without chunk servers. `seed` initializes its random number generator.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] if the settings are not valid, for instance if there is no class
    /// or a rate is not finite.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let classes = settings.classes.len();
        Ok(Scheduler {
            settings,
            random: fastrand::Rng::with_seed(seed),
            now,
            is_started: false,
            last_second_at: now,
            nodes: NodeTable::new(now),
            requests: RequestTable::new(),
            queues: ShardQueues::default(),
            key_order: KeyOrder::default(),
            volumes: VolumeTable::default(),
            fleet_limits: FleetLimits::default(),
            learned_cost: LearnedCost::new(classes),
            retry_history: RetryHistory::default(),
            client_patience: vec![ClientPatience::default(); classes],
            admission: AdmissionControl::default(),
            warmup_rates: WarmupRates::new(),
            rebalancer: BaseWeightRebalancer::default(),
            subscription: EndpointSubscription::default(),
        })
    }

    /// Applies reloaded settings. Classes and plans keep the indices that a
    /// [`VersionedTable`](crate::settings_reload::VersionedTable) assigned to them. A class in
    /// `replaced` copies the learned values of the class that it replaces. Requests in progress
    /// keep their class, and the number of attempts that they were allowed as an upper limit.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] and changes nothing if the settings are not valid or have fewer
    /// classes or plans than before.
    pub fn apply_settings(
        &mut self,
        settings: Settings,
        replaced: &[ReplacedEntry],
    ) -> Result<(), SettingsError> {
        settings.check()?;
        let keeps_classes = settings.classes.len() >= self.settings.classes.len();
        let keeps_plans = settings.plans.len() >= self.settings.plans.len();
        if !keeps_classes || !keeps_plans {
            return Err(SettingsError::FewerClassesOrPlans);
        }
        let classes = settings.classes.len();
        self.learned_cost.resize(classes);
        self.client_patience
            .resize(classes, ClientPatience::default());
        for &ReplacedEntry { index, previous } in replaced {
            if index >= classes || previous >= classes {
                continue;
            }
            self.learned_cost.copy_class(previous, index);
            self.client_patience[index] = self.client_patience[previous].clone();
        }
        self.settings = settings;
        Ok(())
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the number of listed chunk servers, and how many of them are avoided.
    pub fn node_counts(&self) -> NodeCounts {
        let listed = || self.nodes.values().filter(|node| !node.is_removed());
        let avoided = listed().filter(|node| {
            node.is_draining() || !node.is_healthy() || node.ejection.is_fully_ejected()
        });
        NodeCounts {
            listed: listed().count(),
            avoided: avoided.count(),
        }
    }

    /// Returns the number of volumes whose limits and use are kept.
    pub fn volume_count(&self) -> usize {
        self.volumes.len()
    }

    /// Returns the number of chunk servers that the next tick visits.
    pub fn nodes_per_tick(&self) -> usize {
        self.nodes.active_count()
    }

    /// Returns whether no request is in progress or queued and no attempt is in flight.
    pub fn is_at_rest(&self) -> bool {
        let has_in_flight = self.nodes.values().any(|node| !node.in_flight.is_empty());
        let has_queued = self.queues.waiting_shards().next().is_some();
        self.requests.is_empty() && !has_queued && !has_in_flight
    }

    /// Hashes all state that later decisions depend on, with times relative to `now`. The model
    /// checker treats states with the same fingerprint as equal.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        (now - self.now, self.is_started, self.random.get_seed()).hash(hasher);
        (now - self.last_second_at).hash(hasher);
        self.nodes.fingerprint(now, hasher);
        self.requests.fingerprint(now, hasher);
        self.queues.fingerprint(hasher);
        self.key_order.fingerprint(now, hasher);
        self.volumes.fingerprint(now, hasher);
        self.fleet_limits.fingerprint(now, hasher);
        self.learned_cost.fingerprint(hasher);
        self.retry_history.fingerprint(now, hasher);
        for patience in &self.client_patience {
            patience.fingerprint(now, hasher);
        }
        self.admission.fingerprint(now, hasher);
        self.warmup_rates.fingerprint(hasher);
        self.rebalancer.fingerprint(hasher);
        self.subscription.fingerprint(now, hasher);
    }

    /// Returns the time until which an attempt of a request may begin.
    pub(crate) fn begin_deadline(&self, id: RequestId) -> Nanos {
        self.requests.get(id).map_or(Nanos::MAX, |live| {
            let class = &self.settings.classes[live.request().class];
            retry::begin_deadline(live, class)
        })
    }

    /// Applies an update of the state that all fronts share, or the shutdown of this front.
    fn on_fleet_update(&mut self, update: FleetUpdate) {
        match update {
            FleetUpdate::SharedLimit {
                limit,
                rate,
                burst,
                at,
            } => self.apply_shared_limit(limit, RateLimit { rate, burst }, at),
            FleetUpdate::Ejection {
                node: node_id,
                classes,
            } => {
                let node = self.nodes.get_mut(node_id);
                if node.is_some_and(|node| node.apply_ejection(self.now, classes)) {
                    self.nodes.activate(node_id);
                }
            }
            FleetUpdate::Probe {
                node: node_id,
                until,
            } => {
                if let Some(node) = self.nodes.get_mut(node_id) {
                    node.ejection.request_probe(until);
                }
            }
            FleetUpdate::Shutdown { deadline } => self.requests.shut_down(deadline),
        }
    }

    /// Applies this front's part of a shared limit.
    fn apply_shared_limit(&mut self, shared: SharedLimit, limit: RateLimit, effective_at: Nanos) {
        match shared {
            SharedLimit::Volume(id) => self.volumes.assign_limit(id, limit, effective_at),
            SharedLimit::Retries => self.fleet_limits.set_retries(limit, effective_at),
            SharedLimit::WarmingUpNode => {
                let nodes = self.nodes.values_mut();
                self.fleet_limits.set_warming_up(limit, effective_at, nodes);
            }
            SharedLimit::InFlightPerNode => {
                let nodes = self.nodes.values_mut();
                self.fleet_limits.set_in_flight(limit.rate, nodes);
            }
        }
    }

    /// Returns the class of a request.
    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class]
    }
}
