//! Validation of detector configurations, and the limits that follow from them.

use tulipbridge_outlier_detection::{DetectorConfig, DetectorConfigError, PeerId, ZoneId};

#[test]
fn an_invalid_configuration_is_rejected_with_its_reason() {
    let valid = DetectorConfig::new(PeerId(0), 4, ZoneId(0));
    assert_eq!(valid.check(), Ok(()));
    let invalid = [
        (
            DetectorConfig {
                me: PeerId(4),
                ..valid.clone()
            },
            "position 4 is outside the membership list of 4 fronts",
        ),
        (
            DetectorConfig {
                witnesses: 1,
                ..valid.clone()
            },
            "'witnesses' must be at least 2, not 1",
        ),
        (
            DetectorConfig {
                max_ejected_fraction: 1.5,
                ..valid.clone()
            },
            "'most_out' must be at least 0 and below 1, not 1.5",
        ),
        (
            DetectorConfig {
                healthy_failure_rate: 0.4,
                ..valid.clone()
            },
            "'good_part' must be above 0 and below 'bad_part' 0.3, not 0.4",
        ),
        (
            DetectorConfig {
                vote_ttl: 0,
                ..valid
            },
            "'assent_life' must be a positive duration",
        ),
    ];
    for (config, reason) in invalid {
        assert_eq!(
            config
                .check()
                .expect_err("the configuration is invalid")
                .to_string(),
            reason
        );
    }
}

#[test]
fn the_first_of_several_problems_is_reported() {
    let config = DetectorConfig {
        me: PeerId(4),
        witnesses: 0,
        ..DetectorConfig::new(PeerId(0), 4, ZoneId(0))
    };
    assert_eq!(
        config.check(),
        Err(DetectorConfigError::UnknownPeer {
            me: PeerId(4),
            fronts: 4
        })
    );
}

#[test]
fn the_quorum_is_more_than_half_and_votes_are_limited_to_half_of_the_fraction() {
    let config = |fronts| DetectorConfig::new(PeerId(0), fronts, ZoneId(0));
    assert_eq!(
        [1, 2, 3, 4].map(|fronts| config(fronts).quorum()),
        [1, 2, 2, 3]
    );
    assert_eq!(
        [0, 3, 4, 6, 8].map(|servers| config(4).max_votes(servers)),
        [0, 0, 1, 1, 2]
    );
    assert_eq!(config(4).vote_span(), 4_004_000_001);
}
