//! Limits of the fleet apart from those of volumes: whether real processes keep to them while the
//! load moves, links are cut and a front is killed.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;

use crate::chunk_server::{Attempt, ServerBehavior};
use crate::schedule::{Fault, Schedule, Step};
use crate::testbed::{
    RateBound, Sharing, Testbed, TestbedConfig, TestbedError, MAX_UNITS_PER_REQUEST,
    UNITS_PER_READ, UNLIMITED_RATE,
};

/// How many fronts there are.
const FRONTS: usize = 4;
/// Reads a second at all fronts together.
const TOTAL_LOAD: u32 = 600;
/// Reads a second at the front that is killed.
const KILLED_LOAD: u32 = 80;
/// How long the fleet has to settle before it is measured.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// For how long the fleet is measured.
const MEASURED_SPAN: Duration = Duration::from_secs(3);

/// The limit on retries, in retries a second; the burst is as large.
const RETRY_RATE: f64 = 10.0;
/// Reads that fail while retries are limited, of a hundred.
const RETRY_FAILURE_PERCENT: u8 = 50;

/// The limit on units to a server in slow start, in units a second; the burst is as large.
const SLOW_START_RATE: f64 = 6.0;
/// How long slow start lasts, by the fronts' settings (`Cold`).
const SLOW_START_DURATION: Duration = Duration::from_secs(17);
/// The fraction of its capacity that a server has at first, by the fronts' settings (`ColdFrom`).
const SLOW_START_INITIAL: f64 = 0.18;
/// By how much fronts take a server to be younger than it is, by their settings (`Fall`).
const SLOW_START_DELAY: Duration = Duration::from_secs(2);

/// The limit on requests in flight at a server.
const IN_FLIGHT_LIMIT: f64 = 4.0;
/// How long an answer takes while requests in flight are limited.
const IN_FLIGHT_LATENCY: Duration = Duration::from_millis(15);
/// The least time in which a share of a limit may pass on twice: a heartbeat interval less its
/// jitter.
const MIN_LEASE_INTERVAL: Duration = Duration::from_millis(190);

/// A limit of the fleet. The serialized names are those of stored results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SharedLimit {
    /// Retries: 10 a second and a burst of 10, while half of all reads fail.
    #[serde(rename = "further")]
    Retries,
    /// Units to a server in slow start: 6 a second and a burst of 6.
    #[serde(rename = "starting")]
    SlowStart,
    /// Requests in flight at a server that takes 15 ms for each: 4.
    #[serde(rename = "out")]
    InFlight,
}

/// All of them.
pub const SHARED_LIMITS: [SharedLimit; 3] = [
    SharedLimit::Retries,
    SharedLimit::SlowStart,
    SharedLimit::InFlight,
];

/// The label that earlier versions printed.
impl fmt::Display for SharedLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SharedLimit::Retries => "Further",
            SharedLimit::SlowStart => "Starting",
            SharedLimit::InFlight => "Out",
        })
    }
}

/// What one run observed. The serialized names are those of stored results.
#[derive(Clone, Debug, Serialize)]
pub struct SharedLimitResult {
    /// The limit.
    pub limit: SharedLimit,
    /// The seed.
    pub seed: u64,
    /// The fraction of the limit that was in use with all load at one front.
    pub used: f64,
    /// The same with the load spread evenly, once the network is healed and the killed front is
    /// back.
    #[serde(rename = "after")]
    pub used_after: f64,
    /// The highest usage at any time: units or retries within any window beyond the rate, or
    /// requests in flight.
    #[serde(rename = "most")]
    pub max_usage: f64,
    /// The bound of it.
    pub bound: f64,
}

impl SharedLimitResult {
    /// Whether the bound held.
    pub fn is_valid(&self) -> bool {
        self.max_usage <= self.bound
    }
}

/// One line with the labels that earlier versions printed.
impl fmt::Display for SharedLimitResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Kept")
            .field("limit", &format_args!("{}", self.limit))
            .field("seed", &self.seed)
            .field("used", &self.used)
            .field("after", &self.used_after)
            .field("most", &self.max_usage)
            .field("bound", &self.bound)
            .finish()
    }
}

/// The highest usage of a limit at any time, and what it may be.
struct Usage {
    max: f64,
    bound: f64,
}

/// By which factor a server that started with the testbed has more capacity at a time than at
/// first.
fn slow_start_growth(at: Duration) -> f64 {
    let age = at
        .saturating_sub(SLOW_START_DELAY)
        .div_duration_f64(SLOW_START_DURATION)
        .min(1.0);
    1.0 + (1.0 / SLOW_START_INITIAL - 1.0) * age
}

impl SharedLimit {
    /// A testbed with the limit, whose chunk server makes the fleet reach it.
    fn config(self, seed: u64) -> TestbedConfig {
        let default = ServerBehavior::default();
        let (limits, behavior) = match self {
            SharedLimit::Retries => (
                r#"{"further_attempts": {"rate": 10, "burst": 10}}"#,
                ServerBehavior {
                    failure_percent: RETRY_FAILURE_PERCENT,
                    ..default
                },
            ),
            SharedLimit::SlowStart => (
                r#"{"starting_server": {"rate": 6, "burst": 6}}"#,
                ServerBehavior {
                    just_started: true,
                    ..default
                },
            ),
            SharedLimit::InFlight => (
                r#"{"out_at_server": 4}"#,
                ServerBehavior {
                    latency: IN_FLIGHT_LATENCY,
                    ..default
                },
            ),
        };
        let config = TestbedConfig::new(FRONTS, Sharing::Peers, seed);
        TestbedConfig {
            rate: UNLIMITED_RATE,
            limits,
            behavior,
            ..config
        }
    }

