//! A simulation of outlier detection by many fronts: servers that fail for all, for one zone or for one class of work,
//! fronts that report wrongly or whose own network is bad, and the faults of a schedule.

mod audit;
mod report;
mod scenario;

use std::collections::BTreeSet;

use fastrand::Rng;
use tulipbridge_membership::{GossipAction, Incarnation, Key, Nanos, PeerId};
use tulipbridge_outlier_detection::{
    Class, DetectorConfig, Effect, EjectionTarget, Event as DetectorEvent, OutlierDetector, SampleQuality,
    Scope, Server, Zone,
};

use self::audit::{VoteAudit, VoteWithoutEvidence};
pub use self::report::OutlierReport;
pub use self::scenario::{FaultyFront, FaultyServer, FrontFault, Scenario, ServerFault};
use super::fleet::{Event, OverlappingPauses, SimulatedFleet, SimulatedFront};
use super::network::MILLISECOND;
use super::peer::{Envelope, Peer, PeerMessage, PEER_TIMEOUT, ROUND_INTERVAL};
use crate::schedule::{Millis, Schedule};

/// How many servers there are.
pub const SERVERS: u64 = 8;
/// How many classes of work there are.
const CLASSES: Class = 2;
/// Gossip bytes a second of each front.
const GOSSIP_RATE: u64 = 20_000;
/// The least time between two evaluations outside the rounds, as in a real front.
const EVALUATION_INTERVAL: Nanos = 50 * MILLISECOND;
/// Failed attempts at a healthy server, of a thousand.
const BASE_FAILURES_PER_MILLE: u32 = 10;
/// Attempts that a front reports for each it makes, if it reports all as healthy.
const INFLATED_REPORTS: usize = 50;
/// The load, in attempts a second of each front, from which detection and readmission are expected in time.
const SUFFICIENT_LOAD: u32 = 16;
/// Distinguishes the random choices here from those of other simulations of the same schedule.
const SEED_SALT: u64 = 0x6e1;

/// Events that only this simulation has.
enum FrontEvent {
    Attempt(usize, Incarnation),
    Evaluate(usize, Incarnation),
}

struct Front {
    peer: Peer,
    detector: OutlierDetector,
    /// The earliest next evaluation outside the rounds.
    next_evaluation: Nanos,
    evaluation_scheduled: bool,
}

impl SimulatedFront for Front {
    fn peer(&self) -> &Peer {
        &self.peer
    }

    fn peer_mut(&mut self) -> &mut Peer {
        &mut self.peer
    }
}

struct Simulation<'a> {
    fleet: SimulatedFleet<'a, Front, FrontEvent>,
    scenario: Scenario,
    audit: VoteAudit,
    /// When which server was probed.
    probes: Vec<(Nanos, Server)>,
    /// Servers that any front ever ejected.
    ejected: BTreeSet<Server>,
    report: OutlierReport,
}

