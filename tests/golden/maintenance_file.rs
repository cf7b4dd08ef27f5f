//! The file in which a front stores the servers in maintenance.

use crate::program::{isolated_front, Folder, FrontKind};
use crate::running::Front;

/// The file in which a front with [`CONFIG`](crate::program::CONFIG) stores the servers in maintenance.
const MAINTENANCE_FILE: &str = "tulipbridge-object-1-held.json";

/// The metric of how many listed servers a front avoids.
fn avoided_servers(front: &Front) -> String {
    let metrics = front.request("GET", "/status/metrics").body;
    let line = metrics
        .lines()
        .find(|line| line.starts_with("app_cluster_unhealthy "));
    line.expect("the figure is there").to_owned()
}

#[test]
fn maintenance_file_has_its_name_and_content() {
    let folder = Folder::new();
    let front = isolated_front(FrontKind::Object, &folder);
    let content = || {
        std::fs::read_to_string(folder.path().join(MAINTENANCE_FILE)).expect("the file is there")
    };
    assert!(
        !folder.path().join(MAINTENANCE_FILE).exists(),
        "nothing is written before the first call"
    );
    for (path, bytes) in [
        ("/maintenance/enter/s-1", r#"{"held":["s-1"]}"#),
        ("/maintenance/enter/s-0", r#"{"held":["s-0","s-1"]}"#),
        ("/maintenance/exit/s-1", r#"{"held":["s-0"]}"#),
        ("/maintenance/exit/s-0", r#"{"held":[]}"#),
    ] {
        assert_eq!(
            front.request("PUT", path).status,
            "HTTP/1.1 200 OK",
            "{path}"
        );
        assert_eq!(content(), bytes, "{path}");
    }
    let mut names: Vec<String> = std::fs::read_dir(folder.path())
        .expect("the folder is there")
        .map(|entry| {
            entry
                .expect("readable")
                .file_name()
                .into_string()
                .expect("text")
        })
        .filter(|name| name.starts_with("tulipbridge-"))
        .collect();
    names.sort();
    assert_eq!(names, [MAINTENANCE_FILE, "tulipbridge-object-1-held.lock"]);
}

#[test]
fn maintenance_file_is_restored_at_start() {
    for (bytes, expected) in [
        (r#"{"held":[]}"#, "app_cluster_unhealthy 0"),
        (r#"{"held":["s-1"]}"#, "app_cluster_unhealthy 1"),
        (r#"{"held":["s-0","s-1","s-7"]}"#, "app_cluster_unhealthy 2"),
    ] {
        let folder = Folder::new();
        std::fs::write(folder.path().join(MAINTENANCE_FILE), bytes).expect("written");
        assert_eq!(
            avoided_servers(&isolated_front(FrontKind::Object, &folder)),
            expected,
            "{bytes}"
        );
    }
}

#[test]
fn unreadable_maintenance_file_is_ignored() {
    let folder = Folder::new();
    std::fs::write(folder.path().join(MAINTENANCE_FILE), r#"{"held":["s-1","#).expect("written");
    let mut front = isolated_front(FrontKind::Object, &folder);
    let output = folder.masked(&front.wait_for_line("maintenance: "));
    assert_eq!(
        output,
        format!("maintenance: FOLDER/{MAINTENANCE_FILE}: content ignored: cannot be decoded")
    );
    assert_eq!(avoided_servers(&front), "app_cluster_unhealthy 0");
}
