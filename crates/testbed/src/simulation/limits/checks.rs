//! Checks of a simulation of fleet limits: the sum of all shares, and what is in use once
//! everything is healed.

use tulipbridge_fleet_limits::{Event as CoordinatorEvent, Share, FULL_SHARE};

use super::process::Process;
use super::{LimitsSimulation, VOLUME};
use crate::simulation::network::MILLISECOND;

impl LimitsSimulation<'_> {
    /// Adds up what all running processes may use now and compares it with the bound.
    pub(super) fn check_total_share(&mut self) {
        let total = self.total_share();
        // A second process of a name may add an issuer's share, if the roster is even and it has
        // half of it, and a floor.
        let extra = self
            .configs
            .iter()
            .map(|config| config.floor_share() + config.issuer_share())
            .max();
        let allowed = FULL_SHARE + extra.unwrap_or(Share::NONE) * self.duplicates;
        let excess = |total: Share, allowed: Share| i64::from(total.0) - i64::from(allowed.0);
        let max_excess = excess(
            self.report.max_total_share,
            self.report.allowed_share.max(Share(1)),
        );
        if excess(total, allowed) > max_excess {
            self.report.max_total_share = total;
            self.report.allowed_share = allowed;
            self.report.max_at_ms = (self.now / MILLISECOND) as u64;
        }
        self.report.bound_exceeded |= total > allowed;
    }

    /// The sum of the shares of all running processes. Expired ones are released first.
    fn total_share(&mut self) -> Share {
        let mut total = Share::NONE;
        for process in 0..self.processes.len() {
            let Some(running) = self.processes[process].as_ref().filter(|p| !p.is_paused) else {
                continue;
            };
            if running.clock.read(self.now) >= running.coordinator.next_expiry() {
                self.feed(process, process, CoordinatorEvent::Poll);
            }
            let shares = self.processes[process]
                .as_ref()
                .map(|running| &running.shares);
            total += shares
                .and_then(|shares| shares.get(&VOLUME))
                .copied()
                .unwrap_or(Share::NONE);
        }
        total
    }

    /// The shares in use, if they tell whether the fleet has recovered: there is demand, every
    /// front has the same settled roster, and more than half of the fronts run. Otherwise all keep
    /// to their floors.
    pub(super) fn shares_in_use(&self) -> Option<Share> {
        let running = || {
            self.address
                .iter()
                .filter_map(|address| self.processes[(*address)?].as_ref())
        };
        let fronts = self.schedule.fronts;
        let has_demand =
            |front: usize| self.demand_rates[front] > 0 && self.address[front].is_some();
        let is_settled = |process: &Process| {
            let config = process.coordinator.config();
            process.coordinator.is_settled() && config == &self.configs[process.front]
        };
        let has_majority = 2 * running().count() > fronts;
        let is_meaningful =
            (0..fronts).any(has_demand) && running().all(is_settled) && has_majority;
        is_meaningful.then(|| {
            running()
                .filter_map(|process| process.shares.get(&VOLUME))
                .copied()
                .sum()
        })
    }

    /// Checks that nearly the complete limit is in use once the fleet has recovered.
    pub(super) fn check_recovery(&mut self, samples: &[Option<Share>]) {
        let Some(shares) = samples.iter().copied().collect::<Option<Vec<Share>>>() else {
            return;
        };
        let total: u64 = shares.iter().map(|share| u64::from(share.0)).sum();
        self.report.healed_share = Some(Share((total / shares.len().max(1) as u64) as u32));
        let missing = self
            .address
            .iter()
            .filter(|address| address.is_none())
            .count() as u32;
        let floors = self.configs[0].floor_share() * missing;
        self.report.min_healed_share = FULL_SHARE - floors - FULL_SHARE / 10;
    }
}
