//! Limits that several modules share.

/// The maximum size of a request or response body that is buffered completely, in bytes.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The maximum number of fronts in a membership list.
pub(crate) const MAX_FRONTS: u16 = 1_000;
/// The maximum number of zones in a membership list: a zone's number must fit into one byte.
pub(crate) const MAX_ZONES: usize = u8::MAX as usize;
