//! The object front's file: a front's configuration and the buckets it serves.

use std::collections::HashMap;
use std::path::Path;

use simd_json::prelude::*;
use tulipbridge_core::Semantics;

use crate::config;
use crate::config::settings::{num, text, Res};

/// Bytes of a unit where a bucket does not say.
const UNIT_BYTES: f64 = 16.0 * 1024.0;

/// What an object front is told.
pub struct Config {
    /// What any front is told; `listen` is this front's own.
    pub base: config::Config,
    /// The buckets by name.
    pub buckets: HashMap<String, Bucket>,
}

/// How a bucket's requests stand towards the module.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Its volume.
    pub volume: u64,
    /// Its plan.
    pub plan: usize,
    /// Class of what may be repeated: reads, and deletions, which do no more the second time.
    pub read: usize,
    /// Class of what must not run twice.
    pub write: usize,
    /// Bytes that count as one unit.
    pub unit_bytes: f64,
    /// Through how many fronts it works.
    pub hosts: u32,
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    /// A plain sentence on what is missing or wrong.
    pub fn from_file(file: &Path) -> Res<Config> {
        let bytes = std::fs::read(file).map_err(|e| format!("cannot read {}: {e}", file.display()))?;
        Config::read(&bytes).map_err(|why| format!("{}: {why}", file.display()))
    }

    /// Reads a configuration.
    ///
    /// # Errors
    /// A plain sentence on what is missing or wrong.
    pub fn read(json: &[u8]) -> Res<Config> {
        let base = config::Config::read(&mut json.to_vec(), |_| None)?;
        let value = simd_json::to_owned_value(&mut json.to_vec()).map_err(|e| format!("not JSON: {e}"))?;
        let told = value.get("buckets").and_then(|b| b.as_object()).ok_or("'buckets' must be an object")?;
        let mut buckets = HashMap::new();
        for (name, bucket) in told.iter() {
            let read = Bucket::read(bucket, &base).map_err(|why| format!("bucket {name}: {why}"))?;
            buckets.insert(name.clone(), read);
        }
        Ok(Config { base, buckets })
    }
}

impl Bucket {
    fn read(value: &simd_json::OwnedValue, base: &config::Config) -> Res<Bucket> {
        let place = |names: &[String], key: &str| {
            let name = text(value.get(key), key)?;
            let found = names.iter().position(|n| n == name);
            found.ok_or_else(|| format!("'{key}' {name} is not in the settings"))
        };
        let volume = text(value.get("volume"), "volume")?;
        let (read, write) = (place(&base.classes, "read")?, place(&base.classes, "write")?);
        // A write that is repeated on a doubt could store twice; the settings must not allow it.
        if base.settings.classes[write].semantics == Semantics::Idempotent {
            return Err("the class in 'write' may be repeated, and writes must not be".to_owned());
        }
        if base.settings.classes[read].semantics != Semantics::Idempotent {
            return Err("the class in 'read' must be one that may be repeated".to_owned());
        }
        let or = |told: f64, usual: f64| if told > 0.0 { told } else { usual };
        Ok(Bucket {
            volume: u64::from_str_radix(volume, 16)
                .map_err(|_| format!("'volume' {volume} is not in hex digits"))?,
            plan: place(&base.plans, "plan")?,
            read,
            write,
            unit_bytes: or(num(value, "unit_bytes")?, UNIT_BYTES),
            hosts: or(num(value, "hosts")?, 1.0) as u32,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = include_str!("../../deploy/object.json");

    #[test]
    fn the_file_under_deploy_holds() {
        let config = Config::read(FILE.as_bytes()).expect("it holds");
        assert_eq!(config.buckets["formularios"].volume, 0x0003_b4d6_0021);
        assert_eq!(config.base.discovery, None);
    }

    #[test]
    fn the_file_with_peers_holds_and_what_is_wrong_in_it_is_named_by_line_and_path() {
        let file = include_str!("../../deploy/object-peers.json");
        let config = Config::read(file.as_bytes()).expect("it holds");
        assert_eq!(config.base.peers.map(|p| (p.limits_config.me, p.limits_config.fronts)), Some((0, 3)));
        for (from, to, said) in [
            ("127.0.0.1:7402", "nowhere", "line 11: 'peers.roster[1].address' nowhere is no address"),
            (
                "\"object-1\", \"address\"",
                "\"object-9\", \"address\"",
                "line 9: 'peers.roster' does not name this front, object-1",
            ),
            ("\"floor\"", "\"flor\"", "line 8: 'peers.flor' is not known"),
        ] {
            let told = Config::read(file.replacen(from, to, 1).as_bytes()).err().unwrap_or_default();
            assert!(told.starts_with(said), "{told}");
        }
    }

    #[test]
    fn a_write_that_may_be_repeated_is_refused() {
        for (from, to) in [
            ("\"write\": \"form-submit\"", "\"write\": \"form-read\""),
            ("\"plan\": \"normal\"", "\"plan\": 3"),
        ] {
            let told = Config::read(FILE.replacen(from, to, 1).as_bytes());
            assert!(told.err().is_some_and(|why| why.starts_with("bucket formularios: ")), "{to}");
        }
    }
}
