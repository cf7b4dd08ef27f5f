//! The configuration of a front: one JSON file, and environment variables that override some of its
//! keys.

pub mod error;
pub mod json;
pub mod reload;
pub mod settings;

use std::net::SocketAddr;
use std::time::Duration;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::Settings;

use crate::cluster::config::ClusterConfig;
use crate::config::error::ConfigError;
use crate::config::json::{
    array, names, number, object, parse_address, parse_hex, positive_number_or, string,
};
use crate::config::json::{JsonError, Kind};
use crate::telemetry::trace;

/// The largest configuration file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 8 << 20;
/// The environment variable with the path of the configuration file.
const FILE_VARIABLE: &str = "BALANCER_CONFIG";
/// The environment variable with the address of discovery.
const DISCOVERY_VARIABLE: &str = "BALANCER_DISCOVERY";
/// The name of a front without one in file and environment.
const DEFAULT_NAME: &str = "front";
/// File descriptors that a process may open, unless the file has a limit.
const DEFAULT_DESCRIPTORS: f64 = 1024.0;
/// Memory that a process may use, in MiB, unless the file has a limit.
const DEFAULT_MEMORY_MIB: f64 = 192.0;
/// Bytes per MiB, the unit of the file's limit on memory.
const BYTES_PER_MIB: usize = 1 << 20;
/// The longest time for a connection to a chunk server to open, in nanoseconds, unless the settings
/// have it.
const DEFAULT_DIAL_TIMEOUT_NANOS: f64 = 250e6;
/// The time after which chunk servers close an idle connection, in nanoseconds, unless the settings
/// have it.
const DEFAULT_IDLE_CLOSE_NANOS: f64 = 30e9;

/// The configuration of a front.
pub struct Config {
    /// The front's name, the same after a restart.
    pub name: String,
    /// The address on which the front accepts clients.
    pub listen: SocketAddr,
    /// The address of the operators' console, where there is one.
    pub console: Option<SocketAddr>,
    /// The address of discovery; without it the front keeps to the last known endpoint list.
    pub discovery: Option<SocketAddr>,
    /// The front's peers, where the file names any.
    pub peers: Option<ClusterConfig>,
    /// The seed of the front's random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The last known endpoint list, in discovery's format.
    pub known_endpoints: Value,
    /// The scheduler's settings.
    pub settings: Settings,
    /// The settings as they stand in the file, to compare those of a later file with.
    pub raw_settings: Value,
    /// The names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Whether each class writes, where the settings have that.
    pub class_writes: Vec<Option<bool>>,
    /// The names of the plans, in the order of the settings.
    pub plans: Vec<String>,
    /// The names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// The number of shards; they count from 0.
    pub shards: u32,
    /// The longest time for a connection to a chunk server to open.
    pub dial_timeout: Duration,
    /// The time after which chunk servers close an idle connection.
    pub idle_close: Duration,
}

impl Config {
    /// Reads the file that `BALANCER_CONFIG` names. Other variables override keys of the file.
    ///
    /// # Errors
    /// The file cannot be read, or a value in it is missing or invalid.
    pub fn from_env() -> Result<Config, ConfigError> {
        let file = ConfigFile::from_env()?;
        Config::read(&file.content, environment_variable).map_err(|error| error.in_file(file.path))
    }

    /// Reads the file again after a SIGHUP. The environment is as old as the process, so for the
    /// address of discovery the file now takes precedence over it.
    ///
    /// # Errors
    /// The file cannot be read, or a value in it is missing or invalid.
    pub fn reread_from_env() -> Result<Config, ConfigError> {
        let file = ConfigFile::from_env()?;
        let variable = |name: &str| {
            (name != DISCOVERY_VARIABLE)
                .then(|| environment_variable(name))
                .flatten()
        };
        let read = Config::read(&file.content, variable);
        let mut config = read.map_err(|error| error.in_file(&file.path))?;
        let document = json::parse(&file.content).map_err(ConfigError::from);
        let document = document.map_err(|error| error.in_file(&file.path))?;
        if document.get("discovery").is_none() {
            let address = environment_variable(DISCOVERY_VARIABLE);
            config.discovery = address
                .map(|address| parse_address("discovery", &address))
                .transpose()?;
        }
        Ok(config)
    }

