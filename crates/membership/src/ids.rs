//! Identifiers. Each kind has a type of its own, so that one cannot stand for another.

/// Defines a number type of its own kind, which prints and is serialized as the bare number.
///
/// The type has its number as public field. It has no arithmetic: a kind that needs some defines it.
#[macro_export]
macro_rules! numeric_newtype {
    ($(#[$documentation:meta])* $name:ident($number:ty)) => {
        $(#[$documentation])*
        #[derive(
            Clone,
            Copy,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            Default,
            serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $number);

        impl std::fmt::Debug for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Debug::fmt(&self.0, formatter)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, formatter)
            }
        }
    };
}

numeric_newtype! {
    /// A front, by its position in the roster.
    PeerId(u16)
}

numeric_newtype! {
    /// One run of a front process; differs between all runs of a front.
    Incarnation(u64)
}

impl PeerId {
    /// The identifiers of all fronts of a roster of `front_count` fronts, in order.
    pub fn all(front_count: u16) -> impl DoubleEndedIterator<Item = PeerId> + Clone {
        (0..front_count).map(PeerId)
    }

    /// The front at a position in the roster. A roster has fewer fronts than `u16` has values.
    pub fn from_index(position: usize) -> PeerId {
        PeerId(position as u16)
    }

    /// The position in the roster, as an index.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}
