//! The configuration of an object front: that of any front, and the buckets it serves.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;

use serde::Deserialize;
use simd_json::OwnedValue as Value;
use tulipbridge_core::Semantics;

use crate::config;
use crate::config::values::{number, positive_or, string, HexNumber};
use crate::control::json_object::{self, JsonObjectError};

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
    Value(#[from] JsonObjectError),
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
    Value(#[from] JsonObjectError),
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
        // The parser decodes strings in place, so it needs a copy to write to.
        let file: ObjectFile = json_object::parse(&mut json.to_vec())?;
        let mut buckets = HashMap::new();
        for (name, entry) in file.buckets {
            match Bucket::read(entry, &base) {
                Ok(bucket) => buckets.insert(name, bucket),
                Err(source) => return Err(ConfigError::Bucket { name, source }),
            };
        }
        Ok(Config { base, buckets })
    }
}

/// The part of the file that only an object front has.
#[derive(Deserialize)]
struct ObjectFile {
    /// The buckets by their names; see [`BucketEntry`].
    buckets: BTreeMap<String, Value>,
}

/// A bucket as it is written in the file.
#[derive(Deserialize)]
struct BucketEntry {
    volume: HexNumber,
    /// The name of its plan.
    #[serde(deserialize_with = "string")]
    plan: String,
    /// The name of the class for requests that may be repeated.
    #[serde(rename = "read", deserialize_with = "string")]
    read_class: String,
    /// The name of the class for requests that must not run twice.
    #[serde(rename = "write", deserialize_with = "string")]
    write_class: String,
    /// The size of a unit of work, in bytes; 0 or less counts as missing.
    #[serde(default, deserialize_with = "number")]
    unit_bytes: f64,
    /// The number of fronts through which its requests come; 0 or less counts as missing.
    #[serde(rename = "hosts", default, deserialize_with = "number")]
    front_count: f64,
}

impl Bucket {
    /// Reads a bucket whose class and plan are those of `base`.
    fn read(entry: Value, base: &config::Config) -> Result<Bucket, BucketError> {
        let entry: BucketEntry = json_object::decode(entry)?;
        let read_class = index_of(&entry.read_class, "read", &base.classes)?;
        let write_class = index_of(&entry.write_class, "write", &base.classes)?;
        // A write repeated after an uncertain outcome could store twice; the settings must not
        // allow it.
        if base.settings.classes[write_class].semantics == Semantics::Idempotent {
            return Err(BucketError::RepeatableWrites);
        }
        if base.settings.classes[read_class].semantics != Semantics::Idempotent {
            return Err(BucketError::UnrepeatableReads);
        }
        Ok(Bucket {
            volume: entry.volume.0,
            plan: index_of(&entry.plan, "plan", &base.plans)?,
            read_class,
            write_class,
            unit_bytes: positive_or(entry.unit_bytes, DEFAULT_UNIT_BYTES),
            front_count: positive_or(entry.front_count, DEFAULT_FRONTS) as u32,
        })
    }
}

/// The position in `names` of the `name` that was found under `key`.
fn index_of(name: &str, key: &str, names: &[String]) -> Result<usize, BucketError> {
    let position = names.iter().position(|other| other == name);
    position.ok_or_else(|| BucketError::NotInSettings {
        key: key.to_owned(),
        name: name.to_owned(),
    })
}
