//! Everything that fronts wrote, against which a simulation checks what other fronts hold.

use std::collections::BTreeMap;

use tulipbridge_membership::{EntryKey, Incarnation, Nanos, StoredValue};

/// One write of an entry; no value is a removal.
struct Write {
    key: EntryKey,
    value: Option<Vec<u8>>,
    at: Nanos,
}

/// All writes, by incarnation and version.
#[derive(Default)]
pub struct WriteHistory {
    /// By incarnation and version.
    writes: BTreeMap<(Incarnation, u64), Write>,
}

/// The writes of one key by one incarnation, as a front sees them that has received them up to a
/// version.
pub struct KeyHistory<'a> {
    /// All writes of all keys.
    history: &'a WriteHistory,
    incarnation: Incarnation,
    version: u64,
    key: EntryKey,
}

impl WriteHistory {
    /// Records a write.
    pub fn record(
        &mut self,
        incarnation: Incarnation,
        version: u64,
        key: EntryKey,
        value: Option<Vec<u8>>,
        at: Nanos,
    ) {
        self.writes
            .insert((incarnation, version), Write { key, value, at });
    }

    /// The writes of a key, as a front sees them that has received an incarnation's writes up to a
    /// version.
    pub fn of_key(&self, incarnation: Incarnation, version: u64, key: EntryKey) -> KeyHistory<'_> {
        KeyHistory {
            history: self,
            incarnation,
            version,
            key,
        }
    }
}

impl<'a> KeyHistory<'a> {
    /// The writes received, the latest first.
    fn received(&self) -> impl Iterator<Item = &'a Write> + use<'a> {
        let key = self.key;
        let incarnation = self.incarnation;
        let range = self
            .history
            .writes
            .range((incarnation, 0)..=(incarnation, self.version));
        range
            .rev()
            .map(|(_, write)| write)
            .filter(move |write| write.key == key)
    }

    /// Whether the key was written again after the version received.
    fn is_written_later(&self) -> bool {
        let first = (self.incarnation, self.version + 1);
        let last = (self.incarnation, u64::MAX);
        self.history
            .writes
            .range(first..=last)
            .any(|(_, write)| write.key == self.key)
    }

    /// The latest value received; `None` if there is none or it was removed.
    fn latest_value(&self) -> Option<&'a [u8]> {
        self.received()
            .next()
            .and_then(|write| write.value.as_deref())
    }

    /// Whether an entry is the latest one received but claims to be
    /// younger than that is.
    pub fn understates_age(&self, entry: Option<StoredValue<'_>>, now: Nanos) -> bool {
        let (Some(entry), Some(latest)) = (entry, self.received().next()) else {
            return false;
        };
        Some(entry.value) == latest.value.as_deref() && entry.age < now - latest.at
    }

    /// Whether a front may hold this value: the latest received; or, where the key was written
    /// again since and that write is in transit, none or any earlier value.
    pub fn allows(&self, value: Option<&[u8]>) -> bool {
        if value == self.latest_value() {
            return true;
        }
        let was_written = || self.received().any(|write| write.value.as_deref() == value);
        self.is_written_later() && (value.is_none() || was_written())
    }
}
