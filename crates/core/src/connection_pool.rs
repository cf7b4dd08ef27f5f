//! The pool of idle connections to chunk servers: which one is reused, and which are closed. It
//! does no I/O.

use std::collections::BTreeMap;

use crate::interface::{Nanos, NodeId};
use crate::mutations::{mutated, Mutation};

/// The idle connections to each chunk server. `C` is a connection handle; dropping it closes the
/// connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionPool<C> {
    idle_timeout: Nanos,
    max_connections: usize,
    nodes: BTreeMap<NodeId, NodeConnections<C>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NodeConnections<C> {
    /// Incremented when the node's address changes; connections of an earlier epoch are not reused.
    address_epoch: u32,
    /// Ordered by last use, the most recently used connection last.
    idle: Vec<IdleConnection<C>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IdleConnection<C> {
    connection: C,
    idle_since: Nanos,
}

/// What [`ConnectionPool::take`] removed from the pool.
#[derive(Debug)]
pub struct TakenConnections<C> {
    /// The connection to reuse; `None` if no usable one was found.
    pub reusable: Option<C>,
    /// The unusable connections that were found before it, which the caller closes.
    pub unusable: Vec<C>,
}

/// Whether a new connection may be opened.
#[derive(Debug)]
pub enum Capacity<C> {
    /// A new connection may be opened now.
    Available,
    /// A new connection may be opened once this one, idle for the longest time, is closed.
    AfterClosing(C),
    /// No connection may be opened, because all connections are in use.
    Exhausted,
}

impl<C> ConnectionPool<C> {
    /// Creates an empty pool. `max_connections` limits the connections to all servers, idle or in
    /// use. A connection is reused only within `idle_timeout` of its last response.
    pub fn new(idle_timeout: Nanos, max_connections: usize) -> ConnectionPool<C> {
        ConnectionPool {
            idle_timeout,
            max_connections,
            nodes: BTreeMap::new(),
        }
    }

    /// Adds a node. Does nothing if the pool has it already.
    pub fn add(&mut self, node: NodeId) {
        self.nodes.entry(node).or_insert(NodeConnections {
            address_epoch: 0,
            idle: Vec::new(),
        });
    }

    /// Records a new address of a node. Returns its idle connections, which are no longer usable.
    pub fn address_changed(&mut self, node: NodeId) -> Vec<C> {
        let Some(connections) = self.nodes.get_mut(&node) else {
            return Vec::new();
        };
        connections.address_epoch += 1;
        handles(std::mem::take(&mut connections.idle))
    }

    /// Removes a node. Returns its idle connections, which the caller closes.
    pub fn remove(&mut self, node: NodeId) -> Vec<C> {
        if mutated(Mutation::RemovedNodeKeepsConnections) {
            return Vec::new();
        }
        self.nodes
            .remove(&node)
            .map(|connections| handles(connections.idle))
            .unwrap_or_default()
    }

    /// Returns the current address epoch of a node, which is passed to [`ConnectionPool::release`]
    /// with the connections that are opened in it.
    pub fn address_epoch(&self, node: NodeId) -> Option<u32> {
        self.nodes
            .get(&node)
            .map(|connections| connections.address_epoch)
    }

    /// Takes the most recently used connection that is within the idle timeout and quiet, and the
    /// unusable ones that are found before it. `is_quiet` returns whether the socket holds no
    /// unexpected bytes.
    pub fn take(
        &mut self,
        node: NodeId,
        now: Nanos,
        is_quiet: impl Fn(&C) -> bool,
    ) -> TakenConnections<C> {
        let mut taken = TakenConnections {
            reusable: None,
            unusable: Vec::new(),
        };
        let Some(connections) = self.nodes.get_mut(&node) else {
            return taken;
        };
        while let Some(idle) = connections.idle.pop() {
            let idle_time = now - idle.idle_since;
            let fresh = idle_time < self.idle_timeout || mutated(Mutation::IdleTimeoutIgnored);
            if fresh && is_quiet(&idle.connection) {
                taken.reusable = Some(idle.connection);
                return taken;
            }
            taken.unusable.push(idle.connection);
        }
        taken
    }

    /// Puts a connection back into the pool after a complete response. Returns it to the caller, to
    /// be closed, if it is not quiet, its node was removed or `address_epoch` is no longer current.
    pub fn release(
        &mut self,
        node: NodeId,
        address_epoch: u32,
        connection: C,
        now: Nanos,
        is_quiet: bool,
    ) -> Option<C> {
        let Some(connections) = self.nodes.get_mut(&node) else {
            return Some(connection);
        };
        let same_address = connections.address_epoch == address_epoch
            || mutated(Mutation::ReusedAfterAddressChange);
        if !same_address || !is_quiet {
            return Some(connection);
        }
        connections.idle.push(IdleConnection {
            connection,
            idle_since: now,
        });
        None
    }

    /// Returns whether another connection may be opened while `open` are open, idle ones included.
    /// Removes the longest idle connection from the pool if the limit is reached.
    pub fn capacity(&mut self, open: usize) -> Capacity<C> {
        if open < self.max_connections || mutated(Mutation::ServerConnectionCapIgnored) {
            return Capacity::Available;
        }
        let with_idle = self
            .nodes
            .values_mut()
            .filter(|connections| !connections.idle.is_empty());
        match with_idle.min_by_key(|connections| connections.idle[0].idle_since) {
            Some(connections) => Capacity::AfterClosing(connections.idle.remove(0).connection),
            None => Capacity::Exhausted,
        }
    }

    /// Removes and returns the connections that exceeded the idle timeout or that their server
    /// closed.
    pub fn sweep(&mut self, now: Nanos, is_open: impl Fn(&C) -> bool) -> Vec<C> {
        let mut removed = Vec::new();
        for connections in self.nodes.values_mut() {
            for idle in std::mem::take(&mut connections.idle) {
                if is_open(&idle.connection) && now - idle.idle_since < self.idle_timeout {
                    connections.idle.push(idle);
                } else {
                    removed.push(idle.connection);
                }
            }
        }
        removed
    }

    /// Returns the idle connections with their nodes, the most recently used last within each node.
    pub fn idle_connections(&self) -> impl Iterator<Item = (NodeId, &C)> {
        self.nodes.iter().flat_map(|(node, connections)| {
            connections
                .idle
                .iter()
                .map(move |idle| (*node, &idle.connection))
        })
    }
}

/// Returns the handles of idle connections, in the same order.
fn handles<C>(idle: Vec<IdleConnection<C>>) -> Vec<C> {
    idle.into_iter().map(|idle| idle.connection).collect()
}
