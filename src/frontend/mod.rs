//! The client side: accepting connections, framing requests, and the platform's protocol.

pub mod body;
pub mod client_state;
mod connection;
pub mod framed_socket;
pub mod framing;
pub mod listener;
pub mod platform;
pub mod replies;
pub mod response_body;
pub mod socket;
