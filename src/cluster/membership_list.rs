//! The membership list: all fronts of the fleet, as the configuration file lists them under
//! `peers.roster`.

use std::net::SocketAddr;

use serde::Deserialize;
use tulipbridge_membership::PeerId;
use tulipbridge_outlier_detection::ZoneId;

use crate::cluster::errors::ClusterConfigError;
use crate::config::values::{string, Address};
use crate::limits::MAX_ZONES;

/// One front of the membership list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The front's name, unique in the list.
    pub name: String,
    /// The address at which this process reaches the front, unique in the list. Fronts may reach
    /// the same peer at different addresses.
    pub address: SocketAddr,
    /// The front's zone: an index into [`MembershipList::zones`].
    pub zone: ZoneId,
}

/// All fronts of the fleet in the order of their names, so that a [`PeerId`] identifies the same
/// front at every front, in whatever order the files list them.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipList {
    members: Vec<Member>,
    zones: Vec<String>,
}

/// An entry of `peers.roster` as it is written in the file.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct MembershipListEntry {
    #[serde(deserialize_with = "string")]
    name: String,
    address: Address,
    /// The name of the front's zone; empty for a front without a zone.
    #[serde(default, deserialize_with = "string")]
    zone: String,
}

impl MembershipList {
    /// Creates the list from the entries of the file.
    ///
    /// # Errors
    /// Returns an error if a name or an address occurs twice, or if there are more than 255 zones.
    pub(super) fn new(
        mut entries: Vec<MembershipListEntry>,
    ) -> Result<MembershipList, ClusterConfigError> {
        check_unique(&entries)?;
        entries.sort_by(|left, right| left.name.cmp(&right.name));
        MembershipList::number_zones(entries)
    }

    /// Numbers the zones of the entries in the order of the zones' names.
    fn number_zones(
        entries: Vec<MembershipListEntry>,
    ) -> Result<MembershipList, ClusterConfigError> {
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
            .map(|entry| Member {
                zone: zone_id(&entry.zone),
                name: entry.name,
                address: entry.address.0,
            })
            .collect();
        Ok(MembershipList { members, zones })
    }

    /// Returns the fronts in the order of their names.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the names of the zones in sorted order. Fronts without a zone are in a zone
    /// whose name is empty.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns the names of the fronts in sorted order.
    pub fn names(&self) -> Vec<&str> {
        self.members
            .iter()
            .map(|member| member.name.as_str())
            .collect()
    }

    /// Returns the position of the front with a name; `None` if the list has no such front.
    pub(super) fn position(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| member.name == name)
    }

    /// Returns the name of a front.
    ///
    /// # Panics
    /// Panics if the list has no such front.
    pub(super) fn name(&self, peer: PeerId) -> &str {
        &self.members[peer.index()].name
    }

    /// Returns the address at which this process reaches a front; `None` if the list has no such
    /// front.
    pub(super) fn address(&self, peer: PeerId) -> Option<SocketAddr> {
        self.members.get(peer.index()).map(|member| member.address)
    }

    /// Returns the zone of a front; zone 0 if the list has no such front.
    pub(super) fn zone(&self, peer: PeerId) -> ZoneId {
        self.members
            .get(peer.index())
            .map_or(ZoneId(0), |member| member.zone)
    }
}

/// Checks that no two entries have the same name or address.
fn check_unique(entries: &[MembershipListEntry]) -> Result<(), ClusterConfigError> {
    let duplicate = |index: usize, key: &str, value: String| ClusterConfigError::Duplicate {
        path: format!("peers.roster[{index}].{key}"),
        value,
    };
    for (index, entry) in entries.iter().enumerate() {
        let earlier = &entries[..index];
        if earlier.iter().any(|other| other.name == entry.name) {
            return Err(duplicate(index, "name", entry.name.clone()));
        }
        if earlier.iter().any(|other| other.address == entry.address) {
            return Err(duplicate(index, "address", entry.address.0.to_string()));
        }
    }
    Ok(())
}
