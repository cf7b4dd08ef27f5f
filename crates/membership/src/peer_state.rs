//! What fronts report about themselves, and how such a report is judged.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Nanos, PeerId};

/// The latest message received from a peer.
///
/// Returned to that peer, it proves that the peer's messages arrive, and that the message with the
/// echo was sent later than the echoed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Echo {
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// When the peer sent the message, by its own clock.
    pub sent_at: Nanos,
}

/// The part of every message that describes its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerState {
    /// When the message was sent, by the sender's clock. Increases with each round of an
    /// incarnation.
    pub sent_at: Nanos,
    /// The latest message of the receiver that the sender has.
    pub echo: Option<Echo>,
    /// An incarnation of the receiver that the sender rejects, because another one is alive.
    pub conflicting: Option<Incarnation>,
    /// Whether the sender is shutting down.
    pub shutting_down: bool,
    /// Peers that the sender has received messages from lately.
    pub reachable: Vec<PeerId>,
}

/// How a received message was judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageStatus {
    /// Accepted.
    Accepted {
        /// Whether it is the first one of its incarnation. State of an earlier incarnation is
        /// obsolete then.
        first: bool,
    },
    /// A later message, or the same one, was received before.
    Stale,
    /// The sender has not yet shown that it receives this front's messages; the message may be a
    /// replay.
    Unconfirmed,
    /// Another incarnation of the sender is alive.
    Conflicting,
    /// The sender uses another roster, by which its position means nothing here.
    MembershipListMismatch,
    /// The position is not in the roster, or is that of this front.
    UnknownPeer,
}

/// The state of a peer as the failure detector sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerStatus {
    /// No message was received from it.
    Unknown,
    /// Messages arrive.
    Alive,
    /// No messages arrive, but another front receives them: the link is bad.
    Suspect,
    /// No front has received a message within the failure timeout.
    Dead,
    /// It reported that it shuts down.
    Left,
}
