//! One soak: a seed, its faults, and what the checker finds.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::signal::Signal;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

use super::checker::{check, ColdStart, Find};
use super::client::{self, ClientWorld};
use super::discovery::{Discovery, Entry};
use super::fault::{draw, Fault, ScheduledFault};
use super::front::{Front, FrontSetup};
use super::recording::{End, Recording, Span};
use super::server::Server;
use crate::testbed::TestbedError;

const SETTINGS: &str = include_str!("../settings.json");
/// How long clients send.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// How long what is under way may take then.
const REST_TIME: Duration = Duration::from_millis(2_200);
/// Clients of each front.
const CLIENTS: usize = 4;
/// How long a restarted server is gone, and how much later discovery has its start.
const SERVER_GONE: Duration = Duration::from_millis(1_200);
const LIST_DELAY: Duration = Duration::from_millis(300);
/// How long a broken file lies there.
const BROKEN_FILE_TIME: Duration = Duration::from_millis(200);
const BRIEF_PAUSE: Duration = Duration::from_millis(150);
const LONG_PAUSE: Duration = Duration::from_millis(800);
/// What a cold server bears, by the settings of the soak.
const COLD_START: ColdStart = ColdStart {
    capacity: 80.0,
    floor: 0.18,
    duration: Duration::from_secs(17),
    multiple: 2.0,
    span: Duration::from_secs(2),
};

/// What is soaked.
#[derive(Clone, Debug)]
pub struct SoakSetup {
    /// The program.
    pub program: PathBuf,
    /// The seed.
    pub seed: u64,
    /// Whether the seed's faults are left out.
    pub calm: bool,
    /// How many fronts there are.
    pub fronts: usize,
    /// How many servers there are.
    pub servers: usize,
}

/// What came of a seed.
#[derive(Clone, Debug, Serialize)]
pub struct SoakResult {
    /// The seed.
    pub seed: u64,
    /// Its faults.
    pub faults: Vec<ScheduledFault>,
    /// Requests of clients.
    pub requests: usize,
    /// Those that were served.
    pub served: usize,
    /// Attempts that reached servers.
    pub attempts: usize,
    /// Broken rules.
    pub finds: Vec<Find>,
}

impl Display for SoakResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|entry| entry.fault.to_string())
            .collect();
        let SoakResult {
            seed,
            requests,
            served,
            attempts,
            ..
        } = self;
        let faults = faults.join(" + ");
        write!(
            formatter,
            "{seed}: {faults}: {requests} requests, {served} served, {attempts} attempts"
        )?;
        for find in &self.finds {
            write!(formatter, "\n    {:?}: {}", find.rule, find.what)?;
        }
        Ok(())
    }
}

/// The world of a soak.
struct World {
    fronts: Vec<Rc<Front>>,
    servers: Vec<Rc<Server>>,
    server_tasks: RefCell<Vec<(SocketAddr, AbortHandle)>>,
    discovery: Rc<Discovery>,
    clients: Rc<ClientWorld>,
    recording: Rc<RefCell<Recording>>,
    started: Instant,
}

/// Runs one seed. Must be called inside a tokio `LocalSet`.
///
/// # Errors
/// If the operating system rejects something, or a front does not start.
pub async fn run_seed(setup: &SoakSetup) -> Result<SoakResult, TestbedError> {
    let folder = std::env::temp_dir().join(format!(
        "tulipbridge-soak-{}-{}",
        std::process::id(),
        setup.seed
    ));
    let faults = if setup.calm {
        Vec::new()
    } else {
        draw(setup.seed)
    };
    let result = soak(setup, &faults, &folder).await;
    // What is left over is only a folder.
    let _ = std::fs::remove_dir_all(&folder);
    let recording = result?;
    let is_served = |end: End| matches!(end, End::Answered { status: 200, .. });
    Ok(SoakResult {
        seed: setup.seed,
        requests: recording.requests.len(),
        served: recording
            .requests
            .iter()
            .filter(|request| is_served(request.end))
            .count(),
        attempts: recording.arrivals.len(),
        finds: check(&recording, COLD_START),
        faults,
    })
}

