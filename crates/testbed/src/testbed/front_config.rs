//! The configuration file of a front.

use std::path::Path;

use super::config::{Sharing, TestbedConfig};
use super::environment::Environment;
use super::front_process::Role;
use crate::discovery_server::zone_name;

/// The settings that all fronts have, before those of a testbed are put in.
const SETTINGS: &str = include_str!("../settings.json");
/// An address whose port the system chooses.
const ANY_ADDRESS: &str = "127.0.0.1:0";
/// An address where nobody receives anything.
const NO_ADDRESS: &str = "127.0.0.1:1";
/// The number of fronts in files of fronts that share by peers, where it has no effect.
const DEFAULT_HOSTS: u32 = 4;
/// The multiplier that makes the seeds of fronts differ.
const SEED_FACTOR: u64 = 7919;

/// The version of the roster in the fronts' files.
#[derive(Clone, Copy, Debug)]
pub struct RosterVersion {
    /// The revision.
    pub revision: u32,
    /// The floor in hundredths of the limit.
    pub floor_percent: u8,
}

/// What the configuration file of a front depends on.
pub struct FrontConfig<'a> {
    /// What the testbed consists of.
    pub testbed: &'a TestbedConfig,
    /// The links of the front.
    pub environment: &'a Environment,
    /// The version of the roster.
    pub roster: RosterVersion,
    /// The file with the key of the fronts' messages.
    pub key_file: &'a Path,
    /// The index of the front.
    pub front: usize,
    /// The role of its process.
    pub role: Role,
}

impl FrontConfig<'_> {
    /// The text of the file.
    pub fn text(&self) -> String {
        let front = self.front;
        let clients = match self.role {
            Role::Successor { clients, .. } => clients.to_string(),
            Role::Only | Role::Duplicate => ANY_ADDRESS.to_owned(),
        };
        let is_replacement = self.role != Role::Only;
        let seed = (front as u64 + 1) * SEED_FACTOR + u64::from(is_replacement);
        format!(
            r#"{{"name": "object-{front}", "listen": "{clients}", "console": "127.0.0.1:0", "seed": "{seed:x}",
            "discovery": "{}", "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 512}}, {}
            "known": {},
            "buckets": {{{}}},
            "settings": {}}}"#,
            self.environment.discovery_address(front),
            self.peers_section(),
            self.environment.endpoint_list(front),
            self.buckets_section(),
            self.settings_section(),
        )
    }

    /// The settings, with the volume limits, zones and shards of the testbed.
    fn settings_section(&self) -> String {
        let rate = |key: &str| format!("\"{key}\": {:.1}", self.testbed.rate);
        let mut settings = SETTINGS.replace("\"CeilingRate\": 40.0", &rate("CeilingRate"));
        if !self.testbed.limits.is_empty() {
            // The demand must be within the volume's share, or else that holds back before the
            // limits under test.
            settings = settings.replace("\"Nominal\": 40.0", &rate("Nominal"));
        }
        let zones: Vec<String> = (0..self.testbed.zones)
            .map(|zone| format!("\"{}\"", zone_name(zone)))
            .collect();
        let settings = settings.replace("\"zone-a\"", &zones.join(", "));
        settings.replace(
            "\"Shards\": 1,",
            &format!("\"Shards\": {},", self.testbed.servers),
        )
    }

    /// A bucket for each volume.
    fn buckets_section(&self) -> String {
        let hosts = match self.testbed.sharing {
            Sharing::Even(hosts) => hosts,
            Sharing::Peers | Sharing::HalfUnknown => DEFAULT_HOSTS,
        };
        let bucket = |volume: usize| {
            format!(
                r#""b{volume}": {{"volume": "{volume:x}", "plan": "limited", "read": "read", "write": "write", "hosts": {hosts}}}"#
            )
        };
        (0..self.testbed.volumes)
            .map(bucket)
            .collect::<Vec<_>>()
            .join(", ")
    }

    /// The section on peers; empty if the front has none.
    fn peers_section(&self) -> String {
        if !self.testbed.has_peers() {
            return String::new();
        }
        let listen = match self.role {
            Role::Successor {
                peers: Some(address),
                ..
            } => address.to_string(),
            _ => ANY_ADDRESS.to_owned(),
        };
        let limits = match self.testbed.limits {
            "" => String::new(),
            limits => format!(r#", "limits": {limits}"#),
        };
        let outlier_detection = if self.testbed.outlier_detection {
            r#", "verdicts": {}"#
        } else {
            ""
        };
        format!(
            r#""peers": {{"listen": "{listen}", "key_file": "{}", "revision": {}, "floor": 0.{:02},
                "roster": [{}]{limits}{outlier_detection}}},"#,
            self.key_file.display(),
            self.roster.revision,
            self.roster.floor_percent,
            self.roster_section(),
        )
    }

    /// The entries of the roster, at the addresses of the front's links.
    fn roster_section(&self) -> String {
        let knows_half =
            self.testbed.sharing == Sharing::HalfUnknown && self.front < self.testbed.fronts / 2;
        let known = if knows_half {
            self.testbed.fronts / 2
        } else {
            self.testbed.fronts
        };
        let entry = |peer: usize| {
            let link = self.environment.peer_links().link(self.front, peer);
            let address =
                link.map_or_else(|| NO_ADDRESS.to_owned(), |link| link.address.to_string());
            let zone = zone_name(peer % self.testbed.zones);
            format!(r#"{{"name": "object-{peer}", "address": "{address}", "zone": "{zone}"}}"#)
        };
        (0..known).map(entry).collect::<Vec<_>>().join(", ")
    }
}
