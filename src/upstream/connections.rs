//! All connections to chunk servers: the pool, and dialing.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use simd_json::json;
use tokio::net::TcpStream;
use tulipbridge_core::connection_pool::{Capacity, ConnectionPool};
use tulipbridge_core::{Nanos, NodeId, ShardId};

use super::connection::PooledConnection;
use super::open_connections::OpenConnections;
use super::server_table::{ServerTable, UpsertResult};
use crate::telemetry::trace;

/// The part of the servers' idle timeout after which this side closes an idle connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The servers and the connections to them.
pub(super) struct Connections {
    dial_timeout: Duration,
    /// Origin of the pool's clock.
    epoch: Instant,
    /// Connections that are open or being dialed.
    open: OpenConnections,
    servers: RefCell<ServerTable>,
    pool: RefCell<ConnectionPool<PooledConnection>>,
}

impl Connections {
    /// No servers and no connections; see [`super::Upstream::new`].
    pub fn new(
        dial_timeout: Duration,
        server_idle_timeout: Duration,
        max_connections: usize,
    ) -> Connections {
        let idle_timeout = server_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        Connections {
            dial_timeout,
            epoch: Instant::now(),
            open: OpenConnections::default(),
            servers: RefCell::default(),
            pool: RefCell::new(ConnectionPool::new(
                idle_timeout.as_nanos() as Nanos,
                max_connections,
            )),
        }
    }

    /// Sets the address and shard of a server; see [`super::Upstream::upsert_server`].
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
                // The idle connections to the old address are closed as they are dropped.
                self.pool.borrow_mut().address_changed(id);
                id
            }
            UpsertResult::Unchanged(id) => id,
        }
    }

    /// The name of a server in discovery; empty for an unknown one.
    pub fn server_name(&self, node: NodeId) -> String {
        self.servers
            .borrow()
            .get(node)
            .map_or_else(String::new, |server| server.name.clone())
    }

    /// Name and address of a server for logs; empty for an unknown one.
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

    /// Closes connections that have been idle for too long.
    pub fn close_idle_connections(&self) {
        let now = self.now();
        self.pool.borrow_mut().sweep(now, PooledConnection::is_open);
    }

    /// Time since the epoch of the pool.
    fn now(&self) -> Nanos {
        self.epoch.elapsed().as_nanos() as Nanos
    }

    /// Takes an idle connection to a server from the pool.
    pub fn take_pooled(&self, node: NodeId) -> Option<PooledConnection> {
        self.pool
            .borrow_mut()
            .take(node, self.now(), PooledConnection::is_quiet)
            .reusable
    }

    /// Returns a connection to the pool.
    pub fn release(&self, node: NodeId, connection: PooledConnection) {
        // Unsolicited bytes on its socket are checked for when it is next used.
        let is_open = connection.is_open();
        let address_epoch = connection.address_epoch();
        self.pool
            .borrow_mut()
            .release(node, address_epoch, connection, self.now(), is_open);
    }

    /// Whether a connection to a server may be opened. At the limit this closes the connection that
    /// has been idle longest.
    pub fn may_open(&self, node: NodeId) -> bool {
        let is_known = self.servers.borrow().get(node).is_some();
        is_known
            && !matches!(
                self.pool.borrow_mut().capacity(self.open.count()),
                Capacity::Exhausted
            )
    }

    /// Opens a connection to a server; `None` where this fails or takes longer than the timeout.
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
