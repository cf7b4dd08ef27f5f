//! Mutations of the state machines of a single front.

use std::num::NonZeroUsize;

use serde::Serialize;
use tulipbridge_core::mutations::{activate, MachineGroup, Mutation, ALL};

use super::SeededArgs;
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
    bug: &'static str,
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
    config: Config,
    history: History,
}

/// The searches for one mutation, up to the one that detects it.
#[derive(Default)]
struct SearchResult {
    seconds: f64,
    states: usize,
    detection: Option<Detection>,
}

/// Tests the mutation that the arguments name, or all of them.
pub(super) fn run(args: &SeededArgs) -> Result<Status, CommandError> {
    let selected: Vec<_> = ALL
        .iter()
        .filter(|(_, name, _)| args.name.as_deref().is_none_or(|wanted| wanted == *name))
        .collect();
    if let Some(name) = args.name.as_ref().filter(|_| selected.is_empty()) {
        return Err(CommandError::UnknownMutation(name.clone()));
    }
    print_header();
    let mut status = Status::Holds;
    let mut reports = Vec::new();
    for (mutation, name, part) in selected {
        let report = test_mutation(*mutation, name, *part, args)?;
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

fn test_mutation(
    mutation: Mutation,
    name: &'static str,
    part: MachineGroup,
    args: &SeededArgs,
) -> Result<MutationReport, CommandError> {
    activate(Some(mutation));
    let result = search_until_detected(part, args.search.limits());
    let Some(Detection { config, history }) = result.detection else {
        return Ok(MutationReport {
            bug: name,
            found: false,
            config: "-",
            breaks: "NOT FOUND".to_owned(),
            length: 0,
            seconds: result.seconds,
            states: result.states,
            random_of_1000: 0,
        });
    };
    if let Some(directory) = &args.traces {
        write_text(
            &directory.join(format!("{name}.trace")),
            &history.to_string(),
        )?;
    }
    let length = history.steps.len();
    Ok(MutationReport {
        bug: name,
        found: true,
        config: config.summary().name,
        breaks: history.violated.join(", "),
        length,
        seconds: result.seconds,
        states: result.states,
        random_of_1000: with_config!(&config, model => count_violating_walks(model, length)),
    })
}

/// Searches the quick configurations one after another, until one detects the mutation.
fn search_until_detected(part: MachineGroup, limits: SearchLimits) -> SearchResult {
    // With a single thread, the first history that is found is a shortest one.
    let limits = SearchLimits {
        threads: NonZeroUsize::MIN,
        ..limits
    };
    let mut result = SearchResult::default();
    for config in configs_for(part) {
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

/// The quick configurations of a single front, first those of the mutated part.
fn configs_for(part: MachineGroup) -> Vec<Config> {
    let is_candidate =
        |config: &Config| config.summary().quick && !matches!(config, Config::FleetLimits(_));
    let mut configs: Vec<Config> = configs::all().into_iter().filter(is_candidate).collect();
    configs.sort_by_key(|config| match config {
        Config::ClientConnection(_) => part != MachineGroup::ClientConnections,
        Config::Discovery(_) => part != MachineGroup::DiscoveryWatch,
        Config::Request(_) | Config::FleetLimits(_) => part != MachineGroup::Requests,
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
