//! Clients of a soak.

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
use super::recording::{Class, ClientRequest, End, HalfRequest, Recording};
use super::wire::MessageReader;

/// The mean time between two requests of a client.
const PAUSE_MS: f64 = 60.0;
/// How much longer than its patience a client waits, to see what comes.
const OVERTIME: Duration = Duration::from_millis(700);
/// How long a client that stops in the middle stays.
const HALF_REQUEST_STAY: Duration = Duration::from_millis(4_500);
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What clients share.
pub struct ClientWorld {
    /// When the soak started.
    pub started: Instant,
    /// What they see.
    pub recording: Rc<RefCell<Recording>>,
    /// Whether they go on.
    pub running: Cell<bool>,
    /// Their present fault.
    pub fault: Cell<Option<Fault>>,
    /// How many shards there are.
    pub shards: usize,
}

/// A connection of a client.
struct Connection {
    reader: MessageReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

/// Sends requests to a front until the soak ends.
pub async fn run(
    world: Rc<ClientWorld>,
    front: usize,
    address: Rc<Cell<Option<SocketAddr>>>,
    mut rng: Rng,
) {
    let mut connection = None;
    while world.running.get() {
        let burst = if world.fault.get() == Some(Fault::ClientsBurst) {
            3.0
        } else {
            1.0
        };
        let pause = -(1.0 - rng.f64()).ln() * PAUSE_MS / burst;
        sleep(Duration::from_secs_f64(pause / 1_000.0)).await;
        let Some(address) = address.get() else {
            continue;
        };
        if world.fault.get() == Some(Fault::ClientsStop) && rng.u8(..100) < 20 {
            send_half(&world, front, address, &mut rng).await;
            continue;
        }
        connection = send(&world, front, address, connection, &mut rng).await;
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    Some(Connection {
        reader: MessageReader::new(read),
        write,
    })
}

/// Sends one request, on the connection that is there or a new one. Returns the connection where it
/// can be used again.
async fn send(
    world: &ClientWorld,
    front: usize,
    address: SocketAddr,
    connection: Option<Connection>,
    rng: &mut Rng,
) -> Option<Connection> {
    let transaction = rng.u64(..);
    let class = if rng.u8(..100) < 30 {
        Class::Write
    } else {
        Class::Read
    };
    let patience = match class {
        Class::Read => Duration::from_millis(rng.u64(300..750)),
        Class::Write => Duration::from_millis(rng.u64(500..1_200)),
    };
    let text = request_text(
        transaction,
        class,
        patience,
        rng.usize(0..world.shards),
        rng.u64(..),
    );
    let mut is_fresh = connection.is_none();
    let mut connection = connection;
    loop {
        if connection.is_none() {
            is_fresh = true;
            connection = connect(address).await;
        }
        let sent_at = world.started.elapsed();
        let (end, ended_at) = match &mut connection {
            None => (End::NoConnection, sent_at),
            Some(connection) => {
                let leave = world.fault.get() == Some(Fault::ClientsLeave) && rng.bool();
                let wait = if leave {
                    Duration::from_millis(rng.u64(0..120))
                } else {
                    patience + OVERTIME
                };
                let end = exchange(connection, &text, transaction, wait, leave).await;
                (end, world.started.elapsed())
            }
        };
        // A closing that crossed the request: the client sends it once more over a new connection.
        if end == End::Closed && !is_fresh {
            connection = None;
            continue;
        }
        let is_open = matches!(end, End::Answered { .. });
        let request = ClientRequest {
            transaction,
            front,
            class,
            sent_at,
            patience,
            ended_at,
            end,
        };
        world.recording.borrow_mut().requests.push(request);
        return connection.filter(|_| is_open);
    }
}

async fn exchange(
    connection: &mut Connection,
    text: &str,
    transaction: u64,
    wait: Duration,
    leaves: bool,
) -> End {
    if connection.write.write_all(text.as_bytes()).await.is_err() {
        return End::Closed;
    }
    match timeout(wait, connection.reader.next()).await {
        Err(_) if leaves => End::Left,
        Err(_) => End::Silent,
        Ok(None) => End::Closed,
        Ok(Some(message)) => {
            let body_matches = message.body == format!("{transaction:016x}").as_bytes();
            End::Answered {
                status: message.status(),
                body_matches,
            }
        }
    }
}

fn request_text(
    transaction: u64,
    class: Class,
    patience: Duration,
    shard: usize,
    block: u64,
) -> String {
    let (method, lane, shard, body) = match class {
        Class::Read => ("GET", "read", shard as i64, ""),
        Class::Write => ("PUT", "write", -1, "new"),
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: t\r\nX-Txn: {transaction:016x}\r\nX-Lane: {lane}\r\nX-Plan: limited\r\n\
         Cookie: block={block:016x}\r\nX-Remaining: {}m\r\nContent-Length: {}\r\n\
         X-IO: volume={:016x},units=2,shard={shard},hosts=1\r\n\r\n{body}",
        patience.as_millis(),
        body.len(),
        block % 7,
    )
}

/// Sends half a request and stays.
async fn send_half(world: &ClientWorld, front: usize, address: SocketAddr, rng: &mut Rng) {
    let Some(mut connection) = connect(address).await else {
        return;
    };
    let text = request_text(rng.u64(..), Class::Read, Duration::from_secs(1), 0, 0);
    let half = rng.usize(1..text.len() - 1);
    if connection
        .write
        .write_all(&text.as_bytes()[..half])
        .await
        .is_err()
    {
        return;
    }
    let sent_at = world.started.elapsed();
    let recording = Rc::clone(&world.recording);
    let started = world.started;
    tokio::task::spawn_local(async move {
        let mut buffer = [0; 512];
        let Connection { reader, write } = connection;
        let mut read = reader.into_stream();
        let end = timeout(HALF_REQUEST_STAY, read.read(&mut buffer)).await;
        let ended_at = end.is_ok().then(|| started.elapsed());
        recording.borrow_mut().half_requests.push(HalfRequest {
            front,
            sent_at,
            ended_at,
        });
        drop(write);
    });
}
