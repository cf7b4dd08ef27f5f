//! What can be ejected: a server, for all work or for a part of it.

use serde::{Deserialize, Serialize};

use crate::{ClassId, ServerId, ZoneId};

/// The work for which a server is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// All work of all fronts.
    All,
    /// All work of the fronts of one zone.
    Zone(ZoneId),
    /// One class of work of all fronts.
    Class(ClassId),
}

impl Scope {
    /// Returns the class of work that the scope is restricted to, if any.
    pub(crate) fn class(self) -> Option<ClassId> {
        match self {
            Scope::Class(class) => Some(class),
            Scope::All | Scope::Zone(_) => None,
        }
    }

    /// Returns whether the scope includes the fronts of a zone.
    pub(crate) fn includes_zone(self, zone: ZoneId) -> bool {
        match self {
            Scope::Zone(only) => only == zone,
            Scope::All | Scope::Class(_) => true,
        }
    }
}

/// What fronts vote to eject: a server, for a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EjectionTarget {
    /// The run of the server to be ejected.
    pub server: ServerId,
    /// The work for which the server is ejected.
    pub scope: Scope,
}

/// Fraction of the golden ratio, which spreads small numbers over 64 bits.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

impl EjectionTarget {
    /// Returns the identifier of the target in the keys of votes. If the identifiers of two targets
    /// collide, one vote replaces the other. The entry names its target, so that a vote is lost but
    /// none is counted for the wrong target.
    pub fn id(&self) -> u64 {
        let scope = match self.scope {
            Scope::All => 0,
            Scope::Zone(zone) => 0x100 | u64::from(zone.0),
            Scope::Class(class) => 0x200 | u64::from(class.0),
        };
        mix(self.server.0 ^ scope.wrapping_mul(GOLDEN_RATIO))
    }
}

/// Maps numbers one to one so that every output bit depends on every input bit (the finalizer of
/// splitmix64).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
