//! Starting, upgrading, signaling and ending the processes of fronts.

use std::path::Path;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::error::TestbedError;
use super::front_config::{FrontConfig, RosterVersion};
use super::front_process::{AnnouncedAddresses, FrontProcess, Predecessor, Role, SpawnedFront};
use super::Testbed;

/// The highest floor in hundredths that a front's file can have.
const MAX_FLOOR_PERCENT: u8 = 99;
/// How long a front may take to announce its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A process that has become that of its front.
struct Adopted {
    /// Its log from then on.
    log: mpsc::Receiver<String>,
    /// The process that the front had before.
    predecessor: Option<FrontProcess>,
}

impl Testbed {
    /// Starts a front's process without any state, and waits until it accepts clients.
    ///
    /// # Errors
    /// If it does not start.
    pub async fn start(&mut self, front: usize) -> Result<(), TestbedError> {
        let role = Role::Only;
        let spawned = self.spawn(front, role)?;
        let has_peers = self.config.has_peers();
        let is_ready = |addresses: &AnnouncedAddresses| {
            addresses.clients.is_some()
                && addresses.console.is_some()
                && (!has_peers || addresses.peers.is_some())
        };
        self.adopt(front, role, spawned, is_ready).await?;
        Ok(())
    }

    /// Starts a second version of a front at the addresses of the first, shuts the first one down
    /// once the second accepts clients, and waits until the second receives datagrams of its peers.
    /// Nothing happens if the front does not run or is paused.
    ///
    /// # Errors
    /// If the second version does not start, or does not come to receive datagrams.
    pub async fn upgrade(&mut self, front: usize) -> Result<(), TestbedError> {
        if self.fronts[front]
            .borrow()
            .as_ref()
            .is_none_or(|running| running.is_paused)
        {
            return Ok(());
        }
        let predecessor = self.start_successor(front).await?;
        self.finish_upgrade(front, predecessor).await
    }

    /// Starts a second version of a front at the addresses of the first. The second is the front
    /// from then on, and the first is paused, so that it accepts no client.
    ///
    /// # Errors
    /// If the front does not run, or the second version does not start.
    pub async fn start_successor(&self, front: usize) -> Result<Predecessor, TestbedError> {
        let role = self.fronts[front]
            .borrow()
            .as_ref()
            .map(FrontProcess::successor_role);
        let not_running = || TestbedError::not_ready(front, "there is no first one");
        let role = role.ok_or_else(not_running)?;
        let spawned = self.spawn(front, role)?;
        let is_ready = |addresses: &AnnouncedAddresses| {
            addresses.clients.is_some() && addresses.console.is_some()
        };
        let Adopted { log, predecessor } = self.adopt(front, role, spawned, is_ready).await?;
        let has_ended = || TestbedError::not_ready(front, "the first one is gone");
        let process = predecessor.ok_or_else(has_ended)?;
        process.child.signal(Signal::SIGSTOP);
        Ok(Predecessor {
            process,
            successor_log: log,
        })
    }

