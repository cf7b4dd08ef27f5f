//! Golden bytes of membership and gossip messages.
//!
//! Fronts of two versions run side by side during an upgrade, so the encoding must not change
//! unnoticed: types and fields may be renamed, but the order and width of fields and the indices of
//! enum variants must stay. The expected bytes were computed with an independent encoder of the
//! postcard format, not copied from a run. If a test here fails, the format has changed, and
//! `VERSION` in `envelope.rs` must change with it.

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tulipbridge_membership::{
    Delta, Echo, EntryKey, Envelope, EnvelopeCodec, GossipEntry, GossipMessage, Incarnation,
    KnownVersion, PeerId, PeerState,
};

/// Formats bytes as two lower-case hexadecimal digits each.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Asserts that a value is encoded as exactly these bytes, and that they are decoded to an equal
/// value.
fn assert_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, expected: &str) {
    let bytes = postcard::to_stdvec(value).expect("the value can be encoded");
    assert_eq!(hex(&bytes), expected);
    let (decoded, rest) = postcard::take_from_bytes::<T>(&bytes).expect("the bytes can be decoded");
    assert_eq!(&decoded, value);
    assert!(rest.is_empty(), "bytes are left over");
}

fn entry_with_value() -> GossipEntry {
    GossipEntry {
        key: EntryKey { kind: 200, id: 500 },
        version: 131,
        age_ms: 60_000,
        value: Some(vec![0x00, 0xff, 0x7f]),
    }
}

fn deleted_entry() -> GossipEntry {
    GossipEntry {
        key: EntryKey { kind: 2, id: 7 },
        version: 132,
        age_ms: 1,
        value: None,
    }
}

#[test]
fn peer_state_with_all_optional_fields() {
    let state = PeerState {
        sent_at: -1_000,
        echo: Some(Echo {
            incarnation: Incarnation(0x1122_3344_5566_7788),
            sent_at: 70_000,
        }),
        conflicting: Some(Incarnation(300)),
        shutting_down: true,
        reachable: vec![PeerId(5), PeerId(640)],
    };
    assert_golden(
        &state,
        concat!(
            "cf0f",                       // sent_at, as zigzag
            "0188ef99abc5e88c9111e0c508", // echo: present, incarnation, sent_at
            "01ac02",                     // conflicting: present, incarnation
            "01",                         // shutting_down
            "02058005",                   // reachable: length, positions
        ),
    );
}

#[test]
fn peer_state_without_optional_fields() {
    let state = PeerState {
        sent_at: 1_000,
        echo: None,
        conflicting: None,
        shutting_down: false,
        reachable: Vec::new(),
    };
    assert_golden(
        &state,
        concat!(
            "d00f", // sent_at, as zigzag
            "00",   // echo: absent
            "00",   // conflicting: absent
            "00",   // shutting_down
            "00",   // reachable: none
        ),
    );
}

#[test]
fn entry_key() {
    assert_golden(
        &EntryKey { kind: 200, id: 500 },
        concat!(
            "c8",   // kind, in one byte
            "f403", // id
        ),
    );
}

#[test]
fn gossip_entry_with_a_value() {
    assert_golden(
        &entry_with_value(),
        concat!(
            "c8f403",     // key: kind in one byte, id
            "8301",       // version
            "e0d403",     // age_ms
            "010300ff7f", // value: present, length, bytes
        ),
    );
}

#[test]
fn gossip_entry_that_was_deleted() {
    assert_golden(
        &deleted_entry(),
        concat!(
            "0207", // key: kind in one byte, id
            "8401", // version
            "01",   // age_ms
            "00",   // value: absent
        ),
    );
}

#[test]
fn delta_of_two_entries() {
    let delta = Delta {
        origin: PeerId(258),
        incarnation: Incarnation(0x0102_0304_0506_0708),
        after: 129,
        to: 133,
        entries: vec![entry_with_value(), deleted_entry()],
    };
    assert_golden(
        &delta,
        concat!(
            "8202",               // origin
            "888e98a8c0e0808101", // incarnation
            "8101",               // after
            "8501",               // to
            "02",                 // entries: length
            "c8f403",             // first entry, key: kind in one byte, id
            "8301",               // first entry, version
            "e0d403",             // first entry, age_ms
            "010300ff7f",         // first entry, value: present, length, bytes
            "0207",               // second entry, key: kind in one byte, id
            "8401",               // second entry, version
            "01",                 // second entry, age_ms
            "00",                 // second entry, value: absent
        ),
    );
}

#[test]
fn gossip_message_with_all_fields() {
    let delta = Delta {
        origin: PeerId(4),
        incarnation: Incarnation(303),
        after: 5,
        to: 8,
        entries: Vec::new(),
    };
    let message = GossipMessage {
        echo: Some(Echo {
            incarnation: Incarnation(900),
            sent_at: -5,
        }),
        knows: vec![
            KnownVersion {
                origin: PeerId(3),
                incarnation: Incarnation(301),
                version: 4,
            },
            KnownVersion {
                origin: PeerId(513),
                incarnation: Incarnation(6),
                version: 302,
            },
        ],
        requests_missing: true,
        deltas: vec![delta],
    };
    assert_golden(
        &message,
        concat!(
            "01840709",   // echo: present, incarnation, sent_at
            "02",         // knows: length
            "03ad0204",   // knows: origin, incarnation, version
            "810406ae02", // knows: origin, incarnation, version
            "01",         // requests_missing
            "01",         // deltas: length
            "04",         // delta, origin
            "af02",       // delta, incarnation
            "05",         // delta, after
            "08",         // delta, to
            "00",         // delta, entries: none
        ),
    );
}

#[test]
fn empty_gossip_message() {
    let message = GossipMessage {
        echo: None,
        knows: Vec::new(),
        requests_missing: false,
        deltas: Vec::new(),
    };
    assert_golden(
        &message,
        concat!(
            "00", // echo: absent
            "00", // knows: none
            "00", // requests_missing
            "00", // deltas: none
        ),
    );
}

#[test]
fn sealed_envelope() {
    let codec = EnvelopeCodec::new(b"golden key of the fronts").expect("the key is long enough");
    let message = (300u32, "hi".to_owned());
    let envelope = codec
        .seal(PeerId(0x0203), Incarnation(0x1122_3344_5566_7788), &message)
        .expect("the message is short");
    assert_eq!(
        hex(&envelope),
        concat!(
            "544250",                                                           // the letters TBP
            "02",                                                               // version
            "0302",             // the sender's position, little-endian
            "8877665544332211", // the sender's incarnation, little-endian
            "ac02",             // message: the number
            "026869",           // message: the text
            "ec0aea8f85609f24ee632cad84458e383c417725d86d6f4d58a1602c5084316c", // HMAC-SHA256
        ),
    );
    let opened = codec.open::<(u32, String)>(&envelope);
    assert_eq!(
        opened,
        Ok(Envelope {
            from: PeerId(0x0203),
            incarnation: Incarnation(0x1122_3344_5566_7788),
            message
        })
    );
}

#[test]
fn membership_list_digest() {
    // The first eight bytes of the text's SHA-256, big-endian.
    assert_eq!(
        EnvelopeCodec::digest(r#"7|2000000000|100000|["a", "b"]"#),
        0x8251_6146_a3c1_cb43
    );
}
