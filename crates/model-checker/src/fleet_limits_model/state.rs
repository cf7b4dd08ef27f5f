//! The state of the fleet limits model.

use std::hash::{Hash, Hasher};

use tulipbridge_fleet_limits::{Heartbeat, Incarnation, LimitCoordinator, Nanos, PeerId, Share};

use crate::properties::Violations;
use crate::time::MS;

/// Interval between two heartbeats of a front, which is the length of a round.
pub(super) const HEARTBEAT_INTERVAL: Nanos = 500 * MS;

/// A process of a front.
#[derive(Clone, Debug)]
pub(super) struct Process {
    pub coordinator: LimitCoordinator,
    pub stopped: bool,
    /// The share of the limit that it may use now.
    pub share: Share,
}

/// A directed link between two fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Link {
    pub from: PeerId,
    pub to: PeerId,
}

/// A heartbeat that has been sent and has not arrived.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Message {
    pub link: Link,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    pub heartbeat: Heartbeat,
    /// Number of rounds until it may arrive.
    pub rounds_left: u8,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) round: u8,
    pub(super) faults_left: u8,
    /// The incarnation of the process that started last.
    pub(super) last_incarnation: Incarnation,
    /// The process of each front, unless it was killed.
    pub(super) processes: Vec<Option<Process>>,
    pub(super) messages: Vec<Message>,
    /// Links on which heartbeats are lost.
    pub(super) cut_links: Vec<Link>,
    /// Links on which the next heartbeat is delayed.
    pub(super) delayed_links: Vec<Link>,
    pub(super) violations: Violations,
}

impl State {
    /// A fleet in which every front has just started.
    pub(super) fn new(fronts: u16, max_faults: u8) -> State {
        let mut state = State {
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

    pub(super) fn front_count(&self) -> u16 {
        self.processes.len() as u16
    }

    pub(super) fn fronts(&self) -> impl Iterator<Item = PeerId> + use<> {
        PeerId::all(self.front_count())
    }

    pub(super) fn process(&self, front: PeerId) -> Option<&Process> {
        self.processes[front.index()].as_ref()
    }

    pub(super) fn running_process(&self, front: PeerId) -> Option<&Process> {
        self.process(front).filter(|process| !process.stopped)
    }

    pub(super) fn is_started(&self, front: PeerId) -> bool {
        self.process(front).is_some()
    }

    pub(super) fn is_running(&self, front: PeerId) -> bool {
        self.running_process(front).is_some()
    }
}

impl Hash for State {
    /// Hashes the round itself: nothing repeats, because the number of rounds is limited.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (
            self.round,
            self.faults_left,
            self.last_incarnation,
            &self.messages,
        )
            .hash(hasher);
        (&self.cut_links, &self.delayed_links, self.violations).hash(hasher);
        for process in &self.processes {
            match process {
                None => 0u8.hash(hasher),
                Some(process) => {
                    (1u8, process.stopped, process.share).hash(hasher);
                    process.coordinator.fingerprint(self.now(), hasher);
                }
            }
        }
    }
}
