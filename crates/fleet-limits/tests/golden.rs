//! Golden bytes of the beats by which fronts share limits.
//!
//! Fronts of two versions run side by side during an upgrade, so the bytes are a contract: names of types and fields
//! may change, their order, their widths and the numbers of enum variants may not. The expected bytes were worked out
//! from the postcard format by an encoder of its own, not copied from a run.

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tulipbridge_fleet_limits::{Demand, Heartbeat, Lease, LeaseGrant, Limit};
use tulipbridge_membership::{EnvelopeCodec, PeerState};

/// Bytes of a datagram before its content.
const HEAD: usize = 14;
/// Bytes of a datagram after its content.
const DIGEST: usize = 32;

/// Two lower-case digits for each byte.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks that a value has exactly these bytes inside a datagram, and that it is read back as an equal value.
fn assert_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, expected: &str) {
    let seal = EnvelopeCodec::new(b"golden key of the fronts").expect("the key is long enough");
    let datagram = seal.seal(1, 2, value).expect("the datagram is short");
    assert_eq!(hex(&datagram[HEAD..datagram.len() - DIGEST]), expected);
    let opened = seal.open::<T>(&datagram).expect("the datagram can be opened");
    assert_eq!(&opened.message, value);
}

fn loans() -> LeaseGrant {
    let further = Lease { limit: Limit::Retries, share: 130 };
    let volume = Lease { limit: Limit::Volume(131), share: 132 };
    LeaseGrant { number: 400, duration: -2_500, leases: vec![further, volume] }
}

#[test]
fn limit_of_further_attempts() {
    assert_golden(&Limit::Retries, "00");
}

#[test]
fn limit_of_servers() {
    assert_golden(&Limit::ServerLoad, "01");
}

#[test]
fn limit_of_a_volume() {
    assert_golden(
        &Limit::Volume(0x1122_3344_5566_7788),
        concat!(
            "02",                 // Volume
            "88ef99abc5e88c9111", // the volume's name
        ),
    );
}

#[test]
fn ask() {
    assert_golden(
        &Demand { limit: Limit::Volume(300), milli_units_per_second: 70_000 },
        concat!(
            "02ac02", // limit: Volume, its name
            "f0a204", // milli
        ),
    );
}

#[test]
fn loan() {
    assert_golden(
        &Lease { limit: Limit::ServerLoad, share: 250_000 },
        concat!(
            "01",     // limit: Servers
            "90a10f", // part
        ),
    );
}

#[test]
fn loans_of_two_limits() {
    assert_golden(
        &loans(),
        concat!(
            "9003",       // number
            "8727",       // term, as zigzag
            "02",         // parts: length
            "008201",     // parts: limit Further, part
            "0283018401", // parts: limit Volume, its name, part
        ),
    );
}

#[test]
fn beat_with_all_fields() {
    let hello = PeerState {
        sent_at: 3_000,
        echo: Some((301, -64)),
        conflicting: None,
        leaving: true,
        hears: vec![9],
    };
    let beat = Heartbeat {
        roster: 0x8877_6655_4433_2211,
        revision: 257,
        state: hello,
        established: false,
        is_reply: true,
        claims: vec![1, 2],
        votes: vec![3],
        settled: vec![4, 640, 6],
        demands: vec![Demand { limit: Limit::ServerLoad, milli_units_per_second: 150 }],
        grant_in_use: Some((302, 303)),
        grant: loans(),
    };
    assert_golden(
        &beat,
        concat!(
            "91c4cca1d4cad9bb8801", // roster
            "8102",                 // revision
            "f02e",                 // hello, sent, as zigzag
            "01ad027f",             // hello, echo: present, the boot, the moment
            "00",                   // hello, stranger: absent
            "01",                   // hello, leaving
            "0109",                 // hello, hears: length, places
            "00",                   // established
            "01",                   // reply
            "020102",               // wants: length, places
            "0103",                 // agrees: length, places
            "0304800506",           // settled: length, places
            "01",                   // asks: length
            "019601",               // asks: limit Servers, milli
            "01ae02af02",           // uses: present, the boot, the number
            "9003",                 // loans, number
            "8727",                 // loans, term, as zigzag
            "02",                   // loans, parts: length
            "008201",               // loans, parts: limit Further, part
            "0283018401",           // loans, parts: limit Volume, its name, part
        ),
    );
}

#[test]
fn beat_without_optional_fields() {
    let beat = Heartbeat {
        roster: 1,
        revision: 2,
        state: PeerState { sent_at: 3, echo: None, conflicting: None, leaving: false, hears: Vec::new() },
        established: true,
        is_reply: false,
        claims: Vec::new(),
        votes: Vec::new(),
        settled: Vec::new(),
        demands: Vec::new(),
        grant_in_use: None,
        grant: LeaseGrant { number: 4, duration: 5, leases: Vec::new() },
    };
    assert_golden(
        &beat,
        concat!(
            "01",         // roster
            "02",         // revision
            "0600000000", // hello: sent, then nothing
            "01",         // established
            "00",         // reply
            "00",         // wants: none
            "00",         // agrees: none
            "00",         // settled: none
            "00",         // asks: none
            "00",         // uses: absent
            "040a00",     // loans: number, term, no parts
        ),
    );
}
