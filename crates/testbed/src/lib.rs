//! The lab. It shows what many fronts do together when parts of the system fail, in two ways that share their faults
//! and their judges:
//!
//! - [`simulate`]: the machines that the fronts run, in one process, under a network and clocks of its own: thousands
//!   of schedules of faults a minute, each drawn from a seed;
//! - [`process`]: the built program, many processes of it, with every link between them, and from each to
//!   each chunk server, led through a proxy that cuts, delays, loses and repeats.

pub mod cli;
pub mod cost;
pub mod entries;
pub mod network;
pub mod others;
pub mod process;
pub mod register;
pub mod runs;
pub mod schedule;
pub mod server;
pub mod sick;
pub mod simulate;
pub mod verdicts;
pub mod wire;
