//! The configuration of an object front: that of any front, and the buckets it serves.

use std::collections::HashMap;
use std::path::Path;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::Semantics;

use crate::config;
use crate::config::json::{self, parse_hex, positive_number_or, string, JsonError, Kind};

/// The size of a unit of work, in bytes, unless the bucket has one.
const DEFAULT_UNIT_BYTES: f64 = 16.0 * 1024.0;
/// The number of fronts through which a bucket's requests arrive, unless the bucket has one.
const DEFAULT_FRONTS: f64 = 1.0;

/// Why the configuration of an object front cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("{path}: {source}")]
    InFile {
        /// The path of the file.
        path: String,
        /// What is wrong with the content.
        source: Box<ConfigError>,
    },
    /// The part that any front has is invalid.
    #[error(transparent)]
    Base(#[from] config::error::ConfigError),
    /// A value is missing or invalid.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// A bucket is invalid.
    #[error("bucket {name}: {source}")]
    Bucket {
        /// The name of the bucket.
        name: String,
        /// What is wrong with it.
        source: BucketError,
    },
}

/// Why a bucket cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum BucketError {
    /// A value is missing or invalid.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The class or plan is not among those of the settings.
    #[error("'{key}' {name} is not in the settings")]
    NotInSettings {
        /// The key of the bucket that names it.
        key: String,
        /// Its name.
        name: String,
    },
    /// The class for writes allows them to be repeated, which could store an object twice.
    #[error("the class in 'write' may be repeated, and writes must not be")]
    RepeatableWrites,
    /// The class for reads does not allow them to be repeated.
    #[error("the class in 'read' must be one that may be repeated")]
    UnrepeatableReads,
}

/// The configuration of an object front.
pub struct Config {
    /// What any front has; `listen` is the address of this front's object API.
    pub base: config::Config,
    /// The buckets by their names.
    pub buckets: HashMap<String, Bucket>,
}

/// How requests to a bucket are scheduled.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// The volume that the bucket's requests count towards.
    pub volume: u64,
    /// The number of its plan.
    pub plan: usize,
    /// The number of the class for requests that may be repeated: reads, and deletions, which are
    /// idempotent.
    pub read_class: usize,
    /// The number of the class for requests that must not run twice.
    pub write_class: usize,
    /// The size of a unit of work, in bytes.
    pub unit_bytes: f64,
    /// The number of fronts through which its requests come.
    pub front_count: u32,
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// The file cannot be read, or a value in it is missing or invalid.
    pub fn from_file(file: &Path) -> Result<Config, ConfigError> {
        let path = file.display().to_string();
        let content = match std::fs::read(file) {
            Ok(content) => content,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        Config::read(&content).map_err(|error| ConfigError::InFile {
            path,
            source: Box::new(error),
        })
    }

    /// Reads a configuration from its JSON text.
    ///
    /// # Errors
    /// The first value that is missing or invalid.
    pub fn read(json: &[u8]) -> Result<Config, ConfigError> {
        // The environment is for the platform's front only.
        let base = config::Config::read(json, |_| None)?;
        let document = json::parse(json)?;
        let entries = document
            .get("buckets")
            .and_then(|buckets| buckets.as_object());
        let entries = entries.ok_or_else(|| JsonError::wrong_kind("buckets", Kind::Object))?;
        let mut buckets = HashMap::new();
        for (name, entry) in entries {
            let bucket = Bucket::read(entry, &base);
            let in_bucket = |source| ConfigError::Bucket {
                name: name.clone(),
                source,
            };
            buckets.insert(name.clone(), bucket.map_err(in_bucket)?);
        }
        Ok(Config { base, buckets })
    }
}

impl Bucket {
    fn read(entry: &Value, base: &config::Config) -> Result<Bucket, BucketError> {
        let volume = string(entry.get("volume"), "volume")?;
        let read = index_of(entry, "read", &base.classes)?;
        let write = index_of(entry, "write", &base.classes)?;
        // A write repeated after an uncertain outcome could store twice; the settings must not
        // allow it.
        if base.settings.classes[write].semantics == Semantics::Idempotent {
            return Err(BucketError::RepeatableWrites);
        }
        if base.settings.classes[read].semantics != Semantics::Idempotent {
            return Err(BucketError::UnrepeatableReads);
        }
        Ok(Bucket {
            volume: parse_hex("volume", volume)?,
            plan: index_of(entry, "plan", &base.plans)?,
            read_class: read,
            write_class: write,
            unit_bytes: positive_number_or(entry, "unit_bytes", DEFAULT_UNIT_BYTES)?,
            front_count: positive_number_or(entry, "hosts", DEFAULT_FRONTS)? as u32,
        })
    }
}

/// The position in `names` of the name under `key`.
fn index_of(entry: &Value, key: &str, names: &[String]) -> Result<usize, BucketError> {
    let name = string(entry.get(key), key)?;
    let position = names.iter().position(|other| other == name);
    position.ok_or_else(|| BucketError::NotInSettings {
        key: key.to_owned(),
        name: name.to_owned(),
    })
}
