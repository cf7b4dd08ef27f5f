//! Configuration of the object front: that of any front, and the buckets that it serves.

use std::collections::HashMap;
use std::path::Path;

use simd_json::prelude::*;
use tulipbridge_core::Semantics;

use crate::config;
use crate::config::settings::{num, text, Res};

/// Bytes of a unit where a bucket does not configure them.
const DEFAULT_UNIT_BYTES: f64 = 16.0 * 1024.0;

/// Configuration of an object front.
pub struct Config {
    /// Configuration of any front; `listen` is the address of the object API.
    pub base: config::Config,
    /// Buckets by name.
    pub buckets: HashMap<String, Bucket>,
}

/// How the requests to a bucket are presented to the decision module.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Volume id.
    pub volume: u64,
    /// Index of its plan in the settings.
    pub plan: usize,
    /// Index of the class of idempotent requests: reads, and deletions.
    pub read_class: usize,
    /// Index of the class of requests that must not be executed twice.
    pub write_class: usize,
    /// Bytes that count as one unit.
    pub unit_bytes: f64,
    /// Number of fronts that requests to the bucket come through.
    pub front_count: u32,
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    /// A sentence that names the key that is missing or invalid.
    pub fn from_file(file: &Path) -> Res<Config> {
        let bytes = std::fs::read(file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
        Config::read(&bytes).map_err(|why| format!("{}: {why}", file.display()))
    }

    /// Reads a configuration.
    ///
    /// # Errors
    /// A sentence that names the key that is missing or invalid.
    pub fn read(json: &[u8]) -> Res<Config> {
        let base = config::Config::read(&mut json.to_vec(), |_| None)?;
        let value = simd_json::to_owned_value(&mut json.to_vec()).map_err(|e| format!("not JSON: {e}"))?;
        let entries =
            value.get("buckets").and_then(|b| b.as_object()).ok_or("'buckets' must be an object")?;
        let mut buckets = HashMap::new();
        for (name, bucket) in entries.iter() {
            let read = Bucket::read(bucket, &base).map_err(|why| format!("bucket {name}: {why}"))?;
            buckets.insert(name.clone(), read);
        }
        Ok(Config { base, buckets })
    }
}

impl Bucket {
    fn read(value: &simd_json::OwnedValue, base: &config::Config) -> Res<Bucket> {
        let index_of = |names: &[String], key: &str| {
            let name = text(value.get(key), key)?;
            let found = names.iter().position(|n| n == name);
            found.ok_or_else(|| format!("'{key}' {name} is not in the settings"))
        };
        let volume = text(value.get("volume"), "volume")?;
        let read_class = index_of(&base.classes, "read")?;
        let write_class = index_of(&base.classes, "write")?;
        // A write that is retried while its outcome is unknown could be stored twice.
        if base.settings.classes[write_class].semantics == Semantics::Idempotent {
            return Err("the class in 'write' may be repeated, and writes must not be".to_owned());
        }
        if base.settings.classes[read_class].semantics != Semantics::Idempotent {
            return Err("the class in 'read' must be one that may be repeated".to_owned());
        }
        let positive_or = |value: f64, default: f64| if value > 0.0 { value } else { default };
        Ok(Bucket {
            volume: u64::from_str_radix(volume, 16)
                .map_err(|_| format!("'volume' {volume} is not in hex digits"))?,
            plan: index_of(&base.plans, "plan")?,
            read_class,
            write_class,
            unit_bytes: positive_or(num(value, "unit_bytes")?, DEFAULT_UNIT_BYTES),
            front_count: positive_or(num(value, "hosts")?, 1.0) as u32,
        })
    }
}
