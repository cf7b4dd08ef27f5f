//! The command `compare`.

use tulipbridge_results::{Table, TableError};

use super::arguments::CompareArguments;
use super::error::CliError;
use super::Outcome;

/// The head of the printed table.
const TABLE_HEAD: &str =
    "| conditions | figure | first | second | rows | chance |\n| --- | --- | --- | --- | --- | --- |";

/// Runs the command. The outcome is invalid if a figure differs significantly.
pub fn run(arguments: &CompareArguments) -> Result<Outcome, CliError> {
    let (first, second) = (Table::read(&arguments.first)?, Table::read(&arguments.second)?);
    let differences = tulipbridge_results::compare(&first, &second);
    if differences.is_empty() {
        let reason = "the two have no figure under the same conditions";
        return Err(TableError::Form(reason.to_owned()).into());
    }
    println!("{TABLE_HEAD}");
    let mut significant = 0;
    for difference in &differences {
        let is_significant = difference.chance < arguments.significance;
        significant += usize::from(is_significant);
        let (first_median, second_median) = difference.medians;
        let (first_rows, second_rows) = difference.rows;
        println!(
            "| {} | {} | {first_median:.3} | {second_median:.3} | {first_rows}, {second_rows} | {:.4}{} |",
            difference.conditions,
            difference.figure,
            difference.chance,
            if is_significant { " *" } else { "" }
        );
    }
    println!("{significant} of {} figures differ beyond chance", differences.len());
    Ok(Outcome::of(significant == 0))
}
