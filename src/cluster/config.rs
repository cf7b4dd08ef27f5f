//! The section `peers` of a front's configuration file.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use simd_json::OwnedValue as Value;
use tulipbridge_core::Nanos;
use tulipbridge_fleet_limits::{LimitsConfig, Share, FULL_SHARE};
use tulipbridge_membership::{EnvelopeCodec, PeerId};
use tulipbridge_outlier_detection::{DetectorConfig, DetectorConfigError};

use crate::cluster::ejections::EjectionConfig;
use crate::cluster::errors::ClusterConfigError;
use crate::cluster::fields::non_negative;
use crate::cluster::limits::ConfiguredLimits;
use crate::cluster::membership_list::{MembershipList, MembershipListEntry};
use crate::config::values::{non_null, objects, string, Address};
use crate::control::json_object::decode;
use crate::limits::MAX_FRONTS;

/// Limit on outgoing gossip, in bytes per second, where the file sets none.
const DEFAULT_GOSSIP_BYTES_PER_SECOND: f64 = 20_000.0;
/// Nanoseconds per millisecond: times in the file are in milliseconds.
const NANOS_PER_MILLISECOND: f64 = 1e6;
/// The revision of a membership list whose file states none.
const DEFAULT_REVISION: f64 = 1.0;

/// The section `peers` as it is written in the file. Numbers that are missing have defaults.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PeersSection {
    listen: Address,
    #[serde(deserialize_with = "string")]
    key_file: String,
    #[serde(rename = "roster", deserialize_with = "objects")]
    membership_list: Vec<MembershipListEntry>,
    #[serde(default, deserialize_with = "non_negative")]
    revision: Option<f64>,
    #[serde(rename = "life_ms", default, deserialize_with = "non_negative")]
    lease_duration_ms: Option<f64>,
    #[serde(rename = "beat_ms", default, deserialize_with = "non_negative")]
    heartbeat_interval_ms: Option<f64>,
    /// The share of each limit that a front never lends, as a fraction of the limit.
    #[serde(default, deserialize_with = "non_negative")]
    floor: Option<f64>,
    /// Parsed by [`ConfiguredLimits::read`].
    #[serde(default, deserialize_with = "non_null")]
    limits: Option<Value>,
    /// Parsed by [`EjectionConfig::read`].
    #[serde(rename = "verdicts", default, deserialize_with = "non_null")]
    ejections: Option<Value>,
    #[serde(
        rename = "entry_bytes_per_s",
        default,
        deserialize_with = "non_negative"
    )]
    gossip_bytes_per_second: Option<f64>,
}

/// Configuration of this front as a member of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterConfig {
    /// The UDP address at which this front receives the messages of its peers.
    pub listen: SocketAddr,
    /// File with the key that all fronts share to authenticate their messages.
    pub key_file: PathBuf,
    /// All fronts of the fleet, this one included.
    pub membership_list: MembershipList,
    /// How the fronts decide together on ejections of chunk servers; `None` where they do not.
    pub ejections: Option<EjectionConfig>,
    /// Configuration of the leases on fleet-wide limits, with the digest of the membership list.
    pub limits_config: LimitsConfig,
    /// Fleet-wide limits in addition to those of the volumes' plans.
    pub fleet_limits: ConfiguredLimits,
    /// Upper limit of the gossip sent to all peers together, in bytes per second.
    pub gossip_bytes_per_second: u64,
}

impl ClusterConfig {
    /// Reads the section `peers` as the front `front_name`.
    ///
    /// # Errors
    /// Returns the first invalid value found.
    pub fn read(value: &Value, front_name: &str) -> Result<ClusterConfig, ClusterConfigError> {
        let section: PeersSection = decode(value.clone()).map_err(|error| error.at("peers"))?;
        let ejections = section
            .ejections
            .as_ref()
            .map(EjectionConfig::read)
            .transpose()?;
        let fleet_limits = ConfiguredLimits::read(section.limits.as_ref())?;
        let numbers = LimitNumbers::from_section(&section);
        let gossip_bytes_per_second = section
            .gossip_bytes_per_second
            .unwrap_or(DEFAULT_GOSSIP_BYTES_PER_SECOND);
        let membership_list = MembershipList::new(section.membership_list)?;
        let mut limits_config = numbers.limits_config(&membership_list, front_name)?;
        if limits_config.revision == 0 {
            return Err(ClusterConfigError::RevisionZero);
        }
        limits_config.membership_digest =
            membership_digest(&limits_config, &membership_list, ejections);
        limits_config.check().map_err(ClusterConfigError::Limits)?;
        Ok(ClusterConfig {
            listen: section.listen.0,
            key_file: PathBuf::from(section.key_file),
            membership_list,
            ejections,
            limits_config,
            fleet_limits,
            gossip_bytes_per_second: gossip_bytes_per_second as u64,
        })
    }

