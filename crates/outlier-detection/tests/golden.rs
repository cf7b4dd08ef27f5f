//! Golden bytes of the entries by which fronts reach verdicts on servers.
//!
//! Fronts of two versions run side by side during an upgrade, so the bytes are a contract: names of types and fields
//! may change, their order, their widths and the numbers of enum variants may not. The expected bytes were worked out
//! from the postcard format by an encoder of its own, not copied from a run.
//!
//! What a front puts is also taken from a running [`Verdicts`], so that the values which it encodes in place (an assent
//! is a subject and a zone, a trial is one byte) are pinned as it encodes them.

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tulipbridge_membership::{Delta, GossipEntry, GossipInput, GossipMessage, MembershipTable};
use tulipbridge_outlier_detection::*;

const MS: Nanos = 1_000_000;
const SERVER: Server = 0x1122_3344_5566_7788;

/// Two lower-case digits for each byte.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks that a value has exactly these bytes, and that they are read back as an equal value.
fn assert_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, expected: &str) {
    let bytes = postcard::to_stdvec(value).expect("the value can be encoded");
    assert_eq!(hex(&bytes), expected);
    let (decoded, rest) = postcard::take_from_bytes::<T>(&bytes).expect("the bytes can be decoded");
    assert_eq!(&decoded, value);
    assert!(rest.is_empty(), "bytes are left over");
}

#[test]
fn kinds_of_entries() {
    assert_eq!((EVIDENCE, VOTE, PROBE), (2, 3, 4));
}

#[test]
fn scope_of_all_work() {
    assert_golden(&Scope::All, "00");
}

#[test]
fn scope_of_a_zone() {
    assert_golden(&Scope::Zone(200), "01c8");
}

#[test]
fn scope_of_a_class() {
    assert_golden(&Scope::Class(201), "02c9");
}

#[test]
fn subject() {
    assert_golden(
        &EjectionTarget { server: SERVER, scope: Scope::Class(201) },
        concat!(
            "88ef99abc5e88c9111", // server
            "02c9",               // scope: Class, its number in one byte
        ),
    );
}

#[test]
fn subject_ids_are_keys_of_assents() {
    let id = |scope| EjectionTarget { server: SERVER, scope }.id();
    assert_eq!(id(Scope::All), 0x7709_291b_83f6_32e2);
    assert_eq!(id(Scope::Zone(200)), 0x3af1_14a4_1730_e1a7);
    assert_eq!(id(Scope::Class(201)), 0xb36f_1ca2_ada6_6c67);
}

#[test]
fn seen() {
    assert_golden(
        &ClassEvidence { class: 202, attempts: 301, failures: 130 },
        concat!(
            "ca",   // class, in one byte
            "ad02", // attempts
            "8201", // bad
        ),
    );
}

#[test]
fn evidence() {
    let seen = vec![
        ClassEvidence { class: 202, attempts: 301, failures: 130 },
        ClassEvidence { class: 3, attempts: 5, failures: 4 },
    ];
    assert_golden(
        &Evidence { zone: 201, baseline: 400, classes: seen },
        concat!(
            "c9",         // zone, in one byte
            "9003",       // base
            "02",         // seen: length
            "caad028201", // seen: class in one byte, attempts, bad
            "030504",     // seen: class in one byte, attempts, bad
        ),
    );
}

/// The front whose puts are looked at: its place, boot and zone.
const FRONT: PeerId = 0;
const BOOT: Incarnation = 100;
const ZONE: Zone = 200;
/// A front of another zone that saw the same, and told it: both assent for all work.
const PEER: PeerId = 1;
const PEER_BOOT: Incarnation = 101;
const PEER_ZONE: Zone = 7;
/// The class of work that all attempts are of.
const CLASS: Class = 201;
/// Other servers than the one that does badly.
const GOOD_SERVERS: std::ops::Range<Server> = 10..15;

/// Contacts of the front, to which the peer is alive.
fn contacts(now: Nanos) -> MembershipTable {
    let mut contacts = MembershipTable::new(FRONT, 2, BOOT, 2_000 * MS);
    let mut peer = MembershipTable::new(PEER, 2, PEER_BOOT, 2_000 * MS);
    for step in 0..4 {
        let at = now + step;
        peer.receive(at, FRONT, BOOT, &contacts.state_for(at, PEER));
        contacts.receive(at, PEER, PEER_BOOT, &peer.state_for(at, FRONT));
    }
    contacts
}

