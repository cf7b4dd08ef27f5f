//! What the stand-ins of a soak have seen. All times count from the start of the soak.

use std::time::Duration;

use serde::Serialize;

/// A request class, by what its settings allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Class {
    /// Reads; may be repeated at will.
    Read,
    /// Writes; must not be executed twice.
    Write,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    /// An answer with this status, and whether a 200 has the body that a server made for this
    /// request.
    Answered {
        /// The status.
        status: u16,
        /// Whether the body is right.
        body_matches: bool,
    },
    /// The connection closed without an answer.
    Closed,
    /// No answer came until half a second after the deadline.
    Silent,
    /// The client closed its connection.
    Left,
    /// No connection came up.
    NoConnection,
}

/// A request of a client, sent whole.
#[derive(Clone, Debug, Serialize)]
pub struct ClientRequest {
    /// The transaction id.
    pub transaction: u64,
    /// The front.
    pub front: usize,
    /// The class.
    pub class: Class,
    /// When its last byte was written.
    pub sent_at: Duration,
    /// How long the client waits.
    pub patience: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub end: End,
}

/// Half a request of a client that stays.
#[derive(Clone, Debug, Serialize)]
pub struct HalfRequest {
    /// The front.
    pub front: usize,
    /// When its last byte was written.
    pub sent_at: Duration,
    /// When the front answered or closed; absent if it did not in time.
    pub ended_at: Option<Duration>,
}

/// A request that reached a chunk server whole.
#[derive(Clone, Debug, Serialize)]
pub struct Arrival {
    /// The server.
    pub server: usize,
    /// The transaction id.
    pub transaction: u64,
    /// When its first byte was read.
    pub first_byte_at: Duration,
    /// When its last byte was read.
    pub at: Duration,
    /// The time that it tells.
    pub remaining: Duration,
    /// Whether the server turned it away unexecuted.
    pub turned_away: bool,
}

/// A change of the list.
#[derive(Clone, Debug, Serialize)]
pub struct ListChange {
    /// The server.
    pub server: usize,
    /// Whether it may get new requests from then on.
    pub is_ready: bool,
    /// When discovery had it.
    pub at: Duration,
    /// When it was written to each front first, after the start of its present process; absent if
    /// it was not.
    pub notified_at: Vec<Option<Duration>>,
}

/// A time in which something held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Span {
    /// Its beginning.
    pub from: Duration,
    /// Its end.
    pub until: Duration,
}

impl Span {
    /// Whether it has a moment in common with the time from `from` to `until`.
    pub fn overlaps(&self, from: Duration, until: Duration) -> bool {
        self.from <= until && from <= self.until
    }
}

/// The record of one process of a front.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessRecord {
    /// The front.
    pub front: usize,
    /// When it was started.
    pub started_at: Duration,
    /// When it was ready; absent if it was not.
    pub ready_at: Option<Duration>,
    /// When SIGTERM was sent.
    pub terminated_at: Option<Duration>,
    /// When SIGKILL was sent.
    pub killed_at: Option<Duration>,
    /// When it ended.
    pub ended_at: Option<Duration>,
    /// Its exit code; absent if a signal ended it.
    pub exit_code: Option<i32>,
    /// When it was paused.
    pub pauses: Vec<Span>,
    /// Rules that it counted as broken itself.
    pub violations: u64,
}

/// All that was seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Recording {
    /// Requests.
    pub requests: Vec<ClientRequest>,
    /// Half requests.
    pub half_requests: Vec<HalfRequest>,
    /// Arrivals at servers.
    pub arrivals: Vec<Arrival>,
    /// Changes of the list.
    pub changes: Vec<ListChange>,
    /// When discovery could not be reached or told nothing.
    pub discovery_outages: Vec<Span>,
    /// Processes.
    pub processes: Vec<ProcessRecord>,
    /// When servers started anew.
    pub starts: Vec<(usize, Duration)>,
}
