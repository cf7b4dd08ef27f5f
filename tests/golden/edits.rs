//! Edits that make the configuration invalid.

/// An edit of [`CONFIG`](crate::program::CONFIG): the first occurrence of `from` is replaced by
/// `to`.
pub struct Edit {
    pub name: &'static str,
    pub from: &'static str,
    pub to: &'static str,
}

const fn edit(name: &'static str, from: &'static str, to: &'static str) -> Edit {
    Edit { name, from, to }
}

/// Edits that both kinds of front reject.
pub const REJECTED_BY_BOTH: &[Edit] = &[
    edit(
        "broken JSON",
        "\"name\": \"object-1\",",
        "\"name\": \"object-1\"",
    ),
    edit(
        "a file that ends early",
        "\"Zone\": \"edificio-a\"}",
        "\"Zone\": ",
    ),
    edit("settings missing", "\"settings\": {", "\"other\": {"),
    edit(
        "settings of another kind",
        "\"settings\": {",
        "\"settings\": 3, \"other\": {",
    ),
    edit(
        "no address",
        "\"listen\": \"127.0.0.1:0\"",
        "\"listen\": \"nowhere\"",
    ),
    edit(
        "address missing",
        "\"listen\": \"127.0.0.1:0\"",
        "\"other\": 0",
    ),
    edit(
        "address of another kind",
        "\"listen\": \"127.0.0.1:0\"",
        "\"listen\": 9000",
    ),
    edit(
        "address of no interface",
        "\"listen\": \"127.0.0.1:0\"",
        "\"listen\": \"192.0.2.1:0\"",
    ),
    edit(
        "console no address",
        "\"console\": \"127.0.0.1:0\"",
        "\"console\": \"here\"",
    ),
    edit(
        "console of another kind",
        "\"console\": \"127.0.0.1:0\"",
        "\"console\": 9100",
    ),
    edit(
        "discovery no address",
        "\"console\"",
        "\"discovery\": \"there\", \"console\"",
    ),
    edit(
        "discovery of another kind",
        "\"console\"",
        "\"discovery\": true, \"console\"",
    ),
    edit("seed missing", "\"seed\"", "\"other\""),
    edit("seed of another kind", "\"5f2c9d0a71b3e846\"", "5"),
    edit("seed not in hex digits", "5f2c9d0a71b3e846", "xyz"),
    edit(
        "sockets of another kind",
        "\"sockets\": 1024",
        "\"sockets\": \"many\"",
    ),
    edit(
        "memory of another kind",
        "\"memory_mb\": 192",
        "\"memory_mb\": \"much\"",
    ),
    edit("known missing", "\"known\": {", "\"other\": {"),
    edit("family missing", "\"FamilyInfo\": {", "\"Other\": {"),
    edit(
        "family of another kind",
        "\"FamilyInfo\": {",
        "\"FamilyInfo\": 3, \"Other\": {",
    ),
    edit("limits missing", "\"Limits\": {", "\"Other\": {"),
    edit(
        "limits of another kind",
        "\"Limits\": {",
        "\"Limits\": 3, \"Other\": {",
    ),
    edit("rules missing", "\"Rules\": {", "\"Other\": {"),
    edit("classes missing", "\"Services\": [", "\"Other\": ["),
    edit(
        "classes of another kind",
        "\"Services\": [",
        "\"Services\": {}, \"Other\": [",
    ),
    edit(
        "no classes",
        "\"Services\": [",
        "\"Services\": [], \"Other\": [",
    ),
    edit("plans missing", "\"Grades\": [", "\"Other\": ["),
    edit("zones missing", "\"FailureDomains\": [", "\"Other\": ["),
    edit(
        "zone of another kind",
        "[\"edificio-a\", \"edificio-b\"]",
        "[3]",
    ),
    edit(
        "semantics unknown",
        "\"Semantics\": \"idempotent\"",
        "\"Semantics\": \"sometimes\"",
    ),
    edit(
        "semantics missing",
        "\"Semantics\": \"idempotent\"",
        "\"Other\": 0",
    ),
    edit(
        "class name missing",
        "\"Name\": \"form-read\"",
        "\"Other\": 0",
    ),
    edit(
        "plan name of another kind",
        "\"Name\": \"basico\"",
        "\"Name\": 3",
    ),
    edit(
        "aim of another kind",
        "\"Aim\": 120000000",
        "\"Aim\": \"soon\"",
    ),
    edit("aim below 0", "\"Aim\": 120000000", "\"Aim\": -1"),
    edit(
        "deadline of 0",
        "\"Deadline\": 750000000",
        "\"Deadline\": 0",
    ),
    edit("points below 0", "\"Points\": 3.0", "\"Points\": -3.0"),
    edit(
        "keep order of another kind",
        "\"Points\": 3.0",
        "\"KeepOrder\": 1, \"Points\": 3.0",
    ),
    edit(
        "floor rate below 0",
        "\"FloorRate\": 1.1",
        "\"FloorRate\": -1.1",
    ),
    edit("no fronts", "\"Balancers\": 3", "\"Balancers\": 0"),
    edit(
        "fronts of another kind",
        "\"Balancers\": 3",
        "\"Balancers\": \"three\"",
    ),
    edit("no tries", "\"MostTries\": 3", "\"MostTries\": 0"),
    edit("quantum below 0", "\"Quantum\": 2000000", "\"Quantum\": -1"),
    edit("unit mean of 0", "\"UnitMean\": 2.05", "\"UnitMean\": 0"),
    edit(
        "cold units below 0",
        "\"ColdUnits\": 11.0",
        "\"ColdUnits\": -1",
    ),
    edit(
        "shards of another kind",
        "\"Shards\": 2",
        "\"Shards\": \"two\"",
    ),
    edit(
        "dial timeout of another kind",
        "\"DialTimeout\": 250000000",
        "\"DialTimeout\": \"x\"",
    ),
    edit(
        "idle close of another kind",
        "\"IdleClose\": 30000000000",
        "\"IdleClose\": \"x\"",
    ),
    edit(
        "second copies of another kind",
        "\"SecondCopies\": true",
        "\"SecondCopies\": 1",
    ),
    edit(
        "further ratio of another kind",
        "\"Rules\": {",
        "\"Rules\": {\"FurtherRatio\": \"x\", ",
    ),
    edit(
        "peers of another kind",
        "\"peers\": {",
        "\"peers\": 3, \"other\": {",
    ),
    edit("peers with an unknown key", "\"floor\"", "\"flor\""),
    edit(
        "peers without a listen",
        "\"listen\": \"127.0.0.1:0\", \"key_file\"",
        "\"key_file\"",
    ),
    edit(
        "peers with no address",
        "\"listen\": \"127.0.0.1:0\", \"key_file\"",
        "\"listen\": \"x\", \"key_file\"",
    ),
    edit(
        "peers that listen elsewhere",
        "127.0.0.1:0\", \"key_file\"",
        "192.0.2.1:0\", \"key_file\"",
    ),
    edit("key file missing", "\"key_file\": \"peers.key\", ", ""),
    edit("key file unreadable", "peers.key", "nothing"),
    edit("key too short", "peers.key", "/dev/null"),
    edit(
        "roster of another kind",
        "\"roster\": [",
        "\"roster\": 3, \"limits\": [",
    ),
    edit("roster name missing", "{\"name\": \"object-2\", ", "{"),
    edit(
        "roster name twice",
        "\"name\": \"object-2\"",
        "\"name\": \"object-1\"",
    ),
    edit("roster address twice", "127.0.0.1:7402", "127.0.0.1:7401"),
    edit("roster with no address", "127.0.0.1:7403", "nowhere"),
    edit(
        "roster zone of another kind",
        "7403\", \"zone\": \"edificio-a\"",
        "7403\", \"zone\": 3",
    ),
    edit(
        "roster without this front",
        "\"name\": \"object-1\", \"address\"",
        "\"name\": \"object-9\", \"address\"",
    ),
    edit("revision of 0", "\"revision\": 1", "\"revision\": 0"),
    edit(
        "revision of another kind",
        "\"revision\": 1",
        "\"revision\": \"x\"",
    ),
    edit("life below 0", "\"life_ms\": 600000", "\"life_ms\": -1"),
    edit("life too short", "\"life_ms\": 600000", "\"life_ms\": 500"),
    edit("beat of 0", "\"beat_ms\": 200", "\"beat_ms\": 0"),
    edit("floor above the whole", "\"floor\": 0.1", "\"floor\": 1.5"),
    edit(
        "entry bytes below 0",
        "\"floor\": 0.1",
        "\"entry_bytes_per_s\": -1",
    ),
    edit(
        "stated limits of another kind",
        "\"limits\": {\"further",
        "\"limits\": 3, \"x\": {\"further",
    ),
    edit(
        "stated limit of another kind",
        "{\"rate\": 30, \"burst\": 15}",
        "3",
    ),
    edit("stated limit unknown", "\"out_at_server\"", "\"out_at\""),
    edit(
        "stated limit with an unknown key",
        "\"burst\": 15",
        "\"bust\": 15",
    ),
    edit("stated limit without a burst", ", \"burst\": 11", ""),
    edit("stated rate of 0", "\"rate\": 30", "\"rate\": 0"),
    edit(
        "stated number of another kind",
        "\"out_at_server\": 64",
        "\"out_at_server\": \"x\"",
    ),
    edit(
        "verdicts of another kind",
        "\"verdicts\": {}",
        "\"verdicts\": []",
    ),
    edit(
        "verdicts with an unknown key",
        "\"verdicts\": {}",
        "\"verdicts\": {\"most\": 1}",
    ),
    edit(
        "most out of 1",
        "\"verdicts\": {}",
        "\"verdicts\": {\"most_out\": 1}",
    ),
    edit(
        "one witness",
        "\"verdicts\": {}",
        "\"verdicts\": {\"witnesses\": 1}",
    ),
    edit("known without a generation", "\"generation\": 0, ", ""),
    edit(
        "known reset of another kind",
        "\"reset\": true",
        "\"reset\": 1",
    ),
    edit("known without instances", "\"instances\"", "\"others\""),
    edit("instance without an id", "\"instanceId\": \"s-0\", ", ""),
    edit(
        "instance without an address",
        "\"hostPort\": \"127.0.0.1:7101\", ",
        "",
    ),
    edit("instance with no address", "127.0.0.1:7101", "nowhere"),
    edit(
        "instance without a lifecycle",
        "\"lifecycle\": \"Ready\", ",
        "",
    ),
    edit("instance without a cell", "\"cell\": 0, ", ""),
    edit("instance cell out of range", "\"cell\": 0", "\"cell\": -1"),
];

