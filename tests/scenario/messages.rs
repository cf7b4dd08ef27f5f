//! The steps `send` and `expect`: messages between the front and the parties around it.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use super::connection::{Connection, Message};
use super::party::Party;
use super::steps::{parse_number, Scenario};
use super::{pause, POLL_INTERVAL, STEP_TIMEOUT};

/// The client of `load`.
const LOAD_CLIENT: &str = "load";

impl Scenario {
    /// Sends what the script spells, as a party.
    pub(super) fn send(&mut self, party: &str, rest: &str) {
        match Party::parse(party) {
            Party::Discovery => self.send_event(rest),
            Party::Console => self.call_console(rest),
            Party::Server(index) => self.servers[index].answer(rest),
            Party::Client(client) => match rest.strip_prefix("until ") {
                Some(rest) => {
                    let (server, request) = rest.split_once(' ').expect("a server and a request");
                    self.send_until_received(client, server, request);
                }
                None => self.clients.send(client, rest),
            },
            _ => panic!("{party} sends nothing"),
        }
    }

    /// `[indented] STATE SERVER`, or `started SERVER AGE`.
    fn send_event(&mut self, rest: &str) {
        if let Some(rest) = rest.strip_prefix("started ") {
            return self.send_start_event(rest);
        }
        let unindented = rest.strip_prefix("indented ");
        let (state, index) = unindented
            .unwrap_or(rest)
            .split_once(' ')
            .expect("a state and a server");
        let index: usize = parse_number(index);
        let entry = self.servers[index].entry(index, state);
        self.discovery.send_event(&entry, unindented.is_some());
    }

    /// `SERVER AGE`.
    fn send_start_event(&mut self, rest: &str) {
        let (index, age_ms) = rest.split_once(' ').expect("a server and an age");
        let index: usize = parse_number(index);
        let entry = self.servers[index].entry_started(index, parse_number(age_ms));
        self.discovery.send_event(&entry, false);
    }

    /// `METHOD PATH [TEXT]`.
    fn call_console(&mut self, rest: &str) {
        let mut words = rest.splitn(3, ' ');
        let method = words.next().expect("a method");
        let path = words.next().expect("a path");
        let answer = self.front.call_console(method, path);
        let body = String::from_utf8_lossy(&answer.body);
        let lines: Vec<&str> = match words.next() {
            Some(text) => body
                .lines()
                .filter(|line| line.contains(text) && !line.starts_with('#'))
                .collect(),
            None => body.lines().collect(),
        };
        self.transcript.line(format_args!(
            "console < {} | {}",
            answer.start_line,
            lines.join(" / ")
        ));
    }

