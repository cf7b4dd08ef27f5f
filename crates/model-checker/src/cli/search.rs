//! What the commands that search share: limits from the command line, and a search that shows its
//! progress.

use std::num::NonZeroUsize;
use std::time::Duration;

use clap::Args;

use super::error::CommandError;
use super::output::ProgressLine;
use crate::configs::{self, Config};
use crate::explore::{explore, Report, SearchLimits};
use crate::with_config;

/// Number of search threads at most, unless the command line says otherwise.
const MAX_DEFAULT_THREADS: usize = 4;

#[derive(Args, Clone, Copy)]
pub(super) struct SearchArgs {
    /// Number of search threads [default: the number of cores, at most 4]
    #[arg(long)]
    threads: Option<NonZeroUsize>,
    /// Largest resident memory in MB
    #[arg(long, default_value_t = 12_000)]
    memory_mb: u64,
    /// Longest search of each configuration, in seconds
    #[arg(long, default_value_t = 3600)]
    seconds: u64,
}

impl SearchArgs {
    /// The limits of each search.
    pub(super) fn limits(self) -> SearchLimits {
        let cores = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
        let default_threads = NonZeroUsize::new(cores.min(MAX_DEFAULT_THREADS));
        SearchLimits {
            threads: self
                .threads
                .or(default_threads)
                .unwrap_or(NonZeroUsize::MIN),
            memory_mb: self.memory_mb,
            time: Duration::from_secs(self.seconds),
        }
    }
}

/// The configuration of that name.
pub(super) fn find_config(name: &str) -> Result<Config, CommandError> {
    configs::named(name).ok_or_else(|| CommandError::UnknownConfig {
        name: name.to_owned(),
    })
}

/// Searches a configuration, and shows the progress on standard error if that is a terminal.
pub(super) fn search(config: Config, limits: SearchLimits) -> Report {
    let progress = ProgressLine::new(config.summary().name);
    let report = with_config!(config, model => explore(model, limits, |now| progress.show(now)));
    progress.erase();
    report
}
