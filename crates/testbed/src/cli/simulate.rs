//! The command `simulate`: simulations for many seeds, and what they observed together.

use std::fmt::Display;

use serde::Serialize;
use tulipbridge_fleet_limits::{Share, FULL_SHARE};

use super::arguments::SimulateArguments;
use super::error::CliError;
use super::files::write_json;
use super::sweep::{ScheduleSimulation, Sweep};
use super::Outcome;
use crate::simulation::gossip::{self, GossipReport};
use crate::simulation::limits::{self, LimitsReport};
use crate::simulation::outliers::{self, OutlierReport};

/// The most failed schedules of gossip or outlier detection that are stored: to shrink one takes as
/// many runs as it has steps.
const MAX_STORED_SCHEDULES: usize = 5;

/// The simulation of fleet limits.
pub const LIMITS: ScheduleSimulation<LimitsReport> = ScheduleSimulation {
    file_prefix: "limits",
    run: limits::run,
    is_valid: LimitsReport::is_valid,
};
/// The simulation of gossip.
const GOSSIP: ScheduleSimulation<GossipReport> = ScheduleSimulation {
    file_prefix: "entries",
    run: gossip::run,
    is_valid: GossipReport::is_valid,
};
/// The simulation of outlier detection.
pub const OUTLIERS: ScheduleSimulation<OutlierReport> = ScheduleSimulation {
    file_prefix: "verdicts",
    run: outliers::run,
    is_valid: OutlierReport::is_valid,
};

/// What the simulations of fleet limits observed together, as `--json` stores it. Shares are in
/// millionths of the limit; the serialized names are those of stored results.
#[derive(Debug, Default, Serialize)]
struct LimitsSummary {
    schedules: u64,
    messages: u64,
    /// The largest sum of all shares, without second processes of a name.
    #[serde(rename = "most")]
    max_total_share: Share,
    /// The least that was in use once everything was healed.
    #[serde(rename = "least_healed")]
    min_healed_share: Option<Share>,
    /// How many schedules left the fleet in a state in which it must recover.
    healed: u64,
    /// The seeds that broke a bound.
    failed: Vec<u64>,
}

impl LimitsSummary {
    /// The summary of a sweep.
    fn of(sweep: &Sweep<LimitsReport>) -> LimitsSummary {
        let reports = &sweep.reports;
        let without_duplicates = reports
            .iter()
            .filter(|report| report.allowed_share <= FULL_SHARE);
        let healed: Vec<Share> = reports
            .iter()
            .filter_map(|report| report.healed_share)
            .collect();
        LimitsSummary {
            schedules: reports.len() as u64,
            messages: reports.iter().map(|report| report.messages).sum(),
            max_total_share: without_duplicates
                .map(|report| report.max_total_share)
                .max()
                .unwrap_or(Share::NONE),
            min_healed_share: healed.iter().copied().min(),
            healed: healed.len() as u64,
            failed: sweep.failed.iter().map(|schedule| schedule.seed).collect(),
        }
    }
}

/// Runs the command.
pub fn run(arguments: &SimulateArguments) -> Result<Outcome, CliError> {
    // The second name of each is that of earlier versions.
    match arguments.name.as_str() {
        "limits" => simulate_limits(arguments),
        "gossip" | "entries" => simulate_gossip(arguments),
        "outliers" | "verdicts" => simulate_outliers(arguments),
        other => Err(CliError::UnknownName(other.to_owned())),
    }
}

/// Simulates fleet limits; stores the summary.
fn simulate_limits(arguments: &SimulateArguments) -> Result<Outcome, CliError> {
    let sweep = LIMITS.sweep(&arguments.seeds);
    LIMITS.store_failed(&sweep.failed, &arguments.schedules)?;
    let summary = LimitsSummary::of(&sweep);
    let fraction = |millionths: Share| millionths.as_fraction();
    println!(
        "{} schedules, {} messages: rights at most {:.6} of the limit; {} healed, in use then {:.3} or more; {} failed",
        summary.schedules,
        summary.messages,
        fraction(summary.max_total_share),
        summary.healed,
        fraction(summary.min_healed_share.unwrap_or(Share::NONE)),
        summary.failed.len()
    );
    if let Some(file) = &arguments.json {
        write_json(file, &summary)?;
    }
    Ok(Outcome::of(summary.failed.is_empty()))
}

/// Runs a simulation for every seed, and stores some of the failed schedules and all reports.
fn sweep_and_store<R: Display + Send + Serialize>(
    simulation: &ScheduleSimulation<R>,
    arguments: &SimulateArguments,
) -> Result<Sweep<R>, CliError> {
    let sweep = simulation.sweep(&arguments.seeds);
    let stored = sweep.failed.len().min(MAX_STORED_SCHEDULES);
    simulation.store_failed(&sweep.failed[..stored], &arguments.schedules)?;
    if let Some(file) = &arguments.json {
        write_json(file, &sweep.reports)?;
    }
    Ok(sweep)
}

/// Simulates gossip; stores all reports.
fn simulate_gossip(arguments: &SimulateArguments) -> Result<Outcome, CliError> {
    let Sweep { reports, failed } = sweep_and_store(&GOSSIP, arguments)?;
    println!(
        "{} schedules, {} messages, {} entries learnt: at most {} bytes in any second; {} failed",
        reports.len(),
        reports.iter().map(|report| report.messages).sum::<u64>(),
        reports
            .iter()
            .map(|report| report.entries_learned)
            .sum::<u64>(),
        reports
            .iter()
            .map(|report| report.max_bytes_per_second)
            .max()
            .unwrap_or(0),
        failed.len()
    );
    Ok(Outcome::of(failed.is_empty()))
}

/// Simulates outlier detection; stores all reports.
fn simulate_outliers(arguments: &SimulateArguments) -> Result<Outcome, CliError> {
    let Sweep { reports, failed } = sweep_and_store(&OUTLIERS, arguments)?;
    println!(
        "{} schedules, {} messages: at most {} servers out of {}, {} of the ill ones found, {} bad attempts at \
         them; {} failed",
        reports.len(),
        reports.iter().map(|report| report.messages).sum::<u64>(),
        reports.iter().map(|report| report.max_ejected).max().unwrap_or(0),
        outliers::SERVERS,
        reports.iter().map(|report| report.faulty_servers_ejected).sum::<u64>(),
        reports.iter().map(|report| report.failed_attempts).sum::<u64>(),
        failed.len()
    );
    Ok(Outcome::of(failed.is_empty()))
}
