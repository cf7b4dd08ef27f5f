//! A chunk server of a soak.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};

use super::fault::Fault;
use super::recording::{Arrival, Recording};
use super::wire::{Message, MessageReader};

/// How long a request takes.
const LATENCY: Duration = Duration::from_millis(12);
/// How long it takes at a slow server.
const SLOW_LATENCY: Duration = Duration::from_millis(500);

/// A chunk server.
pub struct Server {
    number: usize,
    started: Instant,
    recording: Rc<RefCell<Recording>>,
    /// Its present fault.
    pub fault: Cell<Option<Fault>>,
    connections: RefCell<Vec<AbortHandle>>,
    requests: Cell<u64>,
}

impl Server {
    /// A server that records what comes to it.
    pub fn new(number: usize, started: Instant, recording: Rc<RefCell<Recording>>) -> Rc<Server> {
        Rc::new(Server {
            number,
            started,
            recording,
            fault: Cell::new(None),
            connections: RefCell::default(),
            requests: Cell::new(0),
        })
    }

    /// Serves connections until the task is ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
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

    /// Ends all connections, as the end of its process would.
    pub fn drop_connections(&self) {
        self.connections
            .borrow_mut()
            .drain(..)
            .for_each(|connection| connection.abort());
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut reader = MessageReader::new(read);
        while let Some(message) = reader.next().await {
            self.requests.set(self.requests.get() + 1);
            let fault = self.fault.get();
            let is_turned_away =
                fault == Some(Fault::ServerRejects) && self.requests.get() % 2 == 0;
            self.record(&message, is_turned_away);
            match fault {
                Some(Fault::ServerHangs) => return std::future::pending().await,
                Some(Fault::ServerResets) if self.requests.get() % 3 == 0 => return,
                Some(Fault::ServerSlow) => tokio::time::sleep(SLOW_LATENCY).await,
                _ => tokio::time::sleep(LATENCY).await,
            }
            let transaction = message.header("x-txn").unwrap_or_default();
            let answer = if is_turned_away {
                "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else {
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{transaction}",
                    transaction.len()
                )
            };
            if write.write_all(answer.as_bytes()).await.is_err()
                || fault == Some(Fault::ServerCloses)
            {
                return;
            }
        }
    }

    fn record(&self, message: &Message, turned_away: bool) {
        let transaction = message
            .header("x-txn")
            .and_then(|id| u64::from_str_radix(id, 16).ok());
        let told = message
            .header("x-remaining")
            .and_then(|told| told.strip_suffix('u'));
        let told = told.and_then(|told| told.parse().ok()).unwrap_or(0);
        self.recording.borrow_mut().arrivals.push(Arrival {
            server: self.number,
            transaction: transaction.unwrap_or(0),
            first_byte_at: message.first_byte_at - self.started,
            at: self.started.elapsed(),
            remaining: Duration::from_micros(told),
            turned_away,
        });
    }
}
