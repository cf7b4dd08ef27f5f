//! One server that becomes faulty and healthy again: what that costs the fleet, and how the server
//! gets its load back.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;

use super::{healthy_server, server_name, ServerFault, LATENCY, LEARNING_TIME};
use crate::schedule::Fault;
use crate::testbed::{ClientRequest, Testbed, TestbedConfig, TestbedError};

/// Chunk servers, one for each shard.
const SERVERS: usize = 6;
/// Requests a second at all fronts together.
pub const TOTAL_LOAD: u32 = 48;
/// Requests that write a new object, of a hundred.
const WRITE_PERCENT: u8 = 80;
/// How long the server is faulty.
const FAULT_DURATION: Duration = Duration::from_secs(15);
/// How long the fleet is observed once the server is healthy again.
const RECOVERY_DURATION: Duration = Duration::from_secs(15);
/// How often the fronts' ejections are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// For how long after the fault the requests are ignored that were delayed on a silent link and
/// arrive at once.
const BACKLOG_TIME: Duration = Duration::from_millis(500);
/// How long the slowest request may take to end: the clients' timeout and some more.
const DRAIN_TIME: Duration = Duration::from_millis(3_100);
/// A request is slow if it took longer than this many times the usual median.
const SLOW_FACTOR: f64 = 6.0;
/// The window in which the highest number of attempts after the fault is counted.
const PEAK_WINDOW: Duration = Duration::from_secs(1);
/// The window in which the server must have half of its usual attempts to count as recovered.
const RECOVERY_WINDOW: Duration = Duration::from_secs(2);
/// The head of the table.
const TABLE_HEAD: &str = "| illness | fronts | verdicts | paid: median (worst) | fronts that paid | last, s | out at most | innocent | peak after, of usual | back after, s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// What one run consists of.
#[derive(Clone, Copy, Debug)]
pub struct ServerFaultSetup {
    /// What becomes wrong with the server.
    pub fault: ServerFault,
    /// How many fronts there are.
    pub fronts: usize,
    /// Whether they share outlier detection.
    pub shared: bool,
    /// The seed.
    pub seed: u64,
}

/// What one run observed. The serialized names are those of stored results.
#[derive(Clone, Debug, Serialize)]
pub struct ServerFaultResult {
    /// What was wrong with the server.
    #[serde(rename = "illness")]
    pub fault: ServerFault,
    /// How many fronts there were.
    pub fronts: usize,
    /// Whether they shared outlier detection.
    pub shared: bool,
    /// The seed.
    pub seed: u64,
    /// Requests that were slow or failed during the fault, less those expected by chance.
    #[serde(rename = "paid")]
    pub affected_requests: f64,
    /// The last of them, in seconds since the fault began.
    #[serde(rename = "last")]
    pub last_affected_s: f64,
    /// How many fronts had such requests.
    #[serde(rename = "payers")]
    pub affected_fronts: usize,
    /// The most servers that any front had ejected.
    #[serde(rename = "most_out")]
    pub max_ejected: usize,
    /// Ejections of healthy servers, counted at each poll of each front.
    #[serde(rename = "innocent")]
    pub unjustified_ejections: usize,
    /// After the fault: the most attempts at the server within a second.
    #[serde(rename = "peak")]
    pub peak_attempts: usize,
    /// Attempts a second at the server before the fault.
    #[serde(rename = "usual")]
    pub usual_attempts: f64,
    /// Seconds after the fault until the server had half of its usual attempts again; absent if it
    /// had not.
    #[serde(rename = "back")]
    pub recovered_after_s: Option<f64>,
}

/// One line with the labels that earlier versions printed.
impl fmt::Display for ServerFaultResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Paid")
            .field("illness", &self.fault)
            .field("fronts", &self.fronts)
            .field("shared", &self.shared)
            .field("seed", &self.seed)
            .field("paid", &self.affected_requests)
            .field("last", &self.last_affected_s)
            .field("payers", &self.affected_fronts)
            .field("most_out", &self.max_ejected)
            .field("innocent", &self.unjustified_ejections)
            .field("peak", &self.peak_attempts)
            .field("usual", &self.usual_attempts)
            .field("back", &self.recovered_after_s)
            .finish()
    }
}

