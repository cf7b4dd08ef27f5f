//! The idle connections to each server: which one is used again, and which are closed. No I/O.

use std::collections::BTreeMap;

use crate::interface::{Nanos, NodeId};
use crate::mutations::{mutated, Mutation};

/// The quiet connections to each node. `C` is a handle on a connection; dropping one closes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionPool<C> {
    idle_timeout: Nanos,
    max_connections: usize,
    nodes: BTreeMap<NodeId, NodeConnections<C>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NodeConnections<C> {
    /// Goes up where the node moves: connections to where it was are of no use.
    address_epoch: u32,
    /// The latest used last, with the moment it fell quiet.
    idle: Vec<(C, Nanos)>,
}

/// Whether a new connection may be opened.
#[derive(Debug)]
pub enum Capacity<C> {
    /// It may.
    Available,
    /// It may once this one, the longest idle, is closed.
    AfterClosing(C),
    /// All are in use.
    Exhausted,
}

impl<C> ConnectionPool<C> {
    /// Of at most so many connections, quiet or not, each used again within `idle` of its last answer.
    pub fn new(idle: Nanos, most: usize) -> ConnectionPool<C> {
        ConnectionPool { idle_timeout: idle, max_connections: most, nodes: BTreeMap::new() }
    }

    /// A node is there.
    pub fn add(&mut self, node: NodeId) {
        self.nodes.entry(node).or_insert(NodeConnections { address_epoch: 0, idle: Vec::new() });
    }

    /// A node is at another address now. Gives the connections that are of no use any more.
    pub fn address_changed(&mut self, node: NodeId) -> Vec<(C, Nanos)> {
        let Some(member) = self.nodes.get_mut(&node) else { return Vec::new() };
        member.address_epoch += 1;
        std::mem::take(&mut member.idle)
    }

    /// A node is gone. Gives its connections.
    pub fn remove(&mut self, node: NodeId) -> Vec<(C, Nanos)> {
        if mutated(Mutation::ForgottenNodeKeepsConnections) {
            return Vec::new();
        }
        self.nodes.remove(&node).map(|m| m.idle).unwrap_or_default()
    }

    /// Which of its places a node is at; none where it is not known.
    pub fn address_epoch(&self, node: NodeId) -> Option<u32> {
        self.nodes.get(&node).map(|m| m.address_epoch)
    }

    /// A connection to use again, and those found to be of no use on the way. `quiet` looks at the socket.
    pub fn take(&mut self, node: NodeId, now: Nanos, quiet: impl Fn(&C) -> bool) -> (Option<C>, Vec<C>) {
        let mut useless = Vec::new();
        let idle = self.idle_timeout;
        let Some(member) = self.nodes.get_mut(&node) else { return (None, useless) };
        while let Some((conn, since)) = member.idle.pop() {
            let fresh = now - since < idle || mutated(Mutation::IdleForTooLong);
            if fresh && quiet(&conn) {
                return (Some(conn), useless);
            }
            useless.push(conn);
        }
        (None, useless)
    }

    /// Keeps a connection that has carried an answer, opened while its node was at `place`; gives it back where
    /// it is of no use.
    pub fn release(&mut self, node: NodeId, place: u32, conn: C, now: Nanos, quiet: bool) -> Option<C> {
        let stays = |m: &&mut NodeConnections<C>| {
            m.address_epoch == place || mutated(Mutation::KeptForAnotherAddress)
        };
        match self.nodes.get_mut(&node).filter(stays).filter(|_| quiet) {
            Some(member) => {
                member.idle.push((conn, now));
                None
            }
            None => Some(conn),
        }
    }

    /// Whether one more may be opened where `open` are, in use or quiet.
    pub fn capacity(&mut self, open: usize) -> Capacity<C> {
        if open < self.max_connections || mutated(Mutation::NoCapOnConnections) {
            return Capacity::Available;
        }
        let quiet = self.nodes.values_mut().filter(|m| !m.idle.is_empty());
        match quiet.min_by_key(|m| m.idle[0].1) {
            Some(member) => Capacity::AfterClosing(member.idle.remove(0).0),
            None => Capacity::Exhausted,
        }
    }

    /// Gives the connections that have stood idle for long, or are closed by the node.
    pub fn sweep(&mut self, now: Nanos, open: impl Fn(&C) -> bool) -> Vec<C> {
        let mut over = Vec::new();
        for member in self.nodes.values_mut() {
            let (stay, go) = std::mem::take(&mut member.idle)
                .into_iter()
                .partition(|(conn, since)| open(conn) && now - since < self.idle_timeout);
            member.idle = stay;
            let go: Vec<(C, Nanos)> = go;
            over.extend(go.into_iter().map(|(conn, _)| conn));
        }
        over
    }

    /// The quiet connections to each node, the latest used last.
    pub fn idle_connections(&self) -> impl Iterator<Item = (NodeId, &C)> {
        self.nodes.iter().flat_map(|(node, m)| m.idle.iter().map(move |(conn, _)| (*node, conn)))
    }
}
