//! Deterministic simulations of a fleet in one process: the state machines that the fronts run,
//! under a simulated network and simulated clocks. Each run is determined by its
//! [`Schedule`](crate::schedule::Schedule).

pub mod event_queue;
pub mod fleet;
pub mod gossip;
pub mod limits;
pub mod network;
pub mod outliers;
pub mod peer;
