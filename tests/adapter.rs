//! The adapter as its users run it: standard output has replies only, and a malformed line ends it
//! with one message.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// A batch without events, and the reply to it.
const EMPTY_BATCH: &str = "{\"Moment\":1,\"events\":[]}\n";
const EMPTY_REPLY: &str = "{\"do\":[]}\n";

fn run(input: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_tulipbridge-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    adapter
        .stdin
        .take()
        .expect("a pipe")
        .write_all(input.as_bytes())
        .expect("it reads");
    adapter.wait_with_output().expect("it ends")
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    let output = run(EMPTY_BATCH);
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), EMPTY_REPLY);
    assert!(output.stderr.is_empty());
}

#[test]
fn malformed_line_ends_the_adapter_with_one_message_that_has_its_number() {
    let lines = [
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
    for line in lines {
        let output = run(&format!("{EMPTY_BATCH}{line}\n"));
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{line}");
        assert_eq!(message.lines().count(), 1, "{line}: {message}");
        assert!(message.contains("line 2"), "{line}: {message}");
        assert!(!message.contains("panicked"), "{line}: {message}");
        assert_eq!(
            String::from_utf8_lossy(&output.stdout),
            EMPTY_REPLY,
            "{line}: only complete replies"
        );
    }
}
