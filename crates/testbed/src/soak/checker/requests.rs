//! Checks of how requests ended for their clients.

use std::time::Duration;

use super::{was_killed, Rule, Violation, MACHINE_SLACK};
use crate::soak::recording::{ClientRequest, End, IncompleteRequest, Recording};

/// How long after the deadline a response may come.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// How long after SIGTERM a request may come that a kill leaves without a response.
const SHUTDOWN_INTAKE: Duration = Duration::from_millis(700);
/// Within which time an incomplete request must be answered or closed.
const INCOMPLETE_REQUEST_LIMIT: Duration = Duration::from_secs(3);

/// Checks that a request ended with a response, in time and of a server.
pub(super) fn check_end(
    recording: &Recording,
    request: &ClientRequest,
    violations: &mut Vec<Violation>,
) {
    let violation = match request.end {
        End::Answered {
            status: 200,
            body_matches: false,
        } => Some((Rule::WrongAnswer, "a body that no server sent")),
        End::Answered { .. } if is_late(recording, request) => {
            Some((Rule::Lost, "a response that is too late"))
        }
        End::Closed | End::TimedOut if !may_lack_response(recording, request) => {
            Some((Rule::Lost, "no response"))
        }
        _ => None,
    };
    if let Some((rule, reason)) = violation {
        violations.push(Violation::new(rule, format!("{reason}: {request:?}")));
    }
}

/// Whether a response came too late; pauses of the front do not count.
fn is_late(recording: &Recording, request: &ClientRequest) -> bool {
    let pause = recording.pause_within(request.front, request.sent_at, request.ended_at);
    let deadline = request.sent_at + request.timeout;
    request.ended_at > deadline + RESPONSE_SLACK + MACHINE_SLACK + pause
}

/// Whether the front was killed; or was paused, so that it could not respond but closed nothing.
fn may_lack_response(recording: &Recording, request: &ClientRequest) -> bool {
    let pause = recording.pause_within(request.front, request.sent_at, request.ended_at);
    let is_paused = pause > Duration::ZERO && request.end == End::TimedOut;
    let was_killed = was_killed(recording, request.front, request.sent_at, request.ended_at);
    is_paused || (was_killed && !is_owed_by_shutdown(recording, request))
}

/// Whether a request came so late after SIGTERM that not even a kill excuses the lack of a response.
fn is_owed_by_shutdown(recording: &Recording, request: &ClientRequest) -> bool {
    recording.processes_of(request.front).any(|process| {
        let owed_from = process.terminated_at.map(|at| at + SHUTDOWN_INTAKE);
        let is_killed_later = process.killed_at.is_some_and(|at| request.sent_at <= at);
        is_killed_later && owed_from.is_some_and(|owed_from| request.sent_at > owed_from)
    })
}

/// Checks that each incomplete request was answered or closed in time.
pub(super) fn check_incomplete(recording: &Recording, violations: &mut Vec<Violation>) {
    for request in &recording.incomplete_requests {
        if is_open_too_long(recording, request) {
            let details = format!("{request:?}");
            violations.push(Violation::new(Rule::HalfRequest, details));
        }
    }
}

/// Whether an incomplete request stayed open too long; pauses and kills of the front excuse it.
fn is_open_too_long(recording: &Recording, request: &IncompleteRequest) -> bool {
    let until = request
        .ended_at
        .unwrap_or(request.sent_at + 2 * INCOMPLETE_REQUEST_LIMIT);
    let pause = recording.pause_within(request.front, request.sent_at, until);
    let limit = request.sent_at + INCOMPLETE_REQUEST_LIMIT + MACHINE_SLACK + pause;
    until > limit && !was_killed(recording, request.front, request.sent_at, until)
}
