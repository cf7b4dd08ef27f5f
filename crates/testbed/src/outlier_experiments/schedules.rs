//! Schedules of faults of links and processes with servers that become faulty: which servers are
//! ejected, and which should not be.

use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;
use std::time::Duration;

use fastrand::Rng;
use nix::sys::signal::Signal;
use serde::Serialize;

use super::{healthy_server, ServerFault, LATENCY, LEARNING_TIME, SERVER_FAULTS, ZONES};
use crate::schedule::{Fault, Schedule, Step};
use crate::tcp_proxy::LinkState;
use crate::testbed::{Testbed, TestbedConfig, TestbedError};

/// Chunk servers, one for each shard.
const SERVERS: usize = 8;
/// The most servers that may be ejected at one time, over all fronts.
const MAX_EJECTED: usize = SERVERS / 2;
/// Requests a second of each front, half of them writes of new objects.
const LOAD: u32 = 16;
/// How often the fronts' ejections are polled during the schedule.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How often they are polled after it.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// How long fronts may take to readmit all servers once everything is healthy.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Distinguishes the random choices here from those of the schedule.
const SEED_SALT: u64 = 0x51c4;

/// What one run observed. The serialized names are those of stored results.
#[derive(Clone, Debug, Serialize)]
pub struct OutlierScheduleResult {
    /// The seed.
    pub seed: u64,
    /// How many fronts there were.
    pub fronts: usize,
    /// Faults of links and processes.
    pub faults: usize,
    /// How many servers were faulty.
    #[serde(rename = "ill")]
    pub faulty_servers: usize,
    /// Whether the links of one front to all servers were faulty.
    #[serde(rename = "bad_front")]
    pub has_faulty_front: bool,
    /// The most servers ejected at one time, over all fronts.
    #[serde(rename = "most_out")]
    pub max_ejected: usize,
    /// Ejections of servers that were never faulty, or not for that front, counted at each poll of
    /// each front.
    #[serde(rename = "innocent")]
    pub unjustified_ejections: usize,
    /// Faulty servers that any front ejected.
    #[serde(rename = "found")]
    pub faulty_servers_ejected: usize,
    /// Fronts that still had a server ejected a while after everything was healthy.
    #[serde(rename = "left_out")]
    pub fronts_with_ejections: usize,
}

impl OutlierScheduleResult {
    /// Whether every bound held.
    pub fn is_valid(&self) -> bool {
        self.max_ejected <= MAX_EJECTED
            && self.unjustified_ejections == 0
            && self.fronts_with_ejections == 0
    }
}

/// One line with the labels that earlier versions printed.
impl fmt::Display for OutlierScheduleResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Judged")
            .field("seed", &self.seed)
            .field("fronts", &self.fronts)
            .field("faults", &self.faults)
            .field("ill", &self.faulty_servers)
            .field("bad_front", &self.has_faulty_front)
            .field("most_out", &self.max_ejected)
            .field("innocent", &self.unjustified_ejections)
            .field("found", &self.faulty_servers_ejected)
            .field("left_out", &self.fronts_with_ejections)
            .finish()
    }
}

/// A front of which every link to a healthy server loses pieces.
struct LossyFront {
    front: usize,
    loss_percent: u8,
}

/// A server that is faulty during the whole schedule.
struct FaultyServer {
    server: usize,
    fault: ServerFault,
}

/// Which servers and fronts are faulty, sampled from the seed of the schedule.
struct Scenario {
    faulty_servers: Vec<FaultyServer>,
    lossy_front: Option<LossyFront>,
}

impl Scenario {
    /// The scenario of a seed: up to two faulty servers, and a lossy front in a third of all.
    fn sample(seed: u64, fronts: usize) -> Scenario {
        let mut rng = Rng::with_seed(seed ^ SEED_SALT);
        let mut faulty_servers: Vec<FaultyServer> = Vec::new();
        for _ in 0..rng.usize(0..3) {
            let server = rng.usize(0..SERVERS);
            if faulty_servers.iter().all(|faulty| faulty.server != server) {
                let fault = SERVER_FAULTS[rng.usize(0..SERVER_FAULTS.len())];
                faulty_servers.push(FaultyServer { server, fault });
            }
        }
        let front = (rng.u8(0..3) == 0).then(|| rng.usize(0..fronts));
        let loss_percent = rng.u8(10..40);
        let lossy_front = front.map(|front| LossyFront {
            front,
            loss_percent,
        });
        Scenario {
            faulty_servers,
            lossy_front,
        }
    }

    fn is_faulty(&self, server: usize) -> bool {
        self.faulty_servers
            .iter()
            .any(|faulty| faulty.server == server)
    }

    /// Whether a front has a reason to eject a server.
    fn justifies(&self, server: usize, front: usize) -> bool {
        let zone = front % ZONES;
        self.faulty_servers
            .iter()
            .any(|faulty| faulty.server == server && faulty.fault.concerns_zone(zone))
    }

