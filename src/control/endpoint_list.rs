//! Reads endpoint lists: the messages of discovery, and the last known list in a front's
//! configuration.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Deserializer};
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::server_start_times::ServerStartTimes;
use tulipbridge_core::{EndpointState, Nanos, NodeInfo, ShardId, UpdateScope};

use crate::control::json_object::{decode, JsonObjectError};
use crate::control::maintenance::Maintenance;
use crate::upstream::Upstream;

/// Converts the list's times, which are in milliseconds.
const NANOS_PER_MILLISECOND: i64 = 1_000_000;

/// An endpoint list, or changes to one, as discovery sends it.
#[derive(Deserialize)]
struct EndpointListMessage {
    /// The version of the list after the update.
    generation: i64,
    /// Whether the entries replace the whole list. False, missing or null: they are changes to
    /// single entries.
    reset: Option<bool>,
    /// The entries, each decoded separately so that an error names the index of its entry.
    instances: Vec<Value>,
}

/// An entry of an endpoint list as discovery sends it.
#[derive(Deserialize)]
struct EndpointMessage {
    #[serde(rename = "instanceId")]
    name: String,
    #[serde(rename = "hostPort")]
    address: EndpointAddress,
    /// The name of the zone. A value that is not a string counts as an unknown zone.
    #[serde(rename = "zone", default, deserialize_with = "optional_string")]
    zone: Option<String>,
    /// The state of the server as discovery names it; see [`listed_state`].
    #[serde(rename = "lifecycle")]
    lifecycle: String,
    #[serde(rename = "cell")]
    shard: u32,
    /// When the server started, in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(rename = "startedAtMs", default, deserialize_with = "integer_or_zero")]
    started_at_ms: i64,
}

/// The IP address and port of a chunk server, parsed from a string.
#[derive(Deserialize)]
#[serde(try_from = "String")]
struct EndpointAddress(SocketAddr);

/// The error for a string that is not an IP address with a port.
#[derive(Debug, thiserror::Error)]
#[error("{0} is not an IP address with a port")]
struct InvalidAddress(String);

impl TryFrom<String> for EndpointAddress {
    type Error = InvalidAddress;

    fn try_from(text: String) -> Result<EndpointAddress, InvalidAddress> {
        match text.parse() {
            Ok(address) => Ok(EndpointAddress(address)),
            Err(_) => Err(InvalidAddress(text)),
        }
    }
}

/// An endpoint list, or changes to one, in the form that the scheduler takes.
pub struct EndpointUpdate {
    /// The version of the list after the update.
    pub generation: i64,
    /// Whether the entries replace the whole list or update some of its entries.
    pub scope: UpdateScope,
    /// The entries. Servers in maintenance are draining here, whatever discovery reports.
    pub nodes: Vec<NodeInfo>,
}

/// A converted entry with its name, by which maintenance identifies the server.
struct NamedEndpoint {
    name: String,
    info: NodeInfo,
}

/// Converts the endpoint lists that one front receives.
///
/// It keeps the start times of the servers from one update to the next.
pub struct EndpointListReader {
    /// The names of the zones, in the order of the settings.
    zones: Vec<String>,
    /// The chunk servers in maintenance, which the scheduler sees as draining.
    maintenance: Rc<Maintenance>,
    /// When the chunk servers started, corrected for differences between clocks.
    start_times: ServerStartTimes<String>,
}

impl EndpointListReader {
    /// Creates a reader that numbers zones by their position in `zones`.
    pub fn new(zones: Vec<String>, maintenance: Rc<Maintenance>) -> EndpointListReader {
        EndpointListReader {
            zones,
            maintenance,
            start_times: ServerStartTimes::new(),
        }
    }

    /// Records that discovery confirmed at `now` that the list is current.
    pub fn list_confirmed(&mut self, now: Nanos) {
        self.start_times.confirmed(now);
    }

    /// Records that discovery's clock showed `server_time` at `now`, both in nanoseconds since the
    /// Unix epoch.
    pub fn record_server_time(&mut self, now: Nanos, server_time: Nanos) {
        self.start_times.discovery_time(now, server_time);
    }

    /// Converts an update that arrived at `now`.
    ///
    /// New chunk servers are assigned a node id by `upstream`, even where a later entry turns out
    /// to be invalid and the update is rejected.
    ///
    /// # Errors
    /// Reports the first value that is missing or invalid.
    pub fn read(
        &mut self,
        value: Value,
        upstream: &Upstream,
        now: Nanos,
    ) -> Result<EndpointUpdate, JsonObjectError> {
        let message: EndpointListMessage = decode(value)?;
        let scope = match message.reset {
            Some(true) => UpdateScope::Replace,
            Some(false) | None => UpdateScope::Update,
        };
        let mut endpoints = Vec::new();
        for (index, entry) in message.instances.into_iter().enumerate() {
            let entry: EndpointMessage =
                decode(entry).map_err(|error| error.at(&format!("instances[{index}]")))?;
            endpoints.push(self.read_endpoint(entry, upstream, now));
        }
        if scope == UpdateScope::Replace {
            let names = endpoints
                .iter()
                .map(|endpoint| endpoint.name.clone())
                .collect();
            self.start_times.list_replaced(&names);
            self.maintenance.list_replaced(&names);
        }
        let nodes = endpoints
            .into_iter()
            .map(|endpoint| {
                self.maintenance
                    .endpoint_listed(&endpoint.name, endpoint.info)
            })
            .collect();
        Ok(EndpointUpdate {
            generation: message.generation,
            scope,
            nodes,
        })
    }

    /// Converts one entry of an update and records the start time of its server.
    fn read_endpoint(
        &mut self,
        entry: EndpointMessage,
        upstream: &Upstream,
        now: Nanos,
    ) -> NamedEndpoint {
        let shard = ShardId(entry.shard);
        let listed_start = entry.started_at_ms.saturating_mul(NANOS_PER_MILLISECOND);
        let started_at = self.start_times.listed(&entry.name, now, listed_start);
        let info = NodeInfo {
            node: upstream.upsert_server(&entry.name, entry.address.0, shard),
            zone: self.zone_index(entry.zone.as_deref()),
            shard,
            state: listed_state(&entry.lifecycle),
            started_at,
        };
        NamedEndpoint {
            name: entry.name,
            info,
        }
    }

    /// Returns the number of a zone: its position in the settings. All zones that the settings do
    /// not name share the next free number.
    fn zone_index(&self, name: Option<&str>) -> u32 {
        let position = self
            .zones
            .iter()
            .position(|zone| Some(zone.as_str()) == name);
        position.unwrap_or(self.zones.len()) as u32
    }
}

/// Returns the scheduler's state for a chunk server's state in discovery. A server in a state that
/// this version does not know must not get new work, so it counts as draining.
fn listed_state(lifecycle: &str) -> EndpointState {
    match lifecycle {
        "Ready" => EndpointState::Up,
        "Gone" => EndpointState::Removed,
        _ => EndpointState::Draining,
    }
}

/// Deserializes a string; returns `None` for a value of any other type.
fn optional_string<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<String>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_str().map(str::to_owned))
}

/// Deserializes an integer; returns 0 for a value of any other type.
fn integer_or_zero<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_i64().unwrap_or(0))
}
