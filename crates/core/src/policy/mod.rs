//! All decisions of a front. The [`Scheduler`] takes events and coordinates; each other module owns
//! one concern and its state.

mod admission;
mod client_patience;
mod congestion_window;
mod endpoint_subscription;
mod health;
mod in_flight;
mod key_order;
mod latency;
mod learned_cost;
mod node;
mod node_table;
mod placement;
mod retry;
mod retry_budget;
mod scheduler;
mod send_rules;
mod shard_queues;
mod slow_start;
mod value;
mod volume_limits;
mod weight;

pub(crate) use node::Node;
pub(crate) use node_table::NodeTable;
pub use scheduler::{NodeCounts, Scheduler};

use crate::interface::Nanos;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
/// The time between two ticks, well below any latency objective that is likely to be configured.
const TICK_INTERVAL: Nanos = 10 * MILLISECOND;
