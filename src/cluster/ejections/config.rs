//! The object `peers.verdicts` of a front's configuration file.

use serde::{Deserialize, Deserializer};
use simd_json::OwnedValue as Value;
use tulipbridge_membership::PeerId;
use tulipbridge_outlier_detection::{DetectorConfig, DetectorConfigError, ZoneId};

use crate::cluster::fields::{count_between, fraction};
use crate::control::json_object::{decode, JsonObjectError};

/// Fewest witnesses of an ejection: no front alone may eject a server.
const MIN_WITNESSES: f64 = 2.0;
/// Most witnesses that can be configured.
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

/// How ejections are decided, as far as operators configure it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionConfig {
    /// Most servers that may be ejected at a time, as a fraction of all servers.
    pub max_ejected_fraction: f64,
    /// Fronts that must have observed failures of a server before it is ejected.
    pub witnesses: usize,
}

impl EjectionConfig {
    /// Reads the object `peers.verdicts`.
    ///
    /// # Errors
    /// The first value found that cannot be used.
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

    /// The configuration of the outlier detector of the front `me` among `fronts` fronts.
    ///
    /// # Errors
    /// Values that contradict each other.
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
