//! The calls that open a watch on discovery, and the messages of an open watch.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, SystemTime};

use hyper::{Method, StatusCode};
use tulipbridge_core::discovery_watch::CALL_TIMEOUT;

use crate::control::discovery::error::DiscoveryError;
use crate::control::http_client::{call, CallResponse, CallTimeouts};
use crate::control::json_stream::Message;

/// The longest time for a connection to discovery to open. The call as a whole is bounded by
/// [`CALL_TIMEOUT`].
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call that opens a watch.
pub type OpeningWatch = Pin<Box<dyn Future<Output = Result<OpenWatch, DiscoveryError>>>>;

/// A watch that discovery has accepted. Dropping it closes the connection.
pub struct OpenWatch {
    source: SocketAddr,
    response: CallResponse,
}

/// A message of an open watch.
pub struct WatchMessage {
    /// The address of the discovery that sent it.
    pub source: SocketAddr,
    /// Its content.
    pub message: Message,
}

impl OpenWatch {
    /// Opens a watch on the changes after a version of the endpoint list.
    ///
    /// # Errors
    /// The call failed, or discovery answered it with an error.
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

    /// The time on discovery's clock at which it accepted the watch, where the response has it.
    pub fn date(&self) -> Option<SystemTime> {
        self.response.date
    }

    /// The next message, however long it takes. The future may be dropped without losing a message.
    ///
    /// # Errors
    /// The watch has ended or broken off.
    pub async fn next_message(&mut self) -> Result<WatchMessage, DiscoveryError> {
        let message = self.response.next_message().await?;
        Ok(WatchMessage {
            source: self.source,
            message,
        })
    }
}
