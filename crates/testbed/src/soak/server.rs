//! A stand-in for a chunk server, which records the requests that reach it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};

use super::fault::Fault;
use super::recording::{Arrival, Recording, ServerStart};
use super::wire::{Message, MessageReader};
use crate::best_effort;

/// How long a request takes.
const LATENCY: Duration = Duration::from_millis(12);
/// How long a request takes at a slow server.
const SLOW_LATENCY: Duration = Duration::from_millis(500);
/// How long a server that pauses does so before each half of a body.
const BODY_PAUSE: Duration = Duration::from_millis(250);
/// A server that pauses announces no length in every second response.
const UNKNOWN_LENGTH_ONE_IN: u64 = 2;
/// A server that rejects requests rejects every second one.
const REJECTED_ONE_IN: u64 = 2;
/// A server that resets connections does so at every third request.
const RESET_ONE_IN: u64 = 3;
/// The response to a request that is rejected without being executed.
const REJECTION: &str = "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

/// A chunk server.
pub struct Server {
    number: usize,
    address: SocketAddr,
    /// When the run started.
    started_at: Instant,
    recording: Rc<RefCell<Recording>>,
    fault: Cell<Option<Fault>>,
    /// The task that accepts connections, while the server runs.
    acceptor: RefCell<Option<AbortHandle>>,
    connections: RefCell<Vec<AbortHandle>>,
    /// How many requests have come in.
    requests: Cell<u64>,
}

impl Server {
    /// A server at an address that records the requests that reach it. It does not run yet.
    pub fn new(
        number: usize,
        address: SocketAddr,
        started_at: Instant,
        recording: Rc<RefCell<Recording>>,
    ) -> Rc<Server> {
        Rc::new(Server {
            number,
            address,
            started_at,
            recording,
            fault: Cell::new(None),
            acceptor: RefCell::default(),
            connections: RefCell::default(),
            requests: Cell::new(0),
        })
    }

    /// The index of the server.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Changes the fault that affects requests; `None` ends it.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.fault.set(fault);
    }

    /// Accepts connections of a listener in a task of its own.
    pub fn serve(self: &Rc<Self>, listener: TcpListener) {
        let acceptor = spawn_local(Rc::clone(self).accept_connections(listener));
        *self.acceptor.borrow_mut() = Some(acceptor.abort_handle());
    }

    /// Stops the server: no connection is accepted any more, and all are closed, as at the end of
    /// its process.
    pub fn stop(&self) {
        if let Some(acceptor) = self.acceptor.borrow_mut().take() {
            acceptor.abort();
        }
        for connection in self.connections.borrow_mut().drain(..) {
            connection.abort();
        }
    }

    /// Starts the server at its address after it was stopped, and records the start.
    ///
    /// # Errors
    /// If the address is in use.
    pub async fn restart(self: &Rc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let start = ServerStart {
            server: self.number,
            at: self.started_at.elapsed(),
        };
        self.recording.borrow_mut().server_starts.push(start);
        self.serve(listener);
        Ok(())
    }

    /// Serves each connection in a task of its own, until the acceptor is aborted.
    async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let connection = spawn_local(Rc::clone(&self).serve_connection(stream));
            self.connections
                .borrow_mut()
                .push(connection.abort_handle());
        }
    }

    /// Answers the requests of a connection, as far as the current fault lets it.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        best_effort::disable_nagle(&stream);
        let (read, mut write) = stream.into_split();
        let mut reader = MessageReader::new(read);
        while let Some(message) = reader.next().await {
            let number = self.requests.get() + 1;
            self.requests.set(number);
            let fault = self.fault.get();
            let is_rejected = fault == Some(Fault::ServerRejects) && number % REJECTED_ONE_IN == 0;
            self.record(&message, is_rejected);
            match fault {
                Some(Fault::ServerHangs) => return std::future::pending().await,
                Some(Fault::ServerResets) if number % RESET_ONE_IN == 0 => return,
                Some(Fault::ServerSlow) => tokio::time::sleep(SLOW_LATENCY).await,
                _ => tokio::time::sleep(LATENCY).await,
            }
            let written = if fault == Some(Fault::ServerPauses) {
                let is_chunked = number % UNKNOWN_LENGTH_ONE_IN == 0;
                write_with_pauses(&mut write, &message, is_chunked).await
            } else {
                let response = response(&message, is_rejected);
                write.write_all(response.as_bytes()).await
            };
            if written.is_err() || fault == Some(Fault::ServerCloses) {
                return;
            }
        }
    }

    /// Records the arrival of a request.
    fn record(&self, message: &Message, rejected: bool) {
        let transaction = message
            .header("x-txn")
            .and_then(|id| u64::from_str_radix(id, 16).ok());
        let remaining_us = message
            .header("x-remaining")
            .and_then(|remaining| remaining.strip_suffix('u')?.parse().ok());
        self.recording.borrow_mut().arrivals.push(Arrival {
            server: self.number,
            transaction: transaction.unwrap_or(0),
            first_byte_at: message.first_byte_at - self.started_at,
            at: self.started_at.elapsed(),
            remaining: Duration::from_micros(remaining_us.unwrap_or(0)),
            rejected,
        });
    }
}

/// The response to a request: a rejection, or a success that repeats the transaction id.
fn response(request: &Message, is_rejected: bool) -> String {
    if is_rejected {
        return REJECTION.to_owned();
    }
    let transaction = request.header("x-txn").unwrap_or_default();
    let length = transaction.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{transaction}")
}

/// Writes a success that repeats the transaction id, with a pause before each half of its body.
async fn write_with_pauses(
    write: &mut OwnedWriteHalf,
    request: &Message,
    is_chunked: bool,
) -> std::io::Result<()> {
    let transaction = request.header("x-txn").unwrap_or_default();
    let framing = if is_chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {}", transaction.len())
    };
    let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n");
    write.write_all(head.as_bytes()).await?;
    let (first, second) = transaction.split_at(transaction.len() / 2);
    for half in [first, second] {
        tokio::time::sleep(BODY_PAUSE).await;
        let part = if is_chunked {
            format!("{:x}\r\n{half}\r\n", half.len())
        } else {
            half.to_owned()
        };
        write.write_all(part.as_bytes()).await?;
    }
    if is_chunked {
        write.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}
