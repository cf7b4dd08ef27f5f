//! Golden output of the program for operators and other programs: error messages, trace events,
//! responses of the console and the maintenance file. Refactoring must not change any of it; a
//! change here is a change for users, and belongs in CHANGELOG.md.

#[path = "golden/edits.rs"]
mod edits;
#[path = "golden/fleet.rs"]
mod fleet;
#[path = "golden/program.rs"]
mod program;
#[path = "golden/running.rs"]
mod running;
#[path = "golden/traced.rs"]
mod traced;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{TcpStream, UdpSocket};
use std::process::{Command, Output};
use std::time::Instant;

use tulipbridge::telemetry::trace;
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input};
use tulipbridge_core::{
    ClassSet, FleetUpdate, NodeId, Outcome, RequestId, SharedLimit, UpdateScope, VolumeId,
};

use edits::{Edit, REJECTED_BY_BOTH, REJECTED_BY_OBJECT};
use fleet::{complete_ejection, fleet_with_silent_server, read_json, shape};
use program::{edited, front, program, run_to_end, Folder, FrontKind, CONFIG, TIMEOUT};
use running::{read_head, Front};
use traced::TracedFront;

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
        let (object, platform) = (
            rejection_output(FrontKind::Object, edit),
            rejection_output(FrontKind::Platform, edit),
        );
        let _ = writeln!(actual, "{}: {object}", edit.name);
        if platform != object {
            let _ = writeln!(actual, "{} (platform): {platform}", edit.name);
        }
    }
    for edit in REJECTED_BY_OBJECT {
        let _ = writeln!(
            actual,
            "{}: {}",
            edit.name,
            rejection_output(FrontKind::Object, edit)
        );
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
    let _ = writeln!(actual, "no file named: {without_file}");
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
        let _ = writeln!(
            actual,
            "{name}: {}",
            exit_summary(&folder, &run_to_end(command))
        );
    }
    for (name, path) in [("object, not there", "nothing"), ("object, a folder", "")] {
        let command = front(FrontKind::Object, &folder.path().join(path));
        let _ = writeln!(
            actual,
            "{name}: {}",
            exit_summary(&folder, &run_to_end(command))
        );
    }
    insta::assert_snapshot!(actual);
}

/// A command line with its exit code and output.
fn command_line(arguments: &[&str]) -> String {
    let mut command = program();
    command.args(arguments);
    let output = run_to_end(command);
    let (stdout, stderr) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
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

/// A line with the value of each of these keys, up to the next comma or brace, replaced by `_`.
fn without_values(line: &str, keys: &[&str]) -> String {
    keys.iter().fold(line.to_owned(), |line, key| {
        let mark = format!("\"{key}\":");
        let mut parts = line.split(&mark);
        let first = parts.next().unwrap_or_default().to_owned();
        parts.fold(first, |masked, part| {
            let end = part.find([',', '}']).unwrap_or(part.len());
            masked + &mark + "_" + &part[end..]
        })
    })
}

/// The value of a key in a trace event; empty where it has none.
fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let Some((_, rest)) = line.split_once(&format!("\"{key}\":")) else {
        return "";
    };
    &rest[..rest.find([',', '}']).unwrap_or(rest.len())]
}

/// The first trace event of each kind, where the kind is the event with its outcome.
fn first_of_each_kind(lines: &[String]) -> String {
    let mut kinds: BTreeMap<Vec<&str>, &str> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.starts_with('{')) {
        let kind = ["e", "outcome", "verdict", "scope", "end"].map(|key| value(line, key));
        kinds.entry(kind.to_vec()).or_insert(line);
    }
    kinds
        .values()
        .map(|line| without_values(line, &["t", "ms", "wait_ms", "use"]) + "\n")
        .collect()
}

