//! The object `peers` of a front's configuration file.

use std::net::SocketAddr;
use std::path::PathBuf;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_core::Nanos;
use tulipbridge_fleet_limits::{LimitsConfig, Share, FULL_SHARE};
use tulipbridge_membership::{EnvelopeCodec, PeerId};
use tulipbridge_outlier_detection::{DetectorConfig, DetectorConfigError};

use crate::cluster::ejections::EjectionConfig;
use crate::cluster::errors::ClusterConfigError;
use crate::cluster::fields::{self, FieldError};
use crate::cluster::limits::ConfiguredLimits;
use crate::cluster::roster::Roster;
use crate::limits::MAX_FRONTS;

/// Bytes a second of gossip, unless the file has a limit.
const DEFAULT_GOSSIP_BYTES_PER_SECOND: f64 = 20_000.0;
const NANOS_PER_MILLISECOND: f64 = 1e6;

const KNOWN_KEYS: [&str; 10] = [
    "listen",
    "key_file",
    "roster",
    "revision",
    "life_ms",
    "beat_ms",
    "floor",
    "limits",
    "verdicts",
    "entry_bytes_per_s",
];

/// How this front takes part in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterConfig {
    /// Where this front receives the messages of its peers.
    pub listen: SocketAddr,
    /// The file of the key that all fronts share to authenticate their messages.
    pub key_file: PathBuf,
    /// All fronts of the fleet, this one included.
    pub roster: Roster,
    /// How ejections of chunk servers are decided together; `None` where they are not.
    pub ejections: Option<EjectionConfig>,
    /// Configuration of the leases on fleet-wide limits, with the digest of the roster.
    pub limits_config: LimitsConfig,
    /// Fleet-wide limits beside those of the volumes' plans.
    pub fleet_limits: ConfiguredLimits,
    /// Most bytes a second of gossip that are sent to all peers together.
    pub gossip_bytes_per_second: u64,
}

impl ClusterConfig {
    /// Reads the object `peers` for the front of a name.
    ///
    /// # Errors
    /// The first value found that cannot be used.
    pub fn read(value: &Value, front_name: &str) -> Result<ClusterConfig, ClusterConfigError> {
        fields::check_object(value, "peers", &KNOWN_KEYS)?;
        let roster = Roster::read(value.get("roster"))?;
        let mut limits_config = read_limits_config(value, &roster, front_name)?;
        let gossip_bytes_per_second =
            number_or(value, "entry_bytes_per_s", DEFAULT_GOSSIP_BYTES_PER_SECOND)? as u64;
        if limits_config.revision == 0 {
            return Err(ClusterConfigError::RevisionZero);
        }
        let ejections = value
            .get("verdicts")
            .map(EjectionConfig::read)
            .transpose()?;
        limits_config.roster = roster_digest(&limits_config, &roster, ejections);
        limits_config.check().map_err(ClusterConfigError::Limits)?;
        Ok(ClusterConfig {
            listen: fields::address(value.get("listen"), "peers.listen")?,
            key_file: PathBuf::from(fields::text(value.get("key_file"), "peers.key_file")?),
            roster,
            ejections,
            limits_config,
            fleet_limits: ConfiguredLimits::read(value.get("limits"))?,
            gossip_bytes_per_second,
        })
    }

    /// The configuration of this front's outlier detector; `None` where ejections are not shared.
    ///
    /// # Errors
    /// Values that contradict each other.
    pub(super) fn detector_config(&self) -> Result<Option<DetectorConfig>, DetectorConfigError> {
        let LimitsConfig { me, fronts, .. } = self.limits_config;
        let zone = self.roster.zone(me);
        self.ejections
            .map(|ejections| ejections.detector_config(me, fronts, zone))
            .transpose()
    }
}

/// The limits' configuration, without the digest of the roster.
fn read_limits_config(
    value: &Value,
    roster: &Roster,
    front_name: &str,
) -> Result<LimitsConfig, ClusterConfigError> {
    let me = roster.position(front_name);
    let me = me.ok_or_else(|| ClusterConfigError::NotInRoster(front_name.to_owned()))?;
    let fronts = u16::try_from(roster.members().len())
        .ok()
        .filter(|fronts| *fronts <= MAX_FRONTS);
    let fronts = fronts.ok_or(ClusterConfigError::TooManyFronts)?;
    let mut config = LimitsConfig::new(PeerId::at(me), fronts, 0);
    config.revision = number_or(value, "revision", 1.0)? as u32;
    config.lease_duration = millis_or(value, "life_ms", config.lease_duration)?;
    config.heartbeat_interval = millis_or(value, "beat_ms", config.heartbeat_interval)?;
    let full_share = f64::from(FULL_SHARE.0);
    let floor = number_or(value, "floor", config.floor.as_fraction())?;
    config.floor = Share((floor * full_share) as u32);
    Ok(config)
}

/// The number under a key of `peers`, which must not be negative, or a default where there is no
/// such key.
fn number_or(value: &Value, key: &str, default: f64) -> Result<f64, FieldError> {
    if value.get(key).is_none() {
        return Ok(default);
    }
    let number = fields::number(value, key).filter(|number| *number >= 0.0);
    number.ok_or_else(|| FieldError::Negative(format!("peers.{key}")))
}

/// The number of milliseconds under a key of `peers` as nanoseconds, or a default where there is no
/// such key.
fn millis_or(value: &Value, key: &str, default: Nanos) -> Result<Nanos, FieldError> {
    let millis = number_or(value, key, default as f64 / NANOS_PER_MILLISECOND)?;
    Ok((millis * NANOS_PER_MILLISECOND) as Nanos)
}

/// Digest of all that fronts must agree on before they grant each other leases.
///
/// Fronts of different versions compare this digest, so the digested text is part of the protocol
/// and must not change. It has the outlier detection's settings and the zones in it only where
/// ejections are shared.
fn roster_digest(limits: &LimitsConfig, roster: &Roster, ejections: Option<EjectionConfig>) -> u64 {
    let mut text = format!(
        "{}|{}|{}|{:?}",
        limits.revision,
        limits.lease_duration,
        limits.floor,
        roster.names()
    );
    if let Some(EjectionConfig {
        max_ejected_fraction,
        witnesses,
    }) = ejections
    {
        let zones = roster.zones();
        let zone_of_each: Vec<_> = roster.members().iter().map(|member| member.zone).collect();
        text += &format!(
            "|Config {{ most_out: {max_ejected_fraction:?}, witnesses: {witnesses:?} }}|{zones:?}|{zone_of_each:?}"
        );
    }
    EnvelopeCodec::digest(&text)
}
