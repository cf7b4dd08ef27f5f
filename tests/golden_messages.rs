//! Golden bytes of whole datagrams between fronts, and the numbers by which fronts find that they
//! agree: the digest of their roster and those of servers.
//!
//! Fronts of two versions run side by side during an upgrade, so the bytes and the numbers are a
//! contract: names of types and fields may change, these may not. The expected ones were worked out
//! from the format by an encoder of its own, not copied from a run. What is inside a datagram is
//! pinned field by field in the crates' own `golden.rs`.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tulipbridge::cluster::config::ClusterConfig;
use tulipbridge::cluster::ejections::{EjectionMetrics, Ejections};
use tulipbridge::exchange::AttemptKey;
use tulipbridge::request_tracker::Input;
use tulipbridge::telemetry::metrics::Metrics;
use tulipbridge::{EndpointState, NodeInfo, Outcome, UpdateScope};
use tulipbridge_core::{NodeId, RequestId, ShardId};
use tulipbridge_fleet_limits::{Demand, GrantInUse, Heartbeat, Lease, LeaseGrant, Limit, Share};
use tulipbridge_membership::{
    Delta, Echo, EntryKey, Envelope, EnvelopeCodec, GossipEntry, GossipMessage, GossipStore,
    Incarnation, KnownVersion, PeerId, PeerState,
};
use tulipbridge_outlier_detection::{DetectorConfig, ZoneId};

/// A copy of the private message type of the program: the order of the variants is part of the
/// format. `program_sends_and_receives_the_golden_format` checks this copy against the running
/// program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    Heartbeat(Box<Heartbeat>),
    Gossip(GossipMessage),
}

const KEY: &[u8] = b"golden key of the fronts";
/// Offset of the message in a datagram.
const MESSAGE_OFFSET: usize = 14;
/// First byte of a heartbeat message.
const HEARTBEAT_VARIANT: u8 = 0;
/// First byte of a gossip message.
const GOSSIP_VARIANT: u8 = 1;

fn codec() -> EnvelopeCodec {
    EnvelopeCodec::new(KEY).expect("the key is long enough")
}

/// Two lower-case digits for each byte.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks that a message is encoded as exactly this datagram, and that decoding returns an equal
/// message.
fn assert_golden(message: &Message, expected: &str) {
    let datagram = codec()
        .seal(PeerId(0x0203), Incarnation(0x1122_3344_5566_7788), message)
        .expect("the datagram is short");
    assert_eq!(hex(&datagram), expected);
    let envelope = codec().open::<Message>(&datagram);
    assert_eq!(
        envelope,
        Ok(Envelope {
            from: PeerId(0x0203),
            incarnation: Incarnation(0x1122_3344_5566_7788),
            message: message.clone()
        })
    );
}

/// A heartbeat in which every field has a value of its own.
fn distinct_heartbeat() -> Heartbeat {
    let state = PeerState {
        sent_at: 3_000,
        echo: Some(Echo {
            incarnation: Incarnation(301),
            sent_at: -64,
        }),
        conflicting: Some(Incarnation(305)),
        shutting_down: true,
        reachable: vec![PeerId(9)],
    };
    let volume = Lease {
        limit: Limit::Volume(131),
        share: Share(132),
    };
    Heartbeat {
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
        grant: LeaseGrant {
            number: 400,
            duration: -2_500,
            leases: vec![volume],
        },
    }
}

#[test]
fn heartbeat_datagram() {
    assert_golden(
        &Message::Heartbeat(Box::new(distinct_heartbeat())),
        concat!(
            "54425002",             // the letters TBP, version
            "0302",                 // the sender's peer id, low byte first
            "8877665544332211",     // the sender's incarnation, low byte first
            "00",                   // message variant: Heartbeat
            "91c4cca1d4cad9bb8801", // membership_digest
            "8102",                 // revision
            "f02e",                 // state: sent_at
            "01ad027f",             // state: echo
            "01b102",               // state: conflicting
            "01",                   // state: shutting_down
            "0109",                 // state: reachable
            "00",                   // established
            "01",                   // is_reply
            "020102",               // claims
            "0103",                 // votes
            "0304800506",           // settled
            "01019601",             // demands: ServerLoad
            "01ae02af02",           // grant_in_use
            "90038727",             // grant: number, duration
            "010283018401",         // grant: lease of Volume
            "3d1a5913e0dc74ad62649852a3e9405eecb4fcd2c6116001cec6165b35d99cfb", // HMAC-SHA256 of all before
        ),
    );
}

