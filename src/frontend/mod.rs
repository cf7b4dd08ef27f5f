//! The client side: accepting connections, framing requests, and the platform's protocol.

pub(crate) mod framing;
pub mod listener;
pub mod platform;
