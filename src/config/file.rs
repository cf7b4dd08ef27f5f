//! The format of the configuration file. Each value is checked by itself here; [`Config`] combines
//! them.
//!
//! [`Config`]: crate::config::Config

use serde::Deserialize;
use simd_json::OwnedValue as Value;

use crate::config::settings::ClassWrites;
use crate::config::values::{
    lenient, non_null, number, object, object_or_default, objects, string, Address, Deferred,
    HexNumber,
};

/// The configuration file of a front.
#[derive(Deserialize)]
pub(super) struct FrontFile {
    /// The `settings` object, which describes the site; see [`SiteSettings`].
    pub(super) settings: Value,
    /// The front's name. The environment may override it.
    #[serde(default, deserialize_with = "lenient")]
    pub(super) name: Option<String>,
    /// The address on which the front accepts clients. The environment may override it.
    #[serde(default)]
    pub(super) listen: Deferred<Address>,
    /// The address of the operators' console. The environment may override it.
    #[serde(default)]
    pub(super) console: Deferred<Address>,
    /// The address of discovery. The environment may override it.
    #[serde(default)]
    pub(super) discovery: Deferred<Address>,
    /// The section on the front's peers, which `ClusterConfig` reads.
    #[serde(default, deserialize_with = "non_null")]
    pub(super) peers: Option<Value>,
    /// The seed of the front's random numbers, in hexadecimal digits.
    pub(super) seed: HexNumber,
    /// The resource limits of the process.
    #[serde(default, deserialize_with = "object_or_default")]
    pub(super) limits: ProcessLimitsSection,
    /// The last known endpoint list, in the format of discovery.
    #[serde(rename = "known")]
    pub(super) known_endpoints: Value,
}

/// The resource limits of the process. A limit of 0 or less counts as missing.
#[derive(Default, Deserialize)]
pub(super) struct ProcessLimitsSection {
    /// The number of file descriptors that the process may have open.
    #[serde(rename = "sockets", default, deserialize_with = "number")]
    pub(super) max_descriptors: f64,
    /// The memory that the process may use, in MiB.
    #[serde(default, deserialize_with = "number")]
    pub(super) memory_mb: f64,
}

/// The part of the `settings` object that a front needs in addition to the scheduler's settings.
#[derive(Deserialize)]
pub(super) struct SiteSettings {
    /// The names of the classes.
    #[serde(rename = "Services", deserialize_with = "objects")]
    pub(super) classes: Vec<NamedEntry>,
    /// The names of the plans.
    #[serde(rename = "Grades", deserialize_with = "objects")]
    pub(super) plans: Vec<NamedEntry>,
    /// The names of the zones.
    #[serde(rename = "FailureDomains")]
    pub(super) zones: Vec<ZoneName>,
    /// Properties of the requests.
    #[serde(rename = "FamilyInfo", deserialize_with = "object")]
    pub(super) family: FamilySection,
    /// Timeouts of connections to chunk servers.
    #[serde(rename = "Limits", deserialize_with = "object")]
    pub(super) limits: ConnectionLimitsSection,
}

/// An entry of a list, of which only the name is read.
#[derive(Deserialize)]
pub(super) struct NamedEntry {
    #[serde(rename = "Name", deserialize_with = "string")]
    pub(super) name: String,
}

/// The name of a zone.
#[derive(Deserialize)]
pub(super) struct ZoneName(#[serde(deserialize_with = "string")] pub(super) String);

/// The part of `FamilyInfo` that a front needs in addition to the scheduler's settings.
#[derive(Deserialize)]
pub(super) struct FamilySection {
    /// The number of shards.
    #[serde(rename = "Shards", default, deserialize_with = "number")]
    pub(super) shards: f64,
    /// Whether the requests of each class write.
    #[serde(rename = "ChangesData", default)]
    pub(super) writes: ClassWrites,
}

/// The part of the settings' `Limits` that a front needs in addition to the scheduler's settings,
/// in nanoseconds. A timeout of 0 or less counts as missing.
#[derive(Deserialize)]
pub(super) struct ConnectionLimitsSection {
    /// The maximum time to open a connection to a chunk server.
    #[serde(rename = "DialTimeout", default, deserialize_with = "number")]
    pub(super) dial_timeout: f64,
    /// The time after which chunk servers close an idle connection.
    #[serde(rename = "IdleClose", default, deserialize_with = "number")]
    pub(super) idle_close: f64,
}
