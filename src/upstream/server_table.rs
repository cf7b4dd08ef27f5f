//! The chunk servers that are known, by number and by name.

use std::collections::HashMap;
use std::net::SocketAddr;

use tulipbridge_core::{NodeId, ShardId};

/// A chunk server.
pub(super) struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub shard: ShardId,
}

/// What [`ServerTable::upsert_server`] has changed.
pub(super) enum UpsertResult {
    /// The server is new.
    Added(NodeId),
    /// The server is known and its address is another.
    AddressChanged(NodeId),
    /// The server is known at this address.
    Unchanged(NodeId),
}

/// Chunk servers by number and name.
#[derive(Default)]
pub(super) struct ServerTable {
    ids: HashMap<String, NodeId>,
    servers: HashMap<NodeId, Server>,
    /// Numbers are never reused: an attempt may still be out under an old one.
    next_id: NodeId,
}

impl ServerTable {
    /// The server with this number, where it is known.
    pub fn get(&self, node: NodeId) -> Option<&Server> {
        self.servers.get(&node)
    }

    /// Sets the address and shard of a server, adding it where its name is new.
    pub fn upsert_server(
        &mut self,
        name: &str,
        address: SocketAddr,
        shard: ShardId,
    ) -> UpsertResult {
        let Some(&id) = self.ids.get(name) else {
            return UpsertResult::Added(self.add(name, address, shard));
        };
        let Some(server) = self.servers.get_mut(&id) else {
            return UpsertResult::Unchanged(id);
        };
        server.shard = shard;
        if server.address == address {
            return UpsertResult::Unchanged(id);
        }
        server.address = address;
        UpsertResult::AddressChanged(id)
    }

    fn add(&mut self, name: &str, address: SocketAddr, shard: ShardId) -> NodeId {
        let id = self.next_id;
        self.next_id.0 += 1;
        self.ids.insert(name.to_owned(), id);
        self.servers.insert(
            id,
            Server {
                name: name.to_owned(),
                address,
                shard,
            },
        );
        id
    }

    /// Removes a server; its name gets a new number where it comes again.
    pub fn remove(&mut self, node: NodeId) {
        if let Some(server) = self.servers.remove(&node) {
            self.ids.remove(&server.name);
        }
    }
}
