//! Cooperation of this front with its peers: membership, fleet-wide limits, and fleet-wide outlier
//! ejection.
//!
//! The state machines have no I/O and live in separate crates (`tulipbridge_membership`,
//! `tulipbridge_fleet_limits`, `tulipbridge_outlier_detection`). The modules here connect them to a
//! UDP socket, the clock, the configuration file, the decision module, the metrics and the console.

mod clock;
pub mod config;
pub mod ejections;
pub mod errors;
pub mod fields;
pub mod limits;
pub mod membership_list;
mod messages;
mod metrics;
pub mod peers;
mod socket;
