//! Fleet-wide limits as the decision module applies them: the rates of this front's shares.

mod config;

use std::collections::HashMap;

use tulipbridge_core::{Settings, SharedLimit, VolumeId};
use tulipbridge_fleet_limits::{Limit, Share};

pub use self::config::{ConfiguredLimits, LabeledLimit};

/// The values of a limit, of the whole fleet or of one front.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitRate {
    /// Units or attempts a second; for the limit on requests in flight at a server, how many.
    pub rate: f64,
    /// Size of the token bucket, in units or attempts; 0 for requests in flight.
    pub burst: f64,
}

impl LimitRate {
    /// A front's share of the limit. The bucket has room for at least one request of size
    /// `min_burst`, so that a small share is a low rate and not a bound on the size of a request.
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

/// What the decision module may use of a limit from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitUpdate {
    /// The limit.
    pub limit: SharedLimit,
    /// This front's rate and burst.
    pub rate: LimitRate,
}

/// Demand for a fleet-wide limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitDemand {
    /// The limit.
    pub limit: Limit,
    /// Units or attempts that are about to be used.
    pub units: f64,
}

/// This front's share of a volume's limit, with the plan that the volume's last request had.
#[derive(Clone, Copy)]
struct VolumeShare {
    plan: usize,
    share: Share,
}

impl VolumeShare {
    /// The rate of the share under the plan; `None` where the settings have no such plan.
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

/// This front's shares of all fleet-wide limits.
#[derive(Default)]
pub struct FleetLimits {
    volumes: HashMap<VolumeId, VolumeShare>,
    configured: ConfiguredLimits,
    shares: HashMap<Limit, Share>,
}

impl FleetLimits {
    /// Applies a new configuration. Returns what this front may use of each configured limit now:
    /// nothing, until it has a share of it.
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

    /// The configuration in force.
    pub fn configured(&self) -> &ConfiguredLimits {
        &self.configured
    }

    /// This front's share of a limit that is not a volume's.
    pub fn share(&self, limit: Limit) -> Share {
        self.shares.get(&limit).copied().unwrap_or(Share::NONE)
    }

    /// Records the plan of a volume's request. Returns an update of the volume's limit where the
    /// plan has changed, as it may after a reload.
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

    /// Sets this front's share of a limit. A volume that has had no request here has no plan yet,
    /// and no update.
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

    /// Drops a limit without recent demand: this front may use nothing of it.
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
