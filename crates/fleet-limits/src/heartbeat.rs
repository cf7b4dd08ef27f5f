//! The heartbeat message that fronts exchange.
//!
//! The order and the types of the fields define the wire format. They must not change, because
//! fronts of two versions run side by side during an upgrade.

use serde::{Deserialize, Serialize};

use tulipbridge_membership::PeerState;

use crate::{Incarnation, Limit, Nanos, PeerId, Share};

/// Demand for one limit at the sending front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// The limit that is demanded.
    pub limit: Limit,
    /// Average demand, in thousandths of units per second.
    pub milli_units_per_second: u64,
}

/// A leased share of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The limit of which a share is leased.
    pub limit: Limit,
    /// The share that the receiver of the lease may use.
    pub share: Share,
}

/// All leases that the sender grants to the receiver. A later grant replaces an earlier one
/// entirely.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Sequence number of the grant among all grants of the sender to any peer.
    pub number: u64,
    /// Lease duration in nanoseconds from when the receiver sent the heartbeat that is echoed.
    pub duration: Nanos,
    /// The granted leases, at most one for each limit.
    pub leases: Vec<Lease>,
}

/// Identifies a grant in a heartbeat to the front that made the grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantInUse {
    /// The incarnation that made the grant.
    pub grantor: Incarnation,
    /// The [`LeaseGrant::number`] of the grant.
    pub number: u64,
}

/// The periodic message from one front to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Digest of the sender's membership list.
    #[serde(rename = "roster")]
    pub membership_digest: u64,
    /// Revision of the sender's membership list.
    pub revision: u32,
    /// What the sender reports about itself and about the peers from which it receives messages.
    pub state: PeerState,
    /// Whether the sender has held its own lease issuer under this membership list.
    pub established: bool,
    /// Whether this is a reply to a heartbeat that was not accepted. A reply is never answered.
    pub is_reply: bool,
    /// Owners of the lease issuers that the sender claims or wants to keep.
    pub claims: Vec<PeerId>,
    /// The claims of the echoed heartbeat for which the sender votes.
    pub votes: Vec<PeerId>,
    /// The fronts that the sender knows to have adopted its membership list.
    pub settled: Vec<PeerId>,
    /// Demand at the sender, for at most [`LimitsConfig::max_limits`](crate::LimitsConfig) limits.
    pub demands: Vec<Demand>,
    /// The receiver's latest grant that the sender has accepted. Earlier ones are no longer used.
    pub grant_in_use: Option<GrantInUse>,
    /// The leases that the sender grants to the receiver.
    pub grant: LeaseGrant,
}
