//! A simulation of fleet limits: the limit coordinators of many fronts under a simulated network.
//!
//! Each process has its own clock, which runs fast or slow within the configured drift. A paused
//! process receives and sends nothing; the messages that arrived meanwhile are delivered when it
//! resumes. After every event the shares of all running processes are added up and compared with
//! the bound.

mod checks;
mod faults;
mod process;
mod report;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use tulipbridge_fleet_limits::{
    Effect, Event as CoordinatorEvent, Heartbeat, Incarnation, Limit, LimitCoordinator,
    LimitsConfig, Nanos, PeerId, Share,
};

use self::process::{DriftingClock, Message, Process};
pub use self::report::LimitsReport;
use super::event_queue::{DueEvent, EventQueue};
use super::network::{nanos, Network, MILLISECOND};
use crate::schedule::Schedule;

/// By how much clocks may differ, in millionths; large, so that time matters.
const MAX_CLOCK_DRIFT_PPM: u32 = 40_000;
/// By how much one clock may run fast or slow, in millionths.
const CLOCK_DRIFT_PPM: i32 = 19_000;
/// The volume for which there is demand.
const VOLUME: Limit = Limit::Volume(7);
/// Units of one request.
const UNITS_PER_REQUEST: f64 = 2.0;
/// By how much the interval between two heartbeats varies either way, in nanoseconds.
const HEARTBEAT_JITTER: i64 = 20_000_000;
/// All fronts start within this time, in milliseconds.
const START_SPREAD_MS: u64 = 400;
/// How long the fleet has to settle after all faults are healed.
const SETTLE_TIME: Nanos = 10_000 * MILLISECOND;
/// How often the shares in use are sampled once the fleet has settled. Shares follow the load from
/// moment to moment, so their mean counts.
const SAMPLES: i64 = 40;
/// The interval between two samples.
const SAMPLE_INTERVAL: Nanos = 100 * MILLISECOND;
/// When a front that is paused or stopped tries again to load a new roster.
const RECONFIGURE_RETRY: Nanos = 50 * MILLISECOND;
/// Distinguishes the random choices here from those of other simulations of the same schedule.
const SEED_SALT: u64 = 0x5eed;

/// An event of the simulation.
enum Event {
    /// The process with this number sends heartbeats.
    Heartbeat(usize),
    /// A client sends a request to the front with this index.
    Demand(usize),
    /// A message arrives.
    Deliver(Box<Message>),
    /// The step of the schedule with this number is due.
    Fault(usize),
    /// The front with this index starts, unless it runs.
    Start(usize),
    /// The process with this number resumes.
    Resume(usize),
    /// The process with this number ends.
    Stop(usize),
    /// The front with this index loads its new roster.
    Reconfigure(usize),
}

/// The state of a simulation.
struct LimitsSimulation<'a> {
    schedule: &'a Schedule,
    rng: Rng,
    now: Nanos,
    events: EventQueue<Event>,
    /// All processes by number; `None` has ended.
    processes: Vec<Option<Process>>,
    /// The number of the process that has the address of a front.
    address: Vec<Option<usize>>,
    network: Network,
    /// Requests a second of each front.
    demand_rates: Vec<u32>,
    configs: Vec<LimitsConfig>,
    /// Second processes of a name that may still run: each may add a floor and an issuer's share.
    duplicates: u32,
    report: LimitsReport,
}

/// Simulates a schedule.
pub fn run(schedule: &Schedule) -> LimitsReport {
    let mut simulation = LimitsSimulation::new(schedule);
    let end = nanos(schedule.duration);
    simulation.run_until(end);
    simulation.heal();
    let settled = end + SETTLE_TIME;
    simulation.run_until(settled);
    let mut samples = Vec::new();
    for sample in 0..SAMPLES {
        simulation.run_until(settled + sample * SAMPLE_INTERVAL);
        samples.push(simulation.shares_in_use());
    }
    simulation.check_recovery(&samples);
    simulation.report
}

