//! What a front is told at its start: environment and JSON.

pub mod reload;
pub mod settings;

use std::net::SocketAddr;
use std::time::Duration;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::Settings;

use crate::cluster::peers;
use crate::config::settings::{names, num, settings, text, Res};

/// The largest configuration file that is read; a larger one is turned down.
const MOST_FILE: u64 = 8 << 20;

/// A front's configuration.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The operators' console, where there is one.
    pub console: Option<SocketAddr>,
    /// Where discovery is; without it the list as last held is all there is.
    pub discovery: Option<SocketAddr>,
    /// The front's peers, where the operators name any.
    pub peers: Option<peers::Config>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may use.
    pub memory: usize,
    /// The node list as last held, in discovery's form.
    pub known: Value,
    /// The settings, for the module.
    pub settings: Settings,
    /// The settings as they came, to hold a later file against.
    pub raw_settings: Value,
    /// Names of the classes, in the settings' order.
    pub classes: Vec<String>,
    /// Whether each class writes, where the settings say.
    pub writes: Vec<Option<bool>>,
    /// Names of the plans.
    pub plans: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// How many shards there are, counted from 0.
    pub shards: u32,
    /// Longest time for a connection to come up.
    pub dial_timeout: Duration,
    /// When servers close an idle connection.
    pub idle_close: Duration,
}

impl Config {
    /// Reads the file that `BALANCER_CONFIG` names; other variables overrule what it says.
    ///
    /// # Errors
    /// A plain sentence on what is missing or wrong.
    pub fn from_env() -> Res<Config> {
        let (path, mut bytes) = file()?;
        Config::read(&mut bytes, |name| std::env::var(name).ok()).map_err(|why| format!("{path}: {why}"))
    }

    /// The file anew, as it stands after a SIGHUP. Here the file is newer than the environment as to where
    /// discovery is; the environment stays as it was.
    ///
    /// # Errors
    /// A plain sentence on what is missing or wrong.
    pub fn reread_from_env() -> Res<Config> {
        let (path, mut bytes) = file()?;
        let newer = |name: &str| (name != "BALANCER_DISCOVERY").then(|| std::env::var(name).ok()).flatten();
        let mut config = Config::read(&mut bytes.clone(), newer).map_err(|why| format!("{path}: {why}"))?;
        let value = simd_json::to_owned_value(&mut bytes).map_err(|e| format!("{path}: not JSON: {e}"))?;
        if value.get("discovery").is_none() {
            config.discovery = match std::env::var("BALANCER_DISCOVERY") {
                Ok(told) => Some(told.parse().map_err(|_| format!("'discovery' {told} is no address"))?),
                Err(_) => None,
            };
        }
        Ok(config)
    }

    /// Reads a configuration. `variable` gives the environment.
    ///
    /// # Errors
    /// A plain sentence on what is missing or wrong.
    pub fn read(json: &mut [u8], variable: impl Fn(&str) -> Option<String>) -> Res<Config> {
        let told = json.to_vec();
        let value = simd_json::to_owned_value(json).map_err(|e| format!("not JSON: {e}"))?;
        let address = |name: &str, key: &str| {
            let told = match variable(name) {
                Some(told) => told,
                None => text(value.get(key), key)?.to_owned(),
            };
            told.parse().map_err(|_| format!("'{key}' {told} is no address"))
        };
        if crate::telemetry::trace::is_enabled() {
            let settings = value.get("settings").cloned();
            crate::telemetry::trace::write(simd_json::json!({ "e": "start", "settings": settings }));
        }
        let boot = value.get("settings").filter(|s| s.is_object()).ok_or("'settings' must be an object")?;
        let family = boot.get("FamilyInfo").ok_or("'FamilyInfo' must be an object")?;
        let limits = boot.get("Limits").ok_or("'Limits' must be an object")?;
        let time = |key: &str, usual: f64| {
            let told = num(limits, key)?;
            Ok::<_, String>(Duration::from_nanos(if told > 0.0 { told } else { usual } as u64))
        };
        let seed = text(value.get("seed"), "seed")?;
        let limit = |key: &str, usual: f64| {
            let told = value.get("limits").map_or(Ok(0.0), |l| num(l, key))?;
            Ok::<_, String>(if told > 0.0 { told } else { usual } as usize)
        };
        let name = variable("BALANCER_NAME")
            .or_else(|| value.get("name").and_then(|n| n.as_str()).map(str::to_owned));
        let name = name.unwrap_or_else(|| "front".to_owned());
        let peers = value.get("peers").map(|peers| peers::Config::read(peers, &name));
        Ok(Config {
            peers: peers.transpose().map_err(|why| at_line(&told, why.to_string()))?,
            name,
            listen: address("BALANCER_LISTEN", "listen")?,
            console: match (variable("BALANCER_CONSOLE"), value.get("console")) {
                (None, None) => None,
                _ => Some(address("BALANCER_CONSOLE", "console")?),
            },
            discovery: match (variable("BALANCER_DISCOVERY"), value.get("discovery")) {
                (None, None) => None,
                _ => Some(address("BALANCER_DISCOVERY", "discovery")?),
            },
            seed: u64::from_str_radix(seed, 16).map_err(|_| format!("'seed' {seed} is not in hex digits"))?,
            sockets: limit("sockets", 1024.0)?,
            memory: limit("memory_mb", 192.0)?.saturating_mul(1 << 20),
            known: value.get("known").cloned().ok_or("'known' is missing")?,
            settings: settings(boot)?,
            raw_settings: boot.clone(),
            classes: names(boot, "Services")?,
            writes: {
                let told = family.get("ChangesData").and_then(Value::as_array);
                let count = crate::config::settings::list(boot, "Services")?.len();
                (0..count).map(|i| told.and_then(|w| w.get(i)).and_then(Value::as_bool)).collect()
            },
            plans: names(boot, "Grades")?,
            zones: crate::config::settings::list(boot, "FailureDomains")?
                .iter()
                .map(|z| text(Some(z), "FailureDomains").map(str::to_owned))
                .collect::<Res<_>>()?,
            shards: num(family, "Shards")? as u32,
            dial_timeout: time("DialTimeout", 250e6)?,
            idle_close: time("IdleClose", 30e9)?,
        })
    }
}

/// What is wrong, with the line that its path leads to: the path stands first, in quotes.
fn at_line(json: &[u8], why: String) -> String {
    let text = String::from_utf8_lossy(json);
    let path = why.split('\'').nth(1).unwrap_or_default();
    let mut at = 0;
    for part in path.split('.') {
        let (key, entry) = part.trim_end_matches(']').split_once('[').unwrap_or((part, ""));
        let Some(found) = text[at..].find(&format!("\"{key}\"")) else { break };
        at += found;
        // Entries of a list are objects, each of which opens with a brace.
        for _ in 0..entry.parse::<usize>().map_or(0, |n| n + 1) {
            at += text[at..].find('{').map_or(0, |brace| brace + 1);
        }
    }
    format!("line {}: {why}", text[..at].matches('\n').count() + 1)
}

/// The file that `BALANCER_CONFIG` names, with its name; one larger than any configuration is turned down unread.
fn file() -> Res<(String, Vec<u8>)> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG is not set")?;
    let size = std::fs::metadata(&path).map_err(|e| format!("cannot read {path}: {e}"))?.len();
    if size > MOST_FILE {
        return Err(format!("{path} holds {size} bytes, more than any configuration ({MOST_FILE})"));
    }
    let bytes = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    Ok((path, bytes))
}
