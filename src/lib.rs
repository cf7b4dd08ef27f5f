//! tulipbridge is a storage front: it stands between clients and chunk servers, and decides when, where and
//! whether each request goes out. The decisions are in [`tulipbridge_core`], which does no I/O; here are the
//! sockets round them, the configuration and the commands.

pub mod agent;
pub mod cli;
pub mod config;
pub mod console;
pub mod discovery;
pub mod etcd;
pub mod exchange;
pub mod figures;
mod framing;
pub mod front;
pub mod http;
pub mod listener;
mod log;
pub mod maintenance;
pub mod messages;
pub mod object;
pub mod peers;
pub mod retune;
pub mod server;
pub mod settings;
pub mod shares;
pub mod trace;
pub mod upstream;
pub mod verdicts;

pub use tulipbridge_core::*;
