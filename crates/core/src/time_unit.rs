//! Units of time.

use crate::interface::Nanos;

/// One millisecond.
pub(crate) const MILLISECOND: Nanos = 1_000_000;
