//! What operators and other programs see of the program, word for word: the sentences of its refusals, the lines of
//! its trace, the answers of its console and the file it keeps for the next version. A change of the code behind it
//! must leave all of this as it is; a change here is a change for its users, and belongs in CHANGELOG.md.

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
use tulipbridge_core::{ClassSet, FleetUpdate, Outcome, SharedLimit, UpdateScope};

use edits::{Edit, REFUSED_BY_BOTH, REFUSED_BY_OBJECT};
use fleet::{fleet_with_a_silent_server, read_json, shape, whole_verdict};
use program::{edited, front, program, run_to_end, Folder, Kind, CONFIG, LONG};
use running::{read_head, Front};
use traced::Traced;

/// Runs a front on the edited file: its exit code and what it says.
fn refusal(kind: Kind, edit: &Edit) -> String {
    assert!(CONFIG.contains(edit.from), "{}: no {} in the file", edit.name, edit.from);
    let folder = Folder::new();
    let file = folder.configuration(&CONFIG.replacen(edit.from, edit.to, 1));
    ending(&folder, &run_to_end(front(kind, &file)))
}

/// An exit code and the lines on standard error, but for those of sockets opened before the refusal, whose ports the
/// system chose.
fn ending(folder: &Folder, output: &Output) -> String {
    let said = folder.masked(&String::from_utf8_lossy(&output.stderr));
    let is_of_socket = |line: &str| line.contains("listening on 127.0.0.1:") || line.starts_with("peers at ");
    let lines: Vec<&str> = said.lines().filter(|line| !is_of_socket(line)).collect();
    assert_eq!(lines.len(), 1, "one line says what is wrong: {said}");
    format!("{:?} {}", output.status.code(), lines[0])
}

#[test]
fn each_bad_configuration_has_its_sentence() {
    let mut seen = String::new();
    for edit in REFUSED_BY_BOTH {
        let (object, platform) = (refusal(Kind::Object, edit), refusal(Kind::Platform, edit));
        let _ = writeln!(seen, "{}: {object}", edit.name);
        if platform != object {
            let _ = writeln!(seen, "{} (platform): {platform}", edit.name);
        }
    }
    for edit in REFUSED_BY_OBJECT {
        let _ = writeln!(seen, "{}: {}", edit.name, refusal(Kind::Object, edit));
    }
    insta::assert_snapshot!(seen);
}

#[test]
fn each_bad_environment_has_its_sentence() {
    let folder = Folder::new();
    let file = folder.configuration(CONFIG);
    let large = folder.path().join("large.json");
    std::fs::write(&large, vec![b' '; (8 << 20) + 1]).expect("written");
    let mut seen = String::new();
    let unset = ending(&folder, &run_to_end(program()));
    let _ = writeln!(seen, "no file named: {unset}");
    for (name, variable, value) in [
        ("file that is not there", "BALANCER_CONFIG", folder.path().join("nothing").display().to_string()),
        ("file that is a folder", "BALANCER_CONFIG", folder.path().display().to_string()),
        ("file too large", "BALANCER_CONFIG", large.display().to_string()),
        ("listen", "BALANCER_LISTEN", "nowhere".to_owned()),
        ("console", "BALANCER_CONSOLE", "nowhere".to_owned()),
        ("discovery", "BALANCER_DISCOVERY", "nowhere".to_owned()),
        ("name", "BALANCER_NAME", "object-9".to_owned()),
    ] {
        let mut command = front(Kind::Platform, &file);
        command.env(variable, value);
        let _ = writeln!(seen, "{name}: {}", ending(&folder, &run_to_end(command)));
    }
    for (name, path) in [("object, not there", "nothing"), ("object, a folder", "")] {
        let command = front(Kind::Object, &folder.path().join(path));
        let _ = writeln!(seen, "{name}: {}", ending(&folder, &run_to_end(command)));
    }
    insta::assert_snapshot!(seen);
}

/// A command line, and all that the program says to it.
fn command_line(arguments: &[&str]) -> String {
    let mut command = program();
    command.args(arguments);
    let output = run_to_end(command);
    let (out, err) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    let said = format!("{out}{err}").replace(env!("CARGO_PKG_VERSION"), "VERSION");
    format!("$ tulipbridge {}\n{:?}\n{said}\n", arguments.join(" "), output.status.code())
}

