//! The clients of a soak run.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::fault::Fault;
use super::recording::{Class, ClientRequest, End, IncompleteRequest, Recording};
use super::wire::MessageReader;
use crate::best_effort;

/// The mean time between two requests of a client, in milliseconds.
const MEAN_INTERVAL_MS: f64 = 60.0;
/// By which factor the request rate grows during a burst.
const BURST_FACTOR: f64 = 3.0;
/// Writes, of a hundred requests.
const WRITE_PERCENT: u8 = 30;
/// Incomplete requests, of a hundred, while clients stop in the middle of requests.
const INCOMPLETE_PERCENT: u8 = 20;
/// A client that cancels its request does so within this time, in milliseconds.
const MAX_CANCEL_AFTER_MS: u64 = 120;
/// How long a client waits after its deadline, to record a late response.
const OVERTIME: Duration = Duration::from_millis(700);
/// How long a client keeps the connection of an incomplete request open.
const INCOMPLETE_REQUEST_TIMEOUT: Duration = Duration::from_millis(4_500);
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Over how many volumes requests are spread.
const VOLUMES: u64 = 7;

/// What all clients of a run share.
pub struct ClientGroup {
    /// When the run started.
    started_at: Instant,
    recording: Rc<RefCell<Recording>>,
    is_running: Cell<bool>,
    fault: Cell<Option<Fault>>,
    /// How many shards there are to read from.
    shards: usize,
}

impl ClientGroup {
    /// Clients that run and have no fault.
    pub fn new(
        started_at: Instant,
        recording: Rc<RefCell<Recording>>,
        shards: usize,
    ) -> Rc<ClientGroup> {
        Rc::new(ClientGroup {
            started_at,
            recording,
            is_running: Cell::new(true),
            fault: Cell::new(None),
            shards,
        })
    }

    /// Changes the fault that affects clients; `None` ends it.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.fault.set(fault);
    }

    /// Makes each client end after its current request.
    pub fn stop(&self) {
        self.is_running.set(false);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.fault.get() == Some(fault)
    }

    /// A random interval until the next request, exponentially distributed.
    fn interval(&self, rng: &mut Rng) -> Duration {
        let factor = if self.has_fault(Fault::ClientsBurst) {
            BURST_FACTOR
        } else {
            1.0
        };
        let interval_ms = -(1.0 - rng.f64()).ln() * MEAN_INTERVAL_MS / factor;
        Duration::from_secs_f64(interval_ms / 1_000.0)
    }
}

/// A connection of a client.
struct Connection {
    reader: MessageReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

impl Connection {
    /// Opens a connection; `None` if it fails or takes too long.
    async fn open(address: SocketAddr) -> Option<Connection> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.ok()?.ok()?;
        best_effort::disable_nagle(&stream);
        let (read, write) = stream.into_split();
        Some(Connection {
            reader: MessageReader::new(read),
            write,
        })
    }

    /// Sends a request and waits for its response.
    async fn exchange(&mut self, request: &RequestDraft, wait: Wait) -> End {
        if self
            .write
            .write_all(request.text().as_bytes())
            .await
            .is_err()
        {
            return End::Closed;
        }
        match timeout(wait.duration, self.reader.next()).await {
            Err(_) if wait.cancels => End::Cancelled,
            Err(_) => End::TimedOut,
            Ok(None) => End::Closed,
            Ok(Some(message)) => {
                let expected_body = format!("{:016x}", request.transaction);
                End::Answered {
                    status: message.status(),
                    body_matches: message.body == expected_body.as_bytes(),
                }
            }
        }
    }
}

/// How long a client waits for a response, and what it does then.
#[derive(Clone, Copy)]
struct Wait {
    duration: Duration,
    /// Whether the client closes its connection before its deadline.
    cancels: bool,
}

/// A request that is to be sent.
struct RequestDraft {
    transaction: u64,
    class: Class,
    timeout: Duration,
    shard: usize,
    block: u64,
}

impl RequestDraft {
    /// A random request to one of so many shards.
    fn sample(rng: &mut Rng, shards: usize) -> RequestDraft {
        let transaction = rng.u64(..);
        let class = if rng.u8(..100) < WRITE_PERCENT {
            Class::Write
        } else {
            Class::Read
        };
        let timeout_ms = match class {
            Class::Read => rng.u64(300..750),
            Class::Write => rng.u64(500..1_200),
        };
        RequestDraft {
            transaction,
            class,
            timeout: Duration::from_millis(timeout_ms),
            shard: rng.usize(0..shards),
            block: rng.u64(..),
        }
    }