async fn soak(
    setup: &SoakSetup,
    faults: &[ScheduledFault],
    folder: &Path,
) -> Result<Recording, TestbedError> {
    let world = Rc::new(World::open(setup, folder).await?);
    for entry in faults.iter().filter(|entry| is_clock(entry.fault)) {
        world
            .front(entry)
            .set_rules(entry.fault.shim_rules().unwrap_or_default(), true);
    }
    for front in &world.fronts {
        front.start().await?;
    }
    let mut rng = fastrand::Rng::with_seed(setup.seed);
    for (number, front) in world.fronts.iter().enumerate() {
        for _ in 0..CLIENTS {
            let clients = Rc::clone(&world.clients);
            let address = Rc::clone(&front.address);
            spawn_local(client::run(
                clients,
                number,
                address,
                fastrand::Rng::with_seed(rng.u64(..)),
            ));
        }
    }
    for entry in faults {
        spawn_local(Rc::clone(&world).play(*entry));
    }
    sleep(LOAD_TIME).await;
    world.clients.running.set(false);
    sleep(REST_TIME).await;
    for front in &world.fronts {
        // A process that has ended by itself is recorded as that.
        if !front.reap() {
            front.end(Signal::SIGTERM).await;
        }
    }
    let recording = world.recording.borrow().clone();
    Ok(recording)
}

fn is_clock(fault: Fault) -> bool {
    matches!(fault, Fault::ClockAhead | Fault::ClockBehind)
}

