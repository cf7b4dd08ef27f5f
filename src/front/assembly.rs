//! Assembles the parts behind a front and starts their background tasks.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tulipbridge_core::discovery_watch::FIRST_CALL_SPREAD;
use tulipbridge_core::invariant_monitor::Violation;
use tulipbridge_core::{Nanos, Settings};

use crate::cluster::peers::Peers;
use crate::config::Config;
use crate::control::console::{self, Console, ConsoleParts};
use crate::control::discovery::{Discovery, FirstCall};
use crate::control::endpoint_list::EndpointListReader;
use crate::control::maintenance::{state_folder, Maintenance};
use crate::control::readiness::Readiness;
use crate::exchange::Exchange;
use crate::front::error::FrontError;
use crate::frontend::listener::{Handler, Listener, ListenerLimits};
use crate::frontend::listener_status::ListenerStatus;
use crate::limits::MAX_BUFFERED_BODY_BYTES;
use crate::telemetry::metrics::Metrics;
use crate::upstream::Upstream;

/// File descriptors that are not connections with clients or chunk servers: those of the runtime,
/// the log, the listeners, discovery, one file, and the console's connections, of which there are
/// at most [`console::MAX_CONNECTIONS`].
const RESERVED_DESCRIPTORS: usize = 24;
const _: () = assert!(console::MAX_CONNECTIONS <= RESERVED_DESCRIPTORS / 2);
/// The smallest number of connections, whatever the limits of the process.
const MIN_CONNECTIONS: usize = 32;
/// Request bodies may take the memory of the process divided by this.
const BODY_MEMORY_DIVISOR: usize = 4;
/// How often expired connections to chunk servers are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How long after a signal to shut down changes that could not be written are tried. The process is
/// not killed before three seconds are over, however short the deadlines.
const WRITE_CHANGES_WITHIN: Duration = Duration::from_millis(3_000);

/// The parts behind a front.
pub struct FrontParts {
    /// Schedules requests and sends their attempts.
    pub exchange: Rc<Exchange<Upstream>>,
    /// The chunk servers in maintenance.
    pub maintenance: Rc<Maintenance>,
    /// The front's metrics.
    pub metrics: Rc<Metrics>,
    /// The state that the listener shares with the console.
    pub listener_status: ListenerStatus,
    /// The front's peers, where it has any.
    pub peers: Option<Rc<Peers>>,
    /// Whether the front is ready for clients.
    pub readiness: Readiness,
    /// The connections with clients, and the memory for their bodies.
    pub listener_limits: ListenerLimits,
}

impl FrontParts {
    /// Serves clients until `shutdown` completes, then returns once all that is owed is done: every
    /// request answered, every change of the operators written.
    pub async fn serve<H: Handler>(
        &self,
        handler: H,
        listener: TcpListener,
        shutdown: impl Future<Output = ()>,
    ) {
        let shutdown_at = Cell::new(Instant::now());
        let shutdown = async {
            shutdown.await;
            shutdown_at.set(Instant::now());
        };
        Listener::new(handler, self.listener_limits, self.listener_status.clone())
            .serve(listener, shutdown)
            .await;
        if let Some(peers) = &self.peers {
            peers.shut_down();
        }
        self.maintenance
            .wait_until_written(shutdown_at.get() + WRITE_CHANGES_WITHIN)
            .await;
    }
}

