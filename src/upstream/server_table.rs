//! The known chunk servers, by id and by name.

use std::collections::HashMap;
use std::net::SocketAddr;

use tulipbridge_core::{NodeId, ShardId};

/// A known chunk server.
pub(super) struct Server {
    /// The name in discovery.
    pub name: String,
    /// The address to dial.
    pub address: SocketAddr,
    /// The shard that the server belongs to.
    pub shard: ShardId,
}

/// What [`ServerTable::upsert_server`] has changed.
pub(super) enum UpsertResult {
    /// The server was added.
    Added(NodeId),
    /// The server was known and its address has changed.
    AddressChanged(NodeId),
    /// The server was known at the same address; its shard may have changed.
    Unchanged(NodeId),
}

/// The known chunk servers, by id and by name.
#[derive(Default)]
pub(super) struct ServerTable {
    ids: HashMap<String, NodeId>,
    servers: HashMap<NodeId, Server>,
    /// Ids are never reused: an attempt may still be in flight under an old one.
    next_id: NodeId,
}

impl ServerTable {
    /// Returns the server with this id, if it is known.
    pub fn get(&self, node: NodeId) -> Option<&Server> {
        self.servers.get(&node)
    }

    /// Adds a server, or updates its address and shard if its name is known.
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

    /// Removes a server. If its name is added again, it gets a new id.
    pub fn remove(&mut self, node: NodeId) {
        if let Some(server) = self.servers.remove(&node) {
            self.ids.remove(&server.name);
        }
    }
}
