//! The testbed: it shows what many fronts do together when parts of the system fail. It does so in
//! two ways, which share the faults of [`schedule`]:
//!
//! - [`simulation`] runs the state machines of the fronts in one process, under a simulated network
//!   and simulated clocks: thousands of schedules a minute, each sampled from a seed;
//! - [`testbed`] runs many processes of the built program. Every link between two fronts, and from
//!   each front to each chunk server and to discovery, leads through a proxy that cuts, delays,
//!   loses and duplicates. The experiments in [`limit_experiments`], [`shared_limit_experiments`]
//!   and [`outlier_experiments`] use it.

mod best_effort;
pub mod chunk_server;
pub mod cli;
pub mod cost;
pub mod discovery_server;
pub mod limit_experiments;
mod loopback;
mod milliseconds;
pub mod outlier_experiments;
pub mod parallel;
pub mod schedule;
pub mod shared_limit_experiments;
pub mod simulation;
pub mod soak;
pub mod tcp_proxy;
pub mod testbed;
