//! Limits that hold for a whole fleet of fronts. Each front runs one [`Quota`]: it is told the time, what is asked for
//! and what the others' beats say, and says which part of each limit its front may use now. The parts of all fronts
//! together never exceed the whole, whatever is lost, late, repeated, cut off, stopped or started again.
//!
//! There is no I/O here and no clock. How it works and which bounds hold is in `docs/fleet-limits.md`.
//!
//! ```
//! use tulipbridge_fleet_limits::{Event, Limit, Quota, Terms, WHOLE};
//!
//! let second = 1_000_000_000;
//! let mut alone = Quota::new(Terms::new(0, 1, 7), 1, 0).expect("terms hold");
//! let mut effects = Vec::new();
//! alone.on(3 * second, Event::Beat, &mut effects);
//! alone.on(3 * second, Event::Asked { limit: Limit::Volume(9), units: 2.0 }, &mut effects);
//! assert_eq!(alone.part(3 * second, Limit::Volume(9)), WHOLE, "the only front of a fleet may use it all");
//! ```

use serde::{Deserialize, Serialize};

mod beat;
mod machine;
mod meter;
pub mod mutations;
mod terms;

pub use beat::{Demand, Heartbeat, Lease, LeaseGrant};
pub use machine::{Effect, Event, LimitCoordinator, PeerReport};
pub use terms::{LimitsConfig, LimitsConfigError};
pub use tulipbridge_membership::{Incarnation, MessageStatus, Nanos, PeerId, PeerStatus};

/// A limit that holds for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Limit {
    /// Further attempts, of whatever is asked for.
    Retries,
    /// What all storage servers are sent, each by limits of its own: units while it starts, requests out.
    ServerLoad,
    /// Units of a volume, by its name in the store.
    Volume(u64),
}

/// Parts of a limit: [`WHOLE`] is all of it, for the whole fleet.
pub type Share = u32;

/// All of a limit.
pub const FULL_SHARE: Share = 1_000_000;
