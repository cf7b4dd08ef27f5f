//! Supervises the process of one front: starts it, restarts it with growing pauses when it crashes,
//! and stops it.

use std::future::pending;
use std::io;
use std::process::ExitStatus;
use std::time::Duration;

use nix::errno::Errno;
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

impl DesiredState {
    /// The state of a front that was just declared.
    pub fn new(declaration: FrontDeclaration) -> DesiredState {
        DesiredState {
            declaration,
            drained: false,
            restarts: 0,
        }
    }
}

/// The phases of a front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// No process has been started yet.
    #[default]
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

/// The actual state of a front; by default that before the first start.
#[derive(Clone, Debug, Default)]
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
    /// Records that a process was started.
    fn record_start(&mut self, pid: Option<u32>) {
        self.phase = Phase::Starting;
        self.pid = pid;
        self.starts += 1;
    }

    /// Records that a process crashed, or could not be started.
    fn record_crash(&mut self) {
        self.phase = Phase::Crashed;
        self.crashes += 1;
    }
}

/// How a process ended.
enum ProcessEnd {
    /// It was stopped, since another state is desired.
    Stopped,
    /// It ended by itself or could not be started, for this reason.
    Crashed(String),
}

impl ProcessEnd {
    /// The end of a process that exited by itself.
    fn from_exit(exit: io::Result<ExitStatus>) -> ProcessEnd {
        let reason = match exit {
            Ok(status) => status.to_string(),
            Err(error) => error.to_string(),
        };
        ProcessEnd::Crashed(reason)
    }
}

/// Supervises one front.
pub struct Supervisor {
    /// The name of the front.
    name: String,
    /// Its desired state. The supervisor ends when the sender is dropped.
    desired: watch::Receiver<DesiredState>,
    /// Publishes its actual state.
    status: watch::Sender<FrontStatus>,
}

impl Supervisor {
    /// A supervisor of the front `name`, which is not running yet.
    pub fn new(
        name: String,
        desired: watch::Receiver<DesiredState>,
        status: watch::Sender<FrontStatus>,
    ) -> Supervisor {
        Supervisor {
            name,
            desired,
            status,
        }
    }

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
            self.status.send_modify(FrontStatus::record_crash);
            // A change of the desired state takes effect at once.
            if let Ok(Err(_)) = timeout(pause, self.desired.changed()).await {
                return;
            }
            pause = (pause * 2).min(MAX_RESTART_PAUSE);
        }
    }

    /// Publishes a phase.
    fn set_phase(&self, phase: Phase) {
        self.status.send_modify(|status| status.phase = phase);
    }

    /// Runs one process until it ends, or another state is desired.
    async fn run_process(&mut self, desired: &DesiredState) -> ProcessEnd {
        let mut child = match desired.declaration.start() {
            Ok(child) => child,
            Err(error) => return ProcessEnd::Crashed(error.to_string()),
        };
        let pid = child.id();
        self.status.send_modify(|status| status.record_start(pid));
        let end = tokio::select! {
            exit = child.wait() => ProcessEnd::from_exit(exit),
            _ = self.desired.wait_for(|now_desired| now_desired != desired) => ProcessEnd::Stopped,
            () = publish_readiness(&desired.declaration, &self.status) => ProcessEnd::Stopped,
        };
        if let ProcessEnd::Stopped = end {
            self.set_phase(Phase::Stopping);
            self.stop(&mut child).await;
        }
        self.status.send_modify(|status| status.pid = None);
        end
    }

    /// Stops a process: SIGTERM, time to answer the requests it has accepted, and SIGKILL.
    async fn stop(&self, child: &mut Child) {
        if let Some(pid) = child.id().and_then(|id| i32::try_from(id).ok()) {
            ignore_ended_process(kill(Pid::from_raw(pid), Signal::SIGTERM));
        }
        if timeout(STOP_TIMEOUT, child.wait()).await.is_err() {
            log!(
                "front {}: process still runs {STOP_TIMEOUT:?} after SIGTERM, killing it",
                self.name
            );
            ignore_killed_process(child.kill().await);
        }
    }
}

/// Publishes that a front is ready, once it is. Never completes.
async fn publish_readiness(declaration: &FrontDeclaration, status: &watch::Sender<FrontStatus>) {
    declaration.wait_until_ready().await;
    status.send_modify(|status| status.phase = Phase::Ready);
    pending::<()>().await;
}

/// Ignores that a process could not be signalled: it has just ended by itself, and whoever waits
/// for its end sees that.
fn ignore_ended_process(_outcome: Result<(), Errno>) {}

/// Ignores that a process could not be killed: it has ended meanwhile.
fn ignore_killed_process(_outcome: io::Result<()>) {}
