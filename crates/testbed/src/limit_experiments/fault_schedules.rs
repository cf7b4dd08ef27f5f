//! Schedules of faults, sampled from seeds, against real processes.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};

use super::{HEALED_LOAD, HEALED_SPAN, RECORDING_SLACK, SETTLE_TIME};
use crate::schedule::{self, Fault, Schedule};
use crate::testbed::{Sharing, Testbed, TestbedConfig, TestbedError};

/// How many chunk servers there are.
const SERVERS: usize = 2;
/// How long a schedule lasts, in milliseconds; the times of the sampled schedule are scaled to it.
const DURATION_MS: u64 = 10_000;

/// What one run observed. The serialized names are those of stored results.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultScheduleResult {
    /// The seed.
    pub seed: u64,
    /// How many fronts there were.
    pub fronts: usize,
    /// How many faults there were.
    pub faults: usize,
    /// Reads that reached a chunk server.
    #[serde(rename = "sent")]
    pub attempts: usize,
    /// The most units beyond the bound within any window of up to 10 s; at most 0 if the bound
    /// holds.
    #[serde(rename = "beyond")]
    pub max_excess: f64,
    /// The fraction of the limit that was served in four seconds once everything was healed; absent
    /// if at most half of the fronts ran then, or if the roster changed and not all of them did.
    #[serde(rename = "healed")]
    pub served_after: Option<f64>,
}

impl FaultScheduleResult {
    /// Whether the limit held.
    pub fn is_valid(&self) -> bool {
        self.max_excess <= 0.0
    }
}

/// One line with the labels that earlier versions printed.
impl fmt::Display for FaultScheduleResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Played")
            .field("seed", &self.seed)
            .field("fronts", &self.fronts)
            .field("faults", &self.faults)
            .field("sent", &self.attempts)
            .field("beyond", &self.max_excess)
            .field("healed", &self.served_after)
            .finish()
    }
}

/// The schedule of a seed for processes. It has no second processes of a name: each may use a floor
/// while no link joins them. The simulation and
/// [`FaultCase::DuplicateProcess`](super::FaultCase::DuplicateProcess) cover these.
pub fn process_schedule(seed: u64) -> Schedule {
    let mut schedule = Schedule::sample(seed);
    schedule
        .steps
        .retain(|step| !matches!(step.fault, Fault::DuplicateProcess { .. }));
    schedule.duration = Duration::from_millis(DURATION_MS);
    for step in &mut schedule.steps {
        let at_ms = step.at.as_millis() as u64;
        step.at = Duration::from_millis(at_ms * DURATION_MS / schedule::DURATION_MS);
    }
    schedule.add_link_faults(seed, SERVERS);
    schedule
}

/// Runs one schedule.
///
/// # Errors
/// If the testbed fails.
pub async fn run_fault_schedule(
    program: &Path,
    schedule: &Schedule,
) -> Result<FaultScheduleResult, TestbedError> {
    let fronts = schedule.fronts;
    let config = TestbedConfig::new(fronts, Sharing::Peers, schedule.seed);
    let mut testbed = Testbed::start_all(
        program,
        TestbedConfig {
            servers: SERVERS,
            ..config
        },
    )
    .await?;
    testbed.wait_until_joined().await;
    testbed.run_schedule(schedule).await?;
    heal(&mut testbed, fronts).await?;
    let running = (0..fronts)
        .filter(|front| testbed.is_running(*front))
        .count();
    testbed.set_load_of_all(HEALED_LOAD);
    // With a new roster all fronts keep to their floors until every front in it has loaded it.
    let roster_changed = schedule
        .steps
        .iter()
        .any(|step| matches!(step.fault, Fault::Roster { .. }));
    if roster_changed {
        (0..fronts).for_each(|front| testbed.signal(front, Signal::SIGHUP));
    }
    let can_recover = 2 * running > fronts && (!roster_changed || running == fronts);
    let served_after = if can_recover {
        Some(measure_healed(&testbed).await)
    } else {
        None
    };
    let is_fault = |fault: &Fault| !matches!(fault, Fault::Load { .. });
    Ok(FaultScheduleResult {
        seed: schedule.seed,
        fronts,
        faults: schedule
            .steps
            .iter()
            .filter(|step| is_fault(&step.fault))
            .count(),
        attempts: testbed.attempts().len(),
        max_excess: testbed.max_excess(RECORDING_SLACK),
        served_after,
    })
}

/// Heals every link and server, and resumes every front that is paused.
async fn heal(testbed: &mut Testbed, fronts: usize) -> Result<(), TestbedError> {
    testbed.inject(&Fault::Heal).await?;
    for server in 0..SERVERS {
        testbed
            .inject(&Fault::Server {
                server,
                latency: Duration::ZERO,
                failure_percent: 0,
            })
            .await?;
    }
    testbed.inject(&Fault::NO_DATAGRAM_FAULTS).await?;
    (0..fronts).for_each(|front| testbed.signal(front, Signal::SIGCONT));
    Ok(())
}

/// The fraction of the limit that is served once the fleet has settled.
async fn measure_healed(testbed: &Testbed) -> f64 {
    tokio::time::sleep(SETTLE_TIME).await;
    let from = testbed.elapsed();
    tokio::time::sleep(HEALED_SPAN).await;
    testbed.served_fraction(from, testbed.elapsed())
}
