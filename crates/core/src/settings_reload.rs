//! Settings that change while the front serves: tables of classes or plans whose numbers stay the same for the
//! life of a process.
//!
//! The module knows classes and plans by number, and requests under way keep theirs. So a [`Table`] only grows: an
//! entry of a new name is appended; one whose name is gone stays for what is under way, but no new request finds
//! it; one whose name stays and whose figures change is appended anew under that name, so that what is under way
//! keeps the figures it was taken with, and what was learned of the old one is carried over. No I/O.

/// Entries by name, each with a number that does not change.
#[derive(Clone, Debug, Default)]
pub struct VersionedTable<T> {
    entries: Vec<Entry<T>>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    name: String,
    /// Whether a new request may name it.
    current: bool,
    value: T,
}

impl<T: Clone + PartialEq> VersionedTable<T> {
    /// The entries of the first settings, in their order.
    pub fn new(told: Vec<(String, T)>) -> VersionedTable<T> {
        let entries = told.into_iter().map(|(name, value)| Entry { name, current: true, value }).collect();
        VersionedTable { entries }
    }

    /// Takes the entries of new settings. Gives, for each entry that stands for an older one, its number and the
    /// older's: what was learned of the older one carries over.
    pub fn reload(&mut self, told: Vec<(String, T)>) -> Vec<(usize, usize)> {
        let latest = |name: &str| self.entries.iter().rposition(|e| e.name == name);
        let before: Vec<Option<usize>> = told.iter().map(|(name, _)| latest(name)).collect();
        for entry in &mut self.entries {
            entry.current = false;
        }
        let mut carried = Vec::new();
        for ((name, value), old) in told.into_iter().zip(before) {
            match old {
                Some(old) if self.entries[old].value == value => self.entries[old].current = true,
                old => {
                    let new = self.entries.len();
                    self.entries.push(Entry { name, current: true, value });
                    carried.extend(old.map(|old| (new, old)));
                }
            }
        }
        carried
    }

    /// The number of the current entry of this name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.entries.iter().rposition(|e| e.current && e.name == name)
    }

    /// The name of an entry, current or not.
    pub fn name(&self, number: usize) -> Option<&str> {
        self.entries.get(number).map(|e| e.name.as_str())
    }

    /// An entry, current or not.
    pub fn get(&self, number: usize) -> Option<&T> {
        self.entries.get(number).map(|e| &e.value)
    }

    /// All entries by number, as the module takes them.
    pub fn values(&self) -> Vec<T> {
        self.entries.iter().map(|e| e.value.clone()).collect()
    }

    /// How many there are, current or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn named(entries: &[(&str, u32)]) -> Vec<(String, u32)> {
        entries.iter().map(|(n, v)| ((*n).to_owned(), *v)).collect()
    }

    #[test]
    fn numbers_stay_and_what_changes_is_new() {
        let mut table = VersionedTable::new(named(&[("read", 1), ("submit", 2)]));
        assert_eq!(table.reload(named(&[("submit", 2), ("export", 3), ("read", 1)])), vec![]);
        assert_eq!(
            [table.find("read"), table.find("submit"), table.find("export")],
            [Some(0), Some(1), Some(2)]
        );
        // submit is stricter now, and read is gone.
        assert_eq!(table.reload(named(&[("submit", 5), ("export", 3)])), vec![(3, 1)]);
        assert_eq!(
            [table.find("read"), table.find("submit"), table.find("export")],
            [None, Some(3), Some(2)]
        );
        assert_eq!(table.get(1), Some(&2), "what is under way keeps its figures");
        assert_eq!(table.name(0), Some("read"));
        assert_eq!(table.values(), vec![1, 2, 3, 5]);
        // read comes back as it was, under its number; export is gone.
        assert_eq!(table.reload(named(&[("read", 1), ("submit", 5)])), vec![]);
        assert_eq!([table.find("read"), table.find("export")], [Some(0), None]);
        assert_eq!(table.len(), 4);
    }
}
