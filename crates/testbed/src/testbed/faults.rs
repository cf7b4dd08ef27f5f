//! Injecting faults into the processes and links of a testbed.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::signal::Signal;

use super::error::TestbedError;
use super::front_config::RosterVersion;
use super::front_process::Role;
use super::Testbed;
use crate::chunk_server::ServerBehavior;
use crate::schedule::{DatagramFaults, Fault, Millis, Schedule};
use crate::tcp_proxy::LinkState;

/// The highest floor in hundredths that a front's file can have.
const MAX_FLOOR_PERCENT: u8 = 99;

/// What is done at one moment.
enum Action {
    Cut {
        from: usize,
        to: usize,
    },
    Partition(Vec<usize>),
    HealTcpLinks,
    SetDatagramFaults(DatagramFaults),
    SetLoad {
        front: usize,
        rate: u32,
    },
    SetServerLink {
        front: Option<usize>,
        server: usize,
        state: LinkState,
    },
    SetDiscoveryLink {
        front: Option<usize>,
        state: LinkState,
    },
    SetServer {
        server: usize,
        latency: Duration,
        failure_percent: u8,
    },
    RestartServer(usize),
    Signal {
        front: usize,
        signal: Signal,
    },
    End {
        front: usize,
        signal: Signal,
    },
    Start(usize),
    StartDuplicate(usize),
    /// Ends the duplicate that has run for the longest.
    EndDuplicate,
    Upgrade(usize),
    /// Writes the next roster into the files of all fronts.
    WriteRoster {
        floor_percent: u8,
    },
}

/// An action, and how long after the one before it is done.
struct TimedAction {
    after_ms: Millis,
    action: Action,
}

impl TimedAction {
    fn now(action: Action) -> TimedAction {
        TimedAction {
            after_ms: 0,
            action,
        }
    }

    fn after(after_ms: Millis, action: Action) -> TimedAction {
        TimedAction { after_ms, action }
    }
}

/// What a fault consists of, one action after another.
fn actions(fault: &Fault, fronts: usize) -> Vec<TimedAction> {
    let now = TimedAction::now;
    let after = TimedAction::after;
    match fault {
        Fault::Cut { from, to } => vec![now(Action::Cut {
            from: *from,
            to: *to,
        })],
        Fault::Partition { side } => vec![now(Action::Partition(side.clone()))],
        Fault::Heal => vec![
            now(Action::Partition(Vec::new())),
            now(Action::HealTcpLinks),
        ],
        Fault::DatagramFaults {
            loss_percent: lost,
            duplication_percent: repeated,
            max_delay_ms: late,
        } => {
            let faults = DatagramFaults {
                loss_percent: *lost,
                duplication_percent: *repeated,
                max_delay_ms: *late,
            };
            vec![now(Action::SetDatagramFaults(faults))]
        }
        Fault::Load { front, rate } => vec![now(Action::SetLoad {
            front: *front,
            rate: *rate,
        })],
        Fault::ServerLink {
            front,
            server,
            state,
        } => {
            vec![now(Action::SetServerLink {
                front: *front,
                server: *server,
                state: *state,
            })]
        }
        Fault::Server {
            server,
            latency_ms: takes,
            failure_percent: failing,
        } => {
            let latency = Duration::from_millis(*takes);
            vec![now(Action::SetServer {
                server: *server,
                latency,
                failure_percent: *failing,
            })]
        }
        Fault::Pause { front, millis } => {
            let signal = |signal| Action::Signal {
                front: *front,
                signal,
            };
            vec![
                now(signal(Signal::SIGSTOP)),
                after(*millis, signal(Signal::SIGCONT)),
            ]
        }
        Fault::Kill {
            front,
            restart_after_ms: back,
        } => {
            let kill = now(Action::End {
                front: *front,
                signal: Signal::SIGKILL,
            });
            let start = back.map(|millis| after(millis, Action::Start(*front)));
            [Some(kill), start].into_iter().flatten().collect()
        }
        Fault::ShutDown {
            front,
            restart_after_ms: back,
        } => {
            let end = now(Action::End {
                front: *front,
                signal: Signal::SIGTERM,
            });
            vec![end, after(*back, Action::Start(*front))]
        }
        Fault::DuplicateProcess { front, millis } => {
            vec![
                now(Action::StartDuplicate(*front)),
                after(*millis, Action::EndDuplicate),
            ]
        }
        Fault::Upgrade { front } => vec![now(Action::Upgrade(*front))],
        Fault::Discovery { front, state } => {
            vec![now(Action::SetDiscoveryLink {
                front: *front,
                state: *state,
            })]
        }
        Fault::RestartServer { server } => vec![now(Action::RestartServer(*server))],
        Fault::Roster { each, floor } => {
            // A paused front gets the signal when it resumes; a killed one reads the file when it
            // is started again.
            let reload = |front| {
                after(
                    *each,
                    Action::Signal {
                        front,
                        signal: Signal::SIGHUP,
                    },
                )
            };
            let write = now(Action::WriteRoster {
                floor_percent: *floor,
            });
            std::iter::once(write)
                .chain((0..fronts).map(reload))
                .collect()
        }
    }
}

