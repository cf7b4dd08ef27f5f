//! The heartbeat message that fronts exchange.
//!
//! The order and the types of the fields are the wire format: fronts of two versions run side by
//! side during an upgrade.

use serde::{Deserialize, Serialize};

use tulipbridge_membership::PeerState;

use crate::{Incarnation, Limit, Nanos, PeerId, Share};

/// The sender's demand for one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// The limit.
    pub limit: Limit,
    /// Average demand, in thousandths of units per second.
    pub milli_units_per_second: u64,
}

/// A leased share of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The limit.
    pub limit: Limit,
    /// The share that the lessee may use.
    pub share: Share,
}

/// All leases that the sender grants to the receiver. A later grant replaces an earlier one as a
/// whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Sequence number over all grants of the sender, to whichever peer.
    pub number: u64,
    /// Lease duration, counted from when the receiver sent the heartbeat that this one echoes.
    pub duration: Nanos,
    /// The leases, at most one for each limit.
    pub leases: Vec<Lease>,
}

/// Identifies a grant to the front that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantInUse {
    /// The incarnation that made the grant.
    pub grantor: Incarnation,
    /// Its [`LeaseGrant::number`].
    pub number: u64,
}

/// The periodic message from one front to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Digest of the sender's roster.
    #[serde(rename = "roster")]
    pub membership_digest: u64,
    /// Revision of the sender's roster.
    pub revision: u32,
    /// What the sender says of itself and of the peers that it hears.
    pub state: PeerState,
    /// Whether the sender has held its own lease issuer under this roster.
    pub established: bool,
    /// Whether this answers a heartbeat that was not accepted; a reply is never answered.
    pub is_reply: bool,
    /// Homes of the lease issuers that the sender claims or wants to keep.
    pub claims: Vec<PeerId>,
    /// Those claims of the echoed heartbeat for which the sender votes.
    pub votes: Vec<PeerId>,
    /// The fronts that are known to have adopted the sender's roster.
    pub settled: Vec<PeerId>,
    /// Demand at the sender.
    pub demands: Vec<Demand>,
    /// The grant of the receiver that the sender uses now.
    pub grant_in_use: Option<GrantInUse>,
    /// Leases for the receiver.
    pub grant: LeaseGrant,
}
