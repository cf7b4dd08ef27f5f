//! The configuration of an object front.

use tulipbridge::object::Config;
use tulipbridge_membership::PeerId;

const FILE: &str = include_str!("../deploy/object.json");
const FILE_WITH_PEERS: &str = include_str!("../deploy/object-peers.json");

#[test]
fn deployed_file_is_valid() {
    let config = Config::read(FILE.as_bytes()).expect("it holds");
    assert_eq!(config.buckets["formularios"].volume, 0x0003_b4d6_0021);
    assert_eq!(config.base.discovery, None);
}

#[test]
fn errors_in_the_peers_section_name_line_and_path() {
    let config = Config::read(FILE_WITH_PEERS.as_bytes()).expect("it holds");
    assert_eq!(
        config
            .base
            .peers
            .map(|p| (p.limits_config.me, p.limits_config.fronts)),
        Some((PeerId(0), 3))
    );
    for (from, to, message) in [
        (
            "127.0.0.1:7402",
            "nowhere",
            "line 11: 'peers.roster[1].address': nowhere is not an IP address with a port",
        ),
        (
            "\"object-1\", \"address\"",
            "\"object-9\", \"address\"",
            "line 9: 'peers.roster' does not name this front, object-1",
        ),
        (
            "\"floor\"",
            "\"flor\"",
            "line 8: 'peers.flor': unknown field `flor`, expected one of `listen`, ",
        ),
    ] {
        let read = Config::read(FILE_WITH_PEERS.replacen(from, to, 1).as_bytes());
        let error = read
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default();
        assert!(error.starts_with(message), "{error}");
    }
}

#[test]
fn repeatable_class_for_writes_and_plan_of_another_kind_are_rejected() {
    for (from, to) in [
        ("\"write\": \"form-submit\"", "\"write\": \"form-read\""),
        ("\"plan\": \"normal\"", "\"plan\": 3"),
    ] {
        let read = Config::read(FILE.replacen(from, to, 1).as_bytes());
        let error = read.err().map(|error| error.to_string());
        assert!(
            error.is_some_and(|error| error.starts_with("bucket formularios: ")),
            "{to}"
        );
    }
}
