//! The configuration of a front, read from one JSON file and from environment variables that
//! override some of its keys.

pub mod error;
mod file;
pub mod reload;
pub mod settings;
pub mod values;

use std::net::SocketAddr;
use std::time::Duration;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::Settings;

use crate::cluster::config::ClusterConfig;
use crate::config::error::ConfigError;
use crate::config::file::{FrontFile, NamedEntry, SiteSettings};
use crate::config::values::{positive_or, Address, Deferred};
use crate::control::json_object::{self, JsonObjectError};
use crate::telemetry::trace;

/// The maximum size of a configuration file, in bytes.
const MAX_FILE_BYTES: u64 = 8 << 20;
/// The environment variable that holds the path of the configuration file.
const FILE_VARIABLE: &str = "BALANCER_CONFIG";
/// The environment variable that overrides the name of the front.
const NAME_VARIABLE: &str = "BALANCER_NAME";
/// The environment variable that overrides the address for clients.
const LISTEN_VARIABLE: &str = "BALANCER_LISTEN";
/// The environment variable that overrides the address of the console.
const CONSOLE_VARIABLE: &str = "BALANCER_CONSOLE";
/// The environment variable that overrides the address of discovery.
const DISCOVERY_VARIABLE: &str = "BALANCER_DISCOVERY";
/// The name of a front that neither the file nor the environment names.
const DEFAULT_NAME: &str = "front";
/// The number of file descriptors that a process may have open, unless the file has a limit.
const DEFAULT_DESCRIPTORS: f64 = 1024.0;
/// The memory that a process may use, in MiB, unless the file has a limit.
const DEFAULT_MEMORY_MIB: f64 = 192.0;
/// Bytes per MiB, the unit of the memory limit in the file.
const BYTES_PER_MIB: usize = 1 << 20;
/// The maximum time to open a connection to a chunk server, in nanoseconds, unless the settings
/// contain one.
const DEFAULT_DIAL_TIMEOUT_NANOS: f64 = 250e6;
/// The time after which chunk servers close an idle connection, in nanoseconds, unless the settings
/// contain one.
const DEFAULT_IDLE_CLOSE_NANOS: f64 = 30e9;

/// The validated configuration of a front.
pub struct Config {
    /// The front's name, which stays the same after a restart.
    pub name: String,
    /// The address on which the front accepts clients.
    pub listen: SocketAddr,
    /// The address of the operators' console; `None` if there is none.
    pub console: Option<SocketAddr>,
    /// The address of discovery; without it the front keeps using the last known endpoint list.
    pub discovery: Option<SocketAddr>,
    /// The configuration of the front's peers; `None` if the file has no `peers` section.
    pub peers: Option<ClusterConfig>,
    /// The seed of the front's random numbers.
    pub seed: u64,
    /// The number of file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The last known endpoint list, in the format of discovery.
    pub known_endpoints: Value,
    /// The scheduler's settings.
    pub settings: Settings,
    /// The `settings` object of the file, with which a reload compares the new one.
    pub raw_settings: Value,
    /// The names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Whether the requests of each class write; `None` if the settings do not say.
    pub class_writes: Vec<Option<bool>>,
    /// The names of the plans, in the order of the settings.
    pub plans: Vec<String>,
    /// The names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// The number of shards, which are numbered from 0.
    pub shards: u32,
    /// The maximum time to open a connection to a chunk server.
    pub dial_timeout: Duration,
    /// The time after which chunk servers close an idle connection.
    pub idle_close: Duration,
}

impl Config {
    /// Reads the file that `BALANCER_CONFIG` names. Other variables override keys of the file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or if a value is missing or invalid.
    pub fn from_env() -> Result<Config, ConfigError> {
        let file = ConfigFile::from_env()?;
        Config::read(&file.content, environment_variable).map_err(|error| error.in_file(file.path))
    }

    /// Reads the file again after a SIGHUP. The environment dates from the start of the process, so
    /// here the file takes precedence over it for the address of discovery.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or if a value is missing or invalid.
    pub fn reread_from_env() -> Result<Config, ConfigError> {
        let file = ConfigFile::from_env()?;
        let variable = |name: &str| {
            (name != DISCOVERY_VARIABLE)
                .then(|| environment_variable(name))
                .flatten()
        };
        let mut config =
            Config::read(&file.content, variable).map_err(|error| error.in_file(&file.path))?;
        if config.discovery.is_none() {
            config.discovery =
                overriding_address(environment_variable(DISCOVERY_VARIABLE), "discovery")?;
        }
        Ok(config)
    }

