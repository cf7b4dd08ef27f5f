//! Messages, inputs and actions of the gossip protocol.
//!
//! [`GossipMessage`] and the types in it are serialized between fronts of different versions: the
//! order and the types of their fields are part of the wire format.

use serde::{Deserialize, Serialize};

use super::GossipError;
use crate::{Echo, Incarnation, PeerId};

/// The key of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryKey {
    /// The namespace, one for each subsystem that uses gossip.
    pub kind: u8,
    /// The id within the namespace.
    pub id: u64,
}

/// An entry as sent in a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipEntry {
    /// The key.
    pub key: EntryKey,
    /// The version, counted by the origin's incarnation over all its entries.
    pub version: u64,
    /// Upper bound of its age when the message was sent, in milliseconds.
    pub age_ms: u32,
    /// The value; `None` if the entry was deleted.
    pub value: Option<Vec<u8>>,
}

/// The changes of one incarnation's entries within a range of versions, in the order of their
/// versions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// The front that wrote the entries.
    pub origin: PeerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The range starts after this version.
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
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The version of the latest known entry, 0 if there is none.
    pub version: u64,
}

/// A message from one front to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The latest message of the receiver that the sender has. Bounds the transit time of this
    /// message.
    pub echo: Option<Echo>,
    /// What the sender knows; complete only with `requests_missing`.
    pub knows: Vec<KnownVersion>,
    /// Whether `knows` is complete and the receiver shall send what the sender lacks.
    pub requests_missing: bool,
    /// Changed entries.
    pub deltas: Vec<Delta>,
}

/// An event that the gossip store handles.
#[derive(Clone, Debug)]
pub enum GossipInput {
    /// Write an entry of this front, or delete it if there is no value.
    Put(EntryKey, Option<Vec<u8>>),
    /// A round of messages is due.
    Round,
    /// An authenticated message was received.
    Received {
        /// Its sender.
        from: PeerId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// Its content.
        message: GossipMessage,
    },
}

/// A command to the caller, or a notification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a message.
    Send {
        /// The receiver.
        to: PeerId,
        /// The message.
        message: GossipMessage,
    },
    /// An entry of a peer was written or deleted.
    Changed(PeerId, EntryKey),
    /// All entries of a peer's earlier incarnation were discarded.
    Dropped(PeerId),
    /// A delta, or a whole message, was rejected.
    Rejected(GossipError),
}
