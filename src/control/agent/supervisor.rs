//! Supervises the process of one front: starts it, restarts it with growing pauses when it crashes,
//! and stops it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::process::Child;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

use crate::control::agent::declaration::FrontDeclaration;
use crate::telemetry::log::log;

/// The pause before a crashed front is first restarted. It doubles with each crash.
const MIN_RESTART_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause before a crashed front is restarted.
const MAX_RESTART_PAUSE: Duration = Duration::from_secs(30);
/// After running for this long, a front that crashes is restarted after the shortest pause again.
const STABLE_AFTER: Duration = Duration::from_secs(60);
/// The time between SIGTERM and SIGKILL. A front needs at most 3.4 s to answer the requests it has
/// accepted.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// The desired state of a front.
#[derive(Clone, PartialEq)]
pub struct DesiredState {
    /// What to run.
    pub declaration: FrontDeclaration,
    /// Whether the front is to be stopped and to stay so.
    pub drained: bool,
    /// Raised to restart the front.
    pub restarts: u64,
}

/// The phases of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No process has been started yet.
    Waiting,
    /// The process runs, but is not ready for clients.
    Starting,
    /// The process is ready for clients.
    Ready,
    /// The process has been asked to end.
    Stopping,
    /// There is no process, as desired.
    Drained,
    /// The process has ended by itself, or could not be started.
    Crashed,
}

impl Phase {
    /// The name of the phase in the API.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Waiting => "waiting",
            Phase::Starting => "starting",
            Phase::Ready => "ready",
            Phase::Stopping => "stopping",
            Phase::Drained => "drained",
            Phase::Crashed => "crashed",
        }
    }
}

/// The actual state of a front.
#[derive(Clone, Debug)]
pub struct FrontStatus {
    /// Its phase.
    pub phase: Phase,
    /// The id of its process, where there is one.
    pub pid: Option<u32>,
    /// How many processes have been started.
    pub starts: u64,
    /// How many of them have crashed, or could not be started.
    pub crashes: u64,
}

impl FrontStatus {
    /// The status before the first start.
    pub fn new() -> FrontStatus {
        FrontStatus {
            phase: Phase::Waiting,
            pid: None,
            starts: 0,
            crashes: 0,
        }
    }

    fn started(&mut self, pid: Option<u32>) {
        self.phase = Phase::Starting;
        self.pid = pid;
        self.starts += 1;
    }

    fn crashed(&mut self) {
        self.phase = Phase::Crashed;
        self.crashes += 1;
    }
}

impl Default for FrontStatus {
    fn default() -> FrontStatus {
        FrontStatus::new()
    }
}

/// How a process ended.
enum ProcessEnd {
    /// It was stopped, since another state is desired.
    Stopped,
    /// It ended by itself or could not be started, for this reason.
    Crashed(String),
}

/// Supervises one front.
pub struct Supervisor {
    /// The name of the front.
    pub name: String,
    /// Its desired state. The supervisor ends when the sender is dropped.
    pub desired: watch::Receiver<DesiredState>,
    /// Its actual state.
    pub status: Rc<RefCell<FrontStatus>>,
}

impl Supervisor {
    /// Keeps the front in its desired state, until the sender of that is dropped.
    pub async fn run(mut self) {
        let mut pause = MIN_RESTART_PAUSE;
        loop {
            let desired = self.desired.borrow_and_update().clone();
            if desired.drained {
                self.set_phase(Phase::Drained);
                if self.desired.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let started = Instant::now();
            let end = self.run_process(&desired).await;
            if self.desired.has_changed().is_err() {
                return;
            }
            let ProcessEnd::Crashed(reason) = end else {
                continue;
            };
            if started.elapsed() >= STABLE_AFTER {
                pause = MIN_RESTART_PAUSE;
            }
            log!(
                "front {}: process ended ({reason}), restarting in {pause:?}",
                self.name
            );
            self.status.borrow_mut().crashed();
            // A change of the desired state takes effect at once.
            if let Ok(Err(_)) = timeout(pause, self.desired.changed()).await {
                return;
            }
            pause = (pause * 2).min(MAX_RESTART_PAUSE);
        }
    }

    fn set_phase(&self, phase: Phase) {
        self.status.borrow_mut().phase = phase;
    }

    /// Runs one process until it ends, or another state is desired.
    async fn run_process(&mut self, desired: &DesiredState) -> ProcessEnd {
        let mut child = match desired.declaration.start() {
            Ok(child) => child,
            Err(error) => return ProcessEnd::Crashed(error.to_string()),
        };
        self.status.borrow_mut().started(child.id());
        let status = Rc::clone(&self.status);
        let follow_readiness = async {
            desired.declaration.wait_until_ready().await;
            status.borrow_mut().phase = Phase::Ready;
            std::future::pending::<()>().await;
        };
        let end = tokio::select! {
            exit = child.wait() => {
                ProcessEnd::Crashed(exit.map_or_else(|error| error.to_string(), |code| code.to_string()))
            }
            _ = self.desired.wait_for(|now_desired| now_desired != desired) => ProcessEnd::Stopped,
            () = follow_readiness => ProcessEnd::Stopped,
        };
        if let ProcessEnd::Stopped = end {
            self.set_phase(Phase::Stopping);
            self.stop(&mut child).await;
        }
        self.status.borrow_mut().pid = None;
        end
    }

    /// Stops a process: SIGTERM, time to answer the requests it has accepted, and SIGKILL.
    async fn stop(&self, child: &mut Child) {
        if let Some(pid) = child.id().and_then(|id| i32::try_from(id).ok()) {
            // Fails where the process has just ended by itself; the wait below is right for that
            // too.
            let _ = kill(Pid::from_raw(pid), Signal::SIGTERM);
        }
        if timeout(STOP_TIMEOUT, child.wait()).await.is_err() {
            log!(
                "front {}: process still runs {STOP_TIMEOUT:?} after SIGTERM, killing it",
                self.name
            );
            // Fails only where the process has ended meanwhile.
            let _ = child.kill().await;
        }
    }
}
