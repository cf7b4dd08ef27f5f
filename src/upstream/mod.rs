//! The chunk-server side of a front: attempts over HTTP/1.1, a bounded pool of connections, and the
//! mapping of responses to outcomes.

mod attempt_run;
pub mod connection;
mod connections;
mod open_connections;
pub mod payload;
pub mod request_body;
mod response;
mod response_limits;
pub mod response_memory;
mod server_table;
pub mod wire_state;

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tulipbridge_core::{NodeId, ShardId};

use self::attempt_run::AttemptRun;
use self::connections::Connections;
use crate::exchange::{AttemptContext, AttemptReport, Transport};

pub use self::payload::{AcceptedResponses, Answer, Pause, Payload, StreamedBody};
pub use self::response_memory::ResponseMemory;

/// The transport to the chunk servers, with their addresses and the connections to them.
pub struct Upstream {
    connections: Rc<Connections>,
}

impl Upstream {
    /// Creates a transport without chunk servers. `dial_timeout` limits the time for connecting.
    /// `server_idle_timeout` is the time after which the servers close an idle connection; a
    /// request written at that moment would be lost, so this side closes connections well before.
    /// `max_connections` limits the number of connections to all servers together, and
    /// `response_memory` the memory of the responses.
    pub fn new(
        dial_timeout: Duration,
        server_idle_timeout: Duration,
        max_connections: usize,
        response_memory: ResponseMemory,
    ) -> Upstream {
        let connections = Connections::new(
            dial_timeout,
            server_idle_timeout,
            max_connections,
            response_memory,
        );
        Upstream {
            connections: Rc::new(connections),
        }
    }

    /// Adds a chunk server, or updates its address and shard if its name is known. Returns its id,
    /// which is assigned when it is added.
    pub fn upsert_server(&self, name: &str, address: SocketAddr, shard: ShardId) -> NodeId {
        self.connections.upsert_server(name, address, shard)
    }

    /// Returns the name of a chunk server in discovery, which is the same at every front; empty if
    /// the server is unknown.
    pub fn server_name(&self, node: NodeId) -> String {
        self.connections.server_name(node)
    }

    /// Closes pooled connections that have been idle for too long or were closed by their server.
    pub fn close_idle_connections(&self) {
        self.connections.close_idle_connections();
    }
}

impl Transport for Upstream {
    type Payload = Payload;
    type Answer = Answer;

    fn name(&self, node: NodeId) -> String {
        self.connections.display_name(node)
    }

    fn forget(&self, node: NodeId) {
        self.connections.forget(node);
    }

    fn attempt(
        &self,
        node: NodeId,
        payload: Rc<Payload>,
        context: AttemptContext,
    ) -> impl Future<Output = AttemptReport<Answer>> + 'static {
        let connections = Rc::clone(&self.connections);
        AttemptRun::new(connections, node, payload, context).run()
    }
}
