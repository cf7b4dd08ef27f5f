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
pub enum HandError {
    /// The list has never named it.
    NeverListed,
}

impl std::fmt::Display for HandError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HandError::NeverListed => write!(f, "no chunk server of that id has been listed"),
        }
    }
}

impl std::error::Error for HandError {}

/// The servers held out by hand, and what the list says of each server.
#[derive(Clone, Debug)]
pub struct Hand<K> {
    /// What the list says of each server now listed, as it said it.
    listed: BTreeMap<K, NodeInfo>,
    /// Every key that the list has named since the start, or that was held when the process began.
    ever: BTreeSet<K>,
    held: BTreeSet<K>,
}

impl<K> Default for Hand<K> {
    fn default() -> Hand<K> {
        Hand { listed: BTreeMap::new(), ever: BTreeSet::new(), held: BTreeSet::new() }
    }
}

impl<K: Ord + Clone> Hand<K> {
    /// Nothing listed, nothing held.
    pub fn new() -> Hand<K> {
        Hand::default()
    }

    /// An entry of the list, as the list says it; gives what the module is to be told of it.
    pub fn listed(&mut self, key: &K, info: NodeInfo) -> NodeInfo {
        self.ever.insert(key.clone());
        if info.listed == Listed::Removed {
            self.listed.remove(key);
        } else {
            self.listed.insert(key.clone(), info.clone());
        }
        self.told(key, info)
    }

    /// A complete list has come: what it does not name is no longer listed.
    pub fn replaced(&mut self, keys: &BTreeSet<K>) {
        self.listed.retain(|key, _| keys.contains(key));
    }

    /// Holds a server out. Gives what the module is to be told, where it is listed now. Holding one that is held
    /// already is no error, and tells nothing new.
    ///
    /// # Errors
    /// [`HandError::NeverListed`] where the list has never named it.
    pub fn enter(&mut self, key: &K) -> Result<Option<NodeInfo>, HandError> {
        if !self.ever.contains(key) {
            return Err(HandError::NeverListed);
        }
        if !self.held.insert(key.clone()) {
            return Ok(None);
        }
        Ok(self.listed.get(key).cloned().map(|info| self.told(key, info)))
    }

    /// Lets a server back in at `now`. Gives what the module is to be told, where it is listed now: as the list
    /// has it, started at `now`, since it was restarted while it was out. Letting one in that is not held is no
    /// error.
    ///
    /// # Errors
    /// [`HandError::NeverListed`] where the list has never named it.
    pub fn exit(&mut self, key: &K, now: Nanos) -> Result<Option<NodeInfo>, HandError> {
        if !self.ever.contains(key) {
            return Err(HandError::NeverListed);
        }
        if !self.held.remove(key) {
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
    pub fn hold_exactly(&mut self, keys: &BTreeSet<K>, now: Nanos) -> Vec<NodeInfo> {
        let gone: Vec<K> = self.held.difference(keys).cloned().collect();
        let came: Vec<K> = keys.difference(&self.held).cloned().collect();
        let mut told = Vec::new();
        for key in gone {
            told.extend(self.exit(&key, now).ok().flatten());
        }
        for key in came {
            // One that this process has not heard of yet may be listed to it later; it is held from then on.
            self.ever.insert(key.clone());
            told.extend(self.enter(&key).ok().flatten());
        }
        told
    }

    /// Those held out, in order.
    pub fn held(&self) -> impl Iterator<Item = &K> {
        self.held.iter()
    }

    /// Whether the server is held out.
    pub fn is_held(&self, key: &K) -> bool {
        self.held.contains(key)
    }

    fn told(&self, key: &K, mut info: NodeInfo) -> NodeInfo {
        if self.held.contains(key) && info.listed == Listed::Up {
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
        let mut hand = Hand::new();
        let key = "s-1".to_owned();
        assert_eq!(hand.listed(&key, entry(0, Listed::Up, 0)).listed, Listed::Up);
        assert_eq!(hand.enter(&key), Ok(Some(entry(0, Listed::Draining, 0))));
        assert_eq!(hand.enter(&key), Ok(None), "a second enter is a yes that tells nothing new");
        assert_eq!(hand.listed(&key, entry(0, Listed::Up, 0)).listed, Listed::Draining);
        // It leaves the list and comes back under another number: still held.
        assert_eq!(hand.listed(&key, entry(0, Listed::Removed, 0)).listed, Listed::Removed);
        hand.replaced(&BTreeSet::new());
        assert_eq!(hand.listed(&key, entry(7, Listed::Up, 5)).listed, Listed::Draining);
        assert_eq!(hand.exit(&key, 90), Ok(Some(entry(7, Listed::Up, 90))), "back in, cold from the call");
        assert_eq!(hand.exit(&key, 95), Ok(None));
        assert_eq!(hand.listed(&key, entry(7, Listed::Up, 5)).listed, Listed::Up);
    }

    #[test]
    fn an_id_never_listed_is_refused_and_changes_nothing() {
        let mut hand: Hand<String> = Hand::new();
        assert_eq!(hand.enter(&"s-9".to_owned()), Err(HandError::NeverListed));
        assert_eq!(hand.exit(&"s-9".to_owned(), 1), Err(HandError::NeverListed));
        assert_eq!(hand.held().count(), 0);
    }

    #[test]
    fn a_server_that_drains_by_the_list_stays_draining_after_the_call_back() {
        let mut hand = Hand::new();
        let key = 4u32;
        hand.listed(&key, entry(2, Listed::Draining, 0));
        assert_eq!(hand.enter(&key), Ok(Some(entry(2, Listed::Draining, 0))));
        assert_eq!(hand.exit(&key, 10), Ok(Some(entry(2, Listed::Draining, 10))));
    }

    #[test]
    fn what_another_process_wrote_down_is_held_here_too() {
        let mut hand = Hand::new();
        for (node, key) in [(0, 'a'), (1, 'b')] {
            hand.listed(&key, entry(node, Listed::Up, 0));
        }
        let told = hand.hold_exactly(&BTreeSet::from(['a', 'z']), 50);
        assert_eq!(told, vec![entry(0, Listed::Draining, 0)]);
        assert!(hand.is_held(&'z'), "held for when the list names it");
        assert_eq!(hand.listed(&'z', entry(2, Listed::Up, 0)).listed, Listed::Draining);
        let told = hand.hold_exactly(&BTreeSet::from(['b']), 60);
        assert_eq!(
            told,
            vec![entry(0, Listed::Up, 60), entry(2, Listed::Up, 60), entry(1, Listed::Draining, 0)]
        );
        assert_eq!(hand.held().collect::<Vec<_>>(), vec![&'b']);
    }
}
