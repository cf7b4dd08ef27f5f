//! Reloads the address of discovery at each SIGHUP, for fronts that reload nothing else.

use std::fmt::Display;
use std::net::SocketAddr;

use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::runtime::{hangup_signal, RuntimeError};
use crate::telemetry::log::log;

/// Publishes the address of discovery: `initial` at first, and after each SIGHUP what `read`
/// returns. Logs an error of `read`, or a configuration without an address, and keeps the previous
/// address, so that the front continues to serve.
///
/// # Errors
/// [`RuntimeError::Signal`], where SIGHUP cannot be handled.
pub fn watch_discovery_address<E: Display>(
    initial: Option<SocketAddr>,
    read: impl Fn() -> Result<Option<SocketAddr>, E> + 'static,
) -> Result<watch::Receiver<Option<SocketAddr>>, RuntimeError> {
    let mut hangup = hangup_signal()?;
    let (sender, receiver) = watch::channel(initial);
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            match read() {
                Ok(Some(address)) => {
                    sender.send_if_modified(|current| current.replace(address) != Some(address));
                }
                Ok(None) => log!(
                    "config: reload: discovery address not changed: the new configuration has none"
                ),
                Err(error) => {
                    log!("config: reload: discovery address not changed: {error}")
                }
            }
        }
    });
    Ok(receiver)
}
