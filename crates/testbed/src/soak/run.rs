//! One soak run: a seed, its faults, and the violations that the checker detects.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use super::checker::{check, SlowStartLimit};
use super::config::SoakSetup;
use super::environment::Environment;
use super::fault::{self, ScheduledFault};
use super::fault_injection::{inject, inject_clock_faults};
use super::recording::Recording;
use super::result::SoakResult;
use crate::best_effort;
use crate::testbed::TestbedError;

/// How long clients send requests.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// How long requests in flight may take after that.
const REST_TIME: Duration = Duration::from_millis(2_200);
/// What a chunk server may receive after its start, by the settings of the fronts.
const SLOW_START_LIMIT: SlowStartLimit = SlowStartLimit {
    capacity: 80.0,
    floor: 0.18,
    duration: Duration::from_secs(17),
    multiple: 2.0,
    window: Duration::from_secs(2),
};

/// Runs one seed. Must be called inside a tokio `LocalSet`.
///
/// # Errors
/// If the operating system rejects something, or a front does not start.
pub async fn run_seed(setup: &SoakSetup) -> Result<SoakResult, TestbedError> {
    let name = format!("tulipbridge-soak-{}-{}", std::process::id(), setup.seed);
    let directory = std::env::temp_dir().join(name);
    let faults = if setup.calm {
        Vec::new()
    } else {
        fault::sample(setup.seed)
    };
    let recorded = record(setup, &faults, &directory).await;
    best_effort::remove_directory(&directory);
    let recording = recorded?;
    let served = recording
        .requests
        .iter()
        .filter(|request| request.end.is_success());
    Ok(SoakResult {
        seed: setup.seed,
        requests: recording.requests.len(),
        served: served.count(),
        attempts: recording.arrivals.len(),
        violations: check(&recording, SLOW_START_LIMIT),
        faults,
    })
}

/// Runs the fronts under load and faults, and returns what was observed.
async fn record(
    setup: &SoakSetup,
    faults: &[ScheduledFault],
    directory: &Path,
) -> Result<Recording, TestbedError> {
    let environment = Rc::new(Environment::open(setup, directory).await?);
    inject_clock_faults(&environment, faults);
    environment.start_fronts().await?;
    environment.start_clients(setup.seed);
    for scheduled in faults {
        spawn_local(inject(Rc::clone(&environment), *scheduled));
    }
    sleep(LOAD_TIME).await;
    environment.clients().stop();
    sleep(REST_TIME).await;
    environment.stop_fronts().await;
    Ok(environment.recording())
}
