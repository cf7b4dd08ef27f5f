//! The agent and its command line, run as processes. Where fronts are declared in etcd, the test
//! acts as etcd.

#[path = "agent/etcd.rs"]
mod etcd;
#[path = "agent/running.rs"]
mod running;

use std::process::Command;

use etcd::{encode, key_value, FakeEtcd};
use running::{
    declarations_path, declare_front, drained, is_running, ready, send_signal, write_declarations,
    RunningAgent,
};

#[test]
fn fronts_declared_in_a_file_are_started_drained_restarted_and_stopped() {
    let mut a = String::new();
    let mut b = String::new();
    let mut agent = RunningAgent::start("file", |folder| {
        (a, b) = (declare_front(folder, "a"), declare_front(folder, "b"));
        write_declarations(folder, &[("a", &a), ("b", &b)]);
        vec![
            "--file".into(),
            declarations_path(folder).display().to_string(),
        ]
    });
    let pids = agent.wait_for_fronts(&[ready("a", 1, 0), ready("b", 1, 0)]);
    // A front that crashes is restarted; the other one is not.
    send_signal(&pids[0], "-KILL");
    assert_eq!(
        agent.wait_for_fronts(&[ready("a", 2, 1), ready("b", 1, 0)])[1],
        pids[1]
    );
    agent.run_successfully(&["drain", "a"]);
    agent.wait_for_fronts(&[drained("a", 2, 1), ready("b", 1, 0)]);
    // Without names, all fronts that are not drained are restarted.
    agent.run_successfully(&["restart"]);
    agent.wait_for_fronts(&[drained("a", 2, 1), ready("b", 2, 0)]);
    agent.run_successfully(&["resume", "a"]);
    agent.run_successfully(&["restart", "a"]);
    agent.wait_for_fronts(&[ready("a", 4, 1), ready("b", 2, 0)]);
    let unknown = agent.run(&["drain", "c"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert_eq!(
        String::from_utf8_lossy(&unknown.stderr),
        "tulipbridge: no such front: c\n"
    );
    // An invalid declaration leaves its front as it is; a front that is no longer declared is
    // stopped.
    write_declarations(&agent.folder, &[("a", "{\"kind\":\"other\"}")]);
    agent.wait_for_fronts(&[ready("a", 4, 1)]);
    let pid = agent.wait_for_fronts(&[ready("a", 4, 1)]).remove(0);
    agent.stop();
    assert!(!is_running(&pid), "the agent's fronts end with it");
}

/// Answers the two pages of the first list, which name the front `a` with its declaration. Both are
/// read at the revision of the first.
fn respond_to_the_paged_list(etcd: &FakeEtcd, declaration: &str) {
    let call = etcd.accept();
    let range = [
        encode("/tulipbridge/fronts/"),
        encode("/tulipbridge/fronts0"),
    ];
    call.assert_request(
        "/v3/kv/range",
        &["\"revision\":\"0\"", &range[0], &range[1]],
    );
    let pair = key_value("a", declaration);
    call.respond(&format!(
        r#"{{"header":{{"revision":"7"}},"kvs":[{pair}],"more":true,"count":"2"}}"#
    ));
    let call = etcd.accept();
    call.assert_request(
        "/v3/kv/range",
        &["\"revision\":\"7\"", &encode("/tulipbridge/fronts/a\0")],
    );
    call.respond(r#"{"header":{"revision":"9"},"count":"2"}"#);
}

#[test]
fn fronts_declared_in_etcd_follow_the_list_the_watch_and_a_compaction() {
    let etcd = FakeEtcd::start();
    let mut a = String::new();
    let mut b = String::new();
    let agent = RunningAgent::start("etcd", |folder| {
        (a, b) = (declare_front(folder, "a"), declare_front(folder, "b"));
        vec!["--etcd".into(), etcd.address().to_string()]
    });
    respond_to_the_paged_list(&etcd, &a);
    let mut watch = etcd.accept();
    watch.assert_request("/v3/watch", &["\"start_revision\":\"8\""]);
    watch.begin_stream();
    agent.wait_for_fronts(&[ready("a", 1, 0)]);
    watch.send_message(r#"{"result":{"header":{"revision":"7"},"created":true}}"#);
    let put = key_value("b", &b);
    watch.send_message(&format!(
        r#"{{"result":{{"header":{{"revision":"8"}},"events":[{{"kv":{put}}}]}}}}"#
    ));
    agent.wait_for_fronts(&[ready("a", 1, 0), ready("b", 1, 0)]);
    let deleted = key_value("a", "");
    watch.send_message(&format!(
        r#"{{"result":{{"header":{{"revision":"9"}},"events":[{{"type":"DELETE","kv":{deleted}}}]}}}}"#
    ));
    agent.wait_for_fronts(&[ready("b", 1, 0)]);
    // A compaction ends the watch. The list shows what was missed; fronts that are still declared
    // are not restarted.
    watch.send_message(
        r#"{"result":{"header":{"revision":"20"},"canceled":true,"compact_revision":"15"}}"#,
    );
    let call = etcd.accept();
    call.assert_request("/v3/kv/range", &["\"revision\":\"0\""]);
    let pairs = [key_value("a", &a), key_value("b", &b)].join(",");
    call.respond(&format!(
        r#"{{"header":{{"revision":"20"}},"kvs":[{pairs}],"count":"2"}}"#
    ));
    let watch = etcd.accept();
    watch.assert_request("/v3/watch", &["\"start_revision\":\"21\""]);
    agent.wait_for_fronts(&[ready("a", 1, 0), ready("b", 1, 0)]);
    // Without etcd the fronts keep running, and the agent retries.
    drop(watch);
    let call = etcd.accept();
    call.assert_request("/v3/kv/range", &["\"revision\":\"0\""]);
    agent.wait_for_fronts(&[ready("a", 1, 0), ready("b", 1, 0)]);
}

/// Runs the program, which must exit with code 2. Returns what it writes to standard error.
fn run_to_error(arguments: &[&str], config: Option<&str>) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
    command.args(arguments).env_remove("BALANCER_CONFIG");
    if let Some(config) = config {
        command.env("BALANCER_CONFIG", config);
    }
    let output = command.output().expect("it runs");
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(!message.contains("panicked"), "{message}");
    message
}

#[test]
fn bad_usage_and_bad_configuration_exit_with_2_and_a_message() {
    const NOT_JSON: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/README.md");
    const WITHOUT_SETTINGS: &str =
        concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenario/settings.json");
    let missing_file = run_to_error(&[], Some("/nowhere.json"));
    assert!(missing_file.starts_with("tulipbridge: cannot read /nowhere.json"));
    assert_eq!(
        run_to_error(&[], None),
        "tulipbridge: BALANCER_CONFIG is not set\n"
    );
    assert!(run_to_error(&[], Some(NOT_JSON)).contains("not JSON"));
    assert!(run_to_error(&[], Some(WITHOUT_SETTINGS)).contains("'settings'"));
    assert!(run_to_error(&["object", "/nowhere.json"], None).contains("cannot read"));
    assert!(run_to_error(&["agent"], None).contains("--file"));
    assert!(run_to_error(&["dance"], None).contains("dance"));
}
