//! Tests of configuration validation and of the invariants of quorums and shares.

use tulipbridge_fleet_limits::{LimitsConfig, PeerId, Share, FULL_SHARE};

#[test]
fn quorums_overlap_and_shares_fit_the_limit_for_any_fleet_size() {
    for fronts in 1..=400 {
        let config = LimitsConfig::new(PeerId(0), fronts, 1);
        assert!(
            config.quorum(true) + config.quorum(false) > usize::from(fronts),
            "{fronts}"
        );
        assert!(
            (config.floor_share() + config.issuer_share()) * u32::from(fronts) <= FULL_SHARE,
            "{fronts}"
        );
    }
}

#[test]
fn an_invalid_configuration_is_rejected_with_its_reason() {
    let valid = LimitsConfig::new(PeerId(0), 4, 1);
    assert_eq!(valid.check(), Ok(()));
    let invalid = [
        LimitsConfig {
            me: PeerId(4),
            ..valid.clone()
        },
        LimitsConfig {
            heartbeat_interval: valid.lease_duration,
            ..valid.clone()
        },
        LimitsConfig {
            floor: FULL_SHARE + Share(1),
            ..valid.clone()
        },
        LimitsConfig {
            max_clock_drift: 200_000,
            ..valid
        },
    ];
    let reasons: Vec<String> = invalid
        .iter()
        .map(|config| config.check().expect_err("it is invalid").to_string())
        .collect();
    assert_eq!(
        reasons[0],
        "position 4 is outside the membership list of 4 fronts"
    );
    assert!(reasons[1].contains("a quarter of the lease duration"));
    assert!(reasons[2].contains("floor"));
    assert!(reasons[3].contains("drift"));
}
