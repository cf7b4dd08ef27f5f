//! The object `peers.limits` of a front's configuration file: fleet-wide limits beside those of the
//! volumes' plans.

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::{Outcome, Settings, SharedLimit};
use tulipbridge_fleet_limits::{Limit, Share};

use super::{LimitDemand, LimitRate, LimitUpdate};
use crate::cluster::fields::{self, FieldError};

/// Retries that each request demands in advance, where a failed attempt demands 1: a front with
/// traffic then has a share of the retries before its first failure.
const RETRY_RESERVE_PER_REQUEST: f64 = 0.02;
/// Retries that a failed attempt demands.
const RETRIES_PER_FAILURE: f64 = 1.0;

const RETRIES_KEY: &str = "further_attempts";
const WARMING_UP_KEY: &str = "starting_server";
const IN_FLIGHT_KEY: &str = "out_at_server";
/// The label of the limits on the load of servers, which share one share.
const SERVER_LOAD_LABEL: &str = "servers";

/// A limit with its name for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LabeledLimit {
    /// The limit.
    pub limit: Limit,
    /// Its label in metrics and on the console.
    pub label: &'static str,
}

/// The fleet-wide limits of `peers.limits`, beside those of the volumes' plans. Each may be
/// missing.
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
        let Some(value) = value else {
            return Ok(ConfiguredLimits::default());
        };
        fields::check_object(
            value,
            "peers.limits",
            &[RETRIES_KEY, WARMING_UP_KEY, IN_FLIGHT_KEY],
        )?;
        Ok(ConfiguredLimits {
            retries: read_rate(value, RETRIES_KEY)?,
            warming_up: read_rate(value, WARMING_UP_KEY)?,
            in_flight: read_in_flight(value)?,
        })
    }

    /// Whether each limit configured here is configured in `other` too, with any value.
    pub fn is_within(&self, other: &ConfiguredLimits) -> bool {
        let stays_configured = |before: bool, after: bool| !before || after;
        stays_configured(self.retries.is_some(), other.retries.is_some())
            && stays_configured(self.warming_up.is_some(), other.warming_up.is_some())
            && stays_configured(self.in_flight.is_some(), other.in_flight.is_some())
    }

    /// The configured limits.
    pub fn limits(&self) -> impl Iterator<Item = LabeledLimit> {
        let retries = self.retries.is_some().then_some(LabeledLimit {
            limit: Limit::Retries,
            label: RETRIES_KEY,
        });
        let server_load = self.limits_server_load().then_some(LabeledLimit {
            limit: Limit::ServerLoad,
            label: SERVER_LOAD_LABEL,
        });
        retries.into_iter().chain(server_load)
    }

    /// The demand for the configured limits that an input of the request tracker causes.
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

    /// Whether a limit on the load of servers is configured. Both such limits depend on one share.
    fn limits_server_load(&self) -> bool {
        self.warming_up.is_some() || self.in_flight.is_some()
    }

    /// The updates for a share of a configured limit.
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

    fn retries_update(&self, share: Share) -> Option<LimitUpdate> {
        let rate = self.retries?.scaled(share, 1.0);
        Some(LimitUpdate {
            limit: SharedLimit::Retries,
            rate,
        })
    }

    fn warming_up_update(&self, share: Share, settings: &Settings) -> Option<LimitUpdate> {
        let rate = self.warming_up?.scaled(share, settings.max_units);
        Some(LimitUpdate {
            limit: SharedLimit::WarmingUpNode,
            rate,
        })
    }

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

/// Reads the object of a rate and a burst under a key of `peers.limits`.
fn read_rate(limits: &Value, key: &str) -> Result<Option<LimitRate>, FieldError> {
    let Some(value) = limits.get(key) else {
        return Ok(None);
    };
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
    fields::positive_number(
        limits,
        IN_FLIGHT_KEY,
        &format!("peers.limits.{IN_FLIGHT_KEY}"),
    )
    .map(Some)
}

/// Whether an input reports that an attempt has failed.
fn is_failed_attempt(input: &Input) -> bool {
    match input {
        Input::AttemptEnded { outcome, .. } => *outcome != Outcome::Served,
        Input::AttemptTimedOut { .. } => true,
        _ => false,
    }
}
