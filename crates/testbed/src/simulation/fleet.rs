//! The skeleton that the simulations of gossip and of outlier detection share: fronts that start,
//! stop and exchange messages over the simulated network, under the faults of a schedule.

use std::time::Duration;

use fastrand::Rng;
use tulipbridge_membership::{GossipAction, Incarnation, Nanos, PeerId};

use super::event_queue::{DueEvent, EventQueue};
use super::network::{nanos, Network};
use super::peer::{AddressedMessage, Envelope, Peer, PeerMessage};
use crate::schedule::{Fault, Schedule};

/// A simulated front that runs.
pub struct SimulatedFront<S> {
    /// The membership and gossip state.
    pub peer: Peer,
    /// What only one simulation has.
    pub state: S,
}

/// An event of a simulation. `E` is what only one simulation has.
pub enum Event<E> {
    /// A front starts, unless it runs.
    Start(usize),
    /// A round of a front, if it still has this incarnation.
    Round(usize, Incarnation),
    /// A message arrives.
    Deliver(Envelope),
    /// The step of the schedule with this number is due.
    Fault(usize),
    /// An event of one simulation.
    Custom(E),
}

/// What a pause does to a front that is paused already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverlappingPauses {
    /// The front resumes when the later pause ends, even if the earlier one would last longer.
    LastWins,
    /// The front resumes when both have ended.
    LongestWins,
}

/// The fronts of a simulation, the network between them, and the events to come. `S` is the state
/// of a front, and `E` the events, that only one simulation has.
pub struct SimulatedFleet<'a, S, E> {
    /// The schedule whose faults are injected.
    pub schedule: &'a Schedule,
    /// The source of every random choice.
    pub rng: Rng,
    /// The simulated time.
    pub now: Nanos,
    /// Events to come.
    pub events: EventQueue<Event<E>>,
    /// The fronts by index; `None` is one that does not run.
    pub fronts: Vec<Option<SimulatedFront<S>>>,
    /// The links between the fronts.
    pub network: Network,
    overlapping_pauses: OverlappingPauses,
}

impl<'a, S, E> SimulatedFleet<'a, S, E> {
    /// A fleet of which every front starts at time 0.
    pub fn new(schedule: &'a Schedule, rng: Rng, overlapping_pauses: OverlappingPauses) -> Self {
        let mut fleet = SimulatedFleet {
            schedule,
            rng,
            now: 0,
            events: EventQueue::new(),
            fronts: (0..schedule.fronts).map(|_| None).collect(),
            network: Network::new(schedule.fronts),
            overlapping_pauses,
        };
        fleet.start_missing(0);
        fleet
    }

    /// When the faults of the schedule end.
    pub fn end_of_faults(&self) -> Nanos {
        nanos(self.schedule.duration)
    }

    /// Schedules every fault.
    pub fn schedule_faults(&mut self) {
        for (number, step) in self.schedule.steps.iter().enumerate() {
            self.events.schedule(nanos(step.at), Event::Fault(number));
        }
    }

    /// Heals the network and starts every front that does not run.
    pub fn recover(&mut self) {
        self.network.heal();
        self.start_missing(self.now);
    }

    /// Schedules the start of every front that does not run.
    fn start_missing(&mut self, at: Nanos) {
        for front in 0..self.fronts.len() {
            if self.fronts[front].is_none() {
                self.events.schedule(at, Event::Start(front));
            }
        }
    }

    /// The next event that is due by `deadline`; the time becomes that of the event, or else the
    /// deadline.
    pub fn next_event(&mut self, deadline: Nanos) -> Option<Event<E>> {
        let Some(DueEvent { at, event }) = self.events.pop_due(deadline) else {
            self.now = deadline;
            return None;
        };
        self.now = at;
        Some(event)
    }

