//! Experiments on the limits of volumes that a fleet of real processes shares.

mod fault_cases;
mod fault_schedules;
mod load_cases;

use std::time::Duration;

pub use self::fault_cases::{run_fault_case, FaultCase, FaultCaseResult, FAULT_CASES, WINDOWS_MS};
pub use self::fault_schedules::{process_schedule, run_fault_schedule, FaultScheduleResult};
pub use self::load_cases::{
    load_case_table, run_load_case, LoadCase, LoadCaseResult, LoadCaseSetup, LOAD_CASES,
};

/// How long a read may take from its front until the chunk server records it.
pub const RECORDING_SLACK: Duration = Duration::from_millis(50);
/// Requests a second of each front once everything is healed.
const HEALED_LOAD: u32 = 40;
/// How long a fleet has to settle once everything is healed.
const SETTLE_TIME: Duration = Duration::from_secs(9);
/// For how long a healed fleet is measured.
const HEALED_SPAN: Duration = Duration::from_secs(4);
