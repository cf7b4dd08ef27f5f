//! What the stand-ins of testbeds and soak runs share: listeners on loopback, chunked responses and
//! the wall clock.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::testbed::TestbedError;

/// An address whose port the system chooses.
const ANY_ADDRESS: &str = "127.0.0.1:0";

/// A listener and the address that the system has chosen for it.
pub struct LoopbackListener {
    /// The listener.
    pub listener: TcpListener,
    /// Its address.
    pub address: SocketAddr,
}

impl LoopbackListener {
    /// Opens a listener. `what` names it in errors.
    ///
    /// # Errors
    /// If the operating system rejects the socket.
    pub async fn open(what: &'static str) -> Result<LoopbackListener, TestbedError> {
        let listener = TcpListener::bind(ANY_ADDRESS)
            .await
            .map_err(TestbedError::system(what))?;
        let address = listener.local_addr().map_err(TestbedError::system(what))?;
        Ok(LoopbackListener { listener, address })
    }
}

/// Writes a chunk of a response with chunked transfer encoding.
///
/// # Errors
/// If the other end has closed the connection.
pub async fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).await
}

/// The wall clock, in milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
