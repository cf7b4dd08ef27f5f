//! The messages between fronts. Each datagram carries one of them in an authenticated envelope
//! ([`tulipbridge_membership::EnvelopeCodec`]).
//!
//! The order of the variants is part of the wire format.

use serde::{Deserialize, Serialize};
use tulipbridge_fleet_limits::Heartbeat;
use tulipbridge_membership::GossipMessage;

/// A message to be sent.
#[derive(Serialize)]
pub(super) enum OutgoingMessage<'a> {
    /// Membership, votes and leases.
    Heartbeat(&'a Heartbeat),
    /// Entries that are spread to all fronts.
    Gossip(&'a GossipMessage),
}

/// A received message: the same variants as [`OutgoingMessage`].
#[derive(Deserialize)]
pub(super) enum IncomingMessage {
    /// Membership, votes and leases.
    Heartbeat(Box<Heartbeat>),
    /// Entries that are spread to all fronts.
    Gossip(GossipMessage),
}
