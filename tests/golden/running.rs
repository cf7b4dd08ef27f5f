//! A running front: its log, its console, and helpers for the servers that the test plays.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use crate::program::{ignore_cleanup_error, TIMEOUT};

/// A running front.
pub struct Front {
    child: Child,
    log: Receiver<String>,
    /// The lines of its log so far.
    pub log_lines: Vec<String>,
    pub clients: SocketAddr,
    pub console: SocketAddr,
}

impl Front {
    /// Starts a front and waits until it has both its sockets.
    pub fn start(mut command: Command) -> Front {
        let mut child = command
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let pipe = BufReader::new(child.stderr.take().expect("a pipe"));
        let (sender, log) = channel();
        std::thread::spawn(move || {
            pipe.lines()
                .map_while(Result::ok)
                .try_for_each(|line| sender.send(line))
        });
        let unknown: SocketAddr = ([0, 0, 0, 0], 0).into();
        let mut front = Front {
            child,
            log,
            log_lines: Vec::new(),
            clients: unknown,
            console: unknown,
        };
        front.clients = address(&front.wait_for_line("listening on "));
        front.console = address(&front.wait_for_line("console on "));
        front
    }

    /// Waits until a line of the log, old or new, contains this text, and returns the line.
    pub fn wait_for_line(&mut self, text: &str) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(line) = self.log_lines.iter().find(|line| line.contains(text)) {
                return line.clone();
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left);
            let line =
                line.unwrap_or_else(|_| panic!("no line with {text} in {:#?}", self.log_lines));
            self.log_lines.push(line);
        }
    }

    /// Sends a request to the console.
    pub fn request(&self, method: &str, path: &str) -> Answer {
        let mut stream = TcpStream::connect(self.console).expect("the console takes connections");
        let head = format!("{method} {path} HTTP/1.1\r\nHost: t\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("sent");
        read_answer(stream)
    }

    /// Waits until the metrics contain all of these texts.
    pub fn wait_for_metrics(&self, texts: &[&str]) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let metrics = self.request("GET", "/status/metrics").body;
            if texts.iter().all(|text| metrics.contains(text)) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "not all of {texts:?} are in {metrics}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends SIGTERM, waits for the exit, and reads the rest of the log. Returns the exit code.
    pub fn terminate(&mut self) -> Option<i32> {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .expect("kill")
            .success());
        let code = self.child.wait().expect("it ends").code();
        self.log_lines.extend(self.log.iter());
        code
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        ignore_cleanup_error(self.child.kill());
        self.child.wait().expect("it ends");
    }
}

/// An HTTP response.
pub struct Answer {
    /// Its status line.
    pub status: String,
    /// Its content type, empty where there is none.
    pub content_type: String,
    pub body: String,
}

/// Reads a response that ends with its connection.
fn read_answer(mut stream: TcpStream) -> Answer {
    stream.set_read_timeout(Some(TIMEOUT)).expect("settable");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("an answer");
    let text = String::from_utf8(bytes).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let mut lines = head.lines();
    let status = lines.next().unwrap_or_default().to_owned();
    let content_type = lines.filter_map(|line| line.split_once(": "));
    let content_type = content_type.filter(|(name, _)| name.eq_ignore_ascii_case("content-type"));
    let content_type = content_type
        .map(|(_, value)| value.to_owned())
        .next()
        .unwrap_or_default();
    Answer {
        status,
        content_type,
        body: body.to_owned(),
    }
}

/// The address at the end of a line.
fn address(line: &str) -> SocketAddr {
    let address = line
        .trim()
        .rsplit(' ')
        .next()
        .and_then(|address| address.parse().ok());
    address.unwrap_or_else(|| panic!("no address: {line}"))
}

/// A listening socket on a port that the system chooses.
pub fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Waits for the next connection.
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("settable");
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("settable");
                stream.set_read_timeout(Some(TIMEOUT)).expect("settable");
                return stream;
            }
            Err(error) => {
                assert!(
                    error.kind() == ErrorKind::WouldBlock && Instant::now() < deadline,
                    "{error}"
                )
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Reads a request or response head that no body follows.
pub fn read_head(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a whole head");
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).expect("text")
}
