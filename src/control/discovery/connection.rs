//! Opens a watch on discovery and reads its messages.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, SystemTime};

use hyper::{Method, StatusCode};
use tulipbridge_core::discovery_watch::CALL_TIMEOUT;

use crate::control::discovery::error::DiscoveryError;
use crate::control::http_client::{call, CallResponse, CallTimeouts};
use crate::control::json_stream::Message;

/// The time limit for establishing a connection to discovery. The state machine bounds the call as
/// a whole by [`CALL_TIMEOUT`]; this limit lets an unreachable address fail earlier.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call in progress that opens a watch. Dropping it cancels the call.
pub type OpeningWatch = Pin<Box<dyn Future<Output = Result<OpenWatch, DiscoveryError>>>>;

/// A watch that discovery has accepted. Dropping it closes the connection.
pub struct OpenWatch {
    source: SocketAddr,
    response: CallResponse,
}

/// A message of an open watch.
pub struct WatchMessage {
    /// The address of the discovery instance that sent the message.
    pub source: SocketAddr,
    /// A keep-alive or the JSON text of an endpoint list.
    pub message: Message,
}

impl OpenWatch {
    /// Opens a watch on the changes after version `generation` of the endpoint list.
    ///
    /// # Errors
    /// Fails if the call fails, or if discovery responds with another status than 200.
    pub async fn open(address: SocketAddr, generation: i64) -> Result<OpenWatch, DiscoveryError> {
        let path = format!("/registry/instances?watch=1&after={generation}");
        let timeouts = CallTimeouts {
            connect: CONNECT_TIMEOUT,
            response: Duration::from_nanos(CALL_TIMEOUT as u64),
        };
        let response = call(address, Method::GET, &path, String::new(), timeouts).await?;
        match response.status {
            StatusCode::OK => Ok(OpenWatch {
                source: address,
                response,
            }),
            status => Err(DiscoveryError::Status(status)),
        }
    }

    /// Returns the time on discovery's clock at which it accepted the watch, if the response has
    /// it.
    pub fn date(&self) -> Option<SystemTime> {
        self.response.date
    }

    /// Returns the next message. Waits without a time limit. It is cancel safe: no message is lost
    /// if the future is dropped.
    ///
    /// # Errors
    /// Fails if the watch has ended, the connection broke, or the message is too long.
    pub async fn next_message(&mut self) -> Result<WatchMessage, DiscoveryError> {
        let message = self.response.next_message().await?;
        Ok(WatchMessage {
            source: self.source,
            message,
        })
    }
}