const SUBCOMMANDS: [&str; 9] =
    ["object", "agent", "status", "drain", "peers", "verdicts", "explain", "resume", "restart"];

#[test]
fn each_command_has_its_help() {
    let mut seen = command_line(&["--help"]) + &command_line(&["--version"]);
    for subcommand in SUBCOMMANDS {
        seen += &command_line(&[subcommand, "--help"]);
    }
    insta::assert_snapshot!(seen);
}

#[test]
fn bad_usage_ends_with_2_and_says_what_is_missing() {
    // Nothing listens at port 1 of this machine.
    const NOBODY: &str = "127.0.0.1:1";
    let lines: &[&[&str]] = &[
        &["nothing"],
        &["--nothing"],
        &["object"],
        &["object", "a", "b"],
        &["agent"],
        &["agent", "--file", "a", "--etcd", NOBODY],
        &["agent", "--etcd", "nowhere"],
        &["agent", "--file", "a", "--control", "nowhere"],
        &["status", "--agent", "nowhere"],
        &["status", "--agent", NOBODY],
        &["drain"],
        &["drain", "a", "--agent", NOBODY],
        &["resume"],
        &["resume", "a", "--agent", NOBODY],
        &["restart", "a", "--agent", NOBODY],
        &["peers"],
        &["peers", "--console", "nowhere"],
        &["peers", "--console", NOBODY, "--output", "xml"],
        &["peers", "--console", NOBODY],
        &["verdicts"],
        &["verdicts", "--console", NOBODY],
        &["explain"],
        &["explain", "s-0"],
        &["explain", "s-0", "--console", NOBODY],
    ];
    let seen: String = lines.iter().map(|arguments| command_line(arguments)).collect();
    insta::assert_snapshot!(seen);
}

/// A line with the value of each of these keys, up to the next comma or brace, made `_`.
fn without_values(line: &str, keys: &[&str]) -> String {
    keys.iter().fold(line.to_owned(), |line, key| {
        let mark = format!("\"{key}\":");
        let mut parts = line.split(&mark);
        let first = parts.next().unwrap_or_default().to_owned();
        parts.fold(first, |seen, part| {
            let end = part.find([',', '}']).unwrap_or(part.len());
            seen + &mark + "_" + &part[end..]
        })
    })
}

/// The value of a key in a line of the trace, empty where it has none.
fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let Some((_, rest)) = line.split_once(&format!("\"{key}\":")) else { return "" };
    &rest[..rest.find([',', '}']).unwrap_or(rest.len())]
}

/// The first line of each kind, by what it is about and how that went.
fn first_of_each_kind(lines: &[String]) -> String {
    let mut kinds: BTreeMap<Vec<&str>, &str> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.starts_with('{')) {
        let kind = ["e", "outcome", "verdict", "scope", "end"].map(|key| value(line, key));
        kinds.entry(kind.to_vec()).or_insert(line);
    }
    kinds.values().map(|line| without_values(line, &["t", "ms", "wait_ms", "use"]) + "\n").collect()
}

