//! What one front tells another with each beat.

use serde::{Deserialize, Serialize};

use tulipbridge_membership::PeerState;

use crate::{Incarnation, Limit, Nanos, Part, PeerId};

/// What is asked for of a limit at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// The limit.
    pub limit: Limit,
    /// Thousandths of units a second.
    pub milli: u64,
}

/// A part of a limit, lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Loan {
    /// The limit.
    pub limit: Limit,
    /// How much of it.
    pub part: Part,
}

/// All that the sender lends the receiver: what an earlier one said and this one does not is lent no more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Loans {
    /// Counts the sender's beats to anybody.
    pub number: u64,
    /// The loans end this long after the receiver sent the beat that is echoed.
    pub term: Nanos,
    /// Each limit once.
    pub parts: Vec<Loan>,
}

/// From one front to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Beat {
    /// The sender's roster, as a digest.
    pub roster: u64,
    /// Its revision.
    pub revision: u32,
    /// What it says of itself.
    pub hello: PeerState,
    /// Whether it has held its own bank with this roster.
    pub established: bool,
    /// It answers a message that counts for nothing, and is not answered itself.
    pub reply: bool,
    /// Banks that the sender wants to hold or to go on holding.
    pub wants: Vec<PeerId>,
    /// Of the banks that the receiver wanted in the beat that is echoed, those that the sender agrees to.
    pub agrees: Vec<PeerId>,
    /// Who has taken the sender's roster, as far as it knows.
    pub settled: Vec<PeerId>,
    /// What the sender asks for.
    pub asks: Vec<Ask>,
    /// Number of the loans from the receiver that the sender uses now, with the receiver's boot.
    pub uses: Option<(Incarnation, u64)>,
    /// What the sender lends.
    pub loans: Loans,
}
