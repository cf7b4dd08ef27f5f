//! The chunk servers that the operators have put into maintenance. This module changes the entries
//! of the endpoint list before they reach the decision module.
//!
//! [`MaintenanceSet`] keeps the last listed state of each server and the set of servers in
//! maintenance. Whatever the list says, a server in maintenance is passed on as draining, so that
//! the rules for draining servers apply to it. When its maintenance ends, it is passed on as
//! listed, but with that moment as its start, so that it gets a slow start. Servers are identified
//! by a key of the caller's choice, such as their name in the list, which outlives the node numbers
//! of the decision module: a server that leaves the list and returns is still in maintenance.
//!
//! This module does no I/O and has no clock: the caller passes the time.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{EndpointState, Nanos, NodeInfo};

/// The reason for which a server cannot enter or leave maintenance.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MaintenanceError {
    /// No endpoint list has named the server.
    #[error("no chunk server of that id has been listed")]
    NeverListed,
}

/// The set of servers in maintenance, and the listed state of every server.
#[derive(Clone, Debug)]
pub struct MaintenanceSet<K> {
    /// The servers in the current endpoint list, as listed.
    listed: BTreeMap<K, NodeInfo>,
    /// The servers that any endpoint list has named, or that a persisted set names.
    ever_listed: BTreeSet<K>,
    in_maintenance: BTreeSet<K>,
}

impl<K> Default for MaintenanceSet<K> {
    fn default() -> MaintenanceSet<K> {
        MaintenanceSet {
            listed: BTreeMap::new(),
            ever_listed: BTreeSet::new(),
            in_maintenance: BTreeSet::new(),
        }
    }
}

impl<K: Ord + Clone> MaintenanceSet<K> {
    /// Creates an empty set, with no server listed.
    pub fn new() -> MaintenanceSet<K> {
        MaintenanceSet::default()
    }

    /// Records an entry of the endpoint list. Returns the entry to pass on to the decision module.
    pub fn endpoint_listed(&mut self, key: &K, info: NodeInfo) -> NodeInfo {
        self.ever_listed.insert(key.clone());
        if info.state == EndpointState::Removed {
            self.listed.remove(key);
        } else {
            self.listed.insert(key.clone(), info.clone());
        }
        self.effective_entry(key, info)
    }

    /// Records that a complete endpoint list arrived: servers that it does not name are no longer
    /// listed.
    pub fn list_replaced(&mut self, keys: &BTreeSet<K>) {
        self.listed.retain(|key, _| keys.contains(key));
    }

    /// Puts a server into maintenance. Returns the entry to pass on to the decision module, if the
    /// server is listed and was not in maintenance before.
    ///
    /// # Errors
    /// [`MaintenanceError::NeverListed`] if no endpoint list has named it.
    pub fn enter(&mut self, key: &K) -> Result<Option<NodeInfo>, MaintenanceError> {
        self.check_ever_listed(key)?;
        if !self.in_maintenance.insert(key.clone()) {
            return Ok(None);
        }
        let info = self.listed.get(key).cloned();
        Ok(info.map(|info| self.effective_entry(key, info)))
    }

    /// Ends the maintenance of a server at `now`. Returns the entry to pass on to the decision
    /// module, if the server is listed and was in maintenance. The entry is as listed, but with
    /// `now` as its start, because the server was restarted in the meantime.
    ///
    /// # Errors
    /// [`MaintenanceError::NeverListed`] if no endpoint list has named it.
    pub fn exit(&mut self, key: &K, now: Nanos) -> Result<Option<NodeInfo>, MaintenanceError> {
        self.check_ever_listed(key)?;
        if !self.in_maintenance.remove(key) {
            return Ok(None);
        }
        let Some(info) = self.listed.get_mut(key) else {
            return Ok(None);
        };
        info.started_at = info.started_at.max(now);
        Ok(Some(info.clone()))
    }

    /// Replaces the set with one that another process of this front has persisted. Returns the
    /// entries to pass on, which are those of the listed servers that changed: first the servers
    /// whose maintenance ended, then those that entered it.
    pub fn replace_set(&mut self, keys: &BTreeSet<K>, now: Nanos) -> Vec<NodeInfo> {
        let ended: Vec<K> = self.in_maintenance.difference(keys).cloned().collect();
        let entered: Vec<K> = keys.difference(&self.in_maintenance).cloned().collect();
        let mut changed = Vec::new();
        for key in ended {
            changed.extend(self.exit(&key, now).ok().flatten());
        }
        for key in entered {
            // A server that this process does not know yet may be listed later. Its maintenance
            // takes effect then.
            self.ever_listed.insert(key.clone());
            changed.extend(self.enter(&key).ok().flatten());
        }
        changed
    }

    /// Returns the keys of the servers in maintenance, in ascending order.
    pub fn in_maintenance(&self) -> impl Iterator<Item = &K> {
        self.in_maintenance.iter()
    }

    /// Returns whether a server is in maintenance.
    pub fn contains(&self, key: &K) -> bool {
        self.in_maintenance.contains(key)
    }

    fn check_ever_listed(&self, key: &K) -> Result<(), MaintenanceError> {
        if self.ever_listed.contains(key) {
            Ok(())
        } else {
            Err(MaintenanceError::NeverListed)
        }
    }

    /// Returns the entry that the decision module gets for a server.
    fn effective_entry(&self, key: &K, mut info: NodeInfo) -> NodeInfo {
        if self.in_maintenance.contains(key) && info.state == EndpointState::Up {
            info.state = EndpointState::Draining;
        }
        info
    }
}
