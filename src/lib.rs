//! tulipbridge is a storage front: it stands between clients and chunk servers, and decides when, where and
//! whether each request goes out. The decisions are in [`tulipbridge_core`], which does no I/O; here are the
//! sockets round them, the configuration and the commands.

pub mod cli;
pub mod cluster;
pub mod config;
pub mod control;
pub mod exchange;
pub mod front;
pub mod frontend;
pub mod object;
pub mod telemetry;
pub mod upstream;

pub use tulipbridge_core::*;
