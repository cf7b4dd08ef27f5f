//! A model checker for the state machines of the front.
//!
//! It explores every state that the machines can reach in small configurations and checks a list of
//! [properties] in each. The machines are those that ship, from `tulipbridge-core` and
//! `tulipbridge-fleet-limits`; each [`Model`](model::Model) simulates what is around some of them:
//!
//! - [`request_model`]: requests, attempts and connections to servers,
//! - [`client_connection_model`]: connections from clients, and shutdown,
//! - [`discovery_model`]: the watch on the endpoint list,
//! - [`fleet_limits_model`]: limits that a fleet of fronts shares.
//!
//! [`configs`] lists the configurations, [`explore`] searches them, and [`history`] stores and
//! replays what is found.

pub mod chart;
pub mod cli;
pub mod client_connection_model;
pub mod configs;
pub mod discovery_model;
pub mod explore;
pub mod fleet_limits_model;
pub mod history;
pub mod model;
mod numbering;
pub mod policy;
pub mod properties;
pub mod recovery;
pub mod request_model;
pub mod time;
