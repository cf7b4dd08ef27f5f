//! The actions of which faults consist, and their times.

use std::time::Duration;

use nix::sys::signal::Signal;

use crate::schedule::{DatagramFaults, Fault, Schedule};
use crate::tcp_proxy::LinkState;

/// One change of a testbed.
#[derive(Clone, Debug)]
pub enum Action {
    /// Cuts the link from one front to another.
    Cut {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
    },
    /// Cuts exactly the links between the fronts of this side and all others.
    Partition(Vec<usize>),
    /// Heals the links to chunk servers and to discovery.
    HealTcpLinks,
    /// Changes what happens to datagrams between fronts.
    SetDatagramFaults(DatagramFaults),
    /// Changes the load of a front.
    SetLoad {
        /// The index of the front.
        front: usize,
        /// Requests a second.
        rate: u32,
    },
    /// Changes the links from a front, or from all, to a chunk server.
    SetServerLink {
        /// The index of the front; absent is all.
        front: Option<usize>,
        /// The index of the server.
        server: usize,
        /// The new state.
        state: LinkState,
    },
    /// Changes the link from a front, or from all, to discovery.
    SetDiscoveryLink {
        /// The index of the front; absent is all.
        front: Option<usize>,
        /// The new state.
        state: LinkState,
    },
    /// Changes the behavior of a chunk server.
    SetServer {
        /// The index of the server.
        server: usize,
        /// How long it takes to answer.
        latency: Duration,
        /// Requests that fail, of a hundred.
        failure_percent: u8,
    },
    /// Announces that a chunk server has restarted.
    RestartServer(usize),
    /// Sends a front a signal.
    Signal {
        /// The index of the front.
        front: usize,
        /// The signal.
        signal: Signal,
    },
    /// Ends a front with a signal, also if it is paused.
    End {
        /// The index of the front.
        front: usize,
        /// The signal.
        signal: Signal,
    },
    /// Starts a front, unless it runs.
    Start(usize),
    /// Starts a second process with the name of a front.
    StartDuplicate(usize),
    /// Ends the duplicate that has run for the longest.
    EndDuplicate,
    /// Upgrades a front.
    Upgrade(usize),
    /// Writes the next roster into the files of all fronts.
    WriteRoster {
        /// The floor in hundredths of the limit.
        floor_percent: u8,
    },
}

/// An action and its time.
#[derive(Clone, Debug)]
pub struct TimedAction {
    /// How long after the previous action, or after the start of a timetable, it is applied.
    pub after: Duration,
    /// The action.
    pub action: Action,
}

impl TimedAction {
    /// An action directly after the previous one.
    fn now(action: Action) -> TimedAction {
        TimedAction {
            after: Duration::ZERO,
            action,
        }
    }

    /// An action after a delay.
    fn after(after: Duration, action: Action) -> TimedAction {
        TimedAction { after, action }
    }
}

/// The actions of a fault, each with the time after the previous one.
pub fn actions(fault: &Fault, fronts: usize) -> Vec<TimedAction> {
    match fault {
        Fault::Heal => vec![
            TimedAction::now(Action::Partition(Vec::new())),
            TimedAction::now(Action::HealTcpLinks),
        ],
        Fault::Pause { front, duration } => pause(*front, *duration),
        Fault::Kill {
            front,
            restart_after,
        } => end(*front, Signal::SIGKILL, *restart_after),
        Fault::ShutDown {
            front,
            restart_after,
        } => end(*front, Signal::SIGTERM, Some(*restart_after)),
        Fault::DuplicateProcess { front, duration } => vec![
            TimedAction::now(Action::StartDuplicate(*front)),
            TimedAction::after(*duration, Action::EndDuplicate),
        ],
        Fault::Roster {
            interval,
            floor_percent,
        } => change_roster(fronts, *interval, *floor_percent),
        _ => {
            let action = single_action(fault).map(TimedAction::now);
            action.into_iter().collect()
        }
    }
}

/// The action of a fault that consists of one; `None` for any other fault.
fn single_action(fault: &Fault) -> Option<Action> {
    let action = match fault.clone() {
        Fault::Cut { from, to } => Action::Cut { from, to },
        Fault::Partition { side } => Action::Partition(side),
        Fault::DatagramFaults {
            loss_percent,
            duplication_percent,
            max_delay,
        } => Action::SetDatagramFaults(DatagramFaults {
            loss_percent,
            duplication_percent,
            max_delay,
        }),
        Fault::Load { front, rate } => Action::SetLoad { front, rate },
        Fault::ServerLink {
            front,
            server,
            state,
        } => Action::SetServerLink {
            front,
            server,
            state,
        },
        Fault::Server {
            server,
            latency,
            failure_percent,
        } => Action::SetServer {
            server,
            latency,
            failure_percent,
        },
        Fault::Upgrade { front } => Action::Upgrade(front),
        Fault::Discovery { front, state } => Action::SetDiscoveryLink { front, state },
        Fault::RestartServer { server } => Action::RestartServer(server),
        Fault::Heal
        | Fault::Pause { .. }
        | Fault::Kill { .. }
        | Fault::ShutDown { .. }
        | Fault::DuplicateProcess { .. }
        | Fault::Roster { .. } => return None,
    };
    Some(action)
}

/// Pauses a front for a while.
fn pause(front: usize, duration: Duration) -> Vec<TimedAction> {
    let stop = Action::Signal {
        front,
        signal: Signal::SIGSTOP,
    };
    let resume = Action::Signal {
        front,
        signal: Signal::SIGCONT,
    };
    vec![TimedAction::now(stop), TimedAction::after(duration, resume)]
}

/// Ends a front with a signal, and starts it again after a while if that is said.
fn end(front: usize, signal: Signal, restart_after: Option<Duration>) -> Vec<TimedAction> {
    let mut actions = vec![TimedAction::now(Action::End { front, signal })];
    let start = restart_after.map(|delay| TimedAction::after(delay, Action::Start(front)));
    actions.extend(start);
    actions
}

/// Writes the next roster, and makes one front after another load it. A paused front gets the signal
/// when it resumes; a killed one reads the file when it is started again.
fn change_roster(fronts: usize, interval: Duration, floor_percent: u8) -> Vec<TimedAction> {
    let mut actions = vec![TimedAction::now(Action::WriteRoster { floor_percent })];
    for front in 0..fronts {
        let reload = Action::Signal {
            front,
            signal: Signal::SIGHUP,
        };
        actions.push(TimedAction::after(interval, reload));
    }
    actions
}

/// All actions of a schedule until its end, ordered by their times from its start.
pub fn timetable(schedule: &Schedule, fronts: usize) -> Vec<TimedAction> {
    let mut timetable = Vec::new();
    for step in &schedule.steps {
        let mut at = step.at;
        for TimedAction { after, action } in actions(&step.fault, fronts) {
            at += after;
            timetable.push(TimedAction { after: at, action });
        }
    }
    timetable.sort_by_key(|due| due.after);
    timetable.retain(|due| due.after <= schedule.duration);
    timetable
}
