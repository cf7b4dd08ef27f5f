//! Membership of a fleet of front-end processes and gossip between them, without I/O and without a
//! clock.
//!
//! - [`MembershipTable`] is the failure detector: it records the [`PeerState`] that each front
//!   reports and when, and derives the [`PeerStatus`] of each peer.
//! - [`GossipStore`] replicates small entries between fronts.
//! - [`EnvelopeCodec`] frames and authenticates messages.
//!
//! A front is identified by its position in the operators' roster **and** by its incarnation, so
//! that reports of a predecessor are not attributed to its successor. A new incarnation is accepted
//! once it has shown that it receives this front's messages. While an incarnation is alive, another
//! one with its position is a conflict.

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

/// A time or a duration in nanoseconds, by the clock of one front, which also advances while the
/// front is stopped.
pub type Nanos = i64;
