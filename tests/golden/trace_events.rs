//! The events that a front with `TULIPBRIDGE_TRACE` writes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

use tulipbridge::telemetry::trace;
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input};
use tulipbridge_core::{
    ClassSet, FleetUpdate, NodeId, Outcome, RequestId, SharedLimit, UpdateScope, VolumeId,
};

use crate::masking::without_values;
use crate::program::run_to_end;
use crate::running::read_head;
use crate::traced::TracedFront;

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
        let kind =
            ["e", "outcome", "verdict", "scope", "end", "decision"].map(|key| value(line, key));
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
    // A request whose response begins, pauses and is passed on.
    let _client = traced.send_read(4, REMAINING_MILLIS);
    let mut upstream = traced.wait_for_request(3);
    let head = b"HTTP/1.1 200 OK\r\n\r\n";
    upstream
        .write_all(&[head.as_slice(), &[b'x'; 10_000]].concat())
        .expect("sent");
    traced.front.wait_for_line(r#""e":"began""#);
    traced.front.wait_for_line(r#""e":"slow""#);
    drop(upstream);
    // A request that the server never answers.
    let _client = traced.send_read(5, 300);
    let _upstream = traced.wait_for_request(4);
    traced.front.wait_for_line(r#""e":"answer","id":4"#);
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
/// The full name of [`trace_event_vocabulary`], which the child process runs alone.
const WRITER_TEST: &str = "trace_events::trace_event_vocabulary";

/// The request that the events are about.
const REQUEST: RequestId = RequestId(7);
/// The chunk server that the events are about.
const NODE: NodeId = NodeId(3);

/// Writes the events that a short scenario does not cause, as the program would.
fn write_trace() {
    let name = |node| format!("s-{node}");
    let pauses = [
        Input::ResponsePaused {
            id: REQUEST,
            attempt: 1,
        },
        Input::ResponseStopped(NODE),
    ];
    for input in attempt_ends()
        .chain(pauses)
        .chain(endpoint_updates())
        .chain(limit_updates())
        .chain(ejections())
    {
        trace::input(&input, name);
    }
    let probe = FleetUpdate::Probe {
        node: NODE,
        until: 0,
    };
    trace::input(&Input::FleetUpdate(probe), name);
    trace::input(&Input::Overdue(REQUEST), name);
    trace::input(&Input::Timer(1), name);
    for answer in [
        FinalAnswer::Served,
        FinalAnswer::Rejected(1_500_000),
        FinalAnswer::Failed,
    ] {
        let effect = Effect::Answer {
            id: REQUEST,
            answer,
        };
        trace::effect(&effect, name);
    }
    trace::effect(&Effect::Release(REQUEST), name);
}

/// The end of an attempt with each outcome.
fn attempt_ends() -> impl Iterator<Item = Input> {
    let outcomes = [
        Outcome::Served,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::NotExecuted,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];
    outcomes.into_iter().map(|outcome| Input::AttemptEnded {
        id: REQUEST,
        attempt: 1,
        outcome,
        observed_use: 1.5,
        foreign_units: 0.0,
    })
}

/// An empty endpoint update of each scope.
fn endpoint_updates() -> impl Iterator<Item = Input> {
    let scopes = [
        UpdateScope::Update,
        UpdateScope::Replace,
        UpdateScope::Restored,
        UpdateScope::Unavailable,
    ];
    scopes.into_iter().map(|scope| Input::Endpoints {
        scope,
        nodes: Vec::new(),
    })
}

/// An update of each shared limit.
fn limit_updates() -> impl Iterator<Item = Input> {
    let limits = [
        SharedLimit::Volume(VolumeId(0x1f)),
        SharedLimit::Retries,
        SharedLimit::WarmingUpNode,
        SharedLimit::InFlightPerNode,
    ];
    limits.into_iter().map(|limit| {
        Input::FleetUpdate(FleetUpdate::SharedLimit {
            limit,
            rate: 2.5,
            burst: 4.0,
            at: 0,
        })
    })
}

/// The ejection of a server for no class, for one and for all.
fn ejections() -> impl Iterator<Item = Input> {
    let classes = [ClassSet::NONE, ClassSet::NONE.with(1), ClassSet::ALL];
    classes.into_iter().map(|classes| {
        Input::FleetUpdate(FleetUpdate::Ejection {
            node: NODE,
            classes,
        })
    })
}

/// Events go to standard error, so a child process of this test writes them.
#[test]
fn trace_event_vocabulary() {
    if std::env::var_os(TRACE_WRITER_VARIABLE).is_some() {
        return write_trace();
    }
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args(["--exact", WRITER_TEST, "--nocapture"]);
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
