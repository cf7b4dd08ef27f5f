//! The state that fronts report about themselves, and the results of receiving such a report.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Nanos, PeerId};

/// Identifies the latest message received from a peer.
///
/// Sent back to that peer, it proves that the peer's messages arrive, and that the message that
/// contains the echo was sent after the echoed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Echo {
    /// The incarnation of the peer that sent the echoed message.
    pub incarnation: Incarnation,
    /// When the peer sent the echoed message, by its own clock.
    pub sent_at: Nanos,
}

/// The part of every message that describes its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerState {
    /// When the round of this message began, by the sender's clock. Increases with every round of
    /// an incarnation.
    pub sent_at: Nanos,
    /// The latest message that the sender has received from the receiver.
    pub echo: Option<Echo>,
    /// The incarnation of the receiver that the sender rejects because another one is alive.
    pub conflicting: Option<Incarnation>,
    /// Whether the sender is shutting down.
    pub shutting_down: bool,
    /// Peers from which the sender has recently received messages.
    pub reachable: Vec<PeerId>,
}

/// The result of receiving a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageStatus {
    /// The message was recorded as the sender's latest one.
    Accepted {
        /// Whether it is the first accepted message of its incarnation, which makes the state of an
        /// earlier incarnation obsolete.
        first: bool,
    },
    /// The same message or a later one was received before.
    Stale,
    /// The sender has not yet shown that it receives this front's messages; the message may be a
    /// replay.
    Unconfirmed,
    /// Another incarnation of the sender is alive.
    Conflicting,
    /// The sender uses another membership list, so its position may denote another front here.
    MembershipListMismatch,
    /// The sender's position is not in the membership list, or is that of this front.
    UnknownPeer,
}

/// The state of a peer as the failure detector sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerStatus {
    /// No incarnation of it has been accepted, and no live peer reports receiving its messages.
    Unknown,
    /// Its messages arrive, and it is not shutting down.
    Alive,
    /// Its messages do not arrive here, but a live peer reports receiving them, so the link may be
    /// broken.
    Suspect,
    /// No message has arrived within the failure timeout, and no live peer reports receiving any.
    Dead,
    /// It reported that it is shutting down.
    Left,
}
