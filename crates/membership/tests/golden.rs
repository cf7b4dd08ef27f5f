//! Golden bytes of what fronts tell each other about themselves and of the entries that they exchange.
//!
//! Fronts of two versions run side by side during an upgrade, so the bytes are a contract: names of types and fields
//! may change, their order, their widths and the numbers of enum variants may not. The expected bytes were worked out
//! from the postcard format by an encoder of its own, not copied from a run. Where a test here fails, the format has changed, and
//! `VERSION` in `seal.rs` must change with it.

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tulipbridge_membership::{Delta, Envelope, EnvelopeCodec, GossipEntry, GossipMessage, Key, PeerState};

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

fn item_with_value() -> GossipEntry {
    GossipEntry {
        key: Key { kind: 200, id: 500 },
        version: 131,
        age_ms: 60_000,
        value: Some(vec![0x00, 0xff, 0x7f]),
    }
}

fn item_taken_away() -> GossipEntry {
    GossipEntry { key: Key { kind: 2, id: 7 }, version: 132, age_ms: 1, value: None }
}

#[test]
fn hello_with_all_optional_fields() {
    let hello = PeerState {
        sent_at: -1_000,
        echo: Some((0x1122_3344_5566_7788, 70_000)),
        conflicting: Some(300),
        leaving: true,
        hears: vec![5, 640],
    };
    assert_golden(
        &hello,
        concat!(
            "cf0f",                       // sent, as zigzag
            "0188ef99abc5e88c9111e0c508", // echo: present, the boot, the moment
            "01ac02",                     // stranger: present, the boot
            "01",                         // leaving
            "02058005",                   // hears: length, places
        ),
    );
}

#[test]
fn hello_without_optional_fields() {
    let hello =
        PeerState { sent_at: 1_000, echo: None, conflicting: None, leaving: false, hears: Vec::new() };
    assert_golden(
        &hello,
        concat!(
            "d00f", // sent, as zigzag
            "00",   // echo: absent
            "00",   // stranger: absent
            "00",   // leaving
            "00",   // hears: none
        ),
    );
}

#[test]
fn key_of_an_entry() {
    assert_golden(
        &Key { kind: 200, id: 500 },
        concat!(
            "c8",   // kind, in one byte
            "f403", // id
        ),
    );
}

#[test]
fn item_that_has_a_value() {
    assert_golden(
        &item_with_value(),
        concat!(
            "c8f403",     // key: kind in one byte, id
            "8301",       // version
            "e0d403",     // age_ms
            "010300ff7f", // value: present, length, bytes
        ),
    );
}

#[test]
fn item_that_was_taken_away() {
    assert_golden(
        &item_taken_away(),
        concat!(
            "0207", // key: kind in one byte, id
            "8401", // version
            "01",   // age_ms
            "00",   // value: absent
        ),
    );
}

#[test]
fn delta_of_two_items() {
    let delta = Delta {
        origin: 258,
        incarnation: 0x0102_0304_0506_0708,
        after: 129,
        to: 133,
        entries: vec![item_with_value(), item_taken_away()],
    };
    assert_golden(
        &delta,
        concat!(
            "8202",               // origin
            "888e98a8c0e0808101", // boot
            "8101",               // after
            "8501",               // to
            "02",                 // items: length
            "c8f403",             // first item, key: kind in one byte, id
            "8301",               // first item, version
            "e0d403",             // first item, age_ms
            "010300ff7f",         // first item, value: present, length, bytes
            "0207",               // second item, key: kind in one byte, id
            "8401",               // second item, version
            "01",                 // second item, age_ms
            "00",                 // second item, value: absent
        ),
    );
}

#[test]
fn exchange_with_all_fields() {
    let delta = Delta { origin: 4, incarnation: 303, after: 5, to: 8, entries: Vec::new() };
    let exchange = GossipMessage {
        echo: Some((900, -5)),
        knows: vec![(3, 301, 4), (513, 6, 302)],
        requests_missing: true,
        deltas: vec![delta],
    };
    assert_golden(
        &exchange,
        concat!(
            "01840709",   // echo: present, the boot, the moment
            "02",         // knows: length
            "03ad0204",   // knows: place, boot, version
            "810406ae02", // knows: place, boot, version
            "01",         // asks
            "01",         // deltas: length
            "04",         // delta, origin
            "af02",       // delta, boot
            "05",         // delta, after
            "08",         // delta, to
            "00",         // delta, items: none
        ),
    );
}

#[test]
fn exchange_that_is_empty() {
    let exchange =
        GossipMessage { echo: None, knows: Vec::new(), requests_missing: false, deltas: Vec::new() };
    assert_golden(
        &exchange,
        concat!(
            "00", // echo: absent
            "00", // knows: none
            "00", // asks
            "00", // deltas: none
        ),
    );
}

#[test]
fn sealed_datagram() {
    let seal = EnvelopeCodec::new(b"golden key of the fronts").expect("the key is long enough");
    let content = (300u32, "hi".to_owned());
    let datagram = seal.seal(0x0203, 0x1122_3344_5566_7788, &content).expect("the datagram is short");
    assert_eq!(
        hex(&datagram),
        concat!(
            "544250",                                                           // the letters TBP
            "02",                                                               // version
            "0302",             // the sender's place, low byte first
            "8877665544332211", // the sender's boot, low byte first
            "ac02",             // content: the number
            "026869",           // content: the text
            "ec0aea8f85609f24ee632cad84458e383c417725d86d6f4d58a1602c5084316c", // HMAC-SHA256 of all before
        ),
    );
    let opened = seal.open::<(u32, String)>(&datagram);
    assert_eq!(opened, Ok(Envelope { from: 0x0203, incarnation: 0x1122_3344_5566_7788, message: content }));
}

#[test]
fn digest_of_a_roster() {
    // The first eight bytes of the text's SHA-256, the first one highest.
    assert_eq!(EnvelopeCodec::digest(r#"7|2000000000|100000|["a", "b"]"#), 0x8251_6146_a3c1_cb43);
}
