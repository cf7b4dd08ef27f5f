//! Identifiers of servers, classes of work and zones.

use tulipbridge_membership::numeric_newtype;

numeric_newtype! {
    /// One run of a chunk server, identified by a digest of its name and its start time, so that a
    /// restarted server counts as a new one.
    ServerId(u64)
}

numeric_newtype! {
    /// A class of work, by its number in the settings that all fronts share.
    ClassId(u8)
}

numeric_newtype! {
    /// A zone, by its number in the settings that all fronts share.
    ZoneId(u8)
}
