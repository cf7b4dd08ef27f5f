//! Fleet-wide limits as the decision module applies them: the rates that this front's shares come to, computed from the
//! plans of volumes and from `peers.limits` of the configuration file.

use std::collections::HashMap;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{Outcome, Settings, SharedLimit, VolumeId};
use tulipbridge_fleet_limits::{Limit, Share};

use crate::cluster::fields::{self, FieldError};
use crate::cluster::metrics::fraction;

/// Retries that each request demands in advance, where a failed attempt demands 1: a front with traffic then has a share
/// of the retries before its first failure.
const RETRY_RESERVE_PER_REQUEST: f64 = 0.02;
/// Retries that a failed attempt demands.
const RETRIES_PER_FAILURE: f64 = 1.0;

const RETRIES_KEY: &str = "further_attempts";
const WARMING_UP_KEY: &str = "starting_server";
const IN_FLIGHT_KEY: &str = "out_at_server";

/// The values of a limit, of the whole fleet or of one front.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitRate {
    /// Units or attempts a second; for the limit on requests in flight at a server, how many.
    pub rate: f64,
    /// Size of the token bucket, in units or attempts; 0 for requests in flight.
    pub burst: f64,
}

impl LimitRate {
    /// A front's share of the limit. The bucket holds at least one request of size `min_burst`, so that a small share is
    /// a low rate and not a bound on the size of a request.
    fn scaled(self, share: Share, min_burst: f64) -> LimitRate {
        let fraction = fraction(share);
        let burst = if share == 0 { 0.0 } else { (self.burst * fraction).max(min_burst) };
        LimitRate { rate: self.rate * fraction, burst }
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

/// The fleet-wide limits of `peers.limits`, beside those of the volumes' plans. Each may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConfiguredLimits {
    retries: Option<LimitRate>,
    warming_up: Option<LimitRate>,
    /// Most requests in flight at one server.
    in_flight: Option<f64>,
}

impl ConfiguredLimits {
    /// Reads `peers.limits`; without it there are no such limits.
    ///
    /// # Errors
    /// The first value found that cannot be used.
    pub fn read(value: Option<&Value>) -> Result<ConfiguredLimits, FieldError> {
        let Some(value) = value else { return Ok(ConfiguredLimits::default()) };
        fields::check_object(value, "peers.limits", &[RETRIES_KEY, WARMING_UP_KEY, IN_FLIGHT_KEY])?;
        Ok(ConfiguredLimits {
            retries: read_rate(value, RETRIES_KEY)?,
            warming_up: read_rate(value, WARMING_UP_KEY)?,
            in_flight: read_in_flight(value)?,
        })
    }

    /// Whether each limit configured here is configured in `other` too, with whatever value.
    pub fn is_within(&self, other: &ConfiguredLimits) -> bool {
        let kept = |here: bool, there: bool| !here || there;
        kept(self.retries.is_some(), other.retries.is_some())
            && kept(self.warming_up.is_some(), other.warming_up.is_some())
            && kept(self.in_flight.is_some(), other.in_flight.is_some())
    }

    /// The configured limits, each with its label in metrics and on the console.
    pub fn limits(&self) -> impl Iterator<Item = (Limit, &'static str)> {
        let retries = self.retries.is_some().then_some((Limit::Retries, RETRIES_KEY));
        let server_load = self.limits_server_load().then_some((Limit::ServerLoad, "servers"));
        retries.into_iter().chain(server_load)
    }

    /// The demand for the configured limits that an input of the request tracker causes.
    pub fn demands(&self, input: &Input) -> Vec<LimitDemand> {
        let mut demands = Vec::new();
        if let Input::RequestReceived(request) = input {
            if self.limits_server_load() {
                demands.push(LimitDemand { limit: Limit::ServerLoad, units: request.units });
            }
            if self.retries.is_some() {
                demands.push(LimitDemand { limit: Limit::Retries, units: RETRY_RESERVE_PER_REQUEST });
            }
        }
        if self.retries.is_some() && is_failed_attempt(input) {
            demands.push(LimitDemand { limit: Limit::Retries, units: RETRIES_PER_FAILURE });
        }
        demands
    }

    /// Whether a limit on what servers are sent is configured. Both such limits hang on one share.
    fn limits_server_load(&self) -> bool {
        self.warming_up.is_some() || self.in_flight.is_some()
    }

    /// What a share of a configured limit comes to.
    fn updates(&self, limit: Limit, share: Share, settings: &Settings) -> Vec<LimitUpdate> {
        match limit {
            Limit::Retries => self.retries_update(share).into_iter().collect(),
            Limit::ServerLoad => self
                .warming_up_update(share, settings)
                .into_iter()
                .chain(self.in_flight_update(share))
                .collect(),
            Limit::Volume(_) => Vec::new(),
        }
    }

