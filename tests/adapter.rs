//! The adapter as its users run it: replies only on standard output, plain messages on what is malformed.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tulipbridge-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("it reads");
    child.wait_with_output().expect("it ends")
}

const EMPTY: &str = "{\"Moment\":1,\"events\":[]}\n";

#[test]
fn an_empty_batch_and_the_end_of_input() {
    let out = run(EMPTY);
    assert!(out.status.success());
    assert_eq!(String::from_utf8_lossy(&out.stdout), "{\"do\":[]}\n");
    assert!(out.stderr.is_empty());
}

#[test]
fn malformed_lines_give_one_plain_line_with_their_number() {
    let bad = [
        "{\"Moment\":2,\"events\":[",
        "[]",
        "{\"events\":[]}",
        "{\"Moment\":\"x\",\"events\":[]}",
        "{\"Moment\":2,\"events\":7}",
        "{\"Moment\":2,\"events\":[{}]}",
        "{\"Moment\":2,\"events\":[[\"TimeoutFired\",9,1]]}",
        "{\"Moment\":2,\"events\":[[\"Start\",1,5,null]]}",
        "{\"Moment\":2,\"events\":[[\"Start\",1,5,{\"Services\":[]}]]}",
        "{\"Moment\":2,\"events\":[[\"Start\",1,5,{\"Services\":[],\"Grades\":[],\"FailureDomains\":[]}]]}",
    ];
    for line in bad {
        let out = run(&format!("{EMPTY}{line}\n"));
        let said = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{line}");
        assert_eq!(said.lines().count(), 1, "{line}: {said}");
        assert!(said.contains("line 2"), "{line}: {said}");
        assert!(!said.contains("panicked"), "{line}: {said}");
        assert_eq!(String::from_utf8_lossy(&out.stdout), "{\"do\":[]}\n", "{line}: only whole replies");
    }
}
