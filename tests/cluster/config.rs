//! Tests of the section `peers` of a front's file.

use tulipbridge::cluster::config::ClusterConfig;
use tulipbridge::cluster::errors::ClusterConfigError;
use tulipbridge_membership::PeerId;

use crate::json;

const VALID: &str = r#"{"listen": "127.0.0.1:1", "key_file": "k",
    "roster": [{"name": "b", "address": "127.0.0.1:2"}, {"name": "a", "address": "127.0.0.1:3"}]}"#;

/// Reads the text as the section `peers` of the front `b`.
fn read(text: &str) -> Result<ClusterConfig, ClusterConfigError> {
    ClusterConfig::read(&json(text), "b")
}

#[test]
fn peer_ids_follow_the_order_of_names() {
    let config = read(VALID)
        .expect("the configuration is valid")
        .limits_config;
    assert_eq!(
        (config.me, config.fronts, config.revision),
        (PeerId(1), 2, 1)
    );
}

#[test]
fn membership_digest_covers_names_but_not_addresses() {
    let config = read(VALID)
        .expect("the configuration is valid")
        .limits_config;
    let other_address = read(&VALID.replace("127.0.0.1:3", "127.0.0.1:9")).expect("it is valid");
    assert_eq!(other_address.limits_config, config);
    let other_name = read(&VALID.replace("\"a\"", "\"c\"")).expect("it is valid");
    assert_ne!(
        other_name.limits_config.membership_digest,
        config.membership_digest
    );
}

#[test]
fn errors_start_with_the_path_of_the_key() {
    for (from, to, message) in [
        (
            "\"b\", \"address\": \"127.0.0.1:2\"",
            "\"b\", \"address\": \"here\"",
            "'peers.roster[0].address': here is not an IP address with a port",
        ),
        ("\"a\"", "\"b\"", "'peers.roster[1].name' b occurs twice"),
        (
            "127.0.0.1:3",
            "127.0.0.1:2",
            "'peers.roster[1].address' 127.0.0.1:2 occurs twice",
        ),
        (
            "\"b\", \"address\"",
            "\"c\", \"address\"",
            "'peers.roster' does not name this front, b",
        ),
        (
            "\"listen\"",
            "\"floor\": 2, \"listen\"",
            "'peers': the floor of 2000000 millionths exceeds the whole limit",
        ),
        (
            "\"listen\"",
            "\"beat\": 2, \"listen\"",
            "'peers.beat': unknown field `beat`, expected one of `listen`, `key_file`, `roster`, `revision`, `life_ms`, `beat_ms`, `floor`, `limits`, `verdicts`, `entry_bytes_per_s`",
        ),
        (
            "\"listen\"",
            "\"revision\": 0, \"listen\"",
            "'peers.revision' must be at least 1",
        ),
        ("\"k\"", "7", "'peers.key_file': must be a string, not 7"),
    ] {
        let error = read(&VALID.replacen(from, to, 1))
            .err()
            .map(|error| error.to_string());
        assert_eq!(error.as_deref(), Some(message), "{to}");
    }
}
