//! The object `peers.verdicts` of a front's configuration file.

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_membership::PeerId;
use tulipbridge_outlier_detection::{DetectorConfig, DetectorConfigError, ZoneId};

use crate::cluster::fields::{self, FieldError};

/// Fewest witnesses of an ejection: no front alone may eject a server.
const MIN_WITNESSES: f64 = 2.0;
/// Most witnesses that can be configured.
const MAX_WITNESSES: f64 = 1_000.0;

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
    pub fn read(value: &Value) -> Result<EjectionConfig, FieldError> {
        fields::check_object(value, "peers.verdicts", &["most_out", "witnesses"])?;
        let defaults = DetectorConfig::new(PeerId(0), 1, ZoneId(0));
        let max_ejected_fraction = match value.get("most_out") {
            None => defaults.max_ejected_fraction,
            Some(_) => read_fraction(value, "most_out")?,
        };
        let witnesses = match value.get("witnesses") {
            None => defaults.witnesses,
            Some(_) => read_witnesses(value, "witnesses")?,
        };
        Ok(EjectionConfig {
            max_ejected_fraction,
            witnesses,
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

fn read_fraction(value: &Value, key: &str) -> Result<f64, FieldError> {
    let fraction = fields::number(value, key).filter(|number| (0.0..1.0).contains(number));
    fraction.ok_or_else(|| FieldError::NotAFraction(format!("peers.verdicts.{key}")))
}

fn read_witnesses(value: &Value, key: &str) -> Result<usize, FieldError> {
    let is_valid =
        |number: &f64| (MIN_WITNESSES..=MAX_WITNESSES).contains(number) && number.fract() == 0.0;
    let witnesses = fields::number(value, key).filter(is_valid);
    let witnesses =
        witnesses.ok_or_else(|| FieldError::CountTooSmall(format!("peers.verdicts.{key}")))?;
    Ok(witnesses as usize)
}
