//! This front among its peers.
//!
//! [`Peers`] drives the state machines of the fleet with the messages and the time: the leases on
//! fleet-wide limits with membership, gossip and outlier ejection. Their effects are sent as
//! messages or become updates for the decision module. Leases are checked before each decision of
//! the module, so that a front that was stopped for a while uses nothing of a lease that has expired
//! meanwhile.
//!
//! All that changes is in one `PeersState`, which knows nothing of the exchange and never waits:
//! it returns the updates for the decision module, and [`Peers`] passes them on once it has released
//! the state. The decision module may call back then ([`FleetState`]).
//!
//! It only runs where the configuration file has `peers`.

mod fleet_state;
mod reload;
mod state;
mod status;
mod tasks;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use simd_json::OwnedValue as Value;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tulipbridge_core::FleetUpdate;
use tulipbridge_fleet_limits::Event;
use tulipbridge_membership::{GossipInput, Incarnation};

use self::state::{Moment, PeersState, SharedParts};
use crate::cluster::clock;
use crate::cluster::config::ClusterConfig;
use crate::cluster::errors::{EjectionStatusError, JoinError, ReloadError};
use crate::cluster::metrics::ClusterMetrics;
use crate::cluster::socket::PeerSocket;
use crate::exchange::{Exchange, FleetState};
use crate::telemetry::metrics::Metrics;
use crate::upstream::Upstream;

/// This front among its peers.
pub struct Peers {
    /// Borrowed for one call at a time: neither across an `await` nor while the exchange processes
    /// an update.
    state: RefCell<PeersState>,
    socket: Rc<PeerSocket>,
    /// Notified when ejections are to be evaluated soon.
    evaluation_due: Rc<Notify>,
    metrics: ClusterMetrics,
    exchange: Rc<Exchange<Upstream>>,
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
        let socket = Rc::new(PeerSocket::open(config.listen, &config.key_file)?);
        // The seed of the file would not do: after a restart the front must have another
        // incarnation.
        let incarnation = Incarnation(fastrand::Rng::new().u64(1..u64::MAX));
        let parts = SharedParts {
            socket: Rc::clone(&socket),
            evaluation_due: Rc::new(Notify::new()),
            metrics: ClusterMetrics::register(registry),
        };
        let evaluation_due = Rc::clone(&parts.evaluation_due);
        let metrics = parts.metrics.clone();
        let state = PeersState::new(
            clock::now(),
            config,
            class_names,
            incarnation,
            parts,
            registry,
        )?;
        let shares_ejections = state.shares_ejections();
        let peers = Rc::new(Peers {
            state: RefCell::new(state),
            socket,
            evaluation_due,
            metrics,
            exchange: Rc::clone(exchange),
        });
        exchange.set_fleet_state(Rc::clone(&peers) as Rc<dyn FleetState>);
        peers.apply_configured_limits();
        peers.state.borrow_mut().publish_version(clock::now());
        peers.spawn_tasks(shares_ejections);
        Ok(peers)
    }

    fn spawn_tasks(self: &Rc<Self>, shares_ejections: bool) {
        spawn_local(Rc::clone(self).receive_loop());
        spawn_local(Rc::clone(self).heartbeat_loop());
        if shares_ejections {
            spawn_local(Rc::clone(self).evaluation_loop());
        }
    }

    /// Announces to the peers that this front shuts down, so that they need not wait for its leases
    /// to expire.
    pub fn shut_down(&self) {
        self.update_limits(Event::Shutdown, None);
        self.update_limits(Event::HeartbeatDue, None);
    }

    /// Checks whether a new configuration can be applied without a restart.
    ///
    /// # Errors
    /// A change that needs a restart, or an invalid configuration.
    pub fn check(&self, new: Option<&ClusterConfig>) -> Result<(), ReloadError> {
        self.state.borrow().check(new)
    }

    /// Applies a new configuration that [`Peers::check`] has accepted.
    pub fn reload(&self, new: ClusterConfig) {
        let limits_config = new.limits_config.clone();
        self.state.borrow_mut().set_config(new);
        self.apply_configured_limits();
        self.state.borrow_mut().reconfigure_parts(clock::now());
        self.update_limits(Event::Reconfigure(limits_config), None);
        self.evaluate_ejections();
    }

    /// The status of this front and of its peers as JSON.
    pub fn status(&self) -> Value {
        self.state.borrow().status(clock::now())
    }

    /// The status of all ejections, or of those of one chunk server, as JSON.
    ///
    /// # Errors
    /// Ejections are not shared, or there is no such server.
    pub fn ejection_status(&self, server_name: Option<&str>) -> Result<Value, EjectionStatusError> {
        let state = self.state.borrow();
        state.ejection_status(clock::now(), server_name)
    }

    /// The present time by both clocks.
    fn moment(&self) -> Moment {
        Moment {
            now: clock::now(),
            module_now: self.exchange.now(),
        }
    }

    /// Feeds an event to the coordinator of the limits. `source` is where the message of the event
    /// came from.
    fn update_limits(&self, event: Event, source: Option<SocketAddr>) {
        let moment = self.moment();
        let updates = self.exchange.with_settings(|settings| {
            let mut state = self.state.borrow_mut();
            state.update_limits(moment, event, source, settings)
        });
        self.apply_updates(updates);
    }

    fn update_gossip(&self, input: GossipInput) {
        self.state.borrow_mut().update_gossip(clock::now(), input);
    }

    /// Evaluates the observations of all fronts. Returns whether there are new gossip entries of
    /// this front.
    fn evaluate_ejections(&self) -> bool {
        let moment = self.moment();
        let evaluation = self.state.borrow_mut().evaluate_ejections(moment);
        self.apply_updates(evaluation.updates);
        evaluation.has_new_entries
    }

    /// Passes the decision module its share of the configured limits: nothing, where this front has
    /// no share.
    fn apply_configured_limits(&self) {
        let moment = self.moment();
        let updates = self
            .exchange
            .with_settings(|settings| self.state.borrow_mut().configure_limits(moment, settings));
        self.apply_updates(updates);
    }

    /// Has the decision module process updates, which may call back: the state must not be borrowed.
    fn apply_updates(&self, updates: Vec<FleetUpdate>) {
        for update in updates {
            self.exchange.apply_fleet_update(update);
        }
    }
}
