//! The configuration of an object front: the keys common to all fronts, and the buckets it serves.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;

use serde::Deserialize;
use simd_json::OwnedValue as Value;
use tulipbridge_core::Semantics;

use crate::config;
use crate::config::values::{number, positive_or, string, HexNumber};
use crate::control::json_object::{self, JsonObjectError};

/// The default size of a unit of work, in bytes, for buckets that set none.
const DEFAULT_UNIT_BYTES: f64 = 16.0 * 1024.0;
/// The default number of fronts through which a bucket's requests arrive.
const DEFAULT_FRONTS: f64 = 1.0;

/// An error in reading the configuration of an object front.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error that the operating system reports.
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
    /// The part that is common to all fronts is invalid.
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

/// An error in the declaration of a bucket.
#[derive(Debug, thiserror::Error)]
pub enum BucketError {
    /// A value is missing or invalid.
    #[error(transparent)]
    Value(#[from] JsonObjectError),
    /// The settings contain no class or plan of this name.
    #[error("'{key}' {name} is not in the settings")]
    NotInSettings {
        /// The key of the bucket whose value is the name.
        key: String,
        /// The name of the class or plan.
        name: String,
    },
    /// The class for writes is idempotent: a repeated write could store an object twice.
    #[error("'write': must not name an idempotent class")]
    RepeatableWrites,
    /// The class for reads is not idempotent, so that reads could not be repeated.
    #[error("'read': must name an idempotent class")]
    UnrepeatableReads,
}

/// The configuration of an object front.
pub struct Config {
    /// The configuration common to all fronts; `listen` is the address of the object API.
    pub base: config::Config,
    /// The buckets by name.
    pub buckets: HashMap<String, Bucket>,
}

/// A bucket, with the parameters by which requests to it are scheduled.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// The id of the volume to which the bucket's requests are counted.
    pub volume: u64,
    /// The index of its plan in the settings.
    pub plan: usize,
    /// The index of the class for requests that may be repeated: reads, and deletions, which are
    /// idempotent.
    pub read_class: usize,
    /// The index of the class for requests that must not be executed twice.
    pub write_class: usize,
    /// The size of a unit of work, in bytes.
    pub unit_bytes: f64,
    /// The number of fronts through which its requests arrive.
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
        // Environment variables override the configuration of the platform's front only.
        let base = config::Config::read(json, |_| None)?;
        // The parser decodes strings in place, so it needs a writable copy.
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

/// The part of the configuration file that is specific to object fronts.
#[derive(Deserialize)]
struct ObjectFile {
    /// The buckets by name; each value is decoded as a [`BucketEntry`].
    buckets: BTreeMap<String, Value>,
}

/// A bucket as it is declared in the configuration file.
#[derive(Deserialize)]
struct BucketEntry {
    volume: HexNumber,
    /// The name of its plan.
    #[serde(deserialize_with = "string")]
    plan: String,
    /// The name of the class for requests that may be repeated.
    #[serde(rename = "read", deserialize_with = "string")]
    read_class: String,
    /// The name of the class for requests that must not be executed twice.
    #[serde(rename = "write", deserialize_with = "string")]
    write_class: String,
    /// The size of a unit of work, in bytes; 0 or less selects the default.
    #[serde(default, deserialize_with = "number")]
    unit_bytes: f64,
    /// The number of fronts through which its requests arrive; 0 or less selects the default.
    #[serde(rename = "hosts", default, deserialize_with = "number")]
    front_count: f64,
}

impl Bucket {
    /// Decodes a bucket, whose classes and plan must be among those of `base`.
    fn read(entry: Value, base: &config::Config) -> Result<Bucket, BucketError> {
        let entry: BucketEntry = json_object::decode(entry)?;
        let read_class = index_of(&entry.read_class, "read", &base.classes)?;
        let write_class = index_of(&entry.write_class, "write", &base.classes)?;
        // A write repeated after an unknown outcome could store an object twice, so its class must
        // not allow it.
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

/// Returns the index in `names` of `name`, which is the value of the bucket's key `key`.
fn index_of(name: &str, key: &str, names: &[String]) -> Result<usize, BucketError> {
    let position = names.iter().position(|other| other == name);
    position.ok_or_else(|| BucketError::NotInSettings {
        key: key.to_owned(),
        name: name.to_owned(),
    })
}
