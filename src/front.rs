//! Puts a front together and runs it until it is told to stop.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tulipbridge_core::{Nanos, Settings};

use crate::cluster::peers::Peers;
use crate::config::reload::SettingsReload;
use crate::config::settings::Res;
use crate::config::Config;
use crate::control::console::{self, Console};
use crate::control::discovery::Discovery;
use crate::control::maintenance::Maintenance;
use crate::exchange::Exchange;
use crate::frontend::listener::{listen, BodyBudget, Listener, ListenerState};
use crate::frontend::platform::{PlatformFront, RequestTables};
use crate::telemetry::log::log;
use crate::telemetry::metrics::Metrics;
use crate::upstream::{Upstream, MAX_BODY};

/// Descriptors that are not connections with clients or chunk servers: the runtime's, the log's, the listeners',
/// discovery's, a file's, and the console's connections, of which there are at most `console::MOST`.
const RESERVED_DESCRIPTORS: usize = 24;
const _: () = assert!(console::MAX_CONNECTIONS <= RESERVED_DESCRIPTORS / 2);
/// Request bodies may take this part of memory: one in so many bytes.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Runs one front, on one thread, until SIGTERM or SIGINT.
///
/// # Errors
/// A plain sentence on a configuration that cannot hold.
pub fn run(config: Config) -> Res<()> {
    on_one_thread(front(config))
}

/// Runs a program's tasks on one thread.
///
/// # Errors
/// Its own, or where the system gives no runtime.
pub fn on_one_thread(program: impl Future<Output = Res<()>>) -> Res<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    LocalSet::new().block_on(&runtime, program)
}

async fn front(config: Config) -> Res<()> {
    // First of all, so that no signal finds the front without them.
    let shutdown = shutdown_signal()?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    // Nobody is to meet a front that cannot run.
    config.settings.check().map_err(|e| e.to_string())?;
    let listener = listen(config.listen).await?;
    let (moved, address) = watch::channel(config.discovery);
    let parts = assemble(&config, address)?;
    let names = Rc::new(RefCell::new(RequestTables::new(&config, &parts.metrics)));
    let retune = SettingsReload {
        exchange: Rc::clone(&parts.exchange),
        tables: Rc::clone(&names),
        metrics: Rc::clone(&parts.metrics),
        discovery: moved,
        current: config.raw_settings,
        peers: parts.peers.clone(),
    };
    spawn_local(retune.follow(hangup, Config::reread_from_env));
    let server = PlatformFront::new(Rc::clone(&parts.exchange), names);
    Listener::new(server, parts.max_clients, parts.listener_state).serve(listener, shutdown).await;
    parts.peers.iter().for_each(|peers| peers.shut_down());
    Ok(())
}

/// The parts behind a front.
pub struct FrontParts {
    /// Where requests meet their attempts.
    pub exchange: Rc<Exchange<Upstream>>,
    /// Chunk servers out by hand.
    pub maintenance: Rc<Maintenance>,
    /// What operators scrape.
    pub metrics: Rc<Metrics>,
    /// What the listener tells of itself.
    pub listener_state: ListenerState,
    /// The front's peers, where it has any.
    pub peers: Option<Rc<Peers>>,
    /// How many connections the client side may hold.
    pub max_clients: usize,
}

/// How long a front that starts may wait before it calls discovery. Where lists are pushed, what the agent has counts as
/// told from the first moment; where they are asked for, a list counts as told only after a time without a call,
/// and the module's own first call comes before half of that, spread over the fleet.
fn first_call(settings: &Settings) -> Nanos {
    if settings.polls_discovery {
        settings.poll_interval / 2
    } else {
        0
    }
}

/// The parts behind a front: the exchange, its upstream, discovery at the address told, the servers held out by
/// hand and the console, where the configuration names one.
///
/// # Errors
/// A plain sentence on a configuration that cannot hold.
pub fn assemble(config: &Config, address: watch::Receiver<Option<SocketAddr>>) -> Res<FrontParts> {
    // Of the descriptors, a few are the runtime's, the log's, the listener's, the console's and discovery's; the
    // chunk servers' side pools its connections and needs the smaller part. Memory bounds both, at a body each way.
    let both =
        config.sockets.saturating_sub(RESERVED_DESCRIPTORS).min(config.memory / (2 * MAX_BODY)).max(32);
    let servers = both * 2 / 5;
    let upstream = Upstream::new(config.dial_timeout, config.idle_close, servers);
    let exchange =
        Exchange::new(config.settings.clone(), config.seed, upstream).map_err(|e| e.to_string())?;
    let figures = Rc::new(Metrics::new());
    // Before the first list, of which it must know.
    let peers = config
        .peers
        .clone()
        .map(|told| Peers::join(told, config.classes.clone(), &exchange, &figures))
        .transpose()
        .map_err(|e| e.to_string())?;
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    let maintenance = Maintenance::new(folder, &config.name, Rc::clone(&exchange));
    let mut discovery = Discovery {
        first_call: first_call(&config.settings),
        phase: fastrand::Rng::with_seed(config.seed).f64(),
        zones: config.zones.clone(),
        generation: 0,
        list_source: None,
        maintenance: Rc::clone(&maintenance),
    };
    discovery.restore(&config.known, &exchange).map_err(|why| format!("'known': {why}"))?;
    spawn_local(discovery.follow(address, Rc::clone(&exchange)));
    spawn_local(Rc::clone(&maintenance).follow());
    let swept = Rc::clone(&exchange);
    spawn_local(async move {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            swept.transport().sweep();
        }
    });
    // Bodies of requests are held whole until they are answered, in a part of memory.
    let standing = ListenerState {
        body_budget: Some(BodyBudget::new(config.memory / BODY_MEMORY_DIVISOR)),
        ..ListenerState::default()
    };
    if let Some(at) = config.console {
        let listener = console::listen(at)?;
        let (taking, current) = (Rc::clone(&standing.accepting), Rc::clone(&standing.active_requests));
        let parts = (Rc::clone(&figures), Rc::clone(&exchange), Rc::clone(&maintenance));
        spawn_local(Console::new(taking, current, parts.0, parts.1, parts.2, peers.clone()).serve(listener));
    }
    Ok(FrontParts {
        exchange,
        maintenance,
        metrics: figures,
        listener_state: standing,
        peers,
        max_clients: both - servers,
    })
}

/// Where discovery is: as told at the start, and after each SIGHUP as `read` finds it in the new file. A file
/// that cannot be used changes nothing and is said in the log: serving on as before beats not serving.
///
/// # Errors
/// Where the system gives no signals.
pub fn watch_discovery_address(
    told: Option<SocketAddr>,
    read: impl Fn() -> Res<Option<SocketAddr>> + 'static,
) -> Res<watch::Receiver<Option<SocketAddr>>> {
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let (sender, receiver) = watch::channel(told);
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            match read() {
                Ok(Some(address)) => {
                    sender.send_if_modified(|held| held.replace(address) != Some(address));
                }
                Ok(None) => log!("the new configuration names no discovery; the old one stays"),
                Err(why) => log!("the new configuration cannot be used, the old one stays: {why}"),
            }
        }
    });
    Ok(receiver)
}

/// Comes true at SIGTERM or SIGINT.
///
/// # Errors
/// Where the system gives no signals.
pub fn shutdown_signal() -> Res<impl Future<Output = ()>> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}