/// Entries of the front, to which the peer has told this evidence.
fn entries_with(now: Nanos, evidence: &Evidence) -> GossipStore {
    let value = postcard::to_stdvec(evidence).expect("the evidence can be encoded");
    let key = Key { kind: EVIDENCE, id: SERVER };
    let item = GossipEntry { key, version: 1, age_ms: 0, value: Some(value) };
    let delta = Delta { origin: PEER, incarnation: PEER_BOOT, after: 0, to: 1, entries: vec![item] };
    let exchange = GossipMessage {
        echo: Some((BOOT, now)),
        knows: Vec::new(),
        requests_missing: false,
        deltas: vec![delta],
    };
    let mut entries = GossipStore::new(FRONT, 2, BOOT, 100_000, now);
    let contacts = contacts(now);
    // The first round takes the peer's boot as the one whose entries count.
    entries.on(now, &contacts, GossipInput::Round, &mut Vec::new()).expect("a round puts nothing");
    let heard = GossipInput::Received { from: PEER, incarnation: PEER_BOOT, message: exchange };
    let mut acts = Vec::new();
    entries.on(now, &contacts, heard, &mut acts).expect("it only hears");
    assert!(entries.get(now, PEER, key).is_some(), "the evidence is taken: {acts:?}");
    entries
}

/// Feeds twenty attempts at a server, so many of them bad.
fn attempts(verdicts: &mut OutlierDetector, now: Nanos, entries: &GossipStore, server: Server, bad: usize) {
    for attempt in 0..20 {
        let worth = if attempt < bad { SampleQuality::Failed } else { SampleQuality::Healthy };
        let event = Event::Attempt { server, class: CLASS, quality: worth };
        verdicts.on(now, entries, event, &mut Vec::new());
    }
}

/// What the front puts when it looks, with a server that is bad by its own attempts and by the peer's evidence.
fn puts_on_a_bad_server() -> Vec<(Key, Option<String>)> {
    let now = 1_000 * MS;
    let seen = vec![ClassEvidence { class: CLASS, attempts: 200, failures: 180 }];
    let entries = entries_with(now, &Evidence { zone: PEER_ZONE, baseline: 50, classes: seen });
    let mut verdicts = OutlierDetector::new(DetectorConfig::new(FRONT, 2, ZONE)).expect("the terms hold");
    let servers = GOOD_SERVERS.chain([SERVER]).map(|server| (server, true)).collect();
    verdicts.on(now, &entries, Event::Servers(servers), &mut Vec::new());
    attempts(&mut verdicts, now, &entries, SERVER, 18);
    GOOD_SERVERS.for_each(|server| attempts(&mut verdicts, now, &entries, server, 1));
    let mut effects = Vec::new();
    verdicts.on(now, &entries, Event::Evaluate, &mut effects);
    verdicts.on(now + 400 * MS, &entries, Event::Evaluate, &mut effects);
    puts(effects)
}

/// The entries that effects put, with their values in hex.
fn puts(effects: Vec<Effect>) -> Vec<(Key, Option<String>)> {
    let put = |effect| match effect {
        Effect::Put(key, value) => Some((key, value.as_deref().map(hex))),
        _ => None,
    };
    effects.into_iter().filter_map(put).collect()
}

#[test]
fn evidence_as_a_front_puts_it() {
    let value = concat!(
        "c8",         // zone, in one byte
        "32",         // base
        "01",         // seen: length
        "c9c801b401", // seen: class in one byte, attempts, bad
    );
    let expected = (Key { kind: 2, id: SERVER }, Some(value.to_owned()));
    assert_eq!(puts_on_a_bad_server().first(), Some(&expected));
}

#[test]
fn assent_as_a_front_puts_it() {
    let value = concat!(
        "88ef99abc5e88c9111", // subject: server
        "00",                 // subject: scope All
        "c8",                 // zone, in one byte
    );
    let expected = (Key { kind: 3, id: 0x7709_291b_83f6_32e2 }, Some(value.to_owned()));
    assert_eq!(puts_on_a_bad_server().last(), Some(&expected));
}

#[test]
fn trial_as_a_front_puts_it() {
    let entries = GossipStore::new(FRONT, 2, BOOT, 100_000, 0);
    let mut verdicts = OutlierDetector::new(DetectorConfig::new(FRONT, 2, ZONE)).expect("the terms hold");
    let mut effects = Vec::new();
    for worth in [SampleQuality::Healthy, SampleQuality::Healthy, SampleQuality::Failed] {
        verdicts.on(
            0,
            &entries,
            Event::Probed { server: SERVER, class: CLASS, quality: worth },
            &mut effects,
        );
    }
    // How often in a row it did well, in one byte.
    let put = |value: &str| (Key { kind: 4, id: SERVER }, Some(value.to_owned()));
    assert_eq!(puts(effects), [put("01"), put("02"), put("00")]);
}