impl Testbed {
    /// Injects a fault and waits until it is over: also until a paused front has resumed, or a
    /// killed one is started again, if the fault says when.
    ///
    /// # Errors
    /// If a front does not start again.
    pub async fn inject(&mut self, fault: &Fault) -> Result<(), TestbedError> {
        for TimedAction { after_ms, action } in actions(fault, self.config.fronts) {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            self.apply(action).await?;
        }
        Ok(())
    }

    /// Injects several faults, one after another.
    ///
    /// # Errors
    /// If a front does not start again.
    pub async fn inject_all(&mut self, faults: &[Fault]) -> Result<(), TestbedError> {
        for fault in faults {
            self.inject(fault).await?;
        }
        Ok(())
    }

    /// Runs a schedule to its end, each fault and each end of one at its time.
    ///
    /// # Errors
    /// If a front does not start again.
    pub async fn run_schedule(&mut self, schedule: &Schedule) -> Result<(), TestbedError> {
        let started_at = Instant::now();
        let mut due: Vec<(Millis, Action)> = Vec::new();
        for step in &schedule.steps {
            let mut at_ms = step.at_ms;
            for TimedAction { after_ms, action } in actions(&step.fault, self.config.fronts) {
                at_ms += after_ms;
                due.push((at_ms, action));
            }
        }
        due.sort_by_key(|(at_ms, _)| *at_ms);
        for (at_ms, action) in due
            .into_iter()
            .filter(|(at_ms, _)| *at_ms <= schedule.duration_ms)
        {
            tokio::time::sleep_until((started_at + Duration::from_millis(at_ms)).into()).await;
            self.apply(action).await?;
        }
        let end = started_at + Duration::from_millis(schedule.duration_ms);
        tokio::time::sleep_until(end.into()).await;
        Ok(())
    }

    async fn apply(&mut self, action: Action) -> Result<(), TestbedError> {
        match action {
            Action::Cut { from, to } => self.peer_links.cut(from, to),
            Action::Partition(side) => self.peer_links.partition(&side),
            Action::HealTcpLinks => self.heal_tcp_links(),
            Action::SetDatagramFaults(faults) => self.peer_links.set_faults(faults),
            Action::SetLoad { front, rate } => self.set_load(front, rate),
            Action::SetServerLink {
                front,
                server,
                state,
            } => self.set_server_link(front, server, state),
            Action::SetDiscoveryLink { front, state } => self.set_discovery_link(front, state),
            Action::SetServer {
                server,
                latency,
                failure_percent,
            } => {
                self.set_server(server, latency, failure_percent);
            }
            Action::RestartServer(server) => {
                let now = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                self.discovery
                    .announce_restart(server, now.as_millis() as u64);
            }
            Action::Signal { front, signal } => self.signal(front, signal),
            Action::End { front, signal } => {
                // A paused front would not shut down.
                self.signal(front, Signal::SIGCONT);
                self.terminate(front, signal).await;
            }
            Action::Start(front) => {
                if !self.is_running(front) {
                    self.start(front).await?;
                }
            }
            Action::StartDuplicate(front) => {
                let duplicate = self.spawn(front, Role::Duplicate)?;
                self.duplicates.push_back(duplicate);
            }
            Action::EndDuplicate => self.end_duplicate(),
            Action::Upgrade(front) => self.upgrade(front).await?,
            Action::WriteRoster { floor_percent } => self.write_roster(floor_percent)?,
        }
        Ok(())
    }

    fn heal_tcp_links(&self) {
        for link in self.server_links.values().chain(&self.discovery_links) {
            link.set(LinkState::Healthy);
        }
    }

    fn set_server_link(&self, front: Option<usize>, server: usize, state: LinkState) {
        let fronts =
            (0..self.config.fronts).filter(|number| front.is_none_or(|front| front == *number));
        for link in fronts.filter_map(|front| self.server_links.get(&(front, server))) {
            link.set(state);
        }
    }

    fn set_discovery_link(&self, front: Option<usize>, state: LinkState) {
        for (number, link) in self.discovery_links.iter().enumerate() {
            if front.is_none_or(|front| front == number) {
                link.set(state);
            }
        }
    }

    fn set_server(&self, server: usize, latency: Duration, failure_percent: u8) {
        if let Some(behavior) = self.server_behaviors.get(server) {
            behavior.set(ServerBehavior {
                latency,
                failure_percent,
                ..behavior.get()
            });
        }
    }

    fn end_duplicate(&mut self) {
        if let Some(duplicate) = self.duplicates.pop_front() {
            for line in duplicate.log.try_iter() {
                self.duplicate_log += &line;
                self.duplicate_log += "\n";
            }
        }
    }

    fn write_roster(&mut self, floor_percent: u8) -> Result<(), TestbedError> {
        let revision = self.roster.revision + 1;
        self.roster = RosterVersion {
            revision,
            floor_percent: floor_percent.min(MAX_FLOOR_PERCENT),
        };
        (0..self.config.fronts).try_for_each(|front| self.rewrite_config(front))
    }
}
