//! What the commands print, and the codes with which they exit.

use crate::masking::without_values;
use crate::program::{isolated_front, program, run_to_end, Folder, FrontKind};

/// A command line with its exit code and output.
pub fn command_line(arguments: &[&str]) -> String {
    let mut command = program();
    command.args(arguments);
    let output = run_to_end(command);
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    let text = format!("{stdout}{stderr}").replace(env!("CARGO_PKG_VERSION"), "VERSION");
    format!(
        "$ tulipbridge {}\n{:?}\n{text}\n",
        arguments.join(" "),
        output.status.code()
    )
}

const SUBCOMMANDS: [&str; 9] = [
    "object", "agent", "status", "drain", "peers", "verdicts", "explain", "resume", "restart",
];

#[test]
fn commands_print_their_help() {
    let mut actual = command_line(&["--help"]) + &command_line(&["--version"]);
    for subcommand in SUBCOMMANDS {
        actual += &command_line(&[subcommand, "--help"]);
    }
    insta::assert_snapshot!(actual);
}

#[test]
fn invalid_usage_exits_with_code_2() {
    // Nothing listens on port 1 of this machine.
    const UNREACHABLE: &str = "127.0.0.1:1";
    let lines: &[&[&str]] = &[
        &["nothing"],
        &["--nothing"],
        &["object"],
        &["object", "a", "b"],
        &["agent"],
        &["agent", "--file", "a", "--etcd", UNREACHABLE],
        &["agent", "--etcd", "nowhere"],
        &["agent", "--file", "a", "--control", "nowhere"],
        &["status", "--agent", "nowhere"],
        &["status", "--agent", UNREACHABLE],
        &["drain"],
        &["drain", "a", "--agent", UNREACHABLE],
        &["resume"],
        &["resume", "a", "--agent", UNREACHABLE],
        &["restart", "a", "--agent", UNREACHABLE],
        &["peers"],
        &["peers", "--console", "nowhere"],
        &["peers", "--console", UNREACHABLE, "--output", "xml"],
        &["peers", "--console", UNREACHABLE],
        &["verdicts"],
        &["verdicts", "--console", UNREACHABLE],
        &["explain"],
        &["explain", "s-0"],
        &["explain", "s-0", "--console", UNREACHABLE],
    ];
    let actual: String = lines
        .iter()
        .map(|arguments| command_line(arguments))
        .collect();
    insta::assert_snapshot!(actual);
}

#[test]
fn commands_print_the_console_status() {
    let folder = Folder::new();
    let front = isolated_front(FrontKind::Object, &folder);
    let console = front.console.to_string();
    let mut actual = String::new();
    for arguments in [
        &["peers"][..],
        &["verdicts"],
        &["explain", "s-0"],
        &["explain", "s-9"],
    ] {
        for output in ["table", "json"] {
            let arguments = [arguments, &["--output", output, "--console", &console]].concat();
            actual += &command_line(&arguments).replace(&console, "CONSOLE");
        }
    }
    insta::assert_snapshot!(without_values(&actual, &["boot"]));
}
