//! Settings at the start of a front: invalid ones are rejected with one message and exit code 2,
//! and those at the limits of the valid range are served.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

const SETTINGS: &str = include_str!("scenario/settings.json");

/// One change to [`SETTINGS`].
struct Edit {
    name: &'static str,
    /// The text to replace.
    from: &'static str,
    /// What replaces it.
    to: &'static str,
}

const fn edit(name: &'static str, from: &'static str, to: &'static str) -> Edit {
    Edit { name, from, to }
}

const INVALID: [Edit; 12] = [
    edit(
        "semantics",
        "\"Semantics\": \"idempotent\"",
        "\"Semantics\": \"sometimes\"",
    ),
    edit("deadline", "\"Deadline\": 750000000", "\"Deadline\": 0"),
    edit("aim", "\"Aim\": 120000000", "\"Aim\": -1"),
    edit("points", "\"Points\": 3.0", "\"Points\": -3.0"),
    edit(
        "classes",
        "\"Services\": [",
        "\"Services\": [], \"Others\": [",
    ),
    edit("plans", "\"Grades\": [", "\"Grades\": [], \"Others\": ["),
    edit("zones", "\"FailureDomains\"", "\"Domains\""),
    edit("fronts", "\"Balancers\": 3", "\"Balancers\": 0"),
    edit("tries", "\"MostTries\": 3", "\"MostTries\": 0"),
    edit("units", "\"UnitMean\": 2.05", "\"UnitMean\": 0"),
    edit("reserve", "\"FloorRate\": 1.1", "\"FloorRate\": -1.1"),
    edit("kind", "\"Window\": 5000000000", "\"Window\": \"long\""),
];

const EXTREME: [Edit; 8] = [
    edit("no zones", "[\"edificio-a\", \"edificio-b\"]", "[]"),
    edit("no shares", "\"Parts\": 1.0", "\"Parts\": 0.0"),
    edit("no nominal rate", "\"Nominal\": 3.6", "\"Nominal\": 0.0"),
    edit(
        "a short window",
        "\"Window\": 5000000000",
        "\"Window\": 1000000",
    ),
    edit("no window", "\"Window\": 5000000000", "\"Window\": 0"),
    edit(
        "deadlines of a few milliseconds",
        "\"Deadline\": 750000000",
        "\"Deadline\": 3000000",
    ),
    edit("no slow start", "\"Cold\": 17000000000", "\"Cold\": 0"),
    edit(
        "no poll interval",
        "\"AskEvery\": 10000000000",
        "\"AskEvery\": 0",
    ),
];

/// A front that has been started on edited settings.
struct StartedFront {
    process: Child,
    file: PathBuf,
}

impl StartedFront {
    fn start(edit: &Edit) -> StartedFront {
        assert!(
            SETTINGS.contains(edit.from),
            "no {} in the settings",
            edit.from
        );
        let settings = SETTINGS.replace(edit.from, edit.to);
        let config = format!(
            r#"{{"name":"t","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},
            "known":{{"generation":1,"reset":true,"instances":[
            {{"instanceId":"s-0","hostPort":"127.0.0.1:9","zone":"nowhere","machineType":"m","cell":0,"lifecycle":"Ready","weight":1.0,"startedAtMs":0}}]}},
            "settings":{settings}}}"#
        );
        let file_name = format!("tulipbridge-settings-{}-{}", std::process::id(), edit.name);
        let file = std::env::temp_dir().join(file_name);
        std::fs::write(&file, config).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
        command.env("BALANCER_CONFIG", &file);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        StartedFront {
            process: command.spawn().expect("the program starts"),
            file,
        }
    }

    fn remove_file(file: PathBuf) {
        // A file that stays behind in the temporary folder harms no later test.
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn invalid_settings_are_rejected_with_one_message_and_exit_code_2() {
    for edit in &INVALID {
        let StartedFront { process, file } = StartedFront::start(edit);
        let output = process.wait_with_output().expect("it ends");
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{}: {message}", edit.name);
        assert_eq!(message.lines().count(), 1, "{}: {message}", edit.name);
        assert!(!message.contains("panicked"), "{}: {message}", edit.name);
        StartedFront::remove_file(file);
    }
}

#[test]
fn extreme_but_valid_settings_are_served() {
    for edit in &EXTREME {
        let StartedFront { mut process, file } = StartedFront::start(edit);
        let mut first_line = String::new();
        let mut log = BufReader::new(process.stderr.take().expect("a pipe"));
        log.read_line(&mut first_line).expect("a first line");
        assert!(
            first_line.contains("listening on"),
            "{}: {first_line}",
            edit.name
        );
        let pid = process.id().to_string();
        assert!(Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .expect("kill")
            .success());
        assert_eq!(
            process.wait().expect("it ends").code(),
            Some(0),
            "{}",
            edit.name
        );
        StartedFront::remove_file(file);
    }
}
