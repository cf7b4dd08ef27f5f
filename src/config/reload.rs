//! Reloads the configuration at SIGHUP.
//!
//! The file is read again. If it is rejected, nothing changes; the error is logged and counted in
//! `app_conf_invalid`. If it is accepted, it is counted in `app_conf_loaded`, the watch on
//! discovery moves to the new address, and the scheduler adopts the new settings, in which known
//! classes keep their numbers (see [`RequestTables::reload`]).

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::cluster::peers::Peers;
use crate::config::error::{ConfigError, ReloadError};
use crate::config::Config;
use crate::exchange::Exchange;
use crate::frontend::platform::{ReloadedSettings, RequestTables};
use crate::telemetry::log::log;
use crate::telemetry::metrics::Metrics;
use crate::upstream::Upstream;

/// The parts of a front that a new configuration changes.
pub struct SettingsReload {
    /// The exchange that owns the scheduler.
    pub exchange: Rc<Exchange<Upstream>>,
    /// The classes and plans that requests may name.
    pub tables: Rc<RefCell<RequestTables>>,
    /// The metrics that count loaded and rejected files.
    pub metrics: Rc<Metrics>,
    /// The sender that publishes the address of discovery.
    pub discovery: watch::Sender<Option<SocketAddr>>,
    /// The front's peers; `None` if it has none.
    pub peers: Option<Rc<Peers>>,
    /// The `settings` object of the file in use.
    pub current: Value,
}

impl SettingsReload {
    /// At each SIGHUP, reads the configuration with `read` and applies it. Continues for as long as
    /// the program runs.
    pub async fn reload_on_hangup(
        mut self,
        mut hangup: Signal,
        read: impl Fn() -> Result<Config, ConfigError>,
    ) {
        while hangup.recv().await.is_some() {
            let outcome = read()
                .map_err(ReloadError::from)
                .and_then(|config| self.apply(config));
            match outcome {
                Ok(()) => {
                    self.metrics.conf_loaded.inc();
                    log!("config: reload: new configuration applied");
                }
                Err(error) => {
                    self.metrics.conf_invalid.inc();
                    log!("config: reload: new configuration rejected, previous one kept: {error}");
                }
            }
        }
    }

    /// Applies a configuration to all parts or, if it is rejected, to none of them.
    fn apply(&mut self, config: Config) -> Result<(), ReloadError> {
        if let Some(path) = missing_key(&self.current, &config.raw_settings, "settings") {
            return Err(ReloadError::MissingKey { path });
        }
        if let Some(peers) = &self.peers {
            peers.check(config.peers.as_ref())?;
        }
        let new_peers = config.peers.clone();
        let new_settings = config.raw_settings.clone();
        let new_discovery = config.discovery;
        // The tables are changed in a copy, because the scheduler may still reject the settings.
        let mut tables = self.tables.borrow().clone();
        let ReloadedSettings {
            settings,
            replaced_classes,
        } = tables.reload(config, &self.metrics);
        self.exchange.reload_settings(settings, &replaced_classes)?;
        if let (Some(peers), Some(new_peers)) = (&self.peers, new_peers) {
            peers.reload(new_peers);
        }
        *self.tables.borrow_mut() = tables;
        self.current = new_settings;
        if let Some(address) = new_discovery {
            self.discovery
                .send_if_modified(|current| current.replace(address) != Some(address));
        }
        Ok(())
    }
}

/// Returns the path of the first key that the current settings have and the new ones lack. In an
/// array of objects each new entry must have every key that any current entry has: classes may be
/// added and removed, but must not lack a parameter.
pub fn missing_key(current: &Value, new: &Value, path: &str) -> Option<String> {
    match (current, new) {
        (Value::Object(current), Value::Object(new)) => current.iter().find_map(|(key, value)| {
            let path = format!("{path}.{key}");
            match new.get(key) {
                None => Some(path),
                Some(new_value) => missing_key(value, new_value, &path),
            }
        }),
        (Value::Array(current), Value::Array(new)) => missing_key_of_entry(current, new, path),
        _ => None,
    }
}

/// Returns the path of the first key that some entry of the current array has and an entry of the
/// new one lacks.
fn missing_key_of_entry(current: &[Value], new: &[Value], path: &str) -> Option<String> {
    let objects = current.iter().filter_map(Value::as_object);
    let keys: Vec<&str> = objects
        .flat_map(|object| object.keys().map(String::as_str))
        .collect();
    new.iter().enumerate().find_map(|(index, entry)| {
        let object = entry.as_object()?;
        let missing = keys.iter().find(|key| !object.contains_key(**key))?;
        Some(format!("{path}[{index}].{missing}"))
    })
}
