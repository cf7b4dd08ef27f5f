//! The state machine of a connection from a client: its phase, its timeouts, and whether it may be
//! closed now. It does no I/O.

use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};
use crate::time_unit::MILLISECOND;

/// The time from accepting a connection until its first request must be complete. It is below 3 s,
/// within which a client that sends no request must get an answer.
const FIRST_REQUEST_TIMEOUT: Nanos = 2_700 * MILLISECOND;
/// The time from the first byte of a later request until its head must be complete and its body
/// begun. It is below 3 s, within which a client that stops in the middle of any request must get
/// its error.
const REQUEST_TIMEOUT: Nanos = 2_700 * MILLISECOND;
/// An idle connection is closed after this time, even if connections are not scarce.
const IDLE_TIMEOUT: Nanos = 60_000 * MILLISECOND;
/// An idle connection is closed after this time while connections are scarce.
const SCARCE_IDLE_TIMEOUT: Nanos = 2_000 * MILLISECOND;
/// The minimum age at which a connection that has sent nothing may be evicted.
const MIN_SILENT_AGE: Nanos = 100 * MILLISECOND;
/// The minimum age of an incomplete request at which its connection may be evicted.
const MIN_PARTIAL_AGE: Nanos = 500 * MILLISECOND;
/// A response of which the client has accepted nothing for this long is no longer under way. A chunk
/// server may pause for as long while it writes a long answer.
const DELIVERY_STALL_TIMEOUT: Nanos = 8_000 * MILLISECOND;
/// A connection that was accepted within this time is expected to send a request.
const NEW_CONNECTION_GRACE: Nanos = 150 * MILLISECOND;

/// The phase that a client's connection is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Accepted; no byte has arrived.
    New,
    /// Part of a request's head has arrived.
    ReadingHead,
    /// A request's head is complete and its body is not.
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
    /// A request's head is complete and its body is not.
    BodyStarted,
    /// A request is complete.
    RequestReceived,
    /// The system accepted bytes of the response.
    ResponseWritten,
    /// The response was handed to the socket, or abandoned.
    Answered,
    /// This side has ended the connection.
    Closing,
}

/// The state of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientConnection {
    phase: Phase,
    /// When the phase began; for a body, when its head began.
    since: Nanos,
    connected_at: Nanos,
    /// When the system last accepted bytes of the current response; `None` before its first byte.
    response_written_at: Option<Nanos>,
    /// Whether any request on the connection was answered.
    has_been_answered: bool,
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted at `now`.
    pub fn new(now: Nanos) -> ClientConnection {
        ClientConnection {
            phase: Phase::New,
            since: now,
            connected_at: now,
            response_written_at: None,
            has_been_answered: false,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns when the current phase began; for a body, when its head began.
    pub fn phase_since(&self) -> Nanos {
        self.since
    }

    /// Returns when the connection was accepted.
    pub fn connected_at(&self) -> Nanos {
        self.connected_at
    }

    /// Handles an event. A body shares the timeout of its request's head.
    pub fn on(&mut self, now: Nanos, event: ClientEvent) {
        let phase = match event {
            ClientEvent::HeadStarted => Phase::ReadingHead,
            ClientEvent::BodyStarted => Phase::ReadingBody,
            ClientEvent::RequestReceived => Phase::Responding,
            ClientEvent::ResponseWritten => self.phase,
            ClientEvent::Answered => Phase::Idle,
            ClientEvent::Closing => Phase::Closing,
        };
        match event {
            ClientEvent::RequestReceived => self.response_written_at = None,
            ClientEvent::ResponseWritten => self.response_written_at = Some(now),
            _ => {}
        }
        let restarts = phase != Phase::ReadingBody || mutated(Mutation::BodyRestartsTimeout);
        if restarts && phase != self.phase {
            self.since = now;
        }
        self.has_been_answered |= phase == Phase::Idle;
        self.phase = phase;
    }

    /// Returns when the current request must be complete.
    pub fn request_deadline(&self) -> Nanos {
        if self.has_been_answered {
            self.since + REQUEST_TIMEOUT
        } else {
            self.connected_at + FIRST_REQUEST_TIMEOUT
        }
    }

    /// Returns whether the connection is to be closed for a timeout, which is shorter while
    /// connections are `scarce`. `is_busy` tells whether closing it would lose data, because a
    /// request is unread or the client has not read a response yet.
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
            // The caller applies the timeouts of these phases while it waits for their end.
            Phase::ReadingBody | Phase::Responding | Phase::Closing => false,
        }
    }

    /// Returns whether a request is arriving or may be arriving. During a graceful shutdown the
    /// connection stays open until that request is answered. `unread_bytes` means that the socket
    /// holds unread bytes, or that the system has not accepted the whole response yet.
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

    /// Returns whether the process must not exit yet because of this connection: a request is
    /// arriving or unanswered, a response is being written, or unread bytes would turn the close
    /// into a reset.
    pub fn has_pending_work(&self, now: Nanos, unread_bytes: bool) -> bool {
        self.is_arriving(now, unread_bytes)
            || matches!(self.phase, Phase::Responding | Phase::Closing)
    }

    /// Returns whether a response is under way: it has begun, the system has not accepted all of it,
    /// and the client keeps reading. `unflushed_response` means that bytes of a response whose body
    /// is complete wait to be written.
    pub fn is_delivering(&self, now: Nanos, unflushed_response: bool) -> bool {
        let is_incomplete = match self.phase {
            Phase::Responding => true,
            Phase::Idle => unflushed_response,
            Phase::New | Phase::ReadingHead | Phase::ReadingBody | Phase::Closing => false,
        };
        let written_at = self.response_written_at;
        is_incomplete
            && written_at.is_some_and(|written_at| now - written_at < DELIVERY_STALL_TIMEOUT)
    }

    /// Returns whether a connection that is due to close may be closed now without losing a request
    /// that has arrived in the meantime. A request that keeps arriving in pieces delays the close
    /// only for a limited time.
    pub fn may_close_now(&self, now: Nanos, unread_bytes: bool) -> bool {
        match self.phase {
            Phase::Responding => false,
            Phase::ReadingHead | Phase::ReadingBody => {
                !unread_bytes || now >= self.request_deadline() + MIN_PARTIAL_AGE
            }
            Phase::New | Phase::Idle | Phase::Closing => !unread_bytes,
        }
    }

    /// Returns the rank in the order of eviction, or `None` if the connection must stay open. With
    /// `only_idle`, only idle connections have a rank.
    pub(crate) fn eviction_rank(&self, now: Nanos, only_idle: bool) -> Option<EvictionRank> {
        let age = now - self.since;
        if self.phase == Phase::Idle {
            // If many clients send one request each, a new client needs the connection more than
            // one that has its answer.
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

/// The order in which connections are evicted, from the first variant to the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionRank {
    /// This side ended the connection.
    Closing,
    /// The client has sent nothing since the connection was accepted.
    Silent,
    /// The connection has been idle for longer than is allowed while connections are scarce.
    LongIdle,
    /// A request is arriving slowly.
    PartialRequest,
    /// The connection has been idle for a short time.
    Idle,
    /// A response is due. Such a connection is evicted only under
    /// [`Mutation::RespondingConnectionEvicted`].
    Responding,
}
