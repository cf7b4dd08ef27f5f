//! What clients, chunk servers, discovery and the processes of a soak run observed. All times count
//! from the start of the run.

use std::time::Duration;

use serde::Serialize;

/// A request class, by how its settings let a front retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Class {
    /// Reads: idempotent, so they may be retried and hedged.
    Read,
    /// Writes: not idempotent, so they must not be executed twice.
    Write,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    /// A response came.
    Answered {
        /// The status.
        status: u16,
        /// Whether the body is the one that a server sends for this request.
        body_matches: bool,
    },
    /// The connection closed without a response.
    Closed,
    /// No response came, although the client waited for longer than its deadline.
    TimedOut,
    /// The client closed its connection.
    Cancelled,
    /// No connection could be opened.
    NotConnected,
}

impl End {
    /// Whether the request was answered with status 200.
    pub fn is_success(self) -> bool {
        matches!(self, End::Answered { status: 200, .. })
    }

    /// Whether the front rejected the request with a status that promises that it was not executed.
    pub fn is_rejection(self) -> bool {
        matches!(
            self,
            End::Answered {
                status: 429 | 503,
                ..
            }
        )
    }
}

/// A complete request of a client.
#[derive(Clone, Debug, Serialize)]
pub struct ClientRequest {
    /// The transaction id.
    pub transaction: u64,
    /// The index of the front.
    pub front: usize,
    /// The class.
    pub class: Class,
    /// When its last byte was written.
    pub sent_at: Duration,
    /// How long the client waits: its deadline, counted from `sent_at`.
    pub timeout: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub end: End,
}

/// An incomplete request of a client that keeps its connection open.
#[derive(Clone, Debug, Serialize)]
pub struct IncompleteRequest {
    /// The index of the front.
    pub front: usize,
    /// When its last byte was written.
    pub sent_at: Duration,
    /// When the front answered or closed the connection; absent if it did neither in time.
    pub ended_at: Option<Duration>,
}

/// A complete request that reached a chunk server.
#[derive(Clone, Debug, Serialize)]
pub struct Arrival {
    /// The index of the server.
    pub server: usize,
    /// The transaction id.
    pub transaction: u64,
    /// When its first byte was read.
    pub first_byte_at: Duration,
    /// When its last byte was read.
    pub at: Duration,
    /// The time until the deadline, as the request states it.
    pub remaining: Duration,
    /// Whether the server rejected it without executing it.
    pub rejected: bool,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointChange {
    /// The index of the server.
    pub server: usize,
    /// Whether the server may receive new requests from then on.
    pub is_ready: bool,
    /// When discovery changed the list.
    pub at: Duration,
    /// By front, when the change was last written to it; absent if it was not.
    pub notified_at: Vec<Option<Duration>>,
}

/// The start of a chunk server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ServerStart {
    /// The index of the server.
    pub server: usize,
    /// When it started.
    pub at: Duration,
}

/// A time span.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Span {
    /// Its beginning.
    pub from: Duration,
    /// Its end.
    pub until: Duration,
}

impl Span {
    /// Whether it has a moment in common with the span from `from` to `until`.
    pub fn overlaps(&self, from: Duration, until: Duration) -> bool {
        self.from <= until && from <= self.until
    }

    /// How long it is.
    pub fn duration(&self) -> Duration {
        self.until - self.from
    }
}

/// The life of one process of a front.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessRecord {
    /// The index of the front.
    pub front: usize,
    /// When it was started.
    pub started_at: Duration,
    /// When it was ready; absent if it never was.
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
    /// Violations of invariants that it counted itself.
    pub violations: u64,
}

impl ProcessRecord {
    /// A process that has just been started.
    pub fn new(front: usize, started_at: Duration) -> ProcessRecord {
        ProcessRecord {
            front,
            started_at,
            ready_at: None,
            terminated_at: None,
            killed_at: None,
            ended_at: None,
            exit_code: None,
            pauses: Vec::new(),
            violations: 0,
        }
    }

    /// How long it was paused in total.
    pub fn total_pause(&self) -> Duration {
        self.pauses.iter().map(Span::duration).sum()
    }
}

/// Everything that was observed in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Recording {
    /// Requests of clients, in the order in which they ended.
    pub requests: Vec<ClientRequest>,
    /// Incomplete requests of clients.
    pub incomplete_requests: Vec<IncompleteRequest>,
    /// Arrivals at chunk servers, in their order.
    pub arrivals: Vec<Arrival>,
    /// Changes of the endpoint list, in their order.
    pub endpoint_changes: Vec<EndpointChange>,
    /// When discovery could not be reached or did not answer.
    pub discovery_outages: Vec<Span>,
    /// Processes of fronts, in the order of their starts.
    pub processes: Vec<ProcessRecord>,
    /// Starts of chunk servers after the beginning of the run.
    pub server_starts: Vec<ServerStart>,
}

impl Recording {
    /// The processes of one front, in the order of their starts.
    pub fn processes_of(&self, front: usize) -> impl DoubleEndedIterator<Item = &ProcessRecord> {
        self.processes
            .iter()
            .filter(move |process| process.front == front)
    }

    /// How long a front was paused by the pauses that overlap a span.
    pub fn pause_within(&self, front: usize, from: Duration, until: Duration) -> Duration {
        self.processes_of(front)
            .flat_map(|process| &process.pauses)
            .filter(|pause| pause.overlaps(from, until))
            .map(Span::duration)
            .sum()
    }
}
