//! Configuration of the object front.

use tulipbridge::object::Config;

const FILE: &str = include_str!("../../deploy/object.json");
const FILE_WITH_PEERS: &str = include_str!("../../deploy/object-peers.json");

#[test]
fn the_file_under_deploy_is_valid() {
    let config = Config::read(FILE.as_bytes()).expect("it is valid");
    assert_eq!(config.buckets["formularios"].volume, 0x0003_b4d6_0021);
    assert_eq!(config.base.discovery, None);
}

#[test]
fn the_file_with_peers_is_valid_and_errors_in_it_are_named_by_line_and_path() {
    let config = Config::read(FILE_WITH_PEERS.as_bytes()).expect("it is valid");
    let peers = config.base.peers.map(|peers| (peers.limits_config.me, peers.limits_config.fronts));
    assert_eq!(peers, Some((0, 3)));
    for (from, to, expected) in [
        ("127.0.0.1:7402", "nowhere", "line 11: 'peers.roster[1].address' nowhere is no address"),
        (
            "\"object-1\", \"address\"",
            "\"object-9\", \"address\"",
            "line 9: 'peers.roster' does not name this front, object-1",
        ),
        ("\"floor\"", "\"flor\"", "line 8: 'peers.flor' is not known"),
    ] {
        let edited = FILE_WITH_PEERS.replacen(from, to, 1);
        let error = Config::read(edited.as_bytes()).err().map(|error| error.to_string()).unwrap_or_default();
        assert!(error.starts_with(expected), "{error}");
    }
}

#[test]
fn a_bucket_with_a_repeatable_write_or_an_invalid_plan_is_refused() {
    for (from, to) in
        [("\"write\": \"form-submit\"", "\"write\": \"form-read\""), ("\"plan\": \"normal\"", "\"plan\": 3")]
    {
        let error = Config::read(FILE.replacen(from, to, 1).as_bytes()).err();
        assert!(error.is_some_and(|error| error.to_string().starts_with("bucket formularios: ")), "{to}");
    }
}
