//! Identifiers. Each kind has a type of its own, so that one cannot stand for another.

use std::fmt;

/// Defines an identifier type that prints as its number.
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
    /// A client request, unique during the life of one front.
    RequestId(u64)
}

identifier! {
    /// A chunk server, numbered in the order in which the front first heard of it.
    NodeId(usize)
}

identifier! {
    /// A volume: the owner of data, and the unit of limits.
    VolumeId(u64)
}

identifier! {
    /// A piece of data, the unit of order.
    KeyId(u64)
}

identifier! {
    /// A shard. The chunk server that holds it may be replaced; the shard stays.
    ShardId(u32)
}
