//! The decision module and the state machines of a storage front. The [`Scheduler`] decides when,
//! in which order and to which chunk server each request is sent, and where a new object is placed.
//! It has no clock, does no I/O and shares no state with other fronts: it handles events and
//! returns actions. The other modules are similar state machines, for connections, attempts,
//! discovery, maintenance, startup and shutdown.
//!
//! ```
//! use tulipbridge_core::{Action, Class, DeduplicationGroup, EndpointState, Event, NodeInfo, Plan};
//! use tulipbridge_core::{KeyId, NodeId, RequestId, ShardId, UpdateScope, VolumeId};
//! use tulipbridge_core::{Request, Scheduler, Semantics, Settings};
//!
//! let ms = 1_000_000;
//! let settings = Settings {
//!     front_count: 1,
//!     classes: vec![Class {
//!         latency_objective: 150 * ms,
//!         objective_stretch: 0.0,
//!         deadline: 1000 * ms,
//!         semantics: Semantics::Idempotent,
//!         group: DeduplicationGroup::All,
//!         window: 0,
//!         keep_order: false,
//!         late_value: 0.2,
//!         priority_weight: 3.0,
//!         writes: false,
//!     }],
//!     plans: vec![Plan {
//!         limit_rate: 0.0,
//!         limit_burst: 0.0,
//!         reserve_rate: 10.0,
//!         nominal_rate: 12.0,
//!         weight: 1.0,
//!         value_factor: 1.0,
//!     }],
//!     quantum: ms,
//!     warmup_units: 20.0,
//!     mean_units: 2.0,
//!     max_units: 8.0,
//!     fair_share_value: 0.4,
//!     idle_value: 0.05,
//!     usage_report_interval: 0,
//!     max_attempts: 3,
//!     hedging: false,
//!     cancellation: true,
//!     max_retry_after: 500 * ms,
//!     polls_discovery: true,
//!     poll_interval: 10_000 * ms,
//!     warmup_duration: 13_000 * ms,
//!     warmup_floor: 0.25,
//!     overload_factor: 3.0,
//!     overload_span: 1000 * ms,
//!     order_settle_time: 0,
//!     retry_budget: None,
//! };
//! let mut scheduler = Scheduler::new(settings, 7, 0).expect("valid settings");
//! let mut actions = Vec::new();
//! let node = NodeInfo {
//!     node: NodeId(0),
//!     zone: 0,
//!     shard: ShardId(4),
//!     state: EndpointState::Up,
//!     started_at: 0,
//! };
//! let endpoints = Event::Endpoints { scope: UpdateScope::Restored, nodes: vec![node] };
//! scheduler.handle(0, endpoints, &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     class: 0,
//!     plan: 0,
//!     volume: VolumeId(9),
//!     key: Some(KeyId(3)),
//!     client_timeout: 1000 * ms,
//!     units: 2.0,
//!     shard: Some(ShardId(4)),
//!     front_count: 1,
//!     continues_response: false,
//! };
//! scheduler.handle(ms, Event::Request(request), &mut actions);
//! assert!(actions.contains(&Action::Send { id: RequestId(1), node: NodeId(0), timeout: 0 }));
//! ```

pub mod attempt;
pub mod client_connection;
pub mod connection_limiter;
pub mod connection_pool;
pub mod discovery_watch;
mod ejection;
mod fleet_limits;
pub mod graceful_shutdown;
mod interface;
pub mod invariant_monitor;
pub mod maintenance;
pub mod maintenance_changes;
pub mod mutations;
mod policy;
pub mod request_tracker;
pub mod response_progress;
pub mod send_permission;
pub mod server_connection;
pub mod server_start_times;
pub mod settings_reload;
pub mod stall_detector;
pub mod startup_readiness;
mod state;
mod time_unit;

pub use interface::*;
pub use policy::{NodeCounts, Scheduler};
pub use state::Rate;
