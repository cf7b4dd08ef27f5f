//! Discovery as a scenario plays it: subscriptions, and events on the watch.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use super::connection::{accept, try_accept, Connection};
use super::transcript::Transcript;
use super::{listen_on_free_port, pause, STEP_TIMEOUT};

/// Pause between two bytes of an event that never completes.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);

/// The socket of discovery, with the calls on it.
pub struct Discovery {
    listener: TcpListener,
    watch: Option<Connection>,
    /// Subscriptions that are not answered, the oldest first.
    unanswered: VecDeque<Connection>,
    /// The address while discovery is down.
    down_address: Option<SocketAddr>,
    /// The generation of the latest event.
    generation: u32,
}

impl Discovery {
    pub fn new() -> Discovery {
        Discovery {
            listener: listen_on_free_port(),
            watch: None,
            unanswered: VecDeque::new(),
            down_address: None,
            generation: 1,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Moves discovery to another address. The watch stays open until the next subscription.
    pub fn move_elsewhere(&mut self) {
        self.listener = listen_on_free_port();
    }

    /// Refuses connections.
    pub fn go_down(&mut self) {
        self.down_address = std::mem::replace(&mut self.listener, listen_on_free_port())
            .local_addr()
            .ok();
        self.watch = None;
    }

    /// Accepts connections again, at the same address.
    pub fn come_up(&mut self) {
        let address = self.down_address.take().expect("it is down");
        self.listener = TcpListener::bind(address).expect("its port is free");
    }

    /// Accepts a subscription without answering it.
    pub fn accept_subscription(&mut self, transcript: &mut Transcript) {
        let subscription = accept(&self.listener);
        self.receive_subscription(subscription, transcript);
    }

    fn receive_subscription(&mut self, mut subscription: Connection, transcript: &mut Transcript) {
        let request = subscription.read_message().expect("a subscription");
        transcript.line(format_args!("d < {}", request.start_line));
        self.unanswered.push_back(subscription);
    }

    /// Answers the oldest subscription, which becomes the watch.
    pub fn answer_oldest(&mut self) {
        let subscription = self.unanswered.pop_front();
        self.answer(subscription);
    }

    /// Answers the latest subscription, which becomes the watch.
    pub fn answer_latest(&mut self) {
        let subscription = self.unanswered.pop_back();
        self.answer(subscription);
    }

    fn answer(&mut self, subscription: Option<Connection>) {
        let mut watch = subscription.expect("a subscription");
        watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        self.watch = Some(watch);
    }

    /// Sends an event with the entry of one server, with `indented` over many lines.
    pub fn send_event(&mut self, entry: &str, indented: bool) {
        self.generation += 1;
        let generation = self.generation;
        let event =
            format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[{entry}]}}\n");
        let event = if indented {
            event
                .replace(',', ",\n    ")
                .replace(":[{", ": [\n  {\n    ")
        } else {
            event
        };
        let watch = self.watch.as_mut().expect("a watch");
        watch.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
    }

    /// Sends an event that never completes, byte by byte, until the front subscribes again; that
    /// subscription is answered.
    pub fn drip(&mut self, transcript: &mut Transcript) {
        let mut watch = self.watch.take().expect("a watch");
        let deadline = Instant::now() + STEP_TIMEOUT;
        let event = format!("{{\"generation\":{:0>200}", self.generation);
        for byte in event.bytes() {
            if let Some(subscription) = try_accept(&self.listener) {
                self.receive_subscription(subscription, transcript);
                return self.answer_latest();
            }
            assert!(
                Instant::now() < deadline,
                "the watch is taken for one that works"
            );
            watch.write(&[b"1\r\n", &[byte][..], b"\r\n"].concat());
            pause(DRIP_INTERVAL);
        }
        panic!("the watch is taken for one that works");
    }

    /// Sends messages that are no lists.
    pub fn flood(&mut self, count: usize) {
        let watch = self.watch.as_mut().expect("a watch");
        for _ in 0..count {
            watch.write(b"3\r\n[]\n\r\n");
        }
    }

    /// Closes the watch.
    pub fn close_watch(&mut self) {
        self.watch = None;
    }

    /// Closes the watch with a reset.
    pub fn reset_watch(&mut self) {
        self.watch.take().expect("a watch").reset();
    }
}
