//! A connection from a client: its phase, its timeouts, and whether it may be closed now. No I/O.

use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};
use crate::time_unit::MILLISECOND;

/// From accepting a connection until its first request is complete. A client that sends none gets
/// an answer within 3 s.
const FIRST_REQUEST_TIMEOUT: Nanos = 2_700 * MILLISECOND;
/// From the first byte of a later request until its head is complete and its body has begun: a
/// client that stops in the middle gets its error within 3 s, on any of its requests.
const REQUEST_TIMEOUT: Nanos = 2_700 * MILLISECOND;
/// An idle connection is closed after this, whether or not connections are scarce.
const IDLE_TIMEOUT: Nanos = 60_000 * MILLISECOND;
/// Where connections are scarce, an idle one is closed after this.
const SCARCE_IDLE_TIMEOUT: Nanos = 2_000 * MILLISECOND;
/// A connection that has sent nothing may be evicted from this age on.
const MIN_SILENT_AGE: Nanos = 100 * MILLISECOND;
/// A connection in the middle of a request may be evicted from this age of the request on.
const MIN_PARTIAL_AGE: Nanos = 500 * MILLISECOND;
/// A connection that was just accepted is expected to send a request.
const NEW_CONNECTION_GRACE: Nanos = 150 * MILLISECOND;

/// The phase that a client's connection is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Accepted; no byte has arrived.
    New,
    /// Part of a request's head has arrived.
    ReadingHead,
    /// A head is complete and its body is not.
    ReadingBody,
    /// A request is complete and its response is not.
    Responding,
    /// The last request is answered.
    Idle,
    /// This side ended the connection; bytes that still arrive are read and discarded.
    Closing,
}

/// An event on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientEvent {
    /// Bytes of a request's head arrived.
    HeadStarted,
    /// A head is complete and its body is not.
    BodyStarted,
    /// A request is complete.
    RequestReceived,
    /// Its response was handed to the socket, or given up.
    Answered,
    /// This side has ended the connection.
    Closing,
}

/// State of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientConnection {
    phase: Phase,
    /// When the phase began; a body counts from the start of its head.
    since: Nanos,
    connected_at: Nanos,
    /// Whether a request on it was answered.
    has_been_answered: bool,
}