    /// Shuts the first version down, and waits until the second one receives datagrams of its
    /// peers.
    ///
    /// # Errors
    /// If it does not.
    pub async fn finish_upgrade(
        &self,
        front: usize,
        predecessor: Predecessor,
    ) -> Result<(), TestbedError> {
        let Predecessor {
            mut process,
            successor_log,
        } = predecessor;
        process.child.signal(Signal::SIGTERM);
        process.child.signal(Signal::SIGCONT);
        let deadline = Instant::now() + START_TIMEOUT;
        let mut addresses = AnnouncedAddresses::default();
        while process.peers.is_some() && addresses.peers.is_none() {
            successor_log
                .try_iter()
                .for_each(|line| addresses.parse_line(&line));
            if Instant::now() >= deadline {
                return Err(TestbedError::not_ready(front, "it does not hear its peers"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        process.child.wait();
        if let Some(successor) = self.fronts[front].borrow_mut().as_mut() {
            successor.peers = addresses.peers;
        }
        Ok(())
    }

    /// Sends a front a signal, if it runs.
    pub fn signal(&self, front: usize, signal: Signal) {
        if let Some(running) = self.fronts[front].borrow_mut().as_mut() {
            running.signal(signal);
        }
    }

    /// Ends a front with a signal and waits until it has ended. Returns the exit code; `None` if it
    /// did not run, or was ended by the signal.
    pub async fn terminate(&self, front: usize, signal: Signal) -> Option<i32> {
        self.signal(front, signal);
        loop {
            let status = self.fronts[front]
                .borrow_mut()
                .as_mut()?
                .child
                .exit_status();
            if let Some(status) = status {
                *self.fronts[front].borrow_mut() = None;
                return status.code();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a process has announced enough addresses, and makes it that of its front.
    async fn adopt(
        &self,
        front: usize,
        role: Role,
        spawned: SpawnedFront,
        is_ready: impl Fn(&AnnouncedAddresses) -> bool,
    ) -> Result<Adopted, TestbedError> {
        let SpawnedFront { child, log } = spawned;
        let addresses = wait_ready(front, &log, is_ready).await?;
        let mut predecessor = None;
        if let AnnouncedAddresses {
            clients: Some(clients),
            console: Some(console),
            peers,
        } = addresses
        {
            let configured_peers = match role {
                Role::Successor { peers, .. } => peers,
                Role::Only | Role::Duplicate => None,
            };
            let process = FrontProcess {
                child,
                clients,
                console,
                peers,
                configured_peers,
                is_paused: false,
            };
            predecessor = self.fronts[front].borrow_mut().replace(process);
        }
        if addresses.peers.is_some() {
            self.environment
                .peer_links()
                .set_target(front, addresses.peers);
        }
        Ok(Adopted { log, predecessor })
    }

    /// Writes a configuration file and starts a process with a front's name.
    pub(super) fn spawn(&self, front: usize, role: Role) -> Result<SpawnedFront, TestbedError> {
        let suffix = if role == Role::Duplicate { "-twin" } else { "" };
        let config_file = self.directory.join(format!("front-{front}{suffix}.json"));
        self.write_config(&config_file, front, role)?;
        SpawnedFront::spawn(
            &self.program,
            &config_file,
            &self.directory.join(format!("front-{front}")),
        )
    }

    /// Rewrites a front's configuration file with the addresses that it has. The front reads it at
    /// its next SIGHUP.
    pub(super) fn rewrite_config(&self, front: usize) -> Result<(), TestbedError> {
        let running = self.fronts[front].borrow();
        let Some(running) = running.as_ref() else {
            return Ok(());
        };
        let role = Role::Successor {
            clients: running.clients,
            peers: running.configured_peers,
        };
        let config_file = self.directory.join(format!("front-{front}.json"));
        self.write_config(&config_file, front, role)
    }

    /// Writes the configuration file of a front.
    fn write_config(&self, file: &Path, front: usize, role: Role) -> Result<(), TestbedError> {
        let config = FrontConfig {
            testbed: &self.config,
            environment: &self.environment,
            roster: self.roster,
            key_file: &self.key_file(),
            front,
            role,
        };
        std::fs::write(file, config.text())
            .map_err(TestbedError::file("a front's configuration file", file))
    }

    /// Ends the duplicate process that has run for the longest, and keeps its log.
    pub(super) fn end_duplicate(&mut self) {
        if let Some(duplicate) = self.duplicates.pop_front() {
            for line in duplicate.log.try_iter() {
                self.duplicate_log += &line;
                self.duplicate_log += "\n";
            }
        }
    }

    /// Writes the next roster, with this floor, into the files of all fronts.
    pub(super) fn write_roster(&mut self, floor_percent: u8) -> Result<(), TestbedError> {
        let revision = self.roster.revision + 1;
        self.roster = RosterVersion {
            revision,
            floor_percent: floor_percent.min(MAX_FLOOR_PERCENT),
        };
        (0..self.config.fronts).try_for_each(|front| self.rewrite_config(front))
    }
}

/// Waits until a log has announced enough addresses.
async fn wait_ready(
    front: usize,
    log: &mpsc::Receiver<String>,
    is_ready: impl Fn(&AnnouncedAddresses) -> bool,
) -> Result<AnnouncedAddresses, TestbedError> {
    let deadline = Instant::now() + START_TIMEOUT;
    let mut addresses = AnnouncedAddresses::default();
    let mut last_line = String::new();
    while !is_ready(&addresses) {
        match log.try_recv() {
            Ok(line) => {
                addresses.parse_line(&line);
                last_line = line;
            }
            Err(mpsc::TryRecvError::Empty) if Instant::now() < deadline => {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Err(_) => return Err(TestbedError::not_ready(front, &last_line)),
        }
    }
    Ok(addresses)
}