    /// Reads a configuration from its JSON text. `variable` looks up environment variables.
    ///
    /// # Errors
    /// Returns an error for the first value that is missing or invalid.
    pub fn read(
        json: &[u8],
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        // The parser decodes strings in place, so it needs a mutable copy.
        let document =
            simd_json::to_owned_value(&mut json.to_vec()).map_err(JsonObjectError::Syntax)?;
        trace_start(&document);
        let file: FrontFile = json_object::decode(document)?;
        let name = variable(NAME_VARIABLE)
            .or(file.name)
            .unwrap_or_else(|| DEFAULT_NAME.to_owned());
        let peers = read_peers(json, file.peers.as_ref(), &name)?;
        let listen = overriding_address(variable(LISTEN_VARIABLE), "listen")?;
        let console = overriding_address(variable(CONSOLE_VARIABLE), "console")?;
        let discovery = overriding_address(variable(DISCOVERY_VARIABLE), "discovery")?;
        let in_settings = |error: JsonObjectError| error.at("settings");
        let settings = settings::read(&file.settings).map_err(in_settings)?;
        let site: SiteSettings = json_object::decode(file.settings.clone()).map_err(in_settings)?;
        let class_count = site.classes.len();
        Ok(Config {
            name,
            listen: match listen {
                Some(address) => address,
                None => file.listen.required("listen")?.0,
            },
            console: optional_address(console, file.console, "console")?,
            discovery: optional_address(discovery, file.discovery, "discovery")?,
            peers,
            seed: file.seed.0,
            max_descriptors: positive_or(file.limits.max_descriptors, DEFAULT_DESCRIPTORS) as usize,
            memory_bytes: (positive_or(file.limits.memory_mb, DEFAULT_MEMORY_MIB) as usize)
                .saturating_mul(BYTES_PER_MIB),
            known_endpoints: file.known_endpoints,
            settings,
            raw_settings: file.settings,
            classes: names(site.classes),
            class_writes: (0..class_count)
                .map(|class| site.family.writes.of(class))
                .collect(),
            plans: names(site.plans),
            zones: site.zones.into_iter().map(|zone| zone.0).collect(),
            shards: site.family.shards as u32,
            dial_timeout: timeout(site.limits.dial_timeout, DEFAULT_DIAL_TIMEOUT_NANOS),
            idle_close: timeout(site.limits.idle_close, DEFAULT_IDLE_CLOSE_NANOS),
        })
    }
}

/// Returns the value of an environment variable; `None` if it is unset or not valid Unicode.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Parses the value of a variable that overrides the address under `key`; `None` if it is unset.
fn overriding_address(
    variable: Option<String>,
    key: &str,
) -> Result<Option<SocketAddr>, JsonObjectError> {
    let Some(text) = variable else {
        return Ok(None);
    };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(JsonObjectError::invalid(
            key,
            format!("{text} is not an IP address with a port"),
        )),
    }
}

/// Returns the overriding address or, without one, the address under `key` of the file.
fn optional_address(
    overriding: Option<SocketAddr>,
    in_file: Deferred<Address>,
    key: &str,
) -> Result<Option<SocketAddr>, JsonObjectError> {
    if overriding.is_some() || in_file.is_missing() {
        return Ok(overriding);
    }
    in_file.required(key).map(|address| Some(address.0))
}

/// Writes the settings to the decision trace, if it is enabled.
fn trace_start(document: &Value) {
    if trace::is_enabled() {
        trace::start(document.get("settings"));
    }
}

/// Reads the section on the front's peers; `None` if the file has none.
fn read_peers(
    json: &[u8],
    section: Option<&Value>,
    name: &str,
) -> Result<Option<ClusterConfig>, ConfigError> {
    let Some(section) = section else {
        return Ok(None);
    };
    ClusterConfig::read(section, name)
        .map(Some)
        .map_err(|reason| {
            // Every message contains the path of its key in single quotes.
            let message = reason.to_string();
            let path = message.split('\'').nth(1).unwrap_or_default();
            ConfigError::Peers {
                line: line_of(json, path),
                reason,
            }
        })
}

/// Returns the line, counted from 1, of the key at a path such as `peers.roster[1].name`. If a part
/// is missing, it is the line of the last part that was found.
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
        // Entries of a list are objects, each of which starts with a brace.
        for _ in 0..index.parse::<usize>().map_or(0, |index| index + 1) {
            position += text[position..].find('{').map_or(0, |brace| brace + 1);
        }
    }
    text[..position].matches('\n').count() + 1
}

/// Returns a timeout of the file, or its default if it is 0, negative or missing. Both are in
/// nanoseconds.
fn timeout(nanos: f64, default_nanos: f64) -> Duration {
    Duration::from_nanos(positive_or(nanos, default_nanos) as u64)
}

/// Returns the names of entries in their order.
fn names(entries: Vec<NamedEntry>) -> Vec<String> {
    entries.into_iter().map(|entry| entry.name).collect()
}

/// The path and the unparsed content of a configuration file.
struct ConfigFile {
    path: String,
    content: Vec<u8>,
}

impl ConfigFile {
    /// Reads the file that `BALANCER_CONFIG` names, unless it is larger than [`MAX_FILE_BYTES`].
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
