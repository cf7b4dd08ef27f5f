//! Changes to the servers in maintenance that this process applies but that are not in the shared
//! file yet.
//!
//! A change must not be lost once the operators' call is answered, and other processes of this
//! front learn of it from the file alone. While the file cannot be read, locked or written, the
//! change is kept here. It is later applied to the content that the file then has, so that it
//! overwrites nothing that another process has changed in the meantime.
//!
//! This module does no I/O and has no clock.

use std::collections::{BTreeMap, BTreeSet};

/// A change to the maintenance of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// The server entered maintenance.
    Entered,
    /// The maintenance of the server ended.
    Exited,
}

/// The changes that are not written to the file yet, with the latest one for each server.
#[derive(Clone, Debug)]
pub struct UnwrittenChanges<K> {
    changes: BTreeMap<K, MaintenanceChange>,
}

impl<K> Default for UnwrittenChanges<K> {
    fn default() -> UnwrittenChanges<K> {
        UnwrittenChanges {
            changes: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> UnwrittenChanges<K> {
    /// Records a change, which replaces any earlier one for the same server.
    pub fn record(&mut self, key: &K, change: MaintenanceChange) {
        self.changes.insert(key.clone(), change);
    }

    /// Returns whether all changes are written.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the set that the file should hold, given the set that it holds now.
    pub fn apply_to(&self, mut written: BTreeSet<K>) -> BTreeSet<K> {
        for (key, change) in &self.changes {
            match change {
                MaintenanceChange::Entered => written.insert(key.clone()),
                MaintenanceChange::Exited => written.remove(key),
            };
        }
        written
    }

    /// Records that the file holds all changes.
    pub fn written(&mut self) {
        self.changes.clear();
    }
}
