//! The result of a soak run.

use std::fmt::{self, Display};

use serde::Serialize;

use super::checker::Violation;
use super::fault::ScheduledFault;

/// The result of one seed. The serialized names are those of stored results.
#[derive(Clone, Debug, Serialize)]
pub struct SoakResult {
    /// The seed.
    pub seed: u64,
    /// The faults that were injected.
    pub faults: Vec<ScheduledFault>,
    /// How many requests clients sent.
    pub requests: usize,
    /// How many of them were answered with status 200.
    pub served: usize,
    /// How many attempts reached chunk servers.
    pub attempts: usize,
    /// The rules that were violated.
    #[serde(rename = "finds")]
    pub violations: Vec<Violation>,
}

/// A line with the counts, then a line for each violation.
impl Display for SoakResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|scheduled| scheduled.fault.to_string())
            .collect();
        write!(
            formatter,
            "{}: {}: {} requests, {} served, {} attempts",
            self.seed,
            faults.join(" + "),
            self.requests,
            self.served,
            self.attempts
        )?;
        for violation in &self.violations {
            write!(
                formatter,
                "\n    {:?}: {}",
                violation.rule, violation.details
            )?;
        }
        Ok(())
    }
}
