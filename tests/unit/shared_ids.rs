//! The transaction ids that the processes of a front share: who gets a ring for them.

use std::path::PathBuf;

use tulipbridge::frontend::platform::SharedIds;

/// The number of processes of one front that share their ids.
const MAX_PROCESSES: usize = 4;

/// Creates an empty folder for a test.
fn folder(test: &str) -> PathBuf {
    let name = format!("tulipbridge-unit-{}-{test}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("created");
    folder
}

/// Guards against two processes that write to the same ring, and against a ring that stays taken
/// once its process has ended.
#[test]
fn each_process_has_a_ring_of_its_own_until_it_ends() {
    let folder = folder("rings");
    let mut running: Vec<SharedIds> = (0..MAX_PROCESSES)
        .map(|_| SharedIds::open(&folder, "t").expect("a free ring"))
        .collect();
    assert!(SharedIds::open(&folder, "t").is_err(), "all are taken");
    assert!(SharedIds::open(&folder, "other").is_ok(), "another front");
    running.remove(1);
    assert!(SharedIds::open(&folder, "t").is_ok(), "one has ended");
    std::fs::remove_dir_all(&folder).expect("removed");
}

/// Guards against a front that does not start since its folder cannot be used.
#[test]
fn missing_folder_is_an_error_and_no_panic() {
    let folder = folder("missing");
    std::fs::remove_dir_all(&folder).expect("removed");
    assert!(SharedIds::open(&folder, "t").is_err());
}
