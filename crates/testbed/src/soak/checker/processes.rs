//! Checks of the life of each process of a front.

use std::time::Duration;

use super::{Rule, Violation, MACHINE_SLACK};
use crate::soak::recording::ProcessRecord;

/// Within which time after SIGTERM a process must end.
const EXIT_LIMIT: Duration = Duration::from_millis(3_700);
/// Within which time after its start a process must be ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Checks one process.
pub(super) fn check(process: &ProcessRecord, violations: &mut Vec<Violation>) {
    let mut report = |rule| violations.push(Violation::new(rule, format!("{process:?}")));
    if has_crashed(process) {
        report(Rule::Crash);
    }
    if has_ended_late(process) {
        report(Rule::LateExit);
    }
    if !was_ready_in_time(process) {
        report(Rule::LateReady);
    }
    if process.violations > 0 {
        report(Rule::Counted);
    }
}

/// Whether a process ended without being asked to, or with an error.
fn has_crashed(process: &ProcessRecord) -> bool {
    let has_ended = process.ended_at.is_some();
    let was_signaled = process.terminated_at.is_some() || process.killed_at.is_some();
    let has_failed = process.killed_at.is_none() && process.exit_code != Some(0);
    has_ended && (has_failed || !was_signaled)
}

/// Whether a process took too long to end after SIGTERM; pauses do not count.
fn has_ended_late(process: &ProcessRecord) -> bool {
    let (Some(terminated_at), Some(ended_at)) = (process.terminated_at, process.ended_at) else {
        return false;
    };
    ended_at > terminated_at + EXIT_LIMIT + MACHINE_SLACK + process.total_pause()
}

/// Whether a process was ready in time; pauses do not count.
fn was_ready_in_time(process: &ProcessRecord) -> bool {
    let limit = process.started_at + READY_LIMIT + process.total_pause();
    process.ready_at.is_some_and(|ready_at| ready_at <= limit)
}
