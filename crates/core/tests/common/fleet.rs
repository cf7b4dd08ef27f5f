//! Several fronts that share a clock and nothing else.

use tulipbridge_core::*;

use super::{sends, TestFront, MS};

/// The time by which [`Fleet::step`] advances the clock.
pub const STEP: Nanos = 10 * MS;

/// An attempt that a front has sent to a server.
#[derive(Clone, Copy)]
pub struct FleetSend {
    pub front: usize,
    pub id: u64,
    pub node: usize,
}

/// The fronts and their clock.
pub struct Fleet {
    pub fronts: Vec<TestFront>,
    pub now: Nanos,
}

impl Fleet {
    /// Creates a front for each seed, each with the same list of warm servers.
    pub fn new(settings: &Settings, nodes: usize, seeds: impl Iterator<Item = u64>) -> Fleet {
        let fronts: Vec<TestFront> = seeds
            .map(|seed| TestFront::seeded(settings.clone(), nodes, seed))
            .collect();
        let now = fronts[0].now;
        Fleet { fronts, now }
    }

    /// Advances the clock of all fronts by [`STEP`].
    pub fn step(&mut self) {
        self.now += STEP;
        for front in &mut self.fronts {
            front.now = self.now;
        }
    }

    /// Handles an event at a front and returns the attempts that it sends.
    pub fn event(&mut self, front: usize, event: Event) -> Vec<FleetSend> {
        let actions = self.fronts[front].event(event);
        sends(&actions)
            .into_iter()
            .map(|(id, node)| FleetSend { front, id, node })
            .collect()
    }

    /// Submits a request at a front and returns the attempts that it sends.
    pub fn submit(&mut self, front: usize, request: Request) -> Vec<FleetSend> {
        self.event(front, Event::Request(request))
    }

    /// Ends the first attempt of a request as served after `took` and returns the attempts that its
    /// front then sends.
    pub fn serve(&mut self, attempt: FleetSend, took: Nanos) -> Vec<FleetSend> {
        let event = super::ended(attempt.id, 0, attempt.node, Outcome::Served, took, true);
        self.event(attempt.front, event)
    }

    /// Runs the timer of each front, after an endpoint update if one is given, and returns the
    /// attempts sent.
    pub fn tick(&mut self, update: Option<&[NodeInfo]>) -> Vec<FleetSend> {
        let mut sent = Vec::new();
        for front in 0..self.fronts.len() {
            if let Some(nodes) = update {
                let update = Event::Endpoints {
                    scope: UpdateScope::Update,
                    nodes: nodes.to_vec(),
                };
                sent.extend(self.event(front, update));
            }
            sent.extend(self.event(front, Event::Timer(1)));
        }
        sent
    }
}