    /// Sends a request, and again after each rejection, until it arrives at the server.
    fn send_until_received(&mut self, client: &str, server: &str, request: &str) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        self.clients.send(client, request);
        while Instant::now() < deadline {
            if let Some(received) = self.server(server).try_receive() {
                return self.transcript.message(server, &received);
            }
            self.clients.retry_if_rejected(client, request);
            pause(POLL_INTERVAL);
        }
        panic!(
            "{client} was always rejected; so far:\n{}",
            self.transcript.text
        );
    }

    /// Expects what the script spells, at a party.
    pub(super) fn expect(&mut self, party: &str, rest: &str) {
        match Party::parse(party) {
            Party::Discovery => {
                self.discovery.accept_subscription(&mut self.transcript);
                self.discovery.answer_latest();
            }
            Party::Crowd => self.expect_crowd_closed(rest),
            Party::Server(_) => self.expect_at_server(party, rest),
            Party::Client(client) => self.expect_response(client),
            _ => panic!("nothing comes to {party}"),
        }
    }

    /// `[COUNT]`: without a number, all connections of the crowd.
    fn expect_crowd_closed(&mut self, count: &str) {
        let count = count.parse().unwrap_or(self.clients.crowd_size());
        let closed = self.clients.is_crowd_closed(count);
        self.transcript
            .line(format_args!("crowd: {count} closed: {closed}"));
    }

    fn expect_response(&mut self, client: &str) {
        match self.clients.receive(client) {
            Some(response) => self.transcript.message(client, &response),
            None => self.transcript.line(format_args!("{client} < closed")),
        }
    }

    /// `left`, `raw left`, `told-at-most MILLISECONDS` or `[HEADER]`.
    fn expect_at_server(&mut self, server: &str, rest: &str) {
        if rest == "left" {
            let connection = self.server(server).take_oldest();
            return self.expect_abandoned(server, connection);
        }
        if rest == "raw left" {
            let connection = self.server(server).take_raw_answered();
            return self.expect_abandoned(server, connection);
        }
        if let Some(limit_ms) = rest.strip_prefix("told-at-most ") {
            return self.expect_remaining_time(server, parse_number(limit_ms));
        }
        let request = self.receive_at(server);
        self.transcript.message(server, &request);
        if !rest.is_empty() {
            let value = request.headers.get(rest);
            self.transcript
                .line(format_args!("{server} < {rest}: {value:?}"));
        }
    }

    /// Expects that the next request at a server announces at most so many milliseconds.
    fn expect_remaining_time(&mut self, server: &str, limit_ms: u64) {
        let request = self.receive_at(server);
        self.transcript.message(server, &request);
        let announced = request.headers.get("x-remaining").expect("a time");
        let announced_us: u64 = parse_number(announced.strip_suffix('u').expect("microseconds"));
        let announced_ms = announced_us / 1_000;
        eprintln!("told {announced_ms} ms, at most {limit_ms}");
        let is_within = announced_ms <= limit_ms;
        self.transcript.line(format_args!(
            "{server} told at most {limit_ms}: {is_within}"
        ));
    }

    /// Expects that the front closes a connection to a server.
    fn expect_abandoned(&mut self, server: &str, mut connection: Connection) {
        let result = connection.read_message();
        let is_closed = result.is_err_and(|error| error.kind() != ErrorKind::WouldBlock);
        self.transcript
            .line(format_args!("{server} left alone: {is_closed}"));
    }

    /// Waits for a complete request at a server, on any of its connections.
    fn receive_at(&mut self, server: &str) -> Message {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(request) = self.server(server).try_receive() {
                return request;
            }
            pause(POLL_INTERVAL);
        }
        panic!(
            "no request came to {server}; so far:\n{}",
            self.transcript.text
        );
    }

    /// `MILLISECONDS at-most|at-least COUNT REQUEST`.
    pub(super) fn load(&mut self, server: &str, rest: &str) {
        let mut words = rest.splitn(4, ' ');
        let time_ms = parse_number(words.next().expect("a time"));
        let bound = words.next().expect("a bound");
        let count: usize = parse_number(words.next().expect("a number"));
        let request = words.next().expect("a request");
        let received = self.send_repeatedly(server, Duration::from_millis(time_ms), request);
        let holds = match bound {
            "at-most" => received <= count,
            "at-least" => received >= count,
            _ => panic!("'{bound}' is no bound"),
        };
        eprintln!("{received} requests in {time_ms} ms, {bound} {count}");
        self.transcript
            .line(format_args!("{server}: {bound} {count}: {holds}"));
    }

    /// Sends a request again and again for this time, while the server answers what it receives.
    /// Returns how many requests it received.
    fn send_repeatedly(&mut self, server: &str, time: Duration, request: &str) -> usize {
        let deadline = Instant::now() + time;
        let mut received = 0;
        self.clients.send(LOAD_CLIENT, request);
        while Instant::now() < deadline {
            if self.server(server).try_receive().is_some() {
                received += 1;
                self.server(server).answer("200 | loaded");
            }
            if self.clients.connection(LOAD_CLIENT).is_readable() {
                self.clients.receive(LOAD_CLIENT);
                self.clients.close(LOAD_CLIENT);
                self.clients.send(LOAD_CLIENT, request);
            }
        }
        self.clients.close(LOAD_CLIENT);
        received
    }
}