impl<'a> LimitsSimulation<'a> {
    /// A simulation at time 0, with the starts and faults of a schedule to come.
    fn new(schedule: &'a Schedule) -> LimitsSimulation<'a> {
        let fronts = schedule.fronts;
        let config = |front: usize| LimitsConfig {
            max_clock_drift: MAX_CLOCK_DRIFT_PPM,
            ..LimitsConfig::new(PeerId::from_index(front), fronts as u16, 1)
        };
        let mut simulation = LimitsSimulation {
            schedule,
            rng: Rng::with_seed(schedule.seed ^ SEED_SALT),
            now: 0,
            events: EventQueue::new(),
            processes: Vec::new(),
            address: vec![None; fronts],
            network: Network::new(fronts),
            demand_rates: vec![0; fronts],
            configs: (0..fronts).map(config).collect(),
            duplicates: 0,
            report: LimitsReport::default(),
        };
        simulation.schedule_starts();
        simulation
    }

    /// Schedules the start of every front and the faults.
    fn schedule_starts(&mut self) {
        for front in 0..self.schedule.fronts {
            let at = self.rng.u64(0..START_SPREAD_MS) as Nanos * MILLISECOND;
            self.events.schedule(at, Event::Start(front));
        }
        for (number, step) in self.schedule.steps.iter().enumerate() {
            self.events.schedule(nanos(step.at), Event::Fault(number));
        }
    }

    /// Schedules an event that is due after a delay.
    fn schedule_in(&mut self, delay: Duration, event: Event) {
        self.events.schedule(self.now + nanos(delay), event);
    }

    /// Handles all events that are due until a time.
    fn run_until(&mut self, deadline: Nanos) {
        while let Some(DueEvent { at, event }) = self.events.pop_due(deadline) {
            self.now = at;
            self.handle(event);
            self.check_total_share();
        }
        self.now = deadline;
    }

    /// Handles an event that is due now.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Heartbeat(process) => self.heartbeat(process),
            Event::Demand(front) => self.demand(front),
            Event::Deliver(message) => self.deliver(*message),
            Event::Fault(number) => {
                let schedule = self.schedule;
                self.inject(&schedule.steps[number].fault);
            }
            Event::Start(front) => {
                if self.address[front].is_none() {
                    self.address[front] = Some(self.start(front, false));
                }
            }
            Event::Resume(process) => self.resume(process),
            Event::Stop(process) => self.stop(process),
            Event::Reconfigure(front) => self.reconfigure(front),
        }
    }

    /// Makes a process send heartbeats, unless it is paused, and schedules the next ones.
    fn heartbeat(&mut self, process: usize) {
        let Some(running) = &self.processes[process] else {
            return;
        };
        let interval = running.coordinator.config().heartbeat_interval;
        let is_paused = running.is_paused;
        let jitter = self.rng.i64(-HEARTBEAT_JITTER..HEARTBEAT_JITTER);
        self.events
            .schedule(self.now + interval + jitter, Event::Heartbeat(process));
        if !is_paused {
            self.feed(process, process, CoordinatorEvent::HeartbeatDue);
        }
    }

    /// Sends a request to a front and schedules the next one, at exponential intervals.
    fn demand(&mut self, front: usize) {
        let rate = self.demand_rates[front];
        if rate == 0 {
            return;
        }
        let wait = -(1.0 - self.rng.f64()).ln() / f64::from(rate) * 1e9;
        self.events
            .schedule(self.now + wait as Nanos + 1, Event::Demand(front));
        if let Some(process) = self.unpaused_process(front) {
            let event = CoordinatorEvent::Demanded {
                limit: VOLUME,
                units: UNITS_PER_REQUEST,
            };
            self.feed(process, process, event);
        }
    }

    /// The process at a front's address, if it runs and is not paused.
    fn unpaused_process(&self, front: usize) -> Option<usize> {
        let process = self.address[front]?;
        self.processes[process]
            .as_ref()
            .filter(|running| !running.is_paused)?;
        Some(process)
    }

    /// Delivers a message, or keeps it until its receiver resumes.
    fn deliver(&mut self, message: Message) {
        let Some(running) = &mut self.processes[message.to] else {
            return;
        };
        if running.is_paused {
            running.pending.push(message);
            return;
        }
        self.receive(message);
    }

    /// Gives a message to the coordinator of its receiver.
    fn receive(&mut self, message: Message) {
        let Message {
            to,
            via,
            from,
            incarnation,
            heartbeat,
        } = message;
        let heartbeat = Box::new(heartbeat);
        let event = CoordinatorEvent::HeartbeatReceived {
            from,
            incarnation,
            heartbeat,
        };
        self.feed(to, via, event);
    }

    /// Resumes a process, which then handles the messages that have arrived.
    fn resume(&mut self, process: usize) {
        let Some(running) = &mut self.processes[process] else {
            return;
        };
        running.is_paused = false;
        let pending = std::mem::take(&mut running.pending);
        // A front looks at its clock before anything else; what arrived meanwhile is handled after
        // that.
        self.feed(process, process, CoordinatorEvent::Poll);
        self.check_total_share();
        for message in pending {
            self.receive(message);
        }
    }

    /// Ends a process and frees its address.
    fn stop(&mut self, process: usize) {
        if self.processes[process]
            .as_ref()
            .is_some_and(|running| running.is_duplicate)
        {
            self.duplicates -= 1;
        }
        self.processes[process] = None;
        for address in &mut self.address {
            if *address == Some(process) {
                *address = None;
            }
        }
    }

    /// Makes a front load its configuration; one that is paused does so later.
    fn reconfigure(&mut self, front: usize) {
        if self.address[front].is_none() {
            return;
        }
        match self.unpaused_process(front) {
            Some(process) => {
                let config = self.configs[front].clone();
                self.feed(process, process, CoordinatorEvent::Reconfigure(config));
            }
            None => self
                .events
                .schedule(self.now + RECONFIGURE_RETRY, Event::Reconfigure(front)),
        }
    }

    /// Starts a process with a front's name and a clock that may show any time; returns its number.
    fn start(&mut self, front: usize, is_duplicate: bool) -> usize {
        let process = self.processes.len();
        let drift_ppm = Nanos::from(self.rng.i32(-CLOCK_DRIFT_PPM..CLOCK_DRIFT_PPM));
        let initial_reading = Nanos::from(self.rng.u32(1..4_000_000)) * MILLISECOND;
        let incarnation = Incarnation(self.rng.u64(1..u64::MAX));
        let config = self.configs[front].clone();
        let coordinator = LimitCoordinator::new(config, incarnation, initial_reading)
            .expect("the configuration is valid");
        self.processes.push(Some(Process {
            front,
            coordinator,
            clock: DriftingClock {
                started_at: self.now,
                initial_reading,
                drift_ppm,
            },
            is_paused: false,
            pending: Vec::new(),
            shares: BTreeMap::new(),
            is_duplicate,
        }));
        self.events
            .schedule(self.now + 1, Event::Heartbeat(process));
        process
    }

    /// Gives a process an event and carries out the effects. A reply goes to the process `via`.
    fn feed(&mut self, process: usize, via: usize, event: CoordinatorEvent) {
        let Some(running) = &mut self.processes[process] else {
            return;
        };
        let mut effects = Vec::new();
        let clock = running.clock.read(self.now);
        running.coordinator.on(clock, event, &mut effects);
        for effect in effects {
            self.apply(process, via, effect);
        }
        if let Some(running) = &self.processes[process] {
            let used = running.shares.get(&VOLUME).copied().unwrap_or(Share::NONE);
            self.report.stale_share_used |= used > running.coordinator.share(clock, VOLUME);
        }
    }

    /// Carries out an effect of a process.
    fn apply(&mut self, process: usize, via: usize, effect: Effect) {
        let Some(running) = &mut self.processes[process] else {
            return;
        };
        let front = running.front;
        let incarnation = running.coordinator.incarnation();
        match effect {
            Effect::ShareChanged { limit, share, .. } => {
                running.shares.insert(limit, share);
            }
            Effect::Forget(limit) => {
                running.shares.remove(&limit);
            }
            Effect::Send { to, heartbeat } => {
                if let Some(to) = self.address[to.index()] {
                    self.send(process, to, front, incarnation, *heartbeat);
                }
            }
            Effect::Reply { heartbeat } => self.send(process, via, front, incarnation, *heartbeat),
            Effect::Received(_) => {}
        }
    }

    /// Sends a heartbeat from the process `via` to another over the network.
    fn send(
        &mut self,
        via: usize,
        to: usize,
        sender: usize,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
    ) {
        self.report.messages += 1;
        let Some(receiver) = self.processes[to].as_ref().map(|running| running.front) else {
            return;
        };
        for delay in self.network.delays(&mut self.rng, sender, receiver) {
            let message = Message {
                to,
                via,
                from: PeerId::from_index(sender),
                incarnation,
                heartbeat: heartbeat.clone(),
            };
            self.events
                .schedule(self.now + delay, Event::Deliver(Box::new(message)));
        }
    }
}
