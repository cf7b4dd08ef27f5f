//! Rate and concurrency limits that hold for a whole fleet of front ends. Each front runs one
//! [`LimitCoordinator`], which receives the current time, the demand at its front and the
//! heartbeats of its peers, and returns the share of each limit that its front may use now. The
//! shares of all fronts never add up to more than the limit, whichever messages are lost, delayed
//! or duplicated, and whichever fronts are partitioned, paused, stopped or restarted.
//!
//! The crate does no I/O and reads no clock. The protocol and its bounds are described in
//! `docs/fleet-limits.md`.
//!
//! ```
//! use tulipbridge_fleet_limits::{
//!     Event, Incarnation, Limit, LimitCoordinator, LimitsConfig, PeerId, FULL_SHARE,
//! };
//!
//! let second = 1_000_000_000;
//! let volume = Limit::Volume(9);
//! let config = LimitsConfig::new(PeerId(0), 1, 7);
//! let mut coordinator =
//!     LimitCoordinator::new(config, Incarnation(1), 0).expect("the configuration is valid");
//! let mut effects = Vec::new();
//! coordinator.on(3 * second, Event::HeartbeatDue, &mut effects);
//! coordinator.on(3 * second, Event::Demanded { limit: volume, units: 2.0 }, &mut effects);
//! assert_eq!(
//!     coordinator.share(3 * second, volume),
//!     FULL_SHARE,
//!     "the only front of a fleet may use the whole limit"
//! );
//! ```

use serde::{Deserialize, Serialize};

mod adoption;
mod claims;
mod config;
mod coordinator;
mod demand;
mod event;
mod fingerprint;
mod granting;
mod heartbeat;
mod leases;
pub mod mutations;
mod peers;
mod share;
mod share_reports;
mod votes;

pub use config::{LimitsConfig, LimitsConfigError};
pub use coordinator::{LimitCoordinator, PeerReport};
pub use event::{Effect, Event};
pub use heartbeat::{Demand, GrantInUse, Heartbeat, Lease, LeaseGrant};
pub use share::{Share, FULL_SHARE};
pub use tulipbridge_membership::{Incarnation, MessageStatus, Nanos, PeerId, PeerStatus};

/// A limit that all fronts of the fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Limit {
    /// Second and later attempts of requests to any volume.
    Retries,
    /// Load on the chunk servers: units sent to a server that is warming up, and requests in flight
    /// at any server.
    ServerLoad,
    /// Units of work on one volume, given by the volume's identifier in the store.
    Volume(u64),
}
