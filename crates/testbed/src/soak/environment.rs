//! The processes and stand-ins of one soak run: fronts, chunk servers, discovery and clients.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

use nix::sys::signal::Signal;
use tokio::task::spawn_local;

use super::client::{Client, ClientGroup};
use super::config::SoakSetup;
use super::discovery::{Discovery, Endpoint, Lifecycle};
use super::fault::ScheduledFault;
use super::front::{Front, FrontSetup};
use super::recording::Recording;
use super::server::Server;
use crate::loopback::LoopbackListener;
use crate::testbed::TestbedError;

/// The library that makes system calls fail; it lies beside the program under test.
const FAULT_SHIM: &str = "libtulipbridge_fault_shim.so";
/// How many clients send requests to each front.
const CLIENTS_PER_FRONT: usize = 4;

/// Everything that takes part in a run.
pub struct Environment {
    fronts: Vec<Rc<Front>>,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    clients: Rc<ClientGroup>,
    recording: Rc<RefCell<Recording>>,
}

impl Environment {
    /// Starts chunk servers and discovery, and prepares the fronts, whose files go into
    /// `directory`. The fronts are not started.
    ///
    /// # Errors
    /// If the operating system rejects something.
    pub async fn open(setup: &SoakSetup, directory: &Path) -> Result<Environment, TestbedError> {
        let started_at = Instant::now();
        let recording: Rc<RefCell<Recording>> = Rc::default();
        let mut servers = Vec::new();
        let mut endpoints = Vec::new();
        for number in 0..setup.servers {
            let LoopbackListener { listener, address } =
                LoopbackListener::open("a chunk server's socket").await?;
            let server = Server::new(number, address, started_at, Rc::clone(&recording));
            server.serve(listener);
            servers.push(server);
            endpoints.push(Endpoint {
                address,
                lifecycle: Lifecycle::Ready,
                started_ms: 0,
            });
        }
        let discovery = Discovery::new(endpoints, setup.fronts, started_at, Rc::clone(&recording));
        let program = setup
            .program
            .canonicalize()
            .map_err(TestbedError::file("the program", &setup.program))?;
        let mut fronts = Vec::new();
        for number in 0..setup.fronts {
            let LoopbackListener { listener, address } =
                LoopbackListener::open("discovery's socket").await?;
            spawn_local(Rc::clone(&discovery).serve(number, listener));
            let front_setup = FrontSetup {
                number,
                program: program.clone(),
                fault_shim: program.with_file_name(FAULT_SHIM),
                directory: directory.join(number.to_string()),
                discovery: address,
            };
            let config = setup.front_config(number, address, &discovery.endpoint_list());
            let front = Front::new(front_setup, started_at, Rc::clone(&recording));
            front.write_config(&config)?;
            fronts.push(front);
        }
        let clients = ClientGroup::new(started_at, Rc::clone(&recording), setup.servers);
        Ok(Environment {
            fronts,
            servers,
            discovery,
            clients,
            recording,
        })
    }

    /// Starts every front and waits until each is ready.
    ///
    /// # Errors
    /// If one does not start.
    pub async fn start_fronts(&self) -> Result<(), TestbedError> {
        for front in &self.fronts {
            front.start().await?;
        }
        Ok(())
    }

    /// Starts the clients of every front, whose random choices are determined by a seed.
    pub fn start_clients(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        for front in &self.fronts {
            for _ in 0..CLIENTS_PER_FRONT {
                let client = Client {
                    group: Rc::clone(&self.clients),
                    front: front.number(),
                    address: front.client_address(),
                };
                spawn_local(client.run(fastrand::Rng::with_seed(rng.u64(..))));
            }
        }
    }

    /// Shuts every front down and waits until it has ended. A process that has already ended by
    /// itself is recorded as that.
    pub async fn stop_fronts(&self) {
        for front in &self.fronts {
            if !front.reap() {
                front.end(Signal::SIGTERM).await;
            }
        }
    }

    /// Everything recorded so far.
    pub fn recording(&self) -> Recording {
        self.recording.borrow().clone()
    }

    /// All fronts.
    pub fn fronts(&self) -> &[Rc<Front>] {
        &self.fronts
    }

    /// The front that a fault affects.
    pub fn front_of(&self, scheduled: &ScheduledFault) -> &Front {
        &self.fronts[scheduled.target % self.fronts.len()]
    }

    /// The chunk server that a fault affects.
    pub fn server_of(&self, scheduled: &ScheduledFault) -> &Rc<Server> {
        &self.servers[scheduled.target % self.servers.len()]
    }

    /// Discovery.
    pub fn discovery(&self) -> &Discovery {
        &self.discovery
    }

    /// The clients of all fronts.
    pub fn clients(&self) -> &ClientGroup {
        &self.clients
    }
}
