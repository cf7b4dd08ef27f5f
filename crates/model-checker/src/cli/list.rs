//! `list`: shows configurations, properties and mutations.

use super::output::print_line;
use super::Status;
use crate::configs::{self, Config};
use crate::properties;

/// Runs the command.
pub(super) fn run() -> Status {
    print_line!("configurations:");
    for config in configs::all()
        .into_iter()
        .chain([Config::Request(configs::large())])
    {
        let summary = config.summary();
        let quick = if summary.quick { " (quick)" } else { "" };
        print_line!("  {:<14} {}{quick}", summary.name, summary.description);
    }
    print_line!(
        "configurations that check recovery, \
        which a search of all leaves out (see docs/ROADMAP.md):"
    );
    for model in configs::recovery_checks() {
        print_line!("  {:<14} {}", model.summary.name, model.summary.description);
    }
    print_line!("properties:");
    for property in properties::ALL {
        print_line!(
            "  {:<26} {} [{}]",
            property.name,
            property.statement,
            property.rule
        );
    }
    print_line!("mutations:");
    for (_, name, _) in tulipbridge_core::mutations::ALL {
        print_line!("  {name}");
    }
    Status::Holds
}
