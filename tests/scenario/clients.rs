//! The clients that a scenario plays.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::connection::{spelled_body, unescape, Connection, Message};
use super::steps::parse_number;
use super::{pause, Front, SLOW_POLL_INTERVAL, STEP_TIMEOUT};

/// Headers of a platform request that a script may replace.
const DEFAULT_HEADERS: [(&str, &str); 5] = [
    ("X-Lane", "form-read"),
    ("X-Plan", "basico"),
    ("Cookie", "block=7f3a9c21e0b4d655"),
    ("X-Remaining", "2000m"),
    ("X-IO", "volume=00000003b4d60021,units=2,shard=0,hosts=1"),
];

struct Client {
    connection: Connection,
    /// Whether the last request was HEAD, whose response has no body.
    sent_head: bool,
}

/// All clients, and how they reach the front.
pub struct Clients {
    front: Front,
    address: SocketAddr,
    by_name: HashMap<String, Client>,
    /// Connections of the `crowd`.
    crowd: Vec<Connection>,
    /// Requests sent so far, from which transaction ids are made.
    requests: u32,
}

impl Clients {
    pub fn new(front: Front, address: SocketAddr) -> Clients {
        Clients {
            front,
            address,
            by_name: HashMap::new(),
            crowd: Vec::new(),
            requests: 0,
        }
    }

    /// Which front the clients speak to.
    pub fn front(&self) -> Front {
        self.front
    }

    /// Lets further clients connect to another process.
    pub fn connect_to(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Whether the front says that it is ready.
    pub fn is_front_ready(&self) -> bool {
        let mut connection = Connection::open(self.address);
        connection.write(b"GET /health/ready HTTP/1.1\r\nHost: t\r\n\r\n");
        connection
            .read_message()
            .is_ok_and(|response| response.start_line.contains("200"))
    }

    /// Connects a client that reads slowly.
    pub fn connect_slowly(&mut self, name: &str) {
        let client = Client {
            connection: Connection::open_slow(self.address),
            sent_head: false,
        };
        self.by_name.insert(name.to_owned(), client);
    }

    /// Sends a request as the script says, on the client's connection or a new one.
    pub fn send(&mut self, name: &str, script: &str) {
        self.requests += 1;
        let request = match script.strip_prefix("raw ") {
            Some(raw) => unescape(raw),
            None => match script.strip_prefix("bytes ") {
                Some(count) => vec![b'x'; parse_number(count)],
                None => self.request(script),
            },
        };
        let address = self.address;
        let connect = || Client {
            connection: Connection::open(address),
            sent_head: false,
        };
        let client = self.by_name.entry(name.to_owned()).or_insert_with(connect);
        client.sent_head = script.starts_with("HEAD");
        client.connection.write(&request);
    }

    /// `METHOD PATH NAME:VALUE .. | BODY`; the headers of the platform are added where the script
    /// has none.
    fn request(&self, script: &str) -> Vec<u8> {
        let (line, body) = script.split_once(" | ").unwrap_or((script, ""));
        let body = spelled_body(body);
        let mut words = line.split(' ');
        let method = words.next().expect("a method");
        let path = words.next().expect("a path");
        let mut headers: Vec<(String, String)> = Vec::new();
        if self.front == Front::Platform {
            headers
                .extend(DEFAULT_HEADERS.map(|(name, value)| (name.to_owned(), value.to_owned())));
            headers.push(("X-Txn".to_owned(), format!("{:016x}", self.requests)));
        }
        for (name, value) in words.filter_map(|word| word.split_once(':')) {
            let (name, value) = match name {
                "shard" => (
                    "X-IO",
                    format!("volume=00000003b4d60021,units=2,shard={value},hosts=1"),
                ),
                _ => (name, value.replace('~', " ")),
            };
            headers.retain(|(present, _)| present != name);
            headers.push((name.to_owned(), value));
        }
        let headers: String = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let is_chunked = headers.contains("Transfer-Encoding");
        let length = match is_chunked {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!("{method} {path} HTTP/1.1\r\nHost: t\r\n{headers}{length}\r\n");
        [head.as_bytes(), &body].concat()
    }

    /// Where the client has been rejected, waits as long as it was told and sends the same request
    /// again.
    pub fn retry_if_rejected(&mut self, name: &str, script: &str) {
        let connection = self.connection(name);
        if !connection.is_readable() {
            return;
        }
        let response = connection
            .read_message()
            .expect("a response before the end of the connection");
        let retry_after = response
            .headers
            .get("retry-after")
            .and_then(|seconds| seconds.parse::<f64>().ok());
        let retry_after =
            retry_after.unwrap_or_else(|| panic!("{} has no Retry-After", response.start_line));
        pause(Duration::from_secs_f64(retry_after));
        self.close(name);
        // The transaction id is free again once the request was rejected.
        self.requests -= 1;
        self.send(name, script);
    }

    /// Reads the next response; `None` where the connection is closed.
    pub fn receive(&mut self, name: &str) -> Option<Message> {
        let client = self.by_name.get_mut(name).expect("a client");
        if !client.sent_head {
            return client.connection.read_message().ok();
        }
        let mut response = client.connection.read_head_response().ok()?;
        let length = response
            .headers
            .get("content-length")
            .cloned()
            .unwrap_or_default();
        response.start_line.push_str(&format!(" of {length}"));
        Some(response)
    }

    /// The connection of a client.
    pub fn connection(&mut self, name: &str) -> &mut Connection {
        &mut self.by_name.get_mut(name).expect("a client").connection
    }

    /// Closes the connection of a client.
    pub fn close(&mut self, name: &str) {
        drop(self.by_name.remove(name).expect("a client"));
    }

    /// Closes the connection of a client with a reset.
    pub fn reset(&mut self, name: &str) {
        self.by_name
            .remove(name)
            .expect("a client")
            .connection
            .reset();
    }

    /// Opens connections of the crowd; each sends `request`, where it is not empty, and gets a 200.
    pub fn open_crowd(&mut self, count: usize, request: &str) {
        let request = unescape(request);
        for _ in 0..count {
            let mut connection = Connection::open(self.address);
            if !request.is_empty() {
                connection.write(&request);
                let response = connection.read_message().expect("a response");
                assert!(
                    response.start_line.contains("200"),
                    "{}",
                    response.start_line
                );
            }
            self.crowd.push(connection);
        }
    }

    /// The number of connections of the crowd.
    pub fn crowd_size(&self) -> usize {
        self.crowd.len()
    }

    /// Whether the front closes at least `count` connections of the crowd in time.
    pub fn is_crowd_closed(&mut self, count: usize) -> bool {
        let deadline = Instant::now() + STEP_TIMEOUT;
        let mut closed = 0;
        while closed < count && Instant::now() < deadline {
            pause(SLOW_POLL_INTERVAL);
            closed = self
                .crowd
                .iter_mut()
                .filter_map(|client| client.is_readable().then_some(()))
                .count();
        }
        closed >= count
    }

    /// Closes the connections of the crowd.
    pub fn close_crowd(&mut self) {
        self.crowd.clear();
    }
}
