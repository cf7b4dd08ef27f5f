//! A simulation of outlier detection by many fronts: servers that fail for all, for one zone or for
//! one class of work, fronts that report wrongly or whose own network is bad, and the faults of a
//! schedule.

mod attempts;
mod audit;
mod checks;
mod report;
mod scenario;

use std::collections::BTreeSet;

use fastrand::Rng;
use tulipbridge_membership::{EntryKey, GossipAction, Incarnation, Nanos, PeerId};
use tulipbridge_outlier_detection::{
    ClassId, DetectorConfig, Effect, EjectionTarget, Event as DetectorEvent, KnownServer,
    OutlierDetector, ServerId, ZoneId,
};

use self::audit::{VoteAudit, VoteWithoutEvidence};
pub use self::report::OutlierReport;
pub use self::scenario::{FaultyFront, FaultyServer, FrontFault, Scenario, ServerFault};
use super::fleet::{Event, OverlappingPauses, SimulatedFleet, SimulatedFront};
use super::network::MILLISECOND;
use super::peer::{Envelope, PeerMessage, PEER_TIMEOUT, ROUND_INTERVAL};
use crate::schedule::Schedule;

/// How many servers there are.
pub const SERVERS: u64 = 8;
/// How many classes of work there are.
const CLASSES: u8 = 2;
/// Gossip bytes a second of each front.
const GOSSIP_RATE: u64 = 20_000;
/// The least time between two evaluations outside the rounds, as in a real front.
const EVALUATION_INTERVAL: Nanos = 50 * MILLISECOND;
/// Distinguishes the random choices here from those of other simulations of the same schedule.
const SEED_SALT: u64 = 0x6e1;

/// Events that only this simulation has, of the front with an index if it still has an incarnation.
enum FrontEvent {
    /// The front sends an attempt to a server.
    Attempt(usize, Incarnation),
    /// The front's detector evaluates evidence and votes outside the rounds.
    Evaluate(usize, Incarnation),
}

/// What a front of this simulation has beside its peer.
struct FrontState {
    detector: OutlierDetector,
    /// The earliest next evaluation outside the rounds.
    next_evaluation: Nanos,
    evaluation_scheduled: bool,
}

/// A health check of an ejected server by any front.
struct Probe {
    at: Nanos,
    server: ServerId,
}

/// The state of a simulation.
struct OutlierSimulation<'a> {
    fleet: SimulatedFleet<'a, FrontState, FrontEvent>,
    scenario: Scenario,
    audit: VoteAudit,
    /// All probes in the order of their times.
    probes: Vec<Probe>,
    /// Servers that any front ever ejected.
    ejected: BTreeSet<ServerId>,
    report: OutlierReport,
}

/// Simulates a schedule with the scenario of its seed.
pub fn run(schedule: &Schedule) -> OutlierReport {
    let mut simulation = OutlierSimulation::new(schedule);
    let fronts = schedule.fronts;
    let end = simulation.fleet.end_of_faults();
    simulation.run_until(end);
    simulation.fleet.recover();
    // All servers are healthy from here on: evidence and votes expire.
    let config = DetectorConfig::new(PeerId(0), fronts as u16, ZoneId(0));
    let max_votes = config.max_votes(SERVERS as usize);
    simulation.report.ejection_limit = fronts * max_votes / config.quorum();
    // Each front probes for nine turns, of which one may have been half over, and waits for one
    // before the first.
    let probing_time = 21 * config.probe_turn + 2 * ROUND_INTERVAL;
    simulation.run_until(end + probing_time);
    simulation.check_readmission(max_votes);
    let expiry_time = config.evidence_ttl + 2 * config.vote_ttl + 4 * PEER_TIMEOUT;
    simulation.run_until(end + expiry_time);
    simulation.report.not_expired = simulation.has_ejection();
    simulation.check_detection();
    simulation.check_probes(max_votes, config.probe_turn);
    simulation.report
}

/// The zone of a front: fronts are in two zones in turn.
fn zone_of(front: usize) -> ZoneId {
    ZoneId((front % 2) as u8)
}

