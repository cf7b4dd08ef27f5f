//! Explores every state that the front's machines can reach in small configurations, and holds each against the
//! rules. The machines are those that ship, from [`tulipbridge_core`]; what is round them is in [`world`] and [`entrance`].

pub mod chart;
pub mod cli;
pub mod configs;
pub mod entrance;
pub mod explore;
pub mod judge;
pub mod properties;
pub mod register;
pub mod rights;
pub mod trace;
pub mod world;
