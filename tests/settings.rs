//! Settings of any customer at the start: what cannot hold gets one plain sentence and exit 2, and what can is served.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

const SETTINGS: &str = include_str!("scenario/settings.json");

/// Starts a front on the settings with the first of a pair made the second.
fn start(name: &str, from: &str, to: &str) -> (Child, PathBuf) {
    assert!(SETTINGS.contains(from), "no {from} in the settings");
    let settings = SETTINGS.replace(from, to);
    let config = format!(
        r#"{{"name":"t","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},
        "known":{{"generation":1,"reset":true,"instances":[
        {{"instanceId":"s-0","hostPort":"127.0.0.1:9","zone":"nowhere","machineType":"m","cell":0,"lifecycle":"Ready","weight":1.0,"startedAtMs":0}}]}},
        "settings":{settings}}}"#
    );
    let file = std::env::temp_dir().join(format!("tulipbridge-settings-{}-{name}", std::process::id()));
    std::fs::write(&file, config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
    command.env("BALANCER_CONFIG", &file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    (command.spawn().expect("the program starts"), file)
}

#[test]
fn settings_that_cannot_hold_get_one_sentence_and_exit_2() {
    for (name, from, to) in [
        ("semantics", "\"Semantics\": \"idempotent\"", "\"Semantics\": \"sometimes\""),
        ("deadline", "\"Deadline\": 750000000", "\"Deadline\": 0"),
        ("aim", "\"Aim\": 120000000", "\"Aim\": -1"),
        ("points", "\"Points\": 3.0", "\"Points\": -3.0"),
        ("classes", "\"Services\": [", "\"Services\": [], \"Others\": ["),
        ("plans", "\"Grades\": [", "\"Grades\": [], \"Others\": ["),
        ("zones", "\"FailureDomains\"", "\"Domains\""),
        ("fronts", "\"Balancers\": 3", "\"Balancers\": 0"),
        ("tries", "\"MostTries\": 3", "\"MostTries\": 0"),
        ("units", "\"UnitMean\": 2.05", "\"UnitMean\": 0"),
        ("reserve", "\"FloorRate\": 1.1", "\"FloorRate\": -1.1"),
        ("kind", "\"Window\": 5000000000", "\"Window\": \"long\""),
    ] {
        let (child, file) = start(name, from, to);
        let output = child.wait_with_output().expect("it ends");
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{name}: {said}");
        assert_eq!(said.lines().count(), 1, "{name}: {said}");
        assert!(!said.contains("panicked"), "{name}: {said}");
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn settings_at_their_edges_are_served() {
    for (name, from, to) in [
        ("no zones", "[\"edificio-a\", \"edificio-b\"]", "[]"),
        ("no shares", "\"Parts\": 1.0", "\"Parts\": 0.0"),
        ("no nominal rate", "\"Nominal\": 3.6", "\"Nominal\": 0.0"),
        ("a short window", "\"Window\": 5000000000", "\"Window\": 1000000"),
        ("no window", "\"Window\": 5000000000", "\"Window\": 0"),
        ("deadlines of a few milliseconds", "\"Deadline\": 750000000", "\"Deadline\": 3000000"),
        ("no cold start", "\"Cold\": 17000000000", "\"Cold\": 0"),
        ("no time to ask in", "\"AskEvery\": 10000000000", "\"AskEvery\": 0"),
    ] {
        let (mut child, file) = start(name, from, to);
        let mut first = String::new();
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        log.read_line(&mut first).expect("it speaks");
        assert!(first.contains("listening on"), "{name}: {first}");
        let pid = child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("kill").success());
        assert_eq!(child.wait().expect("it ends").code(), Some(0), "{name}");
        let _ = std::fs::remove_file(file);
    }
}
