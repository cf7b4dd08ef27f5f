//! Errors of the command line, as its users see them.

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
    /// Neither a file nor etcd is given to an agent.
    #[error("where the fronts are declared is missing")]
    NoDeclarationSource,
    /// The service does not respond.
    #[error("the {service} at {address}: {source}")]
    NoResponse {
        /// The service.
        service: Service,
        /// Its address.
        address: SocketAddr,
        /// Why there is no response.
        source: HttpError,
    },
    /// The body of the response does not arrive.
    #[error(transparent)]
    Body(#[from] HttpError),
    /// The service responds with an error.
    #[error("the {service} at {address}: {message}")]
    Rejected {
        /// The service.
        service: Service,
        /// Its address.
        address: SocketAddr,
        /// The body of its response.
        message: String,
    },
    /// The response is not JSON, or a value in it is missing or invalid.
    #[error("the {service}'s answer: {source}")]
    InvalidResponse {
        /// The service.
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
    /// The front has not reached the phase that the command asks for in time.
    #[error("{name} is not {phase} after {seconds} s")]
    NotInPhase {
        /// The name of the front.
        name: String,
        /// The name of the phase.
        phase: &'static str,
        /// How long the command waited.
        seconds: u64,
    },
}
