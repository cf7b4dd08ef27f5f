//! Injecting faults into a simulation of fleet limits.

use std::time::Duration;

use tulipbridge_fleet_limits::{Event as CoordinatorEvent, FULL_SHARE};

use super::{Event, LimitsSimulation};
use crate::schedule::Fault;

/// For how long a front is absent during an upgrade.
const UPGRADE_GAP: Duration = Duration::from_millis(20);

impl LimitsSimulation<'_> {
    /// Injects a fault.
    pub(super) fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::Cut { .. }
            | Fault::Partition { .. }
            | Fault::Heal
            | Fault::DatagramFaults { .. } => {
                self.network.inject(fault);
            }
            Fault::Pause { front, duration } => self.pause(*front, *duration),
            Fault::Kill {
                front,
                restart_after,
            } => self.kill(*front, *restart_after),
            Fault::ShutDown {
                front,
                restart_after,
            } => self.shut_down(*front, *restart_after),
            // The second version is absent until the first has ended: a restart, as the
            // coordinators observe it.
            Fault::Upgrade { front } => self.shut_down(*front, UPGRADE_GAP),
            Fault::DuplicateProcess { front, duration } => {
                self.duplicates += 1;
                let process = self.start(*front, true);
                self.schedule_in(*duration, Event::Stop(process));
            }
            Fault::Load { front, rate } => self.set_demand(*front, *rate),
            Fault::Roster {
                interval,
                floor_percent,
            } => self.change_roster(*interval, *floor_percent),
            // There are no chunk servers and no discovery here.
            Fault::ServerLink { .. }
            | Fault::Server { .. }
            | Fault::Discovery { .. }
            | Fault::RestartServer { .. } => {}
        }
    }

    /// Pauses the process of a front for a while.
    fn pause(&mut self, front: usize, duration: Duration) {
        let Some(process) = self.unpaused_process(front) else {
            return;
        };
        if let Some(running) = &mut self.processes[process] {
            running.is_paused = true;
        }
        self.schedule_in(duration, Event::Resume(process));
    }

    /// Ends the process of a front without notice.
    fn kill(&mut self, front: usize, restart_after: Option<Duration>) {
        if let Some(process) = self.address[front] {
            self.stop(process);
        }
        if let Some(delay) = restart_after {
            self.schedule_in(delay, Event::Start(front));
        }
    }

    /// Ends the process of a front, which releases its leases first.
    fn shut_down(&mut self, front: usize, restart_after: Duration) {
        let Some(process) = self.unpaused_process(front) else {
            return;
        };
        self.feed(process, process, CoordinatorEvent::Shutdown);
        self.feed(process, process, CoordinatorEvent::HeartbeatDue);
        self.stop(process);
        self.schedule_in(restart_after, Event::Start(front));
    }

    /// Changes the requests a second of a front.
    fn set_demand(&mut self, front: usize, rate: u32) {
        let previous = std::mem::replace(&mut self.demand_rates[front], rate);
        if previous == 0 && rate > 0 {
            self.events.schedule(self.now, Event::Demand(front));
        }
    }

    /// Writes a new roster for every front. Each loads it at its reconfiguration, or when it starts.
    fn change_roster(&mut self, interval: Duration, floor_percent: u8) {
        for front in 0..self.schedule.fronts {
            let config = &mut self.configs[front];
            config.revision += 1;
            config.membership_digest = config
                .membership_digest
                .wrapping_mul(31)
                .wrapping_add(u64::from(floor_percent));
            config.floor = FULL_SHARE / 100 * u32::from(floor_percent);
            self.schedule_in(interval * front as u32, Event::Reconfigure(front));
        }
    }

    /// Heals the network and stops every second process of a name.
    pub(super) fn heal(&mut self) {
        self.network.heal();
        for process in 0..self.processes.len() {
            if self.processes[process]
                .as_ref()
                .is_some_and(|running| running.is_duplicate)
            {
                self.stop(process);
            }
        }
    }
}
