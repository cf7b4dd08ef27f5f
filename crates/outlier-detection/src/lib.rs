//! Verdicts on servers that a fleet of fronts reaches together. Each front runs one [`Verdicts`]: it is told what the
//! front's own attempts came to, reads what the others saw in the [`Entries`] that fronts exchange, and says which
//! servers the front should hold out, and when it is the front's turn to try one.
//!
//! There is no I/O here and no clock. How it works and which bounds hold is in `docs/fleet-verdicts.md`.

mod evidence;
mod machine;
pub mod mutations;
mod terms;
mod watch;

pub use evidence::{ClassEvidence, Evidence, SampleQuality};
pub use machine::{Effect, EjectionReport, Event, Observation, OutlierDetector, Vote};
pub use terms::{DetectorConfig, DetectorConfigError};
pub use tulipbridge_membership::{GossipStore, Incarnation, Key, Nanos, PeerId};
pub use watch::{AttemptObserver, AttemptResult};

use serde::{Deserialize, Serialize};

/// A run of a server: a digest of its name and of when it started, so that its next run is another.
pub type Server = u64;
/// A class of work, by its number in the settings that all fronts share.
pub type Class = u8;
/// A zone, by its number in the settings that all fronts share.
pub type Zone = u8;

/// For what a server is held out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// For all work of all fronts.
    All,
    /// For the fronts of one zone.
    Zone(Zone),
    /// For one class of work.
    Class(Class),
}

/// What a verdict is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EjectionTarget {
    /// The server.
    pub server: Server,
    /// For what.
    pub scope: Scope,
}

/// Entries that tell what a front saw; the id is the server.
pub const EVIDENCE: u8 = 2;
/// Entries by which a front assents; the id is the subject's own, see [`Subject::id`].
pub const VOTE: u8 = 3;
/// Entries by which the front that tries a server tells how often in a row it did well; the id is the server.
pub const PROBE: u8 = 4;

impl EjectionTarget {
    /// A number of its own for an entry's key. Two subjects that came to share one would replace each other's entry,
    /// which says what it is about: an assent less, and no verdict too many.
    pub fn id(&self) -> u64 {
        let scope = match self.scope {
            Scope::All => 0,
            Scope::Zone(zone) => 0x100 | u64::from(zone),
            Scope::Class(class) => 0x200 | u64::from(class),
        };
        mixed(self.server ^ scope.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

/// A number whose every bit hangs on every bit of another (splitmix64's finalizer).
pub(crate) fn mixed(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
