//! Gossip: small key-value entries that each front replicates to all others.
//!
//! Each front writes only its own entries and counts their versions. A front sends its changes
//! directly to each peer as [`Delta`]s, and asks one peer per round for all that it lacks, so that
//! entries also travel around bad links. Entries of an earlier incarnation are discarded once a
//! later one is accepted. The number of entries, their size and the bytes sent per second are
//! bounded.

mod acknowledgement;
mod byte_budget;
mod errors;
mod messages;
mod origin;
mod store;

pub use self::errors::{EntryError, GossipError};
pub use self::messages::{
    Delta, EntryKey, GossipAction, GossipEntry, GossipInput, GossipMessage, KnownVersion,
};
pub use self::origin::StoredValue;
pub use self::store::GossipStore;

/// Cap on the entries of one front, including deleted ones.
pub const MAX_ENTRIES: usize = 4_096;
/// Cap on the length of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 512;
