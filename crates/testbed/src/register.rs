//! The lab's discovery: one list of chunk servers, told to each front over a watch of its own, since each finds the
//! servers at addresses of its own.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// A watch writes an empty line this often while nothing changes.
const EMPTY: Duration = Duration::from_secs(2);
/// The longest head of a call.
const MOST_HEAD: usize = 8_192;

/// The list: servers with a shard each.
pub struct Register {
    /// When each started, in Unix milliseconds; 0 is long ago.
    started_ms: RefCell<Vec<u64>>,
    /// How many zones the servers are spread over, in turn.
    zones: usize,
    generation: watch::Sender<u64>,
}

impl Register {
    /// A list of servers by when they started, in so many zones.
    pub fn new(started_ms: Vec<u64>, zones: usize) -> Rc<Register> {
        let (started_ms, generation) = (RefCell::new(started_ms), watch::Sender::new(1));
        Rc::new(Register { started_ms, zones: zones.max(1), generation })
    }

    /// A server has started anew.
    pub fn replace(&self, server: usize, started_ms: u64) {
        if let Some(held) = self.started_ms.borrow_mut().get_mut(server) {
            *held = started_ms;
        }
        self.generation.send_modify(|g| *g += 1);
    }

    /// The whole list, for a front that finds the servers at these addresses.
    pub fn list(&self, at: &[SocketAddr]) -> String {
        let started_ms = self.started_ms.borrow();
        let entries: Vec<String> = started_ms
            .iter()
            .zip(at)
            .enumerate()
            .map(|(server, (started, at))| {
                let zone = zone(server % self.zones);
                format!(
                    r#"{{"instanceId": "s-{server}", "hostPort": "{at}", "zone": "{zone}", "machineType": "m", "cell": {server}, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": {started}}}"#
                )
            })
            .collect();
        let generation = *self.generation.borrow();
        format!(r#"{{"generation": {generation}, "reset": true, "instances": [{}]}}"#, entries.join(", "))
    }

    /// Tells one front for ever.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, at: Vec<SocketAddr>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let (register, at) = (Rc::clone(&self), at.clone());
            spawn_local(async move {
                // A front that has gone reads no more.
                let _ = register.tell(stream, &at).await;
            });
        }
    }

    async fn tell(&self, mut stream: TcpStream, at: &[SocketAddr]) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.windows(4).any(|w| w == b"\r\n\r\n") && head.len() < MOST_HEAD {
            if stream.read_buf(&mut head).await? == 0 {
                return Ok(());
            }
        }
        let said = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(said.as_bytes()).await?;
        let mut generation = self.generation.subscribe();
        loop {
            generation.borrow_and_update();
            write(&mut stream, &(self.list(at) + "\n")).await?;
            while tokio::time::timeout(EMPTY, generation.changed()).await.is_err() {
                write(&mut stream, "\n").await?;
            }
        }
    }
}

async fn write(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await
}

/// A zone's name.
pub fn zone(number: usize) -> String {
    format!("zone-{number}")
}
