//! Numeric identifiers. Each kind has its own type, so that one cannot be passed for another.

/// Defines a newtype around a number that is printed and serialized as the bare number.
///
/// The number is a public field. The type has no arithmetic; a type that needs it implements it.
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
    /// A front, identified by its position in the membership list.
    PeerId(u16)
}

numeric_newtype! {
    /// One run of a front's process; every run of a front has a different value.
    Incarnation(u64)
}

impl PeerId {
    /// Returns the identifiers of a membership list with `front_count` fronts, in ascending order.
    pub fn all(front_count: u16) -> impl DoubleEndedIterator<Item = PeerId> + Clone {
        (0..front_count).map(PeerId)
    }

    /// Returns the front at a position in the membership list. A list has fewer fronts than `u16`
    /// has values.
    pub fn from_index(position: usize) -> PeerId {
        PeerId(position as u16)
    }

    /// Returns the position in the membership list, for indexing tables of all fronts.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}
