//! The section `peers.verdicts` of a front's configuration file.

use serde::{Deserialize, Deserializer};
use simd_json::OwnedValue as Value;
use tulipbridge_membership::PeerId;
use tulipbridge_outlier_detection::{DetectorConfig, DetectorConfigError, ZoneId};

use crate::cluster::fields::{count_between, fraction};
use crate::control::json_object::{decode, JsonObjectError};

/// Minimum number of witnesses of an ejection: no front alone may eject a server.
const MIN_WITNESSES: f64 = 2.0;
/// Maximum number of witnesses that can be configured.
const MAX_WITNESSES: f64 = 1_000.0;

/// The section `peers.verdicts` as it is written in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EjectionSection {
    #[serde(rename = "most_out", default, deserialize_with = "fraction")]
    max_ejected_fraction: Option<f64>,
    #[serde(default, deserialize_with = "witnesses")]
    witnesses: Option<usize>,
}

/// Deserializes the number of witnesses.
fn witnesses<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<usize>, D::Error> {
    let witnesses = count_between(deserializer, MIN_WITNESSES, MAX_WITNESSES)?;
    Ok(Some(witnesses as usize))
}

/// The settings of fleet-wide ejection that operators can configure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionConfig {
    /// Upper limit of the servers that may be ejected at a time, as a fraction of all servers, from
    /// 0 to below 1.
    pub max_ejected_fraction: f64,
    /// Number of fronts that must have observed failures of a server before it is ejected.
    pub witnesses: usize,
}

impl EjectionConfig {
    /// Reads the section `peers.verdicts`; missing values have the defaults of [`DetectorConfig`].
    ///
    /// # Errors
    /// Returns the first invalid value found.
    pub fn read(value: &Value) -> Result<EjectionConfig, JsonObjectError> {
        let section: EjectionSection =
            decode(value.clone()).map_err(|error| error.at("peers.verdicts"))?;
        let defaults = DetectorConfig::new(PeerId(0), 1, ZoneId(0));
        Ok(EjectionConfig {
            max_ejected_fraction: section
                .max_ejected_fraction
                .unwrap_or(defaults.max_ejected_fraction),
            witnesses: section.witnesses.unwrap_or(defaults.witnesses),
        })
    }

    /// Returns the configuration of the outlier detector of the front `me`, one of `fronts` fronts.
    ///
    /// # Errors
    /// Returns an error if values contradict each other.
    pub fn detector_config(
        &self,
        me: PeerId,
        fronts: u16,
        zone: ZoneId,
    ) -> Result<DetectorConfig, DetectorConfigError> {
        let config = DetectorConfig {
            max_ejected_fraction: self.max_ejected_fraction,
            witnesses: self.witnesses,
            ..DetectorConfig::new(me, fronts, zone)
        };
        config.check()?;
        Ok(config)
    }
}
