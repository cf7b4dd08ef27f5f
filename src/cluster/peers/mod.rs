//! This front among its peers.
//!
//! [`Peers`] drives the state machines of the fleet with the messages and the time: the leases on
//! fleet-wide limits with membership ([`LimitCoordinator`]), gossip ([`GossipStore`]) and outlier
//! ejection ([`Ejections`]). Their effects are sent as messages or become updates for the decision
//! module. Leases are checked before each decision of the module, so that a front that was stopped
//! for a while uses nothing of a lease that has expired meanwhile.
//!
//! It only runs where the configuration file has `peers`.

mod effects;
mod fleet_state;
mod reload;
mod status;
mod tasks;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::task::spawn_local;
use tulipbridge_fleet_limits::{Event, LimitCoordinator};
use tulipbridge_membership::{EntryKey, GossipStore, Incarnation, PeerStatus};

use crate::cluster::clock;
use crate::cluster::config::ClusterConfig;
use crate::cluster::ejections::{EjectionMetrics, Ejections};
use crate::cluster::errors::JoinError;
use crate::cluster::limits::FleetLimits;
use crate::cluster::metrics::ClusterMetrics;
use crate::cluster::socket::PeerSocket;
use crate::exchange::{Exchange, FleetState};
use crate::telemetry::metrics::Metrics;
use crate::upstream::Upstream;

/// The gossip entry with a front's program version.
const VERSION_KEY: EntryKey = EntryKey { kind: 0, id: 0 };

/// This front among its peers.
pub struct Peers {
    config: RefCell<ClusterConfig>,
    socket: PeerSocket,
    coordinator: RefCell<LimitCoordinator>,
    limits: RefCell<FleetLimits>,
    gossip: RefCell<GossipStore>,
    /// `None` where ejections are not shared.
    ejections: RefCell<Option<Ejections>>,
    /// Notified when ejections are to be evaluated soon.
    evaluation_due: Notify,
    exchange: Rc<Exchange<Upstream>>,
    /// Names of the classes of work, in the order of the settings.
    class_names: Vec<String>,
    metrics: ClusterMetrics,
    /// The last logged status of each front, to log each change once.
    logged_status: RefCell<Vec<PeerStatus>>,
    was_standby: Cell<bool>,
}

impl Peers {
    /// Joins the peers: from now on the decision module gets its share of fleet-wide limits.
    ///
    /// # Errors
    /// The socket cannot be bound, the key cannot be read, or the configuration contradicts itself.
    pub fn join(
        config: ClusterConfig,
        class_names: Vec<String>,
        exchange: &Rc<Exchange<Upstream>>,
        registry: &Metrics,
    ) -> Result<Rc<Peers>, JoinError> {
        let socket = PeerSocket::open(config.listen, &config.key_file)?;
        // The seed of the file would not do: after a restart the front must have another
        // incarnation.
        let incarnation = Incarnation(fastrand::Rng::new().u64(1..u64::MAX));
        let coordinator =
            LimitCoordinator::new(config.limits_config.clone(), incarnation, clock::now())
                .map_err(JoinError::Limits)?;
        let metrics = ClusterMetrics::register(registry);
        let ejections = create_ejections(&config, registry)?;
        let peers = Rc::new(Peers {
            gossip: RefCell::new(create_gossip(&config, incarnation)),
            logged_status: RefCell::new(vec![PeerStatus::Unknown; config.roster.members().len()]),
            config: RefCell::new(config),
            socket,
            coordinator: RefCell::new(coordinator),
            limits: RefCell::default(),
            ejections: RefCell::new(ejections),
            evaluation_due: Notify::new(),
            exchange: Rc::clone(exchange),
            class_names,
            metrics,
            was_standby: Cell::new(false),
        });
        exchange.set_fleet_state(Rc::clone(&peers) as Rc<dyn FleetState>);
        peers.apply_fleet_limits();
        peers.publish(VERSION_KEY, Some(env!("CARGO_PKG_VERSION").into()));
        peers.spawn_tasks();
        Ok(peers)
    }

    fn spawn_tasks(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).receive_loop());
        spawn_local(Rc::clone(self).heartbeat_loop());
        if self.ejections.borrow().is_some() {
            spawn_local(Rc::clone(self).evaluation_loop());
        }
    }

    /// Announces to the peers that this front shuts down, so that they need not wait for its leases
    /// to expire.
    pub fn shut_down(&self) {
        self.update_limits(Event::Shutdown, None);
        self.update_limits(Event::HeartbeatDue, None);
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

fn create_gossip(config: &ClusterConfig, incarnation: Incarnation) -> GossipStore {
    let (me, fronts) = (config.limits_config.me, config.limits_config.fronts);
    GossipStore::new(
        me,
        fronts,
        incarnation,
        config.gossip_bytes_per_second,
        clock::now(),
    )
}
