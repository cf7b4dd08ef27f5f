//! Supervises the process of one front: starts it, restarts it with exponential backoff when it
//! crashes, and stops it.

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

/// The backoff before the first restart of a crashed front. It doubles with each crash.
const MIN_RESTART_BACKOFF: Duration = Duration::from_millis(200);
/// The maximum backoff before a crashed front is restarted.
const MAX_RESTART_BACKOFF: Duration = Duration::from_secs(30);
/// The running time after which a crash resets the backoff to [`MIN_RESTART_BACKOFF`].
const STABLE_RUN_TIME: Duration = Duration::from_secs(60);
/// The time between SIGTERM and SIGKILL. A front needs at most 3.4 s to answer the requests it has
/// accepted.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// The desired state of a front.
#[derive(Clone, PartialEq)]
pub struct DesiredState {
    /// The declaration that the front's process is started from.
    pub declaration: FrontDeclaration,
    /// Whether the front is stopped, and stays stopped until it is resumed.
    pub drained: bool,
    /// The number of requested restarts. Each increment restarts the front.
    pub restarts: u64,
}

impl DesiredState {
    /// Returns the desired state of a newly declared front: running.
    pub fn new(declaration: FrontDeclaration) -> DesiredState {
        DesiredState {
            declaration,
            drained: false,
            restarts: 0,
        }
    }
}

/// The phases of a front, as its supervisor publishes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// No process has been started yet.
    #[default]
    Waiting,
    /// The process runs, but is not ready for clients.
    Starting,
    /// The process is ready for clients.
    Ready,
    /// The process is being stopped.
    Stopping,
    /// The front is drained: no process runs, as desired.
    Drained,
    /// The process has exited by itself, or could not be started.
    Crashed,
}

impl Phase {
    /// Returns the name of the phase in the API.
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

/// The actual state of a front. The default is the state before the first start.
#[derive(Clone, Debug, Default)]
pub struct FrontStatus {
    /// The phase that the front is in.
    pub phase: Phase,
    /// The id of the front's process, where one is running.
    pub pid: Option<u32>,
    /// The number of processes started so far.
    pub starts: u64,
    /// The number of processes that crashed or could not be started.
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
    /// The supervisor stopped it, since the desired state changed.
    Stopped,
    /// It exited by itself or could not be started; holds the reason.
    Crashed(String),
}

impl ProcessEnd {
    /// Returns the end of a process that exited by itself.
    fn from_exit(exit: io::Result<ExitStatus>) -> ProcessEnd {
        let reason = match exit {
            Ok(status) => status.to_string(),
            Err(error) => error.to_string(),
        };
        ProcessEnd::Crashed(reason)
    }
}

/// Keeps the process of one front in its desired state.
pub struct Supervisor {
    /// The name of the supervised front, for log lines.
    name: String,
    /// The desired state of the front. The supervisor ends when the sender is dropped.
    desired: watch::Receiver<DesiredState>,
    /// Publishes the actual state of the front.
    status: watch::Sender<FrontStatus>,
}

impl Supervisor {
    /// Creates a supervisor of the front `name`, without starting the front.
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

    /// Keeps the front in its desired state until the sender of that state is dropped.
    pub async fn run(mut self) {
        let mut backoff = MIN_RESTART_BACKOFF;
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
            if started.elapsed() >= STABLE_RUN_TIME {
                backoff = MIN_RESTART_BACKOFF;
            }
            log!(
                "agent: front {}: process ended, restarting in {backoff:?}: {reason}",
                self.name
            );
            self.status.send_modify(FrontStatus::record_crash);
            // A change of the desired state ends the backoff at once.
            if let Ok(Err(_)) = timeout(backoff, self.desired.changed()).await {
                return;
            }
            backoff = (backoff * 2).min(MAX_RESTART_BACKOFF);
        }
    }

    /// Publishes a change of phase.
    fn set_phase(&self, phase: Phase) {
        self.status.send_modify(|status| status.phase = phase);
    }

    /// Runs one process until it exits or the desired state changes.
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

    /// Stops a process with SIGTERM, and with SIGKILL if it still runs after [`STOP_TIMEOUT`].
    async fn stop(&self, child: &mut Child) {
        if let Some(pid) = child.id().and_then(|id| i32::try_from(id).ok()) {
            ignore_ended_process(kill(Pid::from_raw(pid), Signal::SIGTERM));
        }
        if timeout(STOP_TIMEOUT, child.wait()).await.is_err() {
            log!(
                "agent: front {}: killing: still running {STOP_TIMEOUT:?} after SIGTERM",
                self.name
            );
            ignore_killed_process(child.kill().await);
        }
    }
}

/// Waits until a front is ready and publishes that. Never completes, so that it cannot end the
/// `select!` that polls it.
async fn publish_readiness(declaration: &FrontDeclaration, status: &watch::Sender<FrontStatus>) {
    declaration.wait_until_ready().await;
    status.send_modify(|status| status.phase = Phase::Ready);
    pending::<()>().await;
}

/// Ignores that a process could not be signalled: it has just exited by itself, and the wait for
/// its exit reports that.
fn ignore_ended_process(_outcome: Result<(), Errno>) {}

/// Ignores that a process could not be killed: it has exited in the meantime.
fn ignore_killed_process(_outcome: io::Result<()>) {}
