//! Golden bytes of the gossip entries of outlier detection.
//!
//! Fronts of two versions run side by side during an upgrade, so these bytes must not change: names
//! of types and fields may, but not their order, their widths and the numbers of enum variants. The
//! expected bytes were derived from the postcard format by an independent encoder, not copied from
//! a run.
//!
//! Entries are also taken from a running [`OutlierDetector`], to check the values of votes (a
//! target and a zone) and of probe results (one byte) as it encodes them.

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tulipbridge_membership::{
    Delta, Echo, GossipEntry, GossipInput, GossipMessage, MembershipTable,
};
use tulipbridge_outlier_detection::*;

const MS: Nanos = 1_000_000;
const SERVER: ServerId = ServerId(0x1122_3344_5566_7788);

/// Returns the bytes as lower-case hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks that a value is encoded as exactly these bytes and that they decode to an equal value.
fn assert_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, expected: &str) {
    let bytes = postcard::to_stdvec(value).expect("the value can be encoded");
    assert_eq!(hex(&bytes), expected);
    let (decoded, rest) = postcard::take_from_bytes::<T>(&bytes).expect("the bytes can be decoded");
    assert_eq!(&decoded, value);
    assert!(rest.is_empty(), "bytes are left over");
}

#[test]
fn entry_kinds() {
    assert_eq!((EVIDENCE, VOTE, PROBE), (2, 3, 4));
}

#[test]
fn scope_of_all_work() {
    assert_golden(&Scope::All, "00");
}

#[test]
fn scope_of_a_zone() {
    assert_golden(&Scope::Zone(ZoneId(200)), "01c8");
}

#[test]
fn scope_of_a_class() {
    assert_golden(&Scope::Class(ClassId(201)), "02c9");
}

#[test]
fn ejection_target() {
    assert_golden(
        &EjectionTarget {
            server: SERVER,
            scope: Scope::Class(ClassId(201)),
        },
        concat!(
            "88ef99abc5e88c9111", // server
            "02c9",               // scope: Class, its number in one byte
        ),
    );
}

#[test]
fn target_ids_in_the_keys_of_votes() {
    let id = |scope| {
        EjectionTarget {
            server: SERVER,
            scope,
        }
        .id()
    };
    assert_eq!(id(Scope::All), 0x7709_291b_83f6_32e2);
    assert_eq!(id(Scope::Zone(ZoneId(200))), 0x3af1_14a4_1730_e1a7);
    assert_eq!(id(Scope::Class(ClassId(201))), 0xb36f_1ca2_ada6_6c67);
}

#[test]
fn class_evidence() {
    assert_golden(
        &ClassEvidence {
            class: ClassId(202),
            attempts: 301,
            failures: 130,
        },
        concat!(
            "ca",   // class, in one byte
            "ad02", // attempts
            "8201", // failures
        ),
    );
}

#[test]
fn evidence() {
    let classes = vec![
        ClassEvidence {
            class: ClassId(202),
            attempts: 301,
            failures: 130,
        },
        ClassEvidence {
            class: ClassId(3),
            attempts: 5,
            failures: 4,
        },
    ];
    assert_golden(
        &Evidence {
            zone: ZoneId(201),
            baseline: 400,
            classes,
        },
        concat!(
            "c9",         // zone, in one byte
            "9003",       // baseline
            "02",         // classes: length
            "caad028201", // classes: class in one byte, attempts, failures
            "030504",     // classes: class in one byte, attempts, failures
        ),
    );
}

/// The front whose entries are tested.
const FRONT: PeerId = PeerId(0);
const INCARNATION: Incarnation = Incarnation(100);
const ZONE: ZoneId = ZoneId(200);
/// A front of another zone with the same evidence, so that both vote to eject the server for all
/// work.
const PEER: PeerId = PeerId(1);
const PEER_INCARNATION: Incarnation = Incarnation(101);
const PEER_ZONE: ZoneId = ZoneId(7);
/// The class of work of all attempts.
const CLASS: ClassId = ClassId(201);
/// Numbers of the servers that are no outliers.
const HEALTHY_SERVERS: std::ops::Range<u64> = 10..15;

/// Returns the membership table of the front, in which the peer is alive.
fn membership(now: Nanos) -> MembershipTable {
    let mut members = MembershipTable::new(FRONT, 2, INCARNATION, 2_000 * MS);
    let mut peer = MembershipTable::new(PEER, 2, PEER_INCARNATION, 2_000 * MS);
    for step in 0..4 {
        let at = now + step;
        peer.receive(at, FRONT, INCARNATION, &members.state_for(at, PEER));
        members.receive(at, PEER, PEER_INCARNATION, &peer.state_for(at, FRONT));
    }
    members
}

