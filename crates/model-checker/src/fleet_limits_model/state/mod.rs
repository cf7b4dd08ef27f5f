//! The state of the fleet limits model.
//!
//! What each step changes is in `transitions`.

mod transitions;

use std::hash::{Hash, Hasher};

use tulipbridge_fleet_limits::{Heartbeat, Incarnation, LimitCoordinator, Nanos, PeerId, Share};

use crate::properties::Violations;
use crate::time::MS;

/// Interval between two heartbeats of a front, which is the length of a round.
const HEARTBEAT_INTERVAL: Nanos = 500 * MS;

/// A process of a front.
#[derive(Clone, Debug)]
struct Process {
    coordinator: LimitCoordinator,
    /// It is stopped, and keeps its state.
    stopped: bool,
    /// The share of the limit that it may use now.
    share: Share,
}

/// A directed link between two fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Link {
    /// The sender.
    pub from: PeerId,
    /// The receiver.
    pub to: PeerId,
}

/// A heartbeat that has been sent and has not arrived.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Message {
    link: Link,
    /// Incarnation of the sender.
    incarnation: Incarnation,
    heartbeat: Heartbeat,
    /// Number of rounds until it may arrive.
    rounds_left: u8,
}

/// A state of the fleet limits model.
#[derive(Clone, Debug)]
pub struct FleetLimitsState {
    round: u8,
    faults_left: u8,
    /// The incarnation of the process that started last.
    last_incarnation: Incarnation,
    /// The process of each front, unless it was killed.
    processes: Vec<Option<Process>>,
    messages: Vec<Message>,
    /// Links on which heartbeats are lost.
    cut_links: Vec<Link>,
    /// Links on which the next heartbeat is delayed.
    delayed_links: Vec<Link>,
    violations: Violations,
}

impl FleetLimitsState {
    /// A fleet in which every front has just started.
    pub(super) fn new(fronts: u16, max_faults: u8) -> FleetLimitsState {
        let mut state = FleetLimitsState {
            round: 0,
            faults_left: max_faults,
            last_incarnation: Incarnation(0),
            processes: vec![None; usize::from(fronts)],
            messages: Vec::new(),
            cut_links: Vec::new(),
            delayed_links: Vec::new(),
            violations: Violations::default(),
        };
        for front in state.fronts() {
            state.start(front);
        }
        state
    }

    /// Time since the initial state, the same on the clock of every front.
    pub fn now(&self) -> Nanos {
        Nanos::from(self.round) * HEARTBEAT_INTERVAL
    }

    /// The share of the limit that a front may use now; 0 if its process was killed.
    pub fn share(&self, front: PeerId) -> Share {
        self.process(front)
            .map_or(Share::NONE, |process| process.share)
    }

    /// The largest share that a front leases from another now; 0 if its process was killed.
    pub fn share_leased(&self, front: PeerId, from: PeerId) -> Share {
        self.process(front).map_or(Share::NONE, |process| {
            process.coordinator.peer_report(self.now(), from).leased
        })
    }

    /// Number of rounds so far, the warm-up included.
    pub(super) fn round(&self) -> u8 {
        self.round
    }

    /// Number of faults that may still occur.
    pub(super) fn faults_left(&self) -> u8 {
        self.faults_left
    }

    /// Whether heartbeats are lost on any link.
    pub(super) fn has_cut_links(&self) -> bool {
        !self.cut_links.is_empty()
    }

    /// Whether heartbeats are lost on a link.
    pub(super) fn is_cut(&self, link: Link) -> bool {
        self.cut_links.contains(&link)
    }

    /// Whether the next heartbeat on a link is delayed.
    pub(super) fn is_delayed(&self, link: Link) -> bool {
        self.delayed_links.contains(&link)
    }

    /// The properties that were violated on the way to this state.
    pub(super) fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Number of fronts of the fleet, whether their processes run or not.
    pub(super) fn front_count(&self) -> u16 {
        self.processes.len() as u16
    }

    /// The fronts of the fleet, whether their processes run or not.
    pub(super) fn fronts(&self) -> impl Iterator<Item = PeerId> + use<> {
        PeerId::all(self.front_count())
    }

    /// The process of a front, unless it was killed.
    fn process(&self, front: PeerId) -> Option<&Process> {
        self.processes[front.index()].as_ref()
    }

    /// The process of a front, unless it is stopped or was killed.
    fn running_process(&self, front: PeerId) -> Option<&Process> {
        self.process(front).filter(|process| !process.stopped)
    }

    /// Whether a front has a process, running or stopped.
    pub(super) fn is_started(&self, front: PeerId) -> bool {
        self.process(front).is_some()
    }

    /// Whether a front has a process that is not stopped.
    pub(super) fn is_running(&self, front: PeerId) -> bool {
        self.running_process(front).is_some()
    }
}

impl Hash for FleetLimitsState {
    /// Hashes the round itself: nothing repeats, because the number of rounds is limited.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.round, self.faults_left, self.last_incarnation).hash(hasher);
        self.messages.hash(hasher);
        (&self.cut_links, &self.delayed_links, self.violations).hash(hasher);
        for process in &self.processes {
            process.is_some().hash(hasher);
            if let Some(process) = process {
                (process.stopped, process.share).hash(hasher);
                process.coordinator.fingerprint(self.now(), hasher);
            }
        }
    }
}
