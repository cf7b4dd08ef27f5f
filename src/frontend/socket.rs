//! The listening socket of a front.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

use crate::telemetry::log::log;

/// Maximum number of connections that the kernel queues before the front accepts them.
const BACKLOG: u32 = 1024;

/// Why a listening socket cannot be opened at an address.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The socket cannot be opened or bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address to listen at.
        address: SocketAddr,
        /// The error of the system call that failed.
        source: std::io::Error,
    },
    /// The address that the socket is bound to cannot be read.
    #[error(transparent)]
    LocalAddress(#[from] std::io::Error),
}

/// Opens a listening socket and logs its address; port 0 selects a free port. `SO_REUSEPORT` lets a
/// new version of the process listen at the same address while the old one still serves.
///
/// # Errors
/// Returns a [`ListenError`] where the socket cannot be opened or bound, or its address not be
/// read.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    };
    let bound = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    });
    let listener = bound.map_err(|source| ListenError::Bind { address, source })?;
    let address = listener.local_addr()?;
    log!("listening on {address}");
    Ok(listener)
}