    /// Returns the configuration of this front's outlier detector; `None` where ejections are not
    /// shared.
    ///
    /// # Errors
    /// Returns an error if values contradict each other.
    pub(super) fn detector_config(&self) -> Result<Option<DetectorConfig>, DetectorConfigError> {
        let LimitsConfig { me, fronts, .. } = self.limits_config;
        let zone = self.membership_list.zone(me);
        self.ejections
            .map(|ejections| ejections.detector_config(me, fronts, zone))
            .transpose()
    }
}

/// The numbers of the section that become part of [`LimitsConfig`].
struct LimitNumbers {
    revision: Option<f64>,
    lease_duration_ms: Option<f64>,
    heartbeat_interval_ms: Option<f64>,
    floor: Option<f64>,
}

impl LimitNumbers {
    /// Copies the numbers of a section.
    fn from_section(section: &PeersSection) -> LimitNumbers {
        LimitNumbers {
            revision: section.revision,
            lease_duration_ms: section.lease_duration_ms,
            heartbeat_interval_ms: section.heartbeat_interval_ms,
            floor: section.floor,
        }
    }

    /// Builds the configuration of the limits, with 0 as the digest of the membership list.
    fn limits_config(
        &self,
        membership_list: &MembershipList,
        front_name: &str,
    ) -> Result<LimitsConfig, ClusterConfigError> {
        let me = membership_list.position(front_name);
        let me =
            me.ok_or_else(|| ClusterConfigError::NotInMembershipList(front_name.to_owned()))?;
        let fronts = u16::try_from(membership_list.members().len())
            .ok()
            .filter(|fronts| *fronts <= MAX_FRONTS);
        let fronts = fronts.ok_or(ClusterConfigError::TooManyFronts)?;
        let mut config = LimitsConfig::new(PeerId::from_index(me), fronts, 0);
        config.revision = self.revision.unwrap_or(DEFAULT_REVISION) as u32;
        config.lease_duration = nanos_or(self.lease_duration_ms, config.lease_duration);
        config.heartbeat_interval = nanos_or(self.heartbeat_interval_ms, config.heartbeat_interval);
        let full_share = f64::from(FULL_SHARE.0);
        let floor = self.floor.unwrap_or(config.floor.as_fraction());
        config.floor = Share((floor * full_share) as u32);
        Ok(config)
    }
}

/// Converts milliseconds to nanoseconds; without a number, returns the default, in nanoseconds.
fn nanos_or(millis: Option<f64>, default: Nanos) -> Nanos {
    let millis = millis.unwrap_or(default as f64 / NANOS_PER_MILLISECOND);
    (millis * NANOS_PER_MILLISECOND) as Nanos
}

/// Computes the digest of all settings on which fronts must agree before they grant each other
/// leases.
///
/// Fronts of different versions compare this digest, so the digested text is part of the protocol
/// and must not change. The settings of outlier detection and the zones are part of it only where
/// ejections are shared.
fn membership_digest(
    limits: &LimitsConfig,
    membership_list: &MembershipList,
    ejections: Option<EjectionConfig>,
) -> u64 {
    let mut text = format!(
        "{}|{}|{}|{:?}",
        limits.revision,
        limits.lease_duration,
        limits.floor,
        membership_list.names()
    );
    if let Some(EjectionConfig {
        max_ejected_fraction,
        witnesses,
    }) = ejections
    {
        let zones = membership_list.zones();
        let zone_of_each: Vec<_> = membership_list
            .members()
            .iter()
            .map(|member| member.zone)
            .collect();
        text += &format!(
            "|Config {{ most_out: {max_ejected_fraction:?}, witnesses: {witnesses:?} }}|{zones:?}|{zone_of_each:?}"
        );
    }
    EnvelopeCodec::digest(&text)
}
