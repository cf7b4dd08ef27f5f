//! A soak of the platform front: real processes on loopback under faults that overlap in time,
//! judged by the rules.
//!
//! A seed draws two or three of [`Fault`], with overlapping times. The fronts run under the fault
//! shim; discovery, the chunk servers and the clients are stand-ins that record what they see.
//! [`checker`] holds the recording against the rules alone, apart from the code that it checks.

pub mod checker;
mod client;
mod discovery;
pub mod fault;
mod front;
pub mod recording;
mod run;
mod server;
mod wire;

pub use self::fault::Fault;
pub use self::run::{run_seed, SoakResult, SoakSetup};
