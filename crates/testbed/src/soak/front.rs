//! A front of a soak run: a process of the program under the fault shim, restarted by some faults.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::recording::{ProcessRecord, Recording, Span};
use super::wire::{Message, MessageReader};
use crate::best_effort;
use crate::testbed::TestbedError;

/// How often the state of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The longest time for a process to announce its addresses, to be ready, or to end.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(15);
/// The longest time for one request to the console or to the readiness endpoint.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// The configuration file in a front's directory.
const CONFIG_FILE: &str = "config.json";
/// The log of the current process.
const LOG_FILE: &str = "log";
/// The rules of the fault shim.
const SHIM_RULES_FILE: &str = "faults";
/// The next version of the rules, until it replaces the current one.
const NEXT_SHIM_RULES_FILE: &str = "faults.next";
/// How the log announces the address for clients.
const CLIENT_ADDRESS_PREFIX: &str = "listening on ";
/// How the log announces the address of the console.
const CONSOLE_ADDRESS_PREFIX: &str = "console on ";
/// The path that answers 200 once the front is ready.
const READINESS_PATH: &str = "/health/ready";
/// The path of the metrics on the console.
const METRICS_PATH: &str = "/status/metrics";
/// The metric that counts violations of invariants.
const VIOLATIONS_METRIC: &str = "app_invariant_violations";

/// The parameters of a front.
pub struct FrontSetup {
    /// The index of the front.
    pub number: usize,
    /// The program.
    pub program: PathBuf,
    /// The library that makes system calls fail.
    pub fault_shim: PathBuf,
    /// The directory of the front's files.
    pub directory: PathBuf,
    /// The address of discovery for this front.
    pub discovery: SocketAddr,
}

/// How long after SIGTERM a process may be killed at the earliest: the longest deadline of the
/// soak's classes and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(1_900);
/// How long after the first SIGTERM the second one is sent.
const SECOND_SIGNAL_DELAY: Duration = Duration::from_millis(300);

/// A front, whose process is killed when this value is dropped.
pub struct Front {
    setup: FrontSetup,
    /// When the run started.
    started_at: Instant,
    recording: Rc<RefCell<Recording>>,
    child: RefCell<Option<Child>>,
    /// The index of its current process in the recording.
    record: Cell<usize>,
    console: Cell<Option<SocketAddr>>,
    /// Where clients connect, while the front is in use.
    client_address: Rc<Cell<Option<SocketAddr>>>,
    /// The rules of the fault shim that are in force.
    shim_rules: RefCell<Vec<&'static str>>,
}

impl Drop for Front {
    fn drop(&mut self) {
        if let Some(child) = self.child.borrow_mut().as_mut() {
            best_effort::kill_and_wait(child);
        }
    }
}

impl Front {
    /// A front that is not started.
    pub fn new(
        setup: FrontSetup,
        started_at: Instant,
        recording: Rc<RefCell<Recording>>,
    ) -> Rc<Front> {
        Rc::new(Front {
            setup,
            started_at,
            recording,
            child: RefCell::default(),
            record: Cell::new(0),
            console: Cell::new(None),
            client_address: Rc::default(),
            shim_rules: RefCell::default(),
        })
    }

    /// The index of the front.
    pub fn number(&self) -> usize {
        self.setup.number
    }

    /// Where clients connect, while the front is in use.
    pub fn client_address(&self) -> Rc<Cell<Option<SocketAddr>>> {
        Rc::clone(&self.client_address)
    }

    /// Creates the front's directory with its configuration file.
    ///
    /// # Errors
    /// If the operating system rejects it.
    pub fn write_config(&self, text: &str) -> Result<(), TestbedError> {
        let directory = &self.setup.directory;
        std::fs::create_dir_all(directory).map_err(TestbedError::file("a directory", directory))?;
        let file = self.file(CONFIG_FILE);
        std::fs::write(&file, text).map_err(TestbedError::file("a configuration file", &file))
    }

