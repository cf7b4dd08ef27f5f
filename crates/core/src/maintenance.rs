//! Chunk servers that operators hold out by hand, between the node list and the decision module.
//!
//! [`Hand`] keeps what the list last said of each server and the set that is held out. It tells the module a held
//! server as draining, whatever the list says, so that the rule on drains holds for it; when it is let back in, the
//! module is told it as the list has it, started at that moment, so that it is taken up cold. Servers are known by
//! a key of the caller's choosing (the list's own name for them), which outlives the module's node numbers: a
//! server that leaves the list and comes back stays held. No I/O, no clock: moments come with the calls.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Listed, Nanos, NodeInfo};

/// Why a server cannot be held out or let back in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MaintenanceError {
    /// The list has never named it.
    NeverListed,
}

impl std::fmt::Display for MaintenanceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MaintenanceError::NeverListed => write!(f, "no chunk server of that id has been listed"),
        }
    }
}

impl std::error::Error for MaintenanceError {}

/// The servers held out by hand, and what the list says of each server.
#[derive(Clone, Debug)]
pub struct MaintenanceSet<K> {
    /// What the list says of each server now listed, as it said it.
    listed: BTreeMap<K, NodeInfo>,
    /// Every key that the list has named since the start, or that was held when the process began.
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
    /// Nothing listed, nothing held.
    pub fn new() -> MaintenanceSet<K> {
        MaintenanceSet::default()
    }

    /// An entry of the list, as the list says it; gives what the module is to be told of it.
    pub fn endpoint_listed(&mut self, key: &K, info: NodeInfo) -> NodeInfo {
        self.ever_listed.insert(key.clone());
        if info.listed == Listed::Removed {
            self.listed.remove(key);
        } else {
            self.listed.insert(key.clone(), info.clone());
        }
        self.effective_entry(key, info)
    }

    /// A complete list has come: what it does not name is no longer listed.
    pub fn list_replaced(&mut self, keys: &BTreeSet<K>) {
        self.listed.retain(|key, _| keys.contains(key));
    }

    /// Holds a server out. Gives what the module is to be told, where it is listed now. Holding one that is held
    /// already is no error, and tells nothing new.
    ///
    /// # Errors
    /// [`HandError::NeverListed`] where the list has never named it.
    pub fn enter(&mut self, key: &K) -> Result<Option<NodeInfo>, MaintenanceError> {
        if !self.ever_listed.contains(key) {
            return Err(MaintenanceError::NeverListed);
        }
        if !self.in_maintenance.insert(key.clone()) {
            return Ok(None);
        }
        Ok(self.listed.get(key).cloned().map(|info| self.effective_entry(key, info)))
    }

    /// Lets a server back in at `now`. Gives what the module is to be told, where it is listed now: as the list
    /// has it, started at `now`, since it was restarted while it was out. Letting one in that is not held is no
    /// error.
    ///
    /// # Errors
    /// [`HandError::NeverListed`] where the list has never named it.
    pub fn exit(&mut self, key: &K, now: Nanos) -> Result<Option<NodeInfo>, MaintenanceError> {
        if !self.ever_listed.contains(key) {
            return Err(MaintenanceError::NeverListed);
        }
        if !self.in_maintenance.remove(key) {
            return Ok(None);
        }
        let info = self.listed.get_mut(key).map(|info| {
            info.started_at = info.started_at.max(now);
            info.clone()
        });
        Ok(info)
    }

    /// Holds exactly these servers, as another process of this front has written them down. Gives what the module
    /// is to be told of those that changed and are listed now.
    pub fn replace_set(&mut self, keys: &BTreeSet<K>, now: Nanos) -> Vec<NodeInfo> {
        let gone: Vec<K> = self.in_maintenance.difference(keys).cloned().collect();
        let came: Vec<K> = keys.difference(&self.in_maintenance).cloned().collect();
        let mut told = Vec::new();
        for key in gone {
            told.extend(self.exit(&key, now).ok().flatten());
        }
        for key in came {
            // One that this process has not heard of yet may be listed to it later; it is held from then on.
            self.ever_listed.insert(key.clone());
            told.extend(self.enter(&key).ok().flatten());
        }
        told
    }

