//! Counts over many uploads through two fronts that share nothing: one final answer for each request, and one
//! stored record for each upload, however often and from wherever it is completed. The toy servers are the nodes;
//! `cargo test` builds them, a run of this file alone does not.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const UPLOADS: usize = 12;

struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The address at the end of a program's first line.
fn address(lines: &mut impl BufRead) -> SocketAddr {
    let mut line = String::new();
    lines.read_line(&mut line).expect("it speaks");
    line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).expect("it listens")
}

/// One request on a connection of its own: status and body of its one answer.
fn ask(at: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(at).expect("it takes connections");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("settable");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("a whole answer");
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "one final answer: {answer}");
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    (status, answer.split_once("\r\n\r\n").map_or(String::new(), |(_, body)| body.to_owned()))
}

/// The same until it is not refused, as a client does that is told to come back.
fn insist(at: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    (0..20)
        .map(|_| ask(at, method, path, body))
        .find(|(status, _)| {
            *status != 503 || {
                std::thread::sleep(Duration::from_millis(300));
                false
            }
        })
        .unwrap_or_else(|| panic!("{method} {path} is refused for ever: {:?}", ask(at, method, path, body)))
}

#[test]
fn every_request_is_answered_once_and_every_upload_is_stored_once() {
    let folder = std::env::current_exe().expect("a path");
    let toy = folder.parent().and_then(|d| d.parent()).expect("a folder").join("examples/toy_server");
    let mut config = include_str!("../deploy/object.json").replace("127.0.0.1:9000", "127.0.0.1:0");
    let stored = Arc::new(Mutex::new(HashMap::<String, usize>::new()));
    let mut programs = Vec::new();
    for known in ["127.0.0.1:7101", "127.0.0.1:7102"] {
        let mut node =
            Command::new(&toy).arg("127.0.0.1:0").stdout(Stdio::piped()).spawn().expect("the node starts");
        let mut lines = BufReader::new(node.stdout.take().expect("a pipe"));
        let at = address(&mut lines);
        config = config.replace(known, &at.to_string());
        programs.push(Program(node));
        let stored = Arc::clone(&stored);
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                if let Some(path) = line.strip_prefix("stored ") {
                    *stored.lock().expect("counts").entry(path.to_owned()).or_default() += 1;
                }
            }
        });
    }
    let file = std::env::temp_dir().join(format!("tulipbridge-uploads-{}.json", std::process::id()));
    std::fs::write(&file, config).expect("written");
    let mut fronts = Vec::new();
    for _ in 0..2 {
        let mut front = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
        let mut front =
            front.arg("object").arg(&file).stderr(Stdio::piped()).spawn().expect("the front starts");
        let mut log = BufReader::new(front.stderr.take().expect("a pipe"));
        fronts.push(address(&mut log));
        programs.push(Program(front));
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    }
    let (one, other) = (fronts[0], fronts[1]);
    let clients: Vec<_> = (0..UPLOADS)
        .map(|n| {
            std::thread::spawn(move || {
                let path = format!("/fotografias/{n}");
                let (status, opened) = insist(one, "POST", &format!("{path}?uploads"), "");
                assert_eq!(status, 200, "{opened}");
                let id = opened.split("<UploadId>").nth(1).and_then(|s| s.split('<').next()).expect("an id");
                let mut list = String::new();
                for part in 1..=3 {
                    let to = if part % 2 == 0 { one } else { other };
                    let (status, told) =
                        insist(to, "PUT", &format!("{path}?partNumber={part}&uploadId={id}"), "part;");
                    assert_eq!(status, 200, "{told}");
                    list += &format!("<Part><PartNumber>{part}</PartNumber></Part>");
                }
                let list = format!("<CompleteMultipartUpload>{list}</CompleteMultipartUpload>");
                let target = format!("{path}?uploadId={id}");
                let ends: Vec<_> = [one, other, one]
                    .map(|front| {
                        let (target, list) = (target.clone(), list.clone());
                        std::thread::spawn(move || insist(front, "POST", &target, &list))
                    })
                    .into_iter()
                    .map(|end| end.join().expect("an end"))
                    .collect();
                assert!(
                    ends.iter().all(|(status, told)| *status == 200 && told.contains("<ETag>")),
                    "{ends:?}"
                );
                assert_eq!(insist(other, "GET", &path, ""), (200, "part;part;part;".to_owned()));
            })
        })
        .collect();
    let failed = clients.into_iter().filter_map(|client| client.join().err()).count();
    let _ = std::fs::remove_file(file);
    assert_eq!(failed, 0, "clients that saw what they should not");
    let stored = stored.lock().expect("counts");
    assert_eq!(stored.len(), UPLOADS);
    assert!(stored.values().all(|count| *count == 1), "{stored:?}");
}