    /// Reads a configuration from its JSON text. `variable` looks up environment variables.
    ///
    /// # Errors
    /// The first value that is missing or invalid.
    pub fn read(
        json: &[u8],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let document = json::parse(json)?;
        trace_start(&document);
        let raw_settings = object(&document, "settings")?;
        let family = required_part(raw_settings, "FamilyInfo")?;
        let limits = required_part(raw_settings, "Limits")?;
        let seed = string(document.get("seed"), "seed")?;
        let name = front_name(&document, &variable);
        let peers = read_peers(json, &document, &name)?;
        let addresses = Addresses {
            document: &document,
            variable,
        };
        Ok(Config {
            peers,
            name,
            listen: addresses.required("BALANCER_LISTEN", "listen")?,
            console: addresses.optional("BALANCER_CONSOLE", "console")?,
            discovery: addresses.optional(DISCOVERY_VARIABLE, "discovery")?,
            seed: parse_hex("seed", seed)?,
            max_descriptors: process_limit(&document, "sockets", DEFAULT_DESCRIPTORS)?,
            memory_bytes: process_limit(&document, "memory_mb", DEFAULT_MEMORY_MIB)?
                .saturating_mul(BYTES_PER_MIB),
            known_endpoints: document
                .get("known")
                .cloned()
                .ok_or_else(|| JsonError::missing("known"))?,
            settings: settings::read(raw_settings)?,
            raw_settings: raw_settings.clone(),
            classes: names(raw_settings, "Services")?,
            class_writes: read_writes(raw_settings, family)?,
            plans: names(raw_settings, "Grades")?,
            zones: read_zones(raw_settings)?,
            shards: number(family, "Shards")? as u32,
            dial_timeout: read_timeout(limits, "DialTimeout", DEFAULT_DIAL_TIMEOUT_NANOS)?,
            idle_close: read_timeout(limits, "IdleClose", DEFAULT_IDLE_CLOSE_NANOS)?,
        })
    }
}

/// The value of an environment variable, where it is set to valid Unicode.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Addresses from the environment or, where it does not set them, from the file.
struct Addresses<'a, F> {
    document: &'a Value,
    variable: F,
}

impl<F: Fn(&str) -> Option<String>> Addresses<'_, F> {
    /// The address in `variable` or under `key`, one of which must have it.
    fn required(&self, variable: &str, key: &str) -> Result<SocketAddr, JsonError> {
        match (self.variable)(variable) {
            Some(address) => parse_address(key, &address),
            None => parse_address(key, string(self.document.get(key), key)?),
        }
    }

    /// The address in `variable` or under `key`, where either has it.
    fn optional(&self, variable: &str, key: &str) -> Result<Option<SocketAddr>, JsonError> {
        match ((self.variable)(variable), self.document.get(key)) {
            (None, None) => Ok(None),
            _ => self.required(variable, key).map(Some),
        }
    }
}

/// Writes the settings to the decision trace, where that is on.
fn trace_start(document: &Value) {
    if trace::is_enabled() {
        trace::start(document.get("settings"));
    }
}

/// A part of the settings that must be there. [`settings::read`] checks later that it is an object.
fn required_part<'a>(settings: &'a Value, key: &str) -> Result<&'a Value, JsonError> {
    settings
        .get(key)
        .ok_or_else(|| JsonError::wrong_kind(key, Kind::Object))
}

