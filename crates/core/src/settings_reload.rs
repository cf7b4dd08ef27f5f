//! Reloading of settings while requests are in flight.
//!
//! The decision module refers to classes and plans by index, and requests in flight keep theirs. A
//! [`VersionedTable`] therefore only grows. An entry with a new name is appended. An entry whose
//! name disappears stays for the requests in flight, but new requests do not find it. An entry
//! whose value changes is appended as a new version of its name: requests in flight keep the old
//! version, and what was learned about it is carried over. This module
//! does no I/O.

/// A value of the settings with the name that identifies it across reloads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedValue<T> {
    /// The name that identifies the value.
    pub name: String,
    /// The value in these settings.
    pub value: T,
}

/// A new version of an entry that replaces an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplacedEntry {
    /// The index of the new version.
    pub index: usize,
    /// The index of the replaced version, from which learned state is to be carried over.
    pub previous: usize,
}

/// A table of named entries whose indices stay the same across reloads.
#[derive(Clone, Debug, Default)]
pub struct VersionedTable<T> {
    entries: Vec<Entry<T>>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    name: String,
    /// Whether new requests find the entry.
    current: bool,
    value: T,
}

impl<T> Entry<T> {
    /// Creates an entry that new requests find.
    fn new(named: NamedValue<T>) -> Entry<T> {
        Entry {
            name: named.name,
            current: true,
            value: named.value,
        }
    }
}

impl<T: Clone + PartialEq> VersionedTable<T> {
    /// Creates the table from the first settings, with the entries in the given order.
    pub fn new(values: Vec<NamedValue<T>>) -> VersionedTable<T> {
        VersionedTable {
            entries: values.into_iter().map(Entry::new).collect(),
        }
    }

    /// Applies new settings. Returns the appended entries that replace an older version.
    pub fn reload(&mut self, values: Vec<NamedValue<T>>) -> Vec<ReplacedEntry> {
        let previous_versions: Vec<Option<usize>> = values
            .iter()
            .map(|named| self.latest_version(&named.name))
            .collect();
        for entry in &mut self.entries {
            entry.current = false;
        }
        let mut replaced = Vec::new();
        for (named, previous) in values.into_iter().zip(previous_versions) {
            match previous {
                Some(previous) if self.entries[previous].value == named.value => {
                    self.entries[previous].current = true;
                }
                _ => {
                    let index = self.entries.len();
                    self.entries.push(Entry::new(named));
                    replaced.extend(previous.map(|previous| ReplacedEntry { index, previous }));
                }
            }
        }
        replaced
    }

    /// Returns the index of the latest version of a name, current or not.
    fn latest_version(&self, name: &str) -> Option<usize> {
        self.entries.iter().rposition(|entry| entry.name == name)
    }

    /// Returns the index of the current entry with this name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.entries
            .iter()
            .rposition(|entry| entry.current && entry.name == name)
    }

    /// Returns the name of the entry at an index, current or not.
    pub fn name(&self, index: usize) -> Option<&str> {
        self.entries.get(index).map(|entry| entry.name.as_str())
    }

    /// Returns the value of the entry at an index, current or not.
    pub fn get(&self, index: usize) -> Option<&T> {
        self.entries.get(index).map(|entry| &entry.value)
    }

    /// Returns the values of all entries by index, current or not.
    pub fn values(&self) -> Vec<T> {
        self.entries
            .iter()
            .map(|entry| entry.value.clone())
            .collect()
    }

    /// Returns the number of entries, current or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
