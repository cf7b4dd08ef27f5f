//! Units of time.

use crate::interface::Nanos;

/// The number of nanoseconds in a millisecond.
pub(crate) const MILLISECOND: Nanos = 1_000_000;
