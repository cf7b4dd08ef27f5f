//! The clients of one front: they send requests at a rate, whatever becomes of those sent before.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::front_process::FrontProcess;

/// How long a client waits for an answer.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// How often clients without load check whether they have one.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A request of a client that has ended.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// The index of the front.
    pub front: usize,
    /// When it was sent, since the testbed started.
    pub at: Duration,
    /// How long it took; absent if no answer came before [`CLIENT_TIMEOUT`].
    pub duration: Option<Duration>,
    /// Whether the answer was a success.
    pub succeeded: bool,
    /// The shard that was read; absent if a new object was written.
    pub shard: Option<usize>,
}

/// The requests among which clients choose at random.
#[derive(Clone, Copy, Debug)]
pub struct RequestMix {
    /// How many volumes there are.
    pub volumes: usize,
    /// How many shards there are.
    pub shards: usize,
    /// Requests that write a new object, of a hundred.
    pub write_percent: u8,
}

/// The text of a request, and the shard that it reads.
struct RequestText {
    text: String,
    shard: Option<usize>,
}

impl RequestMix {
    /// A random request.
    fn sample(&self, rng: &mut Rng) -> RequestText {
        let volume = rng.usize(0..self.volumes);
        let shard = rng.usize(0..self.shards);
        let key = rng.u64(..);
        let is_write = self.write_percent > 0 && rng.u8(0..100) < self.write_percent;
        if is_write {
            let line = format!("PUT /b{volume}/{key:016x} HTTP/1.1\r\nContent-Length: 3\r\n");
            RequestText::new(&line, "new", None)
        } else {
            let line = format!("GET /b{volume}/{key:016x}?versionId={shard}.v HTTP/1.1\r\n");
            RequestText::new(&line, "", Some(shard))
        }
    }
}

impl RequestText {
    /// A request that begins with these lines, and closes its connection.
    fn new(beginning: &str, body: &str, shard: Option<usize>) -> RequestText {
        RequestText {
            text: format!("{beginning}Host: lab\r\nConnection: close\r\n\r\n{body}"),
            shard,
        }
    }
}

/// The clients of one front.
pub struct Clients {
    /// The index of the front.
    pub front: usize,
    /// Requests a second.
    pub rate: Rc<Cell<u32>>,
    /// The front's process, while it runs.
    pub process: Rc<RefCell<Option<FrontProcess>>>,
    /// Where ended requests are recorded.
    pub requests: Rc<RefCell<Vec<ClientRequest>>>,
    /// When the testbed started.
    pub started_at: Instant,
    /// What is requested.
    pub mix: RequestMix,
}

impl Clients {
    /// Sends requests without end.
    pub async fn run(self, mut rng: Rng) {
        loop {
            let rate = self.rate.get();
            if rate == 0 {
                tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
                continue;
            }
            let wait = -(1.0 - rng.f64()).ln() / f64::from(rate);
            tokio::time::sleep(Duration::from_secs_f64(wait)).await;
            if let Some(address) = self.front_address() {
                let request = self.mix.sample(&mut rng);
                self.send(address, request);
            }
        }
    }

    /// Where clients connect, if the front runs and is not paused.
    fn front_address(&self) -> Option<SocketAddr> {
        let process = self.process.borrow();
        process
            .as_ref()
            .filter(|process| !process.is_paused)
            .map(|process| process.clients)
    }

    /// Sends one request and records how it ends, without waiting for that.
    fn send(&self, address: SocketAddr, request: RequestText) {
        let requests = Rc::clone(&self.requests);
        let started_at = self.started_at;
        let front = self.front;
        spawn_local(async move {
            let at = started_at.elapsed();
            let exchange = tokio::time::timeout(CLIENT_TIMEOUT, exchange(address, &request.text));
            let answer = exchange.await.ok().flatten();
            let duration = answer.as_ref().map(|_| started_at.elapsed() - at);
            let succeeded = answer.is_some_and(|answer| answer.starts_with(b"HTTP/1.1 2"));
            requests.borrow_mut().push(ClientRequest {
                front,
                at,
                duration,
                succeeded,
                shard: request.shard,
            });
        });
    }
}

/// Sends a request and reads the complete response; `None` if the connection fails.
async fn exchange(address: SocketAddr, request: &str) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    Some(answer)
}
