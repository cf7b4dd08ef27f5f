//! A connection from a client: its phase, its timeouts, and whether it may be closed now. No I/O.

use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};

const MS: Nanos = 1_000_000;
/// From connecting until the first request is complete: a client that sends no request is told so within 3 s.
const FIRST_REQUEST_TIMEOUT: Nanos = 2_700 * MS;
/// From the first byte of a later request until it is complete.
const REQUEST_TIMEOUT: Nanos = 6_000 * MS;
/// An idle connection is closed after this, whether or not connections are scarce.
const IDLE_TIMEOUT: Nanos = 60_000 * MS;
/// Where connections are scarce, an idle one is closed after this.
const SCARCE_IDLE_TIMEOUT: Nanos = 2_000 * MS;
/// A connection that has sent nothing may be evicted from this age on.
const MIN_SILENT_AGE: Nanos = 100 * MS;
/// A connection in the middle of a request may be evicted from this age of the request on.
const MIN_PARTIAL_AGE: Nanos = 500 * MS;
/// A connection that was just accepted is expected to send a request.
const NEW_CONNECTION_GRACE: Nanos = 150 * MS;

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing has come yet.
    New,
    /// A head has begun.
    ReadingHead,
    /// A body is awaited.
    ReadingBody,
    /// A request is being answered.
    Responding,
    /// Its last request has been answered.
    Idle,
    /// It is over; what is still on its way is read and dropped.
    Closing,
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientEvent {
    /// Bytes of a head came.
    HeadStarted,
    /// A head is whole, its body is not.
    BodyStarted,
    /// A request is whole.
    RequestReceived,
    /// Its answer is handed over, or given up.
    Answered,
    /// This side has ended it.
    Closing,
}

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientConnection {
    phase: Phase,
    since: Nanos,
    connected_at: Nanos,
    /// Whether a request on it has been answered.
    has_been_answered: bool,
}

impl ClientConnection {
    /// One that has just connected.
    pub fn new(now: Nanos) -> ClientConnection {
        ClientConnection { phase: Phase::New, since: now, connected_at: now, has_been_answered: false }
    }

    /// What it is about, and since when.
    pub fn phase(&self) -> (Phase, Nanos) {
        (self.phase, self.since)
    }

    /// When it came.
    pub fn connected_at(&self) -> Nanos {
        self.connected_at
    }

    /// Takes what has happened. The time of a request runs on from its head to its body.
    pub fn on(&mut self, now: Nanos, event: ClientEvent) {
        let phase = match event {
            ClientEvent::HeadStarted => Phase::ReadingHead,
            ClientEvent::BodyStarted => Phase::ReadingBody,
            ClientEvent::RequestReceived => Phase::Responding,
            ClientEvent::Answered => Phase::Idle,
            ClientEvent::Closing => Phase::Closing,
        };
        let restarts = phase != Phase::ReadingBody || mutated(Mutation::BodyRestartsTime);
        if restarts && phase != self.phase {
            self.since = now;
        }
        self.has_been_answered |= phase == Phase::Idle;
        self.phase = phase;
    }

    /// When the present request must have come whole.
    pub fn request_deadline(&self) -> Nanos {
        if self.has_been_answered {
            self.since + REQUEST_TIMEOUT
        } else {
            self.connected_at + FIRST_REQUEST_TIMEOUT
        }
    }

    /// Whether its time is over, where places are short or not. Busy is one that closing would cross: a request
    /// has come that nobody has read, or an answer is not read yet.
    pub fn has_timed_out(&self, now: Nanos, short: bool, busy: impl Fn() -> bool) -> bool {
        let idle = if short { SCARCE_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
        match self.phase {
            Phase::New | Phase::ReadingHead => now >= self.request_deadline(),
            Phase::Idle => now - self.since >= idle && (!busy() || mutated(Mutation::ClosesAcrossRequest)),
            // These are bounded where they are awaited.
            Phase::ReadingBody | Phase::Responding | Phase::Closing => false,
        }
    }

    /// Whether a request is on its way on it, or may be: a front that leaves shuts it only once that is answered.
    /// `waits` says that bytes lie on the socket, or an answer is not with the system yet.
    pub fn is_arriving(&self, now: Nanos, unread_bytes: bool) -> bool {
        if mutated(Mutation::ShutsAcrossArriving) {
            return false;
        }
        match self.phase {
            Phase::ReadingHead | Phase::ReadingBody => true,
            Phase::New => unread_bytes || now - self.connected_at < NEW_CONNECTION_GRACE,
            Phase::Idle => unread_bytes,
            Phase::Responding | Phase::Closing => false,
        }
    }

    /// Whether something is owed on it: a request that is coming or open, an answer on its way out, or bytes still
    /// to be read, over which a close would reset it.
    pub fn has_pending_work(&self, now: Nanos, waits: bool) -> bool {
        self.is_arriving(now, waits) || matches!(self.phase, Phase::Responding | Phase::Closing)
    }

    /// Whether it may be cut off here and now, as it was told to go: what has come since is not crossed. Half a
    /// request that goes on dripping ends all the same.
    pub fn may_close_now(&self, now: Nanos, waits: bool) -> bool {
        match self.phase {
            Phase::Responding => false,
            Phase::ReadingHead | Phase::ReadingBody => {
                !waits || now >= self.request_deadline() + MIN_PARTIAL_AGE
            }
            Phase::New | Phase::Idle | Phase::Closing => !waits,
        }
    }

    /// How soon it gives its place up, the lowest first; none where it may be kept. With `idle` only connections
    /// that stand idle are asked for.
    pub(crate) fn eviction_rank(&self, now: Nanos, idle: bool) -> Option<u8> {
        let age = now - self.since;
        match self.phase {
            Phase::Idle if age >= SCARCE_IDLE_TIMEOUT => Some(2),
            // A crowd of clients that ask once each: a new one has more use for the place.
            Phase::Idle if age >= MIN_SILENT_AGE || !idle => Some(4),
            Phase::Closing if !idle => Some(0),
            Phase::New if !idle && age >= MIN_SILENT_AGE => Some(1),
            Phase::ReadingHead | Phase::ReadingBody if !idle && age >= MIN_PARTIAL_AGE => Some(3),
            Phase::Responding if !idle && mutated(Mutation::OpenGivesWay) => Some(5),
            _ => None,
        }
    }
}
