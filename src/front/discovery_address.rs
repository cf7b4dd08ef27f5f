//! The address of discovery, read again at each SIGHUP by fronts that reload nothing else.

use std::fmt::Display;
use std::net::SocketAddr;

use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::runtime::{hangup_signal, RuntimeError};
use crate::telemetry::log::log;

/// Publishes the address of discovery: `initial` at first, and after each SIGHUP what `read`
/// returns. An error of `read` is logged and changes nothing: it is better to keep serving with the
/// old address.
///
/// # Errors
/// [`RuntimeError::Signal`].
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
                Ok(None) => log!("the new configuration names no discovery; the old one stays"),
                Err(error) => {
                    log!("the new configuration cannot be used, the old one stays: {error}")
                }
            }
        }
    });
    Ok(receiver)
}
