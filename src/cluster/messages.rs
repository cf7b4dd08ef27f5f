//! The messages between fronts. Each datagram carries one message in an authenticated envelope
//! ([`tulipbridge_membership::EnvelopeCodec`]).
//!
//! The order of the variants is part of the wire format.

use serde::{Deserialize, Serialize};
use tulipbridge_fleet_limits::Heartbeat;
use tulipbridge_membership::GossipMessage;

/// A message to be sent, which borrows its content.
#[derive(Serialize)]
pub(super) enum OutgoingMessage<'a> {
    /// Membership, votes and leases.
    Heartbeat(&'a Heartbeat),
    /// Gossip entries, which spread to all fronts.
    Gossip(&'a GossipMessage),
}

/// A received message, with the same variants as [`OutgoingMessage`].
#[derive(Deserialize)]
pub(super) enum IncomingMessage {
    /// Membership, votes and leases.
    Heartbeat(Box<Heartbeat>),
    /// Gossip entries, which spread to all fronts.
    Gossip(GossipMessage),
}