/// Returns the gossip entries of the front after it has received this evidence from the peer.
fn entries_with(now: Nanos, evidence: &Evidence) -> GossipStore {
    let value = postcard::to_stdvec(evidence).expect("the evidence can be encoded");
    let key = EntryKey {
        kind: EVIDENCE,
        id: SERVER.0,
    };
    let entry = GossipEntry {
        key,
        version: 1,
        age_ms: 0,
        value: Some(value),
    };
    let delta = Delta {
        origin: PEER,
        incarnation: PEER_INCARNATION,
        after: 0,
        to: 1,
        entries: vec![entry],
    };
    let message = GossipMessage {
        echo: Some(Echo {
            incarnation: INCARNATION,
            sent_at: now,
        }),
        knows: Vec::new(),
        requests_missing: false,
        deltas: vec![delta],
    };
    let mut entries = GossipStore::new(FRONT, 2, INCARNATION, 100_000, now);
    let members = membership(now);
    // Entries are accepted only after a round in which the peer's incarnation is known.
    entries
        .on(now, &members, GossipInput::Round, &mut Vec::new())
        .expect("a round puts nothing");
    let received = GossipInput::Received {
        from: PEER,
        incarnation: PEER_INCARNATION,
        message,
    };
    let mut actions = Vec::new();
    entries
        .on(now, &members, received, &mut actions)
        .expect("a received message puts nothing");
    assert!(
        entries.get(now, PEER, key).is_some(),
        "the evidence is accepted: {actions:?}"
    );
    entries
}

/// Records twenty attempts at a server, the first `failures` of which fail.
fn record_attempts(
    detector: &mut OutlierDetector,
    now: Nanos,
    entries: &GossipStore,
    server: ServerId,
    failures: usize,
) {
    for attempt in 0..20 {
        let quality = if attempt < failures {
            SampleQuality::Failed
        } else {
            SampleQuality::Healthy
        };
        let event = Event::Attempt {
            server,
            class: CLASS,
            quality,
        };
        detector.on(now, entries, event, &mut Vec::new());
    }
}

/// Returns the entries that the front publishes on a server that is an outlier by the front's own
/// attempts and by the peer's evidence.
fn entries_on_an_outlier() -> Vec<(EntryKey, Option<String>)> {
    let now = 1_000 * MS;
    let classes = vec![ClassEvidence {
        class: CLASS,
        attempts: 200,
        failures: 180,
    }];
    let entries = entries_with(
        now,
        &Evidence {
            zone: PEER_ZONE,
            baseline: 50,
            classes,
        },
    );
    let mut detector = OutlierDetector::new(DetectorConfig::new(FRONT, 2, ZONE))
        .expect("the configuration is valid");
    let servers = HEALTHY_SERVERS
        .map(ServerId)
        .chain([SERVER])
        .map(|id| KnownServer { id, is_up: true })
        .collect();
    detector.on(now, &entries, Event::Servers(servers), &mut Vec::new());
    record_attempts(&mut detector, now, &entries, SERVER, 18);
    for server in HEALTHY_SERVERS.map(ServerId) {
        record_attempts(&mut detector, now, &entries, server, 1);
    }
    let mut effects = Vec::new();
    detector.on(now, &entries, Event::Evaluate, &mut effects);
    detector.on(now + 400 * MS, &entries, Event::Evaluate, &mut effects);
    published(effects)
}

/// Returns the entries that effects publish, with their values in hexadecimal.
fn published(effects: Vec<Effect>) -> Vec<(EntryKey, Option<String>)> {
    let put = |effect| match effect {
        Effect::Put(key, value) => Some((key, value.as_deref().map(hex))),
        _ => None,
    };
    effects.into_iter().filter_map(put).collect()
}

#[test]
fn evidence_as_published() {
    let value = concat!(
        "c8",         // zone, in one byte
        "32",         // baseline
        "01",         // classes: length
        "c9c801b401", // classes: class in one byte, attempts, failures
    );
    let expected = (
        EntryKey {
            kind: 2,
            id: SERVER.0,
        },
        Some(value.to_owned()),
    );
    assert_eq!(entries_on_an_outlier().first(), Some(&expected));
}

#[test]
fn vote_as_published() {
    let value = concat!(
        "88ef99abc5e88c9111", // target: server
        "00",                 // target: scope All
        "c8",                 // zone, in one byte
    );
    let expected = (
        EntryKey {
            kind: 3,
            id: 0x7709_291b_83f6_32e2,
        },
        Some(value.to_owned()),
    );
    assert_eq!(entries_on_an_outlier().last(), Some(&expected));
}

#[test]
fn probe_result_as_published() {
    let entries = GossipStore::new(FRONT, 2, INCARNATION, 100_000, 0);
    let mut detector = OutlierDetector::new(DetectorConfig::new(FRONT, 2, ZONE))
        .expect("the configuration is valid");
    let mut effects = Vec::new();
    for quality in [
        SampleQuality::Healthy,
        SampleQuality::Healthy,
        SampleQuality::Failed,
    ] {
        detector.on(
            0,
            &entries,
            Event::Probed {
                server: SERVER,
                class: CLASS,
                quality,
            },
            &mut effects,
        );
    }
    // The number of successes in a row, in one byte.
    let put = |value: &str| {
        (
            EntryKey {
                kind: 4,
                id: SERVER.0,
            },
            Some(value.to_owned()),
        )
    };
    assert_eq!(published(effects), [put("01"), put("02"), put("00")]);
}
