//! The front of the object API, which serves objects with byte ranges and multipart uploads over
//! HTTP. Its requests go through the same exchange, and so through the same decision module, as
//! those of the platform's front. Chunk servers are accessed by the same API.
//!
//! Fronts share no state about objects, so every id that a client sends back contains the shard: a
//! version id is `SHARD.VERSION` and an upload id `SHARD.TOKEN.UPLOAD`, where the last part is the
//! id that the chunk server assigned.

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

/// An error that keeps an object front from starting, or from applying a new configuration.
#[derive(Debug, thiserror::Error)]
pub enum ObjectFrontError {
    /// The configuration cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A component of the front cannot start.
    #[error(transparent)]
    Front(#[from] FrontError),
    /// The runtime cannot start, or a signal cannot be handled.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The front cannot listen on its address for clients.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The reloaded section `peers` changes a value that takes a restart.
    #[error(transparent)]
    Peers(#[from] ReloadError),
}

/// The front's peers: `None` until the front is assembled, or where the configuration has no peers.
/// Shared with the callback that reloads the configuration.
type SharedPeers = Rc<RefCell<Option<Rc<Peers>>>>;

/// Runs an object front on one thread until SIGTERM or SIGINT.
///
/// # Errors
/// The configuration is invalid, or the system lacks a resource that the front needs.
pub fn run(file: &Path) -> Result<(), ObjectFrontError> {
    let config = Config::from_file(file)?;
    on_one_thread(serve(config, file.to_owned()))
}

/// Assembles the components of a front and serves until the signal to shut down.
async fn serve(config: Config, file: PathBuf) -> Result<(), ObjectFrontError> {
    let shutdown = shutdown_signal()?;
    let peers = SharedPeers::default();
    let reload_peers = Rc::clone(&peers);
    let discovery_address =
        watch_discovery_address(config.base.discovery, move || reload(&file, &reload_peers))?;
    config.base.settings.check().map_err(FrontError::from)?;
    wait_until_readable(state_folder().as_deref(), &config.base.name).await;
    let listener = listen(config.base.listen).await?;
    let parts = assemble(&config.base, discovery_address)?;
    peers.borrow_mut().clone_from(&parts.peers);
    let front = ObjectFront::new(Rc::clone(&parts.exchange), config, parts.readiness.clone());
    parts.serve(front, listener, shutdown).await;
    Ok(())
}

/// Reads the configuration file again, applies its section `peers` to the running peers, and
/// returns the address of discovery.
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
