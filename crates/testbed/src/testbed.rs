//! Many processes of the built program: object fronts with stand-ins for chunk servers and
//! discovery, clients of each front, and a proxy on every link. All are on loopback, with ports
//! that the system chooses.
//!
//! The parts are tasks on one thread: [`Testbed::start_all`] must be called inside a tokio
//! `LocalSet`.

mod clients;
mod config;
mod console;
mod error;
mod faults;
mod front_config;
mod front_process;
mod lifecycle;
mod measurements;
mod peer_links;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};

pub use self::clients::{ClientRequest, CLIENT_TIMEOUT};
pub use self::config::{
    Sharing, TestbedConfig, MAX_UNITS_PER_REQUEST, UNITS_PER_READ, UNLIMITED_RATE, VOLUME_BURST,
    VOLUME_RATE,
};
pub use self::console::ejected_servers;
pub use self::error::TestbedError;
pub use self::front_process::Predecessor;
pub use self::measurements::{RateBound, WindowUsage};

use self::clients::{Clients, RequestMix};
use self::front_config::RosterVersion;
use self::front_process::{FrontProcess, SpawnedFront};
use self::peer_links::{bind, PeerLinks};
use crate::chunk_server::{Attempt, AttemptLog, ChunkServer, ServerBehavior};
use crate::discovery_server::DiscoveryServer;
use crate::tcp_proxy::TcpProxy;

/// The key of the fronts' messages.
const KEY: &str = "a key of the lab's fronts, and of no others";
/// The roster that fronts start with.
const FIRST_ROSTER: RosterVersion = RosterVersion {
    revision: 1,
    floor_percent: 10,
};
/// How a datagram of the fronts' protocol begins.
const DATAGRAM_PREFIX: [u8; 4] = *b"TBP\x02";
/// The longest datagram of [`Testbed::send_unauthenticated_datagrams`], in bytes.
const MAX_UNAUTHENTICATED_DATAGRAM: usize = 200;

/// A fleet of fronts with all that surrounds it.
pub struct Testbed {
    program: PathBuf,
    directory: PathBuf,
    config: TestbedConfig,
    /// By front and server.
    server_links: BTreeMap<(usize, usize), TcpProxy>,
    server_behaviors: Vec<Rc<Cell<ServerBehavior>>>,
    discovery: Rc<DiscoveryServer>,
    /// By front.
    discovery_links: Vec<TcpProxy>,
    peer_links: PeerLinks,
    roster: RosterVersion,
    /// The process of each front; `None` if it does not run.
    fronts: Vec<Rc<RefCell<Option<FrontProcess>>>>,
    /// Second processes of a name, the one that has run for the longest first.
    duplicates: VecDeque<SpawnedFront>,
    duplicate_log: String,
    /// Requests a second of each front's clients.
    request_rates: Vec<Rc<Cell<u32>>>,
    attempts: AttemptLog,
    requests: Rc<RefCell<Vec<ClientRequest>>>,
    started_at: Instant,
    tasks: Vec<JoinHandle<()>>,
}

impl Testbed {
    /// Starts the fronts of a program, and waits until each accepts clients.
    ///
    /// # Errors
    /// If the operating system rejects something, or a front does not start.
    pub async fn start_all(program: &Path, config: TestbedConfig) -> Result<Testbed, TestbedError> {
        let mut testbed = Testbed::without_fronts(program, config).await?;
        let mut rng = fastrand::Rng::with_seed(config.seed);
        for front in 0..config.fronts {
            testbed.start(front).await?;
            testbed.start_clients(front, fastrand::Rng::with_seed(rng.u64(..)));
        }
        Ok(testbed)
    }

    /// All that surrounds the fronts.
    async fn without_fronts(
        program: &Path,
        config: TestbedConfig,
    ) -> Result<Testbed, TestbedError> {
        let started_at = Instant::now();
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let servers_started_ms = if config.behavior.just_started {
            now.as_millis() as u64
        } else {
            0
        };
        let (peer_links, tasks) =
            PeerLinks::open(if config.has_peers() { config.fronts } else { 0 }).await?;
        let mut testbed = Testbed {
            // Each front has a directory of its own, where a relative path would lead elsewhere.
            program: program
                .canonicalize()
                .map_err(TestbedError::system("the program"))?,
            directory: create_directory()?,
            config,
            server_links: BTreeMap::new(),
            server_behaviors: Vec::new(),
            discovery: DiscoveryServer::new(vec![servers_started_ms; config.servers], config.zones),
            discovery_links: Vec::new(),
            peer_links,
            roster: FIRST_ROSTER,
            fronts: (0..config.fronts).map(|_| Rc::default()).collect(),
            duplicates: VecDeque::new(),
            duplicate_log: String::new(),
            request_rates: (0..config.fronts).map(|_| Rc::default()).collect(),
            attempts: AttemptLog::new(started_at),
            requests: Rc::default(),
            started_at,
            tasks,
        };
        std::fs::write(testbed.key_file(), KEY).map_err(TestbedError::system("a key file"))?;
        for server in 0..config.servers {
            testbed.start_chunk_server(server).await?;
        }
        for front in 0..config.fronts {
            testbed.start_discovery(front).await?;
        }
        Ok(testbed)
    }