#[test]
fn each_kind_of_line_of_the_trace_has_its_keys_in_their_order() {
    const LENGTH: usize = 300_000;
    const PATIENT: u32 = 10_000;
    let mut traced = Traced::start();
    // A request that is served, by an answer so long that it is passed on as it comes.
    let mut client = traced.ask(1, PATIENT);
    let mut upstream = traced.arrives(0);
    let head = format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {LENGTH}\r\n\r\n");
    upstream.write_all(&[head.as_bytes(), &[b'x'; LENGTH]].concat()).expect("sent");
    read_head(&mut client);
    client.read_exact(&mut [0; LENGTH]).expect("the whole body");
    traced.front.until(r#""e":"passed""#);
    // One whose client leaves while the server has it.
    let client = traced.ask(2, PATIENT);
    let _upstream = traced.arrives(1);
    drop(client);
    traced.front.until(r#""e":"left","id":1"#);
    // One that the server turns away.
    let _client = traced.ask(3, PATIENT);
    let mut upstream = traced.arrives(2);
    let busy = b"HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    upstream.write_all(busy).expect("sent");
    traced.front.until(r#""e":"answer","id":2"#);
    // One that the server never answers.
    let _client = traced.ask(4, 300);
    let _upstream = traced.arrives(3);
    traced.front.until(r#""e":"answer","id":3"#);
    traced.front.until(r#""e":"note""#);
    // One too large to be taken.
    let mut client = TcpStream::connect(traced.front.clients).expect("it takes connections");
    client.write_all(b"PUT /api HTTP/1.1\r\nHost: t\r\nContent-Length: 99999999999\r\n\r\n").expect("sent");
    traced.front.until(r#""e":"not taken""#);
    // The list changes, and is replaced.
    traced.tell(false, "Gone");
    traced.front.until(r#""e":"forget""#);
    traced.tell(true, "Ready");
    traced.front.until(r#""scope":"replace""#);
    traced.front.until(r#""e":"subscribe""#);
    assert_eq!(traced.front.end(), Some(0));
    insta::assert_snapshot!(traced.masked(&first_of_each_kind(&traced.front.said)));
}

/// Set for the process that writes the lines of [`the_words_of_the_trace_are_these`].
const WRITER: &str = "TULIPBRIDGE_GOLDEN_WRITER";

/// Writes what a short scenario does not bring about, as the program would.
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
            &Input::AttemptEnded { id, attempt, outcome, observed_use: 1.5, foreign_units: 0.0 },
            name,
        );
    }
    for scope in [UpdateScope::Update, UpdateScope::Replace, UpdateScope::Restored, UpdateScope::Unavailable]
    {
        trace::input(&Input::Endpoints { scope, nodes: Vec::new() }, name);
    }
    for of in [
        SharedLimit::Volume(0x1f),
        SharedLimit::Retries,
        SharedLimit::WarmingUpNode,
        SharedLimit::InFlightPerNode,
    ] {
        trace::input(
            &Input::FleetUpdate(FleetUpdate::SharedLimit { limit: of, rate: 2.5, burst: 4.0, at: 0 }),
            name,
        );
    }
    for out in [ClassSet::NONE, ClassSet::NONE.with(1), ClassSet::ALL] {
        trace::input(&Input::FleetUpdate(FleetUpdate::Ejection { node: 3, classes: out }), name);
    }
    trace::input(&Input::FleetUpdate(FleetUpdate::Probe { node: 3, until: 0 }), name);
    trace::input(&Input::Overdue(id), name);
    trace::input(&Input::Timer(1), name);
    for verdict in [FinalAnswer::Served, FinalAnswer::Rejected(1_500_000), FinalAnswer::Failed] {
        trace::effect(&Effect::Answer { id, answer: verdict }, name);
    }
    trace::effect(&Effect::Release(id), name);
}

/// Lines go to standard error, so a second process of this test writes them.
#[test]
fn the_words_of_the_trace_are_these() {
    if std::env::var_os(WRITER).is_some() {
        return write_trace();
    }
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args(["--exact", "the_words_of_the_trace_are_these", "--nocapture"]);
    command.env(WRITER, "1").env("TULIPBRIDGE_TRACE", "1");
    let output = run_to_end(command);
    assert!(output.status.success());
    let said = String::from_utf8(output.stderr).expect("text");
    let lines = said.lines().filter(|line| line.starts_with('{'));
    let seen: Vec<String> = lines.map(|line| without_values(line, &["t"])).collect();
    insta::assert_snapshot!(seen.join("\n"));
}

/// The answer to a call at the console, with what differs from run to run made `_`.
fn answer(front: &Front, method: &str, path: &str) -> String {
    let answer = front.call(method, path);
    let body = without_values(answer.body.trim_end(), &["boot"]);
    format!("{method} {path}\n{} [{}]\n{body}\n\n", answer.status, answer.content_type)
}

/// The figures of a front, with their numbers made `_`.
fn figures(front: &Front) -> String {
    let answer = front.call("GET", "/status/metrics");
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

/// A front of [`CONFIG`], which hears no peer and has just started for as long as a test runs.
fn lone_front(kind: Kind, folder: &Folder) -> Front {
    let mut command = front(kind, &folder.configuration(CONFIG));
    command.env("TMPDIR", folder.path());
    Front::start(command)
}

#[test]
fn each_figure_has_its_name_help_type_and_labels() {
    let seen = [("object", Kind::Object), ("platform", Kind::Platform)].map(|(name, kind)| {
        let folder = Folder::new();
        let mut front = lone_front(kind, &folder);
        // Figures of messages and of parts are there once there was a message and a beat.
        let peers = front.until("peers at ");
        let peers = peers.rsplit(' ').next().expect("an address");
        let stranger = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        stranger.send_to(b"no message", peers).expect("sent");
        front.until_figures(&["app_peer_messages{", "app_peer_part{"]);
        format!("{name} front\n{}", figures(&front))
    });
    insta::assert_snapshot!(seen.concat());
}

#[test]
fn each_call_at_the_console_has_its_answer() {
    let folder = Folder::new();
    let front = lone_front(Kind::Object, &folder);
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
    let seen: String = calls.iter().map(|(method, path)| answer(&front, method, path)).collect();
    insta::assert_snapshot!(seen);
}

#[test]
fn a_front_without_peers_says_so_at_its_console() {
    let folder = Folder::new();
    let file = folder.configuration(&edited(&[("\"peers\": {", "\"others\": {")]));
    let front = Front::start(front(Kind::Object, &file));
    let paths = ["/status/peers", "/status/verdicts", "/status/verdicts/s-0"];
    let seen: String = paths.iter().map(|path| answer(&front, "GET", path)).collect();
    insta::assert_snapshot!(seen);
}

#[test]
fn each_command_shows_what_a_console_says() {
    let folder = Folder::new();
    let front = lone_front(Kind::Object, &folder);
    let console = front.console.to_string();
    let mut seen = String::new();
    for arguments in [&["peers"][..], &["verdicts"], &["explain", "s-0"], &["explain", "s-9"]] {
        for output in ["table", "json"] {
            let arguments = [arguments, &["--output", output, "--console", &console]].concat();
            seen += &command_line(&arguments).replace(&console, "CONSOLE");
        }
    }
    insta::assert_snapshot!(without_values(&seen, &["boot"]));
}

/// The first line that holds a text, with its numbers made `_` and its columns parted by one space.
fn line_with(said: &str, text: &str) -> String {
    let line = said.lines().find(|line| line.contains(text));
    let line = line.unwrap_or_else(|| panic!("no line with {text} in {said}"));
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

/// A line up to the end of a text, whole where it does not hold it.
fn up_to<'a>(line: &'a str, text: &str) -> &'a str {
    line.find(text).map_or(line, |start| &line[..start + text.len()])
}

/// Runs a command, beside the lab's tasks, until it shows all of these texts.
async fn until_shown(arguments: &[&str], texts: &[&str]) -> String {
    let until = Instant::now() + LONG;
    loop {
        let arguments: Vec<String> = arguments.iter().map(|argument| (*argument).to_owned()).collect();
        let run = move || command_line(&arguments.iter().map(String::as_str).collect::<Vec<_>>());
        let seen = tokio::task::spawn_blocking(run).await.expect("it runs");
        if texts.iter().all(|text| seen.contains(text)) {
            return seen;
        }
        assert!(Instant::now() < until, "not all of {texts:?} are in {seen}");
    }
}

/// What is said of a server that is held out, but for who said it and when.
async fn said_of_a_server_held_out() -> String {
    let lab = fleet_with_a_silent_server().await;
    let console = lab.console(0).expect("it has a console").to_string();
    let (verdicts, peers) = (RefCell::default(), RefCell::default());
    let is_whole = |told: &str| {
        *verdicts.borrow_mut() = read_json(told);
        whole_verdict(&verdicts.borrow()).is_some()
    };
    assert!(lab.until_verdicts(0, is_whole).await, "a server is held out, and somebody tries it");
    let all_hear = |told: &str| {
        *peers.borrow_mut() = read_json(told);
        told.matches("\"heard_by\":[\"").count() == 2 && !told.contains("\"told_ms\":null")
    };
    assert!(lab.until_peers(0, all_hear).await, "all hear each other");
    let (verdicts, peers) = (verdicts.into_inner(), peers.into_inner());
    let verdict = whole_verdict(&verdicts).expect("there is one");
    let mut seen = format!("verdict: {}\n", shape(&verdict));
    let _ = writeln!(seen, "median: {}", shape(&verdicts["medians"][0]));
    let _ = writeln!(seen, "peer: {}", shape(&peers["peers"][0]));
    let _ = writeln!(seen, "belief: {}", peers["peers"][0]["belief"]);
    let texts =
        ["has been held out for ", " s unless it is renewed", " tries it now", "assents (", "ATTEMPTS"];
    let explained = until_shown(&["explain", "s-1", "--console", &console], &texts).await;
    for text in texts {
        let line = line_with(&explained, text);
        // For what work it is held out, who assents and who tries differ from run to run.
        let line = up_to(up_to(&line, "held out for"), "needed):");
        let line = line.strip_suffix("tries it now").map_or(line, |_| "SOMEBODY tries it now");
        let _ = writeln!(seen, "explain: {line}");
    }
    let texts = ["EVIDENCE", "heard by ", "this front: "];
    let shown = until_shown(&["peers", "--console", &console], &texts).await;
    for text in texts {
        let line = line_with(&shown, text);
        let line = up_to(up_to(&line, "heard by"), "banks of:");
        let _ = writeln!(seen, "peers: {line}");
    }
    seen
}

#[test]
fn what_is_said_of_a_server_that_is_held_out_has_its_words() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let seen = tokio::task::LocalSet::new().block_on(&runtime, said_of_a_server_held_out());
    insta::assert_snapshot!(seen);
}

/// The file in which a front of [`CONFIG`] keeps the servers that are held out by hand.
const HELD: &str = "tulipbridge-object-1-held.json";

/// How many of the listed servers a front avoids.
fn avoided(front: &Front) -> String {
    let figures = front.call("GET", "/status/metrics").body;
    let line = figures.lines().find(|line| line.starts_with("app_cluster_unhealthy "));
    line.expect("the figure is there").to_owned()
}

#[test]
fn the_file_of_servers_held_out_has_its_name_and_bytes() {
    let folder = Folder::new();
    let front = lone_front(Kind::Object, &folder);
    let held = || std::fs::read_to_string(folder.path().join(HELD)).expect("the file is there");
    assert!(!folder.path().join(HELD).exists(), "nothing is written before the first call");
    for (path, bytes) in [
        ("/maintenance/enter/s-1", r#"{"held":["s-1"]}"#),
        ("/maintenance/enter/s-0", r#"{"held":["s-0","s-1"]}"#),
        ("/maintenance/exit/s-1", r#"{"held":["s-0"]}"#),
        ("/maintenance/exit/s-0", r#"{"held":[]}"#),
    ] {
        assert_eq!(front.call("PUT", path).status, "HTTP/1.1 200 OK", "{path}");
        assert_eq!(held(), bytes, "{path}");
    }
    let mut names: Vec<String> = std::fs::read_dir(folder.path())
        .expect("the folder is there")
        .map(|entry| entry.expect("readable").file_name().into_string().expect("text"))
        .filter(|name| name.starts_with("tulipbridge-"))
        .collect();
    names.sort();
    assert_eq!(names, [HELD, "tulipbridge-object-1-held.lock"]);
}

#[test]
fn a_front_started_on_a_file_of_servers_held_out_holds_them_out() {
    for (bytes, avoids) in [
        (r#"{"held":[]}"#, "app_cluster_unhealthy 0"),
        (r#"{"held":["s-1"]}"#, "app_cluster_unhealthy 1"),
        (r#"{"held":["s-0","s-1","s-7"]}"#, "app_cluster_unhealthy 2"),
    ] {
        let folder = Folder::new();
        std::fs::write(folder.path().join(HELD), bytes).expect("written");
        assert_eq!(avoided(&lone_front(Kind::Object, &folder)), avoids, "{bytes}");
    }
}

#[test]
fn a_file_of_servers_held_out_that_cannot_be_read_is_passed_over() {
    let folder = Folder::new();
    std::fs::write(folder.path().join(HELD), r#"{"held":["s-1","#).expect("written");
    let mut front = lone_front(Kind::Object, &folder);
    let said = folder.masked(&front.until("maintenance: "));
    assert_eq!(said, format!("maintenance: FOLDER/{HELD} cannot be read, and is passed over"));
    assert_eq!(avoided(&front), "app_cluster_unhealthy 0");
}
