//! The agent and the command line as their users meet them, with a stand-in etcd that the test plays.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const SETTINGS: &str = include_str!("scenario/settings.json");
const LONG: Duration = Duration::from_secs(20);

struct Rig {
    agent: Child,
    control: SocketAddr,
    folder: PathBuf,
}

impl Rig {
    fn new(name: &str, arguments: impl FnOnce(&PathBuf) -> Vec<String>) -> Rig {
        let folder = std::env::temp_dir().join(format!("tulipbridge-agent-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
        command.args(["agent", "--control", "127.0.0.1:0"]).args(arguments(&folder));
        let mut agent =
            command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the agent starts");
        let mut log = BufReader::new(agent.stderr.take().expect("a pipe"));
        let mut line = String::new();
        log.read_line(&mut line).expect("it speaks");
        let control = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).expect("it listens");
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Rig { agent, control, folder }
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
        command.args(arguments).args(["--agent", &self.control.to_string()]).output().expect("it runs")
    }

    /// The status table, once it shows all of this: rows by name with state, starts and crashes.
    fn shows(&self, expected: &[(&str, &str, &str, &str)]) -> Vec<String> {
        let until = Instant::now() + LONG;
        loop {
            let out = String::from_utf8(self.run(&["status"]).stdout).expect("text");
            let rows: Vec<Vec<&str>> = out.lines().skip(1).map(|l| l.split_whitespace().collect()).collect();
            let seen: Vec<_> = rows.iter().map(|r| (r[0], r[1], r[3], r[4])).collect();
            if seen == expected {
                return rows.iter().map(|r| r[2].to_owned()).collect();
            }
            assert!(Instant::now() < until, "expected {expected:?}, saw {out}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        // An agent that is killed leaves its fronts behind, and a failed test must not.
        let _ = Command::new("kill").args(["-TERM", &self.agent.id().to_string()]).status();
        let until = Instant::now() + LONG;
        while matches!(self.agent.try_wait(), Ok(None)) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = self.agent.kill();
        let _ = self.agent.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A front's configuration with a port that was free a moment ago.
fn front(folder: &std::path::Path, name: &str) -> String {
    let free = TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("bound");
    let path = folder.join(format!("{name}.json"));
    let config = format!(
        r#"{{"listen":"{free}","seed":"1","known":{{"generation":0,"instances":[]}},"settings":{SETTINGS}}}"#
    );
    std::fs::write(&path, config).expect("written");
    format!(r#"{{"kind":"platform","config":"{}"}}"#, path.display())
}

fn signal(pid: &str, which: &str) {
    assert!(Command::new("kill").args([which, pid]).status().expect("kill").success());
}

#[test]
fn fronts_in_a_file_are_kept_drained_restarted_and_stopped() {
    let declare = |folder: &PathBuf, fronts: &[(&str, &str)]| {
        let fronts: Vec<String> = fronts.iter().map(|(n, f)| format!("\"{n}\":{f}")).collect();
        std::fs::write(folder.join("new"), format!("{{\"fronts\":{{{}}}}}", fronts.join(",")))
            .expect("written");
        std::fs::rename(folder.join("new"), folder.join("fronts.json")).expect("renamed");
    };
    let (mut a, mut b) = (String::new(), String::new());
    let mut rig = Rig::new("file", |folder| {
        (a, b) = (front(folder, "a"), front(folder, "b"));
        declare(folder, &[("a", &a), ("b", &b)]);
        vec!["--file".into(), folder.join("fronts.json").display().to_string()]
    });
    let pids = rig.shows(&[("a", "ready", "1", "0"), ("b", "ready", "1", "0")]);
    // A crash is started again, the other goes on.
    signal(&pids[0], "-KILL");
    assert_eq!(rig.shows(&[("a", "ready", "2", "1"), ("b", "ready", "1", "0")])[1], pids[1]);
    assert!(rig.run(&["drain", "a"]).status.success());
    rig.shows(&[("a", "drained", "2", "1"), ("b", "ready", "1", "0")]);
    // All but what is drained.
    assert!(rig.run(&["restart"]).status.success());
    rig.shows(&[("a", "drained", "2", "1"), ("b", "ready", "2", "0")]);
    assert!(rig.run(&["resume", "a"]).status.success());
    assert!(rig.run(&["restart", "a"]).status.success());
    rig.shows(&[("a", "ready", "4", "1"), ("b", "ready", "2", "0")]);
    let unknown = rig.run(&["drain", "c"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert_eq!(String::from_utf8_lossy(&unknown.stderr), "tulipbridge: no such front: c\n");
    // What cannot hold leaves its front as it is; what is no longer declared is stopped.
    declare(&rig.folder, &[("a", "{\"kind\":\"other\"}")]);
    rig.shows(&[("a", "ready", "4", "1")]);
    let pid = rig.shows(&[("a", "ready", "4", "1")]).remove(0);
    signal(&rig.agent.id().to_string(), "-TERM");
    assert!(rig.agent.wait().expect("it ends").success());
    assert!(
        !Command::new("kill").args(["-0", &pid]).output().expect("kill").status.success(),
        "its fronts too"
    );
}

/// One call to the stand-in: path and body; the answer is written by the test.
struct Call {
    stream: TcpStream,
    path: String,
    body: String,
}

fn accept(etcd: &TcpListener) -> Call {
    etcd.set_nonblocking(true).expect("settable");
    let until = Instant::now() + LONG;
    let mut stream = loop {
        if let Ok((stream, _)) = etcd.accept() {
            break stream;
        }
        assert!(Instant::now() < until, "no call came");
        std::thread::sleep(Duration::from_millis(1));
    };
    stream.set_nonblocking(false).expect("settable");
    stream.set_read_timeout(Some(LONG)).expect("settable");
    let mut bytes = Vec::new();
    loop {
        let mut more = [0; 4096];
        let count = stream.read(&mut more).expect("a request");
        bytes.extend_from_slice(&more[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length =
            head.lines().find_map(|l| l.to_lowercase().strip_prefix("content-length: ")?.parse().ok());
        if body.len() >= length.unwrap_or(0) {
            let path = head.split(' ').nth(1).expect("a path").to_owned();
            return Call { stream, path, body: body.to_owned() };
        }
    }
}

impl Call {
    fn whole(mut self, body: &str) {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(head.as_bytes()).expect("written");
    }

    fn begin(&mut self) {
        self.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("written");
    }

    fn line(&mut self, line: &str) {
        self.stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).expect("written");
    }

    fn asks(&self, path: &str, fields: &[&str]) {
        assert_eq!(self.path, path);
        assert!(fields.iter().all(|f| self.body.contains(f)), "{fields:?} in {}", self.body);
    }
}

#[test]
fn fronts_in_etcd_follow_the_list_the_watch_and_a_compaction() {
    use base64::{engine::general_purpose::STANDARD, Engine};
    let pair = |name: &str, front: &str| {
        let key = STANDARD.encode(format!("/tulipbridge/fronts/{name}"));
        format!(r#"{{"key":"{key}","value":"{}","mod_revision":"4"}}"#, STANDARD.encode(front))
    };
    let etcd = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (mut a, mut b) = (String::new(), String::new());
    let rig = Rig::new("etcd", |folder| {
        (a, b) = (front(folder, "a"), front(folder, "b"));
        vec!["--etcd".into(), etcd.local_addr().expect("bound").to_string()]
    });
    // The list comes in pages of one revision, though the first is told by the answer.
    let call = accept(&etcd);
    call.asks(
        "/v3/kv/range",
        &[
            "\"revision\":\"0\"",
            &STANDARD.encode("/tulipbridge/fronts/"),
            &STANDARD.encode("/tulipbridge/fronts0"),
        ],
    );
    call.whole(&format!(
        r#"{{"header":{{"revision":"7"}},"kvs":[{}],"more":true,"count":"2"}}"#,
        pair("a", &a)
    ));
    let call = accept(&etcd);
    call.asks("/v3/kv/range", &["\"revision\":\"7\"", &STANDARD.encode("/tulipbridge/fronts/a\0")]);
    call.whole(r#"{"header":{"revision":"9"},"count":"2"}"#);
    let mut watch = accept(&etcd);
    watch.asks("/v3/watch", &["\"start_revision\":\"8\""]);
    watch.begin();
    rig.shows(&[("a", "ready", "1", "0")]);
    watch.line(r#"{"result":{"header":{"revision":"7"},"created":true}}"#);
    let put = pair("b", &b);
    watch.line(&format!(r#"{{"result":{{"header":{{"revision":"8"}},"events":[{{"kv":{put}}}]}}}}"#));
    rig.shows(&[("a", "ready", "1", "0"), ("b", "ready", "1", "0")]);
    let gone = pair("a", "");
    watch.line(&format!(
        r#"{{"result":{{"header":{{"revision":"9"}},"events":[{{"type":"DELETE","kv":{gone}}}]}}}}"#
    ));
    rig.shows(&[("b", "ready", "1", "0")]);
    // A compaction ends the watch; the list tells what was missed, and what is kept is not restarted.
    watch.line(r#"{"result":{"header":{"revision":"20"},"canceled":true,"compact_revision":"15"}}"#);
    let call = accept(&etcd);
    call.asks("/v3/kv/range", &["\"revision\":\"0\""]);
    call.whole(&format!(
        r#"{{"header":{{"revision":"20"}},"kvs":[{},{}],"count":"2"}}"#,
        pair("a", &a),
        pair("b", &b)
    ));
    let watch = accept(&etcd);
    watch.asks("/v3/watch", &["\"start_revision\":\"21\""]);
    rig.shows(&[("a", "ready", "1", "0"), ("b", "ready", "1", "0")]);
    // Etcd is gone: the fronts stay, and it is asked again.
    drop(watch);
    let call = accept(&etcd);
    call.asks("/v3/kv/range", &["\"revision\":\"0\""]);
    rig.shows(&[("a", "ready", "1", "0"), ("b", "ready", "1", "0")]);
}

#[test]
fn bad_usage_and_bad_configuration_end_with_2_and_a_plain_message() {
    let run = |arguments: &[&str], config: Option<&str>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
        command.args(arguments).env_remove("BALANCER_CONFIG");
        if let Some(config) = config {
            command.env("BALANCER_CONFIG", config);
        }
        let out = command.output().expect("it runs");
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{said}");
        assert!(!said.contains("panicked"), "{said}");
        said
    };
    assert_eq!(run(&[], None), "tulipbridge: BALANCER_CONFIG is not set\n");
    assert!(run(&[], Some("/nowhere.json")).starts_with("tulipbridge: cannot read /nowhere.json"));
    assert!(run(&[], Some(concat!(env!("CARGO_MANIFEST_DIR"), "/README.md"))).contains("not JSON"));
    assert!(run(&[], Some(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenario/settings.json")))
        .contains("'settings'"));
    assert!(run(&["object", "/nowhere.json"], None).contains("cannot read"));
    assert!(run(&["agent"], None).contains("--file"));
    assert!(run(&["dance"], None).contains("dance"));
}
