//! Queries about the state of this front and of its peers, for operators and model checkers.

use std::hash::{Hash, Hasher};

use tulipbridge_membership::MembershipTable;

use super::LimitCoordinator;
use crate::{Incarnation, LimitsConfig, Nanos, PeerId, PeerStatus, Share};

/// One front's view of a peer, for status output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// State of the peer by this front's failure detector.
    pub status: PeerStatus,
    /// The peer's latest accepted incarnation; `None` before the first one.
    pub incarnation: Option<Incarnation>,
    /// Nanoseconds since the peer's latest accepted message; `None` before the first one.
    pub silent_for: Option<Nanos>,
    /// The live fronts that report receiving the peer's messages.
    pub reachable_from: Vec<PeerId>,
    /// Another incarnation of the peer from which a message arrived within the last lease span.
    pub conflicting: Option<Incarnation>,
    /// The largest share of any limit that this front leases to the peer.
    pub granted: Share,
    /// The largest share of any limit that this front leases from the peer.
    pub leased: Share,
}

impl LimitCoordinator {
    /// Returns the incarnation of this front.
    pub fn incarnation(&self) -> Incarnation {
        self.members.incarnation()
    }

    /// Returns the membership of the fleet as this front sees it.
    pub fn members(&self) -> &MembershipTable {
        &self.members
    }

    /// Returns the configuration in use.
    pub fn config(&self) -> &LimitsConfig {
        &self.config
    }

    /// Returns whether every front is known to have adopted the membership list.
    pub fn is_settled(&self) -> bool {
        self.adoption.is_settled(&self.config)
    }

    /// Returns whether this front is in its startup period, in which it uses nothing of its own.
    pub fn is_starting(&self, now: Nanos) -> bool {
        self.adoption.is_starting(now)
    }

    /// Returns whether this front is suspended: another process or another membership list takes
    /// precedence, so that this front uses nothing.
    pub fn is_suspended(&self, now: Nanos) -> bool {
        self.members.is_rejected(now) || self.yields_to_membership_list(now)
    }

    /// Returns whether another membership list of the same revision takes precedence over this
    /// front's, so that this front uses nothing.
    pub fn yields_to_membership_list(&self, now: Nanos) -> bool {
        self.adoption.is_preceded(now, &self.config)
    }

    /// Returns the owners of the lease issuers that this front holds now.
    pub fn issuers_held(&self, now: Nanos) -> Vec<PeerId> {
        self.claims.held(now, &self.config).collect()
    }

    /// Returns this front's view of a peer.
    ///
    /// # Panics
    /// Panics if the membership list has no such front.
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
