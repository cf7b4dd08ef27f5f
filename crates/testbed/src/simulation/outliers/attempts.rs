//! Attempts of simulated fronts at servers, and how they end.

use tulipbridge_membership::{Incarnation, Nanos};
use tulipbridge_outlier_detection::{
    ClassId, EjectionTarget, Event as DetectorEvent, SampleQuality, Scope, ServerId,
};

use super::{zone_of, Event, FrontEvent, FrontFault, OutlierSimulation, CLASSES, SERVERS};
use crate::simulation::network::MILLISECOND;

/// Failed attempts at a healthy server, of a thousand.
const BASE_FAILURES_PER_MILLE: u32 = 10;
/// Attempts that a front reports for each it makes, if it reports all as healthy.
const INFLATED_REPORTS: usize = 50;

impl OutlierSimulation<'_> {
    /// An attempt at a random server that the front has not ejected, and the next one.
    pub(super) fn attempt(&mut self, front: usize, incarnation: Incarnation) {
        let rate = f64::from(self.scenario.attempts_per_second);
        let wait = -(1.0 - self.fleet.rng.f64()).ln() / rate * 1e9;
        let next_attempt = || Event::Custom(FrontEvent::Attempt(front, incarnation));
        if !self.can_act(front, incarnation, next_attempt()) {
            return;
        }
        self.fleet
            .events
            .schedule(self.fleet.now + wait as Nanos + 1, next_attempt());
        let class = ClassId(self.fleet.rng.u8(0..CLASSES));
        let open = self.open_servers(front, class);
        let server = open[self.fleet.rng.usize(0..open.len())];
        let quality = self.attempt_quality(front, server, class);
        for _ in 0..self.reports_per_attempt(front) {
            self.feed(
                front,
                DetectorEvent::Attempt {
                    server,
                    class,
                    quality,
                },
            );
        }
        if quality == SampleQuality::Failed {
            self.evaluate_soon(front);
        }
    }

    /// The servers that a front has not ejected for a class of work.
    fn open_servers(&self, front: usize, class: ClassId) -> Vec<ServerId> {
        let detector = self.fleet.fronts[front]
            .as_ref()
            .map(|running| &running.state.detector);
        let ejected: Vec<EjectionTarget> = detector.into_iter().flat_map(|d| d.ejected()).collect();
        let covers = |target: &EjectionTarget| match target.scope {
            Scope::Class(ejected_class) => ejected_class == class,
            Scope::All | Scope::Zone(_) => true,
        };
        let is_ejected =
            |server: &ServerId| ejected.iter().any(|t| t.server == *server && covers(t));
        let servers = (0..SERVERS).map(ServerId);
        servers.filter(|server| !is_ejected(server)).collect()
    }

    /// How many times a front reports each attempt.
    fn reports_per_attempt(&self, front: usize) -> usize {
        let is_faulty = self.scenario.front_fault(front) == Some(FrontFault::ReportsAllHealthy);
        if is_faulty && self.fleet.now < self.fleet.end_of_faults() {
            INFLATED_REPORTS
        } else {
            1
        }
    }

    /// The outcome of an attempt as the front reports it. All servers and fronts are healthy once
    /// the schedule has ended.
    pub(super) fn attempt_quality(
        &mut self,
        front: usize,
        server: ServerId,
        class: ClassId,
    ) -> SampleQuality {
        let now = self.fleet.now;
        let random = self.fleet.rng.u32(0..1_000);
        if now >= self.fleet.end_of_faults() {
            return SampleQuality::Healthy;
        }
        let now_ms = (now / MILLISECOND) as u64;
        let fails = self
            .scenario
            .attempt_fails(server, zone_of(front), class, now_ms, random);
        self.report.failed_attempts += u64::from(fails);
        let base_failure = random < BASE_FAILURES_PER_MILLE;
        let is_failed = match self.scenario.front_fault(front) {
            Some(FrontFault::ReportsAllFailed) => true,
            Some(FrontFault::ReportsAllHealthy) => false,
            Some(FrontFault::LossyNetwork(per_mille)) => {
                fails || self.fleet.rng.u32(0..1_000) < per_mille
            }
            Some(FrontFault::UnreachableServer(to)) => fails || server == to || base_failure,
            None => fails || base_failure,
        };
        if is_failed {
            SampleQuality::Failed
        } else {
            SampleQuality::Healthy
        }
    }
}
