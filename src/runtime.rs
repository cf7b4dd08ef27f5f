//! The program's runtime: all tasks on one thread, and the signals that end them.

use std::future::Future;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;

/// Why the program's tasks cannot run.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// The system lacks a resource that the runtime needs.
    #[error("cannot create the runtime: {0}")]
    Start(#[source] std::io::Error),
    /// The system rejects a signal handler.
    #[error(transparent)]
    Signal(std::io::Error),
}

/// Runs a program's tasks on one thread, until `program` completes.
///
/// # Errors
/// Those of the program, and [`RuntimeError::Start`].
pub fn on_one_thread<E: From<RuntimeError>>(
    program: impl Future<Output = Result<(), E>>,
) -> Result<(), E> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(RuntimeError::Start)?;
    LocalSet::new().block_on(&runtime, program)
}

/// Handles SIGHUP from now on.
///
/// # Errors
/// [`RuntimeError::Signal`].
pub fn hangup_signal() -> Result<Signal, RuntimeError> {
    signal(SignalKind::hangup()).map_err(RuntimeError::Signal)
}

/// Handles SIGTERM and SIGINT from now on. The future completes at the first of them.
///
/// # Errors
/// [`RuntimeError::Signal`].
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
