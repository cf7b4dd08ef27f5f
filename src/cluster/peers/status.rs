//! The status of this front and its peers for operators: log lines about changes, gauges, and JSON
//! for the console. The keys of the JSON are part of the console's interface.

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

/// The status that was last logged, so that each change is logged once.
pub(super) struct StatusLog {
    /// The status of each front, by its position in the membership list.
    peers: Vec<PeerStatus>,
    is_suspended: bool,
}

impl StatusLog {
    /// Creates the log of a front that has not heard from any peer.
    pub(super) fn new(fronts: usize) -> StatusLog {
        StatusLog {
            peers: vec![PeerStatus::Unknown; fronts],
            is_suspended: false,
        }
    }

    /// Returns the log for another membership list, of which no front has been logged yet.
    pub(super) fn restarted(&self, fronts: usize) -> StatusLog {
        StatusLog {
            is_suspended: self.is_suspended,
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

    /// Logs if this front has become suspended or is no longer suspended.
    fn log_suspension(
        &mut self,
        is_suspended: bool,
        coordinator: &LimitCoordinator,
        membership_list: &MembershipList,
        now: Nanos,
    ) {
        if std::mem::replace(&mut self.is_suspended, is_suspended) == is_suspended {
            return;
        }
        if !is_suspended {
            log!("peers: suspension ended: this front uses its shares of the fleet-wide limits");
        } else if coordinator.yields_to_membership_list(now) {
            let revision = coordinator.config().revision;
            log!(
                "peers: suspended without a share of the fleet-wide limits: other fronts have \
                 another membership list of revision {revision}"
            );
        } else {
            let name = membership_list.name(coordinator.config().me);
            log!(
                "peers: suspended without a share of the fleet-wide limits: another process has \
                 the name {name}"
            );
        }
    }
}

/// This front's share of a configured limit.
struct ConfiguredShare {
    /// Label of the limit in metrics and on the console.
    label: &'static str,
    share: Share,
}

impl PeersState {
    /// Returns the interval between two heartbeats, in nanoseconds.
    pub(super) fn heartbeat_interval(&self) -> u64 {
        self.coordinator.config().heartbeat_interval as u64
    }

    /// Returns the configured address at which this front receives the messages of its peers.
    pub(super) fn listen_address(&self) -> SocketAddr {
        self.config.listen
    }

    /// Logs status changes since the last call and sets the gauges.
    pub(super) fn report_status(&mut self, now: Nanos) {
        let is_suspended = self.is_suspended(now);
        let membership_list = &self.config.membership_list;
        self.status_log
            .log_peers(&self.coordinator, membership_list, now);
        self.status_log
            .log_suspension(is_suspended, &self.coordinator, membership_list, now);
        self.set_gauges(now, is_suspended);
    }

    fn set_gauges(&self, now: Nanos, is_suspended: bool) {
        let members = self.coordinator.members();
        let is_alive = |peer: &PeerId| members.status(now, *peer) == PeerStatus::Alive;
        let alive = members.others().filter(is_alive).count();
        let issuers_held = self.coordinator.issuers_held(now).len();
        let metrics = &self.handles.metrics;
        metrics.alive.set(alive as i64);
        metrics.issuers_held.set(issuers_held as i64);
        metrics.suspended.set(i64::from(is_suspended));
        for configured in self.configured_shares() {
            metrics.set_share(configured.label, configured.share);
        }
    }

    /// Returns whether this front is suspended: it has no share of any fleet-wide limit, because
    /// another process has its name or its address or because it yields to a conflicting membership
    /// list.
    fn is_suspended(&self, now: Nanos) -> bool {
        self.coordinator.is_suspended(now) || !self.handles.socket.is_bound()
    }

    fn configured_shares(&self) -> impl Iterator<Item = ConfiguredShare> + '_ {
        let share_of = move |limit: LabeledLimit| ConfiguredShare {
            label: limit.label,
            share: self.limits.share(limit.limit),
        };
        self.limits.configured().limits().map(share_of)
    }

    /// Returns the status of all ejections, or of those of one chunk server, as JSON.
    ///
    /// # Errors
    /// Returns an error if ejections are not shared or if there is no such server.
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

    /// Returns the status of this front and of its peers as JSON.
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
            "standing_back": self.is_suspended(now),
            "other_roster": coordinator.yields_to_membership_list(now),
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

/// Formats an incarnation for operators, as 16 hexadecimal digits.
fn incarnation_text(incarnation: Incarnation) -> String {
    format!("{:016x}", incarnation.0)
}

/// Returns the name of a peer's status in the log and on the console.
fn status_name(status: PeerStatus) -> &'static str {
    match status {
        PeerStatus::Unknown => "unheard",
        PeerStatus::Alive => "alive",
        PeerStatus::Suspect => "suspect",
        PeerStatus::Dead => "dead",
        PeerStatus::Left => "left",
    }
}
