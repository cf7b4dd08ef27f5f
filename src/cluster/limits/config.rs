//! The section `peers.limits` of a front's configuration file: fleet-wide limits in addition to
//! those of the volumes' plans.

use serde::{Deserialize, Deserializer};
use simd_json::OwnedValue as Value;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{Outcome, Settings, SharedLimit};
use tulipbridge_fleet_limits::{Limit, Share};

use super::{LimitDemand, LimitRate, LimitUpdate};
use crate::cluster::fields::{optional_positive, positive};
use crate::config::values::object;
use crate::control::json_object::{decode, JsonObjectError};

/// Demand for retries that each request adds in advance, so that a front with traffic has a share
/// of the limit on retries before its first failure. A failed attempt adds a demand of 1.
const RETRY_RESERVE_PER_REQUEST: f64 = 0.02;
/// Demand for retries that a failed attempt adds.
const RETRIES_PER_FAILURE: f64 = 1.0;

/// Label of the limit on retries in metrics and on the console.
const RETRIES_LABEL: &str = "further_attempts";
/// Label of the limits on the load of servers in metrics and on the console.
const SERVER_LOAD_LABEL: &str = "servers";

/// A limit with the name under which operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LabeledLimit {
    /// Identifies the limit for the coordinator.
    pub limit: Limit,
    /// Label of the limit in metrics and on the console.
    pub label: &'static str,
}

/// The section `peers.limits` as it is written in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitsSection {
    #[serde(rename = "further_attempts", default, deserialize_with = "rate")]
    retries: Option<LimitRate>,
    #[serde(rename = "starting_server", default, deserialize_with = "rate")]
    warming_up: Option<LimitRate>,
    #[serde(
        rename = "out_at_server",
        default,
        deserialize_with = "optional_positive"
    )]
    in_flight: Option<f64>,
}

/// A limit with a rate and a burst, as it is written in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RateSection {
    #[serde(deserialize_with = "positive")]
    rate: f64,
    #[serde(deserialize_with = "positive")]
    burst: f64,
}

/// Deserializes a limit with a rate and a burst.
fn rate<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<LimitRate>, D::Error> {
    let RateSection { rate, burst } = object(deserializer)?;
    Ok(Some(LimitRate { rate, burst }))
}

/// The fleet-wide limits of `peers.limits`, which exist in addition to those of the volumes'
/// plans. Each is optional.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConfiguredLimits {
    retries: Option<LimitRate>,
    warming_up: Option<LimitRate>,
    /// Maximum number of requests in flight at one server, from all fronts together.
    in_flight: Option<f64>,
}

impl ConfiguredLimits {
    /// Reads the section `peers.limits`; without it no limit is configured.
    ///
    /// # Errors
    /// Returns the first invalid value found.
    pub fn read(value: Option<&Value>) -> Result<ConfiguredLimits, JsonObjectError> {
        let Some(value) = value else {
            return Ok(ConfiguredLimits::default());
        };
        let section: LimitsSection =
            decode(value.clone()).map_err(|error| error.at("peers.limits"))?;
        Ok(ConfiguredLimits {
            retries: section.retries,
            warming_up: section.warming_up,
            in_flight: section.in_flight,
        })
    }

    /// Returns whether each limit that is configured here is also configured in `other`, whatever
    /// its value.
    pub fn is_within(&self, other: &ConfiguredLimits) -> bool {
        let stays_configured = |before: bool, after: bool| !before || after;
        stays_configured(self.retries.is_some(), other.retries.is_some())
            && stays_configured(self.warming_up.is_some(), other.warming_up.is_some())
            && stays_configured(self.in_flight.is_some(), other.in_flight.is_some())
    }

    /// Returns the configured limits; both limits on the load of servers are one here.
    pub fn limits(&self) -> impl Iterator<Item = LabeledLimit> {
        let retries = self.retries.is_some().then_some(LabeledLimit {
            limit: Limit::Retries,
            label: RETRIES_LABEL,
        });
        let server_load = self.limits_server_load().then_some(LabeledLimit {
            limit: Limit::ServerLoad,
            label: SERVER_LOAD_LABEL,
        });
        retries.into_iter().chain(server_load)
    }

    /// Returns the demand for the configured limits that an input of the request tracker causes.
    pub fn demands(&self, input: &Input) -> Vec<LimitDemand> {
        let mut demands = Vec::new();
        if let Input::RequestReceived(request) = input {
            if self.limits_server_load() {
                demands.push(LimitDemand {
                    limit: Limit::ServerLoad,
                    units: request.units,
                });
            }
            if self.retries.is_some() {
                demands.push(LimitDemand {
                    limit: Limit::Retries,
                    units: RETRY_RESERVE_PER_REQUEST,
                });
            }
        }
        if self.retries.is_some() && is_failed_attempt(input) {
            demands.push(LimitDemand {
                limit: Limit::Retries,
                units: RETRIES_PER_FAILURE,
            });
        }
        demands
    }

    /// Returns whether a limit on the load of servers is configured. Both such limits depend on
    /// the same share.
    fn limits_server_load(&self) -> bool {
        self.warming_up.is_some() || self.in_flight.is_some()
    }

    /// Returns the updates for the decision module if this front has `share` of a limit.
    pub(super) fn updates(
        &self,
        limit: Limit,
        share: Share,
        settings: &Settings,
    ) -> Vec<LimitUpdate> {
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

    /// Returns the update of the limit on retries; `None` where it is not configured.
    fn retries_update(&self, share: Share) -> Option<LimitUpdate> {
        let rate = self.retries?.scaled(share, 1.0);
        Some(LimitUpdate {
            limit: SharedLimit::Retries,
            rate,
        })
    }

    /// Returns the update of the limit on servers that are warming up; `None` where it is not
    /// configured.
    fn warming_up_update(&self, share: Share, settings: &Settings) -> Option<LimitUpdate> {
        let rate = self.warming_up?.scaled(share, settings.max_units);
        Some(LimitUpdate {
            limit: SharedLimit::WarmingUpNode,
            rate,
        })
    }

    /// Returns the update of the limit on requests in flight at one server; `None` where it is not
    /// configured.
    fn in_flight_update(&self, share: Share) -> Option<LimitUpdate> {
        let rate = LimitRate {
            rate: self.in_flight? * share.as_fraction(),
            burst: 0.0,
        };
        Some(LimitUpdate {
            limit: SharedLimit::InFlightPerNode,
            rate,
        })
    }
}

/// Returns whether an input reports a failed attempt.
fn is_failed_attempt(input: &Input) -> bool {
    match input {
        Input::AttemptEnded { outcome, .. } => *outcome != Outcome::Served,
        Input::AttemptTimedOut { .. } => true,
        _ => false,
    }
}