#[test]
fn gossip_datagram() {
    let key = EntryKey { kind: 200, id: 500 };
    let entry = GossipEntry {
        key,
        version: 131,
        age_ms: 60_000,
        value: Some(vec![0x00, 0xff]),
    };
    let delta = Delta {
        origin: PeerId(4),
        incarnation: Incarnation(303),
        after: 5,
        to: 8,
        entries: vec![entry],
    };
    let gossip = GossipMessage {
        echo: Some(Echo {
            incarnation: Incarnation(900),
            sent_at: -5,
        }),
        knows: vec![KnownVersion {
            origin: PeerId(513),
            incarnation: Incarnation(6),
            version: 302,
        }],
        requests_missing: true,
        deltas: vec![delta],
    };
    assert_golden(
        &Message::Gossip(gossip),
        concat!(
            "54425002",                   // the letters TBP, version
            "0302",                       // the sender's peer id, low byte first
            "8877665544332211",           // the sender's incarnation, low byte first
            "01",                         // message variant: Gossip
            "01840709",                   // echo
            "01810406ae02",               // knows
            "01",                         // requests_missing
            "0104af020508",               // delta: origin, incarnation, after, to
            "01c8f4038301e0d403010200ff", // entry: key, version, age, value
            "58a2e4806132debea561b818838336f5d340ae10eb7770f847e9a89c13a79bbd", // HMAC-SHA256 of all before
        ),
    );
}

/// The digest of the roster that the front `a` reads from `peers` with `extra_fields` in it.
fn roster_digest(extra_fields: &str) -> u64 {
    let peers = format!(
        r#"{{"listen": "127.0.0.1:1", "key_file": "k", "revision": 7, "life_ms": 3000, "floor": 0.25, {extra_fields}
        "roster": [{{"name": "b", "address": "127.0.0.1:2", "zone": "east"}},
        {{"name": "a", "address": "127.0.0.1:3", "zone": "west"}}]}}"#
    );
    let value = simd_json::to_owned_value(&mut peers.into_bytes()).expect("it is JSON");
    ClusterConfig::read(&value, "a")
        .expect("the peers can be read")
        .limits_config
        .membership_digest
}

#[test]
fn roster_digest_without_ejections() {
    let digested_text = r#"7|3000000000|250000|["a", "b"]"#;
    assert_eq!(EnvelopeCodec::digest(digested_text), 0x21a1_d7fc_80f5_9db3);
    assert_eq!(roster_digest(""), 0x21a1_d7fc_80f5_9db3);
}

