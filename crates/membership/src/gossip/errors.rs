//! Errors of writing entries and of receiving gossip.

use super::{MAX_ENTRIES, MAX_VALUE_BYTES};

/// Why a received delta or message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GossipError {
    /// Its incarnation is not the accepted one of the origin or the sender, or the sender is not
    /// alive.
    #[error("the incarnation is not the accepted one")]
    StaleIncarnation,
    /// It starts after a version that this front does not have yet.
    #[error("versions before the delta are missing")]
    MissingVersions,
    /// It has too many entries, a value that is too long, or versions outside its range or out of
    /// order.
    #[error("the delta exceeds a limit or is out of order")]
    OutOfBounds,
    /// Its origin is this front, or is not in the membership list.
    #[error("the origin is not another front of the membership list")]
    UnknownOrigin,
    /// Its message has no echo of this front's incarnation, so its transit time and thus the age of
    /// its entries have no upper limit.
    #[error("the message has no echo of this incarnation")]
    NoEcho,
}

/// Why an entry cannot be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The key is new and the front already has [`MAX_ENTRIES`] entries.
    #[error("too many entries: the maximum is {MAX_ENTRIES}")]
    TooMany,
    /// The value is longer than [`MAX_VALUE_BYTES`].
    #[error("the value exceeds {MAX_VALUE_BYTES} bytes")]
    TooLong,
}
