//! The listening socket of a front.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

use crate::telemetry::log::log;

/// Connections that the kernel queues for the front before it accepts them.
const BACKLOG: u32 = 1024;

/// Opens a listening socket and logs its address; port 0 chooses a free port. `SO_REUSEPORT` lets a new version of
/// the process listen at the same address while the old one still serves.
///
/// # Errors
/// A sentence that names the address, where the socket cannot be opened or bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let bound = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    });
    let listener = bound.map_err(|e| format!("cannot listen on {address}: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    log!("listening on {address}");
    Ok(listener)
}