    /// Makes the servers and the links of the scenario faulty.
    async fn inject(&self, testbed: &mut Testbed, fronts: usize) -> Result<(), TestbedError> {
        for FaultyServer { server, fault } in &self.faulty_servers {
            fault.inject(testbed, *server, fronts).await?;
        }
        let Some(LossyFront {
            front,
            loss_percent,
        }) = self.lossy_front
        else {
            return Ok(());
        };
        for server in (0..SERVERS).filter(|server| !self.is_faulty(*server)) {
            let state = LinkState::Lossy(loss_percent);
            testbed
                .inject(&Fault::ServerLink {
                    front: Some(front),
                    server,
                    state,
                })
                .await?;
        }
        Ok(())
    }
}

/// What the fronts ejected during the schedule.
#[derive(Default)]
struct Ejections {
    max: usize,
    unjustified: usize,
    faulty: BTreeSet<usize>,
}

impl Ejections {
    /// Polls every front once.
    async fn poll(&mut self, testbed: &Testbed, scenario: &Scenario, fronts: usize) {
        let mut ejected: BTreeSet<usize> = BTreeSet::new();
        for front in 0..fronts {
            for name in testbed.ejected_servers(front).await {
                let server = name.trim_start_matches("s-").parse().unwrap_or(usize::MAX);
                ejected.insert(server);
                if scenario.justifies(server, front) {
                    self.faulty.insert(server);
                } else {
                    self.unjustified += 1;
                }
            }
        }
        self.max = self.max.max(ejected.len());
    }
}

/// Runs a schedule of faults of links and processes with servers that become faulty, and in a third
/// of all schedules with a front whose links to all servers lose pieces.
///
/// # Errors
/// If the testbed fails.
pub async fn run_outlier_schedule(
    program: &Path,
    schedule: &Schedule,
) -> Result<OutlierScheduleResult, TestbedError> {
    let seed = schedule.seed;
    let fronts = schedule.fronts;
    let config = TestbedConfig::with_outlier_detection(fronts, SERVERS, LATENCY, seed);
    let mut testbed = Testbed::start_all(program, config).await?;
    testbed.wait_until_joined().await;
    testbed.set_load_of_all(LOAD);
    let scenario = Scenario::sample(seed, fronts);
    tokio::time::sleep(LEARNING_TIME / 2).await;
    scenario.inject(&mut testbed, fronts).await?;
    let steps: Vec<Step> = schedule
        .steps
        .iter()
        .filter(|step| is_included(&step.fault))
        .cloned()
        .collect();
    let ejections = run_steps(&mut testbed, &scenario, &steps, fronts, schedule.duration).await?;
    heal(&mut testbed, fronts).await?;
    let fronts_with_ejections = wait_for_readmission(&testbed, fronts).await;
    Ok(OutlierScheduleResult {
        seed,
        fronts,
        faults: steps.len(),
        faulty_servers: scenario.faulty_servers.len(),
        has_faulty_front: scenario.lossy_front.is_some(),
        max_ejected: ejections.max,
        unjustified_ejections: ejections.unjustified,
        faulty_servers_ejected: ejections.faulty.len(),
        fronts_with_ejections,
    })
}

/// Whether a fault of the schedule is one of links and processes.
fn is_included(fault: &Fault) -> bool {
    let is_excluded = matches!(
        fault,
        Fault::Load { .. }
            | Fault::DuplicateProcess { .. }
            | Fault::Roster { .. }
            | Fault::Upgrade { .. }
    );
    !is_excluded
}

/// Injects the steps at their times and polls the fronts in between.
async fn run_steps(
    testbed: &mut Testbed,
    scenario: &Scenario,
    steps: &[Step],
    fronts: usize,
    duration: Duration,
) -> Result<Ejections, TestbedError> {
    let mut ejections = Ejections::default();
    let mut steps = steps.iter().peekable();
    let start = testbed.elapsed();
    while testbed.elapsed() < start + duration {
        loop {
            let now = testbed.elapsed() - start;
            let is_due = |step: &&Step| now >= step.at;
            let Some(step) = steps.next_if(is_due) else {
                break;
            };
            match &step.fault {
                // Only the links between fronts are healed: the servers stay faulty.
                Fault::Heal => {
                    testbed
                        .inject(&Fault::Partition { side: Vec::new() })
                        .await?
                }
                fault => testbed.inject(fault).await?,
            }
        }
        ejections.poll(testbed, scenario, fronts).await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(ejections)
}

/// Heals every link and server, and resumes every front that is paused.
async fn heal(testbed: &mut Testbed, fronts: usize) -> Result<(), TestbedError> {
    testbed
        .inject_all(&[Fault::Heal, Fault::NO_DATAGRAM_FAULTS])
        .await?;
    let servers: Vec<Fault> = (0..SERVERS).map(healthy_server).collect();
    testbed.inject_all(&servers).await?;
    (0..fronts).for_each(|front| testbed.signal(front, Signal::SIGCONT));
    Ok(())
}

/// Waits until no front has a server ejected; returns how many still have after the timeout.
async fn wait_for_readmission(testbed: &Testbed, fronts: usize) -> usize {
    let deadline = testbed.elapsed() + RECOVERY_TIMEOUT;
    loop {
        tokio::time::sleep(RECOVERY_POLL_INTERVAL).await;
        let mut with_ejections = 0;
        for front in 0..fronts {
            with_ejections += usize::from(!testbed.ejected_servers(front).await.is_empty());
        }
        if with_ejections == 0 || testbed.elapsed() >= deadline {
            return with_ejections;
        }
    }
}
