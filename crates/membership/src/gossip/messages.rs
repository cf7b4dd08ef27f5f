//! Messages, inputs and actions of the gossip protocol.
//!
//! [`GossipMessage`] and the types in it are serialized between fronts of different versions: the
//! order and the types of their fields are part of the wire format.

use serde::{Deserialize, Serialize};

use super::GossipError;
use crate::{Echo, Incarnation, PeerId};

/// The key of an entry, unique among the entries of its origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryKey {
    /// The namespace. Subsystems that use gossip have separate namespaces.
    pub kind: u8,
    /// The id within the namespace.
    pub id: u64,
}

/// An entry as it is sent in a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipEntry {
    /// The key that the entry is stored under.
    pub key: EntryKey,
    /// The version of the change. An incarnation of the origin numbers the changes of all its
    /// entries in one sequence.
    pub version: u64,
    /// Upper limit of the entry's age when the message was sent, in milliseconds.
    pub age_ms: u32,
    /// The value; `None` if the entry was deleted.
    pub value: Option<Vec<u8>>,
}

/// The changes of one incarnation's entries within a range of versions, in ascending order of
/// version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// The front that wrote the entries.
    pub origin: PeerId,
    /// The incarnation of the origin that wrote them.
    pub incarnation: Incarnation,
    /// The version before the first one of the range.
    pub after: u64,
    /// The last version of the range.
    pub to: u64,
    /// The latest change of each entry that changed within the range.
    pub entries: Vec<GossipEntry>,
}

/// The version up to which a front knows the entries of an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KnownVersion {
    /// The front that wrote the entries.
    pub origin: PeerId,
    /// The incarnation of the origin that wrote them.
    pub incarnation: Incarnation,
    /// The version of the latest known entry, 0 if there is none.
    pub version: u64,
}

/// A gossip message from one front to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The latest message that the sender has received from the receiver. Bounds the transit time
    /// of this message.
    pub echo: Option<Echo>,
    /// Versions that the sender knows; complete only if `requests_missing` is set.
    pub knows: Vec<KnownVersion>,
    /// Whether the receiver is asked to send the entries that are missing from `knows`, which is
    /// complete then.
    pub requests_missing: bool,
    /// Changes of entries that the receiver is not known to have.
    pub deltas: Vec<Delta>,
}

/// An event that the gossip store handles.
#[derive(Clone, Debug)]
pub enum GossipInput {
    /// Write an entry of this front, or delete it if the value is `None`.
    Put(EntryKey, Option<Vec<u8>>),
    /// The next round of messages is due.
    Round,
    /// An authenticated message was received.
    Received {
        /// The authenticated sender.
        from: PeerId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The decoded content.
        message: GossipMessage,
    },
}

/// A command or a notification from the gossip store to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// The caller must send a message to a peer.
    Send {
        /// The peer to send it to.
        to: PeerId,
        /// The content to send.
        message: GossipMessage,
    },
    /// The replica of a peer's entry was written or deleted.
    Changed(PeerId, EntryKey),
    /// All entries of a peer's earlier incarnation were discarded.
    Dropped(PeerId),
    /// A delta, or a whole message, was rejected.
    Rejected(GossipError),
}
