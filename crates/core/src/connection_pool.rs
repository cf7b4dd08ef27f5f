//! The pool of idle connections to chunk servers: which one is reused, and which are closed. No
//! I/O.

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
    /// Idle connections, each with the time since which it is idle, the most recently used last.
    idle: Vec<(C, Nanos)>,
}

/// Whether a new connection may be opened.
#[derive(Debug)]
pub enum Capacity<C> {
    /// It may be opened.
    Available,
    /// It may be opened once this one, idle for the longest time, is closed.
    AfterClosing(C),
    /// It may not: all connections are in use.
    Exhausted,
}

impl<C> ConnectionPool<C> {
    /// An empty pool. `max_connections` caps the connections to all servers, idle or in use; a
    /// connection is reused only within `idle_timeout` of its last response.
    pub fn new(idle_timeout: Nanos, max_connections: usize) -> ConnectionPool<C> {
        ConnectionPool {
            idle_timeout,
            max_connections,
            nodes: BTreeMap::new(),
        }
    }

    /// Adds a node; does nothing if the pool has it.
    pub fn add(&mut self, node: NodeId) {
        self.nodes.entry(node).or_insert(NodeConnections {
            address_epoch: 0,
            idle: Vec::new(),
        });
    }

    /// Records a new address of a node. Returns its idle connections, which are no longer usable.
    pub fn address_changed(&mut self, node: NodeId) -> Vec<(C, Nanos)> {
        let Some(connections) = self.nodes.get_mut(&node) else {
            return Vec::new();
        };
        connections.address_epoch += 1;
        std::mem::take(&mut connections.idle)
    }

    /// Removes a node. Returns its idle connections.
    pub fn remove(&mut self, node: NodeId) -> Vec<(C, Nanos)> {
        if mutated(Mutation::RemovedNodeKeepsConnections) {
            return Vec::new();
        }
        self.nodes
            .remove(&node)
            .map(|connections| connections.idle)
            .unwrap_or_default()
    }

    /// The present address epoch of a node, to be passed to [`ConnectionPool::release`] with
    /// connections opened in it.
    pub fn address_epoch(&self, node: NodeId) -> Option<u32> {
        self.nodes
            .get(&node)
            .map(|connections| connections.address_epoch)
    }

    /// Takes the most recently used connection that is fresh and quiet. Also returns the unusable
    /// connections that were dropped from the pool before it was found. `is_quiet` checks the
    /// socket for unexpected bytes.
    pub fn take(
        &mut self,
        node: NodeId,
        now: Nanos,
        is_quiet: impl Fn(&C) -> bool,
    ) -> (Option<C>, Vec<C>) {
        let mut unusable = Vec::new();
        let Some(connections) = self.nodes.get_mut(&node) else {
            return (None, unusable);
        };
        while let Some((connection, idle_since)) = connections.idle.pop() {
            let fresh =
                now - idle_since < self.idle_timeout || mutated(Mutation::IdleTimeoutIgnored);
            if fresh && is_quiet(&connection) {
                return (Some(connection), unusable);
            }
            unusable.push(connection);
        }
        (None, unusable)
    }

    /// Returns a connection to the pool after a complete response. Gives it back to the caller, to
    /// be closed, if it is not quiet or `address_epoch` is not the present one of its node.
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
        connections.idle.push((connection, now));
        None
    }

    /// Whether one more connection may be opened while `open` are open, idle ones included. Removes
    /// the longest idle connection from the pool if it must make room.
    pub fn capacity(&mut self, open: usize) -> Capacity<C> {
        if open < self.max_connections || mutated(Mutation::ServerConnectionCapIgnored) {
            return Capacity::Available;
        }
        let with_idle = self
            .nodes
            .values_mut()
            .filter(|connections| !connections.idle.is_empty());
        match with_idle.min_by_key(|connections| connections.idle[0].1) {
            Some(connections) => Capacity::AfterClosing(connections.idle.remove(0).0),
            None => Capacity::Exhausted,
        }
    }

    /// Removes and returns the connections that exceed the idle timeout or were closed by their
    /// server.
    pub fn sweep(&mut self, now: Nanos, is_open: impl Fn(&C) -> bool) -> Vec<C> {
        let mut removed = Vec::new();
        for connections in self.nodes.values_mut() {
            for (connection, idle_since) in std::mem::take(&mut connections.idle) {
                if is_open(&connection) && now - idle_since < self.idle_timeout {
                    connections.idle.push((connection, idle_since));
                } else {
                    removed.push(connection);
                }
            }
        }
        removed
    }

    /// The idle connections with their nodes, the most recently used last within each node.
    pub fn idle_connections(&self) -> impl Iterator<Item = (NodeId, &C)> {
        self.nodes.iter().flat_map(|(node, connections)| {
            connections
                .idle
                .iter()
                .map(move |(connection, _)| (*node, connection))
        })
    }
}
