//! Gossip of small key-value entries that each front replicates to all others.
//!
//! Each front writes only its own entries and numbers their versions. It sends its changes directly
//! to every peer as [`Delta`]s, and requests all entries that it lacks from one peer per round, so
//! that entries are also relayed around broken links. Entries of an earlier incarnation are
//! discarded once a later one is accepted. The number of entries, their size and the bytes sent per
//! second are limited.

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

/// Maximum number of entries of one front, including deleted ones.
pub const MAX_ENTRIES: usize = 4_096;
/// Maximum length of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 512;
