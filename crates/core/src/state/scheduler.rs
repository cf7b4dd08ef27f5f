//! The scheduler's fields, its creation and its settings.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::fleet_limits::FleetLimits;
use crate::interface::{
    KeyId, Listed, Nanos, NodeId, RequestId, Settings, SettingsError, ShardId, VolumeId,
};
use crate::settings_reload::ReplacedEntry;
use crate::state::{Admission, ClientPatience, KeyQueue, LiveRequest, Node, RateLimit, Volume};

/// Requests in flight at a chunk server from all fronts together for which no front is paced: fewer
/// than a server with one core keeps in its queue.
const UNPACED_REQUESTS_PER_NODE: f64 = 16.0;

/// The decision module of one front: it takes events and returns actions. See the crate's
/// documentation for an example.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) random: fastrand::Rng,
    pub(crate) now: Nanos,
    pub(crate) started: bool,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    /// The chunk servers of each shard, also those that were removed from the endpoint list.
    pub(crate) shards: BTreeMap<ShardId, Vec<NodeId>>,
    /// The servers that the next tick visits.
    pub(crate) active_nodes: BTreeSet<NodeId>,
    pub(crate) queues: BTreeMap<ShardId, Vec<RequestId>>,
    pub(crate) live: BTreeMap<RequestId, LiveRequest>,
    pub(crate) volumes: BTreeMap<VolumeId, Volume>,
    /// Volume limits assigned by the fleet, in place of an even part.
    pub(crate) assigned_limits: BTreeMap<VolumeId, RateLimit>,
    pub(crate) fleet_limits: FleetLimits,
    pub(crate) key_queues: BTreeMap<KeyId, KeyQueue>,
    /// Learned nanoseconds per unit of work, for each class.
    pub(crate) unit_cost: Vec<f64>,
    /// When retries were sent, within the retry budget's window.
    pub(crate) retries_sent: VecDeque<Nanos>,
    /// When requests were received, within the retry budget's window.
    pub(crate) requests_received: VecDeque<Nanos>,
    /// The longest patience seen, for each class.
    pub(crate) max_patience: Vec<Nanos>,
    pub(crate) client_patience: Vec<ClientPatience>,
    pub(crate) admission: Admission,
    /// Units per second that a warm server serves this front on average, as last known.
    pub(crate) mean_warm_rate: f64,
    /// Learned factor on the rate to servers that are warming up.
    pub(crate) warmup_factor: f64,
    pub(crate) last_second_at: Nanos,
    pub(crate) last_tick_at: Nanos,
    /// The highest latency at the last rebalancing of base weights.
    pub(crate) last_max_latency: Option<f64>,
    pub(crate) rebalancing_paused: bool,
    /// When to subscribe to the endpoint list, while that is due.
    pub(crate) subscribe_at: Option<Nanos>,
    pub(crate) subscribe_backoff: Nanos,
    /// When all requests are answered, once the front shuts down.
    pub(crate) shutdown_deadline: Nanos,
}

impl Scheduler {
    /// A scheduler that knows only its settings. `seed` starts its random numbers.
    ///
    /// # Errors
    /// [`SettingsError`] for settings that are not valid, such as no classes or a rate that is not
    /// finite.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let classes = settings.classes.len();
        Ok(Scheduler {
            settings,
            random: fastrand::Rng::with_seed(seed),
            now,
            started: false,
            nodes: BTreeMap::new(),
            shards: BTreeMap::new(),
            active_nodes: BTreeSet::new(),
            queues: BTreeMap::new(),
            live: BTreeMap::new(),
            volumes: BTreeMap::new(),
            assigned_limits: BTreeMap::new(),
            fleet_limits: FleetLimits::default(),
            key_queues: BTreeMap::new(),
            unit_cost: vec![0.0; classes],
            retries_sent: VecDeque::new(),
            requests_received: VecDeque::new(),
            max_patience: vec![0; classes],
            client_patience: vec![ClientPatience::default(); classes],
            admission: Admission::default(),
            mean_warm_rate: 0.0,
            warmup_factor: 0.0,
            last_second_at: now,
            last_tick_at: now,
            last_max_latency: None,
            rebalancing_paused: false,
            subscribe_at: None,
            subscribe_backoff: 0,
            shutdown_deadline: Nanos::MAX,
        })
    }

    /// Applies reloaded settings. Classes and plans keep their numbers, as a
    /// [`VersionedTable`](crate::settings_reload::VersionedTable) assigns them; a
    /// class in `replaced` takes the learned values of the older one that it replaces. Requests
    /// under way keep their class and the number of attempts they were allowed.
    ///
    /// # Errors
    /// [`SettingsError`] for settings that are not valid or have fewer classes or plans; then
    /// nothing changes.
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
        self.unit_cost.resize(classes, 0.0);
        self.client_patience
            .resize(classes, ClientPatience::default());
        self.max_patience.resize(classes, 0);
        for &ReplacedEntry { index, previous } in replaced {
            if index >= classes || previous >= classes {
                continue;
            }
            self.unit_cost[index] = self.unit_cost[previous];
            self.client_patience[index] = self.client_patience[previous].clone();
            self.max_patience[index] = self.max_patience[previous];
        }
        self.settings = settings;
        Ok(())
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The number of listed chunk servers, and of those that get no regular requests: draining,
    /// suspect or ejected.
    pub fn node_counts(&self) -> (usize, usize) {
        let listed = || {
            self.nodes
                .values()
                .filter(|node| node.listed != Listed::Removed)
        };
        let is_avoided = |node: &&Node| {
            node.listed == Listed::Draining
                || !node.is_healthy()
                || node.ejection.is_fully_ejected()
        };
        (listed().count(), listed().filter(is_avoided).count())
    }

    /// The number of chunk servers that the next tick visits.
    pub fn nodes_per_tick(&self) -> usize {
        self.active_nodes.len()
    }

    /// Whether no request is waiting and no attempt is in flight.
    pub fn is_at_rest(&self) -> bool {
        let in_flight = self.nodes.values().any(|node| !node.in_flight.is_empty());
        self.live.is_empty() && self.queues.values().all(Vec::is_empty) && !in_flight
    }

    /// The least window at a chunk server. A window below 1 is paced, which keeps the sum over many
    /// fronts within what a server can queue; few fronts with one request each stay within it
    /// without pacing.
    pub(crate) fn min_window(&self) -> f64 {
        (UNPACED_REQUESTS_PER_NODE / self.settings.fronts()).min(1.0)
    }
}
