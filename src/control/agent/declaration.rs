//! Declarations of fronts: decodes them and starts the processes that they describe.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::Deserialize;
use tokio::process::{Child, Command};
use tokio::time::sleep;

use crate::control::http_client::{call, CallTimeouts};
use crate::control::json_object::{self, JsonObjectError};

/// The pause between two readiness probes of a starting front.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// The timeouts of a readiness probe: for the connection and for the response.
const PROBE_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(500),
    response: Duration::from_millis(500),
};
/// Environment variables of the agent that its fronts must not inherit, since each front has a
/// configuration of its own.
const VARIABLES_NOT_INHERITED: [&str; 4] = [
    "BALANCER_NAME",
    "BALANCER_LISTEN",
    "BALANCER_DISCOVERY",
    "BALANCER_CONFIG",
];

/// The JSON text of every declaration, keyed by the name of its front.
pub type Declarations = BTreeMap<String, Vec<u8>>;

/// The kind of front that a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub enum FrontKind {
    /// A front of the platform, which the program runs without a subcommand.
    Platform,
    /// A front of the object API.
    Object,
}

/// The error for a kind of front that this version does not know; holds its name.
#[derive(Debug, thiserror::Error)]
#[error("unknown kind of front {0:?}")]
pub struct UnknownFrontKind(String);

impl TryFrom<String> for FrontKind {
    type Error = UnknownFrontKind;

    fn try_from(name: String) -> Result<FrontKind, UnknownFrontKind> {
        match name.as_str() {
            "platform" => Ok(FrontKind::Platform),
            "object" => Ok(FrontKind::Object),
            _ => Err(UnknownFrontKind(name)),
        }
    }
}

/// The declaration of one front: what its process runs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct FrontDeclaration {
    kind: FrontKind,
    /// The path of the front's configuration file.
    config: String,
}

impl FrontDeclaration {
    /// Decodes a declaration from its JSON text.
    ///
    /// # Errors
    /// The text is not JSON, or a value is missing or invalid.
    pub fn read(json: &[u8]) -> Result<FrontDeclaration, JsonObjectError> {
        json_object::parse(&mut json.to_vec())
    }

    /// Starts the front as a process of this program. Dropping the process kills it.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn start(&self) -> std::io::Result<Child> {
        let mut command = Command::new(std::env::current_exe()?);
        for name in VARIABLES_NOT_INHERITED {
            command.env_remove(name);
        }
        match self.kind {
            FrontKind::Object => command.arg("object").arg(&self.config),
            FrontKind::Platform => command.env("BALANCER_CONFIG", &self.config),
        };
        command.kill_on_drop(true).spawn()
    }

    /// Probes the front until it is ready for clients. Never completes where the address for
    /// clients cannot be read from its configuration.
    pub async fn wait_until_ready(&self) {
        let Some(address) = self.listen_address() else {
            return std::future::pending().await;
        };
        loop {
            let probe = call(
                address,
                Method::GET,
                "/health/ready",
                String::new(),
                PROBE_TIMEOUTS,
            )
            .await;
            if probe.is_ok_and(|response| response.status == StatusCode::OK) {
                return;
            }
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Returns the address for clients in the front's configuration file; `None` where the file
    /// cannot be read or has no valid address.
    fn listen_address(&self) -> Option<SocketAddr> {
        let mut content = std::fs::read(&self.config).ok()?;
        let front: ListeningFront = json_object::parse(&mut content).ok()?;
        front.listen.parse().ok()
    }
}

/// The part of a front's configuration file that the agent reads.
#[derive(Deserialize)]
struct ListeningFront {
    /// The address on which the front accepts clients.
    listen: String,
}