    /// The fraction of the limit that was in use within a span.
    fn used_fraction(self, testbed: &Testbed, from: Duration, to: Duration) -> f64 {
        let in_span = |attempt: &Attempt| attempt.at >= from && attempt.at < to;
        let span = (to - from).as_secs_f64();
        match self {
            SharedLimit::Retries => {
                let retries = testbed.attempt_times(|attempt| attempt.is_retry && in_span(attempt));
                retries.len() as f64 / (RETRY_RATE * span)
            }
            SharedLimit::SlowStart => {
                let growth = (slow_start_growth(from) + slow_start_growth(to)) / 2.0;
                let units = testbed.attempt_times(in_span).len() as f64 * UNITS_PER_READ;
                units / (SLOW_START_RATE * growth * span)
            }
            SharedLimit::InFlight => {
                let busy =
                    testbed.attempt_times(in_span).len() as f64 * IN_FLIGHT_LATENCY.as_secs_f64();
                busy / (IN_FLIGHT_LIMIT * span)
            }
        }
    }

    /// The highest usage during the run. `slack` is how long an attempt may take until it is
    /// recorded.
    fn usage(self, testbed: &Testbed, slack: Duration) -> Usage {
        let fronts = FRONTS as f64;
        match self {
            SharedLimit::Retries => {
                let burst = RETRY_RATE + fronts;
                let bound = RateBound {
                    units: 1.0,
                    rate: RETRY_RATE,
                    burst,
                };
                let retries = testbed.attempt_times(|attempt| attempt.is_retry);
                Usage {
                    max: burst + bound.max_excess(&retries, slack),
                    bound: burst,
                }
            }
            SharedLimit::SlowStart => {
                // The rate and the burst grow with the server's age.
                let attempts = testbed.attempt_times(|attempt| attempt.at < SLOW_START_DURATION);
                let last = attempts.last().copied().unwrap_or_default();
                let rate = SLOW_START_RATE * slow_start_growth(last);
                let burst = rate + fronts * MAX_UNITS_PER_REQUEST;
                let bound = RateBound {
                    units: UNITS_PER_READ,
                    rate,
                    burst,
                };
                Usage {
                    max: burst + bound.max_excess(&attempts, slack),
                    bound: burst,
                }
            }
            SharedLimit::InFlight => {
                // Each time that a share passes on during an attempt, it may be in use once more.
                let passes = (IN_FLIGHT_LATENCY + slack)
                    .div_duration_f64(MIN_LEASE_INTERVAL)
                    .ceil();
                let max = testbed.max_in_flight(Duration::ZERO, testbed.elapsed()) as f64;
                Usage {
                    max,
                    bound: IN_FLIGHT_LIMIT * (1.0 + passes) + fronts,
                }
            }
        }
    }

    /// Waits until the fleet has settled and measures the fraction of the limit in use.
    async fn measure(self, testbed: &Testbed) -> f64 {
        tokio::time::sleep(SETTLE_TIME).await;
        let from = testbed.elapsed();
        tokio::time::sleep(MEASURED_SPAN).await;
        self.used_fraction(testbed, from, testbed.elapsed())
    }
}

/// The load moves from one front to another; the fleet is partitioned in half, and a third front is
/// killed, started again and healed.
fn fault_schedule(seed: u64, loaded: usize) -> Schedule {
    let next = (loaded + 1) % FRONTS;
    let killed = (loaded + 2) % FRONTS;
    let step = |at_ms, fault| Step {
        at: Duration::from_millis(at_ms),
        fault,
    };
    let steps = vec![
        step(
            0,
            Fault::Load {
                front: loaded,
                rate: 0,
            },
        ),
        step(
            0,
            Fault::Load {
                front: next,
                rate: TOTAL_LOAD,
            },
        ),
        step(800, Fault::Partition { side: vec![0, 1] }),
        step(
            1_000,
            Fault::Load {
                front: killed,
                rate: KILLED_LOAD,
            },
        ),
        step(
            2_500,
            Fault::Kill {
                front: killed,
                restart_after: Some(Duration::from_millis(20)),
            },
        ),
        step(3_500, Fault::Heal),
    ];
    Schedule {
        seed,
        fronts: FRONTS,
        duration: Duration::from_millis(3_600),
        steps,
    }
}

/// Runs the experiment for one limit. `slack` is how long an attempt may take from its front until
/// the server records it.
///
/// # Errors
/// If the testbed fails.
pub async fn run(
    program: &Path,
    limit: SharedLimit,
    seed: u64,
    slack: Duration,
) -> Result<SharedLimitResult, TestbedError> {
    let mut testbed = Testbed::start_all(program, limit.config(seed)).await?;
    testbed.wait_until_joined().await;
    let loaded = seed as usize % FRONTS;
    testbed.set_load(loaded, TOTAL_LOAD);
    let used = limit.measure(&testbed).await;
    testbed.run_schedule(&fault_schedule(seed, loaded)).await?;
    testbed.set_load_of_all(TOTAL_LOAD / FRONTS as u32);
    testbed.wait_until_joined().await;
    let used_after = limit.measure(&testbed).await;
    let Usage {
        max: max_usage,
        bound,
    } = limit.usage(&testbed, slack);
    Ok(SharedLimitResult {
        limit,
        seed,
        used,
        used_after,
        max_usage,
        bound,
    })
}
