//! A front of a soak: a process of the program under the fault shim, started anew where a fault
//! ends it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::recording::{ProcessRecord, Recording, Span};
use super::wire::MessageReader;
use crate::testbed::TestbedError;

/// How often a process is looked at.
const POLL: Duration = Duration::from_millis(10);
/// The longest time for a process to announce its addresses, to be ready, or to end.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(15);
/// The longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Where things of a front are.
pub struct FrontSetup {
    /// The front's number.
    pub number: usize,
    /// The program.
    pub program: PathBuf,
    /// The library that makes calls fail.
    pub shim: PathBuf,
    /// The front's folder, with its configuration.
    pub folder: PathBuf,
    /// Discovery for this front.
    pub discovery: SocketAddr,
}

/// A front.
pub struct Front {
    setup: FrontSetup,
    started: Instant,
    recording: Rc<RefCell<Recording>>,
    child: RefCell<Option<Child>>,
    /// The number of its present process in the recording.
    record: Cell<usize>,
    console: Cell<Option<SocketAddr>>,
    /// Where clients connect, while the front is in use.
    pub address: Rc<Cell<Option<SocketAddr>>>,
    rules: RefCell<Vec<&'static str>>,
}

impl Drop for Front {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            // It may have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Front {
    /// A front that is not started.
    pub fn new(
        setup: FrontSetup,
        started: Instant,
        recording: Rc<RefCell<Recording>>,
    ) -> Rc<Front> {
        Rc::new(Front {
            setup,
            started,
            recording,
            child: RefCell::default(),
            record: Cell::new(0),
            console: Cell::new(None),
            address: Rc::default(),
            rules: RefCell::default(),
        })
    }

    /// Puts rules of the fault shim in force, or ends them.
    pub fn set_rules(&self, rules: &'static str, in_force: bool) {
        let mut all = self.rules.borrow_mut();
        all.retain(|other| *other != rules);
        if in_force {
            all.push(rules);
        }
        let (file, next) = (
            self.setup.folder.join("faults"),
            self.setup.folder.join("faults.next"),
        );
        // Without its rules a soak is only milder.
        let _ = std::fs::write(&next, all.concat()).and_then(|()| std::fs::rename(&next, &file));
    }

    /// Starts a process and waits until it is ready.
    ///
    /// # Errors
    /// The process cannot be started, or does not announce its addresses.
    pub async fn start(&self) -> Result<(), TestbedError> {
        let log = self.setup.folder.join("log");
        let file = std::fs::File::create(&log).map_err(TestbedError::system("a log"))?;
        let mut command = Command::new(&self.setup.program);
        command
            .env("BALANCER_CONFIG", self.setup.folder.join("config.json"))
            .env("BALANCER_DISCOVERY", self.setup.discovery.to_string())
            .env("TMPDIR", &self.setup.folder)
            .env("LD_PRELOAD", &self.setup.shim)
            .env("FAULT_SHIM_RULES", self.setup.folder.join("faults"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file);
        let child = command
            .spawn()
            .map_err(TestbedError::system("starting the program"))?;
        *self.child.borrow_mut() = Some(child);
        self.record_start();
        let address = self.announced(&log, "listening on ").await?;
        self.console
            .set(Some(self.announced(&log, "console on ").await?));
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        while Instant::now() < deadline {
            if get(address, "/health/ready")
                .await
                .is_some_and(|answer| answer.status() == 200)
            {
                self.with_record(|record, now| record.ready_at = Some(now));
                self.address.set(Some(address));
                return Ok(());
            }
            sleep(POLL).await;
        }
        Ok(())
    }

    fn record_start(&self) {
        let mut recording = self.recording.borrow_mut();
        self.record.set(recording.processes.len());
        recording.processes.push(ProcessRecord {
            front: self.setup.number,
            started_at: self.started.elapsed(),
            ready_at: None,
            terminated_at: None,
            killed_at: None,
            ended_at: None,
            exit_code: None,
            pauses: Vec::new(),
            violations: 0,
        });
    }

    async fn announced(&self, log: &PathBuf, prefix: &str) -> Result<SocketAddr, TestbedError> {
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        loop {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let mut addresses = text.lines().filter_map(|line| line.rsplit_once(prefix));
            if let Some(address) = addresses.find_map(|(_, address)| address.trim().parse().ok()) {
                return Ok(address);
            }
            if Instant::now() >= deadline {
                let last = text.lines().last().unwrap_or_default();
                return Err(TestbedError::not_ready(self.setup.number, last));
            }
            sleep(POLL).await;
        }
    }

    fn with_record(&self, change: impl FnOnce(&mut ProcessRecord, Duration)) {
        let now = self.started.elapsed();
        change(
            &mut self.recording.borrow_mut().processes[self.record.get()],
            now,
        );
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        match signal {
            Signal::SIGTERM => self.with_record(|record, now| record.terminated_at = Some(now)),
            Signal::SIGKILL => self.with_record(|record, now| record.killed_at = Some(now)),
            _ => {}
        }
        if let Some(child) = &*self.child.borrow() {
            // The process may have ended.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Stands the process still for a time.
    pub async fn pause(&self, time: Duration) {
        let from = self.started.elapsed();
        self.signal(Signal::SIGSTOP);
        sleep(time).await;
        self.signal(Signal::SIGCONT);
        self.with_record(|record, now| record.pauses.push(Span { from, until: now }));
    }

    /// Ends the process by a signal and waits for that.
    pub async fn end(&self, signal: Signal) {
        let violations = self.violations().await;
        self.with_record(|record, _| record.violations += violations);
        self.signal(signal);
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        while Instant::now() < deadline {
            if self.reap() {
                return;
            }
            sleep(POLL).await;
        }
    }

    /// Records the end of the process, if it has ended.
    pub fn reap(&self) -> bool {
        let status = self
            .child
            .borrow_mut()
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten());
        let Some(status) = status else { return false };
        *self.child.borrow_mut() = None;
        self.address.set(None);
        self.with_record(|record, now| {
            record.ended_at = Some(now);
            record.exit_code = status.code();
        });
        true
    }

    /// Replaces the first `from` in the configuration by `to`, and has the process take it.
    pub fn reload(&self, from: &str, to: &str) {
        let file = self.setup.folder.join("config.json");
        let Ok(config) = std::fs::read_to_string(&file) else {
            return;
        };
        // Without the new file nothing is reloaded.
        let _ = std::fs::write(&file, config.replacen(from, to, 1));
        self.signal(Signal::SIGHUP);
    }

    /// The rules that the process counts as broken.
    async fn violations(&self) -> u64 {
        let Some(console) = self.console.get() else {
            return 0;
        };
        let Some(answer) = get(console, "/status/metrics").await else {
            return 0;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let counts = text
            .lines()
            .filter(|line| line.starts_with("app_invariant_violations"));
        counts
            .filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok())
            .sum()
    }
}

/// Calls with GET on a connection of its own.
async fn get(address: SocketAddr, path: &str) -> Option<super::wire::Message> {
    let call = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.ok()?;
        MessageReader::new(stream).next().await
    };
    timeout(CALL_TIMEOUT, call).await.ok().flatten()
}
