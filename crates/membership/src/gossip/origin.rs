//! The entries of one incarnation of one front.

use std::collections::BTreeMap;

use super::{
    Delta, EntryError, EntryKey, GossipEntry, GossipError, KnownVersion, MAX_ENTRIES,
    MAX_VALUE_BYTES,
};
use crate::{Incarnation, Nanos, PeerId};

/// Upper limit of the encoded length of an entry without its value, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 24;
/// Upper limit of the encoded length of a delta without its entries, in bytes.
const DELTA_OVERHEAD_BYTES: usize = 32;
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// A view of an entry that a front stores, either its own or a replica of a peer's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredValue<'a> {
    /// The front that wrote the entry.
    pub origin: PeerId,
    /// The id of the entry's key within its namespace.
    pub id: u64,
    /// The value as the origin wrote it.
    pub value: &'a [u8],
    /// Upper limit of the time since the entry was written.
    pub age: Nanos,
}

/// The latest known version of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoredEntry {
    /// The version of its latest change.
    version: u64,
    /// Lower limit of the time of that change, by this front's clock.
    put_at: Nanos,
    /// The value; `None` if the entry was deleted.
    value: Option<Vec<u8>>,
}

impl StoredEntry {
    /// Returns a view of the entry, `None` if it was deleted.
    fn as_value(&self, now: Nanos, origin: PeerId, id: u64) -> Option<StoredValue<'_>> {
        let value = self.value.as_deref()?;
        Some(StoredValue {
            origin,
            id,
            value,
            age: now - self.put_at,
        })
    }

    /// Returns an upper limit of the encoded length of the entry.
    fn encoded_bytes(&self) -> i64 {
        let value_bytes = self.value.as_ref().map_or(0, Vec::len);
        (ENTRY_OVERHEAD_BYTES + value_bytes) as i64
    }

    /// Converts the entry to its form in a message. Its age is rounded up, so that it stays an
    /// upper limit.
    fn to_gossip_entry(&self, now: Nanos, key: EntryKey) -> GossipEntry {
        let age = (now - self.put_at).max(0) as u64;
        let age_ms = age
            .div_ceil(NANOS_PER_MILLISECOND as u64)
            .min(u64::from(u32::MAX)) as u32;
        GossipEntry {
            key,
            version: self.version,
            age_ms,
            value: self.value.clone(),
        }
    }
}

/// A delta to send, with an upper limit of its encoded length in bytes.
pub(super) struct SizedDelta {
    pub(super) delta: Delta,
    pub(super) bytes: i64,
}

/// The entries of one incarnation of a front, complete up to a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Origin {
    incarnation: Incarnation,
    /// The version up to which `entries` is complete.
    version: u64,
    entries: BTreeMap<EntryKey, StoredEntry>,
}

impl Origin {
    /// Creates the state of an incarnation without entries.
    pub(super) fn new(incarnation: Incarnation) -> Origin {
        Origin {
            incarnation,
            ..Origin::default()
        }
    }

    /// Replaces the state by that of a new incarnation without entries. Returns whether entries of
    /// the old one were discarded.
    pub(super) fn replace_incarnation(&mut self, incarnation: Incarnation) -> bool {
        let old = std::mem::replace(self, Origin::new(incarnation));
        !old.entries.is_empty()
    }