    /// Those held out, in order.
    pub fn in_maintenance(&self) -> impl Iterator<Item = &K> {
        self.in_maintenance.iter()
    }

    /// Whether the server is held out.
    pub fn contains(&self, key: &K) -> bool {
        self.in_maintenance.contains(key)
    }

    fn effective_entry(&self, key: &K, mut info: NodeInfo) -> NodeInfo {
        if self.in_maintenance.contains(key) && info.listed == Listed::Up {
            info.listed = Listed::Draining;
        }
        info
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(node: usize, listed: Listed, came_up: Nanos) -> NodeInfo {
        NodeInfo { node, zone: 0, cell: 3, listed, started_at: came_up }
    }

    #[test]
    fn a_held_server_is_draining_whatever_the_list_says() {
        let mut hand = MaintenanceSet::new();
        let key = "s-1".to_owned();
        assert_eq!(hand.endpoint_listed(&key, entry(0, Listed::Up, 0)).listed, Listed::Up);
        assert_eq!(hand.enter(&key), Ok(Some(entry(0, Listed::Draining, 0))));
        assert_eq!(hand.enter(&key), Ok(None), "a second enter is a yes that tells nothing new");
        assert_eq!(hand.endpoint_listed(&key, entry(0, Listed::Up, 0)).listed, Listed::Draining);
        // It leaves the list and comes back under another number: still held.
        assert_eq!(hand.endpoint_listed(&key, entry(0, Listed::Removed, 0)).listed, Listed::Removed);
        hand.list_replaced(&BTreeSet::new());
        assert_eq!(hand.endpoint_listed(&key, entry(7, Listed::Up, 5)).listed, Listed::Draining);
        assert_eq!(hand.exit(&key, 90), Ok(Some(entry(7, Listed::Up, 90))), "back in, cold from the call");
        assert_eq!(hand.exit(&key, 95), Ok(None));
        assert_eq!(hand.endpoint_listed(&key, entry(7, Listed::Up, 5)).listed, Listed::Up);
    }

    #[test]
    fn an_id_never_listed_is_refused_and_changes_nothing() {
        let mut hand: MaintenanceSet<String> = MaintenanceSet::new();
        assert_eq!(hand.enter(&"s-9".to_owned()), Err(MaintenanceError::NeverListed));
        assert_eq!(hand.exit(&"s-9".to_owned(), 1), Err(MaintenanceError::NeverListed));
        assert_eq!(hand.in_maintenance().count(), 0);
    }

    #[test]
    fn a_server_that_drains_by_the_list_stays_draining_after_the_call_back() {
        let mut hand = MaintenanceSet::new();
        let key = 4u32;
        hand.endpoint_listed(&key, entry(2, Listed::Draining, 0));
        assert_eq!(hand.enter(&key), Ok(Some(entry(2, Listed::Draining, 0))));
        assert_eq!(hand.exit(&key, 10), Ok(Some(entry(2, Listed::Draining, 10))));
    }

    #[test]
    fn what_another_process_wrote_down_is_held_here_too() {
        let mut hand = MaintenanceSet::new();
        for (node, key) in [(0, 'a'), (1, 'b')] {
            hand.endpoint_listed(&key, entry(node, Listed::Up, 0));
        }
        let told = hand.replace_set(&BTreeSet::from(['a', 'z']), 50);
        assert_eq!(told, vec![entry(0, Listed::Draining, 0)]);
        assert!(hand.contains(&'z'), "held for when the list names it");
        assert_eq!(hand.endpoint_listed(&'z', entry(2, Listed::Up, 0)).listed, Listed::Draining);
        let told = hand.replace_set(&BTreeSet::from(['b']), 60);
        assert_eq!(
            told,
            vec![entry(0, Listed::Up, 60), entry(2, Listed::Up, 60), entry(1, Listed::Draining, 0)]
        );
        assert_eq!(hand.in_maintenance().collect::<Vec<_>>(), vec![&'b']);
    }
}
