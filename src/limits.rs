//! Limits that several modules share.

/// The most bytes of a body, in either direction, that is buffered completely.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Most fronts of a roster.
pub(crate) const MAX_FRONTS: u16 = 1_000;
/// Most zones of a roster: a zone's number must fit into one byte.
pub(crate) const MAX_ZONES: usize = u8::MAX as usize;
