//! The agent: runs the fronts that a file or etcd declares.
//!
//! It starts missing fronts, restarts crashed ones with exponential backoff, stops fronts with
//! SIGTERM and then SIGKILL, and serves an HTTP API for the command line.

pub mod api;
pub mod command;
pub mod declaration;
pub mod etcd;
pub mod file;
pub mod fleet;
pub mod status;
pub mod supervisor;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::task::JoinSet;

use crate::control::agent::api::AgentApi;
use crate::control::agent::declaration::Declarations;
use crate::control::agent::etcd::EtcdPrefix;
use crate::control::agent::fleet::Fleet;
use crate::frontend::listener::{Listener, ListenerLimits};
use crate::frontend::listener_status::ListenerStatus;
use crate::frontend::socket::{listen, ListenError};
use crate::runtime::{on_one_thread, shutdown_signal, RuntimeError};

/// The maximum number of connections with clients of the API. The command line needs one at a time.
const MAX_CONNECTIONS: usize = 32;
/// The maximum number of sets of declarations that wait to be applied.
const DECLARATION_QUEUE_CAPACITY: usize = 8;

/// Why the agent cannot start.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// The runtime cannot start, or a signal cannot be handled.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The address of the API cannot be used.
    #[error(transparent)]
    Listen(#[from] ListenError),
}

/// Where fronts are declared.
pub enum Source {
    /// In a file such as `{"fronts": {"NAME": {"kind": "platform", "config": "PATH"}}}`.
    File(PathBuf),
    /// In etcd, with one such object for each key.
    Etcd(EtcdPrefix),
}

/// Runs the agent until SIGTERM or SIGINT, and then stops all its fronts. Serves the API at the
/// address `control`.
///
/// # Errors
/// [`AgentError`], where the agent cannot start.
pub fn run(source: Source, control: SocketAddr) -> Result<(), AgentError> {
    on_one_thread(serve(source, control))
}

/// Serves the API and applies the declarations until a signal ends the agent.
async fn serve(source: Source, control: SocketAddr) -> Result<(), AgentError> {
    let listener = listen(control).await?;
    let shutdown = shutdown_signal()?;
    let fleet = Rc::new(Fleet::default());
    let (sender, receiver) = mpsc::channel(DECLARATION_QUEUE_CAPACITY);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(follow(source, sender));
    tasks.spawn_local(apply(receiver, Rc::clone(&fleet)));
    let api = AgentApi::new(Rc::clone(&fleet));
    let limits = ListenerLimits::new(MAX_CONNECTIONS);
    Listener::new(api, limits, ListenerStatus::default())
        .serve(listener, shutdown)
        .await;
    // Ends the task that applies declarations first, so that it cannot start a stopped front again.
    tasks.shutdown().await;
    fleet.stop_all().await;
    Ok(())
}

/// Sends all declarations, at first and after each change, until the receiver is closed.
async fn follow(source: Source, sender: Sender<Declarations>) {
    match source {
        Source::File(path) => file::follow(path, sender).await,
        Source::Etcd(prefix) => prefix.follow(sender).await,
    }
}

/// Applies declarations to the fleet until their sender is dropped.
async fn apply(mut receiver: Receiver<Declarations>, fleet: Rc<Fleet>) {
    while let Some(declarations) = receiver.recv().await {
        fleet.apply(declarations);
    }
}
