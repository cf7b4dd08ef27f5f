//! The configuration file as it is written. Its values are checked one by one here; [`Config`]
//! combines them.
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
    /// The settings of the site; see [`SiteSettings`].
    pub(super) settings: Value,
    /// The front's name.
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
    /// The section on the front's peers.
    #[serde(default, deserialize_with = "non_null")]
    pub(super) peers: Option<Value>,
    /// The seed of the front's random numbers.
    pub(super) seed: HexNumber,
    /// The limits of the process.
    #[serde(default, deserialize_with = "object_or_default")]
    pub(super) limits: ProcessLimitsSection,
    /// The last known endpoint list, in discovery's format.
    pub(super) known: Value,
}

/// The limits of the process. A limit of 0 or less counts as missing.
#[derive(Default, Deserialize)]
pub(super) struct ProcessLimitsSection {
    /// File descriptors that the process may hold.
    #[serde(rename = "sockets", default, deserialize_with = "number")]
    pub(super) max_descriptors: f64,
    /// Memory that the process may use, in MiB.
    #[serde(default, deserialize_with = "number")]
    pub(super) memory_mb: f64,
}

/// The part of the settings that a front needs beside its scheduler.
#[derive(Deserialize)]
pub(super) struct SiteSettings {
    /// The classes.
    #[serde(rename = "Services", deserialize_with = "objects")]
    pub(super) classes: Vec<NamedEntry>,
    /// The plans.
    #[serde(rename = "Grades", deserialize_with = "objects")]
    pub(super) plans: Vec<NamedEntry>,
    /// The zones.
    #[serde(rename = "FailureDomains")]
    pub(super) zones: Vec<ZoneName>,
    /// What requests are like.
    #[serde(rename = "FamilyInfo", deserialize_with = "object")]
    pub(super) family: FamilySection,
    /// Limits on connections to chunk servers.
    #[serde(rename = "Limits", deserialize_with = "object")]
    pub(super) limits: ConnectionLimitsSection,
}

/// An entry of a list, by its name.
#[derive(Deserialize)]
pub(super) struct NamedEntry {
    #[serde(rename = "Name", deserialize_with = "string")]
    pub(super) name: String,
}

/// The name of a zone.
#[derive(Deserialize)]
pub(super) struct ZoneName(#[serde(deserialize_with = "string")] pub(super) String);

/// The part of `FamilyInfo` that a front needs beside its scheduler.
#[derive(Deserialize)]
pub(super) struct FamilySection {
    /// The number of shards.
    #[serde(rename = "Shards", default, deserialize_with = "number")]
    pub(super) shards: f64,
    /// Whether each class writes.
    #[serde(rename = "ChangesData", default)]
    pub(super) writes: ClassWrites,
}

/// The part of the settings' `Limits` that a front needs beside its scheduler, in nanoseconds. A
/// timeout of 0 or less counts as missing.
#[derive(Deserialize)]
pub(super) struct ConnectionLimitsSection {
    /// The longest time for a connection to a chunk server to open.
    #[serde(rename = "DialTimeout", default, deserialize_with = "number")]
    pub(super) dial_timeout: f64,
    /// The time after which chunk servers close an idle connection.
    #[serde(rename = "IdleClose", default, deserialize_with = "number")]
    pub(super) idle_close: f64,
}