#[test]
fn roster_digest_with_ejections() {
    // The digested text has the names of a type and its fields in it: they are part of the format.
    let digested_text = r#"7|3000000000|250000|["a", "b"]|Config { most_out: 0.25, witnesses: 3 }|["east", "west"]|[1, 0]"#;
    assert_eq!(EnvelopeCodec::digest(digested_text), 0x9a5d_abd6_94d8_0079);
    assert_eq!(
        roster_digest(r#""verdicts": {"most_out": 0.25, "witnesses": 3},"#),
        0x9a5d_abd6_94d8_0079
    );
}

/// A server of the endpoint list.
fn server(node: usize, started_at: i64) -> NodeInfo {
    NodeInfo {
        node: NodeId(node),
        zone: 0,
        shard: ShardId(0),
        state: EndpointState::Up,
        started_at,
    }
}

#[test]
fn server_ids_in_entries() {
    // A server's id is the digest of its name and its start time, which all fronts get from
    // discovery.
    assert_eq!(EnvelopeCodec::digest("s-1|77000000"), 0x6a76_f700_4058_78ab);
    let config = DetectorConfig::new(PeerId(0), 3, ZoneId(0));
    let mut ejections = Ejections::new(config, EjectionMetrics::new(&Metrics::new()))
        .expect("the configuration is valid");
    let servers = [server(0, 1), server(1, 77_000_000), server(2, 3)];
    ejections.update_endpoints(UpdateScope::Replace, &servers, |node| format!("s-{node}"));
    for id in 0..60 {
        let node = id as usize % servers.len();
        let outcome = if node == 1 {
            Outcome::Error
        } else {
            Outcome::Served
        };
        ejections.attempt_sent(
            0,
            AttemptKey {
                request: RequestId(id),
                attempt: 0,
            },
            NodeId(node),
            0,
            true,
        );
        ejections.observe_input(
            1_000,
            &Input::AttemptEnded {
                id: RequestId(id),
                attempt: 0,
                outcome,
                observed_use: 0.0,
                foreign_units: 0.0,
            },
        );
    }
    let changes = ejections.evaluate(
        2_000,
        0,
        &GossipStore::new(PeerId(0), 3, Incarnation(1), 100_000, 0),
    );
    let keys: Vec<EntryKey> = changes.entries.iter().map(|change| change.key).collect();
    assert_eq!(
        keys,
        [EntryKey {
            kind: 2,
            id: 0x6a76_f700_4058_78ab
        }]
    );
}

/// How long the program may take for anything here.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The incarnation of the peer that the test plays; the program is peer 0 and the played peer is
/// peer 1.
const PEER_INCARNATION: Incarnation = Incarnation(77);

/// The program as the front `alpha`, with a peer `beta` that the test plays.
struct Program {
    child: Child,
    folder: PathBuf,
    console: SocketAddr,
    peers: SocketAddr,
}

impl Program {
    fn start(beta: SocketAddr) -> Program {
        let folder =
            std::env::temp_dir().join(format!("tulipbridge-golden-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let key = folder.join("key");
        std::fs::write(&key, KEY).expect("written");
        let config = format!(
            r#"{{"name": "alpha", "listen": "127.0.0.1:0", "console": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 256}},
            "known": {{"generation": 1, "reset": true, "instances": []}},
            "peers": {{"listen": "127.0.0.1:0", "key_file": "{}", "roster": [
                {{"name": "alpha", "address": "127.0.0.1:1"}}, {{"name": "beta", "address": "{beta}"}}]}},
            "settings": {}}}"#,
            key.display(),
            include_str!("scenario/settings.json"),
        );
        let file = folder.join("front.json");
        std::fs::write(&file, config).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipbridge"));
        command
            .env("BALANCER_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        let (mut console, mut peers, mut output) = (None, None, String::new());
        while console.is_none() || peers.is_none() {
            let mut line = String::new();
            assert!(
                log.read_line(&mut line).expect("a line of the log") > 0,
                "it ended: {output}"
            );
            console = console.or_else(|| address_after("console on ", &line));
            peers = peers.or_else(|| address_after("peers at ", &line));
            output += &line;
        }
        // Later output is read and discarded, so that the pipe never fills.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        let (console, peers) = (console.expect("found"), peers.expect("found"));
        Program {
            child,
            folder,
            console,
            peers,
        }
    }

    /// The console's status of the peers.
    fn status(&self) -> String {
        let mut stream = TcpStream::connect(self.console).expect("the console takes connections");
        let request = b"GET /status/peers HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
        stream.write_all(request).expect("the request goes out");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .expect("the answer comes");
        response
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn address_after(prefix: &str, line: &str) -> Option<SocketAddr> {
    line.rsplit_once(prefix)
        .and_then(|(_, address)| address.trim().parse().ok())
}

/// Receives the next datagram of the program, which must equal the golden encoding of its message
/// byte for byte.
fn receive_envelope(socket: &UdpSocket) -> Envelope<Message> {
    let mut bytes = vec![0; 65_536];
    let length = socket.recv(&mut bytes).expect("the program sends");
    let datagram = &bytes[..length];
    let envelope = codec()
        .open::<Message>(datagram)
        .expect("the envelope is valid");
    let variant = if matches!(envelope.message, Message::Heartbeat(_)) {
        HEARTBEAT_VARIANT
    } else {
        GOSSIP_VARIANT
    };
    assert_eq!(datagram[MESSAGE_OFFSET], variant);
    assert_eq!(envelope.from, PeerId(0));
    let encoded = codec()
        .seal(envelope.from, envelope.incarnation, &envelope.message)
        .expect("it is short");
    assert_eq!(hex(&encoded), hex(datagram));
    envelope
}

/// A heartbeat of the peer that acknowledges one of the program.
fn heartbeat_reply(heartbeat: &Heartbeat, incarnation: Incarnation, sent_at: i64) -> Message {
    let echo = Some(Echo {
        incarnation,
        sent_at: heartbeat.state.sent_at,
    });
    let state = PeerState {
        sent_at,
        echo,
        ..PeerState::default()
    };
    let (membership_digest, revision) = (heartbeat.membership_digest, heartbeat.revision);
    Message::Heartbeat(Box::new(Heartbeat {
        membership_digest,
        revision,
        state,
        ..Heartbeat::default()
    }))
}

/// Gossip of the peer with the entry of its program version.
fn version_gossip(heartbeat: &Heartbeat, incarnation: Incarnation) -> Message {
    let key = EntryKey { kind: 0, id: 0 };
    let entry = GossipEntry {
        key,
        version: 1,
        age_ms: 0,
        value: Some(b"golden".to_vec()),
    };
    let delta = Delta {
        origin: PeerId(1),
        incarnation: PEER_INCARNATION,
        after: 0,
        to: 1,
        entries: vec![entry],
    };
    let echo = Some(Echo {
        incarnation,
        sent_at: heartbeat.state.sent_at,
    });
    Message::Gossip(GossipMessage {
        echo,
        knows: Vec::new(),
        requests_missing: false,
        deltas: vec![delta],
    })
}

/// Asserts that the first entry of the program is its version, under the key 0 of the kind 0.
fn assert_own_version(incarnation: Incarnation, delta: &Delta) {
    let [entry] = &delta.entries[..] else {
        panic!("one item: {delta:?}")
    };
    assert_eq!(
        (delta.incarnation, delta.after, delta.to),
        (incarnation, 0, 1)
    );
    assert_eq!((entry.key, entry.version), (EntryKey { kind: 0, id: 0 }, 1));
    assert_eq!(
        entry.value.as_deref(),
        Some(env!("CARGO_PKG_VERSION").as_bytes())
    );
}

#[test]
fn program_sends_and_receives_the_golden_format() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket
        .set_read_timeout(Some(TIMEOUT))
        .expect("it can time out");
    let program = Program::start(socket.local_addr().expect("it has an address"));
    let send = |message: &Message| {
        let datagram = codec()
            .seal(PeerId(1), PEER_INCARNATION, message)
            .expect("it is short");
        socket
            .send_to(&datagram, program.peers)
            .expect("it goes out");
    };
    let deadline = Instant::now() + TIMEOUT;
    let (mut heartbeats_received, mut first_delta) = (0, None);
    // The program gossips only after a heartbeat of the peer, and shows the version only after the
    // gossip with it.
    while first_delta.is_none() || !program.status().contains(r#""version":"golden""#) {
        assert!(
            Instant::now() < deadline,
            "delta: {first_delta:?}, status: {}",
            program.status()
        );
        let Envelope {
            incarnation,
            message,
            ..
        } = receive_envelope(&socket);
        match message {
            Message::Heartbeat(heartbeat) => {
                heartbeats_received += 1;
                send(&heartbeat_reply(
                    &heartbeat,
                    incarnation,
                    heartbeats_received,
                ));
                send(&version_gossip(&heartbeat, incarnation));
            }
            Message::Gossip(gossip) => {
                let own_delta = gossip
                    .deltas
                    .into_iter()
                    .find(|delta| delta.origin == PeerId(0));
                first_delta = first_delta.or(own_delta.map(|delta| (incarnation, delta)));
            }
        }
    }
    let (incarnation, delta) = first_delta.expect("entries came");
    assert_own_version(incarnation, &delta);
}