impl ClientConnection {
    /// A connection that was accepted at `now`.
    pub fn new(now: Nanos) -> ClientConnection {
        ClientConnection {
            phase: Phase::New,
            since: now,
            connected_at: now,
            has_been_answered: false,
        }
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When the present phase began. A body counts from the start of its head.
    pub fn phase_since(&self) -> Nanos {
        self.since
    }

    /// When it was accepted.
    pub fn connected_at(&self) -> Nanos {
        self.connected_at
    }

    /// Handles an event. A body shares the timeout of its request's head.
    pub fn on(&mut self, now: Nanos, event: ClientEvent) {
        let phase = match event {
            ClientEvent::HeadStarted => Phase::ReadingHead,
            ClientEvent::BodyStarted => Phase::ReadingBody,
            ClientEvent::RequestReceived => Phase::Responding,
            ClientEvent::Answered => Phase::Idle,
            ClientEvent::Closing => Phase::Closing,
        };
        let restarts = phase != Phase::ReadingBody || mutated(Mutation::BodyRestartsTimeout);
        if restarts && phase != self.phase {
            self.since = now;
        }
        self.has_been_answered |= phase == Phase::Idle;
        self.phase = phase;
    }

    /// When the present request must be complete.
    pub fn request_deadline(&self) -> Nanos {
        if self.has_been_answered {
            self.since + REQUEST_TIMEOUT
        } else {
            self.connected_at + FIRST_REQUEST_TIMEOUT
        }
    }

    /// Whether the connection is to be closed for a timeout, which is shorter while connections are
    /// `scarce`. `is_busy` says that closing it would lose data: a request waits unread, or a
    /// response was not read yet.
    pub fn has_timed_out(&self, now: Nanos, scarce: bool, is_busy: impl Fn() -> bool) -> bool {
        let idle_timeout = if scarce {
            SCARCE_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        match self.phase {
            Phase::New | Phase::ReadingHead => now >= self.request_deadline(),
            Phase::Idle => {
                now - self.since >= idle_timeout
                    && (!is_busy() || mutated(Mutation::ClosesOverArrivedRequest))
            }
            // Their timeouts apply where the caller awaits the end of the phase.
            Phase::ReadingBody | Phase::Responding | Phase::Closing => false,
        }
    }

    /// Whether a request is arriving, or may be. During a graceful shutdown the connection stays
    /// open until that request is answered. `unread_bytes` says that bytes wait on the socket, or
    /// that the system does not have the whole response yet.
    pub fn is_arriving(&self, now: Nanos, unread_bytes: bool) -> bool {
        if mutated(Mutation::ShutdownClosesArrivingRequest) {
            return false;
        }
        match self.phase {
            Phase::ReadingHead | Phase::ReadingBody => true,
            Phase::New => unread_bytes || now - self.connected_at < NEW_CONNECTION_GRACE,
            Phase::Idle => unread_bytes,
            Phase::Responding | Phase::Closing => false,
        }
    }

    /// Whether the process must not exit because of this connection: a request is arriving or open,
    /// a response is being written, or unread bytes would turn the close into a reset.
    pub fn has_pending_work(&self, now: Nanos, unread_bytes: bool) -> bool {
        self.is_arriving(now, unread_bytes)
            || matches!(self.phase, Phase::Responding | Phase::Closing)
    }

    /// Whether the connection, which is due to close, may be closed now without losing a request
    /// that has arrived meanwhile. A request that keeps arriving in pieces does not prevent the
    /// close for ever.
    pub fn may_close_now(&self, now: Nanos, unread_bytes: bool) -> bool {
        match self.phase {
            Phase::Responding => false,
            Phase::ReadingHead | Phase::ReadingBody => {
                !unread_bytes || now >= self.request_deadline() + MIN_PARTIAL_AGE
            }
            Phase::New | Phase::Idle | Phase::Closing => !unread_bytes,
        }
    }

    /// Rank in the order of eviction; `None` where the connection must stay open. With `only_idle`
    /// all but idle connections stay open.
    pub(crate) fn eviction_rank(&self, now: Nanos, only_idle: bool) -> Option<EvictionRank> {
        let age = now - self.since;
        if self.phase == Phase::Idle {
            // While many clients send one request each, a new client needs the connection more.
            let evictable = age >= MIN_SILENT_AGE || !only_idle;
            return if age >= SCARCE_IDLE_TIMEOUT {
                Some(EvictionRank::LongIdle)
            } else {
                evictable.then_some(EvictionRank::Idle)
            };
        }
        if only_idle {
            return None;
        }
        match self.phase {
            Phase::Closing => Some(EvictionRank::Closing),
            Phase::New => (age >= MIN_SILENT_AGE).then_some(EvictionRank::Silent),
            Phase::ReadingHead | Phase::ReadingBody => {
                (age >= MIN_PARTIAL_AGE).then_some(EvictionRank::PartialRequest)
            }
            Phase::Responding => {
                mutated(Mutation::RespondingConnectionEvicted).then_some(EvictionRank::Responding)
            }
            Phase::Idle => None,
        }
    }
}

/// The order in which connections are evicted, the first variant first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionRank {
    /// This side ended it.
    Closing,
    /// It has sent nothing since it was accepted.
    Silent,
    /// Idle for longer than connections may be while they are scarce.
    LongIdle,
    /// A request is arriving slowly.
    PartialRequest,
    /// Idle for a short time.
    Idle,
    /// A response is due. Evicted under [`Mutation::RespondingConnectionEvicted`] alone.
    Responding,
}
