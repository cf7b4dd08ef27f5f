//! Runs the state machines that this front shares with its peers.
//!
//! [`Peers`] passes received messages and the time to the state machines: the leases on fleet-wide
//! limits with membership, gossip, and outlier ejection. Their effects are sent as messages or
//! become updates for the decision module. Leases are checked before each decision of the module,
//! so that a front that was stopped for a while uses nothing of a lease that has expired meanwhile.
//!
//! All mutable state is in one `PeersState`, which does not depend on the exchange and never waits:
//! it returns the updates for the decision module, and [`Peers`] passes them on once it has
//! released the state. The decision module may then call back through [`FleetState`].
//!
//! It is only used where the configuration file has the section `peers`.

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

use self::state::{Moment, PeersState, SharedHandles};
use crate::cluster::clock;
use crate::cluster::config::ClusterConfig;
use crate::cluster::errors::{EjectionStatusError, JoinError, ReloadError};
use crate::cluster::metrics::ClusterMetrics;
use crate::cluster::socket::PeerSocket;
use crate::exchange::{Exchange, FleetState};
use crate::telemetry::metrics::Metrics;
use crate::upstream::Upstream;

/// Connects the fleet's state machines to the socket, the clock and the exchange.
pub struct Peers {
    /// Borrowed for one call at a time: never across an `await`, and never while the exchange
    /// processes an update.
    state: RefCell<PeersState>,
    socket: Rc<PeerSocket>,
    /// Notified when ejections should be evaluated soon.
    evaluation_due: Rc<Notify>,
    metrics: ClusterMetrics,
    exchange: Rc<Exchange<Upstream>>,
}

impl Peers {
    /// Joins the peers: from now on the decision module is limited to this front's shares of the
    /// fleet-wide limits.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be bound, the key cannot be read, or values of the
    /// configuration contradict each other.
    pub fn join(
        config: ClusterConfig,
        class_names: Vec<String>,
        exchange: &Rc<Exchange<Upstream>>,
        registry: &Metrics,
    ) -> Result<Rc<Peers>, JoinError> {
        let socket = Rc::new(PeerSocket::open(config.listen, &config.key_file)?);
        // Not derived from the seed in the file: the front must have another incarnation after a
        // restart.
        let incarnation = Incarnation(fastrand::Rng::new().u64(1..u64::MAX));
        let handles = SharedHandles {
            socket: Rc::clone(&socket),
            evaluation_due: Rc::new(Notify::new()),
            metrics: ClusterMetrics::register(registry),
        };
        let evaluation_due = Rc::clone(&handles.evaluation_due);
        let metrics = handles.metrics.clone();
        let state = PeersState::new(
            clock::now(),
            config,
            class_names,
            incarnation,
            handles,
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

    /// Announces to the peers that this front shuts down, so that they need not wait until its
    /// leases expire.
    pub fn shut_down(&self) {
        self.update_limits(Event::Shutdown, None);
        self.update_limits(Event::HeartbeatDue, None);
    }

    /// Checks whether a new configuration can be applied without a restart.
    ///
    /// # Errors
    /// Returns an error if a change needs a restart or if the configuration is invalid.
    pub fn check(&self, new: Option<&ClusterConfig>) -> Result<(), ReloadError> {
        self.state.borrow().check(new)
    }

    /// Applies a new configuration that [`Peers::check`] has accepted.
    pub fn reload(&self, new: ClusterConfig) {
        let limits_config = new.limits_config.clone();
        self.state.borrow_mut().set_config(new);
        self.apply_configured_limits();
        self.state
            .borrow_mut()
            .reconfigure_gossip_and_ejections(clock::now());
        self.update_limits(Event::Reconfigure(limits_config), None);
        self.evaluate_ejections();
    }

    /// Returns the status of this front and of its peers as JSON.
    pub fn status(&self) -> Value {
        self.state.borrow().status(clock::now())
    }

    /// Returns the status of all ejections, or of those of one chunk server, as JSON.
    ///
    /// # Errors
    /// Returns an error if ejections are not shared or if there is no such server.
    pub fn ejection_status(&self, server_name: Option<&str>) -> Result<Value, EjectionStatusError> {
        let state = self.state.borrow();
        state.ejection_status(clock::now(), server_name)
    }

    /// Returns the present time by both clocks.
    fn moment(&self) -> Moment {
        Moment {
            now: clock::now(),
            module_now: self.exchange.now(),
        }
    }

    /// Passes an event to the limit coordinator. `source` is the sender's address if the event is a
    /// received message.
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

    /// Evaluates the observations of all fronts. Returns whether this front has new gossip entries
    /// to send.
    fn evaluate_ejections(&self) -> bool {
        let moment = self.moment();
        let evaluation = self.state.borrow_mut().evaluate_ejections(moment);
        self.apply_updates(evaluation.updates);
        evaluation.has_new_entries
    }

    /// Passes this front's shares of the configured limits to the decision module; a limit without
    /// a share allows nothing.
    fn apply_configured_limits(&self) {
        let moment = self.moment();
        let updates = self
            .exchange
            .with_settings(|settings| self.state.borrow_mut().configure_limits(moment, settings));
        self.apply_updates(updates);
    }

    /// Passes updates to the decision module. It may call back, so the state must not be borrowed.
    fn apply_updates(&self, updates: Vec<FleetUpdate>) {
        for update in updates {
            self.exchange.apply_fleet_update(update);
        }
    }
}
