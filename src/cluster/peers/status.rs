//! The status of the peers for operators: log lines about changes, gauges, and JSON for the
//! console. The keys of the JSON are part of the console's interface.

use std::net::SocketAddr;

use simd_json::{json, OwnedValue as Value};
use tulipbridge_core::Nanos;
use tulipbridge_fleet_limits::{LimitCoordinator, Share};
use tulipbridge_membership::{Incarnation, PeerId, PeerStatus};

use super::state::{PeersState, VERSION_KEY};
use crate::cluster::clock::millis;
use crate::cluster::ejections::DisplayNames;
use crate::cluster::errors::EjectionStatusError;
use crate::cluster::limits::LabeledLimit;
use crate::cluster::membership_list::MembershipList;
use crate::telemetry::log::log;

/// What the log has last said, so that it says each change once.
pub(super) struct StatusLog {
    /// The status of each front, by position.
    peers: Vec<PeerStatus>,
    is_standby: bool,
}

impl StatusLog {
    /// The log of a front that has heard none of its peers.
    pub(super) fn new(fronts: usize) -> StatusLog {
        StatusLog {
            peers: vec![PeerStatus::Unknown; fronts],
            is_standby: false,
        }
    }

    /// The log for another roster: no front of it has been mentioned.
    pub(super) fn restarted(&self, fronts: usize) -> StatusLog {
        StatusLog {
            is_standby: self.is_standby,
            ..StatusLog::new(fronts)
        }
    }

    /// Logs each peer whose status has changed.
    fn log_peers(
        &mut self,
        coordinator: &LimitCoordinator,
        membership_list: &MembershipList,
        now: Nanos,
    ) {
        for peer in coordinator.members().others() {
            let status = coordinator.members().status(now, peer);
            let previous = std::mem::replace(&mut self.peers[peer.index()], status);
            if previous != status {
                log!(
                    "peers: {}: {}",
                    membership_list.name(peer),
                    status_name(status)
                );
            }
        }
    }

    /// Logs whether this front has begun or ceased to use no fleet-wide limit.
    fn log_standby(
        &mut self,
        is_standby: bool,
        coordinator: &LimitCoordinator,
        membership_list: &MembershipList,
        now: Nanos,
    ) {
        if std::mem::replace(&mut self.is_standby, is_standby) == is_standby {
            return;
        }
        if !is_standby {
            log!("peers: standby ended: this front uses its shares of the fleet's limits");
        } else if coordinator.yields_to_roster(now) {
            let revision = coordinator.config().revision;
            log!(
                "peers: standby, no share of the fleet's limits: other fronts have another roster of revision {revision}"
            );
        } else {
            let name = membership_list.name(coordinator.config().me);
            log!("peers: standby, no share of the fleet's limits: another process has the name {name}");
        }
    }
}

/// This front's share of a configured limit.
struct ConfiguredShare {
    /// The limit's label in metrics and on the console.
    label: &'static str,
    share: Share,
}

impl PeersState {
    /// The interval between two heartbeats in nanoseconds.
    pub(super) fn heartbeat_interval(&self) -> u64 {
        self.coordinator.config().heartbeat_interval as u64
    }

    /// Where this front receives the messages of its peers.
    pub(super) fn listen_address(&self) -> SocketAddr {
        self.config.listen
    }

    /// Logs what has changed since the last call and sets the gauges.
    pub(super) fn report_status(&mut self, now: Nanos) {
        let is_standby = self.is_standby(now);
        let membership_list = &self.config.membership_list;
        self.status_log
            .log_peers(&self.coordinator, membership_list, now);
        self.status_log
            .log_standby(is_standby, &self.coordinator, membership_list, now);
        self.set_gauges(now, is_standby);
    }

    fn set_gauges(&self, now: Nanos, is_standby: bool) {
        let members = self.coordinator.members();
        let is_alive = |peer: &PeerId| members.status(now, *peer) == PeerStatus::Alive;
        let alive = members.others().filter(is_alive).count();
        let issuers_held = self.coordinator.issuers_held(now).len();
        let metrics = &self.parts.metrics;
        metrics.alive.set(alive as i64);
        metrics.issuers_held.set(issuers_held as i64);
        metrics.standby.set(i64::from(is_standby));
        for configured in self.configured_shares() {
            metrics.set_share(configured.label, configured.share);
        }
    }