/// When the server was faulty, since the testbed started.
#[derive(Clone, Copy)]
struct Phases {
    fault_began: Duration,
    fault_ended: Duration,
    run_ended: Duration,
}

impl Phases {
    /// When the fronts are taken to know the usual latency.
    fn usual_from(&self) -> Duration {
        self.fault_began - LEARNING_TIME / 2
    }
}

/// The ejections seen while the server was faulty.
#[derive(Default)]
struct Ejections {
    max: usize,
    unjustified: usize,
}

/// Requests during the fault that were slow or failed.
struct AffectedRequests {
    count: f64,
    last_s: f64,
    fronts: usize,
}

/// How the server got its load back.
struct Recovery {
    peak: usize,
    usual: f64,
    after_s: Option<f64>,
}

/// Runs a server that is healthy, faulty, and healthy again.
///
/// # Errors
/// If the testbed fails.
pub async fn run_server_fault(
    program: &Path,
    setup: ServerFaultSetup,
) -> Result<ServerFaultResult, TestbedError> {
    let ServerFaultSetup {
        fault,
        fronts,
        shared,
        seed,
    } = setup;
    let config = TestbedConfig::with_outlier_detection(fronts, SERVERS, LATENCY, seed);
    let config = TestbedConfig {
        write_percent: WRITE_PERCENT,
        outlier_detection: shared,
        ..config
    };
    let mut testbed = Testbed::start_all(program, config).await?;
    testbed.wait_until_joined().await;
    testbed.set_load_of_all((TOTAL_LOAD / fronts as u32).max(1));
    tokio::time::sleep(LEARNING_TIME).await;
    let server = seed as usize % SERVERS;
    let fault_began = testbed.elapsed();
    fault.inject(&mut testbed, server, fronts).await?;
    let ejections = poll_ejections(&testbed, server, fronts, fault_began + FAULT_DURATION).await;
    let fault_ended = testbed.elapsed();
    testbed
        .inject_all(&[Fault::Heal, healthy_server(server)])
        .await?;
    tokio::time::sleep(RECOVERY_DURATION).await;
    let phases = Phases {
        fault_began,
        fault_ended,
        run_ended: testbed.elapsed(),
    };
    testbed.set_load_of_all(0);
    tokio::time::sleep(DRAIN_TIME).await;
    let affected = affected_requests(&testbed, server, phases);
    let recovery = measure_recovery(&testbed, server, phases);
    Ok(ServerFaultResult {
        fault,
        fronts,
        shared,
        seed,
        affected_requests: affected.count,
        last_affected_s: affected.last_s,
        affected_fronts: affected.fronts,
        max_ejected: ejections.max,
        unjustified_ejections: ejections.unjustified,
        peak_attempts: recovery.peak,
        usual_attempts: recovery.usual,
        recovered_after_s: recovery.after_s,
    })
}

/// Polls the ejections of all fronts for a while.
async fn poll_ejections(
    testbed: &Testbed,
    server: usize,
    fronts: usize,
    until: Duration,
) -> Ejections {
    let faulty = server_name(server);
    let mut ejections = Ejections::default();
    while testbed.elapsed() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
        for front in 0..fronts {
            let ejected = testbed.ejected_servers(front).await;
            ejections.max = ejections.max.max(ejected.len());
            ejections.unjustified += ejected.iter().filter(|name| **name != faulty).count();
        }
    }
    ejections
}

/// The requests that the fault slowed down or failed.
fn affected_requests(testbed: &Testbed, server: usize, phases: Phases) -> AffectedRequests {
    let Phases {
        fault_began,
        fault_ended,
        ..
    } = phases;
    // Reads of the server's own shard have no other server to go to, whether it is ejected or not.
    let mut requests = testbed.requests();
    requests.retain(|request| request.shard != Some(server));
    let before = within(&requests, phases.usual_from(), fault_began);
    let during = within(&requests, fault_began, fault_ended);
    let slow = usual_latency(&before).mul_f64(SLOW_FACTOR);
    let is_affected = |request: &&ClientRequest| {
        !request.succeeded || request.duration.is_none_or(|duration| duration > slow)
    };
    let usual_span = (fault_began - phases.usual_from()).as_secs_f64();
    let usual_per_second = before.iter().filter(is_affected).count() as f64 / usual_span;
    let affected: Vec<&ClientRequest> = during.iter().filter(is_affected).collect();
    let mut fronts: Vec<usize> = affected.iter().map(|request| request.front).collect();
    fronts.sort_unstable();
    fronts.dedup();
    let by_chance = usual_per_second * (fault_ended - fault_began).as_secs_f64();
    let since_fault = affected
        .iter()
        .map(|request| (request.at - fault_began).as_secs_f64());
    AffectedRequests {
        count: (affected.len() as f64 - by_chance).max(0.0),
        last_s: since_fault.fold(0.0, f64::max),
        fronts: fronts.len(),
    }
}