    /// Puts rules of the fault shim in force.
    pub fn enable_rules(&self, rules: &'static str) {
        self.disable_rules(rules);
        self.shim_rules.borrow_mut().push(rules);
        self.write_shim_rules();
    }

    /// Ends rules of the fault shim.
    pub fn disable_rules(&self, rules: &'static str) {
        self.shim_rules.borrow_mut().retain(|other| *other != rules);
        self.write_shim_rules();
    }

    /// Replaces the file of rules, so that a process never reads a part of it.
    fn write_shim_rules(&self) {
        let next = self.file(NEXT_SHIM_RULES_FILE);
        let text = self.shim_rules.borrow().concat();
        let written = std::fs::write(&next, text)
            .and_then(|()| std::fs::rename(&next, self.file(SHIM_RULES_FILE)));
        keep_previous_file(written);
    }

    /// Starts a process and waits until it is ready. One that never is ready is recorded as that.
    ///
    /// # Errors
    /// If the process cannot be started, or does not announce its addresses.
    pub async fn start(&self) -> Result<(), TestbedError> {
        let log = self.file(LOG_FILE);
        let child = self.spawn(&log)?;
        *self.child.borrow_mut() = Some(child);
        self.record_start();
        let address = self.announced_address(&log, CLIENT_ADDRESS_PREFIX).await?;
        let console = self.announced_address(&log, CONSOLE_ADDRESS_PREFIX).await?;
        self.console.set(Some(console));
        if is_ready_in_time(address).await {
            self.update_record(|record, now| record.ready_at = Some(now));
            self.client_address.set(Some(address));
        }
        Ok(())
    }

