//! Puts a front together and runs it until it is told to stop.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

use crate::config::Config;
use crate::discovery::Discovery;
use crate::exchange::Exchange;
use crate::listener::{listen, Listener};
use crate::log::log;
use crate::server::{Names, Server};
use crate::settings::Res;
use crate::upstream::{Upstream, MOST_BODY};

/// Descriptors that are not connections with clients or chunk servers.
const RESERVED: usize = 24;

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
    let stop = stop()?;
    let moved = reload(config.discovery, Config::moved_discovery)?;
    let listener = listen(config.listen).await?;
    let (exchange, side) = assemble(&config, moved)?;
    let names = Names {
        classes: config.classes,
        writes: config.settings.classes.iter().map(|c| c.writes).collect(),
        plans: config.plans,
        shards: config.shards,
        fronts: config.settings.initiators,
        most_units: config.settings.most_units,
    };
    Listener::new(Server::new(exchange, names), side).serve(listener, stop).await;
    Ok(())
}

/// The parts behind a front: the exchange, its upstream and discovery, which is at the address told. Gives also
/// how many connections the client side may hold.
///
/// # Errors
/// A plain sentence on a configuration that cannot hold.
pub fn assemble(
    config: &Config,
    address: watch::Receiver<Option<SocketAddr>>,
) -> Res<(Rc<Exchange<Upstream>>, usize)> {
    // Of the descriptors, a few are the runtime's, the log's, the listener's and discovery's; the chunk servers'
    // side pools its connections and needs the smaller part. Memory bounds both, at a body each way.
    let both = config.sockets.saturating_sub(RESERVED).min(config.memory / (2 * MOST_BODY)).max(32);
    let servers = both * 2 / 5;
    let upstream = Upstream::new(config.dial_timeout, config.idle_close, servers);
    let exchange =
        Exchange::new(config.settings.clone(), config.seed, upstream).map_err(|e| e.to_string())?;
    let dial_timeout = config.dial_timeout;
    let mut discovery = Discovery { dial_timeout, zones: config.zones.clone(), generation: 0 };
    discovery.restore(&config.known, &exchange).map_err(|why| format!("'known': {why}"))?;
    spawn_local(discovery.follow(address, Rc::clone(&exchange)));
    let swept = Rc::clone(&exchange);
    spawn_local(async move {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            swept.transport().sweep();
        }
    });
    Ok((exchange, both - servers))
}

/// Where discovery is: as told at the start, and after each SIGHUP as `read` finds it in the new file. A file
/// that cannot be used changes nothing and is said in the log: serving on as before beats not serving.
///
/// # Errors
/// Where the system gives no signals.
pub fn reload(
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
pub fn stop() -> Res<impl Future<Output = ()>> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}