/// The median of the requests that were answered.
fn usual_latency(requests: &[ClientRequest]) -> Duration {
    let mut durations: Vec<Duration> = requests
        .iter()
        .filter_map(|request| request.duration)
        .collect();
    durations.sort_unstable();
    durations
        .get(durations.len() / 2)
        .copied()
        .unwrap_or(LATENCY)
}

/// The requests that were sent within a span.
fn within(requests: &[ClientRequest], from: Duration, to: Duration) -> Vec<ClientRequest> {
    requests
        .iter()
        .filter(|request| request.at >= from && request.at < to)
        .copied()
        .collect()
}

/// How the server got its load back once it was healthy.
fn measure_recovery(testbed: &Testbed, server: usize, phases: Phases) -> Recovery {
    let attempts_within = |from: Duration, to: Duration| {
        testbed.attempt_times(|attempt| {
            attempt.server == server && attempt.at >= from && attempt.at < to
        })
    };
    let usual_span = (phases.fault_began - phases.usual_from()).as_secs_f64();
    let usual = attempts_within(phases.usual_from(), phases.fault_began).len() as f64 / usual_span;
    let after = attempts_within(phases.fault_ended + BACKLOG_TIME, phases.run_ended);
    let count_from = |from: Duration, window: Duration| {
        after
            .iter()
            .filter(|at| **at >= from && **at < from + window)
            .count()
    };
    let enough = usual * RECOVERY_WINDOW.as_secs_f64() / 2.0;
    let recovered = after
        .iter()
        .find(|from| count_from(**from, RECOVERY_WINDOW) as f64 >= enough);
    Recovery {
        peak: after
            .iter()
            .map(|from| count_from(*from, PEAK_WINDOW))
            .max()
            .unwrap_or(0),
        usual,
        after_s: recovered.map(|from| (*from - phases.fault_ended).as_secs_f64()),
    }
}

/// The results as a Markdown table: medians and worst values of the seeds.
pub fn server_fault_table(results: &[ServerFaultResult]) -> String {
    let conditions = |result: &ServerFaultResult| (result.fault, result.fronts, result.shared);
    let mut kinds: Vec<_> = results.iter().map(conditions).collect();
    kinds.dedup();
    let mut text = String::from(TABLE_HEAD);
    for kind in kinds {
        let group: Vec<&ServerFaultResult> = results
            .iter()
            .filter(|result| conditions(result) == kind)
            .collect();
        text += &table_row(&group);
    }
    text
}

/// A row for the results of the same conditions, of which there is at least one.
fn table_row(group: &[&ServerFaultResult]) -> String {
    let median = |value: &dyn Fn(&ServerFaultResult) -> f64| {
        let mut values: Vec<f64> = group.iter().map(|result| value(result)).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let max = |value: &dyn Fn(&ServerFaultResult) -> f64| {
        group.iter().map(|result| value(result)).fold(0.0, f64::max)
    };
    let ServerFaultResult {
        fault,
        fronts,
        shared,
        ..
    } = group[0];
    format!(
        "| {fault:?} | {fronts} | {} | {:.0} ({:.0}) | {:.0} | {:.1} | {:.0} | {:.0} | {:.1} | {:.1} |\n",
        if *shared { "shared" } else { "own" },
        median(&|result| result.affected_requests),
        max(&|result| result.affected_requests),
        median(&|result| result.affected_fronts as f64),
        median(&|result| result.last_affected_s),
        max(&|result| result.max_ejected as f64),
        max(&|result| result.unjustified_ejections as f64),
        max(&|result| result.peak_attempts as f64 / result.usual_attempts.max(1.0)),
        median(&|result| result.recovered_after_s.unwrap_or(f64::INFINITY)),
    )
}
