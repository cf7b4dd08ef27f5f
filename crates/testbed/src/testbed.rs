//! Many processes of the built program: object fronts with stand-ins for chunk servers and
//! discovery, clients of each front, and a proxy on every link. All are on loopback, with ports
//! that the system chooses.
//!
//! The parts are tasks on one thread: [`Testbed::start_all`] must be called inside a tokio
//! `LocalSet`.

mod clients;
mod config;
mod console;
mod environment;
mod error;
mod fault_actions;
mod front_config;
mod front_process;
mod lifecycle;
mod measurements;
mod observations;
mod peer_links;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
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
use self::environment::Environment;
use self::fault_actions::{actions, Action, TimedAction};
use self::front_config::RosterVersion;
use self::front_process::{FrontProcess, Role, SpawnedFront};
use crate::best_effort;
use crate::schedule::{Fault, Schedule};

/// The key of the fronts' messages.
const KEY: &str = "a key of the lab's fronts, and of no others";
/// The roster that fronts start with.
const FIRST_ROSTER: RosterVersion = RosterVersion {
    revision: 1,
    floor_percent: 10,
};

/// A fleet of fronts with everything that surrounds it. Its processes end when it is dropped.
pub struct Testbed {
    program: PathBuf,
    /// The temporary directory of all files.
    directory: PathBuf,
    config: TestbedConfig,
    environment: Environment,
    roster: RosterVersion,
    /// The process of each front; `None` if it does not run.
    fronts: Vec<Rc<RefCell<Option<FrontProcess>>>>,
    /// Duplicate processes of a front, the one that has run for the longest first.
    duplicates: VecDeque<SpawnedFront>,
    duplicate_log: String,
    /// Requests a second of each front's clients.
    request_rates: Vec<Rc<Cell<u32>>>,
    requests: Rc<RefCell<Vec<ClientRequest>>>,
    started_at: Instant,
    /// The tasks of the clients.
    client_tasks: Vec<JoinHandle<()>>,
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

    /// A testbed of which no front runs.
    async fn without_fronts(
        program: &Path,
        config: TestbedConfig,
    ) -> Result<Testbed, TestbedError> {
        let started_at = Instant::now();
        let environment = Environment::open(&config, started_at).await?;
        let testbed = Testbed {
            // Each front has a directory of its own, where a relative path would lead elsewhere.
            program: program
                .canonicalize()
                .map_err(TestbedError::file("the program", program))?,
            directory: create_directory()?,
            config,
            environment,
            roster: FIRST_ROSTER,
            fronts: (0..config.fronts).map(|_| Rc::default()).collect(),
            duplicates: VecDeque::new(),
            duplicate_log: String::new(),
            request_rates: (0..config.fronts).map(|_| Rc::default()).collect(),
            requests: Rc::default(),
            started_at,
            client_tasks: Vec::new(),
        };
        let key_file = testbed.key_file();
        std::fs::write(&key_file, KEY).map_err(TestbedError::file("a key file", &key_file))?;
        Ok(testbed)
    }

    /// Starts the clients of a front, which send nothing until it has a load.
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
        self.client_tasks.push(spawn_local(clients.run(rng)));
    }

    /// The file with the key of the fronts' messages.
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

    /// Sends every front datagrams for a while that no front has sent.
    pub async fn send_unauthenticated_datagrams(&self, per_second: u32, duration: Duration) {
        let rng = fastrand::Rng::with_seed(self.config.seed);
        let peer_links = self.environment.peer_links();
        peer_links
            .send_unauthenticated_datagrams(per_second, duration, rng)
            .await;
    }

    /// Injects a fault and waits until it is over: also until a paused front has resumed, or a
    /// killed one is started again, if the fault says when.
    ///
    /// # Errors
    /// If a front does not start again.
    pub async fn inject(&mut self, fault: &Fault) -> Result<(), TestbedError> {
        for TimedAction { after, action } in actions(fault, self.config.fronts) {
            tokio::time::sleep(after).await;
            self.apply(action).await?;
        }
        Ok(())
    }

    /// Injects several faults, one after another.
    ///
    /// # Errors
    /// If a front does not start again.
    pub async fn inject_all(&mut self, faults: &[Fault]) -> Result<(), TestbedError> {
        for fault in faults {
            self.inject(fault).await?;
        }
        Ok(())
    }

    /// Runs a schedule to its end, each fault and each end of one at its time.
    ///
    /// # Errors
    /// If a front does not start again.
    pub async fn run_schedule(&mut self, schedule: &Schedule) -> Result<(), TestbedError> {
        let started_at = Instant::now();
        for due in fault_actions::timetable(schedule, self.config.fronts) {
            tokio::time::sleep_until((started_at + due.after).into()).await;
            self.apply(due.action).await?;
        }
        let end = started_at + schedule.duration;
        tokio::time::sleep_until(end.into()).await;
        Ok(())
    }

    /// Applies one action of a fault.
    async fn apply(&mut self, action: Action) -> Result<(), TestbedError> {
        let environment = &self.environment;
        match action {
            Action::Cut { from, to } => environment.peer_links().cut(from, to),
            Action::Partition(side) => environment.peer_links().partition(&side),
            Action::HealTcpLinks => environment.heal_tcp_links(),
            Action::SetDatagramFaults(faults) => environment.peer_links().set_faults(faults),
            Action::SetLoad { front, rate } => self.set_load(front, rate),
            Action::SetServerLink {
                front,
                server,
                state,
            } => environment.set_server_link(front, server, state),
            Action::SetDiscoveryLink { front, state } => {
                environment.set_discovery_link(front, state);
            }
            Action::SetServer {
                server,
                latency,
                failure_percent,
            } => environment.set_server(server, latency, failure_percent),
            Action::RestartServer(server) => environment.announce_restart(server),
            Action::Signal { front, signal } => self.signal(front, signal),
            Action::End { front, signal } => {
                // A paused front would not shut down.
                self.signal(front, Signal::SIGCONT);
                self.terminate(front, signal).await;
            }
            Action::Start(front) => {
                if !self.is_running(front) {
                    self.start(front).await?;
                }
            }
            Action::StartDuplicate(front) => {
                let duplicate = self.spawn(front, Role::Duplicate)?;
                self.duplicates.push_back(duplicate);
            }
            Action::EndDuplicate => self.end_duplicate(),
            Action::Upgrade(front) => self.upgrade(front).await?,
            Action::WriteRoster { floor_percent } => self.write_roster(floor_percent)?,
        }
        Ok(())
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        for task in &self.client_tasks {
            task.abort();
        }
        // The processes end before their directory is removed.
        self.fronts
            .iter()
            .for_each(|front| drop(front.borrow_mut().take()));
        self.duplicates.clear();
        best_effort::remove_directory(&self.directory);
    }
}

/// Creates a temporary directory for the files of a testbed.
fn create_directory() -> Result<PathBuf, TestbedError> {
    let name = format!(
        "tulipbridge-testbed-{}-{}",
        std::process::id(),
        fastrand::u32(..)
    );
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).map_err(TestbedError::file("a directory", &directory))?;
    Ok(directory)
}
