//! Applies a new configuration of the peers while the front runs.

use tulipbridge_core::Nanos;

use super::state::PeersState;
use crate::cluster::config::ClusterConfig;
use crate::cluster::errors::ReloadError;

impl PeersState {
    /// Checks whether a new configuration can be applied without a restart.
    ///
    /// # Errors
    /// Returns an error if a change needs a restart or if the configuration is invalid.
    pub(super) fn check(&self, new: Option<&ClusterConfig>) -> Result<(), ReloadError> {
        let new = new.ok_or(ReloadError::PeersRemoved)?;
        let current = &self.config;
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

    /// Replaces the configuration by one that [`PeersState::check`] has accepted. Gossip and
    /// ejections are reconfigured by [`PeersState::reconfigure_gossip_and_ejections`].
    pub(super) fn set_config(&mut self, new: ClusterConfig) {
        self.status_log = self
            .status_log
            .restarted(new.membership_list.members().len());
        self.config = new;
    }

    /// Applies the current configuration to gossip and ejections.
    pub(super) fn reconfigure_gossip_and_ejections(&mut self, now: Nanos) {
        let new = &self.config.limits_config;
        // A different digest may mean different fronts, or the same fronts at other positions.
        if self.coordinator.config().membership_digest != new.membership_digest {
            self.gossip = self.gossip.with_membership_list(new.me, new.fronts, now);
        }
        self.gossip.set_rate(self.config.gossip_bytes_per_second);
        self.reconfigure_ejections();
    }

    fn reconfigure_ejections(&mut self) {
        let Some(ejections) = &mut self.ejections else {
            return;
        };
        // `check` has ensured that the configuration is valid and that ejections remain shared.
        let Ok(Some(new)) = self.config.detector_config() else {
            return;
        };
        if *ejections.config() != new {
            let reconfigured = ejections.reconfigure(new);
            debug_assert!(reconfigured.is_ok(), "the configuration is valid");
        }
    }
}
