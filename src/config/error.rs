//! Errors of reading and reloading a configuration. The messages are part of the program's
//! interface.

use tulipbridge_core::SettingsError;

use crate::cluster;
use crate::cluster::errors::ClusterConfigError;
use crate::control::json_object::JsonObjectError;

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment does not name a configuration file.
    #[error("BALANCER_CONFIG is not set")]
    FileNotNamed,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The file is larger than any valid configuration, and was not read.
    #[error("{path} is too large: {size} bytes, the limit is {limit}")]
    TooLarge {
        /// The path of the file.
        path: String,
        /// Its size in bytes.
        size: u64,
        /// The largest size that is accepted, in bytes.
        limit: u64,
    },
    /// The content of the file is invalid.
    #[error("{path}: {source}")]
    InFile {
        /// The path of the file.
        path: String,
        /// What is wrong with the content.
        source: Box<ConfigError>,
    },
    /// A value is missing or invalid.
    #[error(transparent)]
    Value(#[from] JsonObjectError),
    /// The section on the front's peers is invalid.
    #[error("line {line}: {reason}")]
    Peers {
        /// The line of the offending key, counted from 1.
        line: usize,
        /// What is wrong there.
        reason: ClusterConfigError,
    },
}

impl ConfigError {
    /// Adds the path of the file in which the error was found.
    pub fn in_file(self, path: impl Into<String>) -> ConfigError {
        ConfigError::InFile {
            path: path.into(),
            source: Box::new(self),
        }
    }
}

/// Why a running front cannot change to a new configuration.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The new file cannot be used at all.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The new settings lack a key that the current ones have.
    #[error("'{path}' is missing")]
    MissingKey {
        /// The path of the key, from `settings` on.
        path: String,
    },
    /// The new section on peers changes what only a restart can change.
    #[error(transparent)]
    Peers(#[from] cluster::errors::ReloadError),
    /// The scheduler rejects the new settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
