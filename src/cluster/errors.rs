//! Errors of this front's part in the fleet: reading the configuration, joining the peers,
//! reloading, and status queries. The messages are shown to operators as they are.

use std::net::SocketAddr;
use std::path::PathBuf;

use tulipbridge_fleet_limits::LimitsConfigError;
use tulipbridge_membership::EnvelopeError;
use tulipbridge_outlier_detection::DetectorConfigError;

use crate::control::json_object::JsonObjectError;
use crate::limits::{MAX_FRONTS, MAX_ZONES};

/// Why `peers` of a front's file cannot be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ClusterConfigError {
    /// A value is missing, of the wrong type or out of range.
    #[error(transparent)]
    Value(#[from] JsonObjectError),
    /// A name or an address occurs twice in the roster.
    #[error("'{path}' {value} is there twice")]
    Duplicate {
        /// Path of the second occurrence.
        path: String,
        /// The name or the address.
        value: String,
    },
    /// The roster has more zones than can be numbered.
    #[error("'peers.roster' names more than {MAX_ZONES} zones")]
    TooManyZones,
    /// The roster has no front of this front's name.
    #[error("'peers.roster' does not name this front, {0}")]
    NotInMembershipList(String),
    /// The roster has too many fronts.
    #[error("'peers.roster' names more than {MAX_FRONTS} fronts")]
    TooManyFronts,
    /// The revision is 0.
    #[error("'peers.revision' counts from 1")]
    RevisionZero,
    /// The values contradict each other.
    #[error("'peers': {0}")]
    Limits(#[source] LimitsConfigError),
}

/// Why a front cannot join its peers.
#[derive(Debug, thiserror::Error)]
pub enum JoinError {
    /// The file of the shared key cannot be read.
    #[error("'peers.key_file': cannot read {}: {source}", .file.display())]
    KeyFile {
        /// The file.
        file: PathBuf,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// The content of the file cannot be used as a key.
    #[error("'peers.key_file': {}: {source}", .file.display())]
    Key {
        /// The file.
        file: PathBuf,
        /// What is wrong with the key.
        source: EnvelopeError,
    },
    /// The socket for messages of the peers cannot be opened.
    #[error("'peers.listen': cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why it cannot be bound.
        source: std::io::Error,
    },
    /// The configuration of the fleet's limits is invalid.
    #[error("'peers': {0}")]
    Limits(#[source] LimitsConfigError),
    /// The configuration of outlier detection is invalid.
    #[error("'peers.verdicts': {0}")]
    Detector(#[source] DetectorConfigError),
}

/// Why a new configuration of the peers cannot be applied while the front runs.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReloadError {
    /// The new file has no peers.
    #[error("'peers' cannot be left out while the front runs; restart it")]
    PeersRemoved,
    /// The address of the socket or the file of the key is different.
    #[error("'peers.listen' and 'peers.key_file' change with a restart only")]
    SocketOrKeyChanged,
    /// Shared ejections are switched on or off.
    #[error("'peers.verdicts' comes and goes with a restart only")]
    EjectionsToggled,
    /// The new configuration of outlier detection is invalid.
    #[error("'peers.verdicts': {0}")]
    Detector(#[from] DetectorConfigError),
    /// A fleet-wide limit is no longer configured.
    #[error("a limit in 'peers.limits' cannot be left out while the front runs; restart it")]
    LimitRemoved,
}

/// Why there is no status of ejections to show.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EjectionStatusError {
    /// `peers.verdicts` is not configured.
    #[error("this front shares no verdicts")]
    NotShared,
    /// The endpoint list has no chunk server of this name.
    #[error("no such chunk server: {0}")]
    UnknownServer(String),
}
