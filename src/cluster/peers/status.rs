//! The status of the peers for operators: log lines about changes, gauges, and JSON for the
//! console. The keys of the JSON are part of the console's interface.

use simd_json::{json, OwnedValue as Value};
use tulipbridge_core::Nanos;
use tulipbridge_fleet_limits::{Limit, LimitCoordinator, Share};
use tulipbridge_membership::{Incarnation, PeerId, PeerStatus};

use super::{Peers, VERSION_KEY};
use crate::cluster::clock::{self, millis};
use crate::cluster::ejections::DisplayNames;
use crate::cluster::errors::EjectionStatusError;
use crate::cluster::limits::fraction;
use crate::telemetry::log::log;

impl Peers {
    /// Logs what has changed since the last call and sets the gauges.
    pub(super) fn report_status(&self) {
        let now = clock::now();
        let coordinator = self.coordinator.borrow();
        let standby = self.is_standby(&coordinator, now);
        self.log_peer_changes(&coordinator, now);
        self.log_standby_change(&coordinator, standby, now);
        let is_alive =
            |peer: &PeerId| coordinator.members().status(now, *peer) == PeerStatus::Alive;
        self.metrics
            .alive
            .set(coordinator.members().others().filter(is_alive).count() as i64);
        self.metrics
            .issuers_held
            .set(coordinator.issuers_held(now).len() as i64);
        self.metrics.standby.set(i64::from(standby));
        for (limit, share) in self.configured_shares() {
            self.metrics.set_share(limit, share);
        }
    }

    /// Whether this front uses no fleet-wide limit, because another process has its name or its
    /// address or because it yields to a conflicting roster.
    fn is_standby(&self, coordinator: &LimitCoordinator, now: Nanos) -> bool {
        coordinator.is_standby(now) || !self.socket.is_bound()
    }

    fn log_peer_changes(&self, coordinator: &LimitCoordinator, now: Nanos) {
        let config = self.config.borrow();
        let mut logged_status = self.logged_status.borrow_mut();
        for peer in coordinator.members().others() {
            let status = coordinator.members().status(now, peer);
            let previous = std::mem::replace(&mut logged_status[peer.index()], status);
            if previous != status {
                log!(
                    "peers: {} is {}",
                    config.roster.name(peer),
                    status_name(status)
                );
            }
        }
    }

    fn log_standby_change(&self, coordinator: &LimitCoordinator, standby: bool, now: Nanos) {
        if self.was_standby.replace(standby) == standby {
            return;
        }
        if !standby {
            log!("peers: this front shares limits again");
        } else if coordinator.yields_to_roster(now) {
            let revision = coordinator.config().revision;
            log!(
                "peers: others run with another roster of revision {revision}; this one uses no shared limit"
            );
        } else {
            let config = self.config.borrow();
            let name = config.roster.name(coordinator.config().me);
            log!(
                "peers: another process has the name {name}; this one uses no shared limit until it is gone"
            );
        }
    }

    /// This front's share of each configured limit, by the limit's label.
    fn configured_shares(&self) -> Vec<(&'static str, Share)> {
        let limits = self.limits.borrow();
        let share_of = |(limit, label): (Limit, &'static str)| (label, limits.share(limit));
        limits.configured().limits().map(share_of).collect()
    }

    /// The status of all ejections, or of those of one chunk server, as JSON.
    ///
    /// # Errors
    /// Ejections are not shared, or there is no such server.
    pub fn ejection_status(&self, server_name: Option<&str>) -> Result<Value, EjectionStatusError> {
        let ejections = self.ejections.borrow();
        let ejections = ejections.as_ref().ok_or(EjectionStatusError::NotShared)?;
        let config = self.config.borrow();
        let fronts = config.roster.names();
        let names = DisplayNames {
            fronts: &fronts,
            zones: config.roster.zones(),
            classes: &self.class_names,
        };
        let status = ejections.status(clock::now(), &self.gossip.borrow(), &names, server_name);
        let unknown =
            || EjectionStatusError::UnknownServer(server_name.unwrap_or_default().to_owned());
        status.ok_or_else(unknown)
    }

    /// The status of this front and of its peers as JSON.
    pub fn status(&self) -> Value {
        let (coordinator, config, now) = (
            self.coordinator.borrow(),
            self.config.borrow(),
            clock::now(),
        );
        let roster = &config.roster;
        let peers: Vec<Value> = coordinator
            .members()
            .others()
            .map(|peer| self.peer_json(&coordinator, peer, now))
            .collect();
        let issuers: Vec<&str> = coordinator
            .issuers_held(now)
            .into_iter()
            .map(|issuer| roster.name(issuer))
            .collect();
        let limits: Vec<Value> = self
            .configured_shares()
            .into_iter()
            .map(|(limit, share)| json!({"limit": limit, "part": fraction(share)}))
            .collect();
        json!({
            "name": roster.name(coordinator.config().me),
            "boot": incarnation_text(coordinator.incarnation()),
            "revision": coordinator.config().revision,
            "settled": coordinator.is_settled(),
            "just_started": coordinator.is_starting(now),
            "standing_back": self.is_standby(&coordinator, now),
            "other_roster": coordinator.yields_to_roster(now),
            "banks": issuers,
            "limits": limits,
            "peers": peers,
        })
    }

    fn peer_json(&self, coordinator: &LimitCoordinator, peer: PeerId, now: Nanos) -> Value {
        let (config, gossip) = (self.config.borrow(), self.gossip.borrow());
        let roster = &config.roster;
        let report = coordinator.peer_report(now, peer);
        let version = gossip.get(now, peer, VERSION_KEY);
        let heard_by: Vec<&str> = report
            .reachable_from
            .iter()
            .map(|other| roster.name(*other))
            .collect();
        json!({
            "name": roster.name(peer),
            "address": roster.members()[peer.index()].address.to_string(),
            "belief": status_name(report.status),
            "boot": report.incarnation.map(incarnation_text),
            "silent_ms": report.silent_for.map(millis),
            "heard_by": heard_by,
            "second_process": report.conflicting.map(incarnation_text),
            "version": version.map(|entry| String::from_utf8_lossy(entry.value).into_owned()),
            "told_ms": version.map(|entry| millis(entry.age)),
            "lent": fraction(report.granted),
            "borrowed": fraction(report.leased),
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
