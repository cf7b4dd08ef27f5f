//! Puts a front together and runs it until it is told to stop.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};

use crate::config::Config;
use crate::discovery::Discovery;
use crate::exchange::Exchange;
use crate::server::{listen, Names, Server};
use crate::settings::Res;
use crate::upstream::Upstream;

/// Runs one front, on one thread, until SIGTERM or SIGINT.
///
/// # Errors
/// A plain sentence on a configuration that cannot hold.
pub fn run(config: Config) -> Res<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    LocalSet::new().block_on(&runtime, front(config))
}

async fn front(config: Config) -> Res<()> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    // Of the descriptors, the sides share all but a reserve for discovery, the listener and the runtime.
    let side = config.sockets.saturating_sub(64).max(32) / 2;
    let upstream = Upstream::new(config.dial_timeout, config.idle_close, side);
    let exchange = Exchange::new(config.settings, config.seed, upstream).map_err(|e| e.to_string())?;
    let mut discovery = Discovery {
        address: config.discovery,
        dial_timeout: config.dial_timeout,
        zones: config.zones,
        generation: 0,
    };
    let listener = listen(config.listen).await?;
    discovery.restore(&config.known, &exchange).map_err(|why| format!("'known': {why}"))?;
    spawn_local(discovery.follow(Rc::clone(&exchange)));
    let swept = Rc::clone(&exchange);
    spawn_local(async move {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            swept.transport().sweep();
        }
    });
    let names = Names { classes: config.classes, plans: config.plans };
    let server = Server::new(exchange, names, side);
    let stop = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    server.serve(listener, stop).await;
    Ok(())
}
