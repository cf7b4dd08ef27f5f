//! The inputs that the steps of an evaluation read.

use std::collections::BTreeMap;

use crate::{DetectorConfig, GossipStore, KnownServer, Nanos, ServerId};

/// The servers of the endpoint list.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerTable {
    /// Whether the endpoint list has each server as up.
    is_up: BTreeMap<ServerId, bool>,
}

impl ServerTable {
    pub(super) fn new(servers: Vec<KnownServer>) -> ServerTable {
        let is_up = servers.into_iter().map(|server| (server.id, server.is_up));
        ServerTable {
            is_up: is_up.collect(),
        }
    }

    pub(super) fn contains(&self, server: ServerId) -> bool {
        self.is_up.contains_key(&server)
    }

    /// Returns whether a server is in the endpoint list and up.
    pub(super) fn is_up(&self, server: ServerId) -> bool {
        self.is_up.get(&server).is_some_and(|is_up| *is_up)
    }

    /// Returns all servers in the order of their identifiers.
    pub(super) fn ids(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.is_up.keys().copied()
    }

    pub(super) fn len(&self) -> usize {
        self.is_up.len()
    }
}

/// The inputs that all steps of one evaluation share. None of the steps changes them.
#[derive(Clone, Copy)]
pub(super) struct EvaluationContext<'a> {
    pub(super) now: Nanos,
    pub(super) config: &'a DetectorConfig,
    pub(super) servers: &'a ServerTable,
    /// The gossip entries that all fronts have published.
    pub(super) entries: &'a GossipStore,
}
