//! The command `cost`.

use super::arguments::CostArguments;
use super::error::CliError;
use super::Outcome;
use crate::cost::measure;

/// The head of the printed table.
const TABLE_HEAD: &str = "| fronts | volumes | KB a second | datagrams a second | part of a core | memory, KB | death known after, ms |\n| --- | --- | --- | --- | --- | --- | --- |";

/// Runs the command. A fleet of one front has nothing to share and is left out.
pub fn run(arguments: &CostArguments) -> Result<Outcome, CliError> {
    println!("{TABLE_HEAD}");
    for volumes in &arguments.volumes {
        for fronts in arguments.fronts.iter().filter(|fronts| **fronts > 1) {
            let cost = measure(*fronts, *volumes, arguments.rounds)?;
            println!(
                "| {fronts} | {volumes} | {:.1} | {:.0} | {:.4} | {:.0} | {:.0} |",
                cost.bytes_per_second / 1e3,
                cost.datagrams_per_second,
                cost.core_fraction,
                cost.memory_kb,
                cost.detection_ms
            );
        }
    }
    Ok(Outcome::Valid)
}