    /// The request as HTTP/1.1.
    fn text(&self) -> String {
        let head = match self.class {
            Class::Read => RequestHead {
                method: "GET",
                lane: "read",
                shard: self.shard as i64,
                body: "",
            },
            Class::Write => RequestHead {
                method: "PUT",
                lane: "write",
                shard: -1,
                body: "new",
            },
        };
        let RequestHead {
            method,
            lane,
            shard,
            body,
        } = head;
        format!(
            "{method} /api HTTP/1.1\r\nHost: t\r\nX-Txn: {:016x}\r\nX-Lane: {lane}\r\nX-Plan: limited\r\n\
             Cookie: block={:016x}\r\nX-Remaining: {}m\r\nContent-Length: {}\r\n\
             X-IO: volume={:016x},units=2,shard={shard},hosts=1\r\n\r\n{body}",
            self.transaction,
            self.block,
            self.timeout.as_millis(),
            body.len(),
            self.block % VOLUMES,
        )
    }
}

/// The parts of a request that depend on its class.
struct RequestHead {
    method: &'static str,
    lane: &'static str,
    /// The shard that is read; negative if the front chooses one.
    shard: i64,
    body: &'static str,
}

/// One client of a front.
pub struct Client {
    /// What it shares with all others.
    pub group: Rc<ClientGroup>,
    /// The index of the front.
    pub front: usize,
    /// Where it connects, while the front is in use.
    pub address: Rc<Cell<Option<SocketAddr>>>,
}

impl Client {
    /// Sends requests until the group is stopped.
    pub async fn run(self, mut rng: Rng) {
        let mut connection = None;
        while self.group.is_running.get() {
            sleep(self.group.interval(&mut rng)).await;
            let Some(address) = self.address.get() else {
                continue;
            };
            let is_incomplete =
                self.group.has_fault(Fault::ClientsStop) && rng.u8(..100) < INCOMPLETE_PERCENT;
            if is_incomplete {
                self.send_incomplete(address, &mut rng).await;
            } else {
                connection = self.send(address, connection, &mut rng).await;
            }
        }
    }

    /// Sends one request on an open connection or a new one. Returns the connection if it can be
    /// used again.
    async fn send(
        &self,
        address: SocketAddr,
        mut connection: Option<Connection>,
        rng: &mut Rng,
    ) -> Option<Connection> {
        let draft = RequestDraft::sample(rng, self.group.shards);
        let mut is_new_connection = connection.is_none();
        loop {
            if connection.is_none() {
                is_new_connection = true;
                connection = Connection::open(address).await;
            }
            let sent_at = self.group.started_at.elapsed();
            let mut ended_at = sent_at;
            let mut end = End::NotConnected;
            if let Some(connection) = &mut connection {
                let wait = self.wait_for(&draft, rng);
                end = connection.exchange(&draft, wait).await;
                ended_at = self.group.started_at.elapsed();
            }
            // The front closed an idle connection while the request was on its way: the client
            // sends it again over a new connection.
            if end == End::Closed && !is_new_connection {
                connection = None;
                continue;
            }
            let request = ClientRequest {
                transaction: draft.transaction,
                front: self.front,
                class: draft.class,
                sent_at,
                timeout: draft.timeout,
                ended_at,
                end,
            };
            self.group.recording.borrow_mut().requests.push(request);
            return connection.filter(|_| matches!(end, End::Answered { .. }));
        }
    }

    /// How long the client waits for the response; some cancel early under `ClientsLeave`.
    fn wait_for(&self, draft: &RequestDraft, rng: &mut Rng) -> Wait {
        let cancels = self.group.has_fault(Fault::ClientsLeave) && rng.bool();
        let duration = if cancels {
            Duration::from_millis(rng.u64(0..MAX_CANCEL_AFTER_MS))
        } else {
            draft.timeout + OVERTIME
        };
        Wait { duration, cancels }
    }

    /// Sends the beginning of a request and keeps the connection open.
    async fn send_incomplete(&self, address: SocketAddr, rng: &mut Rng) {
        let Some(mut connection) = Connection::open(address).await else {
            return;
        };
        let draft = RequestDraft {
            transaction: rng.u64(..),
            class: Class::Read,
            timeout: Duration::from_secs(1),
            shard: 0,
            block: 0,
        };
        let text = draft.text();
        let length = rng.usize(1..text.len() - 1);
        let beginning = &text.as_bytes()[..length];
        if connection.write.write_all(beginning).await.is_err() {
            return;
        }
        let front = self.front;
        let sent_at = self.group.started_at.elapsed();
        let group = Rc::clone(&self.group);
        tokio::task::spawn_local(async move {
            let ended_at = group.wait_for_end(connection).await;
            let request = IncompleteRequest {
                front,
                sent_at,
                ended_at,
            };
            let mut recording = group.recording.borrow_mut();
            recording.incomplete_requests.push(request);
        });
    }
}

impl ClientGroup {
    /// Waits until a front answers on a connection or closes it, and returns when it did; `None`
    /// if it does neither in time.
    async fn wait_for_end(&self, connection: Connection) -> Option<Duration> {
        let Connection { reader, write } = connection;
        let mut buffer = [0; 512];
        let mut read = reader.into_stream();
        let end = timeout(INCOMPLETE_REQUEST_TIMEOUT, read.read(&mut buffer)).await;
        let ended_at = end.is_ok().then(|| self.started_at.elapsed());
        // The connection stays open for writing until here.
        drop(write);
        ended_at
    }
}
