//! The types at the boundary of the decision module: its settings, the events that it handles and
//! the actions that it returns.
//!
//! Classes, plans, zones, shards and chunk servers are indices; volumes, keys and requests are
//! opaque integers, so that no name can influence a decision. All times are integer nanoseconds.

mod endpoints;
mod events;
mod fleet;
mod ids;
mod request;
mod settings;

pub use endpoints::{EndpointState, NodeInfo, UpdateScope};
pub use events::{Action, Event, Outcome, RuntimeCommand};
pub use fleet::{ClassSet, FleetUpdate, SharedLimit};
pub use ids::{KeyId, NodeId, RequestId, ShardId, VolumeId};
pub use request::Request;
pub use settings::{
    Class, DeduplicationGroup, Plan, RetryBudget, Semantics, Settings, SettingsError,
};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = i64;
