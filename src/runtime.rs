//! The single-threaded runtime of the program, and its signal handlers.

use std::future::Future;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;

/// Why the runtime cannot be created or a signal cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// The operating system denied a resource that the runtime needs.
    #[error("cannot create the runtime: {0}")]
    Start(#[source] std::io::Error),
    /// The operating system rejected a signal handler.
    #[error(transparent)]
    Signal(std::io::Error),
}

/// Runs `program` and the local tasks that it spawns on one thread, until `program` completes.
///
/// # Errors
/// Returns the error of `program`, or [`RuntimeError::Start`].
pub fn on_one_thread<E: From<RuntimeError>>(
    program: impl Future<Output = Result<(), E>>,
) -> Result<(), E> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(RuntimeError::Start)?;
    LocalSet::new().block_on(&runtime, program)
}

/// Installs a handler for SIGHUP and returns the stream of these signals.
///
/// # Errors
/// Returns [`RuntimeError::Signal`] if the handler cannot be installed.
pub fn hangup_signal() -> Result<Signal, RuntimeError> {
    signal(SignalKind::hangup()).map_err(RuntimeError::Signal)
}

/// Installs handlers for SIGTERM and SIGINT. The returned future completes at the first of these
/// signals.
///
/// # Errors
/// Returns [`RuntimeError::Signal`] if a handler cannot be installed.
pub fn shutdown_signal() -> Result<impl Future<Output = ()>, RuntimeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RuntimeError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RuntimeError::Signal)?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