    /// Starts a chunk server, and a proxy to it for each front.
    async fn start_chunk_server(&mut self, number: usize) -> Result<(), TestbedError> {
        let (listener, address) = listen("a chunk server's socket").await?;
        for front in 0..self.config.fronts {
            let proxy = TcpProxy::start(address)
                .await
                .map_err(TestbedError::system("a wire's socket"))?;
            self.server_links.insert((front, number), proxy);
        }
        let behavior = Rc::new(Cell::new(self.config.behavior));
        self.server_behaviors.push(Rc::clone(&behavior));
        let server = ChunkServer {
            number,
            behavior,
            log: self.attempts.clone(),
        };
        self.tasks.push(spawn_local(server.serve(listener)));
        Ok(())
    }

    /// Starts discovery for a front, which lists the proxies of that front, and a proxy to it.
    async fn start_discovery(&mut self, front: usize) -> Result<(), TestbedError> {
        let (listener, address) = listen("the register's socket").await?;
        let proxy = TcpProxy::start(address)
            .await
            .map_err(TestbedError::system("a wire's socket"))?;
        self.discovery_links.push(proxy);
        let servers = self.server_addresses(front);
        self.tasks.push(spawn_local(
            Rc::clone(&self.discovery).serve(listener, servers),
        ));
        Ok(())
    }

    fn start_clients(&mut self, front: usize, rng: fastrand::Rng) {
        let clients = Clients {
            front,
            rate: Rc::clone(&self.request_rates[front]),
            process: Rc::clone(&self.fronts[front]),
            requests: Rc::clone(&self.requests),
            started_at: self.started_at,
            mix: RequestMix {
                volumes: self.config.volumes,
                shards: self.config.servers,
                write_percent: self.config.write_percent,
            },
        };
        self.tasks.push(spawn_local(clients.run(rng)));
    }

    fn key_file(&self) -> PathBuf {
        self.directory.join("key")
    }

    /// Changes the load of a front, in requests a second.
    pub fn set_load(&self, front: usize, rate: u32) {
        self.request_rates[front].set(rate);
    }

    /// Changes the load of every front to the same, in requests a second.
    pub fn set_load_of_all(&self, rate: u32) {
        self.request_rates.iter().for_each(|load| load.set(rate));
    }

    /// The time since the testbed started.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// All requests of clients that have ended.
    pub fn requests(&self) -> Vec<ClientRequest> {
        self.requests.borrow().clone()
    }

    /// All attempts that reached a chunk server.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.attempts()
    }

    /// Whether a front's process runs.
    pub fn is_running(&self, front: usize) -> bool {
        self.fronts[front].borrow().is_some()
    }

    /// Where a front's clients connect, if it runs.
    pub fn clients_address(&self, front: usize) -> Option<SocketAddr> {
        self.fronts[front]
            .borrow()
            .as_ref()
            .map(|running| running.clients)
    }

    /// A front's console, if it runs.
    pub fn console_address(&self, front: usize) -> Option<SocketAddr> {
        self.fronts[front]
            .borrow()
            .as_ref()
            .map(|running| running.console)
    }

    /// What second processes of a name have logged, once they have ended.
    pub fn duplicate_log(&self) -> &str {
        &self.duplicate_log
    }

    /// Sends every front datagrams for a while that no front has sent: random bytes, of which some
    /// begin as a message.
    pub async fn send_unauthenticated_datagrams(&self, per_second: u32, duration: Duration) {
        let Ok(socket) = bind().await else { return };
        let deadline = Instant::now() + duration;
        let interval = Duration::from_secs_f64(1.0 / f64::from(per_second.max(1)));
        let mut rng = fastrand::Rng::with_seed(self.config.seed);
        while Instant::now() < deadline {
            for target in self.peer_links.targets() {
                let length = rng.usize(0..MAX_UNAUTHENTICATED_DATAGRAM);
                let mut bytes: Vec<u8> = (0..length).map(|_| rng.u8(..)).collect();
                if rng.bool() {
                    bytes.splice(0..0, DATAGRAM_PREFIX);
                }
                // A datagram that cannot be sent is lost, as on any network.
                let _ = socket.try_send_to(&bytes, target);
            }
            tokio::time::sleep(interval).await;
        }
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        // The processes end before their directory is removed.
        self.fronts
            .iter()
            .for_each(|front| drop(front.borrow_mut().take()));
        self.duplicates.clear();
        // What cannot be removed is left to the system's cleanup of temporary files.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Creates a temporary directory for the files of a testbed.
fn create_directory() -> Result<PathBuf, TestbedError> {
    let name = format!(
        "tulipbridge-lab-{}-{}",
        std::process::id(),
        fastrand::u32(..)
    );
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).map_err(TestbedError::system("a folder"))?;
    Ok(directory)
}

async fn listen(what: &'static str) -> Result<(TcpListener, SocketAddr), TestbedError> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(TestbedError::system(what))?;
    let address = listener.local_addr().map_err(TestbedError::system(what))?;
    Ok((listener, address))
}