#[test]
fn trace_events_have_their_keys_in_order() {
    const BODY_BYTES: usize = 300_000;
    const REMAINING_MILLIS: u32 = 10_000;
    let mut traced = TracedFront::start();
    // A request that is served with a response long enough to be streamed.
    let mut client = traced.send_read(1, REMAINING_MILLIS);
    let mut upstream = traced.wait_for_request(0);
    let head =
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    upstream
        .write_all(&[head.as_bytes(), &[b'x'; BODY_BYTES]].concat())
        .expect("sent");
    read_head(&mut client);
    client
        .read_exact(&mut [0; BODY_BYTES])
        .expect("the whole body");
    traced.front.wait_for_line(r#""e":"passed""#);
    // A request whose client disconnects while it is in flight.
    let client = traced.send_read(2, REMAINING_MILLIS);
    let _upstream = traced.wait_for_request(1);
    drop(client);
    traced.front.wait_for_line(r#""e":"left","id":1"#);
    // A request that the server rejects.
    let _client = traced.send_read(3, REMAINING_MILLIS);
    let mut upstream = traced.wait_for_request(2);
    let rejection = b"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    upstream.write_all(rejection).expect("sent");
    traced.front.wait_for_line(r#""e":"answer","id":2"#);
    // A request that the server never answers.
    let _client = traced.send_read(4, 300);
    let _upstream = traced.wait_for_request(3);
    traced.front.wait_for_line(r#""e":"answer","id":3"#);
    traced.front.wait_for_line(r#""e":"note""#);
    // A request with too large a body.
    let mut client = TcpStream::connect(traced.front.clients).expect("it takes connections");
    client
        .write_all(b"PUT /api HTTP/1.1\r\nHost: t\r\nContent-Length: 99999999999\r\n\r\n")
        .expect("sent");
    traced.front.wait_for_line(r#""e":"not taken""#);
    // The endpoint list is updated, then replaced.
    traced.send_endpoints(false, "Gone");
    traced.front.wait_for_line(r#""e":"forget""#);
    traced.send_endpoints(true, "Ready");
    traced.front.wait_for_line(r#""scope":"replace""#);
    traced.front.wait_for_line(r#""e":"subscribe""#);
    assert_eq!(traced.front.terminate(), Some(0));
    insta::assert_snapshot!(traced.masked(&first_of_each_kind(&traced.front.log_lines)));
}

/// Environment variable of the child process that writes the events of [`trace_event_vocabulary`].
const TRACE_WRITER_VARIABLE: &str = "TULIPBRIDGE_GOLDEN_WRITER";

/// Writes the events that a short scenario does not cause, as the program would.
fn write_trace() {
    let name = |node| format!("s-{node}");
    let (id, attempt) = (7, 1);
    for outcome in [
        Outcome::Served,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::NotExecuted,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ] {
        trace::input(
            &Input::AttemptEnded {
                id: RequestId(id),
                attempt,
                outcome,
                observed_use: 1.5,
                foreign_units: 0.0,
            },
            name,
        );
    }
    for scope in [
        UpdateScope::Update,
        UpdateScope::Replace,
        UpdateScope::Restored,
        UpdateScope::Unavailable,
    ] {
        trace::input(
            &Input::Endpoints {
                scope,
                nodes: Vec::new(),
            },
            name,
        );
    }
    for limit in [
        SharedLimit::Volume(VolumeId(0x1f)),
        SharedLimit::Retries,
        SharedLimit::WarmingUpNode,
        SharedLimit::InFlightPerNode,
    ] {
        trace::input(
            &Input::FleetUpdate(FleetUpdate::SharedLimit {
                limit,
                rate: 2.5,
                burst: 4.0,
                at: 0,
            }),
            name,
        );
    }
    for classes in [ClassSet::NONE, ClassSet::NONE.with(1), ClassSet::ALL] {
        trace::input(
            &Input::FleetUpdate(FleetUpdate::Ejection {
                node: NodeId(3),
                classes,
            }),
            name,
        );
    }
    trace::input(
        &Input::FleetUpdate(FleetUpdate::Probe {
            node: NodeId(3),
            until: 0,
        }),
        name,
    );
    trace::input(&Input::Overdue(RequestId(id)), name);
    trace::input(&Input::Timer(1), name);
    for answer in [
        FinalAnswer::Served,
        FinalAnswer::Rejected(1_500_000),
        FinalAnswer::Failed,
    ] {
        trace::effect(
            &Effect::Answer {
                id: RequestId(id),
                answer,
            },
            name,
        );
    }
    trace::effect(&Effect::Release(RequestId(id)), name);
}

/// Events go to standard error, so a child process of this test writes them.
#[test]
fn trace_event_vocabulary() {
    if std::env::var_os(TRACE_WRITER_VARIABLE).is_some() {
        return write_trace();
    }
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args(["--exact", "trace_event_vocabulary", "--nocapture"]);
    command
        .env(TRACE_WRITER_VARIABLE, "1")
        .env("TULIPBRIDGE_TRACE", "1");
    let output = run_to_end(command);
    assert!(output.status.success());
    let output = String::from_utf8(output.stderr).expect("text");
    let lines = output.lines().filter(|line| line.starts_with('{'));
    let actual: Vec<String> = lines.map(|line| without_values(line, &["t"])).collect();
    insta::assert_snapshot!(actual.join("\n"));
}

/// The response to a request at the console, with values that differ between runs replaced by `_`.
fn answer(front: &Front, method: &str, path: &str) -> String {
    let answer = front.request(method, path);
    let body = without_values(answer.body.trim_end(), &["boot"]);
    format!(
        "{method} {path}\n{} [{}]\n{body}\n\n",
        answer.status, answer.content_type
    )
}

/// The metrics of a front, with their values replaced by `_`.
fn metrics(front: &Front) -> String {
    let answer = front.request("GET", "/status/metrics");
    let body: String = answer
        .body
        .lines()
        .map(|line| match line.rsplit_once(' ') {
            Some((name, _)) if !line.starts_with('#') => format!("{name} _\n"),
            _ => format!("{line}\n"),
        })
        .collect();
    format!("{} [{}]\n{body}\n", answer.status, answer.content_type)
}

/// A front with [`CONFIG`] that no peer reaches; it counts as starting for as long as a test runs.
fn isolated_front(kind: FrontKind, folder: &Folder) -> Front {
    let mut command = front(kind, &folder.configuration(CONFIG));
    command.env("TMPDIR", folder.path());
    Front::start(command)
}

#[test]
fn metrics_have_names_help_types_and_labels() {
    let actual = [
        ("object", FrontKind::Object),
        ("platform", FrontKind::Platform),
    ]
    .map(|(name, kind)| {
        let folder = Folder::new();
        let mut front = isolated_front(kind, &folder);
        // The metrics of messages and of shares exist after the first message and the first
        // heartbeat.
        let peers = front.wait_for_line("peers at ");
        let peers = peers.rsplit(' ').next().expect("an address");
        let unknown_peer = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        unknown_peer.send_to(b"no message", peers).expect("sent");
        front.wait_for_metrics(&["app_peer_messages{", "app_peer_part{"]);
        format!("{name} front\n{}", metrics(&front))
    });
    insta::assert_snapshot!(actual.concat());
}

#[test]
fn console_requests_are_answered() {
    let folder = Folder::new();
    let front = isolated_front(FrontKind::Object, &folder);
    let calls = [
        ("GET", "/status"),
        ("GET", "/status/peers"),
        ("GET", "/status/verdicts"),
        ("GET", "/status/verdicts/s-0"),
        ("GET", "/status/verdicts/s-9"),
        ("PUT", "/maintenance/enter/s-0"),
        ("PUT", "/maintenance/exit/s-0"),
        ("PUT", "/maintenance/enter/s-9"),
        ("PUT", "/maintenance/exit/s-9"),
        ("PUT", "/maintenance/leave/s-0"),
        ("PUT", "/maintenance/enter/"),
        ("GET", "/maintenance/enter/s-0"),
        ("POST", "/status"),
        ("PUT", "/status/metrics"),
        ("PUT", "/status/peers"),
        ("GET", "/nothing"),
    ];
    let actual: String = calls
        .iter()
        .map(|(method, path)| answer(&front, method, path))
        .collect();
    insta::assert_snapshot!(actual);
}

#[test]
fn console_of_a_front_without_peers() {
    let folder = Folder::new();
    let file = folder.configuration(&edited(&[("\"peers\": {", "\"others\": {")]));
    let front = Front::start(front(FrontKind::Object, &file));
    let paths = ["/status/peers", "/status/verdicts", "/status/verdicts/s-0"];
    let actual: String = paths
        .iter()
        .map(|path| answer(&front, "GET", path))
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

/// The first line that contains a text, with its numbers replaced by `_` and its columns separated
/// by one space.
fn line_with(output: &str, text: &str) -> String {
    let line = output.lines().find(|line| line.contains(text));
    let line = line.unwrap_or_else(|| panic!("no line with {text} in {output}"));
    let words: Vec<&str> = line.split_whitespace().collect();
    let mut masked = String::new();
    for letter in words.join(" ").chars() {
        let (digit, follows) = (letter.is_ascii_digit(), masked.ends_with('_'));
        match digit {
            true if follows => {}
            true => masked.push('_'),
            false => masked.push(letter),
        }
    }
    masked
}

/// A line up to the end of a text; the whole line where it does not contain the text.
fn up_to<'a>(line: &'a str, text: &str) -> &'a str {
    line.find(text)
        .map_or(line, |start| &line[..start + text.len()])
}

/// Runs a command, concurrently with the lab's tasks, until its output contains all of these texts.
async fn wait_for_output(arguments: &[&str], texts: &[&str]) -> String {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let arguments: Vec<String> = arguments
            .iter()
            .map(|argument| (*argument).to_owned())
            .collect();
        let run = move || command_line(&arguments.iter().map(String::as_str).collect::<Vec<_>>());
        let actual = tokio::task::spawn_blocking(run).await.expect("it runs");
        if texts.iter().all(|text| actual.contains(text)) {
            return actual;
        }
        assert!(
            Instant::now() < deadline,
            "not all of {texts:?} are in {actual}"
        );
    }
}

/// The status of an ejected server, without names and times.
async fn ejection_status() -> String {
    let testbed = fleet_with_silent_server().await;
    let console = testbed
        .console_address(0)
        .expect("it has a console")
        .to_string();
    let (verdicts, peers) = (RefCell::default(), RefCell::default());
    let is_complete = |status: &str| {
        *verdicts.borrow_mut() = read_json(status);
        complete_ejection(&verdicts.borrow()).is_some()
    };
    assert!(
        testbed.wait_for_outlier_status(0, is_complete).await,
        "a server is held out, and somebody tries it"
    );
    let all_reachable = |status: &str| {
        *peers.borrow_mut() = read_json(status);
        status.matches("\"heard_by\":[\"").count() == 2 && !status.contains("\"told_ms\":null")
    };
    assert!(
        testbed.wait_for_peers(0, all_reachable).await,
        "all hear each other"
    );
    let (verdicts, peers) = (verdicts.into_inner(), peers.into_inner());
    let verdict = complete_ejection(&verdicts).expect("there is one");
    let mut actual = format!("verdict: {}\n", shape(&verdict));
    let _ = writeln!(actual, "median: {}", shape(&verdicts["medians"][0]));
    let _ = writeln!(actual, "peer: {}", shape(&peers["peers"][0]));
    let _ = writeln!(actual, "belief: {}", peers["peers"][0]["belief"]);
    let texts = [
        "has been held out for ",
        " s unless it is renewed",
        " tries it now",
        "assents (",
        "ATTEMPTS",
    ];
    let explained = wait_for_output(&["explain", "s-1", "--console", &console], &texts).await;
    for text in texts {
        let line = line_with(&explained, text);
        // The scope of the ejection, the voters and the probing front differ between runs.
        let line = up_to(up_to(&line, "held out for"), "needed):");
        let line = line
            .strip_suffix("tries it now")
            .map_or(line, |_| "SOMEBODY tries it now");
        let _ = writeln!(actual, "explain: {line}");
    }
    let texts = ["EVIDENCE", "heard by ", "this front: "];
    let output = wait_for_output(&["peers", "--console", &console], &texts).await;
    for text in texts {
        let line = line_with(&output, text);
        let line = up_to(up_to(&line, "heard by"), "banks of:");
        let _ = writeln!(actual, "peers: {line}");
    }
    actual
}

#[test]
fn status_of_an_ejected_server() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let actual = tokio::task::LocalSet::new().block_on(&runtime, ejection_status());
    insta::assert_snapshot!(actual);
}

/// The file in which a front with [`CONFIG`] stores the servers in maintenance.
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
        format!("maintenance: FOLDER/{MAINTENANCE_FILE} cannot be read, and is passed over")
    );
    assert_eq!(avoided_servers(&front), "app_cluster_unhealthy 0");
}
