//! The process of one front: how it is started, and what it announces in its log.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;

use nix::sys::signal::Signal;

use super::error::TestbedError;
use crate::best_effort;

/// The role in which a front's process is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The only one of its name.
    Only,
    /// An accidental second one of its name, with addresses of its own.
    Duplicate,
    /// The second version, at the addresses of the first.
    Successor {
        /// Where clients connect.
        clients: SocketAddr,
        /// Where peers send datagrams.
        peers: Option<SocketAddr>,
    },
}

/// A child process that is killed when dropped.
pub struct ChildProcess(Child);

impl ChildProcess {
    /// Sends a signal. It has no effect if the process has ended.
    pub fn signal(&self, signal: Signal) {
        best_effort::send_signal(&self.0, signal);
    }

    /// The exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().ok().flatten()
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        best_effort::wait(&mut self.0);
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        best_effort::kill_and_wait(&mut self.0);
    }
}

/// A process that has been started, and the lines of its log.
pub struct SpawnedFront {
    /// The process.
    pub child: ChildProcess,
    /// Its log.
    pub log: mpsc::Receiver<String>,
}

impl SpawnedFront {
    /// Starts the program with a front's configuration file and a directory of its own.
    pub fn spawn(
        program: &Path,
        config_file: &Path,
        directory: &Path,
    ) -> Result<SpawnedFront, TestbedError> {
        std::fs::create_dir_all(directory)
            .map_err(TestbedError::file("a front's directory", directory))?;
        let mut command = Command::new(program);
        command.arg("object").arg(config_file);
        command.current_dir(directory).env("TMPDIR", directory);
        command.stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .map_err(TestbedError::file("starting the program", program))?;
        let (sender, log) = mpsc::channel();
        let errors = child.stderr.take();
        std::thread::spawn(move || {
            let lines = errors
                .into_iter()
                .flat_map(|errors| BufReader::new(errors).lines());
            for line in lines.map_while(Result::ok) {
                // The front must be able to continue writing when nobody reads the log any more.
                best_effort::ignore_closed_receiver(sender.send(line));
            }
        });
        Ok(SpawnedFront {
            child: ChildProcess(child),
            log,
        })
    }
}

/// The addresses that a process has announced in its log.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnnouncedAddresses {
    /// Where clients connect.
    pub clients: Option<SocketAddr>,
    /// The console.
    pub console: Option<SocketAddr>,
    /// Where peers send datagrams.
    pub peers: Option<SocketAddr>,
}

impl AnnouncedAddresses {
    /// Takes the address that a log line announces, if any.
    pub fn parse_line(&mut self, line: &str) {
        let address = |prefix: &str| {
            let (_, address) = line.rsplit_once(prefix)?;
            address.trim().parse().ok()
        };
        self.clients = self.clients.or_else(|| address("listening on "));
        self.console = self.console.or_else(|| address("console on "));
        self.peers = self.peers.or_else(|| address("peers at "));
    }
}

/// A front's process that accepts clients.
pub struct FrontProcess {
    /// The process.
    pub child: ChildProcess,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// The console.
    pub console: SocketAddr,
    /// Where it receives datagrams of its peers, once it does.
    pub peers: Option<SocketAddr>,
    /// Where its configuration says that it does; absent if that leaves the port open.
    pub configured_peers: Option<SocketAddr>,
    /// Whether it is paused by a signal.
    pub is_paused: bool,
}

impl FrontProcess {
    /// The role of a process that takes over the addresses of this one.
    pub fn successor_role(&self) -> Role {
        Role::Successor {
            clients: self.clients,
            peers: self.peers,
        }
    }

    /// Sends a signal, and records whether the process is paused.
    pub fn signal(&mut self, signal: Signal) {
        match signal {
            Signal::SIGSTOP => self.is_paused = true,
            Signal::SIGCONT => self.is_paused = false,
            _ => {}
        }
        self.child.signal(signal);
    }
}

/// The first version of a front that has a second one beside it. If it is dropped, its process is
/// killed.
pub struct Predecessor {
    pub(super) process: FrontProcess,
    /// The log of the second version.
    pub(super) successor_log: mpsc::Receiver<String>,
}
