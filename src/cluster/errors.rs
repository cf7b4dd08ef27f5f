//! Errors of reading the section `peers`, joining the peers, reloading, and status queries.
//! Operators see the messages as they are written here.

use std::net::SocketAddr;
use std::path::PathBuf;

use tulipbridge_fleet_limits::LimitsConfigError;
use tulipbridge_membership::EnvelopeError;
use tulipbridge_outlier_detection::DetectorConfigError;

use crate::control::json_object::JsonObjectError;
use crate::limits::{MAX_FRONTS, MAX_ZONES};

/// A reason why the section `peers` of a front's file is invalid.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ClusterConfigError {
    /// A value is missing, of the wrong type or out of range.
    #[error(transparent)]
    Value(#[from] JsonObjectError),
    /// A name or an address occurs twice in the membership list.
    #[error("'{path}' {value} occurs twice")]
    Duplicate {
        /// Path of the second occurrence in the file.
        path: String,
        /// The name or the address that occurs twice.
        value: String,
    },
    /// The membership list has more zones than can be numbered.
    #[error("'peers.roster' names more than {MAX_ZONES} zones")]
    TooManyZones,
    /// The membership list does not contain this front, whose name is given.
    #[error("'peers.roster' does not name this front, {0}")]
    NotInMembershipList(String),
    /// The membership list has too many fronts.
    #[error("'peers.roster' names more than {MAX_FRONTS} fronts")]
    TooManyFronts,
    /// The revision is 0; revisions count from 1.
    #[error("'peers.revision' must be at least 1")]
    RevisionZero,
    /// The values that configure the limits contradict each other.
    #[error("'peers': {0}")]
    Limits(#[source] LimitsConfigError),
}

/// A reason why a front cannot join its peers.
#[derive(Debug, thiserror::Error)]
pub enum JoinError {
    /// The file with the shared key cannot be read.
    #[error("'peers.key_file': cannot read {}: {source}", .file.display())]
    KeyFile {
        /// Path of the key file, from the configuration.
        file: PathBuf,
        /// The error that reading it caused.
        source: std::io::Error,
    },
    /// The content of the key file cannot be used as a key.
    #[error("'peers.key_file': {}: {source}", .file.display())]
    Key {
        /// Path of the key file, from the configuration.
        file: PathBuf,
        /// The reason why the key is invalid.
        source: EnvelopeError,
    },
    /// The socket for the messages of the peers cannot be opened.
    #[error("'peers.listen': cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error that binding it caused.
        source: std::io::Error,
    },
    /// The configuration of the fleet-wide limits is invalid.
    #[error("'peers': {0}")]
    Limits(#[source] LimitsConfigError),
    /// The configuration of outlier detection is invalid.
    #[error("'peers.verdicts': {0}")]
    Detector(#[source] DetectorConfigError),
}

/// A reason why a new configuration of the peers cannot be applied while the front runs.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReloadError {
    /// The new file has no section `peers`.
    #[error("'peers' cannot be removed while the front runs; restart it")]
    PeersRemoved,
    /// The address of the socket or the path of the key file is different.
    #[error("'peers.listen' and 'peers.key_file' cannot change while the front runs; restart it")]
    SocketOrKeyChanged,
    /// Shared ejections are enabled or disabled.
    #[error("'peers.verdicts' cannot be added or removed while the front runs; restart it")]
    EjectionsToggled,
    /// The new configuration of outlier detection is invalid.
    #[error("'peers.verdicts': {0}")]
    Detector(#[from] DetectorConfigError),
    /// A fleet-wide limit is no longer configured.
    #[error("a limit in 'peers.limits' cannot be removed while the front runs; restart it")]
    LimitRemoved,
}

/// A reason why the console cannot show the status of ejections.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EjectionStatusError {
    /// This front does not share ejections: `peers.verdicts` is not configured.
    #[error("this front shares no verdicts")]
    NotShared,
    /// The endpoint list has no chunk server with this name.
    #[error("no such chunk server: {0}")]
    UnknownServer(String),
}