/// Assembles the parts behind a front, with discovery at the address that `discovery_address`
/// publishes.
///
/// # Errors
/// The configuration is invalid, or a socket cannot be opened.
pub fn assemble(
    config: &Config,
    discovery_address: watch::Receiver<Option<SocketAddr>>,
) -> Result<FrontParts, FrontError> {
    let limits = ConnectionLimits::new(config);
    let upstream = Upstream::new(config.dial_timeout, config.idle_close, limits.servers);
    let metrics = Rc::new(Metrics::new());
    let counters = Rc::clone(&metrics);
    let count_violation = Box::new(move |violation: Violation| {
        counters.count_violation(violation.rule);
    });
    let settings = config.settings.clone();
    let exchange = Exchange::new(settings, config.seed, upstream, count_violation)?;
    // Before the first endpoint list, since the peers follow every list.
    let peers = join_peers(config, &exchange, &metrics)?;
    let maintenance = Maintenance::new(state_folder(), &config.name, Rc::clone(&exchange));
    let readiness = Readiness::new(config.settings.polls_discovery);
    start_discovery(
        config,
        discovery_address,
        &exchange,
        &maintenance,
        readiness.clone(),
    )?;
    spawn_local(Rc::clone(&maintenance).follow());
    spawn_local(sweep(Rc::clone(&exchange)));
    let parts = FrontParts {
        exchange,
        maintenance,
        metrics,
        listener_status: ListenerStatus::default(),
        peers,
        readiness,
        listener_limits: ListenerLimits::new(limits.clients)
            .with_body_budget(config.memory_bytes / BODY_MEMORY_DIVISOR),
    };
    if let Some(address) = config.console {
        start_console(address, &parts)?;
    }
    Ok(parts)
}

/// How many connections a front may hold on each side.
struct ConnectionLimits {
    clients: usize,
    servers: usize,
}

impl ConnectionLimits {
    /// Divides the descriptors of the process. Memory bounds them too, at one body in each
    /// direction. Connections to chunk servers are pooled, so that side gets the smaller part.
    fn new(config: &Config) -> ConnectionLimits {
        let by_descriptors = config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let by_memory = config.memory_bytes / (2 * MAX_BUFFERED_BODY_BYTES);
        let connections = by_descriptors.min(by_memory).max(MIN_CONNECTIONS);
        let servers = connections * 2 / 5;
        ConnectionLimits {
            clients: connections - servers,
            servers,
        }
    }
}

/// Joins the peers, where the configuration names any.
fn join_peers(
    config: &Config,
    exchange: &Rc<Exchange<Upstream>>,
    metrics: &Metrics,
) -> Result<Option<Rc<Peers>>, FrontError> {
    let Some(peers) = config.peers.clone() else {
        return Ok(None);
    };
    let joined = Peers::join(peers, config.classes.clone(), exchange, metrics);
    joined.map(Some).map_err(FrontError::from)
}

/// Restores the last known endpoint list and follows discovery from there.
fn start_discovery(
    config: &Config,
    address: watch::Receiver<Option<SocketAddr>>,
    exchange: &Rc<Exchange<Upstream>>,
    maintenance: &Rc<Maintenance>,
    readiness: Readiness,
) -> Result<(), FrontError> {
    let reader = EndpointListReader::new(config.zones.clone(), Rc::clone(maintenance));
    let mut discovery = Discovery::new(reader, readiness);
    discovery
        .restore(&config.known_endpoints, exchange)
        .map_err(|error| FrontError::KnownEndpoints(error.at("known")))?;
    let first_call = FirstCall {
        max_delay: max_first_call_delay(&config.settings),
        phase: fastrand::Rng::with_seed(config.seed).f64(),
    };
    spawn_local(discovery.follow(first_call, address, Rc::clone(exchange)));
    Ok(())
}

/// How long a starting front may wait before it calls discovery. Where lists are pushed, a front is
/// expected to know from the first moment what discovery has. Where lists are polled, all fronts of
/// a fleet share one discovery, and those that start together call one after another; but the list
/// that a front starts with may be old.
fn max_first_call_delay(settings: &Settings) -> Nanos {
    if settings.polls_discovery {
        FIRST_CALL_SPREAD.min(settings.poll_interval / 2)
    } else {
        0
    }
}

/// Closes expired connections to chunk servers, for as long as the program runs.
async fn sweep(exchange: Rc<Exchange<Upstream>>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        exchange.transport().close_idle_connections();
    }
}

/// Opens the console and serves it in the background.
fn start_console(address: SocketAddr, parts: &FrontParts) -> Result<(), FrontError> {
    let listener = console::listen(address)?;
    let console = Console::new(ConsoleParts {
        listener_status: parts.listener_status.clone(),
        metrics: Rc::clone(&parts.metrics),
        exchange: Rc::clone(&parts.exchange),
        maintenance: Rc::clone(&parts.maintenance),
        peers: parts.peers.clone(),
    });
    spawn_local(console.serve(listener));
    Ok(())
}