    /// Starts a process under the fault shim, whose errors go to a log file.
    fn spawn(&self, log: &Path) -> Result<Child, TestbedError> {
        let log_file = std::fs::File::create(log).map_err(TestbedError::file("a log", log))?;
        let mut command = Command::new(&self.setup.program);
        command
            .env("BALANCER_CONFIG", self.file(CONFIG_FILE))
            .env("BALANCER_DISCOVERY", self.setup.discovery.to_string())
            .env("TMPDIR", &self.setup.directory)
            .env("LD_PRELOAD", &self.setup.fault_shim)
            .env("FAULT_SHIM_RULES", self.file(SHIM_RULES_FILE))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file);
        command.spawn().map_err(TestbedError::file(
            "starting the program",
            &self.setup.program,
        ))
    }

    /// The path of a file in the front's directory.
    fn file(&self, name: &str) -> PathBuf {
        self.setup.directory.join(name)
    }

    /// Begins the record of a process that has just been started.
    fn record_start(&self) {
        let mut recording = self.recording.borrow_mut();
        self.record.set(recording.processes.len());
        let record = ProcessRecord::new(self.setup.number, self.started_at.elapsed());
        recording.processes.push(record);
    }

    /// Waits until the log announces an address after a prefix.
    async fn announced_address(
        &self,
        log: &Path,
        prefix: &str,
    ) -> Result<SocketAddr, TestbedError> {
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        loop {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let mut candidates = text.lines().filter_map(|line| line.rsplit_once(prefix));
            let address = candidates.find_map(|(_, address)| address.trim().parse().ok());
            if let Some(address) = address {
                return Ok(address);
            }
            if Instant::now() >= deadline {
                let last_line = text.lines().last().unwrap_or_default();
                return Err(TestbedError::not_ready(self.setup.number, last_line));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Changes the record of the current process. The closure also gets the time since the start
    /// of the run.
    fn update_record(&self, change: impl FnOnce(&mut ProcessRecord, Duration)) {
        let now = self.started_at.elapsed();
        let mut recording = self.recording.borrow_mut();
        change(&mut recording.processes[self.record.get()], now);
    }

    /// Sends a signal to the process, and records it if it ends the process.
    fn signal(&self, signal: Signal) {
        match signal {
            Signal::SIGTERM => self.update_record(|record, now| record.terminated_at = Some(now)),
            Signal::SIGKILL => self.update_record(|record, now| record.killed_at = Some(now)),
            _ => {}
        }
        if let Some(child) = &*self.child.borrow() {
            best_effort::send_signal(child, signal);
        }
    }

    /// Pauses the process for a while.
    pub async fn pause(&self, duration: Duration) {
        let from = self.started_at.elapsed();
        self.signal(Signal::SIGSTOP);
        sleep(duration).await;
        self.signal(Signal::SIGCONT);
        self.update_record(|record, now| record.pauses.push(Span { from, until: now }));
    }

    /// Ends the process with a signal and waits until it has ended.
    pub async fn end(&self, signal: Signal) {
        let violations = self.violations().await;
        self.update_record(|record, _| record.violations += violations);
        self.signal(signal);
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        while Instant::now() < deadline {
            if self.reap() {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Ends the process with a signal and starts another one.
    pub async fn restart(&self, signal: Signal) {
        self.end(signal).await;
        leave_to_checker(self.start().await);
    }

    /// Makes the process reload its configuration and shut down, asks it to do so again, and kills
    /// it at the earliest time if it has not ended; then starts another one.
    pub async fn restart_at_the_earliest(&self) {
        let violations = self.violations().await;
        self.update_record(|record, _| record.violations += violations);
        self.signal(Signal::SIGHUP);
        self.signal(Signal::SIGTERM);
        let kill_at = Instant::now() + EARLIEST_KILL;
        sleep(SECOND_SIGNAL_DELAY).await;
        if let Some(child) = &*self.child.borrow() {
            best_effort::send_signal(child, Signal::SIGTERM);
        }
        while !self.reap() {
            if Instant::now() >= kill_at {
                return self.restart(Signal::SIGKILL).await;
            }
            sleep(POLL_INTERVAL).await;
        }
        leave_to_checker(self.start().await);
    }

    /// Records the end of the process, if it has ended; returns whether it has.
    pub fn reap(&self) -> bool {
        let status = self
            .child
            .borrow_mut()
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten());
        let Some(status) = status else { return false };
        *self.child.borrow_mut() = None;
        self.client_address.set(None);
        self.update_record(|record, now| {
            record.ended_at = Some(now);
            record.exit_code = status.code();
        });
        true
    }

    /// Replaces the first occurrence of a text in the configuration, and makes the process reload
    /// it.
    pub fn reload(&self, from: &str, to: &str) {
        let file = self.file(CONFIG_FILE);
        let Ok(config) = std::fs::read_to_string(&file) else {
            return;
        };
        keep_previous_file(std::fs::write(&file, config.replacen(from, to, 1)));
        self.signal(Signal::SIGHUP);
    }

    /// How many violations of invariants the process has counted; 0 if it does not answer.
    async fn violations(&self) -> u64 {
        let Some(console) = self.console.get() else {
            return 0;
        };
        let Some(response) = get(console, METRICS_PATH).await else {
            return 0;
        };
        let metrics = String::from_utf8_lossy(&response.body);
        metrics
            .lines()
            .filter(|line| line.starts_with(VIOLATIONS_METRIC))
            .filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok())
            .sum()
    }
}

/// Ignores that a file could not be written: the previous one stays in force, and the run has a
/// fault less.
fn keep_previous_file(_written: std::io::Result<()>) {}

/// Ignores that a process was not ready: the recording shows it, and the checker reports it.
fn leave_to_checker(_started: Result<(), TestbedError>) {}

/// Waits until a front is ready for clients; false if it is not in time.
async fn is_ready_in_time(address: SocketAddr) -> bool {
    let deadline = Instant::now() + PROCESS_TIMEOUT;
    while Instant::now() < deadline {
        let response = get(address, READINESS_PATH).await;
        if response.is_some_and(|response| response.status() == 200) {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Sends a GET request on a connection of its own; `None` if no response comes in time.
async fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.ok()?;
        MessageReader::new(stream).next().await
    };
    timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten()
}
