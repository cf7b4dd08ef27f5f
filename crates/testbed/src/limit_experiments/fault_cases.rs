//! Named faults at four fronts: what they serve during the fault and after it, and whether the
//! limit holds.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{HEALED_LOAD, HEALED_SPAN, RECORDING_SLACK, SETTLE_TIME};
use crate::schedule::{Fault, Schedule, Step};
use crate::testbed::{Sharing, Testbed, TestbedConfig, TestbedError, WindowUsage};

/// How many fronts there are.
const FRONTS: usize = 4;
/// How long a case lasts.
const DURATION: Duration = Duration::from_secs(9);
/// How long fronts have to find each other where not all of them can.
const PARTIAL_JOIN_TIME: Duration = Duration::from_secs(4);
/// For how long the leaseholder is paused: longer than its leases last.
const LEASEHOLDER_PAUSE: Duration = Duration::from_millis(4_500);
/// Forged datagrams a second.
const DATAGRAMS_PER_SECOND: u32 = 1_000;
/// How many volumes the case with many has.
const MANY_VOLUMES: usize = 300;
/// The limit of each of them, in units a second.
const MANY_VOLUMES_RATE: f64 = 2.0;
/// Lengths of the windows that are compared with the limit, in milliseconds.
pub const WINDOWS_MS: [u64; 5] = [100, 300, 1_000, 3_000, 10_000];

/// A named fault. The serialized names are those of stored results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultCase {
    /// The link from one front to another is cut, one way.
    OneWayCut,
    /// Two fronts are partitioned from the other two, while the load moves from one side to the
    /// other and back.
    #[serde(rename = "split_in_half")]
    PartitionInHalf,
    /// One front is partitioned from the other three, with the same load.
    #[serde(rename = "split_one_off")]
    PartitionOfOne,
    /// The front that uses nearly all of the limit is paused for longer than its leases last, and
    /// resumes.
    #[serde(rename = "holder_stopped")]
    LeaseholderPaused,
    /// Fronts are killed, one after another, while they grant and take leases, and are started
    /// again at once.
    #[serde(rename = "killed_between")]
    RollingKills,
    /// Datagrams are lost, duplicated and delayed while fronts restart.
    #[serde(rename = "storm_and_restarts")]
    DatagramFaultsAndRestarts,
    /// A second process runs with a front's name.
    #[serde(rename = "twin")]
    DuplicateProcess,
    /// Half of the fronts have a roster that does not name the other half.
    #[serde(rename = "half_unknown")]
    PartialRosters,
    /// 300 volumes are at their limits at once.
    ManyVolumes,
    /// Thousands of datagrams a second arrive that no front has sent.
    #[serde(rename = "strangers")]
    UnauthenticatedDatagrams,
    /// A second version takes over from each front in turn, under load, at its addresses.
    #[serde(rename = "upgrades")]
    RollingUpgrades,
}

/// All of them.
pub const FAULT_CASES: [FaultCase; 11] = [
    FaultCase::OneWayCut,
    FaultCase::PartitionInHalf,
    FaultCase::PartitionOfOne,
    FaultCase::LeaseholderPaused,
    FaultCase::RollingKills,
    FaultCase::DatagramFaultsAndRestarts,
    FaultCase::DuplicateProcess,
    FaultCase::PartialRosters,
    FaultCase::ManyVolumes,
    FaultCase::UnauthenticatedDatagrams,
    FaultCase::RollingUpgrades,
];

/// The label that earlier versions printed.
impl fmt::Display for FaultCase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FaultCase::OneWayCut => "OneWayCut",
            FaultCase::PartitionInHalf => "SplitInHalf",
            FaultCase::PartitionOfOne => "SplitOneOff",
            FaultCase::LeaseholderPaused => "HolderStopped",
            FaultCase::RollingKills => "KilledBetween",
            FaultCase::DatagramFaultsAndRestarts => "StormAndRestarts",
            FaultCase::DuplicateProcess => "Twin",
            FaultCase::PartialRosters => "HalfUnknown",
            FaultCase::ManyVolumes => "ManyVolumes",
            FaultCase::UnauthenticatedDatagrams => "Strangers",
            FaultCase::RollingUpgrades => "Upgrades",
        })
    }
}

