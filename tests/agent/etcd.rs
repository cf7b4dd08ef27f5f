//! A fake of etcd's JSON gateway. The test accepts each call and writes its response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;

use crate::running::TEST_TIMEOUT;

/// The prefix of the keys.
pub const PREFIX: &str = "/tulipbridge/fronts/";

/// The listener of the fake.
pub struct FakeEtcd(TcpListener);

impl FakeEtcd {
    pub fn start() -> FakeEtcd {
        FakeEtcd(TcpListener::bind("127.0.0.1:0").expect("a free port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("bound")
    }

    /// The next call.
    pub fn accept(&self) -> EtcdCall {
        self.0.set_nonblocking(true).expect("settable");
        let until = Instant::now() + TEST_TIMEOUT;
        let stream = loop {
            if let Ok((stream, _)) = self.0.accept() {
                break stream;
            }
            assert!(Instant::now() < until, "no call came");
            std::thread::sleep(Duration::from_millis(1));
        };
        stream.set_nonblocking(false).expect("settable");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("settable");
        EtcdCall::read(stream)
    }
}

/// A call to the fake, as received.
pub struct EtcdCall {
    stream: TcpStream,
    path: String,
    body: String,
}

impl EtcdCall {
    fn read(mut stream: TcpStream) -> EtcdCall {
        let mut received = Vec::new();
        loop {
            let mut buffer = [0; 4096];
            let count = stream.read(&mut buffer).expect("a request");
            received.extend_from_slice(&buffer[..count]);
            let text = String::from_utf8_lossy(&received).into_owned();
            let Some((head, body)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            if body.len() >= content_length(head) {
                let path = head.split(' ').nth(1).expect("a path").to_owned();
                return EtcdCall {
                    stream,
                    path,
                    body: body.to_owned(),
                };
            }
        }
    }

    /// Checks the path of the call, and that its body contains all these fields.
    pub fn assert_request(&self, path: &str, fields: &[&str]) {
        assert_eq!(self.path, path);
        assert!(
            fields.iter().all(|field| self.body.contains(field)),
            "{fields:?} in {}",
            self.body
        );
    }

    /// Sends a whole response.
    pub fn respond(mut self, body: &str) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(head.as_bytes()).expect("written");
    }

    /// Begins a response that is a stream of messages.
    pub fn begin_stream(&mut self) {
        self.stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .expect("written");
    }

    /// Sends a message of the stream, on a line of its own.
    pub fn send_message(&mut self, message: &str) {
        let chunk = format!("{:x}\r\n{message}\n\r\n", message.len() + 1);
        self.stream.write_all(chunk.as_bytes()).expect("written");
    }
}

fn content_length(head: &str) -> usize {
    let lengths = head.lines().find_map(|line| {
        let line = line.to_lowercase();
        line.strip_prefix("content-length: ")?.parse().ok()
    });
    lengths.unwrap_or(0)
}

/// A key in base64, as the gateway has it.
pub fn encode(key: &str) -> String {
    STANDARD.encode(key)
}

/// The key of a front with its declaration, as the gateway has it.
pub fn key_value(name: &str, declaration: &str) -> String {
    let key = encode(&format!("{PREFIX}{name}"));
    format!(
        r#"{{"key":"{key}","value":"{}","mod_revision":"4"}}"#,
        encode(declaration)
    )
}
