//! What one front tells another with each beat.

use serde::{Deserialize, Serialize};

use tulipbridge_membership::PeerState;

use crate::{Incarnation, Limit, Nanos, PeerId, Share};

/// What is asked for of a limit at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// The limit.
    pub limit: Limit,
    /// Thousandths of units a second.
    pub milli_units_per_second: u64,
}

/// A part of a limit, lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The limit.
    pub limit: Limit,
    /// How much of it.
    pub share: Share,
}

/// All that the sender lends the receiver: what an earlier one said and this one does not is lent no more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Counts the sender's beats to anybody.
    pub number: u64,
    /// The loans end this long after the receiver sent the beat that is echoed.
    pub duration: Nanos,
    /// Each limit once.
    pub leases: Vec<Lease>,
}

/// From one front to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's roster, as a digest.
    pub roster: u64,
    /// Its revision.
    pub revision: u32,
    /// What it says of itself.
    pub state: PeerState,
    /// Whether it has held its own bank with this roster.
    pub established: bool,
    /// It answers a message that counts for nothing, and is not answered itself.
    pub is_reply: bool,
    /// Banks that the sender wants to hold or to go on holding.
    pub claims: Vec<PeerId>,
    /// Of the banks that the receiver wanted in the beat that is echoed, those that the sender agrees to.
    pub votes: Vec<PeerId>,
    /// Who has taken the sender's roster, as far as it knows.
    pub settled: Vec<PeerId>,
    /// What the sender asks for.
    pub demands: Vec<Demand>,
    /// Number of the loans from the receiver that the sender uses now, with the receiver's boot.
    pub grant_in_use: Option<(Incarnation, u64)>,
    /// What the sender lends.
    pub grant: LeaseGrant,
}
