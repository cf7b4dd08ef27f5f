//! Errors that the command line reports to its users.

use std::fmt;
use std::net::SocketAddr;

use crate::config::error::ConfigError;
use crate::control::agent::AgentError;
use crate::control::http_client::HttpError;
use crate::control::json_object::JsonObjectError;
use crate::front::error::FrontError;
use crate::object::ObjectFrontError;
use crate::runtime::RuntimeError;

/// A service that a command calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// The console of a front.
    Console,
    /// The API of an agent.
    Agent,
}

impl fmt::Display for Service {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Service::Console => "console",
            Service::Agent => "agent",
        })
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A front of the platform cannot start.
    #[error(transparent)]
    Front(#[from] FrontError),
    /// An object front cannot start.
    #[error(transparent)]
    ObjectFront(#[from] ObjectFrontError),
    /// An agent cannot start.
    #[error(transparent)]
    Agent(#[from] AgentError),
    /// The runtime cannot start.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The agent was given neither a declaration file nor the address of etcd.
    #[error("no source of front declarations: --file or --etcd is required")]
    NoDeclarationSource,
    /// The call to the service failed before its response began.
    #[error("the {service} at {address}: {source}")]
    NoResponse {
        /// The service that was called.
        service: Service,
        /// The address that was called.
        address: SocketAddr,
        /// Why there is no response.
        source: HttpError,
    },
    /// The body of the response could not be read.
    #[error(transparent)]
    Body(#[from] HttpError),
    /// The service responded with an error status.
    #[error("the {service} at {address}: {message}")]
    Rejected {
        /// The service that was called.
        service: Service,
        /// The address that was called.
        address: SocketAddr,
        /// The message in the body of the response.
        message: String,
    },
    /// The response is not JSON, or a value in it is missing or invalid.
    #[error("invalid response from the {service}: {source}")]
    InvalidResponse {
        /// The service that responded.
        service: Service,
        /// What is wrong with the response.
        source: JsonObjectError,
    },
    /// The agent has no front of this name.
    #[error("no such front: {0}")]
    NoSuchFront(String),
    /// The agent's declarations no longer name the front.
    #[error("{0} is no longer declared")]
    NoLongerDeclared(String),
    /// The front did not reach the phase that the command requires in time.
    #[error("{name} is not {phase} after {seconds} s")]
    NotInPhase {
        /// The front that the command was for.
        name: String,
        /// The phase that the command requires.
        phase: &'static str,
        /// How long the command waited, in seconds.
        seconds: u64,
    },
}