/// Edits that only an object front rejects.
pub const REJECTED_BY_OBJECT: &[Edit] = &[
    edit("buckets missing", "\"buckets\": {", "\"others\": {"),
    edit(
        "buckets of another kind",
        "\"buckets\": {",
        "\"buckets\": [], \"others\": {",
    ),
    edit("volume missing", "\"volume\": \"00000003b4d60021\", ", ""),
    edit("volume not in hex digits", "00000003b4d60021", "xyz"),
    edit(
        "plan of another kind",
        "\"plan\": \"normal\"",
        "\"plan\": 3",
    ),
    edit(
        "plan unknown",
        "\"plan\": \"normal\"",
        "\"plan\": \"golden\"",
    ),
    edit("read class missing", "\"read\": \"form-read\", ", ""),
    edit(
        "read class unknown",
        "\"read\": \"form-read\"",
        "\"read\": \"form-write\"",
    ),
    edit(
        "read class not repeatable",
        "\"read\": \"form-read\"",
        "\"read\": \"form-submit\"",
    ),
    edit(
        "write class repeatable",
        "\"write\": \"form-submit\"",
        "\"write\": \"form-read\"",
    ),
    edit(
        "unit bytes of another kind",
        "\"unit_bytes\": 32768",
        "\"unit_bytes\": \"x\"",
    ),
    edit("hosts of another kind", "\"hosts\": 2", "\"hosts\": \"x\""),
];
