//! Injecting faults into a simulation of fleet limits.

use tulipbridge_fleet_limits::{Event as CoordinatorEvent, FULL_SHARE};

use super::{Event, Simulation};
use crate::schedule::{Fault, Millis};

/// For how long a front is absent during an upgrade, in milliseconds.
const UPGRADE_GAP_MS: Millis = 20;

impl Simulation<'_> {
    /// Injects a fault.
    pub(super) fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::Cut { .. }
            | Fault::Partition { .. }
            | Fault::Heal
            | Fault::DatagramFaults { .. } => {
                self.network.inject(fault);
            }
            Fault::Pause { front, millis } => self.pause(*front, *millis),
            Fault::Kill {
                front,
                restart_after_ms: back,
            } => self.kill(*front, *back),
            Fault::ShutDown {
                front,
                restart_after_ms: back,
            } => self.shut_down(*front, *back),
            // The second version is absent until the first has ended: a restart, as the
            // coordinators observe it.
            Fault::Upgrade { front } => self.shut_down(*front, UPGRADE_GAP_MS),
            Fault::DuplicateProcess { front, millis } => {
                self.duplicates += 1;
                let process = self.start(*front, true);
                self.schedule_in(*millis, Event::Stop(process));
            }
            Fault::Load { front, rate } => self.set_demand(*front, *rate),
            Fault::Roster { each, floor } => self.change_roster(*each, *floor),
            // There are no chunk servers and no discovery here.
            Fault::ServerLink { .. }
            | Fault::Server { .. }
            | Fault::Discovery { .. }
            | Fault::RestartServer { .. } => {}
        }
    }

    fn pause(&mut self, front: usize, millis: Millis) {
        let Some(process) = self.unpaused_process(front) else {
            return;
        };
        if let Some(running) = &mut self.processes[process] {
            running.is_paused = true;
        }
        self.schedule_in(millis, Event::Resume(process));
    }

    fn kill(&mut self, front: usize, back_after: Option<Millis>) {
        if let Some(process) = self.address[front] {
            self.stop(process);
        }
        if let Some(millis) = back_after {
            self.schedule_in(millis, Event::Start(front));
        }
    }

    fn shut_down(&mut self, front: usize, back_after: Millis) {
        let Some(process) = self.unpaused_process(front) else {
            return;
        };
        self.feed(process, process, CoordinatorEvent::Shutdown);
        self.feed(process, process, CoordinatorEvent::HeartbeatDue);
        self.stop(process);
        self.schedule_in(back_after, Event::Start(front));
    }

    fn set_demand(&mut self, front: usize, rate: u32) {
        let previous = std::mem::replace(&mut self.demand_rates[front], rate);
        if previous == 0 && rate > 0 {
            self.events.schedule(self.now, Event::Demand(front));
        }
    }

    /// Writes a new roster for every front. Each loads it when it is told to, or when it starts.
    fn change_roster(&mut self, interval: Millis, floor_percent: u8) {
        for front in 0..self.schedule.fronts {
            let config = &mut self.configs[front];
            config.revision += 1;
            config.roster = config
                .roster
                .wrapping_mul(31)
                .wrapping_add(u64::from(floor_percent));
            config.floor = FULL_SHARE / 100 * u32::from(floor_percent);
            self.schedule_in(interval * front as Millis, Event::Reconfigure(front));
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
