//! The command `compare`.

use tulipbridge_results::{Table, TableError};

use super::arguments::CompareArguments;
use super::error::CliError;
use super::Outcome;

/// The head of the printed table.
const TABLE_HEAD: &str =
    "| conditions | figure | first | second | rows | chance |\n| --- | --- | --- | --- | --- | --- |";

/// Runs the command. The outcome is invalid if a metric differs significantly.
pub fn run(arguments: &CompareArguments) -> Result<Outcome, CliError> {
    let first = Table::read(&arguments.first)?;
    let second = Table::read(&arguments.second)?;
    let comparisons = tulipbridge_results::compare(&first, &second);
    if comparisons.is_empty() {
        return Err(TableError::NothingInCommon.into());
    }
    println!("{TABLE_HEAD}");
    let mut significant = 0;
    for comparison in &comparisons {
        let is_significant = comparison.p_value < arguments.significance;
        significant += usize::from(is_significant);
        println!(
            "| {} | {} | {:.3} | {:.3} | {}, {} | {:.4}{} |",
            comparison.conditions,
            comparison.metric,
            comparison.first.median,
            comparison.second.median,
            comparison.first.rows,
            comparison.second.rows,
            comparison.p_value,
            if is_significant { " *" } else { "" }
        );
    }
    println!(
        "{significant} of {} figures differ beyond chance",
        comparisons.len()
    );
    Ok(Outcome::of(significant == 0))
}
