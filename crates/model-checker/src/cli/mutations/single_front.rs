//! Mutations of the state machines of a single front.

use std::num::NonZeroUsize;

use serde::Serialize;
use tulipbridge_core::mutations::{activate, MachineGroup, Mutation, ALL};

use super::MutationArgs;
use crate::cli::error::CommandError;
use crate::cli::output::{print_line, write_json, write_text};
use crate::cli::search::search;
use crate::cli::Status;
use crate::configs::{self, Config};
use crate::explore::{random_walk, SearchLimits};
use crate::history::History;
use crate::model::Model;
use crate::with_config;

/// Number of random walks that are compared with the search.
const RANDOM_WALKS: u64 = 1000;

/// The result for one mutation. The names of its fields are part of the report format.
#[derive(Serialize)]
struct MutationReport {
    /// Name of the mutation.
    bug: &'static str,
    /// Whether a search detects it.
    found: bool,
    /// The configuration that detects it.
    config: &'static str,
    /// The violated properties.
    breaks: String,
    /// Length of the history that detects it.
    length: usize,
    /// Duration of all searches for it, in seconds.
    seconds: f64,
    /// Distinct states of all searches for it.
    states: usize,
    /// How many of [`RANDOM_WALKS`] walks of the same length violate a property.
    random_of_1000: usize,
}

/// A history that detects a mutation.
struct Detection {
    /// The configuration whose search found the history.
    config: Config,
    /// The history.
    history: History,
}

/// The searches for one mutation, up to the one that detects it.
#[derive(Default)]
struct SearchResult {
    /// Duration of the searches, in seconds.
    seconds: f64,
    /// Distinct states of the searches.
    states: usize,
    /// What the last search found, unless none found anything.
    detection: Option<Detection>,
}

/// A mutation, with its name on the command line and the group of state machines that it is in.
#[derive(Clone, Copy)]
struct NamedMutation {
    mutation: Mutation,
    name: &'static str,
    group: MachineGroup,
}

/// Tests the mutation that the arguments name, or all of them.
pub(super) fn run(args: &MutationArgs) -> Result<Status, CommandError> {
    let selected = selected_mutations(args.name.as_deref())?;
    print_header();
    let mut status = Status::Holds;
    let mut reports = Vec::new();
    for mutation in selected {
        let report = test_mutation(mutation, args)?;
        if !report.found {
            status = Status::Violated;
        }
        print_report(&report);
        reports.push(report);
    }
    activate(None);
    if let Some(path) = &args.json {
        write_json(path, &reports)?;
    }
    Ok(status)
}

/// The mutation of that name, or all of them.
fn selected_mutations(name: Option<&str>) -> Result<Vec<NamedMutation>, CommandError> {
    let all = ALL.iter().map(|&(mutation, name, group)| NamedMutation {
        mutation,
        name,
        group,
    });
    let Some(name) = name else {
        return Ok(all.collect());
    };
    let mut named = all.filter(|mutation| mutation.name == name);
    match named.next() {
        Some(mutation) => Ok(vec![mutation]),
        None => Err(CommandError::UnknownMutation {
            name: name.to_owned(),
        }),
    }
}

/// Activates a mutation and searches for a history that violates a property.
fn test_mutation(
    mutation: NamedMutation,
    args: &MutationArgs,
) -> Result<MutationReport, CommandError> {
    activate(Some(mutation.mutation));
    let result = search_until_detected(mutation.group, args.search.limits());
    let Some(Detection { config, history }) = result.detection else {
        return Ok(undetected_report(mutation.name, &result));
    };
    if let Some(directory) = &args.traces {
        let path = directory.join(format!("{}.trace", mutation.name));
        write_text(&path, &history.to_string())?;
    }
    let length = history.steps.len();
    Ok(MutationReport {
        bug: mutation.name,
        found: true,
        config: config.summary().name,
        breaks: history.violated.join(", "),
        length,
        seconds: result.seconds,
        states: result.states,
        random_of_1000: with_config!(&config, model => count_violating_walks(model, length)),
    })
}

/// The report for a mutation that no search detects.
fn undetected_report(name: &'static str, result: &SearchResult) -> MutationReport {
    MutationReport {
        bug: name,
        found: false,
        config: "-",
        breaks: "NOT FOUND".to_owned(),
        length: 0,
        seconds: result.seconds,
        states: result.states,
        random_of_1000: 0,
    }
}

/// Searches the quick configurations one after another, until one detects the mutation.
fn search_until_detected(group: MachineGroup, limits: SearchLimits) -> SearchResult {
    // With a single thread, the first history that is found is a shortest one.
    let limits = SearchLimits {
        threads: NonZeroUsize::MIN,
        ..limits
    };
    let mut result = SearchResult::default();
    for config in configs_for(group) {
        let report = search(config.clone(), limits);
        result.seconds += report.seconds;
        result.states += report.states;
        if let Some(history) = report.violation {
            result.detection = Some(Detection { config, history });
            break;
        }
    }
    result
}

/// The quick configurations of a single front, first those of the mutated group of state machines.
fn configs_for(group: MachineGroup) -> Vec<Config> {
    let is_candidate =
        |config: &Config| config.summary().quick && !matches!(config, Config::FleetLimits(_));
    let mut configs: Vec<Config> = configs::all().into_iter().filter(is_candidate).collect();
    configs.sort_by_key(|config| match config {
        Config::ClientConnection(_) => group != MachineGroup::ClientConnections,
        Config::Discovery(_) => group != MachineGroup::DiscoveryWatch,
        Config::Request(_) | Config::FleetLimits(_) => group != MachineGroup::Requests,
    });
    configs
}

/// How many of [`RANDOM_WALKS`] walks of this length violate a property.
fn count_violating_walks<M: Model>(model: &M, length: usize) -> usize {
    let violates = |seed: &u64| {
        let steps = random_walk(model, *seed, length);
        !History::of(model, &steps).violated.is_empty()
    };
    (0..RANDOM_WALKS).filter(violates).count()
}

/// Prints the header of the table of reports.
fn print_header() {
    print_line!(
        "{:<28} {:<14} {:<28} {:>6} {:>9} {:>8} {:>12}",
        "bug",
        "config",
        "breaks",
        "length",
        "states",
        "seconds",
        "random/1000"
    );
}

/// Prints a report as a row of the table.
fn print_report(report: &MutationReport) {
    print_line!(
        "{:<28} {:<14} {:<28} {:>6} {:>9} {:>8.2} {:>12}",
        report.bug,
        report.config,
        report.breaks,
        report.length,
        report.states,
        report.seconds,
        report.random_of_1000
    );
}
