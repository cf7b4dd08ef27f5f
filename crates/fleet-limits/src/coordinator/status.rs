//! Queries on the state of this front and of its peers, for operators and model checkers.

use std::hash::{Hash, Hasher};

use tulipbridge_membership::MembershipTable;

use super::LimitCoordinator;
use crate::{Incarnation, LimitsConfig, Nanos, PeerId, PeerStatus, Share};

/// What this front knows about a peer, for its operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Whether the peer is considered alive.
    pub status: PeerStatus,
    /// Its incarnation, once one has been accepted.
    pub incarnation: Option<Incarnation>,
    /// Time since its latest accepted message.
    pub silent_for: Option<Nanos>,
    /// The live fronts that report hearing it.
    pub reachable_from: Vec<PeerId>,
    /// Another incarnation under its name that was heard within the last lease span.
    pub conflicting: Option<Incarnation>,
    /// The largest share of any limit that this front leases to it.
    pub granted: Share,
    /// The largest share of any limit that this front leases from it.
    pub leased: Share,
}

impl LimitCoordinator {
    /// The incarnation of this front.
    pub fn incarnation(&self) -> Incarnation {
        self.members.incarnation()
    }

    /// The membership of the fleet as this front sees it.
    pub fn members(&self) -> &MembershipTable {
        &self.members
    }

    /// The configuration in force.
    pub fn config(&self) -> &LimitsConfig {
        &self.config
    }

    /// Whether every front is known to have adopted the roster.
    pub fn is_settled(&self) -> bool {
        self.adoption.is_settled(&self.config)
    }

    /// Whether the front counts as just started, so that it uses nothing of its own yet.
    pub fn is_starting(&self, now: Nanos) -> bool {
        self.adoption.is_starting(now)
    }

    /// Whether another process or another roster takes precedence, so that this front uses nothing.
    pub fn is_standby(&self, now: Nanos) -> bool {
        self.members.is_rejected(now) || self.yields_to_membership_list(now)
    }

    /// Whether another roster of the same revision takes precedence over this front's, so that it
    /// uses nothing.
    pub fn yields_to_membership_list(&self, now: Nanos) -> bool {
        self.adoption.is_preceded(now, &self.config)
    }

    /// Homes of the lease issuers that this front holds now.
    pub fn issuers_held(&self, now: Nanos) -> Vec<PeerId> {
        self.claims.held(now, &self.config).collect()
    }

    /// What this front knows about a peer.
    ///
    /// # Panics
    /// Where the roster has no such front.
    pub fn peer_report(&self, now: Nanos, peer: PeerId) -> PeerReport {
        let leases = self.peers.get(peer).leases();
        PeerReport {
            status: self.members.status(now, peer),
            incarnation: self.members.incarnation_of(peer),
            silent_for: self.members.last_message_at(peer).map(|at| now - at),
            reachable_from: self.members.reachable_from(now, peer).collect(),
            conflicting: self.members.conflicting_incarnation(now, peer),
            granted: leases.largest_granted_share(now),
            leased: leases.largest_held_share(now),
        }
    }

    /// Hashes everything on which later decisions depend, with times relative to `now`. A model
    /// checker treats states with equal fingerprints as equal.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.adoption.fingerprint(now, &self.config, hasher);
        self.members.fingerprint(now, hasher);
        self.peers.fingerprint(now, hasher);
        self.votes.fingerprint(now, hasher);
        self.claims.fingerprint(now, hasher);
        self.peers.grant_number().hash(hasher);
        self.reports.fingerprint(now, hasher);
        self.demand.fingerprint(now, hasher);
    }
}