/// Simulates a schedule with the scenario of its seed.
pub fn run(schedule: &Schedule) -> OutlierReport {
    let mut simulation = Simulation::new(schedule);
    let fronts = schedule.fronts;
    let end = simulation.fleet.end_of_faults();
    simulation.run_until(end);
    simulation.fleet.recover();
    // All servers are healthy from here on: evidence and votes expire.
    let config = DetectorConfig::new(0, fronts as PeerId, 0);
    let max_votes = config.max_votes(SERVERS as usize);
    simulation.report.ejection_limit = fronts * max_votes / config.quorum();
    // Each front probes for nine turns, of which one may have been half over, and waits for one before the first.
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

fn zone_of(front: usize) -> Zone {
    (front % 2) as Zone
}

impl<'a> Simulation<'a> {
    fn new(schedule: &'a Schedule) -> Simulation<'a> {
        let scenario = Scenario::draw(schedule.seed, schedule.fronts);
        let rng = Rng::with_seed(schedule.seed ^ SEED_SALT);
        let mut fleet = SimulatedFleet::new(schedule, rng, OverlappingPauses::LongestWins);
        if !scenario.without_schedule {
            fleet.schedule_faults();
        }
        Simulation {
            fleet,
            scenario,
            audit: VoteAudit::new(),
            probes: Vec::new(),
            ejected: BTreeSet::new(),
            report: OutlierReport::default(),
        }
    }

    fn run_until(&mut self, deadline: Nanos) {
        while let Some(event) = self.fleet.next_event(deadline) {
            match event {
                Event::Start(front) => self.start(front),
                Event::Round(front, incarnation) => self.round(front, incarnation),
                Event::Deliver(envelope) => self.deliver(envelope),
                Event::Fault(number) => self.fleet.inject_step(number),
                Event::Custom(FrontEvent::Attempt(front, incarnation)) => self.attempt(front, incarnation),
                Event::Custom(FrontEvent::Evaluate(front, incarnation)) => self.evaluate(front, incarnation),
            }
        }
    }

    fn start(&mut self, front: usize) {
        if self.fleet.fronts[front].is_some() {
            return;
        }
        let peer = self.fleet.new_peer(front, GOSSIP_RATE);
        let (incarnation, now) = (peer.incarnation, self.fleet.now);
        let peer_count = self.fleet.fronts.len() as PeerId;
        let config = DetectorConfig::new(front as PeerId, peer_count, zone_of(front));
        let mut detector = OutlierDetector::new(config).expect("the configuration is valid");
        let servers = (0..SERVERS).map(|server| (server, true)).collect();
        detector.on(now, &peer.gossip, DetectorEvent::Servers(servers), &mut Vec::new());
        let running = Front { peer, detector, next_evaluation: now, evaluation_scheduled: false };
        self.fleet.fronts[front] = Some(running);
        self.fleet.events.schedule(now, Event::Round(front, incarnation));
        self.fleet.events.schedule(now, Event::Custom(FrontEvent::Attempt(front, incarnation)));
    }

    /// Whether a front runs with this incarnation and is not paused. If it is paused, the event is postponed until it
    /// resumes.
    fn can_act(&mut self, front: usize, incarnation: Incarnation, event: Event<FrontEvent>) -> bool {
        let now = self.fleet.now;
        let Some(running) = self.fleet.front_with_incarnation(front, incarnation) else { return false };
        if !running.peer.is_paused(now) {
            return true;
        }
        let paused_until = running.peer.paused_until;
        self.fleet.events.schedule(paused_until, event);
        false
    }

    fn attempt(&mut self, front: usize, incarnation: Incarnation) {
        let rate = f64::from(self.scenario.attempts_per_second);
        let wait = -(1.0 - self.fleet.rng.f64()).ln() / rate * 1e9;
        let again = || Event::Custom(FrontEvent::Attempt(front, incarnation));
        if !self.can_act(front, incarnation, again()) {
            return;
        }
        self.fleet.events.schedule(self.fleet.now + wait as Nanos + 1, again());
        let class = self.fleet.rng.u8(0..CLASSES);
        let open = self.open_servers(front, class);
        let server = open[self.fleet.rng.usize(0..open.len())];
        let quality = self.attempt_quality(front, server, class);
        for _ in 0..self.reports_per_attempt(front) {
            self.feed(front, DetectorEvent::Attempt { server, class, quality });
        }
        if quality == SampleQuality::Failed {
            self.evaluate_soon(front);
        }
    }

    /// The servers that a front has not ejected for a class of work.
    fn open_servers(&self, front: usize, class: Class) -> Vec<Server> {
        let detector = self.fleet.fronts[front].as_ref().map(|running| &running.detector);
        let ejected: Vec<EjectionTarget> = detector.into_iter().flat_map(|d| d.ejected()).collect();
        let covers = |target: &EjectionTarget| match target.scope {
            Scope::Class(ejected_class) => ejected_class == class,
            Scope::All | Scope::Zone(_) => true,
        };
        let is_ejected = |server: &Server| ejected.iter().any(|t| t.server == *server && covers(t));
        (0..SERVERS).filter(|server| !is_ejected(server)).collect()
    }

    fn reports_per_attempt(&self, front: usize) -> usize {
        let is_faulty = self.scenario.front_fault(front) == Some(FrontFault::ReportsAllHealthy);
        if is_faulty && self.fleet.now < self.fleet.end_of_faults() {
            INFLATED_REPORTS
        } else {
            1
        }
    }

    /// The outcome of an attempt as the front reports it. All servers and fronts are healthy once the schedule has
    /// ended.
    fn attempt_quality(&mut self, front: usize, server: Server, class: Class) -> SampleQuality {
        let now = self.fleet.now;
        let draw = self.fleet.rng.u32(0..1_000);
        if now >= self.fleet.end_of_faults() {
            return SampleQuality::Healthy;
        }
        let now_ms = (now / MILLISECOND) as Millis;
        let fails = self.scenario.attempt_fails(server, zone_of(front), class, now_ms, draw);
        self.report.failed_attempts += u64::from(fails);
        let base_failure = draw < BASE_FAILURES_PER_MILLE;
        let is_failed = match self.scenario.front_fault(front) {
            Some(FrontFault::ReportsAllFailed) => true,
            Some(FrontFault::ReportsAllHealthy) => false,
            Some(FrontFault::LossyNetwork(per_mille)) => fails || self.fleet.rng.u32(0..1_000) < per_mille,
            Some(FrontFault::UnreachableServer(to)) => fails || server == to || base_failure,
            None => fails || base_failure,
        };
        if is_failed {
            SampleQuality::Failed
        } else {
            SampleQuality::Healthy
        }
    }

    /// Schedules an evaluation outside the rounds, as a real front does, unless one is scheduled.
    fn evaluate_soon(&mut self, front: usize) {
        let now = self.fleet.now;
        let Some(running) = &mut self.fleet.fronts[front] else { return };
        if running.evaluation_scheduled {
            return;
        }
        running.evaluation_scheduled = true;
        let at = running.next_evaluation.max(now);
        let event = FrontEvent::Evaluate(front, running.peer.incarnation);
        self.fleet.events.schedule(at, Event::Custom(event));
    }

    fn evaluate(&mut self, front: usize, incarnation: Incarnation) {
        let now = self.fleet.now;
        if !self.can_act(front, incarnation, Event::Custom(FrontEvent::Evaluate(front, incarnation))) {
            return;
        }
        if let Some(running) = &mut self.fleet.fronts[front] {
            running.next_evaluation = now + EVALUATION_INTERVAL;
            running.evaluation_scheduled = false;
        }
        if self.feed(front, DetectorEvent::Evaluate) {
            self.gossip_round(front);
        }
        if self.fleet.fronts[front].as_ref().is_some_and(|running| running.detector.is_waiting(now)) {
            self.evaluate_soon(front);
        }
    }

    fn round(&mut self, front: usize, incarnation: Incarnation) {
        let now = self.fleet.now;
        let jitter = self.fleet.rng.i64(-20..20) * MILLISECOND;
        let again = || Event::Round(front, incarnation);
        if !self.can_act(front, incarnation, again()) {
            return;
        }
        if let Some(running) = &mut self.fleet.fronts[front] {
            let heartbeats = running.peer.heartbeats(now);
            self.fleet.send_all(front, heartbeats);
        }
        self.feed(front, DetectorEvent::Evaluate);
        self.gossip_round(front);
        self.fleet.events.schedule(now + ROUND_INTERVAL + jitter, again());
    }

    fn gossip_round(&mut self, front: usize) {
        let now = self.fleet.now;
        let Some(running) = &mut self.fleet.fronts[front] else { return };
        let actions = running.peer.gossip_round(now);
        self.apply(front, actions);
    }

    fn apply(&mut self, front: usize, actions: Vec<GossipAction>) {
        for action in actions {
            if let GossipAction::Send { to, message } = action {
                self.report.messages += 1;
                self.fleet.send(front, to, PeerMessage::Gossip(message));
            }
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let to = envelope.to;
        let Some(actions) = self.fleet.deliver(envelope) else { return };
        let has_changes = actions.iter().any(|action| matches!(action, GossipAction::Changed(..)));
        self.apply(to, actions);
        if has_changes {
            self.evaluate_soon(to);
        }
    }

    /// Gives a front's detector an event and carries out its effects; returns whether there is something to gossip.
    fn feed(&mut self, front: usize, event: DetectorEvent) -> bool {
        let mut effects = Vec::new();
        if let Some(running) = &mut self.fleet.fronts[front] {
            running.detector.on(self.fleet.now, &running.peer.gossip, event, &mut effects);
        }
        let (mut probes, mut has_news) = (Vec::new(), false);
        for effect in effects {
            match effect {
                Effect::Put(key, value) => {
                    has_news = true;
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
        has_news
    }

    fn publish(&mut self, front: usize, key: Key, value: Option<Vec<u8>>) {
        let now = self.fleet.now;
        if let Err(VoteWithoutEvidence(target)) = self.audit.record(now, front, key, value.as_deref()) {
            let violation = format!("{target:?} by {front} at {} ms", now / MILLISECOND);
            self.report.vote_without_evidence.get_or_insert(violation);
        }
        if let Some(running) = &mut self.fleet.fronts[front] {
            running.peer.put(now, key, value);
        }
    }

    fn record_ejection(&mut self, target: EjectionTarget) {
        if !self.scenario.justifies(target) {
            self.report.unjustified_ejection.get_or_insert(format!("{target:?}"));
        }
        self.ejected.insert(target.server);
    }

    fn probe(&mut self, front: usize, server: Server) {
        self.probes.push((self.fleet.now, server));
        let class = self.fleet.rng.u8(0..CLASSES);
        let quality = self.attempt_quality(front, server, class);
        self.feed(front, DetectorEvent::Probed { server, class, quality });
        self.evaluate_soon(front);
    }

    /// Checks how many servers all running fronts have ejected together, and that each ejection has a quorum.
    fn check_ejections(&mut self) {
        let now = self.fleet.now;
        let running = self.fleet.fronts.iter().flatten().filter(|front| !front.peer.is_paused(now));
        let ejected: BTreeSet<Server> =
            running.flat_map(|front| front.detector.ejected().map(|target| target.server)).collect();
        self.report.max_ejected = self.report.max_ejected.max(ejected.len());
        if self.report.ejection_without_quorum.is_none() {
            let violation = self.ejection_without_quorum();
            self.report.ejection_without_quorum =
                violation.map(|target| format!("{target:?} at {} ms", now / MILLISECOND));
        }
    }

    fn ejection_without_quorum(&self) -> Option<EjectionTarget> {
        let now = self.fleet.now;
        // A front that was paused evaluates in its next round.
        let has_evaluated = |front: &&Front| now >= front.peer.paused_until + 2 * ROUND_INTERVAL;
        self.fleet.fronts.iter().flatten().filter(has_evaluated).find_map(|front| {
            let config = front.detector.config();
            let oldest = now - config.vote_span() - 2 * ROUND_INTERVAL;
            let votes = |target: EjectionTarget| {
                let voters = 0..self.fleet.fronts.len();
                voters.filter(|voter| self.audit.has_vote(*voter, target, oldest)).count()
            };
            front.detector.ejected().find(|target| votes(*target) < config.quorum())
        })
    }

    fn has_ejection(&self) -> bool {
        self.fleet.fronts.iter().flatten().any(|front| front.detector.ejected().next().is_some())
    }

    /// Whether all faulty servers may be ejected at once. If more are faulty, they are ejected in turn, and so are
    /// their probers.
    fn may_eject_all_faulty(&self, max_votes: usize) -> bool {
        self.scenario.faulty_servers.len() <= max_votes
    }

    fn check_readmission(&mut self, max_votes: usize) {
        let is_expected = self.scenario.without_schedule
            && self.scenario.faulty_front.is_none()
            && self.scenario.attempts_per_second >= SUFFICIENT_LOAD
            && self.may_eject_all_faulty(max_votes);
        self.report.not_readmitted = is_expected && self.has_ejection();
    }

    fn check_detection(&mut self) {
        let servers = &self.scenario.faulty_servers;
        let failing = servers.iter().filter(|faulty| matches!(faulty.fault, ServerFault::Failing(_)));
        let found = failing.filter(|faulty| self.ejected.contains(&faulty.server)).count();
        self.report.faulty_servers_ejected = found as u64;
        if let [FaultyServer { server, fault: ServerFault::Failing(1_000), .. }] = servers[..] {
            let is_expected = self.scenario.attempts_per_second >= SUFFICIENT_LOAD
                && self.fleet.fronts.len() >= 4
                && self.scenario.without_schedule;
            self.report.outage_missed = is_expected && !self.ejected.contains(&server);
        }
    }

    /// Fronts disagree on when a server was ejected that fails now and then, and so on whose turn it is to probe: only
    /// servers that always fail count.
    fn check_probes(&mut self, max_votes: usize, probe_turn: Nanos) {
        let always_fails = ServerFault::Failing(1_000);
        let is_expected = self.scenario.without_schedule
            && self.may_eject_all_faulty(max_votes)
            && self.scenario.faulty_servers.iter().all(|faulty| faulty.fault == always_fails);
        if is_expected {
            self.report.max_probes = self.max_probes_within(probe_turn / 2);
        }
    }

    fn max_probes_within(&self, window: Nanos) -> usize {
        let count = |(from, server): &(Nanos, Server)| {
            let in_window = |at: Nanos| at >= *from && at < from + window;
            self.probes.iter().filter(|(at, of)| of == server && in_window(*at)).count()
        };
        self.probes.iter().map(count).max().unwrap_or(0)
    }
}
