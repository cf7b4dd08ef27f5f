//! A new configuration of the peers while the front runs.

use tulipbridge_fleet_limits::{Event, LimitsConfig};
use tulipbridge_membership::PeerStatus;

use super::Peers;
use crate::cluster::clock;
use crate::cluster::config::ClusterConfig;
use crate::cluster::errors::ReloadError;

impl Peers {
    /// Checks whether a new configuration can be applied without a restart.
    ///
    /// # Errors
    /// A change that needs a restart, or an invalid configuration.
    pub fn check(&self, new: Option<&ClusterConfig>) -> Result<(), ReloadError> {
        let new = new.ok_or(ReloadError::PeersRemoved)?;
        let current = self.config.borrow();
        if current.listen != new.listen || current.key_file != new.key_file {
            return Err(ReloadError::SocketOrKeyChanged);
        }
        if current.ejections.is_some() != new.ejections.is_some() {
            return Err(ReloadError::EjectionsToggled);
        }
        new.detector_config()?;
        if !current.fleet_limits.is_within(&new.fleet_limits) {
            return Err(ReloadError::LimitRemoved);
        }
        Ok(())
    }

    /// Applies a new configuration that [`Peers::check`] has accepted.
    pub fn reload(&self, new: ClusterConfig) {
        let limits_config = new.limits_config.clone();
        *self.logged_status.borrow_mut() = vec![PeerStatus::Unknown; new.roster.members().len()];
        *self.config.borrow_mut() = new;
        self.apply_fleet_limits();
        self.reload_gossip(&limits_config);
        self.reload_ejections();
        self.update_limits(Event::Reconfigure(limits_config), None);
        self.evaluate_ejections();
    }

    fn reload_gossip(&self, limits_config: &LimitsConfig) {
        let mut gossip = self.gossip.borrow_mut();
        // Another digest may mean other fronts, or for the same fronts at other positions.
        if self.coordinator.borrow().config().roster != limits_config.roster {
            *gossip = gossip.with_roster(limits_config.me, limits_config.fronts, clock::now());
        }
        gossip.set_rate(self.config.borrow().gossip_bytes_per_second);
    }

    fn reload_ejections(&self) {
        let detector_config = self.config.borrow().detector_config();
        if let (Some(ejections), Ok(Some(new))) =
            (self.ejections.borrow_mut().as_mut(), detector_config)
        {
            if *ejections.config() != new {
                // `check` has found the configuration valid.
                let _ = ejections.reconfigure(new);
            }
        }
    }

    /// Passes the decision module its share of the configured limits: nothing, where this front has
    /// no share.
    pub(super) fn apply_fleet_limits(&self) {
        let configured = self.config.borrow().fleet_limits;
        let updates = self
            .exchange
            .with_settings(|settings| self.limits.borrow_mut().configure(configured, settings));
        for update in updates {
            self.exchange
                .apply_fleet_update(self.fleet_update(update, clock::now()));
        }
    }
}
