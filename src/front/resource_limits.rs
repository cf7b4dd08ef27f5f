//! Division of a front's file descriptors and memory among its connections and request bodies.

use crate::config::Config;
use crate::control::console;
use crate::limits::MAX_BUFFERED_BODY_BYTES;

/// File descriptors that are not connections with clients or chunk servers: those of the runtime,
/// the log, the listeners, discovery, one file, and the console's connections, of which there are
/// at most [`console::MAX_CONNECTIONS`].
const RESERVED_DESCRIPTORS: usize = 24;
const _: () = assert!(console::MAX_CONNECTIONS <= RESERVED_DESCRIPTORS / 2);
/// The minimum number of connections, whatever the limits of the process.
const MIN_CONNECTIONS: usize = 32;
/// Memory in bytes that the program takes beside bodies and connections.
const PROGRAM_MEMORY_BYTES: usize = 8 << 20;
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
}

/// Returns how much of the process's memory request bodies may take. [`ConnectionLimits`] counts one
/// buffered response for each connection, which takes half of the memory; the program itself and
/// the request bodies share the other half.
pub(super) fn request_body_memory(memory_bytes: usize) -> usize {
    let half = memory_bytes / 2;
    half.saturating_sub(PROGRAM_MEMORY_BYTES)
        .max(memory_bytes / MIN_BODY_MEMORY_DIVISOR)
}
