//! Soak runs of the platform front: real processes on loopback under faults that overlap in time.
//!
//! Each seed has two or three of [`Fault`]. The fronts run under the fault shim; discovery, the
//! chunk servers and the clients are stand-ins that record what they observe. The [`checker`]
//! compares the recording with the rules; it shares no code with the fronts that it checks.

pub mod checker;
mod client;
mod config;
mod discovery;
mod environment;
pub mod fault;
mod fault_injection;
mod front;
pub mod recording;
mod result;
mod run;
mod server;
mod wire;

pub use self::config::SoakSetup;
pub use self::fault::Fault;
pub use self::result::SoakResult;
pub use self::run::run_seed;
