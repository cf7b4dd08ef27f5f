//! What a testbed consists of, and the limits that its fronts have.

use std::time::Duration;

use crate::chunk_server::ServerBehavior;

/// The limit of a volume, in units a second.
pub const VOLUME_RATE: f64 = 40.0;
/// A volume limit so high that it never holds a request back, in units a second.
pub const UNLIMITED_RATE: f64 = 4_000.0;
/// The burst of a volume's limit, in units.
pub const VOLUME_BURST: f64 = 20.0;
/// Units of one read.
pub const UNITS_PER_READ: f64 = 2.05;
/// Units of the largest request.
pub const MAX_UNITS_PER_REQUEST: f64 = 6.0;

/// How the fronts share the limits of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// They do not communicate: each takes an even part by this number of fronts.
    Even(u32),
    /// By leases between peers.
    Peers,
    /// By leases between peers, where the first half has a roster of itself alone, and the second
    /// one of all.
    HalfUnknown,
}

/// What a testbed consists of.
#[derive(Clone, Copy, Debug)]
pub struct TestbedConfig {
    /// How many fronts there are.
    pub fronts: usize,
    /// How they share limits.
    pub sharing: Sharing,
    /// How many volumes there are; each request is for one of them at random.
    pub volumes: usize,
    /// The limit of each volume, in units a second.
    pub rate: f64,
    /// Further limits of the fleet as the fronts' files have them, as JSON; empty is none.
    pub limits: &'static str,
    /// How many chunk servers there are, each with a shard.
    pub servers: usize,
    /// Over how many zones servers and fronts are spread.
    pub zones: usize,
    /// Requests that write a new object, of a hundred; the others read.
    pub write_percent: u8,
    /// Whether the fronts share outlier detection.
    pub outlier_detection: bool,
    /// How the chunk servers behave at first.
    pub behavior: ServerBehavior,
    /// The seed of the load.
    pub seed: u64,
}

impl TestbedConfig {
    /// So many fronts, one chunk server and one volume.
    pub fn new(fronts: usize, sharing: Sharing, seed: u64) -> TestbedConfig {
        TestbedConfig {
            fronts,
            sharing,
            volumes: 1,
            rate: VOLUME_RATE,
            limits: "",
            servers: 1,
            zones: 1,
            write_percent: 0,
            outlier_detection: false,
            behavior: ServerBehavior::default(),
            seed,
        }
    }

    /// Fronts in two zones that share outlier detection of so many chunk servers, with no limit in
    /// the way of requests. Each server takes `latency` to answer.
    pub fn with_outlier_detection(
        fronts: usize,
        servers: usize,
        latency: Duration,
        seed: u64,
    ) -> TestbedConfig {
        TestbedConfig {
            rate: UNLIMITED_RATE,
            limits: r#"{"starting_server": {"rate": 8, "burst": 11}}"#,
            servers,
            zones: 2,
            write_percent: 50,
            outlier_detection: true,
            behavior: ServerBehavior {
                latency,
                ..ServerBehavior::default()
            },
            ..TestbedConfig::new(fronts, Sharing::Peers, seed)
        }
    }

    /// Whether the fronts communicate with each other.
    pub(crate) fn has_peers(&self) -> bool {
        !matches!(self.sharing, Sharing::Even(_))
    }
}
