//! Races, forced: one side ends something at the very moment at which it is still owed something on
//! that connection. The program runs, and the other parties delay a byte, a response or the program
//! itself until it is at that point.

#[path = "../scenario/mod.rs"]
mod scenario;

mod chunk_servers;
mod disconnects;
mod discovery_watch;
mod shutdown;
mod stalls;
mod startup;
