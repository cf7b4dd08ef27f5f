//! The checker of a soak run: it compares a recording with the rules. It is independent of how a
//! front works.

mod attempts;
mod draining;
mod processes;
mod requests;
mod slow_start;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

pub use self::slow_start::SlowStartLimit;
use super::recording::{Arrival, Recording};

/// What a busy machine may add to any time limit, while many processes run on it.
const MACHINE_SLACK: Duration = Duration::from_millis(100);
/// How long after a kill its effects may last: the longest deadline of a request, with slack.
const KILL_EFFECT_TIME: Duration = Duration::from_secs(4);

/// A rule. The names are those of stored results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Rule {
    /// Each request gets a final response in time.
    Lost,
    /// Each successful response comes from a server, for this request.
    WrongAnswer,
    /// A request that is not idempotent is executed once at most.
    Duplicate,
    /// A write that is rejected with the promise of no effect is not executed.
    RefusedAndRun,
    /// A draining server gets no new requests.
    Drain,
    /// No attempt begins after its client has cancelled.
    AfterClientLeft,
    /// A request states no more time to a server than its client has left.
    DeadlineTooLong,
    /// An incomplete request is answered or closed in time.
    HalfRequest,
    /// A process ends only when it is asked to, and without an error.
    Crash,
    /// A process ends in time.
    LateExit,
    /// A process is ready in time.
    LateReady,
    /// A process counts no violation of an invariant itself.
    Counted,
    /// A server that has started gets no more than its slow start allows.
    ColdServer,
}

/// A violation of a rule. The serialized names are those of stored results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What was observed, for a person to read.
    #[serde(rename = "what")]
    pub details: String,
}

impl Violation {
    fn new(rule: Rule, details: String) -> Violation {
        Violation { rule, details }
    }
}

/// Returns all violations in a recording.
pub fn check(recording: &Recording, slow_start: SlowStartLimit) -> Vec<Violation> {
    let mut violations = Vec::new();
    let arrivals_by_transaction = arrivals_by_transaction(recording);
    for request in &recording.requests {
        let arrivals = arrivals_by_transaction
            .get(&request.transaction)
            .map_or(&[][..], Vec::as_slice);
        requests::check_end(recording, request, &mut violations);
        attempts::check(recording, request, arrivals, &mut violations);
        draining::check(recording, request, arrivals, &mut violations);
    }
    requests::check_incomplete(recording, &mut violations);
    for process in &recording.processes {
        processes::check(process, &mut violations);
    }
    slow_start::check(recording, slow_start, &mut violations);
    violations
}

/// Arrivals grouped by transaction id, each group in the order of arrival.
fn arrivals_by_transaction(recording: &Recording) -> BTreeMap<u64, Vec<&Arrival>> {
    let mut by_transaction: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &recording.arrivals {
        by_transaction
            .entry(arrival.transaction)
            .or_default()
            .push(arrival);
    }
    by_transaction
}

/// Whether a kill of a front's process may affect what happened in a span.
fn was_killed(recording: &Recording, front: usize, from: Duration, until: Duration) -> bool {
    recording
        .processes_of(front)
        .filter_map(|process| process.killed_at)
        .any(|killed_at| killed_at <= until && from <= killed_at + KILL_EFFECT_TIME)
}