/// What one run observed. The serialized names are those of stored results.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultCaseResult {
    /// The case.
    pub case: FaultCase,
    /// The seed.
    pub seed: u64,
    /// The fraction of the limits that was served during the fault.
    #[serde(rename = "during")]
    pub served_during: f64,
    /// The fraction of the limits that was served in four seconds, nine seconds after the fault had
    /// ended.
    #[serde(rename = "after")]
    pub served_after: f64,
    /// The most units beyond the bound within any window of up to 10 s; at most 0 if the bound
    /// holds.
    #[serde(rename = "beyond")]
    pub max_excess: f64,
    /// Whether the fronts reported the fault, where they must.
    #[serde(rename = "said")]
    pub reported: bool,
    /// For each length of [`WINDOWS_MS`], the units of a volume within any window of it.
    pub windows: Vec<WindowUsage>,
}

/// One line with the labels that earlier versions printed.
impl fmt::Display for FaultCaseResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let windows: Vec<(f64, f64)> = self.windows.iter().map(|window| (*window).into()).collect();
        formatter
            .debug_struct("Hardship")
            .field("case", &format_args!("{}", self.case))
            .field("seed", &self.seed)
            .field("during", &self.served_during)
            .field("after", &self.served_after)
            .field("beyond", &self.max_excess)
            .field("said", &self.reported)
            .field("windows", &windows)
            .finish()
    }
}

/// A fault so many milliseconds after the start.
fn step(at_ms: u64, fault: Fault) -> Step {
    Step {
        at: Duration::from_millis(at_ms),
        fault,
    }
}

/// A kill of a front so many milliseconds after the start. It is started again after so many
/// milliseconds.
fn kill(at_ms: u64, front: usize, restart_after_ms: u64) -> Step {
    let restart_after = Some(Duration::from_millis(restart_after_ms));
    let fault = Fault::Kill {
        front,
        restart_after,
    };
    step(at_ms, fault)
}

/// The loads of all fronts, in requests a second, from so many milliseconds after the start.
fn loads(at_ms: u64, rates: [u32; FRONTS]) -> impl Iterator<Item = Step> {
    let fronts = rates.into_iter().enumerate();
    fronts.map(move |(front, rate)| step(at_ms, Fault::Load { front, rate }))
}

impl FaultCase {
    /// The schedule of the case.
    pub fn schedule(self, seed: u64) -> Schedule {
        let mut steps: Vec<Step> = self.load().into_iter().chain(self.faults()).collect();
        steps.sort_by_key(|step| step.at);
        Schedule {
            seed,
            fronts: FRONTS,
            duration: DURATION,
            steps,
        }
    }

    /// The load of each front over time.
    fn load(self) -> Vec<Step> {
        match self {
            FaultCase::PartitionInHalf | FaultCase::PartitionOfOne => {
                let moves = loads(3_000, [80, 80, 0, 0]).chain(loads(6_000, [0, 0, 80, 80]));
                loads(0, [40; FRONTS]).chain(moves).collect()
            }
            FaultCase::LeaseholderPaused => loads(0, [160, 0, 0, 0])
                .chain(loads(3_000, [160, 80, 80, 0]))
                .collect(),
            FaultCase::RollingKills => loads(0, [160, 0, 0, 0])
                .chain(loads(2_000, [80, 0, 80, 0]))
                .collect(),
            FaultCase::ManyVolumes => loads(0, [250; FRONTS]).collect(),
            _ => loads(0, [40; FRONTS]).collect(),
        }
    }

