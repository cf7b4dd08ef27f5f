//! New settings at SIGHUP. The whole file is read anew; one that cannot be used changes nothing, is counted under
//! `app_conf_invalid` and said in one sentence. One that can is counted under `app_conf_loaded`: discovery moves
//! where it says, and the module takes its settings, classes keeping their numbers (see [`Names::retune`]).

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::cluster::peers::Peers;
use crate::config::settings::Res;
use crate::config::Config;
use crate::exchange::Exchange;
use crate::frontend::platform::RequestTables;
use crate::telemetry::log::log;
use crate::telemetry::metrics::Metrics;
use crate::upstream::Upstream;

/// What a new file changes.
pub struct SettingsReload {
    /// Where the module is.
    pub exchange: Rc<Exchange<Upstream>>,
    /// What requests may name.
    pub tables: Rc<RefCell<RequestTables>>,
    /// Where files are counted.
    pub metrics: Rc<Metrics>,
    /// Where discovery is.
    pub discovery: watch::Sender<Option<SocketAddr>>,
    /// The front's peers, where it has any.
    pub peers: Option<Rc<Peers>>,
    /// The settings last taken, as they came.
    pub current: Value,
}

impl SettingsReload {
    /// Takes the file that `read` gives at each SIGHUP, for as long as the program runs.
    pub async fn follow(mut self, mut hangup: Signal, read: impl Fn() -> Res<Config>) {
        while hangup.recv().await.is_some() {
            match read().and_then(|config| self.apply(config)) {
                Ok(()) => {
                    self.metrics.conf_loaded.inc();
                    log!("the new configuration is taken");
                }
                Err(why) => {
                    self.metrics.conf_invalid.inc();
                    log!("the new configuration is not taken, and the one before stays: {why}");
                }
            }
        }
    }

    fn apply(&mut self, config: Config) -> Res<()> {
        if let Some(path) = missing(&self.current, &config.raw_settings, "settings") {
            return Err(format!("'{path}' is missing"));
        }
        if let Some(peers) = &self.peers {
            peers.check(config.peers.as_ref()).map_err(|e| e.to_string())?;
        }
        let told_peers = config.peers.clone();
        let (told, discovery) = (config.raw_settings.clone(), config.discovery);
        let mut names = self.tables.borrow().clone();
        let (settings, carried) = names.reload(config, &self.metrics);
        self.exchange.reload_settings(settings, &carried).map_err(|e| e.to_string())?;
        if let (Some(peers), Some(told)) = (&self.peers, told_peers) {
            peers.reload(told);
        }
        *self.tables.borrow_mut() = names;
        self.current = told;
        if let Some(address) = discovery {
            self.discovery.send_if_modified(|held| held.replace(address) != Some(address));
        }
        Ok(())
    }
}

/// The first key, by its path, that the settings before had and the new ones lack. Where a list's entries are
/// objects, each new entry must have every key that an old one had: classes may come and go, but not lose a
/// figure.
pub fn missing(before: &Value, new: &Value, path: &str) -> Option<String> {
    match (before, new) {
        (Value::Object(before), Value::Object(new)) => before.iter().find_map(|(key, old)| {
            let path = format!("{path}.{key}");
            match new.get(key) {
                None => Some(path),
                Some(value) => missing(old, value, &path),
            }
        }),
        (Value::Array(before), Value::Array(new)) => {
            let keys: Vec<&str> = before
                .iter()
                .filter_map(Value::as_object)
                .flat_map(|o| o.keys().map(String::as_str))
                .collect();
            new.iter().enumerate().find_map(|(i, entry)| {
                let object = entry.as_object()?;
                let lacks = keys.iter().find(|key| !object.contains_key(**key))?;
                Some(format!("{path}[{i}].{lacks}"))
            })
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn json(text: &str) -> Value {
        simd_json::to_owned_value(&mut text.as_bytes().to_vec()).expect("JSON")
    }

    #[test]
    fn a_key_that_is_gone_is_named_by_its_path() {
        let before = json(r#"{"Limits":{"MostTries":3},"Services":[{"Name":"a","Deadline":5}]}"#);
        let fine = json(
            r#"{"Limits":{"MostTries":2},"Services":[{"Name":"b","Deadline":5},{"Name":"c","Deadline":1}]}"#,
        );
        assert_eq!(missing(&before, &fine, "settings"), None);
        let lacks = json(r#"{"Limits":{},"Services":[{"Name":"b","Deadline":5}]}"#);
        assert_eq!(missing(&before, &lacks, "settings"), Some("settings.Limits.MostTries".to_owned()));
        let lacks = json(r#"{"Limits":{"MostTries":2},"Services":[{"Name":"b","Deadline":5},{"Name":"c"}]}"#);
        assert_eq!(missing(&before, &lacks, "settings"), Some("settings.Services[1].Deadline".to_owned()));
        assert_eq!(missing(&before, &json("{}"), "settings"), Some("settings.Limits".to_owned()));
    }
}
