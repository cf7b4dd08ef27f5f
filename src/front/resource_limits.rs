//! Division of a front's file descriptors and memory among its connections, request bodies and
//! responses.

use std::sync::Arc;

use crate::config::Config;
use crate::control::console;
use crate::limits::MAX_BUFFERED_BODY_BYTES;
use crate::memory_budget::MemoryBudget;
use crate::upstream::response_memory::RESPONSE_BYTES;

/// File descriptors that are not connections with clients or chunk servers: those of the runtime,
/// the log, the listeners, discovery, one file, and the console's connections, of which there are
/// at most [`console::MAX_CONNECTIONS`].
const RESERVED_DESCRIPTORS: usize = 24;
const _: () = assert!(console::MAX_CONNECTIONS <= RESERVED_DESCRIPTORS / 2);
/// The minimum number of connections, whatever the limits of the process.
const MIN_CONNECTIONS: usize = 32;
/// The minimum number of responses at a time, whatever the memory of the process.
const MIN_RESPONSES: usize = 16;
/// Memory in bytes that the program takes beside connections and buffers.
const PROGRAM_MEMORY_BYTES: usize = 8 << 20;
/// Memory in bytes that a connection with a client takes beside the bodies on it: a request head of
/// the maximum length as it arrives, as hyper keeps it, and as a table of fields.
const CLIENT_CONNECTION_BYTES: usize = 48 << 10;
/// Memory in bytes that a connection with a chunk server takes beside the response on it: the read
/// buffer and the buffer for the request head.
const SERVER_CONNECTION_BYTES: usize = 32 << 10;
/// One divided by this is the share of the process's memory that request bodies may always take.
const MIN_BODY_MEMORY_DIVISOR: usize = 8;

/// The maximum numbers of connections with clients and with chunk servers.
pub(super) struct ConnectionLimits {
    pub(super) clients: usize,
    pub(super) servers: usize,
}

impl ConnectionLimits {
    /// Divides the available file descriptors between the two sides. Memory limits the total too,
    /// at one body in each direction per connection. Connections to chunk servers are pooled, so
    /// that side gets the smaller share.
    pub(super) fn new(config: &Config) -> ConnectionLimits {
        let by_descriptors = config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let by_memory = config.memory_bytes / (2 * MAX_BUFFERED_BODY_BYTES);
        let connections = by_descriptors.min(by_memory).max(MIN_CONNECTIONS);
        let servers = connections * 2 / 5;
        ConnectionLimits {
            clients: connections - servers,
            servers,
        }
    }

    /// Returns the most memory in bytes that the connections take beside bodies and responses.
    fn memory_bytes(&self) -> usize {
        self.clients * CLIENT_CONNECTION_BYTES + self.servers * SERVER_CONNECTION_BYTES
    }
}

/// The memory budgets of a front. Together with the program and the connections they take no more
/// than the process has.
pub(super) struct BufferMemory {
    /// The memory of all request bodies and responses.
    pub(super) all: Arc<MemoryBudget>,
    /// The part of it that request bodies may take. The rest is left to responses, so that requests
    /// are answered whatever bodies arrive.
    pub(super) request_bodies: Arc<MemoryBudget>,
}

impl BufferMemory {
    /// Divides the memory that `connections` leave.
    pub(super) fn new(memory_bytes: usize, connections: &ConnectionLimits) -> BufferMemory {
        let request_body_bytes = request_body_bytes(memory_bytes);
        let left = memory_bytes
            .saturating_sub(PROGRAM_MEMORY_BYTES)
            .saturating_sub(connections.memory_bytes());
        let min_bytes = request_body_bytes + MIN_RESPONSES * RESPONSE_BYTES;
        let all = MemoryBudget::new(left.max(min_bytes));
        BufferMemory {
            request_bodies: MemoryBudget::part_of(&all, request_body_bytes),
            all,
        }
    }
}

/// Returns how much of the process's memory request bodies may take: half of it less the program, so
/// that the longest body that a front accepts does not depend on its connections.
fn request_body_bytes(memory_bytes: usize) -> usize {
    let half = memory_bytes / 2;
    half.saturating_sub(PROGRAM_MEMORY_BYTES)
        .max(memory_bytes / MIN_BODY_MEMORY_DIVISOR)
}
