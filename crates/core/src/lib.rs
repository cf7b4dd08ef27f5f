//! The decisions of tulipbridge. It decides, at one initiator, when, in what order and whether each storage request goes to its node,
//! and where a new object is put. It holds no clock, does no I/O and shares nothing with other initiators: feed
//! it events, carry out its actions.
//!
//! ```
//! use tulipbridge_core::{Action, Class, Event, Group, Listed, NodeInfo, Plan, Request, Scheduler, Scope, Semantics};
//! use tulipbridge_core::Settings;
//!
//! let ms = 1_000_000;
//! let settings = Settings {
//!     initiators: 1,
//!     classes: vec![Class {
//!         aim: 150 * ms, aim_stretch: 0.0, deadline: 1000 * ms, semantics: Semantics::Idempotent,
//!         group: Group::All, window: 0, keep_order: false, late_worth: 0.2, points: 3.0, writes: false,
//!     }],
//!     plans: vec![Plan {
//!         limit_rate: 0.0, limit_burst: 0.0, reserve_rate: 10.0, nominal: 12.0, weight: 1.0, price: 1.0,
//!     }],
//!     quantum: ms, cold_units: 20.0, unit_mean: 2.0, most_units: 8.0, fair_worth: 0.4, idle_worth: 0.05,
//!     use_period: 0, most_tries: 3, second_copies: false, cancelling: true, max_retry_after: 500 * ms, list_on_request: true,
//!     ask_every: 10_000 * ms, cold: 13_000 * ms, cold_from: 0.25, tip_multiple: 3.0,
//!     fall: 1000 * ms, order_settle: 0, budget: None,
//! };
//! let mut scheduler = Scheduler::new(settings, 7, 0).expect("settings hold");
//! let mut actions = Vec::new();
//! let node = NodeInfo { node: 0, zone: 0, cell: 4, listed: Listed::Up, came_up: 0 };
//! scheduler.handle(0, Event::Fleet { scope: Scope::Restored, nodes: vec![node] }, &mut actions);
//! let request = Request {
//!     id: 1, class: 0, plan: 0, volume: 9, key: Some(3), patience: 1000 * ms, units: 2.0, cell: Some(4),
//!     set_size: 1,
//! };
//! scheduler.handle(ms, Event::Request(request), &mut actions);
//! assert!(actions.contains(&Action::Place { id: 1, node: 0, patience: 0 }));
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
pub mod maintenance;
pub mod mutations;
mod policy;
pub mod request_tracker;
pub mod server_connection;
pub mod settings_reload;
mod state;

pub use interface::*;
pub use state::{Rate, Scheduler};
