//! Golden bytes of the heartbeats that fronts exchange to share limits.
//!
//! Fronts of two versions run side by side during an upgrade, so the encoding must not change:
//! names of types and fields may change, but not their order, their widths and the numbers of enum
//! variants. The expected bytes were derived from the postcard format by an independent encoder,
//! not copied from a run.

use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tulipbridge_fleet_limits::{Demand, GrantInUse, Heartbeat, Lease, LeaseGrant, Limit, Share};
use tulipbridge_membership::{Echo, EnvelopeCodec, Incarnation, PeerId, PeerState};

/// Length of a datagram's header, in bytes.
const HEADER_LENGTH: usize = 14;
/// Length of the digest at the end of a datagram, in bytes.
const DIGEST_LENGTH: usize = 32;

/// Returns the bytes as lower-case hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks that a value is encoded as exactly the expected bytes inside a datagram, and that
/// decoding them gives an equal value.
fn assert_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, expected: &str) {
    let codec = EnvelopeCodec::new(b"golden key of the fronts").expect("the key is long enough");
    let datagram = codec
        .seal(PeerId(1), Incarnation(2), value)
        .expect("the datagram is short");
    assert_eq!(
        hex(&datagram[HEADER_LENGTH..datagram.len() - DIGEST_LENGTH]),
        expected
    );
    let opened = codec
        .open::<T>(&datagram)
        .expect("the datagram can be opened");
    assert_eq!(&opened.message, value);
}

fn grant_of_two_leases() -> LeaseGrant {
    let retries = Lease {
        limit: Limit::Retries,
        share: Share(130),
    };
    let volume = Lease {
        limit: Limit::Volume(131),
        share: Share(132),
    };
    LeaseGrant {
        number: 400,
        duration: -2_500,
        leases: vec![retries, volume],
    }
}

#[test]
fn limit_of_retries() {
    assert_golden(&Limit::Retries, "00");
}

#[test]
fn limit_of_server_load() {
    assert_golden(&Limit::ServerLoad, "01");
}

#[test]
fn limit_of_a_volume() {
    assert_golden(
        &Limit::Volume(0x1122_3344_5566_7788),
        concat!(
            "02",                 // Volume
            "88ef99abc5e88c9111", // the volume's identifier
        ),
    );
}

#[test]
fn demand() {
    assert_golden(
        &Demand {
            limit: Limit::Volume(300),
            milli_units_per_second: 70_000,
        },
        concat!(
            "02ac02", // limit: Volume, its identifier
            "f0a204", // milli_units_per_second
        ),
    );
}

#[test]
fn lease() {
    assert_golden(
        &Lease {
            limit: Limit::ServerLoad,
            share: Share(250_000),
        },
        concat!(
            "01",     // limit: ServerLoad
            "90a10f", // share
        ),
    );
}

#[test]
fn grant_of_leases_of_two_limits() {
    assert_golden(
        &grant_of_two_leases(),
        concat!(
            "9003",       // number
            "8727",       // duration, as zigzag
            "02",         // leases: length
            "008201",     // leases: limit Retries, share
            "0283018401", // leases: limit Volume, its identifier, share
        ),
    );
}

#[test]
fn heartbeat_with_all_fields() {
    let state = PeerState {
        sent_at: 3_000,
        echo: Some(Echo {
            incarnation: Incarnation(301),
            sent_at: -64,
        }),
        conflicting: None,
        shutting_down: true,
        reachable: vec![PeerId(9)],
    };
    let heartbeat = Heartbeat {
        membership_digest: 0x8877_6655_4433_2211,
        revision: 257,
        state,
        established: false,
        is_reply: true,
        claims: vec![PeerId(1), PeerId(2)],
        votes: vec![PeerId(3)],
        settled: vec![PeerId(4), PeerId(640), PeerId(6)],
        demands: vec![Demand {
            limit: Limit::ServerLoad,
            milli_units_per_second: 150,
        }],
        grant_in_use: Some(GrantInUse {
            grantor: Incarnation(302),
            number: 303,
        }),
        grant: grant_of_two_leases(),
    };
    assert_golden(
        &heartbeat,
        concat!(
            "91c4cca1d4cad9bb8801", // membership_digest
            "8102",                 // revision
            "f02e",                 // state, sent_at, as zigzag
            "01ad027f",             // state, echo: present, incarnation, sent_at
            "00",                   // state, conflicting: absent
            "01",                   // state, shutting_down
            "0109",                 // state, reachable: length, peers
            "00",                   // established
            "01",                   // is_reply
            "020102",               // claims: length, peers
            "0103",                 // votes: length, peers
            "0304800506",           // settled: length, peers
            "01",                   // demands: length
            "019601",               // demands: limit ServerLoad, milli_units_per_second
            "01ae02af02",           // grant_in_use: present, incarnation, number
            "9003",                 // grant, number
            "8727",                 // grant, duration, as zigzag
            "02",                   // grant, leases: length
            "008201",               // grant, leases: limit Retries, share
            "0283018401",           // grant, leases: limit Volume, its identifier, share
        ),
    );
}

#[test]
fn heartbeat_without_optional_fields() {
    let heartbeat = Heartbeat {
        membership_digest: 1,
        revision: 2,
        state: PeerState {
            sent_at: 3,
            echo: None,
            conflicting: None,
            shutting_down: false,
            reachable: Vec::new(),
        },
        established: true,
        is_reply: false,
        claims: Vec::new(),
        votes: Vec::new(),
        settled: Vec::new(),
        demands: Vec::new(),
        grant_in_use: None,
        grant: LeaseGrant {
            number: 4,
            duration: 5,
            leases: Vec::new(),
        },
    };
    assert_golden(
        &heartbeat,
        concat!(
            "01",         // membership_digest
            "02",         // revision
            "0600000000", // state: sent_at, all other fields absent, false or empty
            "01",         // established
            "00",         // is_reply
            "00",         // claims: none
            "00",         // votes: none
            "00",         // settled: none
            "00",         // demands: none
            "00",         // grant_in_use: absent
            "040a00",     // grant: number, duration, no leases
        ),
    );
}
