//! Everything that surrounds the fronts of a testbed: chunk servers, discovery, and a proxy on every
//! link.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::{spawn_local, JoinHandle};

use super::config::TestbedConfig;
use super::error::TestbedError;
use super::peer_links::PeerLinks;
use crate::chunk_server::{AttemptLog, ChunkServer, ServerBehavior};
use crate::discovery_server::DiscoveryServer;
use crate::loopback::{unix_time_ms, LoopbackListener};
use crate::tcp_proxy::{LinkState, TcpProxy};

/// A chunk server, with the links that lead to it.
struct ServerHandle {
    behavior: Rc<Cell<ServerBehavior>>,
    /// By front.
    links: Vec<TcpProxy>,
}

/// Stand-ins and links, for as long as this value lives.
pub struct Environment {
    servers: Vec<ServerHandle>,
    discovery: Rc<DiscoveryServer>,
    /// By front.
    discovery_links: Vec<TcpProxy>,
    peer_links: PeerLinks,
    attempts: AttemptLog,
    tasks: Vec<JoinHandle<()>>,
}

impl Environment {
    /// Starts chunk servers and discovery, and opens healthy links for each front. Times of attempts
    /// count from `started_at`.
    ///
    /// # Errors
    /// If the operating system rejects a socket.
    pub async fn open(
        config: &TestbedConfig,
        started_at: Instant,
    ) -> Result<Environment, TestbedError> {
        let servers_started_ms = if config.behavior.just_started {
            unix_time_ms()
        } else {
            0
        };
        let peers = if config.has_peers() { config.fronts } else { 0 };
        let started_ms = vec![servers_started_ms; config.servers];
        let mut environment = Environment {
            servers: Vec::new(),
            discovery: DiscoveryServer::new(started_ms, config.zones),
            discovery_links: Vec::new(),
            peer_links: PeerLinks::open(peers).await?,
            attempts: AttemptLog::new(started_at),
            tasks: Vec::new(),
        };
        for _ in 0..config.servers {
            environment.start_chunk_server(config).await?;
        }
        for front in 0..config.fronts {
            environment.start_discovery(front).await?;
        }
        Ok(environment)
    }

    /// Starts a chunk server, and a proxy to it for each front.
    async fn start_chunk_server(&mut self, config: &TestbedConfig) -> Result<(), TestbedError> {
        let LoopbackListener { listener, address } =
            LoopbackListener::open("a chunk server's socket").await?;
        let mut links = Vec::new();
        for _ in 0..config.fronts {
            links.push(start_proxy(address).await?);
        }
        let behavior = Rc::new(Cell::new(config.behavior));
        let server = ChunkServer {
            number: self.servers.len(),
            behavior: Rc::clone(&behavior),
            log: self.attempts.clone(),
        };
        self.servers.push(ServerHandle { behavior, links });
        self.tasks.push(spawn_local(server.serve(listener)));
        Ok(())
    }

    /// Starts discovery for a front, which lists the proxies of that front, and a proxy to it.
    async fn start_discovery(&mut self, front: usize) -> Result<(), TestbedError> {
        let LoopbackListener { listener, address } =
            LoopbackListener::open("discovery's socket").await?;
        self.discovery_links.push(start_proxy(address).await?);
        let servers = self.server_addresses(front);
        let discovery = Rc::clone(&self.discovery);
        let task = spawn_local(discovery.serve(listener, servers));
        self.tasks.push(task);
        Ok(())
    }

    /// The attempts that reached a chunk server.
    pub fn attempts(&self) -> &AttemptLog {
        &self.attempts
    }

    /// The links between fronts.
    pub fn peer_links(&self) -> &PeerLinks {
        &self.peer_links
    }

    /// Where a front reaches the chunk servers.
    pub fn server_addresses(&self, front: usize) -> Vec<SocketAddr> {
        self.servers
            .iter()
            .map(|server| server.links[front].address)
            .collect()
    }

    /// Where a front reaches discovery.
    pub fn discovery_address(&self, front: usize) -> SocketAddr {
        self.discovery_links[front].address
    }

    /// The endpoint list for a front, as JSON.
    pub fn endpoint_list(&self, front: usize) -> String {
        self.discovery.endpoint_list(&self.server_addresses(front))
    }

    /// Heals the links to chunk servers and to discovery.
    pub fn heal_tcp_links(&self) {
        let server_links = self.servers.iter().flat_map(|server| &server.links);
        for link in server_links.chain(&self.discovery_links) {
            link.set(LinkState::Healthy);
        }
    }

    /// Changes the link from a front to a server, or from all fronts if none is named. An unknown
    /// server has no links.
    pub fn set_server_link(&self, front: Option<usize>, server: usize, state: LinkState) {
        if let Some(server) = self.servers.get(server) {
            set_links(&server.links, front, state);
        }
    }

    /// Changes the link from a front to discovery, or from all fronts if none is named.
    pub fn set_discovery_link(&self, front: Option<usize>, state: LinkState) {
        set_links(&self.discovery_links, front, state);
    }

    /// Changes how long a server takes and how many requests of a hundred fail. An unknown server
    /// is ignored.
    pub fn set_server(&self, server: usize, latency: Duration, failure_percent: u8) {
        if let Some(ServerHandle { behavior, .. }) = self.servers.get(server) {
            behavior.set(ServerBehavior {
                latency,
                failure_percent,
                ..behavior.get()
            });
        }
    }

    /// Makes discovery announce that a server has restarted now.
    pub fn announce_restart(&self, server: usize) {
        self.discovery.announce_restart(server, unix_time_ms());
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Changes the link of a front, or of all fronts if none is named.
fn set_links(links: &[TcpProxy], front: Option<usize>, state: LinkState) {
    for (number, link) in links.iter().enumerate() {
        if front.is_none_or(|front| front == number) {
            link.set(state);
        }
    }
}

/// Starts a healthy proxy to a server.
async fn start_proxy(address: SocketAddr) -> Result<TcpProxy, TestbedError> {
    TcpProxy::start(address)
        .await
        .map_err(TestbedError::system("a proxy's socket"))
}
