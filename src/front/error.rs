//! Errors that prevent a front from starting.

use tulipbridge_core::SettingsError;

use crate::cluster::errors::JoinError;
use crate::control::console::ConsoleError;
use crate::control::json_object::JsonObjectError;
use crate::frontend::socket::ListenError;
use crate::runtime::RuntimeError;

/// Why a front cannot start.
#[derive(Debug, thiserror::Error)]
pub enum FrontError {
    /// The runtime cannot start, or a signal cannot be handled.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The scheduler rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The address for clients cannot be used.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The front cannot join its peers.
    #[error(transparent)]
    Peers(#[from] JoinError),
    /// The last known endpoint list is invalid.
    #[error(transparent)]
    KnownEndpoints(JsonObjectError),
    /// The operators' console cannot be opened.
    #[error(transparent)]
    Console(#[from] ConsoleError),
}
