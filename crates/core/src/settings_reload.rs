//! Reload of settings while requests are in flight.
//!
//! The decision module refers to classes and plans by index, and requests in flight keep theirs. A
//! [`VersionedTable`] therefore only grows. An entry with a new name is appended. An entry whose
//! name disappears stays for the requests in flight, but new requests do not find it. An entry
//! whose value changes is appended as a new version of its name: requests in flight keep the old
//! version, and what was learned about it is carried over. No I/O.

/// Named entries with stable indices.
#[derive(Clone, Debug, Default)]
pub struct VersionedTable<T> {
    entries: Vec<Entry<T>>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    name: String,
    /// Whether new requests find it.
    current: bool,
    value: T,
}

impl<T: Clone + PartialEq> VersionedTable<T> {
    /// The table of the first settings; its entries keep their order.
    pub fn new(named_values: Vec<(String, T)>) -> VersionedTable<T> {
        let entries = named_values.into_iter().map(|(name, value)| Entry {
            name,
            current: true,
            value,
        });
        VersionedTable {
            entries: entries.collect(),
        }
    }

    /// Applies new settings. Returns for each appended entry that replaces an older version the
    /// pair of its index and that of the version it replaces, from which learned state is to be
    /// carried over.
    pub fn reload(&mut self, named_values: Vec<(String, T)>) -> Vec<(usize, usize)> {
        let latest = |name: &str| self.entries.iter().rposition(|entry| entry.name == name);
        let previous: Vec<Option<usize>> =
            named_values.iter().map(|(name, _)| latest(name)).collect();
        for entry in &mut self.entries {
            entry.current = false;
        }
        let mut replaced = Vec::new();
        for ((name, value), previous) in named_values.into_iter().zip(previous) {
            match previous {
                Some(index) if self.entries[index].value == value => {
                    self.entries[index].current = true
                }
                _ => {
                    let index = self.entries.len();
                    self.entries.push(Entry {
                        name,
                        current: true,
                        value,
                    });
                    replaced.extend(previous.map(|previous| (index, previous)));
                }
            }
        }
        replaced
    }

    /// The index of the current entry with this name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.entries
            .iter()
            .rposition(|entry| entry.current && entry.name == name)
    }

    /// The name of the entry at an index, current or not.
    pub fn name(&self, index: usize) -> Option<&str> {
        self.entries.get(index).map(|entry| entry.name.as_str())
    }

    /// The value of the entry at an index, current or not.
    pub fn get(&self, index: usize) -> Option<&T> {
        self.entries.get(index).map(|entry| &entry.value)
    }

    /// The values of all entries by index, current or not.
    pub fn values(&self) -> Vec<T> {
        self.entries
            .iter()
            .map(|entry| entry.value.clone())
            .collect()
    }

    /// Number of entries, current or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
