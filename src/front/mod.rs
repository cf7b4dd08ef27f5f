//! Runs a front of the platform: assembles its components and serves clients until a signal.

pub mod assembly;
pub mod discovery_address;
pub mod error;
mod resource_limits;

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::config::reload::SettingsReload;
use crate::config::Config;
use crate::control::maintenance::{state_folder, wait_until_readable};
use crate::front::assembly::assemble;
use crate::front::error::FrontError;
use crate::frontend::platform::{PlatformFront, RequestTables, SharedIds};
use crate::frontend::socket::listen;
use crate::runtime::{hangup_signal, on_one_thread, shutdown_signal};
use crate::telemetry::log::log;

/// Runs a front on one thread, until SIGTERM or SIGINT.
///
/// # Errors
/// The configuration is invalid, or the system lacks a resource that the front needs.
pub fn run(config: Config) -> Result<(), FrontError> {
    on_one_thread(serve(config))
}

/// Serves clients until a signal ends the front.
async fn serve(config: Config) -> Result<(), FrontError> {
    // Signal handlers are installed first, so that no signal arrives unhandled.
    let shutdown = shutdown_signal()?;
    let hangup = hangup_signal()?;
    // Checked before the listener opens, so that no client connects to a front that cannot run.
    config.settings.check()?;
    wait_until_readable(state_folder().as_deref(), &config.name).await;
    let listener = listen(config.listen).await?;
    let (discovery, discovery_address) = watch::channel(config.discovery);
    let parts = assemble(&config, discovery_address)?;
    let tables = Rc::new(RefCell::new(RequestTables::new(&config, &parts.metrics)));
    let reload = SettingsReload {
        exchange: Rc::clone(&parts.exchange),
        tables: Rc::clone(&tables),
        metrics: Rc::clone(&parts.metrics),
        discovery,
        current: config.raw_settings,
        peers: parts.peers.clone(),
    };
    spawn_local(reload.reload_on_hangup(hangup, Config::reread_from_env));
    let handler = PlatformFront::new(
        Rc::clone(&parts.exchange),
        tables,
        parts.readiness.clone(),
        open_shared_ids(&config.name),
    );
    parts.serve(handler, listener, shutdown).await;
    Ok(())
}

/// Opens the transaction ids that the processes of the front `name` share. Without them, a request
/// whose id comes again at another process may run twice.
fn open_shared_ids(name: &str) -> Option<SharedIds> {
    let folder = state_folder()?;
    SharedIds::open(&folder, name)
        .inspect_err(|error| {
            let folder = folder.display();
            log!("front: transaction ids are not shared with other processes in {folder}: {error}");
        })
        .ok()
}
