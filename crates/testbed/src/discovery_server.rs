//! A stand-in for discovery: one endpoint list, streamed to each front over a watch of its own,
//! since each front reaches the chunk servers at other addresses.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::best_effort;
use crate::loopback::write_chunk;

/// How often a watch writes an empty line while the list does not change.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The longest request head, in bytes.
const MAX_HEAD: usize = 8_192;
/// The head of every response.
const RESPONSE_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The endpoint list of all chunk servers, each with a shard.
pub struct DiscoveryServer {
    /// When each server started, in Unix milliseconds; 0 is long ago.
    started_ms: RefCell<Vec<u64>>,
    /// Over how many zones the servers are spread, in turn.
    zones: usize,
    /// The version of the list.
    generation: watch::Sender<u64>,
}

impl DiscoveryServer {
    /// A list of servers by when they started, in Unix milliseconds, in so many zones.
    pub fn new(started_ms: Vec<u64>, zones: usize) -> Rc<DiscoveryServer> {
        let started_ms = RefCell::new(started_ms);
        let generation = watch::Sender::new(1);
        Rc::new(DiscoveryServer {
            started_ms,
            zones: zones.max(1),
            generation,
        })
    }

    /// Announces that a server has restarted.
    pub fn announce_restart(&self, server: usize, started_ms: u64) {
        if let Some(listed) = self.started_ms.borrow_mut().get_mut(server) {
            *listed = started_ms;
        }
        self.generation.send_modify(|generation| *generation += 1);
    }

    /// The complete list as JSON, for a front that reaches the servers at these addresses.
    pub fn endpoint_list(&self, addresses: &[SocketAddr]) -> String {
        let started_ms = self.started_ms.borrow();
        let servers = started_ms.iter().zip(addresses).enumerate();
        let endpoints = servers.map(|(server, (started_ms, address))| {
            let zone = zone_name(server % self.zones);
            format!(
                r#"{{"instanceId": "s-{server}", "hostPort": "{address}", "zone": "{zone}", "machineType": "m", "cell": {server}, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": {started_ms}}}"#
            )
        });
        let endpoints = endpoints.collect::<Vec<String>>().join(", ");
        let generation = *self.generation.borrow();
        format!(r#"{{"generation": {generation}, "reset": true, "instances": [{endpoints}]}}"#)
    }

    /// Serves the watches of one front without end.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, addresses: Vec<SocketAddr>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let server = Rc::clone(&self);
            let addresses = addresses.clone();
            spawn_local(async move {
                best_effort::ignore_closed_connection(server.serve_watch(stream, &addresses).await);
            });
        }
    }

    /// Writes the complete list to a front, again after each change, until the connection fails.
    async fn serve_watch(
        &self,
        mut stream: TcpStream,
        addresses: &[SocketAddr],
    ) -> std::io::Result<()> {
        if !read_head(&mut stream).await? {
            return Ok(());
        }
        stream.write_all(RESPONSE_HEAD).await?;
        let mut generation = self.generation.subscribe();
        loop {
            generation.borrow_and_update();
            write_chunk(&mut stream, &(self.endpoint_list(addresses) + "\n")).await?;
            while tokio::time::timeout(KEEPALIVE_INTERVAL, generation.changed())
                .await
                .is_err()
            {
                write_chunk(&mut stream, "\n").await?;
            }
        }
    }
}

/// Reads a request head; false if the client closes the connection before.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<bool> {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") && head.len() < MAX_HEAD {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(false);
        }
    }
    Ok(true)
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}