    /// Returns the incarnation that wrote the entries.
    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the version up to which the entries are complete.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the entry with a key, `None` if it does not exist or was deleted. `origin` is the
    /// position of the front that these entries belong to.
    pub(super) fn value(
        &self,
        now: Nanos,
        origin: PeerId,
        key: EntryKey,
    ) -> Option<StoredValue<'_>> {
        self.entries.get(&key)?.as_value(now, origin, key.id)
    }

    /// Returns the entries of a namespace that are not deleted, in ascending order of their ids.
    /// `origin` is the position of the front that these entries belong to.
    pub(super) fn values(
        &self,
        now: Nanos,
        origin: PeerId,
        kind: u8,
    ) -> impl Iterator<Item = StoredValue<'_>> {
        let keys = EntryKey { kind, id: 0 }..=EntryKey { kind, id: u64::MAX };
        let entries = self.entries.range(keys);
        entries.filter_map(move |(key, entry)| entry.as_value(now, origin, key.id))
    }

    /// Returns the version up to which the entries are known. `origin` is the position of the front
    /// that they belong to.
    pub(super) fn known_version(&self, origin: PeerId) -> KnownVersion {
        KnownVersion {
            origin,
            incarnation: self.incarnation,
            version: self.version,
        }
    }

    /// Returns the version known of an incarnation, 0 for any but the current one.
    pub(super) fn version_of(&self, incarnation: Incarnation) -> u64 {
        if self.incarnation == incarnation {
            self.version
        } else {
            0
        }
    }

    /// Writes or deletes an entry as its origin. Deleting an unknown key does nothing.
    ///
    /// # Errors
    /// The value is too long, or there are too many entries; nothing has changed then.
    pub(super) fn put(
        &mut self,
        now: Nanos,
        key: EntryKey,
        value: Option<Vec<u8>>,
    ) -> Result<(), EntryError> {
        if value
            .as_ref()
            .is_some_and(|value| value.len() > MAX_VALUE_BYTES)
        {
            return Err(EntryError::TooLong);
        }
        if !self.entries.contains_key(&key) {
            match value {
                None => return Ok(()),
                Some(_) if self.entries.len() >= MAX_ENTRIES => return Err(EntryError::TooMany),
                Some(_) => {}
            }
        }
        self.version += 1;
        self.entries.insert(
            key,
            StoredEntry {
                version: self.version,
                put_at: now,
                value,
            },
        );
        Ok(())
    }

    /// Returns the changes after a version, as many as fit into `max_bytes` in ascending order of
    /// version; `None` if there are none or not even the first one fits.
    pub(super) fn delta(
        &self,
        now: Nanos,
        origin: PeerId,
        after: u64,
        max_bytes: i64,
    ) -> Option<SizedDelta> {
        if self.version <= after {
            return None;
        }
        let changed = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.version > after);
        let mut changed: Vec<(&EntryKey, &StoredEntry)> = changed.collect();
        changed.sort_unstable_by_key(|(_, entry)| entry.version);
        let mut bytes = DELTA_OVERHEAD_BYTES as i64;
        let mut to = after;
        let mut entries = Vec::new();
        for (key, entry) in &changed {
            let entry_bytes = entry.encoded_bytes();
            if bytes + entry_bytes > max_bytes {
                break;
            }
            bytes += entry_bytes;
            to = entry.version;
            entries.push(entry.to_gossip_entry(now, **key));
        }
        if entries.len() == changed.len() {
            to = self.version;
        }
        let delta = Delta {
            origin,
            incarnation: self.incarnation,
            after,
            to,
            entries,
        };
        (to != after).then_some(SizedDelta { delta, bytes })
    }

    /// Checks whether a received delta can be applied.
    ///
    /// # Errors
    /// The rule that the delta breaks.
    pub(super) fn check(&self, delta: &Delta) -> Result<(), GossipError> {
        if !is_well_formed(delta) {
            return Err(GossipError::OutOfBounds);
        }
        if delta.after > self.version_of(delta.incarnation) {
            return Err(GossipError::MissingVersions);
        }
        let same_incarnation = self.incarnation == delta.incarnation;
        let present = if same_incarnation {
            self.entries.len()
        } else {
            0
        };
        let is_new = |key: &EntryKey| !same_incarnation || !self.entries.contains_key(key);
        let added = delta
            .entries
            .iter()
            .filter(|entry| is_new(&entry.key))
            .count();
        if added + present > MAX_ENTRIES {
            return Err(GossipError::OutOfBounds);
        }
        Ok(())
    }

    /// Applies a delta of the current incarnation that was sent at `sent_at` or later. Returns the
    /// keys of the entries that changed.
    pub(super) fn apply(&mut self, delta: Delta, sent_at: Nanos) -> Vec<EntryKey> {
        let mut changed = Vec::new();
        for entry in delta.entries {
            let GossipEntry {
                key,
                version,
                age_ms,
                value,
            } = entry;
            if self
                .entries
                .get(&key)
                .is_some_and(|stored| stored.version >= version)
            {
                continue;
            }
            let put_at = sent_at - Nanos::from(age_ms) * NANOS_PER_MILLISECOND;
            self.entries.insert(
                key,
                StoredEntry {
                    version,
                    put_at,
                    value,
                },
            );
            changed.push(key);
        }
        self.version = self.version.max(delta.to);
        changed
    }
}

/// Returns whether a delta's entries are in ascending order of version, within its range of
/// versions and within the limits on their number and size.
fn is_well_formed(delta: &Delta) -> bool {
    let in_order = delta
        .entries
        .windows(2)
        .all(|pair| pair[0].version < pair[1].version);
    let in_bounds = delta.entries.iter().all(|entry| {
        let too_long = entry
            .value
            .as_ref()
            .is_some_and(|value| value.len() > MAX_VALUE_BYTES);
        entry.version > delta.after && entry.version <= delta.to && !too_long
    });
    in_order && in_bounds && delta.entries.len() <= MAX_ENTRIES
}
