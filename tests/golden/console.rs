//! The responses of a front's console.

use std::net::UdpSocket;

use crate::masking::without_values;
use crate::program::{edited, front, isolated_front, Folder, FrontKind};
use crate::running::Front;

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
