//! The connections to all chunk servers: their pool, and dialing.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use simd_json::json;
use tokio::net::TcpStream;
use tulipbridge_core::connection_pool::{Capacity, ConnectionPool};
use tulipbridge_core::{Nanos, NodeId, ShardId};

use super::connection::PooledConnection;
use super::open_connections::OpenConnections;
use super::response_memory::ResponseMemory;
use super::server_table::{ServerTable, UpsertResult};
use crate::memory_budget::Reservation;
use crate::telemetry::trace;

/// Fraction of the servers' idle timeout after which this side closes an idle connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The chunk servers and the connections to them.
pub(super) struct Connections {
    dial_timeout: Duration,
    /// The origin of the times that the pool is given.
    started: Instant,
    /// Counts the connections that are open or being dialed.
    open: OpenConnections,
    servers: RefCell<ServerTable>,
    pool: RefCell<ConnectionPool<PooledConnection>>,
    response_memory: ResponseMemory,
}

impl Connections {
    /// Creates a table without servers and connections; see [`super::Upstream::new`].
    pub fn new(
        dial_timeout: Duration,
        server_idle_timeout: Duration,
        max_connections: usize,
        response_memory: ResponseMemory,
    ) -> Connections {
        let idle_timeout = server_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        Connections {
            dial_timeout,
            started: Instant::now(),
            open: OpenConnections::default(),
            servers: RefCell::default(),
            pool: RefCell::new(ConnectionPool::new(
                idle_timeout.as_nanos() as Nanos,
                max_connections,
            )),
            response_memory,
        }
    }

    /// Adds a server or updates its address and shard; see [`super::Upstream::upsert_server`].
    pub fn upsert_server(&self, name: &str, address: SocketAddr, shard: ShardId) -> NodeId {
        let result = self
            .servers
            .borrow_mut()
            .upsert_server(name, address, shard);
        match result {
            UpsertResult::Added(id) => {
                self.pool.borrow_mut().add(id);
                id
            }
            UpsertResult::AddressChanged(id) => {
                // Dropping the idle connections to the old address closes them.
                self.pool.borrow_mut().address_changed(id);
                id
            }
            UpsertResult::Unchanged(id) => id,
        }
    }

    /// Returns the name of a server in discovery; empty if the server is unknown.
    pub fn server_name(&self, node: NodeId) -> String {
        self.servers
            .borrow()
            .get(node)
            .map_or_else(String::new, |server| server.name.clone())
    }

    /// Returns the name and address of a server for logs; empty if the server is unknown.
    pub fn display_name(&self, node: NodeId) -> String {
        let servers = self.servers.borrow();
        servers.get(node).map_or_else(String::new, |server| {
            format!("{} at {}", server.name, server.address)
        })
    }

    /// Removes a server and closes its idle connections.
    pub fn forget(&self, node: NodeId) {
        self.servers.borrow_mut().remove(node);
        self.pool.borrow_mut().remove(node);
    }

    /// Closes pooled connections that have exceeded the idle timeout or were closed by their
    /// server.
    pub fn close_idle_connections(&self) {
        let now = self.now();
        self.pool.borrow_mut().sweep(now, PooledConnection::is_open);
    }

    /// Returns the present time of the pool.
    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Takes an idle connection to a server from the pool and closes the unusable ones found before
    /// it.
    pub fn take_pooled(&self, node: NodeId) -> Option<PooledConnection> {
        self.pool
            .borrow_mut()
            .take(node, self.now(), PooledConnection::is_quiet)
            .reusable
    }

    /// Reserves the memory for a response; returns `None` while there is none.
    pub fn reserve_response(&self) -> Option<Reservation> {
        self.response_memory.reserve()
    }

    /// Returns a connection to the pool, or closes it if it cannot be reused.
    pub fn release(&self, node: NodeId, connection: PooledConnection) {
        // The check for unsolicited bytes on the socket is made when the connection is reused.
        let is_open = connection.is_open();
        let address_epoch = connection.address_epoch();
        self.pool
            .borrow_mut()
            .release(node, address_epoch, connection, self.now(), is_open);
    }

    /// Returns whether a connection to a server may be opened. If the limit is reached, this closes
    /// the connection that has been idle longest.
    pub fn may_open(&self, node: NodeId) -> bool {
        let is_known = self.servers.borrow().get(node).is_some();
        is_known
            && !matches!(
                self.pool.borrow_mut().capacity(self.open.count()),
                Capacity::Exhausted
            )
    }

    /// Opens a connection to a server. Returns `None` if this fails or connecting takes longer than
    /// the timeout.
    pub async fn dial(&self, node: NodeId) -> Option<PooledConnection> {
        let (address, shard) = self
            .servers
            .borrow()
            .get(node)
            .map(|server| (server.address, server.shard))?;
        let address_epoch = self.pool.borrow().address_epoch(node)?;
        let slot = self.open.acquire();
        if trace::is_enabled() {
            let name = self.display_name(node);
            trace::write(json!({ "e": "dial", "node": name, "open": self.open.count() }));
        }
        let stream = tokio::time::timeout(self.dial_timeout, TcpStream::connect(address)).await;
        PooledConnection::handshake(stream.ok()?.ok()?, address_epoch, shard, slot).await
    }
}
