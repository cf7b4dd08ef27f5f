//! Errors of reading and reloading a configuration. The messages are part of the program's
//! interface for operators.

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
    /// The configuration file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is larger than any valid configuration, and was not read.
    #[error("{path} is too large: {size} bytes, the limit is {limit}")]
    TooLarge {
        /// The path of the file.
        path: String,
        /// The size of the file in bytes.
        size: u64,
        /// The maximum size in bytes.
        limit: u64,
    },
    /// The content of the file is invalid.
    #[error("{path}: {source}")]
    InFile {
        /// The path of the file.
        path: String,
        /// The error in the content.
        source: Box<ConfigError>,
    },
    /// A value is missing or invalid.
    #[error(transparent)]
    Value(#[from] JsonObjectError),
    /// The `peers` section is invalid.
    #[error("line {line}: {reason}")]
    Peers {
        /// The line of the offending key, counted from 1.
        line: usize,
        /// The error at that key.
        reason: ClusterConfigError,
    },
}

impl ConfigError {
    /// Wraps the error with the path of the file in which it was found.
    pub fn in_file(self, path: impl Into<String>) -> ConfigError {
        ConfigError::InFile {
            path: path.into(),
            source: Box::new(self),
        }
    }
}

/// Why a running front rejects a new configuration.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The new file cannot be read or is invalid by itself.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The new settings lack a key that the current ones have.
    #[error("'{path}' is missing")]
    MissingKey {
        /// The path of the key, from `settings` on.
        path: String,
    },
    /// The new `peers` section changes what only a restart can change.
    #[error(transparent)]
    Peers(#[from] cluster::errors::ReloadError),
    /// The scheduler rejects the new settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
