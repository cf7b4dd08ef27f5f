//! Checks of a simulation of outlier detection: ejections, readmission, detection and probes.

use std::collections::BTreeSet;

use tulipbridge_membership::Nanos;
use tulipbridge_outlier_detection::{EjectionTarget, ServerId};

use super::{FaultyServer, FrontState, OutlierSimulation, Probe, ServerFault};
use crate::simulation::fleet::SimulatedFront;
use crate::simulation::network::MILLISECOND;
use crate::simulation::peer::ROUND_INTERVAL;

/// The load, in attempts a second of each front, from which detection and readmission are expected
/// in time.
const SUFFICIENT_LOAD: u32 = 16;

impl OutlierSimulation<'_> {
    /// Checks how many servers all running fronts have ejected together, and that each ejection has
    /// a quorum.
    pub(super) fn check_ejections(&mut self) {
        let now = self.fleet.now;
        let running = self
            .fleet
            .fronts
            .iter()
            .flatten()
            .filter(|front| !front.peer.is_paused(now));
        let ejected: BTreeSet<ServerId> = running
            .flat_map(|front| front.state.detector.ejected().map(|target| target.server))
            .collect();
        self.report.max_ejected = self.report.max_ejected.max(ejected.len());
        if self.report.ejection_without_quorum.is_none() {
            let violation = self.ejection_without_quorum();
            self.report.ejection_without_quorum =
                violation.map(|target| format!("{target:?} at {} ms", now / MILLISECOND));
        }
    }

    /// An ejection for which fewer fronts have voted recently than the quorum, if there is any.
    fn ejection_without_quorum(&self) -> Option<EjectionTarget> {
        let now = self.fleet.now;
        // A front that was paused evaluates in its next round.
        let has_evaluated = |front: &&SimulatedFront<FrontState>| {
            now >= front.peer.paused_until + 2 * ROUND_INTERVAL
        };
        self.fleet
            .fronts
            .iter()
            .flatten()
            .filter(has_evaluated)
            .find_map(|front| {
                let config = front.state.detector.config();
                let oldest = now - config.vote_span() - 2 * ROUND_INTERVAL;
                let votes = |target: EjectionTarget| {
                    let voters = 0..self.fleet.fronts.len();
                    voters
                        .filter(|voter| self.audit.has_vote(*voter, target, oldest))
                        .count()
                };
                front
                    .state
                    .detector
                    .ejected()
                    .find(|target| votes(*target) < config.quorum())
            })
    }

    /// Whether any front has a server ejected.
    pub(super) fn has_ejection(&self) -> bool {
        self.fleet
            .fronts
            .iter()
            .flatten()
            .any(|front| front.state.detector.ejected().next().is_some())
    }

    /// Whether all faulty servers may be ejected at once. If more are faulty, they are ejected in
    /// turn, and so are their probers.
    fn may_eject_all_faulty(&self, max_votes: usize) -> bool {
        self.scenario.faulty_servers.len() <= max_votes
    }

    /// Checks that all servers are readmitted, if nothing is in the way of probes.
    pub(super) fn check_readmission(&mut self, max_votes: usize) {
        let is_expected = self.scenario.without_schedule
            && self.scenario.faulty_front.is_none()
            && self.scenario.attempts_per_second >= SUFFICIENT_LOAD
            && self.may_eject_all_faulty(max_votes);
        self.report.not_readmitted = is_expected && self.has_ejection();
    }

    /// Counts the faulty servers that were ejected, and checks that a complete outage was detected.
    pub(super) fn check_detection(&mut self) {
        let servers = &self.scenario.faulty_servers;
        let failing = servers
            .iter()
            .filter(|faulty| matches!(faulty.fault, ServerFault::Failing(_)));
        let found = failing
            .filter(|faulty| self.ejected.contains(&faulty.server))
            .count();
        self.report.faulty_servers_ejected = found as u64;
        if let [FaultyServer {
            server,
            fault: ServerFault::Failing(1_000),
            ..
        }] = servers[..]
        {
            let is_expected = self.scenario.attempts_per_second >= SUFFICIENT_LOAD
                && self.fleet.fronts.len() >= 4
                && self.scenario.without_schedule;
            self.report.outage_missed = is_expected && !self.ejected.contains(&server);
        }
    }

    /// Finds the most probes of one server within half a turn. Fronts disagree on when a server was
    /// ejected that fails now and then, and so on whose turn it is to probe: only servers that
    /// always fail count.
    pub(super) fn check_probes(&mut self, max_votes: usize, probe_turn: Nanos) {
        let always_fails = ServerFault::Failing(1_000);
        let is_expected = self.scenario.without_schedule
            && self.may_eject_all_faulty(max_votes)
            && self
                .scenario
                .faulty_servers
                .iter()
                .all(|faulty| faulty.fault == always_fails);
        if is_expected {
            self.report.max_probes = self.max_probes_within(probe_turn / 2);
        }
    }

    /// The most probes of one server within any window of a length.
    fn max_probes_within(&self, window: Nanos) -> usize {
        let count = |first: &Probe| {
            let times = first.at..first.at + window;
            let is_counted =
                |probe: &&Probe| probe.server == first.server && times.contains(&probe.at);
            self.probes.iter().filter(is_counted).count()
        };
        self.probes.iter().map(count).max().unwrap_or(0)
    }
}
