//! Identifier types, one for each kind, so that the compiler rejects a mix-up.

use std::fmt;

/// Defines an identifier type that is printed as its bare number.
macro_rules! identifier {
    ($(#[$documentation:meta])* $name:ident($number:ty)) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $number);

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, formatter)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, formatter)
            }
        }
    };
}

identifier! {
    /// Identifies a client request, uniquely during the life of one front process.
    RequestId(u64)
}

identifier! {
    /// Identifies a chunk server, numbered in the order in which the front first learned of it.
    NodeId(usize)
}

identifier! {
    /// Identifies a volume, which owns data and to which limits apply.
    VolumeId(u64)
}

identifier! {
    /// Identifies a piece of data, within which requests may have to keep their order.
    KeyId(u64)
}

identifier! {
    /// Identifies a shard, which keeps its id when the chunk server that holds it is replaced.
    ShardId(u32)
}