impl<'a> OutlierSimulation<'a> {
    /// A simulation at time 0, with the scenario of the schedule's seed.
    fn new(schedule: &'a Schedule) -> OutlierSimulation<'a> {
        let scenario = Scenario::sample(schedule.seed, schedule.fronts);
        let rng = Rng::with_seed(schedule.seed ^ SEED_SALT);
        let mut fleet = SimulatedFleet::new(schedule, rng, OverlappingPauses::LongestWins);
        if !scenario.without_schedule {
            fleet.schedule_faults();
        }
        OutlierSimulation {
            fleet,
            scenario,
            audit: VoteAudit::new(),
            probes: Vec::new(),
            ejected: BTreeSet::new(),
            report: OutlierReport::default(),
        }
    }

    /// Handles all events that are due until a time.
    fn run_until(&mut self, deadline: Nanos) {
        while let Some(event) = self.fleet.next_event(deadline) {
            match event {
                Event::Start(front) => self.start(front),
                Event::Round(front, incarnation) => self.round(front, incarnation),
                Event::Deliver(envelope) => self.deliver(envelope),
                Event::Fault(number) => self.fleet.inject_step(number),
                Event::Custom(FrontEvent::Attempt(front, incarnation)) => {
                    self.attempt(front, incarnation)
                }
                Event::Custom(FrontEvent::Evaluate(front, incarnation)) => {
                    self.evaluate(front, incarnation)
                }
            }
        }
    }

    /// Starts a front with a new incarnation, unless it runs.
    fn start(&mut self, front: usize) {
        if self.fleet.fronts[front].is_some() {
            return;
        }
        let peer = self.fleet.new_peer(front, GOSSIP_RATE);
        let incarnation = peer.incarnation;
        let now = self.fleet.now;
        let peer_count = self.fleet.fronts.len() as u16;
        let config = DetectorConfig::new(PeerId::from_index(front), peer_count, zone_of(front));
        let mut detector = OutlierDetector::new(config).expect("the configuration is valid");
        let servers = (0..SERVERS)
            .map(|server| KnownServer {
                id: ServerId(server),
                is_up: true,
            })
            .collect();
        detector.on(
            now,
            &peer.gossip,
            DetectorEvent::Servers(servers),
            &mut Vec::new(),
        );
        let state = FrontState {
            detector,
            next_evaluation: now,
            evaluation_scheduled: false,
        };
        let running = SimulatedFront { peer, state };
        self.fleet.fronts[front] = Some(running);
        self.fleet
            .events
            .schedule(now, Event::Round(front, incarnation));
        self.fleet
            .events
            .schedule(now, Event::Custom(FrontEvent::Attempt(front, incarnation)));
    }

    /// Whether a front runs with this incarnation and is not paused. If it is paused, the event is
    /// postponed until it resumes.
    fn can_act(
        &mut self,
        front: usize,
        incarnation: Incarnation,
        event: Event<FrontEvent>,
    ) -> bool {
        let now = self.fleet.now;
        let Some(running) = self.fleet.front_with_incarnation(front, incarnation) else {
            return false;
        };
        if !running.peer.is_paused(now) {
            return true;
        }
        let paused_until = running.peer.paused_until;
        self.fleet.events.schedule(paused_until, event);
        false
    }

    /// Schedules an evaluation outside the rounds, as a real front does, unless one is scheduled.
    fn evaluate_soon(&mut self, front: usize) {
        let now = self.fleet.now;
        let Some(running) = &mut self.fleet.fronts[front] else {
            return;
        };
        if running.state.evaluation_scheduled {
            return;
        }
        running.state.evaluation_scheduled = true;
        let at = running.state.next_evaluation.max(now);
        let event = FrontEvent::Evaluate(front, running.peer.incarnation);
        self.fleet.events.schedule(at, Event::Custom(event));
    }

    /// An evaluation outside the rounds; gossip follows at once if there is any.
    fn evaluate(&mut self, front: usize, incarnation: Incarnation) {
        let now = self.fleet.now;
        if !self.can_act(
            front,
            incarnation,
            Event::Custom(FrontEvent::Evaluate(front, incarnation)),
        ) {
            return;
        }
        if let Some(running) = &mut self.fleet.fronts[front] {
            running.state.next_evaluation = now + EVALUATION_INTERVAL;
            running.state.evaluation_scheduled = false;
        }
        if self.feed(front, DetectorEvent::Evaluate) {
            self.gossip_round(front);
        }
        if self.fleet.fronts[front]
            .as_ref()
            .is_some_and(|running| running.state.detector.is_waiting(now))
        {
            self.evaluate_soon(front);
        }
    }

    /// A round of a front: heartbeats, an evaluation and gossip.
    fn round(&mut self, front: usize, incarnation: Incarnation) {
        let now = self.fleet.now;
        let jitter = self.fleet.rng.i64(-20..20) * MILLISECOND;
        let next_round = || Event::Round(front, incarnation);
        if !self.can_act(front, incarnation, next_round()) {
            return;
        }
        if let Some(running) = &mut self.fleet.fronts[front] {
            let heartbeats = running.peer.heartbeats(now);
            self.fleet.send_all(front, heartbeats);
        }
        self.feed(front, DetectorEvent::Evaluate);
        self.gossip_round(front);
        self.fleet
            .events
            .schedule(now + ROUND_INTERVAL + jitter, next_round());
    }

    /// Sends the gossip of a round.
    fn gossip_round(&mut self, front: usize) {
        let now = self.fleet.now;
        let Some(running) = &mut self.fleet.fronts[front] else {
            return;
        };
        let actions = running.peer.gossip_round(now);
        self.apply(front, actions);
    }

    /// Carries out the actions of a front's gossip store.
    fn apply(&mut self, front: usize, actions: Vec<GossipAction>) {
        for action in actions {
            if let GossipAction::Send { to, message } = action {
                self.report.messages += 1;
                self.fleet.send(front, to, PeerMessage::Gossip(message));
            }
        }
    }

    /// Delivers a message; changed entries are evaluated soon.
    fn deliver(&mut self, envelope: Envelope) {
        let to = envelope.to;
        let Some(actions) = self.fleet.deliver(envelope) else {
            return;
        };
        let has_changes = actions
            .iter()
            .any(|action| matches!(action, GossipAction::Changed(..)));
        self.apply(to, actions);
        if has_changes {
            self.evaluate_soon(to);
        }
    }

    /// Gives a front's detector an event and carries out its effects; returns whether there is
    /// something to gossip.
    fn feed(&mut self, front: usize, event: DetectorEvent) -> bool {
        let mut effects = Vec::new();
        if let Some(running) = &mut self.fleet.fronts[front] {
            running
                .state
                .detector
                .on(self.fleet.now, &running.peer.gossip, event, &mut effects);
        }
        let mut probes = Vec::new();
        let mut has_updates = false;
        for effect in effects {
            match effect {
                Effect::Put(key, value) => {
                    has_updates = true;
                    self.publish(front, key, value);
                }
                Effect::Probe(server) => probes.push(server),
                Effect::Ejected(target) => self.record_ejection(target),
                Effect::Readmitted { .. } | Effect::Suspect(_) => {}
            }
        }
        for server in probes {
            self.probe(front, server);
        }
        self.check_ejections();
        has_updates
    }

    /// Puts an entry into a front's gossip store, and checks it against the audit.
    fn publish(&mut self, front: usize, key: EntryKey, value: Option<Vec<u8>>) {
        let now = self.fleet.now;
        if let Err(VoteWithoutEvidence(target)) =
            self.audit.record(now, front, key, value.as_deref())
        {
            let violation = format!("{target:?} by {front} at {} ms", now / MILLISECOND);
            self.report.vote_without_evidence.get_or_insert(violation);
        }
        if let Some(running) = &mut self.fleet.fronts[front] {
            running.peer.put(now, key, value);
        }
    }

    /// Records an ejection, and whether the server was faulty.
    fn record_ejection(&mut self, target: EjectionTarget) {
        if !self.scenario.justifies(target) {
            self.report
                .unjustified_ejection
                .get_or_insert(format!("{target:?}"));
        }
        self.ejected.insert(target.server);
    }

    /// Sends a health check to a server and gives the detector its outcome.
    fn probe(&mut self, front: usize, server: ServerId) {
        self.probes.push(Probe {
            at: self.fleet.now,
            server,
        });
        let class = ClassId(self.fleet.rng.u8(0..CLASSES));
        let quality = self.attempt_quality(front, server, class);
        self.feed(
            front,
            DetectorEvent::Probed {
                server,
                class,
                quality,
            },
        );
        self.evaluate_soon(front);
    }
}
