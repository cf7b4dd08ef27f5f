//! The object API's front: objects with ranges and multipart uploads over HTTP, on the same
//! exchange and so under the same decisions as the platform's front. It speaks the same API to the
//! chunk servers.
//!
//! Fronts share no state about objects, so every id that a client sends back contains the shard: a
//! version id is `SHARD.VERSION` and an upload id `SHARD.TOKEN.UPLOAD`, with the chunk server's own
//! id at the end.

mod answer;
mod complete_upload;
mod config;
mod delete;
mod error;
mod front;
mod get;
mod locate;
mod object_read;
mod pending_completions;
mod piece;
mod put;
mod query;
pub mod range;
mod replies;
mod request;
mod server_client;
mod server_request;
mod upload_id;
mod uploads;
mod xml;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use crate::cluster::errors::ReloadError;
use crate::cluster::peers::Peers;
use crate::control::maintenance::{state_folder, wait_until_readable};
use crate::front::assembly::assemble;
use crate::front::discovery_address::watch_discovery_address;
use crate::front::error::FrontError;
use crate::frontend::socket::{listen, ListenError};
use crate::runtime::{on_one_thread, shutdown_signal, RuntimeError};

pub use config::{Bucket, BucketError, Config, ConfigError};
pub use front::ObjectFront;

/// Why an object front cannot start, or cannot change to a new configuration.
#[derive(Debug, thiserror::Error)]
pub enum ObjectFrontError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A part of the front cannot start.
    #[error(transparent)]
    Front(#[from] FrontError),
    /// The runtime cannot start, or a signal cannot be handled.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The address for clients cannot be used.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The section on peers changes what only a restart can change.
    #[error(transparent)]
    Peers(#[from] ReloadError),
}

/// The front's peers: none before they have joined, and where the configuration names none.
type SharedPeers = Rc<RefCell<Option<Rc<Peers>>>>;

/// Runs an object front on one thread, until SIGTERM or SIGINT.
///
/// # Errors
/// The configuration is invalid, or the system lacks a resource that the front needs.
pub fn run(file: &Path) -> Result<(), ObjectFrontError> {
    let config = Config::from_file(file)?;
    on_one_thread(serve(config, file.to_owned()))
}

/// Assembles the parts of a front and serves until the signal to shut down.
async fn serve(config: Config, file: PathBuf) -> Result<(), ObjectFrontError> {
    let shutdown = shutdown_signal()?;
    let peers = SharedPeers::default();
    let joined = Rc::clone(&peers);
    let discovery_address =
        watch_discovery_address(config.base.discovery, move || reload(&file, &joined))?;
    config.base.settings.check().map_err(FrontError::from)?;
    wait_until_readable(state_folder().as_deref(), &config.base.name).await;
    let listener = listen(config.base.listen).await?;
    let parts = assemble(&config.base, discovery_address)?;
    peers.borrow_mut().clone_from(&parts.peers);
    let front = ObjectFront::new(Rc::clone(&parts.exchange), config, parts.readiness.clone());
    parts.serve(front, listener, shutdown).await;
    Ok(())
}

/// Reads the configuration again. The peers take over their section of it, and the caller the
/// address of discovery.
fn reload(file: &Path, peers: &SharedPeers) -> Result<Option<SocketAddr>, ObjectFrontError> {
    let base = Config::from_file(file)?.base;
    if let Some(peers) = &*peers.borrow() {
        peers.check(base.peers.as_ref())?;
        if let Some(config) = base.peers {
            peers.reload(config);
        }
    }
    Ok(base.discovery)
}
