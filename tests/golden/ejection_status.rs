//! What consoles and commands show of an ejected chunk server.

use std::cell::RefCell;
use std::time::Instant;

use crate::command_line::command_line;
use crate::fleet::{complete_ejection, fleet_with_silent_server, read_json, shape};
use crate::masking::{line_with, up_to};
use crate::program::TIMEOUT;

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
    let verdicts = RefCell::default();
    let peers = RefCell::default();
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
    let verdicts = verdicts.into_inner();
    let peers = peers.into_inner();
    let verdict = complete_ejection(&verdicts).expect("there is one");
    let mut actual = format!("verdict: {}\n", shape(&verdict));
    actual += &format!("median: {}\n", shape(&verdicts["medians"][0]));
    actual += &format!("peer: {}\n", shape(&peers["peers"][0]));
    actual += &format!("belief: {}\n", peers["peers"][0]["belief"]);
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
        actual += &format!("explain: {line}\n");
    }
    let texts = ["EVIDENCE", "heard by ", "this front: "];
    let output = wait_for_output(&["peers", "--console", &console], &texts).await;
    for text in texts {
        let line = line_with(&output, text);
        let line = up_to(up_to(&line, "heard by"), "banks of:");
        actual += &format!("peers: {line}\n");
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
