//! A set of ids that forgets the oldest.

use std::collections::{HashSet, VecDeque};

/// Number of ids that are remembered. Clients make a new id for each request, so that only those
/// that come again within seconds matter.
const MAX_USED_IDS: usize = 8_192;

/// The latest ids that were inserted.
#[derive(Default)]
pub(super) struct UsedIds {
    ids: HashSet<u64>,
    /// The ids, the oldest first.
    order: VecDeque<u64>,
}

impl UsedIds {
    /// Returns whether an id is among the latest.
    pub(super) fn contains(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Inserts an id, and forgets the oldest where there are too many.
    pub(super) fn insert(&mut self, id: u64) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_USED_IDS {
            if let Some(oldest) = self.order.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }
}
