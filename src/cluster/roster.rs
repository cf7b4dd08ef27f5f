//! The fronts of the fleet, as the configuration file lists them under `peers.roster`.

use std::net::SocketAddr;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_membership::PeerId;
use tulipbridge_outlier_detection::ZoneId;

use crate::cluster::errors::ClusterConfigError;
use crate::cluster::fields;
use crate::limits::MAX_ZONES;

/// One front of the roster.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterMember {
    /// The front's name, unique in the roster.
    pub name: String,
    /// Where this front reaches it, unique in the roster. Fronts may reach the same peer at
    /// different addresses.
    pub address: SocketAddr,
    /// The front's zone, as an index into [`Roster::zones`].
    pub zone: ZoneId,
}

/// All fronts of the fleet in the order of their names, so that a [`PeerId`] means the same front
/// in every file, whatever the order of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    members: Vec<RosterMember>,
    zones: Vec<String>,
}

/// An entry of `peers.roster` before zones have numbers.
struct RosterEntry {
    name: String,
    address: SocketAddr,
    zone: String,
}

impl Roster {
    /// Reads the array `peers.roster`.
    ///
    /// # Errors
    /// A value of the wrong type, a name or an address that occurs twice, or more than 255 zones.
    pub(super) fn read(value: Option<&Value>) -> Result<Roster, ClusterConfigError> {
        let mut entries = Vec::new();
        for (index, value) in fields::array(value, "peers.roster")?.iter().enumerate() {
            let entry = RosterEntry::read(value, index, &entries)?;
            entries.push(entry);
        }
        entries.sort_by(|left, right| left.name.cmp(&right.name));
        Roster::number_zones(entries)
    }

    fn number_zones(entries: Vec<RosterEntry>) -> Result<Roster, ClusterConfigError> {
        let mut zones: Vec<String> = entries.iter().map(|entry| entry.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        if zones.len() > MAX_ZONES {
            return Err(ClusterConfigError::TooManyZones);
        }
        let zone_id = |name: &String| {
            let position = zones
                .iter()
                .position(|zone| zone == name)
                .unwrap_or_default();
            ZoneId(position as u8)
        };
        let members = entries
            .into_iter()
            .map(|entry| RosterMember {
                zone: zone_id(&entry.zone),
                name: entry.name,
                address: entry.address,
            })
            .collect();
        Ok(Roster { members, zones })
    }

    /// The fronts, in the order of their names.
    pub fn members(&self) -> &[RosterMember] {
        &self.members
    }

    /// The names of the zones, in their order; fronts without a zone are in the zone of the empty
    /// name.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The fronts' names, in their order.
    pub fn names(&self) -> Vec<&str> {
        self.members
            .iter()
            .map(|member| member.name.as_str())
            .collect()
    }

    /// The position of a name.
    pub(super) fn position(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| member.name == name)
    }

    /// The name of a front.
    ///
    /// # Panics
    /// Where the roster has no such front.
    pub(super) fn name(&self, peer: PeerId) -> &str {
        &self.members[peer.index()].name
    }

    /// Where this front reaches a peer; `None` where the roster has no such front.
    pub(super) fn address(&self, peer: PeerId) -> Option<SocketAddr> {
        self.members.get(peer.index()).map(|member| member.address)
    }

    /// The zone of a front, 0 where the roster has no such front.
    pub(super) fn zone(&self, peer: PeerId) -> ZoneId {
        self.members
            .get(peer.index())
            .map_or(ZoneId(0), |member| member.zone)
    }
}

impl RosterEntry {
    fn read(
        value: &Value,
        index: usize,
        earlier: &[RosterEntry],
    ) -> Result<RosterEntry, ClusterConfigError> {
        let name = fields::text(value.get("name"), &entry_path(index, "name"))?.to_owned();
        let address = fields::address(value.get("address"), &entry_path(index, "address"))?;
        let duplicate = |key: &str, value: String| ClusterConfigError::Duplicate {
            path: entry_path(index, key),
            value,
        };
        if earlier.iter().any(|entry| entry.name == name) {
            return Err(duplicate("name", name));
        }
        if earlier.iter().any(|entry| entry.address == address) {
            return Err(duplicate("address", address.to_string()));
        }
        let zone = match value.get("zone") {
            None => String::new(),
            zone => fields::text(zone, &entry_path(index, "zone"))?.to_owned(),
        };
        Ok(RosterEntry {
            name,
            address,
            zone,
        })
    }
}

fn entry_path(index: usize, key: &str) -> String {
    format!("peers.roster[{index}].{key}")
}
