//! Inputs and outputs of the [`LimitCoordinator`](crate::LimitCoordinator).

use crate::{Heartbeat, Incarnation, Limit, LimitsConfig, MessageStatus, Nanos, PeerId, Share};

/// An input of the coordinator.
#[derive(Clone, Debug)]
pub enum Event {
    /// The heartbeat interval has elapsed.
    HeartbeatDue,
    /// A heartbeat has arrived. The caller has verified its sender and integrity.
    HeartbeatReceived {
        /// The front that sent the heartbeat.
        from: PeerId,
        /// The incarnation of that front.
        incarnation: Incarnation,
        /// The heartbeat as received.
        heartbeat: Box<Heartbeat>,
    },
    /// Units of a limit were demanded at this front.
    Demanded {
        /// The limit that the demand counts towards.
        limit: Limit,
        /// The demanded units. A negative amount counts as zero.
        units: f64,
    },
    /// Time has passed. The coordinator checks which leases and claims have expired.
    Poll,
    /// The membership list or another setting has changed. An invalid configuration is ignored.
    Reconfigure(LimitsConfig),
    /// The front is shutting down. It announces this to its peers and renews nothing.
    Shutdown,
    /// Another process has the front's address, so that this front cannot receive yet. Its startup
    /// period begins again.
    AddressInUse,
}

/// An output of the coordinator, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a heartbeat to a peer.
    Send {
        /// The peer that the heartbeat is for.
        to: PeerId,
        /// The heartbeat to send.
        heartbeat: Box<Heartbeat>,
    },
    /// Send a heartbeat back to the address from which the event's heartbeat came: its sender has a
    /// conflicting incarnation or another membership list.
    Reply {
        /// The heartbeat to send.
        heartbeat: Box<Heartbeat>,
    },
    /// Whether the event's heartbeat was accepted, and if not, why.
    Received(MessageStatus),
    /// The share of a limit that the front may use has changed.
    ShareChanged {
        /// The limit of which the share has changed.
        limit: Limit,
        /// The share that the front may use from `at` on.
        share: Share,
        /// Time from which the share applies, which may be in the past.
        at: Nanos,
    },
    /// A limit has had no demand for a while. The front may use nothing of it, and its share is not
    /// reported again until there is new demand.
    Forget(Limit),
}
