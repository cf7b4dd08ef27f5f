//! Why entries are refused.

use super::{MAX_ENTRIES, MAX_VALUE_BYTES};

/// Why a delta that was received is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GossipError {
    /// It is of an incarnation that is not the accepted one.
    #[error("the incarnation is not the accepted one")]
    StaleIncarnation,
    /// It starts after a version that is not known here.
    #[error("versions before the delta are missing")]
    MissingVersions,
    /// It has too many entries or too long a value, or its versions are out of order.
    #[error("the delta exceeds a limit or is out of order")]
    OutOfBounds,
    /// Its origin is this front, or is not in the roster.
    #[error("the origin is not another front of the roster")]
    UnknownOrigin,
    /// Its message has no echo of this incarnation, so the age of its entries has no bound.
    #[error("the message has no echo of this incarnation")]
    NoEcho,
}

/// Why an entry cannot be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The front has [`MAX_ENTRIES`] keys.
    #[error("a front may have {MAX_ENTRIES} entries")]
    TooMany,
    /// The value is longer than [`MAX_VALUE_BYTES`].
    #[error("an entry may have {MAX_VALUE_BYTES} bytes")]
    TooLong,
}
