//! The chunk-server side: attempts over HTTP/1.1, a bounded pool of connections, and the mapping of
//! responses to outcomes.

mod attempt_run;
pub mod connection;
mod connections;
mod open_connections;
pub mod payload;
mod response;
mod server_table;
pub mod wire_state;

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tulipbridge_core::{NodeId, ShardId};

use self::attempt_run::AttemptRun;
use self::connections::Connections;
use crate::exchange::{AttemptReport, Transport, Withdrawal};

pub use self::payload::{AcceptedResponses, Answer, Payload, StreamedBody};

/// The chunk servers' addresses and the connections to them.
pub struct Upstream {
    connections: Rc<Connections>,
}

impl Upstream {
    /// A transport that knows no chunk server yet. `server_idle_timeout` is when the servers close
    /// an idle connection; a request written at that moment would be lost, so connections are
    /// closed well before. `max_connections` limits all connections together.
    pub fn new(
        dial_timeout: Duration,
        server_idle_timeout: Duration,
        max_connections: usize,
    ) -> Upstream {
        let connections = Connections::new(dial_timeout, server_idle_timeout, max_connections);
        Upstream {
            connections: Rc::new(connections),
        }
    }

    /// Sets the address and shard of a chunk server. Returns its number, which it gets when it is
    /// first named.
    pub fn upsert_server(&self, name: &str, address: SocketAddr, shard: ShardId) -> NodeId {
        self.connections.upsert_server(name, address, shard)
    }

    /// The name of a chunk server in discovery, the same at every front; empty for an unknown one.
    pub fn server_name(&self, node: NodeId) -> String {
        self.connections.server_name(node)
    }

    /// Closes connections that have been idle for long.
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
        deadline: Instant,
        withdrawal: Withdrawal,
    ) -> impl Future<Output = AttemptReport<Answer>> + 'static {
        let connections = Rc::clone(&self.connections);
        AttemptRun::new(connections, node, payload, deadline, withdrawal).run()
    }
}
