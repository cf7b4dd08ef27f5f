//! tulipbridge is a request-routing front for storage servers: it accepts requests from clients and
//! decides whether, when and to which chunk server each is sent. The decisions are made in
//! [`tulipbridge_core`], which does no I/O. This crate adds the sockets, the configuration and the
//! commands.

mod allocator;
pub mod body_budget;
pub mod cli;
pub mod cluster;
pub mod config;
pub mod control;
pub mod exchange;
pub mod front;
pub mod frontend;
mod limits;
pub mod memory_budget;
pub mod object;
pub mod runtime;
pub mod socket_io;
pub mod telemetry;
pub mod upstream;

pub use tulipbridge_core::*;
