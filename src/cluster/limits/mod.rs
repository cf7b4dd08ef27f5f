//! Converts this front's shares of fleet-wide limits into rates for the decision module.

mod config;

use std::collections::HashMap;

use tulipbridge_core::{Settings, SharedLimit, VolumeId};
use tulipbridge_fleet_limits::{Limit, Share};

pub use self::config::{ConfiguredLimits, LabeledLimit};

/// The rate and the burst of a limit, either of the whole fleet or of one front.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitRate {
    /// Units or attempts per second; for the limit on requests in flight at a server, their
    /// maximum number.
    pub rate: f64,
    /// Size of the token bucket, in units or attempts; 0 for the limit on requests in flight.
    pub burst: f64,
}

impl LimitRate {
    /// Scales the limit to a front's share. The token bucket holds at least `min_burst`, so that a
    /// small share lowers the rate but does not limit the size of a request.
    fn scaled(self, share: Share, min_burst: f64) -> LimitRate {
        let fraction = share.as_fraction();
        let burst = if share == Share::NONE {
            0.0
        } else {
            (self.burst * fraction).max(min_burst)
        };
        LimitRate {
            rate: self.rate * fraction,
            burst,
        }
    }
}

/// A new value of a limit for the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitUpdate {
    /// Identifies the limit in the decision module.
    pub limit: SharedLimit,
    /// The rate and burst that this front may use from now on.
    pub rate: LimitRate,
}

/// Demand of this front for a fleet-wide limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitDemand {
    /// Identifies the limit for the coordinator.
    pub limit: Limit,
    /// Units or attempts that are about to be used.
    pub units: f64,
}

/// This front's share of a volume's limit, with the plan of the volume's last request.
#[derive(Clone, Copy)]
struct VolumeShare {
    /// Index into the plans of the settings.
    plan: usize,
    share: Share,
}

impl VolumeShare {
    /// Returns the update that the share results in under the plan; `None` if the settings have no
    /// such plan.
    fn update(self, volume: VolumeId, settings: &Settings) -> Option<LimitUpdate> {
        let plan = settings.plans.get(self.plan)?;
        let limit = LimitRate {
            rate: plan.limit_rate,
            burst: plan.limit_burst,
        };
        let rate = limit.scaled(self.share, settings.max_units);
        Some(LimitUpdate {
            limit: SharedLimit::Volume(volume),
            rate,
        })
    }
}

/// This front's shares of all fleet-wide limits, from which the updates for the decision module
/// are computed.
#[derive(Default)]
pub struct FleetLimits {
    volumes: HashMap<VolumeId, VolumeShare>,
    configured: ConfiguredLimits,
    /// Shares of the limits that do not belong to a volume.
    shares: HashMap<Limit, Share>,
}

impl FleetLimits {
    /// Applies a new configuration. Returns an update for each configured limit; a limit of which
    /// this front has no share yet allows nothing.
    pub fn configure(
        &mut self,
        configured: ConfiguredLimits,
        settings: &Settings,
    ) -> Vec<LimitUpdate> {
        self.configured = configured;
        configured
            .limits()
            .flat_map(|configured_limit| {
                let limit = configured_limit.limit;
                configured.updates(limit, self.share(limit), settings)
            })
            .collect()
    }

    /// Returns the configuration in force.
    pub fn configured(&self) -> &ConfiguredLimits {
        &self.configured
    }

    /// Returns this front's share of a limit that does not belong to a volume.
    pub fn share(&self, limit: Limit) -> Share {
        self.shares.get(&limit).copied().unwrap_or(Share::NONE)
    }

    /// Records the plan of a volume's request. Returns an update of the volume's limit if the plan
    /// has changed, which a reload can cause.
    pub fn volume_requested(
        &mut self,
        volume: VolumeId,
        plan: usize,
        settings: &Settings,
    ) -> Option<LimitUpdate> {
        let entry = self.volumes.entry(volume).or_insert(VolumeShare {
            plan,
            share: Share::NONE,
        });
        if entry.plan == plan {
            return None;
        }
        entry.plan = plan;
        entry.update(volume, settings)
    }

    /// Sets this front's share of a limit and returns the updates. A volume without a request at
    /// this front has no plan yet: its share is ignored.
    pub fn set_share(
        &mut self,
        limit: Limit,
        share: Share,
        settings: &Settings,
    ) -> Vec<LimitUpdate> {
        let Limit::Volume(volume) = limit else {
            self.shares.insert(limit, share);
            return self.configured.updates(limit, share, settings);
        };
        let Some(entry) = self.volumes.get_mut(&VolumeId(volume)) else {
            return Vec::new();
        };
        entry.share = share;
        entry
            .update(VolumeId(volume), settings)
            .into_iter()
            .collect()
    }

    /// Drops the share of a limit without recent demand. Returns the updates by which this front
    /// may use nothing of the limit.
    pub fn forget(&mut self, limit: Limit, settings: &Settings) -> Vec<LimitUpdate> {
        match limit {
            Limit::Volume(volume) => {
                self.volumes.remove(&VolumeId(volume));
                vec![LimitUpdate {
                    limit: SharedLimit::Volume(VolumeId(volume)),
                    rate: LimitRate::default(),
                }]
            }
            _ => self.set_share(limit, Share::NONE, settings),
        }
    }
}