/// The name of the front.
fn front_name(document: &Value, variable: impl Fn(&str) -> Option<String>) -> String {
    let in_file = || {
        document
            .get("name")
            .and_then(|name| name.as_str())
            .map(str::to_owned)
    };
    variable("BALANCER_NAME")
        .or_else(in_file)
        .unwrap_or_else(|| DEFAULT_NAME.to_owned())
}

/// The section on the front's peers, where the file has one.
fn read_peers(
    json: &[u8],
    document: &Value,
    name: &str,
) -> Result<Option<ClusterConfig>, ConfigError> {
    let Some(section) = document.get("peers") else {
        return Ok(None);
    };
    ClusterConfig::read(section, name)
        .map(Some)
        .map_err(|reason| {
            // Every message names the path of its key in quotes.
            let message = reason.to_string();
            let path = message.split('\'').nth(1).unwrap_or_default();
            ConfigError::Peers {
                line: line_of(json, path),
                reason,
            }
        })
}

/// The line, counted from 1, to which a path such as `peers.roster[1].name` leads; the last part
/// found where a part is missing.
fn line_of(json: &[u8], path: &str) -> usize {
    let text = String::from_utf8_lossy(json);
    let mut position = 0;
    for part in path.split('.') {
        let (key, index) = part
            .trim_end_matches(']')
            .split_once('[')
            .unwrap_or((part, ""));
        let Some(found) = text[position..].find(&format!("\"{key}\"")) else {
            break;
        };
        position += found;
        // Entries of a list are objects, each of which opens with a brace.
        for _ in 0..index.parse::<usize>().map_or(0, |index| index + 1) {
            position += text[position..].find('{').map_or(0, |brace| brace + 1);
        }
    }
    text[..position].matches('\n').count() + 1
}

/// A limit of the process, under `limits` in the file.
fn process_limit(document: &Value, key: &str, default: f64) -> Result<usize, JsonError> {
    match document.get("limits") {
        Some(limits) => Ok(positive_number_or(limits, key, default)? as usize),
        None => Ok(default as usize),
    }
}

/// Whether each class writes, where the settings have that.
fn read_writes(settings: &Value, family: &Value) -> Result<Vec<Option<bool>>, JsonError> {
    let writes = family.get("ChangesData").and_then(Value::as_array);
    let classes = array(settings, "Services")?.len();
    let of_class = |index| {
        writes
            .and_then(|writes| writes.get(index))
            .and_then(Value::as_bool)
    };
    Ok((0..classes).map(of_class).collect())
}

/// The names of the zones, in the order of the settings.
fn read_zones(settings: &Value) -> Result<Vec<String>, JsonError> {
    let zones = array(settings, "FailureDomains")?.iter();
    zones
        .map(|zone| string(Some(zone), "FailureDomains").map(str::to_owned))
        .collect()
}

/// A timeout under `limits` in the settings, or its default, which is in nanoseconds too.
fn read_timeout(limits: &Value, key: &str, default_nanos: f64) -> Result<Duration, JsonError> {
    let nanos = positive_number_or(limits, key, default_nanos)?;
    Ok(Duration::from_nanos(nanos as u64))
}

/// A configuration file as read.
struct ConfigFile {
    path: String,
    content: Vec<u8>,
}

impl ConfigFile {
    /// Reads the file that `BALANCER_CONFIG` names, unless it is larger than any valid
    /// configuration.
    fn from_env() -> Result<ConfigFile, ConfigError> {
        let path = environment_variable(FILE_VARIABLE).ok_or(ConfigError::FileNotNamed)?;
        let unreadable = |source| ConfigError::Unreadable {
            path: path.clone(),
            source,
        };
        let size = std::fs::metadata(&path).map_err(unreadable)?.len();
        if size > MAX_FILE_BYTES {
            return Err(ConfigError::TooLarge {
                path,
                size,
                limit: MAX_FILE_BYTES,
            });
        }
        let content = std::fs::read(&path).map_err(unreadable)?;
        Ok(ConfigFile { path, content })
    }
}
