//! The configuration file of a front.

use std::net::SocketAddr;

use super::config::Sharing;
use super::front_process::Role;
use super::Testbed;
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

impl Testbed {
    /// The text of a front's configuration file.
    pub(super) fn front_config(&self, front: usize, role: Role) -> String {
        let clients = match role {
            Role::Successor { clients, .. } => clients.to_string(),
            Role::Only | Role::Duplicate => ANY_ADDRESS.to_owned(),
        };
        format!(
            r#"{{"name": "object-{front}", "listen": "{clients}", "console": "127.0.0.1:0", "seed": "{:x}",
            "discovery": "{}", "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 512}}, {}
            "known": {},
            "buckets": {{{}}},
            "settings": {}}}"#,
            (front as u64 + 1) * SEED_FACTOR + u64::from(role != Role::Only),
            self.discovery_links[front].address,
            self.peers_section(front, role),
            self.discovery.endpoint_list(&self.server_addresses(front)),
            self.buckets_section(),
            self.settings_section(),
        )
    }

    /// Where a front reaches the chunk servers.
    pub(super) fn server_addresses(&self, front: usize) -> Vec<SocketAddr> {
        (0..self.config.servers)
            .map(|server| self.server_links[&(front, server)].address)
            .collect()
    }

    fn settings_section(&self) -> String {
        let rate = |key: &str| format!("\"{key}\": {:.1}", self.config.rate);
        let mut settings = SETTINGS.replace("\"CeilingRate\": 40.0", &rate("CeilingRate"));
        if !self.config.limits.is_empty() {
            // The demand must be within the volume's share, or else that holds back before the
            // limits under test.
            settings = settings.replace("\"Nominal\": 40.0", &rate("Nominal"));
        }
        let zones: Vec<String> = (0..self.config.zones)
            .map(|zone| format!("\"{}\"", zone_name(zone)))
            .collect();
        let settings = settings.replace("\"zone-a\"", &zones.join(", "));
        settings.replace(
            "\"Shards\": 1,",
            &format!("\"Shards\": {},", self.config.servers),
        )
    }

    fn buckets_section(&self) -> String {
        let hosts = match self.config.sharing {
            Sharing::Even(hosts) => hosts,
            Sharing::Peers | Sharing::HalfUnknown => DEFAULT_HOSTS,
        };
        let bucket = |volume: usize| {
            format!(
                r#""b{volume}": {{"volume": "{volume:x}", "plan": "limited", "read": "read", "write": "write", "hosts": {hosts}}}"#
            )
        };
        (0..self.config.volumes)
            .map(bucket)
            .collect::<Vec<_>>()
            .join(", ")
    }

    /// The section on peers; empty if the front has none.
    fn peers_section(&self, front: usize, role: Role) -> String {
        if !self.config.has_peers() {
            return String::new();
        }
        let listen = match role {
            Role::Successor {
                peers: Some(address),
                ..
            } => address.to_string(),
            _ => ANY_ADDRESS.to_owned(),
        };
        let limits = match self.config.limits {
            "" => String::new(),
            limits => format!(r#", "limits": {limits}"#),
        };
        let outlier_detection = if self.config.outlier_detection {
            r#", "verdicts": {}"#
        } else {
            ""
        };
        format!(
            r#""peers": {{"listen": "{listen}", "key_file": "{}", "revision": {}, "floor": 0.{:02},
                "roster": [{}]{limits}{outlier_detection}}},"#,
            self.key_file().display(),
            self.roster.revision,
            self.roster.floor_percent,
            self.roster_section(front),
        )
    }

    fn roster_section(&self, front: usize) -> String {
        let knows_half =
            self.config.sharing == Sharing::HalfUnknown && front < self.config.fronts / 2;
        let known = if knows_half {
            self.config.fronts / 2
        } else {
            self.config.fronts
        };
        let entry = |peer: usize| {
            let link = self.peer_links.link(front, peer);
            let address =
                link.map_or_else(|| NO_ADDRESS.to_owned(), |link| link.address.to_string());
            let zone = zone_name(peer % self.config.zones);
            format!(r#"{{"name": "object-{peer}", "address": "{address}", "zone": "{zone}"}}"#)
        };
        (0..known).map(entry).collect::<Vec<_>>().join(", ")
    }
}
