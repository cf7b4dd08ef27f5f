//! Injecting the faults of a soak run, each in its time.

use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::sleep;

use super::discovery::Lifecycle;
use super::environment::Environment;
use super::fault::{Fault, ScheduledFault};
use super::front::Front;
use super::server::Server;
use crate::loopback::unix_time_ms;

/// How long a restarted server is absent.
const SERVER_ABSENCE: Duration = Duration::from_millis(1_200);
/// How long discovery takes to list that a server has stopped or started.
const DISCOVERY_DELAY: Duration = Duration::from_millis(300);
/// How long a front's configuration file stays invalid.
const INVALID_CONFIG_TIME: Duration = Duration::from_millis(200);
/// How long a front that is paused briefly does not run.
const BRIEF_PAUSE: Duration = Duration::from_millis(150);
/// How often a front that is paused briefly is paused.
const BRIEF_PAUSES: u32 = 3;
/// How long a front that is paused long does not run.
const LONG_PAUSE: Duration = Duration::from_millis(800);
/// A setting in the configuration file.
const VALID_SETTING: &str = "\"MostTries\": 3";
/// The same setting with a value of the wrong type.
const INVALID_SETTING: &str = "\"MostTries\": \"three\"";
/// The values that a setting takes one after another while a front is reloaded.
const RELOADED_WEIGHTS: [&str; 4] = ["3.0", "3.1", "3.2", "3.3"];

/// Puts the clock faults in force: they hold from before the fronts start until the end.
pub fn inject_clock_faults(environment: &Environment, faults: &[ScheduledFault]) {
    for scheduled in faults {
        if let Fault::ClockAhead | Fault::ClockBehind = scheduled.fault {
            let rules = scheduled.fault.shim_rules().unwrap_or_default();
            environment.front_of(scheduled).enable_rules(rules);
        }
    }
}

/// Waits until a fault is due, injects it, and returns when it is over.
pub async fn inject(environment: Rc<Environment>, scheduled: ScheduledFault) {
    sleep(scheduled.from).await;
    let duration = scheduled.until - scheduled.from;
    match scheduled.fault {
        Fault::FrontRestarted
        | Fault::FrontKilled
        | Fault::FrontPausedBriefly
        | Fault::FrontPausedLong
        | Fault::Reloads
        | Fault::BrokenReload => {
            let front = environment.front_of(&scheduled);
            inject_front_fault(front, scheduled.fault, duration).await;
        }
        Fault::ServerDrains
        | Fault::ServerRestarted
        | Fault::ServerHangs
        | Fault::ServerResets
        | Fault::ServerSlow
        | Fault::ServerRejects
        | Fault::ServerPauses
        | Fault::ServerCloses => inject_server_fault(&environment, &scheduled, duration).await,
        Fault::DiscoveryDown | Fault::DiscoverySilent | Fault::DiscoverySlow => {
            let discovery = environment.discovery();
            discovery.fail_for(scheduled.fault, duration).await;
        }
        Fault::ClientsLeave | Fault::ClientsStop | Fault::ClientsBurst => {
            environment.clients().set_fault(Some(scheduled.fault));
            sleep(duration).await;
            environment.clients().set_fault(None);
        }
        Fault::AcceptFails | Fault::ConnectFails | Fault::ShortTransfers | Fault::Interrupts => {
            let rules = scheduled.fault.shim_rules().unwrap_or_default();
            inject_system_call_fault(environment.fronts(), rules, duration).await;
        }
        // In force since before the start: see `inject_clock_faults`.
        Fault::ClockAhead | Fault::ClockBehind => {}
    }
}

/// Injects a fault of the process of a front.
async fn inject_front_fault(front: &Front, fault: Fault, duration: Duration) {
    match fault {
        Fault::FrontRestarted => front.restart_at_the_earliest().await,
        Fault::FrontKilled => front.restart(Signal::SIGKILL).await,
        Fault::FrontPausedBriefly => {
            for _ in 0..BRIEF_PAUSES {
                front.pause(BRIEF_PAUSE).await;
                sleep(duration / 4).await;
            }
        }
        Fault::FrontPausedLong => front.pause(LONG_PAUSE).await,
        Fault::BrokenReload => {
            front.reload(VALID_SETTING, INVALID_SETTING);
            // A front that starts with an invalid file exits, as it is documented to do; the file
            // is valid again before any other fault can restart the front.
            sleep(INVALID_CONFIG_TIME).await;
            front.reload(INVALID_SETTING, VALID_SETTING);
        }
        _ => {
            let setting = |weight: &str| format!("\"Points\": {weight}");
            for weights in RELOADED_WEIGHTS.windows(2) {
                front.reload(&setting(weights[0]), &setting(weights[1]));
                sleep(duration / 4).await;
            }
        }
    }
}

/// Injects a fault of a chunk server.
async fn inject_server_fault(
    environment: &Environment,
    scheduled: &ScheduledFault,
    duration: Duration,
) {
    let server = environment.server_of(scheduled);
    let discovery = environment.discovery();
    match scheduled.fault {
        Fault::ServerDrains => {
            discovery.set_lifecycle(server.number(), Lifecycle::Terminating);
            sleep(duration).await;
            discovery.set_lifecycle(server.number(), Lifecycle::Ready);
        }
        Fault::ServerRestarted => restart_server(environment, server).await,
        _ => {
            server.set_fault(Some(scheduled.fault));
            sleep(duration).await;
            server.set_fault(None);
        }
    }
}

/// Stops a server and starts it again at its address. Discovery lists each with a delay.
async fn restart_server(environment: &Environment, server: &Rc<Server>) {
    let discovery = environment.discovery();
    server.stop();
    sleep(DISCOVERY_DELAY).await;
    discovery.set_lifecycle(server.number(), Lifecycle::Gone);
    sleep(SERVER_ABSENCE).await;
    if server.restart().await.is_err() {
        // Another process has taken the port: the server stays absent.
        return;
    }
    let started_ms = unix_time_ms();
    sleep(DISCOVERY_DELAY).await;
    discovery.announce_start(server.number(), started_ms);
}

/// Makes system calls of all fronts fail by rules of the fault shim.
async fn inject_system_call_fault(fronts: &[Rc<Front>], rules: &'static str, duration: Duration) {
    for front in fronts {
        front.enable_rules(rules);
    }
    sleep(duration).await;
    for front in fronts {
        front.disable_rules(rules);
    }
}