    fn retries_update(&self, share: Share) -> Option<LimitUpdate> {
        let rate = self.retries?.scaled(share, 1.0);
        Some(LimitUpdate { limit: SharedLimit::Retries, rate })
    }

    fn warming_up_update(&self, share: Share, settings: &Settings) -> Option<LimitUpdate> {
        let rate = self.warming_up?.scaled(share, settings.max_units);
        Some(LimitUpdate { limit: SharedLimit::WarmingUpNode, rate })
    }

    fn in_flight_update(&self, share: Share) -> Option<LimitUpdate> {
        let rate = LimitRate { rate: self.in_flight? * fraction(share), burst: 0.0 };
        Some(LimitUpdate { limit: SharedLimit::InFlightPerNode, rate })
    }
}

/// Reads the object of a rate and a burst under a key of `peers.limits`.
fn read_rate(limits: &Value, key: &str) -> Result<Option<LimitRate>, FieldError> {
    let Some(value) = limits.get(key) else { return Ok(None) };
    let path = format!("peers.limits.{key}");
    fields::check_object(value, &path, &["rate", "burst"])?;
    let rate = fields::positive_number(value, "rate", &format!("{path}.rate"))?;
    let burst = fields::positive_number(value, "burst", &format!("{path}.burst"))?;
    Ok(Some(LimitRate { rate, burst }))
}

/// Reads the number of requests in flight at one server.
fn read_in_flight(limits: &Value) -> Result<Option<f64>, FieldError> {
    if limits.get(IN_FLIGHT_KEY).is_none() {
        return Ok(None);
    }
    fields::positive_number(limits, IN_FLIGHT_KEY, &format!("peers.limits.{IN_FLIGHT_KEY}")).map(Some)
}

/// Whether an input says that an attempt has failed.
fn is_failed_attempt(input: &Input) -> bool {
    match input {
        Input::AttemptEnded { outcome, .. } => *outcome != Outcome::Served,
        Input::AttemptTimedOut { .. } => true,
        _ => false,
    }
}

/// This front's share of a volume's limit, with the plan that the volume's last request had.
#[derive(Clone, Copy)]
struct VolumeShare {
    plan: usize,
    share: Share,
}

impl VolumeShare {
    /// What the share comes to under the plan; `None` where the settings have no such plan.
    fn update(self, volume: VolumeId, settings: &Settings) -> Option<LimitUpdate> {
        let plan = settings.plans.get(self.plan)?;
        let limit = LimitRate { rate: plan.limit_rate, burst: plan.limit_burst };
        let rate = limit.scaled(self.share, settings.max_units);
        Some(LimitUpdate { limit: SharedLimit::Volume(volume), rate })
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
    /// Applies a new configuration. Gives what this front may use of each configured limit now: nothing, until it has a
    /// share of it.
    pub fn configure(&mut self, configured: ConfiguredLimits, settings: &Settings) -> Vec<LimitUpdate> {
        self.configured = configured;
        configured
            .limits()
            .flat_map(|(limit, _)| configured.updates(limit, self.share(limit), settings))
            .collect()
    }

    /// The configuration in force.
    pub fn configured(&self) -> &ConfiguredLimits {
        &self.configured
    }

    /// This front's share of a limit that is not a volume's.
    pub fn share(&self, limit: Limit) -> Share {
        self.shares.get(&limit).copied().unwrap_or(0)
    }

    /// Notes the plan of a volume's request. Gives an update of the volume's limit where the plan has changed, as it may
    /// after a reload.
    pub fn volume_requested(
        &mut self,
        volume: VolumeId,
        plan: usize,
        settings: &Settings,
    ) -> Option<LimitUpdate> {
        let entry = self.volumes.entry(volume).or_insert(VolumeShare { plan, share: 0 });
        if entry.plan == plan {
            return None;
        }
        entry.plan = plan;
        entry.update(volume, settings)
    }

    /// Sets this front's share of a limit. A volume that has had no request here has no plan yet, and no update.
    pub fn set_share(&mut self, limit: Limit, share: Share, settings: &Settings) -> Vec<LimitUpdate> {
        let Limit::Volume(volume) = limit else {
            self.shares.insert(limit, share);
            return self.configured.updates(limit, share, settings);
        };
        let Some(entry) = self.volumes.get_mut(&volume) else { return Vec::new() };
        entry.share = share;
        entry.update(volume, settings).into_iter().collect()
    }

    /// Drops a limit that has had no demand for a while: this front may use nothing of it.
    pub fn forget(&mut self, limit: Limit, settings: &Settings) -> Vec<LimitUpdate> {
        match limit {
            Limit::Volume(volume) => {
                self.volumes.remove(&volume);
                vec![LimitUpdate { limit: SharedLimit::Volume(volume), rate: LimitRate::default() }]
            }
            _ => self.set_share(limit, 0, settings),
        }
    }
}
