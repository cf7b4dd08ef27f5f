//! Membership and gossip for a fleet of front-end processes ("fronts").
//!
//! The crate does no I/O and reads no clock: callers pass in received messages and the current
//! time.
//!
//! - [`MembershipTable`] is the failure detector: it records the [`PeerState`] that each front
//!   reports and when, and derives the [`PeerStatus`] of each peer.
//! - [`GossipStore`] replicates small key-value entries between fronts.
//! - [`EnvelopeCodec`] frames and authenticates messages between fronts.
//!
//! A front is identified by its position in the membership list **and** by its incarnation, so that
//! reports of an earlier process are not attributed to its successor. A new incarnation is accepted
//! once it has shown that it receives this front's messages. While an incarnation is alive, another
//! incarnation at the same position is a conflict and is rejected.

mod envelope;
mod gossip;
mod ids;
mod membership_table;
mod peer_state;

pub use envelope::{Envelope, EnvelopeCodec, EnvelopeError, MAX_MESSAGE_BYTES};
pub use gossip::{
    Delta, EntryError, EntryKey, GossipAction, GossipEntry, GossipError, GossipInput,
    GossipMessage, GossipStore, KnownVersion, StoredValue, MAX_ENTRIES, MAX_VALUE_BYTES,
};
pub use ids::{Incarnation, PeerId};
pub use membership_table::MembershipTable;
pub use peer_state::{Echo, MessageStatus, PeerState, PeerStatus};

/// A point in time or a duration in nanoseconds, by the clock of one front. The clock also advances
/// while the front's process is stopped.
pub type Nanos = i64;
