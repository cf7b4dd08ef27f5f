//! The client side of a front: accepting connections, framing requests, and the platform's
//! protocol.

mod body;
mod client_state;
mod clock;
mod connection;
mod connection_table;
mod forwarded_body;
mod framed_socket;
pub mod framing;
mod lingering_close;
pub mod listener;
pub mod listener_status;
pub mod platform;
pub mod replies;
mod request_framer;
mod response_body;
pub mod socket;
