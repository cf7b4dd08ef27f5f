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

/// Nanoseconds per millisecond, the unit of the list's times.
const NANOS_PER_MILLISECOND: i64 = 1_000_000;

/// An endpoint list, or changes to one, as discovery sends it.
#[derive(Deserialize)]
struct EndpointListMessage {
    /// The version of the list after the update.
    generation: i64,
    /// Whether the entries replace the list; they change some of it where this is missing or null.
    reset: Option<bool>,
    /// The entries. Each is decoded by itself, when it is read.
    instances: Vec<Value>,
}

/// An entry of an endpoint list as discovery sends it.
#[derive(Deserialize)]
struct EndpointMessage {
    #[serde(rename = "instanceId")]
    name: String,
    #[serde(rename = "hostPort")]
    address: EndpointAddress,
    /// The name of the zone; anything but a string counts as an unknown zone.
    #[serde(rename = "zone", default, deserialize_with = "optional_string")]
    zone: Option<String>,
    /// The state of the server in discovery.
    #[serde(rename = "lifecycle")]
    lifecycle: String,
    #[serde(rename = "cell")]
    shard: u32,
    /// When the server started, in milliseconds since the Unix epoch; 0 where that is not known.
    #[serde(rename = "startedAtMs", default, deserialize_with = "integer_or_zero")]
    started_at_ms: i64,
}

/// The address of a chunk server.
#[derive(Deserialize)]
#[serde(try_from = "String")]
struct EndpointAddress(SocketAddr);

/// A text that is not an IP address with a port.
#[derive(Debug, thiserror::Error)]
#[error("{0} is no address")]
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

/// An endpoint list, or changes to one.
pub struct EndpointUpdate {
    /// The version of the list after the update.
    pub generation: i64,
    /// Whether the entries replace the list or change some of it.
    pub scope: UpdateScope,
    /// The entries, as the scheduler is to see them.
    pub nodes: Vec<NodeInfo>,
}

/// An entry under its name.
struct NamedEndpoint {
    name: String,
    info: NodeInfo,
}

/// Reads endpoint lists for one front.
pub struct EndpointListReader {
    /// The names of the zones, in the order of the settings.
    zones: Vec<String>,
    /// The chunk servers in maintenance, which the scheduler sees as draining.
    maintenance: Rc<Maintenance>,
    /// When the chunk servers started.
    start_times: ServerStartTimes<String>,
}

impl EndpointListReader {
    /// Reads lists whose zones are numbered in the order of `zones`.
    pub fn new(zones: Vec<String>, maintenance: Rc<Maintenance>) -> EndpointListReader {
        EndpointListReader {
            zones,
            maintenance,
            start_times: ServerStartTimes::new(),
        }
    }

    /// Records that discovery has confirmed at `now` that the list is current.
    pub fn confirmed(&mut self, now: Nanos) {
        self.start_times.confirmed(now);
    }

    /// Records that discovery's clock showed `server_time` at `now`, both in nanoseconds since the
    /// Unix epoch.
    pub fn record_server_time(&mut self, now: Nanos, server_time: Nanos) {
        self.start_times.discovery_time(now, server_time);
    }

    /// Reads an update that arrived at `now`. Chunk servers that are new get their number from
    /// `upstream`, those before an invalid entry too.
    ///
    /// # Errors
    /// The first value that is missing or invalid.
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
            self.maintenance.replaced(&names);
        }
        let nodes = endpoints
            .into_iter()
            .map(|endpoint| self.maintenance.listed(&endpoint.name, endpoint.info))
            .collect();
        Ok(EndpointUpdate {
            generation: message.generation,
            scope,
            nodes,
        })
    }

    /// Converts one entry of an update.
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

    /// The number of a zone; all zones that the settings do not name share the first number past
    /// theirs.
    fn zone_index(&self, name: Option<&str>) -> u32 {
        let position = self
            .zones
            .iter()
            .position(|zone| Some(zone.as_str()) == name);
        position.unwrap_or(self.zones.len()) as u32
    }
}

/// The state of a chunk server for the scheduler, by its state in discovery. In a state that this
/// version does not know, a server must not get new work.
fn listed_state(lifecycle: &str) -> EndpointState {
    match lifecycle {
        "Ready" => EndpointState::Up,
        "Gone" => EndpointState::Removed,
        _ => EndpointState::Draining,
    }
}

/// Deserializes a string; `None` where the value is of another type.
fn optional_string<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<String>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_str().map(str::to_owned))
}

/// Deserializes an integer; 0 where the value is of another type.
fn integer_or_zero<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_i64().unwrap_or(0))
}
