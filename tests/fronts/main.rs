//! Both fronts as their users see them: the program runs, and the tests speak to it over sockets.

#[path = "../scenario/mod.rs"]
mod scenario;

mod body_memory;
mod client_connections;
mod forwarding;
mod invalid_requests;
mod multipart_uploads;
mod objects;
mod operation;
mod server_responses;
mod slow_peers;
