//! Reload of settings: indices of entries stay valid, and changed entries get new ones.

use tulipbridge_core::settings_reload::{NamedValue, ReplacedEntry, VersionedTable};

fn named(entries: &[(&str, u32)]) -> Vec<NamedValue<u32>> {
    entries
        .iter()
        .map(|(name, value)| NamedValue {
            name: (*name).to_owned(),
            value: *value,
        })
        .collect()
}

#[test]
fn indices_stay_valid_and_changed_entries_get_new_ones() {
    let mut table = VersionedTable::new(named(&[("read", 1), ("submit", 2)]));
    assert_eq!(
        table.reload(named(&[("submit", 2), ("export", 3), ("read", 1)])),
        vec![]
    );
    assert_eq!(
        [
            table.find("read"),
            table.find("submit"),
            table.find("export")
        ],
        [Some(0), Some(1), Some(2)]
    );
    // The value of submit changes, and read disappears.
    assert_eq!(
        table.reload(named(&[("submit", 5), ("export", 3)])),
        vec![ReplacedEntry {
            index: 3,
            previous: 1
        }]
    );
    assert_eq!(
        [
            table.find("read"),
            table.find("submit"),
            table.find("export")
        ],
        [None, Some(3), Some(2)]
    );
    assert_eq!(
        table.get(1),
        Some(&2),
        "requests in flight keep the old version"
    );
    assert_eq!(table.name(0), Some("read"));
    assert_eq!(table.values(), vec![1, 2, 3, 5]);
    // read returns unchanged, with its old index; export disappears.
    assert_eq!(table.reload(named(&[("read", 1), ("submit", 5)])), vec![]);
    assert_eq!([table.find("read"), table.find("export")], [Some(0), None]);
    assert_eq!(table.len(), 4);
}