    /// Whether this front uses no fleet-wide limit, because another process has its name or its
    /// address or because it yields to a conflicting roster.
    fn is_standby(&self, now: Nanos) -> bool {
        self.coordinator.is_standby(now) || !self.parts.socket.is_bound()
    }

    fn configured_shares(&self) -> impl Iterator<Item = ConfiguredShare> + '_ {
        let share_of = move |limit: LabeledLimit| ConfiguredShare {
            label: limit.label,
            share: self.limits.share(limit.limit),
        };
        self.limits.configured().limits().map(share_of)
    }

    /// The status of all ejections, or of those of one chunk server, as JSON.
    ///
    /// # Errors
    /// Ejections are not shared, or there is no such server.
    pub(super) fn ejection_status(
        &self,
        now: Nanos,
        server_name: Option<&str>,
    ) -> Result<Value, EjectionStatusError> {
        let ejections = self
            .ejections
            .as_ref()
            .ok_or(EjectionStatusError::NotShared)?;
        let names = DisplayNames {
            fronts: &self.config.membership_list.names(),
            zones: self.config.membership_list.zones(),
            classes: &self.class_names,
        };
        let status = ejections.status(now, &self.gossip, &names, server_name);
        let unknown =
            || EjectionStatusError::UnknownServer(server_name.unwrap_or_default().to_owned());
        status.ok_or_else(unknown)
    }

    /// The status of this front and of its peers as JSON.
    pub(super) fn status(&self, now: Nanos) -> Value {
        let coordinator = &self.coordinator;
        let membership_list = &self.config.membership_list;
        let peers: Vec<Value> = coordinator
            .members()
            .others()
            .map(|peer| self.peer_json(peer, now))
            .collect();
        let issuers: Vec<&str> = coordinator
            .issuers_held(now)
            .into_iter()
            .map(|issuer| membership_list.name(issuer))
            .collect();
        let limits: Vec<Value> = self
            .configured_shares()
            .map(|limit| json!({"limit": limit.label, "part": limit.share.as_fraction()}))
            .collect();
        json!({
            "name": membership_list.name(coordinator.config().me),
            "boot": incarnation_text(coordinator.incarnation()),
            "revision": coordinator.config().revision,
            "settled": coordinator.is_settled(),
            "just_started": coordinator.is_starting(now),
            "standing_back": self.is_standby(now),
            "other_roster": coordinator.yields_to_roster(now),
            "banks": issuers,
            "limits": limits,
            "peers": peers,
        })
    }

    fn peer_json(&self, peer: PeerId, now: Nanos) -> Value {
        let membership_list = &self.config.membership_list;
        let report = self.coordinator.peer_report(now, peer);
        let version = self.gossip.get(now, peer, VERSION_KEY);
        let heard_by: Vec<&str> = report
            .reachable_from
            .iter()
            .map(|other| membership_list.name(*other))
            .collect();
        json!({
            "name": membership_list.name(peer),
            "address": membership_list.members()[peer.index()].address.to_string(),
            "belief": status_name(report.status),
            "boot": report.incarnation.map(incarnation_text),
            "silent_ms": report.silent_for.map(millis),
            "heard_by": heard_by,
            "second_process": report.conflicting.map(incarnation_text),
            "version": version.map(|entry| String::from_utf8_lossy(entry.value).into_owned()),
            "told_ms": version.map(|entry| millis(entry.age)),
            "lent": report.granted.as_fraction(),
            "borrowed": report.leased.as_fraction(),
        })
    }
}

/// An incarnation as operators see it: 16 hexadecimal digits.
fn incarnation_text(incarnation: Incarnation) -> String {
    format!("{:016x}", incarnation.0)
}

/// The name of a peer's status in the log and on the console.
fn status_name(status: PeerStatus) -> &'static str {
    match status {
        PeerStatus::Unknown => "unheard",
        PeerStatus::Alive => "alive",
        PeerStatus::Suspect => "suspect",
        PeerStatus::Dead => "dead",
        PeerStatus::Left => "left",
    }
}
