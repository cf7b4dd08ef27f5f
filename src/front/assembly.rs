//! Assembles the components of a front and starts their background tasks.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tulipbridge_core::discovery_watch::FIRST_CALL_SPREAD;
use tulipbridge_core::invariant_monitor::Violation;
use tulipbridge_core::{Nanos, Settings};

use crate::body_budget::BodyBudget;
use crate::cluster::peers::Peers;
use crate::config::Config;
use crate::control::console::{self, Console, ConsoleParts};
use crate::control::discovery::{Discovery, FirstCall};
use crate::control::endpoint_list::EndpointListReader;
use crate::control::maintenance::{state_folder, Maintenance};
use crate::control::readiness::Readiness;
use crate::exchange::Exchange;
use crate::front::error::FrontError;
use crate::front::resource_limits::{BufferMemory, ConnectionLimits};
use crate::frontend::listener::{Handler, Listener, ListenerLimits};
use crate::frontend::listener_status::ListenerStatus;
use crate::telemetry::metrics::Metrics;
use crate::upstream::{ResponseMemory, Upstream};

/// The interval at which idle connections to chunk servers are closed.
const IDLE_CLOSE_INTERVAL: Duration = Duration::from_secs(1);

/// How long after a shutdown signal the front keeps trying to write maintenance changes. The
/// process is not killed within three seconds of the signal, however short the deadlines.
const CHANGE_WRITE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The components of a front, shared by its listener, console and background tasks.
pub struct FrontParts {
    /// Schedules requests and sends their attempts.
    pub exchange: Rc<Exchange<Upstream>>,
    /// The chunk servers in maintenance.
    pub maintenance: Rc<Maintenance>,
    /// The metrics that the console serves.
    pub metrics: Rc<Metrics>,
    /// The state that the listener shares with the console.
    pub listener_status: ListenerStatus,
    /// The front's peers, where it has any.
    pub peers: Option<Rc<Peers>>,
    /// Whether the front is ready for clients.
    pub readiness: Readiness,
    /// The limits on connections with clients, and on the memory for request bodies.
    pub listener_limits: ListenerLimits,
}

impl FrontParts {
    /// Serves clients until `shutdown` completes. Then returns once every accepted request is
    /// answered, and the operators' maintenance changes are written or `CHANGE_WRITE_TIMEOUT` has
    /// passed.
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
        Listener::new(
            handler,
            self.listener_limits.clone(),
            self.listener_status.clone(),
        )
        .serve(listener, shutdown)
        .await;
        if let Some(peers) = &self.peers {
            peers.shut_down();
        }
        self.maintenance
            .wait_until_written(shutdown_at.get() + CHANGE_WRITE_TIMEOUT)
            .await;
    }
}

/// Assembles the components of a front and starts their background tasks. Discovery is called at
/// the address that `discovery_address` publishes.
///
/// # Errors
/// The configuration is invalid, or a socket cannot be opened.
pub fn assemble(
    config: &Config,
    discovery_address: watch::Receiver<Option<SocketAddr>>,
) -> Result<FrontParts, FrontError> {
    let limits = ConnectionLimits::new(config);
    let buffers = BufferMemory::new(config.memory_bytes, &limits);
    let metrics = Rc::new(Metrics::new());
    let upstream = connect_upstream(config, &limits, &buffers, &metrics);
    let counters = Rc::clone(&metrics);
    let count_violation = Box::new(move |violation: Violation| {
        counters.count_violation(violation.rule);
    });
    let settings = config.settings.clone();
    let exchange = Exchange::new(settings, config.seed, upstream, count_violation)?;
    // Joined before the first endpoint list is applied, since the peers follow every list.
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
    spawn_local(close_idle_connections(Rc::clone(&exchange)));
    let body_budget = BodyBudget::with_memory(buffers.request_bodies);
    body_budget.metrics().register(&metrics);
    let parts = FrontParts {
        exchange,
        maintenance,
        metrics,
        listener_status: ListenerStatus::default(),
        peers,
        readiness,
        listener_limits: ListenerLimits::new(limits.clients).with_body_budget(body_budget),
    };
    if let Some(address) = config.console {
        start_console(address, &parts)?;
    }
    Ok(parts)
}

/// Creates the transport to the chunk servers, with the metrics of its memory.
fn connect_upstream(
    config: &Config,
    limits: &ConnectionLimits,
    buffers: &BufferMemory,
    metrics: &Metrics,
) -> Upstream {
    let memory = ResponseMemory::new(Arc::clone(&buffers.all));
    metrics.register(memory.metrics().clone());
    Upstream::new(
        config.dial_timeout,
        config.idle_close,
        limits.servers,
        memory,
    )
}

/// Joins the front's peers; returns `None` where the configuration names none.
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

/// Restores the last known endpoint list, and starts the task that follows discovery.
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

/// Returns the maximum delay before a starting front calls discovery. Where lists are pushed, there
/// is none: a front is expected to have the current list from the start. Where lists are polled,
/// all fronts of a fleet share one discovery, so those that start together spread their first
/// calls. The delay is limited because the list that a front starts with may be outdated.
fn max_first_call_delay(settings: &Settings) -> Nanos {
    if settings.polls_discovery {
        FIRST_CALL_SPREAD.min(settings.poll_interval / 2)
    } else {
        0
    }
}

/// Closes idle connections to chunk servers every [`IDLE_CLOSE_INTERVAL`], for as long as the
/// program runs.
async fn close_idle_connections(exchange: Rc<Exchange<Upstream>>) {
    loop {
        tokio::time::sleep(IDLE_CLOSE_INTERVAL).await;
        exchange.transport().close_idle_connections();
    }
}

/// Opens the console's listener and serves the console in a background task.
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
