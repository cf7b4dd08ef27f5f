//! The parameters of a soak run, and the configuration file of its fronts.

use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings that all fronts have, before the numbers of servers and fronts are put in.
const SETTINGS: &str = include_str!("../settings.json");
/// The multiplier that makes the seeds of fronts differ.
const SEED_FACTOR: u64 = 31;
/// The seed in a configuration file is below this bound: it has at most eight hexadecimal digits.
const SEED_BOUND: u64 = 0xffff_ffff;

/// The parameters of one run.
#[derive(Clone, Debug)]
pub struct SoakSetup {
    /// The program under test.
    pub program: PathBuf,
    /// The seed from which faults and requests are sampled.
    pub seed: u64,
    /// Whether no fault is injected.
    pub calm: bool,
    /// How many fronts there are.
    pub fronts: usize,
    /// How many chunk servers there are, each with a shard.
    pub servers: usize,
}

impl SoakSetup {
    /// The text of the configuration file of a front. `endpoint_list` is the cached endpoint list
    /// that it starts with, as JSON.
    pub(super) fn front_config(
        &self,
        front: usize,
        discovery: SocketAddr,
        endpoint_list: &str,
    ) -> String {
        let seed = self
            .seed
            .wrapping_mul(SEED_FACTOR)
            .wrapping_add(front as u64)
            % SEED_BOUND;
        let settings = self.settings();
        format!(
            r#"{{"name": "soak-{front}", "listen": "127.0.0.1:0", "console": "127.0.0.1:0", "seed": "{seed:x}",
        "discovery": "{discovery}", "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 256}},
        "known": {endpoint_list}, "settings": {settings}}}"#,
        )
    }

    /// The settings without a volume limit, for this number of servers and fronts.
    fn settings(&self) -> String {
        let shards = format!("\"Shards\": {},", self.servers);
        let balancers = format!("\"Balancers\": {}", self.fronts);
        SETTINGS
            .replace("\"CeilingRate\": 40.0", "\"CeilingRate\": 0.0")
            .replace("\"Shards\": 1,", &shards)
            .replace("\"Balancers\": 4", &balancers)
    }
}
