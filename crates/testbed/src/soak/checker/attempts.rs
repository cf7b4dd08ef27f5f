//! Checks of the attempts of each request: how often it was executed, when attempts began, and
//! which deadlines they stated.

use std::time::Duration;

use super::{Rule, Violation, MACHINE_SLACK};
use crate::soak::recording::{Arrival, Class, ClientRequest, End, Recording};

/// How long after its client has cancelled an attempt may still begin.
const CANCELLATION_SLACK: Duration = Duration::from_millis(100);
/// By how much the time that an attempt states may exceed what its client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// Checks the attempts of a request.
pub(super) fn check(
    recording: &Recording,
    request: &ClientRequest,
    arrivals: &[&Arrival],
    violations: &mut Vec<Violation>,
) {
    let mut report = |rule, reason: &str| {
        let details = format!("{reason}: {request:?}, {arrivals:?}");
        violations.push(Violation::new(rule, details));
    };
    let executed = arrivals.iter().filter(|arrival| !arrival.rejected).count();
    if request.class == Class::Write && executed > 1 {
        report(Rule::Duplicate, "executed twice");
    }
    if request.class == Class::Write && request.end.is_rejection() && executed > 0 {
        report(Rule::RefusedAndRun, "rejected and executed");
    }
    for arrival in arrivals {
        if begins_after_cancellation(request, arrival) {
            report(Rule::AfterClientLeft, "begun after the client cancelled");
        }
        if states_too_much_time(recording, request, arrival) {
            report(Rule::DeadlineTooLong, "stated more time than is left");
        }
    }
}

/// Whether an attempt began after its client had cancelled, with slack for what was in flight.
fn begins_after_cancellation(request: &ClientRequest, arrival: &Arrival) -> bool {
    let limit = request.ended_at + CANCELLATION_SLACK + MACHINE_SLACK;
    request.end == End::Cancelled && arrival.first_byte_at > limit
}

/// Whether an attempt states more time than its client has left. A front that was paused does not
/// see how long; it is allowed more slack, and no more than that.
fn states_too_much_time(recording: &Recording, request: &ClientRequest, arrival: &Arrival) -> bool {
    let time_left = (request.sent_at + request.timeout).saturating_sub(arrival.at);
    let pause = recording.pause_within(request.front, request.sent_at, arrival.at);
    let machine_slack = if pause > Duration::ZERO {
        2 * MACHINE_SLACK
    } else {
        MACHINE_SLACK
    };
    arrival.remaining > time_left + DEADLINE_SLACK + machine_slack
}
