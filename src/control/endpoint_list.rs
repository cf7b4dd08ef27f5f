//! Reads endpoint lists: the messages of discovery, and the last known list in a front's
//! configuration.

use std::rc::Rc;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::server_start_times::ServerStartTimes;
use tulipbridge_core::{EndpointState, Nanos, NodeInfo, ShardId, UpdateScope};

use crate::config::json::{array, boolean, integer, parse_address, string, JsonError};
use crate::control::maintenance::Maintenance;
use crate::upstream::Upstream;

/// Nanoseconds per millisecond, the unit of the list's times.
const NANOS_PER_MILLISECOND: i64 = 1_000_000;

/// Why an endpoint list cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// A value is missing or invalid.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The number of a shard is too large.
    #[error("'cell' is out of range")]
    ShardOutOfRange,
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
    /// `upstream`.
    ///
    /// # Errors
    /// The first value that is missing or invalid.
    pub fn read(
        &mut self,
        value: &Value,
        upstream: &Upstream,
        now: Nanos,
    ) -> Result<EndpointUpdate, EndpointListError> {
        let generation = integer(value.get("generation"), "generation")?;
        let scope = if boolean(value, "reset")? {
            UpdateScope::Replace
        } else {
            UpdateScope::Update
        };
        let entries = array(value, "instances")?.iter();
        let endpoints: Vec<NamedEndpoint> = entries
            .map(|entry| self.read_endpoint(entry, upstream, now))
            .collect::<Result<_, _>>()?;
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
            generation,
            scope,
            nodes,
        })
    }

    /// Reads one entry of an update.
    fn read_endpoint(
        &mut self,
        entry: &Value,
        upstream: &Upstream,
        now: Nanos,
    ) -> Result<NamedEndpoint, EndpointListError> {
        let name = string(entry.get("instanceId"), "instanceId")?;
        let address = parse_address("hostPort", string(entry.get("hostPort"), "hostPort")?)?;
        let zone = self.zone_index(entry.get("zone").and_then(Value::as_str));
        let listed = listed_state(string(entry.get("lifecycle"), "lifecycle")?);
        let shard = integer(entry.get("cell"), "cell")?;
        let shard = u32::try_from(shard).map_err(|_| EndpointListError::ShardOutOfRange)?;
        let started_at_ms = entry
            .get("startedAtMs")
            .and_then(Value::as_i64)
            .unwrap_or(0);
        let listed_start = started_at_ms.saturating_mul(NANOS_PER_MILLISECOND);
        let started_at = self.start_times.listed(&name.to_owned(), now, listed_start);
        let node = upstream.locate(name, address, ShardId(shard));
        let info = NodeInfo {
            node,
            zone,
            shard: ShardId(shard),
            state: listed,
            started_at,
        };
        Ok(NamedEndpoint {
            name: name.to_owned(),
            info,
        })
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