    /// The peer state of a process that starts now, with a random incarnation. `gossip_rate` is in
    /// bytes a second.
    pub fn new_peer(&mut self, front: usize, gossip_rate: u64) -> Peer {
        let incarnation = Incarnation(self.rng.u64(1..u64::MAX));
        Peer::new(front, self.fronts.len(), incarnation, gossip_rate, self.now)
    }

    /// A front, if it runs with this incarnation.
    pub fn front_with_incarnation(
        &mut self,
        front: usize,
        incarnation: Incarnation,
    ) -> Option<&mut SimulatedFront<S>> {
        self.fronts[front]
            .as_mut()
            .filter(|running| running.peer.incarnation == incarnation)
    }

    /// Sends messages of a front.
    pub fn send_all(&mut self, from: usize, messages: Vec<AddressedMessage>) {
        for AddressedMessage { to, message } in messages {
            self.send(from, to, message);
        }
    }

    /// Sends a message from a front, if it runs.
    pub fn send(&mut self, from: usize, to: PeerId, message: PeerMessage) {
        let to = to.index();
        let Some(front) = &self.fronts[from] else {
            return;
        };
        let incarnation = front.peer.incarnation;
        for delay in self.network.delays(&mut self.rng, from, to) {
            let message = message.clone();
            let envelope = Envelope {
                to,
                from: PeerId::from_index(from),
                incarnation,
                message,
            };
            self.events
                .schedule(self.now + delay, Event::Deliver(envelope));
        }
    }

    /// Delivers a message: what the receiver's gossip does in answer. `None` if the receiver does
    /// not run, or is paused and gets the message when it resumes.
    pub fn deliver(&mut self, envelope: Envelope) -> Option<Vec<GossipAction>> {
        let peer = &mut self.fronts[envelope.to].as_mut()?.peer;
        if peer.is_paused(self.now) {
            self.events
                .schedule(peer.paused_until, Event::Deliver(envelope));
            return None;
        }
        let Envelope {
            from,
            incarnation,
            message,
            ..
        } = envelope;
        Some(peer.receive(self.now, from, incarnation, message))
    }

    /// Injects the fault of a step. Faults of what these simulations lack change nothing: load,
    /// rosters, second processes of a name, chunk servers and discovery.
    pub fn inject_step(&mut self, number: usize) {
        let schedule = self.schedule;
        match &schedule.steps[number].fault {
            fault @ (Fault::Cut { .. }
            | Fault::Partition { .. }
            | Fault::Heal
            | Fault::DatagramFaults { .. }) => {
                self.network.inject(fault);
            }
            Fault::Pause { front, duration } => self.pause(*front, self.after(*duration)),
            Fault::Kill {
                front,
                restart_after,
            } => self.stop(*front, *restart_after),
            Fault::ShutDown {
                front,
                restart_after,
            } => self.stop(*front, Some(*restart_after)),
            Fault::DuplicateProcess { .. } | Fault::Load { .. } | Fault::Roster { .. } => {}
            Fault::ServerLink { .. } | Fault::Server { .. } => {}
            Fault::Upgrade { .. } | Fault::Discovery { .. } | Fault::RestartServer { .. } => {}
        }
    }

    /// The simulated time after a delay.
    fn after(&self, delay: Duration) -> Nanos {
        self.now + nanos(delay)
    }

    /// Pauses a front, if it runs, until a time.
    fn pause(&mut self, front: usize, until: Nanos) {
        let Some(front) = &mut self.fronts[front] else {
            return;
        };
        let peer = &mut front.peer;
        peer.paused_until = match self.overlapping_pauses {
            OverlappingPauses::LastWins => until,
            OverlappingPauses::LongestWins => peer.paused_until.max(until),
        };
    }

    /// Ends a front, and starts it again if the fault says when.
    fn stop(&mut self, front: usize, restart_after: Option<Duration>) {
        self.fronts[front] = None;
        if let Some(delay) = restart_after {
            self.events.schedule(self.after(delay), Event::Start(front));
        }
    }
}
