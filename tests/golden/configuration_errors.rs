//! What a front says about a configuration or an environment that it cannot use.

use std::process::Output;

use crate::edits::{Edit, REJECTED_BY_BOTH, REJECTED_BY_OBJECT};
use crate::program::{front, program, run_to_end, Folder, FrontKind, CONFIG};

/// Runs a front on the edited configuration. Returns its exit code and its error message.
fn rejection_output(kind: FrontKind, edit: &Edit) -> String {
    assert!(
        CONFIG.contains(edit.from),
        "{}: no {} in the file",
        edit.name,
        edit.from
    );
    let folder = Folder::new();
    let file = folder.configuration(&CONFIG.replacen(edit.from, edit.to, 1));
    exit_summary(&folder, &run_to_end(front(kind, &file)))
}

/// The exit code and the error message, without the lines of sockets opened before, whose ports the
/// system chose.
fn exit_summary(folder: &Folder, output: &Output) -> String {
    let stderr = folder.masked(&String::from_utf8_lossy(&output.stderr));
    let is_of_socket =
        |line: &str| line.contains("listening on 127.0.0.1:") || line.starts_with("peers at ");
    let lines: Vec<&str> = stderr.lines().filter(|line| !is_of_socket(line)).collect();
    assert_eq!(lines.len(), 1, "one line has the error: {stderr}");
    format!("{:?} {}", output.status.code(), lines[0])
}

#[test]
fn invalid_configurations_report_their_errors() {
    let mut actual = String::new();
    for edit in REJECTED_BY_BOTH {
        let object = rejection_output(FrontKind::Object, edit);
        let platform = rejection_output(FrontKind::Platform, edit);
        actual += &format!("{}: {object}\n", edit.name);
        if platform != object {
            actual += &format!("{} (platform): {platform}\n", edit.name);
        }
    }
    for edit in REJECTED_BY_OBJECT {
        let object = rejection_output(FrontKind::Object, edit);
        actual += &format!("{}: {object}\n", edit.name);
    }
    insta::assert_snapshot!(actual);
}

#[test]
fn invalid_environments_report_their_errors() {
    let folder = Folder::new();
    let file = folder.configuration(CONFIG);
    let large = folder.path().join("large.json");
    std::fs::write(&large, vec![b' '; (8 << 20) + 1]).expect("written");
    let mut actual = String::new();
    let without_file = exit_summary(&folder, &run_to_end(program()));
    actual += &format!("no file named: {without_file}\n");
    for (name, variable, value) in [
        (
            "file that is not there",
            "BALANCER_CONFIG",
            folder.path().join("nothing").display().to_string(),
        ),
        (
            "file that is a folder",
            "BALANCER_CONFIG",
            folder.path().display().to_string(),
        ),
        (
            "file too large",
            "BALANCER_CONFIG",
            large.display().to_string(),
        ),
        ("listen", "BALANCER_LISTEN", "nowhere".to_owned()),
        ("console", "BALANCER_CONSOLE", "nowhere".to_owned()),
        ("discovery", "BALANCER_DISCOVERY", "nowhere".to_owned()),
        ("name", "BALANCER_NAME", "object-9".to_owned()),
    ] {
        let mut command = front(FrontKind::Platform, &file);
        command.env(variable, value);
        let summary = exit_summary(&folder, &run_to_end(command));
        actual += &format!("{name}: {summary}\n");
    }
    for (name, path) in [("object, not there", "nothing"), ("object, a folder", "")] {
        let command = front(FrontKind::Object, &folder.path().join(path));
        let summary = exit_summary(&folder, &run_to_end(command));
        actual += &format!("{name}: {summary}\n");
    }
    insta::assert_snapshot!(actual);
}