    /// The faults apart from the load.
    fn faults(self) -> Vec<Step> {
        match self {
            FaultCase::OneWayCut => vec![step(1_000, Fault::Cut { from: 0, to: 1 })],
            FaultCase::PartitionInHalf => vec![step(1_000, Fault::Partition { side: vec![0, 1] })],
            FaultCase::PartitionOfOne => vec![step(1_000, Fault::Partition { side: vec![3] })],
            FaultCase::LeaseholderPaused => {
                let pause = Fault::Pause {
                    front: 0,
                    duration: LEASEHOLDER_PAUSE,
                };
                vec![step(2_500, pause)]
            }
            FaultCase::RollingKills => {
                let kill = |front| kill(1_000 + 1_500 * front as u64, front, 1);
                (0..FRONTS).map(kill).collect()
            }
            FaultCase::DatagramFaultsAndRestarts => {
                let faults = Fault::DatagramFaults {
                    loss_percent: 20,
                    duplication_percent: 40,
                    max_delay: Duration::from_millis(400),
                };
                let kills = [1, 2].map(|front| kill(2_000 * front as u64, front, 50));
                std::iter::once(step(500, faults)).chain(kills).collect()
            }
            FaultCase::DuplicateProcess => {
                let duplicate = Fault::DuplicateProcess {
                    front: 1,
                    duration: Duration::from_secs(6),
                };
                vec![step(1_000, duplicate)]
            }
            FaultCase::RollingUpgrades => {
                let upgrade = |front| step(1_000 + 2_000 * front as u64, Fault::Upgrade { front });
                (0..FRONTS).map(upgrade).collect()
            }
            FaultCase::ManyVolumes
            | FaultCase::PartialRosters
            | FaultCase::UnauthenticatedDatagrams => Vec::new(),
        }
    }

    /// What the testbed of the case consists of.
    fn config(self, seed: u64) -> TestbedConfig {
        let sharing = match self {
            FaultCase::PartialRosters => Sharing::HalfUnknown,
            _ => Sharing::Peers,
        };
        let config = TestbedConfig::new(FRONTS, sharing, seed);
        match self {
            FaultCase::ManyVolumes => TestbedConfig {
                volumes: MANY_VOLUMES,
                rate: MANY_VOLUMES_RATE,
                ..config
            },
            _ => config,
        }
    }

    /// Waits until the fronts have found each other, as far as they can.
    async fn wait_until_ready(self, testbed: &Testbed) {
        if self == FaultCase::PartialRosters {
            tokio::time::sleep(PARTIAL_JOIN_TIME).await;
        } else {
            testbed.wait_until_joined().await;
        }
    }

    /// Runs the case to its end.
    async fn inject(self, testbed: &mut Testbed, seed: u64) -> Result<(), TestbedError> {
        if self != FaultCase::UnauthenticatedDatagrams {
            return testbed.run_schedule(&self.schedule(seed)).await;
        }
        testbed.set_load_of_all(HEALED_LOAD);
        testbed
            .send_unauthenticated_datagrams(DATAGRAMS_PER_SECOND, DURATION)
            .await;
        Ok(())
    }

    /// Whether the fronts reported the fault, where they must.
    async fn is_reported(self, testbed: &Testbed) -> bool {
        match self {
            FaultCase::DuplicateProcess => testbed
                .duplicate_log()
                .contains("another process has the name"),
            FaultCase::UnauthenticatedDatagrams => {
                let metrics = testbed.metrics(0).await.unwrap_or_default();
                metrics.contains("worth=\"no_message\"")
                    && metrics.contains("worth=\"wrong_digest\"")
            }
            _ => true,
        }
    }
}

/// Runs one case.
///
/// # Errors
/// If the testbed fails.
pub async fn run_fault_case(
    program: &Path,
    case: FaultCase,
    seed: u64,
) -> Result<FaultCaseResult, TestbedError> {
    let mut testbed = Testbed::start_all(program, case.config(seed)).await?;
    case.wait_until_ready(&testbed).await;
    let from = testbed.elapsed();
    case.inject(&mut testbed, seed).await?;
    let served_during = testbed.served_fraction(from, testbed.elapsed());
    let reported = case.is_reported(&testbed).await;
    testbed
        .inject_all(&[Fault::Heal, Fault::NO_DATAGRAM_FAULTS])
        .await?;
    if case != FaultCase::ManyVolumes {
        testbed.set_load_of_all(HEALED_LOAD);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let from = testbed.elapsed();
    tokio::time::sleep(HEALED_SPAN).await;
    let served_after = testbed.served_fraction(from, testbed.elapsed());
    let windows = WINDOWS_MS
        .map(|millis| testbed.window_usage(Duration::from_millis(millis), RECORDING_SLACK));
    let max_excess = testbed.max_excess(RECORDING_SLACK);
    let windows = windows.to_vec();
    Ok(FaultCaseResult {
        case,
        seed,
        served_during,
        served_after,
        max_excess,
        reported,
        windows,
    })
}
