//! Changes to the servers in maintenance that are not in the shared file yet.

use std::collections::BTreeSet;

use tulipbridge_core::maintenance_changes::{MaintenanceChange, UnwrittenChanges};

#[test]
fn latest_change_of_each_server_is_applied_to_what_the_file_holds() {
    let mut changes = UnwrittenChanges::default();
    changes.record(&"a", MaintenanceChange::Entered);
    changes.record(&"b", MaintenanceChange::Entered);
    changes.record(&"b", MaintenanceChange::Exited);
    let written = BTreeSet::from(["b", "c"]);
    assert_eq!(changes.apply_to(written), BTreeSet::from(["a", "c"]));
    assert!(!changes.is_empty());
    changes.written();
    assert!(changes.is_empty());
    assert_eq!(
        changes.apply_to(BTreeSet::from(["b"])),
        BTreeSet::from(["b"])
    );
}
