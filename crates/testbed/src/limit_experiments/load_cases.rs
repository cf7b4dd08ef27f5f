//! Load on four and eight fronts, with and without leases between peers.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};

use super::RECORDING_SLACK;
use crate::testbed::{Sharing, Testbed, TestbedConfig, TestbedError, MAX_UNITS_PER_REQUEST};

/// Reads a second at all fronts together: eight times the limit.
const TOTAL_LOAD: u32 = 160;
/// How long the load lasts before anything changes.
const WARM_UP: Duration = Duration::from_secs(3);
/// How long a fleet has to take over the share of a killed front.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);
/// For how long the fleet is measured.
const MEASURED_SPAN: Duration = Duration::from_secs(5);
/// The numbers of fronts in the table.
const TABLE_FRONTS: [usize; 2] = [4, 8];
/// The head of the table.
const TABLE_HEAD: &str = "| case | fronts | before: median (worst) | with peers: median (worst) | most beyond the bound |\n| --- | --- | --- | --- | --- |\n";

/// How the load is spread over the fronts. The serialized names are those of stored results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadCase {
    /// Evenly.
    Even,
    /// All load is at one front.
    #[serde(rename = "one_of_all")]
    OneFront,
    /// One front is killed, and its load moves to the others.
    #[serde(rename = "one_dead")]
    OneKilled,
    /// Evenly; without peers, each front is configured for half as many fronts as there are.
    #[serde(rename = "more_than_told")]
    UnderstatedFleet,
}

/// All of them.
pub const LOAD_CASES: [LoadCase; 4] = [
    LoadCase::Even,
    LoadCase::OneFront,
    LoadCase::OneKilled,
    LoadCase::UnderstatedFleet,
];

impl LoadCase {
    /// What the table calls it.
    fn title(self) -> &'static str {
        match self {
            LoadCase::Even => "traffic even",
            LoadCase::OneFront => "all traffic at one",
            LoadCase::OneKilled => "one dead, its clients at the others",
            LoadCase::UnderstatedFleet => "told of half as many",
        }
    }
}

/// The label that earlier versions printed.
impl fmt::Display for LoadCase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            LoadCase::Even => "Even",
            LoadCase::OneFront => "OneOfAll",
            LoadCase::OneKilled => "OneDead",
            LoadCase::UnderstatedFleet => "MoreThanTold",
        })
    }
}

/// What one run consists of.
#[derive(Clone, Copy, Debug)]
pub struct LoadCaseSetup {
    /// The case.
    pub case: LoadCase,
    /// How many fronts there are.
    pub fronts: usize,
    /// Whether they share limits by leases between peers; otherwise each takes an even part.
    pub peers: bool,
    /// The seed.
    pub seed: u64,
}

/// What one run observed. The serialized names are those of stored results.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadCaseResult {
    /// The case.
    pub case: LoadCase,
    /// How many fronts there were.
    pub fronts: usize,
    /// Whether they shared limits by leases between peers; otherwise each took an even part.
    pub peers: bool,
    /// The seed.
    pub seed: u64,
    /// Units served within five seconds, as a fraction of what the limit allows in them.
    #[serde(rename = "served")]
    pub served_fraction: f64,
    /// The most units beyond the bound within any window of up to 10 s; at most 0 if the bound
    /// holds.
    #[serde(rename = "beyond")]
    pub max_excess: f64,
}

/// One line with the labels that earlier versions printed.
impl fmt::Display for LoadCaseResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Outcome")
            .field("case", &format_args!("{}", self.case))
            .field("fronts", &self.fronts)
            .field("peers", &self.peers)
            .field("seed", &self.seed)
            .field("served", &self.served_fraction)
            .field("beyond", &self.max_excess)
            .finish()
    }
}

/// Runs one case.
///
/// # Errors
/// If the testbed fails.
pub async fn run_load_case(
    program: &Path,
    setup: LoadCaseSetup,
) -> Result<LoadCaseResult, TestbedError> {
    let LoadCaseSetup {
        case,
        fronts,
        peers,
        seed,
    } = setup;
    let sharing = if peers {
        Sharing::Peers
    } else {
        Sharing::Even(configured_fronts(case, fronts))
    };
    let testbed = Testbed::start_all(program, TestbedConfig::new(fronts, sharing, seed)).await?;
    if peers {
        testbed.wait_until_joined().await;
    }
    let chosen = seed as usize % fronts;
    match case {
        LoadCase::OneFront => testbed.set_load(chosen, TOTAL_LOAD),
        _ => testbed.set_load_of_all(TOTAL_LOAD / fronts as u32),
    }
    tokio::time::sleep(WARM_UP).await;
    if case == LoadCase::OneKilled {
        testbed.set_load(chosen, 0);
        testbed.terminate(chosen, Signal::SIGKILL).await;
        testbed.set_load_of_all(TOTAL_LOAD / (fronts - 1) as u32);
        testbed.set_load(chosen, 0);
        tokio::time::sleep(TAKEOVER_TIME).await;
    }
    let from = testbed.elapsed();
    tokio::time::sleep(MEASURED_SPAN).await;
    let served_fraction = testbed.served_fraction(from, from + MEASURED_SPAN);
    let max_excess = testbed.max_excess(RECORDING_SLACK);
    Ok(LoadCaseResult {
        case,
        fronts,
        peers,
        seed,
        served_fraction,
        max_excess,
    })
}

/// For how many fronts each is configured if they do not communicate.
fn configured_fronts(case: LoadCase, fronts: usize) -> u32 {
    match case {
        LoadCase::UnderstatedFleet => fronts as u32 / 2,
        LoadCase::Even | LoadCase::OneFront | LoadCase::OneKilled => fronts as u32,
    }
}

/// The results as a Markdown table: for each case, the median and the worst of the seeds, without
/// and with peers.
pub fn load_case_table(results: &[LoadCaseResult]) -> String {
    let mut text = String::from(TABLE_HEAD);
    for fronts in TABLE_FRONTS {
        for case in LOAD_CASES {
            let of_case = results
                .iter()
                .filter(|result| result.case == case && result.fronts == fronts);
            let (with_peers, without): (Vec<_>, Vec<_>) = of_case.partition(|result| result.peers);
            let excess = with_peers
                .iter()
                .map(|result| result.max_excess)
                .fold(f64::NEG_INFINITY, f64::max);
            text += &format!(
                "| {} | {fronts} | {} | {} | {excess:.1} units |\n",
                case.title(),
                median_and_worst(&without),
                median_and_worst(&with_peers)
            );
        }
    }
    text + &format!(
        "\nThe bound: 40 units a second, a store of 20, and {MAX_UNITS_PER_REQUEST} units for each front.\n"
    )
}

/// The median of the served fractions, and the one that differs most from the complete limit.
fn median_and_worst(results: &[&LoadCaseResult]) -> String {
    let mut served: Vec<f64> = results
        .iter()
        .map(|result| result.served_fraction)
        .collect();
    served.sort_by(f64::total_cmp);
    let distance = |served: &f64| (served - 1.0).abs();
    let worst = served
        .iter()
        .max_by(|a, b| distance(a).total_cmp(&distance(b)));
    match (served.get(served.len() / 2), worst) {
        (Some(median), Some(worst)) => format!("{median:.2} ({worst:.2})"),
        _ => "-".to_owned(),
    }
}
