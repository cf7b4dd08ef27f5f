//! Inputs and outputs of a [`LimitCoordinator`](crate::LimitCoordinator).

use crate::{Heartbeat, Incarnation, Limit, LimitsConfig, MessageStatus, Nanos, PeerId, Share};

/// An input of the coordinator.
#[derive(Clone, Debug)]
pub enum Event {
    /// The heartbeat interval has elapsed.
    HeartbeatDue,
    /// A heartbeat has arrived whose sender and integrity have been verified.
    HeartbeatReceived {
        /// The sender.
        from: PeerId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The message.
        heartbeat: Box<Heartbeat>,
    },
    /// Units of a limit were demanded at this front.
    Demanded {
        /// The limit.
        limit: Limit,
        /// The units; a negative amount counts as zero.
        units: f64,
    },
    /// Time has passed: expired leases and claims must no longer be used.
    Poll,
    /// The roster or another setting has changed. An invalid configuration is ignored.
    Reconfigure(LimitsConfig),
    /// The front is shutting down: it announces this and renews nothing.
    Shutdown,
    /// Another process holds the front's address, so that this one cannot receive yet: it counts as
    /// just started.
    AddressInUse,
}

/// An output of the coordinator, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a heartbeat to a peer.
    Send {
        /// The receiver.
        to: PeerId,
        /// The message.
        heartbeat: Box<Heartbeat>,
    },
    /// Send a heartbeat back to the address that the event's message came from: its sender uses
    /// another front's name or another roster.
    Reply {
        /// The message.
        heartbeat: Box<Heartbeat>,
    },
    /// How the event's message was received.
    Received(MessageStatus),
    /// The share of a limit that the front may use has changed.
    ShareChanged {
        /// The limit.
        limit: Limit,
        /// The new share.
        share: Share,
        /// Since when it applies, which may be in the past.
        at: Nanos,
    },
    /// A limit has had no demand for a while: the front may use nothing of it, and its share is not
    /// reported again until there is new demand.
    Forget(Limit),
}