async fn listen() -> Result<(TcpListener, SocketAddr), TestbedError> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(TestbedError::system("a socket"))?;
    let address = listener
        .local_addr()
        .map_err(TestbedError::system("a socket"))?;
    Ok((listener, address))
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl World {
    async fn open(setup: &SoakSetup, folder: &Path) -> Result<World, TestbedError> {
        let started = Instant::now();
        let recording: Rc<RefCell<Recording>> = Rc::default();
        let (mut servers, mut entries, mut server_tasks) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..setup.servers {
            let (listener, address) = listen().await?;
            let server = Server::new(number, started, Rc::clone(&recording));
            server_tasks.push((
                address,
                spawn_local(Rc::clone(&server).serve(listener)).abort_handle(),
            ));
            servers.push(server);
            entries.push(Entry {
                address,
                lifecycle: "Ready",
                started_ms: 0,
            });
        }
        let discovery = Discovery::new(entries, setup.fronts, started, Rc::clone(&recording));
        let program = setup
            .program
            .canonicalize()
            .map_err(TestbedError::system("the program"))?;
        let mut fronts = Vec::new();
        for number in 0..setup.fronts {
            let (listener, address) = listen().await?;
            spawn_local(Rc::clone(&discovery).serve(number, listener));
            let folder = folder.join(number.to_string());
            std::fs::create_dir_all(&folder).map_err(TestbedError::system("a folder"))?;
            let config = config(setup, number, address, &discovery.list());
            std::fs::write(folder.join("config.json"), config)
                .map_err(TestbedError::system("a file"))?;
            let shim = program.with_file_name("libtulipbridge_fault_shim.so");
            let setup = FrontSetup {
                number,
                program: program.clone(),
                shim,
                folder,
                discovery: address,
            };
            fronts.push(Front::new(setup, started, Rc::clone(&recording)));
        }
        let clients = Rc::new(ClientWorld {
            started,
            recording: Rc::clone(&recording),
            running: Cell::new(true),
            fault: Cell::new(None),
            shards: setup.servers,
        });
        let server_tasks = RefCell::new(server_tasks);
        Ok(World {
            fronts,
            servers,
            server_tasks,
            discovery,
            clients,
            recording,
            started,
        })
    }

    fn front(&self, entry: &ScheduledFault) -> &Rc<Front> {
        &self.fronts[entry.target % self.fronts.len()]
    }

    /// Plays one fault in its time.
    async fn play(self: Rc<Self>, entry: ScheduledFault) {
        sleep(entry.from).await;
        let length = entry.until - entry.from;
        match entry.fault {
            Fault::FrontRestarted
            | Fault::FrontKilled
            | Fault::FrontPausedBriefly
            | Fault::FrontPausedLong
            | Fault::Reloads
            | Fault::BrokenReload => self.fault_front(&entry, length).await,
            Fault::ServerDrains
            | Fault::ServerRestarted
            | Fault::ServerHangs
            | Fault::ServerResets
            | Fault::ServerSlow
            | Fault::ServerRejects
            | Fault::ServerCloses => self.fault_server(&entry, length).await,
            Fault::DiscoveryDown | Fault::DiscoverySilent | Fault::DiscoverySlow => {
                self.discovery.fault.set(Some(entry.fault));
                let from = self.started.elapsed();
                sleep(length).await;
                self.discovery.fault.set(None);
                let span = Span {
                    from,
                    until: self.started.elapsed(),
                };
                self.recording.borrow_mut().discovery_outages.push(span);
            }
            Fault::ClientsLeave | Fault::ClientsStop | Fault::ClientsBurst => {
                self.clients.fault.set(Some(entry.fault));
                sleep(length).await;
                self.clients.fault.set(None);
            }
            Fault::AcceptFails
            | Fault::ConnectFails
            | Fault::ShortTransfers
            | Fault::Interrupts => {
                let rules = entry.fault.shim_rules().unwrap_or_default();
                self.fronts
                    .iter()
                    .for_each(|front| front.set_rules(rules, true));
                sleep(length).await;
                self.fronts
                    .iter()
                    .for_each(|front| front.set_rules(rules, false));
            }
            // In force since before the start.
            Fault::ClockAhead | Fault::ClockBehind => {}
        }
    }

    async fn fault_front(&self, entry: &ScheduledFault, length: Duration) {
        let front = self.front(entry);
        match entry.fault {
            Fault::FrontRestarted => self.restart_front(front, Signal::SIGTERM).await,
            Fault::FrontKilled => self.restart_front(front, Signal::SIGKILL).await,
            Fault::FrontPausedBriefly => {
                for _ in 0..3 {
                    front.pause(BRIEF_PAUSE).await;
                    sleep(length / 4).await;
                }
            }
            Fault::FrontPausedLong => front.pause(LONG_PAUSE).await,
            Fault::BrokenReload => {
                front.reload("\"MostTries\": 3", "\"MostTries\": \"three\"");
                // A front that starts on a broken file refuses to, as its pages say.
                sleep(BROKEN_FILE_TIME).await;
                front.reload("\"MostTries\": \"three\"", "\"MostTries\": 3");
            }
            _ => {
                for worth in ["3.0", "3.1", "3.2", "3.3"].windows(2) {
                    let text = |worth: &str| format!("\"Points\": {worth}");
                    front.reload(&text(worth[0]), &text(worth[1]));
                    sleep(length / 4).await;
                }
            }
        }
    }

    async fn fault_server(&self, entry: &ScheduledFault, length: Duration) {
        let number = entry.target % self.servers.len();
        match entry.fault {
            Fault::ServerDrains => {
                self.discovery.change(number, "Terminating", None);
                sleep(length).await;
                self.discovery.change(number, "Ready", None);
            }
            Fault::ServerRestarted => self.restart_server(number).await,
            _ => {
                self.servers[number].fault.set(Some(entry.fault));
                sleep(length).await;
                self.servers[number].fault.set(None);
            }
        }
    }

    async fn restart_front(&self, front: &Front, signal: Signal) {
        front.end(signal).await;
        // A front that does not start is recorded as never ready.
        let _ = front.start().await;
    }

    async fn restart_server(&self, number: usize) {
        let (address, task) = self.server_tasks.borrow()[number].clone();
        task.abort();
        self.servers[number].drop_connections();
        sleep(LIST_DELAY).await;
        self.discovery.change(number, "Gone", None);
        sleep(SERVER_GONE).await;
        let Ok(listener) = TcpListener::bind(address).await else {
            return;
        };
        let started_ms = unix_ms();
        let started_at = self.started.elapsed();
        self.recording
            .borrow_mut()
            .starts
            .push((number, started_at));
        let task = spawn_local(Rc::clone(&self.servers[number]).serve(listener)).abort_handle();
        self.server_tasks.borrow_mut()[number] = (address, task);
        sleep(LIST_DELAY).await;
        self.discovery.change(number, "Ready", Some(started_ms));
    }
}

/// The configuration of a front.
fn config(setup: &SoakSetup, number: usize, discovery: SocketAddr, known: &str) -> String {
    let settings = SETTINGS
        .replace("\"CeilingRate\": 40.0", "\"CeilingRate\": 0.0")
        .replace("\"Shards\": 1,", &format!("\"Shards\": {},", setup.servers))
        .replace(
            "\"Balancers\": 4",
            &format!("\"Balancers\": {}", setup.fronts),
        );
    format!(
        r#"{{"name": "soak-{number}", "listen": "127.0.0.1:0", "console": "127.0.0.1:0", "seed": "{:x}",
        "discovery": "{discovery}", "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 256}},
        "known": {known}, "settings": {settings}}}"#,
        setup.seed.wrapping_mul(31).wrapping_add(number as u64) % 0xffff_ffff,
    )
}
