//! Units of time, and the moment at which the models start.

use tulipbridge_core::Nanos;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// When the models of a single front start. Nothing depends on its value.
pub const START: Nanos = 100_000 * MS;
