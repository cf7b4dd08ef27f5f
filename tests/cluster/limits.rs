//! Tests of the section `peers.limits` of a front's file, and of the rates that this front's shares
//! of limits result in.

use tulipbridge::cluster::limits::{ConfiguredLimits, FleetLimits, LimitRate, LimitUpdate};
use tulipbridge::control::json_object::JsonObjectError;
use tulipbridge::{Settings, SharedLimit};
use tulipbridge_fleet_limits::{Limit, Share, FULL_SHARE};

use crate::json;
use tulipbridge_core::VolumeId;

const ALL: &str = r#"{"further_attempts": {"rate": 20, "burst": 8}, "out_at_server": 64,
    "starting_server": {"rate": 30, "burst": 40}}"#;

fn settings() -> Settings {
    let value = json(include_str!("../../crates/testbed/src/settings.json"));
    tulipbridge::config::settings::read(&value).expect("the settings are valid")
}

fn read(text: &str) -> Result<ConfiguredLimits, JsonObjectError> {
    ConfiguredLimits::read(Some(&json(text)))
}

fn update(limit: SharedLimit, rate: f64, burst: f64) -> LimitUpdate {
    LimitUpdate {
        limit,
        rate: LimitRate { rate, burst },
    }
}

#[test]
fn changed_plan_of_a_volume_updates_its_limit() {
    let mut settings = settings();
    let mut faster = settings.plans[0].clone();
    faster.limit_rate *= 3.0;
    settings.plans.push(faster);
    let mut limits = FleetLimits::default();
    let volume = |rate, burst| update(SharedLimit::Volume(VolumeId(7)), rate, burst);
    assert_eq!(
        limits.set_share(Limit::Volume(7), FULL_SHARE, &settings),
        [],
        "the volume has had no request"
    );
    assert_eq!(limits.volume_requested(VolumeId(7), 0, &settings), None);
    assert_eq!(
        limits.set_share(Limit::Volume(7), FULL_SHARE / 4, &settings),
        [volume(10.0, 6.0)]
    );
    assert_eq!(limits.volume_requested(VolumeId(7), 0, &settings), None);
    assert_eq!(
        limits.volume_requested(VolumeId(7), 1, &settings),
        Some(volume(30.0, 6.0))
    );
    assert_eq!(
        limits.set_share(Limit::Volume(7), Share::NONE, &settings),
        [volume(0.0, 0.0)]
    );
}

#[test]
fn configured_limits_allow_nothing_without_a_share() {
    let updates =
        FleetLimits::default().configure(read(ALL).expect("the limits are valid"), &settings());
    assert_eq!(updates.len(), 3);
    assert!(
        updates
            .iter()
            .all(|update| update.rate == LimitRate::default()),
        "{updates:?}"
    );
}

#[test]
fn configured_limits_are_scaled_by_the_share() {
    let (settings, mut limits) = (settings(), FleetLimits::default());
    limits.configure(read(ALL).expect("the limits are valid"), &settings);
    let updates = limits.set_share(Limit::ServerLoad, FULL_SHARE / 4, &settings);
    let expected = [
        update(SharedLimit::WarmingUpNode, 7.5, 10.0),
        update(SharedLimit::InFlightPerNode, 16.0, 0.0),
    ];
    assert_eq!(updates, expected);
    let updates = limits.set_share(Limit::Retries, FULL_SHARE / 100, &settings);
    assert_eq!(updates, [update(SharedLimit::Retries, 0.2, 1.0)]);
    // A new configuration is scaled to the share that this front already has.
    let updates = limits.configure(
        read(&ALL.replace("64", "32")).expect("the limits are valid"),
        &settings,
    );
    assert!(
        updates.contains(&update(SharedLimit::InFlightPerNode, 8.0, 0.0)),
        "{updates:?}"
    );
    assert_eq!(
        limits.forget(Limit::Retries, &settings),
        [update(SharedLimit::Retries, 0.0, 0.0)]
    );
}

#[test]
fn errors_start_with_the_path_of_the_key() {
    for (from, to, message) in [
        (
            "64",
            "0",
            "'peers.limits.out_at_server': must be a number above 0, not 0",
        ),
        (
            "64",
            "\"x\"",
            "'peers.limits.out_at_server': must be a number above 0, not \"x\"",
        ),
        (
            "20",
            "-1",
            "'peers.limits.further_attempts.rate': must be a number above 0, not -1",
        ),
        (
            ", \"burst\": 40",
            "",
            "'peers.limits.starting_server.burst': is missing",
        ),
        (
            "\"burst\": 8",
            "\"bust\": 8",
            "'peers.limits.further_attempts.bust': unknown field `bust`, expected `rate` or `burst`",
        ),
        (
            "out_at_server",
            "out_at",
            "'peers.limits.out_at': unknown field `out_at`, expected one of `further_attempts`, `starting_server`, `out_at_server`",
        ),
    ] {
        let error = read(&ALL.replacen(from, to, 1))
            .err()
            .map(|error| error.to_string());
        assert_eq!(error.as_deref(), Some(message), "{to}");
    }
}

#[test]
fn missing_object_configures_no_limits() {
    assert_eq!(
        ConfiguredLimits::read(None),
        Ok(ConfiguredLimits::default())
    );
}

#[test]
fn configuration_is_within_another_that_has_each_of_its_limits() {
    let (all, one) = (
        read(ALL).expect("valid"),
        read("{\"out_at_server\": 9}").expect("valid"),
    );
    assert!(one.is_within(&all) && !all.is_within(&one));
}
