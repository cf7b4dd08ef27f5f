//! A soak of the platform front: real processes on loopback under troubles that overlap in time, judged by the rules.
//!
//! A seed draws two or three of [`Trouble`], with overlapping times. The fronts run under the fault shim; discovery, the
//! chunk servers and the clients are stand-ins that record what they see. [`judge`] judges the recording by the rules
//! alone, apart from the code that it judges.

mod client;
mod discovery;
mod front;
pub mod judge;
pub mod recording;
mod run;
mod server;
pub mod trouble;
mod wire;

pub use self::run::{run_seed, SoakResult, SoakSetup};
pub use self::trouble::Trouble;
