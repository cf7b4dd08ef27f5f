//! Many uploads through two fronts that share no state: every request gets one final answer, and
//! every upload is stored once, however often and through whichever front it is completed. The toy
//! servers are the chunk servers; `cargo test` builds them, a run of this file alone does not.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Objects that are uploaded, each by a client of its own.
const UPLOADS: usize = 12;
/// Parts of each upload.
const PARTS: u32 = 3;
/// How often a client sends a request that is rejected.
const MAX_ATTEMPTS: usize = 20;
/// Pause before a rejected request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest time that a front may take for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Addresses of the chunk servers in the configuration under deploy/.
const CONFIGURED_SERVERS: [&str; 2] = ["127.0.0.1:7101", "127.0.0.1:7102"];

/// How often each path was stored.
type StoreCounts = Arc<Mutex<HashMap<String, usize>>>;

/// A process that ends with its test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        ignore_ended_process(self.0.kill());
        self.0.wait().expect("it ends");
    }
}

/// Ignores that a process that a test kills has ended already.
fn ignore_ended_process(_result: std::io::Result<()>) {}

#[derive(Debug, PartialEq)]
struct Response {
    status: u16,
    body: String,
}

/// The address at the end of the first line of a process.
fn read_address(lines: &mut impl BufRead) -> SocketAddr {
    let mut line = String::new();
    lines.read_line(&mut line).expect("its output is readable");
    line.trim()
        .rsplit(' ')
        .next()
        .and_then(|address| address.parse().ok())
        .expect("it listens")
}

/// Sends a request on a connection of its own and reads its one response.
fn send(front: SocketAddr, method: &str, path: &str, body: &str) -> Response {
    let mut stream = TcpStream::connect(front).expect("it accepts connections");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("settable");
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream
        .write_all(format!("{head}{body}").as_bytes())
        .expect("written");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("a complete response");
    assert_eq!(
        response.matches("HTTP/1.1 ").count(),
        1,
        "one final answer: {response}"
    );
    let status = response
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .expect("a status");
    let body = response
        .split_once("\r\n\r\n")
        .map_or("", |(_, body)| body)
        .to_owned();
    Response { status, body }
}

/// Sends a request until it is not rejected.
fn send_with_retries(front: SocketAddr, method: &str, path: &str, body: &str) -> Response {
    for _ in 0..MAX_ATTEMPTS {
        let response = send(front, method, path, body);
        if response.status != 503 {
            return response;
        }
        std::thread::sleep(RETRY_DELAY);
    }
    panic!(
        "{method} {path} is always rejected: {:?}",
        send(front, method, path, body)
    )
}

/// Starts a chunk server that counts what it stores in `counts`.
fn start_server(program: &Path, counts: StoreCounts) -> (Process, SocketAddr) {
    let mut server = Command::new(program);
    let mut server = server
        .arg("127.0.0.1:0")
        .stdout(Stdio::piped())
        .spawn()
        .expect("the chunk server starts");
    let mut output = BufReader::new(server.stdout.take().expect("a pipe"));
    let address = read_address(&mut output);
    std::thread::spawn(move || {
        for line in output.lines().map_while(Result::ok) {
            if let Some(path) = line.strip_prefix("stored ") {
                *counts
                    .lock()
                    .expect("counts")
                    .entry(path.to_owned())
                    .or_default() += 1;
            }
        }
    });
    (Process(server), address)
}

/// Starts an object front.
fn start_front(config: &Path) -> (Process, SocketAddr) {
    let mut front = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
    let mut front = front
        .arg("object")
        .arg(config)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the front starts");
    let mut log = BufReader::new(front.stderr.take().expect("a pipe"));
    let address = read_address(&mut log);
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    (Process(front), address)
}

/// The toy server, which cargo builds beside the tests.
fn toy_server() -> PathBuf {
    let test = std::env::current_exe().expect("a path");
    test.parent()
        .and_then(Path::parent)
        .expect("a folder")
        .join("examples/toy_server")
}

/// Uploads an object in parts through both fronts, and completes it through both at once.
fn upload_and_complete(number: usize, first: SocketAddr, second: SocketAddr) {
    let path = format!("/fotografias/{number}");
    let created = send_with_retries(first, "POST", &format!("{path}?uploads"), "");
    assert_eq!(created.status, 200, "{}", created.body);
    let id = created
        .body
        .split("<UploadId>")
        .nth(1)
        .and_then(|rest| rest.split('<').next());
    let id = id.expect("an upload id");
    let mut list = String::new();
    for part in 1..=PARTS {
        let front = if part % 2 == 0 { first } else { second };
        let target = format!("{path}?partNumber={part}&uploadId={id}");
        let stored = send_with_retries(front, "PUT", &target, "part;");
        assert_eq!(stored.status, 200, "{}", stored.body);
        list += &format!("<Part><PartNumber>{part}</PartNumber></Part>");
    }
    let list = format!("<CompleteMultipartUpload>{list}</CompleteMultipartUpload>");
    let target = format!("{path}?uploadId={id}");
    let completions = [first, second, first].map(|front| {
        let target = target.clone();
        let list = list.clone();
        std::thread::spawn(move || send_with_retries(front, "POST", &target, &list))
    });
    let completions = completions.map(|completion| completion.join().expect("a response"));
    let is_complete =
        |response: &Response| response.status == 200 && response.body.contains("<ETag>");
    assert!(completions.iter().all(is_complete), "{completions:?}");
    let read = send_with_retries(second, "GET", &path, "");
    assert_eq!(
        read,
        Response {
            status: 200,
            body: "part;part;part;".to_owned()
        }
    );
}

#[test]
fn every_request_is_answered_once_and_every_upload_is_stored_once() {
    let mut config = include_str!("../deploy/object.json").replace("127.0.0.1:9000", "127.0.0.1:0");
    let counts = StoreCounts::default();
    let mut processes = Vec::new();
    for configured in CONFIGURED_SERVERS {
        let (server, address) = start_server(&toy_server(), Arc::clone(&counts));
        config = config.replace(configured, &address.to_string());
        processes.push(server);
    }
    let file =
        std::env::temp_dir().join(format!("tulipbridge-uploads-{}.json", std::process::id()));
    std::fs::write(&file, config).expect("written");
    let fronts = [(); 2].map(|()| {
        let (front, address) = start_front(&file);
        processes.push(front);
        address
    });
    let [first, second] = fronts;
    let clients: Vec<JoinHandle<()>> = (0..UPLOADS)
        .map(|number| std::thread::spawn(move || upload_and_complete(number, first, second)))
        .collect();
    let failed = clients
        .into_iter()
        .filter_map(|client| client.join().err())
        .count();
    std::fs::remove_file(file).expect("the file is there");
    assert_eq!(failed, 0, "clients with an unexpected response");
    let counts = counts.lock().expect("counts");
    assert_eq!(counts.len(), UPLOADS);
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}
